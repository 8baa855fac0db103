"""Tests of calls and streams to servers that state a limit, on a paused clock."""

import asyncio
import random
import unittest

from monsoontack.admission.hedge import Hedging
from monsoontack.admission.limitgate import LimitGate
from monsoontack.admission.permits import PERMIT_LIFETIME_S, PermitGrant
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.budgets import RetryBudgets
from monsoontack.gateway.calls import CallForwarder
from monsoontack.gateway.outbound import ExchangeFailure, FailureKind, HttpExchange
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
RETRY_AFTER_S = 3.5


async def answer_call(exchange, attempt):
    await asyncio.sleep(0.05)
    exchange.answer(200)
    exchange.add_body(b"ok")
    exchange.end()


async def fail_call(exchange, attempt):
    await asyncio.sleep(0.05)
    exchange.answer(500)
    exchange.end()


async def hang_call(exchange, attempt):
    await asyncio.sleep(100)


async def stream_events(exchange, attempt):
    await asyncio.sleep(0.1)
    exchange.answer(200)
    for number in range(1, 9):
        exchange.add_body(b"id: %d\ndata: t\n\n" % number)
        await asyncio.sleep(0.02)
    exchange.end()


async def break_stream(exchange, attempt):
    await asyncio.sleep(0.1)
    exchange.fail(FailureKind.RESET, True, "reset")


def limited_gate(fleet, limited, permits=0):
    """Return a gate with a limit on these servers and permits for each of them."""
    gate = LimitGate.for_entry("entry-1", random.Random(1))
    gate.servers = fleet.limit_keys
    keys = [fleet.members[name].limit_key for name in limited]
    for key in keys:
        gate.limits.observe(key, "2.8", 0.0, 0.0)
    lifetimes = dict.fromkeys(keys, (PERMIT_LIFETIME_S,) * permits)
    waits = dict.fromkeys(keys, RETRY_AFTER_S)
    gate.permits.apply_grant("parent", PermitGrant(lifetimes, waits), 0.0)
    gate.permits.held, gate.permits.pool = gate.permits.pool, {}
    return gate


def make_sender(scripts, limited, permits):
    places = dict(zip(scripts, (HOME, NEAR, NEAR), strict=False))
    fleet = make_fleet(places)
    sender = ScriptedSender(fleet, scripts)
    sender.gate = limited_gate(fleet, limited, permits)
    return sender


class LimitedCallTest(unittest.TestCase):
    """Calls to three servers, some of which have a limit."""

    def serve(self, scripts, limited, permits=0, kind=RequestKind.IDEMPOTENT):
        async def scenario():
            sender = make_sender(scripts, limited, permits)
            link = EntryLinkBudget.for_entries(1, 0.0)
            picker = Picker(HOME, link, ejection=sender.fleet.ejection)
            forwarder = CallForwarder(
                sender.fleet,
                sender,
                picker,
                RetryBudgets(0.8, 20.0, 10.0),
                Hedging(),
                make_rng(),
            )
            job = make_job(make_route(kind, attempts=3))
            await forwarder.serve(job)
            return job, [attempt.server.incarnation for attempt in sender.sent]

        return run_in_virtual_time(scenario())

    def test_call_goes_to_a_server_without_a_limit(self):
        """Guards against refused calls while another server could run them."""
        scripts = dict.fromkeys(("s1", "s2", "s3"), answer_call)
        job, sent = self.serve(scripts, limited=("s1", "s2"))
        self.assertEqual((200, ["s3"]), (job.responder.status, sent))

    def test_limited_server_stays_in_use(self):
        """Guards against a server that gets nothing once it states a limit."""
        scripts = dict.fromkeys(("s1", "s2", "s3"), answer_call)
        job, sent = self.serve(scripts, limited=("s1",), permits=1)
        self.assertEqual((200, ["s1"]), (job.responder.status, sent))

    def test_retry_respects_the_limit(self):
        """Guards against retries that a server with a limit gets beyond it."""
        scripts = {"s1": fail_call, "s2": answer_call, "s3": fail_call}
        job, sent = self.serve(scripts, limited=("s2",))
        self.assertEqual(500, job.responder.status)
        self.assertNotIn("s2", sent)

    def test_hedge_respects_the_limit(self):
        """Guards against hedges that a server with a limit gets beyond it."""
        scripts = {"s1": hang_call, "s2": answer_call, "s3": answer_call}
        job, sent = self.serve(scripts, limited=("s2", "s3"))
        self.assertEqual((504, ["s1"]), (job.responder.status, sent))

    def test_call_that_no_server_takes_is_refused_at_once(self):
        """Guards against a wait until the deadline, and a made-up retry time."""
        scripts = dict.fromkeys(("s1", "s2", "s3"), answer_call)
        job, sent = self.serve(scripts, ("s1", "s2", "s3"), kind=RequestKind.ONCE)
        self.assertEqual((503, []), (job.responder.status, sent))
        self.assertEqual("limited", job.outcome)
        headers = dict(job.responder.headers)
        self.assertEqual(RETRY_AFTER_S, float(headers[b"retry-after"]))
        self.assertIn(b'"not_run"', job.responder.body)
        self.assertLess(job.responder.answered_at, 0.01)


class LimitedStreamTest(unittest.TestCase):
    """Streams to engines, some of which have a limit."""

    def serve(self, scripts, limited, permits=0):
        async def scenario():
            sender = make_sender(scripts, limited, permits)
            forwarder = StreamForwarder(
                HOME,
                sender.fleet,
                sender,
                RetryBudgets(0.8, 50.0, 10.0),
                make_rng(),
                traits=TRAITS,
            )
            route = make_route(RequestKind.STREAM, attempts=5, resumable=True)
            job = make_job(route, deadline_s=20.0)
            await forwarder.serve(job)
            return job, sender.sent

        return run_in_virtual_time(scenario())

    def test_stream_and_its_backup_avoid_engines_at_their_limit(self):
        """Guards against streams that an engine gets beyond its limit."""
        scripts = dict.fromkeys(("s1", "s2", "s3"), stream_events)
        job, sent = self.serve(scripts, limited=("s1", "s2"))
        self.assertEqual("streamed", job.outcome)
        self.assertEqual(["s3"], [attempt.server.incarnation for attempt in sent])
        self.assertIsNone(sent[0].backup)

    def test_lost_stream_goes_on_within_the_limit(self):
        """Guards against repeats of streams beyond an engine's limit."""
        scripts = {"s1": break_stream, "s2": break_stream, "s3": stream_events}
        job, sent = self.serve(scripts, limited=("s3",))
        self.assertNotIn("s3", [attempt.server.incarnation for attempt in sent])
        self.assertEqual(502, job.responder.status)

    def test_stream_that_no_engine_takes_is_refused_at_once(self):
        """Guards against streams that wait although all engines are at their limit."""
        scripts = dict.fromkeys(("s1", "s2"), stream_events)
        job, sent = self.serve(scripts, limited=("s1", "s2"))
        self.assertEqual((503, [], "limited"), (job.status, sent, job.outcome))
        self.assertLess(job.responder.answered_at, 0.01)


class HeaderWire:
    """Wire format whose responses state a limit in the header `limit`."""

    def encode_request_head(self, request, attempt):
        return b"GET / HTTP/1.1\r\n\r\n"

    def parse_response_head(self, status, headers):
        found = dict(headers)
        return ResponseHead(
            status=status,
            request_id=None,
            not_run=b"not-run" in found,
            signed=b"unsigned" not in found,
            encoded=False,
            forwarded=headers,
        )

    def stated_limit(self, headers):
        return dict(headers).get(b"limit", b"").decode() or None

    def stated_leaving(self, headers):
        return None

    def stated_wait(self, headers):
        return None


class SlowPool:
    """Pool whose connections take some time; `started` lists their exchanges."""

    def __init__(self, failure=None):
        self.failure, self.started, self.released = failure, [], 0

    async def acquire(self, address, incarnation, timeout_s, request_id):
        await asyncio.sleep(0.1)
        return self.failure or self

    def start(self, exchange, data, is_head):
        self.started.append(exchange)

    def release(self, key, connection):
        self.released += 1


class SenderTest(unittest.TestCase):
    """Sends of one entry to the server `s1`."""

    def send(self, limited=(), permits=0, pool=None, during=lambda gate, key: None):
        async def scenario():
            fleet = make_fleet({"s1": HOME})
            member = fleet.members["s1"]
            gate = limited_gate(fleet, limited, permits)
            self.sender = Sender(self.pool, HeaderWire(), fleet, gate)
            self.changes = 0
            self.sender.on_limit_change = self.count_change
            attempt = Attempt(member.server, 1.0)
            request = make_job(make_route(RequestKind.ONCE)).request
            task = asyncio.ensure_future(
                self.sender.send(member, request, attempt, lambda: True)
            )
            await asyncio.sleep(0.05)
            during(gate, member.limit_key)
            return gate, member.limit_key, await task

        self.pool = pool or SlowPool()
        return run_in_virtual_time(scenario())

    def count_change(self):
        self.changes += 1

    def test_permit_is_taken_for_each_send(self):
        """Guards against sends of any kind that pass the limit by."""
        gate, key, sent = self.send(limited=("s1",), permits=1)
        self.assertIsInstance(sent, HttpExchange)
        self.assertFalse(gate.permits.held_count(key, 0.1))
        _, _, failure = self.send(limited=("s1",))
        self.assertEqual(
            (FailureKind.LIMITED, False), (failure.kind, failure.maybe_sent)
        )
        self.assertEqual([], self.pool.started)

    def test_limit_that_arrives_during_the_connection_holds(self):
        """Guards against sends to a server whose limit has just become known."""

        def state(gate, key):
            gate.limits.observe(key, "2.8", 0.0, 0.05)

        _, _, failure = self.send(during=state)
        self.assertEqual(FailureKind.LIMITED, failure.kind)
        self.assertEqual(([], 1), (self.pool.started, self.pool.released))

    def test_failed_connection_returns_the_permit(self):
        """Guards against permits that unreachable servers use up."""
        refused = ExchangeFailure(FailureKind.CONNECT, False, "refused")
        pool = SlowPool(refused)
        gate, key, failure = self.send(limited=("s1",), permits=1, pool=pool)
        self.assertIs(refused, failure)
        self.assertTrue(gate.permits.held_count(key, 0.1))

    def test_limits_are_read_from_all_responses_of_the_server(self):
        """Guards against limits in refusals and errors that nobody reads."""
        for status, headers in ((200, ()), (500, ()), (503, ((b"not-run", b"1"),))):
            gate, key, exchange = self.send()
            exchange.status = status
            exchange.headers = (*headers, (b"limit", b"4.4"))
            run_in_virtual_time(self.deliver(exchange))
            self.assertEqual((4.4, 1), (gate.limits.rate(key), self.changes), status)

    def test_only_the_server_itself_ends_its_limit(self):
        """Guards against a limit that another server's response or a refusal ends."""
        cases = (
            (421, (), 2.8),
            (503, ((b"not-run", b"1"),), 2.8),
            (200, ((b"unsigned", b"1"),), 2.8),
            (200, (), None),
        )
        for status, headers, expected in cases:
            gate, key, exchange = self.send(limited=("s1",), permits=1)
            exchange.status, exchange.headers = status, headers
            run_in_virtual_time(self.deliver(exchange))
            self.assertEqual(expected, gate.limits.rate(key), (status, headers))

    async def deliver(self, exchange):
        await asyncio.sleep(1.0)
        exchange.on_head(exchange)


if __name__ == "__main__":
    unittest.main()
