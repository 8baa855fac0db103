"""Simulated backend server that gateways call directly, for calls and event streams.

`behavior` selects how each request is served: `ok`; `reset`; `hang`; `shed` (refused
with 503 before it runs); `die` (the first attempt of a stream is reset after
`die_after_events` events); `endless_head` and `endless_trailers` (header lines without
end until the caller closes the connection); `endless_body` and `endless_error` (the
same with the body of a success or an error); `twice` (the complete response is sent
again shortly afterwards); `refuse_again` (a connection's first request is refused with
503, and the refusal is written once more before the next response on the connection
or, every second one, before the response to the same request, whatever `behavior` is by
then); or `comments` (the first attempt of a stream sends only comments after a few
events). A stream resumes after the event in `last-event-id`.
`resume_behavior`, if set, is how requests with that header are served instead: one of
`RESUME_BEHAVIORS`, none of which goes on with the stream. With `uses_stated_length`, a
stream has as many events as its request states tokens, instead of `event_count`. A
stream pauses for `end_pause_s` between its last event and the end of the response; one
that is resumed after the last event ends at once.

`runs` lists the requests that ran, each as id, headers and body; `endless_responses`
lists the responses without end. A server with a `limit` states it in its responses;
`arrivals` lists when requests arrived, in the event loop's time. A `service` that is
set is that of the routes whose requests the server may run. Until `silent_until`, in
the event loop's time, the server sends nothing and starts no request, while its
connections stay open and new ones are accepted; then it goes on where it was.

A server that `is_leaving` says so in all its responses. One with `retry_after` refuses
all requests with 503 and this text as `Retry-After`. `requests` lists the id and time
of each request that names this server, `leaving_said` and `waits_said` those of the
responses with these headers, the latter with the text.

`cut_heads` maps the ids of requests to the partial heads that they get, once each.

A prompt with one of the `deadly_parts` ends the process once the prompt was read: the
engine resets all connections and refuses new ones for `restart_s`, then it starts again
under a new name. `deadly_arrivals` lists the part and time of such prompts that
arrived, `crashes` the part, time and request of those that ended the process.
A call of `deadly_calls` (`call_key`) does the same once it has worked for `work_s`; its
key takes the place of the part in these lists.
`on_crash` is called before the process ends, `on_restart` after each new start.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from weakref import WeakKeyDictionary

from monsoontack.gateway.records import CallerLimits, RawRequest
from monsoontack.inbound.memoryguard import MemoryGuard
from monsoontack.inbound.responder import (
    CallerDisconnectedError,
    Responder,
    reason_phrase,
)
from monsoontack.inbound.server import InboundServer

REQUEST_ID_HEADER = b"x-monsoontack-request-id"
LIMIT_HEADER = b"server-limit"
LEAVING_HEADERS = ((b"server-leaving", b"1"),)
ORIGIN_STAMP_HEADER = b"x-monsoontack-origin-stamp"
PROMPT_HEADER = b"x-monsoontack-prefix-hash"
USAGE_HEADER = b"x-monsoontack-token-usage"
ACCOUNT_HEADER = b"x-monsoontack-tenant"
EXPECTED_INSTANCE_HEADER = b"x-monsoontack-expect-instance"
NOT_RUN_HEADERS = ((b"x-monsoontack-not-executed", b"1"),)
EVENT_GAP_S = 0.02
# A response without end consists of chunks of this size, sent as fast as the caller
# reads them. Only a caller that does not limit the response reaches the maximum.
ENDLESS_CHUNK = b"x-filler: " + b"y" * 64_000 + b"\r\n"
ENDLESS_TEXT = b"y" * 64_000
# Status and beginning of a body without end; as an event stream it has one event.
ENDLESS_BODIES = {"endless_body": (200, b"data: "), "endless_error": (500, b"error: ")}
ENDLESS_PAUSE_S = 0.001
MAX_ENDLESS_BYTES = 50_000_000
SSE_COMMENT = b": still here\n\n"
# At this time, the connection may be idle or may carry another request.
DUPLICATE_DELAY_S = 0.03
ERROR_TEXT = b"internal error of the engine"
RAW_ERROR = (
    b"HTTP/1.1 500 Internal Server Error\r\ncontent-type: text/plain\r\n"
    b"content-length: %d\r\n\r\n%s\n\n" % (len(ERROR_TEXT) + 2, ERROR_TEXT)
)
# Wrong answers to a request that resumes a stream: error responses, a success without
# content, bodies without an event, another content type, events that are not the next
# ones, and an error response in place of an event after two right ones, either between
# two chunks or inside a chunk.
RESUME_BEHAVIORS = (
    "error",
    "bad_request",
    "no_content",
    "empty",
    "comments",
    "other_type",
    "from_start",
    "repeated_id",
    "skipped_ids",
    "other_ids",
    "no_ids",
    "raw_head",
    "raw_head_in_chunk",
)


def make_event(number: int) -> bytes:
    """Return event `number`, which is the same in every stream."""
    return b"id: %d\ndata: t%d\n\n" % (number, number)


def encode_response(status: int, headers, body: bytes = b"") -> bytes:
    """Return a complete response."""
    lines = [b"HTTP/1.1 %d %s" % (status, reason_phrase(status))]
    lines += [b"content-length: %d" % len(body)]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def wrong_events(behavior: str, last: int, event_count: int) -> list[bytes]:
    """Return the parts of a body that does not go on after event `last`.

    Events that look right are those of the stream, which has `event_count` of them: no
    gateway can tell an invented event behind the last one from a true one.
    """
    match behavior:
        case "comments":
            return [SSE_COMMENT] * 3
        case "from_start":
            return [make_event(number) for number in range(1, last + 4)]
        case "repeated_id":
            return [make_event(number) for number in range(last, last + 4)]
        case "skipped_ids":
            return [make_event(number) for number in range(last + 3, last + 6)]
        case "other_ids":
            return [b"id: other-%d\ndata: foreign\n\n" % n for n in range(3)]
        case "no_ids":
            return [b"data: foreign\n\n"] * 3
        case "raw_head" | "raw_head_in_chunk":
            right = [make_event(n) for n in (last + 1, last + 2) if n <= event_count]
            return [*right, RAW_ERROR]
    return []


def call_key(account: str, target: str, body: bytes = b"") -> str:
    """Return what makes a call the same one when it comes again."""
    return f"{account} {target} {body.decode()}"


@dataclass(frozen=True, slots=True)
class EndlessResponse:
    """Number of bytes sent in a response without end, and when they were sent."""

    sent_bytes: int
    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class CutHead:
    """A response that stops in its head, after which the connection ends."""

    part: bytes
    pause_s: float = 0.0
    is_reset: bool = False


@dataclass(slots=True)
class DirectEngine:
    """One incarnation of a backend server; `name` is its incarnation id."""

    name: str
    behavior: str = "ok"
    resume_behavior: str = ""
    service: str = ""
    event_count: int = 50
    die_after_events: int = 10
    work_s: float = 0.01
    event_gap_s: float = EVENT_GAP_S
    uses_stated_length: bool = False
    end_pause_s: float = 0.0
    runs: list[tuple[str, dict, bytes]] = field(default_factory=list)
    disconnected_requests: list[str] = field(default_factory=list)
    endless_responses: list[EndlessResponse] = field(default_factory=list)
    cut_heads: dict[str, CutHead] = field(default_factory=dict)
    limit: str | None = None
    arrivals: list[float] = field(default_factory=list)
    is_leaving: bool = False
    retry_after: str | None = None
    requests: list[tuple[str, float]] = field(default_factory=list)
    leaving_said: list[tuple[str, float]] = field(default_factory=list)
    waits_said: list[tuple[str, float, str]] = field(default_factory=list)
    deadly_parts: frozenset[str] = frozenset()
    deadly_calls: frozenset[str] = frozenset()
    deadly_arrivals: list[tuple[str, float]] = field(default_factory=list)
    crashes: list[tuple[str, float, str]] = field(default_factory=list)
    read_prompt_s: float = 0.0
    restart_s: float = 1.0
    silent_until: float = 0.0
    on_crash: Callable[["DirectEngine"], None] = lambda engine: None
    on_restart: Callable[["DirectEngine"], None] = lambda engine: None
    tasks: set[asyncio.Task] = field(default_factory=set)
    kept_refusals: WeakKeyDictionary = field(default_factory=WeakKeyDictionary)
    refusals: int = 0
    repeated_refusals: int = 0
    address: str = ""
    listener: asyncio.Server | None = None
    server: InboundServer | None = None

    async def start(self) -> None:
        """Start listening on a free loopback port."""
        await self._listen(0)

    async def _listen(self, port: int) -> None:
        limits = CallerLimits(body_bytes=10**7)
        self.server = InboundServer(self.handle, lambda: limits, MemoryGuard(10**8))
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            self.server.make_connection, "127.0.0.1", port
        )
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        for task in self.tasks:
            task.cancel()
        self.listener.close()
        self.server.abort_all()

    def crash(self, part: str = "", request_id: str = "") -> None:
        """End the process, and start it anew under another name after a while."""
        if not self.listener.is_serving():
            return
        now = asyncio.get_running_loop().time()
        self.crashes.append((part, now, request_id))
        self.on_crash(self)
        self.listener.close()
        self.server.abort_all()
        task = asyncio.ensure_future(self._restart())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _restart(self) -> None:
        await asyncio.sleep(self.restart_s)
        base = self.name.partition("~")[0]
        self.name = f"{base}~{len(self.crashes)}"
        await self._listen(int(self.address.rpartition(":")[2]))
        self.on_restart(self)

    def _deadly_part(self, headers: dict) -> str | None:
        """Return the part of the prompt, not the last one, that ends the process."""
        items = headers.get(PROMPT_HEADER, b"").decode().split(",")[:-1]
        parts = [item.partition(":")[0] for item in items]
        return next((part for part in parts if part in self.deadly_parts), None)

    def entry(self, service: str, zone: str) -> dict:
        """Return the server's object for the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seqno": 1,
        }

    async def _wait_while_silent(self) -> None:
        now = asyncio.get_running_loop().time
        while now() < self.silent_until:
            await asyncio.sleep(self.silent_until - now())

    async def handle(self, raw: RawRequest, responder: Responder) -> None:
        """Serve one request as `behavior` selects."""
        await self._wait_while_silent()
        headers = dict(raw.headers)
        request_id = headers.get(REQUEST_ID_HEADER, b"")
        response_headers = (
            (REQUEST_ID_HEADER, request_id),
            (ORIGIN_STAMP_HEADER, self.name.encode()),
        )
        self.arrivals.append(asyncio.get_running_loop().time())
        if self.limit is not None:
            response_headers += ((LIMIT_HEADER, self.limit.encode()),)
        if headers.get(EXPECTED_INSTANCE_HEADER, b"").decode() not in ("", self.name):
            responder.send(421, response_headers)
            return
        response_headers += self._statements(request_id)
        if self._refuses(request_id, responder, response_headers + NOT_RUN_HEADERS):
            return
        self.runs.append((request_id.decode(), headers, raw.body))
        if request_id.decode() in self.cut_heads:
            await self._send_cut_head(request_id.decode(), responder)
        elif self.behavior == "reset":
            responder.abort()
        elif self.behavior == "hang":
            await responder.disconnected
            self.disconnected_requests.append(request_id.decode())
        elif self.behavior.startswith("endless"):
            await self._send_endless_response(responder, response_headers)
        elif b"/stream/" in raw.target:
            await self._stream(headers, responder, response_headers)
        else:
            await self._answer_call(raw, request_id, responder, response_headers)

    async def _answer_call(
        self, raw: RawRequest, request_id: bytes, responder: Responder, headers
    ) -> None:
        """Answer a call after some work, or crash on one that is deadly."""
        account = dict(raw.headers).get(ACCOUNT_HEADER, b"").decode()
        key = call_key(account, raw.target.decode(), raw.body)
        if key in self.deadly_calls:
            await self._end_under_call(key, request_id.decode(), responder)
            return
        await asyncio.sleep(self.work_s)
        await self._wait_while_silent()
        text = b"done by " + self.name.encode() + b" for " + request_id
        responder.send(200, headers, text)
        if self.behavior == "twice":
            self._send_duplicate(responder, headers, text)

    async def _end_under_call(
        self, key: str, request_id: str, responder: Responder
    ) -> None:
        """End the process once the call has worked, unless its sender left before."""
        self.deadly_arrivals.append((key, asyncio.get_running_loop().time()))
        await asyncio.sleep(self.work_s)
        if not responder.is_disconnected:
            self.crash(key, request_id)

    def _statements(self, request_id: bytes) -> tuple[tuple[bytes, bytes], ...]:
        """Record a request, and return the headers of what the server says of itself.

        A `Retry-After` is added to the refusal only.
        """
        request = request_id.decode(), self.arrivals[-1]
        self.requests.append(request)
        if not self.is_leaving:
            return ()
        self.leaving_said.append(request)
        return LEAVING_HEADERS

    async def _send_cut_head(self, request_id: str, responder: Responder) -> None:
        """Send a part of a head, and end the connection."""
        cut_head = self.cut_heads.pop(request_id)
        responder.connection.write(cut_head.part)
        await asyncio.sleep(cut_head.pause_s)
        if cut_head.is_reset:
            responder.abort()
        else:
            responder.finished, responder.keep_alive = True, False

    def _refuses(self, request_id: bytes, responder: Responder, headers) -> bool:
        """Refuse a request if `behavior` says so; return whether it was refused.

        A refusal that was kept is written now, before the response to the request.
        """
        if self.retry_after is not None:
            if not responder.is_disconnected:
                self.waits_said.append((*self.requests[-1], self.retry_after))
            wait = (b"retry-after", self.retry_after.encode())
            responder.send(503, (*headers, wait))
            return True
        connection = responder.connection
        awaited_id, refusal = self.kept_refusals.get(connection, (None, None))
        if refusal is not None and awaited_id in (None, request_id):
            del self.kept_refusals[connection]
            self.repeated_refusals += 1
            connection.write(refusal)
        elif self.behavior == "refuse_again" and refusal is None:
            self.refusals += 1
            awaited_id = request_id if self.refusals % 2 else None
            self.kept_refusals[connection] = awaited_id, encode_response(503, headers)
            responder.send(503, headers)
            return True
        if self.behavior == "shed":
            responder.send(503, headers)
        return self.behavior == "shed"

    def _send_duplicate(
        self, responder: Responder, response_headers, text: bytes
    ) -> None:
        """Send the response again, whatever the connection carries by then."""
        copy = encode_response(200, response_headers, text)
        loop = asyncio.get_running_loop()
        loop.call_later(DUPLICATE_DELAY_S, responder.connection.write, copy)

    async def _send_endless_response(
        self, responder: Responder, response_headers
    ) -> None:
        """Send a head, a body or trailers until the caller disconnects."""
        now = asyncio.get_running_loop().time
        connection, sent_bytes, began_at = responder.connection, 0, now()
        chunk = ENDLESS_CHUNK
        if self.behavior == "endless_trailers":
            responder.begin(200, response_headers)
            connection.write(b"2\r\nok\r\n0\r\n")
        elif self.behavior in ENDLESS_BODIES:
            status, start = ENDLESS_BODIES[self.behavior]
            event_type = (b"content-type", b"text/event-stream")
            responder.begin(status, (*response_headers, event_type))
            connection.write(b"%x\r\n%s\r\n" % (len(start), start))
            chunk = b"%x\r\n%s\r\n" % (len(ENDLESS_TEXT), ENDLESS_TEXT)
        else:
            connection.write(b"HTTP/1.1 200 OK\r\n")
        while not responder.is_disconnected and sent_bytes < MAX_ENDLESS_BYTES:
            if not connection.is_congested:
                connection.write(chunk)
                sent_bytes += len(chunk)
            await asyncio.sleep(ENDLESS_PAUSE_S)
        self.endless_responses.append(EndlessResponse(sent_bytes, began_at, now()))
        responder.abort()

    async def _resume_wrongly(
        self, headers: dict, responder: Responder, response_headers
    ) -> None:
        """Answer a request that resumes a stream as `resume_behavior` selects."""
        behavior = self.resume_behavior
        event_type = (b"content-type", b"text/event-stream")
        text_type = (b"content-type", b"text/plain")
        if behavior in ("error", "bad_request"):
            status = 500 if behavior == "error" else 400
            responder.send(status, (*response_headers, text_type), ERROR_TEXT)
            return
        if behavior == "no_content":
            responder.send(204, response_headers)
            return
        last = int(headers[b"last-event-id"])
        is_other_type = behavior == "other_type"
        content_type = text_type if is_other_type else event_type
        parts = wrong_events(behavior, last, self._events_of(headers))
        if is_other_type:
            parts = [make_event(last + 1), make_event(last + 2)]
        responder.begin(200, (*response_headers, content_type))
        try:
            for part in parts:
                if behavior == "raw_head" and part is RAW_ERROR:
                    responder.connection.write(part)
                    return
                await responder.write(part)
                await asyncio.sleep(EVENT_GAP_S)
        except CallerDisconnectedError:
            self.disconnected_requests.append(headers[REQUEST_ID_HEADER].decode())
            return
        responder.finish()

    def _events_of(self, headers: dict) -> int:
        """Return the number of events of the stream that a request asks for."""
        if self.uses_stated_length:
            return int(headers[USAGE_HEADER].split(b",")[1])
        return self.event_count

    async def _stream(
        self, headers: dict, responder: Responder, response_headers
    ) -> None:
        if self.resume_behavior and b"last-event-id" in headers:
            await self._resume_wrongly(headers, responder, response_headers)
            return
        start = int(headers.get(b"last-event-id", b"0")) + 1
        event_count = self._events_of(headers)
        deadly_part = self._deadly_part(headers)
        if deadly_part is not None:
            now = asyncio.get_running_loop().time()
            self.deadly_arrivals.append((deadly_part, now))
        await asyncio.sleep(self.read_prompt_s)
        await self._wait_while_silent()
        if responder.is_disconnected:
            self.disconnected_requests.append(headers[REQUEST_ID_HEADER].decode())
            return
        if deadly_part is not None:
            self.crash(deadly_part, headers[REQUEST_ID_HEADER].decode())
            return
        responder.begin(
            200, (*response_headers, (b"content-type", b"text/event-stream"))
        )
        try:
            for number in range(start, event_count + 1):
                if (
                    self.behavior == "die"
                    and start == 1
                    and number > self.die_after_events
                ):
                    responder.abort()
                    return
                while self.behavior == "comments" and start == 1 and number > 5:
                    await responder.write(SSE_COMMENT)
                    await asyncio.sleep(self.event_gap_s)
                await self._wait_while_silent()
                await responder.write(make_event(number))
                await asyncio.sleep(self.event_gap_s)
        except CallerDisconnectedError:
            self.disconnected_requests.append(headers[REQUEST_ID_HEADER].decode())
            return
        await asyncio.sleep(self.end_pause_s if start <= event_count else 0.0)
        responder.finish()
