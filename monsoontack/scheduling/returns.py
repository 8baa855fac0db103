"""Times at which refused callers should return, and their place when they do.

Written for callers that all return at the time they were told: they would compete anew
with the requests that arrived meanwhile. Return times follow each other at the rate at
which requests begin, in the order of the refusals, and a caller that returns at its
time keeps its place in the order.
"""

from dataclasses import dataclass, field

from monsoontack.scheduling.urgency import WaitingRequest

# Callers ignore a `Retry-After` above this share of the time that they have left.
MAX_WAIT_SHARE = 1 / 3
# Shorter waits would end before a wake-up can change anything.
MIN_RETRY_S = 0.1
# A caller returns at its time plus the time to connect; one that comes later than this
# has lost its place.
RETURN_WINDOW_S = 1.0
# A caller may be early by the rounding of the header.
EARLY_S = 0.05
# Names of refused requests that are kept: two for each refusal, those of some seconds.
MAX_PROMISES = 4_000


@dataclass(frozen=True, slots=True)
class Promise:
    """The time at which a refused caller should return, and its former place."""

    at: float
    arrived_at: float
    objective_at: float


@dataclass(slots=True, repr=False)
class ReturnSchedule:
    """Return times of the refused callers of one service.

    `next_at` is the first time that was given to nobody yet.
    """

    promises: dict[str, Promise] = field(default_factory=dict)
    next_at: float = 0.0

    def refuse(
        self, request: WaitingRequest, room_at: float, spacing_s: float, now: float
    ) -> float:
        """Return after how many seconds a refused caller should return.

        `room_at` is the time at which there will be room for the request if no other
        caller returns before, `spacing_s` the time in which one request begins.
        """
        at = max(self.next_at, room_at)
        longest_s = MAX_WAIT_SHARE * max(request.deadline_at - now, 0.0)
        if at <= now + longest_s:
            self.next_at = at + spacing_s
        retry_s = min(max(at - now, MIN_RETRY_S), longest_s)
        promise = Promise(now + retry_s, request.arrived_at, request.objective_at)
        for key in request.keys:
            self.promises.pop(key, None)
            self.promises[key] = promise
        while len(self.promises) > MAX_PROMISES:
            del self.promises[next(iter(self.promises))]
        return retry_s

    def restore(self, request: WaitingRequest, now: float) -> bool:
        """Give a caller that returns at its time its former place.

        Return whether the caller had one.
        """
        found = [self.promises.pop(key, None) for key in request.keys]
        promise = next((item for item in found if item is not None), None)
        if promise is None:
            return False
        if not promise.at - EARLY_S <= now <= promise.at + RETURN_WINDOW_S:
            return False
        request.arrived_at = min(request.arrived_at, promise.arrived_at)
        request.objective_at = min(request.objective_at, promise.objective_at)
        return True
