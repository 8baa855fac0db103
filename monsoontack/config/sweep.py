"""Garbage collection of unreferenced chunks.

A sweep lists chunks, then reads the head, and then removes by conditional deletes
the chunks that no head has referenced for `GRACE_S`. This is safe against every
other publisher: while the head carries the lease epoch of this publisher, no
publisher with a higher epoch has begun to write chunks. A publisher that begins
later writes each chunk that it needs, which raises the version, so that the
delete fails.

Each sweep lists only one of 16 digest prefixes, because the store's list response
contains the values.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from monsoontack.config.operations import Delete
from monsoontack.config.revision import CHUNK_PREFIX, Head, chunk_key
from monsoontack.store.api import StoredObject

INTERVAL_S = 120.0  # a list is about 250 KB at 16,000 accounts, which makes 2 KB/s
GRACE_S = 600.0  # time for a slow reader of an older head to fetch its chunks
PREFIXES = "0123456789abcdef"


@dataclass(frozen=True, slots=True)
class SweepState:
    """Progress of the sweeps.

    `listed` holds the versions by key of the last list. `candidates` maps
    unreferenced keys to their version and the time at which they were first found.
    """

    next_prefix: int = 0
    due_at: float | None = None
    listed: Mapping[str, int] = field(default_factory=dict)
    candidates: Mapping[str, tuple[int, float]] = field(default_factory=dict)


def is_due(state: SweepState, now: float) -> bool:
    """Return whether it is time to list the next prefix."""
    return state.due_at is None or now >= state.due_at


def current_key_prefix(state: SweepState) -> str:
    """Return the key prefix of the current sweep."""
    return CHUNK_PREFIX + PREFIXES[state.next_prefix]


def record_list(
    state: SweepState, objects: list[StoredObject], now: float
) -> SweepState:
    """Store the result of a list and schedule the next one."""
    return replace(
        state,
        listed={item.key: item.version for item in objects},
        due_at=now + INTERVAL_S,
    )


def choose_deletes(
    state: SweepState, head: Head, now: float
) -> tuple[SweepState, tuple[Delete, ...]]:
    """Return the deletes to execute, given the head that was read after the list."""
    used = {chunk_key(digest) for digest in head.chunks.values()}
    key_prefix = current_key_prefix(state)
    kept = {k: c for k, c in state.candidates.items() if not k.startswith(key_prefix)}
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
