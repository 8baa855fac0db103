"""Tests of the step machine of rollouts."""

import unittest
from dataclasses import replace
from itertools import combinations

from monsoontack.config.view import RolloutConfig
from monsoontack.core.records import StopMark
from monsoontack.rollout.controller import RolloutController
from monsoontack.rollout.evidence import (
    Counts,
    EvidenceKey,
    EvidenceReport,
    report_interval_s,
)
from monsoontack.rollout.plan import BURST_S, STEPS, LoadBucket
from monsoontack.rollout.state import (
    FleetSnapshot,
    LeaseGained,
    LoadEnded,
    LoadVersion,
    Phase,
    PublishShares,
    ReportReceived,
    RolloutState,
    SharesPublished,
    StateConflict,
    StateNotWritten,
    StateWritten,
    StepDown,
    StopMarksReceived,
    Tick,
    WriteState,
)

ROLLOUT = RolloutConfig("u1", "r", "s", "v1", "v2", 1200.0)
WEIGHTS = {("s", "v2"): 100}


class Harness:
    """Executes actions against one stored state and ideal engines."""

    def __init__(self, stored=None, rate=1000.0, rollout=ROLLOUT):
        self.now, self.version, self.state = 0.0, 0, None
        self.store_up, self.ended, self.held = True, 0, None
        self.engines = {f"a{i}": ("v1",) for i in range(4)}
        self.published, self.loads, self.others = [], [], []
        self.controller = RolloutController.from_config("c", rate, 0.0)
        self.controller.configure([rollout], WEIGHTS, 0.0)
        self.send(FleetSnapshot({"s": self.engines}, 1))
        self.send(LeaseGained(7, stored or {}))

    def send(self, event):
        for action in self.controller.handle(event, self.now):
            self.execute(action)

    def execute(self, action):
        match action:
            case WriteState() if self.held is not None:
                self.held.append(action)
            case WriteState(state, _) if not self.store_up:
                self.send(StateNotWritten(state.uid))
            case WriteState(state, version):
                self.state, self.version = state, version + 1
                self.send(StateWritten(state.uid, self.version))
            case PublishShares() if self.store_up:
                self.published.append((dict(action.shares)["v2"], self.now))
                self.send(SharesPublished("u1", self.published[-1][0], action.phase))
            case LoadVersion(address):
                self.loads.append((self.now, address))
                self.engines[address] = ("v1", "v2")
            case _:
                self.others.append(action)

    def run(self, seconds, evidence=True):
        for _ in range(int(seconds / 5)):
            self.now += 5.0
            if evidence:
                self.ended += 100
                counts = {
                    EvidenceKey("s", v, "chat"): Counts(self.ended)
                    for v in ("v1", "v2")
                }
                self.send(ReportReceived(EvidenceReport("e", 1, 1, "", counts)))
            self.send(Tick())


class ControllerTest(unittest.TestCase):
    def test_good_version_steps_through_and_completes(self):
        """Guards against a skipped step and a missed deadline."""
        harness = Harness()
        harness.run(1200)
        shares = [share for share, _ in harness.published]
        self.assertEqual([0.0, *STEPS, 100.0], shares)
        self.assertEqual(Phase.COMPLETE, harness.state.phase)
        self.assertLess(harness.published[-1][1], 1200.0)
        self.assertIn("complete: ", harness.state.reason)

    def test_state_is_written_before_it_is_published(self):
        """Guards against a share in force that no successor would know of."""
        harness = Harness()
        harness.run(60)
        harness.store_up, before = False, list(harness.published)
        harness.run(600)
        self.assertEqual(before, harness.published)
        harness.store_up = True
        harness.run(10)
        self.assertGreater(len(harness.published), len(before))

    def test_stop_mark_rolls_back(self):
        """Guards against a mark that the controller ignores or overwrites."""
        harness = Harness()
        harness.run(300)
        harness.send(StopMarksReceived((StopMark("u1", "s", "v2", "e1: bad", "e1"),)))
        harness.run(900)
        self.assertEqual(0.0, harness.published[-1][0])
        self.assertRegex(harness.state.reason, r"rolled back at \d+%: e1: bad")

    def test_stop_mark_during_a_write(self):
        """Guards against a rollback lost, or a higher share published, because
        the mark came while the next step was being written."""
        harness = Harness()
        harness.run(60)
        harness.held = []
        while not harness.held:
            harness.run(5)
        before = len(harness.published)
        harness.send(StopMarksReceived((StopMark("u1", "s", "v2", "bad", "e1"),)))
        held, harness.held = harness.held, None
        for action in held:
            harness.execute(action)
        shares = [share for share, _ in harness.published[before:]]
        self.assertEqual([0.0], shares)
        self.assertEqual(Phase.ROLLED_BACK, harness.state.phase)

    def test_no_step_without_evidence(self):
        """Guards against advancing blind; the deadline then rolls back."""
        harness = Harness()
        harness.run(1300, evidence=False)
        self.assertEqual([0.0, 1.0, 0.0], [share for share, _ in harness.published])
        self.assertIn("0 of 1 entries report evidence", harness.state.reason)

    def test_large_fleet_steps_on_rare_reports(self):
        """Guards against a rollout that waits for reports more frequent than
        those of a large fleet, and then misses its deadline."""
        harness = Harness()
        harness.send(FleetSnapshot({"s": harness.engines}, 390))
        for _ in range(30):
            for entry in range(390):
                counts = {
                    EvidenceKey("s", v, "chat"): Counts(10 + int(harness.now))
                    for v in ("v1", "v2")
                }
                report = EvidenceReport(f"e{entry}", 1, 1, "", counts)
                harness.send(ReportReceived(report))
            harness.run(report_interval_s(390) + 1, evidence=False)
        self.assertEqual(Phase.COMPLETE, harness.state.phase, harness.state.reason)

    def test_too_late_start_is_refused(self):
        """Guards against a rollout that could only end after its deadline."""
        late = RolloutConfig("u1", "r", "s", "v1", "v2", 100.0)
        harness = Harness(rollout=late)
        harness.run(20)
        self.assertIn("too little time", harness.state.reason)

    def test_loads_keep_to_the_rate(self):
        """Guards against more weight loads than the store's rate."""
        harness = Harness(rate=1.0)
        harness.run(600)
        times = [at for at, _ in harness.loads]
        for i, j in combinations(range(len(times)), 2):
            self.assertGreaterEqual(times[j] - times[i] + BURST_S, 100.0 * (j - i))
        self.assertGreaterEqual(times[0], 100.0, "a predecessor may have loaded")

    def test_bucket_average(self):
        """Guards against loads above the rate, and below it at long ticks."""
        for tick in (1, 5):
            with self.subTest(tick):
                bucket = LoadBucket(10.0, 0.0, 20)
                times = range(0, 1000, tick)
                taken = sum(bucket.take(20, t) for t in times for _ in range(9))
                self.assertAlmostEqual(1000 / 2, taken, delta=5)

    def test_successor_resumes(self):
        """Guards against a takeover that starts the rollout again."""
        first = Harness()
        first.run(500)
        stored = RolloutState.from_json(first.state.to_json(), "x").unwrap()
        second = Harness({"u1": (stored, first.version)})
        second.now = 500.0
        second.engines.update(first.engines)
        second.run(700)
        self.assertEqual(first.published[-1][0], second.published[0][0])
        self.assertEqual(Phase.COMPLETE, second.state.phase)

    def test_conflict_steps_down(self):
        """Guards against a former holder that goes on after its lease."""
        harness = Harness()
        harness.run(60)
        harness.send(StateConflict("u1"))
        before = len(harness.published)
        harness.run(900)
        self.assertIsInstance(harness.others[-1], StepDown)
        self.assertEqual(before, len(harness.published))

    def test_state_of_a_higher_epoch_steps_down(self):
        """Guards against a paused holder that reads its successor's state and
        then overwrites it; found by the model with epoch checks on writes only."""
        first = Harness()
        first.run(60)
        stored = replace(first.state, epoch=8)
        second = Harness({"u1": (stored, first.version)})
        second.run(900)
        self.assertIsInstance(second.others[-1], StepDown)
        self.assertEqual([], second.published)

    def test_fenced_load_steps_down(self):
        """Guards against orders from a controller that lost its lease."""
        harness = Harness()
        harness.send(LoadEnded("a0", "v2", "fenced"))
        self.assertIsInstance(harness.others[-1], StepDown)
        self.assertEqual(0, harness.controller.epoch)


if __name__ == "__main__":
    unittest.main()
