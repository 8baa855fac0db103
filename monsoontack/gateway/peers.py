"""Other entries of the deployment, and calls to them."""

import asyncio
from dataclasses import dataclass, field

import structlog

from monsoontack.gateway.outbound import ExchangeFailure, FailureKind, HttpExchange
from monsoontack.gateway.pool import ConnectionPool
from monsoontack.gateway.records import Headers
from monsoontack.gateway.responsebody import read_response_body

log = structlog.get_logger("gateway.peers")

CONNECT_TIMEOUT_S = 0.25
# The entries of 850 servers, or the largest object of the platform's store (1 MiB)
# as JSON, take less than half of this.
MAX_ANSWER_BYTES = 4_194_304


@dataclass(frozen=True, slots=True)
class PeerEntry:
    """Another entry: its name, region, and address for its peers.

    `revision` is that of its object in the store.
    """

    name: str
    region: str
    address: str
    revision: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class PeerResponse:
    """Status, body and headers of a peer's whole answer."""

    status: int
    body: bytes
    headers: Headers = ()


def no_answer_id(headers: Headers) -> None:
    """Peers answer one request at a time and name none."""


def no_keep_alive(headers: Headers) -> None:
    """Peers state no idle timeout."""


def peer_pool() -> ConnectionPool:
    """Return a pool for connections to peers."""
    return ConnectionPool(no_answer_id, no_keep_alive)


async def call_peer(
    pool: ConnectionPool,
    address: str,
    target: str,
    timeout_s: float,
    body: bytes | None = None,
) -> PeerResponse | None:
    """GET `target` of a peer, or POST `body` to it; None without a whole answer."""
    now = asyncio.get_running_loop().time
    until = now() + timeout_s
    connection = await pool.acquire(address, "", min(CONNECT_TIMEOUT_S, timeout_s))
    if isinstance(connection, ExchangeFailure):
        return None
    exchange = HttpExchange(None)
    head = f"{'GET' if body is None else 'POST'} {target} HTTP/1.1\r\n"
    head += f"host: {address}\r\n"
    if body is not None:
        head += f"content-length: {len(body)}\r\n"
    connection.start(exchange, f"{head}\r\n".encode() + (body or b""))
    try:
        body = await read_response_body(exchange, until, MAX_ANSWER_BYTES)
    finally:
        exchange.abort()
    if isinstance(body, ExchangeFailure):
        if body.kind is FailureKind.OVERSIZED:
            log.warning("peer answers without end", address=address, detail=body.detail)
        return None
    return PeerResponse(exchange.status, body, exchange.headers)
