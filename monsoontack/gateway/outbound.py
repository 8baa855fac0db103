"""HTTP/1.1 client connections to backend servers, one exchange at a time on each.

A response is matched to the request by its request id. A response to another request
is skipped; bytes received while no request is pending end the connection. The sizes
of heads, trailers, chunk framing and skipped responses are limited, since a faulty
server may send them without end. The flag `maybe_sent` of a failure is false only if no
byte of the request can have reached the server.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import httptools

from monsoontack.core.httpstatus import is_http_status
from monsoontack.core.sentids import SentIds
from monsoontack.core.unsent import ends_too_soon
from monsoontack.gateway.deadpeer import DeadPeerDetection
from monsoontack.gateway.records import Headers
from monsoontack.inbound.account import MemoryAccount
from monsoontack.inbound.serverholding import ServerHolding

# Buffered body bytes of one response above which reading from the server pauses until
# a slow caller has caught up.
READ_BUFFER_HIGH_BYTES = 65_536
BODYLESS_STATUSES = frozenset((204, 304))
# Bytes received without any body data: a head, trailers or chunk framing. Common
# servers accept heads of 8 to 64 KiB.
MAX_FRAMING_BYTES = 65_536
# Responses to other requests and interim (1xx) responses that one exchange skips, and
# the bytes of their bodies. A server repeats a response once or twice.
MAX_SKIPPED_RESPONSES = 16
MAX_SKIPPED_BYTES = 262_144


class FailureKind(StrEnum):
    """Kind of failure of an exchange without a complete response."""

    CONNECT = "connect"
    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "malformed"
    FOREIGN = "foreign"
    SILENT = "silent"
    UNWANTED = "unwanted"
    OVERSIZED = "oversized"
    LIMITED = "limited"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ExchangeFailure:
    """Why an exchange failed; `maybe_sent` is false only if it cannot have run.

    `is_refused` means that nothing listens at the address.
    """

    kind: FailureKind
    maybe_sent: bool
    detail: str = ""
    is_refused: bool = False

    def __str__(self) -> str:
        """Return the kind; for `OVERSIZED` also the limit that was exceeded."""
        is_bound = self.kind is FailureKind.OVERSIZED
        return f"{self.kind}: {self.detail}" if is_bound else str(self.kind)


class HttpExchange:
    """One request and its response.

    `has_head` is true once the head of the response has arrived. Body data collects in
    `parts`. `ends_with_connection` marks a response without length or chunks. `wait`
    returns at the next change of state or after its timeout. `on_head`
    is called once when the head arrives, even if nobody waits for the response.
    `left_s` is the time from the send to the deadline, if there is one.
    """

    def __init__(self, request_id: str | None) -> None:
        self.request_id = request_id
        self.status = 0
        self.headers: Headers = ()
        self.has_head = False
        self.ends_with_connection = False
        self.parts: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.is_complete = False
        self.failure: ExchangeFailure | None = None
        self.connection: OutboundConnection | None = None
        self.waiter: asyncio.Future | None = None
        self.on_head: Callable[[HttpExchange], None] | None = None
        self.received_bytes = 0
        self.left_s: float | None = None

    @property
    def is_finished(self) -> bool:
        """Whether the response is complete or has failed."""
        return self.is_complete or self.failure is not None

    def wake(self) -> None:
        """Make `wait` return."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    async def wait(self, timeout_s: float) -> None:
        """Wait for the next change of state, not at all if body data is buffered."""
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
        """Return the body bytes received since the last call."""
        data = b"".join(self.parts)
        self.parts.clear()
        self.buffered_bytes = 0
        if self.connection is not None:
            self.connection.resume()
        return data

    def abort(self) -> None:
        """Abort an unfinished exchange; the reset makes the server stop its work."""
        connection = self.connection
        if connection is not None and not self.is_finished:
            connection.abort()

    def fail(self, kind: FailureKind, maybe_sent: bool, detail: str = "") -> None:
        """End the exchange with a failure unless it has already ended."""
        if not self.is_finished:
            self.failure = ExchangeFailure(kind, maybe_sent, detail)
            self.wake()


class OutboundConnection(asyncio.Protocol):
    """Client side of a connection to a backend server or to the platform's store."""

    def __init__(
        self,
        response_request_id: Callable[[Headers], str | None],
        on_free: Callable[["OutboundConnection"], None],
        account: MemoryAccount | None = None,
    ) -> None:
        self.holding = ServerHolding(account)
        self.response_request_id = response_request_id
        self.on_free = on_free
        self.transport: asyncio.Transport | None = None
        self.exchange: HttpExchange | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.collected_headers: list[tuple[bytes, bytes]] = []
        self.headers: Headers = ()
        self.is_skipping_response = False
        self.is_close_delimited = False
        self.is_reusable = True
        self.completed_exchanges = 0
        self.foreign_responses = 0
        self.is_reading_paused = False
        self.expires_at = 0.0
        self.dead_peers: DeadPeerDetection | None = None
        self.is_head_request = False
        self.is_reading_head = True
        self.framing_bytes = 0
        self.skipped_responses = 0
        self.skipped_bytes = 0
        self.sent_ids = SentIds()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options that detect dead peers."""
        self.transport = transport
        self.holding.open()
        sock = transport.get_extra_info("socket")
        if sock is not None:
            self.dead_peers = DeadPeerDetection(sock)

    def start(self, exchange: HttpExchange, data: bytes, is_head: bool = False) -> None:
        """Send a request; no other exchange may be active on the connection."""
        if self.dead_peers is not None:
            self.dead_peers.prepare(len(data), exchange.left_s)
        self.exchange = exchange
        self.is_head_request = is_head
        self.framing_bytes = self.skipped_responses = self.skipped_bytes = 0
        self.sent_ids.note_sent(exchange.request_id)
        exchange.connection = self
        self.transport.write(data)
        self.holding.note_sent(self.transport, len(data))

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry another request."""
        return self.is_reusable and not self.transport.is_closing()

    def has_recently_sent(self, request_id: str | None) -> bool:
        """Whether a late response to an earlier send would match this request id."""
        return request_id is not None and request_id in self.sent_ids

    def abort(self) -> None:
        """Reset the connection and fail the active exchange."""
        self.is_reusable = False
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.fail(FailureKind.CLOSED, True, "given up")
        if self.transport is not None:
            self.transport.abort()

    def resume(self) -> None:
        """Resume reading after a pause for a slow caller."""
        self.holding.clear()
        if self.is_reading_paused and self.transport is not None:
            self.is_reading_paused = False
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes without an active exchange end the connection."""
        if self.exchange is None:
            self.is_reusable = False
            self.transport.abort()
            return
        self.exchange.received_bytes += len(data)
        self.framing_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._reject(FailureKind.MALFORMED, str(error))
        else:
            self._check_bounds()

    def _check_bounds(self) -> None:
        """Reset the connection if framing or skipped responses exceed their limits."""
        if self.framing_bytes > MAX_FRAMING_BYTES:
            part = "head" if self.is_reading_head else "trailers or chunk framing"
            self._reject(
                FailureKind.OVERSIZED, f"{part} above {MAX_FRAMING_BYTES} bytes"
            )
        elif self.skipped_bytes > MAX_SKIPPED_BYTES:
            detail = f"answers of other requests above {MAX_SKIPPED_BYTES} bytes"
            self._reject(FailureKind.OVERSIZED, detail)
        elif self.skipped_responses > MAX_SKIPPED_RESPONSES:
            detail = f"more than {MAX_SKIPPED_RESPONSES} answers of other requests"
            self._reject(FailureKind.OVERSIZED, detail)

    def _reject(self, kind: FailureKind, detail: str) -> None:
        """Fail the active exchange and reset the connection."""
        self.is_reusable = False
        self._fail(kind, detail)
        self.transport.abort()

    def on_message_begin(self) -> None:
        """Start a head; a response without an active exchange ends reuse."""
        self.is_reading_head = True
        self.collected_headers = []
        if self.exchange is None:
            self.is_reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if self.is_reading_head:
            self.collected_headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Match the response to the active exchange, or skip it."""
        self.is_reading_head = False
        self.headers, self.collected_headers = tuple(self.collected_headers), []
        self.framing_bytes = 0
        status = self.parser.get_status_code()
        self._check_head(status)
        exchange = self.exchange
        if exchange is None or status < 200:
            self.is_skipping_response = True
            self.skipped_responses += 1
            return
        found = self.response_request_id(self.headers)
        expected = exchange.request_id
        if expected is not None and found is not None and found != expected:
            # A late or duplicate response to an earlier request.
            self.is_skipping_response = True
            self.foreign_responses += 1
            self.skipped_responses += 1
            return
        is_first = not (self.completed_exchanges or self.foreign_responses)
        if expected is not None and found is None and not is_first:
            self._reject(FailureKind.FOREIGN, "answer without an id")
            return
        self.is_skipping_response = False
        self._set_framing(status)
        if expected is not None and found is None:
            # A later response without an id could not be told from a copy of this one.
            self.is_reusable = False
        exchange.status, exchange.headers = status, self.headers
        exchange.ends_with_connection = self.is_close_delimited
        exchange.has_head = True
        if expected is not None and status >= 400:
            self.is_reusable &= self.sent_ids.note_failed(expected)
        if exchange.on_head is not None:
            exchange.on_head(exchange)
        exchange.wake()
        if self.is_head_request:
            self.is_reusable = False
            self._complete()

    def _check_head(self, status: int) -> None:
        """Reset the connection if its server is broken by the head of a response."""
        size = sum(len(name) + len(value) + 4 for name, value in self.headers)
        if size > MAX_FRAMING_BYTES:
            # `_check_bounds` runs after each read, when the counter was reset already,
            # so it misses a head that arrived in a single read.
            detail = f"head above {MAX_FRAMING_BYTES} bytes"
            self._reject(FailureKind.OVERSIZED, detail)
        elif not is_http_status(status):
            self._reject(FailureKind.MALFORMED, f"status {status}")

    def _set_framing(self, status: int) -> None:
        names = {name for name, _ in self.headers}
        framed = b"content-length" in names or b"transfer-encoding" in names
        self.is_close_delimited = not framed and status not in BODYLESS_STATUSES
        if (
            self.is_close_delimited
            or not self.parser.should_keep_alive()
            or self.foreign_responses
        ):
            self.is_reusable = False

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body for the exchange."""
        self.framing_bytes = 0
        exchange = self.exchange
        if self.is_skipping_response or exchange is None:
            self.skipped_bytes += len(data)
            return
        exchange.parts.append(data)
        exchange.buffered_bytes += len(data)
        self.holding.note_unread(self.transport, exchange.buffered_bytes)
        exchange.wake()
        if (
            exchange.buffered_bytes > READ_BUFFER_HIGH_BYTES
            and not self.is_reading_paused
        ):
            self.is_reading_paused = True
            self.transport.pause_reading()

    def on_message_complete(self) -> None:
        """Complete the exchange unless the response was skipped."""
        if self.is_skipping_response:
            self.is_skipping_response = False
            return
        self._complete()

    def _complete(self) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            return
        self.completed_exchanges += 1
        exchange.is_complete = True
        exchange.wake()
        # Further bytes of the same read belong to no request. The parser processes them
        # before the connection returns to the pool, so that they prevent its reuse.
        asyncio.get_running_loop().call_soon(self._release)

    def _release(self) -> None:
        if self.is_open and self.exchange is None:
            # The body may never be taken, and the next response has to be read.
            self.resume()
            self.on_free(self)
        elif self.exchange is None:
            self.transport.close()

    def eof_received(self) -> bool:
        """End a close-delimited response at a clean end of the connection."""
        self.is_reusable = False
        exchange = self.exchange
        if exchange is not None and exchange.has_head and self.is_close_delimited:
            if ends_too_soon(self.transport, exchange.status):
                self._fail(FailureKind.CLOSED, "ended before the request was sent")
            else:
                self._complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the active exchange."""
        self.is_reusable = False
        self.holding.close()
        kind = FailureKind.CLOSED if error is None else FailureKind.RESET
        self._fail(kind, str(error or "connection closed"))

    def _fail(self, kind: FailureKind, detail: str) -> None:
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.fail(kind, True, detail)
