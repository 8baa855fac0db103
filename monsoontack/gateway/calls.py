"""Forwards calls to plain services, with retries and hedging.

A non-idempotent call goes to a second server only if the first one certainly did
not run it and the route allows another attempt. Idempotent calls are retried after
failures and hedged when they are late, both within the retry budget of their service.
"""

import asyncio
import random
from dataclasses import dataclass, field

from monsoontack.admission.hedge import Hedging
from monsoontack.core.errors import RequestError
from monsoontack.core.records import RouteRequest, ServerState
from monsoontack.gateway.attemptresult import AttemptResult
from monsoontack.gateway.budgets import RetryBudgets
from monsoontack.gateway.callrun import CallRun
from monsoontack.gateway.crashdetector import CrashDetector
from monsoontack.gateway.errorresponse import error_response
from monsoontack.gateway.fleet import BackendFleet, Member
from monsoontack.gateway.job import Job
from monsoontack.gateway.outbound import FailureKind
from monsoontack.gateway.rollouts import RolloutManager
from monsoontack.gateway.sender import Sender
from monsoontack.inbound.responder import CallerDisconnectedError
from monsoontack.loadview.exchange import LoadExchange
from monsoontack.routing.calltimes import CallTimes
from monsoontack.routing.picker import Picker

# A server that rejected a call for lack of capacity gets no new call for this time.
FULL_SERVER_AVOID_S = 0.15
# A server that has just started is well if it answers within this share of the
# objective, which leaves time for a retry.
PROMPT_SHARE = 0.5
# Interval at which a long answer checks whether its caller has left.
DISCONNECT_POLL_S = 0.1


@dataclass(slots=True, repr=False)
class CallForwarder:
    """Forwards calls to plain services.

    `load_exchange`, if there is one, has the calls of other entries. `background` holds
    the running attempts of non-idempotent calls whose callers have disconnected.
    """

    fleet: BackendFleet
    sender: Sender
    picker: Picker
    budgets: RetryBudgets
    hedging: Hedging
    rng: random.Random
    rollouts: RolloutManager | None = None
    times: CallTimes = field(default_factory=CallTimes)
    load_exchange: LoadExchange | None = None
    background: set[asyncio.Task] = field(default_factory=set)
    crash_detector: CrashDetector = field(init=False)

    def __post_init__(self) -> None:
        """Create the detector of crashed servers, and let times decide."""
        self.picker.times = self.times
        self.crash_detector = CrashDetector(self.sender)

    async def serve(self, job: Job) -> None:
        """Serve one call and send the response to its caller."""
        call_run = CallRun(self, job)
        try:
            result = await call_run.run()
        except CallerDisconnectedError:
            job.outcome = "caller_gone"
            call_run.on_caller_disconnected()
            return
        call_run.abort_unneeded_attempts()
        if isinstance(result, RequestError):
            job.outcome, job.status = result.code, result.status
            job.responder.send(*error_response(result, job.request.request_id))
            return
        await self._send_response(job, result)

    async def _send_response(self, job: Job, result: AttemptResult) -> None:
        response_head = result.response_head
        job.outcome, job.status = "answered", response_head.status
        if result.streaming_exchange is None:
            job.responder.send(
                response_head.status, response_head.forwarded, result.body
            )
            return
        await self._stream_response(job, result)

    async def _stream_response(self, job: Job, result: AttemptResult) -> None:
        exchange = result.streaming_exchange
        job.responder.begin(result.response_head.status, result.response_head.forwarded)
        try:
            await job.responder.write(result.body)
            while not exchange.is_finished or exchange.parts:
                left_s = job.left_s(self.sender.now())
                if left_s <= 0:
                    break
                await exchange.wait(min(left_s, DISCONNECT_POLL_S))
                if job.responder.is_disconnected:
                    raise CallerDisconnectedError
                await job.responder.write(exchange.take_body())
        except CallerDisconnectedError:
            job.outcome = "caller_gone"
            exchange.abort()
            return
        if exchange.is_complete and not exchange.parts:
            job.responder.finish()
            return
        job.outcome = "answer_cut"
        exchange.abort()
        job.responder.abort()

    def pick(self, job: Job, excluded: set[str]) -> Member | None:
        """Return the server for the next attempt of a call, if there is one.

        `excluded` holds the starts of servers that must not get the call again. Two
        servers may be listed at one address until the record of the former one
        expires, so servers are told apart by their start here.

        Servers whose `avoid_until` is in the future, after a rejected call or a
        failure, are used only if no other server is left, as are those in doubt.
        Servers with a stated limit are used only with a permit.
        """
        now = self.sender.now()
        candidates = self.fleet.of_service(job.service)
        doubtful = self.fleet.doubtful(candidates, now)
        if self.rollouts is not None:
            candidates = self.rollouts.eligible_servers(
                job.service,
                candidates,
                lambda member: self.sender.gate.may_send(member.limit_key, now),
            )
        members = {
            member.limit_key: member
            for member in candidates
            if self.sender.gate.may_send(member.limit_key, now)
        }
        avoided = {key for key, m in members.items() if now < m.avoid_until}
        paces = self.fleet.paces
        rooms = {
            k: paces.room(m, m.in_flight, m.in_flight, now) for k, m in members.items()
        }
        full = {key for key, room in rooms.items() if room == 0}
        for unwanted in (full | doubtful | avoided, doubtful | avoided, avoided):
            left_out = excluded | unwanted
            if not members.keys() <= left_out:
                excluded = left_out
                break
        route = RouteRequest(
            service=job.service,
            version="",
            account=job.account.name if job.account else "",
            request_bytes=len(job.request.raw.body),
            cause="call",
        )
        others = {}
        if self.load_exchange is not None:
            others = self.load_exchange.peer_calls(now)
        states = [
            ServerState(member.server, in_flight=member.in_flight + others.get(key, 0))
            for key, member in members.items()
            if key not in excluded
        ]
        choice = self.picker.pick(route, states, now, self.rng)
        server = choice.value_or(None)
        if server is None:
            return None
        member = members[server.start_key]
        self.fleet.evidence.note_sent(member, now)
        if self.load_exchange is not None:
            self.load_exchange.note_call(member)
        return member

    def record_result(
        self,
        result: AttemptResult,
        started_at: float,
        objective_s: float = float("inf"),
    ) -> None:
        """Record a result as evidence about the health of its server.

        `objective_s` is the time in which the route's answers are due.
        """
        now = self.sender.now()
        member = result.member
        start_key = member.server.start_key
        if result.is_success:
            latency_s = now - started_at
            self.fleet.note_alive(member, now)
            is_prompt = latency_s <= PROMPT_SHARE * objective_s
            self.fleet.paces.note_answered(member, is_prompt, now)
            self.fleet.ejection.record_success(start_key, latency_s, now, self.rng)
            return
        response_head, failure = result.response_head, result.failure
        if failure is not None and failure.kind is FailureKind.UNWANTED:
            return
        if response_head is not None and response_head.not_run:
            if result.is_misdirected:
                self.fleet.note_misdirected(member, now)
            else:
                member.avoid_until = max(member.avoid_until, now + FULL_SERVER_AVOID_S)
                self.fleet.paces.note_trouble(member, now)
            return
        if not result.asks_for_time:
            self.fleet.ejection.record_failure(start_key, now, self.rng)
