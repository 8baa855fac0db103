"""Weighted max-min fair shares of an entry's capacity among client accounts.

An account's demand is what it has in flight plus what was refused lately. The
capacity is filled like connected vessels: every account gets its demand up to a
level that is proportional to its weight, and what small accounts leave goes to
the others. Only accounts seen lately are kept. Each entry computes shares from
the part of the traffic that it sees; since the balancer spreads an account's
requests over the entries, the sums come out as shares of the whole.
"""

import math
from dataclasses import dataclass, field

# Time constant of refused demand and of average use. It is longer than most
# requests, so that an account whose share is below one request takes turns.
MEMORY_S = 10.0
RECOMPUTE_S = 0.1
# A recomputation costs about 1 us per account; this bounds it to 0.5% of a core.
RECOMPUTE_PER_ACCOUNT_S = 2e-4


@dataclass(slots=True)
class AccountUse:
    """One account's use at this entry.

    `average` smooths `in_flight` over `MEMORY_S`; `refused` counts refusals,
    decayed over the same time; `next_retry_at` is when the account's last
    refused caller was told to return.
    """

    weight: float = 1.0
    in_flight: int = 0
    average: float = 0.0
    refused: float = 0.0
    updated_at: float = 0.0
    next_retry_at: float = 0.0

    def decay(self, now: float) -> None:
        """Bring the smoothed values to the time `now`."""
        elapsed = now - self.updated_at
        if elapsed <= 0:
            return
        kept = math.exp(-elapsed / MEMORY_S)
        self.average = self.in_flight + (self.average - self.in_flight) * kept
        self.refused *= kept
        self.updated_at = now

    def demand(self, hold_s: float) -> float:
        """Return concurrent requests wanted, if one takes `hold_s` seconds."""
        return self.in_flight + self.refused / MEMORY_S * hold_s


@dataclass(slots=True)
class FairShare:
    """Shares of the accounts of one service at one entry.

    `level` is the number of concurrent requests per unit of weight; infinite
    while demand is below capacity.
    """

    uses: dict[str, AccountUse] = field(default_factory=dict)
    in_flight: int = 0
    level: float = math.inf
    computed_at: float = -math.inf

    def use_of(self, account: str, weight: float, now: float) -> AccountUse:
        """Return the account's use, brought to the time `now`."""
        use = self.uses.get(account)
        if use is None:
            use = self.uses[account] = AccountUse(updated_at=now)
        use.weight = weight
        use.decay(now)
        return use

    def refresh(self, capacity: float, hold_s: float, now: float) -> None:
        """Recompute the level if it is old, and drop idle accounts."""
        interval_s = max(RECOMPUTE_S, RECOMPUTE_PER_ACCOUNT_S * len(self.uses))
        if now - self.computed_at < interval_s:
            return
        self.computed_at = now
        for use in self.uses.values():
            use.decay(now)
        self.uses = {name: use for name, use in self.uses.items() if _is_active(use)}
        demands = [(use.demand(hold_s), use.weight) for use in self.uses.values()]
        self.level = water_level(demands, capacity)

    def is_under_share(self, use: AccountUse, pressure: float) -> bool:
        """Return whether the account may have one more request in flight.

        `pressure` from 0 to 1 is how much of the reserve is used; the more, the
        further below its share an account must be. So accounts that hover at
        their share don't use up the reserve of smaller ones.
        """
        share = use.weight * self.level
        if math.isinf(share):
            return True
        return use.in_flight < max(share * (1 - pressure), 0.5) and use.average < share

    def add(self, use: AccountUse) -> None:
        """Count an admitted request."""
        use.in_flight += 1
        self.in_flight += 1

    def remove(self, account: str, now: float) -> None:
        """Count the end of an admitted request."""
        use = self.uses[account]
        use.decay(now)
        use.in_flight -= 1
        self.in_flight -= 1


def water_level(demands: list[tuple[float, float]], capacity: float) -> float:
    """Return the level at which shares add up to `capacity`.

    `demands` are pairs of demand and weight. A share is the smaller of demand
    and weight times level; the level is infinite if all demand fits.

    Example: demands 1, 10 and 10 of equal weight with capacity 9 give level 4.
    """
    left, weight_left = capacity, sum(weight for _, weight in demands)
    for demand, weight in sorted(demands, key=lambda pair: pair[0] / pair[1]):
        if demand * weight_left > left * weight:
            return max(left, 0.0) / weight_left
        left -= demand
        weight_left -= weight
    return math.inf


def _is_active(use: AccountUse) -> bool:
    return use.in_flight > 0 or use.average > 0.01 or use.refused > 0.01
