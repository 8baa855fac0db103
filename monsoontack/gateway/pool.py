"""Pool of idle connections to backend servers, reused newest first.

Connections are pooled per incarnation of a server, so that a server that restarted
at the same address never receives a request meant for the previous incarnation.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoontack.core.address import parse_address
from monsoontack.gateway.outbound import (
    ExchangeFailure,
    FailureKind,
    OutboundConnection,
)
from monsoontack.gateway.records import Headers
from monsoontack.inbound.account import MemoryAccount

# Longer than a round trip between regions with one retransmission. After it, a
# request with a latency objective of 0.3 s can still be served by another server.
CONNECT_TIMEOUT_S = 0.35
# Subtracted from the idle timeout that a server announces, so that no request is
# sent while the server closes the connection.
KEEP_ALIVE_MARGIN_S = 0.6
# For servers that announce no idle timeout; common servers close after 5 s.
DEFAULT_KEEP_ALIVE_S = 4.0
MAX_IDLE_CONNECTIONS_PER_SERVER = 32


@dataclass(slots=True, repr=False)
class ConnectionPool:
    """Idle connections of this process by address and incarnation of the server.

    `is_used` tells whether an incarnation may get further requests. `account` counts
    what the connections hold, if there is one. `opened` and
    `reused` count the connections that were opened and those that were taken from the
    pool.
    """

    response_request_id: Callable[[Headers], str | None]
    keep_alive_s: Callable[[Headers], float | None]
    is_used: Callable[[str], bool] = lambda incarnation: True
    idle: dict[tuple[str, str], list[OutboundConnection]] = field(default_factory=dict)
    account: MemoryAccount | None = None
    opened: int = 0
    reused: int = 0

    def take_idle(
        self, address: str, incarnation: str, request_id: str | None = None
    ) -> OutboundConnection | None:
        """Return an idle connection that is still usable, if there is one.

        A request that is retried at the same server does not get the connection of
        its earlier send: a duplicate response to that send would carry the same id.
        """
        connections = self.idle.get((address, incarnation), [])
        now = asyncio.get_running_loop().time()
        for connection in reversed(connections[:]):
            if not connection.is_open or now >= connection.expires_at:
                connections.remove(connection)
                connection.transport.close()
            elif not connection.has_recently_sent(request_id):
                connections.remove(connection)
                self.reused += 1
                return connection
        return None

    async def connect(
        self, address: str, incarnation: str, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> OutboundConnection | ExchangeFailure:
        """Open a new connection."""
        loop = asyncio.get_running_loop()
        key = (address, incarnation)

        def return_to_pool(connection: OutboundConnection) -> None:
            self.release(key, connection)

        def make_connection() -> OutboundConnection:
            return OutboundConnection(
                self.response_request_id, return_to_pool, self.account
            )

        try:
            host, port = parse_address(address)
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(
                    make_connection, host, port
                )
        except (OSError, TimeoutError, ValueError) as error:
            detail = str(error) or type(error).__name__
            is_refused = isinstance(error, ConnectionRefusedError)
            return ExchangeFailure(FailureKind.CONNECT, False, detail, is_refused)
        self.opened += 1
        return connection

    async def acquire(
        self,
        address: str,
        incarnation: str,
        timeout_s: float = CONNECT_TIMEOUT_S,
        request_id: str | None = None,
    ) -> OutboundConnection | ExchangeFailure:
        """Return an idle connection for a request, or open a new one."""
        connection = self.take_idle(address, incarnation, request_id)
        if connection is not None:
            return connection
        return await self.connect(address, incarnation, timeout_s)

    def release(self, key: tuple[str, str], connection: OutboundConnection) -> None:
        """Return a connection to the pool, or close it if the pool needs no more."""
        if not self.is_used(key[1]):
            connection.transport.close()
            return
        connections = self.idle.setdefault(key, [])
        if len(connections) >= MAX_IDLE_CONNECTIONS_PER_SERVER:
            connection.transport.close()
            return
        stated_s = self.keep_alive_s(connection.headers)
        idle_s = (
            DEFAULT_KEEP_ALIVE_S if stated_s is None else stated_s - KEEP_ALIVE_MARGIN_S
        )
        connection.expires_at = asyncio.get_running_loop().time() + idle_s
        if idle_s <= 0:
            connection.transport.close()
            return
        connections.append(connection)

    def close_server(self, address: str, incarnation: str) -> None:
        """Close the idle connections to one incarnation of a server."""
        for connection in self.idle.pop((address, incarnation), ()):
            connection.transport.close()

    def close(self) -> None:
        """Close all idle connections."""
        for key in list(self.idle):
            self.close_server(*key)
