"""Tests of servers that leave or ask for time, with senders on a paused clock."""

import asyncio
import unittest
from dataclasses import replace

from monsoontack.admission.hedge import Hedging
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.budgets import RetryBudgets
from monsoontack.gateway.calls import CallForwarder
from monsoontack.gateway.outbound import FailureKind, HttpExchange
from monsoontack.gateway.records import (
    Attempt,
    EngineTraits,
    RequestKind,
    ResponseHead,
    ServiceTraits,
)
from monsoontack.gateway.sender import Sender
from monsoontack.gateway.streams import StreamForwarder
from monsoontack.routing.linkbudget import EntryLinkBudget
from monsoontack.routing.picker import Picker
from standins.gatewayfakes import (
    HOME,
    NEAR,
    SERVICE,
    ScriptedSender,
    make_fleet,
    make_job,
    make_rng,
    make_route,
)

TRAITS = {SERVICE: ServiceTraits(SERVICE, 100, EngineTraits(8, 88_000, True, 4.0))}
CONNECT_S = 0.1


class StatementWire:
    """Wire format whose responses say things of the server in plain headers."""

    def encode_request_head(self, request, attempt):
        return b"GET / HTTP/1.1\r\n\r\n"

    def parse_response_head(self, status, headers):
        found = dict(headers)
        return ResponseHead(
            status=status,
            request_id=None,
            not_run=b"not-run" in found,
            signed=b"unsigned" not in found,
            encoded=b"encoded" in found,
            forwarded=headers,
        )

    def stated_limit(self, headers):
        return None

    def stated_leaving(self, headers):
        return dict(headers).get(b"leaving", b"").decode() or None

    def stated_wait(self, headers):
        return dict(headers).get(b"wait", b"").decode() or None


class SlowPool:
    """Pool whose connections take `CONNECT_S`; `started` lists their exchanges."""

    def __init__(self):
        self.started, self.released, self.checks = [], 0, 0

    async def acquire(self, address, incarnation, timeout_s, request_id):
        await asyncio.sleep(CONNECT_S)
        return self

    async def connect(self, address, incarnation, timeout_s):
        self.checks += 1
        return self

    def start(self, exchange, data, is_head):
        self.started.append(exchange)

    def release(self, key, connection):
        self.released += 1


class SendTest(unittest.TestCase):
    """Sends to `s1`, one of two servers."""

    def setUp(self):
        self.fleet = make_fleet({"s1": HOME, "s2": NEAR})
        self.pool = SlowPool()
        self.sender = Sender(self.pool, StatementWire(), self.fleet)
        self.sender.gate.servers = self.fleet.limit_keys
        self.said = []
        self.sender.on_statement = lambda member, said: self.said.append(said)

    async def send(self):
        member = self.fleet.members["s1"]
        request = make_job(make_route(RequestKind.ONCE)).request
        attempt = Attempt(member.server, 1.0)
        return await self.sender.send(member, request, attempt, lambda: True)

    def answer(self, exchange, status, *headers):
        exchange.status, exchange.headers = status, tuple((h, b"1") for h in headers)
        exchange.on_head(exchange)

    def refuse(self, exchange, wait, *headers):
        exchange.status = 503
        exchange.headers = ((b"wait", wait), *((h, b"1") for h in headers))
        exchange.on_head(exchange)

    def test_any_response_of_the_server_may_say_it(self):
        """Guards against a statement that only some kinds of responses carry."""
        for status, *headers in ((200,), (206,), (404,), (500,), (503, b"not-run")):

            async def scenario(status=status, headers=headers):
                exchange = await self.send()
                self.answer(exchange, status, b"leaving", *headers)

            self.setUp()
            run_in_virtual_time(scenario())
            self.assertEqual({"s2"}, set(self.fleet.members), status)
            self.assertEqual(1, len(self.said))

    def test_responses_that_are_not_the_servers_own_say_nothing(self):
        """Guards against a server that another one at its address takes out."""

        async def scenario():
            for status, header in (
                (421, b"not-run"),
                (200, b"unsigned"),
                (200, b"encoded"),
            ):
                self.answer(await self.send(), status, b"leaving", header)

        run_in_virtual_time(scenario())
        self.assertEqual({"s1", "s2"}, set(self.fleet.members))

    def test_request_that_waits_for_a_connection_is_not_sent(self):
        """Guards against requests that pass the statement by on their way."""

        async def scenario():
            first = await self.send()
            waiting = asyncio.ensure_future(self.send())
            await asyncio.sleep(CONNECT_S / 2)
            self.answer(first, 200, b"leaving")
            return await waiting

        failure = run_in_virtual_time(scenario())
        self.assertEqual(
            (FailureKind.LEAVING, False), (failure.kind, failure.maybe_sent)
        )
        self.assertEqual((1, 1), (len(self.pool.started), self.pool.released))

    def test_requests_that_run_there_go_on(self):
        """Guards against requests that end since their server is leaving."""

        async def scenario():
            first, second = await self.send(), await self.send()
            self.answer(first, 200, b"leaving")
            return second

        second = run_in_virtual_time(scenario())
        self.assertIsInstance(second, HttpExchange)
        self.assertFalse(second.is_finished)

    def test_no_request_is_sent_until_the_time_is_over(self):
        """Guards against requests in the wait, also those that wait for a connection,
        and against a server that gets nothing afterwards."""

        async def scenario():
            first = await self.send()
            waiting = asyncio.ensure_future(self.send())
            await asyncio.sleep(CONNECT_S / 2)
            self.refuse(first, b"2.5", b"not-run")
            found, said_at = [await waiting], self.sender.now()
            while self.sender.now() < said_at + 4.0:
                found.append(await self.send())
                await asyncio.sleep(0.05)
                if isinstance(found[-1], HttpExchange):
                    return found, self.sender.now() - said_at

        found, took_s = run_in_virtual_time(scenario())
        self.assertGreater(len(found), 5)
        for failure in found[:-1]:
            self.assertEqual(
                (FailureKind.LIMITED, False), (failure.kind, failure.maybe_sent)
            )
        self.assertEqual(2, len(self.pool.started))
        self.assertGreater(took_s, 2.5)
        self.assertLess(took_s, 3.0)
        self.assertEqual([2.5], [said.wait_s for said in self.said])

    def test_connection_check_is_left_out_in_the_wait(self):
        """Guards against probes of a server that wants nothing, and against a server
        that counts as failed for the lack of them."""

        async def scenario():
            self.refuse(await self.send(), b"2.5", b"not-run")
            member = self.fleet.members["s1"]
            failure = await self.sender.check_connection(member, 0.5)
            in_wait = self.pool.checks
            await asyncio.sleep(3.0)
            await self.sender.check_connection(member, 0.5)
            return failure, in_wait, self.pool.checks

        self.assertEqual((None, 0, 1), run_in_virtual_time(scenario()))

    def test_wait_ends_with_the_start_of_the_server(self):
        """Guards against a new server that waits since the former one asked for it."""

        async def scenario():
            self.refuse(await self.send(), b"30", b"not-run")
            server = self.fleet.members["s1"].server
            self.fleet.put(replace(server, started_unix_ms=5), False)
            return await self.send()

        self.assertIsInstance(run_in_virtual_time(scenario()), HttpExchange)


class RefusedCallTest(unittest.TestCase):
    """Calls to two servers that refuse and ask for time."""

    def serve(self, waits, headers=((b"not-run", b"1"),), kind=RequestKind.IDEMPOTENT):
        """Serve a call; servers without a wait answer it."""

        async def scenario():
            fleet = make_fleet({"s1": HOME, "s2": NEAR})
            sender = ScriptedSender(fleet, {})
            sender.gate.servers = fleet.limit_keys

            def script(name):
                async def respond(exchange, attempt):
                    await asyncio.sleep(0.05)
                    wait = waits.get(name)
                    if wait is None:
                        exchange.answer(200)
                        exchange.add_body(b"ok")
                    else:
                        exchange.answer(503, (*headers, (b"wait", wait)))
                        member = fleet.members[name]
                        said, now = sender.statement(exchange), sender.now()
                        sender.gate.waits.observe(
                            member.limit_key, SERVICE, said.wait_s, now
                        )
                    exchange.end()

                return respond

            sender.scripts = {name: script(name) for name in fleet.members}
            link = EntryLinkBudget.for_entries(1, 0.0)
            picker = Picker(HOME, link, ejection=fleet.ejection)
            budgets = RetryBudgets(0.8, 20.0, 10.0)
            forwarder = CallForwarder(
                fleet, sender, picker, budgets, Hedging(), make_rng()
            )
            jobs = []
            for number in range(5):
                job = make_job(make_route(kind, attempts=3), f"id-{number}")
                await forwarder.serve(job)
                jobs.append(job)
            return fleet, jobs, [a.server.incarnation for a in sender.sent]

        return run_in_virtual_time(scenario())

    def test_calls_go_to_the_other_server(self):
        """Guards against callers that hear of a wait while another server is free."""
        _, jobs, sent = self.serve({"s1": b"3"})
        self.assertEqual({200}, {job.status for job in jobs})
        self.assertLessEqual(sent.count("s1"), 1)

    def test_callers_are_told_the_shortest_wait(self):
        """Guards against refusals that come late or with a made-up retry time."""
        _, jobs, sent = self.serve({"s1": b"3", "s2": b"8"}, kind=RequestKind.ONCE)
        self.assertEqual(["s1", "s2"], sorted(sent))
        for job in jobs:
            self.assertEqual((503, "servers_wait"), (job.status, job.outcome))
            self.assertIn(b'"not_run"', job.responder.body)
            retry_after_s = float(dict(job.responder.headers)[b"retry-after"])
            self.assertTrue(2.5 < retry_after_s < 3.3, retry_after_s)
        for job in jobs[1:]:
            self.assertEqual(job.started_at, job.responder.answered_at)

    def test_wait_is_no_failure_of_the_server(self):
        """Guards against servers that are ejected, and versions that are judged bad,
        since they asked for time; also if the call may have run."""
        for headers in (((b"not-run", b"1"),), ()):
            fleet, jobs, _ = self.serve({"s1": b"0.01", "s2": b"0.01"}, headers)
            found = [h.consecutive_failures for h in fleet.ejection.health.values()]
            self.assertEqual([0, 0], found, headers)


class LeavingStreamTest(unittest.TestCase):
    """Streams whose engines, or the engines with their copies, leave."""

    def serve(self, leaves, ends_at_s=0.5):
        """Serve a stream that its engine breaks off; `leaves` picks who leaves."""

        async def stream(exchange, attempt):
            exchange.answer(200)
            first = int(attempt.last_event_id or 0) + 1
            for number in range(first, 31):
                exchange.add_body(b"id: %d\ndata: t\n\n" % number)
                await asyncio.sleep(0.05)
                if first == 1 and number == int(ends_at_s / 0.05):
                    exchange.fail(FailureKind.RESET, True, "reset")
            exchange.end()

        async def scenario():
            fleet = make_fleet({"s1": HOME, "s2": NEAR, "s3": NEAR, "s4": NEAR})
            sender = ScriptedSender(fleet, dict.fromkeys(fleet.members, stream))
            budgets = RetryBudgets(0.8, 50.0, 10.0)
            forwarder = StreamForwarder(
                HOME, fleet, sender, budgets, make_rng(), traits=TRAITS
            )
            route = make_route(
                RequestKind.STREAM, attempts=5, resumable=True, timeout_s=20.0
            )
            job = make_job(route, deadline_s=20.0)
            task = asyncio.ensure_future(forwarder.serve(job))
            await asyncio.sleep(0.2)
            name = leaves(sender.sent[0])
            members = [m for n, m in fleet.members.items() if name(n, m)]
            for member in members:
                fleet.note_leaving(member, sender.now())
            await task
            return job, sender.sent, {m.server.incarnation for m in members}

        return run_in_virtual_time(scenario())

    def test_stream_goes_on_at_its_copy_when_the_leaving_engine_ends(self):
        """Guards against streams of a leaving engine that begin anew at its end."""
        job, sent, left = self.serve(
            lambda attempt: lambda name, member: name == attempt.server.incarnation
        )
        self.assertEqual("streamed", job.outcome)
        self.assertEqual(2, len(sent))
        self.assertEqual(sent[0].backup, sent[1].server.address)
        self.assertIsNotNone(sent[1].copy)
        self.assertNotIn(sent[1].backup, (None, sent[0].server.address))

    def test_stream_does_not_go_on_at_a_copy_on_a_leaving_engine(self):
        """Guards against resumed streams, and their next copies, at leaving engines."""
        job, sent, left = self.serve(
            lambda attempt: lambda name, member: member.server.address == attempt.backup
        )
        self.assertEqual("streamed", job.outcome)
        self.assertNotIn(sent[1].server.incarnation, left)
        self.assertIsNone(sent[1].copy)
        self.assertNotEqual(sent[0].backup, sent[1].backup)

    def test_stream_of_a_leaving_engine_runs_to_its_end_there(self):
        """Guards against streams that are moved although their engine serves them."""
        job, sent, _ = self.serve(
            lambda attempt: lambda name, member: name == attempt.server.incarnation,
            ends_at_s=99.0,
        )
        self.assertEqual(("streamed", 1), (job.outcome, len(sent)))


if __name__ == "__main__":
    unittest.main()
