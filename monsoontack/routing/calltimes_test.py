"""Tests of the measured times of calls."""

import math
import unittest

from monsoontack.routing.calltimes import MIN_CALLS, SAMPLE_AGE_S, ServiceTimes


def end_calls(times, key, durations_s, at=0.0, is_answered=True):
    for took_s in durations_s:
        times.end(key, times.begin(key, at), at + took_s, is_answered)


class ServiceTimesTest(unittest.TestCase):
    def setUp(self):
        self.times = ServiceTimes()
        for name in "abcdef":
            end_calls(self.times, name, [0.1] * MIN_CALLS)

    def test_one_slow_server_of_six(self):
        """Load: a server is slow for good; guards against as many calls to it, and
        against its time for its next start."""
        end_calls(self.times, "b", [0.25] * 24)
        self.assertGreater(self.times.service_s("b", 1.0), 0.2)
        self.assertAlmostEqual(0.1, self.times.service_s("b started later", 1.0))
        self.assertAlmostEqual(0.1, self.times.service_s("a", 1.0))

    def test_one_slow_call_changes_little(self):
        """Guards against a server that is avoided for one call that was slow."""
        end_calls(self.times, "new", [0.25])
        self.assertLess(self.times.service_s("new", 1.0), 0.14)

    def test_times_of_a_past_spell_are_forgotten(self):
        """Guards against a server that is never tried again after it was slow."""
        end_calls(self.times, "b", [1.0] * 24)
        later = 1.0 + SAMPLE_AGE_S + 0.1
        self.assertAlmostEqual(self.times.usual_s, self.times.service_s("b", later))

    def test_connection_leaves_time_for_another_server(self):
        """Load: servers restart, some silently; guards against calls that are late
        since they wait 0.35 s for a connection, and against limits below the noise."""
        self.assertAlmostEqual(0.2, self.times.connect_limit_s(0.4))
        self.assertGreater(self.times.connect_limit_s(0.1), 0.1)
        self.assertEqual(math.inf, ServiceTimes().connect_limit_s(0.4))

    def test_failures_at_once_do_not_look_fast(self):
        """Guards against a server that attracts calls as it fails them at once."""
        end_calls(self.times, "b", [0.001] * 24, is_answered=False)
        self.assertAlmostEqual(0.1, self.times.service_s("b", 1.0))
        end_calls(self.times, "b", [0.5] * 24, is_answered=False)
        self.assertGreater(self.times.service_s("b", 1.0), 0.2)


if __name__ == "__main__":
    unittest.main()
