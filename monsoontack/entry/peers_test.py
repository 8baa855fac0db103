"""Tests of the peer service over loopback connections."""

import asyncio
import random
import socket
import unittest

from monsoontack.config.check_test import VALID_OBJECTS, account
from monsoontack.config.gossip_state import ControllerRef, PeerDigest
from monsoontack.config.revision import HeadDelta, seed_store
from monsoontack.core.clock import LoopClock
from monsoontack.core.records import Place, StopMark, VmRecord
from monsoontack.entry.gossip import Gossip
from monsoontack.entry.peercodec import decode_digest, encode_digest
from monsoontack.entry.peers import (
    MAX_CHANNELS,
    GrpcPeers,
    PeerUnreachableError,
    make_peer_server,
)
from monsoontack.proto import peer_pb2
from monsoontack.store.memory import MemoryStore


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class CodecTest(unittest.TestCase):
    def test_digest_survives(self):
        """Guards against a field of a digest that is lost in encoding or decoding."""
        mark = StopMark("up.1", "desk", "v2", "failures", "entry-1")
        delta = HeadDelta(5, 2, 4, {"services": "ab", "versions": "cd"}, ("rollouts",))
        full = PeerDigest(
            "entry-1", "127.0.0.1:1", 5, delta, (mark,), 1.5, ControllerRef("x:1", 7)
        )
        for digest in (full, PeerDigest("entry-1", "127.0.0.1:1", 0)):
            data = encode_digest(digest).SerializeToString()
            self.assertEqual(digest, decode_digest(peer_pb2.Digest.FromString(data)))


class GrpcPeersTest(unittest.IsolatedAsyncioTestCase):
    async def start_entry(self, store):
        address = free_address()
        me = VmRecord(address, "entry", address, "", Place("a", "r"))
        peers = GrpcPeers()
        gossip = Gossip(me, address, store, peers, LoopClock(), random.Random(1))
        server = make_peer_server(gossip, address)
        await server.start()
        task = asyncio.ensure_future(gossip.run())

        async def stop():
            task.cancel()
            await server.stop(0)
            await peers.close()

        self.addAsyncCleanup(stop)
        return gossip

    async def test_revision_and_mark_reach_a_process_without_store(self):
        """Guards against a peer service that loses part of the gossip state.

        The third entry cannot read the store, so it depends on its peers.
        """
        store, unavailable = MemoryStore(), MemoryStore()
        accounts = [account(f"n{i}", "9") for i in range(40)]
        for number, item in enumerate(accounts):
            item["spec"] = {"key_digests": [f"{number:064x}"]}
        await seed_store(store, [*VALID_OBJECTS, *accounts])
        unavailable.faults.outage = True
        entries = [await self.start_entry(s) for s in (store, store, unavailable)]
        for entry in entries:
            entry.set_members(other.state.me for other in entries)
        entries[0].set_stop_mark(StopMark("up.1", "desk", "v2", "failures", "n"))
        async with asyncio.timeout(30):
            while not (entries[2].state.started and entries[2].stop_marks()):
                await asyncio.sleep(0.05)
        self.assertEqual(entries[0].view(), entries[2].view())
        self.assertEqual(42, len(entries[2].view().accounts))

    async def test_fetch_is_bounded(self):
        """Guards against a reply above the message size limit of the peer."""
        entry = await self.start_entry(MemoryStore())
        values_by_digest = {f"{i}": bytes(600_000) for i in range(3)}
        entry.chunk_values = lambda digests: {d: values_by_digest[d] for d in digests}
        peers = GrpcPeers()
        self.addAsyncCleanup(peers.close)
        values = await peers.fetch(entry.state.me.address, ("0", "1", "2"))
        self.assertEqual({"0"}, set(values))

    async def test_dead_peers(self):
        """Guards against untyped errors of unreachable peers, and leaked channels."""
        peers = GrpcPeers()
        self.addAsyncCleanup(peers.close)
        digest = PeerDigest("x", "x", 1)
        for _ in range(MAX_CHANNELS + 3):
            with self.assertRaises(PeerUnreachableError):
                await peers.pull(free_address(), digest)
        self.assertEqual(MAX_CHANNELS, len(peers.channels))


if __name__ == "__main__":
    unittest.main()
