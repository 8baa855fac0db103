"""Write budget and store health, which refuse calls before any store call."""

from dataclasses import dataclass

FLEET_WRITES_PER_S = 200.0
# The claim, the outcome, and the removal of the record after its expiry.
WRITES_PER_CALL = 3.0
BURST_S = 2.0
MIN_BURST_CALLS = 2
PROBE_INTERVAL_S = 0.5
FAILURES_UNTIL_DOWN = 2


@dataclass(slots=True)
class WriteBudget:
    """This entry's share of the fleet's writes to call records.

    The fleet budget is split evenly among `live_entries`. A token bucket holds
    `BURST_S` seconds of the share.
    """

    live_entries: int = 1
    fleet_writes_per_s: float = FLEET_WRITES_PER_S
    level: float = 0.0
    filled_at: float | None = None

    @property
    def rate(self) -> float:
        """Writes a second of this entry."""
        return self.fleet_writes_per_s / max(self.live_entries, 1)

    @property
    def capacity(self) -> float:
        """Writes that may be saved up."""
        return max(self.rate * BURST_S, MIN_BURST_CALLS * WRITES_PER_CALL)

    def _fill(self, now: float) -> None:
        if self.filled_at is None:
            self.level = self.capacity
        else:
            self.level += (now - self.filled_at) * self.rate
        self.level = min(self.level, self.capacity)
        self.filled_at = now

    def take_call(self, now: float) -> float | None:
        """Reserve the writes of one call.

        Returns None if they were reserved, else the seconds until they can be.
        """
        self._fill(now)
        if self.level < WRITES_PER_CALL:
            return (WRITES_PER_CALL - self.level) / self.rate
        self.level -= WRITES_PER_CALL
        return None

    def give_back(self, writes: float) -> None:
        """Return reserved writes that were not made."""
        self.level = min(self.level + writes, self.capacity)


@dataclass(slots=True)
class StoreHealth:
    """Whether the store answers; while it does not, one call at a time probes it."""

    failures: int = 0
    next_probe_at: float = 0.0

    @property
    def is_down(self) -> bool:
        """Whether the last calls all failed."""
        return self.failures >= FAILURES_UNTIL_DOWN

    def allow(self, now: float) -> bool:
        """Return whether a call may be sent now; a probe counts as sent."""
        if not self.is_down:
            return True
        if now < self.next_probe_at:
            return False
        self.next_probe_at = now + PROBE_INTERVAL_S
        return True

    def record(self, answered: bool, now: float) -> None:
        """Note whether the store answered a call."""
        if answered:
            self.failures = 0
            return
        self.failures += 1
        self.next_probe_at = now + PROBE_INTERVAL_S
