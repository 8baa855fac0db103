"""Splits a stream of server-sent events into complete events.

Only complete events are forwarded to the caller, so a stream that breaks off inside
an event can be resumed after the last complete one without a gap or a repetition.
"""

import re
from dataclasses import dataclass, field

ID_FIELD = b"id:"
# An event has a few tokens; data with a longer event is not an event stream.
MAX_EVENT_BYTES = 1_048_576
EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
# Bytes searched again, since the longest end mark may be split between two reads.
END_OVERLAP_BYTES = 3


class EventTooLongError(ValueError):
    """The stream has an event longer than `MAX_EVENT_BYTES`."""


@dataclass(slots=True)
class EventSplitter:
    """Buffers bytes and returns complete events.

    `buffer` has the bytes after the last complete event. `last_id` is the id of the
    last complete event with an id, `id_count` the number of such events; comments and
    events without an id do not count as progress of the stream.
    """

    buffer: bytearray = field(default_factory=bytearray)
    last_id: str | None = None
    id_count: int = 0

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
        self._record_ids(complete_events)
        return complete_events

    def _record_ids(self, complete_events: bytes) -> None:
        for line in complete_events.splitlines():
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                self.id_count += 1
