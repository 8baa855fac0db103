"""Tests of the guard that stops a bad version at one entry."""

import unittest

from monsoontack.config.view import RolloutConfig
from monsoontack.core.records import RequestOutcome, StopMark
from monsoontack.rollout.guard import MAX_MARKS, MIN_IN_FLIGHT_LIMIT, RolloutGuard

ROLLOUT = RolloutConfig("u1", "r", "s", "v1", "v2", 1e9, "stepping")
MARK = StopMark("u1", "s", "v2", "bad", "e9")
SHARES = (("v1", 75.0), ("v2", 25.0))


def configured_guard(rollout=ROLLOUT):
    guard = RolloutGuard.from_config("e1", 3)
    guard.configure({rollout.uid: rollout}, 0.0)
    return guard


def outcome(version, failed):
    return RequestOutcome("s", version, "chat", failed, 0.1, 0.03)


class GuardTest(unittest.TestCase):
    def test_stops_on_its_own_evidence(self):
        """Guards against a stop that depends on the controller or the store."""
        guard, marks, now = configured_guard(), [], 0.0
        while not marks and now < 120.0:
            now += 1.0
            for _ in range(3):
                guard.observe(outcome("v1", False), now)
            guard.observe(outcome("v2", True), now)
            marks = guard.tick(now) or guard.stop_marks()
        (mark,) = marks
        self.assertEqual(
            ("u1", "v2", "e1"), (mark.rollout_uid, mark.version, mark.entry)
        )
        self.assertIn("requests failed on v2", mark.reason)
        self.assertEqual(0.0, guard.allowed_share("u1", 25.0))
        self.assertEqual([("v1", 100.0), ("v2", 0.0)], guard.shares("s", SHARES))

    def test_marks_spread_and_stay(self):
        """Guards against a mark that is lost, or removed by a configuration change."""
        guard = configured_guard()
        self.assertEqual([MARK], guard.add_marks([MARK, MARK]))
        self.assertEqual([], guard.add_marks([MARK]))
        guard.configure({"u1": ROLLOUT}, 1.0)
        self.assertEqual([MARK], guard.stop_marks())
        guard.configure({}, 2.0)
        self.assertEqual([], guard.stop_marks())

    def test_mark_that_precedes_its_revision_is_kept(self):
        """Guards against traffic to a version whose mark arrived before its rollout."""
        guard = RolloutGuard.from_config("e1")
        guard.add_marks([MARK])
        guard.configure({}, 0.0)
        guard.configure({"u1": ROLLOUT}, 1.0)
        self.assertEqual(0.0, guard.allowed_share("u1", 5.0))

    def test_marks_of_unknown_rollouts_are_bounded(self):
        """Guards against unbounded memory, and against dropping a published mark."""
        guard = configured_guard()
        guard.add_marks([MARK])
        for i in range(2 * MAX_MARKS):
            guard.add_marks([StopMark(f"x{i}", "s", "v", "", "e")])
        self.assertEqual(MAX_MARKS, len(guard.marks))
        self.assertIn("u1", guard.marks)

    def test_unproved_version_gets_no_traffic_without_the_store(self):
        """Guards against new traffic to an unproved version during a partition."""
        guard = configured_guard()
        self.assertEqual(25.0, guard.allowed_share("u1", 25.0, 8.0))
        self.assertEqual(0.0, guard.allowed_share("u1", 25.0, 10.0))
        proved = RolloutConfig("u1", "r", "s", "v1", "v2", 1e9, "complete")
        self.assertEqual(
            100.0, configured_guard(proved).allowed_share("u1", 100.0, 99.0)
        )

    def test_requests_in_flight_are_bounded(self):
        """Guards against a version that accepts requests and never answers."""
        guard = configured_guard()
        for _ in range(MIN_IN_FLIGHT_LIMIT):
            self.assertEqual(25.0, guard.allowed_share("u1", 25.0))
            guard.note_sent("s", "v2")
        self.assertEqual(0.0, guard.allowed_share("u1", 25.0))
        guard.note_abandoned("s", "v2")
        self.assertEqual(25.0, guard.allowed_share("u1", 25.0))

    def test_unknown_rollout_gets_nothing(self):
        """Guards against traffic to a version whose rollout is unknown."""
        self.assertEqual(0.0, configured_guard().allowed_share("other", 50.0))


if __name__ == "__main__":
    unittest.main()
