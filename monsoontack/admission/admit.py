"""Admission control: an entry admits a request at once or refuses it at once.

The limit is derived from the slots of the live backend servers, which may also hold
a short queue. While slots are free, all requests are admitted. Without free slots,
only accounts below their fair share are admitted, with a reserve for the arrivals of
small accounts. At the limit, no request is admitted. A refusal is immediate, has the
run state `not_run` and gives a time after which a retry may succeed: the callers of
an account get successive retry times at the rate at which the account's requests
drain.
"""

import itertools
import math
import random
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from monsoontack.admission.fairshare import AccountUsage, FairShare
from monsoontack.config.view import AccountConfig
from monsoontack.core.errors import RequestError
from monsoontack.core.records import ServerState
from monsoontack.routing.load import estimated_fleet_requests, slot_count

# Margins are multiples of the square root of the number of slots, which is the standard
# deviation of random (Poisson) load. In overload, a queue of 25% of the slots kept the
# p95 time to first token above 1.2 s; without a queue, slots stayed empty (bench
# routing).
QUEUE_MARGIN = 0.7
# Free slots, counted in square roots of the number of slots. Accounts above their fair
# share are admitted only while more slots than this are free.
FREE_MARGIN = 1.0
FREE_MARGIN_PER_PRIORITY = 0.1
# Minimum share of the free slots that an entry may fill, even with few requests in
# flight. Entries may together exceed the free slots for a short time, until load
# reports correct it.
MIN_FREE_SHARE = 0.5
DURATION_SMOOTHING_WEIGHT = 0.05
INITIAL_DURATION_S = 1.0
MIN_RETRY_S = 0.1
MAX_RETRY_S = 30.0
NO_SERVER_RETRY_S = 1.0
REFUSAL_MESSAGES = {
    "full": "the backend servers of {service!r} are at their limit",
    "above_share": "the account uses its share of the backend servers of "
    "{service!r}, which are near their limit",
    "account_limit": "the account has its maximum of concurrent requests",
}


@dataclass(frozen=True, slots=True)
class Ticket:
    """Permit of an admitted request, to be released with `Admission.release`."""

    number: int
    account: str
    service: str
    admitted_at: float


@dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """Capacity of the live servers of a service, as one entry sees it.

    `slots` is the number of slots for the requests of all entries, `fleet_requests`
    the estimated number of these requests. `entry_slots` is the number of slots that
    this entry may fill.
    """

    slots: int
    fleet_requests: float
    entry_slots: float

    @property
    def limit(self) -> float:
        """Number of requests that the servers may hold, including a short queue."""
        return self.slots + max(QUEUE_MARGIN * math.sqrt(self.slots), 1.0)

    @property
    def reserve_used(self) -> float:
        """Used share of the reserve, which is the queue above the slots, 0 to 1."""
        requests_above_slots = max(self.fleet_requests - self.slots, 0.0)
        return min(requests_above_slots / (self.limit - self.slots), 1.0)

    def has_free_slots(self, priority: int) -> bool:
        """Return whether accounts above their fair share are admitted too."""
        bounded = max(-10, min(priority, 10))
        margin = FREE_MARGIN - FREE_MARGIN_PER_PRIORITY * bounded
        return self.fleet_requests < self.slots - margin * math.sqrt(self.slots)


@dataclass(slots=True, repr=False)
class ServiceAdmission:
    """Admission state of one service.

    `tickets` holds the open tickets, oldest first; `mean_duration_s` is the smoothed
    duration of requests.
    """

    shares: FairShare = field(default_factory=FairShare)
    tickets: dict[int, Ticket] = field(default_factory=dict)
    mean_duration_s: float = INITIAL_DURATION_S

    def expected_next_end(self, now: float) -> float:
        """Return the time at which the oldest open request is expected to end."""
        oldest = next(iter(self.tickets.values()), None)
        return (
            now
            if oldest is None
            else max(now, oldest.admitted_at + self.mean_duration_s)
        )


@dataclass(slots=True, repr=False)
class Admission:
    """Admission control of one entry.

    `refused` counts refusals per service and reason.
    """

    accounts: Mapping[str, AccountConfig] = field(default_factory=dict)
    live_entries: int = 1
    services: dict[str, ServiceAdmission] = field(default_factory=dict)
    ticket_numbers: Iterator[int] = field(default_factory=itertools.count)
    refused: Counter[tuple[str, str]] = field(default_factory=Counter)

    def configure(
        self, accounts: Mapping[str, AccountConfig], live_entries: int
    ) -> None:
        """Apply the accounts of a new revision or a new number of entries."""
        self.accounts = accounts
        self.live_entries = max(live_entries, 1)

    def request(
        self,
        account: str,
        service: str,
        servers: Sequence[ServerState],
        now: float,
        rng: random.Random,
        priority: int = 0,
    ) -> Result[Ticket, RequestError]:
        """Return a ticket for the request, or an error with a retry time.

        `servers` are the linked servers of the service. `priority` is from -10
        to 10; a request of higher priority is admitted at a slightly higher load.
        """
        state = self.services.setdefault(service, ServiceAdmission())
        capacity = measure_capacity(servers, state.shares.in_flight, self.live_entries)
        if not capacity.slots:
            self.refused[service, "no_server"] += 1
            return Failure(_no_server_error(service))
        config = self.accounts.get(account)
        usage = state.shares.usage_of(account, config.weight if config else 1.0, now)
        state.shares.refresh(capacity.entry_slots, state.mean_duration_s, now)
        # `refresh` also removes an account that has no requests yet, so its usage is
        # stored again.
        state.shares.usages[account] = usage
        reason = self._refusal_reason(config, usage, state, capacity, priority)
        if reason:
            self.refused[service, reason] += 1
            return Failure(
                _refusal_error(service, reason, usage, state, capacity, now, rng)
            )
        return Success(self._admit(account, service, usage, state, now))

    def resume(self, account: str, service: str, now: float) -> Ticket:
        """Return a ticket for a running answer taken over from another entry.

        The request is never refused, since work on the answer has already begun.
        """
        state = self.services.setdefault(service, ServiceAdmission())
        config = self.accounts.get(account)
        usage = state.shares.usage_of(account, config.weight if config else 1.0, now)
        return self._admit(account, service, usage, state, now)

    def release(self, ticket: Ticket, now: float) -> None:
        """Release a ticket when its request ends; a repeated call has no effect."""
        state = self.services[ticket.service]
        if state.tickets.pop(ticket.number, None) is None:
            return
        state.shares.remove(ticket.account, now)
        state.mean_duration_s += DURATION_SMOOTHING_WEIGHT * (
            now - ticket.admitted_at - state.mean_duration_s
        )

    def _admit(
        self,
        account: str,
        service: str,
        usage: AccountUsage,
        state: ServiceAdmission,
        now: float,
    ) -> Ticket:
        state.shares.add(usage)
        ticket = Ticket(next(self.ticket_numbers), account, service, now)
        state.tickets[ticket.number] = ticket
        return ticket

    def _refusal_reason(
        self,
        config: AccountConfig | None,
        usage: AccountUsage,
        state: ServiceAdmission,
        capacity: ServiceCapacity,
        priority: int,
    ) -> str:
        """Return the reason for a refusal, empty if the request is admitted."""
        if config is not None and config.max_concurrent:
            own_limit = -(-config.max_concurrent // self.live_entries)
            if usage.in_flight >= own_limit:
                return "account_limit"
        if capacity.fleet_requests + 1 > capacity.limit:
            return "full"
        if capacity.has_free_slots(priority):
            return ""
        if state.shares.is_under_share(usage, capacity.reserve_used):
            return ""
        return "above_share"


def measure_capacity(
    servers: Sequence[ServerState], own_requests: int, live_entries: int
) -> ServiceCapacity:
    """Return the capacity of the servers that accept new work.

    `own_requests` is the number of requests that this entry has in flight at the
    servers. The entry may fill a share of the free slots that equals its share of the
    requests of all entries.
    """
    live = [state for state in servers if not state.leaving]
    slots = sum(slot_count(state) for state in live)
    fleet_requests = estimated_fleet_requests(live, live_entries)
    own_share = min(
        max(own_requests / fleet_requests if fleet_requests else 1.0, MIN_FREE_SHARE),
        1.0,
    )
    return ServiceCapacity(
        slots, fleet_requests, own_requests + own_share * (slots - fleet_requests)
    )


def _refusal_error(
    service: str,
    reason: str,
    usage: AccountUsage,
    state: ServiceAdmission,
    capacity: ServiceCapacity,
    now: float,
    rng: random.Random,
) -> RequestError:
    """Count the refusal as demand and return the error for the caller."""
    usage.recent_refusals += 1
    share = min(
        usage.weight * state.shares.level_per_weight, max(capacity.entry_slots, 1.0)
    )
    drain_rate = max(share, 0.1) / max(state.mean_duration_s, 1e-3)
    retry_at = max(usage.next_retry_at, state.expected_next_end(now))
    retry_at += rng.uniform(0.5, 1.5) / drain_rate
    usage.next_retry_at = min(retry_at, now + MAX_RETRY_S)
    return RequestError(
        status=429,
        code="overloaded",
        message=REFUSAL_MESSAGES[reason].format(service=service),
        retry_after_s=round(max(usage.next_retry_at - now, MIN_RETRY_S), 3),
    )


def _no_server_error(service: str) -> RequestError:
    return RequestError(
        status=503,
        code="no_backend_server",
        message=f"no live backend server of {service!r} is linked",
        retry_after_s=NO_SERVER_RETRY_S,
    )
