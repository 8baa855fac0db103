"""Decides whether the answer of an attempt goes on with a stream, without I/O.

Several attempts, at different engines, may serve one stream within one response to the
caller. What a later attempt brings is joined to events that the caller has, so nothing
of it may be delivered before it has shown that it is the rest of the same stream:

* Its head has the status and the media type of the answer that the response began
  with, and a request id if that answer had one.
* Its first content is an event whose id comes after the last one. If the ids are
  numbers, they rise; other ids have no order, and only differ from the last one.
* If the ids of earlier attempts rose by the same step, it leaves out none. Ids need
  not be consecutive, since an event may count its tokens, so without such a step a gap
  is not noticed.
* It has at least one event. An answer without any does not show that the stream was
  whole when the engine before broke off, unless the stream has all the tokens that the
  request stated (completeness.py).

The ids of a single answer have to rise as well. A caller that resumes a stream has the
id of its last event, and the first answer is held to that id in the same way; it may be
empty, since the caller may have all events.

Events without an id cannot be resumed after. If a stream may be resumed, those behind
an event with an id are held back until the next one, or until the end of the answer. A
stream that has only delivered events without ids cannot go on at another engine.

Agents know the tokens of an answer with their positions, and the engine marks its end,
so they check the tokens themselves (`output_error`).
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

# Numbers up to 64 bits, such as times in nanoseconds, have fewer digits.
MAX_NUMBER_LENGTH = 20
MAX_EVENT_ID_LENGTH = 300
# Comments and events without an id that are held back; an engine sends few of them.
MAX_HELD_BYTES = 1_048_576


class ForeignAnswerError(ValueError):
    """The answer of an attempt is not the rest of the stream."""


class EmptyAnswerError(ForeignAnswerError):
    """A whole answer with a fitting head has no event for the stream."""


@dataclass(slots=True, repr=False)
class StreamEvent:
    """One event or comment of an answer, with its bytes and the id if it has one.

    `has_content` is false for comments and events that carry nothing for the caller.
    """

    data: bytes
    event_id: str | None
    has_content: bool


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What has to agree in the heads of all answers of a stream."""

    status: int
    media_type: str
    has_request_id: bool


@dataclass(frozen=True, slots=True)
class StreamPosition:
    """What the caller has of a stream.

    `last_id` is the id of the last event, at first the one that the caller gave, and
    `head` that of the answer that the response began with. `step` is the difference of
    consecutive ids, 0 if it is unknown or varies; `is_step_measured` is false while it
    is a guess from the first id alone. `has_unnumbered` means that the stream has
    delivered content but no ids. `event_count` is the number of events with an id and
    content, without those that the caller had before.
    """

    last_id: str | None = None
    head: AnswerHead | None = None
    step: int = 0
    is_step_measured: bool = False
    has_unnumbered: bool = False
    event_count: int = 0

    @property
    def has_begun(self) -> bool:
        """Whether the response to the caller has begun."""
        return self.head is not None

    @property
    def can_go_on(self) -> bool:
        """Whether another engine can be told where to go on."""
        return self.last_id is not None or not self.has_unnumbered

    def after(
        self, event_id: str, is_adjacent: bool, max_step: int, has_content: bool = True
    ) -> "StreamPosition":
        """Return the position after an event; raise an error if it cannot be next.

        `is_adjacent` means that the event before it came with the same answer.
        `max_step` limits the distance of the ids unless it is 0.
        """
        if not 0 < len(event_id) <= MAX_EVENT_ID_LENGTH:
            raise ForeignAnswerError(f"event id of {len(event_id)} characters")
        number = id_number(event_id)
        step, is_measured = self.step, self.is_step_measured
        event_count = self.event_count + has_content
        if self.last_id is None:
            return self._moved(event_id, number or 0, False, event_count)
        last = id_number(self.last_id)
        if event_id == self.last_id:
            raise ForeignAnswerError(f"event {event_id!r} again")
        if last is None:
            return self._moved(event_id, step, is_measured, event_count)
        if number is None or number <= last:
            raise ForeignAnswerError(f"event {event_id!r} after {self.last_id!r}")
        found = number - last
        if max_step and found > max_step:
            message = f"event {event_id!r} after {self.last_id!r}, steps of {max_step}"
            raise ForeignAnswerError(message)
        if not is_adjacent:
            return self._moved(event_id, step, is_measured, event_count)
        step = found if found == step or not is_measured else 0
        return self._moved(event_id, step, True, event_count)

    def _moved(
        self, last_id: str, step: int, is_step_measured: bool, event_count: int
    ) -> "StreamPosition":
        # Called for each event; `replace` is slower.
        return StreamPosition(
            last_id,
            self.head,
            step,
            is_step_measured,
            self.has_unnumbered,
            event_count,
        )


class AnswerEvents:
    """Checks the events of one answer and selects the bytes to forward.

    `position` is what the caller has, and has to be read back after `accept`. `count`
    is the number of events with an id. `is_resumable` streams may go on at another
    engine.
    """

    def __init__(self, position: StreamPosition, is_resumable: bool) -> None:
        self.position = position
        self.is_resumable = is_resumable
        self.is_later = position.has_begun
        self.max_step = position.step if position.has_begun else 0
        self.head: AnswerHead | None = None
        self.count = 0
        self.has_content = False
        self.held = b""

    def begin(self, head: AnswerHead) -> None:
        """Set the head of the answer; raise an error unless it may go on."""
        first = self.position.head
        self.head = head
        if first is None:
            return
        if head.status != first.status:
            raise ForeignAnswerError(f"status {head.status} after {first.status}")
        if first.media_type and head.media_type != first.media_type:
            message = f"media type {head.media_type!r} after {first.media_type!r}"
            raise ForeignAnswerError(message)
        if first.has_request_id and not head.has_request_id:
            raise ForeignAnswerError("answer without a request id")

    def accept(self, events: Iterable[StreamEvent]) -> bytes:
        """Return the bytes to forward; raise an error if an event is not the next.

        After an error, none of `events` counts as delivered.
        """
        position, count, has_content = self.position, self.count, self.has_content
        forwarded, held = [], [self.held] if self.held else []
        for event in events:
            has_content |= event.has_content
            if event.event_id is not None:
                position = position.after(
                    event.event_id, count > 0, self.max_step, event.has_content
                )
                count += 1
                forwarded += [*held, event.data]
                held = []
            elif position.last_id is None:
                if event.has_content:
                    position = replace(position, has_unnumbered=True)
                forwarded.append(event.data)
            elif count == 0:
                if event.has_content:
                    raise ForeignAnswerError("first event without an id")
                held.append(event.data)
            elif event.has_content and self.is_resumable:
                held.append(event.data)
            else:
                forwarded.append(event.data)
        self.held = b"".join(held)
        if len(self.held) > MAX_HELD_BYTES:
            raise ForeignAnswerError(f"no event in {len(self.held)} bytes")
        if forwarded and not position.has_begun:
            position = replace(position, head=self.head)
        self.position, self.count, self.has_content = position, count, has_content
        return b"".join(forwarded)

    def end(self, is_stream_whole: bool = False) -> bytes:
        """Return the held bytes at the end of a complete answer.

        `is_stream_whole` means that the stream had all that was asked for before, so
        that another engine's comments are dropped. An error is raised if the end of the
        answer is not that of the stream.
        """
        if self.is_later and not self.has_content:
            if not is_stream_whole:
                raise EmptyAnswerError("no event after the stream had begun")
            return b""
        return self.held


def output_error(
    first: int,
    held: Sequence[int],
    first_position: int,
    tokens: Sequence[int],
    finish: str,
) -> str:
    """Return why an engine's tokens do not extend an answer, or an empty string.

    `held` are the tokens of the answer from position `first` on; the engine was told to
    go on at a position from `first` to their end. Its tokens begin at `first_position`
    and may repeat some of them.
    """
    end = first + len(held)
    if first_position > end:
        return "gap in engine output"
    if first_position < first:
        return "engine output before the position to go on at"
    repeated = tokens[: end - first_position]
    start = first_position - first
    if list(repeated) != list(held[start : start + len(repeated)]):
        return "engine output differs from the answer"
    if finish and first_position + len(tokens) < end:
        return "engine output ends inside the answer"
    return ""


def id_number(event_id: str) -> int | None:
    """Return the id as a number, None if it is none."""
    if len(event_id) <= MAX_NUMBER_LENGTH and event_id.isascii():
        return int(event_id) if event_id.isdigit() else None
    return None


def media_type(content_type: str) -> str:
    """Return the media type of a `Content-Type`, without its parameters."""
    return content_type.partition(";")[0].strip().lower()
