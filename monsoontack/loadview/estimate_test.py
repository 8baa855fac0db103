"""Tests of the groups of gateways and of the estimate of what others use."""

import random
import unittest
from collections import Counter

from monsoontack.core.records import BackendServer, Place
from monsoontack.gateway.fleet import Member
from monsoontack.gateway.peers import PeerEntry
from monsoontack.gateway.records import EngineTraits
from monsoontack.loadview.estimate import UsageEstimator
from monsoontack.loadview.groups import MAX_GROUP_GATEWAYS, group_of, parts_of
from monsoontack.loadview.messages import NO_USAGE, EngineUsage
from monsoontack.routing.placement import EngineCandidate, choose_engine

PLACES = [Place(f"d{n}", "north" if n < 3 else "south") for n in range(6)]
TRAITS = EngineTraits(slots=16, memory_tokens=88_000)


def gateways(count):
    names = [f"gateway-{n}" for n in range(count)]
    regions = ["north" if n % 3 else "south" for n in range(count)]
    return {
        n: PeerEntry(n, region, "a") for n, region in zip(names, regions, strict=True)
    }


def engines(count):
    return [
        Member(BackendServer(f"a{n}", "", "engine", "chat", (), PLACES[n % 6], 16))
        for n in range(count)
    ]


class GroupsTest(unittest.TestCase):
    def test_members_of_a_group_exchange_load_with_each_other(self):
        """Guards against gateways that place at engines whose load they do not hear,
        and against groups of different size, whose engines get different load."""
        for count in (1, 33, 34, 68, 390):
            entries = gateways(count)
            groups = {name: group_of(name, entries) for name in entries}
            sizes = Counter(group.index for group in groups.values())
            self.assertLessEqual(max(sizes.values()), MAX_GROUP_GATEWAYS)
            self.assertLessEqual(max(sizes.values()) - min(sizes.values()), 1)
            self.assertEqual(-(-count // 33), len(sizes))
            for name, group in groups.items():
                for peer in group.members:
                    self.assertIn(name, groups[peer].members)
                self.assertEqual(sizes[group.index] - 1, len(group.members))

    def test_gateway_that_stops_moves_few_others(self):
        """Guards against all gateways losing their view at each start or stop."""
        entries = gateways(390)
        fewer = {n: p for n, p in entries.items() if n != "gateway-7"}
        moved = sum(
            group_of(n, entries).index != group_of(n, fewer).index for n in fewer
        )
        self.assertLess(moved, 12)

    def test_parts_are_equal_and_survive_the_restart_of_a_domain(self):
        """Guards against a part whose servers are all in the domain that restarts, and
        against a restart that moves servers whose load the new part does not know."""
        servers = engines(704)
        parts = parts_of(servers, 12, 12)
        sizes = Counter(parts.values())
        self.assertEqual(12, len(sizes))
        self.assertLessEqual(max(sizes.values()) - min(sizes.values()), 3)
        left = [m for m in servers if m.server.place != PLACES[0]]
        self.assertEqual({m.limit_key: parts[m.limit_key] for m in left},
                         parts_of(left, 12, 12))  # fmt: skip
        by_domain = Counter(parts[m.limit_key] for m in left)
        self.assertGreater(min(by_domain.values()), 40)

    def test_parts_have_servers_in_proportion_to_their_gateways(self):
        """Guards against a part that twice as many gateways use as another one of the
        same size."""
        entries = gateways(390)
        group = group_of("gateway-0", entries)
        part_count = group.part_count(100)
        self.assertEqual(8, part_count)
        sizes = Counter(parts_of(engines(100), group.count, part_count).values())
        for part in range(part_count):
            groups = len(range(part, group.count, part_count))
            self.assertAlmostEqual(100 * groups / 12, sizes[part], delta=3)


class EstimateTest(unittest.TestCase):
    def setUp(self):
        self.entries = gateways(68)
        self.group = group_of("gateway-0", self.entries)
        heard = {n: p.region for n, p in self.group.members.items()}
        self.estimator = UsageEstimator(self.group, heard)

    def estimate(self, servers, usage_by_peer):
        return self.estimator.estimate(usage_by_peer, "chat", servers, TRAITS)

    def choose(self, servers, usage):
        candidates = []
        for member in servers:
            known = usage.get(member.limit_key, NO_USAGE)
            candidate = EngineCandidate(
                key=member.limit_key,
                place=PLACES[0],
                in_flight=known.runs,
                slots=16,
                waiting_tokens=known.waiting_tokens,
                held_tokens=known.held_tokens,
                memory_tokens=88_000,
            )
            candidates.append(candidate)
        return choose_engine(candidates, PLACES[0], 9000, random.Random(1)).key

    def own_and_other_parts(self, servers):
        parts = parts_of(servers, 3, 3)
        own = self.group.index % 3
        return [[k for k, p in parts.items() if (p == own) is is_own]
                for is_own in (True, False)]  # fmt: skip

    def test_engines_of_the_own_part_are_used_first(self):
        """Guards against idle-looking engines whose load only other groups know."""
        servers = engines(120)
        own, _ = self.own_and_other_parts(servers)
        peer = next(iter(self.group.members))
        busy = {key: EngineUsage(3, 16_000, 27_000) for key in own}
        for usage_by_peer in ({}, {peer: busy}):
            usage = self.estimate(servers, usage_by_peer)
            for key in own:
                self.assertEqual(
                    usage_by_peer.get(peer, {}).get(key, NO_USAGE),
                    usage.get(key, NO_USAGE),
                )
            self.assertIn(self.choose(servers, usage), own)
            self.assertEqual({}, self.estimator.waiting_factors("chat"))

    def test_a_full_part_overflows_into_one_other(self):
        """Guards against streams that wait or end as `full` while another group has
        room, and against every group filling the engines of all others."""
        servers = engines(120)
        own, others = self.own_and_other_parts(servers)
        peer = next(iter(self.group.members))
        full = {key: EngineUsage(16, 8000, 88_000) for key in own}
        usage = self.estimate(servers, {peer: full})
        self.assertIn(self.choose(servers, usage), others)
        usable = [key for key in others if usage[key].runs < 16]
        self.assertAlmostEqual(len(others) / 2, len(usable), delta=3)
        again = full | {key: EngineUsage(1, 8000, 9000) for key in usable}
        self.assertFalse(
            [k for k, u in self.estimate(servers, {peer: again}).items() if u.runs < 16]
        )

    def test_few_servers_are_shared_and_usage_is_scaled(self):
        """Guards against a service of few engines that all groups use, of which each
        group sees only a part of the load."""
        servers = engines(6)
        run = {servers[0].limit_key: EngineUsage(1, 8000, 9000)}
        usage = self.estimate(servers, dict.fromkeys(self.group.members, run))
        self.assertEqual({servers[0].limit_key}, set(usage))
        self.assertEqual(67, usage[servers[0].limit_key].runs)
        factors = self.estimator.waiting_factors("chat")
        self.assertEqual(67, round(sum(factors.values())))
        self.assertEqual(68, self.estimator.sharing_count(6))
        self.assertLessEqual(self.estimator.sharing_count(120), 33)


if __name__ == "__main__":
    unittest.main()
