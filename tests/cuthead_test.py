"""Tests of streams and calls whose server stops in the middle of its response's head.

A gateway process on loopback, against simulated engines.
"""

import asyncio
import unittest

import aiohttp

from standins.directengine import CutHead, make_event
from standins.gatewayprocess import GatewayProcess, config, route

WHOLE = b"".join(make_event(number) for number in range(1, 51))
WAIT_TIMEOUT_S = 30.0
PAUSE_S = 1.0
# Of the cuts that are followed by a pause, so that the pauses stay short together.
PAUSED_CUT_STEP = 5
PARALLEL_REQUESTS = 8
FRAMINGS = {
    "length": b"content-length: %d\r\n" % len(WHOLE),
    "chunked": b"transfer-encoding: chunked\r\n",
    "close": b"",
}


def cuts(request_id, framing):
    """Return the cut heads of a response: closed and reset at each byte, and paused."""
    head = (
        b"HTTP/1.1 200 OK\r\nx-monsoontack-request-id: %b\r\n"
        b"x-monsoontack-origin-stamp: plan-1\r\ncontent-type: text/event-stream\r\n"
        b"%b\r\n" % (request_id.encode(), FRAMINGS[framing])
    )
    found = []
    for size in range(len(head)):
        found += [CutHead(head[:size], is_reset=is_reset) for is_reset in (False, True)]
        if size % PAUSED_CUT_STEP == 0:
            found.append(CutHead(head[:size], PAUSE_S))
    return found


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.gateway = await self.enterAsyncContext(GatewayProcess.started())
        # The first engine that gets a request cuts its head, another one does not.
        self.cut_heads = {}
        for engine in self.gateway.engines.values():
            engine.event_gap_s = 0.0
            engine.cut_heads = self.cut_heads
        document = config(2)
        document["routes"].append(route("raw", "/raw/stream/", "stream", "planner"))
        self.gateway.store.put("config", "main", document)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while (await self.stream("/raw/stream/", "probe"))[0] != 200:
                await asyncio.sleep(0.1)

    async def stream(self, path, request_id):
        """Request a stream; return its status and body, 0 if its connection ended."""
        headers = {
            "X-Monsoontack-Token-Usage": "800,300",
            "X-Monsoontack-Prefix-Hash": f"{request_id}:400",
        }
        try:
            status, _, body = await self.gateway.call(
                path + "x", request_id, headers=headers
            )
        except aiohttp.ClientError:
            return 0, b""
        return status, body

    async def send_cut(self, path, request_id, framing, index):
        """Request a stream whose first engine cuts its head."""
        cut = self.cut_heads[request_id] = cuts(request_id, framing)[index]
        async with self.limit:
            return cut, *await self.stream(path, request_id)

    async def check(self, path, framing):
        self.limit = asyncio.Semaphore(PARALLEL_REQUESTS)
        count = len(cuts(f"{framing}-000", framing))
        sent = (
            self.send_cut(path, f"{framing}-{index:03}", framing, index)
            for index in range(count)
        )
        found = await asyncio.gather(*sent)
        wrong = [item for item in found if item[1] == 200 and item[2] != WHOLE]
        self.assertEqual([], wrong)
        self.assertEqual({}, self.cut_heads)
        return [status for _, status, _ in found]

    async def test_resumable_stream_never_ends_with_a_cut_head(self):
        """Guards against a 200 with an empty or short body that looks whole."""
        for framing in FRAMINGS:
            statuses = await self.check("/stream/", framing)
            self.assertIn(200, statuses)

    async def test_stream_that_may_run_only_once_gets_no_success(self):
        """Guards against the same for a stream that no other engine may begin, and
        against an answer which says that it was not run."""
        for framing in FRAMINGS:
            statuses = await self.check("/raw/stream/", framing)
            self.assertEqual({502}, set(statuses))

    async def test_call_that_may_run_only_once_gets_no_success(self):
        """Guards against the same for a call."""
        for framing in FRAMINGS:
            statuses = await self.check("/once/", framing)
            self.assertEqual({502}, set(statuses))


if __name__ == "__main__":
    unittest.main()
