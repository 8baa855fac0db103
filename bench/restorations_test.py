"""Tests of a restored store below fleets of entries, in virtual time."""

import unittest

from bench.restorations import (
    MAX_LISTED_AGAIN_S,
    MAX_SERVE_AGAIN_S,
    MAX_WRITES_PER_S,
    simulate,
)
from monsoontack.core.virtualtime import run_in_virtual_time

SEED = 3


class RestoredStoreTest(unittest.TestCase):
    def check(self, entries, **options):
        found = run_in_virtual_time(simulate(entries, SEED, **options))
        self.assertEqual(0, found.former)
        self.assertLessEqual(found.writes_per_s, MAX_WRITES_PER_S)
        self.assertLessEqual(found.listed_again_s, MAX_LISTED_AGAIN_S)
        if not options.get("restarts"):
            self.assertLessEqual(found.serve_again_s, MAX_SERVE_AGAIN_S)

    def test_fleets_of_any_size_serve_again(self):
        """Guards against a restored store that entries refuse or overload."""
        for entries in (5, 68):
            self.check(entries)

    def test_two_restorations_in_a_row(self):
        """Guards against entries that take only the first restoration."""
        self.check(68, twice=True)

    def test_restarted_entries_do_not_take_the_former_configuration(self):
        """Guards against entries that read what the store has lost as current."""
        self.check(68, restarts=True)


if __name__ == "__main__":
    unittest.main()
