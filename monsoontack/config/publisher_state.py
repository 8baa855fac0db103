"""State, events and actions of the publisher (`monsoontack.config.publisher`)."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from monsoontack.config.operations import Operation
from monsoontack.config.proposal import Accepted, Refused
from monsoontack.config.revision import Chunk, Head
from monsoontack.config.sweep import SweepState
from monsoontack.store.api import StoredObject


class Phase(StrEnum):
    """What the machine waits for."""

    IDLE = "idle"
    HEAD = "head"
    SEAL = "seal"
    CHUNKS = "chunks"
    FINISH = "finish"
    FINISH_WRITE = "finish_write"
    LIST = "list"
    VERIFY = "verify"
    STATUS = "status"
    PUT = "put"
    PUBLISH = "publish"
    REMOVE = "remove"
    SWEEP_LIST = "sweep_list"
    SWEEP_HEAD = "sweep_head"
    SWEEP_DELETE = "sweep_delete"
    SLEEP = "sleep"


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """The lease is held with `epoch`; `chunks` are those already in memory."""

    epoch: int
    chunks: Mapping[str, Chunk] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The lease is no longer held."""


@dataclass(frozen=True, slots=True)
class OperationResults:
    """Results of the operations of `Execute`, in their order."""

    ticket: int
    results: tuple


@dataclass(frozen=True, slots=True)
class SleepEnded:
    """The time of `Sleep` is over."""

    ticket: int


Event = LeaseAcquired | LeaseLost | OperationResults | SleepEnded


@dataclass(frozen=True, slots=True)
class Execute:
    """Run the operations side by side and answer with the same ticket."""

    ticket: int
    operations: tuple[Operation, ...]


@dataclass(frozen=True, slots=True)
class Sleep:
    """Answer `SleepEnded` after a time, or sooner if a proposal may be waiting."""

    ticket: int
    delay_s: float


@dataclass(frozen=True, slots=True)
class Published:
    """This head is now published; its chunks are in memory."""

    head: Head
    chunks: Mapping[str, Chunk]


@dataclass(frozen=True, slots=True)
class StepDown:
    """The head carries the higher epoch `epoch`: the lease has lapsed."""

    epoch: int


Action = Execute | Sleep | Published | StepDown


@dataclass(frozen=True, slots=True)
class Job:
    """The proposal in work, as it was listed, and the outcome decided for it."""

    stored: StoredObject
    outcome: Accepted | Refused


@dataclass(frozen=True, slots=True)
class PublisherState:
    """Immutable state; `ticket` makes answers of abandoned operations stale.

    `settled` is the uid of the head's proposal once its status is written;
    `finished` holds the version of proposals with an outcome, and since when.
    """

    phase: Phase = Phase.IDLE
    epoch: int = 0
    ticket: int = 0
    head: Head = Head()
    head_version: int = 0
    chunks: Mapping[str, Chunk] = field(default_factory=dict)
    job: Job | None = None
    settled: str = ""
    finished: Mapping[str, tuple[int, float]] = field(default_factory=dict)
    sweep: SweepState = SweepState()
