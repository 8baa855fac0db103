"""Choice of the backend server for one request.

Filters narrow the servers step by step: the request's version, not leaving,
not excluded; then the nearest group with room (own failure domain, own region,
other region). Of the group, the better of two random servers is taken.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from monsoontack.core.errors import RequestError
from monsoontack.core.records import BackendServer, Place, RouteRequest, ServerState
from monsoontack.routing.load import utilisation

# Requests per slot above which a wider group of servers is considered.
FULL_UTILISATION = 1.0
NO_SERVER_RETRY_S = 1.0


@dataclass(slots=True)
class Picker:
    """Routing decisions of one entry that stands at `place`."""

    place: Place

    def pick(
        self,
        request: RouteRequest,
        servers: Sequence[ServerState],
        now: float,
        rng: random.Random,
    ) -> Result[BackendServer, RequestError]:
        """Return the server to send `request` to, or why there is none.

        `servers` are the linked servers of the request's service. `now` is in
        seconds of the loop's clock.
        """
        usable = [state for state in servers if _is_usable(request, state)]
        if not usable:
            return Failure(no_server(request))
        group = self._nearest_group(usable)
        return Success(better_of_two(group, rng).server)

    def _nearest_group(self, states: list[ServerState]) -> list[ServerState]:
        domain = [s for s in states if s.server.place == self.place]
        region = [s for s in states if s.server.place.region == self.place.region]
        for group in (domain, region):
            if any(utilisation(s) < FULL_UTILISATION for s in group):
                return group
        return region or states


def _is_usable(request: RouteRequest, state: ServerState) -> bool:
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
