"""Orders over many entries, simulated: bad versions of each kind, and good ones.

The pattern: a service of 20 to 100 requests a second at up to 390 entries gets an
order of a few seconds; the version fails or is slow at once, late, under load or on
one route only. Reports, looks and news have their delays.
"""

import random
import unittest
from dataclasses import dataclass, field, replace

from monsoontack.core.records import Outcome
from monsoontack.rollout.evidence import EvidenceCounters
from monsoontack.rollout.order import (
    OLD_VERSION,
    CanaryGate,
    EntryEvidence,
    OrderEvaluation,
    Phase,
    RolloutOrder,
)

SHARE, TOLERANCE = 0.1, 50
REPORT_S, MOVING_S, NEWS_S = 0.7, 0.35, 0.1
STEP_S = 0.01
AT_ONCE, LATE, LOADED, ROUTE = "at once", "late", "under load", "one route"


@dataclass
class Fault:
    """How a version is bad; a good one has no `kind`."""

    kind: str = ""
    failing: float = 0.0
    slower: float = 1.0

    def hits(self, route, since_s, is_loaded):
        """Whether the fault shows at a request."""
        if self.kind == LATE:
            return since_s > 2.0
        if self.kind == LOADED:
            return is_loaded
        if self.kind == ROUTE:
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
class Played:
    """What came of an order: phase, when it ended, and who was exposed."""

    phase: Phase = Phase.CANARY
    ended_at: float = 0.0
    exposed: int = 0
    requests: int = 0
    bad_answers_at: list[float] = field(default_factory=list)
    last_exposed_at: float = 0.0
    reason: str = ""


class World:
    """An order at a fleet; `play` returns what came of it."""

    def __init__(self, seed, entries, rate, span_s, fault):
        self.rng = random.Random(seed)
        names = [f"entry-{n}" for n in range(entries)]
        order = RolloutOrder("desk", "v2", span_s)
        self.fleet = [
            Entry(n, CanaryGate.for_entry(SHARE, TOLERANCE, order.uid, n, names))
            for n in names
        ]
        self.weights = [self.rng.uniform(0.3, 3.0) for _ in names]
        self.due = {n: self.rng.uniform(0.0, REPORT_S) for n in names}
        self.state = OrderEvaluation(order, 0.0, SHARE, TOLERANCE)
        self.rate, self.span_s, self.fault = rate, span_s, fault
        self.running, self.heard = [], []
        self.next_look = 0.0
        self.played = Played()

    def play(self):
        """Play until the order has ended, or three times its span is over."""
        now, played = 0.0, self.played
        while now < 3 * self.span_s:
            now += STEP_S
            self.hear(now)
            self.end_runs(now)
            if self.rng.random() < self.rate * STEP_S:
                self.request(now)
            self.report(now)
            self.look(now)
            if played.ended_at and now > played.ended_at + 1.0:
                break
        played.phase, played.reason = self.state.order.phase, self.state.reason
        return played

    def hear(self, now):
        for news in [item for item in self.heard if item[0] <= now]:
            self.heard.remove(news)
            for entry in self.fleet:
                entry.phase = news[1]

    def end_runs(self, now):
        for run in [item for item in self.running if item[0] <= now]:
            self.running.remove(run)
            _, entry, is_new, route, latency_s, failed = run
            version = "v2" if is_new else OLD_VERSION
            outcome = Outcome("desk", version, route, failed, latency_s, None)
            entry.counters.record(outcome)
            if not is_new:
                entry.old_open -= 1
                continue
            entry.new_open -= 1
            entry.gate.note_answer(failed)
            if failed:
                self.played.bad_answers_at.append(now)

    def request(self, now):
        entry = self.rng.choices(self.fleet, self.weights)[0]
        entry.gate.note_request()
        entry.gate.is_past_deadline = now > self.span_s
        is_new = self.takes_new(entry)
        route = "a" if self.rng.random() < 0.3 else "b"
        latency_s, failing = 0.09 * self.rng.uniform(0.7, 1.5), 0.03
        self.played.requests += now <= self.span_s
        if is_new:
            entry.gate.note_exposed()
            entry.new_open += 1
            self.played.exposed += now <= self.span_s
            self.played.last_exposed_at = now
            if self.fault.hits(route, now, entry.phase is Phase.MOVING):
                failing = max(failing, self.fault.failing)
                latency_s *= self.fault.slower
        else:
            entry.old_open += 1
        failed = self.rng.random() < failing
        run = (now + latency_s, entry, is_new, route, latency_s, failed)
        self.running.append(run)

    def takes_new(self, entry):
        if entry.phase in (Phase.MOVING, Phase.COMPLETE):
            return entry.phase is Phase.COMPLETE or not entry.gate.is_failing
        return entry.phase is Phase.CANARY and entry.gate.may_expose()

    def pause_s(self):
        return MOVING_S if self.state.order.phase is Phase.MOVING else REPORT_S

    def report(self, now):
        for entry in self.fleet:
            if self.due[entry.name] <= now:
                self.due[entry.name] = now + self.pause_s()
                counts = {k: c.copy() for k, c in entry.counters.counts.items()}
                self.state.evidence[entry.name] = EntryEvidence(
                    counts, entry.old_open, entry.phase, entry.new_open
                )

    def look(self, now):
        order = self.state.order
        if now < self.next_look or order.phase not in (Phase.CANARY, Phase.MOVING):
            return
        self.next_look = now + self.pause_s()
        phase = self.state.next_phase(now)
        if phase is order.phase:
            return
        self.state.order = replace(order, phase=phase)
        self.heard.append((now + NEWS_S, phase))
        if phase in (Phase.COMPLETE, Phase.REVERTED):
            self.played.ended_at = now


def play(seed, entries, rate, span_s, fault):
    return World(seed, entries, rate, span_s, fault).play()


class OrderLoadTest(unittest.TestCase):
    def assert_bounds(self, played, seed):
        """Neither the exposure nor the time after many bad answers is exceeded."""
        self.assertLessEqual(
            played.exposed, SHARE * played.requests + TOLERANCE, (seed, played.reason)
        )
        if len(played.bad_answers_at) >= 50:
            late = played.last_exposed_at - played.bad_answers_at[49]
            self.assertLessEqual(late, 5.0, seed)

    def test_versions_that_fail_are_taken_back_within_the_exposure(self):
        """Guards against a half-failing version that takes over, and against one
        whose fault begins only when it does."""
        for kind in (AT_ONCE, LATE, LOADED, ROUTE):
            for seed in range(12):
                fault = Fault(kind, failing=0.4)
                played = play(seed, 27, 60.0, 5.0, fault)
                self.assert_bounds(played, (kind, seed))
                if kind in (AT_ONCE, ROUTE):
                    self.assertEqual(Phase.REVERTED, played.phase, (kind, seed))

    def test_versions_that_are_slow_are_taken_back(self):
        """Guards against a version several times slower that takes over."""
        for seed in range(12):
            played = play(seed, 27, 60.0, 5.0, Fault(AT_ONCE, slower=4.0))
            self.assert_bounds(played, seed)
            self.assertEqual(Phase.REVERTED, played.phase, seed)

    def test_bounds_hold_at_hundreds_of_entries(self):
        """Guards against a tolerance that is divided until nobody may try."""
        for seed in range(3):
            bad = play(seed, 390, 100.0, 5.0, Fault(AT_ONCE, failing=0.4))
            self.assertEqual(Phase.REVERTED, bad.phase, seed)
            self.assert_bounds(bad, seed)
            good = play(seed, 390, 100.0, 5.0, Fault())
            self.assertEqual(Phase.COMPLETE, good.phase, (seed, good.reason))

    def test_good_versions_take_over_in_time(self):
        """Guards against good orders that are late, or are taken back by chance."""
        ends, phases = [], []
        for seed in range(40):
            played = play(seed, 68, 60.0, 8.0, Fault())
            ends.append(played.ended_at)
            phases.append(played.phase)
        self.assertGreaterEqual(phases.count(Phase.COMPLETE), 39)
        self.assertGreaterEqual(sum(at <= 9.0 for at in ends), 36)

    def test_good_versions_of_quiet_services_are_in_time(self):
        """Guards against caution that makes every order late."""
        ends = [play(seed, 68, 20.0, 8.0, Fault()).ended_at for seed in range(20)]
        self.assertGreaterEqual(sum(at <= 8.0 for at in ends), 18)


if __name__ == "__main__":
    unittest.main()
