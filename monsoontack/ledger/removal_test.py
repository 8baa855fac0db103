"""Tests of removing expired call records."""

import unittest

from returns.result import Failure

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.ledger.records import CallRecord, RecordState, record_key
from monsoontack.ledger.removal import (
    RECORD_LIFETIME_S,
    RemovalCursor,
    next_prefix,
    remove_expired,
)
from monsoontack.store.api import LIST_TOO_LARGE, Unavailable
from monsoontack.store.memory import MemoryStore

NOW = 1_000_000.0


def record(age_s):
    claimed = NOW - age_s
    return CallRecord(RecordState.DONE, "w", "d", "s", claimed, 10.0).encode()


class LimitedStore(MemoryStore):
    """Refuses lists of more than `limit` objects."""

    limit = 300

    async def list(self, prefix):
        result = await super().list(prefix)
        if len(result.unwrap()) > self.limit:
            return Failure(Unavailable(prefix, LIST_TOO_LARGE))
        return result


class RemovalTest(unittest.TestCase):
    def run_rounds(self, store, accounts, steps, **options):
        async def scenario():
            cursor, reports = RemovalCursor(), []
            for _ in range(steps):
                result = await remove_expired(
                    store, cursor, accounts, lambda: NOW, **options
                )
                reports.append(result.unwrap())
                cursor = reports[-1].cursor
            return reports

        return run_in_virtual_time(scenario())

    def fill(self, store, account, count, age_s):
        async def scenario():
            for number in range(count):
                await store.create(
                    record_key(account, f"{age_s}-{number}"), record(age_s)
                )

        run_in_virtual_time(scenario())

    def test_only_expired_records_go(self):
        """Guards against a key that is free again within 24 h."""
        store = MemoryStore()
        self.fill(store, "a", 5, RECORD_LIFETIME_S + 10)
        self.fill(store, "a", 7, RECORD_LIFETIME_S - 10)
        self.fill(store, "b", 3, RECORD_LIFETIME_S + 10)
        self.run_rounds(store, ["a", "b"], 2)
        self.assertEqual(7, len(store.objects))

    def test_steps_are_bounded_and_reach_every_record(self):
        """Guards against a step that removes or lists without limit."""
        store = LimitedStore()
        self.fill(store, "a", 1200, RECORD_LIFETIME_S + 10)
        self.fill(store, "b", 30, RECORD_LIFETIME_S + 10)
        reports = self.run_rounds(store, ["a", "b"], 80, max_removals=20)
        self.assertEqual({}, store.objects)
        self.assertLessEqual(max(report.removed for report in reports), 20)
        self.assertLessEqual(max(report.listed for report in reports), 300)

    def test_record_claimed_again_stays(self):
        """Guards against removing a record that changed after the list."""

        class RacingStore(MemoryStore):
            async def delete(self, key, version):
                await self.update(key, record(0), version)
                return await super().delete(key, version)

        store = RacingStore()
        self.fill(store, "a", 1, RECORD_LIFETIME_S + 10)
        (report,) = self.run_rounds(store, ["a"], 1)
        self.assertEqual(0, report.removed)
        self.assertEqual(1, len(store.objects))

    def test_prefixes_cover_a_width(self):
        """Guards against a part of the records that is never listed."""
        prefix, count = "00", 0
        while prefix is not None:
            prefix, count = next_prefix(prefix), count + 1
        self.assertEqual(256, count)


if __name__ == "__main__":
    unittest.main()
