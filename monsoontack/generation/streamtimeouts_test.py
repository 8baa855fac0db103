"""Tests of the adaptive timeouts of streams."""

import unittest

from monsoontack.generation.streamtimeouts import StreamTimeouts

PROMPT_TOKENS = 8000


class FirstEventTest(unittest.TestCase):
    def test_prompts_that_were_kept_do_not_shorten_the_wait(self):
        """Guards against streams that leave live engines after 1.8 s, because runs with
        cached prompts have raised the prefill rate above that of any engine."""
        timeouts = StreamTimeouts()
        before_s = timeouts.first_event_limit_s(PROMPT_TOKENS)
        for _ in range(20):
            timeouts.note_first_event(PROMPT_TOKENS, 0.1)
        self.assertEqual(before_s, timeouts.first_event_limit_s(PROMPT_TOKENS))

    def test_slower_engines_lengthen_the_wait(self):
        """Guards against streams that fail over while their prompt is processed."""
        timeouts = StreamTimeouts()
        before_s = timeouts.first_event_limit_s(PROMPT_TOKENS)
        for _ in range(20):
            timeouts.note_first_event(PROMPT_TOKENS, 3.0)
        self.assertGreater(timeouts.first_event_limit_s(PROMPT_TOKENS), before_s)

    def test_faster_engines_shorten_the_wait(self):
        """Guards against a limit that keeps its initial estimate."""
        timeouts = StreamTimeouts()
        before_s = timeouts.first_event_limit_s(PROMPT_TOKENS)
        for _ in range(20):
            timeouts.note_first_event(PROMPT_TOKENS, 0.8)
        self.assertLess(timeouts.first_event_limit_s(PROMPT_TOKENS), before_s)


class SilenceTest(unittest.TestCase):
    def test_limit_leaves_time_to_go_on_within_the_pause(self):
        """Guards against a failover that comes after the caller's accepted gap."""
        timeouts = StreamTimeouts()
        timeouts.note_gap(3.0)
        self.assertLess(timeouts.silence_limit_s(0.7), 0.7)


if __name__ == "__main__":
    unittest.main()
