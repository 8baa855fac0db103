"""Limits that engines state, change and end at random, and malformed ones.

These faults have their own random generator, so that a seed still produces the same
sequence of the other faults.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.environment import SoakEnvironment

MALFORMED_LIMITS = ("-3", "nan", "1e999", "", "9" * 5000, "4,5", "four")
# An engine for calls gets about 7 requests a second in a soak without limits, so these
# bind, and a gateway that keeps them for itself alone exceeds them.
MIN_LIMIT_PER_S, MAX_LIMIT_PER_S = 0.4, 2.0
# Long enough for some 4 s after the 4 s in which a limit comes into force.
MIN_SPAN_S, MAX_SPAN_S = 7.0, 14.0
MAX_PAUSE_S = 2.0


@dataclass(slots=True)
class LimitFaults:
    """Makes engines state limits; `counts` has the number of each kind."""

    environment: SoakEnvironment
    rng: random.Random
    counts: Counter = field(default_factory=Counter)

    async def run(self, seconds: float) -> None:
        """Let engines state limits for `seconds`, each for some time."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            proxied = self.rng.choice(
                [p for p in self.environment.proxied_engines if p.service == "desk"]
            )
            limit = self.rng.uniform(MIN_LIMIT_PER_S, MAX_LIMIT_PER_S)
            span_s = min(self.rng.uniform(MIN_SPAN_S, MAX_SPAN_S), until - loop.time())
            await self._state(proxied.engine, limit, span_s)
            if self.rng.random() < 0.3:
                proxied.engine.limit = self.rng.choice(MALFORMED_LIMITS)
                self.counts["malformed_limit"] += 1
            await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
            proxied.engine.limit = None

    async def _state(self, engine, limit: float, span_s: float) -> None:
        """Let an engine state a limit, and record for how long it did."""
        self.counts["limit"] += 1
        now = asyncio.get_running_loop().time
        began_at = now()
        engine.limit = f"{limit:.2f}"
        await asyncio.sleep(span_s)
        self.environment.limit_spans.append((engine, limit, began_at, now()))
