"""Tests of the sequential comparison."""

import json
import random
import unittest

from monsoontack.core.records import Outcome
from monsoontack.rollout.analysis import CanaryAnalysis, detection_threshold
from monsoontack.rollout.evidence import OVERALL, Counts


def draw(rng, requests, failure_rate=0.01, slow=1.0):
    counts = Counts()
    for _ in range(requests):
        failed = rng.random() < failure_rate
        first = None if failed else rng.lognormvariate(-1.9, 0.5) * slow
        gap = None if failed else rng.lognormvariate(-3.5, 0.35)
        counts.record(Outcome("s", "v", "chat", failed, first, gap))
    return counts


def feed(judge, rng, windows, old=100, new=10, **fault):
    for i in range(windows):
        pair = (draw(rng, old), draw(rng, new, **fault))
        finding = judge.update({OVERALL: pair, "chat": pair}, judge_time(judge, i))
        if finding:
            return finding
    return None


def judge_time(judge, window):
    return judge.restarted_at + 5.0 * (1 + window % 12)


class JudgeTest(unittest.TestCase):
    def judge(self):
        return CanaryAnalysis("v1", "v2", detection_threshold(0.001))

    def test_good_versions_pass(self):
        """Guards against a test that convicts equal versions, in 100 runs."""
        for seed in range(100):
            self.assertIsNone(feed(self.judge(), random.Random(seed), 60, 30, 30))

    def test_false_alarm_rate_of_a_weak_threshold(self):
        """Guards against an invalid test: at alpha 0.1 it may err in 10%."""
        wrong = 0
        for seed in range(100):
            judge = CanaryAnalysis("v1", "v2", detection_threshold(0.1))
            wrong += feed(judge, random.Random(seed), 60, 40, 20) is not None
        self.assertLessEqual(wrong, 10)

    def test_bad_versions_are_found_with_figures(self):
        """Guards against a missed fault and a finding without figures."""
        faults = (
            ({"failure_rate": 0.5}, "failures", "requests failed on v2"),
            ({"slow": 1.5}, "first_token", "time to first token above"),
        )
        for fault, metric, words in faults:
            with self.subTest(metric):
                finding = feed(self.judge(), random.Random(3), 200, **fault)
                self.assertEqual(metric, finding.metric)
                self.assertRegex(finding.text, rf"{words}.*\d+%? .* on v1 at the same")

    def test_fault_without_old_traffic(self):
        """Guards against a version that turns bad at full traffic."""
        for fault in ({"failure_rate": 0.03}, {"slow": 1.5}):
            with self.subTest(fault):
                judge, rng = self.judge(), random.Random(4)
                self.assertIsNone(feed(judge, rng, 60, 60, 60))
                self.assertIsNone(feed(judge, rng, 60, 0, 100))
                finding = feed(judge, rng, 300, 0, 100, **fault)
                self.assertRegex(finding.text, "on v1 (before|until its traffic ended)")

    def test_lost_engine_is_no_fault(self):
        """Guards against a stop because one engine failed its requests at once."""
        judge, rng = self.judge(), random.Random(5)
        feed(judge, rng, 60, 100, 3)
        burst = (draw(rng, 100), Counts(4, 4))
        self.assertIsNone(judge.update({OVERALL: burst}, judge.restarted_at + 5))

    def test_state_survives_a_takeover(self):
        """Guards against evidence lost when another process goes on."""
        first, rng = self.judge(), random.Random(6)
        feed(first, rng, 5, failure_rate=0.3)
        second = self.judge()
        second.restore(json.loads(json.dumps(first.record())))
        self.assertEqual(first.record(), second.record())
        self.assertGreater(second.routes[OVERALL][0].evidence(), 0.0)


if __name__ == "__main__":
    unittest.main()
