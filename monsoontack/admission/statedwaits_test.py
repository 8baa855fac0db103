"""Tests of servers that asked for time."""

import random
import unittest

from monsoontack.admission.statedwaits import (
    MAX_OFFSET_S,
    MAX_RECORDS,
    RETURN_S,
    StatedWaits,
)

KEY, SERVICE = "s1@5", "desk"


class StatedWaitsTest(unittest.TestCase):
    def setUp(self):
        self.waits = StatedWaits(random.Random(3))

    def test_server_gets_nothing_until_its_time_is_over(self):
        """Guards against requests in the wait, and a wait that lasts longer."""
        self.assertTrue(self.waits.observe(KEY, SERVICE, 3.0, 10.0))
        for now in (10.0, 11.5, 12.999):
            self.assertFalse(self.waits.take(KEY, now))
            self.assertTrue(self.waits.is_waiting(KEY, now))
        self.assertTrue(self.waits.may_send(KEY, 13.0 + MAX_OFFSET_S))
        self.assertTrue(self.waits.may_send("s2@5", 10.0))

    def test_later_refusals_extend_but_do_not_shorten_the_wait(self):
        """Guards against a late answer to an earlier request that ends the wait."""
        self.waits.observe(KEY, SERVICE, 3.0, 10.0)
        self.assertFalse(self.waits.observe(KEY, SERVICE, 0.5, 10.1))
        self.assertFalse(self.waits.may_send(KEY, 12.9))
        self.waits.observe(KEY, SERVICE, 4.0, 12.0)
        self.assertFalse(self.waits.may_send(KEY, 15.9))

    def test_server_returns_gradually(self):
        """Guards against a server that gets at once all that came back for it."""
        self.waits.observe(KEY, SERVICE, 3.0, 10.0)
        now = self.waits.waits[KEY].until
        self.assertEqual([True, False], [self.waits.take(KEY, now) for _ in range(2)])
        self.assertGreater(self.waits.left_s(KEY, now), 0.0)
        self.waits.note_accepted(KEY, now + 0.05)
        found = [self.waits.take(KEY, now + 0.05) for _ in range(4)]
        self.assertEqual(2, sum(found))
        later = now + RETURN_S
        self.assertTrue(all(self.waits.take(KEY, later) for _ in range(100)))

    def test_request_that_was_not_sent_leaves_its_place(self):
        """Guards against a return that failed connections use up."""
        self.waits.observe(KEY, SERVICE, 3.0, 10.0)
        now = 13.0 + MAX_OFFSET_S
        self.assertTrue(self.waits.take(KEY, now))
        self.waits.give_back(KEY)
        self.assertTrue(self.waits.take(KEY, now))

    def test_entries_return_at_different_moments(self):
        """Guards against a wave of all entries that were refused at one moment."""
        ends = set()
        for seed in range(50):
            waits = StatedWaits(random.Random(seed))
            waits.observe(KEY, SERVICE, 3.0, 10.0)
            ends.add(round(10.0 + waits.left_s(KEY, 10.0), 2))
        self.assertGreater(len(ends), 10)
        self.assertGreaterEqual(min(ends), 13.0)
        self.assertLessEqual(max(ends), 13.0 + MAX_OFFSET_S)

    def test_entries_of_a_large_fleet_return_at_a_steady_rate(self):
        """Guards against a server that hundreds of entries reach within moments, and
        against one that gets nothing for long."""
        ends, told = [], []
        for seed in range(390):
            waits = StatedWaits(random.Random(seed), entry_count=390)
            waits.observe(KEY, SERVICE, 3.0, 10.0)
            ends.append(waits.waits[KEY].until)
            told.append(waits.left_s(KEY, 11.0))
        ends.sort()
        self.assertLess(ends[0], 13.1)
        in_a_second = max(sum(at <= end < at + 1 for end in ends) for at in ends)
        self.assertLess(in_a_second, 80)
        self.assertGreaterEqual(min(told), 2.0)
        self.assertLessEqual(max(told), 2.3)

    def test_extended_wait_keeps_entries_apart(self):
        """Guards against entries that return together after several refusals, as each
        takes the latest of many random times."""
        ends = []
        for seed in range(50):
            waits = StatedWaits(random.Random(seed))
            for number in range(20):
                waits.observe(KEY, SERVICE, 3.0, 10.0 + number / 1000)
            ends.append(waits.waits[KEY].until)
        self.assertLess(min(ends), 13.019 + MAX_OFFSET_S / 4)

    def test_ended_waits_are_counted_once_and_forgotten(self):
        """Guards against records of all servers that ever asked for time."""
        self.waits.observe(KEY, SERVICE, 3.0, 10.0)
        self.assertEqual(0, self.waits.end_waits(12.0))
        self.assertEqual([KEY], list(self.waits.waiting(12.0)))
        self.assertEqual([1, 0], [self.waits.end_waits(now) for now in (13.3, 13.4)])
        self.waits.end_waits(13.0 + MAX_OFFSET_S + RETURN_S)
        self.assertEqual({}, self.waits.waits)

    def test_new_refusal_in_the_return_begins_a_wait(self):
        """Guards against a server in need that the return keeps asking."""
        self.waits.observe(KEY, SERVICE, 3.0, 10.0)
        now = 13.0 + MAX_OFFSET_S
        self.waits.take(KEY, now)
        self.assertTrue(self.waits.observe(KEY, SERVICE, 2.0, now))
        self.assertFalse(self.waits.may_send(KEY, now + 1.9))

    def test_number_of_records_is_bounded(self):
        """Guards against servers that use up the memory."""
        for number in range(MAX_RECORDS + 3):
            self.waits.observe(f"s{number}@1", SERVICE, 3.0, 10.0)
        self.assertEqual(MAX_RECORDS, len(self.waits.waits))


if __name__ == "__main__":
    unittest.main()
