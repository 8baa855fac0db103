"""Failure test of whole answers through entries, agents and engines.

Each seed draws two faults and the token positions at which they strike the
processes that carry the answer at that moment.
"""

import asyncio
import random
import unittest

import demo.main
from monsoontack.client.client import AnswerProgress, Client
from monsoontack.generation.eventid import parse_event_id
from standins.answers import expected_answer
from standins.cluster import Cluster
from standins.linkclient import HANG_GUARD_S

ENTRIES = 3
AGENTS = 6
TOKENS = 80
SEEDS = range(5)
FAULTS = (
    "kill engine",
    "pause engine",
    "kill agent",
    "pause agent",
    "silence agent",
    "kill entry",
    "pause entry",
)


class SystemTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = await self.enterAsyncContext(Cluster.create())
        await self.cluster.start_platform(demo.main.publish_initial_configuration)
        self.agents = {}
        self.entries = []

    async def start(self):
        """Replace what the last seed has ended or paused."""
        for process in self.cluster.processes:
            process.resume()
        for address, (engine, agent, _) in list(self.agents.items()):
            if not (engine.is_running() and agent.is_running()):
                engine.kill()
                agent.kill()
                del self.agents[address]
                await self.cluster.remove_vm(agent)
        while len(self.agents) < AGENTS:
            await self.start_agent()
        for entry in [e for e in self.entries if not e.is_running()]:
            self.entries.remove(entry)
            self.entries.append(await self.cluster.restart_daemon(entry))
        while len(self.entries) < ENTRIES:
            self.entries.append(await self.cluster.start_entry())
        for entry in self.entries:
            await self.cluster.wait_links(entry, AGENTS)

    async def start_agent(self):
        engine = await self.cluster.start_engine(token_gap_s=0.01)
        agent = await self.cluster.start_agent(
            engine, demo.main.SERVICE, use_fault_proxy=True
        )
        fault_proxy = self.cluster.fault_proxies[agent.name]
        self.agents[fault_proxy.address] = engine, agent, fault_proxy

    async def strike(self, fault, progress, entry):
        address = parse_event_id(progress.event_id).address
        engine, agent, fault_proxy = self.agents[address]
        verb, _, target = fault.partition(" ")
        process = {"engine": engine, "agent": agent, "entry": entry}[target]
        if verb == "silence":
            await self.cluster.set_faults(fault_proxy, {"silence": "open"})
        elif verb == "kill":
            process.kill()
            await process.wait_ended()
        else:
            process.pause()

    async def play(self, seed):
        rng = random.Random(seed)
        positions = sorted(rng.sample(range(1, TOKENS - 10), 2))
        faults = [(position, rng.choice(FAULTS)) for position in positions]
        body = {"model": demo.main.SERVICE, "prompt": f"p{seed}", "max_tokens": TOKENS}
        progress, text = AnswerProgress(), ""
        urls = [entry.url for entry in self.entries]
        with self.subTest(publish_initial_configuration=seed, faults=list(faults)):
            async with (
                asyncio.timeout(HANG_GUARD_S),
                Client(urls, "demo-key") as client,
            ):
                async for part in client.stream("completions", body, progress):
                    text += part.text
                    while faults and len(progress.tokens) >= faults[0][0]:
                        entry = self.entries[(client.next_url - 1) % len(urls)]
                        await self.strike(faults.pop(0)[1], progress, entry)
            expected = expected_answer("v1", body)
            self.assertEqual(expected, (progress.tokens, text))

    async def test_two_faults_in_one_answer(self):
        """Guards against an answer that is lost, mixed or repeated after faults."""
        for seed in SEEDS:
            await self.start()
            await self.play(seed)


if __name__ == "__main__":
    unittest.main()
