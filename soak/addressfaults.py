"""Addresses of engines that have ended, given to engines of another service.

These faults have their own random generator, so that a seed still produces the same
sequence of the other faults.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.environment import ProxiedEngine, SoakEnvironment

# The address of an engine is not given out again before this time.
REUSE_DELAY_S = 2.0
MAX_FURTHER_DELAY_S = 0.5
MAX_PAUSE_S = 1.5
# Time from the reuse of an address to the crash of an engine whose streams may have
# kept their copies at the former engine of that address.
MAX_CRASH_DELAY_S = 1.0
CRASH_DOWN_S = 0.3


@dataclass(slots=True)
class AddressFaults:
    """Lets an engine of each service swap their addresses; `counts` has how often."""

    environment: SoakEnvironment
    rng: random.Random
    counts: Counter = field(default_factory=Counter)

    async def run(self, seconds: float) -> None:
        """Swap addresses for `seconds`, one pair at a time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
            self.counts["address_reuse"] += 1
            await self._swap()

    def _choose(self, service: str) -> ProxiedEngine:
        engines = self.environment.proxied_engines
        return self.rng.choice([p for p in engines if p.service == service])

    async def _swap(self) -> None:
        """Crash an engine of each service, and swap their addresses.

        The old entries are removed before or after the new engines are registered.
        Then another engine crashes, whose streams go on elsewhere.
        """
        planner, desk = self._choose("planner"), self._choose("desk")
        down_s = REUSE_DELAY_S + self.rng.uniform(0, MAX_FURTHER_DELAY_S)
        swap = [
            asyncio.ensure_future(
                self.environment.replace_engine(planner, down_s, "desk")
            ),
            asyncio.ensure_future(
                self.environment.replace_engine(desk, down_s, "planner")
            ),
        ]
        if self.rng.random() < 0.5:
            names = [planner.engine.name, desk.engine.name]
            await asyncio.sleep(self.rng.uniform(0, down_s))
            for name in names:
                self.environment.remove_entry(name)
            self.counts["entry_gone_before_reuse"] += 1
        while planner.service == "planner" or desk.service == "desk":
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.rng.uniform(0, MAX_CRASH_DELAY_S))
        other = self._choose("planner")
        if other is not desk:
            await self.environment.replace_engine(other, CRASH_DOWN_S)
        await asyncio.gather(*swap)
