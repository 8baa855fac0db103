"""Connections of an agent to its server, on which a cut answer has no end.

aiohttp takes any end of a connection for the end of an answer without a length, also a
reset. Here such an answer is complete only if the server has closed the connection, and
if it had the whole request by then (`monsoontack.core.unsent`).
"""

from functools import partial

import aiohttp
from aiohttp.client_proto import ResponseHandler

from monsoontack.core.unsent import ends_too_soon


class CheckedResponseHandler(ResponseHandler):
    """Fails the body of an answer whose connection ends before the answer does."""

    def __init__(self, loop) -> None:
        super().__init__(loop=loop)
        self.status = 0
        self.body: aiohttp.StreamReader | None = None
        self.has_ended = self.is_cut = False

    def feed_data(self, data, size: int = 0) -> None:
        """Note the answer that has begun."""
        message, self.body = data
        self.status, self.is_cut = message.code, False
        super().feed_data(data, size)

    def eof_received(self) -> None:
        """Note whether the server had the whole request when it ended the answer."""
        self.has_ended = True
        self.is_cut = ends_too_soon(self.transport, self.status)
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the body unless it is complete."""
        body = self.body
        if self.has_ended:
            # A reset that follows the end concerns the rest of the request only.
            exc = None
        if (exc is not None or self.is_cut) and body is not None and not body.is_eof():
            detail = "reset" if exc is not None else "ended before the request was sent"
            body.set_exception(aiohttp.ClientPayloadError(f"connection {detail}"))
        super().connection_lost(exc)


class CheckedConnector(aiohttp.TCPConnector):
    """Connector whose connections have a `CheckedResponseHandler`."""

    def __init__(self, **options) -> None:
        super().__init__(**options)
        # aiohttp has no public way to choose the protocol of its connections.
        self._factory = partial(CheckedResponseHandler, loop=self._loop)
