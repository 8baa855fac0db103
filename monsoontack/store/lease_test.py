"""Tests of the lease under a paused clock."""

import asyncio
import os
import random
import unittest

from monsoontack.core.clock import LoopClock
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.store.faulty import FaultRates, FaultyStore
from monsoontack.store.lease import (
    CONTROLLER_LEASE,
    Tick,
    candidate_rank,
    step,
)
from monsoontack.store.leaserunner import LeaseRunner
from monsoontack.store.memory import MemoryStore

SEEDS = int(os.environ.get("LEASE_SEEDS", "60"))


class Fleet:
    """Runners over one store, each with its own faults, and their history."""

    def __init__(self, count, seed, rates=None):
        self.rng = random.Random(seed)
        self.memory = MemoryStore()
        self.epochs = []
        self.stores, self.runners, self.tasks = [], [], []
        names = [f"entry-{i}" for i in range(count)]
        for name in names:
            store = FaultyStore(self.memory, self.rng, rates or FaultRates())
            runner = LeaseRunner.from_name(
                name, store, LoopClock(), self.rng, on_change=self.record
            )
            runner.set_fleet(names)
            self.stores.append(store)
            self.runners.append(runner)

    def record(self, epoch):
        if epoch is not None:
            self.epochs.append(epoch)

    def start(self):
        self.tasks = [asyncio.ensure_future(r.run()) for r in self.runners]

    def holders(self):
        return [i for i, r in enumerate(self.runners) if r.epoch() is not None]

    async def until_held(self, limit_s):
        for _ in range(int(limit_s * 20)):
            await asyncio.sleep(0.05)
            if self.holders():
                return self.holders()[0]
        raise AssertionError(f"nobody holds the lease after {limit_s} s")


class LeaseTest(unittest.TestCase):
    def test_takeover_after_the_holder_is_cut_off(self):
        """Guards against two holders, and against a lease nobody takes over."""

        async def scenario():
            fleet = Fleet(5, 1)
            fleet.start()
            first = await fleet.until_held(3)
            fleet.stores[first].partitioned = True
            started = asyncio.get_running_loop().time()
            while first in fleet.holders():
                self.assertEqual([first], fleet.holders())
                await asyncio.sleep(0.05)
            self.assertLess(asyncio.get_running_loop().time() - started, 6.1)
            second = await fleet.until_held(3)
            self.assertNotEqual(first, second)
            self.assertEqual([1, 2], fleet.epochs)

        run_in_virtual_time(scenario())

    def test_paused_holder_stops_before_it_acts(self):
        """Guards against a resumed holder that still believes in its lease."""

        async def scenario():
            fleet = Fleet(2, 2)
            fleet.start()
            first = await fleet.until_held(3)
            fleet.tasks[first].cancel()  # no ticks: the process is paused
            await asyncio.sleep(8.5)
            self.assertEqual([1 - first], fleet.holders())
            state, actions = step(
                fleet.runners[first].state,
                Tick(),
                asyncio.get_running_loop().time(),
                random.Random(0),
            )
            self.assertEqual(0, state.epoch)

        run_in_virtual_time(scenario())

    def test_release_hands_over_at_once(self):
        """Guards against a shutdown that leaves the lease to expire."""

        async def scenario():
            fleet = Fleet(2, 3)
            fleet.start()
            first = await fleet.until_held(3)
            await fleet.runners[first].release()
            fleet.tasks[first].cancel()
            self.assertEqual([], [i for i in fleet.holders() if i == first])
            await asyncio.sleep(1.2)
            self.assertEqual([1 - first], fleet.holders())

        run_in_virtual_time(scenario())

    def test_lost_answer_keeps_the_lease(self):
        """Guards against a holder that steps down, or doubles its lease time."""

        async def scenario():
            fleet = Fleet(1, 4)
            fleet.memory.faults.lose_answers = 3
            fleet.start()
            await fleet.until_held(3)
            runner = fleet.runners[0]
            self.assertLessEqual(runner.state.held_until, 6.01)
            await asyncio.sleep(20)
            self.assertEqual([1], fleet.epochs)

        run_in_virtual_time(scenario())

    def test_standbys_take_over_when_all_candidates_are_cut_off(self):
        """Guards against a lease that only unreachable processes try to take."""

        async def scenario():
            fleet = Fleet(60, 5)
            fleet.start()
            await fleet.until_held(3)
            await asyncio.sleep(10)
            for store, runner in zip(fleet.stores, fleet.runners, strict=True):
                store.partitioned = runner.state.rank < 3
            await asyncio.sleep(6.1)
            await fleet.until_held(20)

        run_in_virtual_time(scenario())

    def test_reads_stay_bounded_with_the_fleet(self):
        """Guards against reads that grow with the number of entries."""

        async def scenario(count):
            fleet = Fleet(count, 6)
            fleet.start()
            await asyncio.sleep(100)
            before = fleet.memory.calls["get"]
            await asyncio.sleep(300)
            return (fleet.memory.calls["get"] - before) / 300

        small, large = (
            run_in_virtual_time(scenario(30)),
            run_in_virtual_time(scenario(390)),
        )
        self.assertLess(max(small, large), 6.0)
        self.assertLess(large, small * 1.5)

    def test_removed_record_does_not_repeat_an_epoch(self):
        """Guards against an epoch used twice after an operator's mistake."""

        async def scenario():
            fleet = Fleet(1, 7)
            fleet.start()
            await fleet.until_held(3)
            stored = fleet.memory.objects[CONTROLLER_LEASE]
            await fleet.memory.delete(CONTROLLER_LEASE, stored.version)
            await asyncio.sleep(3)
            self.assertEqual([1, 2], fleet.epochs)

        run_in_virtual_time(scenario())

    def test_one_holder_under_random_faults(self):
        """Guards against two holders at one time and against falling epochs."""

        async def scenario(seed):
            rates = FaultRates(0.1, 0.15, 0.1, 0.15, delay_s=8.0, latency_s=0.5)
            fleet = Fleet(4, seed, rates)
            fleet.start()
            held = 0
            for _ in range(300):
                await asyncio.sleep(0.1)
                if fleet.rng.random() < 0.02:
                    store = fleet.rng.choice(fleet.stores)
                    store.partitioned = not store.partitioned
                self.assertLessEqual(len(fleet.holders()), 1, f"seed {seed}")
                held += len(fleet.holders())
            self.assertEqual(fleet.epochs, sorted(set(fleet.epochs)), f"seed {seed}")
            return held

        self.assertGreater(
            sum(run_in_virtual_time(scenario(s)) for s in range(SEEDS)), 0
        )

    def test_rank_is_a_permutation(self):
        """Guards against two processes that share a rank."""
        names = [f"entry-{i}" for i in range(50)]
        ranks = sorted(candidate_rank(name, names) for name in names)
        self.assertEqual(list(range(50)), ranks)

    def test_malformed_record_is_not_taken_over(self):
        """Guards against a takeover that restarts epochs at 1."""

        async def scenario():
            fleet = Fleet(1, 8)
            await fleet.memory.create(CONTROLLER_LEASE, b"[]")
            fleet.start()
            await asyncio.sleep(30)
            self.assertEqual([], fleet.epochs)

        run_in_virtual_time(scenario())


if __name__ == "__main__":
    unittest.main()
