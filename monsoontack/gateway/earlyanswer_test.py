"""Answers that come while the request is still being written, over real sockets."""

import asyncio
import contextlib
import socket
import struct
import unittest

import uvloop

from monsoontack.gateway.outbound import FailureKind, HttpExchange, OutboundConnection

HEAD = b"HTTP/1.1 %d OK\r\nx-id: r\r\n\r\n"
PART = b"part of the body"
FIRST_READ_BYTES = 100
SIZES = (900_000, 4_000_000)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def end_by_reset(sock: socket.socket) -> None:
    """Reset the connection although the request has not been read."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


async def end_by_shutdown(sock: socket.socket) -> None:
    """End the answer, and the connection some time later."""
    sock.shutdown(socket.SHUT_WR)
    await asyncio.sleep(0.2)
    sock.close()


async def end_after_reading_some(sock: socket.socket) -> None:
    """End the connection when everything that has come was read."""
    loop = asyncio.get_running_loop()
    await loop.sock_recv(sock, 65_536)
    sock.shutdown(socket.SHUT_WR)
    for _ in range(5):
        await loop.sock_recv(sock, 65_536)
    sock.close()


async def end_after_reading_all(sock: socket.socket, size: int) -> None:
    """Read the whole request and end the connection."""
    loop, received = asyncio.get_running_loop(), 0
    while received < size:
        received += len(await loop.sock_recv(sock, 1 << 20))
    sock.close()


ENDS = (end_by_reset, end_by_shutdown, end_after_reading_some)


@contextlib.asynccontextmanager
async def early_server(answer: bytes, end):
    """Yield the address of a server that answers after the first bytes of a request.

    It ends its one connection by `end`.
    """
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)

        async def serve() -> None:
            sock, _ = await loop.sock_accept(listener)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32_768)
            await loop.sock_recv(sock, FIRST_READ_BYTES)
            await loop.sock_sendall(sock, answer)
            await asyncio.sleep(0.05)
            await end(sock)

        serving = asyncio.ensure_future(serve())
        yield listener.getsockname()
        await asyncio.gather(serving, return_exceptions=True)


async def answer_early(end, size: int, status: int = 200) -> HttpExchange:
    """Send a request to a server that answers early; return the exchange."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(10.0), early_server(HEAD % status + PART, end) as at:
        _, connection = await loop.create_connection(
            lambda: OutboundConnection(lambda headers: "r", lambda free: None), *at
        )
        exchange = HttpExchange("r")
        connection.start(exchange, b"x" * size)
        while not exchange.is_finished:
            await exchange.wait(1.0)
            exchange.take_body()
    connection.abort()
    return exchange


class EarlyAnswerTest(unittest.TestCase):
    def run_on_both_loops(self, end, size, status=200):
        return [
            run(answer_early(end, size, status)) for run in (asyncio.run, uvloop.run)
        ]

    def test_part_of_an_answer_is_not_complete(self):
        """Guards against a part of an answer without a length that passes for the whole
        one, since its connection ended while the request was still being written."""
        for end in ENDS:
            for size in SIZES:
                for exchange in self.run_on_both_loops(end, size):
                    self.assertFalse(exchange.is_complete)
                    self.assertIn(
                        exchange.failure.kind, (FailureKind.RESET, FailureKind.CLOSED)
                    )
                    self.assertTrue(exchange.failure.maybe_sent)

    def test_error_before_the_whole_request_is_used(self):
        """Guards against a 413 that callers get as a failure of the server."""
        for exchange in self.run_on_both_loops(end_by_shutdown, SIZES[1], 413):
            self.assertEqual((413, None), (exchange.status, exchange.failure))

    def test_answer_after_the_whole_request_is_complete(self):
        """Guards against whole answers without a length that are refused."""
        for size in (2_000, *SIZES):

            async def end(sock, size=size):
                await end_after_reading_all(sock, size - FIRST_READ_BYTES)

            for exchange in self.run_on_both_loops(end, size):
                self.assertIsNone(exchange.failure)
                self.assertTrue(exchange.is_complete)


if __name__ == "__main__":
    unittest.main()
