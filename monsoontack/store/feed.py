"""Follows all objects of one kind: one list, then watches from its revision.

The feed recovers from store outages, from history that the store has dropped and
from connections that stop responding. After a failure, the last known objects stay
in use until a retry succeeds; `KindListener.confirmed` reports how fresh they are.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import structlog
from returns.result import Success

from monsoontack.core.clock import Clock, LoopClock, boot_time
from monsoontack.store.api import (
    HistoryGone,
    KindChange,
    KindObject,
    KindStore,
    StoreError,
    Unavailable,
)
from monsoontack.store.eras import era_of

log = structlog.get_logger("store.feed")

# Delay between retries while the store fails. It is short compared with the seconds
# within which a change has to take effect, and long compared with the store's response
# time of 4 ms.
FIRST_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 0.4
# Changes often come in bursts (all servers of a failure domain, several versions in
# quick succession); after this delay one call reads them together.
COALESCE_DELAY_S = 0.3


class KindListener(Protocol):
    """Receives the objects of a feed."""

    def replace_all(self, objects: tuple[KindObject, ...], revision: int) -> None:
        """Replace all objects with a complete list."""
        ...

    def changed(self, item: KindObject) -> None:
        """Add or replace an object."""
        ...

    def removed(self, name: str, revision: int) -> None:
        """Remove an object."""
        ...

    def confirmed(self, at: float) -> None:
        """Record that the objects were current at `at` (seconds since boot)."""
        ...


@dataclass(slots=True, repr=False)
class KindFeed:
    """Reads all objects of one kind and passes them and their changes to a listener.

    `wait_s` is the timeout of one watch and so the interval at which an unchanged
    kind is confirmed. If `is_required`, the feed must have loaded before the process
    is ready. `on_store_status` is called with the kind, whether the store responds and
    the reason of a failure, each time the store starts or stops responding.
    `on_restored` is called with the kind and the era before the first list of a
    restored store.
    `newest_revision` is the last revision that was applied: an older list would restore
    objects that have been removed since.
    """

    store: KindStore
    kind: str
    listener: KindListener
    wait_s: float
    clock: Clock = field(default_factory=LoopClock)
    rng: random.Random = field(default_factory=random.Random)
    boot_clock: Callable[[], float] = boot_time
    is_required: bool = True
    on_store_status: Callable[[str, bool, str], None] = lambda kind, up, reason: None
    on_restored: Callable[[str, int], None] = lambda kind, era: None
    coalesce_delay_s: float = COALESCE_DELAY_S
    revision: int | None = None
    consecutive_failures: int = 0
    is_loaded: bool = False
    received_changes: bool = False
    newest_revision: int = 0
    reading: asyncio.Task | None = None

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            self.received_changes = False
            error = await self._read()
            if error is None:
                if self.received_changes:
                    await self.clock.sleep(self.coalesce_delay_s)
                continue
            if isinstance(error, HistoryGone):
                log.info(
                    "store dropped the change history; listing again", kind=self.kind
                )
                self.revision = None
                continue
            self._note_failure(error)
            await self.clock.sleep(self._retry_delay())

    async def _read(self) -> StoreError | None:
        """List or watch once; return the error, if any."""
        read = self._list() if self.revision is None else self._watch()
        self.reading = asyncio.ensure_future(read)
        try:
            await asyncio.wait((self.reading,))
        finally:
            self.reading.cancel()
        if self.reading.cancelled():
            return HistoryGone(self.kind)
        return self.reading.result()

    def list_again(self, era: int) -> None:
        """End a watch of a former era, since the store is known to be restored."""
        if self.revision is not None and era_of(self.revision) < era:
            self.reading.cancel()

    def _note_success(self) -> None:
        if self.consecutive_failures:
            self.on_store_status(self.kind, True, "")
        self.consecutive_failures = 0

    def _note_failure(self, error: StoreError) -> None:
        self.consecutive_failures += 1
        if self.consecutive_failures == 1:
            self.on_store_status(self.kind, False, getattr(error, "reason", str(error)))

    def _retry_delay(self) -> float:
        max_delay_s = min(
            FIRST_RETRY_DELAY_S * 2 ** (self.consecutive_failures - 1),
            MAX_RETRY_DELAY_S,
        )
        return max_delay_s * self.rng.uniform(0.5, 1.0)

    async def _list(self) -> StoreError | None:
        sent_at = self.boot_clock()
        result = await self.store.list_kind(self.kind)
        if not isinstance(result, Success):
            return result.failure()
        listed = result.unwrap()
        if listed.revision < self.newest_revision:
            log.warning(
                "list of the store refused, it is older than the one in use",
                kind=self.kind,
                revision=listed.revision,
                in_use=self.newest_revision,
            )
            return Unavailable(self.kind, f"revision {listed.revision} is too old")
        self._note_success()
        if self.is_loaded and era_of(listed.revision) > era_of(self.newest_revision):
            log.warning("list of a restored store", kind=self.kind)
            self.on_restored(self.kind, era_of(listed.revision))
        self.listener.replace_all(listed.objects, listed.revision)
        self.revision = self.newest_revision = listed.revision
        self.is_loaded = True
        self.listener.confirmed(sent_at + listed.confirmed_after_s)
        return None

    async def _watch(self) -> StoreError | None:
        sent_at = self.boot_clock()
        revision = self.revision
        result = await self.store.watch_kind(self.kind, revision, self.wait_s)
        if not isinstance(result, Success):
            return result.failure()
        update = result.unwrap()
        # This comes before the changes: how a listener handles expired objects depends
        # on whether the store has just become available again.
        self._note_success()
        for change in update.changes:
            self._apply_change(change)
        self.received_changes = bool(update.changes)
        self.revision = self.newest_revision = max(update.revision, revision)
        self.listener.confirmed(sent_at + update.confirmed_after_s)
        return None

    def _apply_change(self, change: KindChange) -> None:
        """Pass a change to the listener; an exception does not stop later changes."""
        item = change.object
        try:
            if change.removed:
                self.listener.removed(item.name, item.revision)
            else:
                self.listener.changed(item)
        except Exception:
            log.exception("applying a change failed", kind=self.kind, name=item.name)
