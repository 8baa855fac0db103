"""Tests of requests that offer another protocol, at a gateway process."""

import asyncio
import unittest

from standins.gatewayprocess import HOST, KEY, GatewayProcess

HANG_GUARD_S = 20.0
FRAMINGS = {
    "length": b"Content-Length: 24\r\n\r\n" + b"x" * 24,
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n18\r\n"
    + b"x" * 24
    + b"\r\n0\r\n\r\n",
}


class UpgradeOfferTest(unittest.IsolatedAsyncioTestCase):
    async def test_call_that_offers_h2c_runs_with_its_body(self):
        """Guards against a non-idempotent call that runs without its body and gets 200,
        found by review/1."""
        gateway = await self.enterAsyncContext(GatewayProcess.started())
        host, _, port = gateway.front.removeprefix("http://").rpartition(":")
        for name, framing in FRAMINGS.items():
            for is_split in (False, True):
                request_id = f"{name}-{is_split}"
                head = (
                    f"POST /once/a HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Authorization: Token {KEY}\r\n"
                    f"X-Monsoontack-Request-Id: {request_id}\r\n"
                    "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
                    "HTTP2-Settings: AAMAAABkAAQAAP__\r\n"
                ).encode()
                reader, writer = await asyncio.open_connection(host, int(port))
                parts = (head + framing[:-20], framing[-20:])
                for part in parts if is_split else (b"".join(parts),):
                    writer.write(part)
                    await asyncio.sleep(0.05)
                async with asyncio.timeout(HANG_GUARD_S):
                    status = await reader.readline()
                writer.close()
                self.assertEqual(b"HTTP/1.1 200 OK\r\n", status)
                runs = [
                    run[2]
                    for engine in gateway.engines.values()
                    for run in engine.runs
                    if run[0] == request_id
                ]
                self.assertEqual([b"x" * 24], runs)


if __name__ == "__main__":
    unittest.main()
