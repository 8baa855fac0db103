"""Protocols behind which the entry's decisions stand.

The entry calls them on its event loop; none of them may block. `simple.py`
has a first version of each.
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
    """Gives the newest published configuration that this process holds."""

    def view(self) -> ConfigView:
        """Return the newest revision; revision 0 if there is none yet."""
        ...

    def is_ready(self, now: float) -> bool:
        """Whether the process may take new work with this configuration."""
        ...


class Picker(Protocol):
    """Chooses the version and the backend server of a request."""

    def pick_version(
        self, view: ConfigView, service: str, now: float, rng: random.Random
    ) -> str | None:
        """Return the version of a new request; None if the service has none."""
        ...

    def pick(
        self,
        request: RouteRequest,
        servers: Sequence[ServerState],
        now: float,
        rng: random.Random,
    ) -> BackendServer | None:
        """Return one of `servers` that may take the request, else None."""
        ...

    def record(self, address: str, failed: bool, now: float) -> None:
        """Note how an attempt on a backend server ended."""
        ...


class Admission(Protocol):
    """Decides whether a request may begin."""

    def configure(
        self, accounts: Mapping[str, AccountConfig], live_entries: int
    ) -> None:
        """Take over accounts of a new revision or a new number of entries."""
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
        """Return a ticket for a new request, or why it is refused."""
        ...

    def resume(self, account: str, service: str, now: float) -> Ticket:
        """Return a ticket for a running answer taken over from another entry."""
        ...

    def release(self, ticket: Ticket, now: float) -> None:
        """Give back the ticket of a request that ended."""
        ...


class CallRunner(Protocol):
    """Runs calls on plain services, at most once where they must not repeat."""

    async def run(self, call: ServiceCall) -> ServiceAnswer | RequestError:
        """Run one call and return the service's answer or a truthful refusal."""
        ...

    async def find_outcome(self, account: str, key: str) -> dict | RequestError:
        """Return the recorded outcome of a non-idempotent call as JSON fields."""
        ...


class OutcomeSink(Protocol):
    """Receives how requests ended, as evidence about versions."""

    def record(self, outcome: RequestOutcome) -> None:
        """Add one outcome."""
        ...
