"""Decision whether an entry takes a request now, or refuses it at once.

The limit follows the slots of live backend servers, which may hold a short
queue. While slots are free everybody is admitted; then only accounts below
their fair share are, with a reserve for the arrivals of small accounts; at the
limit nobody is. A refusal comes at once, says `not_run` and tells when a retry
is worthwhile: callers of an account get times one after the other at the rate
at which its share drains.
"""

import itertools
import math
import random
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from monsoontack.admission.fairshare import AccountUse, FairShare
from monsoontack.config.view import AccountConfig
from monsoontack.core.errors import RequestError
from monsoontack.core.records import ServerState
from monsoontack.routing.load import fleet_held, slots_of

# Limits are set apart from the number of slots by multiples of its square root,
# the size of random fluctuations of the load. A queue of 25% of the slots kept
# p95 of the first token above 1.2 s in overload, none left slots empty (bench
# routing).
QUEUE_MARGIN = 0.7
# Below the slots by this much everybody is admitted, also above the fair share.
FREE_MARGIN = 1.0
FREE_MARGIN_PER_PRIORITY = 0.1
# Part of the free room that one entry counts as its own, however little it has
# in flight. Entries share servers, but load reports correct an excess soon.
MIN_ROOM_SHARE = 0.5
HOLD_WEIGHT = 0.05
INITIAL_HOLD_S = 1.0
MIN_RETRY_S = 0.1
MAX_RETRY_S = 30.0
NO_SERVER_RETRY_S = 1.0
MESSAGES = {
    "full": "the backend servers of {service!r} are at their limit",
    "above_share": "the account uses its share of the backend servers of "
    "{service!r}, which are near their limit",
    "account_limit": "the account has its maximum of concurrent requests",
}


@dataclass(frozen=True, slots=True)
class Ticket:
    """An admitted request, to be given back with `Admission.release`."""

    number: int
    account: str
    service: str
    admitted_at: float


@dataclass(frozen=True, slots=True)
class Room:
    """Room at the live servers of a service, as one entry sees it.

    `slots` and `held` count requests of all entries, `capacity` the slots that
    this entry may fill.
    """

    slots: int
    held: float
    capacity: float

    @property
    def limit(self) -> float:
        """Requests that the servers may hold, with a short queue."""
        return self.slots + max(QUEUE_MARGIN * math.sqrt(self.slots), 1.0)

    @property
    def pressure(self) -> float:
        """Used part of the reserve above the slots, from 0 to 1."""
        above = max(self.held - self.slots, 0.0)
        return min(above / (self.limit - self.slots), 1.0)

    def is_ample(self, priority: int) -> bool:
        """Return whether there is room for accounts above their share too."""
        bounded = max(-10, min(priority, 10))
        margin = FREE_MARGIN - FREE_MARGIN_PER_PRIORITY * bounded
        return self.held < self.slots - margin * math.sqrt(self.slots)


@dataclass(slots=True)
class ServiceAdmission:
    """Shares, open tickets (oldest first) and smoothed duration of one service."""

    shares: FairShare = field(default_factory=FairShare)
    tickets: dict[int, Ticket] = field(default_factory=dict)
    hold_s: float = INITIAL_HOLD_S

    def next_end(self, now: float) -> float:
        """Return when the first open request is expected to end."""
        oldest = next(iter(self.tickets.values()), None)
        return now if oldest is None else max(now, oldest.admitted_at + self.hold_s)


@dataclass(slots=True)
class Admission:
    """Admission decisions of one entry.

    `refused` counts refusals per service and reason.
    """

    accounts: Mapping[str, AccountConfig] = field(default_factory=dict)
    live_entries: int = 1
    services: dict[str, ServiceAdmission] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=itertools.count)
    refused: Counter[tuple[str, str]] = field(default_factory=Counter)

    def configure(
        self, accounts: Mapping[str, AccountConfig], live_entries: int
    ) -> None:
        """Take over accounts of a new revision or a new number of entries."""
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
        """Return a ticket for the request, or a refusal with a retry time.

        `servers` are the linked servers of the service. `priority` is from -10
        to 10; a higher one is admitted at a somewhat higher load.
        """
        state = self.services.setdefault(service, ServiceAdmission())
        room = measure_room(servers, state.shares.in_flight, self.live_entries)
        if not room.slots:
            self.refused[service, "no_server"] += 1
            return Failure(_no_server(service))
        config = self.accounts.get(account)
        use = state.shares.use_of(account, config.weight if config else 1.0, now)
        state.shares.refresh(room.capacity, state.hold_s, now)
        # The refresh drops idle accounts, and a new one may look idle.
        state.shares.uses[account] = use
        reason = self._refusal_reason(config, use, state, room, priority)
        if reason:
            self.refused[service, reason] += 1
            return Failure(_refusal(service, reason, use, state, room, now, rng))
        return Success(self._admit(account, service, use, state, now))

    def resume(self, account: str, service: str, now: float) -> Ticket:
        """Return a ticket for a running answer taken over from another entry.

        It is never refused: its work is under way already.
        """
        state = self.services.setdefault(service, ServiceAdmission())
        config = self.accounts.get(account)
        use = state.shares.use_of(account, config.weight if config else 1.0, now)
        return self._admit(account, service, use, state, now)

    def release(self, ticket: Ticket, now: float) -> None:
        """Give back a ticket at the end of its request; a second time is void."""
        state = self.services[ticket.service]
        if state.tickets.pop(ticket.number, None) is None:
            return
        state.shares.remove(ticket.account, now)
        state.hold_s += HOLD_WEIGHT * (now - ticket.admitted_at - state.hold_s)

    def _admit(
        self,
        account: str,
        service: str,
        use: AccountUse,
        state: ServiceAdmission,
        now: float,
    ) -> Ticket:
        state.shares.add(use)
        ticket = Ticket(next(self.numbers), account, service, now)
        state.tickets[ticket.number] = ticket
        return ticket

    def _refusal_reason(
        self,
        config: AccountConfig | None,
        use: AccountUse,
        state: ServiceAdmission,
        room: Room,
        priority: int,
    ) -> str:
        """Return why the request is refused, empty if it is admitted."""
        if config is not None and config.max_concurrent:
            own_part = -(-config.max_concurrent // self.live_entries)
            if use.in_flight >= own_part:
                return "account_limit"
        if room.held + 1 > room.limit:
            return "full"
        if room.is_ample(priority):
            return ""
        if state.shares.is_under_share(use, room.pressure):
            return ""
        return "above_share"


def measure_room(servers: Sequence[ServerState], own: int, live_entries: int) -> Room:
    """Return the room at the servers that take new work.

    `own` is what this entry has in flight there. The entry counts on the part
    of the free room that corresponds to its part of the held requests.
    """
    live = [state for state in servers if not state.leaving]
    slots = sum(slots_of(state) for state in live)
    held = fleet_held(live, live_entries)
    part = min(max(own / held if held else 1.0, MIN_ROOM_SHARE), 1.0)
    return Room(slots, held, own + part * (slots - held))


def _refusal(
    service: str,
    reason: str,
    use: AccountUse,
    state: ServiceAdmission,
    room: Room,
    now: float,
    rng: random.Random,
) -> RequestError:
    """Count the refused demand and return the answer to the caller."""
    use.refused += 1
    share = min(use.weight * state.shares.level, max(room.capacity, 1.0))
    drain_rate = max(share, 0.1) / max(state.hold_s, 1e-3)
    turn = max(use.next_retry_at, state.next_end(now))
    turn += rng.uniform(0.5, 1.5) / drain_rate
    use.next_retry_at = min(turn, now + MAX_RETRY_S)
    return RequestError(
        status=429,
        code="overloaded",
        message=MESSAGES[reason].format(service=service),
        retry_after_s=round(max(use.next_retry_at - now, MIN_RETRY_S), 3),
    )


def _no_server(service: str) -> RequestError:
    return RequestError(
        status=503,
        code="no_backend_server",
        message=f"no live backend server of {service!r} is linked",
        retry_after_s=NO_SERVER_RETRY_S,
    )
