"""Tests of the removal of dead entries, on a paused clock.

The cases: VMs are replaced under new names; a failure domain or links between VMs
are down for minutes; an entry is unreachable for a while and recovers.
"""

import asyncio
import unittest

from returns.result import Failure, Success

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.entryregistry import EntryList, EntryRegistration
from monsoontack.gateway.entryremoval import (
    OUTAGE_REMOVE_AFTER_S,
    REMOVE_AFTER_S,
    SilentEntryRemover,
)
from monsoontack.gateway.peers import PeerEntry
from monsoontack.store.api import Conflict, KindObject


class EntryStore:
    """Store of the entries' objects that notifies listeners of each change."""

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
        for listener in self.listeners:
            listener.changed(self.objects[name])

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
        for listener in self.listeners:
            listener.removed(name, version)
        return Success(None)


def run_removers(size, seconds, is_alive, actions=None):
    """Run a remover on every entry; return the remaining names and the probes."""

    async def scenario():
        store = EntryStore([f"e{n}" for n in range(size)])
        loop, calls, tasks, removers = asyncio.get_running_loop(), [], [], []
        for name in list(store.objects):

            async def alive(peer, own=name):
                calls.append((loop.time(), own, peer.name))
                return is_alive(peer.name, loop.time())

            remover = SilentEntryRemover(name, "north", store, alive)
            entry_list = EntryList(
                lambda found, remover=remover: remover.set_entries(found.entries)
            )
            store.listeners.append(entry_list)
            entry_list.replace_all(tuple(store.objects.values()), store.revision)
            removers.append(remover)
            tasks.append(asyncio.ensure_future(remover.run()))
        for when, act in actions or ():
            loop.call_later(when, act, store)
        await asyncio.sleep(seconds)
        for task in tasks:
            task.cancel()
        return set(store.objects), calls

    return run_in_virtual_time(scenario())


class SilentEntryRemoverTest(unittest.TestCase):
    def test_dead_entry_is_removed(self):
        """Guards against a number of entries, the divisor of shared bounds, that only
        rises because dead entries stay in the list."""
        left, _ = run_removers(20, REMOVE_AFTER_S + 120, lambda name, at: name != "e7")
        self.assertEqual({f"e{n}" for n in range(20)} - {"e7"}, left)

    def test_entry_that_is_unreachable_for_a_while_stays(self):
        """Guards against the removal of an entry that was paused or cut off."""

        def is_alive(name, at):
            return name != "e7" or not 50 < at < 50 + REMOVE_AFTER_S - 60

        left, _ = run_removers(20, 3 * REMOVE_AFTER_S, is_alive)
        self.assertIn("e7", left)

    def test_failure_domain_that_is_down_stays(self):
        """Guards against per-entry bounds that grow while a failure domain is cut off,
        so that the shared bounds are exceeded when the domain returns."""
        down = {f"e{n}" for n in range(7)}
        left, _ = run_removers(
            20, OUTAGE_REMOVE_AFTER_S - 200, lambda name, at: name not in down
        )
        self.assertEqual(20, len(left))

    def test_entry_that_registered_again_is_not_removed(self):
        """Guards against the removal of a replacement entry with the same name."""

        async def scenario():
            store = EntryStore(["e1", "e2"])
            stale = PeerEntry("e2", "north", "e2:1", store.objects["e2"].revision)
            store.put("e2")
            remover = SilentEntryRemover("e1", "north", store, None)
            await remover._remove(stale, 999.0)
            return store.objects

        self.assertIn("e2", run_in_virtual_time(scenario()))

    def test_probe_rate_does_not_grow_with_the_fleet(self):
        """Guards against a probe of every entry by every other entry."""
        for size in (5, 60):
            _, calls = run_removers(size, 60.0, lambda name, at: True)
            self.assertLessEqual(len(calls), 30)


class RegistrationTest(unittest.TestCase):
    def test_removed_entry_registers_again(self):
        """Guards against an entry that serves requests but is not in the list."""

        async def scenario():
            store = EntryStore(["e1"])
            registration = EntryRegistration(PeerEntry("e2", "north", "e2:1"))
            entry_list = EntryList(
                lambda found: registration.entries_changed(found.listed, 2)
            )
            store.listeners.append(entry_list)
            task = asyncio.ensure_future(registration.run(store))
            await asyncio.sleep(1.0)
            await store.delete("entries/e2", store.objects["e2"].revision)
            await asyncio.sleep(1.0)
            task.cancel()
            return store

        store = run_in_virtual_time(scenario())
        self.assertEqual(["e2", "e2"], store.created)
        self.assertIn("e2", store.objects)


if __name__ == "__main__":
    unittest.main()
