"""Tests of shared limits with many entries, in virtual time."""

import asyncio
import unittest

from bench.limitmodel import (
    SERVICE,
    LimitModel,
    allowed_arrivals,
    most_arrivals,
)
from bench.limits import FAULTS, simulate
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.entryexchange import IDLE_REPORT_S

LIMIT = 2.8


class SharedLimitsTest(unittest.TestCase):
    """Fleets of entries before three servers, with load above all limits."""

    def check(self, entries, fault, least_used):
        result = run_in_virtual_time(simulate(entries, FAULTS[fault], seed=3))
        self.assertLessEqual(result.peak_of_allowed, 1.0, fault)
        self.assertGreaterEqual(result.used, least_used, fault)
        return result

    def test_limits_hold_and_are_used_in_fleets_of_any_size(self):
        """Guards against a limit times the entries, and a share that is no request."""
        for entries in (3, 5, 68, 390):
            result = self.check(entries, "calm", least_used=0.7)
            self.assertLess(result.messages_per_entry_s, 6.0)

    def test_limits_hold_over_faults_of_entries(self):
        """Guards against a limit that a restart, freeze or partition multiplies."""
        for entries in (3, 68):
            for fault in ("root_restarts", "root_freezes", "fleet_splits"):
                self.check(entries, fault, least_used=0.5)
            self.check(entries, "all_are_cut", least_used=0.3)


class LimitNewsTest(unittest.TestCase):
    """News of limits in a fleet of 68 entries."""

    def run_model(self, scenario, entries=68, servers=2):
        async def run():
            model = LimitModel.with_entries(entries, servers, 60.0, seed=5)
            await asyncio.sleep(3.0)
            await scenario(model)

        run_in_virtual_time(run())

    def rates(self, model, key="server-0"):
        return {
            entry.exchange.gate.limits.rate(key) for entry in model.entries.values()
        }

    def test_news_reach_all_entries_within_a_second(self):
        """Guards against entries that go on for seconds as they have not heard."""

        async def scenario(model):
            model.servers["server-0"].limit = LIMIT
            await model.send_calls(0.3)
            await asyncio.sleep(1.0)
            self.assertEqual({LIMIT}, self.rates(model))

        self.run_model(scenario)

    def test_changed_and_ended_limits_reach_all_entries(self):
        """Guards against old limits, and limits that outlast the server's need."""

        async def scenario(model):
            server = model.servers["server-0"]
            server.limit = LIMIT
            await model.send_calls(3.0)
            server.limit = 9.0
            await model.send_calls(3.0)
            self.assertEqual({9.0}, self.rates(model))
            server.limit = None
            await model.send_calls(3.0)
            self.assertEqual({None}, self.rates(model))

        self.run_model(scenario)

    def test_lowered_limit_holds_soon_after(self):
        """Guards against a fleet that goes on sending at a higher limit of before."""

        async def scenario(model):
            server, lowered = model.servers["server-0"], 0.5
            server.limit = 20.0
            load = asyncio.ensure_future(model.send_calls(16.0))
            await asyncio.sleep(8.0)
            server.limit = lowered
            changed_at = asyncio.get_running_loop().time()
            await load
            most = most_arrivals(server.arrivals, changed_at + 0.5)
            self.assertLessEqual(most, allowed_arrivals(lowered))

        self.run_model(scenario)

    def test_restarted_entry_hears_the_limits_at_once(self):
        """Guards against a burst from an entry that lost its limits by a restart."""

        async def scenario(model):
            model.servers["server-0"].limit = LIMIT
            await model.send_calls(2.0)
            model.start_entry("entry-7")
            await asyncio.sleep(0.1)
            self.assertEqual({LIMIT}, self.rates(model))

        self.run_model(scenario)

    def test_entry_that_was_cut_off_hears_the_end(self):
        """Guards against a limit that returns with an entry from a partition."""

        async def scenario(model):
            server = model.servers["server-0"]
            server.limit = LIMIT
            await model.send_calls(2.0)
            model.entries["entry-7"].group = 1
            server.limit = None
            await model.send_calls(3.0)
            model.entries["entry-7"].group = 0
            await asyncio.sleep(8.0)
            self.assertEqual({None}, self.rates(model))

        self.run_model(scenario)

    def test_entries_that_all_start_anew_keep_the_limit_after_it_is_stated(self):
        """Guards against more than the limit from entries that have not heard it."""

        async def scenario(model):
            server = model.servers["server-0"]
            server.limit = LIMIT
            await model.send_calls(5.0)
            for name in model.peers:
                model.start_entry(name)
            began_at = asyncio.get_running_loop().time()
            await model.send_calls(9.0)
            most = most_arrivals(server.arrivals, began_at + 4.0)
            self.assertLessEqual(most, allowed_arrivals(LIMIT))

        self.run_model(scenario)

    def test_idle_fleet_sends_few_messages(self):
        """Guards against messages while no server has a limit."""

        async def scenario(model):
            before = model.sent_messages
            await asyncio.sleep(20.0)
            sent = (model.sent_messages - before) / len(model.entries) / 20.0
            self.assertLess(sent, 1.5 / IDLE_REPORT_S)

        self.run_model(scenario)

    def test_messages_do_not_grow_with_the_servers(self):
        """Guards against messages per entry that grow with the limited servers."""
        sent = {}

        async def scenario(model):
            for server in model.servers.values():
                server.limit = LIMIT
            await model.send_calls(3.0)
            before = model.sent_messages
            await model.send_calls(5.0)
            sent[len(model.servers)] = model.sent_messages - before
            asked = [
                len(entry.exchange.gate.permits.own_wants)
                for entry in model.entries.values()
            ]
            self.assertLessEqual(max(asked), 16)

        self.run_model(scenario, entries=20, servers=2)
        self.run_model(scenario, entries=20, servers=200)
        self.assertLess(sent[200], 3 * sent[2])

    def test_refused_callers_get_a_retry_time(self):
        """Guards against refusals whose retry time does not grow with the load."""

        async def scenario(model):
            for server in model.servers.values():
                server.limit = LIMIT
            await model.send_calls(6.0)
            now = asyncio.get_running_loop().time()
            gate = model.entries["entry-3"].exchange.gate
            self.assertGreater(gate.retry_after_s(SERVICE, now), 2.0)

        self.run_model(scenario)


if __name__ == "__main__":
    unittest.main()
