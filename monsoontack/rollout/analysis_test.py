"""Tests of the sequential comparison of two versions."""

import json
import random
import unittest

from monsoontack.core.records import RequestOutcome
from monsoontack.rollout.analysis import CanaryAnalysis, detection_threshold
from monsoontack.rollout.evidence import ALL_ROUTES, Counts


def draw_counts(rng, requests, failure_rate=0.01, slow=1.0):
    counts = Counts()
    for _ in range(requests):
        failed = rng.random() < failure_rate
        first = None if failed else rng.lognormvariate(-1.9, 0.5) * slow
        gap = None if failed else rng.lognormvariate(-3.5, 0.35)
        counts.record(RequestOutcome("s", "v", "chat", failed, first, gap))
    return counts


def add_windows(analysis, rng, windows, old=100, new=10, **fault):
    for i in range(windows):
        pair = (draw_counts(rng, old), draw_counts(rng, new, **fault))
        finding = analysis.update(
            {ALL_ROUTES: pair, "chat": pair}, time_of_window(analysis, i)
        )
        if finding:
            return finding
    return None


def time_of_window(analysis, window):
    return analysis.restarted_at + 5.0 * (1 + window % 12)


class CanaryAnalysisTest(unittest.TestCase):
    def create_analysis(self):
        return CanaryAnalysis("v1", "v2", detection_threshold(0.001))

    def test_good_versions_are_not_rejected(self):
        """Guards against a rejected version that equals the old one, in 100 runs."""
        for seed in range(100):
            self.assertIsNone(
                add_windows(self.create_analysis(), random.Random(seed), 60, 30, 30)
            )

    def test_false_alarm_rate_of_a_weak_threshold(self):
        """Guards against an invalid test: at alpha 0.1 at most 10% may be rejected."""
        wrong = 0
        for seed in range(100):
            analysis = CanaryAnalysis("v1", "v2", detection_threshold(0.1))
            wrong += add_windows(analysis, random.Random(seed), 60, 40, 20) is not None
        self.assertLessEqual(wrong, 10)

    def test_bad_versions_are_found_with_figures(self):
        """Guards against an undetected fault and a finding without figures."""
        faults = (
            ({"failure_rate": 0.5}, "failures", "requests failed on v2"),
            ({"slow": 1.5}, "first_token", "time to first token above"),
        )
        for fault, metric, words in faults:
            with self.subTest(metric):
                finding = add_windows(
                    self.create_analysis(), random.Random(3), 200, **fault
                )
                self.assertEqual(metric, finding.metric)
                self.assertRegex(finding.text, rf"{words}.*\d+%? .* on v1 at the same")

    def test_fault_without_old_traffic(self):
        """Guards against an undetected fault that begins at full traffic."""
        for fault in ({"failure_rate": 0.03}, {"slow": 1.5}):
            with self.subTest(fault):
                analysis, rng = self.create_analysis(), random.Random(4)
                self.assertIsNone(add_windows(analysis, rng, 60, 60, 60))
                self.assertIsNone(add_windows(analysis, rng, 60, 0, 100))
                finding = add_windows(analysis, rng, 300, 0, 100, **fault)
                self.assertRegex(finding.text, "on v1 (before|until its traffic ended)")

    def test_lost_engine_is_not_a_version_fault(self):
        """Guards against a stop because one engine failed all its requests together."""
        analysis, rng = self.create_analysis(), random.Random(5)
        add_windows(analysis, rng, 60, 100, 3)
        burst = (draw_counts(rng, 100), Counts(4, 4))
        self.assertIsNone(
            analysis.update({ALL_ROUTES: burst}, analysis.restarted_at + 5)
        )

    def test_state_can_be_restored(self):
        """Guards against evidence lost when another process continues the rollout."""
        first, rng = self.create_analysis(), random.Random(6)
        add_windows(first, rng, 5, failure_rate=0.3)
        second = self.create_analysis()
        second.restore(json.loads(json.dumps(first.to_record())))
        self.assertEqual(first.to_record(), second.to_record())
        self.assertGreater(second.routes[ALL_ROUTES][0].log_evidence(), 0.0)


if __name__ == "__main__":
    unittest.main()
