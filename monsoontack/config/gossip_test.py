"""Tests of single steps of gossip."""

import random
import unittest

from monsoontack.config.check_test import VALID_OBJECTS, account
from monsoontack.config.gossip import step
from monsoontack.config.gossip_state import (
    STORE,
    Adopted,
    ChunksFetched,
    DigestReceived,
    Fetch,
    GossipState,
    HeadRead,
    MembersChanged,
    PeerDigest,
    Pull,
    Push,
)
from monsoontack.config.objects import parse_objects, to_document
from monsoontack.config.revision import make_delta, make_revision
from monsoontack.core.records import Place, VmRecord


def vm(name, domain="a"):
    return VmRecord(name, "entry", name, "", Place(domain, "r"))


def revision(number, *extra):
    objects = parse_objects("test", [*VALID_OBJECTS, *extra]).unwrap()
    return make_revision([to_document(item) for item in objects], number)


class GossipTest(unittest.TestCase):
    def setUp(self):
        self.rng = random.Random(5)
        self.state = GossipState(vm("me"), "me")
        self.apply(MembersChanged((vm("p1"), vm("p2"), vm("p3"))))

    def apply(self, event):
        self.state, actions = step(self.state, event, 10.0, self.rng)
        return actions

    def hear(self, peer, head, base=None, reply=True):
        delta = make_delta(base, head)
        return self.apply(
            DigestReceived(PeerDigest(peer, peer, head.revision, delta), reply=reply)
        )

    def fetches(self, actions):
        return [item for item in actions if isinstance(item, Fetch)]

    def test_fetches_from_the_next_source_after_a_failure(self):
        """Guards against a process that waits for a dead peer's chunks while
        another peer has them."""
        head, values = revision(3)
        (fetch,) = self.fetches(self.hear("p1", head))
        self.assertEqual("p1", fetch.source)
        self.assertEqual([], self.fetches(self.hear("p2", head)))
        (fetch,) = self.fetches(self.apply(ChunksFetched("p1", 3, {})))
        self.assertEqual("p2", fetch.source)
        (fetch,) = self.fetches(self.apply(ChunksFetched("p2", 3, {})))
        self.assertEqual(STORE, fetch.source)
        actions = self.apply(ChunksFetched(STORE, 3, values))
        self.assertEqual(3, self.state.view.revision)
        self.assertEqual(3, len([item for item in actions if isinstance(item, Push)]))

    def test_wrong_chunk_is_not_adopted(self):
        """Guards against a configuration from a damaged or partial reply."""
        head, values = revision(3)
        self.hear("p1", head)
        damaged = {digest: value + b" " for digest, value in values.items()}
        actions = self.apply(ChunksFetched("p1", 3, damaged))
        self.assertEqual(STORE, self.fetches(actions)[0].source)
        first = dict(list(values.items())[:2])
        (fetch,) = self.fetches(self.apply(ChunksFetched(STORE, 3, first)))
        self.assertEqual(set(values) - set(first), set(fetch.digests))
        self.assertEqual(0, self.state.view.revision)

    def test_late_reply_for_a_replaced_head(self):
        """Guards against a late reply that counts as a failure of its source."""
        old, values = revision(3)
        new, new_values = revision(4, account("c", "9"))
        self.hear("p1", old)
        (fetch,) = self.fetches(self.hear("p1", new))
        self.assertEqual(4, fetch.revision)
        self.assertEqual([], self.apply(ChunksFetched("p1", 3, values)))
        actions = self.apply(ChunksFetched("p1", 4, {**values, **new_values}))
        self.assertTrue(any(isinstance(item, Adopted) for item in actions))
        self.assertEqual([], self.hear("p2", old, reply=False))
        self.assertEqual(4, self.state.view.revision)

    def test_asks_for_the_head_if_the_delta_has_another_base(self):
        """Guards against a process that missed a revision and then applies a
        delta to the wrong head, or waits a second for its next pull."""
        base, _ = revision(3)
        head, _ = revision(4, account("c", "9"))
        actions = self.hear("p1", head, base, reply=False)
        self.assertEqual(["p1"], [a.address for a in actions if isinstance(a, Pull)])
        self.assertEqual([], self.hear("p2", head, base, reply=False))

    def test_store_head_is_fetched_from_a_peer_if_much_is_missing(self):
        """Guards against 390 entries that each read all chunks from the store."""
        names = [account(f"n{i}", "9") for i in range(60)]
        documents = [to_document(a) for a in parse_objects("t", names).unwrap()]
        head, values = make_revision(documents, 2)
        (fetch,) = self.fetches(self.apply(HeadRead(head, 7)))
        self.assertIn(fetch.source, ("p1", "p2", "p3"))
        (fetch,) = self.fetches(self.apply(ChunksFetched(fetch.source, 2, {})))
        self.assertEqual(STORE, fetch.source)
        self.assertFalse(self.state.started)
        self.apply(ChunksFetched(STORE, 2, values))
        self.assertTrue(self.state.started)


if __name__ == "__main__":
    unittest.main()
