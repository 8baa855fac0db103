"""Checks the model of proposal outcomes, and that each broken variant is detected."""

import unittest

from minicheck import check_safety

from specs.proposals import BROKEN, INVARIANTS, specification

MAX_STATES = 500_000
# The broken variants with an unbounded state space violate an invariant within 13
# steps, long before the checker reaches this many states.
MAX_BROKEN_STATES = 30_000


class ProposalsTest(unittest.TestCase):
    def test_protocol_holds(self):
        """Guards against an expired lease holder that refuses on an old revision."""
        for max_epochs, max_ambiguous in ((2, 2), (3, 1)):
            model = specification(max_epochs=max_epochs, max_ambiguous=max_ambiguous)
            result = check_safety(model, max_states=MAX_STATES)
            self.assertTrue(result["exhaustive"], result)
            self.assertGreater(result["reachable_states"], 50_000)
            holds = {name: p["holds"] for name, p in result["properties"].items()}
            self.assertEqual(dict.fromkeys(INVARIANTS, True), holds)

    def test_broken_variants_have_counterexamples(self):
        """Guards against a specification whose invariants cannot fail."""
        expected = {
            "no_seal": {"old_epochs_are_fenced"},
            "no_condition": {
                "never_reverts",
                "statuses_are_true",
                "old_epochs_are_fenced",
            },
            "no_finish": {"each_once"},
            "no_verify": {"statuses_are_true"},
        }
        self.assertEqual(set(BROKEN), set(expected))
        for broken, violated in expected.items():
            model = specification(broken, max_epochs=2, max_ambiguous=1)
            result = check_safety(model, max_states=MAX_BROKEN_STATES)
            found = {
                name
                for name, outcome in result["properties"].items()
                if outcome["holds"] is False and outcome["counterexample"]
            }
            self.assertEqual(violated, found, broken)


if __name__ == "__main__":
    unittest.main()
