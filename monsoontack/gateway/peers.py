"""HTTP calls to the other entries of the deployment."""

import asyncio
from dataclasses import dataclass, field

import structlog

from monsoontack.gateway.outbound import ExchangeFailure, FailureKind, HttpExchange
from monsoontack.gateway.pool import ConnectionPool
from monsoontack.gateway.records import Headers
from monsoontack.gateway.responsebody import read_response_body

log = structlog.get_logger("gateway.peers")

CONNECT_TIMEOUT_S = 0.25
# A list of 850 servers, or the largest object of the platform's store (1 MiB) as
# JSON, takes less than half of this.
MAX_RESPONSE_BYTES = 4_194_304


@dataclass(frozen=True, slots=True)
class PeerEntry:
    """Another entry: its name, region, and the address where it serves peers.

    `revision` is the revision of the entry's object in the store.
    """

    name: str
    region: str
    address: str
    revision: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class PeerResponse:
    """Status, body and headers of a peer's complete response."""

    status: int
    body: bytes
    headers: Headers = ()


def no_response_request_id(headers: Headers) -> None:
    """Return None: peers answer one request at a time and state no request id."""


def no_stated_idle_timeout(headers: Headers) -> None:
    """Return None: peers state no idle timeout."""


def peer_pool() -> ConnectionPool:
    """Return a new pool of connections to peers."""
    return ConnectionPool(no_response_request_id, no_stated_idle_timeout)


async def call_peer(
    pool: ConnectionPool,
    address: str,
    target: str,
    timeout_s: float,
    body: bytes | None = None,
) -> PeerResponse | None:
    """Call a peer: POST if there is a `body`, else GET.

    Returns None if no complete response arrived within `timeout_s`.
    """
    now = asyncio.get_running_loop().time
    deadline = now() + timeout_s
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
        body = await read_response_body(exchange, deadline, MAX_RESPONSE_BYTES)
    finally:
        exchange.abort()
    if isinstance(body, ExchangeFailure):
        if body.kind is FailureKind.OVERSIZED:
            log.warning(
                "response of peer exceeds the size limit",
                address=address,
                detail=body.detail,
            )
        return None
    return PeerResponse(exchange.status, body, exchange.headers)
