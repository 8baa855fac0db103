"""Tests of chunks, heads and their differences."""

import unittest

from monsoontack.config.check_test import VALID_OBJECTS, account
from monsoontack.config.revision import (
    HEAD_KEY,
    Head,
    apply_delta,
    build_view,
    chunk_key,
    decode_head,
    load_chunk,
    make_delta,
    seed_store,
    uid_revision,
)
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.store.memory import MemoryStore


class RevisionTest(unittest.TestCase):
    def test_seeded_store_gives_the_view(self):
        """Guards against chunks that do not give back the objects written."""

        async def scenario():
            store = MemoryStore()
            await seed_store(store, VALID_OBJECTS)
            head = decode_head((await store.get(HEAD_KEY)).unwrap().value)
            records = {}
            for name, digest in head.chunks.items():
                value = (await store.get(chunk_key(digest))).unwrap().value
                records[digest] = load_chunk(name, value)
            return build_view(head, records)

        view = run_in_virtual_time(scenario())
        self.assertEqual((("v1", 100.0),), view.services["desk"].shares)
        self.assertEqual({("desk", "v1"), ("desk", "v2")}, set(view.versions))
        self.assertEqual("b", view.find_account("2" * 64).name)
        self.assertEqual(1, uid_revision(view.rollouts["up"].uid))

    def test_seed_with_an_error_is_refused(self):
        """Guards against a first revision that no publisher would accept."""
        with self.assertRaisesRegex(ValueError, r"seed\[0\]: spec.weight"):
            run_in_virtual_time(
                seed_store(MemoryStore(), [account("a", "1", weight=-1)])
            )

    def test_delta_leads_from_any_base(self):
        """Guards against a delta applied to a head that it was not made from."""
        old = Head(4, 1, {"a": "1", "b": "2"})
        new = Head(5, 2, {"b": "3", "c": "4"})
        self.assertEqual(new, apply_delta(old, make_delta(old, new)))
        self.assertEqual(new, apply_delta(old, make_delta(None, new)))
        self.assertIsNone(apply_delta(Head(3, 1, {}), make_delta(old, new)))


if __name__ == "__main__":
    unittest.main()
