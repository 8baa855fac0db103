"""A whole fleet that reads the store through its tree, without a network.

The pattern: hundreds of entries start again at once after a common loss, or lose the
one that reads for them, or the store itself for a while.
"""

import asyncio
import random
import unittest

from returns.result import Failure, Success

from monsoontack.core.pausedloop import run_paused
from monsoontack.gateway.peers import PeerEntry, PeerResponse, peer_pool
from monsoontack.gateway.readtree import plan_reads
from monsoontack.gateway.records import RawRequest
from monsoontack.gateway.relay import RelayedStore, RelayServer
from monsoontack.store.api import (
    KindChange,
    KindChanges,
    KindList,
    KindObject,
    Unavailable,
)
from monsoontack.store.cache import KindCache
from monsoontack.store.feed import KindFeed
from monsoontack.store.feed_test import Recorder

KINDS = ("config", "servers", "rollouts")
WATCH_S = 1.0
TRIP_S = 0.002
STORE_S = 0.004


class Store:
    """The store: calls by time, and whether it is down."""

    def __init__(self):
        self.is_down = False
        self.revision = 5
        self.calls = []
        self.changed = asyncio.Event()

    def change(self):
        self.revision += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def _answer(self, kind):
        self.calls.append(asyncio.get_running_loop().time())
        await asyncio.sleep(STORE_S)
        return Failure(Unavailable(kind, "down")) if self.is_down else None

    def _object(self):
        return KindObject("a", self.revision, {"n": self.revision}, None)

    async def list_kind(self, kind):
        failed = await self._answer(kind)
        return failed or Success(KindList((self._object(),), self.revision))

    async def watch_kind(self, kind, revision, wait_s):
        failed = await self._answer(kind)
        if failed is None and self.revision <= revision:
            await asyncio.wait(
                [asyncio.ensure_future(self.changed.wait())], timeout=wait_s
            )
        if self.is_down:
            return Failure(Unavailable(kind, "down"))
        changes = ()
        if self.revision > revision:
            changes = (KindChange(self._object(), False),)
        waited_s = 0.0 if changes else wait_s
        return Success(KindChanges(changes, self.revision, waited_s))


class Answering:
    def send(self, status, headers, body=b""):
        self.answer = PeerResponse(status, body, headers)


class Fleet:
    """Entries in two regions; those in `down` are dark or refuse connections."""

    def __init__(self, size, seed=1):
        self.rng = random.Random(seed)
        self.store = Store()
        self.peers = {}
        for number in range(size):
            name, region = f"e{number}", ("north", "south")[number % 2]
            self.peers[name] = PeerEntry(name, region, name)
        self.servers, self.caches, self.relayed, self.tasks = {}, {}, {}, {}
        self.refuses, self.dark = set(self.peers), set()
        self.list_s, self.lists, self.link_free_at = 0.0, 0, {}

    async def call(self, pool, address, target, timeout_s):
        await asyncio.sleep(TRIP_S)
        if address in self.refuses:
            return None
        if address in self.dark:
            await asyncio.sleep(timeout_s)
            return None
        answering = Answering()
        raw = RawRequest(b"GET", target.encode(), (), b"", True, 0.0)
        server = self.servers[address]
        try:
            async with asyncio.timeout(timeout_s):
                await server.handle(raw, answering)
                await asyncio.sleep(TRIP_S)
                is_list = "servers" in target and "after=" not in target
                if is_list and answering.answer.status == 200:
                    await self.send_list(address)
                while address in self.dark:
                    await asyncio.sleep(timeout_s)
        except TimeoutError:
            return None
        return answering.answer

    async def send_list(self, address):
        """Take the sender's link for a list, behind those that it sends already."""
        now = asyncio.get_running_loop().time()
        free_at = max(self.link_free_at.get(address, 0.0), now) + self.list_s
        self.link_free_at[address] = free_at
        self.lists += 1
        await asyncio.sleep(free_at - now)

    def start(self, name):
        loop = asyncio.get_running_loop()
        caches, tasks, direct_reads = {}, [], None
        for kind in KINDS:
            cache = KindCache(Recorder(), max_age_s=WATCH_S + 0.4, boot=loop.time)
            region = self.peers[name].region
            relayed = RelayedStore(
                name, region, self.store, WATCH_S, cache.max_age_s, peer_pool()
            )
            relayed.call = self.call
            relayed.rng = random.Random(f"{name}{kind}")
            direct_reads = (
                relayed.direct_reads if direct_reads is None else direct_reads
            )
            relayed.direct_reads = direct_reads
            relayed.set_peers(self.peers)
            feed = KindFeed(relayed, kind, cache, WATCH_S, boot=loop.time)
            feed.rng = random.Random(f"{kind}{name}")
            caches[kind] = cache
            tasks.append(asyncio.ensure_future(feed.run()))
        direct_reads.rng = random.Random(name)
        self.servers[name] = RelayServer(caches)
        self.caches[name], self.tasks[name] = caches, tasks
        self.refuses.discard(name)

    def relayed_plan(self, name):
        return plan_reads(name, self.peers[name].region, self.peers)

    def stop(self, name, is_dark=False):
        (self.dark if is_dark else self.refuses).add(name)
        for task in self.tasks.pop(name, ()):
            task.cancel()
        self.caches.pop(name, None)

    async def start_all(self, spread_s=1.0):
        loop = asyncio.get_running_loop()
        for name in self.peers:
            loop.call_later(self.rng.uniform(0.0, spread_s), self.start, name)
        await asyncio.sleep(spread_s)

    def oldest_s(self):
        return max(
            c.age_s() for caches in self.caches.values() for c in caches.values()
        )

    def behind(self):
        return [
            name
            for name, caches in self.caches.items()
            if any(c.revision < self.store.revision for c in caches.values())
        ]

    async def until(self, is_done, limit_s=60.0):
        """Return after how many seconds `is_done` holds."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while not is_done() and loop.time() < started + limit_s:
            await asyncio.sleep(0.05)
        return loop.time() - started

    def end(self):
        for name in list(self.tasks):
            self.stop(name)


def play(size, scenario):
    async def run():
        fleet = Fleet(size)
        try:
            return await scenario(fleet)
        finally:
            fleet.end()

    return run_paused(run())


class StartTest(unittest.TestCase):
    def test_all_entries_start_at_once(self):
        """Guards against a fleet that serves nothing for long after a common loss."""

        async def scenario(fleet):
            await fleet.start_all()
            took_s = await fleet.until(lambda: fleet.oldest_s() < WATCH_S + 0.4)
            return took_s, len(fleet.store.calls)

        for size in (68, 300):
            took_s, calls = play(size, scenario)
            self.assertLess(took_s, 1.5, size)
            self.assertLess(calls, 2 * size, size)

    def test_long_lists_over_small_links(self):
        """Guards against lists that time out on their way, are asked for again
        elsewhere, and fill the links of a whole fleet for half a minute."""

        async def scenario(fleet):
            fleet.list_s = 0.25
            await fleet.start_all()
            took_s = await fleet.until(lambda: fleet.oldest_s() < WATCH_S + 0.4)
            return took_s, fleet.lists

        took_s, lists = play(300, scenario)
        self.assertLess(took_s, 10.0)
        self.assertLess(lists, 3 * 300)


class SteadyTest(unittest.TestCase):
    def test_calls_and_ages_do_not_grow_with_the_fleet(self):
        """Guards against a store that each entry asks, and against old keys."""

        async def scenario(fleet):
            await fleet.start_all()
            await asyncio.sleep(5.0)
            before, oldest_s = len(fleet.store.calls), 0.0
            for _ in range(100):
                await asyncio.sleep(0.1)
                oldest_s = max(oldest_s, fleet.oldest_s())
            fleet.store.change()
            news_s = await fleet.until(lambda: not fleet.behind())
            return len(fleet.store.calls) - before, oldest_s, news_s

        for size in (68, 300):
            calls, oldest_s, news_s = play(size, scenario)
            self.assertLessEqual(calls, 40, size)
            self.assertLess(oldest_s, WATCH_S + 0.4, size)
            self.assertLess(news_s, 0.2, size)


class LossTest(unittest.TestCase):
    def news_after(self, is_dark):
        async def scenario(fleet):
            await fleet.start_all()
            await asyncio.sleep(5.0)
            root = next(n for n in fleet.peers if fleet.relayed_plan(n).parent is None)
            fleet.stop(root, is_dark)
            fleet.store.change()
            return await fleet.until(lambda: not fleet.behind())

        return play(300, scenario)

    def test_news_pass_although_the_reader_died(self):
        """Guards against a fleet behind one dead entry."""
        self.assertLess(self.news_after(is_dark=False), 1.5)

    def test_news_pass_although_the_reader_is_dark(self):
        """Guards against a configuration that is late since one VM is dark; it has to
        be in force within 4 s where a watch takes 1 s."""
        self.assertLess(self.news_after(is_dark=True), 3.5)

    def test_outage_of_the_store_costs_few_calls_and_ends_soon(self):
        """Guards against calls of every entry while the store is down, and against
        entries that notice its return late."""

        async def scenario(fleet):
            await fleet.start_all()
            await asyncio.sleep(5.0)
            fleet.store.is_down = True
            before = len(fleet.store.calls)
            await asyncio.sleep(10.0)
            calls = len(fleet.store.calls) - before
            fleet.store.is_down = False
            fleet.store.change()
            return calls, await fleet.until(lambda: not fleet.behind())

        for size in (68, 300):
            calls, back_s = play(size, scenario)
            self.assertLess(calls, 600, size)
            self.assertLess(back_s, 2.0, size)


if __name__ == "__main__":
    unittest.main()
