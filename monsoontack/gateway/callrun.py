"""Serves one call by attempts, with retries and hedging, until it has a response."""

import asyncio
import math
from typing import TYPE_CHECKING

from monsoontack.core.errors import RequestError, RunState
from monsoontack.gateway.attemptresult import AttemptResult, result_label
from monsoontack.gateway.crashdetector import BROKEN_OFF_KINDS
from monsoontack.gateway.fleet import Member
from monsoontack.gateway.job import AttemptRecord, Job
from monsoontack.gateway.outbound import ExchangeFailure, FailureKind, HttpExchange
from monsoontack.gateway.records import Attempt, ResponseHead
from monsoontack.inbound.responder import CallerDisconnectedError
from monsoontack.routing.calltimes import ServiceTimes

if TYPE_CHECKING:
    from monsoontack.gateway.calls import CallForwarder

# Responses up to this size are buffered until they are complete, so that a call whose
# response breaks off can be retried. Longer ones are streamed to the caller.
MAX_BUFFERED_RESPONSE_BYTES = 262_144
# Share of the route's latency objective after which an idempotent call is hedged
# while the usual latency of the service is unknown.
DEFAULT_HEDGE_DELAY_SHARE = 0.5
# About the duration of a call, after which a full server has free capacity again.
FULL_RETRY_AFTER_S = 0.2
NO_SERVER_RETRY_AFTER_S = 0.5


class CallRun:
    """State of one call while it is served.

    `tasks` maps the running attempts to their exchanges, None while an attempt has not
    been sent. `counted_attempts` is the number of attempts that count towards the
    route's limit; attempts that failed before they were sent, or that met another
    server at the address, do not. `fallback_result` is the last error response that was
    not a `not_run` refusal; the caller gets it if no attempt succeeds. `broken_off`
    counts the servers that broke off the call, `any_may_have_run` is set after an
    attempt that a server may have run.
    """

    def __init__(self, forwarder: "CallForwarder", job: Job) -> None:
        self.forwarder = forwarder
        self.job = job
        self.repeatable = job.route.is_repeatable
        self.tasks: dict[asyncio.Task, HttpExchange | None] = {}
        self.exchanges: list[HttpExchange] = []
        self.excluded: set[str] = set()
        self.counted_attempts = 0
        self.fallback_result: AttemptResult | None = None
        self.last_result: AttemptResult | None = None
        self.hedge_at: float | None = None
        self.guard = forwarder.sender.guard
        self.broken_off = 0
        self.any_may_have_run = False

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return self.forwarder.sender.now()

    async def run(self) -> AttemptResult | RequestError:
        """Return the response for the caller, or the error that it gets."""
        forwarder, job = self.forwarder, self.job
        forwarder.budgets.note_request(job.service, self.now())
        forwarder.sender.gate.note_request(job.service, self.now())
        if forwarder.rollouts is not None:
            forwarder.rollouts.note_request(job.service)
        objective_s = job.route.objective_s
        delay_s = forwarder.hedging.delay_s(job.service, self.repeatable, objective_s)
        if self.repeatable:
            delay_s = delay_s or DEFAULT_HEDGE_DELAY_SHARE * objective_s
            self.hedge_at = job.started_at + delay_s
        if not self._start_attempt():
            return self._no_server_error()
        while True:
            result = await self._next_result()
            if isinstance(result, RequestError):
                return result
            if result is None:
                self._start_hedge()
                continue
            final_result = self._handle_result(result)
            if final_result is not None:
                return final_result

    def _is_wanted(self) -> bool:
        return self.job.is_wanted() and not self._is_blocked()

    def _is_blocked(self) -> bool:
        job = self.job
        return not job.is_trial and self.guard.is_blocked(job.content)

    async def _next_result(self) -> AttemptResult | RequestError | None:
        """Return the next result, an error at the deadline, or None for a hedge."""
        job, now = self.job, self.now()
        if job.responder.is_disconnected:
            raise CallerDisconnectedError
        wait_until = job.deadline_at
        if self.hedge_at is not None:
            wait_until = min(wait_until, self.hedge_at)
        done, _ = await asyncio.wait(
            [*self.tasks, job.responder.disconnected, job.ending],
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
            return job.timeout_error()
        return None

    def _handle_result(
        self, result: AttemptResult
    ) -> AttemptResult | RequestError | None:
        """Return the final result, or None to wait for further results."""
        self.last_result = result
        self.any_may_have_run |= not result.is_not_run
        if result.is_success:
            return result
        if result.response_head is not None and not result.response_head.not_run:
            self.fallback_result = result
        if self._may_retry(result) and self._start_attempt():
            return None
        if self.tasks:
            return None
        return self._final_result(result)

    def _may_retry(self, result: AttemptResult) -> bool:
        job = self.job
        if job.left_s(self.now()) <= 0:
            return False
        unsent = result.failure is not None and not result.failure.maybe_sent
        if unsent or result.is_misdirected:
            self.counted_attempts -= 1
            if len(job.tries) >= 2 * job.route.attempts + 2:
                return False
        if unsent:
            return True
        if self.counted_attempts >= job.route.attempts:
            return False
        if not self.repeatable and not result.is_not_run:
            return False
        if not self._may_send_again():
            return False
        return self.forwarder.budgets.take(job.service, self.now())

    def _may_send_again(self) -> bool:
        """Whether the call may be sent to a further server as well."""
        if self.job.is_trial:
            return False
        # A server that has the call now may break it off as well.
        at_risk = self.broken_off + len(self.tasks)
        return self.guard.may_repeat(self.job.content, at_risk, is_call=True)

    def _start_hedge(self) -> None:
        """Send a late idempotent call to a second server."""
        self.hedge_at = None
        job, forwarder = self.job, self.forwarder
        if self.counted_attempts >= job.route.attempts:
            return
        if not self._may_send_again():
            return
        if forwarder.budgets.take(job.service, self.now()):
            forwarder.hedging.sent += 1
            self._start_attempt()

    def _start_attempt(self) -> bool:
        if self._is_blocked():
            return False
        member = self.forwarder.pick(self.job, self.excluded)
        if member is None:
            return False
        self.excluded.add(member.limit_key)
        self.counted_attempts += 1
        task = asyncio.ensure_future(self._send(member))
        self.tasks[task] = None
        return True

    async def _send(self, member: Member) -> AttemptResult:
        job, sender = self.job, self.forwarder.sender
        started_at = self.now()
        record = AttemptRecord(member.server.incarnation, started_at)
        job.tries.append(record)
        result = AttemptResult(member, record)
        times, key = self.forwarder.times.of_service(job.service), member.limit_key
        attempt = Attempt(
            server=member.server,
            left_s=max(job.left_s(started_at), 0.001),
            account=job.account.name if job.account else None,
            connect_s=self._connect_limit_s(times),
        )
        call = times.begin(key, started_at)
        member.in_flight += 1
        rollouts = self.forwarder.rollouts
        if rollouts is not None:
            rollouts.note_sent(member)
        try:
            exchange = await sender.send(member, job.request, attempt, self._is_wanted)
            if isinstance(exchange, ExchangeFailure):
                result.failure = exchange
            else:
                job.may_have_run = True
                self.exchanges.append(exchange)
                self.tasks[asyncio.current_task()] = exchange
                await self._read_response(exchange, result)
        finally:
            member.in_flight -= 1
            times.end(key, call, self.now(), result.is_success)
            record.ended_at = self.now()
            if rollouts is not None:
                took_s = record.ended_at - started_at
                rollouts.note_ended(member, job.route.name, result.is_failure, took_s)
        record.result = result_label(result)
        self.forwarder.record_result(result, started_at, job.route.objective_s)
        self._record_crash_evidence(result, started_at)
        if self.repeatable:
            self.forwarder.hedging.record(job.service, self.now() - started_at)
        return result

    def _connect_limit_s(self, times: ServiceTimes) -> float:
        """Return the time for a connection, which is short if others are left."""
        others = set(self.forwarder.fleet.limit_keys(self.job.service)) - self.excluded
        return times.connect_limit_s(self.job.route.objective_s) if others else math.inf

    def _record_crash_evidence(self, result: AttemptResult, started_at: float) -> None:
        """Record whether the server answered the call or may have ended under it."""
        content, failure = self.job.content, result.failure
        response_head = result.response_head
        if result.is_success:
            self.guard.note_sound(content, started_at)
        elif failure is not None and failure.kind in BROKEN_OFF_KINDS:
            self.broken_off += 1
            self.job.was_broken_off = True
            self.forwarder.crash_detector.note_broken_off(result.member, content)
        elif response_head is not None and response_head.signed:
            if not response_head.not_run:
                self.guard.note_survived(content, started_at)

    async def _read_response(
        self, exchange: HttpExchange, result: AttemptResult
    ) -> None:
        """Read the response into `result` until it is complete or too long."""
        parts: list[bytes] = []
        size, response_head = 0, None
        while not exchange.is_finished or exchange.parts:
            await exchange.wait(max(self.job.left_s(self.now()), 0.0) + 1.0)
            if response_head is None and exchange.has_head:
                response_head = self._read_head(exchange, result)
                if result.failure is not None:
                    return
            data = exchange.take_body()
            parts.append(data)
            size += len(data)
            if size > MAX_BUFFERED_RESPONSE_BYTES and not exchange.is_finished:
                self._handle_long_response(exchange, response_head, result)
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
            result.response_head = response_head

    def _read_head(self, exchange: HttpExchange, result: AttemptResult) -> ResponseHead:
        """Return the response head.

        A success without the server's signature, or with an encoded body, is aborted
        and recorded in `result` as a failure, as is a refusal of a call that may have
        run.
        """
        wire = self.forwarder.sender.wire
        response_head = wire.parse_response_head(exchange.status, exchange.headers)
        if 200 <= response_head.status < 300 and (
            response_head.encoded or not response_head.signed
        ):
            exchange.abort()
            detail = "success without the server's mark, or encoded"
            result.failure = ExchangeFailure(FailureKind.MALFORMED, True, detail)
        elif response_head.is_unstated_refusal:
            exchange.abort()
            result.asks_for_time = self.forwarder.sender.statement(exchange).wait_s > 0
            detail = f"status {response_head.status}, but the call may have run"
            result.failure = ExchangeFailure(FailureKind.MALFORMED, True, detail)
        return response_head

    def _handle_long_response(
        self, exchange: HttpExchange, response_head: ResponseHead, result: AttemptResult
    ) -> None:
        """Mark a response that is too long to buffer for streaming.

        A server error of that length is a failure instead.
        """
        if response_head.status < 500:
            result.streaming_exchange = exchange
            return
        exchange.abort()
        detail = f"error answer above {MAX_BUFFERED_RESPONSE_BYTES} bytes"
        result.failure = ExchangeFailure(FailureKind.OVERSIZED, True, detail)

    def _final_result(self, result: AttemptResult) -> AttemptResult | RequestError:
        if self.fallback_result is not None:
            return self.fallback_result
        if not self.any_may_have_run:
            return self._no_server_error(result)
        detail = result.failure.detail if result.failure else ""
        message = f"the backend server broke off: {detail}"
        return RequestError(502, "backend_failed", message, RunState.UNKNOWN)

    def _no_server_error(self, result: AttemptResult | None = None) -> RequestError:
        gate = self.forwarder.sender.gate
        waiting = gate.wait_refusal(self.job.service, self.now())
        if waiting is not None:
            return waiting
        if result is not None and result.response_head is not None:
            message = f"every backend server asked for {self.job.service!r} is full"
            return RequestError(503, "full", message, retry_after_s=FULL_RETRY_AFTER_S)
        if self._is_blocked():
            return self.guard.refusal(self.job.content, self.now())
        limited = gate.refusal(self.job.service, self.now())
        if limited is not None:
            return limited
        message = f"no backend server of {self.job.service!r} can be reached"
        empty_retry_s = self.forwarder.fleet.empty_retry_s(self.job.service, self.now())
        retry_after_s = empty_retry_s or NO_SERVER_RETRY_AFTER_S
        return RequestError(
            503, "no_backend_server", message, retry_after_s=retry_after_s
        )

    def abort_unneeded_attempts(self) -> None:
        """End the attempts whose responses are no longer needed.

        An attempt that has not been sent must not be sent any more, since the caller
        may be told that the call has not run.
        """
        for task, exchange in self.tasks.items():
            if exchange is None:
                task.cancel()
        for exchange in self.exchanges:
            if not exchange.is_finished and not self._is_relayed(exchange):
                exchange.abort()

    def _is_relayed(self, exchange: HttpExchange) -> bool:
        return (
            self.last_result is not None
            and self.last_result.streaming_exchange is exchange
        )

    def on_caller_disconnected(self) -> None:
        """Abort the attempts of idempotent calls; let those of other calls finish."""
        if self.repeatable:
            for task in self.tasks:
                task.cancel()
            self.abort_unneeded_attempts()
            return
        for task, exchange in self.tasks.items():
            if exchange is None:
                task.cancel()
                continue
            self.forwarder.background.add(task)
            task.add_done_callback(self.forwarder.background.discard)
