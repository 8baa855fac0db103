"""Tests of the wait for a stream's first event."""

import unittest

from monsoontack.generation.firstevent import (
    MAX_QUEUE_FACTOR,
    FirstEventWait,
    begins_sooner,
)

NEVER = 0.0
WAIT = FirstEventWait(sent_at=10.0, limit_s=3.0)


class FirstEventWaitTest(unittest.TestCase):
    def test_engine_without_any_sign_is_left_as_early_as_before(self):
        """Load: engines hang; guards against a wait longer than the limit there."""
        self.assertFalse(WAIT.is_overdue(NEVER, 12.9))
        self.assertTrue(WAIT.is_overdue(NEVER, 13.1))

    def test_engine_that_reads_other_prompts_is_not_silent(self):
        """Load: a burst of more urgent prompts; guards against a prompt that is read
        in vain at a live engine."""
        self.assertFalse(WAIT.is_overdue(14.0, 16.0))
        self.assertTrue(WAIT.is_overdue(14.0, 17.1))

    def test_request_that_a_live_engine_has_lost_is_sent_again(self):
        """Guards against a wait until the deadline at an engine that serves others."""
        late = WAIT.sent_at + MAX_QUEUE_FACTOR * WAIT.limit_s
        self.assertTrue(WAIT.is_overdue(late, late + 0.1))

    def test_stream_leaves_only_for_an_engine_where_it_begins_sooner(self):
        """Guards against prompts that are read twice and begin no sooner for it."""
        self.assertFalse(begins_sooner(here_s=2.0, elsewhere_s=1.0, reading_s=1.0))
        self.assertTrue(begins_sooner(here_s=4.0, elsewhere_s=1.0, reading_s=1.0))


if __name__ == "__main__":
    unittest.main()
