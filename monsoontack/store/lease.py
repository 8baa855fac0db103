"""Lease on one object, with a fencing epoch, as a state machine without I/O.

The holder measures the lease duration from a time taken before it sent the write that
acquired or renewed the lease. Other processes measure it from the time at which they
first saw the newest version of the record. A holder therefore steps down before another
process can take over. Every acquisition increments the epoch. Writes that need the
lease carry the epoch, because a paused holder may act on a lease that has expired in
the meantime. The record is never removed, so epochs only increase.

A store that is restored from a copy loses its latest records. Until one lease duration
after it saw the new era, or that the record is missing, a process takes the lease for
held by another one, unless the record was written in this era. A holder writes its
record again. Epochs begin with the era, so that those in lost records are not reused.

Only the processes with the lowest ranks, the candidates, read the record often. All
other processes are standbys and share a fixed rate of reads, so that one of them takes
the lease over if every candidate is disconnected from the store.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from returns.result import Result, Success

from monsoontack.core.rendezvous import ranked, stable_hash
from monsoontack.store.api import (
    Ambiguous,
    Conflict,
    NotFound,
    StoredObject,
    StoreError,
)
from monsoontack.store.eras import era_of
from monsoontack.store.leasestate import LEASE_DURATION_S, LeaseRecord, LeaseState

CONTROLLER_LEASE = "leases/controller"
RENEW_INTERVAL_S = 2.0
RETRY_INTERVAL_S = 0.5
CANDIDATE_COUNT = 3
CANDIDATE_READ_INTERVAL_S = 1.0
STANDBY_CHECKS_PER_S = 1.0


@dataclass(frozen=True, slots=True)
class Tick:
    """The time of `LeaseState.wake_at` has been reached."""


@dataclass(frozen=True, slots=True)
class ReadDone:
    """A read of the lease object has completed or failed."""

    result: Result[StoredObject, StoreError]


@dataclass(frozen=True, slots=True)
class WriteDone:
    """A write of the lease object has completed or failed."""

    result: Result[StoredObject, StoreError]


@dataclass(frozen=True, slots=True)
class RankChanged:
    """The set of live processes has changed."""

    rank: int
    fleet_size: int


@dataclass(frozen=True, slots=True)
class Release:
    """The process is shutting down and releases the lease."""


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease object and pass the result back as `ReadDone`."""


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Write the lease object and pass the result back as `WriteDone`.

    The object is created if `version` is 0 and updated otherwise.
    """

    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The process has acquired the lease with this epoch."""

    epoch: int


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The process no longer holds the lease with this epoch."""

    epoch: int


LeaseEvent = Tick | ReadDone | WriteDone | RankChanged | Release
LeaseAction = ReadLease | WriteLease | LeaseAcquired | LeaseLost
StepResult = tuple[LeaseState, list[LeaseAction]]


def candidate_rank(name: str, names: Iterable[str], key: str = CONTROLLER_LEASE) -> int:
    """Return the rank of `name` among the live processes by rendezvous hashing."""
    return ranked(stable_hash(key), set(names) | {name}).index(name)


def step(
    state: LeaseState, event: LeaseEvent, now: float, rng: random.Random
) -> StepResult:
    """Return the state after `event` and the actions to execute, in order."""
    actions: list[LeaseAction] = []
    if state.epoch and now >= state.held_until:
        state, actions = _step_down(state)
    if isinstance(event, RankChanged):
        state = _change_rank(state, event, now, rng)
    elif isinstance(event, Release):
        state, more_actions = _step_down(
            replace(state, is_releasing=True, next_request_at=now)
        )
        actions += more_actions
    elif isinstance(event, ReadDone):
        state, more_actions = _handle_read_result(
            replace(state, is_request_in_flight=False), event.result, now, rng
        )
        actions += more_actions
    elif isinstance(event, WriteDone):
        state, more_actions = _handle_write_result(
            replace(state, is_request_in_flight=False), event.result, now, rng
        )
        actions += more_actions
    record_was_read = isinstance(event, ReadDone | WriteDone)
    state, more_actions = _start_request(state, now, rng, record_was_read)
    return state, actions + more_actions


def _step_down(state: LeaseState) -> StepResult:
    if not state.epoch:
        return state, []
    return replace(state, epoch=0, lost_epoch=state.epoch), [LeaseLost(state.epoch)]


def _change_rank(
    state: LeaseState, event: RankChanged, now: float, rng: random.Random
) -> LeaseState:
    state = replace(state, rank=event.rank, fleet_size=event.fleet_size)
    if state.epoch or not state.is_version_known or state.rank >= CANDIDATE_COUNT:
        return state
    return replace(
        state,
        next_request_at=min(state.next_request_at, now + CANDIDATE_READ_INTERVAL_S),
    )


def _schedule_read(state: LeaseState, now: float, rng: random.Random) -> LeaseState:
    """Schedule the next read of a process that does not hold the lease.

    A standby checks the record with two reads, one lease duration apart. The wait
    between its checks is such that all standbys together start `STANDBY_CHECKS_PER_S`
    checks per second.
    """
    if state.rank < CANDIDATE_COUNT:
        return replace(state, next_request_at=now + CANDIDATE_READ_INTERVAL_S)
    if not state.second_read_due:
        return replace(
            state, second_read_due=True, next_request_at=now + LEASE_DURATION_S
        )
    wait_s = state.fleet_size / STANDBY_CHECKS_PER_S * rng.uniform(0.5, 1.5)
    wait_s = max(wait_s, CANDIDATE_READ_INTERVAL_S)
    return replace(state, second_read_due=False, next_request_at=now + wait_s)


def _handle_read_result(
    state: LeaseState, result: Result, now: float, rng: random.Random
) -> StepResult:
    if isinstance(result, Success):
        return _observe(state, result.unwrap(), now, rng)
    if isinstance(result.failure(), NotFound):
        return _handle_missing_record(state, result.failure(), now, rng)
    return replace(state, next_request_at=now + RETRY_INTERVAL_S), []


def _handle_missing_record(
    state: LeaseState, error: NotFound, now: float, rng: random.Random
) -> StepResult:
    state = state.with_era(error.era, now)
    if state.record is not None:
        state = state.with_lost_record(now)
    # The version is unknown after the store has refused it as not the present one. The
    # record was then removed by another writer.
    was_removed = not state.is_version_known
    # A delayed create by this process may still take effect. The next create then
    # conflicts with it, and the process recognises the record by its token.
    state = replace(
        state, is_version_known=True, version=0, record=None, pending_write=None
    )
    actions: list[LeaseAction] = []
    if was_removed:
        state, actions = _step_down(state)
    return _schedule_write_or_read(state, now, rng), actions


def _schedule_write_or_read(
    state: LeaseState, now: float, rng: random.Random
) -> LeaseState:
    if state.epoch or state.is_releasing or state.may_acquire(now):
        return replace(state, next_request_at=now)
    return _schedule_read(state, now, rng)


def _handle_write_result(
    state: LeaseState, result: Result, now: float, rng: random.Random
) -> StepResult:
    if isinstance(result, Success):
        return _observe(state, result.unwrap(), now, rng)
    error = result.failure()
    if isinstance(error, Conflict) and error.current is not None:
        return _observe(state, error.current, now, rng)
    if isinstance(error, NotFound):
        return _handle_missing_record(state, error, now, rng)
    if isinstance(error, Ambiguous):
        return replace(state, next_request_at=now), []
    if isinstance(error, Conflict):
        return replace(
            state, pending_write=None, is_version_known=False, next_request_at=now
        ), []
    return replace(
        state, pending_write=None, next_request_at=now + RETRY_INTERVAL_S
    ), []


def _observe(
    state: LeaseState, stored: StoredObject, now: float, rng: random.Random
) -> StepResult:
    """Update the state from a version of the object that the store returned."""
    state = state.with_era(era_of(stored.version), now)
    if stored.version < state.version:
        return replace(state, next_request_at=now + RETRY_INTERVAL_S), []
    try:
        record = LeaseRecord.decode(stored.value)
    except ValueError:
        # Without the record's epoch, a takeover could reuse an epoch.
        return _step_down(_schedule_read(state, now, rng))
    is_changed = stored.version != state.version
    was_known = state.is_version_known
    version_seen_at = now if is_changed else state.version_seen_at
    state = replace(
        state,
        is_version_known=True,
        version=stored.version,
        record=record,
        version_seen_at=version_seen_at,
        highest_epoch=max(state.highest_epoch, record.epoch),
    )
    if is_changed and was_known and not state.is_record_of_era:
        # A late write of a former era may have replaced the record of a holder.
        state = state.with_lost_record(now)
    if state.is_record_lost:
        return replace(state, pending_write=None, next_request_at=now), []
    if not state.is_own:
        state, actions = _step_down(replace(state, pending_write=None))
        return _schedule_write_or_read(state, now, rng), actions
    if state.pending_write is None or record.write_id != state.pending_write.write_id:
        # The record is from an earlier write of this process whose send time is no
        # longer known. It does not extend the lease; the process writes again.
        state = replace(state, pending_write=None)
        return _schedule_write_or_read(state, now, rng), []
    return _acquire_or_renew(state, record, now, rng)


def _acquire_or_renew(
    state: LeaseState, record: LeaseRecord, now: float, rng: random.Random
) -> StepResult:
    held_until = state.write_sent_at + LEASE_DURATION_S
    state = replace(
        state, pending_write=None, second_read_due=False, next_request_at=now
    )
    if not state.epoch and not state.may_acquire(now):
        # The store was restored after this process had decided to acquire the lease.
        return _schedule_read(state, now, rng), []
    is_lost_epoch = record.epoch <= state.lost_epoch
    if now >= held_until or state.is_releasing or is_lost_epoch:
        return _step_down(state)
    next_request_at = max(now, state.write_sent_at + RENEW_INTERVAL_S)
    is_new_epoch = record.epoch != state.epoch
    state = replace(
        state,
        epoch=record.epoch,
        held_until=held_until,
        write_sent_at=-math.inf,
        next_request_at=next_request_at,
    )
    return state, [LeaseAcquired(record.epoch)] if is_new_epoch else []


def _start_request(
    state: LeaseState, now: float, rng: random.Random, record_was_read: bool
) -> StepResult:
    """Start the next request if it is due and no other is in flight.

    `record_was_read` is true if the event is the result of a read or write. A process
    tries to acquire the lease only then, since an older view of the record would make
    the write conflict.
    """
    if state.is_request_in_flight:
        return state, []
    is_record_known = state.is_version_known and state.pending_write is None
    can_release = state.is_own and state.may_acquire(now)
    if state.is_releasing and is_record_known and not can_release:
        return replace(state, next_request_at=math.inf), []
    if now < state.next_request_at:
        return state, []
    should_write = (
        can_release
        if state.is_releasing
        else record_was_read and state.may_acquire(now)
    )
    if is_record_known and (state.epoch or should_write):
        retry_at = state.write_sent_at + RETRY_INTERVAL_S
        if now < retry_at:
            return replace(state, next_request_at=retry_at), []
        return _send_write(state, now, rng)
    return replace(state, is_request_in_flight=True), [ReadLease()]


def _send_write(state: LeaseState, now: float, rng: random.Random) -> StepResult:
    write_id = f"{rng.getrandbits(64):016x}"
    if state.is_releasing:
        record = LeaseRecord(state.highest_epoch, "", "", write_id, state.era)
    else:
        epoch = state.epoch or state.next_epoch
        record = LeaseRecord(epoch, state.name, state.token, write_id, state.era)
    state = replace(
        state, is_request_in_flight=True, pending_write=record, write_sent_at=now
    )
    return state, [WriteLease(record.encode(), state.version)]
