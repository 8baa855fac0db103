"""Retry budget over a sliding window, as a ratio of the requests in the window.

The bound on retries holds for any window of a fixed length, and counting within a
sliding window allows the full bound at once. The loss of a failure domain needs many
retries at once, which a token bucket that refills slowly would deny.
"""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True, repr=False)
class WindowBudget:
    """Retry budget over a sliding window.

    In any `window_s` seconds, at most `ratio` retries for each request and `extra`
    additional retries are allowed. `taken` counts retries, `denied` counts retries
    that the budget did not allow.
    """

    ratio: float
    extra: float
    window_s: float
    request_times: deque[float] = field(default_factory=deque)
    retry_times: deque[float] = field(default_factory=deque)
    taken: int = 0
    denied: int = 0

    def note_request(self, now: float) -> None:
        """Count a first attempt."""
        self.request_times.append(now)
        self._expire(now)

    def left(self, now: float) -> float:
        """Return how many retries are allowed now."""
        self._expire(now)
        allowed = self.ratio * len(self.request_times) + self.extra
        return allowed - len(self.retry_times)

    def take(self, now: float) -> bool:
        """Take one retry from the budget; return False if none is left."""
        if self.left(now) < 1:
            self.denied += 1
            return False
        self.retry_times.append(now)
        self.taken += 1
        return True

    def _expire(self, now: float) -> None:
        for times in (self.request_times, self.retry_times):
            while times and times[0] <= now - self.window_s:
                times.popleft()
