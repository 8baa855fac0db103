"""Tests of the platform store client against a stand-in server on loopback."""

import unittest
from dataclasses import replace

from returns.result import Success

from monsoontack.platform.store import PlatformStore
from monsoontack.store.api import (
    Ambiguous,
    Conflict,
    HistoryGone,
    NotFound,
    Unavailable,
)
from standins.platformstore import SimulatedPlatformStore


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = SimulatedPlatformStore()
        await self.standin.start()
        self.store = PlatformStore(self.standin.address)

    async def asyncTearDown(self):
        self.store.pool.close()
        await self.standin.close()

    async def test_list_of_several_pages(self):
        """Guards against objects on later pages that are missing from the list."""
        for number in range(8):
            self.standin.put("servers", f"s{number}", {"n": number})
        listed = (await self.store.list_kind("servers")).unwrap()
        self.assertEqual([f"s{n}" for n in range(8)], [o.name for o in listed.objects])
        self.assertEqual(self.standin.revision, listed.revision)

    async def test_watch_returns_changes_and_removals(self):
        """Guards against changes that are lost between two watches."""
        self.standin.put("k", "a", 1)
        since = self.standin.revision
        self.standin.put("k", "b", 2)
        self.standin.remove("k", "a")
        found = (await self.store.watch_kind("k", since, 1.0)).unwrap()
        rows = [(c.object.name, c.removed) for c in found.changes]
        self.assertEqual([("b", False), ("a", True)], rows)
        self.assertEqual(0.0, found.confirmed_after_s)

    async def test_watch_without_changes_confirms_its_end(self):
        """Guards against a confirmation time that makes data look older than it is."""
        found = (await self.store.watch_kind("k", 500, 0.3)).unwrap()
        self.assertEqual((), found.changes)
        self.assertGreater(found.confirmed_after_s, 0.15)
        self.assertLess(found.confirmed_after_s, 0.3)

    async def test_stale_reads_are_requested_explicitly(self):
        """Guards against paying the full price for the list of entries, and against
        stale responses where current data is needed.
        """
        self.standin.put("k", "a", 1)
        await self.store.list_kind("k")
        self.assertEqual(0, self.standin.serializable_reads)
        cheap = replace(self.store, allow_stale_reads=True)
        listed = (await cheap.list_kind("k")).unwrap()
        await cheap.watch_kind("k", listed.revision, 0.1)
        self.assertEqual(2, self.standin.serializable_reads)
        self.assertEqual(["a"], [item.name for item in listed.objects])

    async def test_dropped_history(self):
        """Guards against a watch that silently skips dropped revisions."""
        self.standin.expire_history = True
        result = await self.store.watch_kind("k", 1, 1.0)
        self.assertIsInstance(result.failure(), HistoryGone)

    async def test_conditional_writes(self):
        """Guards against two writers that both acquire the same object."""
        created = (await self.store.create("leases/c", b'{"n":1}')).unwrap()
        again = (await self.store.create("leases/c", b'{"n":2}')).failure()
        self.assertIsInstance(again, Conflict)
        self.assertEqual(b'{"n": 1}', again.current.value)
        old = created.version
        newer = (await self.store.update("leases/c", b'{"n":3}', old)).unwrap()
        result = await self.store.update("leases/c", b'{"n":4}', old)
        self.assertIsInstance(result.failure(), Conflict)
        self.assertEqual(newer, (await self.store.get("leases/c")).unwrap())
        removed = await self.store.delete("leases/c", newer.version)
        self.assertIsInstance(removed, Success)
        missing = (await self.store.get("leases/c")).failure()
        self.assertIsInstance(missing, NotFound)

    async def test_lost_response_is_ambiguous_and_not_retried(self):
        """Guards against a write that is sent twice or assumed to have failed."""
        self.standin.lost_write_responses = 1
        result = await self.store.create("k/a", b"1")
        self.assertIsInstance(result.failure(), Ambiguous)
        self.assertEqual(1, self.standin.calls)
        self.assertIn("a", self.standin.kinds["k"])

    async def test_rejected_write_is_unavailable(self):
        """Guards against a rejected write that is reported as ambiguous."""
        for status in (429, 503):
            self.standin.error_status = status
            result = await self.store.create("k/a", b"1")
            self.assertIsInstance(result.failure(), Unavailable)

    async def test_status_is_written_conditionally(self):
        """Guards against a paused lease holder that overwrites a newer status."""
        self.standin.put("rollouts", "s", {"target": "v2"})
        revision = self.standin.revision
        written = await self.store.put_status("rollouts/s", {"state": "x"}, revision)
        self.assertIsInstance(written, Success)
        late = await self.store.put_status("rollouts/s", {"state": "y"}, revision)
        self.assertIsInstance(late.failure(), Conflict)
        found = self.standin.kinds["rollouts"]["s"]
        self.assertEqual({"state": "x"}, found["status"])
        self.assertEqual({"target": "v2"}, found["spec"])

    async def test_malformed_object_does_not_hide_the_others(self):
        """Guards against one malformed object that makes the whole list unreadable."""
        self.standin.put("servers", "a", {"n": 1})
        self.standin.put("servers", "b", {"n": 2})
        self.standin.kinds["servers"]["a"]["metadata"]["revision"] = "x"
        listed = (await self.store.list_kind("servers")).unwrap()
        self.assertEqual(["a", "b"], [o.name for o in listed.objects])
        self.assertIsNone(listed.objects[0].spec)


if __name__ == "__main__":
    unittest.main()
