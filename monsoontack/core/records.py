"""Plain records shared by several packages.

They have no behaviour beyond simple derived values. Times are seconds of the event
loop's clock unless the name ends in `unix_s` or `unix_ms`.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Place:
    """Location of a process or VM: its failure domain and its region."""

    failure_domain: str
    region: str


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """Consecutive output tokens of one attempt of a generation.

    `tokens` and `texts` have the same length. `first_position` is the zero-based
    position of the first token in the whole answer. `finish` is empty until the last
    chunk, where it is `stop` or `length`.
    """

    generation: str
    attempt: int
    first_position: int
    tokens: tuple[int, ...]
    texts: tuple[str, ...]
    finish: str = ""

    @property
    def end_position(self) -> int:
        """Position after the last token of the chunk."""
        return self.first_position + len(self.tokens)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a backend server according to its last report.

    `running` and `queued` count requests. `slots` is the number of requests that run
    concurrently. `reported_at` is the time at which the report was valid.
    """

    running: int
    queued: int
    slots: int
    reported_at: float

    @property
    def utilisation(self) -> float:
        """Running and queued requests per slot; above 1, requests are waiting."""
        return (self.running + self.queued) / max(self.slots, 1)


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as known to an entry.

    `address` is the `ip:port` of the agent beside the server, or that of the server
    itself if entries connect to it directly. It may be given to another server later,
    so what is known of a server is kept under its `start_key`. `kind` is `engine` or
    `service`. `versions` are the versions that it can run now.

    `incarnation` is the name of a server without an agent, else empty.
    `started_unix_ms` distinguishes successive starts under the same name or address,
    of the agent if there is one; it is 0 if the server does not report it.
    `cold_left_s` is the remaining time for which the server is slow after its start.

    `start_key` names this start of the server. It begins with the address if there is
    no name. No other server has the same, and no later start if the time is reported.
    """

    address: str
    vm: str
    kind: str
    service: str
    versions: tuple[str, ...]
    place: Place
    slots: int = 1
    checks_fencing: bool = False
    incarnation: str = ""
    started_unix_ms: int = 0
    cold_left_s: float = 0.0
    start_key: str = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        """Set the key once, since each decision reads the keys of all servers."""
        key = f"{self.incarnation or self.address}@{self.started_unix_ms}"
        object.__setattr__(self, "start_key", key)


@dataclass(frozen=True, slots=True)
class VmRecord:
    """One record of the platform's VM list.

    `role` is `entry` or `agent`. `address` is the `ip:port` at which other processes
    reach the process. `http_address` is the `ip:port` of an entry's HTTP listener and
    empty for agents. `state` is `live` or `leaving`.
    """

    vm: str
    role: str
    address: str
    http_address: str
    place: Place
    state: str = "live"
    service: str = ""
    kind: str = ""
    versions: tuple[str, ...] = ()
    slots: int = 1


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Fields of a request that routing needs.

    `version` has already been selected. `prefix_blocks` are hashes of the leading
    blocks of the prompt, longest prefix last; they are empty for calls. `excluded`
    contains the addresses of backend servers that must not get this request again.
    `request_bytes` is the number of bytes that the request would send over the
    inter-region link, and `cause` the name under which they are counted (`request`,
    `resume` or `hedge`).
    """

    service: str
    version: str
    account: str
    priority: int = 0
    prefix_blocks: tuple[int, ...] = ()
    request_bytes: int = 0
    excluded: frozenset[str] = frozenset()
    cause: str = "request"


@dataclass(frozen=True, slots=True)
class ServerState:
    """A backend server with the state that this entry has observed.

    `sent_since_report` and `ended_since_report` count the requests that this entry has
    sent, and those that ended, since the time of the load report. `in_flight` counts
    this entry's requests that are still running, and may include a mean of those of
    other entries.
    """

    server: BackendServer
    load: LoadReport | None = None
    in_flight: float = 0
    sent_since_report: int = 0
    ended_since_report: int = 0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """Outcome of one request, as evidence about the version that served it.

    A latency is None if it was not measured. `route` names the kind of request, such as
    `chat` or `completions`.
    """

    service: str
    version: str
    route: str
    failed: bool
    first_token_s: float | None = None
    token_gap_s: float | None = None


@dataclass(frozen=True, slots=True)
class StopMark:
    """Stops all entries from sending new traffic to the version of a rollout."""

    rollout_uid: str
    service: str
    version: str
    reason: str
    entry: str
