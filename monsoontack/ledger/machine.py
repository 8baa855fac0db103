"""At-most-once protocol of one call, as a state machine without I/O.

Each `CallState` belongs to one caller request and one writer token. A call is
dispatched only by the process whose token is in the record, at most once, after
its own claim has taken effect and within the dispatch window. A process that
has abandoned a claim never dispatches it, and only that process may set the
record to `not_run`. Any process may set an overdue `claimed` record to
`unknown`.

Every action except `Respond` is a request that completes with one event.
Without such an action the state machine waits for `Tick` at `retry_at`.
Example::

    state = CallState.from_call(call, token, dispatch_window_s=5.0)
    state, actions = step(state, Begin(time.time()), now, rng)
"""

import random
from dataclasses import replace

from returns.result import Result, Success

from monsoontack.core.errors import RunState
from monsoontack.ledger.answers import (
    ABANDONED_RETRY_AFTER_S,
    refuse_found,
    refuse_not_run,
    refuse_unknown,
)
from monsoontack.ledger.protocol import (
    Begin,
    CallAction,
    CallEvent,
    CallState,
    CreateRecord,
    Dispatch,
    DispatchDone,
    Phase,
    ReadDone,
    ReadRecord,
    Respond,
    Step,
    Tick,
    UpdateRecord,
    WriteDone,
)
from monsoontack.ledger.records import (
    CallRecord,
    DispatchResult,
    RecordState,
    ServiceAnswer,
)
from monsoontack.store.api import (
    MAX_VALUE_BYTES,
    Ambiguous,
    Conflict,
    NotFound,
    StoredObject,
    Unavailable,
)

# Time after which a claim counts as overdue, beyond its own limit: VM clocks differ by
# up to 1 s, and the rest covers the write of the outcome.
OVERDUE_MARGIN_S = 3.0
MAX_CLAIM_WRITES = 4
SETTLE_RETRY_INITIAL_S = 0.5
SETTLE_RETRY_MAX_S = 20.0
SETTLE_TIMEOUT_S = 3600.0


def step(state: CallState, event: CallEvent, now: float, rng: random.Random) -> Step:
    """Return the state after `event` and the actions to execute, in order."""
    match state.phase, event:
        case Phase.NEW, Begin(unix_s):
            state = replace(state, unix_offset_s=unix_s - now, claimed_at=now)
            return _claim(state, now)
        case Phase.CLAIMING, WriteDone(result):
            return _on_claim_write(state, result, now, rng)
        case Phase.READING_CLAIM, ReadDone(result):
            return _on_claim_read(state, result, now, rng)
        case Phase.DISPATCHING, DispatchDone(result):
            return _dispatched(state, result, now)
        case Phase.MARKING_OVERDUE, WriteDone(result):
            return _on_overdue_write(state, result)
        case Phase.SETTLING, WriteDone(result):
            return _on_settle_write(state, result, now, rng)
        case Phase.READING_SETTLED, ReadDone(result):
            return _on_settle_read(state, result, now, rng)
        case Phase.WAITING, Tick():
            return replace(state, phase=Phase.READING_SETTLED), [ReadRecord()]
    raise ValueError(f"unexpected event {type(event).__name__} in phase {state.phase}")


def _end(state: CallState, *actions: CallAction) -> Step:
    return replace(state, phase=Phase.ENDED), list(actions)


# Claim.


def _claim(state: CallState, now: float) -> Step:
    """Write the claim, replacing a `not_run` record if one was found."""
    if state.claim_writes >= MAX_CLAIM_WRITES or _dispatch_window_passed(state, now):
        return _abandon(state, "claim_not_confirmed", now)
    value = state.make_record(RecordState.CLAIMED).encode()
    state = replace(state, phase=Phase.CLAIMING, claim_writes=state.claim_writes + 1)
    if state.replaced_record is None:
        return state, [CreateRecord(value)]
    return state, [UpdateRecord(value, state.version)]


def _dispatch_window_passed(state: CallState, now: float) -> bool:
    return now - state.claimed_at > state.dispatch_window_s


def _on_claim_write(
    state: CallState, result: Result, now: float, rng: random.Random
) -> Step:
    if isinstance(result, Success):
        return _on_claim_confirmed(state, result.unwrap(), now)
    error = result.failure()
    if isinstance(error, Unavailable):
        return _abandon(state, "store_unavailable", now, error.retry_after_s)
    if isinstance(error, Conflict) and error.current is not None:
        return _on_record_found(state, error.current, now)
    may_take_effect = state.claim_may_take_effect or isinstance(error, Ambiguous)
    state = replace(
        state, phase=Phase.READING_CLAIM, claim_may_take_effect=may_take_effect
    )
    return state, [ReadRecord()]


def _on_claim_read(
    state: CallState, result: Result, now: float, rng: random.Random
) -> Step:
    if isinstance(result, Success):
        return _on_record_found(state, result.unwrap(), now)
    error = result.failure()
    if isinstance(error, NotFound):
        return _claim(replace(state, replaced_record=None, version=0), now)
    return _abandon(state, "store_unavailable", now)


def _on_record_found(state: CallState, stored: StoredObject, now: float) -> Step:
    """Handle the stored record, which conflicts with the claim or is the claim."""
    try:
        record = CallRecord.decode(stored.value)
    except ValueError:
        return _end(state, Respond(refuse_unknown("malformed_record")))
    if record.writer == state.token:
        return _on_claim_confirmed(state, stored, now)
    if record.digest != state.digest:
        return _end(state, Respond(refuse_found("key_reused")))
    if record.state is RecordState.NOT_RUN:
        return _claim(
            replace(state, replaced_record=record, version=stored.version), now
        )
    if record.state is RecordState.DONE:
        return _end(state, _replay(record))
    if record.state is RecordState.UNKNOWN:
        return _end(state, Respond(refuse_found("outcome_unknown")))
    unix_s = now + state.unix_offset_s
    due_unix_s = record.claimed_unix_s + state.dispatch_window_s + record.timeout_s
    if unix_s <= due_unix_s + OVERDUE_MARGIN_S:
        wait_s = max(due_unix_s - unix_s, 1.0)
        return _end(state, Respond(refuse_found("call_in_progress", wait_s)))
    value = replace(record, state=RecordState.UNKNOWN).encode()
    state = replace(state, phase=Phase.MARKING_OVERDUE)
    return state, [UpdateRecord(value, stored.version)]


def _replay(record: CallRecord) -> Respond:
    if record.body_omitted or record.answer is None:
        return Respond(refuse_found("answer_not_recorded"))
    return Respond(record.answer, replayed=True)


def _on_overdue_write(state: CallState, result: Result) -> Step:
    """Respond after the write that set another writer's overdue claim to unknown.

    The response is the same whether or not the write succeeded, since the next
    process that reads the claimed record repeats the write. The exception is a record
    that its writer has settled in the meantime.
    """
    error = None if isinstance(result, Success) else result.failure()
    if isinstance(error, Conflict) and error.current is not None:
        return _on_overdue_record_changed(state, error.current)
    return _end(state, Respond(refuse_found("outcome_unknown")))


def _on_overdue_record_changed(state: CallState, stored: StoredObject) -> Step:
    record = CallRecord.decode(stored.value)
    if record.state is RecordState.DONE and record.digest == state.digest:
        return _end(state, _replay(record))
    if record.state in (RecordState.NOT_RUN, RecordState.CLAIMED):
        return _end(state, Respond(refuse_found("call_in_progress", 1.0)))
    return _end(state, Respond(refuse_found("outcome_unknown")))


def _on_claim_confirmed(state: CallState, stored: StoredObject, now: float) -> Step:
    """Dispatch the call after its claim took effect, unless the window has passed."""
    record = CallRecord.decode(stored.value)
    state = replace(state, version=stored.version, claim_may_take_effect=True)
    if record.state is not RecordState.CLAIMED or _dispatch_window_passed(state, now):
        return _abandon(state, "dispatch_window_passed", now)
    state = replace(state, phase=Phase.DISPATCHING)
    return state, [Dispatch(stored.version, state.latest_start_unix_s)]


def _abandon(
    state: CallState, code: str, now: float, retry_after_s: float | None = None
) -> Step:
    """Refuse the call, which is never dispatched afterwards.

    A claim that may take effect is replaced by a `not_run` record.
    """
    wait_s = ABANDONED_RETRY_AFTER_S if retry_after_s is None else retry_after_s
    refusal = Respond(refuse_not_run(code, wait_s))
    if not state.claim_may_take_effect:
        return _end(state, refusal)
    state, actions = _settle(state, state.make_record(RecordState.NOT_RUN), now)
    return state, [refusal, *actions]


# Dispatch and outcome.


def _dispatched(state: CallState, result: DispatchResult, now: float) -> Step:
    if result.run_state is RunState.RUN and result.answer is not None:
        respond = Respond(result.answer)
        target = _limit_record_size(state.make_record(RecordState.DONE, result.answer))
    elif result.run_state is RunState.RUN:
        respond = Respond(refuse_found("answer_not_recorded"))
        target = state.make_record(RecordState.DONE, ServiceAnswer(502, (), b""))
        target = replace(target, body_omitted=True)
    elif result.run_state is RunState.NOT_RUN:
        respond = Respond(refuse_not_run(result.code or "not_dispatched", 0.0))
        target = state.make_record(RecordState.NOT_RUN)
    else:
        respond = Respond(refuse_unknown(result.code or "answer_lost"))
        target = state.make_record(RecordState.UNKNOWN)
    state, actions = _settle(state, target, now)
    return state, [respond, *actions]


def _limit_record_size(record: CallRecord) -> CallRecord:
    """Return the record, without headers and body if it exceeds the store's limit."""
    if len(record.encode()) <= MAX_VALUE_BYTES:
        return record
    answer = replace(record.answer, body=b"", headers=())
    return replace(record, answer=answer, body_omitted=True)


# Settling: the caller has its answer; `target_record` must still be stored.


def _settle(state: CallState, target: CallRecord, now: float) -> Step:
    state = replace(state, target_record=target, settling_since=now)
    if target.state is RecordState.NOT_RUN and state.phase is not Phase.DISPATCHING:
        # It may be unknown whether the claim is stored: a delayed claim may still
        # take effect.
        return replace(state, phase=Phase.READING_SETTLED), [ReadRecord()]
    state = replace(state, phase=Phase.SETTLING)
    return state, [UpdateRecord(target.encode(), state.version)]


def _on_settle_write(
    state: CallState, result: Result, now: float, rng: random.Random
) -> Step:
    if isinstance(result, Success):
        return _end(state)
    error = result.failure()
    if isinstance(error, Conflict) and error.current is not None:
        return _on_settle_record_found(state, error.current, now, rng)
    if isinstance(error, Unavailable):
        return _wait_before_retry(state, now, rng)
    return replace(state, phase=Phase.READING_SETTLED), [ReadRecord()]


def _on_settle_read(
    state: CallState, result: Result, now: float, rng: random.Random
) -> Step:
    if isinstance(result, Success):
        return _on_settle_record_found(state, result.unwrap(), now, rng)
    if not isinstance(result.failure(), NotFound):
        return _wait_before_retry(state, now, rng)
    if state.target_record.state is not RecordState.NOT_RUN:
        return _end(state)  # The record has expired and was removed.
    if not _may_still_settle(state, now):
        return _end(state)
    # Storing a record makes a delayed create of the claim fail.
    state = _begin_settle_attempt(state, Phase.SETTLING)
    return state, [CreateRecord(state.target_record.encode())]


def _on_settle_record_found(
    state: CallState, stored: StoredObject, now: float, rng: random.Random
) -> Step:
    try:
        record = CallRecord.decode(stored.value)
    except ValueError:
        return _end(state)
    # While the stored version is still the one that the claim replaces, a delayed claim
    # may take effect.
    claim_may_follow = (
        state.replaced_record is not None and stored.version == state.version
    )
    if record.writer != state.token and not (
        claim_may_follow and record.state is RecordState.NOT_RUN
    ):
        return _end(state)
    if record.state is state.target_record.state and record.writer == state.token:
        return _end(state)
    if not _may_still_settle(state, now):
        return _end(state)
    state = _begin_settle_attempt(state, Phase.SETTLING)
    return state, [UpdateRecord(state.target_record.encode(), stored.version)]


def _begin_settle_attempt(state: CallState, phase: Phase) -> CallState:
    return replace(state, phase=phase, settle_attempts=state.settle_attempts + 1)


def _may_still_settle(state: CallState, now: float) -> bool:
    return now - state.settling_since <= SETTLE_TIMEOUT_S


def _wait_before_retry(state: CallState, now: float, rng: random.Random) -> Step:
    if not _may_still_settle(state, now):
        return _end(state)
    delay_s = SETTLE_RETRY_INITIAL_S * 2 ** min(state.settle_attempts, 10)
    delay_s = min(delay_s, SETTLE_RETRY_MAX_S) * rng.uniform(0.5, 1.0)
    state = _begin_settle_attempt(state, Phase.WAITING)
    return replace(state, retry_at=now + delay_s), []
