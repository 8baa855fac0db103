"""Failure tests of the agent on real sockets, with the simulators of `standins`.

Fault positions are derived from seeds. Timeouts only keep a test from hanging; no
assertion depends on how long an operation takes.
"""

import asyncio
import random
import time
import unittest

import grpc

from monsoontack.proto import link_pb2 as pb
from standins.answers import BLOCK_CHARACTERS, expected_answer
from standins.cluster import Cluster
from standins.linkclient import HANG_GUARD_S, LinkClient

REQUEST = {"prompt": "How do I descale the frother?", "max_tokens": 60}
EXPECTED = expected_answer("v1", REQUEST)[0]


class FailureTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = await self.enterAsyncContext(Cluster.create())
        await self.cluster.start_platform()

    async def start_engine_and_agent(self, **settings):
        engine = await self.cluster.start_engine(token_gap_s=0.002)
        agent = await self.cluster.start_agent(engine, service="writer", **settings)
        return engine, agent

    async def open_link(self, address, entry="entry-1"):
        link = LinkClient(address, entry)
        self.addAsyncCleanup(link.close)
        await link.wait_until(lambda: link.info)
        return link

    async def wait_until_ended(self, process):
        async with asyncio.timeout(HANG_GUARD_S):
            return await process.wait_ended()

    async def wait_until_stopped(self, process):
        async with asyncio.timeout(HANG_GUARD_S):
            await process.wait_stopped()

    async def set_fault(self, process, kind, **fields):
        document = {"faults": [{"kind": kind, **fields}]}
        await self.cluster.set_faults(process, document)

    async def test_attach_replays_after_a_silent_link(self):
        """Guards against lost or repeated tokens when a connection becomes silent."""
        engine, agent = await self.start_engine_and_agent(use_fault_proxy=True)
        fault_proxy = self.cluster.fault_proxies[agent.name]
        for seed in range(3):
            position = random.Random(seed).randrange(1, 50)
            with self.subTest(seed=seed, position=position):
                await self.silence_and_attach(fault_proxy, f"g{seed}", position)
        requests = await self.cluster.get_json(f"{engine.url}/requests")
        self.assertEqual(3, len(requests["seen"]))

    async def silence_and_attach(self, fault_proxy, generation, position):
        old = await self.open_link(fault_proxy.address)
        await old.start(generation, REQUEST)
        await old.wait_until(lambda: len(old.tokens(generation, 1)) >= position)
        await self.cluster.set_faults(fault_proxy, {"silence": "open"})
        new = await self.open_link(fault_proxy.address)
        await new.attach(generation, 2, position)
        await new.wait_until(lambda: new.finished(generation, 2))
        got = old.tokens(generation, 1)[:position]
        self.assertEqual(EXPECTED, got + new.tokens(generation, 2, position))

    async def test_second_entry_supersedes_the_first(self):
        """Guards against two entries that both stream the answer of one generation."""
        engine, agent = await self.start_engine_and_agent()
        await self.set_fault(engine, "hold", at_position=20)
        first = await self.open_link(agent.address, "entry-1")
        await first.start("g", REQUEST)
        await first.wait_until(lambda: len(first.tokens("g", 1)) == 20)
        second = await self.open_link(agent.address, "entry-2")
        await second.attach("g", 2, 0)
        await second.wait_until(lambda: len(second.tokens("g", 2)) == 20)
        await first.wait_until(lambda: first.ends)
        self.assertEqual(["superseded"], [end.code for end in first.ends])
        await first.attach("g", 2, 0)
        await first.wait_until(lambda: len(first.ends) == 2)
        await self.cluster.set_faults(engine, {"faults": []})
        await second.wait_until(lambda: second.finished("g", 2))
        self.assertEqual(EXPECTED, second.tokens("g", 2))
        self.assertEqual(EXPECTED[:20], first.tokens("g", 1))

    async def test_engine_killed_during_output(self):
        """Guards against losing the tokens that arrived before the engine died."""
        position = random.Random(4).randrange(1, 50)
        engine, agent = await self.start_engine_and_agent()
        _, other = await self.start_engine_and_agent()
        await self.set_fault(engine, "die", at_position=position)
        link = await self.open_link(agent.address)
        await link.start("g", REQUEST)
        await link.wait_until(lambda: link.ends)
        prefix = link.tokens("g", 1)
        self.assertEqual(EXPECTED[:position], prefix)
        self.assertEqual(("backend_failed", True), self.end_of(link))
        again = await self.open_link(other.address)
        await again.start("g", REQUEST, attempt=2, prefix=tuple(prefix))
        await again.wait_until(lambda: again.finished("g", 2))
        self.assertEqual(EXPECTED, prefix + again.tokens("g", 2, position))
        await link.start("h", REQUEST)
        await link.wait_until(lambda: len(link.ends) == 2)
        self.assertEqual(("backend_failed", False), self.end_of(link))

    def end_of(self, link):
        return link.ends[-1].code, link.ends[-1].started

    async def test_paused_engine_returns_with_late_tokens(self):
        """Guards against late tokens of a cancelled attempt in the next attempt."""
        position = random.Random(5).randrange(1, 50)
        engine, agent = await self.start_engine_and_agent()
        await self.set_fault(engine, "pause", at_position=position, count=1)
        link = await self.open_link(agent.address)
        await link.start("g", REQUEST)
        await link.wait_until(lambda: len(link.tokens("g", 1)) == position)
        await self.wait_until_stopped(engine)
        frames = len(link.frames)
        await link.wait_until(lambda: len(link.frames) > frames + 2)
        self.assertGreater(link.load.progress_age_s, 0.0)
        await link.send(cancel=pb.Cancel(generation="g", attempt=1))
        await link.start("g", REQUEST, attempt=2, prefix=tuple(EXPECTED[:position]))
        engine.resume()
        await link.wait_until(lambda: link.finished("g", 2))
        self.assertEqual(EXPECTED[position:], link.tokens("g", 2, position))
        self.assertEqual(EXPECTED[:position], link.tokens("g", 1))

    async def test_killed_agent_has_lost_its_log(self):
        """Guards against an attach that waits for a stream that no longer exists."""
        engine, agent = await self.start_engine_and_agent()
        await self.set_fault(engine, "hold", at_position=10)
        link = await self.open_link(agent.address)
        await link.start("g", REQUEST)
        await link.wait_until(lambda: len(link.tokens("g", 1)) == 10)
        agent.kill()
        await self.wait_until_ended(agent)
        agent = await self.cluster.restart_daemon(agent)
        again = await self.open_link(agent.address)
        self.assertGreater(again.info.incarnation, link.info.incarnation)
        await again.attach("g", 2, 10)
        await again.wait_until(lambda: again.ends)
        self.assertEqual(("not_found", True), self.end_of(again))

    async def send_call(self, link, key, fence, late_s=0.0):
        # PUT, because aiohttp retries this method when the connection breaks.
        message = pb.Call(
            call_id=key,
            method="PUT",
            path="/holds",
            account="a",
            key=key,
            fence=fence,
            latest_start_unix_s=time.time() + 3600.0 - late_s,
        )
        count = len(link.results)
        await link.send(call=message)
        await link.wait_until(lambda: len(link.results) > count)
        return link.results[-1].run_state, link.results[-1].code

    async def test_calls_run_at_most_once(self):
        """Guards against a call that runs twice or late.

        Also guards against a call that runs and is reported as not run.
        """
        service = await self.cluster.start_service()
        agent = await self.cluster.start_agent(service, "holds", kind="service")
        link = await self.open_link(agent.address)
        self.assertEqual(("run", ""), await self.send_call(link, "k1", 2))
        self.assertEqual(("unknown", "fenced"), await self.send_call(link, "k1", 2))
        self.assertEqual(("unknown", "fenced"), await self.send_call(link, "k1", 1))
        late = await self.send_call(link, "k2", 1, late_s=7200.0)
        self.assertEqual(("not_run", "late"), late)
        await self.set_fault(service, "lose_answer")
        self.assertEqual(
            ("unknown", "answer_lost"), await self.send_call(link, "k3", 1)
        )
        found = await self.cluster.get_json(f"{service.url}/executions")
        counts = {item["key"]: item["count"] for item in found["executions"]}
        self.assertEqual({"k1": 1, "k3": 1}, counts)
        service.kill()
        await self.wait_until_ended(service)
        lost = await self.send_call(link, "k4", 1)
        self.assertEqual(("not_run", "backend_unreachable"), lost)

    async def test_old_orders_do_not_reach_the_engine(self):
        """Guards against executing orders of a controller that lost its lease."""
        engine, agent = await self.start_engine_and_agent()
        link = await self.open_link(agent.address)
        orders = (("o1", "v2", 5), ("o2", "v3", 4))
        for order_id, version, fence in orders:
            order = pb.Order(
                order_id=order_id, kind="load", version=version, fence=fence
            )
            await link.send(order=order)
        await link.wait_until(lambda: len(link.order_results) == 2)
        codes = {result.order_id: result.code for result in link.order_results}
        self.assertEqual({"o1": "ok", "o2": "fenced"}, codes)
        await link.wait_until(lambda: "v2" in link.info.versions)
        versions = await self.cluster.get_json(f"{engine.url}/versions")
        self.assertEqual(["v1", "v2"], versions["versions"])

    async def test_load_and_cache_events_reach_every_link(self):
        """Guards against entries that lack the load or cache state of an engine."""
        engine = await self.cluster.start_engine(
            options=("--cache-lag-s=0", "--cache-gap-every=2", "--load-lag-s=0")
        )
        agent = await self.cluster.start_agent(engine, service="writer")
        await self.set_fault(engine, "hold", at_position=1)
        first = await self.open_link(agent.address)
        for number in range(3):
            request = {"prompt": f"{number}" * BLOCK_CHARACTERS, "max_tokens": 2}
            await first.start(f"g{number}", request)
        await first.wait_until(lambda: len(first.cache_events) == 2)
        await first.wait_until(lambda: first.load.running == 3)
        second = await self.open_link(agent.address)
        await second.wait_until(lambda: len(second.cache_events) == 2)
        for link in (first, second):
            found = [(event.sequence, event.kind) for event in link.cache_events]
            self.assertEqual([(1, "stored"), (3, "stored")], found)

    async def test_leaving_vm_refuses_new_work(self):
        """Guards against new work on a VM that the platform is about to remove."""
        engine, agent = await self.start_engine_and_agent()
        await self.set_fault(engine, "hold", at_position=10)
        link = await self.open_link(agent.address)
        await link.start("g", REQUEST)
        await link.wait_until(lambda: len(link.tokens("g", 1)) == 10)
        await self.cluster.set_vm_state(agent, "leaving")
        await link.wait_until(lambda: link.frames[-1].leaving)
        await link.start("h", REQUEST)
        await link.wait_until(lambda: link.ends)
        self.assertEqual(("leaving", False), self.end_of(link))
        await self.cluster.set_faults(engine, {"faults": []})
        await link.wait_until(lambda: link.finished("g", 1))
        self.assertEqual(EXPECTED, link.tokens("g", 1))
        self.assertTrue(agent.is_running())

    async def test_drain_cuts_nothing(self):
        """Guards against a shutdown that aborts a stream or loses its end."""
        engine, agent = await self.start_engine_and_agent()
        await self.set_fault(engine, "hold", at_position=10)
        link = await self.open_link(agent.address)
        await link.start("g", REQUEST)
        await link.wait_until(lambda: len(link.tokens("g", 1)) == 10)
        agent.terminate()
        await link.wait_until(lambda: link.frames[-1].leaving)
        await self.cluster.set_faults(engine, {"faults": []})
        await link.wait_until(lambda: link.finished("g", 1))
        self.assertEqual(EXPECTED, link.tokens("g", 1))
        self.assertEqual(0, await self.wait_until_ended(agent))
        await link.reader
        self.assertEqual(grpc.StatusCode.OK, link.code)

    async def test_drain_deadline_hands_over(self):
        """Guards against a stream that ends without an end message at the deadline."""
        engine, agent = await self.start_engine_and_agent(drain_deadline_s=1.5)
        await self.set_fault(engine, "hold", at_position=10)
        link = await self.open_link(agent.address)
        await link.start("g", REQUEST)
        await link.wait_until(lambda: len(link.tokens("g", 1)) == 10)
        agent.terminate()
        await link.wait_until(lambda: link.ends)
        self.assertEqual(("leaving", True), self.end_of(link))
        self.assertEqual(0, await self.wait_until_ended(agent))


if __name__ == "__main__":
    unittest.main()
