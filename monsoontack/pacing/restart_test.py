"""Tests of streams and calls while a failure domain restarts, without a network."""

import asyncio
import unittest
from dataclasses import replace

from monsoontack.admission.hedge import Hedging
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.budgets import RetryBudgets
from monsoontack.gateway.calls import CallForwarder
from monsoontack.gateway.daemon import GatewayDaemon
from monsoontack.gateway.daemon_test import SETTINGS
from monsoontack.gateway.outbound import ExchangeFailure, FailureKind
from monsoontack.gateway.records import EngineTraits, RequestKind, ServiceTraits
from monsoontack.gateway.statedump import dump_state
from monsoontack.gateway.streams import StreamForwarder
from monsoontack.pacing.domainevidence import PROBING_GATEWAYS, Trouble
from monsoontack.pacing.domainspend import DomainSpend
from monsoontack.pacing.turns import MIN_GATEWAYS
from monsoontack.routing.linkbudget import EntryLinkBudget
from monsoontack.routing.picker import Picker
from monsoontack.routing.placement import EngineCandidate, choose_backup, choose_engine
from standins.gatewayfakes import (
    FAR,
    HOME,
    NEAR,
    SERVICE,
    ScriptedSender,
    ScriptedWire,
    make_fleet,
    make_job,
    make_rng,
    make_route,
    make_server,
)

REFUSED = ExchangeFailure(FailureKind.CONNECT, False, "refused", is_refused=True)
ENGINES = {SERVICE: ServiceTraits(SERVICE, 100, EngineTraits(8, 88_000))}


async def answer(exchange, attempt):
    await asyncio.sleep(0.1)
    exchange.answer(200)
    exchange.add_body(b"id: 1\ndata: t\n\n")
    exchange.end()


async def say_outdated(exchange, attempt):
    exchange.answer(421, ((b"not-run", b"1"),))
    exchange.end()


def make_sender(home_script):
    """Return a sender with six servers in the home domain and two in another one."""
    home, near = [f"a{n}" for n in range(6)], ["b0", "b1"]
    fleet = make_fleet(dict.fromkeys(home, HOME) | dict.fromkeys(near, NEAR))
    scripts = dict.fromkeys(home, home_script) | dict.fromkeys(near, answer)
    return ScriptedSender(fleet, scripts)


def make_streams(sender):
    budgets = RetryBudgets(0.8, 50.0, 10.0)
    forwarder = StreamForwarder(HOME, sender.fleet, sender, budgets, make_rng())
    forwarder.traits = ENGINES
    return forwarder


def make_calls(sender):
    link = EntryLinkBudget.for_entries(1, 0.0)
    picker = Picker(HOME, link, ejection=sender.fleet.ejection)
    budgets = RetryBudgets(0.8, 20.0, 10.0)
    return CallForwarder(sender.fleet, sender, picker, budgets, Hedging(), make_rng())


class DomainRestartTest(unittest.TestCase):
    def test_stream_leaves_the_domain_after_one_loss(self):
        """Guards against a stream that tries six engines of a domain in 0.19 s."""
        for script in (REFUSED, say_outdated):

            async def scenario(script=script):
                sender = make_sender(script)
                job = make_job(make_route(RequestKind.STREAM, attempts=5), "id-1", 9.0)
                await make_streams(sender).serve(job)
                return job

            job = run_in_virtual_time(scenario())
            self.assertEqual("streamed", job.outcome)
            self.assertEqual(["a", "b"], [record.server[0] for record in job.tries])

    def test_next_request_does_not_try_the_domain(self):
        """Guards against one rejected arrival for each request and engine."""

        async def scenario():
            sender = make_sender(REFUSED)
            rank_key = f"{SERVICE}/{HOME.failure_domain}", HOME.region
            sender.fleet.evidence.turns.ranks[rank_key] = PROBING_GATEWAYS
            streams, calls = make_streams(sender), make_calls(sender)
            for name in ("b0", "b1"):
                # Runs that make the other domain dearer.
                sender.fleet.members[name].in_flight = 3
            tries = []
            for number in range(6):
                for kind, forwarder in (
                    (RequestKind.STREAM, streams),
                    (RequestKind.ONCE, calls),
                ):
                    job = make_job(make_route(kind), f"{kind}{number}", 9.0)
                    streams.prompt_engines.clear()
                    await forwarder.serve(job)
                    tries += [record.server[0] for record in job.tries]
            return tries

        tries = run_in_virtual_time(scenario())
        self.assertEqual(1, tries.count("a"))
        self.assertEqual(12, tries.count("b"))

    def test_single_domain_is_used_while_it_is_in_doubt(self):
        """Guards against requests that fail although the only domain has a server that
        answers."""

        async def scenario():
            sender = make_sender(answer)
            fleet = sender.fleet
            for name in ("b0", "b1"):
                fleet.remove(name)
            now = sender.now()
            fleet.note_unreachable(fleet.members["a0"], now, Trouble.REFUSED)
            job = make_job(make_route(RequestKind.STREAM), "id-1", 9.0)
            await make_streams(sender).serve(job)
            return job

        self.assertEqual("streamed", run_in_virtual_time(scenario()).outcome)

    def test_stream_goes_to_a_paced_engine_only_within_its_pace(self):
        """Guards against a second prompt for an engine that has just started and looks
        less busy than the others."""

        async def scenario():
            fleet = make_fleet({"s1": HOME, "s2": HOME})
            sender = ScriptedSender(fleet, {"s1": answer, "s2": answer})
            fleet.put(replace(make_server("s1"), started_unix_ms=5), False, 0.0)
            fleet.members["s1"].in_flight = 1
            fleet.members["s1"].waiting_tokens = 8000
            fleet.members["s2"].in_flight = 7
            fleet.members["s2"].waiting_tokens = 40_000
            job = make_job(make_route(RequestKind.STREAM), "id-1", 9.0)
            await make_streams(sender).serve(job)
            return [record.server for record in job.tries]

        self.assertEqual(["s2"], run_in_virtual_time(scenario()))

    def test_call_goes_to_a_paced_server_only_within_its_pace(self):
        """Guards against calls of all gateways to a server that has just started, and
        against none at all if it is the only one that is left."""

        async def scenario():
            fleet = make_fleet({"s1": HOME, "s2": HOME})
            sender = ScriptedSender(fleet, {})
            fleet.put(replace(make_server("s1"), started_unix_ms=5), False, 0.0)
            fleet.members["s1"].in_flight = 2
            calls, job = make_calls(sender), make_job(make_route(RequestKind.ONCE))
            picked = {calls.pick(job, set()).server.incarnation for _ in range(50)}
            fleet.remove("s2")
            return picked, calls.pick(job, set()).server.incarnation

        self.assertEqual(({"s2"}, "s1"), run_in_virtual_time(scenario()))


class PacingGaugesTest(unittest.TestCase):
    def test_daemon_shows_domains_in_doubt_and_paced_servers(self):
        """Guards against a task of the daemon that fails every 0.25 s: gauges stop, no
        expired record is removed, and each failure blocks the loop for 0.1 s."""

        async def scenario():
            daemon = GatewayDaemon.from_settings(
                SETTINGS, ScriptedWire(), lambda headers: None, make_rng()
            )
            fleet, now = daemon.fleet, daemon.gateway.now()
            # Servers are paced in fleets of many gateways.
            fleet.set_gateways({f"g{n}": HOME.region for n in range(MIN_GATEWAYS)})
            for name in ("s1", "s2", "s3"):
                fleet.put(make_server(name), False, now)
            fleet.note_unreachable(fleet.members["s1"], now, Trouble.REFUSED)
            tick = asyncio.ensure_future(daemon._tick())
            await asyncio.sleep(0.6)
            self.assertFalse(tick.done())
            tick.cancel()
            dump_state(daemon)
            return daemon.metrics.render().decode()

        shown = run_in_virtual_time(scenario())
        for line in (
            "monsoontack_doubted_domains 1.0",
            "monsoontack_paced_servers 1.0",
            f'monsoontack_domain_doubts_total{{service="{SERVICE}"}} 1.0',
        ):
            self.assertIn(line, shown)


class DomainSpendTest(unittest.TestCase):
    def test_third_attempt_within_a_second_goes_elsewhere(self):
        """Guards against a request that spends its retries on one lost domain because
        the others are busy, and against one that cannot go back to it later."""
        spend = DomainSpend()
        places = [HOME] * 4 + [NEAR] * 4

        def allowed(is_free, now):
            return set(spend.allowed(places, lambda p: p, lambda p: p in is_free, now))

        spend.note_sent(HOME, 1.0)
        spend.note_lost(HOME, 1.0)
        self.assertEqual({NEAR}, allowed({HOME, NEAR}, 1.1))
        self.assertEqual({HOME, NEAR}, allowed({HOME}, 1.1))
        spend.note_sent(HOME, 1.1)
        spend.note_sent(NEAR, 1.2)
        spend.note_lost(NEAR, 1.2)
        self.assertEqual({NEAR}, allowed({HOME, NEAR}, 1.3))
        self.assertEqual({HOME, NEAR}, allowed({HOME, NEAR}, 2.4))


class HeldBackEnginesTest(unittest.TestCase):
    def engines(self, **changes):
        names = zip("abcdef", (HOME, HOME, NEAR, NEAR, FAR, FAR), strict=True)
        return [
            replace(EngineCandidate(name, place, 0, 8, 0, 0, 88_000), **changes)
            for name, place in names
        ]

    def chosen(self, engines):
        return {choose_engine(engines, HOME, 9000, make_rng()).key for _ in range(20)}

    def test_held_back_engines_are_left_out_while_others_have_a_slot(self):
        """Guards against prompts that go to an idle engine which is lost, or which has
        just started, while another engine is free."""
        for changes in ({"doubtful": True}, {"pace_room": 0}):
            engines = self.engines()
            engines = [replace(e, **changes) for e in engines[:5]] + [
                replace(engines[5], in_flight=7, waiting_tokens=60_000)
            ]
            self.assertEqual({"f"}, self.chosen(engines))
            backup = choose_backup(engines, engines[0], 9000, make_rng())
            self.assertEqual("f", backup.key)
            engines[5] = replace(engines[5], in_flight=8)
            self.assertNotIn("f", self.chosen(engines))

    def test_copy_stays_in_the_domain_rather_than_at_lost_engines(self):
        """Guards against a copy that is sent to an engine which is lost with its
        domain."""
        engines = self.engines()
        engines = engines[:2] + [replace(e, doubtful=True) for e in engines[2:]]
        backup = choose_backup(engines, engines[0], 9000, make_rng())
        self.assertEqual("b", backup.key)

    def test_paced_engines_come_before_doubtful_ones(self):
        """Guards against requests to lost engines while a started one is there."""
        engines = self.engines(doubtful=True)
        engines[4] = replace(engines[4], doubtful=False, pace_room=0)
        self.assertEqual({"e"}, self.chosen(engines))


if __name__ == "__main__":
    unittest.main()
