"""Relays the response of one attempt of a stream and reports why it ended."""

import asyncio
from typing import TYPE_CHECKING

import structlog

from monsoontack.gateway.crashdetector import BROKEN_OFF_KINDS
from monsoontack.gateway.outbound import FailureKind, HttpExchange
from monsoontack.gateway.records import ResponseHead
from monsoontack.gateway.sse import EventSplitter, EventTooLongError, parse_events
from monsoontack.gateway.streamattempt import (
    OpenAttempt,
    StreamLoss,
    queued_loss,
    silent_loss,
)
from monsoontack.gateway.streamhead import read_head
from monsoontack.gateway.streammove import (
    MOVE_CHECK_INTERVAL_S,
    is_overdue,
    leaves_queue,
    why_stay,
)
from monsoontack.gateway.streamoutcome import (
    log_going_on,
    log_wait,
    log_wrong_answer,
    note_first_event,
    note_paced_answer,
)
from monsoontack.generation.continuation import (
    AnswerEvents,
    EmptyAnswerError,
    ForeignAnswerError,
)
from monsoontack.generation.firstevent import FirstEventWait
from monsoontack.generation.silence import may_pause
from monsoontack.generation.streamtimeouts import decaying_maximum
from monsoontack.inbound.responder import CallerDisconnectedError
from monsoontack.routing.enginespeeds import StepWindow

if TYPE_CHECKING:
    from monsoontack.gateway.streamrun import StreamRun

log = structlog.get_logger("gateway.streams")

# Time in which the end of a connection is read after a new one was refused.
END_READ_S = 0.02
# Interval of the checks for a silent engine.
SILENCE_POLL_S = 0.1
# If the first event is later than predicted, the relay checks that the engine accepts
# connections, and repeats the check at this interval.
CONNECTION_CHECK_INTERVAL_S = 0.5
CONNECTION_CHECK_TIMEOUT_S = 0.6
# Connection timeout if another stream found the engine silent. Without such a sign, a
# slow connection is more often caused by a busy link of this VM.
SUSPECT_CHECK_TIMEOUT_S = 0.25
# Factor on the silence limit, since the engine of a copy has to admit the run first.
RESUME_LIMIT_FACTOR = 1.5
# Share of the silence limit after which a new connection tests the engine.
LIVENESS_CHECK_SHARE = 0.5
# Result of an attempt whose answer had no event for the stream.
EMPTY_RESULT = "empty"
BLOCKED_REASON = "a part of the prompt crashes engines"
# An engine that crashes when it begins an answer does so within tens of milliseconds of
# the first event. After this time it has gone on answering.
GO_ON_S = 0.5


class StreamRelay:
    """Relays the response of one attempt.

    `tokens_to_read` are the prompt tokens that the engine reads before the first
    event: those of runs ahead and the attempt's own. `resumed` attempts start from a
    copy of the KV cache. `began_at` is the time of the attempt's first event;
    `has_gone_on` is set once events have come for some time after it. By the latest
    check, the engine `refuses_connections` or is not `is_reachable`. `silent_since` is
    the time at which it was found silent, None unless it still is; `waits_for` is what
    keeps the stream there.
    """

    def __init__(
        self,
        run: "StreamRun",
        attempt: OpenAttempt,
        exchange: HttpExchange,
    ) -> None:
        self.run = run
        self.job = run.job
        placement = attempt.placement
        tokens_to_read = placement.tokens_ahead + attempt.load.waiting_tokens
        self.member = placement.member
        self.backup = placement.backup
        self.exchange = exchange
        self.sent_at = run.now()
        self.resumed = placement.copy is not None
        self.splitter = EventSplitter()
        self.answer = AnswerEvents(run.position, self.job.route.is_repeatable)
        self.tokens_ahead = placement.tokens_ahead
        self.tokens_to_read = tokens_to_read
        self.load = attempt.load
        self.record = attempt.record
        self.speeds = run.forwarder.speeds.of_service(run.job.service, self.sent_at)
        self.steps = StepWindow()
        slowness = max(self.speeds.factor(self.member.limit_key), 1.0)
        limit_s = run.stream_timeouts.first_event_limit_s(
            tokens_to_read, placement.slot_wait_s
        )
        self.first_event_wait = FirstEventWait(self.sent_at, slowness * limit_s)
        self.next_check_after_s = run.stream_timeouts.liveness_check_delay_s(
            tokens_to_read
        )
        self.response_head: ResponseHead | None = None
        self.liveness_check: asyncio.Task | None = None
        self.began_at: float | None = None
        self.has_gone_on = False
        self.refuses_connections = False
        self.is_reachable = True
        self.silent_since: float | None = None
        self.waits_for: str | None = None
        self.next_move_check_at = 0.0
        self.next_queue_check_at = 0.0

    async def relay(self) -> StreamLoss | None:
        """Relay events; return None if the stream is complete, else the loss."""
        try:
            loss = await self._relay()
            if loss is not None:
                loss.events = self.answer.count
            if loss is None or loss.not_run:
                # The engine has answered, so it is not silent any more.
                if loss is None and self.silent_since is not None:
                    self._note_going_on(self.run.now())
                self.silent_since = None
            return loss
        except (CallerDisconnectedError, asyncio.CancelledError):
            self.exchange.abort()
            raise
        except EventTooLongError as error:
            self.exchange.abort()
            return StreamLoss(f"{FailureKind.OVERSIZED}: {error}")
        except EmptyAnswerError as error:
            log_wrong_answer(self, error)
            return StreamLoss(EMPTY_RESULT, is_empty=True)
        except ForeignAnswerError as error:
            self.exchange.abort()
            log_wrong_answer(self, error)
            return StreamLoss(str(FailureKind.FOREIGN), is_foreign=True)
        finally:
            self._cancel_liveness_check()

    async def _relay(self) -> StreamLoss | None:
        exchange, job = self.exchange, self.job
        while True:
            await exchange.wait(self._poll_timeout_s())
            if job.responder.is_disconnected:
                raise CallerDisconnectedError
            if self.answer.count == 0 and self.run.kept.takes_over:
                exchange.abort()
                return StreamLoss("overtaken", is_overtaken=True)
            if self.response_head is None and exchange.has_head:
                loss = await read_head(self)
                if loss is not None:
                    return loss
            if self.response_head is not None and exchange.parts:
                await self._forward_events(exchange.take_body())
            # More may have come while the caller took its time to read.
            has_unread = bool(exchange.parts)
            if exchange.is_finished and not has_unread:
                return await self._end_loss()
            reason = self._reason_to_give_up()
            if reason is not None:
                exchange.abort()
                return StreamLoss(reason, is_broken_off=self.member.restarted)
            loss = None if has_unread else await self._check_silence()
            if loss is not None:
                return loss

    def _reason_to_give_up(self) -> str | None:
        """Return why the attempt is no longer of use, if it is not."""
        if self.job.left_s(self.run.now()) <= 0:
            return "deadline"
        if not self.has_gone_on and self.run.is_blocked():
            return BLOCKED_REASON
        return "its engine started anew" if self.member.restarted else None

    async def _check_silence(self) -> StreamLoss | None:
        """Return a loss if the stream leaves its engine for being silent."""
        exchange, now = self.exchange, self.run.now()
        if now < self.next_move_check_at:
            if self.silent_since is not None:
                self.member.silent_at = now
            return None
        if leaves_queue(self, now):
            exchange.abort()
            return queued_loss(now - self.sent_at)
        silence = await self._detect_silence()
        if silence is None:
            return None
        # An engine that has ended refuses connections a moment before the end of this
        # one is read.
        await exchange.wait(END_READ_S)
        if exchange.parts or exchange.is_finished:
            return None
        self._record_silence()
        if self._waits_at_silent_engine(silence):
            return None
        # Only a stream that has events may lack nothing but its end.
        is_kept = self.answer.count > 0 and not self.refuses_connections
        if not is_kept:
            exchange.abort()
        return silent_loss(silence, self.refuses_connections, is_kept)

    def stay(self, stay_s: float) -> None:
        """Leave the engine for no silence within this time, or until its next event."""
        self.next_move_check_at = self.run.now() + stay_s

    def _record_silence(self) -> None:
        """Record that the engine is silent, and once that it failed."""
        now = self.run.now()
        if self.silent_since is None:
            self.silent_since = now
            self.run.forwarder.fleet.note_unreachable(self.member, now)
        self.member.silent_at = now

    def _waits_at_silent_engine(self, silence: str) -> bool:
        """Whether the stream stays at its silent engine until the next check."""
        silent_s = self.run.now() - self.run.last_event_at
        is_pause = self.answer.count > 0 and may_pause(silent_s, self.is_reachable)
        waits_for = why_stay(
            self.run,
            self.member,
            self.backup,
            self.answer.count,
            self.silent_since,
            is_pause,
        )
        if waits_for is None:
            return False
        self.next_move_check_at = self.run.now() + MOVE_CHECK_INTERVAL_S
        self.note_wait(silence, waits_for)
        return True

    def note_wait(self, silence: str, waits_for: str) -> None:
        """Note that the stream waits for its silent engine, and for what reason."""
        if waits_for != self.waits_for:
            log_wait(self, silence, waits_for)
        self.waits_for = waits_for

    def _note_going_on(self, now: float) -> None:
        """End the wait for a silent engine, whose events come again."""
        self.silent_since = self.waits_for = None
        self.next_move_check_at = 0.0
        self.run.forwarder.fleet.note_alive(self.member, now)
        log_going_on(self, now - max(self.run.last_event_at, self.sent_at))

    def _poll_timeout_s(self) -> float:
        now = self.run.now()
        left_s = self.job.left_s(now)
        return max(min(SILENCE_POLL_S, left_s), 0.001)

    async def _forward_events(self, data: bytes) -> None:
        """Forward complete events that go on with the stream to the caller."""
        before = self.answer.count
        complete_events = self.splitter.feed(data)
        now = self.run.now()
        self.run.forwarder.fleet.note_bytes(self.member, now)
        if not complete_events:
            return
        forwarded = self.answer.accept(parse_events(complete_events))
        self.run.position = self.answer.position
        if self.answer.count:
            self.run.kept.reset("the next engine goes on")
        if self.answer.count > before or self.answer.count == 0:
            self._record_progress(now, is_first=before == 0)
        await self._write(forwarded)

    async def _write(self, data: bytes) -> None:
        if not data:
            return
        self._begin_answer()
        await self.job.responder.write(data)

    def _begin_answer(self) -> None:
        head, responder = self.response_head, self.job.responder
        if not responder.head_sent:
            responder.begin(head.status, head.forwarded)

    def _record_progress(self, now: float, is_first: bool) -> None:
        """Record the arrival of events; comments keep no stalled stream alive."""
        run = self.run
        if self.silent_since is not None:
            self._note_going_on(now)
        if is_first:
            note_paced_answer(self, now)
        if run.events == 0 or is_first and run.last_event_at == 0.0:
            note_first_event(self, now)
        else:
            gap_s = now - run.last_event_at
            self.job.worst_gap_s = max(self.job.worst_gap_s, gap_s)
            if not is_first:
                self.record.worst_gap_s = max(self.record.worst_gap_s, gap_s)
                run.stream_timeouts.note_gap(gap_s)
                self.member.longest_gap_s = decaying_maximum(
                    self.member.longest_gap_s, gap_s
                )
        step_s = self.steps.note(self.answer.count, run.position.step, now)
        if step_s is not None:
            self.speeds.note_steps(self.member.limit_key, step_s)
        run.last_event_at = now
        run.events += 1
        if self.began_at is None:
            self.began_at = now
        elif now >= self.began_at + GO_ON_S:
            self.has_gone_on = True
            run.guard.note_sound(self.job.content, self.began_at)
        self.load.note_prompt_read()
        self._cancel_liveness_check()

    async def _detect_silence(self) -> str | None:
        """Return the reason if the engine has been silent for too long, else None."""
        run, now, member = self.run, self.run.now(), self.member
        limit_s = run.stream_timeouts.silence_limit_s(self.job.route.max_gap_s)
        if not self.job.route.is_repeatable:
            # No other engine can continue the stream, so only the deadline applies.
            return None
        if self.answer.count:
            gap_s = now - run.last_event_at
            if not self._is_stalled(gap_s, limit_s):
                return None
            member.suspected_at = now
            return f"no event for {gap_s:.2f} s"
        waited_s = now - self.sent_at
        if self.resumed:
            is_late = waited_s > RESUME_LIMIT_FACTOR * limit_s
            return f"no event {waited_s:.2f} s after it went on" if is_late else None
        if is_overdue(self, now):
            return f"no first event for {waited_s:.2f} s"
        is_suspect = member.suspected_at > max(self.sent_at, member.last_byte_at)
        if not is_suspect and waited_s <= self.next_check_after_s:
            return None
        self.next_check_after_s = waited_s + CONNECTION_CHECK_INTERVAL_S
        limit_s = SUSPECT_CHECK_TIMEOUT_S if is_suspect else CONNECTION_CHECK_TIMEOUT_S
        timeout_s = min(limit_s, self.job.left_s(now))
        failure = await run.forwarder.sender.check_connection(member, timeout_s)
        self.refuses_connections = failure is not None and failure.is_refused
        return None if failure is None else f"no new connection, {failure.detail}"

    def _is_stalled(self, gap_s: float, limit_s: float) -> bool:
        """Whether a running stream is stalled; `limit_s` is the service's usual limit.

        An engine that still accepts connections gets its own limit, so that an engine
        that has lately been slow does not count as stalled.
        """
        if gap_s > LIVENESS_CHECK_SHARE * limit_s and self.liveness_check is None:
            check = self.run.forwarder.sender.check_connection
            timeout_s = (1 - LIVENESS_CHECK_SHARE) * limit_s
            self.liveness_check = asyncio.ensure_future(check(self.member, timeout_s))
        if gap_s <= limit_s:
            return False
        check, member = self.liveness_check, self.member
        if not check.done() or check.exception() or check.result() is not None:
            self.is_reachable = False
            return True
        self.is_reachable = True
        live_silence_limit_s = self.run.stream_timeouts.live_silence_limit_s(
            self.job.route.max_gap_s, member.longest_gap_s
        )
        if gap_s <= live_silence_limit_s:
            return False
        member.longest_gap_s = decaying_maximum(member.longest_gap_s, gap_s)
        return True

    def _cancel_liveness_check(self) -> None:
        if self.liveness_check is not None:
            self.liveness_check.cancel()
            self.liveness_check = None

    async def _end_loss(self) -> StreamLoss | None:
        """Return None if the stream is complete, else the loss."""
        exchange = self.exchange
        if exchange.failure is not None:
            is_broken_off = exchange.failure.kind in BROKEN_OFF_KINDS
            return StreamLoss(str(exchange.failure), is_broken_off=is_broken_off)
        if self.response_head is None:
            return StreamLoss(str(FailureKind.CLOSED), is_broken_off=True)
        if self.splitter.buffer:
            return StreamLoss("stopped inside an event", is_broken_off=True)
        if exchange.ends_with_connection and self.answer.count == 0:
            # Without length, chunks or events, nothing tells an answer from a crash.
            reason = "ended before the first event"
            return StreamLoss(reason, is_broken_off=True, may_be_empty=True)
        await self._write(self.answer.end(self.run.may_end_empty(self.member)))
        self._begin_answer()
        return None
