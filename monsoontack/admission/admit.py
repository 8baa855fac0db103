"""Decision whether an entry takes a request now, or refuses it at once.

The limit follows the free slots of live backend servers. A refusal comes at
once, says `not_run` and carries the time after which a retry is worthwhile,
computed from the backlog and the rate at which requests end.
"""

import itertools
import random
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from monsoontack.core.errors import RequestError
from monsoontack.core.records import ServerState
from monsoontack.routing.load import held_requests, slots_of

# Requests a server may hold per slot; a short queue keeps its slots busy.
HELD_PER_SLOT = 1.25
MIN_RETRY_S = 0.1
MAX_RETRY_S = 30.0


@dataclass(frozen=True, slots=True)
class Ticket:
    """An admitted request, to be given back with `Admission.release`."""

    number: int
    account: str
    service: str
    admitted_at: float


@dataclass(slots=True)
class Admission:
    """Admission decisions of one entry."""

    in_flight: Counter[tuple[str, str]] = field(default_factory=Counter)
    hold_s: float = 1.0
    numbers: Iterator[int] = field(default_factory=itertools.count)

    def request(
        self,
        account: str,
        service: str,
        servers: Sequence[ServerState],
        now: float,
        rng: random.Random,
    ) -> Result[Ticket, RequestError]:
        """Return a ticket for the request, or a refusal with a retry time.

        `servers` are the linked servers of the service that can take work.
        """
        live = [state for state in servers if not state.leaving]
        room = sum(HELD_PER_SLOT * slots_of(s) - held_requests(s) for s in live)
        if room < 1:
            return Failure(self._refusal(service, live, rng))
        self.in_flight[account, service] += 1
        return Success(Ticket(next(self.numbers), account, service, now))

    def release(self, ticket: Ticket, now: float) -> None:
        """Give back the ticket of a request that has ended in any way."""
        self.in_flight[ticket.account, ticket.service] -= 1
        self.hold_s += 0.1 * (now - ticket.admitted_at - self.hold_s)

    def _refusal(
        self, service: str, live: Sequence[ServerState], rng: random.Random
    ) -> RequestError:
        slots = sum(slots_of(state) for state in live)
        drain_rate = max(slots, 1) / max(self.hold_s, 1e-3)
        excess = sum(max(held_requests(s) - slots_of(s), 0) for s in live) + 1
        wait_s = excess / drain_rate * rng.uniform(1.0, 1.5)
        return RequestError(
            status=429,
            code="overloaded",
            message=f"the backend servers of {service!r} are at their limit",
            retry_after_s=round(min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S), 3),
        )
