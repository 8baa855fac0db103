"""Tests of a limit that a server states, with several gateway processes on loopback."""

import asyncio
import signal
import tempfile
import unittest
from pathlib import Path

import aiohttp

from bench.limitmodel import SETTLE_S, allowed_arrivals, most_arrivals
from standins.directengine import DirectEngine
from standins.gatewayprocess import GatewayProcess, config
from standins.platformstore import SimulatedPlatformStore

GATEWAY_COUNT = 3
MEMORY_MB = 200
CALLS_PER_S = 45


class LimitsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = SimulatedPlatformStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.engines = {}
        for name, service, zone in (
            ("desk-1", "desk", "zone-a"),
            ("desk-2", "desk", "zone-b"),
            ("plan-1", "planner", "zone-a"),
        ):
            engine = self.engines[name] = DirectEngine(name, event_count=5)
            await engine.start()
            self.addAsyncCleanup(engine.close)
            self.store.put("servers", name, engine.entry(service, zone))
        self.store.put("config", "main", config())
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.gateways = []
        for number in range(GATEWAY_COUNT):
            gateway = GatewayProcess.write_settings(
                self.store, {}, Path(folder), MEMORY_MB, name=f"gateway-{number}"
            )
            self.gateways.append(gateway)
            self.addAsyncCleanup(gateway.stop)
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        self.answers = []
        self.tasks = set()
        self.now = asyncio.get_running_loop().time

    async def send_calls(self, seconds, path="/look/a"):
        """Send calls through all gateways in turn at a constant rate."""
        until, number = self.now() + seconds, 0
        while self.now() < until:
            number += 1
            gateway = self.gateways[number % GATEWAY_COUNT]
            call = gateway.call(path, f"{path}-{len(self.tasks)}-{self.now()}")
            task = asyncio.ensure_future(self.record(call))
            self.tasks.add(task)
            await asyncio.sleep(1 / CALLS_PER_S)
        await asyncio.gather(*self.tasks)
        self.tasks.clear()

    async def record(self, call):
        try:
            status, headers, _ = await call
        except aiohttp.ClientError:
            # The gateway was killed; its caller gets no response.
            return
        self.answers.append((self.now(), status, headers.get("Retry-After")))

    async def test_limit_holds_for_all_gateways_together(self):
        """Guards against gateways that send a server more than the limit it stated."""
        limit, began_at = 2.8, self.now()
        self.engines["desk-1"].limit = str(limit)
        await self.send_calls(11.0)
        arrivals = self.engines["desk-1"].arrivals
        most = most_arrivals(arrivals, began_at + SETTLE_S)
        self.assertLessEqual(most, allowed_arrivals(limit))
        self.assertEqual({200}, {status for _, status, _ in self.answers})

    async def test_limits_hold_over_restarts_without_the_store_and_then_end(self):
        """Guards against a limit that a restart or a store outage multiplies, refusals
        without a retry time, and a limit that outlasts the server's need."""
        limits, began_at = {"desk-1": 2.8, "desk-2": 4.4}, self.now()
        for name, limit in limits.items():
            self.engines[name].limit = str(limit)
        load = asyncio.ensure_future(self.send_calls(14.0))
        await asyncio.sleep(3.0)
        self.store.error_status = 503
        await asyncio.sleep(1.0)
        self.store.error_status = None
        restarted = self.gateways[0]
        restarted.signal(signal.SIGKILL)
        await restarted.process.wait()
        await restarted.start()
        self.store.error_status = 503
        await asyncio.sleep(2.0)
        self.store.error_status = None
        await load
        for name, limit in limits.items():
            most = most_arrivals(self.engines[name].arrivals, began_at + SETTLE_S)
            self.assertLessEqual(most, allowed_arrivals(limit), name)
        refused = [retry for _, status, retry in self.answers if status == 503]
        self.assertGreater(len(refused), 20)
        self.assertGreater(min(float(retry) for retry in refused), 0.0)
        for name in limits:
            self.engines[name].limit = None
        await self.send_calls(1.0)
        await asyncio.sleep(0.5)
        self.answers.clear()
        await self.send_calls(1.0)
        self.assertEqual({200}, {status for _, status, _ in self.answers})


if __name__ == "__main__":
    unittest.main()
