"""Tests of the stand-ins' faults: they strike where they were set."""

import asyncio
import json
import unittest

import aiohttp

from standins.answers import expected_answer
from standins.cluster import Cluster
from standins.linkclient import HANG_GUARD_S

REQUEST = {"prompt": "a prompt", "max_tokens": 12, "seed": 3}
EXPECTED = expected_answer("v1", REQUEST)[0]


class StandinTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = await self.enterAsyncContext(Cluster.create())
        self.http = self.cluster.http

    async def set_fault(self, process, kind, **fields):
        await self.cluster.set_faults(process, {"faults": [{"kind": kind, **fields}]})

    async def generate(self, engine, route="completions", tokens=None, **fields):
        """Return status, tokens and whether the stream ended whole."""
        tokens = [] if tokens is None else tokens
        paths = {"completions": "/v1/completions", "chat": "/v1/chat/completions"}
        body = {**REQUEST, **fields}
        try:
            async with self.http.post(engine.url + paths[route], json=body) as answer:
                if answer.status != 200:
                    return answer.status, tokens, False
                async for line in answer.content:
                    if line.startswith(b"data: {"):
                        tokens += json.loads(line[6:])["token_ids"]
                    if line.startswith(b"data: [DONE]"):
                        return 200, tokens, True
        except aiohttp.ClientError:
            pass
        return 200, tokens, False


class EngineTest(StandinTest):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.engine = await self.cluster.start_engine(token_gap_s=0.002)

    async def test_answer_and_resume(self):
        """Guards against an engine whose resumed answer differs."""
        self.assertEqual((200, EXPECTED, True), await self.generate(self.engine))
        resumed = await self.generate(self.engine, resume_token_ids=EXPECTED[:5])
        self.assertEqual((200, EXPECTED[5:], True), resumed)
        refused = await self.generate(self.engine, version="v9")
        self.assertEqual((409, [], False), refused)

    async def test_faults_at_positions(self):
        """Guards against a fault that strikes at another token position."""
        await self.set_fault(self.engine, "fail", at_position=7)
        self.assertEqual((200, EXPECTED[:7], False), await self.generate(self.engine))
        await self.set_fault(self.engine, "fail")
        self.assertEqual((500, [], False), await self.generate(self.engine))
        await self.set_fault(self.engine, "pause", at_position=4)
        tokens = []
        work = asyncio.ensure_future(self.generate(self.engine, tokens=tokens))
        async with asyncio.timeout(HANG_GUARD_S):
            await self.engine.wait_stopped()
            while len(tokens) < 4:
                await asyncio.sleep(0.01)
            self.assertEqual(EXPECTED[:4], tokens)
            self.engine.resume()
            self.assertEqual((200, EXPECTED, True), await work)
        await self.set_fault(self.engine, "die", at_position=9)
        self.assertEqual((200, EXPECTED[:9], False), await self.generate(self.engine))
        async with asyncio.timeout(HANG_GUARD_S):
            self.assertEqual(-9, await self.engine.wait_ended())

    async def test_held_request_can_be_cancelled(self):
        """Guards against a silent request that keeps its place in the batch."""
        await self.set_fault(self.engine, "silent", at_position=2)
        tokens = []
        work = asyncio.ensure_future(
            self.generate(self.engine, tokens=tokens, request_id="r1")
        )
        async with asyncio.timeout(HANG_GUARD_S):
            while len(tokens) < 2:
                await asyncio.sleep(0.01)
            url = f"{self.engine.url}/cancel"
            async with self.http.post(url, json={"request_id": "r1"}) as response:
                self.assertEqual({"cancelled": True}, await response.json())
            self.assertEqual((200, EXPECTED[:2], False), await work)
            requests = await self.cluster.get_json(f"{self.engine.url}/requests")
            self.assertEqual([], requests["held"])

    async def test_route_version_and_share(self):
        """Guards against a fault that strikes requests it should spare."""
        await self.set_fault(self.engine, "fail", route="chat")
        self.assertEqual(200, (await self.generate(self.engine))[0])
        chat = await self.generate(self.engine, "chat")
        self.assertEqual(500, chat[0])
        await self.set_fault(self.engine, "fail", version="v2")
        self.assertEqual(200, (await self.generate(self.engine))[0])
        for seed in (1, 2):
            await self.set_fault(self.engine, "fail", share=0.5, seed=seed)
            found = [(await self.generate(self.engine))[0] for _ in range(20)]
            self.assertEqual({200, 500}, set(found))
            await self.set_fault(self.engine, "fail", share=0.5, seed=seed)
            again = [(await self.generate(self.engine))[0] for _ in range(20)]
            self.assertEqual(found, again)

    async def test_fault_above_a_load(self):
        """Guards against a load fault that strikes an idle engine, or never."""
        loaded = {"kind": "fail", "at_position": 2, "above_running": 2}
        await self.cluster.set_faults(self.engine, {"faults": [loaded]})
        self.assertTrue((await self.generate(self.engine))[2])
        hold = {"kind": "hold", "at_position": 2, "count": 2}
        await self.cluster.set_faults(self.engine, {"faults": [hold, loaded]})
        held = [asyncio.ensure_future(self.generate(self.engine)) for _ in range(2)]
        async with asyncio.timeout(HANG_GUARD_S):
            while await self.struck() != [2, 0]:
                await asyncio.sleep(0.01)
            third = await self.generate(self.engine)
            self.assertEqual((200, EXPECTED[:2], False), third)
            await self.cluster.set_faults(self.engine, {"faults": []})
            for work in held:
                self.assertEqual((200, EXPECTED, True), await work)

    async def struck(self):
        found = await self.cluster.get_json(self.engine.faults_url)
        return [fault["struck"] for fault in found["faults"]]

    async def test_wrong_fault_is_refused(self):
        """Guards against a misspelt fault that a test takes for set."""
        with self.assertRaisesRegex(ValueError, "at_positon"):
            await self.set_fault(self.engine, "die", at_positon=3)


class PlatformTest(StandinTest):
    async def test_object_api_faults(self):
        """Guards against a lost answer without effect, and a rate that admits all."""
        store = await self.cluster.start_standin("objectapi")
        url = f"{store.url}/objects/a/b"
        create = {"If-None-Match": "*"}
        await self.cluster.set_faults(store, {"outage": True})
        async with self.http.get(url) as response:
            self.assertEqual(503, response.status)
        await self.cluster.set_faults(store, {"outage": False, "lose_answers": 1})
        # aiohttp repeats the PUT by itself, so its second answer arrives.
        async with self.http.put(url, data=b"1", headers=create) as response:
            self.assertEqual((412, b"1"), (response.status, await response.read()))
        await self.cluster.set_faults(store, {"writes_per_s": 0.001})
        statuses = []
        for _ in range(2):
            async with self.http.put(url, data=b"2", headers=create) as response:
                statuses.append(response.status)
        self.assertEqual([412, 429], statuses)
        self.assertIn("Retry-After", response.headers)
        async with self.http.get(url) as response:
            self.assertEqual('"1"', response.headers["ETag"])

    async def test_gate_goes_silent_for_open_connections_only(self):
        """Guards against a silent connection that closes, or new ones that fail."""
        engine = await self.cluster.start_engine(token_gap_s=0.002)
        fault_proxy = await self.cluster.start_fault_proxy(engine.address)
        await self.set_fault(engine, "hold", at_position=5)
        tokens = []
        silent = asyncio.ensure_future(self.generate(fault_proxy, tokens=tokens))
        async with asyncio.timeout(HANG_GUARD_S):
            while len(tokens) < 5:
                await asyncio.sleep(0.01)
            await self.cluster.set_faults(fault_proxy, {"silence": "open"})
            await self.cluster.set_faults(engine, {"faults": []})
            async with aiohttp.ClientSession() as self.http:
                fresh = await self.generate(fault_proxy)
            self.assertEqual((200, EXPECTED, True), fresh)
            while (await self.engine_requests(engine))["held"]:
                await asyncio.sleep(0.01)
        self.assertEqual((EXPECTED[:5], False), (tokens, silent.done()))
        await self.cluster.set_faults(
            fault_proxy, {"silence_after_bytes": 300, "close": True}
        )
        self.assertFalse((await silent)[2])

    async def engine_requests(self, engine):
        return await self.cluster.get_json(f"{engine.url}/requests")


if __name__ == "__main__":
    unittest.main()
