"""First versions of the entry's decisions, used until the full ones are set."""

from collections import Counter

from monsoontack.core.errors import RequestError
from monsoontack.core.records import Outcome
from monsoontack.ledger.records import ServiceCall


class CountingOutcomes:
    """Keeps counts of outcomes by service, version and result."""

    def __init__(self):
        self.counts: Counter = Counter()

    def record(self, outcome: Outcome) -> None:
        """Add one outcome."""
        result = "failed" if outcome.failed else "ok"
        self.counts[f"{outcome.service}/{outcome.version}/{result}"] += 1


class RefusingCalls:
    """Refuses every call to a plain service, until the ledger is wired in."""

    async def run(self, call: ServiceCall) -> RequestError:
        """Refuse the call; nothing was dispatched."""
        return RequestError(501, "calls_unavailable", "this entry runs no calls")

    async def find(self, account: str, key: str) -> RequestError:
        """Refuse the query."""
        return RequestError(501, "calls_unavailable", "this entry runs no calls")
