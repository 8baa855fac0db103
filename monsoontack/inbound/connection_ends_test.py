"""Tests of answers whose connection ends, or is used again, before all was read."""

import asyncio
import socket
import unittest

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.outbound import HttpExchange
from monsoontack.gateway.outbound_test import OutboundConnection, response_request_id
from monsoontack.gateway.records import CallerLimits
from monsoontack.inbound.memoryguard import MemoryGuard
from monsoontack.inbound.server import InboundServer
from standins.gatewayfakes import FakeTransport

TAIL_BYTES = 60_000
WINDOW_BYTES = 4_096
HANG_GUARD_S = 10.0


class UnsentEndTest(unittest.IsolatedAsyncioTestCase):
    async def test_cut_end_of_a_response_without_chunks_is_a_reset(self):
        """Guards against an HTTP/1.0 caller that takes a stream for whole whose last
        bytes were written, but not sent, when the process closed its connections."""
        written = 0

        async def handle(raw, responder):
            nonlocal written
            responder.begin(200, ())
            for _ in range(200):
                if responder.connection.transport.get_write_buffer_size() > 1:
                    break
                await responder.write(b"x" * TAIL_BYTES)
                written += TAIL_BYTES
                await asyncio.sleep(0.002)
            responder.finish()
            finished.set()

        finished = asyncio.Event()
        server = InboundServer(handle, CallerLimits, MemoryGuard(10**6))
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server.make_connection, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        caller.setblocking(False)
        await loop.sock_connect(caller, listener.sockets[0].getsockname())
        await loop.sock_sendall(caller, b"GET /a HTTP/1.0\r\nHost: h\r\n\r\n")
        data = bytearray()
        async with asyncio.timeout(HANG_GUARD_S):
            await finished.wait()
            self.assertGreater(server.unsent_connections(), 0)
            server.abort_all()
            try:
                while part := await loop.sock_recv(caller, 1 << 16):
                    data += part
            except ConnectionResetError:
                return
        self.assertEqual(written, len(data.partition(b"\r\n\r\n")[2]))


class PipelinedTest(unittest.IsolatedAsyncioTestCase):
    async def test_pipelined_request_does_not_cut_the_answer_before_it(self):
        """Guards against an answer whose end is lost, because the connection is closed
        while a further request of its caller has not been read."""
        self.assertEqual(*await self.read_answer((b"a", b"b", b"c")))

    async def read_answer(self, names):
        """Return the length of the second answer and what arrives of it."""
        size = 400_000
        served, closing = [], False

        async def handle(raw, responder):
            served.append(raw.target)
            if raw.target == b"/a":
                await first.wait()
                responder.send(200, (), b"a")
            else:
                await second.wait()
                responder.send(200, (), b"x" * size)

        first, second = asyncio.Event(), asyncio.Event()
        server = InboundServer(
            handle, CallerLimits, MemoryGuard(10**6), closing=lambda: closing
        )
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server.make_connection, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        caller.setblocking(False)
        await loop.sock_connect(caller, listener.sockets[0].getsockname())
        request = b"GET /%s HTTP/1.1\r\nHost: h\r\n\r\n"
        for name in names:
            await loop.sock_sendall(caller, request % name)
            await asyncio.sleep(0.05)
        closing = True
        first.set()
        await asyncio.sleep(0.05)
        second.set()
        data = bytearray()
        async with asyncio.timeout(HANG_GUARD_S):
            try:
                while part := await loop.sock_recv(caller, 1 << 12):
                    data += part
                    await asyncio.sleep(0.001)
            except ConnectionResetError:
                pass
        self.assertIn(b"/b", served)
        return size, data.count(b"x")

    async def test_answer_without_a_further_request_is_whole(self):
        """Guards against a test that fails without the further request as well."""
        self.assertEqual(*await self.read_answer((b"a", b"b")))


class PausedReadingTest(unittest.TestCase):
    def test_connection_whose_answer_was_not_taken_reads_the_next_answer(self):
        """Guards against a connection that goes back to the pool while reading from it
        is paused, so that the next request never gets its answer."""

        async def scenario():
            freed = []
            connection = OutboundConnection(response_request_id, freed.append)
            connection.connection_made(FakeTransport())
            exchange = HttpExchange("r1")
            connection.start(exchange, b"GET / HTTP/1.1\r\n\r\n")
            head = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 100000\r\n\r\n"
            connection.data_received(head + b"x" * 100_000)
            exchange.abort()
            await asyncio.sleep(0)
            return freed, connection

        freed, connection = run_in_virtual_time(scenario())
        self.assertTrue(not freed or connection.transport.reading)


if __name__ == "__main__":
    unittest.main()
