"""Reads the requests of one connection from bytes, without I/O.

To prevent request smuggling, the parser accepts no ambiguous request: `Content-Length`
together with chunked encoding, repeated lengths, folded headers and invalid characters
are refused with 400. Parts of a body are joined as they arrive, since an object for
each part costs up to 40 times the bytes received.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from monsoontack.gateway.records import CallerLimits, RawRequest
from monsoontack.inbound.costs import HEADER_BYTES, REQUEST_BYTES
from monsoontack.inbound.limits import InboundLimits

# Header fields that make a request ambiguous if they occur more than once.
SINGLETON_HEADERS = frozenset((b"host", b"content-length", b"transfer-encoding"))
# Bytes received without any body data: trailers and chunk extensions of a request.
MAX_FRAMING_BYTES = 65_536
LINE_BREAKS = b"\r\n"
CONTINUE = (b"expect", b"100-continue")


@dataclass(frozen=True, slots=True)
class InputRefusal:
    """Why a request is refused: status of the response, reason, and text for the log.

    `reason` is one of a fixed set of words, used to count refusals.
    """

    status: int
    reason: str
    detail: str


class RequestReader:
    """Splits the bytes of one connection into requests.

    `complete` holds the requests that were read and not yet taken, with the cost of
    each in bytes. `refusal` is set once the connection cannot go on.
    """

    def __init__(
        self,
        published: Callable[[], CallerLimits],
        limits: InboundLimits,
        now: Callable[[], float],
    ) -> None:
        self.published = published
        self.limits = limits
        self.now = now
        self.parser = httptools.HttpRequestParser(self)
        self.complete: deque[tuple[RawRequest, int]] = deque()
        self.refusal: InputRefusal | None = None
        self.is_reading_head = True
        self.has_begun = False
        self.awaits_continue = False
        self.method = b""
        self.is_http10 = False
        self.keep_alive = True
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: bytes | bytearray = b""
        self.header_cost = 0
        self.declared_bytes = 0
        self.head_bytes = 0
        self.framing_bytes = 0
        self.empty_bytes = 0
        self.derived_from: CallerLimits | None = None
        self.max_lines = self.max_line_bytes = self.max_body_bytes = 0
        self.ignores_head = False
        self.body_framing: bytes | None = None

    @property
    def held_bytes(self) -> int:
        """Return the cost of the request that is incomplete, in bytes."""
        if self.is_reading_head:
            return self.head_bytes + len(self.headers) * HEADER_BYTES
        # A growing bytearray has up to an eighth to spare.
        return self.header_cost + len(self.body) + len(self.body) // 8

    @property
    def received_body_bytes(self) -> int:
        """Return the number of bytes received of the incomplete body."""
        return len(self.body)

    @property
    def missing_bytes(self) -> int:
        """Return the bytes of the body that were declared and have not arrived."""
        return max(self.declared_bytes - len(self.body), 0)

    @property
    def is_reading_request(self) -> bool:
        """Whether a request has begun and is incomplete."""
        return self.has_begun or self.empty_bytes > 0

    def feed(self, data: bytes) -> None:
        """Read bytes; `complete` and `refusal` tell what was found in them."""
        if self.refusal is not None:
            return
        if not self.has_begun:
            data = self._skip_empty_lines(data)
        if self.is_reading_head:
            self.head_bytes += len(data)
        else:
            self.framing_bytes += len(data)
        while data and self.refusal is None:
            data = self._feed_parser(data)
        if self.refusal is None:
            self._check_sizes()

    def _skip_empty_lines(self, data: bytes) -> bytes:
        """Count the empty lines before a request, and return what follows them.

        The parser would ignore them without a word.
        """
        if data[:1] not in (b"\r", b"\n"):
            return data
        rest = data.lstrip(LINE_BREAKS)
        self.empty_bytes += len(data) - len(rest)
        published = self.published()
        allowed = self.limits.max_empty_lines(published) * len(LINE_BREAKS)
        if self.empty_bytes > allowed:
            self.refuse(431, "empty_lines", "too many empty lines before a request")
        return rest

    def _feed_parser(self, data: bytes) -> bytes:
        """Feed the parser; return the bytes that a new parser has to read."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            return self._read_without_upgrade(data[upgrade.args[0] :])
        except httptools.HttpParserError as error:
            self.refuse(400, "malformed", str(error))
        return b""

    def _read_without_upgrade(self, data: bytes) -> bytes:
        """Ignore the offer of another protocol, as RFC 9110 (7.8) permits.

        The parser takes all that follows such a head, also the request's body, for the
        other protocol. A new parser reads it, from a head with the same framing.
        """
        self.parser = httptools.HttpRequestParser(self)
        framing, self.body_framing = self.body_framing, None
        if framing is not None:
            self.ignores_head = True
            self.parser.feed_data(b"POST / HTTP/1.1\r\n" + framing + b"\r\n\r\n")
            self.ignores_head = False
        return data

    def _check_sizes(self) -> None:
        if self.is_reading_head and self.head_bytes > self.published().header_bytes:
            self.refuse(431, "head_bytes", "request head too large")
        elif self.is_reading_head and len(self.headers) > self.max_lines:
            self.refuse(431, "header_lines", "too many header lines")
        elif self.framing_bytes > MAX_FRAMING_BYTES:
            detail = "trailers or chunk extensions too large"
            self.refuse(431, "framing_bytes", detail)

    def refuse(self, status: int, reason: str, detail: str) -> None:
        """Refuse the request that is being read and release what is held of it."""
        if self.refusal is None:
            self.refusal = InputRefusal(status, reason, detail)
            self._reset()

    def _reset(self) -> None:
        self.target, self.headers = b"", []
        self.header_cost = self.head_bytes = self.framing_bytes = self.empty_bytes = 0
        self.body = b""
        self.is_reading_head = True
        self.has_begun = self.awaits_continue = False
        self.body_framing = None
        self.declared_bytes = 0

    def on_message_begin(self) -> None:
        """Start a new request."""
        if self.ignores_head:
            return
        self.has_begun, self.empty_bytes = True, 0
        published = self.published()
        if published is self.derived_from:
            return
        self.derived_from = published
        self.max_lines = self.limits.max_header_lines(published)
        self.max_line_bytes = self.limits.max_line_bytes(published)
        self.max_body_bytes = published.body_bytes

    def on_url(self, url: bytes) -> None:
        """Append to the request target, which may arrive in parts."""
        if not self.ignores_head:
            self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers, which follow the checked head, are dropped."""
        if not self.is_reading_head or self.refusal is not None:
            return
        self.headers.append((name.lower(), value))
        if len(value) + len(name) > self.max_line_bytes:
            self.refuse(431, "line_bytes", "line of the request head too long")

    def on_headers_complete(self) -> None:
        """Validate the head."""
        if self.ignores_head or self.refusal is not None:
            return
        self.is_reading_head = False
        self.head_bytes = self.framing_bytes = 0
        self.method = self.parser.get_method()
        self.keep_alive = self.parser.should_keep_alive()
        version = self.parser.get_http_version()
        self.is_http10 = version == "1.0"
        published = self.published()
        size = len(self.target) + sum(len(n) + len(v) + 4 for n, v in self.headers)
        if size > published.header_bytes:
            self.refuse(431, "head_bytes", "request head too large")
            return
        if len(self.headers) > self.max_lines:
            self.refuse(431, "header_lines", "too many header lines")
            return
        if len(self.target) > self.max_line_bytes:
            self.refuse(431, "line_bytes", "request target too long")
            return
        detail = find_head_error(self.headers, version)
        if detail:
            self.refuse(400, "malformed", detail)
            return
        declared = next((v for n, v in self.headers if n == b"content-length"), b"0")
        self.declared_bytes = int(declared)
        if self.declared_bytes > published.body_bytes:
            self.refuse(413, "body_bytes", "request body too large")
            return
        self.header_cost = size + len(self.headers) * HEADER_BYTES
        self.awaits_continue = CONTINUE in self.headers
        if self.parser.should_upgrade():
            self.body_framing = find_body_framing(self.headers)

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.framing_bytes = 0
        if self.refusal is not None:
            return
        if not self.body:
            self.body = data
        elif isinstance(self.body, bytes):
            self.body = bytearray(self.body + data)
        else:
            self.body += data
        if len(self.body) > self.max_body_bytes:
            self.refuse(413, "body_bytes", "request body too large")

    def on_message_complete(self) -> None:
        """Add the complete request, unless its body is still to be read."""
        if self.refusal is not None or self.body_framing is not None:
            return
        request = RawRequest(
            method=self.method,
            target=self.target,
            headers=tuple(self.headers),
            body=bytes(self.body),
            keep_alive=self.keep_alive,
            received_at=self.now(),
        )
        cost = REQUEST_BYTES + self.header_cost + len(request.body)
        self._reset()
        self.complete.append((request, cost))


def find_body_framing(headers: list[tuple[bytes, bytes]]) -> bytes | None:
    """Return the header line that frames the body; None if there is no body."""
    for name, value in headers:
        if name == b"transfer-encoding":
            return b"transfer-encoding: chunked"
        if name == b"content-length" and int(value) > 0:
            return b"content-length: %d" % int(value)
    return None


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
