"""Tests of through whom entries read the store, without a network.

The pattern: hundreds of entries in two regions, a store that fails, turns its
readers away or comes back.
"""

import random
import unittest

from monsoontack.gateway.peers import PeerEntry
from monsoontack.gateway.readtree import (
    FANOUT,
    MAX_PATIENCE_S,
    READERS,
    DirectReadLimiter,
    ReadPlan,
    plan_reads,
)


def fleet(size, regions=("north", "south")):
    """Return entries by name, spread over regions."""
    found = {}
    for number in range(size):
        name = f"entry-{number}"
        region = regions[number % len(regions)]
        found[name] = PeerEntry(name, region, f"10.0.0.{number}:1")
    return found


def plans(peers):
    return {n: plan_reads(n, p.region, peers) for n, p in peers.items()}


def depth(name, found):
    steps = 0
    while found[name].parent is not None:
        name, steps = found[name].parent.name, steps + 1
    return steps


class PlanTest(unittest.TestCase):
    def test_one_entry_reads_the_store_whatever_the_size(self):
        """Guards against store calls that grow with the fleet."""
        for size in (1, 2, 5, 68, 390):
            found = plans(fleet(size))
            self.assertEqual(1, sum(p.parent is None for p in found.values()))

    def test_work_for_others_and_depth_are_bounded(self):
        """Guards against an entry with a small VM that answers a whole region."""
        found = plans(fleet(390))
        children = [p.parent.name for p in found.values() if p.parent is not None]
        most = max(children.count(name) for name in set(children))
        self.assertLessEqual(most, FANOUT + READERS)
        self.assertLessEqual(max(depth(name, found) for name in found), 5)

    def test_only_one_entry_of_a_region_reads_across_regions(self):
        """Guards against a link between regions that carries all reads."""
        peers = fleet(68)
        crossing = [
            name
            for name, plan in plans(peers).items()
            if plan.parent is not None and plan.parent.region != peers[name].region
        ]
        self.assertEqual(1, len(crossing))

    def test_entries_with_different_views_form_no_circle(self):
        """Guards against entries that wait for each other while all are behind."""
        everyone, rng = fleet(40), random.Random(5)
        for _ in range(200):
            found = {}
            for name, peer in everyone.items():
                seen = {n: p for n, p in everyone.items() if rng.random() < 0.6}
                found[name] = plan_reads(name, peer.region, seen)
            for name in found:
                self.assertLess(depth(name, found), len(everyone))

    def test_asked_entries_do_not_grow_with_the_fleet(self):
        """Guards against a read that asks every entry when all are behind."""
        for plan in plans(fleet(390)).values():
            self.assertLessEqual(len(plan.others), READERS + 1)


class OwnReadsTest(unittest.TestCase):
    def calls_during(self, seconds, entries=68):
        """Return the calls of all entries during an outage of the store."""
        calls = []
        for name, plan in plans(fleet(entries)).items():
            own = DirectReadLimiter(random.Random(name))
            now = 0.0
            while now < seconds:
                if own.may_read(plan, now):
                    calls.append(now)
                    own.note_failed(plan, now)
                now += 0.1
        return calls

    def test_outage_costs_few_calls_whatever_the_size(self):
        """Guards against entries that all ask a store that is down."""
        for entries in (68, 390):
            late = [at for at in self.calls_during(20.0, entries) if at > 3.0]
            self.assertLessEqual(len(late) / 17.0, 25.0)

    def test_every_entry_has_tried_within_the_bound_for_news(self):
        """Guards against an entry that never asks although its peers are cut off."""
        for name, plan in plans(fleet(390)).items():
            own, now = DirectReadLimiter(random.Random(name)), 0.0
            while not own.may_read(plan, now):
                now += 0.05
            self.assertLessEqual(now, MAX_PATIENCE_S + 0.05)

    def test_entry_that_had_news_waits_anew(self):
        """Guards against a burst of calls at the second outage of a day."""
        plan = ReadPlan(is_reader=False, entries=400)
        own = DirectReadLimiter(random.Random(1))
        self.assertFalse(own.may_read(plan, 0.0))
        self.assertTrue(own.may_read(plan, 5.0))
        own.note_news()
        self.assertFalse(own.may_read(plan, 6.0))


if __name__ == "__main__":
    unittest.main()
