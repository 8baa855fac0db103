"""Protocols of the replaceable components of an entry.

The entry calls them on its event loop, so they must not block.
`monsoontack.entry.defaults` has default implementations.
"""

import random
from collections.abc import Mapping, Sequence
from typing import Protocol

from returns.result import Result

from monsoontack.admission.admit import Ticket
from monsoontack.config.view import AccountConfig, ConfigView
from monsoontack.core.errors import RequestError
from monsoontack.core.records import (
    BackendServer,
    RequestOutcome,
    RouteRequest,
    ServerState,
)
from monsoontack.ledger.records import ServiceAnswer, ServiceCall


class ConfigSource(Protocol):
    """Provides the latest published configuration that this process has."""

    def view(self) -> ConfigView:
        """Return the latest configuration; revision 0 if there is none yet."""
        ...

    def is_ready(self, now: float) -> bool:
        """Return whether the configuration allows accepting new requests."""
        ...


class Picker(Protocol):
    """Selects the version and the backend server of a request."""

    def pick_version(
        self, view: ConfigView, service: str, now: float, rng: random.Random
    ) -> str | None:
        """Return the version for a new request; None if none is available."""
        ...

    def pick(
        self,
        request: RouteRequest,
        servers: Sequence[ServerState],
        now: float,
        rng: random.Random,
    ) -> BackendServer | None:
        """Return one of `servers` that is eligible for the request, or None."""
        ...

    def record(self, address: str, failed: bool, now: float) -> None:
        """Record the result of an attempt on a backend server."""
        ...


class Admission(Protocol):
    """Decides whether a new request is admitted."""

    def configure(
        self, accounts: Mapping[str, AccountConfig], live_entries: int
    ) -> None:
        """Update the client accounts and the number of live entries."""
        ...

    def request(
        self,
        account: str,
        service: str,
        servers: Sequence[ServerState],
        now: float,
        rng: random.Random,
        priority: int = 0,
    ) -> Result[Ticket, RequestError]:
        """Return a ticket for a new request, or the error that refuses it."""
        ...

    def resume(self, account: str, service: str, now: float) -> Ticket:
        """Return a ticket for a running stream taken over from another entry."""
        ...

    def release(self, ticket: Ticket, now: float) -> None:
        """Release the ticket of a request that ended."""
        ...


class CallRunner(Protocol):
    """Runs calls on plain services; non-idempotent calls run at most once."""

    async def run(self, call: ServiceCall) -> ServiceAnswer | RequestError:
        """Run one call and return the answer of the service or a typed error.

        The error states whether the call ran, did not run, or may have run.
        """
        ...

    async def find_outcome(self, account: str, key: str) -> dict | RequestError:
        """Return the recorded outcome of a non-idempotent call as JSON fields."""
        ...


class OutcomeSink(Protocol):
    """Receives the outcomes of requests as evidence about versions."""

    def record(self, outcome: RequestOutcome) -> None:
        """Record one outcome."""
        ...
