"""Writes HTTP responses to callers: complete ones and streamed ones."""

import asyncio
import socket
import struct
from http import HTTPStatus
from typing import Protocol

from monsoontack.gateway.outbound import BODYLESS_STATUSES
from monsoontack.gateway.records import Headers, RawRequest

# `Retry-After` of a refusal for lack of memory or connections: the stalled connections
# that hold most are closed within about this time.
RETRY_AFTER_S = 1


class CallerConnection(Protocol):
    """Interface of a caller's connection that a response is written to."""

    transport: asyncio.Transport | None
    is_http10: bool
    is_congested: bool

    def write(self, data: bytes) -> None:
        """Send bytes to the caller."""
        ...

    def should_close(self) -> bool:
        """Whether the connection should be closed after the response."""
        ...

    async def drain(self, disconnected: asyncio.Future) -> None:
        """Wait until the write buffer has drained or the caller has disconnected."""
        ...


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the response was complete."""


class Responder:
    """Writes the response to one request.

    The future `disconnected` is done once the caller has disconnected. A response
    whose head was sent and that cannot be completed must end with `abort`, so that
    the caller does not take it for complete.
    """

    def __init__(self, connection: CallerConnection, raw: RawRequest) -> None:
        self.connection = connection
        self.keep_alive = raw.keep_alive
        self.is_http10 = connection.is_http10
        self.omits_body = raw.method == b"HEAD"
        self.head_sent = False
        self.finished = False
        self.disconnected: asyncio.Future = asyncio.get_running_loop().create_future()

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has disconnected."""
        return self.disconnected.done()

    def _head(self, status: int, headers: Headers, framing: bytes) -> bytes:
        should_close = not self.keep_alive or self.connection.should_close()
        self.keep_alive = not should_close
        lines = [b"HTTP/1.1 %d %s" % (status, reason_phrase(status))]
        lines += [name + b": " + value for name, value in headers]
        if status != HTTPStatus.NO_CONTENT:
            lines.append(framing)
        if should_close:
            lines.append(b"connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def _note_status(self, status: int) -> None:
        self.omits_body |= status in BODYLESS_STATUSES

    def send(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Write a complete response."""
        if self.is_disconnected or self.head_sent:
            return
        self.head_sent = self.finished = True
        head = self._head(status, headers, b"content-length: %d" % len(body))
        self._note_status(status)
        if self.omits_body:
            body = b""
        self.connection.write(head + body)

    def begin(self, status: int, headers: Headers) -> None:
        """Write the head of a response whose body length is unknown."""
        self.head_sent = True
        self._note_status(status)
        if self.is_http10:
            self.keep_alive = False
            self._set_reset_on_close(True)
            self.connection.write(self._head(status, headers, b"connection: close"))
            return
        head = self._head(status, headers, b"transfer-encoding: chunked")
        self.connection.write(head)

    async def write(self, data: bytes) -> None:
        """Write a part of the body; wait while the write buffer is full."""
        if self.is_disconnected:
            raise CallerDisconnectedError
        if not data or self.omits_body:
            return
        if not self.is_http10:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self.connection.write(data)
        if self.connection.is_congested:
            await self.connection.drain(self.disconnected)
            if self.is_disconnected:
                raise CallerDisconnectedError

    def finish(self) -> None:
        """Mark the body as complete."""
        if self.is_disconnected or self.finished:
            return
        self.finished = True
        if self.is_http10:
            self._set_reset_on_close(False)
        elif not self.omits_body:
            self.connection.write(b"0\r\n\r\n")

    def _set_reset_on_close(self, is_reset: bool) -> None:
        if not self.is_disconnected:
            set_reset_on_close(self.connection.transport, is_reset)

    def abort(self) -> None:
        """Abort the connection without completing the response."""
        self.keep_alive = False
        if not self.is_disconnected:
            self.connection.transport.abort()


def set_reset_on_close(transport: asyncio.Transport, is_reset: bool) -> None:
    """Set whether the end of the connection, however it comes, is a reset.

    The end of the connection is also that of a response without length or chunks.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        linger = struct.pack("ii", is_reset, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def refusal_response(status: int) -> bytes:
    """Return the response to input that is refused; the connection closes after it."""
    lines = [b"HTTP/1.1 %d %s" % (status, reason_phrase(status))]
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        lines.append(b"retry-after: %d" % RETRY_AFTER_S)
    lines += [b"content-length: 0", b"connection: close"]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def reason_phrase(status: int) -> bytes:
    """Return the reason phrase of a status code."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"
