"""Random, overlapping faults that are injected from outside the gateway processes."""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from soak.environment import KEYS, SoakEnvironment

MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 1.2
DRAIN_WAIT_S = 2.5
# Bytes that a link or a paused gateway delayed arrive within this time after the
# fault has ended.
BLOCKED_SLACK_S = 1.0
ENGINE_FAULTS = ("reset", "hang", "shed", "die")


@dataclass(slots=True)
class Faults:
    """Injects faults drawn from `rng`; `counts` has the number of each kind."""

    environment: SoakEnvironment
    rng: random.Random
    counts: Counter = field(default_factory=Counter)
    tasks: set[asyncio.Task] = field(default_factory=set)

    async def run(self, seconds: float) -> None:
        """Inject faults for `seconds`, then end all faults."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        kinds = self._kinds()
        while loop.time() < until:
            kind = self.rng.choice(kinds)
            self.counts[kind.__name__.strip("_")] += 1
            task = asyncio.ensure_future(kind())
            self.tasks.add(task)
            await asyncio.sleep(self.rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
        await asyncio.gather(*self.tasks)
        self.environment.publish(KEYS)
        self.environment.clear_faults()

    def _kinds(self) -> list[Callable[[], Awaitable[None]]]:
        return [
            self._bad_engine,
            self._engine_crash,
            self._engine_drain,
            self._engine_link,
            self._store_link,
            self._store_refuses,
            self._store_loses_answers,
            self._store_forgets,
            self._pause,
            self._kill,
            self._stop,
            self._hang_up,
            self._revoke,
        ]

    async def _wait(self, low: float, high: float) -> None:
        await asyncio.sleep(self.rng.uniform(low, high))

    async def _bad_engine(self) -> None:
        engine = self.rng.choice(self.environment.proxied_engines).engine
        engine.behavior = self.rng.choice(ENGINE_FAULTS)
        await self._wait(0.3, 2.0)
        engine.behavior = "ok"

    async def _engine_crash(self) -> None:
        proxied = self.rng.choice(self.environment.proxied_engines)
        await self.environment.replace_engine(proxied, self.rng.uniform(0.2, 1.5))

    async def _engine_drain(self) -> None:
        proxied = self.rng.choice(self.environment.proxied_engines)
        self.environment.store.put(
            "servers", proxied.engine.name, proxied.entry("draining")
        )
        await asyncio.sleep(DRAIN_WAIT_S)
        await self.environment.replace_engine(proxied, 0.2)

    async def _inject_proxy_fault(self, proxy) -> None:
        direction = self.rng.choice(("both", "to_target", "to_caller"))
        fault = self.rng.choice(
            (
                {"close": True},
                {"latency_s": self.rng.uniform(0.05, 0.4)},
                {"silence": "open", "direction": direction},
                {"silence": "all", "direction": direction},
            )
        )
        proxy.set_faults(fault)
        await self._wait(0.5, 6.0)
        proxy.set_faults({"silence": "none", "latency_s": 0})

    async def _engine_link(self) -> None:
        proxy = self.rng.choice(self.environment.proxied_engines).proxy
        await self._record_blocked_interval(self._inject_proxy_fault(proxy))

    async def _record_blocked_interval(self, fault: Awaitable[None]) -> None:
        now = asyncio.get_running_loop().time
        began_at = now()
        await fault
        self.environment.blocked_intervals.append((began_at, now() + BLOCKED_SLACK_S))

    async def _store_link(self) -> None:
        await self._inject_proxy_fault(self.rng.choice(self.environment.store_proxies))

    async def _store_refuses(self) -> None:
        self.environment.store.error_status = self.rng.choice((429, 503))
        await self._wait(0.5, 6.0)
        self.environment.store.error_status = None

    async def _store_loses_answers(self) -> None:
        self.environment.store.lost_write_responses += 2
        await self._wait(0.0, 0.5)

    async def _store_forgets(self) -> None:
        self.environment.store.expire_history = True
        await self._wait(0.0, 0.5)

    async def _pause(self) -> None:
        await self._record_blocked_interval(self._pause_gateway())

    async def _pause_gateway(self) -> None:
        gateway = self.rng.choice(self.environment.gateways)
        self.environment.signal(gateway, signal.SIGSTOP)
        await self._wait(0.3, 7.0)
        self.environment.signal(gateway, signal.SIGCONT)

    async def _kill(self) -> None:
        self.environment.signal(
            self.rng.choice(self.environment.gateways), signal.SIGKILL
        )
        await self._wait(0.0, 0.5)

    async def _stop(self) -> None:
        self.environment.signal(
            self.rng.choice(self.environment.gateways), signal.SIGTERM
        )
        await self._wait(0.0, 0.5)

    async def _hang_up(self) -> None:
        self.environment.signal(
            self.rng.choice(self.environment.gateways), signal.SIGHUP
        )
        await self._wait(0.0, 0.5)

    async def _revoke(self) -> None:
        self.environment.publish((self.rng.choice(KEYS),))
        await self._wait(1.0, 6.0)
        self.environment.publish(KEYS)
