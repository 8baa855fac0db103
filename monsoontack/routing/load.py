"""Load of a backend server as this entry estimates it at this moment.

Load reports lag, so the estimate adds the requests that this entry has sent
since the report was true. Requests of other entries after the report are
unknown; the random choice in `monsoontack.routing.picker` allows for them.
"""

from collections.abc import Sequence

from monsoontack.core.records import ServerState


def held_requests(state: ServerState) -> int:
    """Return the estimated number of requests running or queued at a server."""
    if state.load is None:
        return state.in_flight
    held = state.load.running + state.load.queued + state.sent_since_report
    return max(held, state.in_flight)


def slots_of(state: ServerState) -> int:
    """Return how many requests the server runs at once, by its newest word."""
    slots = state.load.slots if state.load is not None else state.server.slots
    return max(slots, 1)


def utilisation(state: ServerState) -> float:
    """Return estimated requests per slot; above 1 requests wait."""
    return held_requests(state) / slots_of(state)


def mean_utilisation(states: Sequence[ServerState]) -> float:
    """Return requests per slot over all `states` together, 0 if there are none."""
    slots = sum(slots_of(state) for state in states)
    return sum(held_requests(state) for state in states) / slots if slots else 0.0
