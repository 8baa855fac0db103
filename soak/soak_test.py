"""A short soak with a fixed seed, and one seed that failed in the past."""

import asyncio
import unittest

from soak.regressions import REGRESSIONS
from soak.run import run_seed

FAULT_DURATION_S = 6.0


class SoakTest(unittest.TestCase):
    def soak(self, seed, cause=None):
        result = asyncio.run(run_seed(seed, FAULT_DURATION_S))
        self.assertEqual([], result.violations, cause)
        self.assertEqual([], result.unserved, cause)
        self.assertGreater(result.statuses[200], 20)

    def test_short_soak_keeps_the_promises(self):
        """Guards against guarantees that fail when faults overlap."""
        self.soak(1)

    def test_seed_that_failed_before(self):
        """Guards against the regression of a bug that a soak has found."""
        seed, cause = next(iter(REGRESSIONS.items()))
        self.soak(seed, f"seed {seed}: {cause}")


if __name__ == "__main__":
    unittest.main()
