"""Which sources an entry asks for the objects of a kind: the store, and which peers.

An entry follows one source. It prefers its parent in the tree of `readtree`; a reader
prefers the store to any other peer. While it follows another one it also probes those
that it prefers. Once the source fails, the entry searches: in rounds it asks its
parent, several peers and, if a direct read is due, the store, all at the same time. A
peer that has found fresh data serves it to those that ask it next, so that data from a
single entry that reaches the store spreads to the whole fleet within a few rounds. The
first rounds ask the readers, which read the store at once; later ones ask random
peers, so that the readers of a large fleet are not overloaded.

A response states its path, the entries between the store and the peer. An entry uses no
response whose path has the entry itself: two entries that followed each other would
take the data for fresh until it is too old, over and over.
"""

import random
from collections.abc import Collection, Sequence

from monsoontack.gateway.peers import PeerEntry
from monsoontack.gateway.readtree import ReadPlan

# Name of the store as a source; a peer could not be called so in a settings file.
STORE = "(store)"
# Rounds of a search that ask all fallback peers; readers have found fresh data by then,
# if they reach the store.
READER_ROUNDS = 3
# Random peers that each round of a search asks.
RANDOM_PEERS = 3
# Interval of the rounds as a share of the longest watch. Data from two of 30 entries
# reaches all within five rounds or so.
ROUND_SHARE = 0.3
# A search that has taken this many rounds is likely to last, as in an outage of the
# store for all; further rounds are as many times rarer.
PATIENT_AFTER = 12
PATIENT_FACTOR = 3
# Random peers that are asked for a whole list, because lists are long: if all entries
# of a region requested them from its few readers, they would saturate their links.
MAX_LIST_PEERS = 2
# A path is longer only if entries lead each other astray.
MAX_PATH_LENGTH = 16


def preferred_source(plan: ReadPlan) -> str:
    """Return the source that an entry follows unless it fails."""
    return STORE if plan.parent is None else plan.parent.name


def better_sources(plan: ReadPlan, source: str) -> list[str]:
    """Return the sources that an entry prefers to `source`, the best one first."""
    order = [preferred_source(plan)]
    if plan.is_reader and order != [STORE]:
        order.append(STORE)
    return order[: order.index(source)] if source in order else order


def search_peers(
    plan: ReadPlan, number: int, is_list: bool, rng: random.Random
) -> list[PeerEntry]:
    """Return the peers, but the parent, that round `number` (from 0) of a search asks.

    A search for a whole list asks fewer.
    """
    all_peers = plan.all_peers
    if is_list and not plan.is_reader:
        return _sample(all_peers, MAX_LIST_PEERS, rng)
    first = list(plan.fallback_peers)
    if number >= READER_ROUNDS:
        first = _sample(first, 1, rng)
    chosen = dict.fromkeys(first + _sample(all_peers, RANDOM_PEERS, rng))
    return [peer for peer in chosen if peer != plan.parent]


def round_interval_s(number: int, max_watch_s: float) -> float:
    """Return the time from round `number` (from 0) of a search to the next one."""
    factor = 1 if number < PATIENT_AFTER else PATIENT_FACTOR
    return factor * ROUND_SHARE * max_watch_s


def is_usable_path(path: Sequence[str], own_name: str) -> bool:
    """Whether a response with this path does not come from the entry itself."""
    return own_name not in path and len(path) <= MAX_PATH_LENGTH


def _sample(
    peers: Collection[PeerEntry], count: int, rng: random.Random
) -> list[PeerEntry]:
    return rng.sample(tuple(peers), min(count, len(peers)))
