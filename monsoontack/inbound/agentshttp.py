"""Limits on heads for the HTTP server of the entry beside agents (uvicorn).

uvicorn bounds neither the size of a head nor the time in which it arrives, and runs a
request that offers an upgrade (h2c) without its body.
"""

import asyncio

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from monsoontack.inbound.requestreader import find_body_framing
from monsoontack.inbound.responder import refusal_response

# Common servers accept heads of 8 to 64 KiB; the agents' callers send keys and ids.
MAX_HEAD_BYTES = 65_536
# Time for a head, and for the first one of a connection; a head takes some round trips
# of up to 30 ms, with lost packets some seconds.
HEAD_TIMEOUT_S = 10.0


class LimitedHttpProtocol(HttpToolsProtocol):
    """uvicorn's connection with limits on heads."""

    head_bytes = 0
    is_reading_head = True
    is_refused = False
    head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Limit the time until the first head is complete."""
        super().connection_made(transport)
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer."""
        self._stop_timer()
        super().connection_lost(exc)

    def _start_timer(self) -> None:
        if self.head_timer is None:
            self.head_timer = self.loop.call_later(HEAD_TIMEOUT_S, self._refuse, 408)

    def _stop_timer(self) -> None:
        if self.head_timer is not None:
            self.head_timer.cancel()
            self.head_timer = None

    def data_received(self, data: bytes) -> None:
        """Count the bytes of heads; what follows a refusal is ignored."""
        if self.is_refused:
            return
        if self.is_reading_head:
            self._start_timer()
            self.head_bytes += len(data)
        super().data_received(data)
        if self.is_reading_head and self.head_bytes > MAX_HEAD_BYTES:
            self._refuse(431)

    def on_headers_complete(self) -> None:
        """End the limits on the head, and refuse a body behind an offered upgrade."""
        self._stop_timer()
        self.is_reading_head, self.head_bytes = False, 0
        if self.parser.should_upgrade() and find_body_framing(self.headers):
            self._refuse(400)
        else:
            super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body."""
        if not self.is_refused:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Expect the next head."""
        if not self.is_refused:
            self.is_reading_head = True
            super().on_message_complete()

    def _refuse(self, status: int) -> None:
        """Refuse what is received; an answer that is under way is completed first."""
        self._stop_timer()
        if self.is_refused or self.transport.is_closing():
            return
        self.is_refused = True
        if self.cycle is not None and not self.cycle.response_complete:
            self.cycle.keep_alive = False
            return
        self.transport.write(refusal_response(status))
        self.transport.close()
