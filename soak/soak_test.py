"""A short soak with a fixed seed, and one seed that failed in the past."""

import asyncio
import functools
import unittest

from soak.invariants import LACKS_END
from soak.regressions import REGRESSIONS
from soak.run import run_seed

FAULT_DURATION_S = 6.0
FIRST_SEED = 1
FAILED_SEED, FAILED_CAUSE = next(iter(REGRESSIONS.items()))


@functools.cache
def soak(seed):
    """Return the result of a seed, which is played once for all tests."""
    return asyncio.run(run_seed(seed, FAULT_DURATION_S))


class SoakTest(unittest.TestCase):
    def check(self, seed, cause=None):
        """Check everything but the streams that lack only their end."""
        result = soak(seed)
        found = [item for item in result.violations if not item.endswith(LACKS_END)]
        self.assertEqual([], found, cause)
        self.assertEqual([], result.unserved, cause)
        self.assertGreater(result.statuses[200], 20)

    def test_short_soak_keeps_the_promises(self):
        """Guards against guarantees that fail when faults overlap."""
        self.check(FIRST_SEED)

    def test_seed_that_failed_before(self):
        """Guards against the regression of a bug that a soak has found."""
        self.check(FAILED_SEED, f"seed {FAILED_SEED}: {FAILED_CAUSE}")

    def test_no_stream_lacks_only_its_end(self):
        """Guards against streams that are cut behind their last event, because their
        servers paused there."""
        for seed in (FIRST_SEED, FAILED_SEED):
            violations = soak(seed).violations
            found = [item for item in violations if item.endswith(LACKS_END)]
            self.assertEqual([], found, f"seed {seed}")


if __name__ == "__main__":
    unittest.main()
