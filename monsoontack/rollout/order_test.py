"""Tests of moves to another version within seconds."""

import unittest

from monsoontack.core.records import Outcome
from monsoontack.rollout.evidence import EvidenceCounters
from monsoontack.rollout.order import (
    MIN_MOVE_S,
    OLD_VERSION,
    CanaryGate,
    EntryEvidence,
    OrderEvaluation,
    Phase,
    RolloutOrder,
)


def evidence(rows, old_open=0, phase=Phase.CANARY):
    """Return the report of one entry; rows are version, route, answers, failures."""
    counters = EvidenceCounters()
    for version, route, answers, failures, latency_s in rows:
        for number in range(answers):
            failed = number < failures
            outcome = Outcome("desk", version, route, failed, latency_s, None)
            counters.record(outcome)
    return EntryEvidence(counters.counts, old_open, phase)


def state(rows, phase=Phase.CANARY, **options):
    order = RolloutOrder("desk", "v2", 5.0, phase)
    found = OrderEvaluation(order, 0.0)
    found.evidence = {"e1": evidence(rows, phase=phase, **options)}
    return found


class JudgeTest(unittest.TestCase):
    """Decisions on the counts of all entries."""

    def test_failing_version_is_taken_back_at_once(self):
        """Guards against a bad version that keeps its share until the deadline."""
        found = state([(OLD_VERSION, "r", 100, 4, 0.1), ("v2", "r", 12, 6, 0.1)])
        self.assertEqual(Phase.REVERTED, found.next_phase(1.0))
        self.assertIn("6 of 12", found.reason)

    def test_fault_on_one_route_only(self):
        """Guards against a fault that the sum over all routes hides."""
        rows = [(OLD_VERSION, "a", 300, 3, 0.1), ("v2", "a", 40, 0, 0.1)]
        rows += [(OLD_VERSION, "b", 30, 0, 0.1), ("v2", "b", 6, 5, 0.1)]
        self.assertEqual(Phase.REVERTED, state(rows).next_phase(1.0))

    def test_slow_version_is_taken_back(self):
        """Guards against a version that answers, but several times slower."""
        rows = [(OLD_VERSION, "r", 300, 0, 0.1), ("v2", "r", 60, 0, 0.8)]
        self.assertEqual(Phase.REVERTED, state(rows).next_phase(1.0))

    def test_sound_version_takes_over_after_part_of_the_time(self):
        """Guards against good versions that miss their deadline."""
        rows = [(OLD_VERSION, "r", 100, 14, 0.1), ("v2", "r", 20, 3, 0.1)]
        found = state(rows)
        self.assertEqual(Phase.CANARY, found.next_phase(1.0))
        self.assertEqual(Phase.MOVING, found.next_phase(3.0))

    def test_unseen_route_delays_the_move(self):
        """Guards against a move before a busy route was tried."""
        rows = [(OLD_VERSION, "a", 100, 0, 0.1), ("v2", "a", 20, 0, 0.1)]
        rows += [(OLD_VERSION, "b", 100, 0, 0.1)]
        self.assertEqual(Phase.CANARY, state(rows).next_phase(3.0))

    def test_move_waits_for_requests_on_old_engines(self):
        """Guards against old engines that stop while they answer."""
        rows = [(OLD_VERSION, "r", 10, 0, 0.1)]
        busy = state(rows, Phase.MOVING, old_open=2)
        done = state(rows, Phase.MOVING)
        for found in (busy, done):
            self.assertEqual(Phase.MOVING, found.next_phase(4.0))
        self.assertEqual(Phase.MOVING, busy.next_phase(4.0 + MIN_MOVE_S))
        self.assertEqual(Phase.COMPLETE, done.next_phase(4.0 + MIN_MOVE_S))

    def test_fault_that_begins_with_the_move_is_noticed(self):
        """Guards against old engines that stop as the new ones fail under load."""
        rows = [(OLD_VERSION, "r", 100, 3, 0.1), ("v2", "r", 60, 1, 0.1)]
        found = state(rows, Phase.MOVING)
        self.assertEqual(Phase.MOVING, found.next_phase(4.0))
        rows[1] = ("v2", "r", 80, 9, 0.1)
        found.evidence["e1"] = evidence(rows, phase=Phase.MOVING)
        self.assertEqual(Phase.REVERTED, found.next_phase(4.4))
        self.assertIn("8 of 20", found.reason)

    def test_entry_that_has_not_heard_of_the_move_holds_it(self):
        """Guards against engines that stop while an entry still sends to them."""
        found = state([], Phase.MOVING)
        found.evidence["e2"] = evidence([], phase=Phase.CANARY)
        self.assertEqual(Phase.MOVING, found.next_phase(4.0))

    def test_ended_order_stays_ended(self):
        """Guards against a version that returns after it was taken back."""
        rows = [(OLD_VERSION, "r", 100, 0, 0.1), ("v2", "r", 50, 0, 0.1)]
        self.assertEqual(Phase.REVERTED, state(rows, Phase.REVERTED).next_phase(9.0))


class GateTest(unittest.TestCase):
    """Exposure of one entry."""

    def test_entries_together_keep_the_bound(self):
        """Guards against many entries that each use the whole allowance."""
        for entries in (1, 5, 26, 68, 390):
            for tolerance in (0, 3, 50):
                exposed, requests = self.expose(entries, tolerance, 40)
                self.assertLessEqual(exposed, 0.1 * requests + tolerance)
                if tolerance >= 3:
                    self.assertGreater(exposed, 0)

    def expose(self, entries, tolerance, each):
        """Let each entry get requests; return how many were exposed, and all."""
        names = [f"e{n}" for n in range(entries)]
        exposed = 0
        for name in names:
            gate = CanaryGate.for_entry(0.1, tolerance, "order", name, names)
            gate.is_past_deadline = True
            for _ in range(each):
                gate.note_request()
                if gate.may_expose():
                    gate.note_exposed()
                    exposed += 1
        return exposed, entries * each

    def test_failures_close_the_gate_before_the_judgement(self):
        """Guards against bad answers while the lease changes hands."""
        gate = CanaryGate.for_entry(0.1, 500, "order", "e1", ["e1"])
        for _ in range(6):
            gate.note_answer(failed=True)
        gate.note_request()
        self.assertFalse(gate.may_expose())


if __name__ == "__main__":
    unittest.main()
