"""Tests of work that goes on after an unexpected error, on a paused clock."""

import asyncio
import unittest

from monsoontack.core.supervise import run_with_restarts
from monsoontack.core.virtualtime import run_in_virtual_time


class KeepRunningTest(unittest.TestCase):
    def test_failed_work_starts_anew(self):
        """Guards against a process that ends by one message nobody thought of."""
        starts = []

        async def work():
            starts.append(asyncio.get_running_loop().time())
            if len(starts) < 3:
                raise KeyError("unexpected")

        run_in_virtual_time(run_with_restarts(work))
        self.assertEqual(3, len(starts))
        self.assertGreater(starts[1], starts[0])

    def test_cancelled_work_ends(self):
        """Guards against work that goes on after the end of its process."""

        async def scenario():
            task = asyncio.ensure_future(run_with_restarts(asyncio.Event().wait))
            await asyncio.sleep(1.0)
            task.cancel()
            return await asyncio.gather(task, return_exceptions=True)

        self.assertIsInstance(
            run_in_virtual_time(scenario())[0], asyncio.CancelledError
        )


if __name__ == "__main__":
    unittest.main()
