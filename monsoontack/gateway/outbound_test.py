"""Tests of connections to backend servers and their pool, without a network."""

import asyncio
import socket
import unittest
from unittest import mock

from monsoontack.core.boundedid import MAX_ID_CHARACTERS
from monsoontack.core.sentids import MAX_FAILED
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.outbound import (
    FailureKind,
    HttpExchange,
    OutboundConnection,
)
from monsoontack.gateway.pool import ConnectionPool
from standins.gatewayfakes import FakeTransport


def response_request_id(headers):
    return next((v.decode() for n, v in headers if n == b"x-id"), None)


def encode_head(request_id, length=2, status=200):
    return b"HTTP/1.1 %d OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n" % (
        status,
        request_id.encode(),
        length,
    )


def run_exchange(*parts, request_id="r1", eof=False, reset=False, second=()):
    """Feed a response in parts; return connection, exchange and freed connections."""

    async def scenario():
        freed = []
        connection = OutboundConnection(response_request_id, freed.append)
        connection.connection_made(FakeTransport())
        exchange = HttpExchange(request_id)
        connection.start(exchange, b"GET / HTTP/1.1\r\n\r\n")
        for part in parts:
            connection.data_received(part)
        if eof:
            connection.eof_received()
            connection.connection_lost(None)
        if reset:
            connection.connection_lost(ConnectionResetError("reset"))
        await asyncio.sleep(0)
        for part in second:
            connection.data_received(part)
        return connection, exchange, freed

    return run_in_virtual_time(scenario())


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):
    """Servers that do not read a request for some time."""

    async def send(self, request, left_s):
        """Send to a server that reads nothing for 1.5 s; return the exchange."""

        async def serve(reader, writer):
            await asyncio.sleep(1.5)
            await reader.readexactly(len(request))
            writer.write(encode_head("r1") + b"ok")
            await writer.drain()
            writer.close()

        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        listening.bind(("127.0.0.1", 0))
        server = await asyncio.start_server(serve, sock=listening)
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: OutboundConnection(response_request_id, lambda c: None),
            *listening.getsockname(),
        )
        exchange = HttpExchange("r1")
        exchange.left_s = left_s
        connection.start(exchange, request)
        until = loop.time() + 4.0
        while not exchange.is_finished and loop.time() < until:
            await exchange.wait(until - loop.time())
        connection.abort()
        server.close()
        return exchange

    async def test_server_that_reads_a_long_request_late_is_waited_for(self):
        """Guards against a request that is broken off before its deadline because the
        server reads nothing of it for longer than a dead peer is waited for."""
        with mock.patch("monsoontack.gateway.deadpeer.TCP_USER_TIMEOUT_MS", 300):
            exchange = await self.send(b"x" * 1_000_000, left_s=4.0)
        self.assertIsNone(exchange.failure)
        self.assertEqual(b"ok", exchange.take_body())


class ResponseTest(unittest.TestCase):
    def test_complete_response_frees_the_connection(self):
        """Guards against a new connection for each request."""
        _, exchange, freed = run_exchange(encode_head("r1"), b"o", b"k")
        self.assertTrue(exchange.is_complete)
        self.assertEqual(b"ok", exchange.take_body())
        self.assertEqual(1, len(freed))

    def test_response_to_another_request_is_skipped(self):
        """Guards against a late response that reaches the wrong caller."""
        _, exchange, freed = run_exchange(
            encode_head("old") + b"xx" + encode_head("r1") + b"ok"
        )
        self.assertEqual(b"ok", exchange.take_body())
        self.assertTrue(exchange.is_complete)
        self.assertEqual([], freed)

    def test_response_without_an_id_after_one_to_another_request(self):
        """Guards against a refusal of another request, without its id, that is taken
        for the response to the first request of a connection."""
        refusal = b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
        connection, exchange, _ = run_exchange(encode_head("old") + b"xx" + refusal)
        self.assertFalse(exchange.has_head)
        self.assertEqual(FailureKind.FOREIGN, exchange.failure.kind)
        self.assertTrue(exchange.failure.maybe_sent)
        self.assertTrue(connection.transport.aborted)

    def test_connection_is_not_reused_after_a_response_without_an_id(self):
        """Guards against a call that ran and ends with an error, since its response has
        no id either and another request was on the connection before."""
        response = b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok"
        _, exchange, freed = run_exchange(response)
        self.assertTrue(exchange.is_complete)
        self.assertEqual([], freed)

    def test_change_of_the_protocol_is_a_failure(self):
        """Guards against an exception in the event loop, and against a server that
        counts as crashed because it answered 101."""
        head = b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"
        connection, exchange, _ = run_exchange(head)
        self.assertEqual(FailureKind.MALFORMED, exchange.failure.kind)
        self.assertTrue(connection.transport.aborted)

    def test_extra_response_in_the_same_read_ends_the_connection(self):
        """Guards against an extra response that is taken for the next one."""
        connection, exchange, freed = run_exchange(
            encode_head("r1") + b"ok" + encode_head("r1") + b"no"
        )
        self.assertEqual(b"ok", exchange.take_body())
        self.assertEqual([], freed)
        self.assertTrue(connection.transport.closed)

    def test_partial_extra_response_ends_the_connection(self):
        """Guards against a few stray bytes that corrupt the next response."""
        _, exchange, freed = run_exchange(encode_head("r1") + b"ok" + b"HT")
        self.assertTrue(exchange.is_complete)
        self.assertEqual([], freed)

    def test_bytes_while_idle_end_the_connection(self):
        """Guards against a response that arrives after its connection was freed."""
        connection, _, freed = run_exchange(
            encode_head("r1") + b"ok", second=(encode_head("r1"),)
        )
        self.assertEqual(1, len(freed))
        self.assertTrue(connection.transport.aborted)
        self.assertFalse(connection.is_open)

    def test_body_of_declared_length_is_whole_at_its_last_byte(self):
        """Guards against an answer that counts as broken off, because its server ends
        or resets the connection right after the last byte."""
        for ends in ({"eof": True}, {"reset": True}):
            for parts in ((b"ok",), (b"o", b"k"), (b"ok\x00",)):
                _, exchange, freed = run_exchange(encode_head("r1"), *parts, **ends)
                self.assertTrue(exchange.is_complete)
                self.assertIsNone(exchange.failure)
                self.assertEqual(b"ok", exchange.take_body())
                self.assertEqual([], freed)
            _, exchange, _ = run_exchange(encode_head("r1"), b"o", **ends)
            self.assertIsNotNone(exchange.failure)

    def test_truncated_response_is_a_failure(self):
        """Guards against a truncated response that counts as complete."""
        _, exchange, _ = run_exchange(encode_head("r1", 10), b"half", eof=True)
        self.assertEqual(FailureKind.CLOSED, exchange.failure.kind)
        self.assertTrue(exchange.failure.maybe_sent)

    def test_close_delimited_response_is_complete_at_a_clean_close(self):
        """Guards against a complete response without a length that counts as failed."""
        parts = (b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n", b"body")
        _, exchange, freed = run_exchange(*parts, eof=True)
        self.assertTrue(exchange.is_complete)
        self.assertEqual(b"body", exchange.take_body())
        self.assertEqual([], freed)

    def test_close_delimited_response_fails_at_a_reset(self):
        """Guards against a truncated response without a length that looks complete."""
        parts = (b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n", b"bo")
        _, exchange, _ = run_exchange(*parts, reset=True)
        self.assertEqual(FailureKind.RESET, exchange.failure.kind)

    def test_status_that_does_not_exist_is_a_failure(self):
        """Guards against a status of a broken server that callers get as its answer, or
        for which they wait until their deadline."""
        for status in (b"000", b"001", b"099", b"600", b"999"):
            with self.subTest(status):
                answer = (encode_head("r1") + b"ok").replace(b"200", status)
                connection, exchange, freed = run_exchange(answer)
                self.assertEqual(FailureKind.MALFORMED, exchange.failure.kind)
                self.assertFalse(exchange.is_complete)
                self.assertEqual([], freed)
                self.assertTrue(connection.transport.aborted)

    def test_response_that_ends_in_its_head_is_a_failure(self):
        """Guards against a success with an empty body, made of a head that stops at any
        byte, whatever the framing that it has told by then."""
        status = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Type: text/event-stream\r\n"
        framings = b"Content-Length: 12\r\n", b"Transfer-Encoding: chunked\r\n", b""
        for framing in framings:
            head = status + framing + b"\r\n"
            for size in range(len(head)):
                for end in ({"eof": True}, {"reset": True}):
                    _, exchange, freed = run_exchange(head[:size], **end)
                    with self.subTest(head[:size], **end):
                        self.assertFalse(exchange.has_head)
                        self.assertIsNotNone(exchange.failure)
                        self.assertTrue(exchange.failure.maybe_sent)
                        self.assertEqual([], freed)

    def test_malformed_response_is_a_failure(self):
        """Guards against malformed bytes that are forwarded to a caller."""
        connection, exchange, _ = run_exchange(b"\x00\x01garbage\r\n\r\n")
        self.assertEqual(FailureKind.MALFORMED, exchange.failure.kind)
        self.assertTrue(connection.transport.aborted)

    def test_slow_reader_pauses_the_server(self):
        """Guards against unbounded memory use by a response that nobody reads."""
        connection, exchange, _ = run_exchange(encode_head("r1", 10**6), b"x" * 100_000)
        self.assertFalse(connection.transport.reading)
        exchange.take_body()
        self.assertTrue(connection.transport.reading)

    def test_abort_resets_the_connection(self):
        """Guards against an engine that continues an abandoned run."""
        connection, exchange, _ = run_exchange(encode_head("r1", 10))
        exchange.abort()
        self.assertTrue(connection.transport.aborted)


CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
FILLER_LINE = b"X-Filler: " + b"y" * 1000 + b"\r\n"


class EndlessResponseTest(unittest.TestCase):
    """Responses whose head, framing or skipped parts do not end."""

    def assert_exchange_fails(self, *parts, repeated, times=500):
        """Feed parts, then repeat one part; the exchange must fail early."""

        async def scenario():
            connection = OutboundConnection(response_request_id, lambda c: None)
            connection.connection_made(FakeTransport())
            exchange = HttpExchange("r1")
            connection.start(exchange, b"GET / HTTP/1.1\r\n\r\n")
            for part in parts:
                connection.data_received(part)
            fed = 0
            while not connection.transport.aborted and fed < times:
                connection.data_received(repeated)
                fed += 1
            return connection, exchange, fed

        connection, exchange, fed = run_in_virtual_time(scenario())
        self.assertLess(fed, times)
        self.assertEqual(FailureKind.OVERSIZED, exchange.failure.kind)
        self.assertIn("above", exchange.failure.detail)
        self.assertFalse(connection.is_open)

    def test_endless_header_lines(self):
        """Guards against unbounded memory use by a head that never ends."""
        self.assert_exchange_fails(b"HTTP/1.1 200 OK\r\n", repeated=FILLER_LINE)

    def test_endless_header_line(self):
        """Guards against a single line that exhausts the memory of a small VM."""
        self.assert_exchange_fails(b"HTTP/1.1 200 OK\r\nX: ", repeated=b"y" * 1000)

    def test_oversized_head_in_one_read(self):
        """Guards against a large head that passes because it arrives in one read."""
        head_lines = FILLER_LINE * 70 + b"Content-Length: 2\r\n\r\nok"
        self.assert_exchange_fails(
            repeated=b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n" + head_lines
        )

    def test_endless_trailers(self):
        """Guards against trailers that never end after a complete body."""
        self.assert_exchange_fails(
            CHUNKED_HEAD + b"2\r\nok\r\n0\r\n", repeated=FILLER_LINE
        )

    def test_endless_chunk_extension(self):
        """Guards against a chunk size line that never ends."""
        self.assert_exchange_fails(CHUNKED_HEAD + b"2;x=", repeated=b"y" * 1000)

    def test_endless_body_of_a_skipped_response(self):
        """Guards against a response to another request that is read to the deadline."""
        self.assert_exchange_fails(encode_head("other", 10**9), repeated=b"y" * 1000)

    def test_endless_interim_responses(self):
        """Guards against a server that sends 100 Continue forever."""

        async def scenario():
            connection = OutboundConnection(response_request_id, lambda c: None)
            connection.connection_made(FakeTransport())
            exchange = HttpExchange("r1")
            connection.start(exchange, b"GET / HTTP/1.1\r\n\r\n")
            for _ in range(100):
                if not connection.transport.aborted:
                    connection.data_received(b"HTTP/1.1 100 Continue\r\n\r\n")
            return exchange

        exchange = run_in_virtual_time(scenario())
        self.assertEqual(FailureKind.OVERSIZED, exchange.failure.kind)

    def test_long_body_is_accepted(self):
        """Guards against limits that reject a valid response of many chunks."""
        chunks = [b"1\r\ny\r\n"] * 40_000
        _, exchange, freed = run_exchange(CHUNKED_HEAD, *chunks, b"0\r\n\r\n")
        self.assertTrue(exchange.is_complete)
        self.assertEqual(40_000, len(exchange.take_body()))
        self.assertEqual(1, len(freed))


class TrailerTest(unittest.TestCase):
    def test_trailers_are_not_merged_into_the_next_response(self):
        """Guards against trailers that become headers of the next response."""

        async def scenario():
            connection = OutboundConnection(response_request_id, lambda c: None)
            connection.connection_made(FakeTransport())
            first, second = HttpExchange("r1"), HttpExchange("r2")
            connection.start(first, b"GET / HTTP/1.1\r\n\r\n")
            trailers = b"2\r\nok\r\n0\r\nX-Id: r9\r\nX-Mark: a\r\n\r\n"
            connection.data_received(CHUNKED_HEAD + trailers)
            await asyncio.sleep(0)
            connection.start(second, b"GET / HTTP/1.1\r\n\r\n")
            connection.data_received(encode_head("r2") + b"no")
            return first, second

        first, second = run_in_virtual_time(scenario())
        self.assertEqual(b"ok", first.take_body())
        self.assertIsNone(second.failure)
        self.assertEqual(b"no", second.take_body())
        self.assertNotIn(b"x-mark", dict(second.headers))


class PoolTest(unittest.TestCase):
    def test_connection_is_dropped_before_the_servers_idle_timeout(self):
        """Guards against a call sent on a connection that the server is closing."""

        async def scenario():
            pool = ConnectionPool(response_request_id, lambda headers: 2.0)
            connection = OutboundConnection(response_request_id, lambda c: None)
            connection.connection_made(FakeTransport())
            pool.release(("a", "i"), connection)
            await asyncio.sleep(1.5)
            return pool.take_idle("a", "i"), connection

        found, connection = run_in_virtual_time(scenario())
        self.assertIsNone(found)
        self.assertTrue(connection.transport.closed)

    def test_retried_request_gets_another_connection(self):
        """Guards against a late copy of the first response (not run, retry later) that
        is taken for the response to the second send of the same request."""

        async def scenario():
            pool = ConnectionPool(response_request_id, lambda headers: 5.0)
            connection = OutboundConnection(
                response_request_id, lambda c: pool.release(("a", "i"), c)
            )
            connection.connection_made(FakeTransport())
            connection.start(HttpExchange("r1"), b"GET / HTTP/1.1\r\n\r\n")
            connection.data_received(encode_head("r1", status=503) + b"no")
            await asyncio.sleep(0)
            same = pool.take_idle("a", "i", "r1")
            other = pool.take_idle("a", "i", "r2")
            return connection, same, other

        connection, same, other = run_in_virtual_time(scenario())
        self.assertIsNone(same)
        self.assertIs(connection, other)

    def test_refused_request_never_gets_its_connection_again(self):
        """Guards against a copy of an old refusal that is taken for the response to the
        same request once the connection has carried many others."""
        for others in (0, 20, 200):
            with self.subTest(others=others):
                _, same = self.exchange_after_refusal(others)
                self.assertIsNone(same)

    def test_connection_with_many_refusals_is_not_reused(self):
        """Guards against a refused request that a connection has forgotten."""
        connection, found = self.exchange_after_refusal(0, MAX_FAILED)
        self.assertIsNone(found)
        self.assertTrue(connection.transport.closed)

    def exchange_after_refusal(self, others, refusals=1):
        """Refuse requests r0, r1 and so on, serve others, and take a connection for r0
        if one was refused, else for a new request."""

        async def scenario():
            pool = ConnectionPool(response_request_id, lambda headers: 5.0)
            connection = OutboundConnection(
                response_request_id, lambda c: pool.release(("a", "i"), c)
            )
            connection.connection_made(FakeTransport())
            statuses = [503] * refusals + [200] * others
            for number, status in enumerate(statuses):
                pool.take_idle("a", "i")
                name = f"r{number}"
                connection.start(HttpExchange(name), b"GET / HTTP/1.1\r\n\r\n")
                connection.data_received(encode_head(name, status=status) + b"no")
                await asyncio.sleep(0)
            wanted = "r0" if refusals == 1 else "new"
            return connection, pool.take_idle("a", "i", wanted)

        return run_in_virtual_time(scenario())

    def test_incarnations_do_not_share_connections(self):
        """Guards against a request sent to a later incarnation at the same address."""

        async def scenario():
            pool = ConnectionPool(response_request_id, lambda headers: 5.0)
            connection = OutboundConnection(response_request_id, lambda c: None)
            connection.connection_made(FakeTransport())
            pool.release(("a", "i1"), connection)
            return pool.take_idle("a", "i2"), pool.take_idle("a", "i1")

        other, same = run_in_virtual_time(scenario())
        self.assertIsNone(other)
        self.assertIsNotNone(same)


class RememberedIdsTest(unittest.IsolatedAsyncioTestCase):
    async def test_ids_kept_of_requests_are_bounded(self):
        """Guards against connections to servers that fill the memory with the request
        ids of callers, who choose their length."""
        connection = OutboundConnection(response_request_id, lambda free: None)
        connection.connection_made(FakeTransport())
        sent = [f"{number:x}" + "i" * 16_000 for number in range(20)]
        for request_id in sent:
            connection.start(HttpExchange(request_id), b"")
            connection.exchange = None
        connection.start(HttpExchange(None), b"")
        kept = [*connection.sent_ids.recent, *connection.sent_ids.failed]
        size = sum(len(item or "") for item in kept)
        self.assertLessEqual(size, 16 * MAX_ID_CHARACTERS)
        self.assertTrue(connection.has_recently_sent(sent[-1]))
        self.assertFalse(connection.has_recently_sent(sent[-1] + "i"))
        self.assertFalse(connection.has_recently_sent(None))


if __name__ == "__main__":
    unittest.main()
