"""Documented guarantees, checked against the observations of callers and engines."""

from collections import Counter, defaultdict

from bench.limitmodel import (
    SETTLE_S,
    WINDOW_S,
    allowed_arrivals,
    most_arrivals,
)
from bench.promptmodel import (
    CRASHES_TO_LEARN,
    CRASHES_TO_LEARN_A_REQUEST,
    MAX_LATE_ARRIVALS,
)
from monsoontack.admission.crashguard import MAX_BROKEN_OFF
from soak.callers import REFUSAL_STATUSES, ObservedRequest
from soak.environment import MEMORY_LIMIT_MB, SoakEnvironment
from standins.directengine import SSE_COMMENT, EndlessResponse, make_event

# End of the violation of a stream that has all its events.
LACKS_END = "and lacks only its end"
# Statuses that guarantee that the request has not run and will never run.
NOT_RUN_STATUSES = REFUSAL_STATUSES | {401, 404}
REVOCATION_LIMIT_S = 5.0
COPY_HEADER = b"kv-from"
# Service of the route of each kind of request.
SERVICES = {"once": "desk", "look": "desk", "stream": "planner"}
# Bytes that a server can send before its connection is closed: the gateway's limit
# (64 KiB) plus the content of the buffers of two sockets and of a TCP proxy.
MAX_DISCARDED_BYTES = 2_000_000
# Timeout of all routes, and the time by which a response at the timeout may be early.
ROUTE_TIMEOUT_S = 5.0
EARLY_END_SLACK_S = 0.2
COMPLETE_STREAM = b"".join(make_event(number) for number in range(1, 51))


def find_violations(
    environment: SoakEnvironment, observed: list[ObservedRequest]
) -> list[str]:
    """Return a description of each violated invariant."""
    runs = defaultdict(list)
    violations = [
        f"a gateway ended by itself: {text}" for text in environment.unexpected_exits
    ]
    for engine in environment.engines:
        for request_id, headers, _ in engine.runs:
            runs[request_id].append(engine.name)
            violations += _check_service(engine, request_id, headers)
    for engine in environment.engines:
        violations += [
            f"{engine.name} sent {item.sent_bytes} bytes of an endless response "
            f"from {item.began_at:.2f} to {item.ended_at:.2f}; the proxies discarded "
            f"{_discarded_bytes(environment, item)} bytes meanwhile"
            for item in engine.endless_responses
            if item.sent_bytes > MAX_DISCARDED_BYTES
            and not _was_blocked(environment, item)
        ]
    violations += [
        f"{name} took {mb} MB of memory"
        for name, mb in environment.memory_mb()
        if mb > MEMORY_LIMIT_MB
    ]
    for item in observed:
        violations += _check_answer(item, runs[item.request_id])
        violations += _check_key(environment, item, runs[item.request_id])
        violations += _check_end(environment, item)
    for engine, limit, began_at, ended_at in environment.limit_spans:
        violations += _check_limit(engine, limit, began_at, ended_at)
    violations += _check_late_arrivals(environment)
    crashes = Counter(
        request_id
        for engine in environment.engines
        for *_, request_id in engine.crashes
    )
    violations += [
        f"{request_id} crashed {count} engines"
        for request_id, count in crashes.items()
        if count > MAX_BROKEN_OFF
    ]
    known = {item.request_id for item in observed}
    violations += [
        f"{name} ran, but nobody sent it" for name in set(runs) - known if runs[name]
    ]
    return violations


def _check_service(engine, request_id: str, headers: dict) -> list[str]:
    """Return a violation if an engine ran a request of another service."""
    if SERVICES.get(request_id.partition("-")[0]) == engine.service:
        return []
    copy = headers.get(COPY_HEADER, b"no copy").decode()
    return [f"{request_id} ran at {engine.name} of {engine.service} from {copy}"]


def _check_late_arrivals(environment: SoakEnvironment) -> list[str]:
    """Return the deadly parts and calls that were sent too often after some crashes.

    That is the fifth crash on a part of prompts, the third of a call.
    What a gateway sends soon after a signal or a start does not count: it may not have
    heard of the crashes.
    """
    arrivals, crashes = defaultdict(list), defaultdict(list)
    for engine in environment.engines:
        for part, at in engine.deadly_arrivals:
            arrivals[part].append(at)
        for part, at, _ in engine.crashes:
            crashes[part].append(at)
    violations = []
    for part, times in crashes.items():
        is_call = part in environment.deadly_calls
        least = CRASHES_TO_LEARN_A_REQUEST if is_call else CRASHES_TO_LEARN
        since = sorted(times)[:least][-1] + WINDOW_S
        late = [
            at
            for at in arrivals[part]
            if at > since
            and not any(at - WINDOW_S < x <= at for x in environment.disturbed_at)
        ]
        if len(times) >= least and len(late) > MAX_LATE_ARRIVALS:
            violations.append(
                f"{part} was sent {len(late)} times after {least} crashes"
            )
    return violations


def _check_limit(engine, limit: float, began_at: float, ended_at: float) -> list[str]:
    """Return a violation if the engine got more requests than its limit allows."""
    arrivals = [at for at in engine.arrivals if at < ended_at]
    most = most_arrivals(arrivals, began_at + SETTLE_S)
    allowed = allowed_arrivals(limit)
    if most <= allowed:
        return []
    return [
        f"{engine.name} with a limit of {limit:.2f} a second got {most} requests in "
        f"{WINDOW_S:g} s; allowed {allowed:.1f}"
    ]


def _was_blocked(environment: SoakEnvironment, item: EndlessResponse) -> bool:
    """Return whether a fault may have kept the bytes from the gateway.

    A gateway that has not received the bytes need not have closed the connection.
    """
    return any(
        a < item.ended_at and item.began_at < b
        for a, b in environment.blocked_intervals
    )


def _discarded_bytes(environment: SoakEnvironment, item: EndlessResponse) -> int:
    """Return how many bytes for gateways all proxies discarded during a response."""
    return sum(
        size
        for proxied in environment.proxied_engines
        for at, size in proxied.proxy.discarded
        if item.began_at <= at <= item.ended_at
    )


def _check_answer(item: ObservedRequest, runs: list[str]) -> list[str]:
    violations = []
    if item.kind == "once" and len(runs) > 1:
        violations.append(f"{item.request_id} ran {len(runs)} times: {runs}")
    if item.kind == "once" and item.status in NOT_RUN_STATUSES and runs:
        violations.append(f"{item.request_id} got {item.status}, but ran at {runs}")
    if item.status != 200:
        return violations
    if item.kind == "stream":
        # The gateway forwards the engine's comments, which belong to no event, as they
        # arrive.
        events = item.body.replace(SSE_COMMENT, b"")
        if item.complete and events != COMPLETE_STREAM:
            violations.append(f"{item.request_id} ended as whole, but is not")
        if not COMPLETE_STREAM.startswith(events):
            violations.append(f"{item.request_id} has a gap or a repetition")
    elif item.complete and not item.body.endswith(f" for {item.request_id}".encode()):
        violations.append(f"{item.request_id} got the answer {item.body!r}")
    return violations


def _check_end(environment: SoakEnvironment, item: ObservedRequest) -> list[str]:
    """Return a violation if silent engines ended a request before its deadline.

    Only requests count that were sent while engines were silent, or paused inside
    answers, without other faults.
    A refusal, which promises that the request has not run, may come at any time.
    """
    began_at, ended_at = environment.silence_phase or (0.0, 0.0)
    took_s = item.ended_at - item.sent_at
    is_in_phase = began_at <= item.sent_at < ended_at
    is_answered = item.complete and item.status not in (500, 502, 504)
    if not is_in_phase or is_answered or took_s >= ROUTE_TIMEOUT_S - EARLY_END_SLACK_S:
        return []
    found = f"{item.request_id} ended after {took_s:.2f} s with {item.status}"
    lacks_end = item.body.replace(SSE_COMMENT, b"") == COMPLETE_STREAM
    return [f"{found} {LACKS_END}" if lacks_end else found]


def _check_key(
    environment: SoakEnvironment, item: ObservedRequest, runs: list[str]
) -> list[str]:
    # The sends before the last one were refused, which other checks hold to be true.
    for revocation in environment.revocations:
        late = (
            revocation.revoked_at + REVOCATION_LIMIT_S
            < item.last_sent_at
            < revocation.restored_at
        )
        if revocation.key == item.key and late and runs:
            after_s = item.last_sent_at - revocation.revoked_at
            return [f"{item.request_id} ran {after_s:.1f} s after its key was revoked"]
    return []
