"""State of one request while the gateway serves it."""

import asyncio
from dataclasses import dataclass, field

from monsoontack.admission.fingerprint import request_fingerprint
from monsoontack.admission.requestcontent import RequestContent
from monsoontack.core.errors import RequestError, RunState
from monsoontack.gateway.records import CallerRequest, GatewayAccount, Route
from monsoontack.inbound.responder import Responder


@dataclass(slots=True, repr=False)
class AttemptRecord:
    """One attempt of a request: its server, result and times (event loop's clock).

    `server` is the incarnation of the backend server; `worst_gap_s` is the longest
    pause between two events of the response.
    """

    server: str
    sent_at: float
    result: str = "open"
    ended_at: float = 0.0
    first_event_at: float | None = None
    worst_gap_s: float = 0.0


@dataclass(slots=True, repr=False)
class Job:
    """A request that is being served.

    `deadline_at` is the earlier of the caller's and the route's deadline (event loop's
    clock). `may_have_run` is set once a backend server may have run the request.
    `is_trial` marks the one request that tries again what is blocked; `turn_of` is what
    is under suspicion and only this request tries now. `was_broken_off` is set once a
    server ended its connection before it went on answering.
    `events` is the number of events with an id that a stream has forwarded,
    `last_event_id` the id of the last one.
    `ending` is done once the process ends and the request must be answered.
    `content` is what may recur in other requests.
    """

    request: CallerRequest
    route: Route
    account: GatewayAccount | None
    service: str
    responder: Responder
    started_at: float
    deadline_at: float
    config_version: int = 0
    config_age_s: float = 0.0
    tries: list[AttemptRecord] = field(default_factory=list)
    may_have_run: bool = False
    outcome: str = "open"
    status: int = 0
    first_event_at: float | None = None
    worst_gap_s: float = 0.0
    events: int = 0
    last_event_id: str | None = None
    is_trial: bool = False
    turn_of: str | None = None
    was_broken_off: bool = False
    content: RequestContent = field(init=False)
    ending: asyncio.Future = field(init=False)

    def __post_init__(self) -> None:
        """Derive what may recur: parts of the prompt, and the request as a whole.

        The body has been read whole. A key against repeated runs does not belong to the
        fingerprint, since it differs when a caller asks for the same thing again.
        """
        self.ending = asyncio.get_running_loop().create_future()
        account = self.account.name if self.account else ""
        raw = self.request.raw
        host = self.request.host.encode()
        prompt_ids = [part.segment_id for part in self.request.prompt_segments]
        # Without a body, only these ids tell one prompt from another.
        body = raw.body or ",".join(prompt_ids).encode()
        self.content = RequestContent.from_ids(
            account,
            prompt_ids,
            request_fingerprint((raw.method, host, raw.target, account.encode(), body)),
        )

    def left_s(self, now: float) -> float:
        """Return the time that is left until the deadline."""
        return self.deadline_at - now

    def end_early(self, now: float) -> None:
        """End the request now, because the process ends."""
        if not self.ending.done() and self.left_s(now) > 0:
            self.deadline_at = now
            self.ending.set_result(None)

    def is_wanted(self) -> bool:
        """Whether the caller is still connected and the deadline has not passed."""
        now = asyncio.get_running_loop().time()
        return not self.responder.is_disconnected and self.left_s(now) > 0

    @property
    def priority(self) -> int:
        """Return the account's priority if it has one, else that of the route."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def timeout_error(self) -> RequestError:
        """Return the error for a request whose deadline has passed."""
        if self.ending.done():
            return self._ending_error()
        if self.may_have_run:
            message = "no answer within the time of the request"
            return RequestError(504, "timeout", message, RunState.UNKNOWN)
        message = "no backend server could take the request in time"
        return RequestError(503, "no_backend_server", message, retry_after_s=0.5)

    def _ending_error(self) -> RequestError:
        if self.may_have_run:
            message = "this entry left before the request ended"
            return RequestError(502, "draining", message, RunState.UNKNOWN)
        message = "this entry left before a backend server got the request"
        return RequestError(503, "draining", message, retry_after_s=0.0)
