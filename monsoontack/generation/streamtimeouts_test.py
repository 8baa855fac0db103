"""Tests of how long an engine may be silent."""

import unittest

from monsoontack.generation.streamtimeouts import StreamTimeouts

PROMPT = 8000


class FirstEventTest(unittest.TestCase):
    def test_prompts_that_were_kept_do_not_shorten_the_wait(self):
        """Guards against live engines left after 1.8 s, since callers that came back
        to prompts in memory had taught a reading speed that no engine has."""
        pace = StreamTimeouts()
        before_s = pace.first_event_limit_s(PROMPT)
        for _ in range(20):
            pace.note_first_event(PROMPT, 0.1)
        self.assertEqual(before_s, pace.first_event_limit_s(PROMPT))

    def test_slower_engines_lengthen_the_wait(self):
        """Guards against streams that move while their prompt is being read."""
        pace = StreamTimeouts()
        before_s = pace.first_event_limit_s(PROMPT)
        for _ in range(20):
            pace.note_first_event(PROMPT, 3.0)
        self.assertGreater(pace.first_event_limit_s(PROMPT), before_s)

    def test_faster_engines_shorten_the_wait(self):
        """Guards against a limit that stays at its first guess."""
        pace = StreamTimeouts()
        before_s = pace.first_event_limit_s(PROMPT)
        for _ in range(20):
            pace.note_first_event(PROMPT, 0.8)
        self.assertLess(pace.first_event_limit_s(PROMPT), before_s)


class SilenceTest(unittest.TestCase):
    def test_limit_leaves_time_to_go_on_within_the_pause(self):
        """Guards against a stream that moves only when its caller gave up."""
        pace = StreamTimeouts()
        pace.note_gap(3.0)
        self.assertLess(pace.silence_limit_s(0.7), 0.7)


if __name__ == "__main__":
    unittest.main()
