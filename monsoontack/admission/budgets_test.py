"""Tests of the retry budget and the hedging budget."""

import random
import unittest

from monsoontack.admission.hedge import Hedging
from monsoontack.admission.retrybudget import RetryBudget


class RetryBudgetTest(unittest.TestCase):
    def test_retries_stay_near_a_tenth_when_all_requests_fail(self):
        """Guards against a retry storm when all requests to a service fail."""
        budget = RetryBudget()
        for index in range(10_000):
            budget.note_request()
            budget.take(index / 1000)
        self.assertLess(budget.taken, 0.11 * 10_000)
        self.assertGreater(budget.taken, 0.09 * 10_000)

    def test_quiet_entry_may_retry(self):
        """Guards against an entry that can never retry because it has few requests."""
        budget = RetryBudget(saved_retries=0.0)
        self.assertFalse(budget.take(0.1))
        self.assertTrue(budget.take(2.5))


class HedgingTest(unittest.TestCase):
    def run_lookups(self, hedging, count, late_every):
        rng = random.Random(4)
        for index in range(count):
            latency = 1.0 if index % late_every == 0 else rng.uniform(0.01, 0.02)
            delay = hedging.delay_s("stock", idempotent=True)
            if delay is not None and latency > delay:
                hedging.take()
            hedging.record("stock", latency)

    def test_late_lookups_are_hedged_within_the_budget(self):
        """Guards against waiting for a single late server and against doubled load."""
        rare, slow = Hedging(), Hedging()
        self.run_lookups(rare, 2000, late_every=50)
        self.assertGreaterEqual(rare.sent, 30)
        self.run_lookups(slow, 2000, late_every=3)
        self.assertLessEqual(slow.sent, 0.05 * 2000 + 5)

    def test_hedge_comes_early_enough_for_the_objective(self):
        """Load: one call in six takes 2.5 times as long; guards against a second send
        whose answer is late as well, and against one that every call gets."""
        hedging = Hedging()
        for number in range(200):
            hedging.record("stock", 0.35 if number % 6 == 0 else 0.11)
        self.assertAlmostEqual(0.35, hedging.delay_s("stock", True))
        self.assertAlmostEqual(0.22, hedging.delay_s("stock", True, objective_s=0.4))
        self.assertAlmostEqual(0.22, hedging.delay_s("stock", True, objective_s=0.1))
        self.assertAlmostEqual(0.35, hedging.delay_s("stock", True, objective_s=2.0))

    def test_non_idempotent_calls_are_never_hedged(self):
        """Guards against a non-idempotent call, such as a booking, that runs twice."""
        hedging = Hedging()
        self.run_lookups(hedging, 200, late_every=50)
        self.assertIsNone(hedging.delay_s("stock", idempotent=False))


if __name__ == "__main__":
    unittest.main()
