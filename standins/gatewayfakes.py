"""Fakes for gateway tests without a network: transports, senders and jobs."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoontack.admission.crashguard import CrashGuard
from monsoontack.admission.limitgate import LimitGate, unlimited_gate
from monsoontack.admission.serverstatement import ServerStatement, read_statement
from monsoontack.core.records import BackendServer, Place
from monsoontack.gateway.fleet import BackendFleet, Member
from monsoontack.gateway.job import Job
from monsoontack.gateway.outbound import ExchangeFailure, HttpExchange
from monsoontack.gateway.records import (
    Attempt,
    CallerRequest,
    Headers,
    PromptSegment,
    RawRequest,
    RequestKind,
    ResponseHead,
    Route,
    Target,
)
from monsoontack.inbound.responder import CallerDisconnectedError
from monsoontack.pacing.domainevidence import Trouble

HOME = Place("domain-a", "north")
NEAR = Place("domain-b", "north")
FAR = Place("domain-c", "south")
SERVICE = "planner"


class FakeTransport(asyncio.Transport):
    """Transport that records written bytes and never sends them."""

    def __init__(self) -> None:
        super().__init__()
        self.written = bytearray()
        self.closed = False
        self.aborted = False
        self.reading = True

    def write(self, data: bytes) -> None:
        """Record bytes."""
        self.written += data

    def is_closing(self) -> bool:
        """Return whether the transport was closed or aborted."""
        return self.closed

    def close(self) -> None:
        """Mark the transport as closed."""
        self.closed = True

    def abort(self) -> None:
        """Mark the transport as closed by an abort."""
        self.closed = self.aborted = True

    def pause_reading(self) -> None:
        """Record that reading is paused."""
        self.reading = False

    def resume_reading(self) -> None:
        """Record that reading has resumed."""
        self.reading = True

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Ignore the limits."""

    def get_write_buffer_size(self) -> int:
        """Return 0, because nothing waits to be sent."""
        return 0

    def get_extra_info(self, name, default=None):
        """Return `default`, because there is no socket."""
        return default


class FakeResponder:
    """Records the response to one request."""

    def __init__(self) -> None:
        self.disconnected: asyncio.Future = asyncio.get_running_loop().create_future()
        self.status = 0
        self.headers: Headers = ()
        self.body = b""
        self.head_sent = self.finished = self.was_aborted = False
        self.answered_at: float | None = None

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has disconnected."""
        return self.disconnected.done()

    def disconnect(self) -> None:
        """Simulate that the caller disconnects."""
        if not self.disconnected.done():
            self.disconnected.set_result(None)

    def send(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Record a complete response."""
        self.head_sent = self.finished = True
        self.status, self.headers, self.body = status, headers, body
        self.answered_at = asyncio.get_running_loop().time()

    def begin(self, status: int, headers: Headers) -> None:
        """Record the head of a streamed response."""
        self.head_sent = True
        self.status, self.headers = status, headers

    async def write(self, data: bytes) -> None:
        """Record a part of the body."""
        if self.is_disconnected:
            raise CallerDisconnectedError
        self.body += data

    def finish(self) -> None:
        """Record that the response is complete."""
        self.finished = True

    def abort(self) -> None:
        """Record that the response was aborted."""
        self.was_aborted = True


class SlowResponder(FakeResponder):
    """Responder of a caller that takes `write_s` seconds to read each part."""

    def __init__(self, write_s: float) -> None:
        super().__init__()
        self.write_s = write_s

    async def write(self, data: bytes) -> None:
        """Record a part of the body once it has been read."""
        await asyncio.sleep(self.write_s)
        await super().write(data)


class ScriptedExchange(HttpExchange):
    """Exchange with a scripted response; `aborted_at` is the time of an abort."""

    def __init__(self, request_id: str) -> None:
        super().__init__(request_id)
        self.aborted_at: float | None = None

    def abort(self) -> None:
        """Record the time of the abort."""
        if not self.is_finished:
            self.aborted_at = asyncio.get_running_loop().time()
            self.fail("closed", True, "given up")

    def answer(self, status: int, headers: Headers = ()) -> None:
        """Provide the head of the response."""
        self.status, self.headers, self.has_head = status, headers, True
        self.wake()

    def add_body(self, data: bytes) -> None:
        """Provide a part of the body."""
        if not self.is_finished:
            self.parts.append(data)
            self.wake()

    def end(self) -> None:
        """Complete the response."""
        if not self.is_finished:
            self.is_complete = True
            self.wake()


class ScriptedWire:
    """Wire format of scripted responses, with header names as flags."""

    def response_request_id(self, headers: Headers) -> str | None:
        """Return None, because scripted responses carry no request id."""
        return None

    def parse_response_head(self, status: int, headers: Headers) -> ResponseHead:
        """Decode the head of a scripted response."""
        names = {name for name, _ in headers}
        return ResponseHead(
            status=status,
            request_id=None,
            not_run=b"not-run" in names,
            signed=b"unsigned" not in names,
            encoded=False,
            forwarded=headers,
        )


Script = Callable[[ScriptedExchange, Attempt], object]


@dataclass(slots=True)
class ScriptedSender:
    """Sender whose servers respond as scripted.

    `scripts` maps the incarnation of a server to a coroutine function that provides its
    response, or to a connection failure. `connect_s` is the duration of connecting,
    `check_s` that of a check of a connection.
    `sent` lists the attempts that reached a server.
    """

    fleet: BackendFleet
    scripts: dict[str, object]
    connect_s: float = 0.0
    wire: ScriptedWire = field(default_factory=ScriptedWire)
    gate: LimitGate = field(default_factory=unlimited_gate)
    guard: CrashGuard = field(default_factory=lambda: CrashGuard(""))
    sent: list[Attempt] = field(default_factory=list)
    exchanges: list[ScriptedExchange] = field(default_factory=list)
    tasks: list[asyncio.Task] = field(default_factory=list)
    checks: int = 0
    check_s: float = 0.0

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    async def send(self, member: Member, request, attempt: Attempt, is_wanted):
        """Run the script of a server."""
        await asyncio.sleep(self.connect_s)
        script = self.scripts[member.server.incarnation]
        if isinstance(script, ExchangeFailure):
            trouble = Trouble.REFUSED if script.is_refused else Trouble.UNREACHABLE
            self.fleet.note_unreachable(member, self.now(), trouble)
            return script
        if not is_wanted():
            return ExchangeFailure("unwanted", False)
        exchange = ScriptedExchange(request.request_id)
        self.sent.append(attempt)
        self.exchanges.append(exchange)
        self.tasks.append(asyncio.ensure_future(script(exchange, attempt)))
        return exchange

    def statement(self, exchange: ScriptedExchange) -> ServerStatement:
        """Return the statement that the header `wait` of a response makes."""
        wait = dict(exchange.headers).get(b"wait")
        return read_statement(exchange.status, True, None, wait and wait.decode())

    async def check_connection(
        self, member: Member, timeout_s: float
    ) -> ExchangeFailure | None:
        """Return the server's script if it is a connection failure."""
        self.checks += 1
        await asyncio.sleep(self.check_s)
        script = self.scripts[member.server.incarnation]
        return script if isinstance(script, ExchangeFailure) else None


def make_server(name: str, place: Place = HOME, slots: int = 8) -> BackendServer:
    """Return a server whose address and incarnation are derived from its name."""
    return BackendServer(
        address=f"10.0.0.1:{name}",
        vm=name,
        kind="engine",
        service=SERVICE,
        versions=("v1",),
        place=place,
        slots=slots,
        incarnation=name,
    )


def make_fleet(places: dict[str, Place]) -> BackendFleet:
    """Return a fleet with a server for each name."""
    fleet = BackendFleet()
    for name, place in places.items():
        fleet.put(make_server(name, place), False)
    return fleet


def make_route(kind: RequestKind, **changes) -> Route:
    """Return a route to the test service."""
    fields = {
        "name": "r",
        "host": "h",
        "path_prefix": "/p/",
        "kind": kind,
        "targets": (Target(SERVICE, 1.0),),
        "timeout_s": 1.0,
        "objective_s": 0.4,
        "attempts": 2,
    }
    return Route(**(fields | changes))


def make_job(
    route: Route,
    request_id: str = "id-1",
    deadline_s: float = 1.0,
    shared_parts: tuple[str, ...] = (),
) -> Job:
    """Return a job for a request that has just arrived.

    `shared_parts` are the ids of the parts of its prompt that others may share.
    """
    now = asyncio.get_running_loop().time()
    raw = RawRequest(b"POST", b"/p/x", (), b"body", True, now)
    request = CallerRequest(
        raw=raw,
        request_id=request_id,
        host="h",
        path="/p/x",
        forwarded=(),
        prompt_tokens=8000,
        max_output_tokens=800,
        prompt_segments=(
            *(PromptSegment(part, 200) for part in shared_parts),
            PromptSegment("part-1", 8000),
        ),
    )
    return Job(request, route, None, SERVICE, FakeResponder(), now, now + deadline_s)


def make_rng() -> random.Random:
    """Return a random generator with a fixed seed."""
    return random.Random(7)
