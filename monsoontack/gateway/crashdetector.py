"""Finds out whether an engine's process ended under the streams that it broke off.

A broken connection alone says little: a link, a proxy or the engine itself may have
closed it. The engine's process has ended if a new connection is refused at once, or if
the engine has started again.
Engines that leave by plan, and those of a failure domain that was lost as a whole, are
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

# Streams of one engine end together; their losses are collected for this time. The
# news that an engine leaves, or that its domain was lost, arrives in it as well.
COLLECT_S = 0.1
CHECK_TIMEOUT_S = 0.35
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
    """Checks the engines that broke off streams; `on_crash` is called for crashes.

    `lost` holds the prompts of the engines that are being checked.
    """

    sender: Sender
    on_crash: Callable[[ServerCrash], None] = lambda crash: None
    lost: dict[str, list[RequestContent]] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)

    def note_broken_off(self, member: Member, prompt: RequestContent | None) -> None:
        """Note that an engine broke off a stream.

        `prompt` is None if the engine had gone on answering before.
        """
        is_checked = member.limit_key in self.lost
        prompts = self.lost.setdefault(member.limit_key, [])
        if prompt is not None and prompt.parts:
            prompts.append(prompt)
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
            prompts = self.lost.pop(member.limit_key)
        now = self.sender.now()
        reason = self._reason_against(member, lost_at, now)
        is_refused = failure is not None and failure.is_refused
        has_ended = is_refused or member.restarted
        log.info(
            "engine broke off streams",
            server=member.server.incarnation,
            process_ended=has_ended,
            not_a_crash=reason,
            prompts=[[prompt.account, *prompt.parts] for prompt in prompts],
        )
        if has_ended and reason is None:
            unique = tuple(dict.fromkeys(prompts))
            self.on_crash(ServerCrash(member.limit_key, unique, lost_at))

    def _reason_against(self, member: Member, lost_at: float, now: float) -> str | None:
        """Return why the end of an engine is no crash of its own, if it is none."""
        fleet = self.sender.fleet
        if not (fleet.is_current(member) or member.restarted):
            return "the engine left"
        if member.last_byte_at > lost_at:
            return "the engine went on answering"
        if fleet.is_domain_lost(member, now):
            return "the failure domain was lost"
        return None
