"""Tests of the limits of the agents' HTTP server, on loopback."""

import asyncio
import re
import unittest
from unittest import mock

import uvicorn

from monsoontack.inbound import agentshttp
from monsoontack.inbound.agentshttp import LimitedHttpProtocol

HANG_GUARD_S = 20.0
POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"
UPGRADE = b"Connection: Upgrade\r\nUpgrade: h2c\r\n"


class LimitedHttpProtocolTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.bodies = []
        config = uvicorn.Config(
            self.answer,
            http=LimitedHttpProtocol,
            interface="asgi3",
            lifespan="off",
            log_config=None,
        )
        config.load()
        state = uvicorn.Server(config).server_state
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: LimitedHttpProtocol(config, state, {}), "127.0.0.1", 0
        )
        self.addCleanup(listener.close)
        self.port = listener.sockets[0].getsockname()[1]

    async def answer(self, scope, receive, send):
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        self.bodies.append(body)
        headers = [(b"content-length", b"2")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"ok"})

    async def send(self, *parts):
        """Send parts; return the statuses of the answers until the end."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.01)
        async with asyncio.timeout(HANG_GUARD_S):
            data = await reader.read()
        writer.close()
        return re.findall(rb"HTTP/1.1 (\d+)", data)

    async def test_requests_are_served_on_one_connection(self):
        """Guards against limits that count more than one head."""
        first = POST + b"Content-Length: 70000\r\n\r\n" + b"x" * 70_000
        last = POST + b"Connection: close\r\nX: " + b"y" * 30_000 + b"\r\n\r\n"
        self.assertEqual([b"200"] * 3, await self.send(first, first, last))
        self.assertEqual([70_000, 70_000, 0], [len(body) for body in self.bodies])

    async def test_endless_head_is_refused(self):
        """Guards against a head that takes all memory."""
        lines = b"a:b\r\n" * 4000
        self.assertEqual([b"431"], await self.send(POST, *[lines] * 4))

    async def test_head_that_never_ends_is_refused(self):
        """Guards against connections that stay open forever."""
        with mock.patch.object(agentshttp, "HEAD_TIMEOUT_S", 0.2):
            self.assertEqual([b"408"], await self.send(POST))
            self.assertEqual([b"408"], await self.send())

    async def test_body_behind_an_offered_upgrade_is_not_lost(self):
        """Guards against a request that runs without its body."""
        body = b"Content-Length: 3\r\n\r\nabc"
        self.assertEqual([b"400"], await self.send(POST + UPGRADE + body))
        self.assertEqual([], self.bodies)


if __name__ == "__main__":
    unittest.main()
