"""Removal of expired call records by the process that holds the lease.

Removals need no fencing: each is conditional on the version that was listed,
so two holders at once remove the same record once.
"""

from collections.abc import Callable, Sequence

from returns.result import Success

from monsoontack.core.clock import Clock
from monsoontack.ledger.removal import RemovalCursor, remove_expired
from monsoontack.store.api import ObjectStore

# One list and at most 50 removals each time keep the controller below a
# quarter of the writes that the fleet may spend on call records.
STEP_S = 1.0


class RecordCleanup:
    """Runs one bounded removal step a second while the lease is held.

    `accounts` returns the names of the published client accounts, `epoch` the
    lease epoch or None. `removed` counts the records removed.
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
        self.removed = 0

    async def run(self) -> None:
        """Work until cancelled; a failed step is repeated."""
        while True:
            await self.clock.sleep(STEP_S)
            if self.epoch() is not None:
                await self.step()

    async def step(self) -> None:
        """Carry out one removal step."""
        result = await remove_expired(self.store, self.cursor, self.accounts())
        if isinstance(result, Success):
            self.cursor = result.unwrap().cursor
            self.removed += result.unwrap().removed
