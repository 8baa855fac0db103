"""Tests of the ends of responses, on loopback."""

import asyncio
import unittest

from monsoontack.gateway.records import CallerLimits
from monsoontack.inbound.memoryguard import MemoryGuard
from monsoontack.inbound.server import InboundServer

HANG_GUARD_S = 30.0


class EndOfResponseTest(unittest.IsolatedAsyncioTestCase):
    async def read_response(self, end, version=b"1.0"):
        """Return the body of a streamed response to a caller, None if it was reset.

        `end` ends the response with the responder and the server.
        """

        async def handle(raw, responder):
            responder.begin(200, ())
            await responder.write(b"hello")
            await read.wait()
            end(responder, server)

        read = asyncio.Event()
        server = InboundServer(handle, CallerLimits, MemoryGuard(10**6))
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server.make_connection, "127.0.0.1", 0)
        address = listener.sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(b"GET /a HTTP/%s\r\nHost: h\r\n\r\n" % version)
            async with asyncio.timeout(HANG_GUARD_S):
                await reader.readuntil(b"\r\n\r\n")
                body = await reader.readuntil(b"hello")
                read.set()
                return body + await reader.read()
        except ConnectionResetError:
            return None
        finally:
            writer.close()
            listener.close()

    async def test_cut_response_without_chunks_is_reset(self):
        """Guards against an HTTP/1.0 caller that takes the end of the connection for
        the end of a response that was cut."""
        for end in (
            lambda responder, server: responder.abort(),
            lambda responder, server: server.abort_all(),
            lambda responder, server: None,
        ):
            self.assertIsNone(await self.read_response(end))

    async def test_whole_response_without_chunks_is_not_reset(self):
        """Guards against an HTTP/1.0 caller that loses the end of a whole response."""
        body = await self.read_response(lambda responder, server: responder.finish())
        self.assertEqual(b"hello", body)

    async def test_cut_response_in_chunks_has_no_last_chunk(self):
        """Guards against an HTTP/1.1 caller that takes a cut response for whole."""
        body = await self.read_response(
            lambda responder, server: responder.abort(), b"1.1"
        )
        self.assertEqual(b"5\r\nhello\r\n", body)


if __name__ == "__main__":
    unittest.main()
