"""State, events and actions of the state machine `monsoontack.config.gossip`."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from monsoontack.config.revision import Chunk, Head, HeadDelta
from monsoontack.config.view import ConfigView
from monsoontack.core.records import StopMark, VmRecord

STORE = ""  # the store as a source of chunks; other sources are addresses of peers


@dataclass(frozen=True, slots=True)
class ControllerRef:
    """The latest holder of the controller lease that this process knows."""

    address: str = ""
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class PeerDigest:
    """Summary of a process's state that it sends to a peer.

    `delta` is the difference from the head of `delta.base_revision` to the sender's
    head; it is None if the receiver is known to be up to date.
    `store_contact_age_s` is the time since the last read of the store, by any process,
    that the sender knows of; it is None if the sender knows of none.
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
    """The set of other live entries, from the VM list or the settings, has changed."""

    members: tuple[VmRecord, ...]


@dataclass(frozen=True, slots=True)
class Tick:
    """Periodic event, several times a second."""


@dataclass(frozen=True, slots=True)
class DigestReceived:
    """A digest arrived; `reply` is true if it is a request that needs a `Reply`."""

    digest: PeerDigest
    reply: bool


@dataclass(frozen=True, slots=True)
class PeerUnreachable:
    """A push or pull to this address failed."""

    address: str


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The store responded; `head` is None if the head is absent or unchanged.

    `version` is the store's version of the head object, not a revision.
    """

    head: Head | None
    version: int


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """A read or watch of the head failed."""


@dataclass(frozen=True, slots=True)
class ChunksFetched:
    """A source responded to a `Fetch`, or failed.

    `source` and `revision` are those of the `Fetch`. `values` maps digests to chunk
    values. Requested chunks may be missing from it, and it is empty if the source
    failed or has none of them.
    """

    source: str
    revision: int
    values: Mapping[str, bytes]


@dataclass(frozen=True, slots=True)
class HeadPublished:
    """This process, as the lease holder, has published a head."""

    head: Head
    chunks: Mapping[str, Chunk]


@dataclass(frozen=True, slots=True)
class StopMarkSet:
    """The rollout guard of this process has set a stop mark for a rollout."""

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
    """Send a digest to a peer, which replies with its own."""

    address: str
    digest: PeerDigest


@dataclass(frozen=True, slots=True)
class Pull:
    """Request the digest of a peer; `digest` is that of this process."""

    address: str
    digest: PeerDigest


@dataclass(frozen=True, slots=True)
class Reply:
    """Respond to the digest that was received in this step."""

    digest: PeerDigest


@dataclass(frozen=True, slots=True)
class Fetch:
    """Fetch chunks of the head of `revision` by digest from a peer or the store."""

    source: str
    revision: int
    digests: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReadHead:
    """Read the head from the store.

    If `wait_s` > 0, wait up to that time for a version of the object above `after`.
    """

    after: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class Adopted:
    """This process has adopted `view`, which new work uses from now on."""

    view: ConfigView


Action = Push | Pull | Reply | Fetch | ReadHead | Adopted


@dataclass(frozen=True, slots=True)
class FetchTarget:
    """A newer head whose chunks are being fetched.

    `sources` lists the sources that have not failed; the first one is in use.
    """

    head: Head
    values: Mapping[str, Chunk]
    missing: frozenset[str]
    sources: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class GossipState:
    """Gossip state of one process.

    `history` holds the heads before the current one, newest last. `start_revision` is
    the revision that the first read of the store found, 0 without a head.
    `reported_revisions` maps peers to the revisions that they reported before this
    process had started. `retry_peers_at` maps unreachable peers to the time after
    which they may be neighbours again.

    `contact_at` is the time of this process's last contact with a peer or the store,
    `store_contact_at` that of the last known read of the store by any process; both
    are None before the first. `head_version` is the store's version of the head
    object. `pulled_revision` and `pulled_at` describe the last pull that was sent
    because a received delta could not be applied.
    """

    me: VmRecord
    process: str
    members: tuple[VmRecord, ...] = ()
    neighbours: tuple[str, ...] = ()
    head: Head = Head()
    chunks: Mapping[str, Chunk] = field(default_factory=dict)
    view: ConfigView = ConfigView()
    history: tuple[Head, ...] = ()
    target: FetchTarget | None = None
    stop_marks: Mapping[str, StopMark] = field(default_factory=dict)
    controller: ControllerRef = ControllerRef()
    started: bool = False
    start_revision: int | None = None
    store_failed: bool = False
    reported_revisions: Mapping[str, int] = field(default_factory=dict)
    retry_peers_at: Mapping[str, float] = field(default_factory=dict)
    contact_at: float | None = None
    store_contact_at: float | None = None
    head_version: int = 0
    store_read_pending: bool = False
    store_retry_at: float = 0.0
    next_pull_at: float = 0.0
    next_rotation_at: float = 0.0
    pulled_revision: int = 0
    pulled_at: float = 0.0
