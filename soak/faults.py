"""Faults that come from outside the gateways, drawn at random, one over the other."""

import asyncio
import random
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from soak.environment import KEYS, World

MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 1.2
DRAIN_S = 2.5
# What a link or a paused gateway held back arrives within this time after it.
DEAF_SLACK_S = 1.0
PLANS = ("reset", "hang", "shed", "die")


@dataclass(slots=True)
class Faults:
    """Draws faults with `rng`; `counts` tells how many of each kind."""

    world: World
    rng: random.Random
    counts: Counter = field(default_factory=Counter)
    tasks: set[asyncio.Task] = field(default_factory=set)

    async def run(self, seconds: float) -> None:
        """Begin faults for a time, and end those that last."""
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
        self.world.publish(KEYS)
        self.world.heal()

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
        engine = self.rng.choice(self.world.places).engine
        engine.behavior = self.rng.choice(PLANS)
        await self._wait(0.3, 2.0)
        engine.behavior = "ok"

    async def _engine_crash(self) -> None:
        place = self.rng.choice(self.world.places)
        await self.world.replace_engine(place, self.rng.uniform(0.2, 1.5))

    async def _engine_drain(self) -> None:
        place = self.rng.choice(self.world.places)
        self.world.store.put("servers", place.engine.name, place.entry("draining"))
        await asyncio.sleep(DRAIN_S)
        await self.world.replace_engine(place, 0.2)

    async def _gate_fault(self, gate) -> None:
        direction = self.rng.choice(("both", "to_target", "to_caller"))
        fault = self.rng.choice(
            (
                {"close": True},
                {"latency_s": self.rng.uniform(0.05, 0.4)},
                {"silence": "open", "direction": direction},
                {"silence": "all", "direction": direction},
            )
        )
        gate.set_faults(fault)
        await self._wait(0.5, 6.0)
        gate.set_faults({"silence": "none", "latency_s": 0})

    async def _engine_link(self) -> None:
        gate = self.rng.choice(self.world.places).gate
        await self._deaf_while(self._gate_fault(gate))

    async def _deaf_while(self, fault: Awaitable[None]) -> None:
        now = asyncio.get_running_loop().time
        began_at = now()
        await fault
        self.world.deaf.append((began_at, now() + DEAF_SLACK_S))

    async def _store_link(self) -> None:
        await self._gate_fault(self.rng.choice(self.world.store_gates))

    async def _store_refuses(self) -> None:
        self.world.store.error_status = self.rng.choice((429, 503))
        await self._wait(0.5, 6.0)
        self.world.store.error_status = None

    async def _store_loses_answers(self) -> None:
        self.world.store.lost_write_responses += 2
        await self._wait(0.0, 0.5)

    async def _store_forgets(self) -> None:
        self.world.store.expire_history = True
        await self._wait(0.0, 0.5)

    async def _pause(self) -> None:
        await self._deaf_while(self._pause_one())

    async def _pause_one(self) -> None:
        gateway = self.rng.choice(self.world.gateways)
        self.world.signal(gateway, signal.SIGSTOP)
        await self._wait(0.3, 7.0)
        self.world.signal(gateway, signal.SIGCONT)

    async def _kill(self) -> None:
        self.world.signal(self.rng.choice(self.world.gateways), signal.SIGKILL)
        await self._wait(0.0, 0.5)

    async def _stop(self) -> None:
        self.world.signal(self.rng.choice(self.world.gateways), signal.SIGTERM)
        await self._wait(0.0, 0.5)

    async def _hang_up(self) -> None:
        self.world.signal(self.rng.choice(self.world.gateways), signal.SIGHUP)
        await self._wait(0.0, 0.5)

    async def _revoke(self) -> None:
        self.world.publish((self.rng.choice(KEYS),))
        await self._wait(1.0, 6.0)
        self.world.publish(KEYS)
