"""Engines that answer a resumed stream with an error or with other events."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.environment import SoakEnvironment
from standins.directengine import RESUME_BEHAVIORS

MIN_SPAN_S, MAX_SPAN_S = 0.5, 2.5
MAX_PAUSE_S = 0.5
ALL_SHARE = 0.3


@dataclass(slots=True)
class ResumeFaults:
    """Lets engines answer resumed streams wrongly; `counts` has the kinds."""

    environment: SoakEnvironment
    rng: random.Random
    counts: Counter = field(default_factory=Counter)

    async def run(self, seconds: float) -> None:
        """Let one engine, or all, answer wrongly for some time, again and again."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
            proxied_engines = self.environment.proxied_engines
            if self.rng.random() >= ALL_SHARE:
                proxied_engines = [self.rng.choice(proxied_engines)]
            behavior = self.rng.choice(RESUME_BEHAVIORS)
            self.counts[f"resume_{behavior}"] += 1
            engines = [proxied.engine for proxied in proxied_engines]
            for engine in engines:
                engine.resume_behavior = behavior
            await asyncio.sleep(self.rng.uniform(MIN_SPAN_S, MAX_SPAN_S))
            for engine in engines:
                engine.resume_behavior = ""
