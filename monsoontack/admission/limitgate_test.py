"""Tests of the decision whether a request may go to a server with a stated limit."""

import random
import unittest

from monsoontack.admission.limitgate import (
    MAX_RETRY_AFTER_S,
    MAX_SERVERS_ASKED,
    MIN_RETRY_AFTER_S,
    LimitGate,
)
from monsoontack.admission.permits import PERMIT_LIFETIME_S, PermitGrant
from monsoontack.core.errors import RunState

SERVICE = "desk"


class LimitGateTest(unittest.TestCase):
    def setUp(self):
        self.gate = LimitGate.for_entry("entry-1", random.Random(1))
        self.keys = ["a", "b"]
        self.gate.servers = lambda service: self.keys

    def state_limit(self, key, text="2.8"):
        self.gate.limits.observe(key, text, 0.0, 0.0)

    def give_permits(self, key, count, now):
        lifetimes = {key: (PERMIT_LIFETIME_S,) * count}
        self.gate.permits.apply_grant("parent", PermitGrant(lifetimes, {}), now)
        self.gate.permits.own_wants = {key: float(count)}
        while len(self.gate.permits.held.get(key, ())) < count:
            self.gate.permits.serve_own_wants(now)

    def test_server_without_a_limit_takes_any_request(self):
        """Guards against requests that wait for permits without any need."""
        self.assertTrue(self.gate.may_send("a", 0.0))
        self.assertIsNotNone(self.gate.take("a", 0.0))
        self.assertIsNone(self.gate.refusal(SERVICE, 0.0))

    def test_each_permit_allows_one_request(self):
        """Guards against several requests with one permit."""
        self.state_limit("a")
        self.assertIsNone(self.gate.take("a", 0.0))
        self.give_permits("a", 1, 0.0)
        self.assertIsNotNone(self.gate.take("a", 0.1))
        self.assertIsNone(self.gate.take("a", 0.1))

    def test_unsent_request_returns_its_permit(self):
        """Guards against permits that failed connections use up."""
        self.state_limit("a")
        self.give_permits("a", 1, 0.0)
        self.gate.give_back(self.gate.take("a", 0.1))
        self.assertTrue(self.gate.may_send("a", 0.2))

    def ask_for_time(self, key, wait_s):
        self.gate.waits.observe(key, SERVICE, wait_s, 0.0)

    def test_refusal_tells_the_shortest_wait_of_all_servers(self):
        """Guards against callers that are refused while a server is free, or told a
        time at which every server still waits or is limited."""
        self.ask_for_time("a", 5.0)
        self.assertIsNone(self.gate.refusal(SERVICE, 1.0))
        self.ask_for_time("b", 3.0)
        refusal = self.gate.refusal(SERVICE, 1.0)
        self.assertEqual(
            ("servers_wait", 503, RunState.NOT_RUN),
            (refusal.code, refusal.status, refusal.run_state),
        )
        self.assertTrue(2.0 <= refusal.retry_after_s <= 2.3, refusal.retry_after_s)
        self.keys.append("c")
        self.state_limit("c")
        refusal = self.gate.refusal(SERVICE, 1.0)
        self.assertEqual("servers_wait", refusal.code)
        self.assertLess(refusal.retry_after_s, 2.0)

    def test_limited_server_that_asks_for_time_gets_nothing(self):
        """Guards against a permit that passes a wait by, and one that a wait uses up
        in the gradual return."""
        self.state_limit("a")
        self.ask_for_time("a", 1.0)
        self.give_permits("a", 2, 0.5)
        self.assertFalse(self.gate.may_send("a", 0.6))
        self.assertIsNone(self.gate.take("a", 0.6))
        self.assertEqual(2, self.gate.permits.held_count("a", 0.6))
        self.assertIsNotNone(self.gate.take("a", 1.3))

    def test_permit_that_cannot_be_confirmed_leaves_its_place(self):
        """Guards against a gradual return that unsent requests use up."""
        self.ask_for_time("a", 1.0)
        permit = self.gate.take("a", 1.3)
        self.state_limit("a")
        self.assertIsNone(self.gate.confirm(permit, 1.35))
        self.assertEqual(0, self.gate.waits.waits["a"].sent)

    def test_limit_stated_during_the_connection_holds(self):
        """Guards against requests to a server that stated its limit meanwhile."""
        permit = self.gate.take("a", 0.0)
        self.state_limit("a")
        self.assertIsNone(self.gate.confirm(permit, 0.1))

    def test_permit_that_expired_in_a_freeze_is_not_used(self):
        """Guards against a frozen entry that sends with its old permits."""
        self.state_limit("a")
        self.give_permits("a", 1, 0.0)
        permit = self.gate.take("a", 0.1)
        self.assertIs(permit, self.gate.confirm(permit, 0.2))
        self.assertIsNone(self.gate.confirm(permit, 0.1 + PERMIT_LIFETIME_S))

    def test_wants_follow_the_recent_requests(self):
        """Guards against entries that ask for more than their callers need."""
        self.state_limit("a")
        for number in range(20):
            self.gate.note_request(SERVICE, number / 10)
        self.gate.update_wants(2.0)
        wanted = self.gate.permits.own_wants
        self.assertEqual(["a"], list(wanted))
        self.assertAlmostEqual(20 * PERMIT_LIFETIME_S / 2, wanted["a"])
        self.gate.update_wants(9.0)
        self.assertEqual({}, self.gate.permits.own_wants)

    def test_expired_permits_do_not_lower_the_wants(self):
        """Guards against an entry that asks for nothing as it holds old permits."""
        self.state_limit("a")
        self.give_permits("a", 2, 0.0)
        for number in range(8):
            self.gate.note_request(SERVICE, 2.0 + number / 10)
        self.gate.update_wants(3.0)
        self.assertEqual({"a": 6.0}, self.gate.permits.own_wants)

    def test_number_of_servers_asked_is_bounded(self):
        """Guards against messages that grow with the number of servers."""
        self.keys = [f"s{number}" for number in range(850)]
        for key in self.keys:
            self.state_limit(key)
        self.gate.note_request(SERVICE, 0.0)
        self.gate.update_wants(0.1)
        self.assertEqual(MAX_SERVERS_ASKED, len(self.gate.permits.own_wants))

    def test_refusal_only_if_no_server_takes_the_request(self):
        """Guards against refusals while a server without a limit is left."""
        self.state_limit("a")
        self.assertIsNone(self.gate.refusal(SERVICE, 0.0))
        self.state_limit("b")
        error = self.gate.refusal(SERVICE, 0.0)
        self.assertEqual((503, "limited"), (error.status, error.code))
        self.assertEqual(RunState.NOT_RUN, error.run_state)
        self.keys = []
        self.assertIsNone(self.gate.refusal(SERVICE, 0.0))

    def test_retry_time_is_that_of_the_shortest_queue(self):
        """Guards against a retry time of zero, without end, or not the fleet's."""
        self.state_limit("a", "2")
        self.state_limit("b", "0")
        grant = PermitGrant({}, {"a": 3.5, "b": 900.0})
        self.gate.permits.apply_grant("parent", grant, 0.0)
        self.assertEqual(3.5, self.gate.retry_after_s(SERVICE, 0.1))
        self.keys = ["b"]
        self.assertEqual(MAX_RETRY_AFTER_S, self.gate.retry_after_s(SERVICE, 0.1))
        self.keys = []
        self.assertEqual(MIN_RETRY_AFTER_S, self.gate.retry_after_s(SERVICE, 0.1))


if __name__ == "__main__":
    unittest.main()
