"""Tests of splitting a stream into complete events."""

import time
import unittest

from monsoontack.gateway.sse import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLongError,
)

STREAM = b"id: 1\ndata: a\n\n: note\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"


class EventSplitterTest(unittest.TestCase):
    def test_split_at_any_read_boundary(self):
        """Guards against an event that is lost or truncated at the end of a read."""
        for size in range(1, len(STREAM) + 1):
            splitter, complete_events = EventSplitter(), b""
            for start in range(0, len(STREAM), size):
                complete_events += splitter.feed(STREAM[start : start + size])
            self.assertEqual(STREAM, complete_events)
            self.assertEqual((3, "3"), (splitter.id_count, splitter.last_id))

    def test_large_event_in_small_reads_takes_linear_time(self):
        """Guards against CPU time that is quadratic in the length of an event."""
        splitter = EventSplitter()
        started = time.process_time()
        for _ in range(MAX_EVENT_BYTES // 16):
            splitter.feed(b"x" * 16)
        self.assertLess(time.process_time() - started, 2.0)

    def test_endless_event_is_an_error(self):
        """Guards against unbounded memory use by a stream without an event's end."""
        splitter = EventSplitter()
        with self.assertRaises(EventTooLongError):
            for _ in range(MAX_EVENT_BYTES // 1000 + 2):
                splitter.feed(b"x" * 1000)


if __name__ == "__main__":
    unittest.main()
