"""Decides which new requests a draining process still takes.

A request is taken only if the longest of the recent ones of its route would end before
the drain does. A request that is refused at once goes to another process; one that the
end of the drain cuts has to be sent again, or must not be sent again because it may
have run. Streams differ in length, so each recent one counts with the time that it
would have taken for as many tokens as the new one may generate. Often that number is
only a bound, and a process that has just started has seen only short streams end. For
late streams it assumes the time of a long one until such a one could have ended.

Early in the drain, the balancer may send a refused caller back to the same process,
which is then told to wait until new connections go elsewhere.
"""

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

# Recent requests of a route that are kept: the last seconds of a busy route.
MAX_SAMPLES = 256
# Older samples show an earlier state of the servers. They count only while there are no
# newer ones.
RECENT_S = 60.0
# Routes whose times are kept; the one measured first is dropped.
MAX_ROUTES = 256
# Added to the longest recent time, since the end of a response has to reach the caller.
MARGIN_S = 0.1
# The same for a request that may run only once, since the next one may take longer, and
# its caller must not send it again.
RUN_ONCE_MARGIN_S = 0.5
# The balancer checks readiness every second and stops sending new connections after two
# failed checks. Until then, a refused request may come back to a draining process.
REDIRECT_S = 3.0
# A refused caller waits for at most this share of the time that it has left.
MAX_WAIT_SHARE = 1 / 3
# Added to the longest recent time for late streams. A sound engine may pause for about
# a second.
LATE_STREAM_MARGIN_S = 1.0
# A stream is late from this time on: before `REDIRECT_S`, since a busy process counts
# from when it handled the signal, and its caller from when that was sent.
LATE_AFTER_S = 2.5
# Assumed until a route has been measured. That of streams is the time of a long answer,
# and the least for a late one until one of that length could have ended.
INITIAL_CALL_S = 1.5
INITIAL_STREAM_S = 6.0


@dataclass(frozen=True, slots=True)
class Work:
    """What the time of a request is judged by.

    `max_tokens` is the number of tokens that a stream may generate, zero if its caller
    states none.
    """

    route: str
    is_stream: bool
    is_repeatable: bool
    max_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Sample:
    """A recent request of a route: its end (event loop's clock) and its time.

    `first_s` is the part of `took_s` up to the first event, for a stream that may
    generate `max_tokens`. A stream that `is_shorter` had fewer events than these
    tokens, or stated none, so that the next one may take longer.
    """

    at: float
    took_s: float
    first_s: float = 0.0
    max_tokens: int = 0
    is_shorter: bool = False

    @property
    def began_at(self) -> float:
        """When the request arrived (event loop's clock)."""
        return self.at - self.took_s

    def time_s(self, max_tokens: int) -> float:
        """Return the time that the request would have taken for other tokens."""
        if not max_tokens or not self.max_tokens:
            return self.took_s
        return self.first_s + (self.took_s - self.first_s) * (
            max_tokens / self.max_tokens
        )


@dataclass(slots=True, repr=False)
class DrainAdmission:
    """The drain, and how long the requests of each route take.

    `began_at` is the time at which the drain began, None while the process does not
    drain, and `ends_at` the time at which remaining requests are ended. `samples` holds
    the recent requests of each route.
    """

    began_at: float | None = None
    ends_at: float = 0.0
    samples: dict[str, deque[Sample]] = field(default_factory=dict)

    def begin(self, now: float, ends_at: float) -> None:
        """Begin the drain."""
        self.began_at, self.ends_at = now, ends_at

    def record(self, work: Work, sample: Sample, is_complete: bool) -> None:
        """Record a request that has ended.

        One that ended early shows only that the route takes at least as long.
        """
        if not is_complete and sample.took_s <= self.longest_s(work, sample.at):
            return
        samples = self.samples.get(work.route)
        if samples is None:
            if len(self.samples) >= MAX_ROUTES:
                del self.samples[next(iter(self.samples))]
            samples = self.samples[work.route] = deque(maxlen=MAX_SAMPLES)
        samples.append(sample)

    def longest_s(
        self, work: Work, now: float, running: Iterable[Sample] = ()
    ) -> float:
        """Return the longest time that a recent request would have taken for `work`.

        The samples in `running` have the time so far of requests that have not ended.
        """
        recent = self._recent(work, now)
        longest_s = max((item.time_s(work.max_tokens) for item in recent), default=None)
        if longest_s is None:
            longest_s = INITIAL_STREAM_S if work.is_stream else INITIAL_CALL_S
        return max([longest_s, *(item.time_s(work.max_tokens) for item in running)])

    def needed_s(self, work: Work, now: float, running: Iterable[Sample] = ()) -> float:
        """Return the time that must be left for a new request to be taken.

        The samples in `running` have the time so far of the requests of its route.
        """
        if not (work.is_repeatable or self.samples.get(work.route)):
            return float("inf")
        longest_s = self.longest_s(work, now, running)
        if self._is_late_stream(work, now) and self._lacks_long_streams(work, now):
            longest_s = max(longest_s, INITIAL_STREAM_S)
        return longest_s + self._margin_s(work, now)

    def _is_late_stream(self, work: Work, now: float) -> bool:
        return work.is_stream and now >= self.began_at + LATE_AFTER_S

    def _lacks_long_streams(self, work: Work, now: float) -> bool:
        """Whether long streams of a route may be missing among those that have ended.

        Soon after the start of the process, only short ones can have ended. Their
        tokens tell nothing if they had fewer events than the tokens that were stated.
        """
        recent = self._recent(work, now)
        if len(recent) >= MAX_SAMPLES or not any(s.is_shorter for s in recent):
            return False
        return min(s.began_at for s in recent) > self.began_at - INITIAL_STREAM_S

    def _recent(self, work: Work, now: float) -> Sequence[Sample]:
        samples = self.samples.get(work.route, ())
        return [item for item in samples if item.at > now - RECENT_S] or samples

    def retry_after_s(self, now: float, left_s: float) -> float:
        """Return when a refused request should be sent again, as seconds from now.

        `left_s` is the time up to the deadline of its caller.
        """
        wait_s = self.began_at + REDIRECT_S - now
        return max(min(wait_s, left_s * MAX_WAIT_SHARE), 0.0)

    def _margin_s(self, work: Work, now: float) -> float:
        if self._is_late_stream(work, now):
            return LATE_STREAM_MARGIN_S
        return MARGIN_S if work.is_repeatable else RUN_ONCE_MARGIN_S
