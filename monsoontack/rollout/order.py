"""Rollout orders, which move a service to engines of another version in seconds.

Engines of the new version start beside the old ones, and the move has to complete
by a deadline that may be a few seconds ahead. Every entry sends a small share of
its requests to the new version, and the lease holder evaluates the counts of all
entries together. This module does no I/O.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from monsoontack.core.rendezvous import ranked, stable_hash
from monsoontack.rollout.analysis import CanaryAnalysis, interim_threshold
from monsoontack.rollout.evidence import (
    ALL_ROUTES,
    Counts,
    EvidenceKey,
    Window,
    pair_window,
)

# Fractions of the permitted exposure (requests sent to the new version) that the
# entries use. The rest is a margin, because entries receive the order at slightly
# different times and requests in flight end later.
USED_SHARE_FRACTION = 0.6
USED_TOLERANCE_FRACTION = 0.6
# Requests. An entry with a smaller part of the tolerance would send too few requests
# to the new version to give evidence, so only some of the entries share it.
MIN_ENTRY_TOLERANCE = 2.0
# Requests to the new version that reveal most faults: if 40% of the answers fail, at
# least 5 of 24 answers fail with a probability of 97%.
SUFFICIENT_EXPOSED_REQUESTS = 24
# Largest fraction of the permitted exposure that may be used when the reaction time
# after the start of the move ends. It is larger than the fractions above because only
# requests in flight are uncertain here; the exposure so far has been counted.
MOVE_EXPOSURE_FRACTION = 0.9
# Time from a fault that begins with the move until no entry sends requests to the new
# version: one answer, one report, one evaluation and the delivery of the decision.
REACTION_TIME_S = 1.2
# Faults that begin late or only under load are searched for in the answers of this
# most recent period alone.
RECENT_WINDOW_S = 2.5
# Probability that one evaluation stops a good version.
CHECK_ALPHA = 0.01
# The new version is stopped if it reaches all three: number of failures, multiple of
# the old failure rate, and failure rate.
MIN_CLEAR_FAILURES = 5
MIN_CLEAR_FAILURE_RATIO = 3.0
MIN_CLEAR_FAILURE_RATE = 0.15
# A smaller number of failures also stops the new version if it is improbable by chance
# at the old failure rate. An upper estimate of that rate is used because few answers
# are known.
MIN_IMPROBABLE_FAILURES = 3
MAX_CHANCE_PROBABILITY = 0.0002
# Terms of a sum that are smaller than this share of it change no decision.
NEGLIGIBLE_SHARE = 1e-12
# Medians that are this many latency buckets apart (each bound is 1.5 times the
# previous one) differ by a factor of at least 2.25; a bad version is several times
# slower.
SLOW_MEDIAN_BUCKETS = 3
MIN_LATENCY_ANSWERS = 8
# Fraction of the time to the deadline after which a version without a fault may get
# all requests.
MIN_CANARY_SPAN_FRACTION = 0.5
# Answers of the new version that the move requires, in total and on each busy route.
MIN_NEW_ANSWERS = 12
MIN_NEW_ROUTE_ANSWERS = 2
BUSY_ROUTE_SHARE = 0.1
# An order without enough answers is reverted after this multiple of its span.
MAX_CANARY_SPAN_FACTOR = 4.0
# Time for which the new version gets all requests before the old engines stop. Many
# more answers than before then show faults on each route and under load.
MIN_MOVE_S = 0.9
# Bounds the wait for requests in flight on the old engines.
MAX_MOVE_S = 15.0
OLD_VERSION = "old"


class Phase(StrEnum):
    """Phase of a rollout order; `complete` and `reverted` are final."""

    CANARY = "canary"
    MOVING = "moving"
    COMPLETE = "complete"
    REVERTED = "reverted"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order; its deadline is `span_s` seconds after it was given."""

    service: str
    target: str
    span_s: float
    phase: Phase = Phase.CANARY

    @property
    def uid(self) -> str:
        """Return an id that distinguishes the order from others of its service."""
        return f"{self.service}:{self.target}:{self.span_s:g}"


@dataclass(slots=True, repr=False)
class CanaryGate:
    """Limits the requests that one entry sends to the new version of an order.

    The limit is `tolerance` requests plus the fraction `share` of all requests. With
    `delays_share` the fraction applies only after the deadline (`is_past_deadline`).
    This leaves more of the permitted exposure, so that the move can begin sooner. Many
    `failures` of the new version close the gate before the lease holder has evaluated
    the counts of all entries.
    """

    share: float
    tolerance: float
    delays_share: bool = False
    is_past_deadline: bool = False
    requests: int = 0
    exposed: int = 0
    failures: int = 0
    answers: int = 0

    def note_request(self) -> None:
        """Count a request of the service."""
        self.requests += 1

    @classmethod
    def for_entry(
        cls,
        share: float,
        tolerance: float,
        order: str,
        entry: str,
        entries: Iterable[str],
    ) -> "CanaryGate":
        """Return the gate of the entry `entry` for an order.

        All entries select the same members of `entries` to share the tolerance.
        """
        used_tolerance = USED_TOLERANCE_FRACTION * tolerance
        ranked_entries = ranked(stable_hash(order), {*entries, entry})
        chosen = ranked_entries[: max(int(used_tolerance / MIN_ENTRY_TOLERANCE), 1)]
        entry_tolerance = used_tolerance / len(chosen) if entry in chosen else 0.0
        return cls(
            USED_SHARE_FRACTION * share,
            entry_tolerance,
            used_tolerance >= SUFFICIENT_EXPOSED_REQUESTS,
        )

    @property
    def is_failing(self) -> bool:
        """Whether too many answers of the new version to this entry failed."""
        return self.failures >= MIN_CLEAR_FAILURES and self.failures >= self.answers / 4

    def may_expose(self) -> bool:
        """Whether one more request may go to the new version."""
        if self.is_failing:
            return False
        share = 0.0 if self.delays_share and not self.is_past_deadline else self.share
        return self.exposed + 1 <= share * self.requests + self.tolerance

    def note_exposed(self) -> None:
        """Count a request that was sent to the new version."""
        self.exposed += 1

    def note_answer(self, failed: bool) -> None:
        """Count an answer of the new version."""
        self.answers += 1
        self.failures += failed


@dataclass(frozen=True, slots=True, repr=False)
class EntryEvidence:
    """Counts of one incarnation of an entry.

    `old_open` and `new_open` are its requests in flight on old and new engines.
    """

    counts: Mapping[EvidenceKey, Counts]
    old_open: int
    phase: Phase
    new_open: int = 0


@dataclass(slots=True, repr=False)
class OrderEvaluation:
    """The lease holder's evaluation of an order; times are of the loop's clock.

    `share` and `tolerance` bound the requests that a bad version may get until the
    deadline. `windows` has the windows of the last `RECENT_WINDOW_S` seconds.
    """

    order: RolloutOrder
    first_seen_at: float
    share: float = 1.0
    tolerance: float = float("inf")
    moving_since: float | None = None
    evidence: dict[str, EntryEvidence] = field(default_factory=dict)
    windows: deque[tuple[float, Window]] = field(default_factory=deque)
    reason: str = ""

    def window(self) -> Window:
        """Return the sum of the counts of all entries, by route."""
        total: dict[EvidenceKey, Counts] = {}
        for report in self.evidence.values():
            for key, counts in report.counts.items():
                total.setdefault(key, Counts()).add(counts)
        order = self.order
        return pair_window(total, order.service, OLD_VERSION, order.target)

    def recent_window(self, window: Window, now: float) -> Window:
        """Store the window; return it with only recent answers of the new version."""
        self.windows.append((now, window))
        while len(self.windows) > 1 and self.windows[1][0] <= now - RECENT_WINDOW_S:
            self.windows.popleft()
        before = self.windows[0][1]
        return {
            route: (old, new.minus(before[route][1]) if route in before else new)
            for route, (old, new) in window.items()
        }

    def next_phase(self, now: float) -> Phase:
        """Return the phase that the order should be in."""
        order = self.order
        if order.phase not in (Phase.CANARY, Phase.MOVING):
            return order.phase
        window = self.window()
        recent = self.recent_window(window, now)
        finding = find_fault(window, order.target) or find_clear_fault(recent)
        if finding:
            self.reason = finding
            return Phase.REVERTED
        if order.phase is Phase.CANARY:
            return self._next_canary_phase(window, now)
        self.moving_since = now if self.moving_since is None else self.moving_since
        moving_s = now - self.moving_since
        if (
            moving_s >= MIN_MOVE_S
            and self._all_entries_moved()
            or moving_s > MAX_MOVE_S
        ):
            return Phase.COMPLETE
        return order.phase

    def _all_entries_moved(self) -> bool:
        reports = self.evidence.values()
        return bool(reports) and all(
            report.phase is Phase.MOVING and report.old_open == 0 for report in reports
        )

    def _next_canary_phase(self, window: Window, now: float) -> Phase:
        elapsed, span_s = now - self.first_seen_at, self.order.span_s
        may_move = elapsed >= MIN_CANARY_SPAN_FRACTION * span_s and has_enough_answers(
            window
        )
        if may_move and self._exposure_permits_move(window, elapsed):
            self.reason = "no fault found"
            return Phase.MOVING
        if elapsed > MAX_CANARY_SPAN_FACTOR * span_s:
            self.reason = "too few answers to judge the version"
            return Phase.REVERTED
        return Phase.CANARY

    def _exposure_permits_move(self, window: Window, elapsed: float) -> bool:
        """Whether a fault that begins with the move can be reverted within the limit.

        Only requests until the deadline count towards the limit, so a move close to
        the deadline is always permitted.
        """
        left_s = self.order.span_s - elapsed
        if left_s <= 0:
            return True
        old, new = window[ALL_ROUTES]
        new_open = sum(r.new_open for r in self.evidence.values())
        all_open = new_open + sum(r.old_open for r in self.evidence.values())
        rate = (old.requests + new.requests + all_open) / elapsed
        allowed = self.share * rate * self.order.span_s + self.tolerance
        exposed = new.requests + new_open
        return (
            exposed + rate * min(REACTION_TIME_S, left_s)
            <= MOVE_EXPOSURE_FRACTION * allowed
        )


def find_fault(window: Window, target: str) -> str:
    """Return the fault of the new version as text, or an empty string."""
    finding = find_clear_fault(window)
    if finding:
        return finding
    analysis = CanaryAnalysis(OLD_VERSION, target, interim_threshold(CHECK_ALPHA))
    # The first update sets the old version's medians; the second compares the
    # latencies with them.
    analysis.update({r: (old, Counts()) for r, (old, _) in window.items()}, 0.0)
    analysis.update(window, 0.0)
    found = analysis.interim_check(CHECK_ALPHA)
    return found.text if found is not None else ""


def find_clear_fault(window: Window) -> str:
    """Return a fault that few answers prove: many failures or high latency."""
    for route, (old, new) in window.items():
        old_failure_rate = max(old.failures / max(old.requests, 1), 0.02)
        rate = new.failures / max(new.requests, 1)
        clear = (
            rate >= MIN_CLEAR_FAILURE_RATE
            and rate >= MIN_CLEAR_FAILURE_RATIO * old_failure_rate
        )
        clear = clear and new.failures >= MIN_CLEAR_FAILURES
        if clear or exceeds_chance(old, new):
            where = f"route {route}" if route else "all routes"
            return f"{where}: {new.failures} of {new.requests} answers failed"
        for name in ("first_token", "token_gap"):
            if is_much_slower(getattr(old, name), getattr(new, name)):
                return f"{route or 'all routes'}: {name} is several times slower"
    return ""


def exceeds_chance(old: Counts, new: Counts) -> bool:
    """Whether so many failures are improbable at the old version's failure rate."""
    if new.failures < MIN_IMPROBABLE_FAILURES:
        return False
    failures = old.failures + 2 * math.sqrt(old.failures + 1)
    old_failure_rate = min(max(failures / max(old.requests, 1), 0.02), 1.0)
    # Counts of which a part is missing may hold more failures than answers.
    if not old_failure_rate * new.requests < new.failures <= new.requests:
        return False
    return (
        binomial_tail(new.requests, new.failures, old_failure_rate)
        < MAX_CHANCE_PROBABILITY
    )


def binomial_tail(size: int, least: int, rate: float) -> float:
    """Return the probability of at least `least` of `size` events at a rate.

    `least` is above the mean, so that the terms of the sum decrease.
    """
    log_term = (
        math.lgamma(size + 1)
        - math.lgamma(least + 1)
        - math.lgamma(size - least + 1)
        + least * math.log(rate)
        + (size - least) * math.log1p(-rate)
    )
    term, tail = math.exp(log_term), 0.0
    for k in range(least, size + 1):
        tail += term
        term *= (size - k) / (k + 1) * rate / (1 - rate)
        if term <= tail * NEGLIGIBLE_SHARE:
            break
    return tail


def is_much_slower(old: list[int], new: list[int]) -> bool:
    """Whether the median of the histogram `new` is far above that of `old`."""
    if min(sum(old), sum(new)) < MIN_LATENCY_ANSWERS:
        return False
    return _median_bucket(new) - _median_bucket(old) >= SLOW_MEDIAN_BUCKETS


def _median_bucket(histogram: list[int]) -> int:
    half, below = sum(histogram) / 2, 0
    for index, count in enumerate(histogram):
        below += count
        if below >= half:
            return index
    return len(histogram) - 1


def has_enough_answers(window: Window) -> bool:
    """Return whether the new version has enough answers, also on each busy route."""
    old_all, new_all = window[ALL_ROUTES]
    if new_all.requests < MIN_NEW_ANSWERS:
        return False
    for old, new in window.values():
        is_busy = old.requests >= BUSY_ROUTE_SHARE * max(old_all.requests, 1)
        if is_busy and new.requests < MIN_NEW_ROUTE_ANSWERS:
            return False
    return True
