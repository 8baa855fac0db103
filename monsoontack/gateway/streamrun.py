"""Serves one stream by attempts in sequence until the stream is complete."""

from typing import TYPE_CHECKING

import structlog

from monsoontack.core.errors import RequestError
from monsoontack.core.records import BackendServer
from monsoontack.gateway.askedengines import AskedEngines
from monsoontack.gateway.fleet import Member
from monsoontack.gateway.job import AttemptRecord, Job
from monsoontack.gateway.keptattempt import KeptAttempt
from monsoontack.gateway.outbound import ExchangeFailure, HttpExchange
from monsoontack.gateway.records import Attempt
from monsoontack.gateway.streamattempt import OpenAttempt, Placement, StreamLoss
from monsoontack.gateway.streamerrors import end_failed, send_error, too_late_error
from monsoontack.gateway.streamload import AttemptLoad
from monsoontack.gateway.streammove import (
    MOVE_CHECK_INTERVAL_S,
    has_next_engine,
    is_doubtful,
    wait_after_refusal,
    wait_after_wrong_answers,
)
from monsoontack.gateway.streamoutcome import (
    close_attempt,
    log_lost_engine,
    record_result,
)
from monsoontack.gateway.streamplace import admit_stream, place_attempt
from monsoontack.gateway.streamrelay import BLOCKED_REASON, StreamRelay
from monsoontack.generation.completeness import has_all_stated
from monsoontack.generation.continuation import StreamPosition
from monsoontack.generation.failover import (
    EndCause,
    FailoverInput,
    NextStep,
    end_cause,
    next_step,
)
from monsoontack.inbound.responder import CallerDisconnectedError
from monsoontack.scheduling.offer import EngineOffer
from monsoontack.scheduling.urgency import WaitingRequest

if TYPE_CHECKING:
    from monsoontack.gateway.streams import StreamForwarder

log = structlog.get_logger("gateway.streams")

# Copying a run's KV cache starts with the run and takes about this many events. An
# engine that is asked to resume earlier has no copy yet.
MIN_EVENTS_FOR_COPY = 3
# Time for which a stream stays at its silent engine after another one had nothing to
# add. Sound engines go on after a second or so, some after three.
EMPTY_STAY_S = 3.2
# Failed connections do not count as attempts of the route, so this bounds those that
# follow each other without a pause.
MAX_TOTAL_ATTEMPTS = 12


class StreamRun:
    """State of one stream while it is served.

    `events` is the number of reads that brought events, `position` what the caller has
    of them. `counted_attempts` are limited by the route, `total_attempts` also include
    those that were not run, unless a pause preceded them. `asked` has the engines of
    failed attempts; `copy_holder` is the start of the engine that got a copy of the KV
    cache. `engine_error` is the last error response of an engine. `broken_off` counts
    the engines that broke off the stream before they went on answering.
    `has_left_silent_engine` is set while only refusals have followed an engine that was
    left for its silence. That engine might have gone on, so the stream goes on trying
    until its deadline. `kept` has the attempt that was left last, for a short time.
    `attempt` is the present one. `waiting_request` is what waits at the gate, None if
    the stream does not.
    """

    def __init__(self, forwarder: "StreamForwarder", job: Job) -> None:
        self.forwarder = forwarder
        self.job = job
        self.stream_timeouts = forwarder.stream_timeouts(job.service)
        self.traits = forwarder.engine_traits(job.service)
        # A stream that cannot be resumed begins anew, whatever the caller has.
        has_position = job.route.is_repeatable and job.request.last_event_id
        self.position = StreamPosition(
            job.request.last_event_id if has_position else None
        )
        self.events = 0
        self.last_event_at = 0.0
        self.asked = AskedEngines()
        self.copy_holder: Member | None = None
        self.counted_attempts = 0
        self.total_attempts = 0
        self.engine_error: StreamLoss | None = None
        self.guard = forwarder.sender.guard
        self.broken_off = 0
        self.has_left_silent_engine = False
        self.kept = KeptAttempt(self)
        self.attempt: OpenAttempt | None = None
        self.waiting_request: WaitingRequest | None = None
        request = job.request
        self.segment_id = (
            request.prompt_segments[-1].segment_id if request.prompt_segments else ""
        )
        output = request.expected_output_tokens or request.max_output_tokens
        self.needed_tokens = request.prompt_tokens + output

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return self.forwarder.sender.now()

    async def serve(self) -> None:
        """Run attempts until the stream is complete or cannot be continued."""
        job = self.job
        self.forwarder.budgets.note_request(job.service, self.now())
        self.forwarder.sender.gate.note_request(job.service, self.now())
        if self.forwarder.rollouts is not None:
            self.forwarder.rollouts.note_request(job.service)
        refusal = too_late_error(self)
        if refusal is not None:
            send_error(self, refusal)
            return
        try:
            admitted = await admit_stream(self)
            if isinstance(admitted, RequestError):
                send_error(self, admitted)
                return
            loss = await self._run_attempts(admitted)
        except CallerDisconnectedError:
            job.outcome = "caller_gone"
            return
        finally:
            self.kept.reset("the stream has ended")
            self.forwarder.admission.end(job.service, self.waiting_request)
            job.events = self.position.event_count
            job.last_event_id = self.position.last_id
        if loss is None:
            job.outcome, job.status = "streamed", 200
            job.responder.finish()
            return
        end_failed(self, loss)

    def _is_wanted(self) -> bool:
        is_of_use = self.job.is_wanted() and not self.kept.takes_over
        return is_of_use and not self.is_blocked()

    async def _run_attempts(self, attempt: OpenAttempt | None) -> StreamLoss | None:
        """Return None if the stream is complete, else the last loss.

        `attempt` is the first one if it has been placed already.
        """
        step = NextStep.RESTART
        while True:
            if attempt is None:
                if self.is_blocked():
                    return StreamLoss(BLOCKED_REASON, not_run=True)
                attempt = self.open_attempt(step)
            if attempt is None:
                loss = StreamLoss("no engine can be reached", not_run=True, unsent=True)
                step = NextStep.END
            else:
                loss = await self._run_attempt(attempt)
                if loss is None or self._is_final_error(loss):
                    return loss
                step, attempt = self._after_loss(loss, attempt.placement)
                if attempt is not None:
                    continue
            if self.has_left_silent_engine:
                step = await wait_after_refusal(self, step)
            elif self.asked.must_pause:
                step = await wait_after_wrong_answers(self, step)
            if step is NextStep.END:
                return loss

    def _after_loss(
        self, loss: StreamLoss, placement: Placement
    ) -> tuple[NextStep, OpenAttempt | None]:
        """Return the next step, and the attempt to which the stream returns, if any."""
        self._note_loss(loss, placement.member.server)
        kept, is_copy_used = None, placement.copy is not None
        if loss.is_empty or self.kept.is_whole:
            kept = self.kept.return_to(EMPTY_STAY_S, loss.reason, is_copy_used)
        elif self.kept.is_due:
            because, stay_s = "the next one is late", self.kept.pause_left_s()
            kept = self.kept.return_to(stay_s, because, is_copy_used)
        elif loss.may_be_empty:
            stay_s = MOVE_CHECK_INTERVAL_S
            kept = self.kept.return_to(stay_s, loss.reason, is_copy_used)
        if kept is None:
            step = self._step_after_loss(loss, placement)
            if not self._returns(loss, step):
                return step, None
            because = "no other engine may be asked now"
            kept = self.kept.return_to(MOVE_CHECK_INTERVAL_S, because, is_copy_used)
            if kept is None:
                return self._granted(loss, step), None
            # The engine is not left again for some time, which limits the rate.
            self.note_pause()
        self.has_left_silent_engine = False
        return NextStep.RESTART, kept

    def _returns(self, loss: StreamLoss, step: NextStep) -> bool:
        """Whether the stream returns to the engine whose connection is kept.

        That engine has just been waited for if it is the one that is left now.
        """
        if self.kept.attempt is None:
            return False
        is_due = loss.is_kept or not self.asked.must_pause
        return not (is_due and has_next_engine(self, step))

    def _granted(self, loss: StreamLoss, step: NextStep) -> NextStep:
        """Return the step, or `END` if the retry budget does not allow it."""
        if step is NextStep.END or loss.unsent:
            return step
        is_granted = self.forwarder.budgets.take(self.job.service, self.now())
        return step if is_granted else NextStep.END

    def _is_final_error(self, loss: StreamLoss) -> bool:
        """Whether the caller gets this answer of an engine at once."""
        if loss.response_head is None or loss.not_run:
            return False
        self.engine_error = loss
        return self.is_final_status(loss.response_head.status)

    def is_final_status(self, status: int) -> bool:
        """Whether no other engine is asked after an engine's error of this status."""
        return status < 500 and not self.position.has_begun

    def _note_loss(self, loss: StreamLoss, server: BackendServer) -> None:
        """Note which engines are asked last after a failed attempt."""
        self.asked.note_gone(server.place, loss, self.now())
        if loss.is_silent or not loss.not_run:
            self.has_left_silent_engine = loss.is_silent
        has_left, last_id = self.has_left_silent_engine, self.position.last_id
        self.asked.note_loss(server.incarnation, loss, last_id, has_left)
        if self.kept.attempt is not None:
            self.asked.excluded.add(self.kept.attempt.record.server)

    def _step_after_loss(self, loss: StreamLoss, placement: Placement) -> NextStep:
        """Return the next step after a failed attempt, and take a retry for it."""
        now = self.now()
        member, backup = placement.member, placement.backup
        if loss.not_run:
            self.counted_attempts -= 1
        # A copy can be used only once, and exists only if the run has made events.
        has_events = backup is not None and loss.events >= MIN_EVENTS_FOR_COPY
        self.copy_holder = backup if has_events else None
        copy_member = self.copy_member()
        if loss.is_silent and copy_member and is_doubtful(copy_member, now):
            self.copy_holder = copy_member = None
        has_kv_copy = copy_member is not None
        state = self.failover_input(has_kv_copy)
        step, ended_by = next_step(state), end_cause(state)
        if loss.is_broken_off and not loss.has_gone_on:
            self.broken_off += 1
            if not self._may_repeat():
                step, ended_by = NextStep.END, EndCause.PROMPT
        if not self._returns(loss, step) and self._granted(loss, step) is not step:
            step, ended_by = NextStep.END, EndCause.BUDGET
        log_lost_engine(self, member, loss, step, state, ended_by, has_kv_copy)
        return step

    def failover_input(self, has_kv_copy: bool) -> FailoverInput:
        """Return the state on which the next step of the stream depends."""
        job = self.job
        return FailoverInput(
            has_kv_copy=has_kv_copy,
            resumable=job.route.is_repeatable and self.position.can_go_on,
            known_not_run=not job.may_have_run,
            attempts_left=min(
                job.route.attempts - self.counted_attempts,
                MAX_TOTAL_ATTEMPTS - self.total_attempts,
            ),
            left_s=job.left_s(self.now()),
        )

    def has_all_stated(self) -> bool:
        """Whether the caller has all tokens that the request stated."""
        return has_all_stated(self.position, self.job.request.max_output_tokens)

    def may_end_empty(self, member: Member) -> bool:
        """Whether an empty answer of this engine completes the stream."""
        others = self.asked.empty - {member.server.incarnation}
        return bool(others) and self.has_all_stated()

    def note_pause(self) -> None:
        """Allow one more attempt, since a pause limits the rate of further ones."""
        self.total_attempts = min(self.total_attempts, MAX_TOTAL_ATTEMPTS - 1)

    def is_blocked(self) -> bool:
        """Whether the request has been blocked since it arrived."""
        job = self.job
        return not job.is_trial and self.guard.is_blocked(job.content)

    def _may_repeat(self) -> bool:
        """Whether the stream may go on at another engine after one broke it off."""
        job = self.job
        if job.is_trial:
            return False
        return self.guard.may_repeat(job.content, self.broken_off)

    def copy_member(self) -> Member | None:
        """Return the engine that got a copy of the run, if it can be used."""
        return self.usable_copy(self.copy_holder, MIN_EVENTS_FOR_COPY)

    def usable_copy(self, holder: Member | None, events: int) -> Member | None:
        """Return the engine that got the copy if that start accepts requests.

        `events` is the number of events of the run that was copied.
        """
        if holder is None or events < MIN_EVENTS_FOR_COPY:
            return None
        member, now = self.forwarder.fleet.find_current(holder), self.now()
        if member is None or now < member.avoid_until:
            return None
        gate = self.forwarder.sender.gate
        return member if gate.may_send(member.limit_key, now) else None

    def open_attempt(
        self, step: NextStep, offer: EngineOffer | None = None
    ) -> OpenAttempt | None:
        """Begin to count the next attempt; return None if no engine can be used."""
        placement = place_attempt(self, step, offer)
        if placement is None:
            return None
        job, member = self.job, placement.member
        record = AttemptRecord(member.server.incarnation, self.now())
        job.tries.append(record)
        waiting_tokens = 0 if placement.copy else job.request.prompt_tokens
        load = AttemptLoad(
            self.forwarder.load_exchange,
            member,
            placement.backup,
            self.needed_tokens,
            waiting_tokens,
        )
        load.add()
        if self.forwarder.rollouts is not None:
            self.forwarder.rollouts.note_sent(member)
        return OpenAttempt(placement, record, load)

    async def _run_attempt(self, attempt: OpenAttempt) -> StreamLoss | None:
        """Run one attempt; return None if the stream is complete, else the loss."""
        loss: StreamLoss | None = StreamLoss("unsent", not_run=True)
        self.attempt = attempt
        try:
            if attempt.relay is None:
                self.counted_attempts += 1
                self.total_attempts += 1
                sent = await self._send(attempt)
                if isinstance(sent, ExchangeFailure):
                    if self.job.responder.is_disconnected:
                        raise CallerDisconnectedError
                    self.counted_attempts -= 1
                    attempt.record.result = str(sent.kind)
                    return StreamLoss(sent.detail, not_run=True, unsent=True)
                attempt.relay = StreamRelay(self, attempt, sent)
            loss = await attempt.relay.relay()
            if loss is not None and loss.is_kept:
                self.kept.keep(attempt, loss)
            else:
                record_result(self, attempt, loss)
            return loss
        finally:
            if self.kept.attempt is not attempt:
                close_attempt(self, attempt, loss)

    async def _send(self, attempt: OpenAttempt) -> HttpExchange | ExchangeFailure:
        job, placement = self.job, attempt.placement
        backup = placement.backup
        request = Attempt(
            server=attempt.member.server,
            left_s=max(job.left_s(self.now()), 0.001),
            account=job.account.name if job.account else None,
            priority=job.priority,
            backup=backup.server.address if backup else None,
            copy=placement.copy,
            last_event_id=self.position.last_id or job.request.last_event_id or None,
        )
        return await self.forwarder.sender.send(
            attempt.member, job.request, request, self._is_wanted
        )
