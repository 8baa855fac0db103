"""Load of a backend server as this entry estimates it at this moment.

Load reports lag, so the estimate adds the requests that this entry has sent
since the report was true and subtracts those that ended. Requests of other
entries after the report are unknown; the random choice in
`monsoontack.routing.picker` allows for them, and `fleet_held` extrapolates.
"""

from collections.abc import Sequence

from monsoontack.core.records import ServerState


def held_requests(state: ServerState) -> int:
    """Return the estimated number of requests running or queued at a server."""
    if state.load is None:
        return state.in_flight
    reported = state.load.running + state.load.queued
    return max(reported + _own_change(state), state.in_flight)


def fleet_held(states: Sequence[ServerState], max_factor: float) -> float:
    """Return the estimated requests at all `states`, sent by any entry.

    This entry's own change since the reports stands for that of all entries,
    which have as much more of it as they had requests at the time of the
    reports, but at most `max_factor` times, the number of live entries.
    """
    reported = own_then = change = 0
    for state in states:
        own_change = _own_change(state)
        change += own_change
        own_then += state.in_flight - own_change
        if state.load is not None:
            reported += state.load.running + state.load.queued
    factor = min(max(reported / max(own_then, 1), 1.0), max_factor)
    own_now = sum(state.in_flight for state in states)
    return max(reported + factor * change, own_now)


def _own_change(state: ServerState) -> int:
    return state.sent_since_report - state.ended_since_report


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
