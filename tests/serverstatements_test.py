"""Tests of servers that say that they leave or ask for time, with gateway processes."""

import asyncio
import signal
import tempfile
import unittest
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from standins.directengine import DirectEngine
from standins.gatewayprocess import GatewayProcess, config
from standins.platformstore import SimulatedPlatformStore

GATEWAY_COUNT = 3
MEMORY_MB = 200
REQUESTS_PER_S = 30
# Requests that were on the way when the first answer arrived.
ON_THE_WAY_S = 0.2
# The users' rule: between this time after a 503 with `Retry-After` and its end, at most
# two requests reach the server from a gateway.
WAIT_SLACK_S = 0.5
MAX_IN_WAIT = 2
WAIT_S = 3.0
MIN_SHARE_SERVED = 0.99


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one request; status 0 means that the connection broke."""

    gateway: str
    sent_at: float
    took_s: float
    status: int
    retry_after: str | None


class ServerStatementsTest(unittest.IsolatedAsyncioTestCase):
    gateway_count = GATEWAY_COUNT

    async def asyncSetUp(self):
        self.now = asyncio.get_running_loop().time
        self.store = SimulatedPlatformStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.close)
        self.engines = {}
        for name, service, zone in (
            ("desk-1", "desk", "zone-a"),
            ("desk-2", "desk", "zone-b"),
            ("plan-1", "planner", "zone-a"),
            ("plan-2", "planner", "zone-b"),
        ):
            engine = self.engines[name] = DirectEngine(name, event_count=5)
            await engine.start()
            self.addAsyncCleanup(engine.close)
            self.store.put("servers", name, engine.entry(service, zone))
        self.store.put("config", "main", config())
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.gateways = []
        for number in range(self.gateway_count):
            gateway = GatewayProcess.write_settings(
                self.store, {}, Path(folder), MEMORY_MB, name=f"gateway-{number}"
            )
            self.gateways.append(gateway)
            self.addAsyncCleanup(gateway.stop)
        await asyncio.gather(*(gateway.start() for gateway in self.gateways))
        self.answers = []
        self.tasks = set()
        self.count = 0

    async def send_load(self, seconds, kind="look", per_s=REQUESTS_PER_S):
        """Send requests through all gateways in turn at a constant rate."""
        until = self.now() + seconds
        while self.now() < until:
            self.count += 1
            gateway = self.gateways[self.count % self.gateway_count]
            task = asyncio.ensure_future(self.send(gateway, kind, self.count))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*self.tasks)

    async def send(self, gateway, kind, number):
        """Send one request, whose id begins with the name of its gateway."""
        name, sent_at = gateway.settings.stem, self.now()
        request_id = f"{name}.{number}"
        try:
            if kind == "stream":
                status, headers, _ = await gateway.stream(request_id)
            else:
                status, headers, _ = await gateway.call(f"/{kind}/x", request_id)
        except aiohttp.ClientError:
            status, headers = 0, {}
        took_s = self.now() - sent_at
        retry_after = headers.get("Retry-After")
        self.answers.append(Answer(name, sent_at, took_s, status, retry_after))

    def late_requests(self, engine, slack_s=ON_THE_WAY_S):
        """Return the requests of each gateway after the first answer that said so."""
        said = {}
        for request_id, at in engine.leaving_said:
            said.setdefault(request_id.partition(".")[0], at)
        self.assertTrue(said)
        return [
            (request_id, round(at - said[request_id.partition(".")[0]], 2))
            for request_id, at in engine.requests
            if at > said.get(request_id.partition(".")[0], at) + slack_s
        ]

    def requests_in_wait(self, engine, wait_s=WAIT_S):
        """Return the number of requests of each gateway in its wait."""
        said, counts = {}, {}
        for request_id, at, _ in engine.waits_said:
            said.setdefault(request_id.partition(".")[0], at)
        self.assertTrue(said)
        for request_id, at in engine.requests:
            gateway = request_id.partition(".")[0]
            since = said.get(gateway)
            if since is not None and since + WAIT_SLACK_S < at < since + wait_s:
                counts[gateway] = counts.get(gateway, 0) + 1
        return counts

    def share_served(self, answers=None):
        answers = self.answers if answers is None else answers
        self.assertGreater(len(answers), 20)
        return sum(answer.status == 200 for answer in answers) / len(answers)

    async def check_leaving(self, name, kind):
        engine = self.engines[name]
        engine.is_leaving = True
        await self.send_load(4.0, kind)
        self.assertEqual([], self.late_requests(engine))
        self.assertGreaterEqual(self.share_served(), MIN_SHARE_SERVED)

    async def test_server_that_says_so_in_all_answers_gets_no_further_call(self):
        """Guards against calls to a leaving server whose record still says ready."""
        await self.check_leaving("desk-1", "look")

    async def test_server_that_says_so_in_refusals_gets_no_further_call(self):
        """Guards against a statement that is read from successes only."""
        self.engines["desk-1"].behavior = "shed"
        await self.check_leaving("desk-1", "look")

    async def test_engine_that_says_so_in_streams_gets_no_further_stream(self):
        """Guards against a statement that is read from calls only."""
        await self.check_leaving("plan-1", "stream")

    async def test_other_gateways_are_told(self):
        """Guards against gateways that send to a leaving server until it answers each
        of them, also one that has just started."""
        engine = self.engines["desk-1"]
        engine.is_leaving = True
        number = 0
        while not engine.leaving_said:
            number += 1
            await self.send(self.gateways[0], "look", number)
        await asyncio.sleep(1.0)
        restarted = self.gateways[1]
        restarted.signal(signal.SIGKILL)
        await restarted.process.wait()
        await restarted.start()
        await asyncio.sleep(1.0)
        await self.send_load(2.0)
        self.assertEqual(1, len(engine.requests))
        self.assertEqual(1.0, self.share_served())

    async def test_leaving_holds_without_the_store_and_ends_with_a_new_start(self):
        """Guards against a leaving server that an old record brings back, and against a
        new start of the name that gets nothing."""
        engine = self.engines["desk-1"]
        engine.is_leaving = True
        load = asyncio.ensure_future(self.send_load(6.0))
        await asyncio.sleep(1.5)
        self.store.error_status = 503
        await asyncio.sleep(2.0)
        self.store.error_status = None
        entry = engine.entry("desk", "zone-a")
        self.store.remove("servers", "desk-1")
        await asyncio.sleep(0.3)
        self.store.put("servers", "desk-1", entry | {"seqno": 2})
        await load
        self.assertEqual([], self.late_requests(engine))
        self.assertGreaterEqual(self.share_served(), MIN_SHARE_SERVED)
        engine.is_leaving = False
        engine.requests.clear()
        self.store.put("servers", "desk-1", entry | {"born": 1_900_000_000_000})
        await asyncio.sleep(1.0)
        await self.send_load(1.0)
        self.assertTrue(engine.requests)

    async def test_all_servers_leave(self):
        """Guards against requests that are held or sent when all servers leave."""
        for name in ("desk-1", "desk-2"):
            self.engines[name].is_leaving = True
        await self.send_load(1.5)
        for name in ("desk-1", "desk-2"):
            self.assertEqual([], self.late_requests(self.engines[name]))
        refused = [answer for answer in self.answers if answer.status != 200]
        self.assertGreater(len(refused), 20)
        for answer in refused:
            self.assertEqual(503, answer.status)
            self.assertLess(answer.took_s, 0.1)
            self.assertGreater(float(answer.retry_after), 0.0)

    async def check_wait(self, name, kind):
        engine = self.engines[name]
        engine.retry_after = str(WAIT_S)
        load = asyncio.ensure_future(self.send_load(WAIT_S + 2.5, kind))
        while not engine.waits_said:
            await asyncio.sleep(0.01)
        await asyncio.sleep(WAIT_S - 0.2)
        in_wait = self.requests_in_wait(engine)
        engine.retry_after = None
        ended_at = self.now() + 0.2
        await load
        self.assertLessEqual(max(in_wait.values(), default=0), MAX_IN_WAIT, in_wait)
        returned = [at - ended_at for _, at in engine.requests if at > ended_at]
        self.assertLess(min(returned, default=99.0), 1.0)
        self.assertGreaterEqual(self.share_served(), MIN_SHARE_SERVED)

    async def test_server_that_asks_for_time_gets_no_call(self):
        """Guards against calls to a server that asked for time, and against one that is
        left out for longer."""
        await self.check_wait("desk-1", "look")

    async def test_engine_that_asks_for_time_gets_no_stream(self):
        """Guards against streams to an engine that asked for time."""
        await self.check_wait("plan-1", "stream")

    async def test_all_servers_ask_for_time(self):
        """Guards against callers that are held, or told another time than the shortest
        that a server asked for."""
        waits = {"desk-1": 3.0, "desk-2": 4.5}
        for name, wait_s in waits.items():
            self.engines[name].retry_after = str(wait_s)
        load = asyncio.ensure_future(self.send_load(5.5))
        await asyncio.sleep(2.9)
        for name, wait_s in waits.items():
            in_wait = self.requests_in_wait(self.engines[name], wait_s)
            self.assertLessEqual(max(in_wait.values(), default=0), MAX_IN_WAIT)
            self.engines[name].retry_after = None
        await load
        first = {}
        for request_id, at, _ in self.engines["desk-1"].waits_said:
            first.setdefault(request_id.partition(".")[0], at)
        checked = 0
        for answer in self.answers:
            if answer.status == 200:
                continue
            self.assertEqual(503, answer.status)
            self.assertLess(answer.took_s, 0.1)
            if ON_THE_WAY_S < answer.sent_at - first[answer.gateway] < 3.0:
                expected = first[answer.gateway] + 3.0 - answer.sent_at
                self.assertAlmostEqual(expected, float(answer.retry_after), delta=0.3)
                checked += 1
        self.assertGreater(checked, 20)
        since = max(first.values()) + 4.0
        later = [answer for answer in self.answers if answer.sent_at > since]
        self.assertGreaterEqual(self.share_served(later), MIN_SHARE_SERVED)

    async def test_malformed_times_change_nothing(self):
        """Guards against a server that a malformed or endless time excludes."""
        engine = self.engines["desk-1"]
        for text in ("Fri, 31 Dec 2027 23:59:59 GMT", "9" * 400, "-3", "nan", ""):
            engine.retry_after = text
            await self.send_load(0.4)
        engine.retry_after = None
        await asyncio.sleep(0.2)
        engine.requests.clear()
        await self.send_load(1.0)
        self.assertGreater(len(engine.requests), 5)


if __name__ == "__main__":
    unittest.main()
