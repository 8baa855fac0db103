"""Protocols that the ledger needs from its process."""

from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from monsoontack.ledger.records import DispatchResult, ServiceCall


class Dispatcher(Protocol):
    """Sends a call to the agent of a backend server and waits for the result."""

    async def dispatch(
        self,
        call: ServiceCall,
        fence: int,
        latest_start_unix_s: float,
        excluded: frozenset[str],
    ) -> DispatchResult:
        """Send the call once, to one backend server outside `excluded`.

        It ends within the call's timeout and never raises: a lost answer gives
        `unknown`. `fence` and `latest_start_unix_s` are 0 for idempotent calls.
        """
        ...


class RetryBudget(Protocol):
    """Limits retries to a share of the requests."""

    def record_request(self, now: float) -> None:
        """Note a first attempt."""
        ...

    def take_retry(self, now: float) -> bool:
        """Return whether one more attempt is within the budget, and count it."""
        ...


@dataclass(slots=True)
class FixedRetryBudget:
    """Retries up to `share` of the requests of the last `span_s` plus a floor."""

    share: float = 0.1
    floor: int = 3
    span_s: float = 10.0
    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)

    def record_request(self, now: float) -> None:
        """Note a first attempt."""
        self.requests.append(now)
        self._forget(now)

    def take_retry(self, now: float) -> bool:
        """Return whether one more attempt is within the budget, and count it."""
        self._forget(now)
        if len(self.retries) >= self.floor + self.share * len(self.requests):
            return False
        self.retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] < now - self.span_s:
                times.popleft()
