"""Tree along which entries read the store.

The entries of a region form a tree by rendezvous hash. Each entry reads through its
parent; the root of a region reads through the root of all regions, and only that one
reads the store. `FANOUT` bounds the work of an entry for others, the number of store
calls does not grow with the fleet, and an update passes through only a few entries.
Every entry that sees both a parent and its child ranks the parent first, so that
entries with different views cannot form a cycle.
"""

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from monsoontack.core.rendezvous import ranked, stable_hash
from monsoontack.gateway.peers import PeerEntry

READER_RANK_KEY = stable_hash("store-readers")
# Children per entry: 400 entries in two regions form three levels, and a VM of 0.4
# cores spends about 1 % of a core on its children.
FANOUT = 6
# The first entries of a region (its readers) read the store as soon as their parent
# has no fresh data; all others wait for the readers, so that the outage of one entry
# causes few store calls.
READERS_PER_REGION = 3
# Pause of a reader after a failed read of the store.
READER_RETRY_PAUSE_S = 0.5
# Entries that are not readers read the store if no peer had fresh data for at least
# `MIN_READ_DELAY_S`. Their first attempts are spread up to `MAX_READ_DELAY_S`, so that
# few read before they hear of the readers' success, and a change that only one entry
# can read still reaches all in time. Later attempts are spread so that the whole fleet
# makes one call in each `FLEET_CALL_INTERVAL_S`.
MIN_READ_DELAY_S = 0.3
MAX_READ_DELAY_S = 1.2
FLEET_CALL_INTERVAL_S = 0.08


@dataclass(frozen=True, slots=True)
class ReadPlan:
    """Peers that an entry reads through: its parent, then its fallback peers.

    A reader asks the store before the fallback peers. `all_peers` holds all other
    entries, `fleet_size` counts them and the entry itself.
    """

    parent: PeerEntry | None = None
    fallback_peers: tuple[PeerEntry, ...] = ()
    all_peers: tuple[PeerEntry, ...] = ()
    is_reader: bool = True
    fleet_size: int = 1


def plan_reads(name: str, region: str, peers: Mapping[str, PeerEntry]) -> ReadPlan:
    """Return the read plan of the entry `name`; `peers` may contain the entry."""
    known_peers = {n: p for n, p in peers.items() if n != name}
    ranking = ranked(
        READER_RANK_KEY, [n for n, p in known_peers.items() if p.region == region]
    )
    other_roots = _roots_of_other_regions(known_peers, region)
    root_ranking = ranked(
        READER_RANK_KEY,
        [name, *ranking[:READERS_PER_REGION], *(root.name for root in other_roots)],
    )
    ranking = ranked(READER_RANK_KEY, [name, *ranking])
    rank = ranking.index(name)
    if rank == 0:
        parent = known_peers.get(root_ranking[0])
    else:
        parent = known_peers[
            ranking[0 if rank < READERS_PER_REGION else (rank - 1) // FANOUT]
        ]
    fallbacks = [
        known_peers[n] for n in ranking[:READERS_PER_REGION] if n != name
    ] + other_roots
    return ReadPlan(
        parent=parent,
        fallback_peers=tuple(peer for peer in fallbacks if peer != parent),
        all_peers=tuple(known_peers.values()),
        is_reader=rank < READERS_PER_REGION,
        fleet_size=len(known_peers) + 1,
    )


def _roots_of_other_regions(
    known_peers: Mapping[str, PeerEntry], region: str
) -> list[PeerEntry]:
    """Return the first-ranked entry of each other region."""
    regions: dict[str, list[str]] = {}
    for name, peer in known_peers.items():
        if peer.region != region:
            regions.setdefault(peer.region, []).append(name)
    return [
        known_peers[ranked(READER_RANK_KEY, names)[0]] for names in regions.values()
    ]


@dataclass(slots=True, repr=False)
class DirectReadLimiter:
    """Limits how often an entry reads the store directly; shared by its feeds.

    `waiting_since` holds, by feed, since when no peer has had fresh data. Each feed
    waits for its own: fresh data of one kind says nothing of the others. `is_trying` is
    set while a feed tries whether the store answers; the others wait for the outcome,
    except those of a reader that has not failed to read it.
    """

    rng: random.Random = field(default_factory=random.Random)
    waiting_since: dict[str, float] = field(default_factory=dict)
    delay_s: float | None = None
    paused_until: float = 0.0
    is_failing: bool = False
    is_trying: bool = False

    def may_read(self, plan: ReadPlan, now: float, feed: str = "") -> bool:
        """Whether the store may be read now, given that no peer has fresh data."""
        if plan.is_reader:
            must_wait = self.is_trying and self.is_failing
            return now >= self.paused_until and not must_wait
        if self.delay_s is None:
            spread_s = min(
                plan.fleet_size * FLEET_CALL_INTERVAL_S,
                MAX_READ_DELAY_S - MIN_READ_DELAY_S,
            )
            self.delay_s = MIN_READ_DELAY_S + self.rng.uniform(0.0, spread_s)
        due_at = self.waiting_since.setdefault(feed, now) + self.delay_s
        return now >= max(due_at, self.paused_until) and not self.is_trying

    def note_fresh(self, feed: str = "") -> None:
        """Record that a peer had fresh data.

        The store is up for others then, so the pause after a failure ends.
        """
        if self.waiting_since.pop(feed, None) is not None:
            self.paused_until = 0.0
        if not self.waiting_since:
            self.delay_s = None

    def note_trying(self, task: asyncio.Task) -> None:
        """Record that `task` tries whether the store answers."""
        self.is_trying = True
        task.add_done_callback(self._note_tried)

    def _note_tried(self, task: asyncio.Task) -> None:
        self.is_trying = False

    def note_success(self, feed: str = "") -> None:
        """Record that the store had fresh data."""
        self.note_fresh(feed)
        self.paused_until, self.is_failing = 0.0, False

    def note_failure(self, plan: ReadPlan, now: float) -> None:
        """Record that the store failed; the next attempt is due after a pause."""
        pause_s = READER_RETRY_PAUSE_S
        if not plan.is_reader:
            pause_s = max(plan.fleet_size * FLEET_CALL_INTERVAL_S, pause_s)
            pause_s *= self.rng.uniform(0.5, 1.5)
        self.paused_until, self.is_failing = now + pause_s, True
