"""All engines of a service that fall silent for a second or two and then go on.

They do so beside the other faults and, in a phase of its own afterwards, without them,
when nothing else may end an answer before its deadline.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.environment import SoakEnvironment

SERVICES = ("desk", "planner")
MIN_SILENCE_S, MAX_SILENCE_S = 1.0, 2.0
MIN_PAUSE_S, MAX_PAUSE_S = 0.3, 1.5


@dataclass(slots=True)
class SilenceFaults:
    """Lets all engines of a service be silent; `counts` has the number of times."""

    environment: SoakEnvironment
    rng: random.Random
    counts: Counter = field(default_factory=Counter)

    async def run(self, seconds: float) -> None:
        """Let a service be silent, again and again for `seconds`."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            service = self.rng.choice(SERVICES)
            silence_s = self.rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
            self.counts["silence"] += 1
            for proxied in self.environment.proxied_engines:
                if proxied.service == service:
                    proxied.engine.silent_until = loop.time() + silence_s
            await asyncio.sleep(silence_s + self.rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    async def run_alone(self, seconds: float) -> None:
        """Do so without other faults, and record in which time."""
        now = asyncio.get_running_loop().time
        began_at = now()
        await self.run(seconds)
        self.environment.silence_phase = (began_at, now())
