"""State, events and actions of gossip (`monsoontack.config.gossip`)."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from monsoontack.config.revision import Chunk, Head, HeadDelta
from monsoontack.config.view import ConfigView
from monsoontack.core.records import StopMark, VmRecord

STORE = ""  # source of chunks and heads, in place of a peer's address


@dataclass(frozen=True, slots=True)
class ControllerRef:
    """The holder of the controller lease, as far as this process knows."""

    address: str = ""
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class PeerDigest:
    """What a process tells another one about itself.

    `delta` leads to the sender's head from `delta.base_revision`; it is absent
    if the receiver is known to be as new. `store_contact_age_s` is None if the
    sender knows of no contact with the store.
    """

    process: str
    address: str
    revision: int
    delta: HeadDelta | None = None
    stop_marks: tuple[StopMark, ...] = ()
    store_contact_age_s: float | None = None
    controller: ControllerRef = ControllerRef()


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The other live entries, from the VM list or the settings."""

    members: tuple[VmRecord, ...]


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; sent several times a second."""


@dataclass(frozen=True, slots=True)
class DigestReceived:
    """A digest arrived, as a request that needs a reply or as a reply."""

    digest: PeerDigest
    reply: bool


@dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """A push or pull to this address failed."""

    address: str


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The store answered; `head` is None if it is absent or did not change."""

    head: Head | None
    version: int


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """A read or watch of the head failed."""


@dataclass(frozen=True, slots=True)
class ChunksFetched:
    """Chunk values from a source; some of those asked for may be missing.

    `source` and `revision` are those of the `Fetch`; no values means that the
    source failed or has none of them.
    """

    source: str
    revision: int
    values: Mapping[str, bytes]


@dataclass(frozen=True, slots=True)
class HeadPublished:
    """This process has published a head itself."""

    head: Head
    chunks: Mapping[str, Chunk]


@dataclass(frozen=True, slots=True)
class StopMarkSet:
    """This process's guard stops a version."""

    mark: StopMark


@dataclass(frozen=True, slots=True)
class LeaseHeld:
    """This process holds the controller lease with `epoch`."""

    epoch: int


Event = (
    MembersChanged
    | Tick
    | DigestReceived
    | PeerUnreachable
    | HeadRead
    | StoreFailed
    | ChunksFetched
    | HeadPublished
    | StopMarkSet
    | LeaseHeld
)


@dataclass(frozen=True, slots=True)
class Push:
    """Send a digest; the receiver's digest comes back."""

    address: str
    digest: PeerDigest


@dataclass(frozen=True, slots=True)
class Pull:
    """Ask for the receiver's digest."""

    address: str
    digest: PeerDigest


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer the request that caused this step."""

    digest: PeerDigest


@dataclass(frozen=True, slots=True)
class Fetch:
    """Get chunks of the head of `revision` by digest from a peer or the store."""

    source: str
    revision: int
    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head once, or wait for a version above `after` if `wait_s` > 0."""

    after: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class Adopted:
    """The configuration that new work uses from now on."""

    view: ConfigView


Action = Push | Pull | Reply | Fetch | ReadHead | Adopted


@dataclass(frozen=True, slots=True)
class Target:
    """A newer head whose chunks are being fetched.

    `sources` have not failed yet; the first one is asked.
    """

    head: Head
    values: Mapping[str, Chunk]
    missing: frozenset[str]
    sources: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class GossipState:
    """What one process knows. Times are None before the first such event.

    `heard` maps peers to the revision they reported while this process starts;
    `history` holds the newest heads before the current one, newest last; `lost`
    maps peers that did not answer to when they may be neighbours again.
    """

    me: VmRecord
    process: str
    members: tuple[VmRecord, ...] = ()
    neighbours: tuple[str, ...] = ()
    head: Head = Head()
    chunks: Mapping[str, Chunk] = field(default_factory=dict)
    view: ConfigView = ConfigView()
    history: tuple[Head, ...] = ()
    target: Target | None = None
    stop_marks: Mapping[str, StopMark] = field(default_factory=dict)
    controller: ControllerRef = ControllerRef()
    started: bool = False
    start_revision: int | None = None
    store_failed: bool = False
    heard: Mapping[str, int] = field(default_factory=dict)
    lost: Mapping[str, float] = field(default_factory=dict)
    contact_at: float | None = None
    store_contact_at: float | None = None
    head_version: int = 0
    store_read_pending: bool = False
    store_retry_at: float = 0.0
    pull_at: float = 0.0
    rotate_at: float = 0.0
    asked_revision: int = 0
    asked_at: float = 0.0
