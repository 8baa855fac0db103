"""Calls to plain services: one send, or several where the call is idempotent.

A call that must not run twice is sent once. It goes to a second server only if
the first surely did not run it and the route allows another attempt. Idempotent
calls are repeated after failures and hedged when they are late, both within the
retry budget of their service.
"""

import asyncio
import random
from dataclasses import dataclass, field

from monsoontack.admission.hedge import Hedging
from monsoontack.core.errors import RequestError, RunState
from monsoontack.core.records import RouteRequest, ServerState
from monsoontack.gateway.attemptresult import CallResult, describe
from monsoontack.gateway.budgets import RetryBudgets
from monsoontack.gateway.errorresponse import error_response
from monsoontack.gateway.fleet import BackendFleet, Member
from monsoontack.gateway.job import Job, Try
from monsoontack.gateway.outbound import ExchangeFailure, FailureKind, HttpExchange
from monsoontack.gateway.records import Attempt, ResponseHead
from monsoontack.gateway.responder import CallerDisconnectedError
from monsoontack.gateway.rollouts import RolloutManager
from monsoontack.gateway.sender import Sender
from monsoontack.routing.picker import Picker

# An answer up to this size is held until it is whole, so that a broken one can be
# repeated; a longer one goes on as it comes.
HELD_ANSWER_BYTES = 262_144
# Part of the objective after which an idempotent call is repeated elsewhere while
# nothing is known of the service's usual time.
LATE_SHARE = 0.5
# A server that refused for lack of room is not asked again for this time.
FULL_AVOID_S = 0.15
# When a full service has room again: about the time of one call.
FULL_RETRY_S = 0.2
NO_SERVER_RETRY_S = 0.5


@dataclass(slots=True)
class CallForwarder:
    """Serves calls to plain services."""

    fleet: BackendFleet
    sender: Sender
    picker: Picker
    budgets: RetryBudgets
    hedging: Hedging
    rng: random.Random
    rollouts: RolloutManager | None = None
    background: set[asyncio.Task] = field(default_factory=set)

    async def serve(self, job: Job) -> None:
        """Serve one call and answer its caller."""
        run = _CallRun(self, job)
        try:
            result = await run.run()
        except CallerDisconnectedError:
            job.outcome = "caller_gone"
            run.caller_left()
            return
        run.abort_rest()
        if isinstance(result, RequestError):
            job.outcome, job.status = result.code, result.status
            job.responder.send(*error_response(result, job.request.request_id))
            return
        await self._answer(job, result)

    async def _answer(self, job: Job, result: CallResult) -> None:
        answer = result.answer
        job.outcome, job.status = "answered", answer.status
        if result.large is None:
            job.responder.send(answer.status, answer.forwarded, result.body)
            return
        await self._stream_response(job, result)

    async def _stream_response(self, job: Job, result: CallResult) -> None:
        exchange = result.large
        job.responder.begin(result.answer.status, result.answer.forwarded)
        try:
            await job.responder.write(result.body)
            while not exchange.is_finished or exchange.parts:
                left_s = job.left_s(self.sender.now())
                if left_s <= 0:
                    break
                await exchange.wait(left_s)
                await job.responder.write(exchange.take_body())
        except CallerDisconnectedError:
            job.outcome = "caller_gone"
            exchange.abort()
            return
        if exchange.is_complete:
            job.responder.finish()
            return
        job.outcome = "answer_cut"
        exchange.abort()
        job.responder.abort()

    def pick(self, job: Job, excluded: set[str]) -> Member | None:
        """Return the server for the next send of a call."""
        now = self.sender.now()
        found = self.fleet.of_service(job.service)
        if self.rollouts is not None:
            found = self.rollouts.eligible_servers(job.service, found)
        members = {member.server.address: member for member in found}
        avoided = {a for a, m in members.items() if now < m.avoid_until}
        if len(avoided | excluded) < len(members):
            excluded = excluded | avoided
        route = RouteRequest(
            service=job.service,
            version="",
            account=job.account.name if job.account else "",
            request_bytes=len(job.request.raw.body),
            excluded=frozenset(excluded),
            cause="call",
        )
        states = [
            ServerState(member.server, in_flight=member.in_flight)
            for member in members.values()
        ]
        choice = self.picker.pick(route, states, now, self.rng)
        server = choice.value_or(None)
        return None if server is None else members[server.address]

    def note(self, result: CallResult, started_at: float) -> None:
        """Take a result in as evidence about its server."""
        now = self.sender.now()
        member = result.member
        address, service = member.server.address, member.server.service
        if result.is_good:
            latency_s = now - started_at
            self.fleet.note_alive(member, now)
            self.fleet.ejection.record_success(
                address, service, latency_s, now, self.rng
            )
            return
        answer = result.answer
        if answer is not None and answer.not_run:
            if answer.status == 421:
                self.fleet.remove(member.server.incarnation)
            else:
                member.avoid_until = max(member.avoid_until, now + FULL_AVOID_S)
            return
        self.fleet.ejection.record_failure(address, service, now, self.rng)


class _CallRun:
    """State of one call while it is served."""

    def __init__(self, forwarder: CallForwarder, job: Job) -> None:
        self.forwarder = forwarder
        self.job = job
        self.repeatable = job.route.is_repeatable
        self.tasks: dict[asyncio.Task, HttpExchange | None] = {}
        self.exchanges: list[HttpExchange] = []
        self.excluded: set[str] = set()
        self.sends = 0
        self.fallback: CallResult | None = None
        self.last: CallResult | None = None
        self.hedge_at: float | None = None

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return self.forwarder.sender.now()

    async def run(self) -> CallResult | RequestError:
        """Return the answer for the caller, or the error that it gets."""
        forwarder, job = self.forwarder, self.job
        forwarder.budgets.note_request(job.service, self.now())
        if forwarder.rollouts is not None:
            forwarder.rollouts.note_request(job.service)
        delay_s = forwarder.hedging.delay_s(job.service, self.repeatable)
        if self.repeatable:
            delay_s = delay_s or LATE_SHARE * job.route.objective_s
            self.hedge_at = job.started_at + delay_s
        if not self._start():
            return self._no_server()
        while True:
            result = await self._next_result()
            if isinstance(result, RequestError):
                return result
            if result is None:
                self._hedge()
                continue
            decided = self._decide(result)
            if decided is not None:
                return decided

    async def _next_result(self) -> CallResult | RequestError | None:
        """Return the next result, an error at the deadline, None to hedge."""
        job, now = self.job, self.now()
        if job.responder.is_disconnected:
            raise CallerDisconnectedError
        wait_until = job.deadline_at
        if self.hedge_at is not None:
            wait_until = min(wait_until, self.hedge_at)
        done, _ = await asyncio.wait(
            [*self.tasks, job.responder.disconnected],
            timeout=max(wait_until - now, 0.0),
            return_when=asyncio.FIRST_COMPLETED,
        )
        finished = [task for task in done if task in self.tasks]
        if finished:
            del self.tasks[finished[0]]
            return finished[0].result()
        if job.responder.is_disconnected:
            raise CallerDisconnectedError
        if self.now() >= job.deadline_at:
            return job.timed_out()
        return None

    def _decide(self, result: CallResult) -> CallResult | RequestError | None:
        """Return what the caller gets, None to wait for further results."""
        self.last = result
        if result.is_good:
            return result
        if result.answer is not None and not result.answer.not_run:
            self.fallback = result
        if self._may_send_again(result) and self._start():
            return None
        if self.tasks:
            return None
        return self._final(result)

    def _may_send_again(self, result: CallResult) -> bool:
        job = self.job
        if job.left_s(self.now()) <= 0:
            return False
        unsent = result.failure is not None and not result.failure.maybe_sent
        if unsent:
            self.sends -= 1
            return len(job.tries) < 2 * job.route.attempts + 2
        if self.sends >= job.route.attempts:
            return False
        if not self.repeatable and not result.is_not_run:
            return False
        return self.forwarder.budgets.take(job.service, self.now())

    def _hedge(self) -> None:
        """Send a late idempotent call to a second server."""
        self.hedge_at = None
        job, forwarder = self.job, self.forwarder
        if self.sends >= job.route.attempts:
            return
        if forwarder.budgets.take(job.service, self.now()):
            forwarder.hedging.sent += 1
            self._start()

    def _start(self) -> bool:
        member = self.forwarder.pick(self.job, self.excluded)
        if member is None:
            return False
        self.excluded.add(member.server.address)
        self.sends += 1
        task = asyncio.ensure_future(self._send(member))
        self.tasks[task] = None
        return True

    async def _send(self, member: Member) -> CallResult:
        job, sender = self.job, self.forwarder.sender
        started_at = self.now()
        record = Try(member.server.incarnation, started_at)
        job.tries.append(record)
        result = CallResult(member, record)
        attempt = Attempt(
            server=member.server,
            left_s=max(job.left_s(started_at), 0.001),
            account=job.account.name if job.account else None,
        )
        member.in_flight += 1
        rollouts = self.forwarder.rollouts
        if rollouts is not None:
            rollouts.note_sent(member)
        try:
            sent = await sender.send(member, job.request, attempt, job.is_wanted)
            if isinstance(sent, ExchangeFailure):
                result.failure = sent
            else:
                job.may_have_run = True
                self.exchanges.append(sent)
                self.tasks[asyncio.current_task()] = sent
                await self._read_response(sent, result)
        finally:
            member.in_flight -= 1
            record.ended_at = self.now()
            if rollouts is not None:
                took_s = record.ended_at - started_at
                rollouts.note_ended(member, job.route.name, result.is_fault, took_s)
        record.result = describe(result)
        self.forwarder.note(result, started_at)
        if self.repeatable:
            self.forwarder.hedging.record(job.service, self.now() - started_at)
        return result

    async def _read_response(self, exchange: HttpExchange, result: CallResult) -> None:
        """Read the answer until it is whole or too long to hold."""
        parts: list[bytes] = []
        size, answer = 0, None
        while not exchange.is_finished or exchange.parts:
            await exchange.wait(max(self.job.left_s(self.now()), 0.0) + 1.0)
            if answer is None and exchange.has_head:
                answer = self._read_head(exchange, result)
                if result.failure is not None:
                    return
            data = exchange.take_body()
            parts.append(data)
            size += len(data)
            if size > HELD_ANSWER_BYTES and not exchange.is_finished:
                self._take_large(exchange, answer, result)
                break
            if (
                not data
                and self.job.left_s(self.now()) < 0
                and not exchange.is_finished
            ):
                exchange.abort()
        result.body = b"".join(parts)
        result.failure = result.failure or exchange.failure
        if result.failure is None:
            result.answer = answer

    def _read_head(self, exchange: HttpExchange, result: CallResult) -> ResponseHead:
        """Return the head; a success that is not the server's own is a failure."""
        wire = self.forwarder.sender.wire
        answer = wire.parse_response_head(exchange.status, exchange.headers)
        if 200 <= answer.status < 300 and (answer.encoded or not answer.signed):
            exchange.abort()
            detail = "success without the server's mark, or encoded"
            result.failure = ExchangeFailure(FailureKind.MALFORMED, True, detail)
        return answer

    def _take_large(
        self, exchange: HttpExchange, answer: ResponseHead, result: CallResult
    ) -> None:
        """Relay an answer that is too long to hold; an error is not worth that."""
        if answer.status < 500:
            result.large = exchange
            return
        exchange.abort()
        detail = f"error answer above {HELD_ANSWER_BYTES} bytes"
        result.failure = ExchangeFailure(FailureKind.OVERSIZED, True, detail)

    def _final(self, result: CallResult) -> CallResult | RequestError:
        if self.fallback is not None:
            return self.fallback
        if result.is_not_run and not self._any_may_have_run():
            return self._no_server(result)
        detail = result.failure.detail if result.failure else ""
        message = f"the backend server broke off: {detail}"
        return RequestError(502, "backend_failed", message, RunState.UNKNOWN)

    def _any_may_have_run(self) -> bool:
        harmless = ("not_run", "connect")
        return any(not t.result.startswith(harmless) for t in self.job.tries)

    def _no_server(self, result: CallResult | None = None) -> RequestError:
        if result is not None and result.answer is not None:
            message = f"every backend server asked for {self.job.service!r} is full"
            return RequestError(503, "full", message, retry_after_s=FULL_RETRY_S)
        message = f"no backend server of {self.job.service!r} can be reached"
        return RequestError(
            503, "no_backend_server", message, retry_after_s=NO_SERVER_RETRY_S
        )

    def abort_rest(self) -> None:
        """End the sends whose answers are no longer needed.

        A send that has not begun must not begin any more: the caller may be told
        that the call has not run.
        """
        for task, exchange in self.tasks.items():
            if exchange is None:
                task.cancel()
        for exchange in self.exchanges:
            if not exchange.is_finished and not self._is_relayed(exchange):
                exchange.abort()

    def _is_relayed(self, exchange: HttpExchange) -> bool:
        return self.last is not None and self.last.large is exchange

    def caller_left(self) -> None:
        """Stop repeatable work at once; other calls run on to their end."""
        if self.repeatable:
            for task in self.tasks:
                task.cancel()
            self.abort_rest()
            return
        for task, exchange in self.tasks.items():
            if exchange is None:
                task.cancel()
                continue
            self.forwarder.background.add(task)
            task.add_done_callback(self.forwarder.background.discard)
