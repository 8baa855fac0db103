"""Choice of the backend server for one request.

Filters narrow the servers step by step: the request's version, not leaving,
not excluded, not ejected; then the nearest group with room (own failure domain,
own region, other region within the link budget). Within the group a server that
holds the prompt's prefix is preferred while its load is bounded; otherwise the
better of two random servers is taken.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from monsoontack.core.errors import RequestError
from monsoontack.core.records import BackendServer, Place, RouteRequest, ServerState
from monsoontack.core.rendezvous import score
from monsoontack.routing.ejection import Ejection
from monsoontack.routing.linkbudget import LinkBudget, LocalShare
from monsoontack.routing.load import mean_utilisation, slots_of, utilisation
from monsoontack.routing.prefix import PrefixView

# Requests per slot from which on a wider group of servers is considered.
FULL_UTILISATION = 1.0
# Load of a preferred server relative to the mean of its group.
LOAD_BOUND = 1.25
# Prefix block that places a prompt no server is known to hold: deep enough to
# tell conversations apart that share a system prompt.
AFFINITY_BLOCK = 3
NO_SERVER_RETRY_S = 1.0


@dataclass(slots=True)
class Picker:
    """Routing decisions of one entry that stands at `place`."""

    place: Place
    link: LinkBudget
    ejection: Ejection = field(default_factory=Ejection)
    prefixes: PrefixView = field(default_factory=PrefixView)

    @classmethod
    def for_place(cls, place: Place, live_entries: int = 1, now: float = 0.0):
        """Return a picker with a local share of the link between regions."""
        return cls(place, LocalShare.for_entries(live_entries, now))

    def pick(
        self,
        request: RouteRequest,
        servers: Sequence[ServerState],
        now: float,
        rng: random.Random,
    ) -> Result[BackendServer, RequestError]:
        """Return the server to send `request` to, or why there is none.

        `servers` are the linked servers of the request's service. `now` is in
        seconds of the loop's clock. A choice in another region takes
        `request.request_bytes` from the link budget.
        """
        usable = [state for state in servers if is_usable(request, state)]
        if not usable:
            return Failure(no_server(request))
        healthy = self._healthy(usable, now, rng)
        near = [s for s in healthy if s.server.place.region == self.place.region]
        if not _has_room(near) and len(near) < len(healthy):
            far = [s for s in healthy if s.server.place.region != self.place.region]
            if _has_room(far) or not near:
                if self.link.take(request.cause, request.request_bytes, now):
                    return Success(self._choose(request, far, rng))
                if not near:
                    return Failure(self._link_full(request, now))
        return Success(self._choose(request, self._domain_first(near), rng))

    def note_sent(self, request: RouteRequest, server: BackendServer) -> None:
        """Remember that a request was really sent to a server."""
        if request.prefix_blocks:
            self.prefixes.note_sent(server.address, request.prefix_blocks)

    def _healthy(
        self, states: list[ServerState], now: float, rng: random.Random
    ) -> list[ServerState]:
        """Drop ejected servers, and those in slow start most of the time.

        If nothing is left, the servers in slow start are used; if all are
        ejected, all are used, since a refusal would be certain to fail.
        """
        shares = [self.ejection.share(s.server.address, now) for s in states]
        if all(share >= 1 for share in shares):
            return states
        draws = [share >= 1 or rng.random() < share for share in shares]
        kept = [s for s, drawn in zip(states, draws, strict=True) if drawn]
        returning = [s for s, share in zip(states, shares, strict=True) if share > 0]
        return kept or returning or states

    def _domain_first(self, near: list[ServerState]) -> list[ServerState]:
        domain = [s for s in near if s.server.place == self.place]
        return domain if _has_room(domain) else near

    def _choose(
        self, request: RouteRequest, group: list[ServerState], rng: random.Random
    ) -> BackendServer:
        """Choose among the servers of a group that have room, else among all."""
        group = [s for s in group if utilisation(s) < FULL_UTILISATION] or group
        if request.prefix_blocks and len(group) > 1:
            preferred = self._preferred(request, group)
            if preferred is not None:
                return preferred.server
        return better_of_two(group, rng).server

    def _preferred(
        self, request: RouteRequest, group: list[ServerState]
    ) -> ServerState | None:
        """Return the bounded server for the request's prefix, None if overloaded."""
        blocks = request.prefix_blocks
        by_address = {state.server.address: state for state in group}
        limit = LOAD_BOUND * mean_utilisation(group)
        found = self.prefixes.longest_match(blocks, set(by_address))
        if not found:
            key = blocks[min(AFFINITY_BLOCK, len(blocks) - 1)]
            found = {max(by_address, key=lambda address: score(key, address))}
        holders = (by_address[address] for address in sorted(found))
        best = min(holders, key=utilisation)
        return best if _is_bounded(best, limit) else None

    def _link_full(self, request: RouteRequest, now: float) -> RequestError:
        wait_s = max(self.link.wait_s(request.cause, now), 0.1)
        return RequestError(
            status=503,
            code="link_budget_exhausted",
            message=f"only another region runs {request.service!r}, and the byte "
            "budget of the link to it is used up",
            retry_after_s=round(wait_s, 3),
        )


def is_usable(request: RouteRequest, state: ServerState) -> bool:
    """Return whether a server runs the request's version and takes new work."""
    if state.leaving or state.server.address in request.excluded:
        return False
    return not request.version or request.version in state.server.versions


def better_of_two(group: Sequence[ServerState], rng: random.Random) -> ServerState:
    """Return the less loaded of two random servers of a non-empty group."""
    if len(group) == 1:
        return group[0]
    first, second = rng.sample(group, 2)
    return min(first, second, key=utilisation)


def no_server(request: RouteRequest) -> RequestError:
    """Return the refusal of a request whose version no usable server runs."""
    return RequestError(
        status=503,
        code="no_backend_server",
        message=f"no backend server of {request.service!r} can take version "
        f"{request.version!r} now",
        retry_after_s=NO_SERVER_RETRY_S,
    )


def _has_room(group: Sequence[ServerState]) -> bool:
    return any(utilisation(state) < FULL_UTILISATION for state in group)


def _is_bounded(state: ServerState, limit: float) -> bool:
    """Return whether one more request keeps the load within `limit`.

    One request is always allowed, or an idle group would bound itself to zero.
    """
    return utilisation(state) <= max(limit, 1 / slots_of(state))
