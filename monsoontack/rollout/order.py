"""Moves of a service to engines of another version within seconds.

Engines of the new version start beside the old ones, and the move has to be done
by a deadline that may lie a few seconds ahead. Every entry gives the new version
a small share of its own requests, and the counts of all entries are judged
together. Nothing here does I/O.
"""

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from monsoontack.core.rendezvous import ranked, stable_hash
from monsoontack.rollout.analysis import CanaryAnalysis, look_threshold_for
from monsoontack.rollout.evidence import (
    OVERALL,
    Counts,
    EvidenceKey,
    Window,
    pair_window,
)

# Parts of the permitted exposure that the entries use: they see the order at
# slightly different times, and requests under way end later.
SHARE_USED = 0.6
TOLERANCE_USED = 0.6
# An entry with a smaller part of the tolerance tries the new version too rarely to
# tell anything, so that a part of the entries gets it all.
MIN_TOLERANCE = 2.0
# Requests to the new version that show most faults: of 24 answers of which four in
# ten fail, five or more do with 97 %.
ENOUGH_EXPOSED = 24
# Part of the permitted exposure that may be used up while a version takes over. What
# is counted of it is known, only requests under way are not.
MOVE_USED = 0.9
# Time from a fault that begins as a version takes over until no entry sends to it:
# an answer, a report, a look and the news of the decision.
REACT_S = 1.2
# Faults may begin late, or under load only; these are looked for in the answers of
# the last seconds alone.
RECENT_S = 2.5
# Chance that a good version is stopped at one look.
LOOK_ALPHA = 0.01
# Failures of the new version that stop it where its rate is far above the old one.
CLEAR_FAILURES = 5
CLEAR_RATIO = 3.0
CLEAR_RATE = 0.15
# Fewer failures stop it where this many would be so unlikely by chance at the old
# version's rate, taken high since it is known from few answers.
MIN_FAILURES = 3
UNLIKELY = 0.0002
# Medians this many latency buckets apart (each 1.5 times the one before) differ at
# least by a factor of 2.25; a bad version is several times slower.
SLOW_BUCKETS = 3
MIN_SLOW_ANSWERS = 8
# Part of the time to the deadline after which a version without fault may take over.
DECIDE_SHARE = 0.5
# Answers of the new version needed for that, and on each busy route.
MIN_ANSWERS = 12
MIN_ROUTE_ANSWERS = 2
BUSY_ROUTE_SHARE = 0.1
# Without enough answers the order is taken back after this many times its span.
GIVE_UP_FACTOR = 4.0
# A version takes over for this long before the old engines stop: many more answers
# than before then show whether it is sound on each route and under load.
MIN_MOVE_S = 0.9
# Answers of the old version cannot be awaited for ever before its engines stop.
MAX_MOVE_S = 15.0
OLD_VERSION = "old"


class Phase(StrEnum):
    """How far a move is."""

    CANARY = "canary"
    MOVING = "moving"
    COMPLETE = "complete"
    REVERTED = "reverted"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order; it should be done `span_s` seconds after it was given."""

    service: str
    target: str
    span_s: float
    phase: Phase = Phase.CANARY

    @property
    def uid(self) -> str:
        """Return what tells the order from others of its service."""
        return f"{self.service}:{self.target}:{self.span_s:g}"


@dataclass(slots=True)
class CanaryGate:
    """Exposure of one entry to the new version of one order.

    `tolerance` of its requests may go there, and `share` of all: with `saves_share`
    only once the order `is_past_deadline`, so that the exposure that is left by then
    lets the version take over sooner. `failures` of the new version close the gate
    before the entries' counts are judged together.
    """

    share: float
    tolerance: float
    saves_share: bool = False
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
        cls, share: float, tolerance: float, order: str, name: str, names: Iterable[str]
    ) -> "CanaryGate":
        """Return the gate of the entry `name` for an order.

        All entries choose alike who of `names` shares the tolerance.
        """
        used = TOLERANCE_USED * tolerance
        everyone = ranked(stable_hash(order), {*names, name})
        chosen = everyone[: max(int(used / MIN_TOLERANCE), 1)]
        part = used / len(chosen) if name in chosen else 0.0
        return cls(SHARE_USED * share, part, used >= ENOUGH_EXPOSED)

    @property
    def is_failing(self) -> bool:
        """Whether the answers that this entry got speak against the version."""
        return self.failures >= CLEAR_FAILURES and self.failures >= self.answers / 4

    def may_expose(self) -> bool:
        """Whether one more request may go to the new version."""
        if self.is_failing:
            return False
        share = 0.0 if self.saves_share and not self.is_past_deadline else self.share
        return self.exposed + 1 <= share * self.requests + self.tolerance

    def note_exposed(self) -> None:
        """Count a send to the new version."""
        self.exposed += 1

    def note_answer(self, failed: bool) -> None:
        """Count an answer of the new version."""
        self.answers += 1
        self.failures += failed


@dataclass(frozen=True, slots=True)
class EntryEvidence:
    """Counts of one life of an entry.

    `old_open` of its requests run on old engines, `new_open` on new ones.
    """

    counts: Mapping[EvidenceKey, Counts]
    old_open: int
    phase: Phase
    new_open: int = 0


@dataclass(slots=True)
class OrderEvaluation:
    """What the lease holder knows of an order; times are of the loop's clock.

    `share` and `tolerance` bound the requests that a bad version may get until the
    deadline. `looks` has the counts of the last seconds.
    """

    order: RolloutOrder
    seen_at: float
    share: float = 1.0
    tolerance: float = float("inf")
    moving_since: float | None = None
    evidence: dict[str, EntryEvidence] = field(default_factory=dict)
    looks: deque[tuple[float, Window]] = field(default_factory=deque)
    reason: str = ""

    def window(self) -> Window:
        """Return the counts of all entries, by route."""
        total: dict[EvidenceKey, Counts] = {}
        for report in self.evidence.values():
            for key, counts in report.counts.items():
                total.setdefault(key, Counts()).add(counts)
        order = self.order
        return pair_window(total, order.service, OLD_VERSION, order.target)

    def recent(self, window: Window, now: float) -> Window:
        """Return the window with only the last answers of the new version."""
        self.looks.append((now, window))
        while len(self.looks) > 1 and self.looks[1][0] <= now - RECENT_S:
            self.looks.popleft()
        before = self.looks[0][1]
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
        recent = self.recent(window, now)
        finding = find_fault(window, order.target) or find_clear_fault(recent)
        if finding:
            self.reason = finding
            return Phase.REVERTED
        if order.phase is Phase.CANARY:
            return self._judge(window, now)
        self.moving_since = now if self.moving_since is None else self.moving_since
        moving_s = now - self.moving_since
        if moving_s >= MIN_MOVE_S and self._is_moved() or moving_s > MAX_MOVE_S:
            return Phase.COMPLETE
        return order.phase

    def _is_moved(self) -> bool:
        reports = self.evidence.values()
        return bool(reports) and all(
            report.phase is Phase.MOVING and report.old_open == 0 for report in reports
        )

    def _judge(self, window: Window, now: float) -> Phase:
        elapsed, span_s = now - self.seen_at, self.order.span_s
        may_move = elapsed >= DECIDE_SHARE * span_s and has_enough(window)
        if may_move and self._exposure_allows(window, elapsed):
            self.reason = "no fault found"
            return Phase.MOVING
        if elapsed > GIVE_UP_FACTOR * span_s:
            self.reason = "too few answers to judge the version"
            return Phase.REVERTED
        return Phase.CANARY

    def _exposure_allows(self, window: Window, elapsed: float) -> bool:
        """Whether a fault that begins with the move can be undone within the bound.

        Only requests until the deadline count, so that a move close to it always
        may begin.
        """
        left_s = self.order.span_s - elapsed
        if left_s <= 0:
            return True
        old, new = window[OVERALL]
        opened = sum(r.new_open for r in self.evidence.values())
        all_open = opened + sum(r.old_open for r in self.evidence.values())
        rate = (old.requests + new.requests + all_open) / elapsed
        allowed = self.share * rate * self.order.span_s + self.tolerance
        exposed = new.requests + opened
        return exposed + rate * min(REACT_S, left_s) <= MOVE_USED * allowed


def find_fault(window: Window, target: str) -> str:
    """Return what is wrong with the new version, or nothing."""
    finding = find_clear_fault(window)
    if finding:
        return finding
    judge = CanaryAnalysis(OLD_VERSION, target, look_threshold_for(LOOK_ALPHA))
    # The first pass takes the old version's medians, against which the second
    # compares the latencies.
    judge.update({r: (old, Counts()) for r, (old, _) in window.items()}, 0.0)
    judge.update(window, 0.0)
    found = judge.look(LOOK_ALPHA)
    return found.text if found is not None else ""


def find_clear_fault(window: Window) -> str:
    """Return a fault that a few answers show: failures, or a much slower version."""
    for route, (old, new) in window.items():
        usual = max(old.failures / max(old.requests, 1), 0.02)
        rate = new.failures / max(new.requests, 1)
        clear = rate >= CLEAR_RATE and rate >= CLEAR_RATIO * usual
        clear = clear and new.failures >= CLEAR_FAILURES
        if clear or are_unlikely(old, new):
            where = f"route {route}" if route else "all routes"
            return f"{where}: {new.failures} of {new.requests} answers failed"
        for name in ("first_token", "token_gap"):
            if is_much_slower(getattr(old, name), getattr(new, name)):
                return f"{route or 'all routes'}: {name} is several times slower"
    return ""


def are_unlikely(old: Counts, new: Counts) -> bool:
    """Whether so many failures hardly come by chance at the old version's rate."""
    if new.failures < MIN_FAILURES:
        return False
    failures = old.failures + 2 * math.sqrt(old.failures + 1)
    usual = min(max(failures / max(old.requests, 1), 0.02), 1.0)
    fewer = sum(
        math.comb(new.requests, k) * usual**k * (1 - usual) ** (new.requests - k)
        for k in range(new.failures)
    )
    return 1 - fewer < UNLIKELY


def is_much_slower(old: list[int], new: list[int]) -> bool:
    """Whether the median of one latency histogram is far above that of another."""
    if min(sum(old), sum(new)) < MIN_SLOW_ANSWERS:
        return False
    return _median_bucket(new) - _median_bucket(old) >= SLOW_BUCKETS


def _median_bucket(histogram: list[int]) -> int:
    half, below = sum(histogram) / 2, 0
    for index, count in enumerate(histogram):
        below += count
        if below >= half:
            return index
    return len(histogram) - 1


def has_enough(window: Window) -> bool:
    """Return whether the new version was seen on every busy route."""
    old_all, new_all = window[OVERALL]
    if new_all.requests < MIN_ANSWERS:
        return False
    for old, new in window.values():
        is_busy = old.requests >= BUSY_ROUTE_SHARE * max(old_all.requests, 1)
        if is_busy and new.requests < MIN_ROUTE_ANSWERS:
            return False
    return True
