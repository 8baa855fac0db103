"""Simulated rollout orders over many entries, with good and bad versions.

A service with 20 to 100 requests per second at up to 390 entries gets an order with
a span of a few seconds. The version fails or is slow at once, late, under load or
on one route only. Reports, evaluations and the delivery of decisions are delayed.
"""

import random
import unittest
from dataclasses import dataclass, field, replace

from monsoontack.core.records import RequestOutcome
from monsoontack.rollout.evidence import EvidenceCounters
from monsoontack.rollout.order import (
    OLD_VERSION,
    CanaryGate,
    EntryEvidence,
    OrderEvaluation,
    Phase,
    RolloutOrder,
)

EXPOSURE_SHARE, EXPOSURE_TOLERANCE = 0.1, 50
REPORT_INTERVAL_S, MOVING_REPORT_INTERVAL_S, DECISION_DELAY_S = 0.7, 0.35, 0.1
STEP_S = 0.01
AT_ONCE, LATE, UNDER_LOAD, ONE_ROUTE = "at once", "late", "under load", "one route"


@dataclass
class Fault:
    """Fault of a version; `kind` is empty for a good version."""

    kind: str = ""
    failure_rate: float = 0.0
    latency_factor: float = 1.0

    def affects(self, route, since_s, is_loaded):
        """Return whether the fault affects a request."""
        if self.kind == LATE:
            return since_s > 2.0
        if self.kind == UNDER_LOAD:
            return is_loaded
        if self.kind == ONE_ROUTE:
            return route == "a"
        return self.kind == AT_ONCE


@dataclass
class Entry:
    name: str
    gate: CanaryGate
    counters: EvidenceCounters = field(default_factory=EvidenceCounters)
    phase: Phase = Phase.CANARY
    old_open: int = 0
    new_open: int = 0


@dataclass
class OrderResult:
    """Result of an order: phase, time of its end, and exposed requests."""

    phase: Phase = Phase.CANARY
    ended_at: float = 0.0
    exposed: int = 0
    requests: int = 0
    bad_answers_at: list[float] = field(default_factory=list)
    last_exposed_at: float = 0.0
    reason: str = ""


class OrderSimulation:
    """Simulation of one order in a fleet; `simulate` returns the result."""

    def __init__(self, seed, entries, rate, span_s, fault):
        self.rng = random.Random(seed)
        names = [f"entry-{n}" for n in range(entries)]
        order = RolloutOrder("desk", "v2", span_s)
        self.fleet = [
            Entry(
                n,
                CanaryGate.for_entry(
                    EXPOSURE_SHARE, EXPOSURE_TOLERANCE, order.uid, n, names
                ),
            )
            for n in names
        ]
        self.weights = [self.rng.uniform(0.3, 3.0) for _ in names]
        self.next_report_at = {
            n: self.rng.uniform(0.0, REPORT_INTERVAL_S) for n in names
        }
        self.state = OrderEvaluation(order, 0.0, EXPOSURE_SHARE, EXPOSURE_TOLERANCE)
        self.rate, self.span_s, self.fault = rate, span_s, fault
        self.running, self.pending_decisions = [], []
        self.next_evaluation_at = 0.0
        self.result = OrderResult()

    def simulate(self):
        """Run until the order has ended, or for three times its span."""
        now, result = 0.0, self.result
        while now < 3 * self.span_s:
            now += STEP_S
            self.deliver_decisions(now)
            self.end_requests(now)
            if self.rng.random() < self.rate * STEP_S:
                self.start_request(now)
            self.report_evidence(now)
            self.evaluate(now)
            if result.ended_at and now > result.ended_at + 1.0:
                break
        result.phase, result.reason = self.state.order.phase, self.state.reason
        return result

    def deliver_decisions(self, now):
        for decision in [item for item in self.pending_decisions if item[0] <= now]:
            self.pending_decisions.remove(decision)
            for entry in self.fleet:
                entry.phase = decision[1]

    def end_requests(self, now):
        for run in [item for item in self.running if item[0] <= now]:
            self.running.remove(run)
            _, entry, is_new, route, latency_s, failed = run
            version = "v2" if is_new else OLD_VERSION
            outcome = RequestOutcome("desk", version, route, failed, latency_s, None)
            entry.counters.record(outcome)
            if not is_new:
                entry.old_open -= 1
                continue
            entry.new_open -= 1
            entry.gate.note_answer(failed)
            if failed:
                self.result.bad_answers_at.append(now)

    def start_request(self, now):
        entry = self.rng.choices(self.fleet, self.weights)[0]
        entry.gate.note_request()
        entry.gate.is_past_deadline = now > self.span_s
        is_new = self.sends_to_new(entry)
        route = "a" if self.rng.random() < 0.3 else "b"
        latency_s, failure_rate = 0.09 * self.rng.uniform(0.7, 1.5), 0.03
        self.result.requests += now <= self.span_s
        if is_new:
            entry.gate.note_exposed()
            entry.new_open += 1
            self.result.exposed += now <= self.span_s
            self.result.last_exposed_at = now
            if self.fault.affects(route, now, entry.phase is Phase.MOVING):
                failure_rate = max(failure_rate, self.fault.failure_rate)
                latency_s *= self.fault.latency_factor
        else:
            entry.old_open += 1
        failed = self.rng.random() < failure_rate
        run = (now + latency_s, entry, is_new, route, latency_s, failed)
        self.running.append(run)

    def sends_to_new(self, entry):
        if entry.phase in (Phase.MOVING, Phase.COMPLETE):
            return entry.phase is Phase.COMPLETE or not entry.gate.is_failing
        return entry.phase is Phase.CANARY and entry.gate.may_expose()

    def report_interval_s(self):
        return (
            MOVING_REPORT_INTERVAL_S
            if self.state.order.phase is Phase.MOVING
            else REPORT_INTERVAL_S
        )

    def report_evidence(self, now):
        for entry in self.fleet:
            if self.next_report_at[entry.name] <= now:
                self.next_report_at[entry.name] = now + self.report_interval_s()
                counts = {k: c.copy() for k, c in entry.counters.counts.items()}
                self.state.evidence[entry.name] = EntryEvidence(
                    counts, entry.old_open, entry.phase, entry.new_open
                )

    def evaluate(self, now):
        order = self.state.order
        if now < self.next_evaluation_at or order.phase not in (
            Phase.CANARY,
            Phase.MOVING,
        ):
            return
        self.next_evaluation_at = now + self.report_interval_s()
        phase = self.state.next_phase(now)
        if phase is order.phase:
            return
        self.state.order = replace(order, phase=phase)
        self.pending_decisions.append((now + DECISION_DELAY_S, phase))
        if phase in (Phase.COMPLETE, Phase.REVERTED):
            self.result.ended_at = now


def simulate(seed, entries, rate, span_s, fault):
    return OrderSimulation(seed, entries, rate, span_s, fault).simulate()


class OrderLoadTest(unittest.TestCase):
    def assert_exposure_within_limits(self, result, seed):
        """Check the exposed requests, and the exposure time after many bad answers."""
        self.assertLessEqual(
            result.exposed,
            EXPOSURE_SHARE * result.requests + EXPOSURE_TOLERANCE,
            (seed, result.reason),
        )
        if len(result.bad_answers_at) >= 50:
            late = result.last_exposed_at - result.bad_answers_at[49]
            self.assertLessEqual(late, 5.0, seed)

    def test_failing_versions_are_reverted_within_the_exposure_limit(self):
        """Guards against a move to a version with many failures.

        The fault may begin only when the version gets all requests.
        """
        for kind in (AT_ONCE, LATE, UNDER_LOAD, ONE_ROUTE):
            for seed in range(12):
                fault = Fault(kind, failure_rate=0.4)
                result = simulate(seed, 27, 60.0, 5.0, fault)
                self.assert_exposure_within_limits(result, (kind, seed))
                if kind in (AT_ONCE, ONE_ROUTE):
                    self.assertEqual(Phase.REVERTED, result.phase, (kind, seed))

    def test_slow_versions_are_reverted(self):
        """Guards against a move to a version that is several times slower."""
        for seed in range(12):
            result = simulate(seed, 27, 60.0, 5.0, Fault(AT_ONCE, latency_factor=4.0))
            self.assert_exposure_within_limits(result, seed)
            self.assertEqual(Phase.REVERTED, result.phase, seed)

    def test_limits_hold_at_hundreds_of_entries(self):
        """Guards against a tolerance divided so far that no entry may use it."""
        for seed in range(3):
            bad = simulate(seed, 390, 100.0, 5.0, Fault(AT_ONCE, failure_rate=0.4))
            self.assertEqual(Phase.REVERTED, bad.phase, seed)
            self.assert_exposure_within_limits(bad, seed)
            good = simulate(seed, 390, 100.0, 5.0, Fault())
            self.assertEqual(Phase.COMPLETE, good.phase, (seed, good.reason))

    def test_good_versions_complete_in_time(self):
        """Guards against good versions that are late, or reverted by chance."""
        ends, phases = [], []
        for seed in range(40):
            result = simulate(seed, 68, 60.0, 8.0, Fault())
            ends.append(result.ended_at)
            phases.append(result.phase)
        self.assertGreaterEqual(phases.count(Phase.COMPLETE), 39)
        self.assertGreaterEqual(sum(at <= 9.0 for at in ends), 36)

    def test_good_versions_of_low_traffic_services_complete_in_time(self):
        """Guards against limits so strict that every order is late."""
        ends = [simulate(seed, 68, 20.0, 8.0, Fault()).ended_at for seed in range(20)]
        self.assertGreaterEqual(sum(at <= 8.0 for at in ends), 18)


if __name__ == "__main__":
    unittest.main()
