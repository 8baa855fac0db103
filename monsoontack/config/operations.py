"""Operations on the object store as values, for state machines without I/O."""

import asyncio
from dataclasses import dataclass

from returns.result import Failure, Result

from monsoontack.store.api import ObjectStore, StoreError, Unavailable

MAX_PARALLEL = 16  # store calls at once, of 2,000 reads/s for the whole fleet


@dataclass(frozen=True, slots=True)
class Get:
    """Read one object."""

    key: str


@dataclass(frozen=True, slots=True)
class List:
    """Read all objects below a prefix."""

    prefix: str


@dataclass(frozen=True, slots=True)
class Create:
    """Write an object that must not exist."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Update:
    """Replace an object whose version must match."""

    key: str
    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Delete:
    """Remove an object whose version must match."""

    key: str
    version: int


Operation = Get | List | Create | Update | Delete


async def execute(store: ObjectStore, operation: Operation) -> Result:
    """Carry out one operation and return the store's result."""
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
    """Carry out operations side by side; returns their results in order."""
    limit = asyncio.Semaphore(MAX_PARALLEL)

    async def run(operation: Operation) -> Result:
        async with limit:
            return await execute(store, operation)

    return tuple(await asyncio.gather(*map(run, operations)))


def failures(results: tuple[Result, ...]) -> list[StoreError]:
    """Return the errors among results."""
    return [item.failure() for item in results if isinstance(item, Failure)]


def retry_delay_s(errors: list[StoreError], default_s: float) -> float:
    """Return how long to wait before a retry, at least `default_s` seconds."""
    asked = [
        error.retry_after_s or 0.0 for error in errors if isinstance(error, Unavailable)
    ]
    return max([default_s, *asked])
