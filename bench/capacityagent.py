"""Measurements of the agent with a simulated engine."""

import asyncio
from dataclasses import dataclass, field

from bench.capacityprobe import CpuWindow, Recorder, read_usage
from monsoontack.proto import link_pb2
from standins.cluster import Cluster
from standins.fleet import SERVICE
from standins.linkclient import LinkClient
from standins.processes import ManagedProcess

IDLE_LINK_COUNTS = (8, 32, 64)
# The last count is about the load of an engine at the target scale.
STREAM_COUNTS = (32, 64, 116)
FRAME_STREAM_COUNT = 48
FRAME_LINK_COUNTS = (1, 12, 48)
AGENT_SLOTS = 128
TOKEN_GAP_S = 0.055
FAST_TOKEN_GAP_S = 0.002
WINDOW_S = 4.0
SETTLE_S = 1.5
LOG_STREAM_COUNT = 32
LOG_ANSWER_TOKENS = 400
LOG_ROUND_COUNT = 4


@dataclass(slots=True)
class AgentUnderTest:
    """An agent with its engine, and the links of simulated entries."""

    cluster: Cluster
    agent: ManagedProcess
    recorder: Recorder
    links: list[LinkClient] = field(default_factory=list)
    generations: int = 0

    async def open_links(self, count: int) -> None:
        """Open further links until there are `count`."""
        while len(self.links) < count:
            name = f"entry-{len(self.links)}"
            link = LinkClient(self.agent.address, name)
            self.links.append(link)
            await link.wait_until(lambda link=link: link.info)

    async def close_links(self) -> None:
        """Close all links."""
        await asyncio.gather(*(link.close() for link in self.links))
        self.links.clear()

    async def start_generations(self, count: int, links: int, max_tokens: int) -> list:
        """Start `count` generations, distributed evenly over the first `links` links.

        Returns pairs of a link and the name of a generation.
        """
        started = []
        for index in range(count):
            link = self.links[index % links]
            self.generations += 1
            name = f"g{self.generations}"
            body = {"prompt": f"fault {name}", "max_tokens": max_tokens}
            await link.start(name, body)
            started.append((link, name))
        return started

    async def cancel_generations(self, started: list) -> None:
        """Cancel generations that `start_generations` returned."""
        for link, name in started:
            await link.send(cancel=link_pb2.Cancel(generation=name, attempt=1))

    def received_counts(self) -> tuple[int, int]:
        """Return the number of frames and of tokens received on all links."""
        frames = sum(len(link.frames) for link in self.links)
        tokens = sum(len(c.tokens) for link in self.links for c in link.chunks)
        return frames, tokens

    async def measure_window(self) -> tuple[float, float, float]:
        """Return the frames and tokens per second and the cores used in a window."""
        await asyncio.sleep(SETTLE_S)
        window, (frames, tokens) = (
            CpuWindow.open(self.agent.pid),
            self.received_counts(),
        )
        await asyncio.sleep(WINDOW_S)
        elapsed = window.elapsed_s()
        cpu = window.cpu_s(self.agent.pid)
        later_frames, later_tokens = self.received_counts()
        return (
            (later_frames - frames) / elapsed,
            (later_tokens - tokens) / elapsed,
            cpu / elapsed,
        )

    async def measure_idle_links(self) -> None:
        """Record memory and CPU over the number of idle links."""
        for count in IDLE_LINK_COUNTS:
            await self.open_links(count)
            _, _, cores = await self.measure_window()
            resident = read_usage(self.agent.pid).resident
            self.recorder.add_point("agent.link.memory", count, resident, "B")
            self.recorder.add_point("agent.link.rest_cpu", count, cores, "core")
        await self.close_links()

    async def measure_tokens(self) -> None:
        """Record CPU over the tokens per second on one link."""
        await self.open_links(max(FRAME_LINK_COUNTS))
        started = []
        for count in STREAM_COUNTS:
            started += await self.start_generations(count - len(started), 1, 100_000)
            frames, tokens, cores = await self.measure_window()
            self.recorder.add_point("agent.token.cpu", tokens, cores, "core")
            self.recorder.add_point("agent.token.frames", tokens, frames, "1/s")
        await self.cancel_generations(started)

    async def measure_frames(self) -> None:
        """Record CPU over the frames per second that carry the same token rate."""
        for links in FRAME_LINK_COUNTS:
            started = await self.start_generations(FRAME_STREAM_COUNT, links, 100_000)
            frames, tokens, cores = await self.measure_window()
            self.recorder.add_point("agent.frame.cpu", frames, cores, "core")
            self.recorder.add_value(
                f"agent.frame.tokens_at_{links}_links", tokens, "1/s"
            )
            await self.cancel_generations(started)

    async def measure_log(self) -> None:
        """Record memory over the tokens in the stream log, after the answers end."""
        logged_tokens = 0
        for _ in range(LOG_ROUND_COUNT):
            started = await self.start_generations(
                LOG_STREAM_COUNT, 1, LOG_ANSWER_TOKENS
            )
            for link, name in started:
                await link.wait_until(
                    lambda link=link, name=name: link.finished(name, 1)
                )
            logged_tokens += LOG_STREAM_COUNT * LOG_ANSWER_TOKENS
            resident = read_usage(self.agent.pid).resident
            self.recorder.add_point("agent.log.memory", logged_tokens, resident, "B")


async def measure_agent(recorder: Recorder) -> None:
    """Record the agent's costs of links, tokens and frames."""
    async with Cluster.create() as cluster:
        await cluster.start_platform()
        engine = await cluster.start_engine(slots=AGENT_SLOTS, token_gap_s=TOKEN_GAP_S)
        agent = await cluster.start_agent(engine, SERVICE, slots=AGENT_SLOTS)
        under_test = AgentUnderTest(cluster, agent, recorder)
        try:
            await under_test.measure_idle_links()
            await under_test.measure_tokens()
            await under_test.measure_frames()
        finally:
            await under_test.close_links()


async def measure_log(recorder: Recorder) -> None:
    """Record the agent's memory over logged tokens, with a fast engine."""
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
