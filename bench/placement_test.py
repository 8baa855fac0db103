"""Tests of placement under the load of a whole deployment, without a network."""

import unittest

from bench.placement import (
    SHARED_P90_LIMIT_S,
    least_requests,
    p90,
    play,
    product,
    round_robin,
)


class PlacementLoadTest(unittest.TestCase):
    """Pattern: many entries, each with a small part of the traffic, send long
    prompts to the same engines."""

    def test_shared_picture_ends_streams_sooner_than_other_ways(self):
        """Guards against entries that place prompts beside each other's runs."""
        shared = p90(play(product(True), seed=3))
        self.assertLessEqual(shared, SHARED_P90_LIMIT_S)
        for name, policy in (
            ("own picture", product(False)),
            ("least requests", least_requests),
            ("round robin", round_robin()),
        ):
            with self.subTest(name):
                self.assertLess(shared, p90(play(policy, seed=3)))


if __name__ == "__main__":
    unittest.main()
