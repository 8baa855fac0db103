"""Bytes of gossip between two processes' peer services, counted on TCP."""

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
    """Passes connections on to `port` and counts the bytes of both ways."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.count = 0
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
                self.count += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()


class CountedNode:
    """Gossip of one process that peers reach through a counting relay."""

    def __init__(self, name: str, store: MemoryStore, ports: PortBlock, seed: int):
        self.outer, inner = ports.take(), ports.take()
        self.relay = CountingRelay(inner)
        address = f"127.0.0.1:{self.outer}"
        me = VmRecord(name, "entry", address, "", Place("a", "r"))
        self.peers = GrpcPeers()
        clock, rng = LoopClock(), random.Random(seed)
        self.gossip = Gossip(me, name, store, self.peers, clock, rng)
        self.server = make_peer_server(self.gossip, f"127.0.0.1:{inner}")
        self.task: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen and gossip."""
        await self.relay.start(self.outer)
        await self.server.start()
        self.task = asyncio.ensure_future(self.gossip.run())

    async def stop(self) -> None:
        """End the gossip and close all sockets."""
        self.task.cancel()
        await self.peers.close()
        await self.server.stop(0)
        self.relay.server.close()


async def gossip_bytes_per_s(seed: int) -> tuple[float, float]:
    """Return pulls and bytes a second of one process while nothing changes.

    Both of the two processes take part in every exchange, as each of a large
    fleet takes part in one that it starts and one that it answers a second.
    Bytes are TCP payload, sent and received.
    """
    store, ports = MemoryStore(), PortBlock()
    await seed_store(store, [])
    nodes = [CountedNode(f"n{i}", store, ports, seed + i) for i in range(2)]
    for node in nodes:
        await node.start()
    for node in nodes:
        node.gossip.set_members(other.gossip.state.me for other in nodes)
    await asyncio.sleep(WARM_UP_S)
    pulls = _count_answers(nodes)
    before = sum(node.relay.count for node in nodes)
    await asyncio.sleep(DURATION_S)
    count = sum(node.relay.count for node in nodes) - before
    for node in nodes:
        await node.stop()
    ports.close()
    return len(pulls) / len(nodes) / DURATION_S, count / DURATION_S


def _count_answers(nodes: list[CountedNode]) -> list[str]:
    """Return a list that grows by one with each request that a node answers."""
    answered: list[str] = []
    for node in nodes:
        inner = node.gossip.handle_digest

        def handle_digest(digest, inner=inner):
            answered.append(digest.address)
            return inner(digest)

        node.gossip.handle_digest = handle_digest
    return answered
