"""Tests of simulated restarts of a domain of 20 engines, beside the rules before."""

import unittest

from bench.domainrestarts import measure


class DomainRestartsTest(unittest.TestCase):
    def test_few_arrivals_are_rejected_and_load_returns(self):
        """Guards against a restart that each gateway learns from each engine, and
        against engines that are back and get no load."""
        for gateways, worst in ((31, 0.02), (390, 0.02)):
            now, before = (measure("restart", gateways, r) for r in ("now", "before"))
            self.assertLessEqual(now.rejected / now.arrivals, worst)
            self.assertLess(3 * now.rejected, before.rejected)
            self.assertEqual(0, now.lost)
            self.assertLessEqual(now.to_nine_tenths_s, 3.0)

    def test_engines_that_are_slow_after_their_start_get_few_prompts(self):
        """Guards against prompts of all gateways that wait at engines which look idle
        and are slow for 5 s."""
        now, before = (measure("slow", 31, rule) for rule in ("now", "before"))
        self.assertLess(now.late, 0.7 * before.late)
        self.assertLess(now.most_waiting, before.most_waiting)

    def test_flapping_engine_does_not_take_its_domain_with_it(self):
        """Guards against 19 engines that are avoided because one flaps."""
        for gateways in (31, 390):
            now = measure("flapping", gateways, "now")
            self.assertGreater(now.domain_share, 0.85)
            self.assertLessEqual(now.rejected / now.arrivals, 0.05)


if __name__ == "__main__":
    unittest.main()
