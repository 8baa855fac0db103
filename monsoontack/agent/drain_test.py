"""Tests of leaving and graceful shutdown."""

import unittest

from monsoontack.agent.drain import DrainState, Phase


class DrainStateTest(unittest.TestCase):
    def setUp(self):
        self.drain = DrainState(deadline_s=30.0)

    def test_waits_for_unfinished_work_and_for_the_notice(self):
        """Guards against a shutdown that cuts requests, also those under way."""
        self.assertTrue(self.drain.terminate(10.0))
        self.assertFalse(self.drain.terminate(10.1))
        self.assertTrue(self.drain.leaving)
        self.assertFalse(self.drain.check(0, 10.9))
        self.assertFalse(self.drain.check(1, 39.9))
        self.assertTrue(self.drain.check(0, 39.9))
        self.assertIs(Phase.ENDED, self.drain.phase)

    def test_hands_over_at_the_deadline(self):
        """Guards against a shutdown that never ends, or drops what it holds."""
        self.drain.terminate(10.0)
        self.assertTrue(self.drain.check(1, 40.0))
        self.assertIs(Phase.HANDING_OVER, self.drain.phase)
        self.assertFalse(self.drain.check(1, 41.9))
        self.assertTrue(self.drain.check(1, 42.0))
        self.assertIs(Phase.ENDED, self.drain.phase)

    def test_leaving_vm_serves_until_sigterm(self):
        """Guards against an agent that ends on the VM list's word alone."""
        self.assertTrue(self.drain.vm_leaves(5.0))
        self.assertFalse(self.drain.vm_leaves(6.0))
        self.assertFalse(self.drain.check(0, 100.0))
        self.assertTrue(self.drain.terminate(100.0))
        self.assertTrue(self.drain.check(0, 100.0))


if __name__ == "__main__":
    unittest.main()
