"""Cost of grpcio messages and connections on loopback.

A child process acts as the agents, and this process as an entry. Memory per link is
the slope of each process's resident memory over the number of links; CPU time per
frame is its process time over the number of frames. The figures for a full mesh and
for link subsets at the target scale are extrapolated from these slopes.
"""

import asyncio
import json
import os
import resource
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import grpc

from bench.registry import Figure, measurement
from monsoontack.proto import link_pb2, link_pb2_grpc
from monsoontack.settings.models import AgentSettings

ROOT = Path(__file__).resolve().parent.parent
CHANNEL_OPTIONS = (("grpc.use_local_subchannel_pool", 1),)
FEW_LINKS, MANY_LINKS = 50, 350
MESSAGE_LINKS, FRAMES_PER_LINK = 16, 1500
BURST_FRAMES = 10
PACED_INTERVAL_S = 0.5
# Heartbeat interval of idle links; it sets the control cost of an idle daemon.
IDLE_HEARTBEAT_S = AgentSettings.model_fields["idle_heartbeat_s"].default
SETTLE_S = 1.0
ENTRY_COUNT, AGENT_COUNT, SERVICE_COUNT, LINKS_PER_SERVICE = 390, 850, 7, 16
SUBSET_LINKS = LINKS_PER_SERVICE * SERVICE_COUNT
# Limits on the control work of one daemon.
MAX_CONTROL_CORES, MAX_LINK_MEMORY_BYTES, MAX_CONTROL_BYTES_PER_S = 0.039, 32e6, 5000
# TCP and IP headers of a segment and its acknowledgement.
HEADER_BYTES = 2 * 52


def heartbeat_frame() -> link_pb2.Frame:
    """Return a heartbeat frame with a load report."""
    load = link_pb2.Load(running=3, slots=16, age_s=0.2, progress_age_s=0.01)
    return link_pb2.Frame(revision=12345, sequence=1000, load=load)


def token_frame() -> link_pb2.Frame:
    """Return a frame with one token for each of 8 streams."""
    chunks = [
        link_pb2.Chunk(
            generation="v1-0123456789abcdef0123456789abcdef",
            attempt=1,
            first_position=100 + index,
            tokens=[40000 + index],
            texts=[" word"],
        )
        for index in range(8)
    ]
    return link_pb2.Frame(revision=12345, sequence=1000, chunks=chunks)


FRAME_FACTORIES = {"heartbeat": heartbeat_frame, "token_frame": token_frame}


def process_usage() -> dict[str, float]:
    """Return the resident bytes and CPU seconds of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return {
        "rss": pages * resource.getpagesize(),
        "cpu": time.process_time(),
    }


class AgentServicer(link_pb2_grpc.LinkServicer):
    """Server side of all links."""

    def __init__(self):
        self.queues: list[asyncio.Queue] = []

    async def Connect(self, request_iterator, context):
        """Send the frames that are queued for this link."""
        queue = asyncio.Queue()
        await anext(aiter(request_iterator))
        self.queues.append(queue)
        yield link_pb2.Frame(sequence=1)
        while True:
            yield await queue.get()

    async def send(self, kind: str, count: int) -> None:
        """Send `count` frames on every link, in bursts of `BURST_FRAMES`."""
        for first in range(0, count, BURST_FRAMES):
            for queue in self.queues:
                for _ in range(min(BURST_FRAMES, count - first)):
                    queue.put_nowait(FRAME_FACTORIES[kind]())
            while any(queue.qsize() for queue in self.queues):
                await asyncio.sleep(0)


async def run_agents() -> None:
    """Run the child: execute commands from standard input and print usage as JSON."""
    server = grpc.aio.server(options=CHANNEL_OPTIONS)
    servicer = AgentServicer()
    link_pb2_grpc.add_LinkServicer_to_server(servicer, server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    print(json.dumps({"port": port}), flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        command = line.split()
        if command[0] == "send":
            await servicer.send(command[1], int(command[2]))
        print(json.dumps(process_usage()), flush=True)
    await server.stop(None)


class AgentProcess:
    """Child process that acts as the agents."""

    def __init__(self):
        self.process = subprocess.Popen(
            [sys.executable, "-m", "bench.messages", "serve"],
            cwd=ROOT,
            env=dict(os.environ, PYTHONPATH=str(ROOT)),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.port = json.loads(self.process.stdout.readline())["port"]

    async def run_command(self, line: str) -> dict[str, float]:
        """Execute a command in the child and return the usage that it prints."""
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()
        read = self.process.stdout.readline
        return json.loads(await asyncio.get_running_loop().run_in_executor(None, read))

    def close(self) -> None:
        """Close standard input and wait for the child to exit."""
        self.process.stdin.close()
        self.process.wait(10)


class EntryLinks:
    """Client side of the links; counts the received frames."""

    def __init__(self, port: int):
        self.port = port
        self.frames = 0
        self.channels: list[grpc.aio.Channel] = []
        self.tasks: list[asyncio.Task] = []

    async def open_links(self, total: int) -> None:
        """Open links until there are `total`."""
        expected = self.frames
        while len(self.channels) < total:
            channel = grpc.aio.insecure_channel(
                f"127.0.0.1:{self.port}", CHANNEL_OPTIONS
            )
            self.channels.append(channel)
            self.tasks.append(asyncio.ensure_future(self._read(channel)))
            expected += 1
            if len(self.channels) % 20 == 0:
                await self.wait_frames(expected)
        await self.wait_frames(expected)

    async def wait_frames(self, count: int) -> None:
        """Wait until `count` frames have been received in total."""
        while self.frames < count:
            await asyncio.sleep(0.01)

    async def _read(self, channel: grpc.aio.Channel) -> None:
        call = link_pb2_grpc.LinkStub(channel).Connect(self._messages())
        async for frame in call:
            self.frames += 1
            assert frame.sequence

    async def _messages(self):
        hello = link_pb2.Hello(entry="e", failure_domain="a", region="r")
        yield link_pb2.EntryMessage(hello=hello)
        await asyncio.Event().wait()

    async def close(self) -> None:
        """Close all links."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for channel in self.channels:
            await channel.close(None)


async def measure_memory() -> dict[str, float]:
    """Return the resident bytes per link of the entry and of the agents."""
    agent_process = AgentProcess()
    entry_links = EntryLinks(agent_process.port)
    samples = []
    for count in (FEW_LINKS, MANY_LINKS):
        await entry_links.open_links(count)
        await agent_process.run_command(f"send heartbeat {BURST_FRAMES}")
        await asyncio.sleep(SETTLE_S)
        samples.append((process_usage(), await agent_process.run_command("stat")))
    await entry_links.close()
    agent_process.close()
    added_links = MANY_LINKS - FEW_LINKS
    return {
        end: (samples[1][index]["rss"] - samples[0][index]["rss"]) / added_links
        for index, end in enumerate(("entry", "agent"))
    }


async def measure_cpu(kind: str) -> dict[str, float]:
    """Return the CPU seconds per frame of the entry and of the agents."""
    agent_process = AgentProcess()
    entry_links = EntryLinks(agent_process.port)
    await entry_links.open_links(MESSAGE_LINKS)
    await agent_process.run_command(f"send {kind} 100")
    await entry_links.wait_frames(entry_links.frames)
    await asyncio.sleep(SETTLE_S)
    before = process_usage(), await agent_process.run_command("stat")
    expected = entry_links.frames + MESSAGE_LINKS * FRAMES_PER_LINK
    await agent_process.run_command(f"send {kind} {FRAMES_PER_LINK}")
    await entry_links.wait_frames(expected)
    after = process_usage(), await agent_process.run_command("stat")
    await entry_links.close()
    agent_process.close()
    frames = MESSAGE_LINKS * FRAMES_PER_LINK
    return {
        end: (after[index]["cpu"] - before[index]["cpu"]) / frames
        for index, end in enumerate(("entry", "agent"))
    }


async def measure_paced(kind: str, links: int) -> dict[str, float]:
    """Return CPU seconds per frame if each link sends one frame per interval.

    A single frame costs more than a frame in a burst, and idle links send single
    frames.
    """
    agent_process = AgentProcess()
    entry_links = EntryLinks(agent_process.port)
    await entry_links.open_links(links)
    await asyncio.sleep(SETTLE_S)
    before = process_usage(), await agent_process.run_command("stat")
    frames_before = entry_links.frames
    rounds = 10
    for _ in range(rounds):
        await agent_process.run_command(f"send {kind} 1")
        await asyncio.sleep(PACED_INTERVAL_S)
    after = process_usage(), await agent_process.run_command("stat")
    frames = entry_links.frames - frames_before
    await entry_links.close()
    agent_process.close()
    return {
        end: (after[index]["cpu"] - before[index]["cpu"]) / frames
        for index, end in enumerate(("entry", "agent"))
    }


async def measure_slopes() -> tuple[dict, dict, dict]:
    """Return memory per link, and CPU per frame in bursts and at an interval.

    All run on one event loop, because grpcio reports closed connections late.
    """
    memory = await measure_memory()
    bursts = {kind: await measure_cpu(kind) for kind in FRAME_FACTORIES}
    return memory, bursts, await measure_paced("heartbeat", SUBSET_LINKS)


def control_figures(
    cpu: dict[str, float], memory: dict[str, float], label: str, links: dict[str, int]
) -> Iterator[Figure]:
    """Yield the control cost of one daemon for its number of links."""
    for end, count in links.items():
        size = len(heartbeat_frame().SerializeToString()) + HEADER_BYTES
        name = f"messages.{label}.{end}"
        yield Figure(f"{name}.links", count, "1")
        values = (
            (
                "heartbeat_cpu",
                count * cpu[end] / IDLE_HEARTBEAT_S,
                "core",
                MAX_CONTROL_CORES,
            ),
            ("link_memory", count * memory[end], "B", MAX_LINK_MEMORY_BYTES),
            (
                "heartbeat_bytes",
                count * size / IDLE_HEARTBEAT_S,
                "B/s",
                MAX_CONTROL_BYTES_PER_S,
            ),
        )
        for key, value, unit, limit in values:
            if label == "full_mesh":  # the rejected alternative has no targets
                yield Figure(f"{name}.{key}", value, unit)
            else:
                yield Figure.at_most(f"{name}.{key}", value, unit, limit)


@measurement("messages")
def measure(seed: int) -> Iterator[Figure]:
    """Yield the slopes, and the costs of a full mesh and of subsets.

    The seed is not used; the measurement has no random input.
    """
    memory, bursts, cpu = asyncio.run(measure_slopes())
    for end, value in memory.items():
        yield Figure(f"messages.{end}.memory_per_link", value, "B")
    for kind, costs in bursts.items():
        for end, value in costs.items():
            yield Figure(f"messages.{end}.{kind}.cpu", value, "s")
    for end, value in cpu.items():
        yield Figure(f"messages.{end}.heartbeat_paced.cpu", value, "s")
    mesh_links = {"entry": AGENT_COUNT, "agent": ENTRY_COUNT}
    yield from control_figures(cpu, memory, "full_mesh", mesh_links)
    links = {
        "entry": SUBSET_LINKS,
        "agent": round(ENTRY_COUNT * SUBSET_LINKS / AGENT_COUNT),
    }
    yield from control_figures(cpu, memory, "subset", links)


if __name__ == "__main__":
    asyncio.run(run_agents())
