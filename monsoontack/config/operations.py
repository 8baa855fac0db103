"""Object store operations as values, for state machines that do no I/O."""

import asyncio
from dataclasses import dataclass

from returns.result import Failure, Result

from monsoontack.store.api import ObjectStore, StoreError, Unavailable

# Concurrent store calls; the whole fleet is limited to 2,000 reads/s.
MAX_PARALLEL = 16


@dataclass(frozen=True, slots=True)
class Get:
    """Read one object."""

    key: str


@dataclass(frozen=True, slots=True)
class List:
    """Read all objects whose key starts with a prefix."""

    prefix: str


@dataclass(frozen=True, slots=True)
class Create:
    """Write an object; fails if the key exists."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Update:
    """Replace an object; fails if its version differs."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Delete:
    """Delete an object; fails if its version differs."""

    key: str
    version: int


Operation = Get | List | Create | Update | Delete


async def execute(store: ObjectStore, operation: Operation) -> Result:
    """Execute one operation and return the store's result."""
    match operation:
        case Get(key):
            return await store.get(key)
        case List(prefix):
            return await store.list(prefix)
        case Create(key, value):
            return await store.create(key, value)
        case Update(key, value, version):
            return await store.update(key, value, version)
        case Delete(key, version):
            return await store.delete(key, version)


async def execute_all(
    store: ObjectStore, operations: tuple[Operation, ...]
) -> tuple[Result, ...]:
    """Execute operations concurrently; returns their results in order."""
    limit = asyncio.Semaphore(MAX_PARALLEL)

    async def run(operation: Operation) -> Result:
        async with limit:
            return await execute(store, operation)

    return tuple(await asyncio.gather(*map(run, operations)))


def failures(results: tuple[Result, ...]) -> list[StoreError]:
    """Return the errors among results."""
    return [item.failure() for item in results if isinstance(item, Failure)]


def retry_delay_s(errors: list[StoreError], default_s: float) -> float:
    """Return the delay before a retry.

    It is the longest delay that the store requested, and at least `default_s`.
    """
    requested = [
        error.retry_after_s or 0.0 for error in errors if isinstance(error, Unavailable)
    ]
    return max([default_s, *requested])
