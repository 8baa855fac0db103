"""Relays the answer of one attempt of a stream, and tells why it ended."""

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from monsoontack.gateway.fleet import Member
from monsoontack.gateway.outbound import FailureKind, HttpExchange
from monsoontack.gateway.records import (
    ResponseHead,
)
from monsoontack.gateway.responder import CallerDisconnectedError
from monsoontack.gateway.sse import EventSplitter, EventTooLongError
from monsoontack.generation.pace import falling_maximum

if TYPE_CHECKING:
    from monsoontack.gateway.streamrun import StreamRun

# How often a run looks whether its engine is silent.
LOOK_S = 0.1
# A run that waits for its first event checks that its engine takes connections
# when it is later than predicted, and again after this time.
CHECK_EVERY_S = 0.5
CHECK_TIMEOUT_S = 0.6
# Time for a connection if the engine fell silent elsewhere; without such a sign, a
# slow connection more often comes from a busy link of this VM.
DOUBTED_TIMEOUT_S = 0.25
# A run that goes on from a copy has to be admitted first.
RESUME_FACTOR = 1.5
# Part of the silence limit after which a connection shows whether the engine lives.
ALIVE_CHECK_SHARE = 0.5
# Bytes of an error answer that are kept to be passed on.
MAX_ERROR_BYTES = 65_536


@dataclass(slots=True)
class StreamLoss:
    """Why an attempt of a stream ended without the end of the stream.

    `answer` and `body` hold an error answer of the engine, if it gave one;
    `events` counts those that the attempt delivered.
    """

    reason: str
    not_run: bool = False
    unsent: bool = False
    answer: ResponseHead | None = None
    body: bytes = b""
    events: int = 0


class StreamReading:
    """Relays one attempt's answer."""

    def __init__(
        self,
        run: "StreamRun",
        member: Member,
        exchange: HttpExchange,
        tokens: int,
        resumed: bool,
    ) -> None:
        self.run = run
        self.job = run.job
        self.member = member
        self.exchange = exchange
        self.sent_at = run.now()
        self.resumed = resumed
        self.splitter = EventSplitter()
        self.tokens = tokens
        self.first_limit_s = run.pace.first_event_limit_s(tokens)
        self.check_at_s = run.pace.check_after_s(tokens)
        self.answer: ResponseHead | None = None
        self.alive_check: asyncio.Task | None = None

    async def relay(self) -> StreamLoss | None:
        """Relay events until the stream ends; return the loss, if it is one."""
        try:
            return await self._relay()
        except (CallerDisconnectedError, asyncio.CancelledError):
            self.exchange.abort()
            raise
        except EventTooLongError as error:
            self.exchange.abort()
            return StreamLoss(f"{FailureKind.OVERSIZED}: {error}")
        finally:
            self._end_alive_check()

    async def _relay(self) -> StreamLoss | None:
        exchange, job, run = self.exchange, self.job, self.run
        while True:
            await exchange.wait(self._wait_s())
            if job.responder.is_disconnected:
                raise CallerDisconnectedError
            if self.answer is None and exchange.has_head:
                loss = await self._take_head()
                if loss is not None:
                    return loss
            if self.answer is not None and exchange.parts:
                await self._pass_on(exchange.take_body())
            if exchange.is_finished:
                return self._end()
            if job.left_s(self.run.now()) <= 0:
                exchange.abort()
                return StreamLoss("deadline")
            if self.member.restarted:
                exchange.abort()
                return StreamLoss("its engine started anew")
            silence = await self._silence()
            if silence is not None:
                run.forwarder.fleet.note_unreachable(self.member, run.now())
                exchange.abort()
                return StreamLoss(f"{FailureKind.SILENT}: {silence}")

    def _wait_s(self) -> float:
        now = self.run.now()
        left_s = self.job.left_s(now)
        return max(min(LOOK_S, left_s), 0.001)

    async def _take_head(self) -> StreamLoss | None:
        """Interpret the head; begin the caller's answer if it is a success."""
        exchange, job = self.exchange, self.job
        wire = self.run.forwarder.sender.wire
        answer = wire.parse_response_head(exchange.status, exchange.headers)
        if answer.not_run:
            await self._drain_error()
            return StreamLoss(f"not_run {answer.status}", not_run=True, answer=answer)
        job.may_have_run = True
        if answer.status >= 300:
            body = await self._drain_error()
            if exchange.failure is not None:
                return StreamLoss(str(exchange.failure))
            return StreamLoss(str(answer.status), answer=answer, body=body)
        if answer.encoded or not answer.signed:
            exchange.abort()
            return StreamLoss(str(FailureKind.MALFORMED))
        self.answer = answer
        return None

    async def _drain_error(self) -> bytes:
        """Return the body of an error answer."""
        exchange, parts, size = self.exchange, [], 0
        until = min(self.run.now() + 1.0, self.job.deadline_at)
        while not exchange.is_finished or exchange.parts:
            await exchange.wait(until - self.run.now())
            parts.append(exchange.take_body())
            size += len(parts[-1])
            if self.run.now() >= until or size > MAX_ERROR_BYTES:
                exchange.abort()
        return b"".join(parts)

    async def _pass_on(self, data: bytes) -> None:
        """Send whole events on."""
        before = self.splitter.count
        whole = self.splitter.feed(data)
        run, now = self.run, self.run.now()
        self.member.last_byte_at = now
        if not whole:
            return
        if self.splitter.count > before or self.splitter.count == 0:
            self._note_progress(now, is_first=before == 0)
        if self.splitter.last_id is not None:
            run.last_id = self.splitter.last_id
        responder = self.job.responder
        if not responder.head_sent:
            responder.begin(self.answer.status, self.answer.forwarded)
        await responder.write(whole)

    def _note_progress(self, now: float, is_first: bool) -> None:
        """Note events; comments between them keep no stalled stream alive."""
        run = self.run
        if run.events == 0 or is_first and run.last_event_at == 0.0:
            self._first_event(now)
        else:
            gap_s = now - run.last_event_at
            self.job.worst_gap_s = max(self.job.worst_gap_s, gap_s)
            if not is_first:
                record = self.job.tries[-1]
                record.worst_gap_s = max(record.worst_gap_s, gap_s)
                run.pace.saw_gap(gap_s)
                self.member.longest_gap_s = falling_maximum(
                    self.member.longest_gap_s, gap_s
                )
        run.last_event_at = now
        run.events += 1
        run.stop_waiting()
        self._end_alive_check()

    def _first_event(self, now: float) -> None:
        if self.job.first_event_at is None:
            self.job.first_event_at = now
        if self.job.tries[-1].first_event_at is None:
            self.job.tries[-1].first_event_at = now
        if not self.resumed:
            self.run.pace.saw_first_event(self.tokens, now - self.sent_at)
        self.run.forwarder.fleet.note_alive(self.member, now)

    async def _silence(self) -> str | None:
        """Return what shows that the engine is silent for too long, if it is."""
        run, now, member = self.run, self.run.now(), self.member
        limit_s = run.pace.silence_limit_s(self.job.route.max_gap_s)
        if not self.job.route.is_repeatable:
            # It cannot go on elsewhere, so its engine has until the deadline.
            return None
        if self.splitter.count:
            gap_s = now - run.last_event_at
            if not self._is_stalled(gap_s, limit_s):
                return None
            member.suspected_at = now
            return f"no event for {gap_s:.2f} s"
        waited_s = now - self.sent_at
        if self.resumed:
            is_late = waited_s > RESUME_FACTOR * limit_s
            return f"no event {waited_s:.2f} s after it went on" if is_late else None
        if waited_s > self.first_limit_s:
            return f"no first event for {waited_s:.2f} s"
        is_doubted = member.suspected_at > max(self.sent_at, member.last_byte_at)
        if not is_doubted and waited_s <= self.check_at_s:
            return None
        self.check_at_s = waited_s + CHECK_EVERY_S
        timeout_s = DOUBTED_TIMEOUT_S if is_doubted else CHECK_TIMEOUT_S
        failure = await run.forwarder.sender.check_connection(member, timeout_s)
        return None if failure is None else f"no new connection, {failure.detail}"

    def _is_stalled(self, gap_s: float, limit_s: float) -> bool:
        """Whether a running stream moves; `limit_s` is the service's usual limit.

        An engine that still takes connections gets a limit of its own: one that was
        slow lately is not taken for a stalled one.
        """
        if gap_s > ALIVE_CHECK_SHARE * limit_s and self.alive_check is None:
            check = self.run.forwarder.sender.check_connection
            timeout_s = (1 - ALIVE_CHECK_SHARE) * limit_s
            self.alive_check = asyncio.ensure_future(check(self.member, timeout_s))
        if gap_s <= limit_s:
            return False
        check, member = self.alive_check, self.member
        if not check.done() or check.exception() or check.result() is not None:
            return True
        live_limit_s = self.run.pace.live_limit_s(
            self.job.route.max_gap_s, member.longest_gap_s
        )
        if gap_s <= live_limit_s:
            return False
        member.longest_gap_s = falling_maximum(member.longest_gap_s, gap_s)
        return True

    def _end_alive_check(self) -> None:
        if self.alive_check is not None:
            self.alive_check.cancel()
            self.alive_check = None

    def _end(self) -> StreamLoss | None:
        """Return None if the stream is complete, else why it is not."""
        exchange = self.exchange
        if exchange.failure is not None:
            return StreamLoss(str(exchange.failure))
        if self.answer is None:
            return StreamLoss(str(FailureKind.CLOSED))
        if self.splitter.buffer:
            return StreamLoss("stopped inside an event")
        if not self.job.responder.head_sent:
            self.job.responder.begin(self.answer.status, self.answer.forwarded)
        return None
