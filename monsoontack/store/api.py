"""Interface of the platform's object API, as the rest of the code uses it.

Values are bytes of at most 1 MB. Each object has a version, a positive
integer that the platform raises on every write. Errors are records, since
callers act differently on each of them.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from returns.result import Result

MAX_VALUE_BYTES = 1_000_000
# Reason of `Unavailable` for a list that the client refuses to take in.
LIST_TOO_LARGE = "list too large"


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object as the platform holds it."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class NotFound:
    """The object does not exist."""

    key: str


@dataclass(frozen=True, slots=True)
class Conflict:
    """The condition of a write did not hold; `current` is what stands there.

    `current` is None if the object does not exist.
    """

    key: str
    current: StoredObject | None


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The call surely had no effect: refused, over the rate, or not sent."""

    key: str
    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class Ambiguous:
    """A write whose answer was lost; it may have taken effect, or may yet."""

    key: str
    reason: str


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The changes since the revision of a watch are no longer kept."""

    key: str


StoreError = NotFound | Conflict | Unavailable | Ambiguous | HistoryGone


@dataclass(frozen=True, slots=True)
class KindObject:
    """One object of a kind, as a list or a watch shows it.

    `spec` and `status` are decoded but unchecked values.
    """

    name: str
    revision: int
    spec: Any
    status: Any


@dataclass(frozen=True, slots=True)
class KindList:
    """All objects of a kind at `revision`, the revision of the whole store.

    They were current `confirmed_after_s` seconds after the call was made, or
    later; the figure is negative if they were known to be older.
    """

    objects: tuple[KindObject, ...]
    revision: int
    confirmed_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class KindChange:
    """An object that was written, or removed if `removed`."""

    object: KindObject
    removed: bool


@dataclass(frozen=True, slots=True)
class KindChanges:
    """Changes of a kind up to `revision`, in order.

    `confirmed_after_s` has the meaning that it has in `KindList`.
    """

    changes: tuple[KindChange, ...]
    revision: int
    confirmed_after_s: float = 0.0


class KindStore(Protocol):
    """Lists and watches of whole kinds of objects."""

    async def list_kind(self, kind: str) -> Result[KindList, StoreError]:
        """Read all objects of a kind, linearizable."""
        ...

    async def watch_kind(
        self, kind: str, revision: int, wait_s: float
    ) -> Result[KindChanges, StoreError]:
        """Wait up to `wait_s` seconds for changes after `revision`."""
        ...


class ObjectStore(Protocol):
    """Versioned objects with conditional writes and watches."""

    async def get(self, key: str) -> Result[StoredObject, StoreError]:
        """Read one object; NotFound or Unavailable on failure."""
        ...

    async def list(self, prefix: str) -> Result[list[StoredObject], StoreError]:
        """Read all objects whose key starts with `prefix`, ordered by key."""
        ...

    async def create(self, key: str, value: bytes) -> Result[StoredObject, StoreError]:
        """Write an object that must not exist yet."""
        ...

    async def update(
        self, key: str, value: bytes, version: int
    ) -> Result[StoredObject, StoreError]:
        """Replace an object whose version must still be `version`."""
        ...

    async def delete(self, key: str, version: int) -> Result[None, StoreError]:
        """Remove an object whose version must still be `version`."""
        ...

    async def watch(
        self, key: str, after_version: int, timeout_s: float
    ) -> Result[StoredObject | None, StoreError]:
        """Wait until the object's version is above `after_version`.

        Returns None after `timeout_s` seconds without such a change. An object
        that does not exist has version 0. Versions of one object only go up,
        also across removal and a new creation.
        """
        ...
