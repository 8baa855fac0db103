"""Odd entries that another writer leaves among the entries of the servers."""

import asyncio
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from soak.environment import SoakEnvironment
from standins.oddentries import ODD_NAMES, ODD_REVISIONS, odd_entries

MAX_PAUSE_S = 1.0
MAX_ENTRIES = 4
ODD_METADATA_SHARE = 0.2


@dataclass(slots=True)
class EntryFaults:
    """Writes odd entries; `counts` has how many."""

    environment: SoakEnvironment
    rng: random.Random
    counts: Counter = field(default_factory=Counter)

    async def run(self, seconds: float) -> None:
        """Write odd entries for `seconds`, and remove the oldest ones."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        names: deque[str] = deque()
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
            self.counts["odd_entry"] += 1
            names.append(f"odd-{self.counts['odd_entry']}")
            self._write(names[-1])
            if len(names) > MAX_ENTRIES:
                self.environment.remove_entry(names.popleft())
        for name in names:
            self.environment.remove_entry(name)

    def _write(self, name: str) -> None:
        """Write one entry, at times with an odd name or revision in its metadata."""
        raw_name = raw_revision = None
        if self.rng.random() < ODD_METADATA_SHARE:
            raw_name = self.rng.choice(ODD_NAMES)
        if self.rng.random() < ODD_METADATA_SHARE:
            raw_revision = self.rng.choice(ODD_REVISIONS)
        self.environment.store.put_raw(
            "servers", name, odd_entries(self.rng), raw_name, raw_revision
        )
