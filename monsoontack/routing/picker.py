"""Selection of the backend server for one request.

Servers are filtered in steps. The first filters keep servers that run the request's
version and are neither leaving nor excluded nor ejected. The next one chooses the
nearest group with free slots: the own failure domain, the own region, or the other
region within the link budget. Within the group, a server that holds the prompt's
prefix is preferred while its load is below a bound; otherwise the less loaded of two
random servers is used. If the times of a service's calls differ much, a call goes to
the server at which it is expected to end sooner, of two in the own region and one in
the other region.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from monsoontack.core.errors import RequestError
from monsoontack.core.records import BackendServer, Place, RouteRequest, ServerState
from monsoontack.core.rendezvous import score
from monsoontack.routing.calltimes import CallTimes, ServiceTimes
from monsoontack.routing.ejection import Ejection
from monsoontack.routing.linkbudget import EntryLinkBudget, LinkBudget
from monsoontack.routing.load import (
    estimated_requests,
    mean_utilisation,
    slot_count,
    utilisation,
)
from monsoontack.routing.prefix import PrefixIndex

# A wider group of servers is considered once all servers of a group have this many
# requests per slot.
FULL_UTILISATION = 1.0
# Maximum load of a server preferred for its prefix, relative to the group's mean.
MAX_PREFERRED_LOAD_FACTOR = 1.25
# Index of the prefix block whose hash places a prompt that no server is known to
# hold. It lies deep enough to distinguish conversations with the same system prompt.
AFFINITY_BLOCK_INDEX = 3
NO_SERVER_RETRY_S = 1.0
# Time that a call has to save for traffic to another failure domain or region, which is
# billed, as for prompts (`OTHER_REGION_COST_TOKENS` at 8 tokens per ms). Half of the
# latter sends more calls to the other region, and as many are late
# (`bench.callplacement`).
OTHER_DOMAIN_COST_S = 0.025
OTHER_REGION_COST_S = 0.19


@dataclass(slots=True, repr=False)
class Picker:
    """Selects servers for one entry, which runs at `place`."""

    place: Place
    link_budget: LinkBudget
    ejection: Ejection = field(default_factory=Ejection)
    prefixes: PrefixIndex = field(default_factory=PrefixIndex)
    times: CallTimes | None = None

    @classmethod
    def for_place(cls, place: Place, live_entries: int = 1, now: float = 0.0):
        """Return a picker with an equal share of the link between regions."""
        return cls(place, EntryLinkBudget.for_entries(live_entries, now))

    def pick(
        self,
        request: RouteRequest,
        servers: Sequence[ServerState],
        now: float,
        rng: random.Random,
    ) -> Result[BackendServer, RequestError]:
        """Return the server for `request`, or an error if there is none.

        `servers` are the linked servers of the request's service. `now` is in
        seconds of the event loop's clock. The choice of a server in another region
        takes `request.request_bytes` from the link budget.
        """
        usable = [state for state in servers if is_usable(request, state)]
        if not usable:
            return Failure(no_server_error(request))
        healthy = self._drop_ejected(usable, now, rng)
        own_region = [s for s in healthy if s.server.place.region == self.place.region]
        if not _has_room(own_region) and len(own_region) < len(healthy):
            other_region = [
                s for s in healthy if s.server.place.region != self.place.region
            ]
            if _has_room(other_region) or not own_region:
                if self.link_budget.take(request.cause, request.request_bytes, now):
                    return Success(self._choose(request, other_region, rng))
                if not own_region:
                    return Failure(self._link_budget_error(request, now))
        times = self.times.of_service(request.service) if self.times else None
        if (
            times is not None
            and not request.prefix_blocks
            and times.compares_servers(now)
        ):
            chosen = self._choose_sooner(request, healthy, times, now, rng)
            return Success(chosen)
        return Success(
            self._choose(request, self._own_domain_or_region(own_region), rng)
        )

    def note_sent(self, request: RouteRequest, server: BackendServer) -> None:
        """Record that the request was sent to `server`."""
        if request.prefix_blocks:
            self.prefixes.note_sent(server.address, request.prefix_blocks)

    def _drop_ejected(
        self, states: list[ServerState], now: float, rng: random.Random
    ) -> list[ServerState]:
        """Return the servers without ejected ones.

        A server in slow start is kept with the probability of its traffic share. If
        no server remains, all servers in slow start are returned. If all servers are
        ejected, all are returned, since a refusal would certainly fail the request.
        """
        shares = [self.ejection.traffic_share(s.server.start_key, now) for s in states]
        if all(share >= 1 for share in shares):
            return states
        draws = [share >= 1 or rng.random() < share for share in shares]
        kept = [s for s, drawn in zip(states, draws, strict=True) if drawn]
        returning = [s for s, share in zip(states, shares, strict=True) if share > 0]
        return kept or returning or states

    def _own_domain_or_region(self, own_region: list[ServerState]) -> list[ServerState]:
        own_domain = [s for s in own_region if s.server.place == self.place]
        return own_domain if _has_room(own_domain) else own_region

    def _choose_sooner(
        self,
        request: RouteRequest,
        healthy: list[ServerState],
        times: ServiceTimes,
        now: float,
        rng: random.Random,
    ) -> BackendServer:
        """Choose the server at which a call is expected to end sooner.

        One server of the own failure domain, if one there has room, is compared with
        another one of the region, and the better one with one of the other region, as
        far as the link budget allows.
        """

        def expected_s(state: ServerState) -> float:
            in_flight = estimated_requests(state)
            expected_s = times.expected_s(state.server.start_key, in_flight, now)
            return expected_s + self._distance_s(state.server.place)

        own_region, other_region = [], []
        for state in _with_room(healthy):
            is_near = state.server.place.region == self.place.region
            (own_region if is_near else other_region).append(state)
        own_domain = [s for s in own_region if s.server.place == self.place]
        best = rng.choice(own_domain or own_region or other_region)
        others = [s for s in own_region if s is not best]
        if others:
            best = min(best, rng.choice(others), key=expected_s)
        if own_region and other_region:
            far = rng.choice(other_region)
            if expected_s(far) < expected_s(best):
                if self.link_budget.take(request.cause, request.request_bytes, now):
                    best = far
        return best.server

    def _distance_s(self, place: Place) -> float:
        if place.region != self.place.region:
            return OTHER_REGION_COST_S
        return 0.0 if place == self.place else OTHER_DOMAIN_COST_S

    def _choose(
        self, request: RouteRequest, group: list[ServerState], rng: random.Random
    ) -> BackendServer:
        """Choose among the group's servers with free slots, or all if none has any."""
        group = _with_room(group)
        if request.prefix_blocks and len(group) > 1:
            preferred = self._choose_by_prefix(request, group)
            if preferred is not None:
                return preferred.server
        return better_of_two(group, rng).server

    def _choose_by_prefix(
        self, request: RouteRequest, group: list[ServerState]
    ) -> ServerState | None:
        """Return the server for the request's prefix, None if it is overloaded."""
        blocks = request.prefix_blocks
        by_address = {state.server.address: state for state in group}
        limit = MAX_PREFERRED_LOAD_FACTOR * mean_utilisation(group)
        found = self.prefixes.longest_match(blocks, set(by_address))
        if not found:
            key = blocks[min(AFFINITY_BLOCK_INDEX, len(blocks) - 1)]
            found = {max(by_address, key=lambda address: score(key, address))}
        holders = (by_address[address] for address in sorted(found))
        best = min(holders, key=utilisation)
        return best if _is_within_load_limit(best, limit) else None

    def _link_budget_error(self, request: RouteRequest, now: float) -> RequestError:
        wait_s = max(self.link_budget.wait_s(request.cause, now), 0.1)
        return RequestError(
            status=503,
            code="link_budget_exhausted",
            message=f"only another region runs {request.service!r}, and the byte "
            "budget of the link to it is used up",
            retry_after_s=round(wait_s, 3),
        )


def is_usable(request: RouteRequest, state: ServerState) -> bool:
    """Return whether a server runs the request's version and accepts new work."""
    if state.leaving or state.server.address in request.excluded:
        return False
    return not request.version or request.version in state.server.versions


def better_of_two(group: Sequence[ServerState], rng: random.Random) -> ServerState:
    """Return the less loaded of two random servers from a non-empty group."""
    if len(group) == 1:
        return group[0]
    first, second = rng.sample(group, 2)
    return min(first, second, key=utilisation)


def no_server_error(request: RouteRequest) -> RequestError:
    """Return the error for a request whose version no usable server runs."""
    return RequestError(
        status=503,
        code="no_backend_server",
        message=f"no backend server of {request.service!r} can take version "
        f"{request.version!r} now",
        retry_after_s=NO_SERVER_RETRY_S,
    )


def _with_room(group: list[ServerState]) -> list[ServerState]:
    """Return the servers with free slots, or all if none has any."""
    return [s for s in group if utilisation(s) < FULL_UTILISATION] or group


def _has_room(group: Sequence[ServerState]) -> bool:
    return any(utilisation(state) < FULL_UTILISATION for state in group)


def _is_within_load_limit(state: ServerState, limit: float) -> bool:
    """Return whether the server's load is within `limit`.

    One request is always allowed, since the limit of an idle group is zero.
    """
    return utilisation(state) <= max(limit, 1 / slot_count(state))
