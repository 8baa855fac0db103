"""Sends attempts to backend servers and keeps what is in flight."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from monsoontack.gateway.fleet import DirectFleet, Member
from monsoontack.gateway.outbound import Exchange, ExchangeFailure
from monsoontack.gateway.pool import CONNECT_TIMEOUT_S, ConnectionPool
from monsoontack.gateway.ports import WireFormat
from monsoontack.gateway.records import Attempt, CallerRequest


@dataclass(slots=True)
class Sender:
    """Sends requests over the pool's connections."""

    pool: ConnectionPool
    wire: WireFormat
    fleet: DirectFleet
    on_sent: Callable[[str], None] = lambda service: None

    async def send(
        self,
        member: Member,
        request: CallerRequest,
        attempt: Attempt,
        prefer_new: bool = False,
    ) -> Exchange | ExchangeFailure:
        """Send a request; a failure here means that it was not sent.

        `prefer_new` opens a connection even if one is idle.
        """
        timeout_s = min(CONNECT_TIMEOUT_S, attempt.left_s)
        open_new = self.pool.connect if prefer_new else self.pool.acquire
        connection = await open_new(*member.key, timeout_s)
        if isinstance(connection, ExchangeFailure):
            self.fleet.note_unreachable(member, self.now())
            return connection
        exchange = Exchange(request.request_id)
        head = self.wire.write_attempt(request, attempt)
        is_head = request.raw.method == b"HEAD"
        connection.start(exchange, head + request.raw.body, is_head)
        self.on_sent(member.server.service)
        return exchange

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()
