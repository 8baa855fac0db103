"""Tests of the selection of links."""

import unittest
from collections import Counter

from monsoontack.core.records import Place, VmRecord
from monsoontack.membership.subset import choose_links, local_subset

ENTRIES = [f"entry-{index}" for index in range(60)]
AGENTS = [f"10.0.0.{index}:7000" for index in range(100)]
HERE, FAR = Place("almaty-a", "Almaty"), Place("shymkent-a", "Shymkent")


def subsets(entries, agents):
    return {e: set(local_subset(e, entries, agents, 16)) for e in entries}


class SubsetTest(unittest.TestCase):
    def test_every_agent_gets_about_equally_many_links(self):
        """Guards against engines that get requests from no or too many entries."""
        links = subsets(ENTRIES, AGENTS)
        degrees = Counter(agent for chosen in links.values() for agent in chosen)
        self.assertEqual(len(AGENTS), len(degrees))
        self.assertLessEqual(max(degrees.values()), 2 * min(degrees.values()))
        self.assertGreaterEqual(min(map(len, links.values())), 12)
        self.assertLessEqual(max(map(len, links.values())), 24)

    def test_replaced_vm_moves_few_links(self):
        """Guards against reconnection of the whole fleet when one VM is replaced."""
        before = subsets(ENTRIES, AGENTS)
        total = sum(map(len, before.values()))
        for entries, agents in (
            (ENTRIES, AGENTS[1:] + ["10.0.1.1:7000"]),
            (ENTRIES[1:] + ["entry-new"], AGENTS),
        ):
            after = subsets(entries, agents)
            opened = sum(len(after[e] - before[e]) for e in after if e in before)
            self.assertLess(opened, 0.08 * total)

    def test_small_deployment_links_everything_of_its_region_first(self):
        """Guards against lost redundancy in deployments with few entries."""
        records = [
            VmRecord(f"vm-{p.region}-{i}", "agent", f"{p.region}-{i}", "", p)
            for p in (HERE, FAR)
            for i in range(10)
        ]
        records.append(VmRecord("vm-e", "entry", "e", "", HERE))
        chosen = choose_links("e", HERE, records, 16)
        self.assertEqual(["Almaty"] * 10, [r.place.region for r in chosen[:10]])
        self.assertGreaterEqual(len(chosen), 12)

    def test_lost_region_is_replaced_by_the_other(self):
        """Guards against an entry without links when its own region has no agents."""
        records = [
            VmRecord(f"vm-{i}", "agent", f"far-{i}", "", FAR) for i in range(30)
        ] + [VmRecord(f"vm-e{i}", "entry", f"e{i}", "", HERE) for i in range(400)]
        self.assertEqual(2, len(choose_links("e0", HERE, records, 16)))


if __name__ == "__main__":
    unittest.main()
