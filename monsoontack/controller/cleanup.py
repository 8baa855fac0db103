"""Removal of expired call records by the holder of the controller lease.

Removals need no fencing. Each is conditional on the listed version, so a record is
removed only once even if two processes act as the holder at the same time.
"""

from collections.abc import Callable, Sequence

from returns.result import Success

from monsoontack.core.clock import Clock
from monsoontack.ledger.removal import RemovalCursor, remove_expired
from monsoontack.store.api import ObjectStore

# Each step makes one list call and at most 50 removals, so the controller uses less
# than a quarter of the fleet's write budget for call records.
REMOVAL_INTERVAL_S = 1.0


class RecordCleanup:
    """Runs one bounded removal step per second while this process holds the lease.

    `accounts` returns the names of the published client accounts. `epoch` returns the
    lease epoch, or None if the lease is not held. `removed_count` is the number of
    records removed so far.
    """

    def __init__(
        self,
        store: ObjectStore,
        accounts: Callable[[], Sequence[str]],
        clock: Clock,
        epoch: Callable[[], int | None],
    ) -> None:
        self.store = store
        self.accounts = accounts
        self.clock = clock
        self.epoch = epoch
        self.cursor = RemovalCursor()
        self.removed_count = 0

    async def run(self) -> None:
        """Remove records until cancelled; a failed step is retried."""
        while True:
            await self.clock.sleep(REMOVAL_INTERVAL_S)
            if self.epoch() is not None:
                await self.step()

    async def step(self) -> None:
        """Run one removal step and advance the cursor if it succeeds."""
        result = await remove_expired(self.store, self.cursor, self.accounts())
        if isinstance(result, Success):
            self.cursor = result.unwrap().cursor
            self.removed_count += result.unwrap().removed
