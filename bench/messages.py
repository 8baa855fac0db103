"""Cost of grpcio messages and connections on loopback.

A child process plays the agents, this process an entry. Memory per connection
end is the slope of the resident memory over the number of links; CPU per
message is the process time of each end over the number of frames. From these
slopes follow the figures for a full mesh and for link subsets at the target
scale, without running it.
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
OPTIONS = (("grpc.use_local_subchannel_pool", 1),)
FEW_LINKS, MANY_LINKS = 50, 350
MESSAGE_LINKS, FRAMES_PER_LINK = 16, 1500
BURST = 10
HEARTBEAT_S = 0.5
# Links without running work, which make up the cost at rest.
IDLE_HEARTBEAT_S = AgentSettings.model_fields["idle_heartbeat_s"].default
SETTLE_S = 1.0
N_ENTRIES, N_AGENTS, N_SERVICES, PER_SERVICE = 390, 850, 7, 16
SUBSET = PER_SERVICE * N_SERVICES
# Part of a core, bytes of memory and bytes a second that control may take per
# daemon.
CPU_TARGET, MEMORY_TARGET, BYTES_TARGET = 0.039, 32e6, 5000
# TCP and IP headers of a segment and of its acknowledgement.
HEADER_BYTES = 2 * 52


def heartbeat() -> link_pb2.Frame:
    """Return a frame of an idle agent."""
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


FRAMES = {"heartbeat": heartbeat, "token_frame": token_frame}


def usage() -> dict[str, float]:
    """Return resident bytes and CPU seconds of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return {
        "rss": pages * resource.getpagesize(),
        "cpu": time.process_time(),
    }


class Agents(link_pb2_grpc.LinkServicer):
    """Server end of all links; sends frames when told on standard input."""

    def __init__(self):
        self.queues: list[asyncio.Queue] = []

    async def Connect(self, request_iterator, context):
        """Send what is queued for this link."""
        queue = asyncio.Queue()
        await anext(aiter(request_iterator))
        self.queues.append(queue)
        yield link_pb2.Frame(sequence=1)
        while True:
            yield await queue.get()

    async def send(self, kind: str, count: int) -> None:
        """Send `count` frames on every link, a few at a time."""
        for start in range(0, count, BURST):
            for queue in self.queues:
                for _ in range(min(BURST, count - start)):
                    queue.put_nowait(FRAMES[kind]())
            while any(queue.qsize() for queue in self.queues):
                await asyncio.sleep(0)


async def serve() -> None:
    """Run the child: answer each command line with one JSON line."""
    server = grpc.aio.server(options=OPTIONS)
    agents = Agents()
    link_pb2_grpc.add_LinkServicer_to_server(agents, server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    print(json.dumps({"port": port}), flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        command = line.split()
        if command[0] == "send":
            await agents.send(command[1], int(command[2]))
        print(json.dumps(usage()), flush=True)
    await server.stop(None)


class Child:
    """The process that plays the agents."""

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

    async def command(self, line: str) -> dict[str, float]:
        """Execute a command in the child and return its usage after it."""
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()
        read = self.process.stdout.readline
        return json.loads(await asyncio.get_running_loop().run_in_executor(None, read))

    def close(self) -> None:
        """End the child."""
        self.process.stdin.close()
        self.process.wait(10)


class Entry:
    """Client end of the links; counts the frames it gets."""

    def __init__(self, port: int):
        self.port = port
        self.frames = 0
        self.channels: list[grpc.aio.Channel] = []
        self.tasks: list[asyncio.Task] = []

    async def open_links(self, total: int) -> None:
        """Open links until there are `total`."""
        expected = self.frames
        while len(self.channels) < total:
            channel = grpc.aio.insecure_channel(f"127.0.0.1:{self.port}", OPTIONS)
            self.channels.append(channel)
            self.tasks.append(asyncio.ensure_future(self._read(channel)))
            expected += 1
            if len(self.channels) % 20 == 0:
                await self.wait_frames(expected)
        await self.wait_frames(expected)

    async def wait_frames(self, count: int) -> None:
        """Return when `count` frames have come in all."""
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
    """Return resident bytes per link at the entry's and the agent's end."""
    child = Child()
    entry = Entry(child.port)
    marks = []
    for count in (FEW_LINKS, MANY_LINKS):
        await entry.open_links(count)
        await child.command(f"send heartbeat {BURST}")
        await asyncio.sleep(SETTLE_S)
        marks.append((usage(), await child.command("stat")))
    await entry.close()
    child.close()
    added = MANY_LINKS - FEW_LINKS
    return {
        end: (marks[1][index]["rss"] - marks[0][index]["rss"]) / added
        for index, end in enumerate(("entry", "agent"))
    }


async def measure_cpu(kind: str) -> dict[str, float]:
    """Return CPU seconds per frame at both ends."""
    child = Child()
    entry = Entry(child.port)
    await entry.open_links(MESSAGE_LINKS)
    await child.command(f"send {kind} 100")
    await entry.wait_frames(entry.frames)
    await asyncio.sleep(SETTLE_S)
    before = usage(), await child.command("stat")
    expected = entry.frames + MESSAGE_LINKS * FRAMES_PER_LINK
    await child.command(f"send {kind} {FRAMES_PER_LINK}")
    await entry.wait_frames(expected)
    after = usage(), await child.command("stat")
    await entry.close()
    child.close()
    frames = MESSAGE_LINKS * FRAMES_PER_LINK
    return {
        end: (after[index]["cpu"] - before[index]["cpu"]) / frames
        for index, end in enumerate(("entry", "agent"))
    }


async def measure_paced(kind: str, links: int) -> dict[str, float]:
    """Return CPU seconds per frame when each link sends one frame a period.

    Single frames cost more than frames in bursts, and idle links send single
    ones.
    """
    child = Child()
    entry = Entry(child.port)
    await entry.open_links(links)
    await asyncio.sleep(SETTLE_S)
    before = usage(), await child.command("stat")
    start = entry.frames
    rounds = 10
    for _ in range(rounds):
        await child.command(f"send {kind} 1")
        await asyncio.sleep(HEARTBEAT_S)
    after = usage(), await child.command("stat")
    frames = entry.frames - start
    await entry.close()
    child.close()
    return {
        end: (after[index]["cpu"] - before[index]["cpu"]) / frames
        for index, end in enumerate(("entry", "agent"))
    }


async def measure_slopes() -> tuple[dict, dict, dict]:
    """Return memory per link, and CPU per frame in bursts and when paced.

    All run on one loop, since grpcio reports the end of a connection late.
    """
    memory = await measure_memory()
    bursts = {kind: await measure_cpu(kind) for kind in FRAMES}
    return memory, bursts, await measure_paced("heartbeat", SUBSET)


def control_figures(
    cpu: dict[str, float], memory: dict[str, float], label: str, links: dict[str, int]
) -> Iterator[Figure]:
    """Yield control cost per daemon for a number of links at each end."""
    for end, count in links.items():
        size = len(heartbeat().SerializeToString()) + HEADER_BYTES
        name = f"messages.{label}.{end}"
        yield Figure(f"{name}.links", count, "1")
        values = (
            ("heartbeat_cpu", count * cpu[end] / IDLE_HEARTBEAT_S, "core", CPU_TARGET),
            ("link_memory", count * memory[end], "B", MEMORY_TARGET),
            ("heartbeat_bytes", count * size / IDLE_HEARTBEAT_S, "B/s", BYTES_TARGET),
        )
        for key, value, unit, limit in values:
            if label == "full_mesh":  # the alternative that wasn't taken
                yield Figure(f"{name}.{key}", value, unit)
            else:
                yield Figure.at_most(f"{name}.{key}", value, unit, limit)


@measurement("messages")
def measure(seed: int) -> Iterator[Figure]:
    """Yield slopes, and what they mean for a full mesh and for subsets.

    The seed has no effect; nothing here is random.
    """
    memory, bursts, cpu = asyncio.run(measure_slopes())
    for end, value in memory.items():
        yield Figure(f"messages.{end}.memory_per_link", value, "B")
    for kind, costs in bursts.items():
        for end, value in costs.items():
            yield Figure(f"messages.{end}.{kind}.cpu", value, "s")
    for end, value in cpu.items():
        yield Figure(f"messages.{end}.heartbeat_paced.cpu", value, "s")
    mesh = {"entry": N_AGENTS, "agent": N_ENTRIES}
    yield from control_figures(cpu, memory, "full_mesh", mesh)
    links = {"entry": SUBSET, "agent": round(N_ENTRIES * SUBSET / N_AGENTS)}
    yield from control_figures(cpu, memory, "subset", links)


if __name__ == "__main__":
    asyncio.run(serve())
