"""Tests of answers on connections to backend servers, without a network."""

import asyncio
import unittest

from monsoontack.core.pausedloop import run_paused
from monsoontack.gateway.outbound import Connection, Exchange, FailureKind
from monsoontack.gateway.pool import ConnectionPool
from standins.gatewayparts import FakeTransport


def answer_id(headers):
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
        connection = Connection(answer_id, freed.append)
        connection.connection_made(FakeTransport())
        exchange = Exchange(request_id)
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
        self.assertTrue(exchange.ended)
        self.assertEqual(b"ok", exchange.take())
        self.assertEqual(1, len(freed))

    def test_answer_of_another_request_is_skipped(self):
        """Guards against a late answer that reaches the wrong caller."""
        _, exchange, freed = play(head("old") + b"xx" + head("r1") + b"ok")
        self.assertEqual(b"ok", exchange.take())
        self.assertTrue(exchange.ended)
        self.assertEqual([], freed)

    def test_extra_answer_in_the_same_read_ends_the_connection(self):
        """Guards against bytes of an extra answer before the next one."""
        connection, exchange, freed = play(head("r1") + b"ok" + head("r1") + b"no")
        self.assertEqual(b"ok", exchange.take())
        self.assertEqual([], freed)
        self.assertTrue(connection.transport.closed)

    def test_part_of_an_extra_answer_ends_the_connection(self):
        """Guards against a few stray bytes that garble the next answer."""
        _, exchange, freed = play(head("r1") + b"ok" + b"HT")
        self.assertTrue(exchange.ended)
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
        self.assertTrue(exchange.failure.sent)

    def test_answer_without_length_ends_with_a_clean_close(self):
        """Guards against a whole answer without a length taken for a broken one."""
        parts = (b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n", b"body")
        _, exchange, freed = play(*parts, eof=True)
        self.assertTrue(exchange.ended)
        self.assertEqual(b"body", exchange.take())
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
        exchange.take()
        self.assertTrue(connection.transport.reading)

    def test_abort_resets_the_connection(self):
        """Guards against an engine that goes on with a run given up."""
        connection, exchange, _ = play(head("r1", 10))
        exchange.abort()
        self.assertTrue(connection.transport.aborted)


class PoolTest(unittest.TestCase):
    def test_connection_is_dropped_before_the_servers_idle_timeout(self):
        """Guards against a call sent into a connection that the server closes."""

        async def scenario():
            pool = ConnectionPool(answer_id, lambda headers: 2.0)
            connection = Connection(answer_id, lambda c: None)
            connection.connection_made(FakeTransport())
            pool.keep(("a", "i"), connection)
            await asyncio.sleep(1.5)
            return pool.take_idle("a", "i"), connection

        found, connection = run_paused(scenario())
        self.assertIsNone(found)
        self.assertTrue(connection.transport.closed)

    def test_incarnations_do_not_share_connections(self):
        """Guards against requests sent to a successor at the same address."""

        async def scenario():
            pool = ConnectionPool(answer_id, lambda headers: 5.0)
            connection = Connection(answer_id, lambda c: None)
            connection.connection_made(FakeTransport())
            pool.keep(("a", "i1"), connection)
            return pool.take_idle("a", "i2"), pool.take_idle("a", "i1")

        other, same = run_paused(scenario())
        self.assertIsNone(other)
        self.assertIsNotNone(same)


if __name__ == "__main__":
    unittest.main()
