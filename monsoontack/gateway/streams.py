"""Streams of generations: placement, events as they come, and going on elsewhere.

Each run keeps a copy of its memory at an engine of another failure domain. When
the run's engine breaks off, refuses or falls silent, the stream goes on at the
copy after the last whole event, within the same answer. The former connection is
reset first, so that no two engines work on one run.
"""

import asyncio
import random
from dataclasses import dataclass, field

import structlog

from monsoontack.core.errors import RequestError, RunState
from monsoontack.core.records import Place
from monsoontack.gateway.answers import error_answer
from monsoontack.gateway.budgets import RetryBudgets
from monsoontack.gateway.events import EventSplitter, EventTooLongError
from monsoontack.gateway.fleet import DirectFleet, Member
from monsoontack.gateway.inbound import CallerGoneError
from monsoontack.gateway.job import Job, Try
from monsoontack.gateway.outbound import Exchange, ExchangeFailure, FailureKind
from monsoontack.gateway.records import (
    AnswerHead,
    Attempt,
    EngineTraits,
    MemoryCopy,
    ServiceTraits,
)
from monsoontack.gateway.rollouts import RolloutDesk
from monsoontack.gateway.sender import Sender
from monsoontack.generation.failover import LossState, NextStep, next_step
from monsoontack.generation.pace import Pace
from monsoontack.routing.placement import (
    NO_AFFINITY,
    EngineLoad,
    PromptAffinity,
    choose_backup,
    choose_engine,
)

log = structlog.get_logger("gateway.streams")

# How often a run looks whether its engine is silent.
LOOK_S = 0.1
# Time of a whole stream before one was seen.
INITIAL_STREAM_S = 6.0
STREAM_TIME_WEIGHT = 0.1
# A run that waits for its first event checks that its engine takes connections
# when it is later than predicted, and again after this time.
CHECK_EVERY_S = 0.5
CHECK_TIMEOUT_S = 0.25
# The copy of a run's memory starts when the run does and takes about this many
# events; before, an engine that is asked to go on from it has none.
COPY_EVENTS = 3
# A run that goes on from a copy has to be admitted first.
RESUME_FACTOR = 1.5
FULL_RETRY_S = 0.5
NO_SERVER_RETRY_S = 0.7
# Connections that fail cost no attempt, but they end at some point.
MAX_SENDS = 12
# Prompts whose engine is remembered; engines forget them within seconds of load.
MAX_REMEMBERED = 2000
# Bytes of an error answer that are kept to be passed on.
MAX_ERROR_BYTES = 65_536


@dataclass(slots=True)
class StreamForwarder:
    """Serves streams.

    `traits` are those of the services by name, `usual_s` is the smoothed time of
    a whole stream.
    """

    place: Place
    fleet: DirectFleet
    sender: Sender
    budgets: RetryBudgets
    rng: random.Random
    traits: dict[str, ServiceTraits] = field(default_factory=dict)
    paces: dict[str, Pace] = field(default_factory=dict)
    usual_s: float = INITIAL_STREAM_S
    desk: RolloutDesk | None = None
    sent_to: dict[str, str] = field(default_factory=dict)

    async def serve(self, job: Job) -> None:
        """Serve one stream."""
        await _StreamRun(self, job).serve()
        if job.outcome == "streamed":
            took_s = self.sender.now() - job.started_at
            self.usual_s += STREAM_TIME_WEIGHT * (took_s - self.usual_s)

    def pace(self, service: str) -> Pace:
        """Return the pace of a service's engines."""
        return self.paces.setdefault(service, Pace())

    def engine_traits(self, service: str) -> EngineTraits:
        """Return the traits of a service's engines."""
        traits = self.traits.get(service)
        if traits is None or traits.engine is None:
            return EngineTraits(slots=1, memory_tokens=0)
        return traits.engine

    def remember(self, part: str, incarnation: str) -> None:
        """Note which engine a prompt was sent to; the oldest notes are dropped."""
        if not part:
            return
        self.sent_to.pop(part, None)
        self.sent_to[part] = incarnation
        if len(self.sent_to) > MAX_REMEMBERED:
            del self.sent_to[next(iter(self.sent_to))]

    def loads(self, job: Job, excluded: set[str]) -> dict[str, EngineLoad]:
        """Return the engines that may run a stream, by incarnation."""
        now = self.sender.now()
        traits = self.engine_traits(job.service)
        loads = {}
        members = self.fleet.of_service(job.service)
        if self.desk is not None:
            members = self.desk.usable(job.service, members)
        for member in members:
            server = member.server
            if server.incarnation in excluded:
                continue
            loads[server.incarnation] = EngineLoad(
                key=server.incarnation,
                place=server.place,
                in_flight=member.in_flight,
                slots=server.slots or traits.slots,
                waiting_tokens=member.waiting_tokens,
                held_tokens=member.held_tokens,
                memory_tokens=traits.memory_tokens or 10**9,
                avoided=now < member.avoid_until,
                doubtful=member.is_doubtful(now),
                share=self.fleet.ejection.share(server.address, now),
            )
        return loads


@dataclass(slots=True)
class _Loss:
    """Why an attempt of a stream ended without the end of the stream.

    `answer` and `body` hold an error answer of the engine, if it gave one;
    `events` counts those that the attempt delivered.
    """

    reason: str
    not_run: bool = False
    unsent: bool = False
    answer: AnswerHead | None = None
    body: bytes = b""
    events: int = 0


class _StreamRun:
    """State of one stream while it is served."""

    def __init__(self, forwarder: StreamForwarder, job: Job) -> None:
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
        self.error: _Loss | None = None
        request = job.request
        self.part = request.parts[-1].part if request.parts else ""
        output = request.output_hint or request.output_tokens
        self.need = request.prompt_tokens + output

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return self.forwarder.sender.now()

    async def serve(self) -> None:
        """Run attempts until the stream is complete or cannot go on."""
        job = self.job
        self.forwarder.budgets.note_request(job.service, self.now())
        if self.forwarder.desk is not None:
            self.forwarder.desk.note_request(job.service)
        try:
            ended = await self._attempts()
        except CallerGoneError:
            job.outcome = "caller_gone"
            return
        if ended is None:
            job.outcome, job.status = "streamed", 200
            job.responder.finish()
            return
        self._give_up(ended)

    async def _attempts(self) -> _Loss | None:
        """Return None once the stream is complete, else the last loss."""
        step = NextStep.RESTART
        while True:
            placed = self._place(step)
            if placed is None:
                return _Loss("no engine can be reached", not_run=True, unsent=True)
            member, copy, backup = placed
            loss = await self._attempt(member, copy, backup)
            if loss is None:
                return None
            if loss.answer is not None and not loss.not_run:
                self.error = loss
                if loss.answer.status < 500:
                    return loss
            step = self._after(loss, member, backup)
            if step is NextStep.END:
                return loss

    def _after(self, loss: _Loss, member: Member, backup: Member | None) -> NextStep:
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

    def _place(
        self, step: NextStep
    ) -> tuple[Member, MemoryCopy | None, Member | None] | None:
        """Return engine, copy to go on from, and engine for the next copy."""
        forwarder, job = self.forwarder, self.job
        loads = forwarder.loads(job, set())
        members = forwarder.fleet.members
        copy = None
        if step is NextStep.RESUME_COPY:
            member = self._copy_member()
            copy = MemoryCopy(member.server.address, job.request.request_id)
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
            forwarder.remember(self.part, chosen.key)
        backup = None
        if self.traits.keeps_backups and chosen is not None:
            others = [e for k, e in loads.items() if k not in self.excluded]
            kept = choose_backup(others, chosen, self.need, forwarder.rng)
            backup = members[kept.key] if kept is not None else None
        return member, copy, backup

    def _affinity(self) -> PromptAffinity:
        if not self.part:
            return NO_AFFINITY
        return PromptAffinity(
            self.part,
            self.job.request.prompt_tokens,
            self.forwarder.sent_to.get(self.part),
        )

    async def _attempt(
        self, member: Member, copy: MemoryCopy | None, backup: Member | None
    ) -> _Loss | None:
        """Send the stream to an engine and relay it; None once it is complete."""
        job, now = self.job, self.now()
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
        ahead = member.waiting_tokens
        self._hold(member, backup, waiting, 1)
        desk = self.forwarder.desk
        if desk is not None:
            desk.sent(member)
        loss: _Loss | None = _Loss("unsent", not_run=True)
        try:
            self.sends += 1
            self.all_sends += 1
            sent = await self.forwarder.sender.send(
                member, job.request, attempt, job.is_wanted
            )
            if isinstance(sent, ExchangeFailure):
                if job.responder.is_gone:
                    raise CallerGoneError
                self.sends -= 1
                record.result = str(sent.kind)
                return _Loss(sent.detail, not_run=True, unsent=True)
            reading = _Reading(self, member, sent, ahead + waiting, copy is not None)
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
            if desk is not None:
                self._note_version(desk, member, record, loss)

    def _note_version(
        self, desk: RolloutDesk, member: Member, record: Try, loss: _Loss | None
    ) -> None:
        """Take the attempt in as evidence about the version of its engine."""
        failed = loss is not None and not loss.not_run and loss.reason != "deadline"
        first_s = gap_s = None
        if record.first_event_at is not None:
            first_s = record.first_event_at - record.sent_at
            gap_s = record.worst_gap_s
        desk.ended(member, self.job.route.name, failed, first_s, gap_s)

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
        if backup is not None:
            backup.held_tokens += sign * self.need

    def stop_waiting(self) -> None:
        """Note that the prompt has been read."""
        member, waiting = self.waiting_at
        member.waiting_tokens -= waiting
        self.waiting_at = (member, 0)

    def _note(self, member: Member, loss: _Loss | None) -> None:
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

    def _give_up(self, loss: _Loss) -> None:
        """End a stream that cannot go on."""
        job = self.job
        responder = job.responder
        if responder.began:
            job.outcome = "stream_cut"
            responder.cut()
            return
        error = self.error
        if error is not None and error.answer is not None:
            job.outcome, job.status = "engine_error", error.answer.status
            responder.send(error.answer.status, error.answer.forwarded, error.body)
            return
        refusal = self._refusal(loss)
        job.outcome, job.status = refusal.code, refusal.status
        responder.send(*error_answer(refusal, job.request.request_id))

    def _refusal(self, loss: _Loss) -> RequestError:
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


class _Reading:
    """Relays one attempt's answer."""

    def __init__(
        self,
        run: _StreamRun,
        member: Member,
        exchange: Exchange,
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
        self.answer: AnswerHead | None = None

    async def relay(self) -> _Loss | None:
        """Relay events until the stream ends; return the loss, if it is one."""
        try:
            return await self._relay()
        except CallerGoneError:
            self.exchange.abort()
            raise
        except asyncio.CancelledError:
            self.exchange.abort()
            raise
        except EventTooLongError as error:
            self.exchange.abort()
            return _Loss(str(error))

    async def _relay(self) -> _Loss | None:
        exchange, job, run = self.exchange, self.job, self.run
        while True:
            await exchange.wait(self._wait_s())
            if job.responder.is_gone:
                raise CallerGoneError
            if self.answer is None and exchange.has_head:
                loss = await self._take_head()
                if loss is not None:
                    return loss
            if self.answer is not None and exchange.parts:
                await self._pass_on(exchange.take())
            if exchange.over:
                return self._end()
            if job.left_s(self.run.now()) <= 0:
                exchange.abort()
                return _Loss("deadline")
            if await self._is_silent():
                run.forwarder.fleet.note_unreachable(self.member, run.now())
                exchange.abort()
                return _Loss(str(FailureKind.SILENT))

    def _wait_s(self) -> float:
        now = self.run.now()
        left_s = self.job.left_s(now)
        return max(min(LOOK_S, left_s), 0.001)

    async def _take_head(self) -> _Loss | None:
        """Interpret the head; begin the caller's answer if it is a success."""
        exchange, job = self.exchange, self.job
        wire = self.run.forwarder.sender.wire
        answer = wire.read_answer(exchange.status, exchange.headers)
        if answer.not_run:
            await self._drain_error()
            return _Loss(f"not_run {answer.status}", not_run=True, answer=answer)
        job.may_have_run = True
        if answer.status >= 300:
            body = await self._drain_error()
            if exchange.failure is not None:
                return _Loss(str(exchange.failure.kind))
            return _Loss(str(answer.status), answer=answer, body=body)
        if answer.encoded or not answer.signed:
            exchange.abort()
            return _Loss(str(FailureKind.MALFORMED))
        self.answer = answer
        return None

    async def _drain_error(self) -> bytes:
        """Return the body of an error answer."""
        exchange, parts, size = self.exchange, [], 0
        until = min(self.run.now() + 1.0, self.job.deadline_at)
        while not exchange.over or exchange.parts:
            await exchange.wait(until - self.run.now())
            parts.append(exchange.take())
            size += len(parts[-1])
            if self.run.now() >= until or size > MAX_ERROR_BYTES:
                exchange.abort()
        return b"".join(parts)

    async def _pass_on(self, data: bytes) -> None:
        """Send whole events on."""
        whole = self.splitter.feed(data)
        run, now = self.run, self.run.now()
        self.member.seen_at = now
        if not whole:
            return
        if run.events == 0 or self.splitter.count and run.last_event_at == 0.0:
            self._first_event(now)
        else:
            gap_s = now - run.last_event_at
            self.job.worst_gap_s = max(self.job.worst_gap_s, gap_s)
            if self.splitter.count > 1:
                record = self.job.tries[-1]
                record.worst_gap_s = max(record.worst_gap_s, gap_s)
            if self.splitter.count > 1:
                run.pace.saw_gap(gap_s)
        run.last_event_at = now
        run.events += 1
        run.stop_waiting()
        if self.splitter.last_id is not None:
            run.last_id = self.splitter.last_id
        responder = self.job.responder
        if not responder.began:
            responder.begin(self.answer.status, self.answer.forwarded)
        await responder.write(whole)

    def _first_event(self, now: float) -> None:
        if self.job.first_event_at is None:
            self.job.first_event_at = now
        if self.job.tries[-1].first_event_at is None:
            self.job.tries[-1].first_event_at = now
        if not self.resumed:
            self.run.pace.saw_first_event(self.tokens, now - self.sent_at)
        self.run.forwarder.fleet.note_alive(self.member, now)

    async def _is_silent(self) -> bool:
        """Whether the engine has been silent for longer than it should be."""
        run, now, member = self.run, self.run.now(), self.member
        limit_s = run.pace.silence_limit_s(self.job.route.max_gap_s)
        if self.splitter.count:
            if now - run.last_event_at <= limit_s:
                return False
            member.doubted_at = now
            return True
        if not self.job.route.is_repeatable:
            return False
        waited_s = now - self.sent_at
        if self.resumed:
            return waited_s > RESUME_FACTOR * limit_s
        if waited_s > self.first_limit_s:
            return True
        is_doubted = member.doubted_at > max(self.sent_at, member.seen_at)
        if not is_doubted and waited_s <= self.check_at_s:
            return False
        self.check_at_s = waited_s + CHECK_EVERY_S
        return not await run.forwarder.sender.takes_connections(member, CHECK_TIMEOUT_S)

    def _end(self) -> _Loss | None:
        """Return None if the stream is complete, else why it is not."""
        exchange = self.exchange
        if exchange.failure is not None:
            return _Loss(str(exchange.failure.kind))
        if self.answer is None:
            return _Loss(str(FailureKind.CLOSED))
        if self.splitter.rest:
            return _Loss("stopped inside an event")
        if not self.job.responder.began:
            self.job.responder.begin(self.answer.status, self.answer.forwarded)
        return None
