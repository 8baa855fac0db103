"""Interface of the backend server beside an agent.

`monsoontack.agent.enginehttp` and `servicehttp` implement it for the formats of
docs/platform.md. Failures are records; nothing here raises for a backend server
that is down, slow or wrong.
"""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from monsoontack.agent.load import CacheEvent
from monsoontack.agent.records import StartRequest


@dataclass(frozen=True, slots=True)
class EngineTokens:
    """Consecutive output tokens; `finish` is empty, `stop` or `length`."""

    first_position: int
    tokens: tuple[int, ...]
    texts: tuple[str, ...]
    finish: str


@dataclass(frozen=True, slots=True)
class BackendFailure:
    """Why a backend server gave no (whole) answer.

    `code` is `refused` or `backend_failed`; `started` is false only if the
    backend server has surely not begun.
    """

    code: str
    message: str
    started: bool


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load as the engine reports it; `age_s` is how old the report is."""

    running: int
    queued: int
    slots: int
    age_s: float


@dataclass(frozen=True, slots=True)
class OrderRequest:
    """Change of what an engine serves; fields as in `Order` of link.proto."""

    order_id: str
    kind: str
    version: str
    adapter: str
    role: str
    fence: int


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """Result of an order: `ok`, `fenced` or `failed`."""

    order_id: str
    code: str
    message: str = ""


@dataclass(frozen=True, slots=True)
class CallRequest:
    """Call on a plain service; fields as in `Call` of link.proto."""

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
    """Result of a call; `code` is empty if the service answered."""

    call_id: str
    run_state: str
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    code: str = ""


class Engine(Protocol):
    """A model engine."""

    def generate(
        self, request_id: str, start: StartRequest
    ) -> AsyncIterator[EngineTokens | BackendFailure]:
        """Run a request; yields its tokens and, if it fails, one failure last."""
        ...

    async def cancel(self, request_id: str) -> None:
        """Ask the engine to drop a request; failures are ignored."""
        ...

    async def read_load(self) -> Result[EngineLoad, BackendFailure]:
        """Read the load."""
        ...

    async def read_cache_events(
        self, after: int
    ) -> Result[list[CacheEvent], BackendFailure]:
        """Read the cache events above a sequence number."""
        ...

    async def read_versions(self) -> Result[tuple[str, ...], BackendFailure]:
        """Read which versions are loaded."""
        ...

    async def order(self, order: OrderRequest) -> OrderOutcome:
        """Carry out an order, which may take as long as loading weights."""
        ...


class PlainService(Protocol):
    """A plain service."""

    async def call(self, call: CallRequest) -> CallOutcome:
        """Run one call."""
        ...
