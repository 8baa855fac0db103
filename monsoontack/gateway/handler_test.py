"""Tests of which requests an entry takes while it drains."""

import unittest

from monsoontack.gateway.budgets import RetryBudgets
from monsoontack.gateway.config_state import ConfigState
from monsoontack.gateway.handler import Gateway
from monsoontack.gateway.metrics import GatewayMetrics
from monsoontack.gateway.records import RequestKind
from monsoontack.gateway.streams import StreamForwarder
from standins.gatewayparts import HOME, ScriptedSender, make_fleet, make_rng, make_route

GRACE_S = 7.6


class TimedGateway(Gateway):
    """Gateway whose time is set by a test."""

    time = 0.0

    def now(self):
        """Return the time that was set."""
        return self.time


class DrainTest(unittest.TestCase):
    """Pattern: the entries of a small zone are restarted in turn, so that a caller
    that is refused often meets another entry that drains."""

    def setUp(self):
        fleet = make_fleet({"s1": HOME})
        sender = ScriptedSender(fleet, {})
        budgets = RetryBudgets(0.8, 50.0, 10.0)
        self.streams = StreamForwarder(HOME, fleet, sender, budgets, make_rng())
        config_state, metrics = ConfigState(5.0), GatewayMetrics.create()
        self.gateway = TimedGateway(
            None, config_state, None, self.streams, metrics, make_rng()
        )
        self.gateway.drain_deadline_at = GRACE_S

    def takes(self, after_s, kind=RequestKind.STREAM):
        self.gateway.time = after_s
        route = make_route(kind, timeout_s=25.0)
        return not self.gateway._ends_too_late(route)

    def test_usual_stream_is_taken_early_in_a_drain(self):
        """Guards against streams refused from the first moment of a drain: their
        callers' only retry met the next entry that drained."""
        self.streams.smoothed_duration_s = 5.9
        self.assertTrue(self.takes(0.0))
        self.assertTrue(self.takes(1.5))

    def test_stream_that_cannot_end_in_time_is_refused(self):
        """Guards against streams taken only to be cut."""
        self.streams.smoothed_duration_s = 5.9
        self.assertFalse(self.takes(2.0))

    def test_call_is_taken_later_than_a_stream(self):
        """Guards against calls refused though there is time for them."""
        self.assertTrue(self.takes(4.0, RequestKind.IDEMPOTENT))
        self.assertFalse(self.takes(7.0, RequestKind.IDEMPOTENT))


if __name__ == "__main__":
    unittest.main()
