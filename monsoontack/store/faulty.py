"""Object store whose calls fail at random, for tests and benchmarks.

Faults are drawn from the given random generator, so a run depends only on its seed.
An ambiguous write took effect before the call returned, takes effect later or never
takes effect.
"""

import asyncio
import random
from dataclasses import dataclass, field

from returns.result import Failure

from monsoontack.store.api import Ambiguous, ObjectStore, Unavailable


@dataclass(slots=True, repr=False)
class FaultRates:
    """Probabilities of the faults of a call, and delays in seconds.

    A `refused` call has no effect. `answer_lost` loses the response to a write that
    took effect, `request_lost` loses the request of a write. A `delayed` write takes
    effect up to `delay_s` after its ambiguous result was returned. Each request and
    each response takes up to `latency_s`. With the probability `stalled`, the
    caller is paused for up to `stall_s` before it receives the result.
    """

    refused: float = 0.0
    answer_lost: float = 0.0
    request_lost: float = 0.0
    delayed: float = 0.0
    delay_s: float = 10.0
    latency_s: float = 0.005
    stalled: float = 0.0
    stall_s: float = 20.0


@dataclass(slots=True, repr=False)
class FaultyStore:
    """`ObjectStore` that forwards calls to `inner` and injects faults.

    `outage` refuses every call. `partitioned` loses every request as in a network
    partition: writes are ambiguous and have no effect.
    """

    inner: ObjectStore
    rng: random.Random
    rates: FaultRates = field(default_factory=FaultRates)
    outage: bool = False
    partitioned: bool = False
    pending_writes: set[asyncio.Task] = field(default_factory=set)

    async def _latency(self) -> None:
        await asyncio.sleep(self.rng.random() * self.rates.latency_s)

    async def _read(self, key: str, call):
        result = await self._read_with_faults(key, call)
        await self._stall()
        return result

    async def _write(self, key: str, call):
        result = await self._write_with_faults(key, call)
        await self._stall()
        return result

    async def _stall(self) -> None:
        if self.rates.stalled and self.rng.random() < self.rates.stalled:
            await asyncio.sleep(self.rng.random() * self.rates.stall_s)

    async def _read_with_faults(self, key: str, call):
        await self._latency()
        if self.outage or self.partitioned or self.rng.random() < self.rates.refused:
            return Failure(Unavailable(key, "outage"))
        result = await call()
        await self._latency()
        return result

    async def _write_with_faults(self, key: str, call):
        await self._latency()
        if self.outage:
            return Failure(Unavailable(key, "outage"))
        draw = self.rng.random() - self.rates.refused
        if draw < 0:
            return Failure(Unavailable(key, "refused"))
        draw -= self.rates.request_lost
        if draw < 0 or self.partitioned:
            return Failure(Ambiguous(key, "request lost"))
        draw -= self.rates.delayed
        if draw < 0:
            self._apply_later(call)
            return Failure(Ambiguous(key, "request delayed"))
        result = await call()
        await self._latency()
        if draw < self.rates.answer_lost:
            return Failure(Ambiguous(key, "answer lost"))
        return result

    def _apply_later(self, call) -> None:
        delay_s = self.rng.random() * self.rates.delay_s

        async def effect():
            await asyncio.sleep(delay_s)
            await call()

        task = asyncio.ensure_future(effect())
        self.pending_writes.add(task)
        task.add_done_callback(self.pending_writes.discard)

    async def get(self, key: str):
        """Read one object."""
        return await self._read(key, lambda: self.inner.get(key))

    async def list(self, prefix: str):
        """Read all objects whose key starts with `prefix`."""
        return await self._read(prefix, lambda: self.inner.list(prefix))

    async def watch(self, key: str, after_version: int, timeout_s: float):
        """Wait until the object's version is above `after_version`."""
        return await self._read(
            key, lambda: self.inner.watch(key, after_version, timeout_s)
        )

    async def create(self, key: str, value: bytes):
        """Write an object that must not exist yet."""
        return await self._write(key, lambda: self.inner.create(key, value))

    async def update(self, key: str, value: bytes, version: int):
        """Replace an object whose version must still be `version`."""
        return await self._write(key, lambda: self.inner.update(key, value, version))

    async def delete(self, key: str, version: int):
        """Remove an object whose version must still be `version`."""
        return await self._write(key, lambda: self.inner.delete(key, version))
