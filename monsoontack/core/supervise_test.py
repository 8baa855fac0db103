"""Tests of work that goes on after an unexpected error, on a paused clock."""

import asyncio
import unittest

from monsoontack.core.pausedloop import run_paused
from monsoontack.core.supervise import keep_running


class KeepRunningTest(unittest.TestCase):
    def test_failed_work_starts_anew(self):
        """Guards against a process that ends by one message nobody thought of."""
        starts = []

        async def work():
            starts.append(asyncio.get_running_loop().time())
            if len(starts) < 3:
                raise KeyError("unexpected")

        run_paused(keep_running(work))
        self.assertEqual(3, len(starts))
        self.assertGreater(starts[1], starts[0])

    def test_cancelled_work_ends(self):
        """Guards against work that goes on after the end of its process."""

        async def scenario():
            task = asyncio.ensure_future(keep_running(asyncio.Event().wait))
            await asyncio.sleep(1.0)
            task.cancel()
            return await asyncio.gather(task, return_exceptions=True)

        self.assertIsInstance(run_paused(scenario())[0], asyncio.CancelledError)


if __name__ == "__main__":
    unittest.main()
