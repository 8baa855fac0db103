"""HTTP calls to the other entries of the deployment.

A request names the entry that it is for: once an entry has ended, its address may be
given to another one, also of another deployment.
"""

import asyncio
from dataclasses import dataclass, field
from urllib.parse import quote

import structlog

from monsoontack.gateway.outbound import ExchangeFailure, FailureKind, HttpExchange
from monsoontack.gateway.pool import ConnectionPool
from monsoontack.gateway.records import Headers, RawRequest
from monsoontack.gateway.responsebody import read_response_body

log = structlog.get_logger("gateway.peers")

CONNECT_TIMEOUT_S = 0.25
# A list of 850 servers, or the largest object of the platform's store (1 MiB) as
# JSON, takes less than half of this.
MAX_RESPONSE_BYTES = 4_194_304
EXPECT_ENTRY = b"expect-entry"
MISDIRECTED_STATUS = 421


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


def encode_name(name: str) -> bytes:
    """Return the name of an entry as the value of a header.

    Another program may have written any name into the list of entries.
    """
    return quote(name, safe="", errors="backslashreplace").encode()


def is_misdirected(raw: RawRequest, name: str) -> bool:
    """Whether a request is for another entry than the one with this name.

    Entries of former versions name none.
    """
    expected = (value for header, value in raw.headers if header == EXPECT_ENTRY)
    own = encode_name(name)
    return next(expected, own) != own


async def call_peer(
    pool: ConnectionPool,
    peer: PeerEntry,
    target: str,
    timeout_s: float,
    body: bytes | None = None,
) -> PeerResponse | None:
    """Call a peer: POST if there is a `body`, else GET.

    Returns None if no complete response of the peer arrived within `timeout_s`.
    """
    address, name = peer.address, encode_name(peer.name)
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
    named = b"%s: %s\r\n\r\n" % (EXPECT_ENTRY, name)
    connection.start(exchange, head.encode() + named + (body or b""))
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
    if exchange.status == MISDIRECTED_STATUS:
        log.info("another entry has the address of peer", peer=name.decode())
        return None
    return PeerResponse(exchange.status, body, exchange.headers)
