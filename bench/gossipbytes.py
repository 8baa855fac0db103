"""Bytes of gossip between the peer services of two nodes, counted on TCP."""

import asyncio
import contextlib
import random

from monsoontack.config.revision import seed_store
from monsoontack.core.clock import LoopClock
from monsoontack.core.records import Place, VmRecord
from monsoontack.entry.gossip import Gossip
from monsoontack.entry.peers import GrpcPeers, make_peer_server
from monsoontack.store.memory import MemoryStore
from standins.processes import PortBlock

DURATION_S = 20.0
WARM_UP_S = 4.0
READ_BYTES = 65_536


class CountingRelay:
    """Relays connections to `port` and counts the bytes in both directions."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.byte_count = 0
        self.server: asyncio.Server | None = None

    async def start(self, port: int) -> None:
        """Listen on `port`."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    async def _serve(self, reader, writer) -> None:
        inner_reader, inner_writer = await asyncio.open_connection(
            "127.0.0.1", self.port
        )
        await asyncio.gather(
            self._copy(reader, inner_writer), self._copy(inner_reader, writer)
        )

    async def _copy(self, reader, writer) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_BYTES):
                self.byte_count += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()


class GossipNode:
    """Gossip service of a process that peers reach through a counting relay."""

    def __init__(self, name: str, store: MemoryStore, ports: PortBlock, seed: int):
        self.relay_port, server_port = ports.take(), ports.take()
        self.relay = CountingRelay(server_port)
        address = f"127.0.0.1:{self.relay_port}"
        me = VmRecord(name, "entry", address, "", Place("a", "r"))
        self.peers = GrpcPeers()
        clock, rng = LoopClock(), random.Random(seed)
        self.gossip = Gossip(me, name, store, self.peers, clock, rng)
        self.server = make_peer_server(self.gossip, f"127.0.0.1:{server_port}")
        self.task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start the relay, the peer server and the gossip task."""
        await self.relay.start(self.relay_port)
        await self.server.start()
        self.task = asyncio.ensure_future(self.gossip.run())

    async def stop(self) -> None:
        """Cancel the gossip task and close all sockets."""
        self.task.cancel()
        await self.peers.close()
        await self.server.stop(0)
        self.relay.server.close()


async def gossip_bytes_per_s(seed: int) -> tuple[float, float]:
    """Return the pulls and bytes a second of one process while nothing changes.

    Two nodes give the traffic of a process in a large fleet: each second it starts
    one exchange and answers one, and both nodes take part in every exchange. Bytes
    are TCP payload, sent and received.
    """
    store, ports = MemoryStore(), PortBlock()
    await seed_store(store, [])
    nodes = [GossipNode(f"n{i}", store, ports, seed + i) for i in range(2)]
    for node in nodes:
        await node.start()
    for node in nodes:
        node.gossip.set_members(other.gossip.state.me for other in nodes)
    await asyncio.sleep(WARM_UP_S)
    pulls = _record_answered_digests(nodes)
    before = sum(node.relay.byte_count for node in nodes)
    await asyncio.sleep(DURATION_S)
    count = sum(node.relay.byte_count for node in nodes) - before
    for node in nodes:
        await node.stop()
    ports.close()
    return len(pulls) / len(nodes) / DURATION_S, count / DURATION_S


def _record_answered_digests(nodes: list[GossipNode]) -> list[str]:
    """Return a list to which each digest that a node answers adds its sender."""
    answered: list[str] = []
    for node in nodes:
        original = node.gossip.handle_digest

        def handle_digest(digest, original=original):
            answered.append(digest.address)
            return original(digest)

        node.gossip.handle_digest = handle_digest
    return answered
