"""Write budget and store health check, applied before any store call."""

from dataclasses import dataclass

FLEET_WRITES_PER_S = 200.0
# Claim, outcome, and removal of the expired record.
WRITES_PER_CALL = 3.0
BURST_S = 2.0
MIN_BURST_CALLS = 2
PROBE_INTERVAL_S = 0.5
FAILURES_UNTIL_DOWN = 2


@dataclass(slots=True, repr=False)
class WriteBudget:
    """Token bucket for this entry's share of the fleet's call record writes.

    The fleet budget is split evenly among `live_entries`. The bucket holds up
    to `BURST_S` seconds of the share.
    """

    live_entries: int = 1
    fleet_writes_per_s: float = FLEET_WRITES_PER_S
    available_writes: float = 0.0
    refilled_at: float | None = None

    @property
    def writes_per_s(self) -> float:
        """Write rate granted to this entry."""
        return self.fleet_writes_per_s / max(self.live_entries, 1)

    @property
    def max_saved_writes(self) -> float:
        """Capacity of the token bucket, in writes."""
        return max(self.writes_per_s * BURST_S, MIN_BURST_CALLS * WRITES_PER_CALL)

    def _refill(self, now: float) -> None:
        if self.refilled_at is None:
            self.available_writes = self.max_saved_writes
        else:
            self.available_writes += (now - self.refilled_at) * self.writes_per_s
        self.available_writes = min(self.available_writes, self.max_saved_writes)
        self.refilled_at = now

    def reserve_call(self, now: float) -> float | None:
        """Reserve the writes of one call.

        Returns None on success, else the seconds until a reservation can succeed.
        """
        self._refill(now)
        if self.available_writes < WRITES_PER_CALL:
            return (WRITES_PER_CALL - self.available_writes) / self.writes_per_s
        self.available_writes -= WRITES_PER_CALL
        return None

    def release(self, writes: float) -> None:
        """Return unused reserved writes to the bucket."""
        self.available_writes = min(
            self.available_writes + writes, self.max_saved_writes
        )


@dataclass(slots=True, repr=False)
class StoreHealth:
    """Circuit breaker for store calls.

    While the store is down, one call per `PROBE_INTERVAL_S` may probe it.
    """

    failures: int = 0
    next_probe_at: float = 0.0

    @property
    def is_down(self) -> bool:
        """Whether the last `FAILURES_UNTIL_DOWN` calls all failed."""
        return self.failures >= FAILURES_UNTIL_DOWN

    def allow(self, now: float) -> bool:
        """Return whether a call may be sent now.

        While the store is down, a True result counts as a probe sent.
        """
        if not self.is_down:
            return True
        if now < self.next_probe_at:
            return False
        self.next_probe_at = now + PROBE_INTERVAL_S
        return True

    def record(self, answered: bool, now: float) -> None:
        """Record whether the store answered a call."""
        if answered:
            self.failures = 0
            return
        self.failures += 1
        self.next_probe_at = now + PROBE_INTERVAL_S
