"""Tests of the ledger measurement on a small number of calls."""

import unittest
from dataclasses import replace
from unittest import mock

from bench.ledger import CALLS_PER_WORLD, run_worlds, store_calls_without_faults
from monsoontack.core.errors import RunState
from monsoontack.ledger import machine


class LedgerBenchTest(unittest.TestCase):
    def test_small_run(self):
        """Guards against a measurement in which no call is run or none fails."""
        violations, counts = run_worlds(1, CALLS_PER_WORLD)
        self.assertEqual({}, dict(violations))
        self.assertGreater(counts["executed"], CALLS_PER_WORLD / 2)
        self.assertGreater(counts["answers.not_run"], 0)
        self.assertGreater(counts["answers.unknown"], 0)

    def test_fault_is_counted(self):
        """Guards against violations that are missing from the figures."""
        original = machine._dispatched

        def report_unknown_as_not_run(state, result, now):
            if result.run_state is RunState.UNKNOWN:
                result = replace(result, run_state=RunState.NOT_RUN)
            return original(state, result, now)

        with mock.patch.object(machine, "_dispatched", report_unknown_as_not_run):
            violations, _ = run_worlds(1, CALLS_PER_WORLD)
        self.assertGreater(violations["run_twice"], 0)
        self.assertGreater(violations["false_not_run"], 0)

    def test_store_calls(self):
        """Guards against a call that makes more store calls than its two writes."""
        self.assertEqual(2.0, store_calls_without_faults(1))


if __name__ == "__main__":
    unittest.main()
