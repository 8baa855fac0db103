"""Tests of the lease over restorations of the store, on the paused event loop."""

import asyncio
import random
import unittest

from returns.result import Failure, Success

from monsoontack.core.clock import LoopClock
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.store.api import Ambiguous, Conflict, NotFound, StoredObject
from monsoontack.store.eras import era_of, join_revision, number_of
from monsoontack.store.lease import LEASE_DURATION_S, LeaseRecord
from monsoontack.store.leaserunner import LeaseRunner

DELAY_S = 0.004


class RestorableStore:
    """One object whose versions hold the era, as the platform's client returns them."""

    def __init__(self):
        self.era, self.number, self.value = 1, 0, None
        self.last_number = 0

    def restore(self, stored):
        self.value, self.number = stored
        self.last_number = self.number
        self.era += 1

    def copy(self):
        return self.value, self.number

    def stored(self, key):
        return StoredObject(key, self.value, join_revision(self.era, self.number))

    def write(self, key, value):
        self.last_number += 1
        self.value, self.number = value, self.last_number
        return Success(self.stored(key))

    async def get(self, key):
        await asyncio.sleep(DELAY_S)
        if self.value is None:
            return Failure(NotFound(key))
        return Success(self.stored(key))

    async def create(self, key, value):
        await asyncio.sleep(DELAY_S)
        if self.value is not None:
            return Failure(Conflict(key, self.stored(key)))
        return self.write(key, value)

    async def update(self, key, value, version):
        sent_in = self.era
        await asyncio.sleep(DELAY_S)
        if era_of(version) < sent_in:
            found = await self.get(key)
            if isinstance(found, Failure):
                return found
            return Failure(Conflict(key, found.unwrap()))
        if self.value is None:
            return Failure(NotFound(key))
        if number_of(version) != self.number:
            return Failure(Conflict(key, self.stored(key)))
        written = self.write(key, value)
        if sent_in != self.era:
            return Failure(Ambiguous(key, "the store was restored meanwhile"))
        return written


class RestoredLeaseTest(unittest.TestCase):
    def run_fleet(self, scenario, seed=1, count=3):
        async def run():
            store, rng, epochs = RestorableStore(), random.Random(seed), []
            names = [f"entry-{number}" for number in range(count)]
            runners = []
            for name in names:

                def record(epoch, name=name):
                    if epoch is not None:
                        epochs.append(epoch)

                runner = LeaseRunner.from_name(
                    name, store, LoopClock(), rng, on_change=record
                )
                runner.set_live_processes(names)
                runners.append(runner)
            tasks = [asyncio.ensure_future(runner.run()) for runner in runners]
            await asyncio.sleep(8.0)
            result = await scenario(store, runners, rng)
            for task in tasks:
                task.cancel()
            return result, epochs

        return run_in_virtual_time(run())

    def holders(self, runners):
        return [runner for runner in runners if runner.epoch() is not None]

    def test_holder_keeps_the_lease_when_its_record_is_lost(self):
        """Guards against rollouts without anybody who judges them, for 6 s."""

        async def scenario(store, runners, rng):
            (holder,) = self.holders(runners)
            epoch = holder.epoch()
            store.restore((None, 0))
            for _ in range(400):
                await asyncio.sleep(0.05)
                self.assertEqual([holder], self.holders(runners))
            self.assertEqual(epoch, LeaseRecord.decode(store.value).epoch)

        self.run_fleet(scenario)

    def test_lease_acquired_before_the_copy_waits_for_a_lost_holder(self):
        """Guards against a second holder since the store forgot the first one."""

        async def scenario(store, runners, rng):
            (holder,) = self.holders(runners)
            holder.store = CutOffStore()
            store.restore((None, 0))
            restored_at = asyncio.get_running_loop().time()
            for _ in range(400):
                await asyncio.sleep(0.05)
                if self.holders(runners) not in ([], [holder]):
                    break
            waited_s = asyncio.get_running_loop().time() - restored_at
            self.assertGreaterEqual(waited_s, LEASE_DURATION_S)

        _, epochs = self.run_fleet(scenario)
        self.assertEqual(len(set(epochs)), len(epochs))


class CutOffStore:
    """A store that its caller does not reach."""

    async def get(self, key):
        await asyncio.sleep(1.0)
        return Failure(Ambiguous(key, "cut off"))

    async def update(self, key, value, version):
        return await self.get(key)

    async def create(self, key, value):
        return await self.get(key)


if __name__ == "__main__":
    unittest.main()
