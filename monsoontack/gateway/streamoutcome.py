"""Records what the end of a stream's attempt shows about its engine."""

from typing import TYPE_CHECKING

from monsoontack.gateway.fleet import INITIAL_AVOID_S, Member
from monsoontack.gateway.job import Job
from monsoontack.gateway.rollouts import RolloutManager
from monsoontack.gateway.streamattempt import StreamLoss

if TYPE_CHECKING:
    from monsoontack.gateway.streams import StreamForwarder


def has_failed(loss: StreamLoss | None, is_silent: bool) -> bool:
    """Whether an engine failed to run a stream; `is_silent` if it was so at the end."""
    if is_silent:
        return True
    if loss is None or loss.not_run or loss.asks_for_time:
        return False
    return loss.reason != "deadline"


def record_version_evidence(
    rollouts: RolloutManager, member: Member, job: Job, failed: bool
) -> None:
    """Record the last attempt as evidence about the version of its engine."""
    record = job.tries[-1]
    first_s = gap_s = None
    if record.first_event_at is not None:
        first_s = record.first_event_at - record.sent_at
        gap_s = record.worst_gap_s
    rollouts.note_ended(member, job.route.name, failed, first_s, gap_s)


def record_server_health(
    forwarder: "StreamForwarder", member: Member, loss: StreamLoss | None
) -> None:
    """Record the attempt's outcome for the selection of servers."""
    fleet, now = forwarder.fleet, forwarder.sender.now()
    start_key, rng = member.server.start_key, forwarder.rng
    if loss is None:
        fleet.ejection.record_success(start_key, 0.0, now, rng)
        return
    if loss.response_head is not None and loss.response_head.status == 421:
        fleet.note_misdirected(member)
    elif not (loss.not_run or loss.asks_for_time):
        fleet.ejection.record_failure(start_key, now, rng)
        if loss.is_foreign:
            member.avoid_until = max(member.avoid_until, now + INITIAL_AVOID_S)
        else:
            fleet.note_unreachable(member, now)
