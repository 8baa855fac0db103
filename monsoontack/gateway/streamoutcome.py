"""Records what the end of a stream's attempt shows about its engine."""

from typing import TYPE_CHECKING

from monsoontack.gateway.fleet import INITIAL_AVOID_S, Member
from monsoontack.gateway.job import AttemptRecord
from monsoontack.gateway.rollouts import RolloutManager
from monsoontack.gateway.streamattempt import OpenAttempt, StreamLoss

if TYPE_CHECKING:
    from monsoontack.gateway.streamrun import StreamRun
    from monsoontack.gateway.streams import StreamForwarder


def record_result(
    run: "StreamRun", attempt: OpenAttempt, loss: StreamLoss | None
) -> None:
    """Record what an attempt's answer, or its loss, shows about engine and prompt."""
    job, relay = run.job, attempt.relay
    attempt.record.result = "complete" if loss is None else loss.reason
    if loss is not None:
        loss.has_gone_on = relay.has_gone_on
        if loss.is_broken_off:
            suspect = None if relay.has_gone_on else job.content
            job.was_broken_off |= not relay.has_gone_on
            run.forwarder.crash_detector.note_broken_off(attempt.member, suspect)
        elif loss.is_error_of_engine:
            run.guard.note_survived(job.content, attempt.record.sent_at)
    elif relay.began_at is not None and not relay.has_gone_on:
        run.guard.note_sound(job.content, relay.began_at)
    job.may_have_run |= loss is None or not loss.not_run
    record_server_health(run.forwarder, attempt.member, loss)


def close_attempt(
    run: "StreamRun", attempt: OpenAttempt, loss: StreamLoss | None
) -> None:
    """End the counts of an attempt, whatever has ended it."""
    attempt.record.ended_at = run.now()
    attempt.load.remove()
    rollouts, relay = run.forwarder.rollouts, attempt.relay
    if rollouts is not None:
        is_silent = relay is not None and relay.silent_since is not None
        failed = has_failed(loss, is_silent)
        route = run.job.route.name
        record_version_evidence(rollouts, attempt.member, route, attempt.record, failed)


def has_failed(loss: StreamLoss | None, is_silent: bool) -> bool:
    """Whether an engine failed to run a stream; `is_silent` if it was so at the end."""
    if is_silent:
        return True
    if loss is None or loss.not_run or loss.asks_for_time or loss.is_empty:
        return False
    return loss.reason != "deadline"


def record_version_evidence(
    rollouts: RolloutManager,
    member: Member,
    route: str,
    record: AttemptRecord,
    failed: bool,
) -> None:
    """Record an attempt as evidence about the version of its engine."""
    first_s = gap_s = None
    if record.first_event_at is not None:
        first_s = record.first_event_at - record.sent_at
        gap_s = record.worst_gap_s
    rollouts.note_ended(member, route, failed, first_s, gap_s)


def record_server_health(
    forwarder: "StreamForwarder", member: Member, loss: StreamLoss | None
) -> None:
    """Record the attempt's outcome for the selection of servers.

    An engine whose answer is empty may be right, so that shows nothing.
    """
    fleet, now = forwarder.fleet, forwarder.sender.now()
    start_key, rng = member.server.start_key, forwarder.rng
    if loss is None:
        fleet.ejection.record_success(start_key, 0.0, now, rng)
        return
    if loss.is_empty:
        return
    if loss.response_head is not None and loss.response_head.status == 421:
        fleet.note_misdirected(member)
    elif not (loss.not_run or loss.asks_for_time):
        fleet.ejection.record_failure(start_key, now, rng)
        if loss.is_foreign:
            member.avoid_until = max(member.avoid_until, now + INITIAL_AVOID_S)
        else:
            fleet.note_unreachable(member, now)
