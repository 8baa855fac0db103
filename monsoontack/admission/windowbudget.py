"""Repeats within a sliding window, as a share of the requests in it.

Where the bound on repeats is given for any window of a fixed length, counting the
window itself uses all of it: a lost failure domain needs many repeats at once,
which a bucket that fills slowly would deny.
"""

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class WindowBudget:
    """Repeats that may still be made; `taken` and `denied` count.

    In any `window_s` seconds at most `ratio` repeats for each request in it, and
    `extra` more, are allowed.
    """

    ratio: float
    extra: float
    window_s: float
    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)
    taken: int = 0
    denied: int = 0

    def note_request(self, now: float) -> None:
        """Count a first attempt."""
        self.requests.append(now)
        self._expire(now)

    def left(self, now: float) -> float:
        """Return how many repeats may be made now."""
        self._expire(now)
        allowed = self.ratio * len(self.requests) + self.extra
        return allowed - len(self.repeats)

    def take(self, now: float) -> bool:
        """Take one repeat; return False if the window's budget is used up."""
        if self.left(now) < 1:
            self.denied += 1
            return False
        self.repeats.append(now)
        self.taken += 1
        return True

    def _expire(self, now: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] <= now - self.window_s:
                times.popleft()
