"""Splits a stream of server-sent events into whole events.

Only whole events go on to the caller, so a stream that stops inside one can be
continued after the last whole event without a gap or a repetition.
"""

import re
from dataclasses import dataclass, field

ID_FIELD = b"id:"
# An event holds a few tokens; anything longer is not an event stream.
MAX_EVENT_BYTES = 1_048_576
EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
# The longest end of an event may stand across two reads.
END_OVERLAP = 3


class EventTooLongError(ValueError):
    """The stream holds an event above the bound."""


@dataclass(slots=True)
class EventSplitter:
    """Collects bytes and returns whole events.

    `last_id` is the id of the last whole event that had one, `count` the number
    of whole events with an id; comments and events without one are no progress.
    """

    buffer: bytearray = field(default_factory=bytearray)
    last_id: str | None = None
    count: int = 0

    def feed(self, data: bytes) -> bytes:
        """Return the whole events up to the end of `data`, as they came."""
        searched = max(len(self.buffer) - END_OVERLAP, 0)
        self.buffer += data
        end = 0
        for found in EVENT_END.finditer(self.buffer, searched):
            end = found.end()
        if end == 0:
            if len(self.buffer) > MAX_EVENT_BYTES:
                raise EventTooLongError(f"event above {MAX_EVENT_BYTES} bytes")
            return b""
        whole = bytes(self.buffer[:end])
        del self.buffer[:end]
        self._note(whole)
        return whole

    def _note(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                self.count += 1
