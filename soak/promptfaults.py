"""Prompt parts that crash the engines which begin to answer them, one after another.

These faults have their own random generator, so that a seed still produces the same
sequence of the other faults.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.environment import ENTRY_EXPIRY_S, ProxiedEngine, SoakEnvironment

READ_PROMPT_S = 0.2
RESTART_S = 0.8
# Long enough for five crashes, the time to learn from them, and some more.
MIN_SPAN_S, MAX_SPAN_S = 8.0, 14.0
MAX_PAUSE_S = 3.0


@dataclass(slots=True)
class PromptFaults:
    """Makes parts of prompts deadly; `counts` has the number of parts."""

    environment: SoakEnvironment
    rng: random.Random
    counts: Counter = field(default_factory=Counter)
    tasks: set[asyncio.Task] = field(default_factory=set)

    async def run(self, seconds: float) -> None:
        """Make one part after the other deadly for `seconds`."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
            self.counts["deadly_part"] += 1
            part = f"deadly-{self.counts['deadly_part']}"
            self.environment.deadly_part = part
            for proxied in self.environment.proxied_engines:
                proxied.on_new_engine = self._prepare
                self._prepare(proxied)
            span_s = min(self.rng.uniform(MIN_SPAN_S, MAX_SPAN_S), until - loop.time())
            await asyncio.sleep(max(span_s, 0.0))
            self.environment.deadly_part = None
        for proxied in self.environment.proxied_engines:
            proxied.engine.deadly_parts = frozenset()
        await asyncio.gather(*self.tasks)

    def _prepare(self, proxied: ProxiedEngine) -> None:
        """Let an engine crash on the deadly part, behind a proxy that refuses then."""
        engine = proxied.engine
        engine.read_prompt_s, engine.restart_s = READ_PROMPT_S, RESTART_S
        if self.environment.deadly_part is not None:
            engine.deadly_parts |= {self.environment.deadly_part}
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
