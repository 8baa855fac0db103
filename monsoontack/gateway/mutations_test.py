"""Mutated messages from callers, backend servers and peers.

A mutated message may fail only its own request or connection: the callbacks raise no
exception, and everything they pass on is unambiguous.
"""

import asyncio
import json
import unittest
from dataclasses import asdict

import msgspec
from hypothesis import given

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.entrycodec import decode_message, encode_message
from monsoontack.gateway.feedcodec import (
    AGE_HEADER,
    REVISION_HEADER,
    CodecError,
    decode_changes,
    decode_list,
)
from monsoontack.gateway.outbound import HttpExchange, OutboundConnection
from monsoontack.gateway.peers import PeerResponse, peer_pool
from monsoontack.gateway.records import CallerLimits, RawRequest
from monsoontack.gateway.relay import FeedRequest
from monsoontack.gateway.rollouts import decode_evidence
from monsoontack.gateway.sse import EventSplitter, EventTooLongError, parse_events
from monsoontack.generation.continuation import ForeignAnswerError
from monsoontack.inbound.memoryguard import MemoryGuard
from monsoontack.inbound.server import InboundServer
from monsoontack.loadview.exchange import LoadExchange
from monsoontack.rollout.evidence import Counts
from monsoontack.store.api import KindObject
from standins.gatewayfakes import FakeTransport
from standins.mutations import (
    DETERMINISTIC_SETTINGS,
    JSON_VALUES,
    mutated_bytes,
    mutated_json,
)
from standins.oddentries import ODD_VALUES

REQUESTS = (
    b"GET /a?b=1 HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n",
    b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody",
    b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\nbody\r\n0\r\nX-T: 1\r\n\r\n",
)
RESPONSES = (
    b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 4\r\n\r\nbody",
    b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4;x=1\r\nbody\r\n0\r\nX-T: 1\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nX-Id: r1\r\n"
    b"Content-Length: 0\r\n\r\n",
)
FEED_HEADERS = ((REVISION_HEADER, b"9"), (AGE_HEADER, b"0.0"))
LOAD_MESSAGE = {
    "name": "e2",
    "full": True,
    "first": True,
    "engines": {"i1": [1, 2, 3]},
    "prompts": {"p": "i1"},
    "failed": ["i2"],
}
EVIDENCE_REPORT = {
    "uid": "u",
    "phase": "canary",
    "old_open": 2,
    "new_open": 0,
    "counts": [["s", "v2", "r", asdict(Counts(3, 1))]],
}


class CallersTest(unittest.TestCase):
    @DETERMINISTIC_SETTINGS
    @given(mutated_bytes(*REQUESTS))
    def test_any_request_is_parsed_or_refused(self, data):
        """Guards against bytes of a caller that affect more than its connection."""

        async def scenario():
            seen = []

            async def handle(raw, responder):
                seen.append(raw)
                responder.send(200, (), b"ok")

            limits = CallerLimits(1000, 5000, 3.0, 15.0)
            server = InboundServer(handle, lambda: limits, MemoryGuard(10**6))
            connection = server.make_connection()
            connection.connection_made(FakeTransport())
            for start in range(0, len(data), 7):
                if not connection.transport.closed:
                    connection.data_received(data[start : start + 7])
            await asyncio.sleep(20.0)
            connection.connection_lost(None)
            return seen, server

        seen, server = run_in_virtual_time(scenario())
        self.assertEqual(0, server.memory.account.used_bytes)
        for raw in seen:
            self.assertEqual(1, sum(name == b"host" for name, _ in raw.headers))


class ServersTest(unittest.TestCase):
    @DETERMINISTIC_SETTINGS
    @given(mutated_bytes(*RESPONSES))
    def test_any_response_ends_only_its_exchange(self, data):
        """Guards against bytes of a server that affect more than its connection."""

        async def scenario():
            connection = OutboundConnection(
                lambda headers: dict(headers).get(b"x-id", b"").decode("latin-1"),
                lambda freed: None,
            )
            connection.connection_made(FakeTransport())
            exchange = HttpExchange("r1")
            connection.start(exchange, b"GET / HTTP/1.1\r\n\r\n")
            for start in range(0, len(data), 7):
                if not connection.transport.closed:
                    connection.data_received(data[start : start + 7])
            connection.eof_received()
            connection.connection_lost(None)
            return exchange

        exchange = run_in_virtual_time(scenario())
        self.assertTrue(exchange.is_finished)
        self.assertLessEqual(len(exchange.take_body()), len(data))

    @DETERMINISTIC_SETTINGS
    @given(mutated_bytes(b"id: 1\ndata: a\n\n: c\n\nid: 2\r\ndata: b\r\n\r\n"))
    def test_any_stream_loses_no_byte(self, data):
        """Guards against an event that is lost, duplicated or changed."""
        splitter, whole = EventSplitter(), b""
        try:
            for start in range(0, len(data), 5):
                whole += splitter.feed(data[start : start + 5])
        except EventTooLongError:
            self.fail("a short stream was too long")
        self.assertEqual(data, whole + splitter.buffer)
        try:
            events = parse_events(whole)
        except ForeignAnswerError:
            return
        self.assertEqual(whole, b"".join(event.data for event in events))


class PeersTest(unittest.TestCase):
    @DETERMINISTIC_SETTINGS
    @given(mutated_json([["a", 1, {}, None], ["b", 2, None, {}]]), mutated_bytes(b"9"))
    def test_any_list_of_a_peer_is_decoded_or_rejected(self, rows, revision):
        """Guards against a response of a peer that stops a feed."""
        headers = ((REVISION_HEADER, revision), (AGE_HEADER, b"-0.5"))
        body = json.dumps(rows).encode()
        for decode in (decode_list, decode_changes):
            try:
                decode(PeerResponse(200, body, headers))
            except CodecError:
                continue

    @DETERMINISTIC_SETTINGS
    @given(mutated_bytes(b'[[false,["a",1,{},null]]]'))
    def test_any_bytes_of_a_peer_are_decoded_or_rejected(self, body):
        """Guards against bytes of a peer that stop a feed."""
        for decode in (decode_list, decode_changes):
            try:
                decode(PeerResponse(200, body, FEED_HEADERS))
            except CodecError:
                continue

    def test_any_odd_value_of_a_peer_is_decoded_or_rejected(self):
        """Guards against a value of a peer that ends a feed, or that this entry relays
        although it can't be encoded.
        """
        for raw in ODD_VALUES.values():
            for row in (b'"a",1,%b,null', b'"a",%b,1,1', b"%b,1,1,1"):
                content = row % raw
                for body, decode in (
                    (b"[[%b]]" % content, decode_list),
                    (b"[[false,[%b]]]" % content, decode_changes),
                ):
                    with self.subTest(body[:60]):
                        try:
                            found = decode(PeerResponse(200, body, FEED_HEADERS))
                        except CodecError:
                            continue
                        msgspec.json.encode(found)

    def test_odd_headers_of_a_peer_are_rejected(self):
        """Guards against a revision that no later one of the store exceeds."""
        for revision in (b"-1", b"9" * 30, b"9" * 5000, b"1e400", b"x", b""):
            headers = ((REVISION_HEADER, revision), (AGE_HEADER, b"0.0"))
            with self.subTest(revision[:40]), self.assertRaises(CodecError):
                decode_list(PeerResponse(200, b"[]", headers))

    def test_odd_waits_of_a_peer_are_bounded(self):
        """Guards against a number in a request target that raises while it is read."""
        for wait_ms in (b"-5", b"9" * 400):
            request = FeedRequest.from_target(b"/feeds/config?wait_ms=" + wait_ms)
            self.assertTrue(0.0 <= request.wait_s <= 30.0)

    @DETERMINISTIC_SETTINGS
    @given(mutated_bytes(b"/feeds/config?after=5&wait_ms=100&hold=1"))
    def test_any_feed_request_of_a_peer_is_parsed_or_refused(self, target):
        """Guards against a request target that causes an unexpected exception."""
        try:
            request = FeedRequest.from_target(target)
        except ValueError:
            return
        self.assertLessEqual(0.0, request.wait_s)

    @DETERMINISTIC_SETTINGS
    @given(mutated_json(LOAD_MESSAGE))
    def test_any_load_message_of_a_peer_is_applied_or_refused(self, document):
        """Guards against load messages that raise or that corrupt the stored loads."""

        statuses, _ = answer_load_message(json.dumps(document).encode())
        self.assertEqual(1, len(statuses))

    def test_any_odd_value_in_a_load_message_is_refused(self):
        """Guards against a number of a peer that no load can be computed with, and
        against a message that isn't answered.
        """
        places = (
            b'{"name":%b,"full":true,"engines":{}}',
            b'{"name":"e2","full":true,"engines":{"i1":[%b,0,0]}}',
            b'{"name":"e2","full":true,"engines":{},"prompts":{"p":%b}}',
            b'{"name":"e2","full":true,"engines":{},"failed":[%b]}',
            b'{"name":"e2","full":true,"engines":%b}',
        )
        for raw in ODD_VALUES.values():
            for place in places:
                with self.subTest(place, raw=raw[:40]):
                    statuses, totals = answer_load_message(place % raw)
                    self.assertIn(statuses, ([200], [400]))
                    for usage in totals.values():
                        self.assertGreaterEqual(usage.runs / 2, 0.0)

    def test_any_odd_value_in_a_message_of_an_entry_is_decoded_or_rejected(self):
        """Guards against a message of an entry that isn't answered, and against names
        that can't be encoded.
        """
        head = b'{"name":"e","boot":"b","number":1,"since":0,"seen":["x",0]'
        places = (
            b'"news":{"k":[1,%b]}',
            b'"news":{},"name":%b',
            b'"news":{},"parts":{"p":[%b,1]}',
            b'"news":{},"report":[true,3,{"k":%b}]',
            b'"news":{},"report":[true,%b,{"k":1}]',
            b'"news":{},"grant":[{"k":[%b]},{"k":1}]',
            b'"news":{},"grant":[{"k":[1]},{"k":%b}]',
            b'"news":{},"crashes":{"s":[%b,[]]}',
            b'"news":{},"crashes":{"s":[1,[["a",[%b]]]]}',
        )
        for raw in (*ODD_VALUES.values(), b"1" + b"0" * 400):
            for place in places:
                with self.subTest(place, raw=raw[:40]):
                    try:
                        message = decode_message(head + b"," + place % raw + b"}")
                    except ValueError:
                        continue
                    json.dumps(asdict(message.crashes), ensure_ascii=False).encode()
                    decode_message(encode_message(message))

    @DETERMINISTIC_SETTINGS
    @given(mutated_json(EVIDENCE_REPORT), JSON_VALUES)
    def test_any_evidence_is_decoded_or_ignored(self, report, other):
        """Guards against evidence that stops the evaluation of rollout orders."""
        objects = [KindObject("a", 1, report, None), KindObject("b", 1, other, None)]
        for found in decode_evidence(tuple(objects), "u").values():
            for counts in found.counts.values():
                self.assertTrue(counts.is_valid())


def answer_load_message(body):
    """Return the statuses that a load message gets, and the loads after it."""

    async def scenario():
        load_exchange, statuses = LoadExchange("e1", peer_pool()), []

        class RecordingResponder:
            def send(self, status, headers, body=b""):
                statuses.append(status)

        raw = RawRequest(b"POST", b"/load", (), body, True, 0.0)
        await load_exchange.handle(raw, RecordingResponder())
        return statuses, load_exchange.peer_loads.totals(0.0)

    return run_in_virtual_time(scenario())


if __name__ == "__main__":
    unittest.main()
