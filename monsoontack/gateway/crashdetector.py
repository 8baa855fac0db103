"""Finds out whether a server's process ended under the requests that it broke off.

A broken connection alone says little: a link, a proxy or the server itself may have
closed it. The server's process has ended if a new connection is refused at once, or if
the server has started again.
Servers that leave by plan, and those of a failure domain that was lost as a whole, are
left out.
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


@dataclass(slots=True)
class CrashDetector:
    """Checks the servers that broke off requests; `on_crash` is called for crashes.

    `lost` holds the requests of the servers that are being checked.
    """

    sender: Sender
    on_crash: Callable[[ServerCrash], None] = lambda crash: None
    lost: dict[str, dict[RequestContent, None]] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)

    def note_broken_off(self, member: Member, request: RequestContent | None) -> None:
        """Note that a server broke off a request.

        `request` is None if the server had gone on answering before.
        """
        is_checked = member.limit_key in self.lost
        requests = self.lost.setdefault(member.limit_key, {})
        if request is not None and request.parts:
            requests[request] = None
        if is_checked:
            return
        task = asyncio.ensure_future(self._check(member))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _check(self, member: Member) -> None:
        lost_at = self.sender.now()
        try:
            failure = await self.sender.check_connection(member, CHECK_TIMEOUT_S)
            await asyncio.sleep(COLLECT_S)
        finally:
            requests = tuple(self.lost.pop(member.limit_key))
        now = self.sender.now()
        reason = self._reason_against(member, lost_at, now)
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
        if has_ended and reason is None:
            self.on_crash(ServerCrash(member.limit_key, requests, lost_at))

    def _reason_against(self, member: Member, lost_at: float, now: float) -> str | None:
        """Return why the end of a server is no crash of its own, if it is none."""
        fleet = self.sender.fleet
        if not (fleet.is_current(member) or member.restarted):
            return "the engine left"
        if member.last_byte_at > lost_at:
            return "the engine went on answering"
        if fleet.is_domain_lost(member, now):
            return "the failure domain was lost"
        return None
