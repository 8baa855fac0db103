"""Engines that pause at any byte of an answer, and at times end the connection there.

They do so beside the other faults and, beside silent engines only, in the phase after
them, when no connection is ended.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from soak.environment import SoakEnvironment

MIN_PAUSE_S, MAX_PAUSE_S = 0.3, 3.0
# A stream has about 50 reads with events, so about every third one pauses at an event.
EVENT_SHARE = 0.008
CALL_SHARE = 0.05
END_SHARE = 0.3
BREAK_SHARE = 0.2


@dataclass(slots=True)
class PauseFaults:
    """Lets engines pause inside answers; `counts` has the number of pauses."""

    environment: SoakEnvironment
    rng: random.Random
    counts: Counter = field(default_factory=Counter)

    async def run(self, seconds: float) -> None:
        """Let answers pause for `seconds`, and some connections end there."""
        await self._run(seconds, BREAK_SHARE)

    async def run_alone(self, seconds: float) -> None:
        """Let answers pause for `seconds`, without an end of a connection."""
        await self._run(seconds, 0.0)

    async def _run(self, seconds: float, break_share: float) -> None:
        proxies = [proxied.proxy for proxied in self.environment.proxied_engines]
        for proxy in proxies:
            proxy.rng = random.Random(self.rng.random())
            proxy.min_pause_s, proxy.max_pause_s = MIN_PAUSE_S, MAX_PAUSE_S
            proxy.event_share, proxy.call_share = EVENT_SHARE, CALL_SHARE
            proxy.end_share, proxy.break_share = END_SHARE, break_share
            proxy.pauses = proxy.end_pauses = 0
        await asyncio.sleep(seconds)
        for proxy in proxies:
            proxy.event_share = proxy.call_share = proxy.end_share = 0.0
            proxy.break_share = 0.0
            self.counts["answer_pause"] += proxy.pauses
            self.counts["end_pause"] += proxy.end_pauses
