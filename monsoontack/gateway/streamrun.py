"""One stream on its way: attempts, one after the other, until it is whole."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

import structlog

from monsoontack.core.errors import RequestError, RunState
from monsoontack.gateway.errorresponse import error_response
from monsoontack.gateway.fleet import Member
from monsoontack.gateway.job import Job, Try
from monsoontack.gateway.outbound import ExchangeFailure
from monsoontack.gateway.records import (
    Attempt,
    KvCacheCopy,
)
from monsoontack.gateway.responder import CallerDisconnectedError
from monsoontack.gateway.rollouts import RolloutManager
from monsoontack.gateway.streamrelay import StreamLoss, StreamReading
from monsoontack.generation.failover import LossState, NextStep, next_step
from monsoontack.routing.placement import (
    PromptAffinity,
    choose_backup,
    choose_engine,
)

if TYPE_CHECKING:
    from monsoontack.gateway.streams import StreamForwarder

log = structlog.get_logger("gateway.streams")

# The copy of a run's memory starts when the run does and takes about this many
# events; before, an engine that is asked to go on from it has none.
COPY_EVENTS = 3
FULL_RETRY_S = 0.5
NO_SERVER_RETRY_S = 0.7
# Connections that fail cost no attempt, but they end at some point.
MAX_SENDS = 12


@dataclass(frozen=True, slots=True)
class Placement:
    """Where an attempt goes: its engine, the copy that it goes on from, the engine
    for the next copy, and the prompt tokens that others wait for at the engine.
    """

    member: Member
    copy: KvCacheCopy | None
    backup: Member | None
    tokens_ahead: int


class StreamRun:
    """State of one stream while it is served."""

    def __init__(self, forwarder: "StreamForwarder", job: Job) -> None:
        self.forwarder = forwarder
        self.job = job
        self.pace = forwarder.pace(job.service)
        self.traits = forwarder.engine_traits(job.service)
        self.last_id = job.request.last_event_id
        self.events = 0
        self.last_event_at = 0.0
        self.excluded: set[str] = set()
        self.copy_at: str | None = None
        self.sends = 0
        self.all_sends = 0
        self.error: StreamLoss | None = None
        request = job.request
        self.prefix_id = request.prefixes[-1].prefix_id if request.prefixes else ""
        output = request.expected_output_tokens or request.max_output_tokens
        self.need = request.prompt_tokens + output

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return self.forwarder.sender.now()

    async def serve(self) -> None:
        """Run attempts until the stream is complete or cannot go on."""
        job = self.job
        self.forwarder.budgets.note_request(job.service, self.now())
        if self.forwarder.rollouts is not None:
            self.forwarder.rollouts.note_request(job.service)
        if self._comes_too_late():
            message = "less time is left than any engine needs to read the prompt"
            self._refuse(RequestError(503, "too_late", message, retry_after_s=0.0))
            return
        try:
            ended = await self._attempts()
        except CallerDisconnectedError:
            job.outcome = "caller_gone"
            return
        if ended is None:
            job.outcome, job.status = "streamed", 200
            job.responder.finish()
            return
        self._give_up(ended)

    def _comes_too_late(self) -> bool:
        """Whether the deadline passes before an engine can have read the prompt.

        The start of a prompt that others share, or all of one that came before, may
        be in an engine's memory.
        """
        if self.prefix_id in self.forwarder.sent_to or self.last_id is not None:
            return False
        parts = self.job.request.prefixes
        tokens = parts[-1].tokens if parts else self.job.request.prompt_tokens
        left_s = self.job.left_s(self.now())
        return left_s < self.pace.shortest_first_event_s(tokens)

    async def _attempts(self) -> StreamLoss | None:
        """Return None once the stream is complete, else the last loss."""
        step = NextStep.RESTART
        while True:
            placed = self._place(step)
            if placed is None:
                return StreamLoss("no engine can be reached", not_run=True, unsent=True)
            loss = await self._attempt(placed)
            if loss is None:
                return None
            if loss.answer is not None and not loss.not_run:
                self.error = loss
                if loss.answer.status < 500:
                    return loss
            step = self._after(loss, placed.member, placed.backup)
            if step is NextStep.END:
                return loss

    def _after(
        self, loss: StreamLoss, member: Member, backup: Member | None
    ) -> NextStep:
        """Return how the stream goes on after a loss."""
        job, now = self.job, self.now()
        if loss.unsent:
            self.excluded.add(member.server.incarnation)
        else:
            self.excluded = {member.server.incarnation}
        if loss.not_run:
            self.sends -= 1
        # A copy can be used once, and there is one only of a run that made events.
        has_events = backup is not None and loss.events >= COPY_EVENTS
        self.copy_at = backup.server.address if has_events else None
        has_copy = has_events and self._copy_member() is not None
        state = LossState(
            has_copy=has_copy,
            resumable=job.route.is_repeatable,
            surely_not_run=not job.may_have_run,
            attempts_left=min(
                job.route.attempts - self.sends, MAX_SENDS - self.all_sends
            ),
            left_s=job.left_s(now),
        )
        step = next_step(state)
        if step is not NextStep.END and not loss.unsent:
            if not self.forwarder.budgets.take(job.service, now):
                step = NextStep.END
        log.info(
            "stream lost its engine",
            request=job.request.request_id,
            server=member.server.incarnation,
            reason=loss.reason,
            events=self.events,
            last_id=self.last_id,
            copy=self.copy_at,
            copy_usable=has_copy,
            next=str(step),
            left_s=round(state.left_s, 2),
            budget_left=round(self.forwarder.budgets.of(job.service).left(now), 1),
        )
        return step

    def _copy_member(self) -> Member | None:
        """Return the engine at the address of the copy, if it can be asked."""
        if self.copy_at is None:
            return None
        member = self.forwarder.fleet.at_address(self.copy_at)
        if member is None or self.now() < member.avoid_until:
            return None
        return member

    def _place(self, step: NextStep) -> Placement | None:
        """Return engine, copy to go on from, and engine for the next copy."""
        forwarder, job = self.forwarder, self.job
        loads = forwarder.loads(job, set())
        members = forwarder.fleet.members
        copy = None
        if step is NextStep.RESUME_COPY:
            member = self._copy_member()
            copy = KvCacheCopy(member.server.address, job.request.request_id)
            chosen = loads.get(member.server.incarnation)
        else:
            usable = [e for k, e in loads.items() if k not in self.excluded]
            chosen = choose_engine(
                usable or list(loads.values()),
                forwarder.place,
                self.need,
                forwarder.rng,
                self._affinity(),
            )
            if chosen is None:
                return None
            member = members[chosen.key]
        self._remember(member)
        backup = None
        if self.traits.supports_kv_backup and chosen is not None:
            others = [e for k, e in loads.items() if k not in self.excluded]
            kept = choose_backup(others, chosen, self.need, forwarder.rng)
            backup = members[kept.key] if kept is not None else None
        ahead = chosen.waiting_tokens if chosen is not None else 0
        return Placement(member, copy, backup, ahead)

    def _remember(self, member: Member) -> None:
        """Note which engine has the prompt, also for callers of other entries."""
        if not self.prefix_id:
            return
        self.forwarder.remember(self.prefix_id, member.server.incarnation)
        if self.forwarder.load_exchange is not None:
            self.forwarder.load_exchange.announce_prompt(
                self.prefix_id, member.server.incarnation
            )

    def _affinity(self) -> PromptAffinity:
        known = self.forwarder.sent_to.get(self.prefix_id)
        return PromptAffinity(self.prefix_id, self.job.request.prompt_tokens, known)

    async def _attempt(self, placed: Placement) -> StreamLoss | None:
        """Send the stream to an engine and relay it; None once it is complete."""
        job, now = self.job, self.now()
        member, copy, backup = placed.member, placed.copy, placed.backup
        record = Try(member.server.incarnation, now)
        job.tries.append(record)
        attempt = Attempt(
            server=member.server,
            left_s=max(job.left_s(now), 0.001),
            account=job.account.name if job.account else None,
            priority=job.priority,
            backup=backup.server.address if backup else None,
            copy=copy,
            last_event_id=self.last_id,
        )
        waiting = 0 if copy is not None else job.request.prompt_tokens
        self._hold(member, backup, waiting, 1)
        rollouts = self.forwarder.rollouts
        if rollouts is not None:
            rollouts.note_sent(member)
        loss: StreamLoss | None = StreamLoss("unsent", not_run=True)
        try:
            self.sends += 1
            self.all_sends += 1
            sent = await self.forwarder.sender.send(
                member, job.request, attempt, job.is_wanted
            )
            if isinstance(sent, ExchangeFailure):
                if job.responder.is_disconnected:
                    raise CallerDisconnectedError
                self.sends -= 1
                record.result = str(sent.kind)
                return StreamLoss(sent.detail, not_run=True, unsent=True)
            tokens = placed.tokens_ahead + waiting
            reading = StreamReading(self, member, sent, tokens, copy is not None)
            loss = await reading.relay()
            if loss is not None:
                loss.events = reading.splitter.count
            record.result = "complete" if loss is None else loss.reason
            job.may_have_run |= loss is None or not loss.not_run
            self._note(member, loss)
            return loss
        finally:
            record.ended_at = self.now()
            self._hold(member, backup, waiting, -1)
            if rollouts is not None:
                self._note_version(rollouts, member, record, loss)

    def _note_version(
        self,
        rollouts: RolloutManager,
        member: Member,
        record: Try,
        loss: StreamLoss | None,
    ) -> None:
        """Take the attempt in as evidence about the version of its engine."""
        failed = loss is not None and not loss.not_run and loss.reason != "deadline"
        first_s = gap_s = None
        if record.first_event_at is not None:
            first_s = record.first_event_at - record.sent_at
            gap_s = record.worst_gap_s
        rollouts.note_ended(member, self.job.route.name, failed, first_s, gap_s)

    def _hold(
        self, member: Member, backup: Member | None, waiting: int, sign: int
    ) -> None:
        """Count what the attempt takes at its engine and at that of the copy."""
        member.in_flight += sign
        member.held_tokens += sign * self.need
        if sign > 0:
            member.waiting_tokens += waiting
            self.waiting_at = (member, waiting)
        else:
            self.stop_waiting()
        touched = [member]
        if backup is not None:
            backup.held_tokens += sign * self.need
            touched.append(backup)
        if self.forwarder.load_exchange is not None:
            self.forwarder.load_exchange.mark_changed(touched, is_start=sign > 0)

    def stop_waiting(self) -> None:
        """Note that the prompt has been read."""
        member, waiting = self.waiting_at
        member.waiting_tokens -= waiting
        self.waiting_at = (member, 0)
        if waiting and self.forwarder.load_exchange is not None:
            self.forwarder.load_exchange.mark_changed([member], is_start=False)

    def _note(self, member: Member, loss: StreamLoss | None) -> None:
        fleet, now = self.forwarder.fleet, self.now()
        address, service = member.server.address, member.server.service
        rng = self.forwarder.rng
        if loss is None:
            fleet.ejection.record_success(address, service, 0.0, now, rng)
            return
        if loss.answer is not None and loss.answer.status == 421:
            fleet.remove(member.server.incarnation)
        elif not loss.not_run:
            fleet.ejection.record_failure(address, service, now, rng)
            fleet.note_unreachable(member, now)

    def _give_up(self, loss: StreamLoss) -> None:
        """End a stream that cannot go on."""
        job = self.job
        responder = job.responder
        if responder.head_sent:
            job.outcome = "stream_cut"
            responder.abort()
            return
        error = self.error
        if error is not None and error.answer is not None:
            job.outcome, job.status = "engine_error", error.answer.status
            responder.send(error.answer.status, error.answer.forwarded, error.body)
            return
        self._refuse(self._refusal(loss))

    def _refuse(self, refusal: RequestError) -> None:
        job = self.job
        job.outcome, job.status = refusal.code, refusal.status
        job.responder.send(*error_response(refusal, job.request.request_id))

    def _refusal(self, loss: StreamLoss) -> RequestError:
        job = self.job
        if job.left_s(self.now()) <= 0:
            return job.timed_out()
        if job.may_have_run:
            message = f"every engine broke off: {loss.reason}"
            return RequestError(502, "backend_failed", message, RunState.UNKNOWN)
        if loss.unsent:
            message = f"no engine of {job.service!r} can be reached"
            return RequestError(
                503, "no_backend_server", message, retry_after_s=NO_SERVER_RETRY_S
            )
        message = f"the engines of {job.service!r} are full"
        return RequestError(503, "full", message, retry_after_s=FULL_RETRY_S)
