"""Peer gRPC service between entries: server and client."""

import asyncio
from typing import Protocol

import grpc

from monsoontack.config.gossip_state import PeerDigest
from monsoontack.entry.peercodec import decode_digest, encode_digest
from monsoontack.proto import peer_pb2, peer_pb2_grpc

CALL_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 3.0
MAX_FETCH_BYTES = 1_000_000  # values of one reply; the rest is asked for again
MAX_CHANNELS = 24  # a grpcio connection end takes about 50 KiB

CHANNEL_OPTIONS = (
    ("grpc.use_local_subchannel_pool", 1),
    # A peer that returns is reached within a second, not after backoff.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
)
SERVER_OPTIONS = (
    ("grpc.so_reuseport", 0),
    # Closes connections of peers that have chosen other neighbours since.
    ("grpc.max_connection_idle_ms", 60_000),
    # Finds connections whose peer vanished without closing them.
    ("grpc.keepalive_time_ms", 20_000),
    ("grpc.keepalive_timeout_ms", 5_000),
)


class PeerUnreachableError(ConnectionError):
    """A peer did not answer in time or refused the call."""


class PeerTransport(Protocol):
    """Calls to other entries; all raise `PeerUnreachableError` on failure."""

    async def push(self, address: str, digest: PeerDigest) -> PeerDigest:
        """Tell a peer something new; returns the peer's digest."""
        ...

    async def pull(self, address: str, digest: PeerDigest) -> PeerDigest:
        """Ask a peer for its digest."""
        ...

    async def fetch(self, address: str, digests: tuple[str, ...]) -> dict[str, bytes]:
        """Return those of the chunks that the peer has, at most about 1 MB."""
        ...

    async def report(
        self, address: str, report: peer_pb2.EvidenceReport
    ) -> peer_pb2.EvidenceReply:
        """Send evidence and the own revision to the lease holder."""
        ...


class PeerHandler(Protocol):
    """What the server asks of the process."""

    def handle_digest(self, digest: PeerDigest) -> PeerDigest:
        """Take in a peer's digest and return the own one."""
        ...

    def chunk_values(self, digests: list[str]) -> dict[str, bytes]:
        """Return those chunk values that this process has."""
        ...

    def handle_report(self, report: peer_pb2.EvidenceReport) -> peer_pb2.EvidenceReply:
        """Take in a report of another entry."""
        ...


class GrpcPeers:
    """`PeerTransport` over gRPC; keeps the channels used last."""

    def __init__(self) -> None:
        self.channels: dict[str, grpc.aio.Channel] = {}

    def _stub(self, address: str) -> peer_pb2_grpc.PeerStub:
        channel = self.channels.pop(address, None)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        self.channels[address] = channel  # last used stands last
        while len(self.channels) > MAX_CHANNELS:
            self._close(next(iter(self.channels)))
        return peer_pb2_grpc.PeerStub(channel)

    def _close(self, address: str) -> None:
        channel = self.channels.pop(address)
        # Calls in progress end by themselves before their channel closes.
        asyncio.ensure_future(channel.close(FETCH_TIMEOUT_S))

    async def _call(self, address: str, method: str, message, timeout_s: float):
        try:
            call = getattr(self._stub(address), method)
            return await call(message, timeout=timeout_s)
        except (grpc.aio.AioRpcError, grpc.aio.UsageError, OSError) as error:
            raise PeerUnreachableError(f"{method} to {address} failed") from error

    async def push(self, address: str, digest: PeerDigest) -> PeerDigest:
        """Tell a peer something new; returns the peer's digest."""
        message = encode_digest(digest)
        return decode_digest(await self._call(address, "Push", message, CALL_TIMEOUT_S))

    async def pull(self, address: str, digest: PeerDigest) -> PeerDigest:
        """Ask a peer for its digest."""
        message = encode_digest(digest)
        return decode_digest(await self._call(address, "Pull", message, CALL_TIMEOUT_S))

    async def fetch(self, address: str, digests: tuple[str, ...]) -> dict[str, bytes]:
        """Return those of the chunks that the peer has."""
        message = peer_pb2.ChunkRequest(digests=digests)
        reply = await self._call(address, "FetchChunks", message, FETCH_TIMEOUT_S)
        return {chunk.digest: chunk.value for chunk in reply.chunks}

    async def report(
        self, address: str, report: peer_pb2.EvidenceReport
    ) -> peer_pb2.EvidenceReply:
        """Send a report to the lease holder."""
        return await self._call(address, "Report", report, CALL_TIMEOUT_S)

    async def close(self) -> None:
        """Close all channels."""
        channels = list(self.channels.values())
        self.channels.clear()
        await asyncio.gather(*(channel.close() for channel in channels))


class PeerServicer(peer_pb2_grpc.PeerServicer):
    """Serves peer.proto from a `PeerHandler`."""

    def __init__(self, handler: PeerHandler) -> None:
        self.handler = handler

    async def Push(self, request, context) -> peer_pb2.Digest:
        """Take in news of a peer."""
        return encode_digest(self.handler.handle_digest(decode_digest(request)))

    async def Pull(self, request, context) -> peer_pb2.Digest:
        """Answer with the own digest."""
        return encode_digest(self.handler.handle_digest(decode_digest(request)))

    async def FetchChunks(self, request, context) -> peer_pb2.ChunkReply:
        """Return chunk values, as many as fit into one reply."""
        reply = peer_pb2.ChunkReply()
        size = 0
        found = self.handler.chunk_values(list(request.digests))
        for digest, value in found.items():
            if size and size + len(value) > MAX_FETCH_BYTES:
                break
            reply.chunks.add(digest=digest, value=value)
            size += len(value)
        return reply

    async def Report(self, request, context) -> peer_pb2.EvidenceReply:
        """Take in evidence and the confirmed revision of an entry."""
        return self.handler.handle_report(request)


def make_peer_server(handler: PeerHandler, address: str) -> grpc.aio.Server:
    """Return a server, not yet started, on the peer address."""
    server = grpc.aio.server(options=SERVER_OPTIONS)
    peer_pb2_grpc.add_PeerServicer_to_server(PeerServicer(handler), server)
    if server.add_insecure_port(address) == 0:
        raise OSError(f"cannot listen on peer_address {address}")
    return server
