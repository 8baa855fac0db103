"""Second copies of late idempotent lookups, within a budget.

A lookup that has no answer after the recent 95th percentile of its service is
sent to another server as well, and the first answer wins. Hedges are limited to
5% of lookups, so a service that slows down as a whole isn't loaded further.
"""

from collections import deque
from dataclasses import dataclass, field

HEDGES_PER_LOOKUP = 0.05
MAX_SAVED = 5.0
WINDOW = 256
MIN_SAMPLES = 20
QUANTILE = 0.95
RECOMPUTE_EVERY = 16
MIN_DELAY_S = 0.005


@dataclass(slots=True)
class LookupTimes:
    """Recent answer times of one service and their 95th percentile."""

    recent: deque[float] = field(default_factory=lambda: deque(maxlen=WINDOW))
    count: int = 0
    delay_s: float | None = None

    def record(self, latency_s: float) -> None:
        """Add an answer time in seconds."""
        self.recent.append(latency_s)
        self.count += 1
        if self.count >= MIN_SAMPLES and self.count % RECOMPUTE_EVERY == 0:
            ordered = sorted(self.recent)
            late = ordered[int(QUANTILE * (len(ordered) - 1))]
            self.delay_s = max(late, MIN_DELAY_S)


@dataclass(slots=True)
class Hedging:
    """Hedging decisions of one entry. `sent` and `denied` count hedges."""

    saved: float = 1.0
    times: dict[str, LookupTimes] = field(default_factory=dict)
    sent: int = 0
    denied: int = 0

    def delay_s(self, service: str, idempotent: bool) -> float | None:
        """Return the seconds after which a call may be hedged, None for never.

        Earns part of a hedge for each idempotent call.
        """
        if not idempotent:
            return None
        self.saved = min(self.saved + HEDGES_PER_LOOKUP, MAX_SAVED)
        times = self.times.get(service)
        return times.delay_s if times is not None else None

    def take(self) -> bool:
        """Take one hedge when the delay is over; False if none is left."""
        if self.saved < 1:
            self.denied += 1
            return False
        self.saved -= 1
        self.sent += 1
        return True

    def record(self, service: str, latency_s: float) -> None:
        """Count the answer time of a first copy, also one that was hedged.

        For an abandoned copy it is the time it was waited for. Leaving those
        out would lower the percentile until every lookup is hedged.
        """
        self.times.setdefault(service, LookupTimes()).record(latency_s)
