"""Checks that gateways keep to what engines say of themselves in answers."""

from soak.callers import ObservedRequest
from soak.environment import SoakEnvironment

# The users' rules. A request that a caller sent later than this time after a gateway
# passed on an answer that says so must not reach the leaving engine.
DRAIN_S = 2.5
# Between this time after a 503 with `Retry-After` and its end, at most this many
# requests of a gateway reach the engine.
WAIT_SLACK_S = 0.5
MAX_IN_WAIT = 2
MAX_CHECKED_WAIT_S = 60.0


def gateway_of(request_id: str) -> str:
    """Return the name of the gateway that a request was sent to."""
    return request_id.split("-", 2)[2]


def find_statement_violations(
    environment: SoakEnvironment, observed: list[ObservedRequest]
) -> list[str]:
    """Return a description of each request that an engine's statement forbids.

    Requests of gateways that got a signal or were started meanwhile do not count.
    """
    sent_at = {item.request_id: item.sent_at for item in observed}
    passed_on: dict[tuple[str, str], float] = {}
    for gateway, engine, at in environment.leaving_answers:
        passed_on.setdefault((gateway, engine), at)
    violations = []
    for engine in environment.engines:
        for request_id, at in engine.requests:
            gateway = gateway_of(request_id)
            since = passed_on.get((gateway, engine.name))
            if since is None or sent_at.get(request_id, 0.0) <= since + DRAIN_S:
                continue
            if not _was_disturbed(environment, gateway, since, at):
                violations.append(
                    f"{request_id} reached {engine.name} {at - since:.2f} s after an "
                    "answer that said that it is leaving"
                )
        violations += _check_waits(environment, engine)
    return violations


def _check_waits(environment: SoakEnvironment, engine) -> list[str]:
    violations = []
    for request_id, said_at, text in engine.waits_said:
        try:
            wait_s = float(text)
        except ValueError:
            continue
        if not 0 < wait_s <= MAX_CHECKED_WAIT_S:
            continue
        gateway, until = gateway_of(request_id), said_at + wait_s
        early = [
            other
            for other, at in engine.requests
            if gateway_of(other) == gateway and said_at + WAIT_SLACK_S < at < until
        ]
        is_excused = _was_disturbed(environment, gateway, said_at, until) or any(
            began_at < until and said_at < ended_at
            for began_at, ended_at in environment.blocked_intervals
        )
        if len(early) > MAX_IN_WAIT and not is_excused:
            violations.append(
                f"{early[0]} and {len(early) - 1} more reached {engine.name} within "
                f"{wait_s:.2f} s for which it wanted none"
            )
    return violations


def _was_disturbed(
    environment: SoakEnvironment, gateway: str, since: float, until: float
) -> bool:
    """Return whether a gateway got a signal or was started in a time."""
    return any(
        name == gateway and since <= at <= until
        for name, at in environment.disturbances
    )
