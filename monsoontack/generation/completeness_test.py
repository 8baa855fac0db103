"""Tests of the decision whether a stream has all that was asked for."""

import unittest

from monsoontack.generation.completeness import has_all_stated
from monsoontack.generation.continuation import (
    AnswerEvents,
    AnswerHead,
    EmptyAnswerError,
    StreamEvent,
    StreamPosition,
)

HEAD = AnswerHead(200, "text/event-stream", True)


def event(event_id, has_content=True):
    return StreamEvent(f"id: {event_id}\n\n".encode(), str(event_id), has_content)


def position_after(events, last_id=None):
    answer = AnswerEvents(StreamPosition(last_id), True)
    answer.begin(HEAD)
    answer.accept(events)
    return answer.position


class CompletenessTest(unittest.TestCase):
    def test_stream_has_all_at_the_stated_number_of_events(self):
        """Guards against a stream that counts as whole while a token may come."""
        for count, stated, expected in (
            (5, 5, True),
            (6, 5, True),
            (4, 5, False),
            (5, 0, False),
            (0, 0, False),
        ):
            position = position_after([event(n) for n in range(1, count + 1)])
            self.assertEqual(expected, has_all_stated(position, stated))

    def test_ids_do_not_count_tokens(self):
        """Guards against ids that are times, or the id that a caller resumes after,
        taken for a number of tokens."""
        now_ns = 1_764_968_400_000_000_000
        timed = position_after([event(now_ns + n) for n in range(3)])
        self.assertFalse(has_all_stated(timed, 800))
        resumed = position_after([event(801)], last_id="800")
        self.assertFalse(has_all_stated(resumed, 800))

    def test_events_without_content_count_no_token(self):
        """Guards against events that carry nothing counted as tokens."""
        events = [event(1), event(2, has_content=False), event(3)]
        self.assertFalse(has_all_stated(position_after(events), 3))

    def test_events_are_counted_over_several_answers(self):
        """Guards against a stream that never counts as whole after it has moved."""
        answer = AnswerEvents(position_after([event(1), event(2)]), True)
        answer.begin(HEAD)
        answer.accept([event(3)])
        self.assertTrue(has_all_stated(answer.position, 3))

    def test_empty_answer_ends_only_a_whole_stream(self):
        """Guards against a stream that is short because of an empty answer."""
        answer = AnswerEvents(position_after([event(1), event(2)]), True)
        answer.begin(HEAD)
        answer.accept([StreamEvent(b": c\n\n", None, False)])
        self.assertEqual(b"", answer.end(is_stream_whole=True))
        with self.assertRaises(EmptyAnswerError):
            answer.end()


if __name__ == "__main__":
    unittest.main()
