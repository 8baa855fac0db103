"""Tests of responses that end in the middle of their head, over the agent's session."""

import asyncio
import json
import socket
import struct
import unittest

from monsoontack.agent.backend import EngineTokens
from monsoontack.agent.daemon import open_session
from monsoontack.agent.daemon_test import make_call
from monsoontack.agent.enginehttp import HttpEngine
from monsoontack.agent.records import StartRequest
from monsoontack.agent.servicehttp import HttpService

PAUSE_S = 1.0
HANG_GUARD_S = 60.0
# Cuts that are tried at the same time; a pause at each byte would take minutes.
PARALLEL_CUTS = 40
TOKENS = {"first_position": 0, "token_ids": [5], "texts": ["a"], "finish": "stop"}
EVENT = b"data: " + json.dumps(TOKENS).encode() + b"\n\n"
HEAD = b"HTTP/1.1 200 OK\r\nX-Mark: a b\r\nContent-Type: text/event-stream\r\n"
FRAMINGS = {
    "length": b"Content-Length: %d\r\n" % len(EVENT),
    "chunked": b"Transfer-Encoding: chunked\r\n",
    "close": b"Connection: close\r\n",
}


def cut_heads():
    """Return the part of each head up to each of its bytes."""
    heads = [HEAD + framing + b"\r\n" for framing in FRAMINGS.values()]
    return [head[:size] for head in heads for size in range(len(head))]


class CuttingServer:
    """Server that answers with a part of a head, and closes or resets.

    The body of a request holds the number of the response that it gets.
    """

    def __init__(self, parts, pause_s, is_reset):
        self.parts = parts
        self.pause_s = pause_s
        self.is_reset = is_reset
        self.seen = []

    async def handle(self, reader, writer):
        """Serve one connection."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            # The agent gave up the connection before it sent its request.
            writer.close()
            return
        length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
        body = await reader.readexactly(int(length or 0))
        number = int(json.loads(body)["cut"])
        self.seen.append(number)
        writer.write(self.parts[number])
        await writer.drain()
        await asyncio.sleep(self.pause_s)
        if self.is_reset:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()


class CutHeadTest(unittest.IsolatedAsyncioTestCase):
    """Each head is cut at each byte; then the connection is closed or reset."""

    async def run_cuts(self, use, pause_s, is_reset):
        """Use a session once for each cut; return the results."""
        parts = cut_heads()
        cutting = CuttingServer(parts, pause_s, is_reset)
        server = await asyncio.start_server(cutting.handle, "127.0.0.1", 0)
        url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        limit = asyncio.Semaphore(PARALLEL_CUTS)

        async def use_once(number):
            async with limit:
                return await use(session, url, number)

        found = {}
        async with open_session() as session, asyncio.timeout(HANG_GUARD_S):
            # On a busy machine, a connection may not be accepted in time; a request
            # that was not sent shows nothing.
            while unseen := sorted(set(range(len(parts))) - set(cutting.seen)):
                results = await asyncio.gather(*(use_once(n) for n in unseen))
                found |= dict(zip(unseen, results, strict=True))
        server.close()
        self.assertEqual(list(range(len(parts))), sorted(cutting.seen))
        return [(parts[number], result) for number, result in found.items()]

    async def call(self, session, url, number):
        call = make_call(str(number))
        object.__setattr__(call, "body", json.dumps({"cut": number}).encode())
        return await HttpService(session, url).call(call)

    async def generate(self, session, url, number):
        body = json.dumps({"cut": number}).encode()
        start = StartRequest("g", 1, "v1", body)
        return [item async for item in HttpEngine(session, url).generate("g", start)]

    async def test_cut_head_is_no_result_of_a_call(self):
        """Guards against a call that gets a success with an empty body, and against
        `not_run`, since the service may have run it."""
        for pause_s, is_reset in ((0.0, False), (0.0, True), (PAUSE_S, False)):
            found = await self.run_cuts(self.call, pause_s, is_reset)
            wrong = [
                (part, result.run_state, result.status)
                for part, result in found
                if result.run_state != "unknown" or result.status
            ]
            self.assertEqual([], wrong)

    async def test_cut_head_is_no_answer_of_an_engine(self):
        """Guards against a generation that ends as complete without its tokens."""
        for pause_s, is_reset in ((0.0, False), (0.0, True), (PAUSE_S, False)):
            found = await self.run_cuts(self.generate, pause_s, is_reset)
            wrong = [
                (part, items)
                for part, items in found
                if len(items) != 1
                or isinstance(items[0], EngineTokens)
                or not items[0].started
            ]
            self.assertEqual([], wrong)


if __name__ == "__main__":
    unittest.main()
