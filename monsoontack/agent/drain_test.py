"""Tests of the drain state machine."""

import unittest

from monsoontack.agent.drain import DrainState, Phase


class DrainStateTest(unittest.TestCase):
    def setUp(self):
        self.drain = DrainState(deadline_s=30.0)

    def test_waits_for_unfinished_work_and_for_the_announcement(self):
        """Guards against a shutdown that aborts running or just dispatched requests."""
        self.assertTrue(self.drain.terminate(10.0))
        self.assertFalse(self.drain.terminate(10.1))
        self.assertTrue(self.drain.leaving)
        self.assertFalse(self.drain.advance(0, 10.9))
        self.assertFalse(self.drain.advance(1, 39.9))
        self.assertTrue(self.drain.advance(0, 39.9))
        self.assertIs(Phase.ENDED, self.drain.phase)

    def test_hands_over_at_the_deadline(self):
        """Guards against a shutdown that never ends, or that skips the hand-over."""
        self.drain.terminate(10.0)
        self.assertTrue(self.drain.advance(1, 40.0))
        self.assertIs(Phase.HANDING_OVER, self.drain.phase)
        self.assertFalse(self.drain.advance(1, 41.9))
        self.assertTrue(self.drain.advance(1, 42.0))
        self.assertIs(Phase.ENDED, self.drain.phase)

    def test_leaving_vm_serves_until_sigterm(self):
        """Guards against an agent that ends before SIGTERM because of the VM list."""
        self.assertTrue(self.drain.mark_vm_leaving(5.0))
        self.assertFalse(self.drain.mark_vm_leaving(6.0))
        self.assertFalse(self.drain.advance(0, 100.0))
        self.assertTrue(self.drain.terminate(100.0))
        self.assertTrue(self.drain.advance(0, 100.0))


if __name__ == "__main__":
    unittest.main()
