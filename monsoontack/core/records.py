"""Plain records that several packages share.

They carry no behaviour beyond simple derived values. Times are seconds of
the event loop's clock unless a name ends in `unix_s`.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Place:
    """Where a process or VM stands: its failure domain and its region."""

    failure_domain: str
    region: str


@dataclass(frozen=True, slots=True)
class TokenChunk:
    """Consecutive output tokens of one attempt of a generation.

    `tokens` and `texts` have the same length; the first token stands at
    `first_position` of the whole answer, counted from zero. `finish` is empty
    while the answer goes on, else `stop` or `length`.
    """

    generation: str
    attempt: int
    first_position: int
    tokens: tuple[int, ...]
    texts: tuple[str, ...]
    finish: str = ""

    @property
    def end_position(self) -> int:
        """Position after the last token."""
        return self.first_position + len(self.tokens)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of a backend server as it last reported it.

    `running` and `queued` count requests, `slots` is how many run at once,
    `reported_at` is when the report was true.
    """

    running: int
    queued: int
    slots: int
    reported_at: float

    @property
    def utilisation(self) -> float:
        """Requests held per slot; above 1 requests wait."""
        return (self.running + self.queued) / max(self.slots, 1)


@dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as an entry knows it.

    `address` is the `ip:port` of the agent beside it and identifies it;
    `kind` is `engine` or `service`; `versions` are those it can run now. For a
    server that entries speak to directly, `address` is its own, and
    `incarnation` names it (empty behind an agent) and `started_unix_ms` tells one
    start under that name from the next, 0 if the server does not say. `cold_left_s`
    is how much longer it is slow after its start.
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


@dataclass(frozen=True, slots=True)
class VmRecord:
    """One line of the platform's VM list.

    `role` is `entry` or `agent`, `address` the `ip:port` of the process for
    other processes, `http_address` that of an entry's HTTP port (else empty),
    `state` is `live` or `leaving`.
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
    """What routing needs to know of a request.

    `version` is already chosen. `prefix_blocks` are hashes of the leading
    blocks of the prompt, longest prefix last; empty for calls. `excluded` holds
    addresses of backend servers that this request must not use again.
    `request_bytes` is what the request would move over the link between the
    regions, `cause` under which name that is counted (`request`, `resume`,
    `hedge`).
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
    """A backend server with what this entry has seen of it.

    `sent_since_report` and `ended_since_report` count this entry's own requests
    sent and ended after the load report was true; `in_flight` those of this
    entry that still run.
    """

    server: BackendServer
    load: LoadReport | None = None
    in_flight: int = 0
    sent_since_report: int = 0
    ended_since_report: int = 0
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class RequestOutcome:
    """How one request ended, as evidence about its version.

    Latencies are in seconds; None where nothing was measured. `route` names
    the kind of request, such as `chat` or `completions`.
    """

    service: str
    version: str
    route: str
    failed: bool
    first_token_s: float | None = None
    token_gap_s: float | None = None


@dataclass(frozen=True, slots=True)
class StopMark:
    """Ends new traffic to the version of one rollout at every entry."""

    rollout_uid: str
    service: str
    version: str
    reason: str
    entry: str
