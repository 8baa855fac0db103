"""Finds out whether a server's process ended under the requests that it broke off.

A broken connection alone says little: a link, a proxy or the server itself may have
closed it. The server's process has ended if a new connection is refused at once, or if
the server has started again.
Servers that leave by plan are left out, and prompts in flight at those of a failure
domain that was lost as a whole.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from monsoontack.admission.requestcontent import RequestContent
from monsoontack.gateway.fleet import Member
from monsoontack.gateway.outbound import FailureKind
from monsoontack.gateway.sender import Sender

log = structlog.get_logger("gateway.crashes")

# Requests of one server end together; their losses are collected for this time. The
# news that a server leaves, or that its domain was lost, arrives in it as well.
COLLECT_S = 0.1
CHECK_TIMEOUT_S = 0.35
DOMAIN_LOST = "the failure domain was lost"
# Losses and answers of one moment may be read in any order.
READ_SKEW_S = 0.05
# Requests named in a log line. Several hundred calls may be in flight at a server.
MAX_LOGGED_REQUESTS = 32
BROKEN_OFF_KINDS = frozenset((FailureKind.CLOSED, FailureKind.RESET))


@dataclass(frozen=True, slots=True)
class ServerCrash:
    """The process of an engine ended.

    `server` names this start of the engine. `prompts` are those on which the engine had
    not gone on answering. `at` is the time of the first loss (event loop's clock).
    """

    server: str
    requests: tuple[RequestContent, ...]
    at: float


@dataclass(slots=True, repr=False)
class CrashDetector:
    """Checks the servers that broke off requests; `on_crash` is called for crashes.

    `lost` holds the requests of the servers that are being checked, and when each was
    broken off; None stands for those on which the server had gone on answering.
    """

    sender: Sender
    on_crash: Callable[[ServerCrash], None] = lambda crash: None
    lost: dict[str, dict[RequestContent | None, float]] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)

    def note_broken_off(self, member: Member, request: RequestContent | None) -> None:
        """Note that a server broke off a request.

        `request` is None if the server had gone on answering before.
        """
        is_checked = member.limit_key in self.lost
        losses = self.lost.setdefault(member.limit_key, {})
        has_parts = request is not None and request.parts
        losses[request if has_parts else None] = self.sender.now()
        if is_checked:
            return
        task = asyncio.ensure_future(self._check(member))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _check(self, member: Member) -> None:
        """Check a server, again if it broke off more after a check found it alive."""
        losses = self.lost[member.limit_key]
        try:
            while losses:
                began_at = self.sender.now()
                if await self._has_crashed(member, losses):
                    break
                for request, at in list(losses.items()):
                    if at <= began_at:
                        del losses[request]
        finally:
            del self.lost[member.limit_key]

    async def _has_crashed(
        self, member: Member, losses: dict[RequestContent | None, float]
    ) -> bool:
        """Return whether the server's process has ended, and report a crash."""
        failure = await self.sender.check_connection(member, CHECK_TIMEOUT_S)
        await asyncio.sleep(COLLECT_S)
        answered_at = member.last_byte_at - READ_SKEW_S
        last = {request: at for request, at in losses.items() if at >= answered_at}
        requests = tuple(request for request in last if request is not None)
        reason = self._reason_against(member, not last)
        is_refused = failure is not None and failure.is_refused
        has_ended = is_refused or member.restarted
        log.info(
            "engine broke off streams",
            server=member.server.incarnation,
            process_ended=has_ended,
            not_a_crash=reason,
            prompts=[
                [request.account, *request.parts]
                for request in requests[:MAX_LOGGED_REQUESTS]
            ],
            requests=len(requests),
        )
        if reason == DOMAIN_LOST:
            # A call may take all servers of a small service with it. Requests are
            # blamed only for crashes that no single loss of a domain can cause.
            requests = tuple(r for r in requests if not r.prompt_parts)
        if has_ended and (reason is None or reason == DOMAIN_LOST and requests):
            crash = ServerCrash(member.limit_key, requests, min(last.values()))
            self.on_crash(crash)
        return has_ended

    def _reason_against(self, member: Member, has_answered: bool) -> str | None:
        """Return why the end of a server is no crash of its own, if it is none."""
        fleet = self.sender.fleet
        if not (fleet.is_current(member) or member.restarted):
            return "the engine left"
        if has_answered:
            return "the engine went on answering"
        if fleet.is_domain_lost(member, self.sender.now()):
            return DOMAIN_LOST
        return None
