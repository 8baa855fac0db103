"""Engines that leave by their answers alone, or ask for time, at random.

These faults have their own random generator, so that a seed still produces the same
sequence of the other faults.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.environment import ProxiedEngine, SoakEnvironment

MALFORMED_TIMES = ("-3", "nan", "9" * 400, "", "3,5", "Fri, 31 Dec 2027 23:59:59 GMT")
# Long enough for requests later than 2.5 s after the first answer that says so.
MIN_LEAVING_S, MAX_LEAVING_S = 3.0, 5.0
MIN_WAIT_S, MAX_WAIT_S = 1.0, 4.0
# An engine refuses for a part of the time that it asks for, so that requests that come
# too early would run.
MAX_REFUSING_S = 1.5
MAX_PAUSE_S = 2.0


@dataclass(slots=True)
class StatementFaults:
    """Makes engines say that they leave or want time; `counts` has each kind."""

    environment: SoakEnvironment
    rng: random.Random
    counts: Counter = field(default_factory=Counter)

    async def run(self, seconds: float) -> None:
        """Let engines state something for `seconds`, one fault at a time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
            kind = self.rng.choice((self._leave, self._wait, self._wait_all))
            await kind()

    def _of_service(self, service: str) -> list[ProxiedEngine]:
        engines = self.environment.proxied_engines
        return [proxied for proxied in engines if proxied.service == service]

    async def _leave(self) -> None:
        """Let an engine leave while its record still says that it is ready."""
        self.counts["leaves_by_answers"] += 1
        proxied = self.rng.choice(self.environment.proxied_engines)
        engine = proxied.engine
        engine.is_leaving = True
        await asyncio.sleep(self.rng.uniform(MIN_LEAVING_S, MAX_LEAVING_S))
        if proxied.engine is engine:
            await self.environment.replace_engine(proxied, 0.2)

    async def _wait(self) -> None:
        """Let one or two engines ask for time."""
        self.counts["asks_for_time"] += 1
        count = self.rng.choice((1, 2))
        await self._refuse(self.rng.sample(self.environment.proxied_engines, count))

    async def _wait_all(self) -> None:
        """Let all engines of a service ask for time."""
        self.counts["all_ask_for_time"] += 1
        await self._refuse(self._of_service(self.rng.choice(("desk", "planner"))))

    async def _refuse(self, chosen: list[ProxiedEngine]) -> None:
        engines = [proxied.engine for proxied in chosen]
        for engine in engines:
            engine.retry_after = f"{self.rng.uniform(MIN_WAIT_S, MAX_WAIT_S):.2f}"
            if self.rng.random() < 0.2:
                engine.retry_after = self.rng.choice(MALFORMED_TIMES)
                self.counts["malformed_time"] += 1
        await asyncio.sleep(self.rng.uniform(0.3, MAX_REFUSING_S))
        for engine in engines:
            engine.retry_after = None
