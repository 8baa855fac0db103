"""Tests of splitting a stream into whole events."""

import time
import unittest

from monsoontack.gateway.sse import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLongError,
)

STREAM = b"id: 1\ndata: a\n\n: note\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"


class EventSplitterTest(unittest.TestCase):
    def test_any_cut_gives_the_same_events(self):
        """Guards against an event that is lost or halved where a read ends."""
        for size in range(1, len(STREAM) + 1):
            splitter, whole = EventSplitter(), b""
            for start in range(0, len(STREAM), size):
                whole += splitter.feed(STREAM[start : start + size])
            self.assertEqual(STREAM, whole)
            self.assertEqual((3, "3"), (splitter.count, splitter.last_id))

    def test_large_event_in_small_parts_costs_little(self):
        """Guards against work that grows with the square of an event's length."""
        splitter = EventSplitter()
        started = time.process_time()
        for _ in range(MAX_EVENT_BYTES // 16):
            splitter.feed(b"x" * 16)
        self.assertLess(time.process_time() - started, 2.0)

    def test_event_without_end_is_an_error(self):
        """Guards against memory that grows with a stream without events."""
        splitter = EventSplitter()
        with self.assertRaises(EventTooLongError):
            for _ in range(MAX_EVENT_BYTES // 1000 + 2):
                splitter.feed(b"x" * 1000)


if __name__ == "__main__":
    unittest.main()
