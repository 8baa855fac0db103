"""Estimate of the current load of backend servers.

Load reports lag, so the estimate adds the requests that this entry has sent since
the time of the report and subtracts those that have ended. Requests that other
entries sent after the report are unknown: the random choice in
`monsoontack.routing.picker` allows for them, and `estimated_fleet_requests`
extrapolates them.
"""

from collections.abc import Sequence

from monsoontack.core.records import ServerState


def estimated_requests(state: ServerState) -> float:
    """Return the estimated number of requests that run or wait at a server."""
    if state.load is None:
        return state.in_flight
    reported = state.load.running + state.load.queued
    return max(reported + _own_change_since_report(state), state.in_flight)


def estimated_fleet_requests(states: Sequence[ServerState], max_factor: float) -> float:
    """Return the estimated number of requests of all entries at all `states`.

    The change in this entry's own requests since the reports is scaled to all
    entries. The factor is the ratio of all requests to this entry's own requests at
    the time of the reports, limited to `max_factor`, the number of live entries.
    """
    reported = own_at_report = change = 0
    for state in states:
        own_change = _own_change_since_report(state)
        change += own_change
        own_at_report += state.in_flight - own_change
        if state.load is not None:
            reported += state.load.running + state.load.queued
    factor = min(max(reported / max(own_at_report, 1), 1.0), max_factor)
    own_now = sum(state.in_flight for state in states)
    return max(reported + factor * change, own_now)


def _own_change_since_report(state: ServerState) -> int:
    return state.sent_since_report - state.ended_since_report


def slot_count(state: ServerState) -> int:
    """Return how many requests the server runs at once, by its latest report."""
    slots = state.load.slots if state.load is not None else state.server.slots
    return max(slots, 1)


def utilisation(state: ServerState) -> float:
    """Return the estimated requests per slot; above 1, requests wait."""
    return estimated_requests(state) / slot_count(state)


def mean_utilisation(states: Sequence[ServerState]) -> float:
    """Return the requests per slot over all `states`, 0 if there are no slots."""
    slots = sum(slot_count(state) for state in states)
    return sum(estimated_requests(state) for state in states) / slots if slots else 0.0
