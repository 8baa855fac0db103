"""Stand-ins and helpers for the scripts in review/, on the standard library alone.

The store and the backend servers follow the users' pages where a script needs them:
objects by kind with revisions and watches; servers that check `Expect-Instance`, echo
the request id and sign their answers. Gateways are started with the command of
`deploy/system.toml`. All addresses are on the loopback interface.
"""

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
KEY = "key-of-the-shop-1"
LOOPBACK = "127.0.0.1"
START_S = 30.0
BROKEN, HELD, NOT_RUN = 1, 0, 2
# As in the settings that the pages show for a machine that serves clients.
SETTINGS = """
node_name = "{name}"
role = "gateway"
machine_class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "almaty-a"
region = "almaty"
port_range = [{port}, {last_port}]
seeds = []
first_start = {first_start}
[zones]
almaty-a = "almaty"
almaty-b = "almaty"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = 150
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
stable_window_ms = 4000
drain_ms = 2500
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2500
strict_revoke = true
revoke_ms = 5000
retry_ratio = {retry_ratio}
retry_window_s = 10
retry_extra = {retry_extra}
canary_share = 0.1
canary_tolerance = 50
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
"""


def free_ports(count: int) -> list[int]:
    """Return ports that are free on the loopback interface, the last two adjacent."""
    while True:
        with contextlib.ExitStack() as stack:
            sockets = []
            for _ in range(count):
                sock = stack.enter_context(socket.socket())
                sock.bind((LOOPBACK, 0))
                sockets.append(sock)
            ports = [sock.getsockname()[1] for sock in sockets]
            if ports[-1] >= 65_000:
                continue
            try:
                neighbour = stack.enter_context(socket.socket())
                neighbour.bind((LOOPBACK, ports[-1] + 1))
            except OSError:
                continue
            return [*ports, ports[-1] + 1]


class Record:
    """Writes what was sent, answered and run to `record.txt` in a case's folder."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start in seconds."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


@dataclass(slots=True)
class Request:
    """A request as it arrived; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers of a message."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    parts = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    while (await reader.readline()).strip():
        pass
    return b"".join(parts)


class HttpServer:
    """An HTTP/1.1 server on a free loopback port, one request at a time each."""

    def __init__(self) -> None:
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self, port: int = 0) -> None:
        """Start listening."""
        self.server = await asyncio.start_server(
            self.serve, LOOPBACK, port, limit=2**20
        )
        self.address = f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer) -> None:
        """Serve one connection until its end."""
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                await self.handle(Request(method, target, headers, body), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        raise NotImplementedError


def encode(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Store(HttpServer):
    """The platform's store: objects, lists in one page, and watches."""

    def __init__(self) -> None:
        super().__init__()
        self.objects: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict]] = []
        self.revision = 100
        self.changed = asyncio.Event()

    def put(self, kind: str, name: str, spec=None, status=None) -> dict:
        """Write an object without a condition, as the operator or a server does."""
        before = self.objects.setdefault(kind, {}).get(name, {})
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": before.get("metadata", {}).get("created", self.revision),
            "finalizers": [],
            "deletion": False,
        }
        spec = before.get("spec") if spec is None else spec
        status = before.get("status") if status is None else status
        item = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind][name] = item
        self._note(kind, {"object": item, "removed": False})
        return item

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects[kind].pop(name)
        self.revision += 1
        item = item | {"metadata": item["metadata"] | {"revision": self.revision}}
        self._note(kind, {"object": item, "removed": True})

    def _note(self, kind: str, event: dict) -> None:
        self.events.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        parts = urlsplit(request.target)
        path = [unquote(p) for p in parts.path.removeprefix("/api/objects/").split("/")]
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if request.method == "GET":
            status, document = await self.read(path, query)
        else:
            status, document = self.write(request, path, query)
        headers = {"Content-Type": "application/json", "Store-Era": "0"}
        writer.write(encode(status, headers, json.dumps(document).encode()))

    async def read(self, path: list[str], query: dict) -> tuple[int, object]:
        """Return one object, a list or the events of a watch."""
        objects = self.objects.get(path[0], {})
        if len(path) > 1:
            return (200, objects[path[1]]) if path[1] in objects else (404, {})
        if "watch" in query:
            after, wait_s = int(query["watch"]), int(query.get("wait_ms", 0)) / 1000
            return 200, await self.watch(path[0], after, wait_s)
        names = sorted(name for name in objects if name > query.get("after", ""))
        page = {"more_pages": False, "store_revision": self.revision}
        return 200, {"entries": [objects[name] for name in names], **page}

    async def watch(self, kind: str, after: int, wait_s: float) -> dict:
        """Return the events of a kind after a revision, once there is one."""
        until = time.monotonic() + wait_s
        while True:
            events = [e for r, k, e in self.events if k == kind and r > after]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "store_revision": self.revision}
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def write(self, request: Request, path: list[str], query: dict):
        """Make one change, if its condition holds."""
        document = json.loads(request.body or b"{}")
        metadata = document.get("metadata", {})
        name = path[1] if len(path) > 1 else metadata["name"]
        found = self.objects.get(path[0], {}).get(name)
        if request.method == "POST" and found is not None:
            return 409, found
        if request.method != "POST" and found is None:
            return 404, {}
        wanted = metadata.get("revision", query.get("revision"))
        if found is not None and wanted is not None:
            if int(wanted) != found["metadata"]["revision"]:
                return 409, found
        if request.method == "DELETE":
            self.remove(path[0], name)
            return 200, found
        if len(path) == 3:
            return 200, self.put(path[0], name, status=document["status"])
        return 200, self.put(path[0], name, spec=document["spec"])


class BackendServer(HttpServer):
    """A sound backend server; `runs` has the id and time of each request that ran."""

    def __init__(self, name: str, record: Record, work_s: float = 0.02) -> None:
        super().__init__()
        self.name, self.record, self.work_s = name, record, work_s
        self.runs: list[tuple[str, float]] = []
        self.born = int(time.time() * 1000)

    def entry(self, service: str, state: str = "ready", **changes) -> dict:
        """Return the server's own object for the store."""
        fields = {
            "service": service,
            "address": self.address,
            "zone": "almaty-a",
            "version": "v1",
            "slots": 32,
            "state": state,
            "cold_left_ms": 0,
            "seqno": 1,
            "born": self.born,
        }
        return fields | changes

    def headers(self, request: Request) -> dict[str, str]:
        """Return the headers of an answer to a request."""
        return {
            "X-Monsoontack-Request-Id": request.headers["x-monsoontack-request-id"],
            "X-Monsoontack-Origin-Stamp": f"stamp-of-{self.name}",
        }

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run a request that names this server."""
        wanted = request.headers.get("x-monsoontack-expect-instance", self.name)
        if wanted != self.name:
            writer.write(encode(421, {"X-Monsoontack-Instance-Id": self.name}, b""))
            return
        request_id = request.headers["x-monsoontack-request-id"]
        self.runs.append((request_id, time.monotonic()))
        self.record.write(f"run {request_id} at {self.name}")
        await self.run(request, writer)

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Do the work of a request and answer it."""
        await asyncio.sleep(self.work_s)
        body = f"{self.name} did {len(request.body)} bytes".encode()
        writer.write(encode(200, self.headers(request), body))


class StreamServer(BackendServer):
    """A backend server that streams as many events as the request asks for.

    Each event holds one token and comes `gap_s` after the one before. A request that
    resumes goes on after its `Last-Event-Id`. Work ends when the connection does.
    """

    gap_s = 0.03

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Stream the events, each as one chunk."""
        count = int(request.headers["x-monsoontack-token-usage"].split(",")[1])
        first = int(request.headers.get("last-event-id", "0")) + 1
        headers = self.headers(request) | {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        await asyncio.sleep(self.work_s)
        lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in headers.items())]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        next_at = time.monotonic()
        for number in range(first, count + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            next_at += self.gap_s
            await asyncio.sleep(max(next_at - time.monotonic(), 0.0))
        writer.write(b"0\r\n\r\n")


def route(name: str, kind: str, service: str, **changes) -> dict:
    """Return a route of the operator's configuration."""
    fields = {
        "name": name,
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2000,
        "slo_ms": 400,
        "priority": 2,
        "service": service,
        "attempts": 1,
        "anonymous": False,
    }
    return fields | changes


def config(version: int, routes: list[dict], services: list[dict], keys=(KEY,)) -> dict:
    """Return a configuration with the limits that the pages show."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "shop", "api_keys": list(keys)}],
    }


@dataclass(slots=True)
class Gateway:
    """A gateway process of the project."""

    name: str
    settings: Path
    front: int
    ready: int
    process: asyncio.subprocess.Process | None = None
    values: dict = field(default_factory=dict)

    @classmethod
    def prepare(cls, folder: Path, name: str, store: str, **changes) -> "Gateway":
        """Write the settings file of a gateway with free ports."""
        front, ready, port, last_port = free_ports(3)
        values = {
            "name": name,
            "port": port,
            "last_port": last_port,
            "front": front,
            "ready": ready,
            "store": store,
            "first_start": "true",
            "retry_ratio": 0.8,
            "retry_extra": 150,
        } | changes
        found = cls(name, folder / f"{name}.toml", front, ready, values=values)
        found.write_settings()
        return found

    def write_settings(self, **changes) -> None:
        """Write the settings file, with some values changed."""
        self.values |= changes
        self.settings.write_text(SETTINGS.format(**self.values))

    async def spawn(self) -> None:
        """Start the process with the command of the deploy file."""
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["MONSOONTACK_BOOT"] = str(self.settings)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "monsoontack.platform",
            cwd=ROOT,
            env=env,
            stdout=(self.settings.parent / f"{self.name}.log").open("ab"),
        )

    async def wait_ready(self) -> None:
        """Wait until the readiness check answers 200."""
        until = time.monotonic() + START_S
        while time.monotonic() < until:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self.name} is not ready")

    async def is_ready(self) -> bool:
        """Whether the readiness check answers 200."""
        try:
            call = Call(self.ready, "GET", "/api/readyz", {}, b"")
            return (await call.run(2.0)).status == 200
        except OSError:
            return False

    async def stop(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


@dataclass(slots=True)
class Answer:
    """What a client got: a status of 0 means that the connection ended without one."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    at: float = 0.0
    detail: str = ""


class Call:
    """One client attempt on a connection of its own."""

    def __init__(self, port: int, method: str, path: str, headers: dict, body: bytes):
        self.port, self.method, self.path = port, method, path
        self.headers, self.body = headers, body
        self.sent_at = 0.0
        self.body_sent_at: float | None = None
        # Bytes written at once, and the pause after each such part.
        self.part_bytes, self.pause_s = 2**30, 0.0
        self.is_chunked = False

    async def run(self, patience_s: float) -> Answer | None:
        """Return the answer, None if none came in time."""
        try:
            return await asyncio.wait_for(self._run(), patience_s)
        except TimeoutError:
            return None

    async def _run(self) -> Answer:
        reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        self.sent_at = time.monotonic()
        try:
            lines = [f"{self.method} {self.path} HTTP/1.1", f"Host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in self.headers.items()]
            if self.is_chunked:
                lines.append("Transfer-Encoding: chunked")
            elif self.body or self.method != "GET":
                lines.append(f"Content-Length: {len(self.body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode())
            await self._send_body(writer)
            self.body_sent_at = time.monotonic()
            first, headers = await read_head(reader)
            body = await read_body(reader, headers)
            status = int(first.split(" ")[1])
            return Answer(status, headers, body, time.monotonic())
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            return Answer(at=time.monotonic(), detail=type(error).__name__)
        finally:
            writer.close()

    async def _send_body(self, writer: asyncio.StreamWriter) -> None:
        for start in range(0, len(self.body), self.part_bytes):
            part = self.body[start : start + self.part_bytes]
            if self.is_chunked:
                part = b"%x\r\n%s\r\n" % (len(part), part)
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        if self.is_chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()


def client_headers(request_id: str, deadline_ms: int, key: str = KEY) -> dict[str, str]:
    """Return the headers that a client sends with each request."""
    return {
        "X-Monsoontack-Request-Id": request_id,
        "X-Monsoontack-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {key}",
    }


def main(folder: Path, play) -> None:
    """Run a case's coroutine `play(record, folder, is_disturbed)` and exit."""
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)

    async def run() -> int:
        with tempfile.TemporaryDirectory() as name:
            async with asyncio.timeout(115):
                return await play(record, Path(name), is_disturbed)

    try:
        result = asyncio.run(run())
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        result = NOT_RUN
    record.write(f"exit {result}")
    sys.exit(result)
