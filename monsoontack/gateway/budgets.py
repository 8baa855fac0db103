"""Retry budgets by service, each entry's part of the bound for all entries.

Every entry earns retries by its own requests, so the sum over the entries keeps
the bound whatever their number is; the fixed part is divided by a number of
entries that is set high enough.
"""

from dataclasses import dataclass, field

from monsoontack.admission.retrybudget import RetryBudget

# Part of the permitted ratio that is used; the window slides and its edges see
# repeats whose first sends were counted before.
RATIO_SHARE = 0.6
# Part of the permitted extra repeats that all entries together may use.
EXTRA_SHARE = 0.6


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
    budgets: dict[str, RetryBudget] = field(default_factory=dict)

    def _budget(self, service: str) -> RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            part = EXTRA_SHARE * self.extra / max(self.entries, 1)
            budget = RetryBudget(
                saved=part / 2,
                per_request=RATIO_SHARE * self.ratio,
                floor_per_s=part / 2 / self.window_s,
                max_saved=part / 2,
            )
            self.budgets[service] = budget
        return budget

    def note_request(self, service: str) -> None:
        """Earn part of a repeat for a request."""
        self._budget(service).note_request()

    def take(self, service: str, now: float) -> bool:
        """Take one repeat, False if none is left."""
        return self._budget(service).take(now)
