"""Client and server of the gRPC peer service between entries."""

import asyncio
from typing import Protocol

import grpc

from monsoontack.config.gossip_state import PeerDigest
from monsoontack.entry.peercodec import decode_digest, encode_digest
from monsoontack.proto import peer_pb2, peer_pb2_grpc

CALL_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 3.0
MAX_FETCH_REPLY_BYTES = 1_000_000  # of chunk values; the caller requests the rest again
MAX_CHANNELS = 24  # each end of a grpcio connection uses about 50 KiB

CHANNEL_OPTIONS = (
    ("grpc.use_local_subchannel_pool", 1),
    # Limits the backoff, so that a restarted peer is reached within a second.
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1_000),
)
SERVER_OPTIONS = (
    ("grpc.so_reuseport", 0),
    # Closes connections of peers that have since selected other neighbours.
    ("grpc.max_connection_idle_ms", 60_000),
    # Detects connections whose peer is gone without closing them.
    ("grpc.keepalive_time_ms", 20_000),
    ("grpc.keepalive_timeout_ms", 5_000),
)


class PeerUnreachableError(ConnectionError):
    """A call to a peer timed out or failed."""


class PeerTransport(Protocol):
    """Calls to other entries; each raises `PeerUnreachableError` on failure."""

    async def push(self, address: str, digest: PeerDigest) -> PeerDigest:
        """Send a digest with new state to a peer; return the peer's digest."""
        ...

    async def pull(self, address: str, digest: PeerDigest) -> PeerDigest:
        """Request the digest of a peer, and send the digest of this process."""
        ...

    async def fetch(self, address: str, digests: tuple[str, ...]) -> dict[str, bytes]:
        """Return the chunks that the peer has, by digest; at most about 1 MB."""
        ...

    async def report(
        self, address: str, report: peer_pb2.EvidenceReport
    ) -> peer_pb2.EvidenceReply:
        """Send evidence and the revision of this process to the lease holder."""
        ...


class PeerHandler(Protocol):
    """Implements the calls of the peer service."""

    def handle_digest(self, digest: PeerDigest) -> PeerDigest:
        """Merge a peer's digest and return the digest of this process."""
        ...

    def chunk_values(self, digests: list[str]) -> dict[str, bytes]:
        """Return the chunk values that this process has, by digest."""
        ...

    def handle_report(self, report: peer_pb2.EvidenceReport) -> peer_pb2.EvidenceReply:
        """Handle a report of another entry."""
        ...


class GrpcPeers:
    """`PeerTransport` over gRPC; keeps the most recently used channels open."""

    def __init__(self) -> None:
        self.channels: dict[str, grpc.aio.Channel] = {}

    def _stub(self, address: str) -> peer_pb2_grpc.PeerStub:
        channel = self.channels.pop(address, None)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        self.channels[address] = channel  # most recently used last
        while len(self.channels) > MAX_CHANNELS:
            self._close(next(iter(self.channels)))
        return peer_pb2_grpc.PeerStub(channel)

    def _close(self, address: str) -> None:
        channel = self.channels.pop(address)
        # The grace period lets calls in progress finish.
        asyncio.ensure_future(channel.close(FETCH_TIMEOUT_S))

    async def _call(self, address: str, method: str, message, timeout_s: float):
        try:
            call = getattr(self._stub(address), method)
            return await call(message, timeout=timeout_s)
        except (grpc.aio.AioRpcError, grpc.aio.UsageError, OSError) as error:
            raise PeerUnreachableError(f"{method} to {address} failed") from error

    async def push(self, address: str, digest: PeerDigest) -> PeerDigest:
        """Send a digest with new state to a peer; return the peer's digest."""
        message = encode_digest(digest)
        return decode_digest(await self._call(address, "Push", message, CALL_TIMEOUT_S))

    async def pull(self, address: str, digest: PeerDigest) -> PeerDigest:
        """Request the digest of a peer, and send the digest of this process."""
        message = encode_digest(digest)
        return decode_digest(await self._call(address, "Pull", message, CALL_TIMEOUT_S))

    async def fetch(self, address: str, digests: tuple[str, ...]) -> dict[str, bytes]:
        """Return the chunks that the peer has, by digest."""
        message = peer_pb2.ChunkRequest(digests=digests)
        reply = await self._call(address, "FetchChunks", message, FETCH_TIMEOUT_S)
        return {chunk.digest: chunk.value for chunk in reply.chunks}

    async def report(
        self, address: str, report: peer_pb2.EvidenceReport
    ) -> peer_pb2.EvidenceReply:
        """Send evidence and the revision of this process to the lease holder."""
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
        """Merge the digest of a peer that has new state."""
        return encode_digest(self.handler.handle_digest(decode_digest(request)))

    async def Pull(self, request, context) -> peer_pb2.Digest:
        """Merge the digest of a peer and return the digest of this process."""
        return encode_digest(self.handler.handle_digest(decode_digest(request)))

    async def FetchChunks(self, request, context) -> peer_pb2.ChunkReply:
        """Return the first chunk values that fit into one reply, at least one."""
        reply = peer_pb2.ChunkReply()
        size = 0
        found = self.handler.chunk_values(list(request.digests))
        for digest, value in found.items():
            if size and size + len(value) > MAX_FETCH_REPLY_BYTES:
                break
            reply.chunks.add(digest=digest, value=value)
            size += len(value)
        return reply

    async def Report(self, request, context) -> peer_pb2.EvidenceReply:
        """Handle the evidence and the revision that another entry reports."""
        return self.handler.handle_report(request)


def make_peer_server(handler: PeerHandler, address: str) -> grpc.aio.Server:
    """Return a server that listens on the peer address when it is started."""
    server = grpc.aio.server(options=SERVER_OPTIONS)
    peer_pb2_grpc.add_PeerServicer_to_server(PeerServicer(handler), server)
    if server.add_insecure_port(address) == 0:
        raise OSError(f"cannot listen on peer_address {address}")
    return server
