"""Tests of the restart of failed background tasks, in virtual time."""

import asyncio
import unittest

from monsoontack.core.pausedloop import run_paused
from monsoontack.core.supervise import keep_running


class KeepRunningTest(unittest.TestCase):
    def test_failed_work_is_restarted(self):
        """Guards against one unforeseen message that ends a task for good."""
        starts = []

        async def work():
            starts.append(asyncio.get_running_loop().time())
            if len(starts) < 3:
                raise KeyError("unexpected")

        run_paused(keep_running(work))
        self.assertEqual(3, len(starts))
        self.assertGreater(starts[1], starts[0])

    def test_cancelled_work_ends(self):
        """Guards against a cancelled task that is restarted during shutdown."""

        async def scenario():
            task = asyncio.ensure_future(keep_running(asyncio.Event().wait))
            await asyncio.sleep(1.0)
            task.cancel()
            return await asyncio.gather(task, return_exceptions=True)

        self.assertIsInstance(run_paused(scenario())[0], asyncio.CancelledError)


if __name__ == "__main__":
    unittest.main()
