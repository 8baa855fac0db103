"""Listens for callers and limits their connections."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from monsoontack.gateway.records import CallerLimits, RawRequest
from monsoontack.inbound.connection import LINGERING_CLOSE_S, InboundConnection
from monsoontack.inbound.limits import InboundLimits
from monsoontack.inbound.memoryguard import MemoryGuard
from monsoontack.inbound.requestreader import InputRefusal
from monsoontack.inbound.responder import (
    Responder,
    refusal_response,
    set_reset_on_close,
)
from monsoontack.inbound.turns import InputTurns

# Refused connections whose callers get time to read the refusal; further ones are
# closed at once, since each needs a descriptor.
MAX_LINGERING = 32
# Holds one second of new connections during a burst at a large entry.
LISTEN_BACKLOG = 512
# Bytes read at a time. A head of the default limit fits in one read, and parsing it
# takes 3 ms in the worst case.
READ_BYTES = 16_384
# At the limit, idle connections make room for new ones. The request of a new
# connection follows within a round trip, which takes 3 ms to callers; a connection that
# was used may be used again at any moment.
MIN_UNUSED_S = 0.02
MIN_IDLE_S = 1.0
# Idle connections closed at a time, so that not each new connection needs a search.
ROOM_COUNT = 8
TOO_MANY = InputRefusal(503, "connections", "too many connections")
TOO_MANY_OF_ADDRESS = InputRefusal(
    503, "address_connections", "too many connections of one address"
)


def _no_refusal_listener(refusal: InputRefusal) -> None:
    """Ignore a refusal."""


@dataclass(slots=True, repr=False)
class InboundServer:
    """State shared by the connections of one listening address.

    `handler` serves one request with a `Responder`. `limits` returns the published
    limits in force, `inbound` has the others. `memory` is shared by all servers of the
    process. While `closing` returns true, connections are closed after their response.
    """

    handler: Callable[[RawRequest, Responder], Awaitable[None]]
    limits: Callable[[], CallerLimits]
    memory: MemoryGuard
    closing: Callable[[], bool] = lambda: False
    inbound: InboundLimits = InboundLimits()
    on_refusal: Callable[[InputRefusal], None] = _no_refusal_listener
    connections: set[InboundConnection] = field(default_factory=set)
    by_address: Counter[str] = field(default_factory=Counter)
    tasks: set[asyncio.Task] = field(default_factory=set)
    turns: InputTurns | None = None
    lingering: int = 0
    buffer: memoryview = field(
        default_factory=lambda: memoryview(bytearray(READ_BYTES))
    )

    def make_connection(self) -> InboundConnection:
        """Return the protocol object of a new connection."""
        if self.turns is None:
            self.turns = InputTurns(asyncio.get_running_loop().call_soon)
        return InboundConnection(self)

    def admit(self, connection: InboundConnection) -> InputRefusal | None:
        """Add a new connection; return the refusal if there are too many."""
        limits, address = self.inbound, connection.address
        if 0 < limits.connections_per_address <= self.by_address[address]:
            return TOO_MANY_OF_ADDRESS
        if 0 < limits.connections <= len(self.connections) and not self._make_room():
            return TOO_MANY
        self.connections.add(connection)
        self.by_address[address] += 1
        return None

    def refuse_connection(
        self, connection: InboundConnection, refusal: InputRefusal
    ) -> None:
        """Refuse a connection that is not admitted; few such callers get an answer."""
        self.on_refusal(refusal)
        if self.lingering >= MAX_LINGERING:
            connection.transport.abort()
            return
        self.lingering += 1
        connection.write(refusal_response(refusal.status))

        def close() -> None:
            self.lingering -= 1
            connection.transport.close()

        asyncio.get_running_loop().call_later(LINGERING_CLOSE_S, close)

    def forget(self, connection: InboundConnection) -> None:
        """Remove a connection that has ended, or that makes room for others."""
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        self.by_address[connection.address] -= 1
        if not self.by_address[connection.address]:
            del self.by_address[connection.address]

    def _make_room(self) -> bool:
        """Close connections that have been idle for longest; return whether any was."""
        idle = []
        for connection in self.connections:
            idle_s = connection.idle_s()
            if idle_s >= (MIN_IDLE_S if connection.was_used else MIN_UNUSED_S):
                idle.append((idle_s, id(connection), connection))
        idle.sort(reverse=True)
        for _, _, connection in idle[:ROOM_COUNT]:
            self.forget(connection)
            connection.transport.close()
        return bool(idle)

    @property
    def has_active_requests(self) -> bool:
        """Whether a request is being received or served on any connection."""
        return any(not c.is_idle for c in self.connections)

    def close_idle(self, min_idle_s: float = 0.0) -> None:
        """Close the connections that have had no active request for some time."""
        for connection in list(self.connections):
            if connection.is_idle and connection.idle_s() >= min_idle_s:
                connection.transport.close()

    def unsent_connections(self) -> int:
        """Return the number of connections whose caller has not read everything."""
        transports = (connection.transport for connection in self.connections)
        return sum(item.get_write_buffer_size() > 0 for item in transports)

    def abort_all(self) -> None:
        """Abort all connections, with a reset where bytes are dropped."""
        for connection in list(self.connections):
            transport = connection.transport
            if transport.get_write_buffer_size() > 0:
                set_reset_on_close(transport, True)
            transport.abort()


async def listen_on(server: InboundServer, address: str) -> asyncio.Server:
    """Listen at `ip:port` and return the listener."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        server.make_connection,
        host,
        int(port),
        backlog=LISTEN_BACKLOG,
        reuse_address=True,
    )
