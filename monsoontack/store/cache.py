"""Copy of one kind of objects that this process follows, for others to read.

It stands between a feed and its listener, keeps the newest changes, and tells how
old its content is.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoontack.core.clock import boot_time
from monsoontack.store.api import KindChange, KindObject
from monsoontack.store.feed import KindListener

# Changes that are kept; a reader that is further behind reads the whole list.
KEPT_CHANGES = 256


@dataclass(slots=True)
class KindCache:
    """Objects of a kind by name, with the changes since `oldest`.

    Readers that know a revision of at least `oldest` need only the changes. What was
    confirmed longer than `max_age_s` ago is not passed on.
    """

    listener: KindListener
    max_age_s: float = float("inf")
    boot_clock: Callable[[], float] = boot_time
    objects: dict[str, KindObject] = field(default_factory=dict)
    changes: deque[KindChange] = field(default_factory=deque)
    revision: int = 0
    oldest: int = 0
    is_loaded: bool = False
    confirmed_at: float = float("-inf")
    waiters: set[asyncio.Future] = field(default_factory=set)

    def replace_all(self, objects: tuple[KindObject, ...], revision: int) -> None:
        """Take over a complete list."""
        self.objects = {item.name: item for item in objects}
        self.changes.clear()
        self.revision = self.oldest = revision
        self.is_loaded = True
        self.listener.replace_all(objects, revision)
        self._wake()

    def changed(self, item: KindObject) -> None:
        """Take over a new or changed object."""
        self.objects[item.name] = item
        self._add(KindChange(item, False))
        self.listener.changed(item)

    def removed(self, name: str, revision: int) -> None:
        """Forget an object."""
        self.objects.pop(name, None)
        self._add(KindChange(KindObject(name, revision, None, None), True))
        self.listener.removed(name, revision)

    def confirmed(self, at: float) -> None:
        """Note that the objects were current at `at` (seconds since boot)."""
        self.confirmed_at = max(self.confirmed_at, at)
        self.listener.confirmed(at)
        self._wake()

    @property
    def is_fresh(self) -> bool:
        """Whether the objects are known and were confirmed lately."""
        return self.is_loaded and self.age_s() <= self.max_age_s

    def age_s(self) -> float:
        """Return how long ago the objects were known to be current."""
        return self.boot_clock() - self.confirmed_at

    def changes_since(self, revision: int) -> tuple[KindChange, ...] | None:
        """Return the changes after a revision, None if they are not all kept."""
        if not self.is_loaded or revision < self.oldest:
            return None
        return tuple(c for c in self.changes if c.object.revision > revision)

    async def wait(self, timeout_s: float) -> None:
        """Return at the next change, or after `timeout_s`."""
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.add(waiter)
        try:
            await asyncio.wait((waiter,), timeout=timeout_s)
        finally:
            self.waiters.discard(waiter)

    def _add(self, change: KindChange) -> None:
        self.revision = max(self.revision, change.object.revision)
        self.changes.append(change)
        if len(self.changes) > KEPT_CHANGES:
            dropped = self.changes.popleft()
            self.oldest = max(self.oldest, dropped.object.revision)
        self._wake()

    def _wake(self) -> None:
        for waiter in self.waiters:
            if not waiter.done():
                waiter.set_result(None)
