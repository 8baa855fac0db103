"""Tests of requests that reach a gateway process during its drain of 4 s."""

import asyncio
import json
import signal
import unittest

import aiohttp

from standins.directengine import make_event
from standins.gatewayprocess import GatewayProcess

WAIT_TIMEOUT_S = 30.0
SEND_INTERVAL_S = 0.1
EVENTS = 50
COMPLETE_STREAM = b"".join(make_event(number) for number in range(1, EVENTS + 1))
CUT = 0  # status of a request whose connection ended without a complete response


class DrainTest(unittest.IsolatedAsyncioTestCase):
    """Each test sends requests all through the drain, whose usual time is known."""

    async def asyncSetUp(self):
        self.gateway = await self.enterAsyncContext(GatewayProcess.started())

    def runs(self, request_id):
        engines = self.gateway.engines.values()
        return sum(run[0] == request_id for engine in engines for run in engine.runs)

    async def send(self, path, request_id):
        """Send a request; return the time until its end, its status and its error."""
        gateway, now = self.gateway, asyncio.get_running_loop().time
        began = now()
        try:
            if path == "/stream/":
                status, _, body = await gateway.stream(request_id)
                self.assertEqual(status == 200, body == COMPLETE_STREAM)
            else:
                status, headers, body = await gateway.call(path + "a", request_id)
                if status == 503:
                    self.assertEqual("close", headers["Connection"].lower())
        except aiohttp.ClientConnectorError:
            return now() - began, None, None
        except aiohttp.ClientError:
            return now() - began, CUT, None
        error = None if status == 200 else json.loads(body)["error"]
        return now() - began, status, error

    async def drain(self, path, prior=5):
        """Send requests before and during a drain; return those during it.

        They are returned as a list of the time after SIGTERM at which they were sent,
        their status and the number of their runs.
        """
        await asyncio.gather(*(self.send(path, f"a{n}") for n in range(prior)))
        self.gateway.signal(signal.SIGTERM)
        now = asyncio.get_running_loop().time
        began, sent = now(), []
        while self.gateway.process.returncode is None:
            request_id = f"b{len(sent)}"
            task = asyncio.ensure_future(self.send(path, request_id))
            sent.append((now() - began, request_id, task))
            await asyncio.sleep(SEND_INTERVAL_S)
        self.assertEqual(0, self.gateway.process.returncode)
        found = []
        for at_s, request_id, task in sent:
            took_s, status, error = await task
            runs = self.runs(request_id)
            if status == 503:
                self.assertEqual("not_run", error["run_state"])
                self.assertEqual(0, runs)
                self.assertLess(took_s, 0.5)
            elif status not in (200, CUT, None):
                self.assertEqual("unknown", error["run_state"])
            found.append((round(at_s, 1), status, runs))
        return found

    def set_call_time(self, work_s):
        for name in ("desk-1", "desk-2"):
            self.gateway.engines[name].work_s = work_s

    def set_stream_time(self, took_s):
        for name in ("plan-1", "plan-2"):
            self.gateway.engines[name].event_gap_s = took_s / EVENTS

    def check(self, found, served_until_s):
        """Check that no request was cut, and that those sent early were served."""
        cut = [item for item in found if item[2] and item[1] in (CUT, None)]
        self.assertEqual([], cut)
        early = [item for item in found if item[0] <= served_until_s]
        self.assertEqual([], [item for item in early if item[1] != 200])

    async def check_long_calls(self, path):
        self.set_call_time(2.4)
        found = await self.drain(path)
        self.check(found, served_until_s=0.0)
        self.assertLessEqual({status for _, status, _ in found}, {200, 503, None})

    async def test_long_calls_late_in_a_drain_are_refused_and_not_cut(self):
        """Guards against calls that are passed on late in a drain, and whose callers
        get no answer at its end although the calls may not be repeated."""
        await self.check_long_calls("/once/")

    async def test_long_lookups_late_in_a_drain_are_refused_and_not_cut(self):
        """Guards against idempotent calls that are passed on late and cut."""
        await self.check_long_calls("/look/")

    async def test_short_calls_are_served_through_a_drain(self):
        """Guards against calls refused in a drain although there is time for them."""
        self.set_call_time(0.3)
        self.check(await self.drain("/once/"), served_until_s=2.4)

    async def test_short_lookups_are_served_through_a_drain(self):
        """Guards against idempotent calls refused although there is time for them."""
        self.set_call_time(0.3)
        self.check(await self.drain("/look/"), served_until_s=2.7)

    async def test_short_streams_are_served_through_a_drain(self):
        """Guards against streams refused as if they took as long as those of others."""
        self.set_stream_time(1.0)
        self.check(await self.drain("/stream/"), served_until_s=2.0)

    async def test_long_streams_late_in_a_drain_are_refused_and_not_cut(self):
        """Guards against streams that are begun in a drain and cannot end in it."""
        self.set_stream_time(2.5)
        self.check(await self.drain("/stream/"), served_until_s=0.5)

    async def test_call_that_outlasts_the_drain_gets_an_answer(self):
        """Guards against a connection that the end of a drain closes without an answer
        to the call that was passed on, and against a false run state."""
        for name in ("desk-1", "desk-2"):
            self.gateway.engines[name].behavior = "hang"
        calls = [
            asyncio.ensure_future(self.send(path, path))
            for path in ("/once/", "/look/")
        ]
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not (self.runs("/once/") and self.runs("/look/")):
                await asyncio.sleep(0.05)
        self.gateway.signal(signal.SIGTERM)
        for _, status, error in await asyncio.gather(*calls):
            self.assertEqual(502, status)
            self.assertEqual("unknown", error["run_state"])
        self.assertEqual(0, await self.gateway.process.wait())


if __name__ == "__main__":
    unittest.main()
