"""State, events and actions of the state machine `monsoontack.config.publisher`."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from monsoontack.config.operations import Operation
from monsoontack.config.proposal import Accepted, Refused
from monsoontack.config.revision import Chunk, Head
from monsoontack.config.sweep import SweepState
from monsoontack.store.api import StoredObject


class Phase(StrEnum):
    """The operation whose results the state machine waits for, or its idle state."""

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
    """This process now holds the lease; `chunks` are the chunks already in memory."""

    epoch: int
    chunks: Mapping[str, Chunk] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """This process no longer holds the lease."""


@dataclass(frozen=True, slots=True)
class OperationResults:
    """Results of the operations of an `Execute`, in the same order."""

    ticket: int
    results: tuple


@dataclass(frozen=True, slots=True)
class SleepEnded:
    """The delay of a `Sleep` has passed, or a proposal may be waiting."""

    ticket: int


Event = LeaseAcquired | LeaseLost | OperationResults | SleepEnded


@dataclass(frozen=True, slots=True)
class Execute:
    """Run the operations concurrently; `OperationResults` has the same ticket."""

    ticket: int
    operations: tuple[Operation, ...]


@dataclass(frozen=True, slots=True)
class Sleep:
    """Send `SleepEnded` after the delay, or earlier if a proposal may be waiting."""

    ticket: int
    delay_s: float


@dataclass(frozen=True, slots=True)
class Published:
    """The publisher has published `head`; `chunks` maps its digests to chunks."""

    head: Head
    chunks: Mapping[str, Chunk]


@dataclass(frozen=True, slots=True)
class StepDown:
    """The head carries a higher lease epoch, `epoch`: this lease has expired."""

    epoch: int


Action = Execute | Sleep | Published | StepDown


@dataclass(frozen=True, slots=True)
class DecidedProposal:
    """The proposal being processed, as listed, and the outcome decided for it."""

    stored: StoredObject
    outcome: Accepted | Refused


@dataclass(frozen=True, slots=True)
class PublisherState:
    """Immutable state of the publisher.

    Results with an old `ticket` belong to abandoned operations and are ignored.
    `completed_uid` is the uid of the head's proposal once its status is written.
    `finished_proposals` maps the keys of proposals with an outcome to their version
    and the time at which they were first listed with it.
    """

    phase: Phase = Phase.IDLE
    epoch: int = 0
    ticket: int = 0
    head: Head = Head()
    head_version: int = 0
    chunks: Mapping[str, Chunk] = field(default_factory=dict)
    decided: DecidedProposal | None = None
    completed_uid: str = ""
    finished_proposals: Mapping[str, tuple[int, float]] = field(default_factory=dict)
    sweep: SweepState = SweepState()
