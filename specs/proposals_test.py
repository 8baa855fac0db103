"""Checks the specification of proposals' outcomes and that its faults are found."""

import unittest

from minicheck import check_safety

from specs.proposals import BROKEN, INVARIANTS, specification

MAX_STATES = 500_000
# The broken variants without a bound on states violate an invariant within 13
# steps, long before this many states.
MAX_BROKEN_STATES = 30_000


class ProposalsTest(unittest.TestCase):
    def test_protocol_holds(self):
        """Guards against a lapsed holder that refuses by an old revision."""
        for epochs, lost in ((2, 2), (3, 1)):
            model = specification(epochs=epochs, lost=lost)
            result = check_safety(model, max_states=MAX_STATES)
            self.assertTrue(result["exhaustive"], result)
            self.assertGreater(result["reachable_states"], 50_000)
            holds = {name: p["holds"] for name, p in result["properties"].items()}
            self.assertEqual(dict.fromkeys(INVARIANTS, True), holds)

    def test_broken_variants_have_counterexamples(self):
        """Guards against a specification in which nothing can go wrong."""
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
            model = specification(broken, epochs=2, lost=1)
            result = check_safety(model, max_states=MAX_BROKEN_STATES)
            found = {
                name
                for name, outcome in result["properties"].items()
                if outcome["holds"] is False and outcome["counterexample"]
            }
            self.assertEqual(violated, found, broken)


if __name__ == "__main__":
    unittest.main()
