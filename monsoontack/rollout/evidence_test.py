"""Tests of evidence counters and of their aggregation over entries."""

import unittest

from monsoontack.core.records import RequestOutcome
from monsoontack.rollout.evidence import (
    ALL_ROUTES,
    BUCKET_COUNT,
    MAX_COUNTER_KEYS,
    MAX_ENTRIES,
    Counts,
    EvidenceAggregator,
    EvidenceCounters,
    EvidenceKey,
    EvidenceReport,
    bucket_index,
    bucket_lower_bound_s,
    pair_window,
)

KEY = EvidenceKey("s", "v2", "chat")


def report(requests, failures=0, incarnation=1, entry="e1", key=KEY):
    return EvidenceReport(entry, incarnation, 1, "", {key: Counts(requests, failures)})


class EvidenceTest(unittest.TestCase):
    def test_buckets_cover_all_latencies(self):
        """Guards against a latency counted outside its bucket."""
        for index in range(1, BUCKET_COUNT):
            self.assertEqual(index, bucket_index(bucket_lower_bound_s(index) * 1.01))
            self.assertEqual(
                index - 1, bucket_index(bucket_lower_bound_s(index) * 0.99)
            )
        self.assertEqual(BUCKET_COUNT - 1, bucket_index(1e9))

    def test_counters_are_bounded_and_keep_the_sum(self):
        """Guards against an unbounded number of routes, and against lost outcomes."""
        counters = EvidenceCounters()
        for i in range(2 * MAX_COUNTER_KEYS):
            counters.record(RequestOutcome("s", "v2", f"route-{i}", i % 2 == 0))
        self.assertLessEqual(len(counters.counts), MAX_COUNTER_KEYS)
        total = sum(c.requests for c in counters.counts.values())
        self.assertEqual(2 * MAX_COUNTER_KEYS, total)

    def test_reports_merge_by_incarnation(self):
        """Guards against a request counted twice and a restart that is not detected."""
        total = EvidenceAggregator()
        total.merge(report(100), 0.0)
        self.assertEqual({}, total.close_window(), "first report is a baseline")
        total.merge(report(130, 2), 5.0)
        self.assertEqual(Counts(30, 2), total.close_window()[KEY])
        total.merge(report(7, 1, incarnation=2), 10.0)
        self.assertEqual(Counts(7, 1), total.close_window()[KEY])

    def test_late_and_inconsistent_reports_are_dropped(self):
        """Guards against reports of old incarnations, decreasing or wrong counters."""
        total = EvidenceAggregator()
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
        self.assertEqual(len(bad), total.dropped_reports)

    def test_entries_are_bounded(self):
        """Guards against memory that grows with each replaced entry."""
        total = EvidenceAggregator()
        for i in range(MAX_ENTRIES + 10):
            total.merge(report(1, entry=f"e{i}"), float(i))
        self.assertEqual(MAX_ENTRIES, len(total.entries))
        self.assertNotIn("e0", total.entries)

    def test_window_pairs_versions_per_route(self):
        """Guards against counts of another service or version in a window."""
        counts = {
            EvidenceKey("s", "v1", "chat"): Counts(10, 1),
            EvidenceKey("s", "v2", "chat"): Counts(4, 2),
            EvidenceKey("s", "v2", "plan"): Counts(1, 0),
            EvidenceKey("s", "v0", "chat"): Counts(99, 99),
            EvidenceKey("t", "v2", "chat"): Counts(99, 99),
        }
        window = pair_window(counts, "s", "v1", "v2")
        self.assertEqual({ALL_ROUTES, "chat", "plan"}, set(window))
        self.assertEqual((Counts(10, 1), Counts(5, 2)), window[ALL_ROUTES])
        self.assertEqual((Counts(10, 1), Counts(4, 2)), window["chat"])


if __name__ == "__main__":
    unittest.main()
