"""Tests of following a kind of objects, on a paused clock."""

import asyncio
import random
import unittest

from returns.result import Failure, Success

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.store.api import (
    HistoryGone,
    KindChange,
    KindChanges,
    KindList,
    KindObject,
    Unavailable,
)
from monsoontack.store.cache import KindCache
from monsoontack.store.feed import KindFeed

DOWN = Failure(Unavailable("k", "down"))


def item(name, revision):
    return KindObject(name, revision, {"n": revision}, None)


class Recorder:
    """Listener that keeps what it heard."""

    def __init__(self):
        self.heard = []
        self.confirmations = []

    def replace_all(self, objects, revision):
        self.heard.append(("list", [o.name for o in objects]))

    def changed(self, found):
        self.heard.append(("changed", found.name))

    def removed(self, name, revision):
        self.heard.append(("removed", name))

    def confirmed(self, at):
        self.confirmations.append(at)


class ScriptedStore:
    """Kind store that answers by script, each after a delay in seconds."""

    def __init__(self, lists, watches):
        self.lists, self.watches = list(lists), list(watches)
        self.watched = []

    async def list_kind(self, kind):
        delay_s, result = self.lists.pop(0)
        await asyncio.sleep(delay_s)
        return result

    async def watch_kind(self, kind, revision, wait_s):
        self.watched.append(revision)
        if not self.watches:
            await asyncio.sleep(1000)
        delay_s, result = self.watches.pop(0)
        await asyncio.sleep(delay_s)
        return result


def follow(lists, watches, seconds=30.0):
    async def scenario():
        store, recorder = ScriptedStore(lists, watches), Recorder()
        changes = []
        loop = asyncio.get_running_loop()
        feed = KindFeed(store, "k", recorder, 1.0, rng=random.Random(3))
        feed.boot_clock = loop.time
        feed.on_store_status = lambda kind, up, reason: changes.append(up)
        task = asyncio.ensure_future(feed.run())
        await asyncio.sleep(seconds)
        task.cancel()
        return store, recorder, changes

    return run_in_virtual_time(scenario())


class OutageTest(unittest.TestCase):
    def test_return_of_the_store_is_told_before_its_news(self):
        """Guards against servers that are dropped at once although their entries
        only lapsed during an outage and are about to come back."""
        order = []

        class Listening(Recorder):
            def replace_all(self, objects, revision):
                order.append("list")

            def removed(self, name, revision):
                order.append("removed")

        async def scenario(lists, watches):
            feed = KindFeed(ScriptedStore(lists, watches), "k", Listening(), 1.0)
            feed.boot_clock = asyncio.get_running_loop().time
            feed.on_store_status = lambda kind, up, reason: order.append(up)
            task = asyncio.ensure_future(feed.run())
            await asyncio.sleep(20.0)
            task.cancel()

        gone = KindChanges((KindChange(item("a", 7), True),), 7, 0.0)
        listed = (0.0, Success(KindList((item("a", 5),), 5)))
        run_in_virtual_time(scenario([listed], [(0.0, DOWN), (0.0, Success(gone))]))
        self.assertEqual(["list", False, True, "removed"], order)
        order.clear()
        late = (0.0, Success(KindList((), 9)))
        missed = (0.0, Failure(HistoryGone("k")))
        run_in_virtual_time(scenario([listed, (0.0, DOWN), late], [missed]))
        self.assertEqual(["list", False, True, "list"], order)

    def test_list_from_before_is_not_taken_over(self):
        """Guards against a server that left, or a key that was withdrawn, in use
        again after a list from a peer that is behind."""
        listed = [
            (0.0, Success(KindList((item("a", 5),), 8))),
            (0.0, Success(KindList((item("a", 5), item("gone", 4)), 6))),
            (0.0, Success(KindList((item("a", 5),), 9))),
        ]
        missed = [(0.0, Failure(HistoryGone("k")))]
        _, recorder, _ = follow(listed, missed)
        self.assertEqual([("list", ["a"]), ("list", ["a"])], recorder.heard)

    def test_change_that_cannot_be_taken_over_stops_no_other(self):
        """Guards against one odd object that ends the following of its kind."""

        class Failing(Recorder):
            def changed(self, found):
                if found.name == "odd":
                    raise TypeError("odd object")
                super().changed(found)

        async def scenario():
            changes = tuple(KindChange(item(n, 6), False) for n in ("odd", "b"))
            lists = [(0.0, Success(KindList((), 5)))]
            watches = [(0.0, Success(KindChanges(changes, 6, 0.0)))]
            recorder = Failing()
            feed = KindFeed(ScriptedStore(lists, watches), "k", recorder, 1.0)
            feed.boot_clock = asyncio.get_running_loop().time
            task = asyncio.ensure_future(feed.run())
            await asyncio.sleep(5.0)
            task.cancel()
            return recorder, feed

        recorder, feed = run_in_virtual_time(scenario())
        self.assertIn(("changed", "b"), recorder.heard)
        self.assertEqual(6, feed.revision)


class FeedTest(unittest.TestCase):
    def test_lost_history_leads_to_a_new_list(self):
        """Guards against changes missed when the store drops its history."""
        first = Success(KindList((item("a", 5),), 5))
        second = Success(KindList((item("b", 9),), 9))
        gone = Failure(HistoryGone("k"))
        store, recorder, _ = follow([(0, first), (0, second)], [(0.1, gone)])
        self.assertEqual([("list", ["a"]), ("list", ["b"])], recorder.heard)
        self.assertEqual([5, 9], store.watched)

    def test_outage_is_bridged_from_the_last_revision(self):
        """Guards against a feed that ends, or lists anew, after an outage."""
        listed = Success(KindList((item("a", 5),), 5))
        change = KindChanges((KindChange(item("c", 8), False),), 8)
        watches = [(0.1, DOWN), (0.1, DOWN), (0.1, Success(change))]
        store, recorder, changes = follow([(0, listed)], watches)
        self.assertEqual([5, 5, 5, 8], store.watched)
        self.assertEqual(("changed", "c"), recorder.heard[-1])
        self.assertEqual([False, True], changes)

    def test_failures_do_not_confirm(self):
        """Guards against keys that stay trusted while the store is away."""
        listed = Success(KindList((), 5))
        _, recorder, _ = follow([(0.2, listed)], [(0.1, DOWN)] * 50, 20.0)
        self.assertEqual([0.0], recorder.confirmations)

    def test_confirmation_counts_from_what_the_answer_shows(self):
        """Guards against answers that were delayed but count as fresh."""
        listed = Success(KindList((), 5, confirmed_after_s=-1.5))
        quiet = Success(KindChanges((), 5, confirmed_after_s=0.4))
        _, recorder, _ = follow([(0.3, listed)], [(2.0, quiet)])
        self.assertAlmostEqual(-1.5, recorder.confirmations[0])
        self.assertAlmostEqual(0.7, recorder.confirmations[1])

    def test_bursts_of_changes_are_read_together(self):
        """Guards against a paid call for each of many changes in a row."""
        listed = Success(KindList((), 5))
        one = Success(KindChanges((KindChange(item("a", 6), False),), 6))
        store, _, _ = follow([(0, listed)], [(0.0, one)] * 100, 3.0)
        self.assertLessEqual(len(store.watched), 12)


class CacheTest(unittest.TestCase):
    def test_reader_gets_the_changes_it_lacks(self):
        """Guards against peers that miss a change or see it twice."""
        cache = KindCache(Recorder(), boot_clock=lambda: 0.0)
        cache.replace_all((item("a", 5),), 5)
        cache.changed(item("b", 7))
        cache.removed("a", 9)
        self.assertEqual(["b", "a"], [c.object.name for c in cache.changes_since(5)])
        self.assertEqual([True], [c.removed for c in cache.changes_since(7)])
        self.assertEqual((), cache.changes_since(9))
        self.assertIsNone(cache.changes_since(4))

    def test_reader_far_behind_has_to_list(self):
        """Guards against a reader that is served a part of the changes."""
        cache = KindCache(Recorder(), boot_clock=lambda: 0.0)
        cache.replace_all((), 5)
        for revision in range(6, 600):
            cache.changed(item("a", revision))
        self.assertIsNone(cache.changes_since(6))
        self.assertIsNotNone(cache.changes_since(590))


if __name__ == "__main__":
    unittest.main()
