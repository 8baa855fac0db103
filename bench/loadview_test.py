"""Tests of what gateways know of each other, in virtual time."""

import unittest

from bench.loadview import MAX_MEAN_AGE_S, percentile, root_mean_square, simulate

MEASURED_S = 4.0


class LoadViewTest(unittest.TestCase):
    def test_view_and_messages_do_not_depend_on_the_number_of_gateways(self):
        """Guards against gateways of a large fleet that do not know what others place
        at their engines, and against messages that grow with the fleet."""
        for count in (31, 100):
            found = simulate(count, "groups", 3, MEASURED_S)
            age_s = sum(found.start_ages_s) / len(found.start_ages_s)
            self.assertLess(age_s, MAX_MEAN_AGE_S)
            self.assertLess(root_mean_square(found.errors), 0.6)
            self.assertLess(found.messages / count / MEASURED_S, 80)
            self.assertLess(found.message_bytes / count / MEASURED_S, 10_000)

    def test_starts_of_runs_do_not_wait_for_the_rate(self):
        """Guards against gateways that place prompts at engines which just got one."""
        waits_s = {
            rule: percentile(simulate(31, rule, 3, 10.0).waits_s, 0.95)
            for rule in ("groups", "former")
        }
        self.assertLess(waits_s["groups"], waits_s["former"])


if __name__ == "__main__":
    unittest.main()
