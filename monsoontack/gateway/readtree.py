"""Through whom an entry reads the store.

The entries of a region form a tree by rendezvous hash: each reads through its
parent, the first of a region through the first of all, and only that one reads the
store. The work of an entry for others is bounded by `FANOUT`, the calls of the store
do not grow with the fleet, and news pass a few entries on their way. Every entry
ranks before its children for all that see both, so that no circle can form.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from monsoontack.core.rendezvous import ranked, stable_hash
from monsoontack.gateway.peers import PeerEntry

READER_RANK_KEY = stable_hash("store-readers")
# Children of an entry: 400 entries of two regions stand in three levels, and a VM of
# 0.4 cores spends about 1 % of a core on them.
FANOUT = 6
# The first entries of a region read the store as soon as their parent has no news;
# all others wait for them, so that an outage of one costs few calls.
READERS = 3
# Between two tries of an entry for which the store failed.
READER_PAUSE_S = 0.5
# Others read the store if nobody of whom they know had news for this time. The first
# tries of all are spread up to `MAX_PATIENCE_S`, which leaves half a second of the
# 2.5 s within which a change has to be in force, and later ones so far that the
# fleet makes a call each `CALL_SPACING_S`.
PATIENCE_S = 0.3
MAX_PATIENCE_S = 2.0
CALL_SPACING_S = 0.15


@dataclass(frozen=True, slots=True)
class ReadPlan:
    """Whom an entry asks: its parent, then some of `others` without waiting.

    A reader asks the store before the others. `entries` is the size of the fleet,
    `anyone` are all other entries.
    """

    parent: PeerEntry | None = None
    others: tuple[PeerEntry, ...] = ()
    anyone: tuple[PeerEntry, ...] = ()
    is_reader: bool = True
    entries: int = 1


def plan_reads(name: str, region: str, peers: Mapping[str, PeerEntry]) -> ReadPlan:
    """Return the plan of the entry `name`; `peers` may hold the entry itself."""
    known = {n: p for n, p in peers.items() if n != name}
    order = ranked(READER_RANK_KEY, [n for n, p in known.items() if p.region == region])
    heads = _other_heads(known, region)
    everyone = ranked(
        READER_RANK_KEY, [name, *order[:READERS], *(h.name for h in heads)]
    )
    order = ranked(READER_RANK_KEY, [name, *order])
    place = order.index(name)
    if place == 0:
        parent = known.get(everyone[0])
    else:
        parent = known[order[0 if place < READERS else (place - 1) // FANOUT]]
    asked = [known[n] for n in order[:READERS] if n != name] + heads
    return ReadPlan(
        parent=parent,
        others=tuple(peer for peer in asked if peer != parent),
        anyone=tuple(known.values()),
        is_reader=place < READERS,
        entries=len(known) + 1,
    )


def _other_heads(known: Mapping[str, PeerEntry], region: str) -> list[PeerEntry]:
    """Return the first entry of each other region."""
    regions: dict[str, list[str]] = {}
    for name, peer in known.items():
        if peer.region != region:
            regions.setdefault(peer.region, []).append(name)
    return [known[ranked(READER_RANK_KEY, names)[0]] for names in regions.values()]


@dataclass(slots=True)
class DirectReadLimiter:
    """When an entry may read the store itself; shared by all its feeds."""

    rng: random.Random = field(default_factory=random.Random)
    next_at: float | None = None
    failed_until: float = 0.0

    def may_read(self, plan: ReadPlan, now: float) -> bool:
        """Whether the store may be asked while the peers have no news."""
        if plan.is_reader:
            return now >= self.failed_until
        if self.next_at is None:
            spread_s = min(plan.entries * CALL_SPACING_S, MAX_PATIENCE_S - PATIENCE_S)
            self.next_at = now + PATIENCE_S + self.rng.uniform(0.0, spread_s)
        return now >= self.next_at

    def note_news(self) -> None:
        """Note that a peer or the store had news."""
        self.next_at, self.failed_until = None, 0.0

    def note_failed(self, plan: ReadPlan, now: float) -> None:
        """Note that the store failed; the next try is due after a pause."""
        self.failed_until = now + READER_PAUSE_S
        pause_s = max(plan.entries * CALL_SPACING_S, READER_PAUSE_S)
        self.next_at = now + self.rng.uniform(0.5, 1.5) * pause_s
