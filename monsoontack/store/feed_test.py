"""Tests of following a kind of objects, on a paused clock."""

import asyncio
import random
import unittest

from returns.result import Failure, Success

from monsoontack.core.pausedloop import run_paused
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
        feed.boot = loop.time
        feed.on_dependency = lambda kind, up, reason: changes.append(up)
        task = asyncio.ensure_future(feed.run())
        await asyncio.sleep(seconds)
        task.cancel()
        return store, recorder, changes

    return run_paused(scenario())


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
        cache = KindCache(Recorder(), boot=lambda: 0.0)
        cache.replace_all((item("a", 5),), 5)
        cache.changed(item("b", 7))
        cache.removed("a", 9)
        self.assertEqual(["b", "a"], [c.object.name for c in cache.since(5)])
        self.assertEqual([True], [c.removed for c in cache.since(7)])
        self.assertEqual((), cache.since(9))
        self.assertIsNone(cache.since(4))

    def test_reader_far_behind_has_to_list(self):
        """Guards against a reader that is served a part of the changes."""
        cache = KindCache(Recorder(), boot=lambda: 0.0)
        cache.replace_all((), 5)
        for revision in range(6, 600):
            cache.changed(item("a", revision))
        self.assertIsNone(cache.since(6))
        self.assertIsNotNone(cache.since(590))


if __name__ == "__main__":
    unittest.main()
