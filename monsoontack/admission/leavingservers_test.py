"""Tests of the servers that have said that they are leaving."""

import unittest

from monsoontack.admission.leavingservers import (
    FORGET_AFTER_S,
    MAX_RECORDS,
    LeavingServers,
)


class LeavingServersTest(unittest.TestCase):
    def setUp(self):
        self.servers, self.left = LeavingServers(), []
        self.servers.on_left = lambda *left: self.left.append(left)

    def test_it_holds_for_this_start_and_earlier_ones(self):
        """Guards against a new start that gets nothing, and an old record that brings a
        former start back."""
        self.assertTrue(self.servers.observe("s1", 200, 1.0))
        self.assertFalse(self.servers.observe("s1", 200, 2.0))
        self.assertEqual([("s1", 200, "response")], self.left)
        found = [self.servers.has_left("s1", start) for start in (100, 200, 300)]
        self.assertEqual([True, True, False], found)
        self.assertFalse(self.servers.has_left("s2", 100))

    def test_older_record_does_not_end_it(self):
        """Guards against a restored record of an earlier start that is leaving."""
        self.servers.observe("s1", 200, 1.0)
        self.servers.note_record("s1", 100)
        self.assertTrue(self.servers.has_left("s1", 200))

    def test_each_change_is_passed_on_once(self):
        """Guards against news that go back and forth between entries."""
        self.servers.observe("s1", 200, 1.0)
        since = self.servers.changes.count
        self.assertTrue(self.servers.merge({"s1": 200, "s2": 5}, 2.0))
        self.assertEqual({"s2": 5}, self.servers.news_since(since))
        self.assertFalse(self.servers.merge({"s1": 150, "s2": 5}, 3.0))
        self.assertEqual({"s1": 200, "s2": 5}, self.servers.news_since(0))

    def test_records_of_the_store_are_not_passed_on(self):
        """Guards against messages that repeat what the store tells all entries."""
        self.servers.note_record("s1", 200)
        self.assertEqual({}, self.servers.news_since(0))

    def test_servers_that_are_gone_are_passed_on_no_longer(self):
        """Guards against news that grow with all servers that ever left."""
        self.servers.observe("s1", 200, 1.0)
        self.servers.forget_old(lambda name: False, FORGET_AFTER_S)
        self.assertEqual({"s1": 200}, self.servers.news_since(0))
        self.servers.forget_old(lambda name: False, FORGET_AFTER_S + 2.0)
        self.assertEqual({}, self.servers.news_since(0))
        self.assertTrue(self.servers.has_left("s1", 200))

    def test_number_of_records_is_bounded(self):
        """Guards against a faulty entry whose news use up the memory."""
        self.servers.merge({f"s{n}": 1 for n in range(MAX_RECORDS + 5)}, 1.0)
        self.assertEqual(MAX_RECORDS, len(self.servers.news_since(0)))


if __name__ == "__main__":
    unittest.main()
