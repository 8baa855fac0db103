"""Tests of streams whose servers pause between the last event and the end.

A gateway process on loopback, against simulated engines.
"""

import asyncio
import unittest
from collections import Counter

import aiohttp

from standins.directengine import make_event
from standins.gatewayprocess import HOST, KEY, GatewayProcess

EVENTS = 20
WHOLE = b"".join(make_event(number) for number in range(1, EVENTS + 1))
# Several streams at a time, so that each engine has free slots for those of the other.
PARALLEL = 6
ROUNDS = 3
RETRY_S = 0.5


class StreamEndsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.gateway = await self.enterAsyncContext(GatewayProcess.started())
        for name in ("plan-1", "plan-2"):
            self.gateway.engines[name].event_count = EVENTS

    async def read_stream(self, request_id, stated):
        """Return the body of a stream, and whether its end came with it."""
        headers = {
            "Host": HOST,
            "X-Monsoontack-Request-Id": request_id,
            "X-Monsoontack-Deadline-Ms": "5000",
            "X-Monsoontack-Token-Usage": f"800,{stated}",
            "X-Monsoontack-Prefix-Hash": f"{request_id}:400",
            "Authorization": f"Token {KEY}",
        }
        url, body = self.gateway.front + "/stream/x", b""
        async with self.gateway.http.post(url, headers=headers) as response:
            if response.status == 503:
                # Not run, as a busy machine connects late; callers try again.
                await asyncio.sleep(RETRY_S)
                return await self.read_stream(request_id, stated)
            self.assertEqual(200, response.status)
            try:
                async for part in response.content.iter_any():
                    body += part
            except aiohttp.ClientError:
                return body, False
        return body, True

    async def play(self, pause_s, stated):
        """Return the results of several streams, and who was asked for their end.

        The latter counts for each stream the requests that resume it after all events.
        """
        for engine in self.gateway.engines.values():
            engine.end_pause_s = pause_s
        results = []
        for number in range(ROUNDS):
            ids = [f"end-{pause_s}-{stated}-{number}-{n}" for n in range(PARALLEL)]
            found = (self.read_stream(request_id, stated) for request_id in ids)
            results += await asyncio.gather(*found)
        asked = Counter(
            request_id
            for engine in self.gateway.engines.values()
            for request_id, headers, _ in engine.runs
            if request_id.startswith(f"end-{pause_s}-{stated}-")
            and headers.get(b"last-event-id") == b"%d" % EVENTS
        )
        return results, asked

    async def test_pause_before_the_end_cuts_no_stream(self):
        """Guards against a stream that is reset although it has all events, because its
        server pauses before the last chunk."""
        for stated in (300, EVENTS):
            for pause_s in (0.6, 1.3, 2.0):
                with self.subTest(stated=stated, pause_s=pause_s):
                    results, asked = await self.play(pause_s, stated)
                    cut = sum(not is_whole for _, is_whole in results)
                    seen = f"{cut} cut, {len(asked)} asked for of {len(results)}"
                    self.assertEqual(0, cut, seen)
                    self.assertEqual({WHOLE}, {body for body, _ in results})
                    self.assertLessEqual(max(asked.values(), default=0), 1, seen)
                    if stated == EVENTS:
                        self.assertEqual(0, len(asked), seen)


if __name__ == "__main__":
    unittest.main()
