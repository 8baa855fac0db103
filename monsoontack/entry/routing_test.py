"""Tests of routing and admission with real entries, agents and engine stand-ins."""

import asyncio
import hashlib
import unittest

from monsoontack.config.revision import seed_store
from monsoontack.store.http import HttpStore
from standins.cluster import Cluster

KEY = "key-of-the-test"
SERVICE = "desk"
OBJECTS = [
    {
        "kind": "Service",
        "name": SERVICE,
        "spec": {"kind": "engine", "shares": {"v1": 100}},
    },
    {
        "kind": "Version",
        "name": f"{SERVICE}.v1",
        "spec": {"service": SERVICE, "version": "v1"},
    },
    {
        "kind": "ClientAccount",
        "name": "account",
        "spec": {"key_digests": [hashlib.sha256(KEY.encode()).hexdigest()]},
    },
]


async def seed(url):
    store = HttpStore(url)
    try:
        (await seed_store(store, OBJECTS)).unwrap()
    finally:
        await store.close()


class Testbed:
    """A cluster with one entry and engines of one service."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.engines, self.agents, self.entry = [], [], None

    async def start(self, n_engines, slots=16, token_gap_s=0.01):
        await self.cluster.start_platform(seed)
        for _ in range(n_engines):
            engine = await self.cluster.start_engine(
                slots=slots, token_gap_s=token_gap_s
            )
            self.engines.append(engine)
            self.agents.append(
                await self.cluster.start_agent(engine, SERVICE, slots=slots)
            )
        self.entry = await self.cluster.start_entry()
        await self.wait_until(self.all_agents_linked)

    async def wait_until(self, condition):
        while not await condition():
            await asyncio.sleep(0.05)

    async def all_agents_linked(self):
        dump = await self.cluster.state_of(self.entry)
        links = [link for link in dump["links"] if link["up"] and link["slots"]]
        return dump["ready"] and len(links) == len(self.agents)

    async def complete(self, prompt="hello", max_tokens=4):
        body = {"model": SERVICE, "prompt": prompt, "max_tokens": max_tokens}
        headers = {"Authorization": f"Bearer {KEY}"}
        url = f"{self.entry.url}/v1/completions"
        async with self.cluster.http.post(url, json=body, headers=headers) as answer:
            return answer.status, await answer.json()

    async def request_count(self, engine):
        document = await self.cluster.get_json(f"{engine.url}/requests")
        return len(document["seen"])

    async def link_dump(self, agent):
        dump = await self.cluster.state_of(self.entry)
        address = f"127.0.0.1:{agent.port}"
        return next((x for x in dump["links"] if x["address"] == address), None)

    async def traffic_share(self, agent):
        dump = await self.cluster.state_of(self.entry)
        return dump["routing"]["shares"].get(f"127.0.0.1:{agent.port}", 1.0)


class RoutingTest(unittest.TestCase):
    def run_scenario(self, scenario):
        async def run():
            async with Cluster.create() as cluster:
                await scenario(Testbed(cluster))

        asyncio.run(run())

    def test_leaving_server_gets_no_new_work(self):
        """Guards against requests sent to a server that announced leaving (P7)."""

        async def scenario(testbed):
            await testbed.start(2, token_gap_s=0.02)
            leaving, engine = testbed.agents[0], testbed.engines[0]
            long_requests = [
                asyncio.create_task(testbed.complete(f"long {i}", 400))
                for i in range(4)
            ]

            async def both_busy():
                return await testbed.request_count(
                    engine
                ) and await testbed.request_count(testbed.engines[1])

            await testbed.wait_until(both_busy)
            leaving.terminate()

            async def leaving_seen():
                link = await testbed.link_dump(leaving)
                return link is None or link["leaving"]

            await testbed.wait_until(leaving_seen)
            before = await testbed.request_count(engine)
            answers = [await testbed.complete(f"short {i}") for i in range(20)]
            self.assertEqual({200}, {status for status, _ in answers})
            self.assertEqual(before, await testbed.request_count(engine))
            results = await asyncio.gather(*long_requests)
            self.assertEqual({200}, {status for status, _ in results})

        self.run_scenario(scenario)

    def test_failing_server_is_ejected_and_returns_gradually(self):
        """Guards against requests to an ejected server, and a burst on its return."""

        async def scenario(testbed):
            await testbed.start(3)
            agent, engine = testbed.agents[0], testbed.engines[0]
            await testbed.cluster.set_faults(engine, {"faults": [{"kind": "fail"}]})

            async def ejected():
                status, _ = await testbed.complete(
                    f"{await testbed.request_count(engine)}"
                )
                self.assertEqual(200, status)
                return await testbed.traffic_share(agent) == 0

            await testbed.wait_until(ejected)
            before = await testbed.request_count(engine)
            for index in range(20):
                await testbed.complete(f"while ejected {index}")
            # A slow run may outlast the ejection; the check would then prove nothing.
            if await testbed.traffic_share(agent) == 0:
                self.assertEqual(before, await testbed.request_count(engine))
            await testbed.cluster.set_faults(engine, {"faults": []})

            async def returned():
                return await testbed.traffic_share(agent) > 0

            await testbed.wait_until(returned)
            before = await testbed.request_count(engine)
            count = 0
            while await testbed.traffic_share(agent) < 0.25 and count < 200:
                await testbed.complete(f"after the return {count}")
                count += 1
            received_count = await testbed.request_count(engine) - before
            self.assertLess(received_count, max(count, 20) / 3 * 0.75)

            async def takes_work():
                await testbed.complete("until it takes work")
                return await testbed.request_count(engine) > before

            await testbed.wait_until(takes_work)

        self.run_scenario(scenario)

    def test_overload_is_refused_at_once_with_a_retry_time(self):
        """Guards against unbounded queues and misleading refusals."""

        async def scenario(testbed):
            await testbed.start(1, slots=2)
            tasks = [testbed.complete(f"burst {i}", 100) for i in range(12)]
            answers = await asyncio.gather(*tasks)
            refused = [body["error"] for status, body in answers if status == 429]
            self.assertGreaterEqual(len(refused), 6)
            self.assertEqual(12, len(refused) + sum(s == 200 for s, _ in answers))
            for error in refused:
                self.assertEqual("overloaded", error["code"])
                self.assertEqual("not_run", error["run_state"])
                self.assertGreater(error["retry_after_s"], 0)
            # Requests refused as not run never reached the engine.
            self.assertEqual(
                12 - len(refused), await testbed.request_count(testbed.engines[0])
            )
            await asyncio.sleep(max(error["retry_after_s"] for error in refused))
            status, _ = await testbed.complete("after the wait")
            self.assertEqual(200, status)

        self.run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
