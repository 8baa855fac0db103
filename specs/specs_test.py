"""Checks the rollout and attempts models, and that each broken variant is detected."""

import unittest

from minicheck import check_liveness, check_safety

from monsoontack.generation.attempts import AttemptLog
from specs.attempts import (
    NoAttemptCheck,
    NoGapCheck,
    NoGenerationCheck,
    attempts_model,
)
from specs.rollout import World, rollout_model, spread_model

MAX_STATES = 1_000_000


class SpecsTest(unittest.TestCase):
    def assert_holds(self, model):
        result = check_safety(model, MAX_STATES)
        self.assertTrue(result["exhaustive"])
        self.assertGreater(result["reachable_states"], 1000)
        for name, found in result["properties"].items():
            self.assertIs(True, found["holds"], (name, found["counterexample"]))

    def assert_broken(self, model, name, last):
        found = check_safety(model, 60_000)["properties"][name]
        self.assertIs(False, found["holds"], name)
        self.assertRegex(found["counterexample"][-1]["label"], last)

    def test_rollout_holds(self):
        """Guards against a paused controller or store outage that undoes a rollback."""
        self.assert_holds(rollout_model())

    def test_rollout_needs_each_check(self):
        """Guards against a rollout model whose invariants cannot fail."""
        variants = (
            ("read", "head_stays_rolled_back", "publishes 1"),
            ("write", "rollback_is_final", "writes step 2"),
            ("publish", "head_stays_rolled_back", "publishes 2"),
            ("mark", "marked_gets_nothing", "sends"),
        )
        for omitted_check, name, last in variants:
            with self.subTest(omitted_check):
                model = rollout_model(omitted_check, World(max_epochs=2))
                self.assert_broken(model, name, last)

    def test_marks_spread_without_store_and_controller(self):
        """Guards against stop marks that need the store to spread.

        Without gossip the goal must fail, or the check would be vacuous.
        """
        self.assertTrue(check_liveness(spread_model())["holds"])
        self.assertFalse(check_liveness(spread_model(gossip=False))["holds"])

    def test_attempts_hold(self):
        """Guards against late or misdirected chunks in an answer (P1, P2, P4)."""
        self.assert_holds(attempts_model(AttemptLog))

    def test_attempts_need_each_check(self):
        """Guards against an attempts model whose invariants cannot fail."""
        variants = (
            (NoAttemptCheck, "P2", "arrive"),
            (NoGapCheck, "P1", "arrive"),
            (NoGenerationCheck, "P4", "crossed"),
        )
        for log_type, name, last in variants:
            with self.subTest(log_type.__name__):
                self.assert_broken(attempts_model(log_type), name, last)


if __name__ == "__main__":
    unittest.main()
