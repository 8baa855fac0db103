"""Tests of reading the store through peers, over loopback sockets."""

import asyncio
import random
import time
import unittest
from dataclasses import replace

from returns.result import Failure, Success

from monsoontack.gateway.feedcodec import (
    AGE_HEADER,
    DEFLATE,
    ENCODING_HEADER,
    MAX_KEPT_BODY_BYTES,
    REVISION_HEADER,
)
from monsoontack.gateway.peers import PeerEntry, call_peer, peer_pool
from monsoontack.gateway.records import CallerLimits
from monsoontack.gateway.relay import RelayServer
from monsoontack.inbound.memoryguard import MemoryGuard
from monsoontack.inbound.server import InboundServer
from monsoontack.relaying.relayedstore import RelayedStore
from monsoontack.store.api import (
    HistoryGone,
    KindChanges,
    KindList,
    KindObject,
    Unavailable,
)
from monsoontack.store.cache import KindCache
from monsoontack.store.eras import join_revision
from monsoontack.store.feed_test import Recorder

STORE_DOWN = Failure(Unavailable("k", "down"))


class CountingStore:
    """`KindStore` that counts its calls and returns fixed results."""

    def __init__(self, list_result=STORE_DOWN, watch_result=STORE_DOWN):
        self.list_result, self.watch_result, self.calls = list_result, watch_result, 0

    async def list_kind(self, kind):
        self.calls += 1
        return self.list_result

    async def watch_kind(self, kind, revision, wait_s):
        self.calls += 1
        return self.watch_result


MAX_AGE_S = 0.9
STATE_HEADERS = ((REVISION_HEADER, b"9"), (AGE_HEADER, b"0.0"))
DEFLATE_ENCODING = (ENCODING_HEADER, DEFLATE)
LIST_RESULT = Success(KindList((), 5))
WATCH_RESULT = Success(KindChanges((), 5, 0.5))


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """An entry that reads through one peer, which serves a cache of kind `k`."""

    async def asyncSetUp(self):
        self.cache = KindCache(Recorder(), max_age_s=MAX_AGE_S)
        self.relay = RelayServer({"k": self.cache})
        self.handler = self.relay.handle
        limits = CallerLimits()
        server = InboundServer(self.handle, lambda: limits, MemoryGuard(10**6))
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(server.make_connection, "127.0.0.1", 0)
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.pool = peer_pool()

    async def handle(self, raw, responder):
        await self.handler(raw, responder)

    async def asyncTearDown(self):
        self.listener.close()
        self.pool.close()

    def make_relayed_store(self, store, is_root=False):
        """Return the store of an entry that ranks before its peer if `is_root`, else
        after it."""
        for number in range(1000):
            name, peer = f"own-{number}", f"peer-{number}"
            relayed = RelayedStore(name, "north", store, 0.5, MAX_AGE_S, self.pool)
            relayed.set_peers({peer: PeerEntry(peer, "north", self.address)})
            if (relayed.plan.parent is None) is is_root:
                return relayed
        raise AssertionError("no such names")

    def load_cache(self, age_s=0.1):
        self.cache.replace_all((KindObject("a", 5, {"x": 1}, None),), 5)
        self.cache.confirmed(time.clock_gettime(time.CLOCK_BOOTTIME) - age_s)

    async def test_fresh_peer_spares_a_store_read(self):
        """Guards against every entry repeating the same billed reads."""
        self.load_cache()
        store = CountingStore()
        result = await self.make_relayed_store(store).list_kind("k")
        self.assertEqual("a", result.unwrap().objects[0].name)
        self.assertLess(result.unwrap().confirmed_after_s, -0.09)
        self.assertEqual(0, store.calls)

    async def test_stale_response_of_a_peer_is_not_used(self):
        """Guards against API keys kept valid by a peer that lost the store."""
        self.load_cache(age_s=4.0)
        store = CountingStore(LIST_RESULT, WATCH_RESULT)
        relayed = self.make_relayed_store(store)
        self.assertEqual(5, (await relayed.list_kind("k")).unwrap().revision)
        self.assertEqual(1, store.calls)
        await relayed.watch_kind("k", 5, 1.0)
        self.assertEqual(2, store.calls)

    async def test_peer_without_the_store_does_not_delay_updates(self):
        """Guards against a configuration delayed by peers that are cut off.

        The store refused two of three entries, and the third waited for them in turn,
        so that it learned of a key's revocation 2.7 s late (batbayar-fleet, scale-2,
        seed 378662984761).
        """
        self.load_cache(age_s=1.2)
        store = CountingStore(LIST_RESULT, WATCH_RESULT)
        relayed = self.make_relayed_store(store)
        started = time.monotonic()
        await relayed.watch_kind("k", 5, 1.0)
        self.assertLess(time.monotonic() - started, 0.5)
        self.assertEqual(1, store.calls)

    async def test_root_reads_the_store_itself(self):
        """Guards against entries that wait for each other."""
        self.load_cache()
        store = CountingStore(LIST_RESULT)
        await self.make_relayed_store(store, is_root=True).list_kind("k")
        self.assertEqual(1, store.calls)

    async def test_root_refused_by_the_store_asks_its_peers(self):
        """Guards against an entry that stays stale although a peer has fresh data."""
        self.load_cache()
        store = CountingStore()
        relayed = self.make_relayed_store(store, is_root=True)
        result = await relayed.list_kind("k")
        self.assertEqual(1, len(result.unwrap().objects))

    async def test_failure_of_peer_and_store_returns_an_error(self):
        """Guards against a read that never ends."""
        store = CountingStore()
        relayed = self.make_relayed_store(store)
        self.listener.close()
        await self.listener.wait_closed()
        result = await relayed.list_kind("k")
        self.assertIsInstance(result.failure(), Unavailable)

    async def test_data_that_came_through_this_entry_is_not_used(self):
        """Guards against a peer that reads through this entry, and whose data passes
        for fresh although neither of the two reaches the store."""
        self.load_cache()
        for path, reads in ((("other",), 0), (("other", "own"), 1)):
            relayed = self.make_relayed_store(CountingStore(LIST_RESULT))
            relayed.name, self.cache.path = "own", path
            await relayed.list_kind("k")
            self.assertEqual(reads, relayed.store_reads)

    async def test_source_is_followed_on_if_the_list_of_entries_changes(self):
        """Guards against updates that are late whenever an entry starts or ends, as
        each change of the list sent all entries back to a parent that was cut off."""
        self.load_cache()
        relayed = self.make_relayed_store(CountingStore())
        peers = {peer.name: peer for peer in relayed.plan.all_peers}
        (name,) = peers
        peers["dead"] = PeerEntry("dead", "north", "127.0.0.1:9")
        relayed.set_peers(peers)
        relayed.source = name
        relayed.set_peers({**peers, "new": replace(peers["dead"], name="new")})
        self.assertEqual(name, relayed.source)
        relayed.set_peers({"dead": peers["dead"]})
        self.assertIsNone(relayed.source)

    async def test_stale_peer_ends_a_wait_at_once(self):
        """Guards against an entry that waits at a peer which lost its own source."""
        self.load_cache(age_s=MAX_AGE_S - 0.1)
        relayed = self.make_relayed_store(CountingStore(LIST_RESULT, WATCH_RESULT))
        started = time.monotonic()
        await relayed.watch_kind("k", 5, 0.5)
        self.assertLess(time.monotonic() - started, 0.4)
        self.assertEqual(1, relayed.store_reads)

    async def test_change_reaches_a_waiting_reader(self):
        """Guards against changes that are delayed until the next poll."""
        self.load_cache()
        relayed = self.make_relayed_store(CountingStore())
        task = asyncio.ensure_future(relayed.watch_kind("k", 5, 1.0))
        await asyncio.sleep(0.05)
        self.cache.changed(KindObject("b", 8, {"x": 2}, None))
        changes = (await task).unwrap()
        self.assertEqual(["b"], [c.object.name for c in changes.changes])
        self.assertEqual(8, changes.revision)

    async def test_reader_behind_the_history_gets_history_gone(self):
        """Guards against a reader that misses changes the peer no longer keeps."""
        self.load_cache()
        result = await self.make_relayed_store(CountingStore()).watch_kind("k", 2, 1.0)
        self.assertIsInstance(result.failure(), HistoryGone)

    async def count_stale_reports(self, age_s):
        self.load_cache(age_s)
        reports = []
        relayed = self.make_relayed_store(CountingStore())
        relayed.on_stale_peer = lambda: reports.append(age_s)
        await relayed.watch_kind("k", 5, 0.1)
        return len(reports)

    async def test_stale_peer_is_reported(self):
        """Guards against callers being referred to other entries while none can serve
        them."""
        self.assertEqual(1, await self.count_stale_reports(30.0))

    async def test_only_entry_of_a_region_reads_through_another_region(self):
        """Guards against keys refused while entries of another region know that they
        are valid."""
        self.load_cache()
        for is_root in (False, True):
            store = CountingStore()
            relayed = self.make_relayed_store(store, is_root)
            relayed.region = "south"
            relayed.set_peers({p.name: p for p in relayed.plan.all_peers})
            self.assertIsInstance(await relayed.list_kind("k"), Success)
            self.assertEqual(int(is_root), store.calls)

    async def test_entry_without_peers_reports_no_stale_peer(self):
        """Guards against callers being told to wait, as in an outage of all entries,
        when the store refused only this one."""
        reports = []
        relayed = self.make_relayed_store(CountingStore())
        relayed.set_peers({})
        relayed.on_stale_peer = lambda: reports.append(1)
        await relayed.list_kind("k")
        self.assertEqual([], reports)

    async def test_peer_of_a_former_era_confirms_nothing(self):
        """Guards against a peer that has not heard of the store's restoration, and
        whose confirmation is taken for one of the restored store."""
        former, restored = join_revision(1, 900), join_revision(2, 30)
        self.cache.replace_all((KindObject("a", former, 1, None),), former)
        self.cache.confirmed(self.cache.boot_clock())
        relayed = self.make_relayed_store(CountingStore())
        await relayed.watch_kind("k", restored, 0.1)
        self.assertEqual(0, relayed.peer_reads)

    async def test_child_of_a_former_era_lists_again(self):
        """Guards against changes missed by a child whose revision the store has given
        out again."""
        restored = join_revision(2, 900)
        self.cache.replace_all((KindObject("a", restored, 1, None),), restored)
        self.cache.confirmed(self.cache.boot_clock())
        relayed = self.make_relayed_store(CountingStore())
        found = await relayed.watch_kind("k", join_revision(1, 900), 0.1)
        self.assertIsInstance(found.failure(), HistoryGone)

    async def test_confirmation_without_changes_passes_at_once(self):
        """Guards against ages that add up along the tree, so that entries far from
        the root count as cut off from the store."""
        self.load_cache(age_s=0.5)
        relayed = self.make_relayed_store(CountingStore())
        task = asyncio.ensure_future(relayed.watch_kind("k", 5, 1.0))
        await asyncio.sleep(0.05)
        self.cache.confirmed(time.clock_gettime(time.CLOCK_BOOTTIME))
        started = time.monotonic()
        changes = (await task).unwrap()
        self.assertLess(time.monotonic() - started, 0.2)
        self.assertGreaterEqual(changes.confirmed_after_s, 0.03)

    async def test_non_reader_waits_for_a_parent_without_the_store(self):
        """Guards against a store call by every entry when the store fails."""
        self.load_cache(age_s=30.0)
        store = CountingStore(LIST_RESULT, WATCH_RESULT)
        relayed = self.make_relayed_store(store)
        relayed.plan = replace(relayed.plan, is_reader=False, fleet_size=400)
        task = asyncio.ensure_future(relayed.watch_kind("k", 5, 1.0))
        await asyncio.sleep(0.2)
        self.cache.changed(KindObject("b", 8, {"x": 2}, None))
        self.cache.confirmed(time.clock_gettime(time.CLOCK_BOOTTIME))
        self.assertEqual(8, (await task).unwrap().revision)
        self.assertEqual(0, store.calls)

    async def test_fallback_peers_are_not_asked_without_a_pause(self):
        """Guards against an entry that calls other peers in a tight loop while its
        parent is dead, and so overloads their VMs and floods the log.

        It made a read every 20 ms in trouble-2 of batbayar-fleet-large.
        """
        self.load_cache()
        targets = []

        async def count(raw, responder):
            targets.append(raw.target)
            await self.relay.handle(raw, responder)

        self.handler = count
        relayed = self.make_relayed_store(CountingStore())
        fresh_peer = relayed.plan.parent
        dead_peer = PeerEntry("dead", "north", "127.0.0.1:9")
        relayed.plan = replace(
            relayed.plan,
            parent=dead_peer,
            fallback_peers=(fresh_peer,),
            all_peers=(fresh_peer,),
            is_reader=False,
        )

        async def confirm():
            while True:
                await asyncio.sleep(0.4)
                self.cache.confirmed(time.clock_gettime(time.CLOCK_BOOTTIME))

        task = asyncio.ensure_future(confirm())
        deadline = time.monotonic() + 1.5
        while time.monotonic() < deadline:
            result = await relayed.watch_kind("k", 5, 1.0)
            self.assertIsInstance(result, Success)
        task.cancel()
        self.assertLessEqual(len(targets), 6)

    async def test_malformed_response_of_a_peer_is_not_used(self):
        """Guards against a malformed response that ends the feed or the process."""
        bodies = (b"", b"{", b"[[1]]", b'[["a","x",1,2]]', b"null", b"[" * 10_000)
        for status, headers in (
            (200, ()),
            (200, STATE_HEADERS),
            (200, (*STATE_HEADERS, DEFLATE_ENCODING)),
        ):
            for body in bodies:
                store = CountingStore(LIST_RESULT)
                relayed = self.make_relayed_store(store)

                async def send_malformed(raw, responder, found=(status, headers, body)):
                    responder.send(*found)

                self.handler = send_malformed
                result = await relayed.list_kind("k")
                self.assertEqual(5, result.unwrap().revision)
                self.assertEqual(1, store.calls)

    async def test_malformed_request_of_a_peer_is_refused(self):
        """Guards against a malformed request that affects other requests."""
        self.load_cache()
        for query in ("after=x", "wait_ms=-", "after=1&wait_ms=1e9"):
            peer = PeerEntry("peer", "north", self.address)
            response = await call_peer(self.pool, peer, f"/feeds/k?{query}", 1.0)
            self.assertEqual(400, response.status)

    async def test_long_lists_are_compressed_and_encoded_once(self):
        """Guards against a large configuration saturating the link of a small VM."""
        spec = {"routes": ["some-route-of-a-service"] * 20_000}
        self.cache.replace_all((KindObject("a", 5, spec, None),), 5)
        self.cache.confirmed(time.clock_gettime(time.CLOCK_BOOTTIME))
        listed = (
            await self.make_relayed_store(CountingStore()).list_kind("k")
        ).unwrap()
        self.assertEqual(spec, listed.objects[0].spec)
        headers, body = self.relay.encoder.encode(self.cache, None, 0.0)
        self.assertLess(len(body), 50_000)
        self.assertIs(body, self.relay.encoder.encode(self.cache, None, 0.0)[1])

    async def test_bodies_for_peers_with_different_revisions_are_bounded(self):
        """Guards against one kept body for each revision that a peer may state."""
        rng = random.Random(1)
        self.cache.replace_all((), 1)
        for number in range(2, 102):
            spec = {"text": rng.randbytes(50_000).hex()}
            self.cache.changed(KindObject(f"o{number}", number, spec, None))
        encoder = self.relay.encoder
        for after in range(1, 102, 4):
            _, body = encoder.encode(self.cache, after, 0.0)
            kept = max(MAX_KEPT_BODY_BYTES, len(body))
            self.assertLessEqual(encoder.kept_bytes(), kept)
        _, last = encoder.encode(self.cache, 100, 0.0)
        self.assertIs(last, encoder.encode(self.cache, 100, 0.0)[1])
        self.assertEqual(b"[]", encoder.encode(self.cache, 101, 0.0)[1])

    async def test_fresh_peer_is_not_reported_as_stale(self):
        """Guards against callers being told to wait although another entry would
        serve them."""
        self.assertEqual(0, await self.count_stale_reports(0.1))


if __name__ == "__main__":
    unittest.main()
