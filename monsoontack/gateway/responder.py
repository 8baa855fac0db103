"""Answers to callers: whole ones, and streams that may have to be cut."""

import asyncio
from http import HTTPStatus
from typing import Protocol

from monsoontack.gateway.records import Headers, RawRequest


class CallerConnection(Protocol):
    """What an answer needs of its caller's connection."""

    transport: asyncio.Transport | None
    is_http10: bool
    is_congested: bool

    def write(self, data: bytes) -> None:
        """Send bytes to the caller."""
        ...

    def is_closing_down(self) -> bool:
        """Whether answers should end their connection."""
        ...

    async def drained(self, gone: asyncio.Future) -> None:
        """Return when the caller has read enough, or left."""
        ...


class CallerDisconnectedError(Exception):
    """The caller closed its connection before the answer was complete."""


class Responder:
    """Writes the answer to one request.

    `disconnected` is done once the caller has left. An answer that began and cannot be
    finished has to be `abort`, so that it does not look complete.
    """

    def __init__(self, connection: CallerConnection, raw: RawRequest) -> None:
        self.connection = connection
        self.keep_alive = raw.keep_alive
        self.is_http10 = connection.is_http10
        self.without_body = raw.method == b"HEAD"
        self.head_sent = False
        self.finished = False
        self.disconnected: asyncio.Future = asyncio.get_running_loop().create_future()

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has left."""
        return self.disconnected.done()

    def _head(self, status: int, headers: Headers, framing: bytes) -> bytes:
        closing = not self.keep_alive or self.connection.is_closing_down()
        self.keep_alive = not closing
        lines = [b"HTTP/1.1 %d %s" % (status, reason_of(status))]
        lines += [name + b": " + value for name, value in headers]
        lines.append(framing)
        if closing:
            lines.append(b"connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def send(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Write a whole answer."""
        if self.is_disconnected or self.head_sent:
            return
        self.head_sent = self.finished = True
        head = self._head(status, headers, b"content-length: %d" % len(body))
        if self.without_body or status in (204, 304):
            body = b""
        self.connection.write(head + body)

    def begin(self, status: int, headers: Headers) -> None:
        """Write the head of an answer whose length is not known yet."""
        self.head_sent = True
        if self.is_http10:
            self.keep_alive = False
            self.connection.write(self._head(status, headers, b"connection: close"))
            return
        head = self._head(status, headers, b"transfer-encoding: chunked")
        self.connection.write(head)

    async def write(self, data: bytes) -> None:
        """Write a part of the body; waits while the caller reads too slowly."""
        if self.is_disconnected:
            raise CallerDisconnectedError
        if not data:
            return
        if not self.is_http10:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self.connection.write(data)
        if self.connection.is_congested:
            await self.connection.drained(self.disconnected)
            if self.is_disconnected:
                raise CallerDisconnectedError

    def finish(self) -> None:
        """End the body as complete."""
        if self.is_disconnected or self.finished:
            return
        self.finished = True
        if not self.is_http10:
            self.connection.write(b"0\r\n\r\n")

    def abort(self) -> None:
        """End the connection without completing the answer."""
        self.keep_alive = False
        if not self.is_disconnected:
            self.connection.transport.abort()


def reason_of(status: int) -> bytes:
    """Return the reason phrase of a status."""
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"
