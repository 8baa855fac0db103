"""Retry budgets by service, each entry's part of the bound for all entries.

Every entry earns repeats by its own requests, so the sum over the entries keeps
the bound; the fixed part is divided by the number of entries.
"""

from dataclasses import dataclass, field

from monsoontack.admission.windowbudget import WindowBudget

# Part of the permitted repeats that is used. Requests and repeats reach a server
# later than they are counted here, so the windows differ a little.
USED_SHARE = 0.8


@dataclass(slots=True)
class RetryBudgets:
    """Budgets of this entry.

    `ratio` repeats for each request and `extra` more in any `window_s` seconds
    are permitted to `entries` entries together.
    """

    ratio: float
    extra: float
    window_s: float
    entries: int = 1
    budgets: dict[str, WindowBudget] = field(default_factory=dict)

    def set_entry_count(self, entries: int) -> None:
        """Follow a change in the number of entries."""
        self.entries = max(entries, 1)
        for budget in self.budgets.values():
            budget.extra = self._extra()

    def _extra(self) -> float:
        return USED_SHARE * self.extra / max(self.entries, 1)

    def of(self, service: str) -> WindowBudget:
        """Return the budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            ratio = USED_SHARE * self.ratio
            budget = WindowBudget(ratio, self._extra(), self.window_s)
            self.budgets[service] = budget
        return budget

    def note_request(self, service: str, now: float) -> None:
        """Count a request, which earns part of a repeat."""
        self.of(service).note_request(now)

    def take(self, service: str, now: float) -> bool:
        """Take one repeat, False if none is left."""
        return self.of(service).take(now)
