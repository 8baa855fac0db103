"""Tests of the decision whether a run leaves its silent engine."""

import unittest

from monsoontack.generation.failover import FailoverInput
from monsoontack.generation.silence import SILENCE_MEMORY_S, SilentEngines, why_stay


def make_loss(has_kv_copy=False, resumable=True, attempts_left=1, left_s=5.0):
    return FailoverInput(has_kv_copy, resumable, False, attempts_left, left_s)


class WhyStayTest(unittest.TestCase):
    def test_run_leaves_only_for_a_better_engine(self):
        """Guards against a run that leaves its silent engine for nothing."""
        self.assertIsNone(why_stay(make_loss(), True, True))
        self.assertEqual("engine", why_stay(make_loss(), True, False))
        self.assertIsNone(why_stay(make_loss(has_kv_copy=True), True, False))

    def test_run_stays_if_another_attempt_is_not_allowed(self):
        """Guards against a silence that ends a run which cannot be sent again."""
        causes = (
            why_stay(make_loss(attempts_left=0), True, True),
            why_stay(make_loss(resumable=False), True, True),
            why_stay(make_loss(left_s=0.1), True, True),
            why_stay(make_loss(), False, True),
        )
        self.assertEqual(("attempts", "not_repeatable", "time", "budget"), causes)


class SilentEnginesTest(unittest.TestCase):
    def test_engine_counts_as_silent_until_it_goes_on(self):
        """Guards against runs that avoid an engine after its silence."""
        engines = SilentEngines()
        self.assertFalse(engines.is_silent("a", 0.0, 1.0))
        engines.note("a", 1.0)
        self.assertTrue(engines.is_silent("a", 0.9, 2.0))
        self.assertFalse(engines.is_silent("a", 1.1, 2.0))
        self.assertFalse(engines.is_silent("a", 0.9, 2.0))

    def test_silence_is_forgotten(self):
        """Guards against an idle engine that is avoided for ever."""
        engines = SilentEngines()
        engines.note("a", 1.0)
        self.assertTrue(engines.is_silent("a", 0.0, 1.0 + SILENCE_MEMORY_S))
        self.assertFalse(engines.is_silent("a", 0.0, 1.1 + SILENCE_MEMORY_S))


if __name__ == "__main__":
    unittest.main()
