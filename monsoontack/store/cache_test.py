"""Tests of the cache of all objects of a kind."""

import random
import tracemalloc
import unittest

from monsoontack.store.api import KindChange, KindObject
from monsoontack.store.cache import MAX_KEPT_CHANGES, KindCache
from monsoontack.store.feed_test import Recorder

SPEC_VALUES = 2000


def loaded_cache() -> KindCache:
    cache = KindCache(Recorder(), boot_clock=lambda: 0.0)
    cache.replace_all((), 1)
    return cache


def large_object(name: str, revision: int) -> KindObject:
    spec = [f"{revision}-{number}" for number in range(SPEC_VALUES)]
    return KindObject(name, revision, spec, None)


def grown_bytes(cache: KindCache, changes: int) -> int:
    """Return how much memory this many changes of one large object take."""
    cache.changed(large_object("main", 2))
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        for revision in range(3, 3 + changes):
            cache.changed(large_object("main", revision))
        return tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


class KeptChangesTest(unittest.TestCase):
    """The changes that a cache keeps for readers."""

    def test_changes_of_one_object_keep_only_its_newest_state(self):
        """Guards against a process that keeps all versions of a configuration."""
        one = grown_bytes(loaded_cache(), 1)
        many = grown_bytes(loaded_cache(), MAX_KEPT_CHANGES)
        self.assertGreater(one, 100_000)
        self.assertLess(many, 2 * one)

    def test_reader_of_any_revision_gets_to_the_present_state(self):
        """Guards against changes that are dropped although a reader needs them."""
        for seed in range(30):
            rng = random.Random(seed)
            cache, states = loaded_cache(), {1: {}}
            for revision in range(2, 3 * MAX_KEPT_CHANGES):
                name = f"o{rng.randrange(rng.choice((3, 2 * MAX_KEPT_CHANGES)))}"
                if rng.random() < 0.2:
                    cache.removed(name, revision)
                else:
                    cache.changed(KindObject(name, revision, None, None))
                states[revision] = dict(cache.objects)
            served = 0
            for revision, state in states.items():
                changes = cache.changes_since(revision)
                if changes is None:
                    self.assertLess(revision, cache.oldest_revision)
                    continue
                served += 1
                self.assertEqual(cache.objects, apply_changes(state, changes))
            self.assertGreaterEqual(served, MAX_KEPT_CHANGES)


def apply_changes(state: dict, changes: tuple[KindChange, ...]) -> dict:
    """Return the objects of a reader after some changes, in their order."""
    state, last = dict(state), 0
    for change in changes:
        assert change.object.revision > last
        last = change.object.revision
        state.pop(change.object.name, None)
        if not change.removed:
            state[change.object.name] = change.object
    return state


if __name__ == "__main__":
    unittest.main()
