"""States, events and actions of the at-most-once protocol of one call."""

from dataclasses import dataclass
from enum import StrEnum

from returns.result import Result

from monsoontack.core.errors import RequestError
from monsoontack.ledger.records import (
    CallRecord,
    DispatchResult,
    RecordState,
    ServiceAnswer,
    ServiceCall,
    record_key,
    request_digest,
)
from monsoontack.store.api import StoredObject, StoreError

DISPATCH_WINDOW_S = 5.0


class Phase(StrEnum):
    """What the machine waits for."""

    NEW = "new"
    CLAIMING = "claiming"
    READING_CLAIM = "reading_claim"
    DISPATCHING = "dispatching"
    MARKING_OVERDUE = "marking_overdue"
    SETTLING = "settling"
    READING_SETTLED = "reading_settled"
    WAITING = "waiting"
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class CallState:
    """One request and what its process knows of the record.

    `version` is that of the newest record seen (0 if there is none).
    `claimed_at` is the loop's time before the first claim was sent;
    `unix_offset_s` turns the loop's time into Unix time. `effect_possible` is
    true once a claim was sent that may take effect. `target` is the record
    that settling must write. `base` is the `not_run` record that a claim
    replaces.
    """

    key: str
    token: str
    digest: str
    service: str
    timeout_s: float
    dispatch_window_s: float
    phase: Phase = Phase.NEW
    version: int = 0
    base: CallRecord | None = None
    claimed_at: float = 0.0
    unix_offset_s: float = 0.0
    claim_writes: int = 0
    effect_possible: bool = False
    target: CallRecord | None = None
    settle_since: float = 0.0
    settle_tries: int = 0
    retry_at: float = 0.0

    @classmethod
    def from_call(
        cls, call: ServiceCall, token: str, dispatch_window_s: float = DISPATCH_WINDOW_S
    ) -> "CallState":
        """Return the first state; `token` must be unique among all requests."""
        return cls(
            key=record_key(call.account, call.key),
            token=token,
            digest=request_digest(call),
            service=call.service,
            timeout_s=call.timeout_s,
            dispatch_window_s=dispatch_window_s,
        )

    @property
    def latest_start_unix_s(self) -> float:
        """Unix time after which an agent must refuse the dispatch."""
        return self.claimed_at + self.unix_offset_s + self.dispatch_window_s

    def record(
        self, state: RecordState, answer: ServiceAnswer | None = None
    ) -> CallRecord:
        """Return this request's record in the given state."""
        claimed_unix_s = self.claimed_at + self.unix_offset_s
        return CallRecord(
            state,
            self.token,
            self.digest,
            self.service,
            claimed_unix_s,
            self.timeout_s,
            answer,
        )


@dataclass(frozen=True, slots=True)
class Begin:
    """The request has come; `unix_s` is the wall clock's time."""

    unix_s: float


@dataclass(frozen=True, slots=True)
class WriteDone:
    """A create or an update has ended."""

    result: Result[StoredObject, StoreError]


@dataclass(frozen=True, slots=True)
class ReadDone:
    """A read has ended."""

    result: Result[StoredObject, StoreError]


@dataclass(frozen=True, slots=True)
class DispatchDone:
    """The dispatch has ended."""

    result: DispatchResult


@dataclass(frozen=True, slots=True)
class Tick:
    """The time `retry_at` has come."""


@dataclass(frozen=True, slots=True)
class CreateRecord:
    """Create the record; report `WriteDone`."""

    value: bytes


@dataclass(frozen=True, slots=True)
class UpdateRecord:
    """Update the record at `version`; report `WriteDone`."""

    value: bytes
    version: int


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the record; report `ReadDone`."""


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the call to a backend server, once; report `DispatchDone`."""

    fence: int
    latest_start_unix_s: float


@dataclass(frozen=True, slots=True)
class Respond:
    """Answer the caller; `replayed` marks the recorded answer of a former call."""

    answer: ServiceAnswer | RequestError
    replayed: bool = False


CallEvent = Begin | WriteDone | ReadDone | DispatchDone | Tick
CallAction = CreateRecord | UpdateRecord | ReadRecord | Dispatch | Respond
Step = tuple[CallState, list[CallAction]]
