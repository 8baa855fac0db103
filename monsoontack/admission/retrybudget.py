"""Retry budget that keeps retries from multiplying the load of a failing service.

Each request adds a tenth of a retry to the budget, and a low constant rate lets an
entry with few requests retry at all. The budget has an upper bound, so that a long
quiet period does not allow a retry storm.
"""

from dataclasses import dataclass

RETRIES_PER_REQUEST = 0.1
MIN_RETRIES_PER_S = 0.5
MAX_SAVED_RETRIES = 20.0


@dataclass(slots=True, repr=False)
class RetryBudget:
    """Retry budget of one entry.

    `taken` counts retries, `denied` counts retries that the budget did not allow.
    """

    saved_retries: float = 2.0
    updated_at: float = 0.0
    taken: int = 0
    denied: int = 0

    def note_request(self) -> None:
        """Add a fraction of a retry for a first attempt."""
        self.saved_retries = min(
            self.saved_retries + RETRIES_PER_REQUEST, MAX_SAVED_RETRIES
        )

    def take(self, now: float) -> bool:
        """Take one retry from the budget; return False if none is left."""
        elapsed = max(now - self.updated_at, 0.0)
        self.saved_retries = min(
            self.saved_retries + MIN_RETRIES_PER_S * elapsed, MAX_SAVED_RETRIES
        )
        self.updated_at = now
        if self.saved_retries < 1:
            self.denied += 1
            return False
        self.saved_retries -= 1
        self.taken += 1
        return True
