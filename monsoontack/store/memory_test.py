"""Tests of the in-memory object store."""

import asyncio
import unittest

from returns.result import Failure, Success

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.store.api import Ambiguous, Conflict, NotFound, Unavailable
from monsoontack.store.memory import MemoryStore


class MemoryStoreTest(unittest.TestCase):
    def test_conditional_writes(self):
        """Guards against a lost update between two writers."""

        async def scenario():
            store = MemoryStore()
            first = (await store.create("a", b"1")).unwrap()
            self.assertEqual(
                Failure(Conflict("a", first)), await store.create("a", b"2")
            )
            second = (await store.update("a", b"2", first.version)).unwrap()
            self.assertGreater(second.version, first.version)
            self.assertEqual(
                Failure(Conflict("a", second)),
                await store.update("a", b"3", first.version),
            )
            self.assertEqual(Success(None), await store.delete("a", second.version))
            self.assertEqual(Failure(NotFound("a")), await store.get("a"))

        run_in_virtual_time(scenario())

    def test_lost_answer_takes_effect(self):
        """Guards against a stand-in that loses the write with the answer."""

        async def scenario():
            store = MemoryStore()
            store.faults.lose_answers = 1
            result = await store.create("a", b"1")
            self.assertIsInstance(result.failure(), Ambiguous)
            self.assertEqual(b"1", (await store.get("a")).unwrap().value)

        run_in_virtual_time(scenario())

    def test_outage_has_no_effect(self):
        """Guards against a refused write that is applied later."""

        async def scenario():
            store = MemoryStore()
            store.faults.outage = True
            result = await store.create("a", b"1")
            self.assertIsInstance(result.failure(), Unavailable)
            store.faults.outage = False
            self.assertIsInstance((await store.get("a")).failure(), NotFound)

        run_in_virtual_time(scenario())

    def test_watch_wakes_on_write_and_times_out(self):
        """Guards against a watch that misses a write or never returns."""

        async def scenario():
            store = MemoryStore()
            watch = asyncio.ensure_future(store.watch("a", 0, 30.0))
            await asyncio.sleep(5)
            written = (await store.create("a", b"1")).unwrap()
            self.assertEqual(Success(written), await watch)
            self.assertEqual(
                Success(None), await store.watch("a", written.version, 30.0)
            )
            self.assertEqual(35.0, asyncio.get_running_loop().time())

        run_in_virtual_time(scenario())


if __name__ == "__main__":
    unittest.main()
