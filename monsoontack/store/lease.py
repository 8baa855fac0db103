"""Lease on one object, with a fencing epoch, as a state machine without I/O.

The holder counts its lease from before it sent the write that gained it;
others count from when they last saw the record change, so a holder has given
up before anyone takes over. Every acquisition raises the epoch. Writes that
need the lease carry the epoch, since a paused holder may act on a lease that
lapsed meanwhile. The record is never removed, which keeps epochs rising.

Only the processes with the lowest ranks read the record often. The rest share
a fixed rate of reads, so that the lease is still taken over when every
frequent reader is cut off from the store.
"""

import json
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

CONTROLLER_LEASE = "leases/controller"
LEASE_S = 6.0
RENEW_INTERVAL_S = 2.0
RETRY_INTERVAL_S = 0.5
CANDIDATE_COUNT = 3
CANDIDATE_READ_INTERVAL_S = 1.0
STANDBY_CHECKS_PER_S = 1.0


@dataclass(frozen=True, slots=True)
class LeaseRecord:
    """Content of the lease object.

    `holder` is empty after a release. `token` names one life of the holding
    process and `write_id` the write, so that a process recognises its own.
    """

    epoch: int
    holder: str
    token: str
    write_id: str

    def encode(self) -> bytes:
        """Return the record as JSON."""
        fields = (self.epoch, self.holder, self.token, self.write_id)
        names = ("epoch", "holder", "token", "write_id")
        return json.dumps(dict(zip(names, fields, strict=True))).encode()

    @classmethod
    def decode(cls, value: bytes) -> "LeaseRecord":
        """Read a record; raises ValueError if it is not one."""
        document = json.loads(value)
        try:
            return cls(
                int(document["epoch"]),
                str(document["holder"]),
                str(document["token"]),
                str(document["write_id"]),
            )
        except (KeyError, TypeError) as error:
            raise ValueError(f"malformed lease record: {error}") from error


@dataclass(frozen=True, slots=True)
class LeaseState:
    """What one process knows of the lease.

    `rank` and `fleet` give its place among the live processes. `version` and
    `record` are the newest seen (None if there is no such object); `seen_at` is
    when that version was first seen, `last_epoch` the highest epoch seen.
    `lost_epoch` is the last one that this process gave up; it is not held
    again, since writes under it may still be on their way. `epoch` is above
    zero while the process holds the lease, which ends at `held_until`.
    `write` and `write_sent_at` describe the last write whose effect is not
    known yet. `busy` is true while a request is out, `known` once the store has
    answered, `second_look` when the next read of a standby shows whether the
    record still changes.
    """

    name: str
    token: str
    rank: int = 0
    fleet: int = 1
    version: int = 0
    record: LeaseRecord | None = None
    seen_at: float = 0.0
    last_epoch: int = 0
    lost_epoch: int = 0
    epoch: int = 0
    held_until: float = 0.0
    write: LeaseRecord | None = None
    write_sent_at: float = 0.0
    busy: bool = False
    known: bool = False
    second_look: bool = False
    releasing: bool = False
    next_at: float = 0.0

    @property
    def is_own(self) -> bool:
        """Whether the newest record names this process as the holder."""
        return self.record is not None and self.record.token == self.token

    def held_epoch(self, now: float) -> int | None:
        """Return the epoch if the lease is held at `now`, else None."""
        return self.epoch if self.epoch and now < self.held_until else None

    def wake_at(self) -> float:
        """Return when the next `Tick` is due."""
        request_at = math.inf if self.busy else self.next_at
        return min(request_at, self.held_until) if self.epoch else request_at


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class ReadDone:
    """A read of the lease object has ended."""

    result: Result[StoredObject, StoreError]


@dataclass(frozen=True, slots=True)
class WriteDone:
    """A write of the lease object has ended."""

    result: Result[StoredObject, StoreError]


@dataclass(frozen=True, slots=True)
class RankChanged:
    """The set of live processes has changed."""

    rank: int
    fleet: int


@dataclass(frozen=True, slots=True)
class Release:
    """The process is about to stop and gives the lease up."""


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Read the lease object and report `ReadDone`."""


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Create the object (`version` 0) or update it; report `WriteDone`."""

    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class Acquired:
    """The process holds the lease with this epoch from now on."""

    epoch: int


@dataclass(frozen=True, slots=True)
class Lost:
    """The process no longer holds the lease of this epoch."""

    epoch: int


LeaseEvent = Tick | ReadDone | WriteDone | RankChanged | Release
LeaseAction = ReadLease | WriteLease | Acquired | Lost
Step = tuple[LeaseState, list[LeaseAction]]


def candidate_rank(name: str, names: Iterable[str], key: str = CONTROLLER_LEASE) -> int:
    """Return the place of `name` among live processes by rendezvous hash."""
    return ranked(stable_hash(key), set(names) | {name}).index(name)


def step(state: LeaseState, event: LeaseEvent, now: float, rng: random.Random) -> Step:
    """Return the state after `event` and the actions to carry out in order."""
    actions: list[LeaseAction] = []
    if state.epoch and now >= state.held_until:
        state, actions = _step_down(state)
    if isinstance(event, RankChanged):
        state = _change_rank(state, event, now, rng)
    elif isinstance(event, Release):
        state, more = _step_down(replace(state, releasing=True, next_at=now))
        actions += more
    elif isinstance(event, ReadDone):
        state, more = _read_done(replace(state, busy=False), event.result, now, rng)
        actions += more
    elif isinstance(event, WriteDone):
        state, more = _write_done(replace(state, busy=False), event.result, now, rng)
        actions += more
    fresh = isinstance(event, ReadDone | WriteDone)
    state, more = _proceed(state, now, rng, fresh)
    return state, actions + more


def _step_down(state: LeaseState) -> Step:
    if not state.epoch:
        return state, []
    return replace(state, epoch=0, lost_epoch=state.epoch), [Lost(state.epoch)]


def _change_rank(
    state: LeaseState, event: RankChanged, now: float, rng: random.Random
) -> LeaseState:
    state = replace(state, rank=event.rank, fleet=event.fleet)
    if state.epoch or not state.known or state.rank >= CANDIDATE_COUNT:
        return state
    return replace(state, next_at=min(state.next_at, now + CANDIDATE_READ_INTERVAL_S))


def _schedule_read(state: LeaseState, now: float, rng: random.Random) -> LeaseState:
    """Set the time of the next read of a process without the lease.

    A standby looks twice, one lease length apart, and then waits so long that
    all standbys together start `STANDBY_CHECKS_PER_S` looks a second.
    """
    if state.rank < CANDIDATE_COUNT:
        return replace(state, next_at=now + CANDIDATE_READ_INTERVAL_S)
    if not state.second_look:
        return replace(state, second_look=True, next_at=now + LEASE_S)
    wait_s = state.fleet / STANDBY_CHECKS_PER_S * rng.uniform(0.5, 1.5)
    wait_s = max(wait_s, CANDIDATE_READ_INTERVAL_S)
    return replace(state, second_look=False, next_at=now + wait_s)


def _read_done(
    state: LeaseState, result: Result, now: float, rng: random.Random
) -> Step:
    if isinstance(result, Success):
        return _observe(state, result.unwrap(), now, rng)
    if not isinstance(result.failure(), NotFound):
        return replace(state, next_at=now + RETRY_INTERVAL_S), []
    # A delayed create of this process may still take effect. It is recognised
    # by its token when the next create conflicts with it.
    state = replace(state, known=True, version=0, record=None, write=None)
    return _step_down(replace(state, next_at=now))


def _write_done(
    state: LeaseState, result: Result, now: float, rng: random.Random
) -> Step:
    if isinstance(result, Success):
        return _observe(state, result.unwrap(), now, rng)
    error = result.failure()
    if isinstance(error, Conflict) and error.current is not None:
        return _observe(state, error.current, now, rng)
    if isinstance(error, Ambiguous):
        return replace(state, next_at=now), []
    if isinstance(error, Conflict):
        return replace(state, write=None, known=False, next_at=now), []
    return replace(state, write=None, next_at=now + RETRY_INTERVAL_S), []


def _observe(
    state: LeaseState, stored: StoredObject, now: float, rng: random.Random
) -> Step:
    """Take in the newest content of the object, from a read or a write."""
    if stored.version < state.version:
        return replace(state, next_at=now + RETRY_INTERVAL_S), []
    try:
        record = LeaseRecord.decode(stored.value)
    except ValueError:
        # Without the epoch in the record, a takeover could repeat an epoch.
        return _step_down(_schedule_read(state, now, rng))
    seen_at = now if stored.version != state.version else state.seen_at
    state = replace(
        state,
        known=True,
        version=stored.version,
        record=record,
        seen_at=seen_at,
        last_epoch=max(state.last_epoch, record.epoch),
    )
    if not state.is_own:
        state = _schedule_read(replace(state, write=None), now, rng)
        if _may_take(state, now):
            state = replace(state, next_at=now)
        return _step_down(state)
    if state.write is None or record.write_id != state.write.write_id:
        # An earlier write of this process, whose send time is not known any
        # more: it extends nothing, and the lease is written anew.
        return replace(state, write=None, next_at=now), []
    return _gain(state, record, now)


def _gain(state: LeaseState, record: LeaseRecord, now: float) -> Step:
    held_until = state.write_sent_at + LEASE_S
    state = replace(state, write=None, second_look=False, next_at=now)
    given_up = record.epoch <= state.lost_epoch
    if now >= held_until or state.releasing or given_up:
        return _step_down(state)
    next_at = max(now, state.write_sent_at + RENEW_INTERVAL_S)
    gained = record.epoch != state.epoch
    state = replace(state, epoch=record.epoch, held_until=held_until, next_at=next_at)
    return state, [Acquired(record.epoch)] if gained else []


def _proceed(state: LeaseState, now: float, rng: random.Random, fresh: bool) -> Step:
    """Start the next request if none is out and one is due.

    `fresh` says that the newest record was just read: the lease is taken only
    then, which spares writes that would conflict.
    """
    if state.busy:
        return state, []
    settled = state.known and state.write is None
    if state.releasing and settled and not state.is_own:
        return replace(state, next_at=math.inf), []
    if now < state.next_at:
        return state, []
    wanted = state.is_own if state.releasing else fresh and _may_take(state, now)
    if settled and (state.epoch or wanted):
        return _send_write(state, now, rng)
    return replace(state, busy=True), [ReadLease()]


def _may_take(state: LeaseState, now: float) -> bool:
    """Return whether the newest record is free, this process's own or lapsed."""
    record = state.record
    if record is None or not record.holder or state.is_own:
        return True
    return now >= state.seen_at + LEASE_S


def _send_write(state: LeaseState, now: float, rng: random.Random) -> Step:
    write_id = f"{rng.getrandbits(64):016x}"
    if state.releasing:
        record = LeaseRecord(state.last_epoch, "", "", write_id)
    else:
        epoch = state.epoch or state.last_epoch + 1
        record = LeaseRecord(epoch, state.name, state.token, write_id)
    state = replace(state, busy=True, write=record, write_sent_at=now)
    return state, [WriteLease(record.encode(), state.version)]
