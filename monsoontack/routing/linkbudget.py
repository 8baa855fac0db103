"""Byte budget of the paid link between regions, with bytes counted per cause.

Requests go one way and their answers the other, so the entries of each region
divide one direction's rate among themselves; with a similar mix in both regions
neither direction exceeds it (docs/routing.md compares other divisions). A cause
may use tokens down to its own floor, which keeps a
reserve for resuming running answers. A request is let through while tokens are
above the floor and may leave a debt, because its size is only an estimate.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import Protocol

LINK_BYTES_PER_S = 15_000_000 / 8
BURST_S = 1.0
# Part of the burst that a cause must leave to the causes above it.
FLOORS = {"resume": 0.0, "call": 0.25, "request": 0.25, "hedge": 0.6}
DEFAULT_FLOOR = 0.25


class LinkBudget(Protocol):
    """Decides whether a request may use the link between regions."""

    def take(self, cause: str, n_bytes: int, now: float) -> bool:
        """Take `n_bytes` for a request of `cause`; return whether it may go."""
        ...

    def charge(self, cause: str, n_bytes: int, now: float) -> None:
        """Count bytes that were or will be sent in any case."""
        ...

    def wait_s(self, cause: str, now: float) -> float:
        """Return the seconds until a request of `cause` may go."""
        ...


@dataclass(slots=True)
class TokenBucket:
    """Tokens that refill at `rate` per second up to `burst`; debt is allowed."""

    rate: float
    burst: float
    tokens: float
    updated_at: float

    @classmethod
    def full(cls, rate: float, burst_s: float, now: float) -> "TokenBucket":
        """Return a full bucket that holds `burst_s` seconds of `rate`."""
        return cls(rate, rate * burst_s, rate * burst_s, now)

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last call."""
        elapsed = max(now - self.updated_at, 0.0)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.updated_at = max(now, self.updated_at)

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate and scale the burst with it."""
        self.refill(now)
        burst_s = self.burst / self.rate
        self.rate, self.burst = rate, rate * burst_s
        self.tokens = min(self.tokens, self.burst)

    def wait_s(self, floor: float, now: float) -> float:
        """Return the seconds until the tokens are above `floor`."""
        self.refill(now)
        return max(floor - self.tokens, 0.0) / self.rate


@dataclass(slots=True)
class LocalShare:
    """Fixed part of the link's rate for one entry, without coordination.

    `sent` counts bytes and `refused` requests per cause.
    """

    bucket: TokenBucket
    total_rate: float = LINK_BYTES_PER_S
    sent: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)

    @classmethod
    def for_entries(
        cls, live_entries: int, now: float, total_rate: float = LINK_BYTES_PER_S
    ) -> "LocalShare":
        """Return the budget of one of `live_entries` entries of its region."""
        rate = total_rate / max(live_entries, 1)
        return cls(TokenBucket.full(rate, BURST_S, now), total_rate)

    def resize(self, live_entries: int, now: float) -> None:
        """Follow a change in the number of live entries of the region."""
        self.bucket.set_rate(self.total_rate / max(live_entries, 1), now)

    def take(self, cause: str, n_bytes: int, now: float) -> bool:
        """Take `n_bytes` for a request of `cause`; return whether it may go."""
        self.bucket.refill(now)
        if self.bucket.tokens <= self._floor(cause):
            self.refused[cause] += 1
            return False
        self.charge(cause, n_bytes, now)
        return True

    def charge(self, cause: str, n_bytes: int, now: float) -> None:
        """Count bytes that were or will be sent in any case."""
        self.bucket.refill(now)
        self.bucket.tokens -= n_bytes
        self.sent[cause] += n_bytes

    def wait_s(self, cause: str, now: float) -> float:
        """Return the seconds until a request of `cause` may go."""
        return self.bucket.wait_s(self._floor(cause), now)

    def _floor(self, cause: str) -> float:
        return FLOORS.get(cause, DEFAULT_FLOOR) * self.bucket.burst
