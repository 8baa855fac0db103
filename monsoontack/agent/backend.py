"""Interfaces to the backend server that an agent serves.

`monsoontack.agent.enginehttp` and `servicehttp` implement them for the HTTP formats
of docs/platform.md. Failures are returned as values: no method raises because the
backend server is down, slow or sends malformed data.
"""

from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from monsoontack.agent.load import CacheEvent
from monsoontack.agent.records import StartRequest


@dataclass(frozen=True, slots=True)
class EngineTokens:
    """Consecutive output tokens of a request.

    `finish` is `stop` or `length` with the last tokens, otherwise empty.
    """

    first_position: int
    tokens: tuple[int, ...]
    texts: tuple[str, ...]
    finish: str


@dataclass(frozen=True, slots=True)
class BackendFailure:
    """Why a backend server returned no answer or an incomplete one.

    `code` is `refused`, `invalid` or `backend_failed`. `started` is false only if
    the backend server is known not to have begun the request.
    """

    code: str
    message: str
    started: bool


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load reported by the engine; `age_s` is the age of the report."""

    running: int
    queued: int
    slots: int
    age_s: float


@dataclass(frozen=True, slots=True)
class OrderRequest:
    """Order to change the versions that an engine serves.

    The fields are those of `Order` in link.proto.
    """

    order_id: str
    kind: str
    version: str
    adapter: str
    role: str
    fence: int


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """Result of an order; `code` is `ok`, `fenced` or `failed`."""

    order_id: str
    code: str
    message: str = ""


@dataclass(frozen=True, slots=True)
class CallRequest:
    """Call to a plain service; the fields are those of `Call` in link.proto."""

    call_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool
    account: str
    key: str
    fence: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """Result of a call.

    `code` is empty if the service returned a response that can be passed on.
    """

    call_id: str
    run_state: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    code: str = ""


class ResponseObserver(Protocol):
    """Hears of the responses of a backend server."""

    def note_response(self, status: int, headers: Mapping[str, str]) -> None:
        """Record the head of a response."""
        ...

    def note_refused_connection(self) -> None:
        """Record that nothing listens at the server's address."""
        ...


class NoObserver:
    """Observer that records nothing."""

    def note_response(self, status: int, headers: Mapping[str, str]) -> None:
        """Ignore the response."""

    def note_refused_connection(self) -> None:
        """Ignore the refusal."""


class Engine(Protocol):
    """Client of a model engine."""

    def generate(
        self, request_id: str, start: StartRequest
    ) -> AsyncIterator[EngineTokens | BackendFailure]:
        """Run a request; yield its tokens and, if it fails, a final failure."""
        ...

    async def cancel(self, request_id: str) -> None:
        """Ask the engine to cancel a request; failures are ignored."""
        ...

    async def read_load(self) -> Result[EngineLoad, BackendFailure]:
        """Read the current load of the engine."""
        ...

    async def read_cache_events(
        self, after: int
    ) -> Result[list[CacheEvent], BackendFailure]:
        """Read the cache events with a sequence number above `after`."""
        ...

    async def read_versions(self) -> Result[tuple[str, ...], BackendFailure]:
        """Read the versions that the engine has loaded."""
        ...

    async def order(self, order: OrderRequest) -> OrderOutcome:
        """Execute an order, which may take as long as loading model weights."""
        ...


class PlainService(Protocol):
    """Client of a plain service."""

    async def call(self, call: CallRequest) -> CallOutcome:
        """Send one call to the service and return its result."""
        ...
