"""Tests of the view of prefix caches."""

import unittest

from monsoontack.routing.prefix import PrefixView

BOTH = {"a", "b"}


class PrefixViewTest(unittest.TestCase):
    def test_longest_match(self):
        """Guards against preferring a server that holds less of the prompt."""
        view = PrefixView()
        view.apply("a", 1, "stored", [1, 2])
        view.note_sent("b", [1, 2, 3])
        self.assertEqual({"b"}, view.longest_match([1, 2, 3, 4], BOTH))
        self.assertEqual({"a"}, view.longest_match([1, 2, 3, 4], {"a"}))
        self.assertEqual(set(), view.longest_match([9], BOTH))

    def test_late_and_repeated_events(self):
        """Guards against an old event that undoes a newer one."""
        view = PrefixView()
        view.apply("a", 5, "evicted", [1])
        view.apply("a", 6, "stored", [1])
        view.apply("a", 5, "evicted", [1])
        self.assertEqual({"a"}, view.longest_match([1], BOTH))
        self.assertEqual(1, view.stale)

    def test_gap_is_counted_and_clear_empties(self):
        """Guards against hits lost after one missed event, or kept when cleared."""
        view = PrefixView()
        view.apply("a", 1, "stored", [1])
        view.apply("a", 4, "stored", [2])
        self.assertEqual(1, view.gaps)
        self.assertEqual({"a"}, view.longest_match([2], BOTH))
        self.assertEqual({"a"}, view.longest_match([1], BOTH))
        view.apply("a", 5, "cleared", [])
        self.assertEqual({}, view.holders)

    def test_bounded_memory(self):
        """Guards against growth with the number of prompts seen."""
        view = PrefixView(max_blocks=10)
        for block in range(100):
            view.note_sent("a", [block])
        self.assertEqual(set(range(90, 100)), set(view.holders))
        view.forget("a")
        self.assertEqual({}, view.holders)


if __name__ == "__main__":
    unittest.main()
