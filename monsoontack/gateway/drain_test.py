"""Tests of the drain of a gateway without a network, on a simulated clock."""

import asyncio
import itertools
import json
import random
import unittest
from dataclasses import dataclass, replace

from structlog.testing import capture_logs

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.daemon import GatewayDaemon
from monsoontack.gateway.daemon_test import SETTINGS
from monsoontack.gateway.job import Job
from monsoontack.gateway.records import (
    CallerLimits,
    CallerRequest,
    GatewayConfig,
    RawRequest,
    RequestKind,
)
from monsoontack.inbound.memoryguard import MemoryGuard
from monsoontack.inbound.server import InboundServer
from standins.gatewayfakes import (
    FakeTransport,
    ScriptedSender,
    ScriptedWire,
    make_route,
    make_server,
)

GRACE_S = 4.0
# The process needs a part of the grace period to close its connections.
ANSWERED_WITHIN_S = 0.4
TIMEOUT_S = 10.0
SEND_INTERVAL_S = 0.1


# Long enough that callers are sent elsewhere well before the end of the drain.
LONG_GRACE_S = 8.0
REDIRECT_S = 3.0
TOKEN_GAP_S = 0.03


class NamedRequestWire(ScriptedWire):
    """Wire format in which a request's target is its path and its id.

    The target may end with the number of tokens that a stream generates at most.
    """

    def parse_request(self, raw):
        target = raw.target.decode()
        tokens = int(target.partition("?")[2] or 0)
        return CallerRequest(
            raw, target, "h", target, raw.headers, max_output_tokens=tokens
        )


@dataclass
class SentRequest:
    """A request on a connection of its own; times are seconds since SIGTERM."""

    sent_s: float
    transport: FakeTransport
    path: str = ""

    @property
    def status(self):
        """Status of the response, None if there is none."""
        head = self.written.split(b" ")
        return int(head[1]) if len(head) > 1 else None

    @property
    def written(self):
        """Bytes of the response."""
        return bytes(self.transport.written)

    @property
    def is_complete(self):
        """Whether the whole response has been sent."""
        return self.written.endswith((b"}", b"done", b"0\r\n\r\n"))

    @property
    def error(self):
        """Error document of the response."""
        return json.loads(self.written.split(b"\r\n\r\n")[1])["error"]


def route(kind, **changes):
    """Return the route of a kind of request."""
    name = f"{kind}-resumable" if changes.get("resumable") else str(kind)
    fields = {"name": name, "path_prefix": f"/{name}/", "timeout_s": TIMEOUT_S}
    return make_route(kind, **fields, **changes)


ROUTES = (
    route(RequestKind.ONCE),
    route(RequestKind.IDEMPOTENT),
    route(RequestKind.STREAM),
    route(RequestKind.STREAM, resumable=True),
)


class Harness:
    """A gateway and its one server, whose responses take `work_s` seconds.

    `ran` has the ids of the requests that the server got. The response to a request
    that states a number of tokens has as many events.
    """

    def __init__(self, work_s, grace_s=GRACE_S):
        self.work_s = work_s
        self.ran = []
        wire = NamedRequestWire()
        settings = replace(SETTINGS, grace_s=grace_s)
        self.daemon = GatewayDaemon.from_settings(
            settings, wire, lambda headers: None, random.Random(1)
        )
        gateway = self.daemon.gateway
        self.daemon.fleet.put(make_server("s1"), False)
        sender = ScriptedSender(self.daemon.fleet, {"s1": self.respond}, wire=wire)
        gateway.calls.sender = gateway.streams.sender = sender
        gateway.suspects.guard = sender.guard
        self.daemon.config_state.apply(GatewayConfig(1, ROUTES))
        self.daemon.front = InboundServer(
            gateway.handle,
            CallerLimits,
            MemoryGuard(10**8),
            closing=self.daemon.should_close_connections,
        )

    async def respond(self, exchange, attempt):
        self.ran.append(exchange.request_id)
        if b"stream" not in exchange.request_id.encode():
            await asyncio.sleep(self.work_s)
            exchange.answer(200)
            exchange.add_body(b"done")
            exchange.end()
            return
        exchange.answer(200, ((b"content-type", b"text/event-stream"),))
        tokens = int(exchange.request_id.partition("?")[2] or 0)
        gap_s = TOKEN_GAP_S if tokens else self.work_s / 10
        for number in range(tokens or 10):
            exchange.add_body(b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(gap_s)
        exchange.end()

    def send(self, path, sent_s=0.0):
        connection = self.daemon.front.make_connection()
        transport = FakeTransport()
        transport.abort = lambda: self.end(connection, transport)
        connection.connection_made(transport)
        connection.data_received(b"GET %b HTTP/1.1\r\nHost: h\r\n\r\n" % path.encode())
        return SentRequest(sent_s, transport, path)

    def end(self, connection, transport):
        FakeTransport.abort(transport)
        connection.connection_lost(None)

    async def drain(self, prefix, is_sending):
        """Drain; return the requests sent before its start and all through it."""
        now = asyncio.get_running_loop().time
        began = now()
        draining = asyncio.ensure_future(self.daemon._drain())
        sent = []
        while not draining.done():
            if is_sending:
                sent.append(self.send(f"{prefix}{len(sent)}", now() - began))
            await asyncio.sleep(SEND_INTERVAL_S)
        return sent, now() - began


def drain(kind, work_s, prior=20, is_sending=True, left_running=0):
    """Return the requests of a route sent during a drain, and all that a server got."""

    async def scenario():
        harness = Harness(work_s)
        for number in range(prior):
            harness.send(f"/{kind}/prior-{number}")
        await asyncio.sleep(work_s * 1.5)
        left = [harness.send(f"/{kind}/left-{n}") for n in range(left_running)]
        await asyncio.sleep(0.1)
        sent, took_s = await harness.drain(f"/{kind}/", is_sending)
        return left + sent, harness.ran, took_s

    return run_in_virtual_time(scenario())


class LateRequestTest(unittest.TestCase):
    """Requests that arrive while a gateway drains."""

    def check_ends(self, sent, ran):
        """Check that each request was either served or refused without being run."""
        found = [
            (item.path, round(item.sent_s, 1), item.status)
            for item in sent
            if not item.is_complete
            or item.status not in (200, 503)
            or item.status == 503
            and (item.path in ran or b"connection: close" not in item.written)
        ]
        self.assertEqual([], found)

    def served_until_s(self, sent):
        """Return when the last request was sent that was served."""
        return max((i.sent_s for i in sent if i.status == 200), default=0.0)

    def test_requests_that_cannot_end_are_refused_at_once(self):
        """Guards against requests that are passed on late in a drain and are cut at its
        end, among them those that may not be repeated."""
        for kind in ("once", "idempotent", "stream", "stream-resumable"):
            for work_s in (0.5, 1.0, 2.5):
                sent, ran, _ = drain(kind, work_s)
                self.check_ends(sent, ran)

    def test_requests_that_can_end_are_served(self):
        """Guards against requests refused although there is time for them; a request
        that may not be repeated needs half a second more."""
        refused = []
        for work_s in (0.5, 1.0, 2.0):
            for kind, spare_s in (("once", 0.7), ("idempotent", 0.3), ("stream", 0.7)):
                sent, _, _ = drain(kind, work_s)
                latest_s = GRACE_S - ANSWERED_WITHIN_S - work_s - spare_s
                served_s = self.served_until_s(sent)
                if served_s < latest_s:
                    refused.append((kind, work_s, served_s, latest_s))
        self.assertEqual([], refused)

    def test_early_refusal_tells_when_other_entries_serve(self):
        """Guards against callers that repeat a refused stream at once and get to the
        same entry, as the last of its failure domain: no retry is left then."""
        sent, _, _ = drain("stream-resumable", 2.5)
        for item in [i for i in sent if i.status == 503 and i.sent_s < REDIRECT_S]:
            wait_s = item.error["retry_after_s"]
            self.assertAlmostEqual(REDIRECT_S, item.sent_s + wait_s, 1)

    def test_calls_of_unknown_duration_that_may_run_only_once_are_refused(self):
        """Guards against a call that may not be repeated, passed on late in a drain
        although nothing is known of how long it takes."""
        sent, ran, _ = drain("once", 2.5, prior=0)
        self.assertEqual([], ran)
        self.check_ends(sent, ran)


class MixedLengthTest(unittest.TestCase):
    """Streams of different lengths that arrive while a gateway drains."""

    SHORT, LONG = 30, 180

    def drain_mixed(self, before_s):
        """Return the streams sent in a drain that begins `before_s` after the first."""

        async def scenario():
            harness = Harness(0.0, LONG_GRACE_S)
            numbers = itertools.count()

            async def send_all(sent):
                now = asyncio.get_running_loop().time
                began = now()
                while True:
                    for tokens in (self.SHORT, self.SHORT, self.LONG):
                        path = f"/stream-resumable/{next(numbers)}?{tokens}"
                        sent.append(harness.send(path, now() - began))
                    await asyncio.sleep(SEND_INTERVAL_S)

            before = asyncio.ensure_future(send_all([]))
            await asyncio.sleep(before_s)
            before.cancel()
            sent = []
            during = asyncio.ensure_future(send_all(sent))
            await harness.daemon._drain()
            during.cancel()
            return sent

        return run_in_virtual_time(scenario())

    def check_late_streams(self, before_s):
        late = [s for s in self.drain_mixed(before_s) if s.sent_s > REDIRECT_S]
        cut = [
            (item.path, round(item.sent_s, 1), item.status)
            for item in late
            if not item.is_complete
        ]
        self.assertEqual([], cut)
        served_until_s = max((s.sent_s for s in late if s.status == 200), default=0.0)
        short_s = self.SHORT * TOKEN_GAP_S
        self.assertGreater(served_until_s, LONG_GRACE_S - short_s - 1.7)

    def test_long_streams_among_short_ones_are_not_cut(self):
        """Guards against streams that a drain takes by the mean time of their route,
        begins and cuts at its end, and against a drain that refuses the short ones."""
        self.check_late_streams(before_s=9.0)

    def test_drain_soon_after_the_start_cuts_no_late_streams(self):
        """Guards against the same while only short streams have been measured."""
        self.check_late_streams(before_s=1.5)


class SuspectInDrainTest(unittest.TestCase):
    def test_stream_that_waited_for_its_turn_is_judged_again(self):
        """Guards against a stream that is taken early in a drain, waits there for what
        another entry tries, and is begun when it cannot end any more."""

        async def scenario():
            harness = Harness(1.0)
            gateway, path = harness.daemon.gateway, "/stream-resumable/again"
            await asyncio.sleep(10.0)
            for _ in range(2):
                harness.send("/stream-resumable/prior")
                await asyncio.sleep(1.5)
            route = ROUTES[-1]
            for number in range(2):
                raw = RawRequest(b"GET", path.encode(), (), b"", True, 0.0)
                request = NamedRequestWire().parse_request(raw)
                job = Job(request, route, None, "", None, 0.0, 0.0)
                now = asyncio.get_running_loop().time()
                gateway.guard.note_crash(f"lost-{number}", [job.content], now)
            turns = gateway.suspects.turns
            turns.take(job.content.request, "another entry", now)
            turns.end(job.content.request, "another entry", now + 3.2)
            item = harness.send(path)
            await harness.drain("", False)
            return item, harness.ran

        item, ran = run_in_virtual_time(scenario())
        self.assertEqual(503, item.status)
        self.assertEqual("draining", item.error["code"])
        self.assertNotIn("/stream-resumable/again", ran)


class LogTest(unittest.TestCase):
    def test_log_tells_a_cut_stream_from_one_that_lacks_only_its_end(self):
        """Guards against a lost stream whose log line tells neither how far it came nor
        whether it arrived before the drain or in it."""

        async def scenario():
            harness = Harness(15.0)
            await asyncio.sleep(1.0)
            harness.send("/stream-resumable/left")
            await asyncio.sleep(0.5)
            await harness.drain("", False)

        with capture_logs() as lines:
            run_in_virtual_time(scenario())
        ended = next(line for line in lines if line["event"] == "request ended")
        self.assertEqual("stream_cut", ended["outcome"])
        self.assertEqual((3, "2"), (ended["events"], ended["last_id"]))
        self.assertAlmostEqual(-0.5, ended["arrived_after_stop_s"], 1)
        self.assertAlmostEqual(3.6, ended["ended_after_stop_s"], 0)
        lost = next(line for line in lines if line["event"] == "stream lost its engine")
        self.assertGreater(lost["since_event_s"], 1.0)
        drained = next(line for line in lines if line["event"] == "drained")
        self.assertEqual((1, 0), (drained["cut"], drained["unread"]))


class RemainingRequestTest(unittest.TestCase):
    """Requests that still run at the end of a drain."""

    def test_remaining_request_gets_an_answer_before_its_connection_ends(self):
        """Guards against a connection closed without an answer to a request that was
        passed on, and against an answer which says that it was not run."""
        for kind in ("once", "idempotent"):
            left, _, took_s = drain(kind, 8.0, 0, False, left_running=2)
            self.assertLessEqual(took_s, GRACE_S)
            for item in left:
                self.assertEqual(502, item.status)
                self.assertTrue(item.is_complete)
                self.assertEqual("unknown", item.error["run_state"])

    def test_stream_without_events_gets_an_answer(self):
        """Guards against the same for a stream whose engine has sent nothing yet."""

        async def silent(exchange, attempt):
            await asyncio.sleep(60.0)

        async def scenario():
            harness = Harness(1.0)
            harness.daemon.gateway.streams.sender.scripts["s1"] = silent
            item = harness.send("/stream/left")
            await asyncio.sleep(0.1)
            await harness.drain("", False)
            return item

        item = run_in_virtual_time(scenario())
        self.assertEqual(502, item.status)
        self.assertEqual("unknown", item.error["run_state"])

    def test_begun_stream_does_not_look_complete(self):
        """Guards against a stream that the end of a drain cuts and that looks whole."""
        for kind in ("stream", "stream-resumable"):
            left, _, _ = drain(kind, 8.0, 0, False, left_running=1)
            self.assertEqual(200, left[0].status)
            self.assertFalse(left[0].is_complete)
            self.assertTrue(left[0].transport.aborted)


if __name__ == "__main__":
    unittest.main()
