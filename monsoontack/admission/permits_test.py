"""Tests of the division of a stated limit into permits."""

import random
import unittest

from monsoontack.admission.permits import (
    CONTACT_TIMEOUT_S,
    MAX_CHILDREN,
    PERMIT_LIFETIME_S,
    PermitGrant,
    PermitNode,
    PermitReport,
)
from monsoontack.admission.statedlimits import StatedLimits

KEY = "server"
RATE = 2.8


def make_node(name="root", fleet_size=1, rate=RATE, seed=1):
    limits = StatedLimits()
    limits.observe(KEY, f"{rate:g}", 0.0, 0.0)
    return PermitNode(name, limits, random.Random(seed), fleet_size)


def report(name="child", want=5.0, is_attached=True, size=1):
    return PermitReport(name, is_attached, size, {KEY: want})


def granted(node, now, **fields):
    grant = node.handle_report(report(**fields), now)
    return len(grant.lifetimes.get(KEY, ()))


class PermitNodeTest(unittest.TestCase):
    def test_root_grants_no_more_than_the_limit(self):
        """Guards against more permits than the server's limit, however many ask."""
        node = make_node(fleet_size=3)
        given = 0
        for step in range(4000):
            given += granted(node, step / 100, name=f"child-{step % 2}", want=9.0)
        self.assertLessEqual(given, RATE * 40 + 2)
        self.assertGreater(given, 0.9 * RATE * 40)

    def test_idle_time_allows_no_burst(self):
        """Guards against permits that add up while nobody wants any."""
        node = make_node()
        node.own_wants = {KEY: 50.0}
        node.serve_own_wants(0.0)
        node.serve_own_wants(1000.0)
        self.assertLessEqual(len(node.held[KEY]), 2)

    def test_permits_expire(self):
        """Guards against old permits that all are used in one burst."""
        node = make_node()
        node.apply_grant("parent", PermitGrant({KEY: (PERMIT_LIFETIME_S,)}, {}), 0.0)
        node.own_wants = {KEY: 1.0}
        node.serve_own_wants(0.1)
        self.assertTrue(node.held_count(KEY, PERMIT_LIFETIME_S - 0.01))
        self.assertFalse(node.held_count(KEY, PERMIT_LIFETIME_S))
        self.assertIsNone(node.take(KEY, PERMIT_LIFETIME_S))

    def test_entry_with_a_parent_mints_nothing(self):
        """Guards against a limit that every entry takes for its own."""
        node = make_node(fleet_size=2)
        node.apply_grant("parent", PermitGrant({}, {}), 0.0)
        node.own_wants = {KEY: 9.0}
        for step in range(20):
            node.serve_own_wants(step / 10)
        self.assertFalse(node.held_count(KEY, 2.0))

    def test_lost_parent_adds_no_permits_of_the_past(self):
        """Guards against entries that all mint at once when their parent is lost."""
        node = make_node(fleet_size=2)
        node.own_wants = {KEY: 9.0}
        node.serve_own_wants(0.0)
        node.apply_grant("parent", PermitGrant({}, {}), 500.0)
        node.held.clear()
        node.serve_own_wants(500.0 + CONTACT_TIMEOUT_S + 0.01)
        self.assertFalse(node.held_count(KEY, 500.0 + CONTACT_TIMEOUT_S + 0.02))

    def test_shares_of_all_fragments_stay_near_the_limit(self):
        """Guards against each part of a partitioned fleet using the whole limit."""
        for sizes in ((3, 2), (390,), (200, 190), (1,) * 390, (196, 194), (2, 1)):
            fleet_size, total = sum(sizes), 0.0
            for size in sizes:
                node = make_node(fleet_size=fleet_size)
                if size > 1:
                    granted(node, 0.0, want=1.0, size=size - 1)
                total += node._mint_rate(KEY, 0.0)
            self.assertLessEqual(total, 1.25 * RATE, sizes)
            self.assertGreaterEqual(total, 0.9 * RATE, sizes)

    def test_child_that_still_mints_is_not_counted(self):
        """Guards against an entry that is counted by its parent and by itself."""
        node = make_node(fleet_size=2)
        node.handle_report(report(is_attached=False), 0.0)
        self.assertEqual(1, node.size(0.0))
        self.assertEqual(0, granted(node, 5.0, is_attached=False))
        granted(node, 5.1)
        self.assertEqual(2, node.size(5.1))
        self.assertEqual(1, node.size(5.2 + CONTACT_TIMEOUT_S))

    def test_number_of_children_is_bounded(self):
        """Guards against work of one entry that grows with the fleet."""
        node = make_node(fleet_size=390)
        for number in range(MAX_CHILDREN):
            self.assertIsNotNone(node.handle_report(report(f"c{number}"), 0.0))
        self.assertIsNone(node.handle_report(report("more"), 0.1))
        self.assertIsNotNone(node.handle_report(report("c0"), 0.1))
        self.assertIsNotNone(node.handle_report(report("more"), 9.0))

    def test_all_that_want_get_their_part(self):
        """Guards against entries that always find the permits gone."""
        node = make_node(fleet_size=5)
        given = dict.fromkeys("abcd", 0)
        order = random.Random(1)
        for step in range(4000):
            for name in order.sample("abcd", 4):
                given[name] += granted(node, step / 4, name=name, want=2.0)
        mean = sum(given.values()) / 4
        for name, count in given.items():
            self.assertGreater(count, 0.7 * mean, name)

    def test_wait_before_the_first_grant_counts_on_the_whole_limit(self):
        """Guards against a retry time of minutes, from one entry's own part."""
        node = make_node(fleet_size=390)
        node.apply_grant("parent", PermitGrant({}, {}), 0.0)
        node.own_wants = {KEY: 7.0}
        self.assertAlmostEqual(7.0 / RATE, node.wait_s(KEY, 0.1))

    def test_lowered_limit_takes_back_permits(self):
        """Guards against permits of a higher limit that stay valid after its end."""
        node = make_node(rate=40.0)
        node.own_wants = {KEY: 90.0}
        for step in range(5):
            node.serve_own_wants(step / 4)
        self.assertGreater(node.held_count(KEY, 1.0), 20)
        node.limits.observe(KEY, "2", 1.0, 1.0)
        node.serve_own_wants(1.0)
        self.assertLessEqual(node.held_count(KEY, 1.0), 5)

    def test_wait_of_an_earlier_overload_is_dropped(self):
        """Guards against a retry time that was true minutes ago."""
        node = make_node(fleet_size=390)
        node.apply_grant("parent", PermitGrant({}, {KEY: 9.0}), 0.0)
        self.assertEqual(9.0, node.wait_s(KEY, 0.1))
        node.apply_grant("parent", PermitGrant({}, {}), 1.0)
        self.assertAlmostEqual(1.0 / RATE, node.wait_s(KEY, 1.1))

    def test_permits_of_an_ended_limit_are_dropped(self):
        """Guards against state that stays for each server that ever had a limit."""
        node = make_node()
        node.own_wants = {KEY: 9.0}
        node.serve_own_wants(10.0)
        node.limits.observe(KEY, None, 11.0, 11.0)
        node.serve_own_wants(11.0)
        self.assertEqual(({}, {}), (node.held, node.buckets))
        self.assertEqual({}, node.report("parent", 11.0).wants)


if __name__ == "__main__":
    unittest.main()
