"""Budget that keeps retries from multiplying the load of a failing service.

Each request earns a tenth of a retry, and a small trickle lets a quiet entry
retry at all. Earned retries are kept for a bounded time only, so a long quiet
period doesn't pay for a storm.
"""

from dataclasses import dataclass

RETRIES_PER_REQUEST = 0.1
FLOOR_PER_S = 0.5
MAX_SAVED = 20.0


@dataclass(slots=True)
class RetryBudget:
    """Retries that one entry may still make. `taken` and `denied` count."""

    saved: float = 2.0
    updated_at: float = 0.0
    taken: int = 0
    denied: int = 0

    def note_request(self) -> None:
        """Earn part of a retry for a first attempt."""
        self.saved = min(self.saved + RETRIES_PER_REQUEST, MAX_SAVED)

    def take(self, now: float) -> bool:
        """Take one retry; return False if the budget is used up."""
        elapsed = max(now - self.updated_at, 0.0)
        self.saved = min(self.saved + FLOOR_PER_S * elapsed, MAX_SAVED)
        self.updated_at = now
        if self.saved < 1:
            self.denied += 1
            return False
        self.saved -= 1
        self.taken += 1
        return True
