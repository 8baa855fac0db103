"""Tests of the placement of calls by what other gateways report of theirs."""

import unittest

from monsoontack.admission.hedge import Hedging
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.budgets import RetryBudgets
from monsoontack.gateway.calls import CallForwarder
from monsoontack.gateway.records import RequestKind
from monsoontack.loadview.exchange import LoadExchange, LoadMessage
from monsoontack.routing.linkbudget import EntryLinkBudget
from monsoontack.routing.picker import Picker
from standins.gatewayfakes import (
    HOME,
    NEAR,
    ScriptedSender,
    make_fleet,
    make_job,
    make_rng,
    make_route,
)


class PeerCallsTest(unittest.TestCase):
    def test_server_that_peers_keep_busy_gets_no_calls_while_another_is_free(self):
        """Guards against many gateways that each send calls to the same busy server,
        since each has few of its own in flight."""
        fleet = make_fleet({"busy": HOME, "free": NEAR})
        picker = Picker(HOME, EntryLinkBudget.for_entries(1, 0.0))
        exchange = LoadExchange("one", None)
        forwarder = CallForwarder(
            fleet,
            ScriptedSender(fleet, {}, 0.0),
            picker,
            RetryBudgets(0.8, 20.0, 10.0),
            Hedging(),
            make_rng(),
            load_exchange=exchange,
        )

        async def picked():
            job = make_job(make_route(RequestKind.ONCE))
            picks = [forwarder.pick(job, set()) for _ in range(50)]
            return {member.server.incarnation for member in picks}

        self.assertEqual({"busy"}, run_in_virtual_time(picked()))
        means = {fleet.members["busy"].limit_key: 2000}
        message = LoadMessage("two", False, True, {}, {}, (), calls=means)
        exchange.peer_loads.apply(message, 0.0)
        self.assertEqual({"free"}, run_in_virtual_time(picked()))


if __name__ == "__main__":
    unittest.main()
