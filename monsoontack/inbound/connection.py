"""HTTP/1.1 server for the connections of callers.

The requests of one connection are served in order. A request is passed to the
handler once its body is complete. Reading pauses while the request bodies of all
connections together exceed a budget. To prevent request smuggling, the parser
accepts no ambiguous request: `Content-Length` together with chunked encoding,
repeated lengths, folded headers and invalid characters are refused with 400, and
the connection is closed.
"""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httptools

from monsoontack.gateway.records import CallerLimits, RawRequest
from monsoontack.inbound.responder import Responder, reason_phrase, set_reset_on_close

# After a refusal, the remaining bytes of the caller are read and discarded for this
# time before the connection is closed; a reset could destroy the refusal in transit.
LINGERING_CLOSE_S = 0.5
# Unsent bytes above which writes to a slow caller wait.
WRITE_BUFFER_HIGH_BYTES = 65_536
# Header fields that make a request ambiguous if they occur more than once.
SINGLETON_HEADERS = frozenset((b"host", b"content-length", b"transfer-encoding"))
# Bytes received without any body data: trailers and chunk extensions of a request.
MAX_FRAMING_BYTES = 65_536
# Holds one second of new connections during a burst at a large entry.
LISTEN_BACKLOG = 512
# Callers that disappeared without closing the connection are detected after this time.
TCP_USER_TIMEOUT_MS = 10_000


@dataclass(slots=True)
class BodyBudget:
    """Limit on the bytes of request bodies that all connections hold together."""

    limit_bytes: int
    used_bytes: int = 0
    paused_connections: set["InboundConnection"] = field(default_factory=set)

    def add(self, connection: "InboundConnection", size_bytes: int) -> bool:
        """Count bytes as in use; return False if the connection must pause reading."""
        self.used_bytes += size_bytes
        if self.used_bytes <= self.limit_bytes:
            return True
        self.paused_connections.add(connection)
        return False

    def release(self, size_bytes: int) -> None:
        """Release bytes; paused connections resume once the budget has room."""
        self.used_bytes -= size_bytes
        if self.used_bytes <= self.limit_bytes and self.paused_connections:
            paused_connections, self.paused_connections = self.paused_connections, set()
            for connection in paused_connections:
                connection.resume_reading()


@dataclass(slots=True)
class InboundServer:
    """State shared by the connections of one listening address.

    `handler` serves one request with a `Responder`. `limits` returns the limits in
    force. While `closing` returns true, connections are closed after their response.
    """

    handler: Callable[[RawRequest, Responder], Awaitable[None]]
    limits: Callable[[], CallerLimits]
    budget: BodyBudget
    closing: Callable[[], bool] = lambda: False
    connections: set["InboundConnection"] = field(default_factory=set)
    tasks: set[asyncio.Task] = field(default_factory=set)
    on_bad_request: Callable[[int, str], None] = lambda status, detail: None

    def make_connection(self) -> "InboundConnection":
        """Return the protocol object of a new connection."""
        return InboundConnection(self)

    @property
    def has_active_requests(self) -> bool:
        """Whether a request is being received or served on any connection."""
        return any(not c.is_idle for c in self.connections)

    def close_idle(self, min_idle_s: float = 0.0) -> None:
        """Close the connections that have had no active request for some time."""
        for connection in list(self.connections):
            idle_s = connection.now() - connection.idle_since
            if connection.is_idle and idle_s >= min_idle_s:
                connection.transport.close()

    def unsent_connections(self) -> int:
        """Return the number of connections whose caller has not read everything."""
        transports = (connection.transport for connection in self.connections)
        return sum(item.get_write_buffer_size() > 0 for item in transports)

    def abort_all(self) -> None:
        """Abort all connections, with a reset where bytes are dropped."""
        for connection in list(self.connections):
            transport = connection.transport
            if transport.get_write_buffer_size() > 0:
                set_reset_on_close(transport, True)
            transport.abort()


class InboundConnection(asyncio.Protocol):
    """Server side of the connection of one caller."""

    def __init__(self, server: InboundServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.is_http10 = False
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.header_bytes = 0
        self.is_reading_head = True
        self.framing_bytes = 0
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.queue: deque[RawRequest] = deque()
        self.current: Responder | None = None
        self.is_refused = False
        self.is_reading = True
        self.is_congested = False
        self.drain_future: asyncio.Future | None = None
        self.timeout_timer: asyncio.TimerHandle | None = None
        self.request_started_at: float | None = None
        self.idle_since = 0.0

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received, queued or served."""
        return (
            self.current is None and not self.queue and self.request_started_at is None
        )

    def should_close(self) -> bool:
        """Whether to close after the response; false while requests are queued."""
        return self.server.closing() and not self.queue

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_BYTES)
        self.server.connections.add(self)
        self.idle_since = self.now()
        self._schedule_timeout_check()

    def connection_lost(self, error: Exception | None) -> None:
        """Release resources and notify the current request of the disconnect."""
        self.server.connections.discard(self)
        self.server.budget.paused_connections.discard(self)
        self._discard_body()
        for raw in self.queue:
            self.server.budget.release(len(raw.body))
        self.queue.clear()
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        if self.current is not None and not self.current.disconnected.done():
            self.current.disconnected.set_result(None)
        self._resume_drain()

    def eof_received(self) -> bool:
        """Close; a caller that closed its sending side is treated as disconnected."""
        return False

    def pause_writing(self) -> None:
        """Mark the write buffer as full: the caller reads too slowly."""
        self.is_congested = True

    def resume_writing(self) -> None:
        """Resume writers that wait in `drain`."""
        self.is_congested = False
        self._resume_drain()

    async def drain(self, disconnected: asyncio.Future) -> None:
        """Wait until the write buffer has drained or the caller has disconnected."""
        if not self.is_congested or disconnected.done():
            return
        self.drain_future = asyncio.get_running_loop().create_future()
        await self.drain_future

    def _resume_drain(self) -> None:
        if self.drain_future is not None and not self.drain_future.done():
            self.drain_future.set_result(None)

    def write(self, data: bytes) -> None:
        """Send bytes to the caller."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Feed the parser and enforce the size limits of heads and framing."""
        if self.is_refused:
            return
        if self.request_started_at is None:
            self.request_started_at = self.now()
        if self.is_reading_head:
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
            self._check_size_limits()

    def _check_size_limits(self) -> None:
        if (
            self.is_reading_head
            and self.header_bytes > self.server.limits().header_bytes
        ):
            self.refuse(431, "request head too large")
        elif self.framing_bytes > MAX_FRAMING_BYTES:
            self.refuse(431, "trailers or chunk extensions too large")

    def on_message_begin(self) -> None:
        """Start a new request."""
        self.target, self.headers, self.body = b"", [], []
        self.body_bytes = 0
        self.is_reading_head = True

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may arrive in parts."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers, which follow the checked head, are dropped."""
        if self.is_reading_head:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Validate the head, and answer `Expect: 100-continue`."""
        self.is_reading_head = False
        self.header_bytes = self.framing_bytes = 0
        limits = self.server.limits()
        size = len(self.target) + sum(len(n) + len(v) + 4 for n, v in self.headers)
        if size > limits.header_bytes:
            self.refuse(431, "request head too large")
            return
        detail = find_head_error(self.headers, self.parser.get_http_version())
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
        """Collect a part of the body; refuse or pause if it exceeds a limit."""
        self.framing_bytes = 0
        if self.is_refused:
            return
        self.body.append(data)
        self.body_bytes += len(data)
        if self.body_bytes > self.server.limits().body_bytes:
            self.refuse(413, "request body too large")
        elif not self.server.budget.add(self, len(data)):
            self._pause_reading()

    def on_message_complete(self) -> None:
        """Queue the complete request, and serve it if no other one is being served."""
        if self.is_refused:
            return
        self.is_http10 = self.parser.get_http_version() == "1.0"
        raw = RawRequest(
            method=self.parser.get_method(),
            target=self.target,
            headers=tuple(self.headers),
            body=b"".join(self.body),
            keep_alive=self.parser.should_keep_alive(),
            received_at=self.now(),
        )
        self.body, self.body_bytes = [], 0
        self.is_reading_head = True
        self.request_started_at = None
        self.queue.append(raw)
        if self.current is None:
            self._serve_next()
        else:
            self._pause_reading()

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
            self._finish_request(responder)

    def _finish_request(self, responder: Responder) -> None:
        self.current = None
        if self.transport.is_closing():
            return
        if not responder.finished:
            self.transport.abort()
            return
        if not responder.keep_alive or self.is_refused:
            self.transport.close()
            return
        self.idle_since = self.now()
        if self.queue:
            self._serve_next()
        else:
            self.resume_reading()

    def refuse(self, status: int, detail: str) -> None:
        """Refuse an invalid request with an empty response and close the connection."""
        if self.is_refused:
            return
        self.is_refused = True
        self.server.on_bad_request(status, detail)
        self._discard_body()
        if self.current is not None:
            return
        lines = (
            b"HTTP/1.1 %d %s" % (status, reason_phrase(status)),
            b"content-length: 0",
            b"connection: close",
        )
        self.write(b"\r\n".join(lines) + b"\r\n\r\n")
        asyncio.get_running_loop().call_later(LINGERING_CLOSE_S, self.transport.close)

    def _discard_body(self) -> None:
        self.server.budget.release(self.body_bytes)
        self.body, self.body_bytes = [], 0

    def _pause_reading(self) -> None:
        if self.is_reading and not self.transport.is_closing():
            self.is_reading = False
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading after a pause."""
        if not self.is_reading and not self.transport.is_closing():
            self.is_reading = True
            self.transport.resume_reading()

    def _schedule_timeout_check(self) -> None:
        limits = self.server.limits()
        delay_s = min(limits.header_timeout_s, limits.idle_timeout_s) / 4
        loop = asyncio.get_running_loop()
        self.timeout_timer = loop.call_later(max(delay_s, 0.05), self._check_timeouts)

    def _check_timeouts(self) -> None:
        if self.transport.is_closing():
            return
        limits, now = self.server.limits(), self.now()
        if self.current is None and not self.is_refused:
            started_at = self.request_started_at
            allowed_s = limits.header_timeout_s
            if not self.is_reading_head:
                allowed_s = limits.idle_timeout_s
            if started_at is not None:
                if now - started_at > allowed_s:
                    self.refuse(408, "request took too long to arrive")
            elif now - self.idle_since > limits.idle_timeout_s:
                self.transport.close()
                return
        self._schedule_timeout_check()


def find_head_error(headers: list[tuple[bytes, bytes]], version: str) -> str:
    """Return why a head is ambiguous or unsupported, or an empty string."""
    seen: set[bytes] = set()
    for name, value in headers:
        if name in SINGLETON_HEADERS:
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
    """Listen at `ip:port` and return the listener."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        server.make_connection,
        host,
        int(port),
        backlog=LISTEN_BACKLOG,
        reuse_address=True,
    )
