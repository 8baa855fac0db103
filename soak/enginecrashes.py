"""Engines that end on what they are asked, behind proxies that refuse then."""

import asyncio
from dataclasses import dataclass, field

from soak.environment import ENTRY_EXPIRY_S, ProxiedEngine, SoakEnvironment

READ_PROMPT_S = 0.2
RESTART_S = 0.8


@dataclass(slots=True)
class EngineCrashes:
    """Lets the engines of an environment end on what is deadly to them.

    An engine ends on whatever has ever been deadly, also one that is started later.
    """

    environment: SoakEnvironment
    tasks: set[asyncio.Task] = field(default_factory=set)

    def prepare_all(self) -> None:
        """Let all engines end on what is deadly now."""
        for proxied in self.environment.proxied_engines:
            proxied.on_new_engine = self._prepare
            self._prepare(proxied)

    async def end(self) -> None:
        """Let engines end no more, and wait for those that start again."""
        for proxied in self.environment.proxied_engines:
            proxied.engine.deadly_parts = proxied.engine.deadly_calls = frozenset()
            proxied.on_new_engine = lambda proxied: None
        await asyncio.gather(*self.tasks)

    def _prepare(self, proxied: ProxiedEngine) -> None:
        engine = proxied.engine
        engine.read_prompt_s, engine.restart_s = READ_PROMPT_S, RESTART_S
        engine.deadly_parts = frozenset(self.environment.deadly_parts)
        engine.deadly_calls = frozenset(self.environment.deadly_calls)
        engine.on_crash = lambda engine: self._run(self._restart(proxied, engine.name))
        engine.on_restart = lambda engine: self._register(proxied, engine)

    def _run(self, work) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _restart(self, proxied: ProxiedEngine, name: str) -> None:
        """Refuse connections while the engine is down; let its old record lapse."""
        store = self.environment.store
        port = proxied.listener.sockets[0].getsockname()[1]
        proxied.listener.close()
        await asyncio.sleep(RESTART_S)
        proxied.listener = await asyncio.start_server(
            proxied.proxy.accept, "127.0.0.1", port
        )
        self.environment.listeners.append(proxied.listener)
        await asyncio.sleep(ENTRY_EXPIRY_S)
        if name in store.kinds["servers"]:
            store.remove("servers", name)

    def _register(self, proxied: ProxiedEngine, engine) -> None:
        """Write the record of the new start unless the engine was replaced."""
        if proxied.engine is engine:
            self.environment.store.put("servers", engine.name, proxied.entry())
