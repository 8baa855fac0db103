"""Prompt parts and calls that crash the engines which run them, one after another.

These faults have their own random generators, so that a seed still produces the same
sequence of the other faults.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import ClassVar

from soak.enginecrashes import EngineCrashes
from soak.environment import ACCOUNT, SoakEnvironment
from standins.directengine import call_key

# Shortest and longest time: for five crashes, the time to learn from them, and more.
PART_SPAN_S = (8.0, 14.0)
# The same for calls, of which few arrive while all engines of their service are down.
CALL_SPAN_S = (20.0, 30.0)
MAX_PAUSE_S = 3.0


@dataclass(slots=True)
class PromptFaults:
    """Makes parts of prompts deadly; `counts` has the number of parts."""

    span_s: ClassVar[tuple[float, float]] = PART_SPAN_S
    environment: SoakEnvironment
    rng: random.Random
    counts: Counter = field(default_factory=Counter)

    async def run(self, seconds: float) -> None:
        """Make one part after the other deadly for `seconds`."""
        environment, loop = self.environment, asyncio.get_running_loop()
        crashes = EngineCrashes(environment)
        until = loop.time() + seconds
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
            self._begin()
            crashes.prepare_all()
            span_s = min(self.rng.uniform(*self.span_s), until - loop.time())
            await asyncio.sleep(max(span_s, 0.0))
            self._pause()
        await crashes.end()

    def _begin(self) -> None:
        self.counts["deadly_part"] += 1
        self.environment.deadly_part = f"deadly-{self.counts['deadly_part']}"
        self.environment.deadly_parts.add(self.environment.deadly_part)

    def _pause(self) -> None:
        self.environment.deadly_part = None


@dataclass(slots=True)
class RequestFaults(PromptFaults):
    """Makes calls deadly that come again; `counts` has the number of calls."""

    span_s: ClassVar[tuple[float, float]] = CALL_SPAN_S

    def _begin(self) -> None:
        self.counts["deadly_call"] += 1
        path = self.environment.deadly_path = f"deadly-{self.counts['deadly_call']}"
        self.environment.deadly_calls.add(call_key(ACCOUNT, f"/look/{path}"))

    def _pause(self) -> None:
        self.environment.deadly_path = None
