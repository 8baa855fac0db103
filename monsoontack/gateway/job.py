"""One request on its way through the gateway."""

import asyncio
from dataclasses import dataclass, field

from monsoontack.core.errors import RequestError, RunState
from monsoontack.gateway.records import CallerRequest, GatewayAccount, Route
from monsoontack.gateway.responder import Responder


@dataclass(slots=True)
class Try:
    """One send of a request: where, how it ended, and when (seconds, loop)."""

    server: str
    sent_at: float
    result: str = "open"
    ended_at: float = 0.0
    first_event_at: float | None = None
    worst_gap_s: float = 0.0


@dataclass(slots=True)
class Job:
    """A request that is being served.

    `deadline_at` is when the caller or the route gives up (loop's time).
    `may_have_run` turns true once a send may have reached a server.
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
    tries: list[Try] = field(default_factory=list)
    may_have_run: bool = False
    outcome: str = "open"
    status: int = 0
    first_event_at: float | None = None
    worst_gap_s: float = 0.0

    def left_s(self, now: float) -> float:
        """Return the seconds until the deadline."""
        return self.deadline_at - now

    def is_wanted(self) -> bool:
        """Whether the request may still be sent: its caller waits for an answer."""
        now = asyncio.get_running_loop().time()
        return not self.responder.is_disconnected and self.left_s(now) > 0

    @property
    def priority(self) -> int:
        """Return the rank of the request; the account's goes first."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def timed_out(self) -> RequestError:
        """Return the error of a request whose time is over."""
        if self.may_have_run:
            message = "no answer within the time of the request"
            return RequestError(504, "timeout", message, RunState.UNKNOWN)
        message = "no backend server could take the request in time"
        return RequestError(503, "no_backend_server", message, retry_after_s=0.5)
