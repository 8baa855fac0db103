"""Log of the streams that an agent's engine runs or has recently ended.

`StreamLog` decides without I/O: each method takes an event and the time in
seconds of the loop's clock, and returns the actions for the daemon. One link
owns a stream, and it gets the tokens from position `sent` on. `Attach` moves a
stream to another link with a higher attempt; whoever comes with an attempt that
is not higher is superseded. A stream whose link broke runs on as an orphan
until the orphan timeout, so that another entry can attach to it.

Tokens from the engine are matched by `run`, a number that is new for each
request to the engine, since `Attach` changes the attempt without a new request.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from monsoontack.agent.records import (
    Action,
    AttachRequest,
    CancelEngine,
    RunEngine,
    SendEnd,
    StartRequest,
    StreamEnd,
    WakeLink,
)
from monsoontack.agent.tokenlog import TokenLog
from monsoontack.core.records import TokenChunk

# About 24 MB at 12 bytes a token; ended streams beyond it are dropped early.
MAX_LOG_TOKENS = 2_000_000

# A replayed answer is spread over several frames, which stay far below the
# 4 MB limit of a gRPC message.
MAX_CHUNK_TOKENS = 4_096


@dataclass(slots=True)
class Stream:
    """One generation in the log. `sent` is the next position for its link."""

    generation: str
    attempt: int
    run: int
    log: TokenLog
    sent: int
    link: int | None
    finish: str = ""
    error: StreamEnd | None = None
    finish_sent: bool = False
    orphaned_at: float | None = None
    ended_at: float | None = None

    @property
    def running(self) -> bool:
        """Whether the engine still works on the stream."""
        return self.ended_at is None

    @property
    def delivered(self) -> bool:
        """Whether the link has got everything, the end included."""
        return self.finish_sent

    def has_unsent(self) -> bool:
        """Return whether there is anything for the link."""
        return self.sent < self.log.end or (not self.running and not self.finish_sent)


@dataclass(slots=True)
class StreamLog:
    """All streams of one agent, oldest first in `ended`."""

    max_streams: int = 4096
    keep_ended_s: float = 60.0
    orphan_timeout_s: float = 30.0
    max_tokens: int = MAX_LOG_TOKENS
    leaving: bool = False
    streams: dict[str, Stream] = field(default_factory=dict)
    ended: dict[str, None] = field(default_factory=dict)
    generation_of_run: dict[int, str] = field(default_factory=dict)
    unsent: dict[int, dict[str, None]] = field(default_factory=dict)
    running_on: Counter = field(default_factory=Counter)
    token_count: int = 0
    last_run: int = 0

    @classmethod
    def from_settings(cls, settings) -> "StreamLog":
        """Return an empty log with the limits of `AgentSettings`."""
        return cls(
            settings.max_streams, settings.keep_ended_s, settings.orphan_timeout_s
        )

    @property
    def running_count(self) -> int:
        """Number of streams that the engine works on."""
        return len(self.generation_of_run)

    def start(self, link: int, start: StartRequest, now: float) -> list[Action]:
        """Begin an attempt, or refuse it with an end that says why."""
        stream = self.streams.get(start.generation)
        if stream is not None and start.attempt <= stream.attempt:
            return [self._refusal(link, start, "superseded")]
        if self.leaving:
            return [self._refusal(link, start, "leaving")]
        actions: list[Action] = []
        log = TokenLog(len(start.prefix))
        if stream is not None:
            actions += self._supersede(stream, link)
            # Keeps the texts of the prefix, so that a caller that lost the
            # last tokens can attach before the position of this attempt.
            if stream.log.holds_prefix(start.prefix):
                log = stream.log.truncated(len(start.prefix))
            actions += self._remove(stream)
        if not self._make_room():
            return [*actions, self._refusal(link, start, "refused", "log is full")]
        self.last_run += 1
        self.streams[start.generation] = Stream(
            start.generation,
            start.attempt,
            self.last_run,
            log,
            len(start.prefix),
            link,
        )
        self.token_count += len(log.tokens)
        self.running_on[link] += 1
        self.generation_of_run[self.last_run] = start.generation
        return [*actions, RunEngine(self.last_run, start)]

    def attach(self, link: int, attach: AttachRequest, now: float) -> list[Action]:
        """Move a stream to a link with a higher attempt and replay from there.

        A replay begins no earlier than the log, whose first position is the
        length of the prefix in `Start`. A position after the log's end belongs
        to another answer.
        """
        stream = self.streams.get(attach.generation)
        if stream is None:
            return [self._attach_end(link, attach, "not_found", "not in the log")]
        if attach.attempt <= stream.attempt:
            return [self._attach_end(link, attach, "superseded")]
        if attach.from_position > stream.log.end:
            held = f"log ends at position {stream.log.end}"
            return [self._attach_end(link, attach, "not_found", held)]
        actions = self._supersede(stream, link)
        stream.attempt = attach.attempt
        self._move(stream, link)
        stream.sent = max(attach.from_position, stream.log.base)
        stream.finish_sent = False
        stream.orphaned_at = None
        return [*actions, *self._mark_unsent(stream)]

    def cancel(self, generation: str, attempt: int) -> list[Action]:
        """Drop a stream whose caller has gone; an old attempt is ignored."""
        stream = self.streams.get(generation)
        if stream is None or attempt < stream.attempt:
            return []
        return self._remove(stream)

    def close_link(self, link: int, now: float) -> list[Action]:
        """Make orphans of all streams of a link that broke."""
        self.unsent.pop(link, None)
        for stream in self.streams.values():
            if stream.link == link:
                self._move(stream, None)
                stream.orphaned_at = now
        return []

    def append(
        self,
        run: int,
        first_position: int,
        tokens: Sequence[int],
        texts: Sequence[str],
        finish: str,
        now: float,
    ) -> list[Action]:
        """Add tokens from the engine; those of an old run are dropped.

        Tokens that the log already holds are trimmed. A gap means that output
        was lost between engine and agent, and ends the attempt.
        """
        stream = self._stream_of_run(run)
        if stream is None:
            return []
        skip = stream.log.end - first_position
        if skip < 0:
            message = "gap in engine output"
            end = self.fail(run, "backend_failed", message, True, now)
            return [CancelEngine(run), *end]
        stream.log.append(tokens[skip:], texts[skip:])
        self.token_count += max(len(tokens) - skip, 0)
        if finish:
            stream.finish = finish
            self._end(stream, now)
        return self._mark_unsent(stream) if stream.has_unsent() else []

    def fail(
        self, run: int, code: str, message: str, started: bool, now: float
    ) -> list[Action]:
        """End an attempt because the engine refused, broke or lost it."""
        stream = self._stream_of_run(run)
        if stream is None:
            return []
        stream.error = StreamEnd(
            stream.generation, stream.attempt, code, message, started
        )
        self._end(stream, now)
        return self._mark_unsent(stream)

    def collect(self, link: int) -> tuple[list[TokenChunk], list[StreamEnd]]:
        """Return what the link has not got yet, and count it as sent.

        At most `MAX_CHUNK_TOKENS` tokens are returned; `unsent` then still
        names the link.
        """
        chunks: list[TokenChunk] = []
        ends: list[StreamEnd] = []
        room = MAX_CHUNK_TOKENS
        waiting = self.unsent.get(link, {})
        while waiting and room > 0:
            generation = next(iter(waiting))
            del waiting[generation]
            stream = self.streams.get(generation)
            if stream is None or stream.link != link or not stream.has_unsent():
                continue
            chunk = self._take_chunk(stream, room)
            room -= len(chunk.tokens)
            if chunk.tokens or chunk.finish:
                chunks.append(chunk)
            if stream.sent < stream.log.end:
                waiting[generation] = None
            elif stream.error is not None:
                stream.finish_sent = True
                ends.append(self._current_error(stream))
        if not waiting:
            self.unsent.pop(link, None)
        return chunks, ends

    def expire(self, now: float) -> list[Action]:
        """Drop streams that ended long ago, and cancel old orphans."""
        actions: list[Action] = []
        for generation in list(self.ended):
            stream = self.streams[generation]
            if now - stream.ended_at < self.keep_ended_s:
                break
            self._remove(stream)
        for stream in list(self.streams.values()):
            if stream.running and self._orphan_expired(stream, now):
                actions += self._remove(stream)
        return actions

    def unfinished(self, now: float) -> list[Stream]:
        """Return streams that a graceful drain waits for.

        An orphan counts until its timeout, because its caller may reconnect.
        """
        return [
            stream
            for stream in self.streams.values()
            if not stream.delivered and not self._orphan_expired(stream, now)
        ]

    def hand_over(self, now: float) -> list[Action]:
        """End all running streams at the drain deadline with code `leaving`."""
        actions: list[Action] = []
        for run in list(self.generation_of_run):
            actions.append(CancelEngine(run))
            actions += self.fail(run, "leaving", "agent shuts down", True, now)
        return actions

    def _orphan_expired(self, stream: Stream, now: float) -> bool:
        orphaned_at = stream.orphaned_at
        return orphaned_at is not None and now - orphaned_at >= self.orphan_timeout_s

    def _stream_of_run(self, run: int) -> Stream | None:
        generation = self.generation_of_run.get(run)
        return None if generation is None else self.streams[generation]

    def _take_chunk(self, stream: Stream, room: int) -> TokenChunk:
        begin = stream.sent
        stream.sent = min(stream.log.end, begin + room)
        tokens, texts = stream.log.slice(begin, stream.sent)
        finish = stream.finish if stream.sent == stream.log.end else ""
        stream.finish_sent = bool(finish)
        return TokenChunk(
            stream.generation,
            stream.attempt,
            begin,
            tuple(tokens),
            tuple(texts),
            finish,
        )

    def _current_error(self, stream: Stream) -> StreamEnd:
        error = stream.error
        return StreamEnd(
            stream.generation, stream.attempt, error.code, error.message, error.started
        )

    def _mark_unsent(self, stream: Stream) -> list[Action]:
        if stream.link is None:
            return []
        self.unsent.setdefault(stream.link, {})[stream.generation] = None
        return [WakeLink(stream.link)]

    def _move(self, stream: Stream, link: int | None) -> None:
        """Give a stream to another link, or to none."""
        if stream.running:
            self._count_running(stream.link, -1)
            self._count_running(link, 1)
        stream.link = link

    def _count_running(self, link: int | None, change: int) -> None:
        if link is None:
            return
        self.running_on[link] += change
        if not self.running_on[link]:
            del self.running_on[link]

    def _end(self, stream: Stream, now: float) -> None:
        self._count_running(stream.link, -1)
        stream.ended_at = now
        self.generation_of_run.pop(stream.run, None)
        self.ended[stream.generation] = None
        while self.token_count > self.max_tokens and self._drop_ended():
            pass

    def _supersede(self, stream: Stream, link: int) -> list[Action]:
        if stream.link is None or stream.delivered:
            return []
        # The entry that made the new attempt on the same link knows of it.
        if stream.link == link:
            return []
        end = StreamEnd(stream.generation, stream.attempt, "superseded")
        return [SendEnd(stream.link, end)]

    def _remove(self, stream: Stream) -> list[Action]:
        del self.streams[stream.generation]
        self.ended.pop(stream.generation, None)
        self.token_count -= len(stream.log.tokens)
        if self.generation_of_run.pop(stream.run, None) is None:
            return []
        self._count_running(stream.link, -1)
        return [CancelEngine(stream.run)]

    def _make_room(self) -> bool:
        return len(self.streams) < self.max_streams or self._drop_ended()

    def _drop_ended(self) -> bool:
        """Drop the oldest ended stream that its link has got; False if none."""
        for generation in self.ended:
            stream = self.streams[generation]
            if stream.delivered or stream.link is None:
                self._remove(stream)
                return True
        return False

    def _refusal(
        self, link: int, start: StartRequest, code: str, message: str = ""
    ) -> SendEnd:
        end = StreamEnd(start.generation, start.attempt, code, message, False)
        return SendEnd(link, end)

    def _attach_end(
        self, link: int, attach: AttachRequest, code: str, message: str = ""
    ) -> SendEnd:
        end = StreamEnd(attach.generation, attach.attempt, code, message)
        return SendEnd(link, end)


def describe(streams: Iterable[Stream]) -> list[dict]:
    """Return streams for the state dump, without their tokens."""
    return [
        {
            "generation": stream.generation,
            "attempt": stream.attempt,
            "link": stream.link,
            "base": stream.log.base,
            "end": stream.log.end,
            "sent": stream.sent,
            "running": stream.running,
            "finish": stream.finish,
            "error": stream.error.code if stream.error else "",
        }
        for stream in streams
    ]
