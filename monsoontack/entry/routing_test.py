"""Tests of routing and admission with real entries, agents and engine stand-ins."""

import asyncio
import hashlib
import unittest

from monsoontack.config.revision import seed_store
from monsoontack.store.http import HttpStore
from standins.cluster import Cluster

KEY = "key-of-the-test"
SERVICE = "desk"
DOCUMENTS = [
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
        (await seed_store(store, DOCUMENTS)).unwrap()
    finally:
        await store.close()


class World:
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
        await self.until(self.all_linked)

    async def until(self, condition):
        while not await condition():
            await asyncio.sleep(0.05)

    async def all_linked(self):
        dump = await self.cluster.state_of(self.entry)
        links = [link for link in dump["links"] if link["up"] and link["slots"]]
        return dump["ready"] and len(links) == len(self.agents)

    async def ask(self, prompt="hello", max_tokens=4):
        body = {"model": SERVICE, "prompt": prompt, "max_tokens": max_tokens}
        headers = {"Authorization": f"Bearer {KEY}"}
        url = f"{self.entry.url}/v1/completions"
        async with self.cluster.http.post(url, json=body, headers=headers) as answer:
            return answer.status, await answer.json()

    async def asked(self, engine):
        document = await self.cluster.get_json(f"{engine.url}/requests")
        return len(document["seen"])

    async def link_dump(self, agent):
        dump = await self.cluster.state_of(self.entry)
        address = f"127.0.0.1:{agent.port}"
        return next((x for x in dump["links"] if x["address"] == address), None)

    async def share(self, agent):
        dump = await self.cluster.state_of(self.entry)
        return dump["routing"]["shares"].get(f"127.0.0.1:{agent.port}", 1.0)


class RoutingTest(unittest.TestCase):
    def run_world(self, scenario):
        async def run():
            async with Cluster.create() as cluster:
                await scenario(World(cluster))

        asyncio.run(run())

    def test_leaving_server_gets_no_new_work(self):
        """Guards against requests sent to a server that announced leaving (P7)."""

        async def scenario(world):
            await world.start(2, token_gap_s=0.02)
            leaving, engine = world.agents[0], world.engines[0]
            held = [asyncio.create_task(world.ask(f"long {i}", 400)) for i in range(4)]

            async def both_busy():
                return await world.asked(engine) and await world.asked(world.engines[1])

            await world.until(both_busy)
            leaving.terminate()

            async def seen():
                link = await world.link_dump(leaving)
                return link is None or link["leaving"]

            await world.until(seen)
            before = await world.asked(engine)
            answers = [await world.ask(f"short {i}") for i in range(20)]
            self.assertEqual({200}, {status for status, _ in answers})
            self.assertEqual(before, await world.asked(engine))
            results = await asyncio.gather(*held)
            self.assertEqual({200}, {status for status, _ in results})

        self.run_world(scenario)

    def test_failing_server_is_ejected_and_returns_gently(self):
        """Guards against work for a failing server, and a herd on its return."""

        async def scenario(world):
            await world.start(3)
            agent, engine = world.agents[0], world.engines[0]
            await world.cluster.set_faults(engine, {"faults": [{"kind": "fail"}]})

            async def ejected():
                status, _ = await world.ask(f"{await world.asked(engine)}")
                self.assertEqual(200, status)
                return await world.share(agent) == 0

            await world.until(ejected)
            before = await world.asked(engine)
            for index in range(20):
                await world.ask(f"while ejected {index}")
            # Slow runs may outlast the ejection, which then proves nothing.
            if await world.share(agent) == 0:
                self.assertEqual(before, await world.asked(engine))
            await world.cluster.set_faults(engine, {"faults": []})

            async def returned():
                return await world.share(agent) > 0

            await world.until(returned)
            before = await world.asked(engine)
            count = 0
            while await world.share(agent) < 0.25 and count < 200:
                await world.ask(f"after the return {count}")
                count += 1
            taken = await world.asked(engine) - before
            self.assertLess(taken, max(count, 20) / 3 * 0.75)

            async def takes_work():
                await world.ask("until it takes work")
                return await world.asked(engine) > before

            await world.until(takes_work)

        self.run_world(scenario)

    def test_overload_is_refused_at_once_with_a_retry_time(self):
        """Guards against queues without end and against refusals that mislead."""

        async def scenario(world):
            await world.start(1, slots=2)
            tasks = [world.ask(f"burst {i}", 100) for i in range(12)]
            answers = await asyncio.gather(*tasks)
            refused = [body["error"] for status, body in answers if status == 429]
            self.assertGreaterEqual(len(refused), 6)
            self.assertEqual(12, len(refused) + sum(s == 200 for s, _ in answers))
            for error in refused:
                self.assertEqual("overloaded", error["code"])
                self.assertEqual("not_run", error["run_state"])
                self.assertGreater(error["retry_after_s"], 0)
            # What was refused as not run really never reached the engine.
            self.assertEqual(12 - len(refused), await world.asked(world.engines[0]))
            await asyncio.sleep(max(error["retry_after_s"] for error in refused))
            status, _ = await world.ask("after the wait")
            self.assertEqual(200, status)

        self.run_world(scenario)


if __name__ == "__main__":
    unittest.main()
