"""Tests of the decision whether an answer goes on with a stream."""

import unittest

from monsoontack.generation.continuation import (
    MAX_HELD_BYTES,
    AnswerEvents,
    AnswerHead,
    ForeignAnswerError,
    StreamEvent,
    StreamPosition,
    id_number,
    media_type,
    output_error,
)

HEAD = AnswerHead(200, "text/event-stream", True)
COMMENT = StreamEvent(b": c\n\n", None, False)
UNNUMBERED = StreamEvent(b"data: x\n\n", None, True)


def numbered(event_id):
    return StreamEvent(f"id: {event_id}\n\n".encode(), str(event_id), True)


def position_after(*ids, last_id=None):
    """Return the position of a stream that has delivered events with these ids."""
    answer = AnswerEvents(StreamPosition(last_id), True)
    answer.begin(HEAD)
    answer.accept([numbered(event_id) for event_id in ids])
    return answer.position


class ContinuationTest(unittest.TestCase):
    def accepts(self, position, *ids, head=HEAD):
        """Whether an answer with these ids goes on from the position."""
        answer = AnswerEvents(position, True)
        try:
            answer.begin(head)
            forwarded = answer.accept([numbered(event_id) for event_id in ids])
        except ForeignAnswerError:
            self.assertEqual(position, answer.position)
            return False
        self.assertEqual(b"".join(numbered(i).data for i in ids), forwarded)
        return True

    def test_ids_of_a_later_answer(self):
        """Guards against events that come twice or are missing after a failover, and
        against sound streams that are cut."""
        for delivered, ids, expected in (
            ((1, 2, 3), (4, 5), True),
            ((1, 2, 3), (3, 4), False),
            ((1, 2, 3), (1, 2), False),
            ((1, 2, 3), (5, 6), False),
            ((1, 2, 3), (4, 6), False),
            ((1, 2, 3), (4, 4), False),
            ((1, 2, 3), ("a",), False),
            ((1, 2, 3), ("+4",), False),
            ((1, 2, 3), ("\u0664",), False),
            ((1, 2, 3), ("03",), False),
            ((1,), (2, 3), True),
            ((1,), (4, 5), False),
            ((0, 1), (2,), True),
            ((0, 1), (3,), False),
            ((6, 12), (18, 24, 26), True),
            ((6, 12), (30,), False),
            ((1, 7, 13), (19,), True),
            ((1, 7, 8, 20), (50, 51), True),
            (("a", "b"), ("c",), True),
            (("a", "b"), ("b",), False),
        ):
            with self.subTest(delivered=delivered, ids=ids):
                position = position_after(*delivered)
                self.assertEqual(expected, self.accepts(position, *ids))

    def test_steps_of_a_single_answer_may_vary(self):
        """Guards against sound answers whose events have different sizes."""
        self.assertTrue(self.accepts(StreamPosition(), 1, 2, 3, 9, 100))

    def test_answer_to_a_caller_with_an_id(self):
        """Guards against events that a resuming caller has, and against sound answers
        to an id that this module cannot order."""
        for last_id, ids, expected in (
            ("12", (13, 14), True),
            ("12", (18,), True),
            ("12", (12,), False),
            ("12", (1,), False),
            ("12", ("x",), False),
            ("x", (1, 2), True),
            ("x", ("x",), False),
        ):
            with self.subTest(last_id=last_id, ids=ids):
                self.assertEqual(expected, self.accepts(StreamPosition(last_id), *ids))

    def test_head_of_a_later_answer(self):
        """Guards against an answer of another kind that joins a stream."""
        position = position_after(1, 2)
        for head, expected in (
            (HEAD, True),
            (AnswerHead(206, "text/event-stream", True), False),
            (AnswerHead(204, "text/event-stream", True), False),
            (AnswerHead(200, "text/plain", True), False),
            (AnswerHead(200, "", True), False),
            (AnswerHead(200, "text/event-stream", False), False),
        ):
            with self.subTest(head):
                self.assertEqual(expected, self.accepts(position, 3, head=head))

    def test_end_of_a_later_answer_without_events(self):
        """Guards against a broken stream that ends as if it were whole."""
        answer = AnswerEvents(position_after(1, 2), True)
        answer.begin(HEAD)
        self.assertEqual(b"", answer.accept([COMMENT]))
        with self.assertRaises(ForeignAnswerError):
            answer.end()

    def test_end_of_a_first_answer_without_events(self):
        """Guards against a caller that has all events and never gets their end."""
        answer = AnswerEvents(StreamPosition("2"), True)
        answer.begin(HEAD)
        self.assertEqual(b"", answer.accept([COMMENT]))
        self.assertEqual(COMMENT.data, answer.end())

    def test_events_without_id_are_held_back(self):
        """Guards against an event without an id that is delivered again by the engine
        that goes on after the last id."""
        answer = AnswerEvents(StreamPosition(), True)
        answer.begin(HEAD)
        self.assertEqual(numbered(1).data, answer.accept([numbered(1), UNNUMBERED]))
        self.assertEqual(COMMENT.data, answer.accept([COMMENT]))
        both = UNNUMBERED.data + numbered(2).data
        self.assertEqual(both, answer.accept([numbered(2)]))
        answer.accept([UNNUMBERED])
        self.assertEqual(UNNUMBERED.data, answer.end())

    def test_events_without_id_of_a_stream_that_cannot_move(self):
        """Guards against events that are late although nothing can repeat them."""
        answer = AnswerEvents(StreamPosition(), False)
        answer.begin(HEAD)
        both = numbered(1).data + UNNUMBERED.data
        self.assertEqual(both, answer.accept([numbered(1), UNNUMBERED]))

    def test_held_bytes_are_limited(self):
        """Guards against unbounded memory use by events without an id."""
        answer = AnswerEvents(position_after(1), True)
        answer.begin(HEAD)
        comment = StreamEvent(b": %s\n\n" % (b"c" * 10_000), None, False)
        with self.assertRaises(ForeignAnswerError):
            for _ in range(MAX_HELD_BYTES // 10_000 + 2):
                answer.accept([comment])

    def test_stream_without_ids_cannot_go_on(self):
        """Guards against a stream that begins again after what the caller has."""
        answer = AnswerEvents(StreamPosition(), True)
        answer.begin(HEAD)
        answer.accept([COMMENT])
        self.assertTrue(answer.position.can_go_on)
        answer.accept([UNNUMBERED])
        self.assertFalse(answer.position.can_go_on)
        answer.accept([numbered(1)])
        self.assertTrue(answer.position.can_go_on)

    def test_engine_that_has_nothing_to_add_ends_an_answer_of_tokens(self):
        """Guards against an answer beside agents that is cut because only its end is
        missing, and against one that is ended before its last token."""
        held = (7, 8, 9)
        for position, tokens, finish, is_right in (
            (3, (), "stop", True),
            (0, held, "stop", True),
            (2, (), "stop", False),
            (4, (), "stop", False),
            (0, (7, 8), "stop", False),
        ):
            error = output_error(0, held, position, tokens, finish)
            self.assertEqual(is_right, error == "", (position, tokens, error))

    def test_numbers_and_media_types(self):
        """Guards against ids and types that are compared as they are written."""
        self.assertEqual(12, id_number("12"))
        for text in ("", "-1", "1.0", "1_0", "x", "9" * 21):
            self.assertIsNone(id_number(text))
        self.assertEqual("text/plain", media_type(" Text/Plain ; charset=x"))


if __name__ == "__main__":
    unittest.main()
