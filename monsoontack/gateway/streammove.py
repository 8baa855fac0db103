"""Decides whether a stream leaves a silent engine, which may still go on.

To leave an engine resets the connection and ends the engine's work, so a stream stays
until its deadline unless another attempt is allowed and the engine that it would get
has a free slot and has not itself been found silent. A stream that has left a silent
engine and is refused by the others goes on trying until its deadline.
"""

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from monsoontack.gateway.fleet import MAX_AVOID_S, Member
from monsoontack.gateway.streamerrors import FULL_RETRY_AFTER_S
from monsoontack.gateway.streamplace import choose
from monsoontack.generation.failover import EndCause, NextStep
from monsoontack.generation.firstevent import begins_sooner, tokens_ahead_of_late
from monsoontack.generation.silence import (
    MAY_GO_ON,
    NO_BETTER_ENGINE,
    ONLY_END_IS_MISSING,
    is_left_too_soon,
    why_no_attempt,
)
from monsoontack.inbound.responder import CallerDisconnectedError
from monsoontack.routing.placement import expected_first_event_s

if TYPE_CHECKING:
    from monsoontack.gateway.streamrelay import StreamRelay
    from monsoontack.gateway.streamrun import StreamRun

# Interval at which a stream at a silent engine looks for a better one. The search costs
# about as much as a placement.
MOVE_CHECK_INTERVAL_S = 0.5
# Twice the pause of a second or so after which sound engines go on. Together with the
# detection of a silence it stays below `MAX_AVOID_S`.
DOUBT_S = 2.0


def is_doubtful(member: Member, now: float) -> bool:
    """Whether this entry lately failed to hear from a server.

    That holds as long as a stream waits for it. A server that is only suspected, for
    its failure domain or by a peer, is not doubtful.
    """
    unheard_at = member.silent_at
    if member.consecutive_failures > 0:
        unheard_at = max(unheard_at, member.failed_at)
    is_unheard = member.last_byte_at < unheard_at and now < unheard_at + DOUBT_S
    return is_unheard or now < member.avoid_until


def why_stay(
    run: "StreamRun",
    member: Member,
    backup: Member | None,
    events: int,
    silent_since: float,
    is_pause: bool = False,
) -> str | None:
    """Return what keeps a stream at its silent engine, None if it may leave.

    `backup` is the engine that gets the copy of this attempt, `events` the number of
    events that the attempt has brought. `silent_since` is the event loop's time in
    seconds at which the silence was noticed. Another engine's queue is better only than
    a silence that has lasted longer than a pause. If it may be a pause (`is_pause`), an
    engine that reads the prompt for some time is no better.
    """
    forwarder, job, now = run.forwarder, run.job, run.now()
    if run.has_all_stated():
        return ONLY_END_IS_MISSING
    copy_member = run.usable_copy(backup, events)
    cause = _find_end_cause(run, copy_member is not None)
    if cause is not None:
        return str(cause)
    # The placement below costs milliseconds with hundreds of engines, so it is made
    # only if it may find a better one.
    sound = {
        other.server.incarnation
        for other in forwarder.fleet.of_service(job.service)
        if other.server.incarnation != member.server.incarnation
        and not is_doubtful(other, now)
    }
    if not sound:
        return NO_BETTER_ENGINE
    loads = forwarder.engine_loads(job, {member.server.incarnation})
    may_queue = now >= silent_since + MAX_AVOID_S
    full = {k for k, e in loads.items() if e.doubtful or not e.has_free_slot}
    better = sound if may_queue else sound - full
    if copy_member is not None and copy_member.server.incarnation in better:
        return None
    cause = _find_end_cause(run, has_kv_copy=False)
    if cause is not None:
        return str(cause)
    chosen = choose(run, loads) if better else None
    if chosen is None or chosen.traffic_share <= 0 or chosen.key not in better:
        return NO_BETTER_ENGINE
    first_event_s = expected_first_event_s(chosen, job.request.prompt_tokens)
    return MAY_GO_ON if is_left_too_soon(is_pause, first_event_s) else None


def is_overdue(relay: "StreamRelay", now: float) -> bool:
    """Whether an engine counts as silent before an attempt's first event.

    An engine that has sent bytes here or a first event to a peer goes on working.
    """
    exchange, member = relay.run.forwarder.load_exchange, relay.member
    read_at = {} if exchange is None else exchange.peer_loads.read_at
    progressed_at = max(member.last_byte_at, read_at.get(member.limit_key, 0.0))
    return relay.first_event_wait.is_overdue(progressed_at, now)


def leaves_queue(relay: "StreamRelay", now: float) -> bool:
    """Whether a stream leaves a live engine's queue, since it begins sooner elsewhere.

    That is checked at intervals once the first event is late.
    """
    if relay.answer.count or relay.resumed or not relay.job.route.is_repeatable:
        return False
    if relay.silent_since is not None or now < relay.next_queue_check_at:
        return False
    if not relay.first_event_wait.is_late(now) or is_overdue(relay, now):
        return False
    relay.next_queue_check_at = now + MOVE_CHECK_INTERVAL_S
    return _begins_sooner_elsewhere(relay.run, relay.member)


def _begins_sooner_elsewhere(run: "StreamRun", member: Member) -> bool:
    """Whether a stream begins sooner elsewhere, although its prompt is read anew."""
    if _find_end_cause(run, has_kv_copy=False) is not None:
        return False
    loads, now = run.forwarder.engine_loads(run.job, set()), run.now()
    here = loads.pop(member.server.incarnation, None)
    members = run.forwarder.fleet.members
    sound = {
        key: engine
        for key, engine in loads.items()
        if engine.has_free_slot
        and engine.traffic_share > 0
        and not engine.suspect
        and not is_doubtful(members[key], now)
    }
    chosen = choose(run, sound) if here is not None else None
    if chosen is None:
        return False
    own_tokens = run.job.request.prompt_tokens
    here = replace(
        here,
        waiting_tokens=tokens_ahead_of_late(here.waiting_tokens - own_tokens),
        in_flight=here.in_flight - 1,
    )
    reading_s = own_tokens * chosen.prefill_s_per_token
    here_s = expected_first_event_s(here, own_tokens)
    return begins_sooner(here_s, expected_first_event_s(chosen, own_tokens), reading_s)


def _find_end_cause(run: "StreamRun", has_kv_copy: bool) -> EndCause | None:
    """Return why the stream could not go on at another engine, None if it could."""
    budget = run.forwarder.budgets.for_service(run.job.service)
    has_budget = budget.left(run.now()) >= 1
    return why_no_attempt(run.failover_input(has_kv_copy), has_budget)


def has_next_engine(run: "StreamRun", step: NextStep) -> bool:
    """Whether the stream may go on at an engine that it has not just left."""
    if step is NextStep.RESTART:
        return bool(run.forwarder.engine_loads(run.job, run.asked.excluded))
    return step is NextStep.RESUME_COPY


async def wait_after_refusal(run: "StreamRun", step: NextStep) -> NextStep:
    """Return the step after a refusal that followed a silent engine, with a pause.

    There is no pause while an engine is left that has not refused the stream, up to the
    limit on attempts in sequence. The result is `END` at the deadline or if the caller
    gets an engine's error.
    """
    if has_next_engine(run, step):
        return step
    loads, job = run.forwarder.engine_loads, run.job
    is_granted = step is not NextStep.END
    if run.engine_error is not None and not job.responder.head_sent:
        return NextStep.END
    while job.left_s(run.now()) > 0:
        await pause(run)
        if job.left_s(run.now()) <= 0:
            break
        run.note_pause()
        if is_granted or run.is_blocked():
            return NextStep.RESTART
        has_attempt = run.failover_input(has_kv_copy=False).attempts_left > 0
        if not has_attempt or not loads(job, set()):
            continue
        if run.forwarder.budgets.take(job.service, run.now()):
            return NextStep.RESTART
    return NextStep.END


async def wait_after_wrong_answers(run: "StreamRun", step: NextStep) -> NextStep:
    """Return the step after several wrong answers, with a pause if it goes on.

    The result is `END` at the deadline.
    """
    if step is not NextStep.END:
        await pause(run)
    return step if run.job.left_s(run.now()) > 0 else NextStep.END


async def pause(run: "StreamRun") -> None:
    """Wait for `FULL_RETRY_AFTER_S`, or until the deadline if that is sooner."""
    job = run.job
    timeout_s = max(min(FULL_RETRY_AFTER_S, job.left_s(run.now())), 0)
    ends = [job.responder.disconnected, job.ending]
    await asyncio.wait(ends, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
    if job.responder.is_disconnected:
        raise CallerDisconnectedError
