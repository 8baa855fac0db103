"""Tests of the restart of failed background tasks, in virtual time."""

import asyncio
import unittest
from functools import partial

from structlog.testing import capture_logs

from monsoontack.core.supervise import run_with_restarts
from monsoontack.core.virtualtime import run_in_virtual_time


class KeepRunningTest(unittest.TestCase):
    def test_failed_work_is_restarted(self):
        """Guards against one unforeseen message that ends a task for good."""
        starts = []

        async def work():
            starts.append(asyncio.get_running_loop().time())
            if len(starts) < 3:
                raise KeyError("unexpected")

        run_in_virtual_time(run_with_restarts(work))
        self.assertEqual(3, len(starts))
        self.assertGreater(starts[1], starts[0])

    def test_failed_method_of_a_large_object_is_logged_by_its_name(self):
        """Guards against a log line with the whole state of an object, which took more
        memory than the machine has."""

        class Part:
            has_failed = False

            def __repr__(self):
                raise AssertionError("the object is not to be shown")

            async def run(self):
                if not self.has_failed:
                    self.has_failed = True
                    raise KeyError("unexpected")

        for work in (Part().run, partial(Part.run, Part())):
            with capture_logs() as logs:
                run_in_virtual_time(run_with_restarts(work))
            self.assertTrue(logs[0]["part"].endswith("Part.run"))

    def test_cancelled_work_ends(self):
        """Guards against a cancelled task that is restarted during shutdown."""

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
