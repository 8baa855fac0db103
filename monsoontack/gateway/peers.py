"""Other entries of the deployment, and calls to them."""

import asyncio
from dataclasses import dataclass

from monsoontack.gateway.outbound import Exchange, ExchangeFailure
from monsoontack.gateway.pool import ConnectionPool
from monsoontack.gateway.records import Headers

CONNECT_TIMEOUT_S = 0.25
MAX_ANSWER_BYTES = 64_000_000


@dataclass(frozen=True, slots=True)
class PeerEntry:
    """Another entry: its name, region, and address for its peers."""

    name: str
    region: str
    address: str


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """Status and body of a peer's whole answer."""

    status: int
    body: bytes


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
) -> PeerAnswer | None:
    """GET `target` of a peer, or POST `body` to it; None without a whole answer."""
    now = asyncio.get_running_loop().time
    until = now() + timeout_s
    connection = await pool.acquire(address, "", min(CONNECT_TIMEOUT_S, timeout_s))
    if isinstance(connection, ExchangeFailure):
        return None
    exchange = Exchange(None)
    head = f"{'GET' if body is None else 'POST'} {target} HTTP/1.1\r\n"
    head += f"host: {address}\r\n"
    if body is not None:
        head += f"content-length: {len(body)}\r\n"
    connection.start(exchange, f"{head}\r\n".encode() + (body or b""))
    parts, size = [], 0
    try:
        while not exchange.over or exchange.parts:
            left_s = until - now()
            if left_s <= 0 or size > MAX_ANSWER_BYTES:
                return None
            await exchange.wait(left_s)
            parts.append(exchange.take())
            size += len(parts[-1])
    finally:
        exchange.abort()
    if exchange.failure is not None:
        return None
    return PeerAnswer(exchange.status, b"".join(parts))
