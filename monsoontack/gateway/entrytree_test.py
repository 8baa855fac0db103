"""Tests of the tree along which limits and permits pass."""

import random
import unittest

from monsoontack.gateway.entrytree import tree_place
from monsoontack.gateway.peers import PeerEntry
from monsoontack.gateway.readtree import FANOUT


def make_entries(count, regions=("north", "south")):
    names = [f"entry-{number}" for number in range(count)]
    return {
        name: PeerEntry(name, regions[i % len(regions)], f"10.0.0.1:{i}")
        for i, name in enumerate(names)
    }


class LimitTreeTest(unittest.TestCase):
    def test_all_entries_lead_to_one_root(self):
        """Guards against two roots that both grant a server's whole limit."""
        for count in (1, 3, 5, 68, 390):
            entries = make_entries(count)
            places = {n: tree_place(n, p.region, entries) for n, p in entries.items()}
            roots = [name for name, place in places.items() if not place.parents]
            self.assertEqual(1, len(roots), count)
            for name in entries:
                steps = 0
                while places[name].parents:
                    name, steps = places[name].parents[0].name, steps + 1
                self.assertEqual(roots, [name])
                self.assertLessEqual(steps, 4)

    def test_number_of_neighbours_is_bounded(self):
        """Guards against messages of one entry that grow with the fleet."""
        entries = make_entries(390)
        for name, peer in entries.items():
            place = tree_place(name, peer.region, entries)
            self.assertLessEqual(len(place.children), FANOUT + 1)
            self.assertLessEqual(len(place.parents), 8)

    def test_children_and_parents_agree(self):
        """Guards against news that an entry sends to none of its children."""
        entries = make_entries(68)
        places = {n: tree_place(n, p.region, entries) for n, p in entries.items()}
        for name, place in places.items():
            for child in place.children:
                self.assertEqual(name, places[child.name].parents[0].name)

    def test_different_views_form_no_cycle(self):
        """Guards against entries that wait for each other's permits."""
        entries, rng = make_entries(40), random.Random(3)
        parents = {}
        for name, peer in entries.items():
            view = {n: p for n, p in entries.items() if rng.random() < 0.6}
            found = tree_place(name, peer.region, view).parents
            parents[name] = [parent.name for parent in found]
        for name in entries:
            reached, pending = set(), [name]
            while pending:
                above = [p for p in parents[pending.pop()] if p not in reached]
                reached |= set(above)
                pending += above
            self.assertNotIn(name, reached)

    def test_entries_without_an_address_are_left_out(self):
        """Guards against a parent that can never be reached."""
        entries = make_entries(5)
        broken = {name: PeerEntry(name, "", "") for name in entries}
        self.assertEqual((), tree_place("entry-0", "north", broken).parents)


if __name__ == "__main__":
    unittest.main()
