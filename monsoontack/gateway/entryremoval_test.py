"""Tests of entries that leave the list, on a paused clock.

The pattern: VMs are replaced under new names all day; a failure domain is down or
links are cut for minutes; an entry is silent and comes back.
"""

import asyncio
import unittest

from returns.result import Failure, Success

from monsoontack.core.pausedloop import run_paused
from monsoontack.gateway.entryregistry import EntryList, EntryRegistration
from monsoontack.gateway.entryremoval import GONE_AFTER_S, OUTAGE_S, SilentEntryRemover
from monsoontack.gateway.peers import PeerEntry
from monsoontack.store.api import Conflict, KindObject


class EntryStore:
    """Keeps entries' objects and tells a census of each change."""

    def __init__(self, names):
        self.revision = 0
        self.objects = {}
        self.listeners = []
        self.created = []
        for name in names:
            self.put(name)

    def put(self, name):
        self.revision += 1
        spec = {"region": "north", "peer": f"{name}:1"}
        self.objects[name] = KindObject(name, self.revision, spec, None)
        for census in self.listeners:
            census.changed(self.objects[name])

    async def create(self, key, value):
        name = key.partition("/")[2]
        self.created.append(name)
        self.put(name)
        return Success(None)

    async def delete(self, key, version):
        name = key.partition("/")[2]
        if self.objects[name].revision != version:
            return Failure(Conflict(key, None))
        del self.objects[name]
        for census in self.listeners:
            census.removed(name, version)
        return Success(None)


def play(size, seconds, is_alive, at=None):
    """Let every entry watch; return the names left and the calls that were made."""

    async def scenario():
        store = EntryStore([f"e{n}" for n in range(size)])
        loop, calls, tasks, watching = asyncio.get_running_loop(), [], [], []
        for name in list(store.objects):

            async def alive(peer, own=name):
                calls.append((loop.time(), own, peer.name))
                return is_alive(peer.name, loop.time())

            departures = SilentEntryRemover(name, "north", store, alive)
            census = EntryList(departures.set_entries)
            store.listeners.append(census)
            census.replace_all(tuple(store.objects.values()), store.revision)
            watching.append(departures)
            tasks.append(asyncio.ensure_future(departures.run()))
        for when, act in at or ():
            loop.call_later(when, act, store)
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        return set(store.objects), calls

    return run_paused(scenario())


class SilentEntryRemoverTest(unittest.TestCase):
    def test_entry_that_is_gone_leaves_the_list(self):
        """Guards against a divisor of shared bounds that only rises."""
        left, _ = play(20, GONE_AFTER_S + 120, lambda name, at: name != "e7")
        self.assertEqual({f"e{n}" for n in range(20)} - {"e7"}, left)

    def test_entry_that_is_silent_for_a_while_stays(self):
        """Guards against an entry that is counted out after a pause or a cut."""

        def is_alive(name, at):
            return name != "e7" or not 50 < at < 50 + GONE_AFTER_S - 60

        left, _ = play(20, 3 * GONE_AFTER_S, is_alive)
        self.assertIn("e7", left)

    def test_failure_domain_that_is_down_stays(self):
        """Guards against bounds that grow while a domain is cut off, so that all are
        exceeded when it returns."""
        down = {f"e{n}" for n in range(7)}
        left, _ = play(20, OUTAGE_S - 200, lambda name, at: name not in down)
        self.assertEqual(20, len(left))

    def test_entry_that_registered_again_is_not_removed(self):
        """Guards against the removal of a new entry under the old one's name."""

        async def scenario():
            store = EntryStore(["e1", "e2"])
            stale = PeerEntry("e2", "north", "e2:1", store.objects["e2"].revision)
            store.put("e2")
            departures = SilentEntryRemover("e1", "north", store, None)
            await departures._remove(stale, 999.0)
            return store.objects

        self.assertIn("e2", run_paused(scenario()))

    def test_work_does_not_grow_with_the_fleet(self):
        """Guards against questions by every entry to every other."""
        for size in (5, 60):
            _, calls = play(size, 60.0, lambda name, at: True)
            self.assertLessEqual(len(calls), 30)


class RegistrationTest(unittest.TestCase):
    def test_entry_that_was_taken_for_gone_registers_again(self):
        """Guards against an entry that serves but is in nobody's count."""

        async def scenario():
            store = EntryStore(["e1"])
            registration = EntryRegistration(PeerEntry("e2", "north", "e2:1"))
            census = EntryList(registration.entries_changed)
            store.listeners.append(census)
            task = asyncio.ensure_future(registration.run(store))
            await asyncio.sleep(1.0)
            await store.delete("entries/e2", store.objects["e2"].revision)
            await asyncio.sleep(1.0)
            task.cancel()
            return store

        store = run_paused(scenario())
        self.assertEqual(["e2", "e2"], store.created)
        self.assertIn("e2", store.objects)


if __name__ == "__main__":
    unittest.main()
