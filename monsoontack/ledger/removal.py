"""Removal of expired call records, in bounded steps run by the controller.

A step lists one partition of an account's records, selected by a prefix of the
hexadecimal key digest, and removes its expired records. A partition with too
many records is split for the next round, and partitions with few records are
merged. The age of a record counts from its last claim, so a key that is claimed
again is kept for the whole lifetime.
"""

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from monsoontack.ledger.records import RECORD_PREFIX, CallRecord
from monsoontack.store.api import (
    LIST_TOO_LARGE,
    Conflict,
    ObjectStore,
    StoredObject,
    StoreError,
    Unavailable,
)

RECORD_LIFETIME_S = 24 * 3600.0
# VM clocks differ by up to 1 s.
CLOCK_MARGIN_S = 2.0
MAX_REMOVALS_PER_STEP = 50
SPLIT_ABOVE_RECORDS = 500
MERGE_BELOW_RECORDS = 20
MAX_PREFIX_DIGITS = 8


@dataclass(frozen=True, slots=True)
class RemovalCursor:
    """Position at which the next step continues.

    `account` is the last account visited, `prefix` the digest prefix of its next
    partition. `prefix_lengths` holds the number of digits by which each account
    is partitioned.
    """

    account: str = ""
    prefix: str | None = None
    prefix_lengths: tuple[tuple[str, int], ...] = ()

    def prefix_length(self, account: str) -> int:
        """Return the number of digits by which the account is partitioned."""
        return dict(self.prefix_lengths).get(account, 0)


@dataclass(frozen=True, slots=True)
class RemovalReport:
    """Result of one step."""

    cursor: RemovalCursor
    listed: int = 0
    removed: int = 0


def next_account(accounts: Sequence[str], last: str) -> str:
    """Return the account after `last` in sorted order, wrapping around at the end."""
    ordered = sorted(accounts)
    return next((name for name in ordered if name > last), ordered[0])


def next_prefix(prefix: str) -> str | None:
    """Return the next prefix of the same length, or None after the last one."""
    if not prefix or set(prefix) == {"f"}:
        return None
    return f"{int(prefix, 16) + 1:0{len(prefix)}x}"


def is_expired(stored: StoredObject, now_unix_s: float) -> bool:
    """Return whether the record may be removed; malformed records are kept."""
    try:
        record = CallRecord.decode(stored.value)
    except ValueError:
        return False
    age_s = now_unix_s - record.claimed_unix_s
    return age_s > RECORD_LIFETIME_S + CLOCK_MARGIN_S


def advance_cursor(
    cursor: RemovalCursor, account: str, prefix: str, listed: int, done: bool
) -> RemovalCursor:
    """Return the cursor after a visit to a partition with `listed` records.

    A partition that is not `done` is visited again.
    """
    length = len(prefix)
    if listed > SPLIT_ABOVE_RECORDS and length < MAX_PREFIX_DIGITS:
        length += 1
    elif listed < MERGE_BELOW_RECORDS and length > 0 and set(prefix) == {"f"}:
        length -= 1
    lengths = {**dict(cursor.prefix_lengths), account: length}
    kept = tuple(sorted((name, digits) for name, digits in lengths.items() if digits))
    if length > len(prefix):
        following = prefix + "0"
    else:
        following = next_prefix(prefix) if done else prefix
    return replace(cursor, account=account, prefix=following, prefix_lengths=kept)


async def remove_expired(
    store: ObjectStore,
    cursor: RemovalCursor,
    accounts: Sequence[str],
    wall_clock: Callable[[], float] = time.time,
    max_removals: int = MAX_REMOVALS_PER_STEP,
) -> Result[RemovalReport, StoreError]:
    """Run one step: one list request and at most `max_removals` removals.

    Removals are conditional on the listed version, so a record that is claimed
    again in the meantime is kept.
    """
    if not accounts:
        return Success(RemovalReport(cursor))
    account, prefix = cursor.account, cursor.prefix
    if prefix is None or account not in accounts:
        account = next_account(accounts, account)
        prefix = "0" * cursor.prefix_length(account)
    result = await store.list(f"{RECORD_PREFIX}{account}/{prefix}")
    if isinstance(result, Failure):
        if result.failure() != Unavailable(result.failure().key, LIST_TOO_LARGE):
            return result
        after = advance_cursor(cursor, account, prefix, SPLIT_ABOVE_RECORDS + 1, False)
        return Success(RemovalReport(after))
    listed = result.unwrap()
    expired = [stored for stored in listed if is_expired(stored, wall_clock())]
    removed = 0
    for stored in expired[:max_removals]:
        removal = await store.delete(stored.key, stored.version)
        if isinstance(removal, Success):
            removed += 1
        elif not isinstance(removal.failure(), Conflict):
            return removal
    done = len(expired) <= max_removals
    after = advance_cursor(cursor, account, prefix, len(listed), done)
    return Success(RemovalReport(after, len(listed), removed))
