"""Tests of the client against a local HTTP server."""

import asyncio
import json
import unittest

from aiohttp import web

from monsoontack.client.client import Client

ANSWERS = 130
HANG_GUARD_S = 60.0


class ManyAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.open = 0
        self.all_open = asyncio.Event()
        application = web.Application()
        application.router.add_post("/v1/completions", self.answer)
        runner = web.AppRunner(application)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.port = runner.addresses[0][1]

    async def answer(self, request):
        """Send one token as soon as all answers are open at the same time."""
        self.open += 1
        if self.open == ANSWERS:
            self.all_open.set()
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        while not self.all_open.is_set():
            await response.write(b": ping\n\n")
            await asyncio.sleep(0.1)
        choice = {"text": "a", "finish_reason": "length"}
        event = {"first_position": 0, "token_ids": [5], "choices": [choice]}
        await response.write(f"id: g.1.a.1\ndata: {json.dumps(event)}\n\n".encode())
        return response

    async def test_answers_do_not_wait_for_each_other(self):
        """Guards against a connection limit that delays the 101st concurrent answer."""

        async def read(client):
            body = {"model": "s", "prompt": "p", "max_tokens": 1}
            return [part.tokens async for part in client.stream("completions", body)]

        url = f"http://127.0.0.1:{self.port}"
        async with Client([url], "key") as client, asyncio.timeout(HANG_GUARD_S):
            reads = (read(client) for _ in range(ANSWERS))
            answers = await asyncio.gather(*reads)
        self.assertEqual([[(5,)]] * ANSWERS, answers)


if __name__ == "__main__":
    unittest.main()
