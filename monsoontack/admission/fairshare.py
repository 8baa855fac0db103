"""Weighted max-min fair shares of an entry's capacity among client accounts.

An account's demand is its number of requests in flight plus its recently refused
requests. Shares are computed by water-filling: every account gets its demand up to a
level that is proportional to its weight, and capacity that small accounts leave
unused goes to the others. Only recently active accounts are kept. Each entry
computes shares from the traffic that it sees itself; since the load balancer spreads
an account's requests over the entries, the sums over the entries are shares of the
whole capacity.
"""

import math
from dataclasses import dataclass, field

# Time constant of the decay of refused demand and mean usage. It is longer than most
# requests, so that accounts whose share is below one request take turns.
DECAY_TIME_S = 10.0
MIN_RECOMPUTE_INTERVAL_S = 0.1
# A recomputation takes about 1 us per account, so this interval limits it to 0.5% of
# a core.
RECOMPUTE_INTERVAL_PER_ACCOUNT_S = 2e-4


@dataclass(slots=True, repr=False)
class AccountUsage:
    """Usage of one account at this entry.

    `mean_in_flight` is `in_flight` smoothed over `DECAY_TIME_S`. `recent_refusals`
    counts refusals, decayed over the same time. `next_retry_at` is the retry time
    given to the account's last refused caller.
    """

    weight: float = 1.0
    in_flight: int = 0
    mean_in_flight: float = 0.0
    recent_refusals: float = 0.0
    updated_at: float = 0.0
    next_retry_at: float = 0.0

    def decay(self, now: float) -> None:
        """Update the smoothed values to the time `now`."""
        elapsed = now - self.updated_at
        if elapsed <= 0:
            return
        decay_factor = math.exp(-elapsed / DECAY_TIME_S)
        self.mean_in_flight = (
            self.in_flight + (self.mean_in_flight - self.in_flight) * decay_factor
        )
        self.recent_refusals *= decay_factor
        self.updated_at = now

    @property
    def load_per_weight(self) -> float:
        """Return the requests in flight, now or lately, per unit of weight."""
        return max(self.in_flight, self.mean_in_flight) / self.weight

    def demand(self, mean_duration_s: float) -> float:
        """Return the demand in concurrent requests.

        Recently refused requests count by their rate times `mean_duration_s`, the
        concurrency that they would have had (Little's law).
        """
        return self.in_flight + self.recent_refusals / DECAY_TIME_S * mean_duration_s


@dataclass(slots=True, repr=False)
class FairShare:
    """Fair shares of the accounts of one service at one entry.

    `level_per_weight` is the share per unit of weight, in concurrent requests. It is
    infinite while the capacity covers all demand.
    """

    usages: dict[str, AccountUsage] = field(default_factory=dict)
    in_flight: int = 0
    level_per_weight: float = math.inf
    computed_at: float = -math.inf

    def usage_of(self, account: str, weight: float, now: float) -> AccountUsage:
        """Return the account's usage, updated to the time `now`."""
        usage = self.usages.get(account)
        if usage is None:
            usage = self.usages[account] = AccountUsage(updated_at=now)
        usage.weight = weight
        usage.decay(now)
        return usage

    def refresh(self, capacity: float, mean_duration_s: float, now: float) -> None:
        """Recompute the level if it is outdated, and remove idle accounts."""
        interval_s = max(
            MIN_RECOMPUTE_INTERVAL_S,
            RECOMPUTE_INTERVAL_PER_ACCOUNT_S * len(self.usages),
        )
        if now - self.computed_at < interval_s:
            return
        self.computed_at = now
        for usage in self.usages.values():
            usage.decay(now)
        self.usages = {
            name: usage for name, usage in self.usages.items() if _is_active(usage)
        }
        demands = [
            (usage.demand(mean_duration_s), usage.weight)
            for usage in self.usages.values()
        ]
        self.level_per_weight = water_level(demands, capacity)

    def is_under_share(self, usage: AccountUsage, reserve_used: float) -> bool:
        """Return whether the account may have one more request in flight.

        `reserve_used` is the used fraction of the reserve, from 0 to 1. The larger it
        is, the further below its share an account must be, so that accounts close to
        their share do not use up the reserve for smaller accounts. The limit of
        `in_flight` always permits one request; `mean_in_flight` limits how often
        accounts whose share is below one request use it.
        """
        share = usage.weight * self.level_per_weight
        if math.isinf(share):
            return True
        return (
            usage.in_flight < max(share * (1 - reserve_used), 0.5)
            and usage.mean_in_flight < share
        )

    def add(self, usage: AccountUsage) -> None:
        """Count an admitted request."""
        usage.in_flight += 1
        self.in_flight += 1

    def remove(self, account: str, now: float) -> None:
        """Count the end of an admitted request."""
        usage = self.usages[account]
        usage.decay(now)
        usage.in_flight -= 1
        self.in_flight -= 1


def water_level(demands: list[tuple[float, float]], capacity: float) -> float:
    """Return the level at which the shares add up to `capacity`.

    `demands` are pairs of demand and weight. A share is the smaller of the demand and
    the weight times the level. The level is infinite if the capacity covers all demand.

    Example: demands 1, 10 and 10 of equal weight with capacity 9 give level 4.
    """
    capacity_left, weight_left = capacity, sum(weight for _, weight in demands)
    for demand, weight in sorted(demands, key=lambda pair: pair[0] / pair[1]):
        if demand * weight_left > capacity_left * weight:
            return max(capacity_left, 0.0) / weight_left
        capacity_left -= demand
        weight_left -= weight
    return math.inf


def _is_active(usage: AccountUsage) -> bool:
    return (
        usage.in_flight > 0
        or usage.mean_in_flight > 0.01
        or usage.recent_refusals > 0.01
    )
