"""Stored state of a rollout, and the events and actions of the controller."""

import json
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field, replace
from enum import StrEnum

from returns.result import Failure, Result, Success

from monsoontack.core.errors import FieldError
from monsoontack.core.rawjson import load_document
from monsoontack.core.records import StopMark
from monsoontack.rollout.evidence import EvidenceReport
from monsoontack.rollout.plan import STEP_PERCENTAGES

STATE_PREFIX = "rollouts/state/"


class Phase(StrEnum):
    """Phase of a rollout; `complete` and `rolled_back` are final."""

    LOADING = "loading"
    STEPPING = "stepping"
    WATCHING = "watching"
    COMPLETE = "complete"
    ROLLED_BACK = "rolled_back"


FINAL_PHASES = frozenset({Phase.COMPLETE, Phase.ROLLED_BACK})


@dataclass(frozen=True, slots=True)
class RolloutState:
    """State of one rollout as the object API stores it.

    `step` is an index into `STEP_PERCENTAGES`, -1 before the first step. Times are
    Unix time, since another process may continue from this state. `evidence` is the
    record of the canary analysis, and `reason` explains the current phase.
    """

    uid: str
    service: str
    from_version: str
    to_version: str
    phase: Phase = Phase.LOADING
    step: int = -1
    step_started_unix_s: float = 0.0
    step_ends_unix_s: float = 0.0
    epoch: int = 0
    reason: str = ""
    evidence: Mapping[str, list] = field(default_factory=dict)

    @property
    def share(self) -> float:
        """Percentage of new requests that go to the new version."""
        if self.phase == Phase.ROLLED_BACK or self.step < 0:
            return 0.0
        return STEP_PERCENTAGES[self.step]

    @property
    def ended(self) -> bool:
        """Whether the rollout is complete or rolled back."""
        return self.phase in FINAL_PHASES

    def at_step(self, step: int, now: float, ends: float, reason: str):
        """Return the state at the start of a step."""
        phase = Phase.WATCHING if step == len(STEP_PERCENTAGES) - 1 else Phase.STEPPING
        return replace(
            self,
            phase=phase,
            step=step,
            step_started_unix_s=now,
            step_ends_unix_s=ends,
            reason=reason,
        )

    def to_json(self) -> bytes:
        """Return the stored form."""
        return json.dumps(asdict(self), separators=(",", ":")).encode()

    @classmethod
    def from_json(cls, value: bytes, source: str) -> "Result[RolloutState, FieldError]":
        """Read the stored form; `source` names the object in the error."""
        try:
            document = load_document(value)
            document["phase"] = Phase(document["phase"])
            return Success(cls(**document))
        except (ValueError, KeyError, TypeError, OverflowError) as error:
            return Failure(FieldError(source, "", f"not a rollout state: {error}"))


@dataclass(frozen=True, slots=True)
class LeaseGained:
    """This process acquired the lease; `stored` has each state and its version."""

    epoch: int
    stored: Mapping[str, tuple[RolloutState, int]] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This process no longer holds the lease."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event that lets the controller act on the current time."""


@dataclass(frozen=True, slots=True)
class FleetSnapshot:
    """Engines of each service, and the number of live entries.

    `engines` maps a service to its agent addresses, with the loaded versions of each.
    """

    engines: Mapping[str, Mapping[str, tuple[str, ...]]]
    entries: int


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """An entry reported evidence."""

    report: EvidenceReport


@dataclass(frozen=True, slots=True)
class StopMarksReceived:
    """Stop marks that reached this process."""

    marks: tuple[StopMark, ...]


@dataclass(frozen=True, slots=True)
class StateWritten:
    """A `WriteState` succeeded; `version` is the object's new version."""

    uid: str
    version: int


@dataclass(frozen=True, slots=True)
class StateNotWritten:
    """A `WriteState` certainly had no effect; it is retried."""

    uid: str


@dataclass(frozen=True, slots=True)
class StateConflict:
    """Another process wrote the state, so this process is no longer the controller."""

    uid: str


@dataclass(frozen=True, slots=True)
class SharesPublished:
    """The published revision has this share and phase of the rollout."""

    uid: str
    share: float
    phase: Phase


@dataclass(frozen=True, slots=True)
class LoadEnded:
    """An engine answered a load order; `code` is `ok`, `fenced` or `failed`."""

    address: str
    version: str
    code: str


Event = (
    LeaseGained
    | LeaseLost
    | Tick
    | FleetSnapshot
    | ReportReceived
    | StopMarksReceived
    | StateWritten
    | StateNotWritten
    | StateConflict
    | SharesPublished
    | LoadEnded
)


@dataclass(frozen=True, slots=True)
class WriteState:
    """Write the state if the object still has `version` (0: must not exist).

    After an ambiguous answer the executor reads the object: an equal state becomes
    `StateWritten`, the old version is retried, anything else is a conflict.
    """

    state: RolloutState
    version: int


@dataclass(frozen=True, slots=True)
class PublishShares:
    """Publish the shares of a service and the phase of a rollout.

    The write of the head must be conditional on the lease epoch.
    """

    uid: str
    service: str
    shares: tuple[tuple[str, float], ...]
    phase: Phase
    reason: str
    epoch: int


@dataclass(frozen=True, slots=True)
class LoadVersion:
    """Order an engine to load a version, with the lease epoch as fencing token."""

    address: str
    service: str
    version: str
    fence: int


@dataclass(frozen=True, slots=True)
class SpreadStopMark:
    """Pass a stop mark to the guard and the gossip of this process."""

    mark: StopMark


@dataclass(frozen=True, slots=True)
class StepDown:
    """Release the lease, because another controller is active."""

    reason: str


Action = WriteState | PublishShares | LoadVersion | SpreadStopMark | StepDown
