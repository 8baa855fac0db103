"""Retry budgets by service: this entry's share of the limit for all entries.

Each entry earns retries in proportion to its own requests, so the sum over all
entries stays within the limit. The fixed part is divided by the number of entries.
"""

from dataclasses import dataclass, field

from monsoontack.admission.windowbudget import WindowBudget

# Share of the permitted retries that is used. Requests and retries reach a server
# later than they are counted here, so the time windows differ slightly.
USED_BUDGET_SHARE = 0.8


@dataclass(slots=True, repr=False)
class RetryBudgets:
    """Retry budgets of this entry.

    All `entry_count` entries together may send `ratio` retries for each request and
    `extra` further retries in any period of `window_s` seconds.
    """

    ratio: float
    extra: float
    window_s: float
    entry_count: int = 1
    budgets: dict[str, WindowBudget] = field(default_factory=dict)

    def set_entry_count(self, entry_count: int) -> None:
        """Set the number of entries and divide the fixed part anew."""
        self.entry_count = max(entry_count, 1)
        for budget in self.budgets.values():
            budget.extra = self._extra()

    def _extra(self) -> float:
        return USED_BUDGET_SHARE * self.extra / max(self.entry_count, 1)

    def for_service(self, service: str) -> WindowBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            ratio = USED_BUDGET_SHARE * self.ratio
            budget = WindowBudget(ratio, self._extra(), self.window_s)
            self.budgets[service] = budget
        return budget

    def note_request(self, service: str, now: float) -> None:
        """Count a request, which earns a fraction of a retry."""
        self.for_service(service).note_request(now)

    def take(self, service: str, now: float) -> bool:
        """Take one retry from the budget; return False if none is left."""
        return self.for_service(service).take(now)
