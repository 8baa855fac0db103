"""Tests of the requests that a draining process takes; times are given."""

import unittest

from monsoontack.admission.drainadmission import (
    INITIAL_STREAM_S,
    LATE_AFTER_S,
    LATE_STREAM_MARGIN_S,
    MARGIN_S,
    MAX_SAMPLES,
    RECENT_S,
    REDIRECT_S,
    RUN_ONCE_MARGIN_S,
    DrainAdmission,
    Sample,
    Work,
)

BEGAN_AT = 1000.0
DRAIN_S = 7.6
CALL = Work("look", is_stream=False, is_repeatable=True)
# Seconds to the first event and for each token of a simulated engine.
FIRST_S, TOKEN_S = 0.2, 0.03


def stream(max_tokens=0):
    return Work("plan", is_stream=True, is_repeatable=True, max_tokens=max_tokens)


def stream_sample(max_tokens, at=BEGAN_AT):
    return Sample(at, FIRST_S + TOKEN_S * max_tokens, FIRST_S, max_tokens)


class DrainAdmissionTest(unittest.TestCase):
    def setUp(self):
        self.drain = DrainAdmission()
        self.drain.begin(BEGAN_AT, BEGAN_AT + DRAIN_S)

    def latest_s(self, work, running=()):
        """Return until when after the start of the drain a request is taken."""
        times = [number / 100 for number in range(int(100 * DRAIN_S))]
        return max(
            (
                at_s
                for at_s in times
                if self.drain.needed_s(work, BEGAN_AT + at_s, running) < DRAIN_S - at_s
            ),
            default=None,
        )

    def check_latest(self, expected_s, work, running=()):
        self.assertAlmostEqual(expected_s, self.latest_s(work, running), delta=0.02)

    def test_long_streams_among_short_ones_are_judged_by_their_own_length(self):
        """Guards against long streams that are taken since most others are short, and
        that the end of the drain cuts."""
        for tokens in [20] * 40 + [180]:
            self.drain.record(stream(), stream_sample(tokens), True)
        long_s, short_s = FIRST_S + 180 * TOKEN_S, FIRST_S + 20 * TOKEN_S
        self.check_latest(DRAIN_S - MARGIN_S - long_s, stream(180))
        self.check_latest(DRAIN_S - LATE_STREAM_MARGIN_S - short_s, stream(20))

    def test_stream_longer_than_all_recent_ones_is_expected_to_take_longer(self):
        """Guards against a long stream that is taken since only short ones have ended
        by then, as soon after the start of the process."""
        self.drain.record(stream(), stream_sample(20), True)
        long_s = FIRST_S + 180 * TOKEN_S
        self.check_latest(DRAIN_S - MARGIN_S - long_s, stream(180))

    def test_running_streams_show_that_others_take_as_long(self):
        """Guards against streams that state too many tokens: the short ones end first,
        and the long ones are expected to end as soon."""
        self.drain.record(stream(), Sample(BEGAN_AT, 1.0, FIRST_S, 300), True)
        running = [Sample(BEGAN_AT + 1.0, 5.0, FIRST_S, 300)]
        self.check_latest(DRAIN_S - MARGIN_S - 5.0, stream(300), running)

    def test_longest_stream_decides_if_no_length_is_stated(self):
        """Guards against a mean of recent times, which half of the streams exceed."""
        for took_s in (1.0, 1.0, 1.0, 5.0):
            self.drain.record(stream(), Sample(BEGAN_AT, took_s), True)
        self.check_latest(DRAIN_S - MARGIN_S - 5.0, stream())

    def test_late_stream_may_outlast_a_pause_of_its_engine(self):
        """Guards against streams that are cut since their engine paused for a second,
        at a time when all callers could have been sent to other processes."""
        self.drain.record(stream(), stream_sample(100), True)
        took_s = FIRST_S + 100 * TOKEN_S + 0.9
        latest_s = self.latest_s(stream(100))
        self.assertGreater(latest_s, REDIRECT_S)
        self.assertLess(latest_s + took_s, DRAIN_S)

    def test_longest_call_decides(self):
        """Guards against calls that are passed on late since most others are short."""
        for took_s in [0.1] * 50 + [2.0]:
            self.drain.record(CALL, Sample(BEGAN_AT, took_s), True)
        self.check_latest(DRAIN_S - MARGIN_S - 2.0, CALL)
        once = Work("look", is_stream=False, is_repeatable=False)
        self.check_latest(DRAIN_S - RUN_ONCE_MARGIN_S - 2.0, once)

    def test_times_of_long_ago_are_forgotten_once_there_are_newer_ones(self):
        """Guards against drains that refuse all since a request was slow once."""
        long_ago = BEGAN_AT - RECENT_S - 1.0
        self.drain.record(stream(), Sample(long_ago, 20.0), True)
        self.assertIsNone(self.latest_s(stream()))
        self.drain.record(stream(), Sample(BEGAN_AT, 1.0), True)
        self.check_latest(DRAIN_S - LATE_STREAM_MARGIN_S - 1.0, stream())

    def test_request_that_ended_early_counts_if_it_took_longest(self):
        """Guards against broken-off requests that make a route look short, and against
        long ones that show nothing since their callers left."""
        self.drain.record(CALL, Sample(BEGAN_AT, 1.0), True)
        self.drain.record(CALL, Sample(BEGAN_AT, 0.2), False)
        self.check_latest(DRAIN_S - MARGIN_S - 1.0, CALL)
        self.drain.record(CALL, Sample(BEGAN_AT, 3.0), False)
        self.check_latest(DRAIN_S - MARGIN_S - 3.0, CALL)

    def test_unknown_route_is_expected_to_take_its_initial_time(self):
        """Guards against requests of a new route that are taken until the end."""
        self.check_latest(DRAIN_S - MARGIN_S - INITIAL_STREAM_S, stream(180))

    def test_streams_that_ended_soon_after_the_start_do_not_bound_others(self):
        """Guards against a long stream that is taken late and cut, since a process that
        has just started has seen only short ones end, of the same stated tokens."""
        for began_s in (-3.0, -2.0, -1.0):
            ended_at = BEGAN_AT + began_s + 2.4
            self.drain.record(
                stream(1260), Sample(ended_at, 2.4, FIRST_S, 1260, True), True
            )
        self.check_latest(LATE_AFTER_S - 0.01, stream(1260))
        older = Sample(BEGAN_AT - 4.0, 2.4, FIRST_S, 1260, True)
        self.drain.record(stream(1260), older, True)
        self.check_latest(DRAIN_S - LATE_STREAM_MARGIN_S - 2.4, stream(1260))

    def test_stated_tokens_bound_streams_soon_after_the_start(self):
        """Guards against short streams that are refused late in a drain soon after the
        start, although their stated tokens are few."""
        self.drain.record(stream(20), stream_sample(20), True)
        short_s = FIRST_S + 20 * TOKEN_S
        self.check_latest(DRAIN_S - LATE_STREAM_MARGIN_S - short_s, stream(20))

    def test_refused_request_is_sent_again_once_callers_go_elsewhere(self):
        """Guards against callers that come back at once and are refused again, since
        the balancer has no other process for them yet."""
        for at_s in (0.0, 0.7, 2.0):
            wait_s = self.drain.retry_after_s(BEGAN_AT + at_s, left_s=25.0)
            self.assertAlmostEqual(REDIRECT_S, at_s + wait_s)
        self.assertEqual(0.0, self.drain.retry_after_s(BEGAN_AT + 5.0, 25.0))

    def test_refused_request_with_little_time_does_not_wait_it_out(self):
        """Guards against callers that wait as told and have no time left."""
        self.assertAlmostEqual(0.2, self.drain.retry_after_s(BEGAN_AT, left_s=0.6))
        self.assertEqual(0.0, self.drain.retry_after_s(BEGAN_AT, left_s=-0.1))

    def test_endless_requests_are_kept_within_bounds(self):
        """Guards against memory that grows with the requests served."""
        for number in range(2 * MAX_SAMPLES):
            self.drain.record(CALL, Sample(BEGAN_AT + number, 0.1), True)
        self.assertEqual(MAX_SAMPLES, len(self.drain.samples[CALL.route]))


if __name__ == "__main__":
    unittest.main()
