"""Tests of answers on connections to backend servers, without a network."""

import asyncio
import unittest

from monsoontack.core.pausedloop import run_paused
from monsoontack.gateway.outbound import Connection, FailureKind, HttpExchange
from monsoontack.gateway.pool import ConnectionPool
from standins.gatewayparts import FakeTransport


def response_request_id(headers):
    return next((v.decode() for n, v in headers if n == b"x-id"), None)


def head(request_id, length=2, status=200):
    return b"HTTP/1.1 %d OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n" % (
        status,
        request_id.encode(),
        length,
    )


def play(*parts, request_id="r1", eof=False, reset=False, second=()):
    """Feed an answer in parts; return connection, exchange and freed connections."""

    async def scenario():
        freed = []
        connection = Connection(response_request_id, freed.append)
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

    return run_paused(scenario())


class AnswerTest(unittest.TestCase):
    def test_whole_answer_frees_the_connection(self):
        """Guards against connections that are opened anew for each request."""
        _, exchange, freed = play(head("r1"), b"o", b"k")
        self.assertTrue(exchange.is_complete)
        self.assertEqual(b"ok", exchange.take_body())
        self.assertEqual(1, len(freed))

    def test_answer_of_another_request_is_skipped(self):
        """Guards against a late answer that reaches the wrong caller."""
        _, exchange, freed = play(head("old") + b"xx" + head("r1") + b"ok")
        self.assertEqual(b"ok", exchange.take_body())
        self.assertTrue(exchange.is_complete)
        self.assertEqual([], freed)

    def test_extra_answer_in_the_same_read_ends_the_connection(self):
        """Guards against bytes of an extra answer before the next one."""
        connection, exchange, freed = play(head("r1") + b"ok" + head("r1") + b"no")
        self.assertEqual(b"ok", exchange.take_body())
        self.assertEqual([], freed)
        self.assertTrue(connection.transport.closed)

    def test_part_of_an_extra_answer_ends_the_connection(self):
        """Guards against a few stray bytes that garble the next answer."""
        _, exchange, freed = play(head("r1") + b"ok" + b"HT")
        self.assertTrue(exchange.is_complete)
        self.assertEqual([], freed)

    def test_bytes_while_idle_end_the_connection(self):
        """Guards against an answer that arrives after its connection was freed."""
        connection, _, freed = play(head("r1") + b"ok", second=(head("r1"),))
        self.assertEqual(1, len(freed))
        self.assertTrue(connection.transport.aborted)
        self.assertFalse(connection.is_open)

    def test_truncated_answer_is_a_failure(self):
        """Guards against half an answer that counts as whole."""
        _, exchange, _ = play(head("r1", 10), b"half", eof=True)
        self.assertEqual(FailureKind.CLOSED, exchange.failure.kind)
        self.assertTrue(exchange.failure.maybe_sent)

    def test_answer_without_length_ends_with_a_clean_close(self):
        """Guards against a whole answer without a length taken for a broken one."""
        parts = (b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n", b"body")
        _, exchange, freed = play(*parts, eof=True)
        self.assertTrue(exchange.is_complete)
        self.assertEqual(b"body", exchange.take_body())
        self.assertEqual([], freed)

    def test_answer_without_length_that_is_reset_is_a_failure(self):
        """Guards against a cut answer without a length that looks whole."""
        parts = (b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n", b"bo")
        _, exchange, _ = play(*parts, reset=True)
        self.assertEqual(FailureKind.RESET, exchange.failure.kind)

    def test_bytes_that_are_no_answer_are_a_failure(self):
        """Guards against garbage passed on to a caller."""
        connection, exchange, _ = play(b"\x00\x01garbage\r\n\r\n")
        self.assertEqual(FailureKind.MALFORMED, exchange.failure.kind)
        self.assertTrue(connection.transport.aborted)

    def test_slow_reader_pauses_the_server(self):
        """Guards against memory that grows with an answer nobody reads."""
        connection, exchange, _ = play(head("r1", 10**6), b"x" * 100_000)
        self.assertFalse(connection.transport.reading)
        exchange.take_body()
        self.assertTrue(connection.transport.reading)

    def test_abort_resets_the_connection(self):
        """Guards against an engine that goes on with a run given up."""
        connection, exchange, _ = play(head("r1", 10))
        exchange.abort()
        self.assertTrue(connection.transport.aborted)


CHUNKED = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
LINES = b"X-Filler: " + b"y" * 1000 + b"\r\n"


class EndlessAnswerTest(unittest.TestCase):
    """Bytes that are no answer and come until the caller closes."""

    def assert_ended(self, *parts, repeated, times=500):
        """Feed parts, then one part many times; the exchange must fail early."""

        async def scenario():
            connection = Connection(response_request_id, lambda c: None)
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

        connection, exchange, fed = run_paused(scenario())
        self.assertLess(fed, times)
        self.assertEqual(FailureKind.OVERSIZED, exchange.failure.kind)
        self.assertIn("above", exchange.failure.detail)
        self.assertFalse(connection.is_open)

    def test_header_lines_without_end(self):
        """Guards against memory that grows with a head that never ends."""
        self.assert_ended(b"HTTP/1.1 200 OK\r\n", repeated=LINES)

    def test_header_line_without_end(self):
        """Guards against one line that takes the memory of a small VM."""
        self.assert_ended(b"HTTP/1.1 200 OK\r\nX: ", repeated=b"y" * 1000)

    def test_head_in_one_read_above_the_bound(self):
        """Guards against a large head that slips through in one read."""
        head_lines = LINES * 70 + b"Content-Length: 2\r\n\r\nok"
        self.assert_ended(repeated=b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n" + head_lines)

    def test_trailers_without_end(self):
        """Guards against trailers that never end behind a whole body."""
        self.assert_ended(CHUNKED + b"2\r\nok\r\n0\r\n", repeated=LINES)

    def test_chunk_extension_without_end(self):
        """Guards against a chunk size line that never ends."""
        self.assert_ended(CHUNKED + b"2;x=", repeated=b"y" * 1000)

    def test_body_of_another_answer_without_end(self):
        """Guards against a foreign answer that is read until the deadline."""
        self.assert_ended(head("other", 10**9), repeated=b"y" * 1000)

    def test_interim_answers_without_end(self):
        """Guards against 100 Continue for ever."""

        async def scenario():
            connection = Connection(response_request_id, lambda c: None)
            connection.connection_made(FakeTransport())
            exchange = HttpExchange("r1")
            connection.start(exchange, b"GET / HTTP/1.1\r\n\r\n")
            for _ in range(100):
                if not connection.transport.aborted:
                    connection.data_received(b"HTTP/1.1 100 Continue\r\n\r\n")
            return exchange

        exchange = run_paused(scenario())
        self.assertEqual(FailureKind.OVERSIZED, exchange.failure.kind)

    def test_long_body_is_no_fault(self):
        """Guards against bounds that cut sound answers of many chunks."""
        chunks = [b"1\r\ny\r\n"] * 40_000
        _, exchange, freed = play(CHUNKED, *chunks, b"0\r\n\r\n")
        self.assertTrue(exchange.is_complete)
        self.assertEqual(40_000, len(exchange.take_body()))
        self.assertEqual(1, len(freed))


class TrailerTest(unittest.TestCase):
    def test_trailers_are_no_headers_of_the_next_answer(self):
        """Guards against an answer that gets the trailers of the one before."""

        async def scenario():
            connection = Connection(response_request_id, lambda c: None)
            connection.connection_made(FakeTransport())
            first, second = HttpExchange("r1"), HttpExchange("r2")
            connection.start(first, b"GET / HTTP/1.1\r\n\r\n")
            trailers = b"2\r\nok\r\n0\r\nX-Id: r9\r\nX-Mark: a\r\n\r\n"
            connection.data_received(CHUNKED + trailers)
            await asyncio.sleep(0)
            connection.start(second, b"GET / HTTP/1.1\r\n\r\n")
            connection.data_received(head("r2") + b"no")
            return first, second

        first, second = run_paused(scenario())
        self.assertEqual(b"ok", first.take_body())
        self.assertIsNone(second.failure)
        self.assertEqual(b"no", second.take_body())
        self.assertNotIn(b"x-mark", dict(second.headers))


class PoolTest(unittest.TestCase):
    def test_connection_is_dropped_before_the_servers_idle_timeout(self):
        """Guards against a call sent into a connection that the server closes."""

        async def scenario():
            pool = ConnectionPool(response_request_id, lambda headers: 2.0)
            connection = Connection(response_request_id, lambda c: None)
            connection.connection_made(FakeTransport())
            pool.release(("a", "i"), connection)
            await asyncio.sleep(1.5)
            return pool.take_idle("a", "i"), connection

        found, connection = run_paused(scenario())
        self.assertIsNone(found)
        self.assertTrue(connection.transport.closed)

    def test_request_that_is_sent_again_gets_another_connection(self):
        """Guards against a late copy of the first answer (not run, come back) that
        is taken for the answer to the second send of the same request."""

        async def scenario():
            pool = ConnectionPool(response_request_id, lambda headers: 5.0)
            connection = Connection(
                response_request_id, lambda c: pool.release(("a", "i"), c)
            )
            connection.connection_made(FakeTransport())
            connection.start(HttpExchange("r1"), b"GET / HTTP/1.1\r\n\r\n")
            connection.data_received(head("r1", status=503) + b"no")
            await asyncio.sleep(0)
            same = pool.take_idle("a", "i", "r1")
            other = pool.take_idle("a", "i", "r2")
            return connection, same, other

        connection, same, other = run_paused(scenario())
        self.assertIsNone(same)
        self.assertIs(connection, other)

    def test_incarnations_do_not_share_connections(self):
        """Guards against requests sent to a successor at the same address."""

        async def scenario():
            pool = ConnectionPool(response_request_id, lambda headers: 5.0)
            connection = Connection(response_request_id, lambda c: None)
            connection.connection_made(FakeTransport())
            pool.release(("a", "i1"), connection)
            return pool.take_idle("a", "i2"), pool.take_idle("a", "i1")

        other, same = run_paused(scenario())
        self.assertIsNone(other)
        self.assertIsNotNone(same)


if __name__ == "__main__":
    unittest.main()
