"""Hedging of late idempotent lookups within a budget.

A lookup without an answer after the recent 95th percentile of its service's latency
is also sent to a second server, and the first answer is used. If the second answer
would then miss the objective, the lookup is sent earlier, but not before twice the
usual latency. Hedges are limited to 5% of lookups, so that a service that is slow as a
whole gets little additional load; the gateway limits them by its retry budgets.
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
# Time left for the second server, in usual latencies, and the least delay. Servers that
# are slow for a while take 2.5 times as long, so a call is then slow for certain.
SECOND_SERVER_FACTOR = 2.0
MIN_DELAY_FACTOR = 2.0


@dataclass(slots=True, repr=False)
class RecentLatencies:
    """Recent latencies of one service, their 95th percentile and their median.

    `delay_s` is the percentile, `usual_s` the median; both are in seconds.
    """

    samples_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=LATENCY_WINDOW_SAMPLES)
    )
    count: int = 0
    delay_s: float | None = None
    usual_s: float = 0.0

    def record(self, latency_s: float) -> None:
        """Add a latency and recompute the percentile at intervals."""
        self.samples_s.append(latency_s)
        self.count += 1
        if self.count >= MIN_SAMPLES and self.count % RECOMPUTE_INTERVAL_SAMPLES == 0:
            ordered = sorted(self.samples_s)
            quantile_s = ordered[int(HEDGE_QUANTILE * (len(ordered) - 1))]
            self.delay_s = max(quantile_s, MIN_DELAY_S)
            self.usual_s = ordered[len(ordered) // 2]

    def delay_within_s(self, objective_s: float) -> float | None:
        """Return the delay after which a second answer may still be in time."""
        if self.delay_s is None or objective_s <= 0:
            return self.delay_s
        latest_s = objective_s - SECOND_SERVER_FACTOR * self.usual_s
        return min(self.delay_s, max(latest_s, MIN_DELAY_FACTOR * self.usual_s))


@dataclass(slots=True, repr=False)
class Hedging:
    """Hedging budget and delays of one entry.

    `sent` counts hedges, `denied` counts hedges that the budget did not allow.
    """

    saved_hedges: float = 1.0
    latencies: dict[str, RecentLatencies] = field(default_factory=dict)
    sent: int = 0
    denied: int = 0

    def delay_s(
        self, service: str, idempotent: bool, objective_s: float = 0.0
    ) -> float | None:
        """Return the seconds after which a call may be hedged, None for never.

        `objective_s` is the time in which the answer is due, 0 if there is none. Each
        idempotent call adds a fraction of a hedge to the budget.
        """
        if not idempotent:
            return None
        self.saved_hedges = min(self.saved_hedges + HEDGES_PER_LOOKUP, MAX_SAVED_HEDGES)
        latencies = self.latencies.get(service)
        return None if latencies is None else latencies.delay_within_s(objective_s)

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
