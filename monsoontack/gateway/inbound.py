"""Callers' HTTP/1.1 connections: whole requests in, answers out.

Requests of one connection are served one after the other. A request is handed
over once its body is complete; while the bodies of all connections exceed a
budget, reading pauses. The parser is strict, so that no request has two readings:
length together with chunks, repeated lengths, folded headers and characters that
do not belong are refused with 400 and the connection is closed.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httptools

from monsoontack.gateway.records import CallerLimits, RawRequest
from monsoontack.gateway.responder import Responder, reason_of

# Time to read and drop what a refused caller still sends, so that the refusal
# is not lost to a reset.
LINGER_S = 0.5
# Bytes that may wait for a slow caller before its stream pauses.
WRITE_HIGH_BYTES = 65_536
# Header fields that must stand at most once, or a request has two readings.
SINGLE_HEADERS = frozenset((b"host", b"content-length", b"transfer-encoding"))
# Bytes without a part of a body: trailers and chunk extensions of one request.
MAX_FRAMING_BYTES = 65_536
# Connections that wait to be accepted; a burst of a second at a large entry.
BACKLOG = 512
# Callers that vanished without closing are noticed after this time.
USER_TIMEOUT_MS = 10_000


@dataclass(slots=True)
class BodyBudget:
    """Bytes of request bodies that all connections may hold together."""

    limit: int
    held: int = 0
    waiting: set["InboundConnection"] = field(default_factory=set)

    def add(self, connection: "InboundConnection", size: int) -> bool:
        """Count bytes; return False if the connection has to pause."""
        self.held += size
        if self.held <= self.limit:
            return True
        self.waiting.add(connection)
        return False

    def release(self, size: int) -> None:
        """Give bytes back and let paused connections go on."""
        self.held -= size
        if self.held <= self.limit and self.waiting:
            waiting, self.waiting = self.waiting, set()
            for connection in waiting:
                connection.read_on()


@dataclass(slots=True)
class InboundServer:
    """What the connections of one listening address share.

    `handler` serves one request with a `Responder`. `limits` gives the bounds in
    force. `closing` makes every further answer end its connection.
    """

    handler: Callable[[RawRequest, Responder], Awaitable[None]]
    limits: Callable[[], CallerLimits]
    budget: BodyBudget
    closing: Callable[[], bool] = lambda: False
    connections: set["InboundConnection"] = field(default_factory=set)
    tasks: set[asyncio.Task] = field(default_factory=set)
    on_bad_request: Callable[[int, str], None] = lambda status, detail: None

    def make_connection(self) -> "InboundConnection":
        """Return the protocol of a new connection."""
        return InboundConnection(self)

    @property
    def has_active_requests(self) -> bool:
        """Whether a request is under way or still comes in."""
        return any(not c.is_idle for c in self.connections)

    def close_idle(self) -> None:
        """Close the connections that have no request under way."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.transport.close()

    def abort_all(self) -> None:
        """Cut every connection."""
        for connection in list(self.connections):
            connection.transport.abort()


class InboundConnection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, server: InboundServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.is_http10 = False
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.header_bytes = 0
        self.in_head = True
        self.framing_bytes = 0
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.queue: deque[RawRequest] = deque()
        self.current: Responder | None = None
        self.refused = False
        self.reading = True
        self.is_congested = False
        self.drain_waiter: asyncio.Future | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.request_began_at: float | None = None
        self.idle_since = 0.0

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def is_idle(self) -> bool:
        """Whether no request is under way, not even in part."""
        return self.current is None and not self.queue and self.request_began_at is None

    def is_closing_down(self) -> bool:
        """Whether the answer should end its connection; not with requests behind it."""
        return self.server.closing() and not self.queue

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self.server.connections.add(self)
        self.idle_since = self.now()
        self._schedule()

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the running request that its caller left."""
        self.server.connections.discard(self)
        self.server.budget.waiting.discard(self)
        self._drop_body()
        for raw in self.queue:
            self.server.budget.release(len(raw.body))
        self.queue.clear()
        if self.timer is not None:
            self.timer.cancel()
        if self.current is not None and not self.current.disconnected.done():
            self.current.disconnected.set_result(None)
        self._wake_drain()

    def eof_received(self) -> bool:
        """Close; a caller that ended its side reads no answer any more."""
        return False

    def pause_writing(self) -> None:
        """Note that the caller reads too slowly."""
        self.is_congested = True

    def resume_writing(self) -> None:
        """Let writers go on."""
        self.is_congested = False
        self._wake_drain()

    async def drained(self, gone: asyncio.Future) -> None:
        """Return when the caller has read enough, or left."""
        if not self.is_congested or gone.done():
            return
        self.drain_waiter = asyncio.get_running_loop().create_future()
        await self.drain_waiter

    def _wake_drain(self) -> None:
        if self.drain_waiter is not None and not self.drain_waiter.done():
            self.drain_waiter.set_result(None)

    def write(self, data: bytes) -> None:
        """Send bytes to the caller."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Feed the parser, within the limits of a head."""
        if self.refused:
            return
        if self.request_began_at is None:
            self.request_began_at = self.now()
        if self.in_head:
            self.header_bytes += len(data)
        else:
            self.framing_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.refuse(400, "upgrade is not supported")
        except httptools.HttpParserError as error:
            self.refuse(400, str(error))
        else:
            self._check_head_size()

    def _check_head_size(self) -> None:
        if self.in_head and self.header_bytes > self.server.limits().header_bytes:
            self.refuse(431, "request head too large")
        elif self.framing_bytes > MAX_FRAMING_BYTES:
            self.refuse(431, "trailers or chunk extensions too large")

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.url, self.headers, self.body = b"", [], []
        self.body_bytes = 0
        self.in_head = True

    def on_url(self, url: bytes) -> None:
        """Collect the target, which may come in parts."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers are dropped, a head has been checked without."""
        if self.in_head:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head."""
        self.in_head = False
        self.header_bytes = self.framing_bytes = 0
        limits = self.server.limits()
        size = len(self.url) + sum(len(n) + len(v) + 4 for n, v in self.headers)
        if size > limits.header_bytes:
            self.refuse(431, "request head too large")
            return
        detail = head_fault(self.headers, self.parser.get_http_version())
        if detail:
            self.refuse(400, detail)
            return
        declared = next((v for n, v in self.headers if n == b"content-length"), b"0")
        if int(declared) > limits.body_bytes:
            self.refuse(413, "request body too large")
            return
        if (b"expect", b"100-continue") in self.headers and self.current is None:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self.framing_bytes = 0
        if self.refused:
            return
        self.body.append(data)
        self.body_bytes += len(data)
        if self.body_bytes > self.server.limits().body_bytes:
            self.refuse(413, "request body too large")
        elif not self.server.budget.add(self, len(data)):
            self._stop_reading()

    def on_message_complete(self) -> None:
        """Queue the request."""
        if self.refused:
            return
        self.is_http10 = self.parser.get_http_version() == "1.0"
        raw = RawRequest(
            method=self.parser.get_method(),
            target=self.url,
            headers=tuple(self.headers),
            body=b"".join(self.body),
            keep_alive=self.parser.should_keep_alive(),
            received_at=self.now(),
        )
        self.body, self.body_bytes = [], 0
        self.in_head = True
        self.request_began_at = None
        self.queue.append(raw)
        if self.current is None:
            self._serve_next()
        else:
            self._stop_reading()

    def _serve_next(self) -> None:
        raw = self.queue.popleft()
        self.current = Responder(self, raw)
        task = asyncio.ensure_future(self._serve(raw, self.current))
        self.server.tasks.add(task)
        task.add_done_callback(self.server.tasks.discard)

    async def _serve(self, raw: RawRequest, responder: Responder) -> None:
        try:
            await self.server.handler(raw, responder)
        finally:
            self.server.budget.release(len(raw.body))
            self._served(responder)

    def _served(self, responder: Responder) -> None:
        self.current = None
        if self.transport.is_closing():
            return
        if not responder.finished:
            self.transport.abort()
            return
        if not responder.keep_alive or self.refused:
            self.transport.close()
            return
        self.idle_since = self.now()
        if self.queue:
            self._serve_next()
        else:
            self.read_on()

    def refuse(self, status: int, detail: str) -> None:
        """Answer a request that is none and close the connection."""
        if self.refused:
            return
        self.refused = True
        self.server.on_bad_request(status, detail)
        self._drop_body()
        if self.current is not None:
            return
        lines = (
            b"HTTP/1.1 %d %s" % (status, reason_of(status)),
            b"content-length: 0",
            b"connection: close",
        )
        self.write(b"\r\n".join(lines) + b"\r\n\r\n")
        asyncio.get_running_loop().call_later(LINGER_S, self.transport.close)

    def _drop_body(self) -> None:
        self.server.budget.release(self.body_bytes)
        self.body, self.body_bytes = [], 0

    def _stop_reading(self) -> None:
        if self.reading and not self.transport.is_closing():
            self.reading = False
            self.transport.pause_reading()

    def read_on(self) -> None:
        """Read again after a pause."""
        if not self.reading and not self.transport.is_closing():
            self.reading = True
            self.transport.resume_reading()

    def _schedule(self) -> None:
        limits = self.server.limits()
        delay_s = min(limits.header_timeout_s, limits.idle_timeout_s) / 4
        loop = asyncio.get_running_loop()
        self.timer = loop.call_later(max(delay_s, 0.05), self._check_timeouts)

    def _check_timeouts(self) -> None:
        if self.transport.is_closing():
            return
        limits, now = self.server.limits(), self.now()
        if self.current is None and not self.refused:
            began = self.request_began_at
            allowed_s = limits.header_timeout_s
            if not self.in_head:
                allowed_s = limits.idle_timeout_s
            if began is not None:
                if now - began > allowed_s:
                    self.refuse(408, "request took too long to arrive")
            elif now - self.idle_since > limits.idle_timeout_s:
                self.transport.close()
                return
        self._schedule()


def head_fault(headers: list[tuple[bytes, bytes]], version: str) -> str:
    """Return why a head has two readings or cannot be served, else nothing."""
    seen: set[bytes] = set()
    for name, value in headers:
        if name in SINGLE_HEADERS:
            if name in seen:
                return f"repeated header {name.decode()}"
            seen.add(name)
        if name == b"transfer-encoding" and value.strip().lower() != b"chunked":
            return "unsupported transfer encoding"
    if b"host" not in seen:
        return "request without a host"
    if b"transfer-encoding" in seen and version == "1.0":
        return "chunked request in HTTP/1.0"
    return ""


async def listen_on(server: InboundServer, address: str) -> asyncio.Server:
    """Accept connections of `server` at `ip:port`."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        server.make_connection, host, int(port), backlog=BACKLOG, reuse_address=True
    )
