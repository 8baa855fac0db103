"""Removal of expired call records, in bounded steps for the controller.

A step lists one part of an account's records, by leading hexadecimal digits of
the key digest, and removes what has expired there. A part with too many
records is split for the next round, one with few is merged. The age of a
record counts from its last claim, so a key that was claimed again stays bound
for the whole time.
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
SPLIT_ABOVE = 500
MERGE_BELOW = 20
MAX_DIGITS = 8


@dataclass(frozen=True, slots=True)
class RemovalCursor:
    """Where the next step goes on.

    `account` is the last account visited, `prefix` the next leading digits in
    it; `widths` gives the number of digits by which an account is split.
    """

    account: str = ""
    prefix: str | None = None
    widths: tuple[tuple[str, int], ...] = ()

    def width(self, account: str) -> int:
        """Return by how many digits the account is split."""
        return dict(self.widths).get(account, 0)


@dataclass(frozen=True, slots=True)
class RemovalReport:
    """What one step did."""

    cursor: RemovalCursor
    listed: int = 0
    removed: int = 0


def next_account(accounts: Sequence[str], last: str) -> str:
    """Return the account after `last` in order, the first after the last one."""
    ordered = sorted(accounts)
    return next((name for name in ordered if name > last), ordered[0])


def next_prefix(prefix: str) -> str | None:
    """Return the next number of the same width, None after the last."""
    if not prefix or set(prefix) == {"f"}:
        return None
    return f"{int(prefix, 16) + 1:0{len(prefix)}x}"


def is_expired(stored: StoredObject, now_unix_s: float) -> bool:
    """Whether the record may be removed; a malformed one is kept."""
    try:
        record = CallRecord.decode(stored.value)
    except ValueError:
        return False
    age_s = now_unix_s - record.claimed_unix_s
    return age_s > RECORD_LIFETIME_S + CLOCK_MARGIN_S


def advance(
    cursor: RemovalCursor, account: str, prefix: str, listed: int, done: bool
) -> RemovalCursor:
    """Return the cursor after a part with `listed` records.

    A part that is not `done` is visited again.
    """
    width = len(prefix)
    if listed > SPLIT_ABOVE and width < MAX_DIGITS:
        width += 1
    elif listed < MERGE_BELOW and width > 0 and set(prefix) == {"f"}:
        width -= 1
    widths = {**dict(cursor.widths), account: width}
    kept = tuple(sorted((name, w) for name, w in widths.items() if w))
    if width > len(prefix):
        following = prefix + "0"
    else:
        following = next_prefix(prefix) if done else prefix
    return replace(cursor, account=account, prefix=following, widths=kept)


async def remove_expired(
    store: ObjectStore,
    cursor: RemovalCursor,
    accounts: Sequence[str],
    wall_clock: Callable[[], float] = time.time,
    max_removals: int = MAX_REMOVALS_PER_STEP,
) -> Result[RemovalReport, StoreError]:
    """Carry out one step: one list and at most `max_removals` removals.

    Removals are conditional on the version that was listed, so a record that
    is claimed again meanwhile stays.
    """
    if not accounts:
        return Success(RemovalReport(cursor))
    account, prefix = cursor.account, cursor.prefix
    if prefix is None or account not in accounts:
        account = next_account(accounts, account)
        prefix = "0" * cursor.width(account)
    result = await store.list(f"{RECORD_PREFIX}{account}/{prefix}")
    if isinstance(result, Failure):
        if result.failure() != Unavailable(result.failure().key, LIST_TOO_LARGE):
            return result
        after = advance(cursor, account, prefix, SPLIT_ABOVE + 1, False)
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
    after = advance(cursor, account, prefix, len(listed), done)
    return Success(RemovalReport(after, len(listed), removed))
