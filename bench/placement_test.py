"""Tests of placement under the simulated load of a whole deployment."""

import unittest

from bench.placement import (
    SHARED_P90_LIMIT_S,
    least_requests,
    p90,
    product_policy,
    round_robin,
    simulate,
)


class PlacementLoadTest(unittest.TestCase):
    """Many entries, each with a small part of the traffic, send long prompts to the
    same engines."""

    def test_shared_load_has_lowest_p90(self):
        """Guards against entries that ignore the generations of other entries.

        Such entries send prompts to engines that are busy with those generations.
        """
        shared = p90(simulate(product_policy(True), seed=3))
        self.assertLessEqual(shared, SHARED_P90_LIMIT_S)
        for name, policy in (
            ("own picture", product_policy(False)),
            ("least requests", least_requests),
            ("round robin", round_robin()),
        ):
            with self.subTest(name):
                self.assertLess(shared, p90(simulate(policy, seed=3)))


if __name__ == "__main__":
    unittest.main()
