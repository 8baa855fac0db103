"""At-most-once protocol of one call, as a state machine without I/O.

Each state belongs to one request of a caller and one writer token. Only the
process whose token stands in a record dispatches it, and at most once: after
its own claim took effect, and within the dispatch window. A process that gave
a claim up never dispatches it; it alone may set the record to `not_run`. Any
process may move an overdue `claimed` record to `unknown`.

Every action but `Respond` is a request that ends with one event. Without such
an action the machine waits for `Tick` at `retry_at`. Example::

    state = CallState.from_call(call, token, window_s=5.0)
    state, actions = step(state, Begin(time.time()), now, rng)
"""

import random
from dataclasses import replace

from returns.result import Result, Success

from monsoontack.core.errors import RunState
from monsoontack.ledger.answers import (
    ABANDONED_RETRY_S,
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

# VM clocks differ by up to 1 s; the rest covers the outcome's write.
OVERDUE_MARGIN_S = 3.0
MAX_CLAIM_WRITES = 4
SETTLE_RETRY_FIRST_S = 0.5
SETTLE_RETRY_LAST_S = 20.0
SETTLE_LIMIT_S = 3600.0


def step(state: CallState, event: CallEvent, now: float, rng: random.Random) -> Step:
    """Return the state after `event` and the actions to carry out in order."""
    match state.phase, event:
        case Phase.NEW, Begin(unix_s):
            state = replace(state, unix_offset_s=unix_s - now, claimed_at=now)
            return _claim(state, now)
        case Phase.CLAIMING, WriteDone(result):
            return _claim_written(state, result, now, rng)
        case Phase.READING_CLAIM, ReadDone(result):
            return _claim_read(state, result, now, rng)
        case Phase.DISPATCHING, DispatchDone(result):
            return _dispatched(state, result, now)
        case Phase.MARKING_OVERDUE, WriteDone(result):
            return _overdue_marked(state, result)
        case Phase.SETTLING, WriteDone(result):
            return _settle_written(state, result, now, rng)
        case Phase.READING_SETTLED, ReadDone(result):
            return _settle_read(state, result, now, rng)
        case Phase.WAITING, Tick():
            return replace(state, phase=Phase.READING_SETTLED), [ReadRecord()]
    raise ValueError(f"event {type(event).__name__} in phase {state.phase}")


def _end(state: CallState, *actions: CallAction) -> Step:
    return replace(state, phase=Phase.ENDED), list(actions)


# Claim.


def _claim(state: CallState, now: float) -> Step:
    """Send the claim, over a `not_run` record if one was found."""
    if state.claim_writes >= MAX_CLAIM_WRITES or _window_passed(state, now):
        return _abandon(state, "claim_not_confirmed", now)
    value = state.record(RecordState.CLAIMED).encode()
    state = replace(state, phase=Phase.CLAIMING, claim_writes=state.claim_writes + 1)
    if state.base is None:
        return state, [CreateRecord(value)]
    return state, [UpdateRecord(value, state.version)]


def _window_passed(state: CallState, now: float) -> bool:
    return now - state.claimed_at > state.dispatch_window_s


def _claim_written(
    state: CallState, result: Result, now: float, rng: random.Random
) -> Step:
    if isinstance(result, Success):
        return _own_record(state, result.unwrap(), now)
    error = result.failure()
    if isinstance(error, Unavailable):
        return _abandon(state, "store_unavailable", now, error.retry_after_s)
    if isinstance(error, Conflict) and error.current is not None:
        return _found(state, error.current, now)
    possible = state.effect_possible or isinstance(error, Ambiguous)
    state = replace(state, phase=Phase.READING_CLAIM, effect_possible=possible)
    return state, [ReadRecord()]


def _claim_read(
    state: CallState, result: Result, now: float, rng: random.Random
) -> Step:
    if isinstance(result, Success):
        return _found(state, result.unwrap(), now)
    error = result.failure()
    if isinstance(error, NotFound):
        return _claim(replace(state, base=None, version=0), now)
    return _abandon(state, "store_unavailable", now)


def _found(state: CallState, stored: StoredObject, now: float) -> Step:
    """Act on the record that stands in the way of the claim, or is the claim."""
    try:
        record = CallRecord.decode(stored.value)
    except ValueError:
        return _end(state, Respond(refuse_unknown("malformed_record")))
    if record.writer == state.token:
        return _own_record(state, stored, now)
    if record.digest != state.digest:
        return _end(state, Respond(refuse_found("key_reused")))
    if record.state is RecordState.NOT_RUN:
        return _claim(replace(state, base=record, version=stored.version), now)
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


def _overdue_marked(state: CallState, result: Result) -> Step:
    """Answer for an overdue claim of another writer.

    The answer is the same whether or not the mark was written, since the next
    process that finds the record repeats it. A writer that settled in between
    is the exception.
    """
    error = None if isinstance(result, Success) else result.failure()
    if isinstance(error, Conflict) and error.current is not None:
        return _found_settled(state, error.current)
    return _end(state, Respond(refuse_found("outcome_unknown")))


def _found_settled(state: CallState, stored: StoredObject) -> Step:
    record = CallRecord.decode(stored.value)
    if record.state is RecordState.DONE and record.digest == state.digest:
        return _end(state, _replay(record))
    if record.state in (RecordState.NOT_RUN, RecordState.CLAIMED):
        return _end(state, Respond(refuse_found("call_in_progress", 1.0)))
    return _end(state, Respond(refuse_found("outcome_unknown")))


def _own_record(state: CallState, stored: StoredObject, now: float) -> Step:
    """The claim took effect: dispatch it, unless it is too late for that."""
    record = CallRecord.decode(stored.value)
    state = replace(state, version=stored.version, effect_possible=True)
    if record.state is not RecordState.CLAIMED or _window_passed(state, now):
        return _abandon(state, "dispatch_window_passed", now)
    state = replace(state, phase=Phase.DISPATCHING)
    return state, [Dispatch(stored.version, state.latest_start_unix_s)]


def _abandon(
    state: CallState, code: str, now: float, retry_after_s: float | None = None
) -> Step:
    """Refuse the call, which is never dispatched from here on.

    A claim that may have taken effect is replaced by `not_run`.
    """
    wait_s = ABANDONED_RETRY_S if retry_after_s is None else retry_after_s
    refusal = Respond(refuse_not_run(code, wait_s))
    if not state.effect_possible:
        return _end(state, refusal)
    state, actions = _settle(state, state.record(RecordState.NOT_RUN), now)
    return state, [refusal, *actions]


# Dispatch and outcome.


def _dispatched(state: CallState, result: DispatchResult, now: float) -> Step:
    if result.run_state is RunState.RUN and result.answer is not None:
        respond = Respond(result.answer)
        target = _fitting(state.record(RecordState.DONE, result.answer))
    elif result.run_state is RunState.RUN:
        respond = Respond(refuse_found("answer_not_recorded"))
        target = state.record(RecordState.DONE, ServiceAnswer(502, (), b""))
        target = replace(target, body_omitted=True)
    elif result.run_state is RunState.NOT_RUN:
        respond = Respond(refuse_not_run(result.code or "not_dispatched", 0.0))
        target = state.record(RecordState.NOT_RUN)
    else:
        respond = Respond(refuse_unknown(result.code or "answer_lost"))
        target = state.record(RecordState.UNKNOWN)
    state, actions = _settle(state, target, now)
    return state, [respond, *actions]


def _fitting(record: CallRecord) -> CallRecord:
    """Return the record, without the answer's body if the store would refuse it."""
    if len(record.encode()) <= MAX_VALUE_BYTES:
        return record
    answer = replace(record.answer, body=b"", headers=())
    return replace(record, answer=answer, body_omitted=True)


# Settling: the caller has its answer, and the record must come to `target`.


def _settle(state: CallState, target: CallRecord, now: float) -> Step:
    state = replace(state, target=target, settle_since=now)
    if target.state is RecordState.NOT_RUN and state.phase is not Phase.DISPATCHING:
        # The newest record is not known: a claim may still be on its way.
        return replace(state, phase=Phase.READING_SETTLED), [ReadRecord()]
    state = replace(state, phase=Phase.SETTLING)
    return state, [UpdateRecord(target.encode(), state.version)]


def _settle_written(
    state: CallState, result: Result, now: float, rng: random.Random
) -> Step:
    if isinstance(result, Success):
        return _end(state)
    error = result.failure()
    if isinstance(error, Conflict) and error.current is not None:
        return _settle_found(state, error.current, now, rng)
    if isinstance(error, Unavailable):
        return _wait(state, now, rng)
    return replace(state, phase=Phase.READING_SETTLED), [ReadRecord()]


def _settle_read(
    state: CallState, result: Result, now: float, rng: random.Random
) -> Step:
    if isinstance(result, Success):
        return _settle_found(state, result.unwrap(), now, rng)
    if not isinstance(result.failure(), NotFound):
        return _wait(state, now, rng)
    if state.target.state is not RecordState.NOT_RUN:
        return _end(state)  # expired and removed
    if not _may_write(state, now):
        return _end(state)
    # A record in the key's place keeps a delayed create from taking effect.
    state = _next_try(state, Phase.SETTLING)
    return state, [CreateRecord(state.target.encode())]


def _settle_found(
    state: CallState, stored: StoredObject, now: float, rng: random.Random
) -> Step:
    try:
        record = CallRecord.decode(stored.value)
    except ValueError:
        return _end(state)
    delayed_claim = state.base is not None and stored.version == state.version
    if record.writer != state.token and not (
        delayed_claim and record.state is RecordState.NOT_RUN
    ):
        return _end(state)
    if record.state is state.target.state and record.writer == state.token:
        return _end(state)
    if not _may_write(state, now):
        return _end(state)
    state = _next_try(state, Phase.SETTLING)
    return state, [UpdateRecord(state.target.encode(), stored.version)]


def _next_try(state: CallState, phase: Phase) -> CallState:
    return replace(state, phase=phase, settle_tries=state.settle_tries + 1)


def _may_write(state: CallState, now: float) -> bool:
    return now - state.settle_since <= SETTLE_LIMIT_S


def _wait(state: CallState, now: float, rng: random.Random) -> Step:
    if not _may_write(state, now):
        return _end(state)
    delay_s = SETTLE_RETRY_FIRST_S * 2 ** min(state.settle_tries, 10)
    delay_s = min(delay_s, SETTLE_RETRY_LAST_S) * rng.uniform(0.5, 1.0)
    state = _next_try(state, Phase.WAITING)
    return replace(state, retry_at=now + delay_s), []
