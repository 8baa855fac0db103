"""Tests that late calls and calls and orders with an old fencing number are refused."""

import unittest

from monsoontack.agent.fencing import CallFences, OrderFence


class CallFencesTest(unittest.TestCase):
    def setUp(self):
        self.fences = CallFences(max_keys=2)

    def admit(self, key, fence, latest=105.0, now=100.0, account="a"):
        refusal = self.fences.admit(account, key, fence, latest, now)
        return (refusal.code, refusal.run_state) if refusal else None

    def test_late_dispatch(self):
        """Guards against a call that runs after its call record was settled."""
        self.assertEqual(("late", "not_run"), self.admit("k", 1, now=105.1))
        self.assertIsNone(self.admit("k", 1, now=105.0))

    def test_repeated_and_old_dispatches(self):
        """Guards against running a call twice."""
        self.assertIsNone(self.admit("k", 5))
        self.assertEqual(("fenced", "unknown"), self.admit("k", 5))
        self.assertEqual(("fenced", "unknown"), self.admit("k", 4))
        self.assertIsNone(self.admit("k", 6))
        self.assertIsNone(self.admit("k", 1, account="b"))

    def test_full_table_refuses_instead_of_evicting(self):
        """Guards against removing a fencing number that can still stop a dispatch."""
        self.admit("k1", 1)
        self.admit("k2", 1)
        self.assertEqual(("refused", "not_run"), self.admit("k3", 1))
        self.assertEqual(("fenced", "unknown"), self.admit("k1", 1))
        self.assertIsNone(self.admit("k3", 1, latest=125.0, now=120.0))
        self.assertEqual(1, len(self.fences.highest_fences))


class OrderFenceTest(unittest.TestCase):
    def test_old_epoch(self):
        """Guards against executing orders of a controller that lost its lease."""
        fence = OrderFence()
        self.assertIsNone(fence.admit(3))
        self.assertIsNone(fence.admit(3))
        self.assertEqual("fenced", fence.admit(2).code)
        self.assertIsNone(fence.admit(4))


if __name__ == "__main__":
    unittest.main()
