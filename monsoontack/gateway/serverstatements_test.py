"""Tests of servers that say that they leave, with senders on a paused clock."""

import asyncio
import unittest

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.budgets import RetryBudgets
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


class SlowPool:
    """Pool whose connections take `CONNECT_S`; `started` lists their exchanges."""

    def __init__(self):
        self.started, self.released = [], 0

    async def acquire(self, address, incarnation, timeout_s, request_id):
        await asyncio.sleep(CONNECT_S)
        return self

    def start(self, exchange, data, is_head):
        self.started.append(exchange)

    def release(self, key, connection):
        self.released += 1


class LeavingTest(unittest.TestCase):
    """Sends to `s1`, one of two servers."""

    def setUp(self):
        self.fleet = make_fleet({"s1": HOME, "s2": NEAR})
        self.pool = SlowPool()
        self.sender = Sender(self.pool, StatementWire(), self.fleet)
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
