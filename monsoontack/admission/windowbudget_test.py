"""Tests of the retry budget of a sliding window."""

import unittest

from monsoontack.admission.windowbudget import WindowBudget


class WindowBudgetTest(unittest.TestCase):
    def test_every_window_keeps_the_bound(self):
        """Guards against two bursts of retries within one window."""
        budget = WindowBudget(0.5, 4, 10.0)
        taken, requests = [], []
        for step in range(600):
            now = step / 20
            if step % 4 == 0:
                budget.note_request(now)
                requests.append(now)
            if budget.take(now):
                taken.append(now)
        for start in range(0, 20):
            counted_retries = sum(start < t <= start + 10 for t in taken)
            counted_requests = sum(start - 0.05 < t <= start + 10 for t in requests)
            self.assertLessEqual(counted_retries, 0.5 * counted_requests + 4)

    def test_fallen_domain_may_use_the_whole_window_at_once(self):
        """Pattern: a failure domain fails, and all its runs move within a second."""
        budget = WindowBudget(0.6, 15, 10.0)
        for number in range(10):
            budget.note_request(number / 2)
        self.assertEqual(21, sum(budget.take(5.0) for _ in range(40)))

    def test_budget_returns_after_the_window(self):
        """Guards against a budget that stays exhausted after its window."""
        budget = WindowBudget(0.0, 2, 10.0)
        self.assertEqual([True, True, False], [budget.take(0.0) for _ in range(3)])
        self.assertTrue(budget.take(10.5))


if __name__ == "__main__":
    unittest.main()
