"""Tests of the tree along which entries read the store, without a network.

The scenarios have hundreds of entries in two regions, and a store that fails, refuses
its readers or recovers.
"""

import random
import unittest

from monsoontack.gateway.peers import PeerEntry
from monsoontack.gateway.readtree import (
    FANOUT,
    MAX_READ_DELAY_S,
    READERS_PER_REGION,
    DirectReadLimiter,
    ReadPlan,
    plan_reads,
)


def make_peers(size, regions=("north", "south")):
    """Return entries by name, spread over the regions."""
    peers = {}
    for number in range(size):
        name = f"entry-{number}"
        region = regions[number % len(regions)]
        peers[name] = PeerEntry(name, region, f"10.0.0.{number}:1")
    return peers


def plan_all(peers):
    return {n: plan_reads(n, p.region, peers) for n, p in peers.items()}


def depth(name, plans):
    steps = 0
    while plans[name].parent is not None:
        name, steps = plans[name].parent.name, steps + 1
    return steps


class PlanTest(unittest.TestCase):
    def test_one_entry_reads_the_store_at_any_fleet_size(self):
        """Guards against a number of store calls that grows with the fleet."""
        for size in (1, 2, 5, 68, 390):
            plans = plan_all(make_peers(size))
            self.assertEqual(1, sum(p.parent is None for p in plans.values()))

    def test_children_and_depth_are_bounded(self):
        """Guards against an entry on a small VM that serves a whole region."""
        plans = plan_all(make_peers(390))
        children = [p.parent.name for p in plans.values() if p.parent is not None]
        most = max(children.count(name) for name in set(children))
        self.assertLessEqual(most, FANOUT + READERS_PER_REGION)
        self.assertLessEqual(max(depth(name, plans) for name in plans), 5)

    def test_only_one_entry_of_a_region_reads_across_regions(self):
        """Guards against all reads of a region passing the link between regions."""
        peers = make_peers(68)
        crossing = [
            name
            for name, plan in plan_all(peers).items()
            if plan.parent is not None and plan.parent.region != peers[name].region
        ]
        self.assertEqual(1, len(crossing))

    def test_entries_with_different_views_form_no_cycle(self):
        """Guards against entries that wait for each other while all are stale."""
        all_entries, rng = make_peers(40), random.Random(5)
        for _ in range(200):
            plans = {}
            for name, peer in all_entries.items():
                seen = {n: p for n, p in all_entries.items() if rng.random() < 0.6}
                plans[name] = plan_reads(name, peer.region, seen)
            for name in plans:
                self.assertLess(depth(name, plans), len(all_entries))

    def test_fallback_peers_do_not_grow_with_the_fleet(self):
        """Guards against a read that asks every entry when all are stale."""
        for plan in plan_all(make_peers(390)).values():
            self.assertLessEqual(len(plan.fallback_peers), READERS_PER_REGION + 1)


class DirectReadLimiterTest(unittest.TestCase):
    def call_times(self, seconds, fleet_size=68):
        """Return the times of the store calls of all entries during an outage."""
        times = []
        for name, plan in plan_all(make_peers(fleet_size)).items():
            limiter = DirectReadLimiter(random.Random(name))
            now = 0.0
            while now < seconds:
                if limiter.may_read(plan, now):
                    times.append(now)
                    limiter.note_failure(plan, now)
                now += 0.1
        return times

    def test_outage_costs_few_calls_at_any_fleet_size(self):
        """Guards against every entry calling a store that is down."""
        for fleet_size in (68, 390):
            late_calls = [at for at in self.call_times(20.0, fleet_size) if at > 3.0]
            self.assertLessEqual(len(late_calls) / 17.0, 25.0)

    def test_every_entry_reads_the_store_within_the_maximum_delay(self):
        """Guards against an entry that never reads the store although its peers are
        cut off from it."""
        for name, plan in plan_all(make_peers(390)).items():
            limiter, now = DirectReadLimiter(random.Random(name)), 0.0
            while not limiter.may_read(plan, now):
                now += 0.05
            self.assertLessEqual(now, MAX_READ_DELAY_S + 0.05)

    def test_success_restarts_the_delay(self):
        """Guards against a burst of calls at the start of a second outage."""
        plan = ReadPlan(is_reader=False, fleet_size=400)
        limiter = DirectReadLimiter(random.Random(1))
        self.assertFalse(limiter.may_read(plan, 0.0))
        self.assertTrue(limiter.may_read(plan, 5.0))
        limiter.note_success()
        self.assertFalse(limiter.may_read(plan, 6.0))


if __name__ == "__main__":
    unittest.main()
