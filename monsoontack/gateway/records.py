"""Data records of the gateway.

Times are seconds of the event loop's clock unless a name says otherwise;
durations end in `_s`. HTTP header names are lower-case bytes.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from monsoontack.core.records import BackendServer
from monsoontack.generation.continuation import media_type

Headers = tuple[tuple[bytes, bytes], ...]


class RequestKind(StrEnum):
    """Idempotent calls, calls that must run at most once, and streams."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Target:
    """A service that a route forwards to, with its share of the route's traffic."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Targets and rules for the requests of one host and path prefix.

    `attempts` limits the backend servers that one request is sent to, `timeout_s` the
    time until its response is complete. `objective_s` is the latency objective of a
    response, `max_gap_s` the longest acceptable pause between events of a stream.
    `resumable` streams may continue at another engine. `anonymous` routes need no key.
    `priority` 0 is the highest.
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
    """Properties shared by the model engines of a service.

    `memory_tokens` is the KV cache capacity of an engine. With `supports_kv_backup`,
    the KV cache of a run can be copied to another engine while it grows; the copy is
    kept for `copy_ttl_s` after its last update.
    """

    slots: int
    memory_tokens: int
    supports_kv_backup: bool = False
    copy_ttl_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ServiceTraits:
    """Properties of a service.

    `max_connections` is what one backend server accepts from all entries together.
    `engine` is None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of callers' requests, the time to send them, and idle time."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class GatewayAccount:
    """A client account; without a `priority`, that of the route applies."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """One complete configuration.

    `accounts` maps keys to client accounts; None means that no keys are needed.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceTraits] = field(default_factory=dict)
    limits: CallerLimits = field(default_factory=CallerLimits)
    accounts: Mapping[str, GatewayAccount] | None = None


@dataclass(frozen=True, slots=True)
class RawRequest:
    """A complete HTTP request of a caller, split into its parts but not interpreted."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool
    received_at: float


@dataclass(frozen=True, slots=True)
class PromptSegment:
    """A segment of a prompt; other requests may share all but the last one.

    `segment_id` is the id of the segment, or what stands for a long one.
    """

    segment_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A decoded request of a caller.

    `forwarded` are the headers that are forwarded to the backend server. `deadline_s`
    is how long the caller waits, counted from `raw.received_at`. `max_output_tokens` is
    the limit on generated tokens, `expected_output_tokens` the number that is expected.
    `prompt_segments` are the consecutive segments of the prompt. Token numbers are
    zero for plain calls. `last_event_id` is set if a caller resumes a stream.
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
    prompt_segments: tuple[PromptSegment, ...] = ()
    last_event_id: str | None = None


@dataclass(frozen=True, slots=True)
class KvCacheCopy:
    """A copy of a run's KV cache at the engine `address`, identified by `handle`."""

    address: str
    handle: str


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a request at a backend server.

    `left_s` is the time that the server may use. `backup` is the address of an engine
    that gets a copy of the run's KV cache; with `copy`, the run resumes from that copy.
    `connect_s` bounds the time for a new connection.
    """

    server: BackendServer
    left_s: float
    account: str | None = None
    priority: int | None = None
    backup: str | None = None
    copy: KvCacheCopy | None = None
    last_event_id: str | None = None
    connect_s: float = math.inf


# A caller takes each of these as a promise that its request has not run and never will.
REFUSAL_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Head of a backend server's response.

    `not_run` means that the server did not and will not run the request. `signed`
    is true if the response has the server's signature, `encoded` if its body has a
    content encoding, which the gateway never requests. `forwarded` are the headers
    that are forwarded to the caller, `keep_alive_s` is how long the server keeps
    an idle connection open.
    """

    status: int
    request_id: str | None
    not_run: bool
    signed: bool
    encoded: bool
    forwarded: Headers
    keep_alive_s: float | None = None

    @property
    def is_own(self) -> bool:
        """Whether it may come from the server; a success needs the server's mark."""
        is_success = 200 <= self.status < 300
        return not is_success or (self.signed and not self.encoded)

    @property
    def is_unstated_refusal(self) -> bool:
        """Whether the status is that of a refusal, but the request may have run."""
        return self.status in REFUSAL_STATUSES and not self.not_run

    @property
    def media_type(self) -> str:
        """Media type of the body, an empty string if the server gave none."""
        values = (v for name, v in self.forwarded if name == b"content-type")
        return media_type(next(values, b"").decode("latin-1"))
