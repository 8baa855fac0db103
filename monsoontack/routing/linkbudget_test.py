"""Tests of the byte budget of the link between regions."""

import unittest

from monsoontack.routing.linkbudget import EntryLinkBudget


class LocalShareTest(unittest.TestCase):
    def test_rate_and_counts_per_cause(self):
        """Guards against requests that use more than the paid rate of the link."""
        budget = EntryLinkBudget.for_entries(2, 0.0, link_bytes_per_s=2000.0)
        taken = 0
        for tick in range(1000):
            taken += budget.take("request", 100, tick / 100)
        # 10 s at half of 2,000 bytes/s, plus at most the burst of one second.
        self.assertLessEqual(taken * 100, 11_000)
        self.assertGreaterEqual(taken * 100, 9_500)
        self.assertEqual(taken * 100, budget.sent["request"])
        self.assertEqual(1000 - taken, budget.refused["request"])

    def test_resume_uses_the_reserve(self):
        """Guards against running answers that cannot be resumed over a busy link."""
        budget = EntryLinkBudget.for_entries(1, 0.0, link_bytes_per_s=1000.0)
        while budget.take("request", 50, 0.0):
            pass
        self.assertTrue(budget.take("resume", 50, 0.0))
        wait_s = budget.wait_s("request", 0.0)
        self.assertGreater(wait_s, 0)
        self.assertFalse(budget.take("request", 50, wait_s * 0.9))
        self.assertTrue(budget.take("request", 50, wait_s * 1.1))

    def test_share_grows_when_entries_are_lost(self):
        """Guards against unused link capacity after half of the entries died."""
        budget = EntryLinkBudget.for_entries(4, 0.0, link_bytes_per_s=4000.0)
        budget.set_entry_count(2, 0.0)
        self.assertEqual(2000.0, budget.bucket.rate)


if __name__ == "__main__":
    unittest.main()
