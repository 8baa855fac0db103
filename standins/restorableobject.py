"""One object in a store that is restored from copies, and clients of it.

The clients behave like that of the platform's store: versions hold the era of the
response, and a write that the store accepted in a later era is ambiguous.
"""

import asyncio
import random

from returns.result import Failure, Result, Success

from monsoontack.store.api import (
    Ambiguous,
    Conflict,
    EraSeen,
    NotFound,
    StoredObject,
    StoreError,
    Unavailable,
)
from monsoontack.store.eras import era_of, join_revision, number_of

DELAY_S = 0.004
MAX_DELAY_S = 8.0


class RestorableData:
    """The lease object of a store; numbers are given out again after `restore`."""

    def __init__(self, era: int = 0) -> None:
        self.value: bytes | None = None
        self.era, self.number = era, 0
        self.last_number = 0
        self.calls = 0

    def copy(self) -> tuple[bytes | None, int, int]:
        """Return the object with its number and the last number given out."""
        return self.value, self.number, self.last_number

    def restore(self, copy: tuple[bytes | None, int, int] = (None, 0, 0)) -> None:
        """Go back to a copy, by default to one without the object."""
        self.value, self.number, self.last_number = copy
        self.era += 1

    def put(self, value: bytes) -> None:
        """Write the object without a condition."""
        self.last_number += 1
        self.value, self.number = value, self.last_number


class RestorableClient:
    """One process's client of the store, which notes the eras of the responses.

    While it is cut off, nothing arrives. With the probability `delayed`, a write has no
    response and is applied up to `MAX_DELAY_S` later if its condition holds then.
    """

    def __init__(
        self, data: RestorableData, rng: random.Random, delayed: float = 0.0
    ) -> None:
        self.data, self.rng, self.delayed = data, rng, delayed
        self.known_era, self.era_since = 0, None
        self.is_cut_off = False
        self.late_writes: list[asyncio.Task] = []

    async def get(self, key: str) -> Result[StoredObject, StoreError]:
        """Read the object."""
        self.data.calls += 1
        await asyncio.sleep(DELAY_S)
        if self.is_cut_off:
            return Failure(Unavailable(key, "cut off"))
        return self._respond(key)

    async def create(self, key: str, value: bytes) -> Result[StoredObject, StoreError]:
        """Write the object, which must not exist yet."""
        return await self._write(key, value, None)

    async def update(
        self, key: str, value: bytes, version: int
    ) -> Result[StoredObject, StoreError]:
        """Replace the object, whose version must still be `version`."""
        if era_of(version) < self.known_era:
            found = await self.get(key)
            return found.bind(lambda current: Failure(Conflict(key, current)))
        return await self._write(key, value, version)

    async def _write(
        self, key: str, value: bytes, version: int | None
    ) -> Result[StoredObject, StoreError]:
        self.data.calls += 1
        await asyncio.sleep(DELAY_S)
        if self.is_cut_off:
            return Failure(Ambiguous(key, "cut off"))
        number = 0 if version is None else number_of(version)
        if self.rng.random() < self.delayed:
            self.late_writes.append(
                asyncio.ensure_future(self._apply_later(value, number))
            )
            return Failure(Ambiguous(key, "no response"))
        is_applied = self._apply(value, number)
        found = self._respond(key)
        if not is_applied:
            return found.bind(lambda current: Failure(Conflict(key, current)))
        if version is not None and self.data.era != era_of(version):
            return Failure(Ambiguous(key, "the store was restored meanwhile"))
        return found

    async def _apply_later(self, value: bytes, number: int) -> None:
        await asyncio.sleep(self.rng.uniform(0.0, MAX_DELAY_S))
        self._apply(value, number)

    def _apply(self, value: bytes, number: int) -> bool:
        if number != (0 if self.data.value is None else self.data.number):
            return False
        self.data.put(value)
        return True

    def era_seen(self) -> EraSeen | None:
        """Return the highest era seen, None before the first response."""
        return None if self.era_since is None else EraSeen(*self.era_since)

    def _respond(self, key: str) -> Result[StoredObject, StoreError]:
        if self.era_since is None or self.known_era < self.data.era:
            self.era_since = self.data.era, asyncio.get_running_loop().time()
        self.known_era = self.data.era
        if self.data.value is None:
            return Failure(NotFound(key, self.data.era))
        version = join_revision(self.data.era, self.data.number)
        return Success(StoredObject(key, self.data.value, version))
