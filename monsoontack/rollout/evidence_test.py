"""Tests of evidence counters and of the sum over entries."""

import unittest

from monsoontack.core.records import Outcome
from monsoontack.rollout.evidence import (
    BUCKET_COUNT,
    MAX_ENTRIES,
    MAX_KEYS,
    OVERALL,
    Counts,
    EvidenceCounters,
    EvidenceKey,
    EvidenceReport,
    EvidenceSum,
    bucket_lower_bound_s,
    bucket_of,
    pair_window,
)

KEY = EvidenceKey("s", "v2", "chat")


def report(requests, failures=0, incarnation=1, entry="e1", key=KEY):
    return EvidenceReport(entry, incarnation, 1, "", {key: Counts(requests, failures)})


class EvidenceTest(unittest.TestCase):
    def test_buckets_cover_all_latencies(self):
        """Guards against a latency counted outside its bucket."""
        for index in range(1, BUCKET_COUNT):
            self.assertEqual(index, bucket_of(bucket_lower_bound_s(index) * 1.01))
            self.assertEqual(index - 1, bucket_of(bucket_lower_bound_s(index) * 0.99))
        self.assertEqual(BUCKET_COUNT - 1, bucket_of(1e9))

    def test_counters_are_bounded_and_keep_the_sum(self):
        """Guards against unlimited routes, and against losing their outcomes."""
        counters = EvidenceCounters()
        for i in range(2 * MAX_KEYS):
            counters.record(Outcome("s", "v2", f"route-{i}", i % 2 == 0))
        self.assertLessEqual(len(counters.counts), MAX_KEYS)
        total = sum(c.requests for c in counters.counts.values())
        self.assertEqual(2 * MAX_KEYS, total)

    def test_reports_merge_by_incarnation(self):
        """Guards against counting a request twice or losing a restart."""
        total = EvidenceSum()
        total.merge(report(100), 0.0)
        self.assertEqual({}, total.close_window(), "first report is a baseline")
        total.merge(report(130, 2), 5.0)
        self.assertEqual(Counts(30, 2), total.close_window()[KEY])
        total.merge(report(7, 1, incarnation=2), 10.0)
        self.assertEqual(Counts(7, 1), total.close_window()[KEY])

    def test_late_and_impossible_reports_are_dropped(self):
        """Guards against old incarnations, counters that fall, false counts."""
        total = EvidenceSum()
        total.merge(report(40, incarnation=1), 0.0)
        total.merge(report(10, incarnation=2), 0.0)
        total.close_window()
        bad = (
            report(50, incarnation=1),
            report(9, incarnation=2),
            report(20, failures=30, incarnation=2),
            report(20, failures=-1, incarnation=2),
        )
        for wrong in bad:
            self.assertFalse(total.merge(wrong, 1.0), wrong)
        self.assertEqual({}, total.close_window())
        self.assertEqual(len(bad), total.dropped)

    def test_entries_are_bounded(self):
        """Guards against memory that grows with replaced entries."""
        total = EvidenceSum()
        for i in range(MAX_ENTRIES + 10):
            total.merge(report(1, entry=f"e{i}"), float(i))
        self.assertEqual(MAX_ENTRIES, len(total.entries))
        self.assertNotIn("e0", total.entries)

    def test_window_pairs_versions_per_route(self):
        """Guards against evidence of another service or version in a window."""
        counts = {
            EvidenceKey("s", "v1", "chat"): Counts(10, 1),
            EvidenceKey("s", "v2", "chat"): Counts(4, 2),
            EvidenceKey("s", "v2", "plan"): Counts(1, 0),
            EvidenceKey("s", "v0", "chat"): Counts(99, 99),
            EvidenceKey("t", "v2", "chat"): Counts(99, 99),
        }
        window = pair_window(counts, "s", "v1", "v2")
        self.assertEqual({OVERALL, "chat", "plan"}, set(window))
        self.assertEqual((Counts(10, 1), Counts(5, 2)), window[OVERALL])
        self.assertEqual((Counts(10, 1), Counts(4, 2)), window["chat"])


if __name__ == "__main__":
    unittest.main()
