"""Measurements of the agent, beside an engine stand-in."""

import asyncio
from dataclasses import dataclass, field

from bench.capacityprobe import Recorder, Window, read_usage
from monsoontack.proto import link_pb2
from standins.cluster import Cluster
from standins.fleet import SERVICE
from standins.linkclient import LinkClient
from standins.processes import ManagedProcess

AGENT_LINKS = (8, 32, 64)
AGENT_STREAMS = (8, 24, 48)
SPREAD_STREAMS = 24
SPREAD_LINKS = (1, 6, 24)
AGENT_SLOTS = 64
TOKEN_GAP_S = 0.055
FAST_TOKEN_GAP_S = 0.002
WINDOW_S = 4.0
SETTLE_S = 1.5
LOG_STREAMS = 32
LOG_ANSWER = 400
LOG_ROUNDS = 4


@dataclass(slots=True)
class AgentUnderTest:
    """An agent with its engine, and the links that play entries."""

    cluster: Cluster
    agent: ManagedProcess
    recorder: Recorder
    links: list[LinkClient] = field(default_factory=list)
    generations: int = 0

    async def open_links(self, total: int) -> None:
        """Open links until there are `total`."""
        while len(self.links) < total:
            name = f"entry-{len(self.links)}"
            link = LinkClient(self.agent.address, name)
            self.links.append(link)
            await link.until(lambda link=link: link.info)

    async def close_links(self) -> None:
        """Close all links."""
        await asyncio.gather(*(link.close() for link in self.links))
        self.links.clear()

    async def start(self, count: int, links: int, max_tokens: int) -> list:
        """Start generations spread over links; returns (link, generation) pairs."""
        started = []
        for index in range(count):
            link = self.links[index % links]
            self.generations += 1
            name = f"g{self.generations}"
            body = {"prompt": f"fault {name}", "max_tokens": max_tokens}
            await link.start(name, body)
            started.append((link, name))
        return started

    async def cancel(self, started: list) -> None:
        """Cancel generations."""
        for link, name in started:
            await link.send(cancel=link_pb2.Cancel(generation=name, attempt=1))

    def counts(self) -> tuple[int, int]:
        """Return the frames and tokens received on all links."""
        frames = sum(len(link.frames) for link in self.links)
        tokens = sum(len(c.tokens) for link in self.links for c in link.chunks)
        return frames, tokens

    async def observe(self) -> tuple[float, float, float]:
        """Return frames and tokens a second and cores of one window."""
        await asyncio.sleep(SETTLE_S)
        window, (frames, tokens) = Window.open(self.agent.pid), self.counts()
        await asyncio.sleep(WINDOW_S)
        elapsed = window.elapsed_s()
        cpu = window.cpu_s(self.agent.pid)
        later_frames, later_tokens = self.counts()
        return (
            (later_frames - frames) / elapsed,
            (later_tokens - tokens) / elapsed,
            cpu / elapsed,
        )

    async def measure_rest(self) -> None:
        """Store memory and CPU by the number of idle links."""
        for count in AGENT_LINKS:
            await self.open_links(count)
            _, _, cores = await self.observe()
            resident = read_usage(self.agent.pid).resident
            self.recorder.point("agent.link.memory", count, resident, "B")
            self.recorder.point("agent.link.rest_cpu", count, cores, "core")
        await self.close_links()

    async def measure_tokens(self) -> None:
        """Store CPU by the tokens a second on one link."""
        await self.open_links(max(SPREAD_LINKS))
        started = []
        for count in AGENT_STREAMS:
            started += await self.start(count - len(started), 1, 100_000)
            frames, tokens, cores = await self.observe()
            self.recorder.point("agent.token.cpu", tokens, cores, "core")
            self.recorder.point("agent.token.frames", tokens, frames, "1/s")
        await self.cancel(started)

    async def measure_frames(self) -> None:
        """Store CPU by the frames a second that carry the same tokens."""
        for links in SPREAD_LINKS:
            started = await self.start(SPREAD_STREAMS, links, 100_000)
            frames, tokens, cores = await self.observe()
            self.recorder.point("agent.frame.cpu", frames, cores, "core")
            self.recorder.value(f"agent.frame.tokens_at_{links}_links", tokens, "1/s")
            await self.cancel(started)

    async def measure_log(self) -> None:
        """Store memory by the tokens in the stream log, once answers ended."""
        logged = 0
        for _ in range(LOG_ROUNDS):
            started = await self.start(LOG_STREAMS, 1, LOG_ANSWER)
            for link, name in started:
                await link.until(lambda link=link, name=name: link.finished(name, 1))
            logged += LOG_STREAMS * LOG_ANSWER
            resident = read_usage(self.agent.pid).resident
            self.recorder.point("agent.log.memory", logged, resident, "B")


async def measure_agent(recorder: Recorder) -> None:
    """Store the agent's costs of links, tokens and frames."""
    async with Cluster.create() as cluster:
        await cluster.start_platform()
        engine = await cluster.start_engine(slots=AGENT_SLOTS, token_gap_s=TOKEN_GAP_S)
        agent = await cluster.start_agent(engine, SERVICE, slots=AGENT_SLOTS)
        under_test = AgentUnderTest(cluster, agent, recorder)
        try:
            await under_test.measure_rest()
            await under_test.measure_tokens()
            await under_test.measure_frames()
        finally:
            await under_test.close_links()


async def measure_log(recorder: Recorder) -> None:
    """Store the agent's memory by logged tokens, from a fast engine."""
    async with Cluster.create() as cluster:
        await cluster.start_platform()
        engine = await cluster.start_engine(
            slots=AGENT_SLOTS, token_gap_s=FAST_TOKEN_GAP_S
        )
        agent = await cluster.start_agent(engine, SERVICE, slots=AGENT_SLOTS)
        under_test = AgentUnderTest(cluster, agent, recorder)
        try:
            await under_test.open_links(1)
            await under_test.measure_log()
        finally:
            await under_test.close_links()
