"""Tests of the removal of expired call records under the lease."""

import asyncio
import unittest

from monsoontack.controller.cleanup import RecordCleanup
from monsoontack.core.clock import LoopClock
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.ledger.records import CallRecord, RecordState, record_key
from monsoontack.store.memory import MemoryStore

EXPIRED = CallRecord(RecordState.DONE, "w", "d", "s", 0.0, 10.0).encode()


class RecordCleanupTest(unittest.TestCase):
    def run_cleanup(self, epoch, outage_s=0.0):
        async def scenario():
            store = MemoryStore()
            await store.create(record_key("acme", "key"), EXPIRED)
            store.faults.outage = bool(outage_s)
            cleanup = RecordCleanup(store, lambda: ["acme"], LoopClock(), epoch)
            task = asyncio.ensure_future(cleanup.run())
            await asyncio.sleep(outage_s)
            store.faults.outage = False
            await asyncio.sleep(10.0)
            task.cancel()
            return cleanup.removed, len(store.objects)

        return run_in_virtual_time(scenario())

    def test_holder_removes(self):
        """Guards against call records that stay forever."""
        self.assertEqual((1, 0), self.run_cleanup(lambda: 7))

    def test_others_do_not(self):
        """Guards against removals from every entry, which cost store calls."""
        self.assertEqual((0, 1), self.run_cleanup(lambda: None))

    def test_outage_is_survived(self):
        """Guards against a removal loop that a store outage ends."""
        self.assertEqual((1, 0), self.run_cleanup(lambda: 7, outage_s=30.0))


if __name__ == "__main__":
    unittest.main()
