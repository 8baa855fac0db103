"""Hedging of late idempotent lookups within a budget.

A lookup without an answer after the recent 95th percentile of its service's latency
is also sent to a second server, and the first answer is used. Hedges are limited to
5% of lookups, so that a service that is slow as a whole gets little additional load.
"""

from collections import deque
from dataclasses import dataclass, field

HEDGES_PER_LOOKUP = 0.05
MAX_SAVED_HEDGES = 5.0
LATENCY_WINDOW_SAMPLES = 256
MIN_SAMPLES = 20
HEDGE_QUANTILE = 0.95
RECOMPUTE_INTERVAL_SAMPLES = 16
MIN_DELAY_S = 0.005


@dataclass(slots=True)
class RecentLatencies:
    """Recent latencies of one service; `delay_s` is their 95th percentile."""

    samples_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=LATENCY_WINDOW_SAMPLES)
    )
    count: int = 0
    delay_s: float | None = None

    def record(self, latency_s: float) -> None:
        """Add a latency and recompute the percentile at intervals."""
        self.samples_s.append(latency_s)
        self.count += 1
        if self.count >= MIN_SAMPLES and self.count % RECOMPUTE_INTERVAL_SAMPLES == 0:
            ordered = sorted(self.samples_s)
            quantile_s = ordered[int(HEDGE_QUANTILE * (len(ordered) - 1))]
            self.delay_s = max(quantile_s, MIN_DELAY_S)


@dataclass(slots=True)
class Hedging:
    """Hedging budget and delays of one entry.

    `sent` counts hedges, `denied` counts hedges that the budget did not allow.
    """

    saved_hedges: float = 1.0
    latencies: dict[str, RecentLatencies] = field(default_factory=dict)
    sent: int = 0
    denied: int = 0

    def delay_s(self, service: str, idempotent: bool) -> float | None:
        """Return the seconds after which a call may be hedged, None for never.

        Each idempotent call adds a fraction of a hedge to the budget.
        """
        if not idempotent:
            return None
        self.saved_hedges = min(self.saved_hedges + HEDGES_PER_LOOKUP, MAX_SAVED_HEDGES)
        latencies = self.latencies.get(service)
        return latencies.delay_s if latencies is not None else None

    def take(self) -> bool:
        """Take one hedge from the budget; return False if none is left."""
        if self.saved_hedges < 1:
            self.denied += 1
            return False
        self.saved_hedges -= 1
        self.sent += 1
        return True

    def record(self, service: str, latency_s: float) -> None:
        """Record the latency of a first attempt, also if the call was hedged.

        For an abandoned attempt, `latency_s` is the time spent waiting for it. Omitting
        abandoned attempts would lower the percentile until every lookup is hedged.
        """
        self.latencies.setdefault(service, RecentLatencies()).record(latency_s)
