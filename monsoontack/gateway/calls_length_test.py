"""Calls whose answer states its length, and what the connection does behind it.

The answers come over a connection with a transport that records only; the clock is
paused, but for the test of a reset that comes while reading is paused.
"""

import asyncio
import socket
import struct
import unittest

from hypothesis import given
from hypothesis import strategies as st

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.callrun import MAX_BUFFERED_RESPONSE_BYTES
from monsoontack.gateway.calls_test import make_forwarder
from monsoontack.gateway.outbound import (
    READ_BUFFER_HIGH_BYTES,
    HttpExchange,
    OutboundConnection,
)
from monsoontack.gateway.records import RequestKind
from standins.gatewayfakes import FakeTransport, SlowResponder, make_job, make_route
from standins.mutations import DETERMINISTIC_SETTINGS

DEADLINE_S = 5.0
LENGTHS = (0, 1, 2, 1000, READ_BUFFER_HIGH_BYTES + 1, MAX_BUFFERED_RESPONSE_BYTES + 1)
OTHER_ANSWER = b"HTTP/1.1 500 E\r\nX-Id: id-1\r\nContent-Length: 1\r\n\r\nx"
# Bytes behind the last one of the body, in the same read or in one of their own.
EXTRA = (
    b"",
    b"\r\n",
    b"more",
    b"0\r\n\r\n",
    OTHER_ANSWER,
    OTHER_ANSWER[:30],
    b"\x00\xff" * 50,
)
ENDINGS = ("close", "half_close", "reset", "silence")


def make_body(length):
    return bytes(i % 251 for i in range(length))


def response_request_id(headers):
    return next((v.decode() for n, v in headers if n == b"x-id"), None)


def encode_answer(status, body, headers):
    lines = [
        b"HTTP/1.1 %d S" % status,
        b"X-Id: id-1",
        b"Content-Length: %d" % len(body),
    ]
    return b"\r\n".join([*lines, *headers]) + b"\r\n\r\n" + body


def end_connection(connection, ending):
    """Let the server end the connection, or fall silent."""
    if ending in ("close", "half_close"):
        connection.eof_received()
    if ending == "close":
        connection.connection_lost(None)
    if ending == "reset":
        connection.connection_lost(ConnectionResetError("reset"))


def answering(data, extra, is_same_read, ending, pause_s, read_size):
    """Return the script of a server that sends `data`, and then does as told."""

    async def play(exchange, attempt):
        connection = OutboundConnection(response_request_id, lambda free: None)
        connection.connection_made(FakeTransport())
        connection.start(exchange, b"")
        reads = [data[at : at + read_size] for at in range(0, len(data), read_size)]
        if is_same_read:
            reads[-1] += extra
        for read in reads:
            connection.data_received(read)
            # Everything between the last byte and the end happens without a pause.
            if read is not reads[-1] and len(reads) < 50:
                await asyncio.sleep(0.001)
        if pause_s:
            await asyncio.sleep(pause_s)
        if extra and not is_same_read and not connection.transport.closed:
            connection.data_received(extra)
        end_connection(connection, ending)
        await asyncio.sleep(60)

    return play


class StatedLengthTest(unittest.TestCase):
    @DETERMINISTIC_SETTINGS
    @given(
        st.sampled_from((200, 201, 404, 500, 200)),
        st.sampled_from(LENGTHS),
        st.sampled_from(((), (b"Connection: close",), (b"Server-Leaving: 1",))),
        st.sampled_from(EXTRA),
        st.booleans(),
        st.sampled_from(ENDINGS),
        st.sampled_from((0.0, 0.001, 0.6)),
        st.sampled_from((7, 1000, 10**6)),
        st.sampled_from((RequestKind.ONCE, RequestKind.IDEMPOTENT)),
        st.sampled_from((0.0, 0.05)),
    )
    def test_answer_is_whole_at_its_last_byte(
        self, status, length, headers, extra, same, ending, pause_s, size, kind, write_s
    ):
        """Guards against a whole answer that is lost, cut or asked for again for what
        its connection does behind the last byte."""
        if length > 1000:
            size = max(size, 1000)
        body = make_body(length)
        data = encode_answer(status, body, headers)
        script = answering(data, extra, same, ending, pause_s, size)

        async def scenario():
            forwarder = make_forwarder(dict.fromkeys(("s1", "s2", "s3"), script))
            route = make_route(kind, timeout_s=DEADLINE_S, attempts=1)
            job = make_job(route, deadline_s=DEADLINE_S)
            job.responder = SlowResponder(write_s)
            await forwarder.serve(job)
            return forwarder, job, asyncio.get_running_loop().time()

        forwarder, job, took_s = run_in_virtual_time(scenario())
        if status == 500 and length > MAX_BUFFERED_RESPONSE_BYTES:
            # Errors of servers are not passed on at this length.
            return
        responder = job.responder
        self.assertEqual(status, responder.status)
        self.assertEqual(body, responder.body)
        self.assertTrue(responder.finished)
        self.assertFalse(responder.was_aborted)
        self.assertEqual(1, len(forwarder.sender.sent))
        if not write_s:
            # Neither silence nor a pause behind the last byte is waited for.
            self.assertLess(took_s, 0.5)


class ResetTest(unittest.IsolatedAsyncioTestCase):
    async def test_reset_behind_a_body_that_is_read_late_loses_nothing(self):
        """Guards against the loss of bytes that had come before a reset, since reading
        was paused for a slow caller."""
        body = make_body(2 * READ_BUFFER_HIGH_BYTES)
        has_reset = asyncio.Event()

        async def serve(reader, writer):
            writer.write(encode_answer(200, body, ()))
            await writer.drain()
            await asyncio.sleep(0.2)
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()
            has_reset.set()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            lambda: OutboundConnection(response_request_id, lambda free: None),
            *server.sockets[0].getsockname(),
        )
        exchange = HttpExchange("id-1")
        connection.start(exchange, b"GET / HTTP/1.1\r\n\r\n")
        await asyncio.wait_for(has_reset.wait(), 5.0)
        found = b""
        while not exchange.is_finished or exchange.parts:
            await exchange.wait(5.0)
            found += exchange.take_body()
        server.close()
        self.assertIsNone(exchange.failure)
        self.assertTrue(exchange.is_complete)
        self.assertEqual(body, found)


if __name__ == "__main__":
    unittest.main()
