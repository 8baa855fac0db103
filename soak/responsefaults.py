"""Malformed and repeated responses of backend servers, beside the other faults.

These faults have their own random generator, so that a seed still produces the same
sequence of the other faults.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.environment import SoakEnvironment

RESPONSE_FAULTS = (
    "endless_head",
    "endless_trailers",
    "twice",
    "comments",
    "refuse_again",
)
MIN_PAUSE_S = 0.3
MAX_PAUSE_S = 1.5


@dataclass(slots=True)
class ResponseFaults:
    """Makes one engine at a time send malformed responses, or all repeat refusals."""

    environment: SoakEnvironment
    rng: random.Random
    counts: Counter = field(default_factory=Counter)

    async def run(self, seconds: float) -> None:
        """Inject faults for `seconds`, one at a time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            proxied_engines = self.environment.proxied_engines
            engines = [self.rng.choice(proxied_engines).engine]
            behavior = self.rng.choice(RESPONSE_FAULTS)
            if behavior == "refuse_again":
                # A caller gets the refusal only if all engines of a service refuse.
                engines = [proxied.engine for proxied in proxied_engines]
            self.counts[behavior] += 1
            for engine in engines:
                engine.behavior = behavior
            await asyncio.sleep(self.rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            for engine in engines:
                if engine.behavior == behavior:
                    engine.behavior = "ok"
