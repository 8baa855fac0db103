"""In-memory object store with fault injection, for tests.

A test can set an outage, responses that are lost after the write took effect, and a
delay of each call. `calls` counts the calls by method.
"""

import asyncio
from collections import Counter
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from monsoontack.store.api import (
    MAX_VALUE_BYTES,
    Ambiguous,
    Conflict,
    NotFound,
    StoredObject,
    StoreError,
    Unavailable,
)


@dataclass(slots=True, repr=False)
class StoreFaults:
    """Faults to inject.

    `lose_answers` is the number of next writes whose responses are lost.
    """

    outage: bool = False
    lose_answers: int = 0
    delay_s: float = 0.0


@dataclass(slots=True, repr=False)
class MemoryStore:
    """`ObjectStore` that keeps its objects in a dictionary."""

    objects: dict[str, StoredObject] = field(default_factory=dict)
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: Counter = field(default_factory=Counter)
    last_version: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def _begin_call(self, kind: str, key: str) -> Unavailable | None:
        self.calls[kind] += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        return Unavailable(key, "outage") if self.faults.outage else None

    def _finish_write(self, key: str, result):
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return Failure(Ambiguous(key, "answer lost"))
        return Success(result)

    def _put(self, key: str, value: bytes) -> StoredObject:
        self.last_version += 1
        stored = StoredObject(key, value, self.last_version)
        self.objects[key] = stored
        self._wake_waiters()
        return stored

    def _wake_waiters(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def get(self, key: str) -> Result[StoredObject, StoreError]:
        """Read one object."""
        if error := await self._begin_call("get", key):
            return Failure(error)
        stored = self.objects.get(key)
        return Success(stored) if stored else Failure(NotFound(key))

    async def list(self, prefix: str) -> Result[list[StoredObject], StoreError]:
        """Read all objects whose key starts with `prefix`, ordered by key."""
        if error := await self._begin_call("list", prefix):
            return Failure(error)
        keys = sorted(key for key in self.objects if key.startswith(prefix))
        return Success([self.objects[key] for key in keys])

    async def create(self, key: str, value: bytes) -> Result[StoredObject, StoreError]:
        """Write an object that must not exist yet."""
        if error := await self._begin_call("create", key):
            return Failure(error)
        if len(value) > MAX_VALUE_BYTES:
            return Failure(Unavailable(key, "value above 1 MB"))
        if key in self.objects:
            return Failure(Conflict(key, self.objects[key]))
        return self._finish_write(key, self._put(key, value))

    async def update(
        self, key: str, value: bytes, version: int
    ) -> Result[StoredObject, StoreError]:
        """Replace an object whose version must still be `version`."""
        if error := await self._begin_call("update", key):
            return Failure(error)
        if len(value) > MAX_VALUE_BYTES:
            return Failure(Unavailable(key, "value above 1 MB"))
        current = self.objects.get(key)
        if current is None or current.version != version:
            return Failure(Conflict(key, current))
        return self._finish_write(key, self._put(key, value))

    async def delete(self, key: str, version: int) -> Result[None, StoreError]:
        """Remove an object whose version must still be `version`."""
        if error := await self._begin_call("delete", key):
            return Failure(error)
        current = self.objects.get(key)
        if current is None or current.version != version:
            return Failure(Conflict(key, current))
        del self.objects[key]
        self._wake_waiters()
        return self._finish_write(key, None)

    async def watch(
        self, key: str, after_version: int, timeout_s: float
    ) -> Result[StoredObject | None, StoreError]:
        """Wait until the object's version is above `after_version`."""
        if error := await self._begin_call("watch", key):
            return Failure(error)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while loop.time() < deadline:
            stored = self.objects.get(key)
            if stored is not None and stored.version > after_version:
                return Success(stored)
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), deadline - loop.time())
            except TimeoutError:
                break
        return Success(None)
