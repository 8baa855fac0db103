"""Follows all objects of one kind: a list, then watches from its revision.

The feed survives an outage of the store, a history that was dropped and a
connection that went silent. Between a failure and the next try the last known
objects stay in force; `KindListener.confirmed` tells how fresh they are.
"""

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

log = structlog.get_logger("store.feed")

# Between tries while the store fails. Short against the seconds within which a
# change has to be in force, long against the store's answer time of 4 ms.
RETRY_S = 0.2
MAX_RETRY_S = 0.4
# After a change, others usually follow (servers of a domain, versions in quick
# succession); waiting this long reads them with one call.
SETTLE_S = 0.3


class KindListener(Protocol):
    """Takes in the objects of a feed."""

    def replace_all(self, objects: tuple[KindObject, ...], revision: int) -> None:
        """Take over a complete list."""
        ...

    def changed(self, item: KindObject) -> None:
        """Take over a new or changed object."""
        ...

    def removed(self, name: str, revision: int) -> None:
        """Forget an object."""
        ...

    def confirmed(self, at: float) -> None:
        """Note that the objects were current at `at` (seconds since boot)."""
        ...


@dataclass(slots=True)
class KindFeed:
    """Feed of one kind into a listener.

    `wait_s` bounds one watch; it is also how often an unchanged kind is
    confirmed. `is_required` feeds have to be loaded before the process is ready.
    `on_store_status` hears whether the store answers this feed. `newest` is the last
    revision that was taken over: a list from before would bring back what has left.
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
    coalesce_delay_s: float = SETTLE_S
    revision: int | None = None
    failures: int = 0
    is_loaded: bool = False
    has_changed: bool = False
    newest: int = 0

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            self.has_changed = False
            error = await (self._list() if self.revision is None else self._watch())
            if error is None:
                if self.has_changed:
                    await self.clock.sleep(self.coalesce_delay_s)
                continue
            if isinstance(error, HistoryGone):
                log.info("history of a kind is gone", kind=self.kind)
                self.revision = None
                continue
            self._failed(error)
            await self.clock.sleep(self._retry_delay())

    def _answered(self) -> None:
        if self.failures:
            self.on_store_status(self.kind, True, "")
        self.failures = 0

    def _failed(self, error: StoreError) -> None:
        self.failures += 1
        if self.failures == 1:
            self.on_store_status(self.kind, False, getattr(error, "reason", str(error)))

    def _retry_delay(self) -> float:
        longest = min(RETRY_S * 2 ** (self.failures - 1), MAX_RETRY_S)
        return longest * self.rng.uniform(0.5, 1.0)

    async def _list(self) -> StoreError | None:
        sent_at = self.boot_clock()
        result = await self.store.list_kind(self.kind)
        if not isinstance(result, Success):
            return result.failure()
        listed = result.unwrap()
        if listed.revision < self.newest:
            return Unavailable(self.kind, f"revision {listed.revision} is too old")
        self._answered()
        self.listener.replace_all(listed.objects, listed.revision)
        self.revision = self.newest = listed.revision
        self.is_loaded = True
        self.listener.confirmed(sent_at + listed.confirmed_after_s)
        return None

    async def _watch(self) -> StoreError | None:
        sent_at = self.boot_clock()
        revision = self.revision
        result = await self.store.watch_kind(self.kind, revision, self.wait_s)
        if not isinstance(result, Success):
            return result.failure()
        answer = result.unwrap()
        # Listeners judge what lapsed by whether the store has just returned.
        self._answered()
        for change in answer.changes:
            self._take(change)
        self.has_changed = bool(answer.changes)
        self.revision = self.newest = max(answer.revision, revision)
        self.listener.confirmed(sent_at + answer.confirmed_after_s)
        return None

    def _take(self, change: KindChange) -> None:
        """Pass one change on; one that cannot be taken over stops no other."""
        item = change.object
        try:
            if change.removed:
                self.listener.removed(item.name, item.revision)
            else:
                self.listener.changed(item)
        except Exception:
            log.exception("object not taken over", kind=self.kind, name=item.name)
