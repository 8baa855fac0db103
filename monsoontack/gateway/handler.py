"""Handles requests: parsing, authorization, forwarding, metrics and one log line."""

import asyncio
import random
from dataclasses import dataclass, field

import structlog

from monsoontack.admission.crashguard import CrashGuard
from monsoontack.admission.drainadmission import DrainAdmission, Sample, Work
from monsoontack.core.errors import RequestError, RunState
from monsoontack.gateway.calls import CallForwarder
from monsoontack.gateway.configstate import ConfigState
from monsoontack.gateway.errorresponse import error_response
from monsoontack.gateway.job import Job
from monsoontack.gateway.metrics import GatewayMetrics
from monsoontack.gateway.ports import WireFormat
from monsoontack.gateway.records import CallerRequest, RawRequest, RequestKind, Route
from monsoontack.gateway.routes import authorize, choose_service
from monsoontack.gateway.streams import StreamForwarder
from monsoontack.gateway.suspectgate import SuspectGate, no_peer
from monsoontack.inbound.responder import Responder

log = structlog.get_logger("gateway.requests")

# Subtracted from the deadline, so that a response sent at the deadline reaches the
# caller in time; the network takes a few ms.
RESPONSE_MARGIN_S = 0.02
# Outcomes of requests that took as long as their route takes.
COMPLETE_OUTCOMES = ("answered", "streamed")


@dataclass(slots=True, repr=False)
class Gateway:
    """Serves the requests of one entry.

    `drain` decides on new requests while the entry drains. `running` has the requests
    that are being served, by the identity of their job.
    """

    wire: WireFormat
    config_state: ConfigState
    calls: CallForwarder
    streams: StreamForwarder
    metrics: GatewayMetrics
    rng: random.Random
    drain: DrainAdmission = field(default_factory=DrainAdmission)
    running: dict[int, Job] = field(default_factory=dict)
    suspects: SuspectGate = field(init=False)

    def __post_init__(self) -> None:
        """Let requests under suspicion take turns, at first at this entry alone."""
        self.suspects = SuspectGate(self.guard.name, self.guard, no_peer)

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def in_progress(self) -> int:
        """Return the number of requests that are being served."""
        return len(self.running)

    @property
    def guard(self) -> CrashGuard:
        """Return the decision on requests that crash servers."""
        return self.streams.sender.guard

    async def handle(self, raw: RawRequest, responder: Responder) -> None:
        """Serve one request."""
        request = self.wire.parse_request(raw)
        if isinstance(request, RequestError):
            self._refuse(request, responder, "", "invalid")
            return
        authorized = authorize(self.config_state, request)
        if isinstance(authorized, RequestError):
            self._refuse(authorized, responder, request.request_id, authorized.code)
            return
        route, account = authorized
        job = self._make_job(request, route, account, responder)
        if self._may_outlast_drain(job):
            error = self._draining_error(job.left_s(self.now()))
            self._refuse(error, responder, request.request_id, "draining")
            return
        blocked = self._check_content(job)
        if blocked is not None:
            self._refuse(blocked, responder, request.request_id, blocked.code)
            return
        self.running[id(job)] = job
        try:
            await self._serve(job)
        except asyncio.CancelledError:
            self._answer_cancelled(job)
            raise
        except Exception:
            log.exception("request failed", request=request.request_id)
            job.outcome = "internal_error"
            self._send_internal_error(job)
        finally:
            del self.running[id(job)]
            self.suspects.finish(job)
            self._record_end(job)

    def end_running(self) -> None:
        """End the requests that still run, because the process ends."""
        for job in list(self.running.values()):
            job.end_early(self.now())

    def _make_job(self, request: CallerRequest, route, account, responder) -> Job:
        wait_s = route.timeout_s
        if request.deadline_s is not None:
            wait_s = min(wait_s, request.deadline_s)
        received_at = request.raw.received_at
        return Job(
            request=request,
            route=route,
            account=account,
            service=choose_service(route.targets, self.rng),
            responder=responder,
            started_at=received_at,
            deadline_at=received_at + max(wait_s - RESPONSE_MARGIN_S, 0.0),
            config_version=self.config_state.config.version,
            config_age_s=self.config_state.age_s(),
        )

    def _check_content(self, job: Job) -> RequestError | None:
        """Return the refusal of a blocked request, unless it is a trial."""
        refusal = self.guard.refusal(job.content, self.now())
        if refusal is None:
            return None
        job.is_trial = self.guard.take_trial(job.content, self.now())
        return None if job.is_trial else refusal

    def _may_outlast_drain(self, job: Job) -> bool:
        """Whether a new request might still be running at the end of the drain."""
        drain, now = self.drain, self.now()
        if drain.began_at is None:
            return False
        running = [
            _sample_of(other, now)
            for other in self.running.values()
            if other.route.name == job.route.name
        ]
        work = _work_of(job.route, job.request.max_output_tokens)
        needed_s = min(drain.needed_s(work, now, running), job.left_s(now))
        left_s = drain.ends_at - now
        is_taken = needed_s < left_s
        log.info(
            "request arrived in drain",
            request=job.request.request_id,
            route=job.route.name,
            max_tokens=work.max_tokens,
            needed_s=round(needed_s, 2),
            left_s=round(left_s, 2),
            is_taken=is_taken,
        )
        return not is_taken

    def begin_drain(self, now: float, ends_at: float) -> None:
        """Begin the drain, and refuse the streams that have not begun."""
        self.drain.begin(now, ends_at)
        self.streams.admission.drain(self._draining_error)

    def _draining_error(self, left_s: float) -> RequestError:
        message = "this entry is leaving; another one serves"
        wait_s = self.drain.retry_after_s(self.now(), left_s)
        return RequestError(503, "draining", message, retry_after_s=round(wait_s, 2))

    async def _serve(self, job: Job) -> None:
        refusal = await self._admit_suspect(job)
        if refusal is not None:
            job.outcome, job.status = refusal.code, refusal.status
            job.responder.send(*error_response(refusal, job.request.request_id))
            return
        if job.route.kind is RequestKind.STREAM:
            await self.streams.serve(job)
        else:
            await self.calls.serve(job)

    async def _admit_suspect(self, job: Job) -> RequestError | None:
        """Wait for the turn of a request under suspicion; return why it is refused."""
        if job.is_trial or self.guard.suspect(job.content) is None:
            return None
        refusal = await self.suspects.admit(job)
        if refusal is None and self._may_outlast_drain(job):
            # A drain has begun, or gone on, while the request waited.
            return self._draining_error(job.left_s(self.now()))
        return refusal

    def _answer_cancelled(self, job: Job) -> None:
        """Answer a request whose handling was cancelled at the end of the drain."""
        job.may_have_run |= bool(job.tries)
        error = job.timeout_error()
        job.outcome = error.code
        if not job.responder.head_sent:
            job.status = error.status
            job.responder.send(*error_response(error, job.request.request_id))

    def _send_internal_error(self, job: Job) -> None:
        error = RequestError(
            500, "internal_error", "the entry failed", RunState.UNKNOWN
        )
        if job.responder.head_sent:
            job.responder.abort()
            return
        job.status = error.status
        job.responder.send(*error_response(error, job.request.request_id))

    def _refuse(
        self, error: RequestError, responder: Responder, request_id: str, outcome: str
    ) -> None:
        responder.send(*error_response(error, request_id))
        self.metrics.requests.labels("refused", outcome).inc()
        version = self.config_state.config.version if self.config_state.config else None
        log.info(
            "request refused",
            request=request_id,
            status=error.status,
            code=error.code,
            message=error.message,
            retry_after_s=error.retry_after_s,
            config_version=version,
            config_age_s=round(self.config_state.age_s(), 2) if version else None,
        )

    def _record_time(self, job: Job) -> None:
        """Record how long the request took, for the decisions in a drain.

        A stream that lost an engine tells more of the loss than of its route.
        """
        is_stream = job.route.kind is RequestKind.STREAM
        if is_stream and len(job.tries) > 1:
            return
        is_whole = job.outcome in COMPLETE_OUTCOMES and job.status < 500
        is_resumed = job.request.last_event_id is not None
        self.drain.record(
            _work_of(job.route, job.request.max_output_tokens),
            _sample_of(job, self.now()),
            is_whole and not is_resumed,
        )

    def _time_in_drain(self, at: float) -> float | None:
        """Return the time from the start of the drain, None while there is none.

        It is negative for a request that arrived before.
        """
        began_at = self.drain.began_at
        return None if began_at is None else round(at - began_at, 3)

    def _record_end(self, job: Job) -> None:
        took_s = self.now() - job.started_at
        self._record_time(job)
        kind = str(job.route.kind)
        self.metrics.requests.labels(kind, job.outcome).inc()
        self.metrics.answer_s.labels(kind).observe(took_s)
        for item in job.tries:
            result = item.result.partition(":")[0].partition(" ")[0]
            self.metrics.sends.labels(job.service, result).inc()
        first_s = None
        if job.first_event_at is not None:
            first_s = job.first_event_at - job.started_at
            self.metrics.first_event_s.observe(first_s)
            self.metrics.worst_gap_s.observe(job.worst_gap_s)
        log.info(
            "request ended",
            request=job.request.request_id,
            route=job.route.name,
            kind=kind,
            account=job.account.name if job.account else None,
            fingerprint=job.content.request,
            service=job.service,
            outcome=job.outcome,
            status=job.status,
            took_s=round(took_s, 3),
            first_event_s=None if first_s is None else round(first_s, 3),
            worst_gap_s=round(job.worst_gap_s, 3),
            events=job.events,
            last_id=job.last_event_id,
            max_tokens=job.request.max_output_tokens,
            arrived_after_stop_s=self._time_in_drain(job.started_at),
            ended_after_stop_s=self._time_in_drain(self.now()),
            continues_after=job.request.last_event_id,
            tries=[
                [
                    item.server,
                    round(item.sent_at - job.started_at, 3),
                    round(item.ended_at - job.started_at, 3),
                    item.result,
                ]
                for item in job.tries
            ],
            config_version=job.config_version,
            config_age_s=round(job.config_age_s, 2),
        )


def _work_of(route: Route, max_tokens: int = 0) -> Work:
    is_stream = route.kind is RequestKind.STREAM
    return Work(route.name, is_stream, route.is_repeatable, max_tokens)


def _sample_of(job: Job, now: float) -> Sample:
    """Return the time that a request has taken up to now."""
    took_s = now - job.started_at
    first_s = took_s
    if job.first_event_at is not None:
        first_s = job.first_event_at - job.started_at
    max_tokens = job.request.max_output_tokens
    is_shorter = not max_tokens or job.events < max_tokens
    return Sample(now, took_s, first_s, max_tokens, is_shorter)
