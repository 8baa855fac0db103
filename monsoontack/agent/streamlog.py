"""Log of the streams that an agent's engine runs or has recently ended.

`StreamLog` does no I/O: each method takes an event and the time in seconds of the
loop's clock, and returns the actions that the agent executes. At most one link owns a
stream and receives its tokens. `Attach` moves a stream to another link with a higher
attempt; a `Start` or `Attach` whose attempt is not higher is refused as superseded. A
stream whose link closed becomes an orphan, which the engine continues until the orphan
timeout, so that another entry can attach to it.

Each request to the engine is a run with a new `run_id`. Tokens from the engine are
matched by run and not by attempt, since `Attach` changes the attempt of a running
request.
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

# About 24 MB at 12 bytes a token. Above this limit, ended streams are removed before
# `keep_ended_s` has passed.
MAX_LOG_TOKENS = 2_000_000

# A long replay is split into several frames, so that each frame stays far below the
# 4 MB limit of a gRPC message.
MAX_CHUNK_TOKENS = 4_096


@dataclass(slots=True, repr=False)
class Stream:
    """One generation in the log.

    `next_position` is the position of the next token to send on its link. An orphan has
    no link.
    """

    generation: str
    attempt: int
    run_id: int
    token_log: TokenLog
    next_position: int
    link_number: int | None
    finish_reason: str = ""
    error: StreamEnd | None = None
    finish_sent: bool = False
    orphaned_at: float | None = None
    ended_at: float | None = None

    @property
    def is_running(self) -> bool:
        """Whether the engine still runs the request."""
        return self.ended_at is None

    @property
    def is_delivered(self) -> bool:
        """Whether all tokens and the end have been sent on the link."""
        return self.finish_sent

    def has_unsent(self) -> bool:
        """Return whether there are tokens or an end to send on the link."""
        return self.next_position < self.token_log.end or (
            not self.is_running and not self.finish_sent
        )


@dataclass(slots=True, repr=False)
class StreamLog:
    """All streams of one agent, by generation.

    `ended` holds the generations of ended streams, oldest first. `unsent` holds for
    each link number the generations with data to send.
    """

    max_streams: int = 4096
    keep_ended_s: float = 60.0
    orphan_timeout_s: float = 30.0
    max_tokens: int = MAX_LOG_TOKENS
    leaving: bool = False
    streams: dict[str, Stream] = field(default_factory=dict)
    ended: dict[str, None] = field(default_factory=dict)
    generation_by_run: dict[int, str] = field(default_factory=dict)
    unsent: dict[int, dict[str, None]] = field(default_factory=dict)
    running_count_by_link: Counter = field(default_factory=Counter)
    token_count: int = 0
    last_run_id: int = 0

    @classmethod
    def from_settings(cls, settings) -> "StreamLog":
        """Return an empty log with the limits of `AgentSettings`."""
        return cls(
            settings.max_streams, settings.keep_ended_s, settings.orphan_timeout_s
        )

    @property
    def running_count(self) -> int:
        """Number of streams that the engine runs."""
        return len(self.generation_by_run)

    def start(self, link_number: int, start: StartRequest, now: float) -> list[Action]:
        """Start an attempt, or refuse it with an end that gives the reason."""
        stream = self.streams.get(start.generation)
        if stream is not None and start.attempt <= stream.attempt:
            return [self._refusal(link_number, start, "superseded")]
        if self.leaving:
            return [self._refusal(link_number, start, "leaving")]
        actions: list[Action] = []
        log = TokenLog(len(start.prefix))
        if stream is not None:
            actions += self._notify_superseded(stream, link_number)
            # Keeps the texts of the prefix, so that a caller that lost its last tokens
            # can attach at a position before the start of this attempt.
            if stream.token_log.matches_prefix(start.prefix):
                log = stream.token_log.truncated(len(start.prefix))
            actions += self._remove(stream)
        if not self._ensure_stream_slot():
            return [
                *actions,
                self._refusal(link_number, start, "refused", "log is full"),
            ]
        self.last_run_id += 1
        self.streams[start.generation] = Stream(
            start.generation,
            start.attempt,
            self.last_run_id,
            log,
            len(start.prefix),
            link_number,
        )
        self.token_count += len(log.tokens)
        self.running_count_by_link[link_number] += 1
        self.generation_by_run[self.last_run_id] = start.generation
        return [*actions, RunEngine(self.last_run_id, start)]

    def attach(
        self, link_number: int, attach: AttachRequest, now: float
    ) -> list[Action]:
        """Move a stream to a link with a higher attempt and replay its tokens.

        The replay begins at `from_position`, but no earlier than the first position of
        the log, which is the prefix length of `Start`, or lower if the log kept the
        texts of the prefix. A position after the end of the log belongs to another
        answer and is refused.
        """
        stream = self.streams.get(attach.generation)
        if stream is None:
            return [
                self._attach_end(link_number, attach, "not_found", "not in the log")
            ]
        if attach.attempt <= stream.attempt:
            return [self._attach_end(link_number, attach, "superseded")]
        if attach.from_position > stream.token_log.end:
            message = f"log ends at position {stream.token_log.end}"
            return [self._attach_end(link_number, attach, "not_found", message)]
        actions = self._notify_superseded(stream, link_number)
        stream.attempt = attach.attempt
        self._move(stream, link_number)
        stream.next_position = max(
            attach.from_position, stream.token_log.first_position
        )
        stream.finish_sent = False
        stream.orphaned_at = None
        return [*actions, *self._mark_unsent(stream)]

    def cancel(self, generation: str, attempt: int) -> list[Action]:
        """Remove a stream whose caller disconnected; ignore an old attempt."""
        stream = self.streams.get(generation)
        if stream is None or attempt < stream.attempt:
            return []
        return self._remove(stream)

    def close_link(self, link_number: int, now: float) -> list[Action]:
        """Make all streams of a closed link orphans."""
        self.unsent.pop(link_number, None)
        for stream in self.streams.values():
            if stream.link_number == link_number:
                self._move(stream, None)
                stream.orphaned_at = now
        return []

    def append(
        self,
        run_id: int,
        first_position: int,
        tokens: Sequence[int],
        texts: Sequence[str],
        finish_reason: str,
        now: float,
    ) -> list[Action]:
        """Add tokens from the engine; ignore tokens of an old run.

        Tokens that the log already has are skipped. Output that does not extend the
        answer ends the attempt with a failure.
        """
        stream = self._stream_by_run(run_id)
        if stream is None:
            return []
        log = stream.token_log
        if message := log.output_error(first_position, tokens, finish_reason):
            end = self.fail(run_id, "backend_failed", message, True, now)
            return [CancelEngine(run_id), *end]
        skip = log.end - first_position
        log.append(tokens[skip:], texts[skip:])
        self.token_count += max(len(tokens) - skip, 0)
        if finish_reason:
            stream.finish_reason = finish_reason
            self._end(stream, now)
        return self._mark_unsent(stream) if stream.has_unsent() else []

    def fail(
        self, run_id: int, code: str, message: str, started: bool, now: float
    ) -> list[Action]:
        """End an attempt that the engine refused or that failed."""
        stream = self._stream_by_run(run_id)
        if stream is None:
            return []
        stream.error = StreamEnd(
            stream.generation, stream.attempt, code, message, started
        )
        self._end(stream, now)
        return self._mark_unsent(stream)

    def take_unsent(self, link_number: int) -> tuple[list[TokenChunk], list[StreamEnd]]:
        """Return the unsent chunks and ends of a link and mark them as sent.

        At most `MAX_CHUNK_TOKENS` tokens are returned. If more are left, `unsent` still
        contains the link.
        """
        chunks: list[TokenChunk] = []
        ends: list[StreamEnd] = []
        remaining_tokens = MAX_CHUNK_TOKENS
        unsent_generations = self.unsent.get(link_number, {})
        while unsent_generations and remaining_tokens > 0:
            generation = next(iter(unsent_generations))
            del unsent_generations[generation]
            stream = self.streams.get(generation)
            if (
                stream is None
                or stream.link_number != link_number
                or not stream.has_unsent()
            ):
                continue
            chunk = self._take_chunk(stream, remaining_tokens)
            remaining_tokens -= len(chunk.tokens)
            if chunk.tokens or chunk.finish:
                chunks.append(chunk)
            if stream.next_position < stream.token_log.end:
                unsent_generations[generation] = None
            elif stream.error is not None:
                stream.finish_sent = True
                ends.append(self._current_error(stream))
        if not unsent_generations:
            self.unsent.pop(link_number, None)
        return chunks, ends

    def expire(self, now: float) -> list[Action]:
        """Remove streams that ended at least `keep_ended_s` ago.

        Orphans that have timed out are removed as well, and their runs are cancelled.
        """
        actions: list[Action] = []
        for generation in list(self.ended):
            stream = self.streams[generation]
            if now - stream.ended_at < self.keep_ended_s:
                break
            self._remove(stream)
        for stream in list(self.streams.values()):
            if stream.is_running and self._orphan_expired(stream, now):
                actions += self._remove(stream)
        return actions

    def unfinished_streams(self, now: float) -> list[Stream]:
        """Return the streams that a graceful drain waits for.

        An orphan counts until its timeout, because its caller may reconnect.
        """
        return [
            stream
            for stream in self.streams.values()
            if not stream.is_delivered and not self._orphan_expired(stream, now)
        ]

    def hand_over(self, now: float) -> list[Action]:
        """End all running streams with code `leaving` at the drain deadline."""
        actions: list[Action] = []
        for run_id in list(self.generation_by_run):
            actions.append(CancelEngine(run_id))
            actions += self.fail(run_id, "leaving", "agent shuts down", True, now)
        return actions

    def _orphan_expired(self, stream: Stream, now: float) -> bool:
        orphaned_at = stream.orphaned_at
        return orphaned_at is not None and now - orphaned_at >= self.orphan_timeout_s

    def _stream_by_run(self, run_id: int) -> Stream | None:
        generation = self.generation_by_run.get(run_id)
        return None if generation is None else self.streams[generation]

    def _take_chunk(self, stream: Stream, remaining_tokens: int) -> TokenChunk:
        begin = stream.next_position
        stream.next_position = min(stream.token_log.end, begin + remaining_tokens)
        tokens, texts = stream.token_log.slice(begin, stream.next_position)
        finish_reason = (
            stream.finish_reason if stream.next_position == stream.token_log.end else ""
        )
        stream.finish_sent = bool(finish_reason)
        return TokenChunk(
            stream.generation,
            stream.attempt,
            begin,
            tuple(tokens),
            tuple(texts),
            finish_reason,
        )

    def _current_error(self, stream: Stream) -> StreamEnd:
        error = stream.error
        return StreamEnd(
            stream.generation, stream.attempt, error.code, error.message, error.started
        )

    def _mark_unsent(self, stream: Stream) -> list[Action]:
        if stream.link_number is None:
            return []
        self.unsent.setdefault(stream.link_number, {})[stream.generation] = None
        return [WakeLink(stream.link_number)]

    def _move(self, stream: Stream, link_number: int | None) -> None:
        """Assign a stream to another link, or to no link."""
        if stream.is_running:
            self._adjust_running_count(stream.link_number, -1)
            self._adjust_running_count(link_number, 1)
        stream.link_number = link_number

    def _adjust_running_count(self, link_number: int | None, change: int) -> None:
        if link_number is None:
            return
        self.running_count_by_link[link_number] += change
        if not self.running_count_by_link[link_number]:
            del self.running_count_by_link[link_number]

    def _end(self, stream: Stream, now: float) -> None:
        self._adjust_running_count(stream.link_number, -1)
        stream.ended_at = now
        self.generation_by_run.pop(stream.run_id, None)
        self.ended[stream.generation] = None
        while self.token_count > self.max_tokens and self._evict_ended():
            pass

    def _notify_superseded(self, stream: Stream, link_number: int) -> list[Action]:
        if stream.link_number is None or stream.is_delivered:
            return []
        # The entry of this link requested the new attempt and needs no notification.
        if stream.link_number == link_number:
            return []
        end = StreamEnd(stream.generation, stream.attempt, "superseded")
        return [SendEnd(stream.link_number, end)]

    def _remove(self, stream: Stream) -> list[Action]:
        del self.streams[stream.generation]
        self.ended.pop(stream.generation, None)
        self.token_count -= len(stream.token_log.tokens)
        if self.generation_by_run.pop(stream.run_id, None) is None:
            return []
        self._adjust_running_count(stream.link_number, -1)
        return [CancelEngine(stream.run_id)]

    def _ensure_stream_slot(self) -> bool:
        return len(self.streams) < self.max_streams or self._evict_ended()

    def _evict_ended(self) -> bool:
        """Remove the oldest ended stream with nothing to deliver; False if none."""
        for generation in self.ended:
            stream = self.streams[generation]
            if stream.is_delivered or stream.link_number is None:
                self._remove(stream)
                return True
        return False

    def _refusal(
        self, link_number: int, start: StartRequest, code: str, message: str = ""
    ) -> SendEnd:
        end = StreamEnd(start.generation, start.attempt, code, message, False)
        return SendEnd(link_number, end)

    def _attach_end(
        self, link_number: int, attach: AttachRequest, code: str, message: str = ""
    ) -> SendEnd:
        end = StreamEnd(attach.generation, attach.attempt, code, message)
        return SendEnd(link_number, end)


def describe_streams(streams: Iterable[Stream]) -> list[dict]:
    """Return the streams without their tokens, for the state dump."""
    return [
        {
            "generation": stream.generation,
            "attempt": stream.attempt,
            "link": stream.link_number,
            "base": stream.token_log.first_position,
            "end": stream.token_log.end,
            "sent": stream.next_position,
            "running": stream.is_running,
            "finish": stream.finish_reason,
            "error": stream.error.code if stream.error else "",
        }
        for stream in streams
    ]
