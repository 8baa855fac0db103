"""Moves of a service to engines of another version within seconds.

Engines of the new version start beside the old ones, and the move has to be done
by a deadline that may lie a few seconds ahead. Every entry gives the new version
a small share of its own requests, and the counts of all entries are judged
together. Nothing here does I/O.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from monsoontack.rollout.evidence import (
    OVERALL,
    Counts,
    EvidenceKey,
    Window,
    pair_window,
)
from monsoontack.rollout.judge import Judge, look_threshold_for

# Parts of the permitted exposure that the entries use: they see the order at
# slightly different times, and requests under way end later.
SHARE_USED = 0.6
TOLERANCE_USED = 0.6
# Chance that a good version is stopped at one look.
LOOK_ALPHA = 0.01
# Failures of the new version that stop it where its rate is far above the old one.
CLEAR_FAILURES = 5
CLEAR_RATIO = 3.0
CLEAR_RATE = 0.15
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
# Answers of the old version cannot be awaited for ever before its engines stop.
MAX_MOVE_S = 15.0
OLD = "old"


class Phase(StrEnum):
    """How far a move is."""

    CANARY = "canary"
    MOVING = "moving"
    COMPLETE = "complete"
    REVERTED = "reverted"


@dataclass(frozen=True, slots=True)
class MoveOrder:
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

    `share` of its requests and `tolerance` more may go there. `failures` of the
    new version close the gate before the entries' counts are judged together.
    """

    share: float
    tolerance: float
    requests: int = 0
    exposed: int = 0
    failures: int = 0
    answers: int = 0

    @classmethod
    def for_entries(cls, share: float, tolerance: float, entries: int) -> "CanaryGate":
        """Return the gate of one of `entries` entries."""
        part = TOLERANCE_USED * tolerance / max(entries, 1)
        return cls(SHARE_USED * share, part)

    def note_request(self) -> None:
        """Count a request of the service."""
        self.requests += 1

    def may_expose(self) -> bool:
        """Whether one more request may go to the new version."""
        if self.failures >= CLEAR_FAILURES and self.failures >= self.answers / 4:
            return False
        return self.exposed + 1 <= self.share * self.requests + self.tolerance

    def note_exposed(self) -> None:
        """Count a send to the new version."""
        self.exposed += 1

    def note_answer(self, failed: bool) -> None:
        """Count an answer of the new version."""
        self.answers += 1
        self.failures += failed


@dataclass(frozen=True, slots=True)
class EntryEvidence:
    """Counts of one life of an entry; `old_open` requests run on old engines."""

    counts: Mapping[EvidenceKey, Counts]
    old_open: int
    phase: Phase


@dataclass(slots=True)
class MoveState:
    """What the lease holder knows of an order; times are of the loop's clock."""

    order: MoveOrder
    seen_at: float
    moving_since: float | None = None
    evidence: dict[str, EntryEvidence] = field(default_factory=dict)
    reason: str = ""

    def window(self) -> Window:
        """Return the counts of all entries, by route."""
        total: dict[EvidenceKey, Counts] = {}
        for report in self.evidence.values():
            for key, counts in report.counts.items():
                total.setdefault(key, Counts()).add(counts)
        order = self.order
        return pair_window(total, order.service, OLD, order.target)

    def next_phase(self, now: float) -> Phase:
        """Return the phase that the order should be in."""
        order = self.order
        if order.phase is Phase.CANARY:
            return self._judge(now)
        if order.phase is Phase.MOVING:
            self.moving_since = now if self.moving_since is None else self.moving_since
            if self._is_moved() or now - self.moving_since > MAX_MOVE_S:
                return Phase.COMPLETE
        return order.phase

    def _is_moved(self) -> bool:
        reports = self.evidence.values()
        return bool(reports) and all(
            report.phase is Phase.MOVING and report.old_open == 0 for report in reports
        )

    def _judge(self, now: float) -> Phase:
        window = self.window()
        finding = find_fault(window, self.order.target)
        if finding:
            self.reason = finding
            return Phase.REVERTED
        elapsed = now - self.seen_at
        if elapsed >= DECIDE_SHARE * self.order.span_s and has_enough(window):
            self.reason = "no fault found"
            return Phase.MOVING
        if elapsed > GIVE_UP_FACTOR * self.order.span_s:
            self.reason = "too few answers to judge the version"
            return Phase.REVERTED
        return Phase.CANARY


def find_fault(window: Window, target: str) -> str:
    """Return what is wrong with the new version, or nothing."""
    for route, (old, new) in window.items():
        usual = max(old.failures / max(old.requests, 1), 0.02)
        rate = new.failures / max(new.requests, 1)
        clear = rate >= CLEAR_RATE and rate >= CLEAR_RATIO * usual
        if new.failures >= CLEAR_FAILURES and clear:
            where = f"route {route}" if route else "all routes"
            return f"{where}: {new.failures} of {new.requests} answers failed"
        for name in ("first_token", "token_gap"):
            if is_much_slower(getattr(old, name), getattr(new, name)):
                return f"{route or 'all routes'}: {name} is several times slower"
    judge = Judge(OLD, target, look_threshold_for(LOOK_ALPHA))
    # The first pass takes the old version's medians, against which the second
    # compares the latencies.
    judge.update({r: (old, Counts()) for r, (old, _) in window.items()}, 0.0)
    judge.update(window, 0.0)
    finding = judge.look(LOOK_ALPHA)
    return finding.text if finding is not None else ""


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
