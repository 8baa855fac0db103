"""Idle connections to backend servers, reused newest first.

Connections are kept per incarnation of a server, so that a server which started
anew at the same address never gets a request meant for its predecessor.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoontack.gateway.outbound import Connection, ExchangeFailure, FailureKind
from monsoontack.gateway.records import Headers

# Longer than a round trip between regions with a resent packet; a caller with
# an objective of 0.3 s can still be served elsewhere after it.
CONNECT_TIMEOUT_S = 0.35
# Below the idle timeout that a server states, so that a request does not cross
# its close.
IDLE_MARGIN_S = 0.6
# Of servers that state no timeout; common servers close after 5 s.
DEFAULT_IDLE_S = 4.0
MAX_IDLE_PER_SERVER = 32


@dataclass(slots=True)
class ConnectionPool:
    """Connections of this process by address and incarnation of the server.

    `opened` and `reused` count exchanges by how they got their connection.
    """

    response_request_id: Callable[[Headers], str | None]
    keep_alive_s: Callable[[Headers], float | None]
    idle: dict[tuple[str, str], list[Connection]] = field(default_factory=dict)
    opened: int = 0
    reused: int = 0

    def take_idle(
        self, address: str, incarnation: str, request_id: str | None = None
    ) -> Connection | None:
        """Return an idle connection that is still good, if there is one.

        A request that is sent to a server once more does not get the connection of
        its earlier send: a repeated answer to that one would bear its id.
        """
        stack = self.idle.get((address, incarnation), [])
        now = asyncio.get_running_loop().time()
        for connection in reversed(stack[:]):
            if not connection.is_open or now >= connection.expires_at:
                stack.remove(connection)
                connection.transport.close()
            elif not connection.has_carried(request_id):
                stack.remove(connection)
                self.reused += 1
                return connection
        return None

    async def connect(
        self, address: str, incarnation: str, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> Connection | ExchangeFailure:
        """Open a new connection."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        key = (address, incarnation)

        def offer(connection: Connection) -> None:
            self.release(key, connection)

        def make() -> Connection:
            return Connection(self.response_request_id, offer)

        try:
            async with asyncio.timeout(timeout_s):
                _, connection = await loop.create_connection(make, host, int(port))
        except (OSError, TimeoutError, ValueError) as error:
            detail = str(error) or type(error).__name__
            return ExchangeFailure(FailureKind.CONNECT, False, detail)
        self.opened += 1
        return connection

    async def acquire(
        self,
        address: str,
        incarnation: str,
        timeout_s: float = CONNECT_TIMEOUT_S,
        request_id: str | None = None,
    ) -> Connection | ExchangeFailure:
        """Return an idle connection for a request, or open one."""
        connection = self.take_idle(address, incarnation, request_id)
        if connection is not None:
            return connection
        return await self.connect(address, incarnation, timeout_s)

    def release(self, key: tuple[str, str], connection: Connection) -> None:
        """Keep a free connection for the next request."""
        stack = self.idle.setdefault(key, [])
        if len(stack) >= MAX_IDLE_PER_SERVER:
            connection.transport.close()
            return
        stated = self.keep_alive_s(connection.headers)
        idle_s = DEFAULT_IDLE_S if stated is None else stated - IDLE_MARGIN_S
        connection.expires_at = asyncio.get_running_loop().time() + idle_s
        if idle_s <= 0:
            connection.transport.close()
            return
        stack.append(connection)

    def close_server(self, address: str, incarnation: str) -> None:
        """Close the idle connections of a server that is gone."""
        for connection in self.idle.pop((address, incarnation), ()):
            connection.transport.close()

    def close(self) -> None:
        """Close all idle connections."""
        for key in list(self.idle):
            self.close_server(*key)
