"""Byte budget of the paid link between regions, with bytes counted per cause.

Requests and their answers cross the link in opposite directions, so the entries of
each region divide the rate of one direction among themselves. With a similar mix
of requests in both regions, neither direction exceeds its rate (docs/routing.md
compares other divisions). A request is admitted while the bucket holds more tokens
than requests of its cause must leave, which reserves bytes for the resumption of
running answers. An admitted request may drive the bucket negative, because its size
is only an estimate.
"""

from collections import Counter
from dataclasses import dataclass, field
from typing import Protocol

LINK_BYTES_PER_S = 15_000_000 / 8
BURST_S = 1.0
# Share of the burst that requests of a cause must leave for causes of higher priority.
RESERVED_BURST_SHARES = {"resume": 0.0, "call": 0.25, "request": 0.25, "hedge": 0.6}
DEFAULT_RESERVED_SHARE = 0.25


class LinkBudget(Protocol):
    """Limits the bytes that requests send over the link between regions."""

    def take(self, cause: str, n_bytes: int, now: float) -> bool:
        """Take `n_bytes` for a request of `cause`; return whether it may be sent."""
        ...

    def charge(self, cause: str, n_bytes: int, now: float) -> None:
        """Charge bytes that are sent regardless of the budget."""
        ...

    def wait_s(self, cause: str, now: float) -> float:
        """Return the seconds until a request of `cause` may be sent."""
        ...


@dataclass(slots=True, repr=False)
class TokenBucket:
    """Token bucket that refills at `rate` per second up to `burst`.

    `tokens` may become negative.
    """

    rate: float
    burst: float
    tokens: float
    updated_at: float

    @classmethod
    def full(cls, rate: float, burst_s: float, now: float) -> "TokenBucket":
        """Return a full bucket whose burst is `burst_s` seconds of `rate`."""
        return cls(rate, rate * burst_s, rate * burst_s, now)

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last refill."""
        elapsed = max(now - self.updated_at, 0.0)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate)
        self.updated_at = max(now, self.updated_at)

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate and scale the burst in proportion."""
        self.refill(now)
        burst_s = self.burst / self.rate
        self.rate, self.burst = rate, rate * burst_s
        self.tokens = min(self.tokens, self.burst)

    def wait_s(self, reserved_tokens: float, now: float) -> float:
        """Return the seconds until the bucket holds `reserved_tokens`."""
        self.refill(now)
        return max(reserved_tokens - self.tokens, 0.0) / self.rate


@dataclass(slots=True, repr=False)
class EntryLinkBudget:
    """Equal share of the link's rate for one entry, without coordination.

    `sent` counts bytes and `refused` counts requests, both per cause.
    """

    bucket: TokenBucket
    link_bytes_per_s: float = LINK_BYTES_PER_S
    sent: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)

    @classmethod
    def for_entries(
        cls, live_entries: int, now: float, link_bytes_per_s: float = LINK_BYTES_PER_S
    ) -> "EntryLinkBudget":
        """Return the budget of one entry in a region with `live_entries` entries."""
        rate = link_bytes_per_s / max(live_entries, 1)
        return cls(TokenBucket.full(rate, BURST_S, now), link_bytes_per_s)

    def set_entry_count(self, live_entries: int, now: float) -> None:
        """Adapt the rate to a new number of live entries in the region."""
        self.bucket.set_rate(self.link_bytes_per_s / max(live_entries, 1), now)

    def take(self, cause: str, n_bytes: int, now: float) -> bool:
        """Take `n_bytes` for a request of `cause`; return whether it may be sent."""
        self.bucket.refill(now)
        if self.bucket.tokens <= self._reserved_tokens(cause):
            self.refused[cause] += 1
            return False
        self.charge(cause, n_bytes, now)
        return True

    def charge(self, cause: str, n_bytes: int, now: float) -> None:
        """Charge bytes that are sent regardless of the budget."""
        self.bucket.refill(now)
        self.bucket.tokens -= n_bytes
        self.sent[cause] += n_bytes

    def wait_s(self, cause: str, now: float) -> float:
        """Return the seconds until a request of `cause` may be sent."""
        return self.bucket.wait_s(self._reserved_tokens(cause), now)

    def _reserved_tokens(self, cause: str) -> float:
        return (
            RESERVED_BURST_SHARES.get(cause, DEFAULT_RESERVED_SHARE) * self.bucket.burst
        )
