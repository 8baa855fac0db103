"""Splits a stream of server-sent events into whole events.

Only whole events go on to the caller, so a stream that stops inside one can be
continued after the last whole event without a gap or a repetition.
"""

from dataclasses import dataclass, field

ID_FIELD = b"id:"
# An event holds a few tokens; anything longer is not an event stream.
MAX_EVENT_BYTES = 1_048_576


class EventTooLongError(ValueError):
    """The stream holds an event above the bound."""


@dataclass(slots=True)
class EventSplitter:
    """Collects bytes and returns whole events.

    `last_id` is the id of the last whole event that had one, `count` the number
    of whole events.
    """

    rest: bytes = b""
    last_id: str | None = None
    count: int = 0
    ids: list[str] = field(default_factory=list)

    def feed(self, data: bytes) -> bytes:
        """Return the whole events up to the end of `data`, as they came."""
        self.rest += data
        end = self._end_of_events()
        if end == 0:
            if len(self.rest) > MAX_EVENT_BYTES:
                raise EventTooLongError(f"event above {MAX_EVENT_BYTES} bytes")
            return b""
        whole, self.rest = self.rest[:end], self.rest[end:]
        self._note(whole)
        return whole

    def _end_of_events(self) -> int:
        ends = (self.rest.rfind(b"\n\n"), self.rest.rfind(b"\r\n\r\n"))
        plain = ends[0] + 2 if ends[0] >= 0 else 0
        crlf = ends[1] + 4 if ends[1] >= 0 else 0
        return max(plain, crlf)

    def _note(self, whole: bytes) -> None:
        for line in whole.splitlines():
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                self.count += 1
