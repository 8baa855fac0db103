"""Decides which new requests a draining process still takes.

A request is taken only if it can be expected to end before the drain does, judged by
how long earlier requests of its route took. A request that is refused at once goes to
another process; one that the end of the drain cuts has to be sent again, or must not
be sent again because it may have run. Requests that may run only once are judged by
the longest time that their route took lately.
"""

from collections import deque
from dataclasses import dataclass, field

# Recent requests of a route that are kept: the last seconds of a busy route.
MAX_SAMPLES = 256
# Routes whose times are kept; the one measured first is dropped.
MAX_ROUTES = 256
# Share of the repeatable calls of a route that end within their expected time.
CALL_QUANTILE = 0.9
# Added to the expected time of a request that may be repeated, since its end has to
# reach the caller.
MARGIN_S = 0.1
# Added to the longest recent time of a request that may run only once, since the next
# one may take longer, and its caller must not send it again.
RUN_ONCE_MARGIN_S = 0.5
# Assumed until a route has been measured. That of streams is the time of a long answer.
INITIAL_CALL_S = 1.5
INITIAL_STREAM_S = 6.0


@dataclass(frozen=True, slots=True)
class Work:
    """What the time of a request is judged by: its route and what may be repeated."""

    route: str
    is_stream: bool
    is_repeatable: bool


@dataclass(slots=True)
class DrainAdmission:
    """The end of a drain, and how long the requests of each route take.

    `ends_at` is the time at which remaining requests are ended, None while the process
    does not drain. `samples_s` holds the recent times of each route.
    """

    ends_at: float | None = None
    samples_s: dict[str, deque[float]] = field(default_factory=dict)

    def record(self, work: Work, took_s: float, is_complete: bool) -> None:
        """Record the time of a request.

        One that ended early shows only that the route takes at least as long.
        """
        if not is_complete and took_s <= self.expected_s(work):
            return
        samples = self.samples_s.get(work.route)
        if samples is None:
            if len(self.samples_s) >= MAX_ROUTES:
                del self.samples_s[next(iter(self.samples_s))]
            samples = self.samples_s[work.route] = deque(maxlen=MAX_SAMPLES)
        samples.append(took_s)

    def expected_s(self, work: Work) -> float:
        """Return the time that a new request needs to be taken during a drain.

        A stream that may be resumed goes on where it was cut, so its mean is enough.
        """
        samples = self.samples_s.get(work.route)
        if not samples:
            if not work.is_repeatable:
                return float("inf")
            return INITIAL_STREAM_S if work.is_stream else INITIAL_CALL_S
        if not work.is_repeatable:
            return max(samples) + RUN_ONCE_MARGIN_S
        if work.is_stream:
            return sum(samples) / len(samples) + MARGIN_S
        ordered = sorted(samples)
        return ordered[int(CALL_QUANTILE * (len(ordered) - 1))] + MARGIN_S

    def may_take(self, work: Work, wait_s: float, now: float) -> bool:
        """Whether to take a new request, which is answered within `wait_s`."""
        if self.ends_at is None:
            return True
        return now + min(self.expected_s(work), wait_s) < self.ends_at
