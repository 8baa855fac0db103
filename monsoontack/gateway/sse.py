"""Splits a stream of server-sent events into complete events.

Only complete events are forwarded to the caller, so a stream that breaks off inside
an event can be resumed after the last complete one without a gap or a repetition.
"""

import re
from dataclasses import dataclass, field

from monsoontack.generation.continuation import ForeignAnswerError, StreamEvent

# An event has a few tokens; data with a longer event is not an event stream.
MAX_EVENT_BYTES = 1_048_576
EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
# Bytes searched again, since the longest end mark may be split between two reads.
END_OVERLAP_BYTES = 3
FIELDS = (b"data", b"id", b"event", b"retry")
# Engines add fields of their own. Names are tokens, unlike the start of other text.
FIELD_NAME = re.compile(rb"[A-Za-z0-9_-]+")
MAX_LOGGED_BYTES = 60
BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class EventTooLongError(ValueError):
    """The stream has an event longer than `MAX_EVENT_BYTES`."""


@dataclass(slots=True, repr=False)
class EventSplitter:
    """Buffers bytes and returns complete events.

    `buffer` has the bytes after the last complete event.
    """

    buffer: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> bytes:
        """Add `data`; return the bytes of the events that are now complete."""
        searched = max(len(self.buffer) - END_OVERLAP_BYTES, 0)
        self.buffer += data
        end = 0
        for found in EVENT_END.finditer(self.buffer, searched):
            end = found.end()
        if end == 0:
            if len(self.buffer) > MAX_EVENT_BYTES:
                raise EventTooLongError(f"event above {MAX_EVENT_BYTES} bytes")
            return b""
        complete_events = bytes(self.buffer[:end])
        del self.buffer[:end]
        return complete_events


def parse_events(complete_events: bytes) -> list[StreamEvent]:
    """Return the events and comments of whole events.

    Raises `ForeignAnswerError` for bytes that are no events, such as the head of a
    response.
    """
    events, start = [], 0
    for found in EVENT_END.finditer(complete_events):
        events.append(_parse_event(complete_events[start : found.end()]))
        start = found.end()
    return events


def _parse_event(data: bytes) -> StreamEvent:
    event_id, has_content, is_known = None, False, False
    for line in data.removeprefix(BYTE_ORDER_MARK).splitlines():
        name, colon, value = line.partition(b":")
        if not name:
            is_known |= bool(colon)
            continue
        if name not in FIELDS and not FIELD_NAME.fullmatch(name):
            raise ForeignAnswerError(f"not an event: {line[:MAX_LOGGED_BYTES]!r}")
        is_known |= name in FIELDS
        has_content |= name == b"data"
        if name == b"id":
            event_id = value.strip().decode("latin-1") or None
    if not is_known and data.strip():
        raise ForeignAnswerError(f"not an event: {data[:MAX_LOGGED_BYTES]!r}")
    return StreamEvent(data, event_id, has_content)
