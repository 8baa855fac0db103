"""Tests of the request rates that backend servers state."""

import unittest

from structlog.testing import capture_logs

from monsoontack.admission.statedlimits import (
    FORGET_AFTER_S,
    MAX_RATE_PER_S,
    MAX_RECORDS,
    MIN_RATE_PER_S,
    LimitRecord,
    StatedLimits,
    parse_limit,
)


class ParseLimitTest(unittest.TestCase):
    def test_decimal_numbers_are_read(self):
        """Guards against a proper limit that is ignored."""
        found = [parse_limit(text) for text in ("2.8", " 4 ", "110", "0.5")]
        self.assertEqual([2.8, 4.0, 110.0, 0.5], found)

    def test_malformed_numbers_are_refused(self):
        """Guards against limits of "nan", "inf", negative or endless numbers."""
        texts = ("", "x", "-3", "nan", "inf", "1e3", "2,8", "1" * 5000, "٣", "2.8 9")
        self.assertEqual([None] * len(texts), [parse_limit(text) for text in texts])

    def test_absurd_numbers_are_bounded(self):
        """Guards against a server that is never asked again, or without any bound."""
        self.assertEqual(MIN_RATE_PER_S, parse_limit("0"))
        self.assertEqual(MIN_RATE_PER_S, parse_limit("0.000001"))
        self.assertEqual(MAX_RATE_PER_S, parse_limit("999999999999"))


class StatedLimitsTest(unittest.TestCase):
    def setUp(self):
        self.limits = StatedLimits()

    def test_limit_begins_changes_and_ends_with_the_responses(self):
        """Guards against a limit that is kept after the server names it no more."""
        self.assertTrue(self.limits.observe("s", "2.8", 0.9, 1.0))
        self.assertFalse(self.limits.observe("s", "2.8", 1.0, 1.1))
        self.assertTrue(self.limits.observe("s", "4.4", 1.1, 1.2))
        self.assertEqual(4.4, self.limits.rate("s"))
        self.assertTrue(self.limits.observe("s", None, 1.3, 1.4))
        self.assertIsNone(self.limits.rate("s"))

    def test_response_to_an_older_request_does_not_end_a_limit(self):
        """Guards against a limit that a late response without it ends."""
        self.limits.observe("s", "2.8", 0.9, 1.0)
        self.assertFalse(self.limits.observe("s", None, 0.8, 1.1))
        self.assertEqual(2.8, self.limits.rate("s"))

    def test_malformed_limit_is_logged_and_changes_nothing(self):
        """Guards against a limit that a malformed header ends or sets silently."""
        self.limits.observe("s", "2.8", 0.9, 1.0)
        with capture_logs() as logs:
            self.assertFalse(self.limits.observe("s", "9" * 9000, 1.1, 1.2))
            self.assertFalse(self.limits.observe("t", "-1", 1.1, 1.2))
        self.assertEqual(2.8, self.limits.rate("s"))
        self.assertIsNone(self.limits.rate("t"))
        self.assertEqual(2, len(logs))
        self.assertLess(len(str(logs)), 600)

    def test_newer_news_replace_older_ones_in_any_order(self):
        """Guards against an ended limit that old news bring back."""
        self.limits.merge({"s": LimitRecord(3, None)}, 1.0)
        self.assertFalse(self.limits.merge({"s": LimitRecord(2, 2.8)}, 1.1))
        self.assertIsNone(self.limits.rate("s"))
        self.assertTrue(self.limits.merge({"s": LimitRecord(3, 2.8)}, 1.2))
        self.assertFalse(self.limits.merge({"s": LimitRecord(3, 4.4)}, 1.3))
        self.assertEqual(2.8, self.limits.rate("s"))

    def test_news_hold_what_changed_since(self):
        """Guards against messages that repeat all limits each time."""
        self.limits.observe("s", "2.8", 0.9, 1.0)
        seen = self.limits.changes.count
        self.limits.observe("t", "5", 0.9, 1.0)
        self.assertEqual({"t": LimitRecord(1, 5.0)}, self.limits.news_since(seen))

    def test_records_of_gone_servers_are_forgotten(self):
        """Guards against a table that grows with each server that ever had a limit."""
        self.limits.observe("gone", "2.8", 0.9, 1.0)
        self.limits.observe("kept", "2.8", 0.9, 1.0)
        self.limits.forget_old({"kept"}, 1.1 + FORGET_AFTER_S)
        self.assertEqual(["kept"], list(self.limits.records))

    def test_number_of_records_is_bounded(self):
        """Guards against memory that a faulty entry's news can take without end."""
        news = {f"s{i}": LimitRecord(1, 2.8) for i in range(MAX_RECORDS + 5)}
        self.limits.merge(news, 1.0)
        self.assertEqual(MAX_RECORDS, len(self.limits.records))


if __name__ == "__main__":
    unittest.main()
