"""Child processes of the capacity script that simulate agents and callers.

`python -m bench.capacityworkers agents SERVICE VERSION` simulates any number of
agents, each with its own port, that send heartbeats and produce tokens at a fixed
interval. `python -m bench.capacityworkers callers URL KEY MODEL` reads any number of
concurrent answers with `monsoontack.client`. A child reads one command per line from
standard input and writes one line of JSON in reply.
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
ENGINE_SLOTS = 1000
UNBOUNDED_ANSWER_TOKENS = 100_000
# Stays below 100, the default connection limit of aiohttp.
ANSWERS_PER_CLIENT = 96
OPEN_TIMEOUT_S = 30.0
CONCURRENT_REQUESTS = 10  # of one token each


@dataclass(slots=True)
class Stream:
    """A generation whose tokens are sent on a link."""

    attempt: int
    position: int
    end: int
    next_token_at: float


class AgentLinkServicer(link_pb2_grpc.LinkServicer):
    """Serves the links of all simulated agents."""

    def __init__(self, service: str, version: str) -> None:
        self.service = service
        self.version = version
        self.tokens_per_chunk = 1
        self.counts = {"links": 0, "frames": 0, "tokens": 0}

    async def Connect(self, request_iterator, context):
        """Send heartbeats and the tokens of the generations started on the link."""
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
                        frame.load.CopyFrom(engine_load(len(streams)))
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
                    end = start.max_tokens or UNBOUNDED_ANSWER_TOKENS
                    streams[start.generation] = Stream(
                        start.attempt, begin, end, now() + TOKEN_GAP_S
                    )
                case "cancel":
                    streams.pop(message.cancel.generation, None)

    def _chunks(self, streams: dict[str, Stream], now: float) -> list[link_pb2.Chunk]:
        chunks = []
        for generation, stream in list(streams.items()):
            if now < stream.next_token_at:
                continue
            count = min(self.tokens_per_chunk, stream.end - stream.position)
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
            stream.next_token_at = max(stream.next_token_at + TOKEN_GAP_S, now)
            self.counts["tokens"] += count
            if finish:
                del streams[generation]
        return chunks

    def info(self) -> link_pb2.AgentInfo:
        """Return the agent's description, which the first frame of a link carries."""
        return link_pb2.AgentInfo(
            vm="vm",
            kind="engine",
            service=self.service,
            versions=[self.version],
            failure_domain="domain-a",
            region="region-1",
            incarnation=1,
        )


def engine_load(running: int) -> link_pb2.Load:
    """Return the load of an engine with `running` generations."""
    return link_pb2.Load(
        running=running, slots=ENGINE_SLOTS, age_s=0.1, token_gap_p99_s=TOKEN_GAP_S
    )


CommandHandler = Callable[..., Coroutine[None, None, object]]


async def serve_commands(commands: dict[str, CommandHandler]) -> None:
    """Execute commands from standard input until it is closed."""
    loop = asyncio.get_running_loop()
    print(json.dumps("ready"), flush=True)
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        name, *arguments = line.split()
        print(json.dumps(await commands[name](*arguments)), flush=True)


async def run_agents(service: str, version: str) -> None:
    """Run the process that simulates agents."""
    links = AgentLinkServicer(service, version)
    # A started grpcio server cannot add ports, so each batch of agents has a server.
    servers = []

    async def listen(count: str) -> list[int]:
        server = grpc.aio.server()
        link_pb2_grpc.add_LinkServicer_to_server(links, server)
        ports = [server.add_insecure_port("127.0.0.1:0") for _ in range(int(count))]
        await server.start()
        servers.append(server)
        return ports

    async def batch(count: str) -> None:
        links.tokens_per_chunk = int(count)

    async def stat() -> dict[str, int]:
        return dict(links.counts)

    await serve_commands({"listen": listen, "batch": batch, "stat": stat})


class Callers:
    """Reads concurrent answers with as few clients as possible."""

    def __init__(self, url: str, key: str, model: str) -> None:
        self.url = url
        self.key = key
        self.model = model
        self.clients: list[Client] = []
        self.prompt_numbers = itertools.count()
        self.tasks: list[asyncio.Task] = []
        self.progress: list[AnswerProgress] = []
        self.tokens = 0
        self.errors: list[str] = []

    async def client_for(self, number: int) -> Client:
        """Return the client for the answer with this number, opened if needed."""
        while number // ANSWERS_PER_CLIENT >= len(self.clients):
            client = Client([self.url], self.key)
            self.clients.append(await client.__aenter__())
        return self.clients[number // ANSWERS_PER_CLIENT]

    async def stream_parts(
        self, client: Client, progress: AnswerProgress, max_tokens: int
    ) -> AsyncIterator:
        """Start an answer and yield its parts."""
        prompt = f"Explain fault number {next(self.prompt_numbers)}"
        body = {"model": self.model, "prompt": prompt, "max_tokens": max_tokens}
        async for part in client.stream("completions", body, progress):
            yield part

    async def read_answer(
        self, number: int, progress: AnswerProgress, max_tokens: int
    ) -> None:
        """Read one answer to its end and count its tokens."""
        try:
            client = await self.client_for(number)
            async for part in self.stream_parts(client, progress, max_tokens):
                self.tokens += len(part.tokens)
        except Exception as error:
            self.errors.append(repr(error))

    async def open(self, total: str) -> int:
        """Open answers until there are `total`, and return their number.

        Waits until each answer has a token.
        """
        while len(self.tasks) < int(total):
            progress = AnswerProgress()
            self.progress.append(progress)
            reading = self.read_answer(
                len(self.tasks), progress, UNBOUNDED_ANSWER_TOKENS
            )
            self.tasks.append(asyncio.ensure_future(reading))
            await asyncio.sleep(0.01)
        deadline = asyncio.get_running_loop().time() + OPEN_TIMEOUT_S
        while waiting := sum(not item.tokens for item in self.progress):
            if self.errors or asyncio.get_running_loop().time() > deadline:
                self.errors.append(f"{waiting} answers have no token")
                break
            await asyncio.sleep(0.05)
        return len(self.tasks)

    async def request(self, count: str) -> int:
        """Send `count` requests of one token each, `CONCURRENT_REQUESTS` at a time."""
        for _ in range(int(count) // CONCURRENT_REQUESTS):
            reads = [
                self.read_answer(n, AnswerProgress(), 1)
                for n in range(CONCURRENT_REQUESTS)
            ]
            await asyncio.gather(*reads)
        return int(count)

    async def close(self) -> None:
        """Cancel all open answers."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks.clear()
        self.progress.clear()

    async def close_clients(self) -> None:
        """Cancel all open answers and close the clients."""
        await self.close()
        for client in self.clients:
            await client.__aexit__()

    async def stat(self) -> dict:
        """Return the number of received tokens, and the errors."""
        return {"tokens": self.tokens, "errors": self.errors}


async def run_callers(url: str, key: str, model: str) -> None:
    """Run the process that simulates callers."""
    callers = Callers(url, key, model)
    names = ("open", "request", "close", "stat")
    await serve_commands({name: getattr(callers, name) for name in names})
    await callers.close_clients()


class Worker:
    """A child process that runs this module and executes commands."""

    def __init__(self, *arguments: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "bench.capacityworkers", *arguments],
            cwd=ROOT,
            env=dict(os.environ, PYTHONPATH=str(ROOT)),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.process.stdout.readline()

    @property
    def pid(self) -> int:
        """Return the process id of the child."""
        return self.process.pid

    async def send_command(self, line: str) -> object:
        """Execute a command in the child and return its reply."""
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()
        loop = asyncio.get_running_loop()
        answer = await loop.run_in_executor(None, self.process.stdout.readline)
        if not answer:
            raise RuntimeError(f"worker {self.pid} exited during command {line!r}")
        return json.loads(answer)

    def __enter__(self) -> "Worker":
        return self

    def __exit__(self, *_) -> None:
        """Kill the child and wait for its exit."""
        self.process.kill()
        self.process.wait()


RUN_BY_ROLE = {"agents": run_agents, "callers": run_callers}

if __name__ == "__main__":
    asyncio.run(RUN_BY_ROLE[sys.argv[1]](*sys.argv[2:]))
