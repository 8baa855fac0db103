"""Division of a stated limit among all entries, as permits that pass along a tree.

A limit of a few requests a second, divided by hundreds of entries, leaves none of them
a request. So the root of a tree of entries mints permits for single requests at the
stated rate, and each entry passes what its parent grants to its children and to itself
in proportion to what they want. A permit expires soon, so in any period a server
gets at most the permits minted in it and in one lifetime before it.

An entry that has lost its parent is the root of a fragment of the tree and mints
only the fragment's share: the part of all entries that are in the fragment. The shares
of all fragments add up to at most 1.25 of the limit, whichever links and entries have
failed, and no two entries have to agree on who mints.

The classes have no I/O; times are seconds of the event loop's clock.
"""

import math
import random
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from monsoontack.admission.statedlimits import StatedLimits

# Lifetime of a permit. The users' servers tolerate one and a half times their limit
# over 4 s, which leaves room for the permits of 2 s; the transport takes some of it.
PERMIT_LIFETIME_S = 1.5
# Permits that a root keeps while nobody takes any: those of this time, and at limits of
# a few requests a second two, so that those minted between two reports are not lost.
DEPTH_S = 0.25
SMALL_DEPTH = 2.0
# Without an exchange for this time, an entry no longer counts on its parent and the
# parent no longer counts it.
CONTACT_TIMEOUT_S = 2.5
# Bounds the work of one entry if many parents have failed at once; the tree alone gives
# an entry up to 6 children in its region.
MAX_CHILDREN = 32
# Servers in one message; of more, each message has a random choice.
MAX_SERVERS_PER_MESSAGE = 128
# Factor on the part that each of those that want permits gets when it asks. They ask in
# random order, so their parts stay in proportion, and permits seldom expire here.
DRAW_FACTOR = 3.0
# What a fragment with a majority of the entries leaves to each entry outside of it, of
# that entry's equal share. The others may be down or cut off with a share of their own.
OUTSIDE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class PermitReport:
    """What an entry tells its parent about its part of the tree.

    `size` counts the entries in it, `wants` the requests that they want to send to each
    server within the lifetime of a permit. `is_attached` is false until the parent has
    answered: the entry still mints its own share, so the parent must not count it.
    """

    name: str
    is_attached: bool
    size: int
    wants: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """A parent's answer: the lifetimes left of the permits, and waits, by server.

    A wait is the time in seconds that all requests which are wanted now take at the
    server's limit.
    """

    lifetimes: Mapping[str, tuple[float, ...]]
    waits: Mapping[str, float]


@dataclass(slots=True, repr=False)
class Child:
    """The last report of a child, when it arrived, and its wants not yet granted."""

    report: PermitReport
    at: float
    wants: dict[str, float]


@dataclass(slots=True, repr=False)
class Bucket:
    """Token bucket from which the root of a tree or fragment mints permits."""

    tokens: float
    at: float

    def refill(self, rate: float, depth: float, now: float) -> None:
        """Add the tokens of the time since the last refill."""
        elapsed_s = max(now - self.at, 0.0)
        self.tokens = min(self.tokens + elapsed_s * rate, depth)
        self.at = now


@dataclass(slots=True, repr=False)
class PermitNode:
    """One entry's part in the division of limits.

    `fleet_size` is the number of all entries. `held` has the expiry times of this
    entry's own permits by server, `pool` those to be passed on. `own_wants` are the
    requests that this entry wants to send. `permit_rates` are the limits under which
    the permits were counted. `attached_until` ends the time in which the entry counts
    on its parent. `waits` are those of its last grant.
    """

    name: str
    limits: StatedLimits
    rng: random.Random
    fleet_size: int = 1
    children: dict[str, Child] = field(default_factory=dict)
    own_wants: dict[str, float] = field(default_factory=dict)
    held: dict[str, deque[float]] = field(default_factory=dict)
    pool: dict[str, deque[float]] = field(default_factory=dict)
    buckets: dict[str, Bucket] = field(default_factory=dict)
    waits: dict[str, float] = field(default_factory=dict)
    permit_rates: dict[str, float] = field(default_factory=dict)
    parent: str | None = None
    attached_until: float = -math.inf
    expired_permits: int = 0

    def is_attached(self, now: float) -> bool:
        """Whether a parent grants permits to this entry and counts it."""
        return now < self.attached_until

    def size(self, now: float) -> int:
        """Return the number of entries in this entry's part of the tree."""
        return 1 + sum(child.report.size for child in self._live_children(now))

    def wants(self, now: float) -> dict[str, float]:
        """Return the requests that this part of the tree wants to send, by server."""
        totals = dict(self.own_wants)
        for child in self._live_children(now):
            for key, want in child.wants.items():
                totals[key] = totals.get(key, 0.0) + want
        return {key: w for key, w in totals.items() if self.limits.rate(key)}

    def report(self, parent: str, now: float) -> PermitReport:
        """Return the report for a parent."""
        wants = {}
        for key, want in self.wants(now).items():
            missing = want - len(self._unexpired(self.pool, key, now))
            if missing > 0:
                wants[key] = missing
        if len(wants) > MAX_SERVERS_PER_MESSAGE:
            chosen = self.rng.sample(sorted(wants), MAX_SERVERS_PER_MESSAGE)
            wants = {key: wants[key] for key in chosen}
        is_attached = self.parent == parent and self.is_attached(now)
        return PermitReport(self.name, is_attached, self.size(now), wants)

    def apply_grant(self, parent: str, grant: PermitGrant, sent_at: float) -> None:
        """Take over a parent's permits; `sent_at` is when the report was sent."""
        self.parent, self.attached_until = parent, sent_at + CONTACT_TIMEOUT_S
        for key, lifetimes in grant.lifetimes.items():
            pool = self.pool.setdefault(key, deque())
            pool.extend(sent_at + lifetime_s for lifetime_s in lifetimes)
        self.waits = dict(grant.waits)

    def handle_report(self, report: PermitReport, now: float) -> PermitGrant | None:
        """Answer a child's report; None refuses it, since there are too many."""
        if report.name not in self.children and len(self.children) >= MAX_CHILDREN:
            self._drop_silent_children(now)
            if len(self.children) >= MAX_CHILDREN:
                return None
        child = Child(report, now, dict(report.wants))
        self.children[report.name] = child
        if not report.is_attached:
            return PermitGrant({}, {})
        totals = self.wants(now)
        lifetimes, waits = {}, {}
        for key, want in report.wants.items():
            if self.limits.rate(key) is None or want <= 0:
                continue
            expiries = self._draw(key, want, totals.get(key, want), now)
            if expiries:
                lifetimes[key] = tuple(at - now for at in expiries)
                child.wants[key] = max(want - len(expiries), 0.0)
            waits[key] = self.wait_s(key, now)
        return PermitGrant(lifetimes, waits)

    def serve_own_wants(self, now: float) -> None:
        """Give this entry its part of the permits, as if it were a child."""
        self._drop_silent_children(now)
        self._drop_unlimited()
        self._take_back_permits()
        totals = self.wants(now)
        for key, want in self.own_wants.items():
            if want > 0 and self.limits.rate(key) is not None:
                expiries = self._draw(key, want, totals[key], now)
                self.held.setdefault(key, deque()).extend(expiries)

    def take(self, key: str, now: float) -> float | None:
        """Take one of this entry's permits; return its expiry time or None."""
        held = self._unexpired(self.held, key, now)
        return held.popleft() if held else None

    def held_count(self, key: str, now: float) -> int:
        """Return the number of this entry's permits for a server."""
        return len(self._unexpired(self.held, key, now))

    def give_back(self, key: str, expires_at: float) -> None:
        """Return a permit whose request was not sent."""
        held = self.held.setdefault(key, deque())
        held.append(expires_at)
        self.held[key] = deque(sorted(held))

    def wait_s(self, key: str, now: float) -> float:
        """Return how long the requests wanted now take at the server's limit."""
        is_attached = self.is_attached(now)
        if is_attached and key in self.waits:
            return self.waits[key]
        # An attached entry whose parent gave no wait counts on the whole limit.
        rate = self.limits.rate(key) if is_attached else self._mint_rate(key, now)
        return max(self.wants(now).get(key, 0.0), 1.0) / rate if rate else 0.0

    def _draw(
        self, key: str, want: float, total_want: float, now: float
    ) -> list[float]:
        """Return the expiry times of the permits for one of those that want some.

        The number is drawn at random in proportion to `want`, so that over time each
        gets its part although there are fewer permits than entries.
        """
        pool = self._unexpired(self.pool, key, now)
        bucket = None if self.is_attached(now) else self._refilled_bucket(key, now)
        minted = int(bucket.tokens) if bucket is not None else 0
        share = min(DRAW_FACTOR * want / total_want, 1.0)
        expected = (len(pool) + minted) * share
        count = int(expected) + (self.rng.random() < expected - int(expected))
        count = min(count, math.ceil(want), len(pool) + minted)
        expiries = [pool.popleft() for _ in range(min(count, len(pool)))]
        if bucket is not None and count > len(expiries):
            bucket.tokens -= count - len(expiries)
            expiries += [now + PERMIT_LIFETIME_S] * (count - len(expiries))
        return expiries

    def _refilled_bucket(self, key: str, now: float) -> Bucket:
        rate = self._mint_rate(key, now)
        bucket = self.buckets.get(key)
        if bucket is None:
            # Fragments that form at the same time must not mint at the same time.
            bucket = self.buckets[key] = Bucket(self.rng.random(), now)
        # No tokens for the time in which the parent minted.
        bucket.at = max(bucket.at, min(self.attached_until, now))
        depth = max(1.0, min(SMALL_DEPTH, rate), DEPTH_S * rate)
        bucket.refill(rate, depth, now)
        return bucket

    def _mint_rate(self, key: str, now: float) -> float:
        """Return this fragment's part of a server's limit, in requests a second."""
        rate = self.limits.rate(key) or 0.0
        part = min(self.size(now) / max(self.fleet_size, 1), 1.0)
        return rate * (1.0 - OUTSIDE_SHARE * (1.0 - part) if part > 0.5 else part)

    def _live_children(self, now: float) -> list[Child]:
        """Return the children that this entry counts and grants permits to."""
        since = now - CONTACT_TIMEOUT_S
        return [
            child
            for child in self.children.values()
            if child.at >= since and child.report.is_attached
        ]

    def _drop_silent_children(self, now: float) -> None:
        since = now - CONTACT_TIMEOUT_S
        for name in [n for n, child in self.children.items() if child.at < since]:
            del self.children[name]

    def _drop_unlimited(self) -> None:
        """Drop the permits and tokens of servers that have no limit any more."""
        tables = (self.held, self.pool, self.buckets, self.waits, self.permit_rates)
        for table in tables:
            for key in [key for key in table if self.limits.rate(key) is None]:
                del table[key]

    def _take_back_permits(self) -> None:
        """Drop the permits that exceed a lowered limit, in proportion to it."""
        for key in {*self.held, *self.pool}:
            rate = self.limits.rate(key)
            factor = rate / self.permit_rates.get(key, rate)
            for permits in (self.held.get(key, ()), self.pool.get(key, ())):
                for _ in range(len(permits) - int(len(permits) * min(factor, 1.0))):
                    permits.pop()
            self.permit_rates[key] = rate

    def _unexpired(
        self, table: dict[str, deque[float]], key: str, now: float
    ) -> deque[float]:
        permits = table.get(key)
        if permits is None:
            return deque()
        while permits and permits[0] <= now:
            permits.popleft()
            self.expired_permits += 1
        return permits
