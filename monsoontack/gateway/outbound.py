"""Connections to backend servers: one HTTP/1.1 exchange at a time on each.

An answer belongs to the request only if it carries its id. An answer of another
request is skipped, bytes that belong to no request end the connection. Heads,
trailers, chunk framing and skipped answers are bounded, since a faulty server may
send them without end. What a failure says about the request is kept exact: `maybe_sent`
is false only while no byte of it can have reached the server.
"""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import httptools

from monsoontack.gateway.records import Headers

# Dead peers answer no keep-alive probe: after about 3 s the connection fails.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Unacknowledged bytes fail the connection after this time.
USER_TIMEOUT_MS = 3000
# Bytes of one answer that may wait for a slow caller before reading pauses.
HIGH_WATER_BYTES = 65_536
BODYLESS = frozenset((204, 304))
# Bytes without a part of a body: a head, trailers or chunk framing. Common servers
# accept heads of 8 to 64 KiB.
MAX_FRAMING_BYTES = 65_536
# Answers to other requests, and interim ones, that one exchange skips, and the bytes
# of their bodies. A server repeats an answer once or twice.
MAX_SKIPPED_ANSWERS = 16
MAX_SKIPPED_BYTES = 262_144
# Ids that a connection remembers; a request is sent to the same server again within
# moments, while few others use the connection.
REMEMBERED_IDS = 16


class FailureKind(StrEnum):
    """How an exchange ended without a whole answer."""

    CONNECT = "connect"
    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "malformed"
    FOREIGN = "foreign"
    SILENT = "silent"
    UNWANTED = "unwanted"
    OVERSIZED = "oversized"


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """Why an exchange failed; `maybe_sent` tells whether the request may have run."""

    kind: FailureKind
    maybe_sent: bool
    detail: str = ""

    def __str__(self) -> str:
        """Return the kind, with the bound that was exceeded if it was one."""
        is_bound = self.kind is FailureKind.OVERSIZED
        return f"{self.kind}: {self.detail}" if is_bound else str(self.kind)


class HttpExchange:
    """One request and its answer.

    `head` is set once the head of the answer is in. Body parts collect in
    `parts`; `wait` returns when something changed or the time is over.
    """

    def __init__(self, request_id: str | None) -> None:
        self.request_id = request_id
        self.status = 0
        self.headers: Headers = ()
        self.has_head = False
        self.parts: deque[bytes] = deque()
        self.size = 0
        self.is_complete = False
        self.failure: ExchangeFailure | None = None
        self.connection: Connection | None = None
        self.waiter: asyncio.Future | None = None
        self.received_bytes = 0

    @property
    def is_finished(self) -> bool:
        """Whether nothing more will come."""
        return self.is_complete or self.failure is not None

    def wake(self) -> None:
        """Let `wait` return."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def wait(self, timeout_s: float) -> None:
        """Return at the next change, at once if parts are waiting."""
        if self.parts or self.is_finished or timeout_s <= 0:
            return
        loop = asyncio.get_running_loop()
        self.waiter = loop.create_future()
        timer = loop.call_later(timeout_s, self.wake)
        try:
            await self.waiter
        finally:
            timer.cancel()
            self.waiter = None

    def take_body(self) -> bytes:
        """Return the body bytes that came in since the last call."""
        data = b"".join(self.parts)
        self.parts.clear()
        self.size = 0
        if self.connection is not None:
            self.connection.resume()
        return data

    def abort(self) -> None:
        """Give the exchange up, which tells the server to stop its work."""
        connection = self.connection
        if connection is not None and not self.is_finished:
            connection.abort()

    def fail(self, kind: FailureKind, sent: bool, detail: str = "") -> None:
        """End without a whole answer."""
        if not self.is_finished:
            self.failure = ExchangeFailure(kind, sent, detail)
            self.wake()


class Connection(asyncio.Protocol):
    """One connection to a backend server, or to the platform's store."""

    def __init__(
        self,
        response_request_id: Callable[[Headers], str | None],
        on_free: Callable[["Connection"], None],
    ) -> None:
        self.response_request_id = response_request_id
        self.on_free = on_free
        self.transport: asyncio.Transport | None = None
        self.exchange: HttpExchange | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.collected: list[tuple[bytes, bytes]] = []
        self.headers: Headers = ()
        self.skipping = False
        self.unframed = False
        self.usable = True
        self.served = 0
        self.skipped = 0
        self.paused = False
        self.expires_at = 0.0
        self.is_head_request = False
        self.in_head = True
        self.framing_bytes = 0
        self.skipped_answers = 0
        self.skipped_bytes = 0
        self.recent_ids: deque[str | None] = deque(maxlen=REMEMBERED_IDS)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options that find dead peers."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_dead_peer_options(sock)

    def start(self, exchange: HttpExchange, data: bytes, is_head: bool = False) -> None:
        """Send a request; the connection must be free."""
        self.exchange = exchange
        self.is_head_request = is_head
        self.framing_bytes = self.skipped_answers = self.skipped_bytes = 0
        self.recent_ids.append(exchange.request_id)
        exchange.connection = self
        self.transport.write(data)

    @property
    def is_open(self) -> bool:
        """Whether another request may be sent."""
        return self.usable and not self.transport.is_closing()

    def has_carried(self, request_id: str | None) -> bool:
        """Whether a late answer to an earlier send could pass for one to this id."""
        return request_id is not None and request_id in self.recent_ids

    def abort(self) -> None:
        """Reset the connection; a running exchange counts as given up."""
        self.usable = False
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.fail(FailureKind.CLOSED, True, "given up")
        if self.transport is not None:
            self.transport.abort()

    def resume(self) -> None:
        """Read on after a pause for a slow caller."""
        if self.paused and self.transport is not None:
            self.paused = False
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes outside an exchange end the connection."""
        if self.exchange is None:
            self.usable = False
            self.transport.abort()
            return
        self.exchange.received_bytes += len(data)
        self.framing_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._reject(FailureKind.MALFORMED, str(error))
        else:
            self._check_bounds()

    def _check_bounds(self) -> None:
        """End the connection if the server sends without end what is no answer."""
        if self.framing_bytes > MAX_FRAMING_BYTES:
            part = "head" if self.in_head else "trailers or chunk framing"
            self._reject(
                FailureKind.OVERSIZED, f"{part} above {MAX_FRAMING_BYTES} bytes"
            )
        elif self.skipped_bytes > MAX_SKIPPED_BYTES:
            detail = f"answers of other requests above {MAX_SKIPPED_BYTES} bytes"
            self._reject(FailureKind.OVERSIZED, detail)
        elif self.skipped_answers > MAX_SKIPPED_ANSWERS:
            detail = f"more than {MAX_SKIPPED_ANSWERS} answers of other requests"
            self._reject(FailureKind.OVERSIZED, detail)

    def _reject(self, kind: FailureKind, detail: str) -> None:
        """Fail the exchange and reset the connection."""
        self.usable = False
        self._fail(kind, detail)
        self.transport.abort()

    def on_message_begin(self) -> None:
        """Start a head; bytes that follow an answer belong to no request."""
        self.in_head = True
        self.collected = []
        if self.exchange is None:
            self.usable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header; trailers are dropped."""
        if self.in_head:
            self.collected.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Decide whether the answer belongs to the exchange."""
        self.in_head = False
        self.headers, self.collected = tuple(self.collected), []
        self.framing_bytes = 0
        size = sum(len(name) + len(value) + 4 for name, value in self.headers)
        if size > MAX_FRAMING_BYTES:
            # A head that came in one read is not seen by the check between reads.
            detail = f"head above {MAX_FRAMING_BYTES} bytes"
            self._reject(FailureKind.OVERSIZED, detail)
        exchange = self.exchange
        status = self.parser.get_status_code()
        if exchange is None or status < 200:
            self.skipping = True
            self.skipped_answers += 1
            return
        found = self.response_request_id(self.headers)
        expected = exchange.request_id
        if expected is not None and found is not None and found != expected:
            # A late or extra answer to an earlier request.
            self.skipping = True
            self.skipped += 1
            self.skipped_answers += 1
            return
        if expected is not None and found is None and self.served:
            self.usable = False
            self._fail(FailureKind.FOREIGN, "answer without an id")
            return
        self.skipping = False
        self._note_framing(status)
        exchange.status, exchange.headers = status, self.headers
        exchange.has_head = True
        exchange.wake()
        if self.is_head_request:
            self.usable = False
            self._complete()

    def _note_framing(self, status: int) -> None:
        names = {name for name, _ in self.headers}
        framed = b"content-length" in names or b"transfer-encoding" in names
        self.unframed = not framed and status not in BODYLESS
        if self.unframed or not self.parser.should_keep_alive() or self.skipped:
            self.usable = False

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        self.framing_bytes = 0
        exchange = self.exchange
        if self.skipping or exchange is None:
            self.skipped_bytes += len(data)
            return
        exchange.parts.append(data)
        exchange.size += len(data)
        exchange.wake()
        if exchange.size > HIGH_WATER_BYTES and not self.paused:
            self.paused = True
            self.transport.pause_reading()

    def on_message_complete(self) -> None:
        """End the exchange, unless the answer was not its own."""
        if self.skipping:
            self.skipping = False
            return
        self._complete()

    def _complete(self) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            return
        self.served += 1
        exchange.is_complete = True
        exchange.wake()
        # Bytes that follow in the same read belong to no request; they are fed
        # before the connection is offered again.
        asyncio.get_running_loop().call_soon(self._offer)

    def _offer(self) -> None:
        if self.is_open and self.exchange is None:
            self.on_free(self)
        elif self.exchange is None:
            self.transport.close()

    def eof_received(self) -> bool:
        """Take a clean end as the end of an answer without a length."""
        self.usable = False
        if self.exchange is not None and self.exchange.has_head and self.unframed:
            self._complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail a running exchange."""
        self.usable = False
        kind = FailureKind.CLOSED if error is None else FailureKind.RESET
        self._fail(kind, str(error or "connection closed"))

    def _fail(self, kind: FailureKind, detail: str) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.fail(kind, True, detail)


def set_dead_peer_options(sock: socket.socket) -> None:
    """Make the kernel fail connections whose peer is dark or cut off."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
