"""Tests of callers' connections without a network, on a simulated clock."""

import asyncio
import unittest

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.records import CallerLimits
from monsoontack.inbound.memoryguard import MemoryGuard
from monsoontack.inbound.responder import CallerDisconnectedError
from monsoontack.inbound.server import InboundServer
from standins.gatewayfakes import FakeTransport

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"
LIMITS = CallerLimits(1000, 5000, 3.0, 15.0)


class Harness:
    """A server with one connection; `seen` lists the requests passed to the handler."""

    def __init__(self, handler=None, budget=10**6, closing=False):
        self.seen = []
        self.handler = handler
        self.is_closing = closing
        self.server = InboundServer(
            self.handle,
            lambda: LIMITS,
            MemoryGuard(budget),
            closing=lambda: self.is_closing,
        )
        self.connection = self.connect()

    def connect(self):
        connection = self.server.make_connection()
        connection.connection_made(FakeTransport())
        return connection

    async def handle(self, raw, responder):
        self.seen.append(raw)
        if self.handler is not None:
            await self.handler(raw, responder)
        else:
            responder.send(200, (), b"ok")

    def written(self):
        return bytes(self.connection.transport.written)


def run_connection(*parts, wait_s=1.0, **options):
    """Feed parts to a new connection; return the harness after a pause."""

    async def scenario():
        harness = Harness(**options)
        for part in parts:
            harness.connection.data_received(part)
        await asyncio.sleep(wait_s)
        return harness

    return run_in_virtual_time(scenario())


CHUNKED_HEAD = POST + b"Transfer-Encoding: chunked\r\n\r\n"


class TrailerTest(unittest.TestCase):
    def test_trailers_are_not_merged_into_headers(self):
        """Guards against a header smuggled in as a trailer, after the head check."""
        parts = (CHUNKED_HEAD + b"2\r\nab\r\n0\r\nX-Account: other\r\n\r\n",)
        harness = run_connection(*parts)
        self.assertEqual(1, len(harness.seen))
        self.assertNotIn(b"x-account", dict(harness.seen[0].headers))

    def test_endless_trailers_and_chunk_extensions_are_refused(self):
        """Guards against unbounded memory use by the framing of one request."""
        line = b"X-Filler: " + b"y" * 1000 + b"\r\n"
        for start, part in ((b"0\r\n", line), (b"2;x=", b"y" * 1000)):
            harness = run_connection(CHUNKED_HEAD + start, *[part] * 200)
            self.assertEqual([], harness.seen)
            self.assertIn(b"HTTP/1.1 431", harness.written())


class GracefulShutdownTest(unittest.TestCase):
    def test_queued_request_is_answered(self):
        """Guards against a shutdown that drops a request queued behind another one."""

        async def slow(raw, responder):
            await asyncio.sleep(0.2)
            responder.send(200, (), b"ok")

        two = (GET + b"\r\n") * 2
        harness = run_connection(two, handler=slow, closing=True)
        self.assertEqual(2, harness.written().count(b"HTTP/1.1 200"))
        self.assertTrue(harness.connection.transport.closed)

    def test_partial_request_counts_as_active(self):
        """Guards against a drain that ends while a request is still being received."""
        harness = run_connection(POST + b"Content-Length: 4\r\n\r\nab", wait_s=0.1)
        self.assertTrue(harness.server.has_active_requests)

    def test_new_connection_is_not_closed_before_its_request(self):
        """Guards against a shutdown that resets new connections whose request is on
        its way, instead of refusing it."""

        async def scenario():
            harness = Harness(closing=True)
            harness.server.close_idle(0.3)
            self.assertFalse(harness.connection.transport.closed)
            harness.connection.data_received(GET + b"\r\n")
            await asyncio.sleep(0.1)
            self.assertIn(b"HTTP/1.1 200", harness.written())
            unused = harness.connect()
            await asyncio.sleep(0.3)
            harness.server.close_idle(0.3)
            self.assertTrue(unused.transport.closed)

        run_in_virtual_time(scenario())


class RequestTest(unittest.TestCase):
    def test_ambiguous_requests_are_refused(self):
        """Guards against request smuggling."""
        bad = {
            "length and chunks": POST
            + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "two lengths": POST + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
            "folded header": GET + b"X: a\r\n b\r\n\r\n",
            "space before the colon": GET + b"X : a\r\n\r\n",
            "bare line feed": GET + b"X: a\n\r\n",
            "control character": GET + b"X: a\x00b\r\n\r\n",
            "two hosts": GET + b"Host: other\r\n\r\n",
            "no host": b"GET /a HTTP/1.1\r\n\r\n",
            "other coding": POST + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            "signed length": POST + b"Content-Length: +3\r\n\r\nabc",
        }
        for name, data in bad.items():
            with self.subTest(name):
                harness = run_connection(data)
                self.assertEqual([], harness.seen)
                self.assertTrue(harness.written().startswith(b"HTTP/1.1 400"))
                self.assertTrue(harness.connection.transport.closed)

    def test_chunked_body_in_single_bytes_is_complete(self):
        """Guards against body bytes that are lost at the boundary between two reads."""
        data = (
            POST + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        harness = run_connection(*(data[i : i + 1] for i in range(len(data))))
        self.assertEqual([b"abcde"], [raw.body for raw in harness.seen])

    def test_pipelined_requests_are_answered_in_order(self):
        """Guards against responses in the wrong order on one connection."""

        async def slow_first(raw, responder):
            await asyncio.sleep(0.5 if raw.target == b"/1" else 0)
            responder.send(200, (), raw.target)

        requests = b"".join(
            b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" % n for n in (1, 2, 3)
        )
        text = run_connection(requests, handler=slow_first).written()
        self.assertLess(text.index(b"/1"), text.index(b"/2"))
        self.assertLess(text.index(b"/2"), text.index(b"/3"))

    def test_limits_on_heads_and_bodies(self):
        """Guards against callers that exhaust the memory."""
        long_head = GET + b"X: " + b"a" * 2000 + b"\r\n\r\n"
        self.assertIn(b" 431 ", run_connection(long_head).written())
        endless = GET + b"X: " + b"a" * 2000
        self.assertIn(b" 431 ", run_connection(endless).written())
        declared = POST + b"Content-Length: 6000\r\n\r\n"
        self.assertIn(b" 413 ", run_connection(declared).written())
        chunk = b"1000\r\n" + b"a" * 4096 + b"\r\n"
        chunked = POST + b"Transfer-Encoding: chunked\r\n\r\n" + 2 * chunk
        self.assertIn(b" 413 ", run_connection(chunked).written())

    def test_slow_head_is_refused_and_idle_connections_are_closed(self):
        """Guards against connections that stay open forever or close while in use."""
        self.assertIn(b" 408 ", run_connection(GET, wait_s=5.0).written())
        harness = run_connection(GET + b"\r\n", wait_s=13.0)
        self.assertFalse(harness.connection.transport.closed)
        harness = run_connection(GET + b"\r\n", wait_s=20.0)
        self.assertTrue(harness.connection.transport.closed)

    def test_bodies_of_all_connections_share_a_budget(self):
        """Guards against many large bodies that exhaust the process's memory."""

        async def scenario():
            harness = Harness(budget=3000)
            head = POST + b"Content-Length: 4000\r\n\r\n"
            first, second = harness.connection, harness.connect()
            first.data_received(head + b"a" * 2000)
            second.data_received(head + b"a" * 2000)
            paused = (first.transport.reading, second.transport.reading)
            first.connection_lost(None)
            await asyncio.sleep(0)
            return paused, second.transport.reading

        paused, after = run_in_virtual_time(scenario())
        self.assertEqual((True, False), paused)
        self.assertTrue(after)


class ResponseTest(unittest.TestCase):
    def test_handler_is_notified_of_a_disconnect(self):
        """Guards against engines that keep working for disconnected callers."""
        outcome = []

        async def stream(raw, responder):
            responder.begin(200, ())
            try:
                while True:
                    await responder.write(b"x")
                    await asyncio.sleep(0.1)
            except CallerDisconnectedError:
                outcome.append(asyncio.get_running_loop().time())

        async def scenario():
            harness = Harness(handler=stream)
            harness.connection.data_received(GET + b"\r\n")
            await asyncio.sleep(1.0)
            harness.connection.connection_lost(None)
            await asyncio.sleep(1.0)

        run_in_virtual_time(scenario())
        self.assertLess(outcome[0], 1.2)

    def test_slow_reader_pauses_its_stream(self):
        """Guards against unbounded memory use by a caller that does not read."""
        sent = []

        async def stream(raw, responder):
            responder.begin(200, ())
            for number in range(5):
                await responder.write(b"x")
                sent.append(number)
            responder.finish()

        async def scenario():
            harness = Harness(handler=stream)
            harness.connection.pause_writing()
            harness.connection.data_received(GET + b"\r\n")
            await asyncio.sleep(1.0)
            before = len(sent)
            harness.connection.resume_writing()
            await asyncio.sleep(1.0)
            return before

        self.assertEqual(0, run_in_virtual_time(scenario()))
        self.assertEqual(5, len(sent))

    def test_aborted_stream_has_no_final_chunk(self):
        """Guards against an incomplete response that looks complete."""

        async def stream(raw, responder):
            responder.begin(200, ())
            await responder.write(b"x")
            responder.abort()

        harness = run_connection(GET + b"\r\n", handler=stream)
        self.assertNotIn(b"0\r\n\r\n", harness.written())
        self.assertTrue(harness.connection.transport.aborted)

    def test_streamed_response_without_a_body_has_no_chunks(self):
        """Guards against bytes behind a response to HEAD or a 204, which the caller
        takes for the beginning of the next response."""

        def respond(status):
            async def handler(raw, responder):
                responder.begin(status, ((b"mark", b"m"),))
                await responder.write(b"")
                responder.finish()

            return handler

        for request, status in ((b"HEAD", 200), (b"POST", 204), (b"HEAD", 204)):
            with self.subTest(request=request, status=status):
                head = request + b" /a HTTP/1.1\r\nHost: h\r\n\r\n"
                harness = run_connection(head, head, handler=respond(status))
                responses = harness.written().split(b"\r\n\r\n")
                self.assertEqual(3, len(responses))
                self.assertEqual(b"", responses[-1])
                for response in responses[:-1]:
                    self.assertTrue(response.startswith(b"HTTP/1.1 %d" % status))
                    if status == 204:
                        self.assertNotIn(b"transfer-encoding", response)
                        self.assertNotIn(b"content-length", response)

    def test_failure_of_the_handler_closes_the_connection(self):
        """Guards against a caller that waits for a response that is never written."""

        async def broken(raw, responder):
            raise RuntimeError("fault of the test")

        async def scenario():
            asyncio.get_running_loop().set_exception_handler(lambda loop, c: None)
            harness = Harness(handler=broken)
            harness.connection.data_received(GET + b"\r\n")
            await asyncio.sleep(0.1)
            return harness

        self.assertTrue(run_in_virtual_time(scenario()).connection.transport.closed)

    def test_draining_entry_answers_and_closes(self):
        """Guards against callers that stay connected to a draining entry."""
        harness = run_connection(GET + b"\r\n", closing=True)
        self.assertIn(b"200 OK", harness.written())
        self.assertIn(b"connection: close", harness.written())
        self.assertTrue(harness.connection.transport.closed)

    def test_http10_response_is_not_chunked(self):
        """Guards against HTTP/1.0 callers that take chunk sizes for body data."""

        async def stream(raw, responder):
            responder.begin(200, ())
            await responder.write(b"hello")
            responder.finish()

        data = b"GET /a HTTP/1.0\r\nHost: h\r\n\r\n"
        text = run_connection(data, handler=stream).written()
        self.assertTrue(text.endswith(b"\r\n\r\nhello"))


if __name__ == "__main__":
    unittest.main()
