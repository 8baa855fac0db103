"""Tests of the index of prefix caches."""

import unittest

from monsoontack.routing.prefix import PrefixIndex

BOTH = {"a", "b"}


class PrefixIndexTest(unittest.TestCase):
    def test_longest_match(self):
        """Guards against preferring a server that holds less of the prompt."""
        index = PrefixIndex()
        index.apply("a", 1, "stored", [1, 2])
        index.note_sent("b", [1, 2, 3])
        self.assertEqual({"b"}, index.longest_match([1, 2, 3, 4], BOTH))
        self.assertEqual({"a"}, index.longest_match([1, 2, 3, 4], {"a"}))
        self.assertEqual(set(), index.longest_match([9], BOTH))

    def test_late_and_repeated_events(self):
        """Guards against an old event that reverts a newer one."""
        index = PrefixIndex()
        index.apply("a", 5, "evicted", [1])
        index.apply("a", 6, "stored", [1])
        index.apply("a", 5, "evicted", [1])
        self.assertEqual({"a"}, index.longest_match([1], BOTH))
        self.assertEqual(1, index.repeated_events)

    def test_gap_is_counted_and_clear_empties(self):
        """Guards against blocks lost after a missed event or kept after a clear."""
        index = PrefixIndex()
        index.apply("a", 1, "stored", [1])
        index.apply("a", 4, "stored", [2])
        self.assertEqual(1, index.gap_count)
        self.assertEqual({"a"}, index.longest_match([2], BOTH))
        self.assertEqual({"a"}, index.longest_match([1], BOTH))
        index.apply("a", 5, "cleared", [])
        self.assertEqual({}, index.holders)

    def test_bounded_memory(self):
        """Guards against memory that grows with the number of prompts."""
        index = PrefixIndex(max_blocks=10)
        for block in range(100):
            index.note_sent("a", [block])
        self.assertEqual(set(range(90, 100)), set(index.holders))
        index.forget("a")
        self.assertEqual({}, index.holders)


if __name__ == "__main__":
    unittest.main()
