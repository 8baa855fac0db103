"""Choice of unreferenced chunks to remove.

A sweep lists chunks, reads the head afterwards, and then removes, by
conditional deletes, those that no head has referenced for a while. It is safe
against every other publisher: while the head carries this epoch, no publisher
with a higher epoch has begun to write chunks. One that begins later writes
each chunk it needs, which raises the version, and the delete fails.

One of 16 digest prefixes is listed at a time, since a list answers with values.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from monsoontack.config.operations import Delete
from monsoontack.config.revision import CHUNK_PREFIX, Head, chunk_key
from monsoontack.store.api import StoredObject

INTERVAL_S = 120.0  # one list is about 250 KB at 16,000 accounts: 2 KB/s
GRACE_S = 600.0  # lets a slow reader of an older head fetch its chunks
PREFIXES = "0123456789abcdef"


@dataclass(frozen=True, slots=True)
class SweepState:
    """`listed` is the last list as versions by key; `candidates` were seen
    unreferenced, with their version and since when.
    """

    next_prefix: int = 0
    due_at: float | None = None
    listed: Mapping[str, int] = field(default_factory=dict)
    candidates: Mapping[str, tuple[int, float]] = field(default_factory=dict)


def is_due(state: SweepState, now: float) -> bool:
    """Return whether the next prefix should be listed."""
    return state.due_at is None or now >= state.due_at


def prefix(state: SweepState) -> str:
    """Return the prefix of keys to list next."""
    return CHUNK_PREFIX + PREFIXES[state.next_prefix]


def listed(state: SweepState, objects: list[StoredObject], now: float) -> SweepState:
    """Return the state after a list of the prefix that was due."""
    return replace(
        state,
        listed={item.key: item.version for item in objects},
        due_at=now + INTERVAL_S,
    )


def choose(
    state: SweepState, head: Head, now: float
) -> tuple[SweepState, tuple[Delete, ...]]:
    """Return the deletes to make, given the head read after the list."""
    used = {chunk_key(digest) for digest in head.chunks.values()}
    below = prefix(state)
    kept = {k: c for k, c in state.candidates.items() if not k.startswith(below)}
    deletes = []
    for key, version in state.listed.items():
        if key in used:
            continue
        seen, since = state.candidates.get(key, (version, now))
        since = since if seen == version else now
        if now - since >= GRACE_S:
            deletes.append(Delete(key, version))
        else:
            kept[key] = (version, since)
    advanced = (state.next_prefix + 1) % len(PREFIXES)
    state = replace(state, next_prefix=advanced, listed={}, candidates=kept)
    return state, tuple(deletes)
