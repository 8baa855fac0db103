"""Servers that send what is no answer, beside all other faults.

They draw from a generator of their own, so that the seeds of the other faults keep
their meaning.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.environment import World

PLANS = ("endless_head", "endless_trailers", "twice", "comments")
MIN_PAUSE_S = 0.3
MAX_PAUSE_S = 1.5


@dataclass(slots=True)
class ByteFaults:
    """Lets one engine after the other misbehave."""

    world: World
    rng: random.Random
    counts: Counter = field(default_factory=Counter)

    async def run(self, seconds: float) -> None:
        """Begin faults for a time, one at a time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            engine = self.rng.choice(self.world.places).engine
            plan = self.rng.choice(PLANS)
            self.counts[plan] += 1
            engine.behavior = plan
            await asyncio.sleep(self.rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            if engine.behavior == plan:
                engine.behavior = "ok"
