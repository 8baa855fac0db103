"""Cache of all objects of one kind, from which peers can read them.

The cache sits between a feed and its listener. It keeps the most recent changes
and knows the age of its content. Of the changes of one object it keeps the last one,
which has the state that is in the cache anyway. So the changes take memory for the
names of removed objects only, however large the objects are.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoontack.core.clock import boot_time
from monsoontack.store.api import KindChange, KindObject
from monsoontack.store.feed import KindListener

# A reader that has missed more changes than this reads the whole list.
MAX_KEPT_CHANGES = 256


@dataclass(slots=True, repr=False)
class KindCache:
    """Objects of a kind by name, with the changes since `oldest_revision`.

    Readers that have a revision of at least `oldest_revision` need only the
    changes, which are ordered by revision and kept by name. Content that was last
    confirmed more than `max_age_s` ago is not served to peers. An object for which
    `is_newer` says that the state in the cache is newer than a written one stays as it
    is: a restored store has former states.
    `path` names the entries through which the content came from the store, the last one
    first.
    """

    listener: KindListener
    max_age_s: float = float("inf")
    boot_clock: Callable[[], float] = boot_time
    is_newer: Callable[[KindObject, KindObject | None], bool] = lambda one, other: False
    objects: dict[str, KindObject] = field(default_factory=dict)
    changes: dict[str, KindChange] = field(default_factory=dict)
    revision: int = 0
    oldest_revision: int = 0
    is_loaded: bool = False
    confirmed_at: float = float("-inf")
    path: tuple[str, ...] = ()
    waiters: set[asyncio.Future] = field(default_factory=set)

    def replace_all(self, objects: tuple[KindObject, ...], revision: int) -> None:
        """Replace all objects with a complete list."""
        objects = self._with_newer_ones(objects)
        self.objects = {item.name: item for item in objects}
        self.changes.clear()
        self.revision = self.oldest_revision = revision
        self.is_loaded = True
        self.listener.replace_all(objects, revision)
        self._wake_waiters()

    def changed(self, item: KindObject) -> None:
        """Add or replace an object."""
        known = self.objects.get(item.name)
        if known is not None and self.is_newer(known, item):
            return
        self.objects[item.name] = item
        self._append(KindChange(item, False))
        self.listener.changed(item)

    def removed(self, name: str, revision: int) -> None:
        """Remove an object."""
        self.objects.pop(name, None)
        self._append(KindChange(KindObject(name, revision, None, None), True))
        self.listener.removed(name, revision)

    def _with_newer_ones(
        self, objects: tuple[KindObject, ...]
    ) -> tuple[KindObject, ...]:
        """Return the objects of a list, or the newer states of them in the cache."""
        listed = {item.name: item for item in objects}
        for name, known in self.objects.items():
            if self.is_newer(known, listed.get(name)):
                listed[name] = known
        return tuple(listed.values())

    def confirmed(self, at: float) -> None:
        """Record that the objects were current at `at` (seconds since boot)."""
        self.confirmed_at = max(self.confirmed_at, at)
        self.listener.confirmed(at)
        self._wake_waiters()

    @property
    def is_fresh(self) -> bool:
        """Whether the objects are loaded and were confirmed within `max_age_s`."""
        return self.is_loaded and self.age_s() <= self.max_age_s

    def fresh_for_s(self) -> float:
        """Return the time for which the content stays fresh without an update."""
        return max(self.max_age_s - self.age_s(), 0.0)

    def age_s(self) -> float:
        """Return the time since the objects were last confirmed to be current."""
        return self.boot_clock() - self.confirmed_at

    def changes_since(self, revision: int) -> tuple[KindChange, ...] | None:
        """Return the last change of each object that changed after a revision.

        Return None if some are no longer kept.
        """
        if not self.is_loaded or revision < self.oldest_revision:
            return None
        return tuple(c for c in self.changes.values() if c.object.revision > revision)

    async def wait(self, timeout_s: float) -> None:
        """Wait for the next change or confirmation, at most `timeout_s`."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            await asyncio.wait((waiter,), timeout=timeout_s)
        finally:
            self.waiters.discard(waiter)

    def _append(self, change: KindChange) -> None:
        self.revision = max(self.revision, change.object.revision)
        self.changes.pop(change.object.name, None)
        self.changes[change.object.name] = change
        if len(self.changes) > MAX_KEPT_CHANGES:
            dropped = self.changes.pop(next(iter(self.changes)))
            self.oldest_revision = max(self.oldest_revision, dropped.object.revision)
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
