"""Checks the at-most-once model, and that each broken variant is detected."""

import unittest

from minicheck import check_safety

from specs.atmostonce import BROKEN, INVARIANTS, specification

MAX_STATES = 1_000_000


class AtMostOnceTest(unittest.TestCase):
    def check(self, **options):
        result = check_safety(specification(**options), max_states=MAX_STATES)
        self.assertTrue(result["exhaustive"], result)
        return result

    def test_protocol_holds(self):
        """Guards against an order of events that executes a call twice."""
        for writers, max_sends in ((2, 2), (3, 1)):
            result = self.check(writers=writers, max_sends=max_sends)
            self.assertGreater(result["reachable_states"], 50_000)
            holds = {name: p["holds"] for name, p in result["properties"].items()}
            self.assertEqual(dict.fromkeys(INVARIANTS, True), holds)

    def test_broken_variants_have_counterexamples(self):
        """Guards against a specification whose invariants cannot fail."""
        expected = {
            "lost_answer_is_not_run": set(INVARIANTS),
            "takeover_to_not_run": {"record_is_true"},
            "dispatch_after_refusal": {"not_run_is_true"},
            "claim_ignores_writer": {"ran_at_most_once", "record_is_true"},
        }
        self.assertEqual(set(BROKEN), set(expected))
        for broken, violated in expected.items():
            found = {
                name
                for name, outcome in self.check(broken=broken)["properties"].items()
                if outcome["holds"] is False and outcome["counterexample"]
            }
            self.assertEqual(violated, found, broken)


if __name__ == "__main__":
    unittest.main()
