"""First versions of the entry's decisions, used until the full ones are set."""

import random
from collections import Counter
from collections.abc import Sequence

from monsoontack.config.view import ConfigView
from monsoontack.core.errors import RequestError
from monsoontack.core.records import (
    BackendServer,
    RequestOutcome,
    RouteRequest,
    ServerState,
)
from monsoontack.ledger.records import ServiceCall


class LeastLoadedPicker:
    """Picks the least loaded backend server of the chosen version."""

    def pick_version(
        self, view: ConfigView, service: str, now: float, rng: random.Random
    ) -> str | None:
        """Choose a version by the published shares."""
        shares = [(name, share) for name, share in view.services[service].shares]
        if not any(share > 0 for _, share in shares):
            return None
        names, weights = zip(*shares, strict=True)
        return rng.choices(names, weights)[0]

    def pick(
        self,
        request: RouteRequest,
        servers: Sequence[ServerState],
        now: float,
        rng: random.Random,
    ) -> BackendServer | None:
        """Return the least loaded server that has the version."""
        fit = [
            state
            for state in servers
            if request.version in state.server.versions
            and not state.leaving
            and state.server.address not in request.excluded
        ]
        if not fit:
            return None
        return min(fit, key=lambda state: (_load(state), rng.random())).server

    def record(self, address: str, failed: bool, now: float) -> None:
        """Ignore outcomes."""


def _load(state: ServerState) -> float:
    load = state.load
    held = load.running + load.queued if load else 0
    busy = max(held + state.sent_since_report, state.in_flight)
    return busy / max(load.slots if load else 1, 1)


class OutcomeCounter:
    """Keeps counts of outcomes by service, version and result."""

    def __init__(self):
        self.counts: Counter = Counter()

    def record(self, outcome: RequestOutcome) -> None:
        """Add one outcome."""
        result = "failed" if outcome.failed else "ok"
        self.counts[f"{outcome.service}/{outcome.version}/{result}"] += 1


class RefusingCallRunner:
    """Refuses every call to a plain service, until the ledger is wired in."""

    async def run(self, call: ServiceCall) -> RequestError:
        """Refuse the call; nothing was dispatched."""
        return RequestError(501, "calls_unavailable", "this entry runs no calls")

    async def find_outcome(self, account: str, key: str) -> RequestError:
        """Refuse the query."""
        return RequestError(501, "calls_unavailable", "this entry runs no calls")
