"""Records what the end of a stream's attempt shows about its engine."""

from typing import TYPE_CHECKING

import structlog

from monsoontack.gateway.fleet import INITIAL_AVOID_S, Member
from monsoontack.gateway.job import AttemptRecord
from monsoontack.gateway.rollouts import RolloutManager
from monsoontack.gateway.streamattempt import OpenAttempt, StreamLoss
from monsoontack.generation.continuation import ForeignAnswerError
from monsoontack.generation.failover import EndCause, FailoverInput, NextStep
from monsoontack.pacing.domainevidence import Trouble
from monsoontack.pacing.pace import is_in_time
from monsoontack.routing.placement import unread_tokens

if TYPE_CHECKING:
    from monsoontack.gateway.streamrelay import StreamRelay
    from monsoontack.gateway.streamrun import StreamRun
    from monsoontack.gateway.streams import StreamForwarder

log = structlog.get_logger("gateway.streams")


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
    run.forwarder.admission.wake(run.job.service)
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
    if loss is None or loss.not_run or loss.asks_for_time or loss.shows_nothing:
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
    """Record the attempt's outcome for the selection of servers."""
    fleet, now = forwarder.fleet, forwarder.sender.now()
    start_key, rng = member.server.start_key, forwarder.rng
    if loss is None:
        fleet.ejection.record_success(start_key, 0.0, now, rng)
        return
    if loss.shows_nothing:
        return
    if loss.response_head is not None and loss.response_head.status == 421:
        fleet.note_misdirected(member, now)
    elif loss.not_run or loss.asks_for_time:
        fleet.paces.note_trouble(member, now)
    else:
        fleet.ejection.record_failure(start_key, now, rng)
        if loss.is_foreign:
            member.avoid_until = max(member.avoid_until, now + INITIAL_AVOID_S)
        else:
            trouble = Trouble.RESET if loss.is_broken_off else Trouble.SILENT
            fleet.note_unreachable(member, now, trouble)


def log_wrong_answer(relay: "StreamRelay", error: ForeignAnswerError) -> None:
    """Log why an engine's answer is not the rest of the stream."""
    # The text may quote the engine, so it is not for the caller.
    log.warning(
        "answer does not go on with the stream",
        request=relay.job.request.request_id,
        server=relay.member.server.incarnation,
        detail=str(error),
    )


def log_going_on(relay: "StreamRelay", gap_s: float) -> None:
    """Log that a silent engine sends events again, after a gap of `gap_s` seconds."""
    log.info(
        "silent engine goes on",
        request=relay.job.request.request_id,
        server=relay.member.server.incarnation,
        gap_s=round(gap_s, 2),
    )


def log_lost_engine(
    run: "StreamRun",
    member: Member,
    loss: StreamLoss,
    step: NextStep,
    state: FailoverInput,
    ended_by: EndCause | None,
    has_kv_copy: bool,
) -> None:
    """Log why an attempt ended, and how the stream goes on."""
    now, copy_holder = run.now(), run.copy_holder
    servers_at_copy = []
    if copy_holder is not None:
        found = run.forwarder.fleet.at_address(copy_holder.server.address)
        servers_at_copy = [[other.limit_key, other.server.service] for other in found]
    log.info(
        "stream lost its engine",
        request=run.job.request.request_id,
        server=member.server.incarnation,
        reason=loss.reason,
        content=[run.job.content.account, *run.job.content.parts],
        events=run.events,
        last_id=run.position.last_id,
        since_event_s=round(now - run.last_event_at, 2) if run.events else None,
        copy=run.copy_holder and run.copy_holder.server.address,
        copy_holder=run.copy_holder and run.copy_holder.limit_key,
        at_copy_address=servers_at_copy,
        service=run.job.service,
        copy_usable=has_kv_copy,
        next=str(step),
        ended_by=ended_by,
        left_s=round(state.left_s, 2),
        budget_left=round(
            run.forwarder.budgets.for_service(run.job.service).left(now), 1
        ),
    )


def note_paced_answer(relay: "StreamRelay", now: float) -> None:
    """Let the pace of a server follow from the time of an attempt's first event."""
    predicted_s = relay.run.stream_timeouts.predicted_s(relay.tokens_to_read)
    in_time = is_in_time(now - relay.sent_at, predicted_s)
    relay.run.forwarder.fleet.paces.note_answered(relay.member, in_time, now)


def log_wait(relay: "StreamRelay", silence: str, waits_for: str) -> None:
    """Log that a stream waits for its silent engine, and for what reason."""
    run = relay.run
    log.info(
        "stream waits for its silent engine",
        request=relay.job.request.request_id,
        server=relay.member.server.incarnation,
        silence=silence,
        waits_for=waits_for,
        events=run.events,
        left_s=round(relay.job.left_s(run.now()), 2),
    )


def note_first_event(relay: "StreamRelay", now: float) -> None:
    """Record the time of an attempt's first event for placement and timeouts."""
    run, job = relay.run, relay.job
    if job.first_event_at is None:
        job.first_event_at = now
    if relay.record.first_event_at is None:
        relay.record.first_event_at = now
    if not relay.resumed:
        took_s = now - relay.sent_at
        run.stream_timeouts.note_first_event(relay.tokens_to_read, took_s)
        tokens = relay.tokens_to_read - relay.tokens_ahead
        tokens += unread_tokens(relay.tokens_ahead)
        relay.speeds.note_first_event(relay.member.limit_key, tokens, took_s)
    run.forwarder.fleet.note_alive(relay.member, now)
    run.forwarder.admission.wake(job.service)
