"""Tree of entries along which limits and permits pass.

Entries of a region form a tree by rendezvous hash, as for reads of the store
(`monsoontack.gateway.readtree`), and the roots of the regions attach to the highest
ranked one. Each entry attaches only to entries that rank above it, so that entries with
different views cannot form a cycle.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from monsoontack.core.rendezvous import ranked, score
from monsoontack.gateway.peers import PeerEntry
from monsoontack.gateway.readtree import FANOUT, READER_RANK_KEY

# Entries at the top of the region to attach to if all ancestors fail.
TOP_ENTRIES = 3


@dataclass(frozen=True, slots=True)
class TreePlace:
    """Place of one entry: its `parents`, best first, and planned `children`."""

    parents: tuple[PeerEntry, ...] = ()
    children: tuple[PeerEntry, ...] = ()


def tree_place(name: str, region: str, entries: Mapping[str, PeerEntry]) -> TreePlace:
    """Return the place of the entry `name`; `entries` may contain the entry."""
    others = {n: p for n, p in entries.items() if n != name and p.address}
    own_region = [name, *(n for n, p in others.items() if p.region == region)]
    ranking = ranked(READER_RANK_KEY, own_region)
    rank = ranking.index(name)
    roots = _region_roots(others, region)
    is_above = {root: score(READER_RANK_KEY, root) > _score(name) for root in roots}
    parents = [ranking[i] for i in _ancestor_ranks(rank)]
    parents += [n for n in ranking[: min(rank, TOP_ENTRIES)] if n not in parents]
    parents += [root for root in roots if is_above[root]]
    children = ranking[rank * FANOUT + 1 : (rank + 1) * FANOUT + 1]
    if rank == 0:
        children += [root for root in roots if not is_above[root]]
    return TreePlace(
        tuple(others[n] for n in parents), tuple(others[n] for n in children)
    )


def _score(name: str) -> int:
    return score(READER_RANK_KEY, name)


def _ancestor_ranks(rank: int) -> list[int]:
    """Return the ranks of parent, grandparent and so on up to the root."""
    found = []
    while rank > 0:
        rank = (rank - 1) // FANOUT
        found.append(rank)
    return found


def _region_roots(others: Mapping[str, PeerEntry], region: str) -> list[str]:
    """Return the first-ranked entry of each other region, highest score first."""
    first: dict[str, str] = {}
    for name, peer in others.items():
        best = first.get(peer.region)
        if peer.region != region and (best is None or _score(name) > _score(best)):
            first[peer.region] = name
    return ranked(READER_RANK_KEY, first.values())
