"""Child processes of the capacity script: agents' link ends, and callers.

`python -m bench.capacityworkers agents` plays any number of agents, each with
its own port, that send heartbeats and produce tokens at a fixed gap.
`python -m bench.capacityworkers callers URL KEY MODEL` holds answers open
through `monsoontack.client`. Each command line on standard input is answered
with one JSON line.
"""

import asyncio
import itertools
import json
import os
import subprocess
import sys
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path

import grpc

from monsoontack.client.client import AnswerProgress, Client
from monsoontack.proto import link_pb2, link_pb2_grpc
from monsoontack.settings.models import AgentSettings

ROOT = Path(__file__).resolve().parent.parent
TICK_S = 0.025
HEARTBEAT_S = AgentSettings.model_fields["heartbeat_s"].default
IDLE_HEARTBEAT_S = AgentSettings.model_fields["idle_heartbeat_s"].default
TOKEN_GAP_S = 0.055
SLOTS = 1000
ENDLESS_TOKENS = 100_000
# A client opens at most 100 connections, the default of aiohttp.
ANSWERS_PER_CLIENT = 96
OPEN_LIMIT_S = 30.0
CONCURRENT = 10  # requests of one token each


@dataclass(slots=True)
class Stream:
    """A generation that a link produces tokens for."""

    attempt: int
    position: int
    end: int
    due: float


class AgentLinks(link_pb2_grpc.LinkServicer):
    """The agents' ends of all links; `batch` is the number of tokens a chunk."""

    def __init__(self, service: str, version: str) -> None:
        self.service = service
        self.version = version
        self.batch = 1
        self.counts = {"links": 0, "frames": 0, "tokens": 0}

    async def Connect(self, request_iterator, context):
        """Send heartbeats and the tokens of the link's streams."""
        streams: dict[str, Stream] = {}
        reader = asyncio.ensure_future(self._read(request_iterator, streams))
        self.counts["links"] += 1
        now = asyncio.get_running_loop().time
        heartbeat_at = now()
        first = True
        try:
            while True:
                chunks = self._chunks(streams, now())
                due = now() >= heartbeat_at
                if chunks or due:
                    frame = link_pb2.Frame(
                        revision=1, sequence=self.counts["frames"] + 1, chunks=chunks
                    )
                    if due:
                        frame.load.CopyFrom(load(len(streams)))
                        heartbeat_at = now() + (
                            HEARTBEAT_S if streams else IDLE_HEARTBEAT_S
                        )
                    if first:
                        frame.info.CopyFrom(self.info())
                        first = False
                    yield frame
                    self.counts["frames"] += 1
                await asyncio.sleep(TICK_S)
        finally:
            reader.cancel()
            self.counts["links"] -= 1

    async def _read(self, messages, streams: dict[str, Stream]) -> None:
        now = asyncio.get_running_loop().time
        async for message in messages:
            match message.WhichOneof("body"):
                case "start":
                    start = message.start
                    begin = len(start.prefix)
                    end = start.max_tokens or ENDLESS_TOKENS
                    streams[start.generation] = Stream(
                        start.attempt, begin, end, now() + TOKEN_GAP_S
                    )
                case "cancel":
                    streams.pop(message.cancel.generation, None)

    def _chunks(self, streams: dict[str, Stream], now: float) -> list[link_pb2.Chunk]:
        chunks = []
        for generation, stream in list(streams.items()):
            if now < stream.due:
                continue
            count = min(self.batch, stream.end - stream.position)
            finish = "length" if stream.position + count == stream.end else ""
            chunks.append(
                link_pb2.Chunk(
                    generation=generation,
                    attempt=stream.attempt,
                    first_position=stream.position,
                    tokens=range(40_000, 40_000 + count),
                    texts=[" word"] * count,
                    finish=finish,
                )
            )
            stream.position += count
            stream.due = max(stream.due + TOKEN_GAP_S, now)
            self.counts["tokens"] += count
            if finish:
                del streams[generation]
        return chunks

    def info(self) -> link_pb2.AgentInfo:
        """Return the message that introduces an agent."""
        return link_pb2.AgentInfo(
            vm="vm",
            kind="engine",
            service=self.service,
            versions=[self.version],
            failure_domain="domain-a",
            region="region-1",
            incarnation=1,
        )


def load(running: int) -> link_pb2.Load:
    """Return the load report of an engine."""
    return link_pb2.Load(
        running=running, slots=SLOTS, age_s=0.1, token_gap_p99_s=TOKEN_GAP_S
    )


Command = Callable[..., Coroutine[None, None, object]]


async def answer_commands(commands: dict[str, Command]) -> None:
    """Execute the commands on standard input until it ends."""
    loop = asyncio.get_running_loop()
    print(json.dumps("ready"), flush=True)
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        name, *arguments = line.split()
        print(json.dumps(await commands[name](*arguments)), flush=True)


async def run_agents(service: str, version: str) -> None:
    """Run the process that plays agents."""
    links = AgentLinks(service, version)
    # grpcio adds no ports to a started server, so more agents are more servers.
    servers = []

    async def listen(count: str) -> list[int]:
        server = grpc.aio.server()
        link_pb2_grpc.add_LinkServicer_to_server(links, server)
        ports = [server.add_insecure_port("127.0.0.1:0") for _ in range(int(count))]
        await server.start()
        servers.append(server)
        return ports

    async def batch(count: str) -> None:
        links.batch = int(count)

    async def stat() -> dict[str, int]:
        return dict(links.counts)

    await answer_commands({"listen": listen, "batch": batch, "stat": stat})


class Callers:
    """Answers held open through as few clients as possible."""

    def __init__(self, url: str, key: str, model: str) -> None:
        self.url = url
        self.key = key
        self.model = model
        self.clients: list[Client] = []
        self.numbers = itertools.count()
        self.tasks: list[asyncio.Task] = []
        self.progress: list[AnswerProgress] = []
        self.tokens = 0
        self.errors: list[str] = []

    async def client(self, number: int) -> Client:
        """Return the client of the answer with this number."""
        while number // ANSWERS_PER_CLIENT >= len(self.clients):
            client = Client([self.url], self.key)
            self.clients.append(await client.__aenter__())
        return self.clients[number // ANSWERS_PER_CLIENT]

    async def parts(
        self, client: Client, progress: AnswerProgress, max_tokens: int
    ) -> AsyncIterator:
        """Yield the parts of a new answer."""
        prompt = f"Explain fault number {next(self.numbers)}"
        body = {"model": self.model, "prompt": prompt, "max_tokens": max_tokens}
        async for part in client.stream("completions", body, progress):
            yield part

    async def read(
        self, number: int, progress: AnswerProgress, max_tokens: int
    ) -> None:
        """Read one answer to its end and count its tokens."""
        try:
            client = await self.client(number)
            async for part in self.parts(client, progress, max_tokens):
                self.tokens += len(part.tokens)
        except Exception as error:
            self.errors.append(repr(error))

    async def open(self, total: str) -> int:
        """Hold `total` answers open; returns once each has a token."""
        while len(self.tasks) < int(total):
            progress = AnswerProgress()
            self.progress.append(progress)
            reading = self.read(len(self.tasks), progress, ENDLESS_TOKENS)
            self.tasks.append(asyncio.ensure_future(reading))
            await asyncio.sleep(0.01)
        deadline = asyncio.get_running_loop().time() + OPEN_LIMIT_S
        while waiting := sum(not item.tokens for item in self.progress):
            if self.errors or asyncio.get_running_loop().time() > deadline:
                self.errors.append(f"{waiting} answers have no token")
                break
            await asyncio.sleep(0.05)
        return len(self.tasks)

    async def request(self, count: str) -> int:
        """Make requests of one token each, a few at a time."""
        for _ in range(int(count) // CONCURRENT):
            reads = [self.read(n, AnswerProgress(), 1) for n in range(CONCURRENT)]
            await asyncio.gather(*reads)
        return int(count)

    async def close(self) -> None:
        """End all answers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()
        self.progress.clear()

    async def end(self) -> None:
        """End all answers and clients."""
        await self.close()
        for client in self.clients:
            await client.__aexit__()

    async def stat(self) -> dict:
        """Return the tokens received and the errors met."""
        return {"tokens": self.tokens, "errors": self.errors}


async def run_callers(url: str, key: str, model: str) -> None:
    """Run the process of the callers."""
    callers = Callers(url, key, model)
    names = ("open", "request", "close", "stat")
    await answer_commands({name: getattr(callers, name) for name in names})
    await callers.end()


class Worker:
    """A child process of this module and its commands."""

    def __init__(self, *arguments: str) -> None:
        self.popen = subprocess.Popen(
            [sys.executable, "-m", "bench.capacityworkers", *arguments],
            cwd=ROOT,
            env=dict(os.environ, PYTHONPATH=str(ROOT)),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.popen.stdout.readline()

    @property
    def pid(self) -> int:
        """Process id."""
        return self.popen.pid

    async def command(self, line: str) -> object:
        """Execute a command in the child and return its answer."""
        self.popen.stdin.write(line + "\n")
        self.popen.stdin.flush()
        loop = asyncio.get_running_loop()
        answer = await loop.run_in_executor(None, self.popen.stdout.readline)
        if not answer:
            raise RuntimeError(f"worker {self.pid} ended at command {line!r}")
        return json.loads(answer)

    def __enter__(self) -> "Worker":
        return self

    def __exit__(self, *_) -> None:
        """End the child."""
        self.popen.kill()
        self.popen.wait()


WORKERS = {"agents": run_agents, "callers": run_callers}

if __name__ == "__main__":
    asyncio.run(WORKERS[sys.argv[1]](*sys.argv[2:]))
