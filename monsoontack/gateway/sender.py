"""Sends attempts to backend servers over pooled connections."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from monsoontack.gateway.fleet import BackendFleet, Member
from monsoontack.gateway.outbound import ExchangeFailure, FailureKind, HttpExchange
from monsoontack.gateway.pool import CONNECT_TIMEOUT_S, ConnectionPool
from monsoontack.gateway.ports import WireFormat
from monsoontack.gateway.records import Attempt, CallerRequest


@dataclass(slots=True)
class Sender:
    """Sends requests; `on_sent` is called with the service of each one sent."""

    pool: ConnectionPool
    wire: WireFormat
    fleet: BackendFleet
    on_sent: Callable[[str], None] = lambda service: None

    async def send(
        self,
        member: Member,
        request: CallerRequest,
        attempt: Attempt,
        is_wanted: Callable[[], bool],
    ) -> HttpExchange | ExchangeFailure:
        """Send a request; a returned failure means that it was not sent.

        `is_wanted` is called once there is a connection, since the caller may have
        disconnected in the meantime.
        """
        timeout_s = min(CONNECT_TIMEOUT_S, attempt.left_s)
        connection = await self.pool.acquire(*member.key, timeout_s, request.request_id)
        if isinstance(connection, ExchangeFailure):
            self.fleet.note_unreachable(member, self.now())
            return connection
        if not is_wanted():
            self.pool.release(member.key, connection)
            return ExchangeFailure(FailureKind.UNWANTED, False, "no longer wanted")
        exchange = HttpExchange(request.request_id)
        head = self.wire.encode_request_head(request, attempt)
        is_head = request.raw.method == b"HEAD"
        connection.start(exchange, head + request.raw.body, is_head)
        self.on_sent(member.server.service)
        return exchange

    async def check_connection(
        self, member: Member, timeout_s: float
    ) -> ExchangeFailure | None:
        """Open a connection to a server and pool it; return the failure, if any."""
        connection = await self.pool.connect(*member.key, timeout_s)
        if isinstance(connection, ExchangeFailure):
            self.fleet.note_unreachable(member, self.now())
            return connection
        self.pool.release(member.key, connection)
        return None

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()
