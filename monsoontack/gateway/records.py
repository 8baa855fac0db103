"""Plain records of the gateway.

Times are seconds of the event loop's clock unless a name says otherwise;
durations end in `_s`. HTTP header names are lower-case bytes.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from monsoontack.core.records import BackendServer

Headers = tuple[tuple[bytes, bytes], ...]


class RequestKind(StrEnum):
    """What may be repeated: calls that are idempotent, others, and streams."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Target:
    """A service that a route sends to, with its share of the route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go, and how they may be served.

    `attempts` bounds the backend servers that one request is sent to, `timeout_s`
    the time until its answer, `objective_s` the time within which an answer is
    good. `max_gap_s` bounds the pause between events of a good stream;
    `resumable` streams may go on at another engine. `priority` 0 is the highest.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    attempts: int = 1
    priority: int = 5
    anonymous: bool = False
    resumable: bool = False
    max_gap_s: float = 1.0

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineTraits:
    """What the model engines of a service have in common.

    `memory_tokens` is the KV memory of an engine; `supports_kv_backup` tells whether
    a run's memory can be copied to another engine while it grows; a copy is kept
    `copy_ttl_s` after its last part.
    """

    slots: int
    memory_tokens: int
    supports_kv_backup: bool = False
    copy_ttl_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceTraits:
    """Connections that a backend server accepts from all entries together.

    `engine` is None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send, and on how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class GatewayAccount:
    """A client account as the gateway needs it; `priority` None: the route's."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """One whole configuration. `accounts` maps keys; None: no keys are needed."""

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceTraits] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    accounts: Mapping[str, GatewayAccount] | None = None


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A whole HTTP request of a caller, parsed but not interpreted."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    received_at: float


@dataclass(frozen=True, slots=True)
class PromptPrefix:
    """A leading part of a prompt that other requests may share."""

    prefix_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as the gateway's decisions see it.

    `forwarded` are the headers that go on to the backend server. `deadline_s` is
    how long the caller waits from `raw.received_at`. Token figures are zero for
    plain calls. `last_event_id` is set when a caller continues a stream.
    """

    raw: RawRequest
    request_id: str
    host: str
    path: str
    forwarded: Headers
    deadline_s: float | None = None
    key: str | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    expected_output_tokens: int = 0
    prefixes: tuple[PromptPrefix, ...] = ()
    last_event_id: str | None = None


@dataclass(frozen=True, slots=True)
class KvCacheCopy:
    """A run's memory at the engine `address`, to go on from; `handle` names it."""

    address: str
    handle: str


@dataclass(frozen=True, slots=True)
class Attempt:
    """One send of a request to a backend server.

    `left_s` is the time the server may use. `backup` is the address of an engine
    that gets a copy of the run's memory, `copy` one to go on from.
    """

    server: BackendServer
    left_s: float
    account: str | None = None
    priority: int | None = None
    backup: str | None = None
    copy: KvCacheCopy | None = None
    last_event_id: str | None = None


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Head of a backend server's answer.

    `not_run` says that the server did not and will not run the request. `signed`
    tells whether the answer carries the server's mark of origin; `encoded`
    whether its body is in a content encoding nobody asked for. `forwarded` are
    the headers that go on to the caller, `keep_alive_s` is how long the server
    keeps the connection idle.
    """

    status: int
    request_id: str | None
    not_run: bool
    signed: bool
    encoded: bool
    forwarded: Headers
    keep_alive_s: float | None = None
