"""Tests of kind feeds and kind caches on the paused event loop."""

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

STORE_DOWN = Failure(Unavailable("k", "down"))


def make_object(name, revision):
    return KindObject(name, revision, {"n": revision}, None)


class Recorder:
    """Listener that records its calls and confirmations."""

    def __init__(self):
        self.events = []
        self.confirmations = []

    def replace_all(self, objects, revision):
        self.events.append(("list", [o.name for o in objects]))

    def changed(self, found):
        self.events.append(("changed", found.name))

    def removed(self, name, revision):
        self.events.append(("removed", name))

    def confirmed(self, at):
        self.confirmations.append(at)


class ScriptedStore:
    """Kind store that returns scripted results, each after a delay in seconds."""

    def __init__(self, lists, watches):
        self.lists, self.watches = list(lists), list(watches)
        self.watched_revisions = []

    async def list_kind(self, kind):
        delay_s, result = self.lists.pop(0)
        await asyncio.sleep(delay_s)
        return result

    async def watch_kind(self, kind, revision, wait_s):
        self.watched_revisions.append(revision)
        if not self.watches:
            await asyncio.sleep(1000)
        delay_s, result = self.watches.pop(0)
        await asyncio.sleep(delay_s)
        return result


def run_feed(lists, watches, seconds=30.0):
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
    def test_store_recovery_is_reported_before_changes(self):
        """Guards against listeners that drop servers at once because they do not know
        that the store has just become available again: the records of the servers
        expired only because of the outage and will be renewed."""
        calls = []

        class OrderRecorder(Recorder):
            def replace_all(self, objects, revision):
                calls.append("list")

            def removed(self, name, revision):
                calls.append("removed")

        async def scenario(lists, watches):
            feed = KindFeed(ScriptedStore(lists, watches), "k", OrderRecorder(), 1.0)
            feed.boot_clock = asyncio.get_running_loop().time
            feed.on_store_status = lambda kind, up, reason: calls.append(up)
            task = asyncio.ensure_future(feed.run())
            await asyncio.sleep(20.0)
            task.cancel()

        gone = KindChanges((KindChange(make_object("a", 7), True),), 7, 0.0)
        listed = (0.0, Success(KindList((make_object("a", 5),), 5)))
        run_in_virtual_time(
            scenario([listed], [(0.0, STORE_DOWN), (0.0, Success(gone))])
        )
        self.assertEqual(["list", False, True, "removed"], calls)
        calls.clear()
        late = (0.0, Success(KindList((), 9)))
        missed = (0.0, Failure(HistoryGone("k")))
        run_in_virtual_time(scenario([listed, (0.0, STORE_DOWN), late], [missed]))
        self.assertEqual(["list", False, True, "list"], calls)

    def test_older_list_is_not_applied(self):
        """Guards against a removed server or a revoked key that is used again after a
        list from a peer with an older revision."""
        listed = [
            (0.0, Success(KindList((make_object("a", 5),), 8))),
            (0.0, Success(KindList((make_object("a", 5), make_object("gone", 4)), 6))),
            (0.0, Success(KindList((make_object("a", 5),), 9))),
        ]
        missed = [(0.0, Failure(HistoryGone("k")))]
        _, recorder, _ = run_feed(listed, missed)
        self.assertEqual([("list", ["a"]), ("list", ["a"])], recorder.events)

    def test_rejected_change_does_not_stop_others(self):
        """Guards against a feed that ends at an object that its listener rejects."""

        class Failing(Recorder):
            def changed(self, found):
                if found.name == "odd":
                    raise TypeError("odd object")
                super().changed(found)

        async def scenario():
            changes = tuple(KindChange(make_object(n, 6), False) for n in ("odd", "b"))
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
        self.assertIn(("changed", "b"), recorder.events)
        self.assertEqual(6, feed.revision)


class FeedTest(unittest.TestCase):
    def test_lost_history_leads_to_a_new_list(self):
        """Guards against missed changes after the store has dropped its history."""
        first = Success(KindList((make_object("a", 5),), 5))
        second = Success(KindList((make_object("b", 9),), 9))
        gone = Failure(HistoryGone("k"))
        store, recorder, _ = run_feed([(0, first), (0, second)], [(0.1, gone)])
        self.assertEqual([("list", ["a"]), ("list", ["b"])], recorder.events)
        self.assertEqual([5, 9], store.watched_revisions)

    def test_watch_resumes_from_last_revision_after_outage(self):
        """Guards against a feed that ends or lists everything again after an outage."""
        listed = Success(KindList((make_object("a", 5),), 5))
        change = KindChanges((KindChange(make_object("c", 8), False),), 8)
        watches = [(0.1, STORE_DOWN), (0.1, STORE_DOWN), (0.1, Success(change))]
        store, recorder, changes = run_feed([(0, listed)], watches)
        self.assertEqual([5, 5, 5, 8], store.watched_revisions)
        self.assertEqual(("changed", "c"), recorder.events[-1])
        self.assertEqual([False, True], changes)

    def test_failures_do_not_confirm(self):
        """Guards against keys that stay valid while the store is unavailable."""
        listed = Success(KindList((), 5))
        _, recorder, _ = run_feed([(0.2, listed)], [(0.1, STORE_DOWN)] * 50, 20.0)
        self.assertEqual([0.0], recorder.confirmations)

    def test_confirmation_time_comes_from_the_result(self):
        """Guards against delayed responses that count as fresh."""
        listed = Success(KindList((), 5, confirmed_after_s=-1.5))
        quiet = Success(KindChanges((), 5, confirmed_after_s=0.4))
        _, recorder, _ = run_feed([(0.3, listed)], [(2.0, quiet)])
        self.assertAlmostEqual(-1.5, recorder.confirmations[0])
        self.assertAlmostEqual(0.7, recorder.confirmations[1])

    def test_bursts_of_changes_are_read_together(self):
        """Guards against one billed call for each change of a burst."""
        listed = Success(KindList((), 5))
        one = Success(KindChanges((KindChange(make_object("a", 6), False),), 6))
        store, _, _ = run_feed([(0, listed)], [(0.0, one)] * 100, 3.0)
        self.assertLessEqual(len(store.watched_revisions), 12)


class CacheTest(unittest.TestCase):
    def test_reader_gets_missing_changes(self):
        """Guards against peers that miss a change or receive it twice."""
        cache = KindCache(Recorder(), boot_clock=lambda: 0.0)
        cache.replace_all((make_object("a", 5),), 5)
        cache.changed(make_object("b", 7))
        cache.removed("a", 9)
        self.assertEqual(["b", "a"], [c.object.name for c in cache.changes_since(5)])
        self.assertEqual([True], [c.removed for c in cache.changes_since(7)])
        self.assertEqual((), cache.changes_since(9))
        self.assertIsNone(cache.changes_since(4))

    def test_reader_far_behind_has_to_list(self):
        """Guards against a reader that receives only some of the changes."""
        cache = KindCache(Recorder(), boot_clock=lambda: 0.0)
        cache.replace_all((), 5)
        for revision in range(6, 600):
            cache.changed(make_object(f"a{revision}", revision))
        self.assertIsNone(cache.changes_since(6))
        self.assertIsNotNone(cache.changes_since(590))


if __name__ == "__main__":
    unittest.main()
