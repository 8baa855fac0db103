"""Tests of an entry process in a fleet: admission, disconnects, drain and statsd."""

import asyncio
import json
import socket
import unittest

from standins.fleet import KEY, SERVICE, Fleet

HANG_GUARD_S = 60.0
HEADERS = {"Authorization": f"Bearer {KEY}"}


class EntryTest(unittest.IsolatedAsyncioTestCase):
    async def start_fleet(self, **options):
        self.fleet = await self.enterAsyncContext(Fleet.start(**options))
        self.entry = self.fleet.entries[0]
        self.url = f"{self.entry.url}/v1/completions"
        self.http = self.fleet.cluster.http

    async def post_completion(self, **fields):
        body = {"model": SERVICE, "prompt": "x", "max_tokens": 20} | fields
        async with self.http.post(self.url, json=body, headers=HEADERS) as response:
            return response.status, response.headers, json.loads(await response.read())

    async def wait_until(self, condition):
        async with asyncio.timeout(HANG_GUARD_S):
            while not await condition():
                await asyncio.sleep(0.02)

    async def test_overload_is_rejected_at_once(self):
        """Guards against an unbounded queue, and refusals with a wrong run state."""
        await self.start_fleet(engines=1, slots=1, token_gap_s=0.05)
        responses = await asyncio.gather(*(self.post_completion() for _ in range(12)))
        statuses = [status for status, _, _ in responses]
        self.assertIn(200, statuses)
        refusals = [
            (headers, document["error"])
            for status, headers, document in responses
            if status == 429
        ]
        self.assertEqual(len(statuses), statuses.count(200) + len(refusals))
        self.assertTrue(refusals)
        for headers, error in refusals:
            self.assertEqual("overloaded", error["code"])
            self.assertEqual("not_run", error["run_state"])
            self.assertGreater(error["retry_after_s"], 0)
            self.assertIn("Retry-After", headers)
        report = await self.fleet.cluster.get_json(
            f"{self.fleet.backends[0].engine.url}/requests"
        )
        self.assertEqual(statuses.count(200), len(report["seen"]))

    async def test_caller_disconnect_frees_the_engine(self):
        """Guards against engine work for a caller that has disconnected."""
        await self.start_fleet(engines=1, token_gap_s=0.1)
        body = {"model": SERVICE, "prompt": "x", "max_tokens": 600, "stream": True}
        async with self.http.post(self.url, json=body, headers=HEADERS) as response:
            await response.content.readline()
        engine = self.fleet.backends[0].engine

        async def engine_is_idle():
            report = await self.fleet.cluster.get_json(f"{engine.url}/requests")
            return report["seen"] and not report["held"]

        await self.wait_until(engine_is_idle)
        state = await self.fleet.cluster.state_of(self.entry)
        self.assertEqual([], state["generations"])
        self.assertEqual(0, state["requests_in_progress"])

    async def test_resume_without_stream_is_rejected(self):
        """Guards against a non-streaming answer without the tokens received before."""
        await self.start_fleet(engines=1)
        body = self.fleet.body("x", 20)
        event_id = f"{'0' * 32}-v1.1.{self.fleet.backends[0].address}.3"
        received = self.fleet.expected(body)[0][:3]
        body |= {"monsoontack": {"received": received}, "stream": False}
        headers = HEADERS | {"Last-Event-ID": event_id}
        async with self.http.post(self.url, json=body, headers=headers) as response:
            error = (await response.json())["error"]
        self.assertEqual((400, "invalid_request"), (response.status, error["code"]))
        self.assertIn("stream", error["message"])

    async def test_draining_entry_rejects_new_requests(self):
        """Guards against new work during a drain, and against a truncated answer."""
        await self.start_fleet(engines=1, token_gap_s=0.1)
        running_request = asyncio.ensure_future(self.post_completion())

        async def has_generation():
            return bool((await self.fleet.cluster.state_of(self.entry))["generations"])

        await self.wait_until(has_generation)
        self.entry.terminate()

        async def entry_is_draining():
            return (await self.fleet.cluster.state_of(self.entry))["draining"]

        await self.wait_until(entry_is_draining)
        status, _, document = await self.post_completion()
        self.assertEqual(503, status)
        self.assertEqual("shutting_down", document["error"]["code"])
        self.assertEqual("not_run", document["error"]["run_state"])
        async with self.http.get(f"{self.entry.url}/readyz") as response:
            self.assertEqual(503, response.status)
        status, _, document = await running_request
        self.assertEqual(200, status)
        self.assertEqual(20, len(document["token_ids"]))
        self.assertEqual(0, await self.entry.wait_ended())

    async def test_non_streaming_answer_past_the_drain_deadline(self):
        """Guards against an exit past the drain deadline, and an unanswered request."""
        await self.start_fleet(engines=1, token_gap_s=0.1, drain_deadline_s=3.0)
        running_request = asyncio.ensure_future(self.post_completion(max_tokens=600))

        async def generation_has_tokens():
            state = await self.fleet.cluster.state_of(self.entry)
            return any(item["position"] for item in state["generations"])

        await self.wait_until(generation_has_tokens)
        self.entry.terminate()
        status, _, document = await running_request
        self.assertEqual(502, status)
        self.assertEqual("shutting_down", document["error"]["code"])
        self.assertEqual("run", document["error"]["run_state"])
        self.assertEqual(0, await self.entry.wait_ended())

    async def test_counters_reach_statsd(self):
        """Guards against counters that are incremented but never sent to statsd."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
            receiver.bind(("127.0.0.1", 0))
            receiver.setblocking(False)
            port = receiver.getsockname()[1]
            await self.start_fleet(engines=1, statsd_address=f"127.0.0.1:{port}")
            await self.post_completion(max_tokens=5)
            loop = asyncio.get_running_loop()
            received = ""
            async with asyncio.timeout(HANG_GUARD_S):
                while "monsoontack.entry.tokens:5|c" not in received:
                    received += (await loop.sock_recv(receiver, 65_536)).decode() + "\n"
        self.assertIn("monsoontack.entry.requests:1|c", received)


if __name__ == "__main__":
    unittest.main()
