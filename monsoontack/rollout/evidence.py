"""Counts of request outcomes per service, version and route.

An entry adds each outcome to cumulative counters and reports the counters. The
controller computes windows from the reports; a window has the counts of the old
and the new version over the same period. All memory is bounded.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from operator import add, sub
from typing import NamedTuple

from monsoontack.core.records import RequestOutcome

FIRST_BUCKET_BOUND_S = 0.004
BUCKET_RATIO = 1.5
BUCKET_COUNT = 24
MAX_COUNTER_KEYS = 256
MAX_ENTRIES = 1024
# Previous incarnations of an entry whose late reports are recognised.
MAX_FORMER_INCARNATIONS = 4
OTHER_ROUTES = "other"
ALL_ROUTES = ""
_LOG_RATIO = math.log(BUCKET_RATIO)
MIN_REPORT_INTERVAL_S = 5.0
# Evidence reports per second that the lease holder receives from the whole fleet.
# 390 entries that report every 5 s would cost it 2.4% of a core and 50 KB/s.
MAX_FLEET_REPORTS_PER_S = 10.0


def report_interval_s(entries: int) -> float:
    """Return the report interval of each entry in a fleet of `entries`."""
    return max(MIN_REPORT_INTERVAL_S, entries / MAX_FLEET_REPORTS_PER_S)


class EvidenceKey(NamedTuple):
    """Key of a counter; `route` is the kind of request."""

    service: str
    version: str
    route: str


def bucket_index(latency_s: float) -> int:
    """Return the index of the latency bucket that holds `latency_s` seconds."""
    if latency_s <= FIRST_BUCKET_BOUND_S:
        return 0
    return min(
        BUCKET_COUNT - 1,
        1 + int(math.log(latency_s / FIRST_BUCKET_BOUND_S) / _LOG_RATIO),
    )


def bucket_lower_bound_s(index: int) -> float:
    """Return the lower bound of bucket `index` in seconds."""
    return 0.0 if index == 0 else FIRST_BUCKET_BOUND_S * BUCKET_RATIO ** (index - 1)


def _zeros() -> list[int]:
    return [0] * BUCKET_COUNT


@dataclass(slots=True, repr=False)
class Counts:
    """Ended requests, failed requests and latency histograms.

    The histograms count requests by `bucket_index`. A request without a measured
    latency is in no bucket.
    """

    requests: int = 0
    failures: int = 0
    first_token: list[int] = field(default_factory=_zeros)
    token_gap: list[int] = field(default_factory=_zeros)

    def record(self, outcome: RequestOutcome) -> None:
        """Count one outcome."""
        self.requests += 1
        self.failures += outcome.failed
        if outcome.first_token_s is not None:
            self.first_token[bucket_index(outcome.first_token_s)] += 1
        if outcome.token_gap_s is not None:
            self.token_gap[bucket_index(outcome.token_gap_s)] += 1

    def add(self, other: "Counts") -> None:
        """Add the counts of `other` to this record."""
        if not other.requests:
            return
        self.requests += other.requests
        self.failures += other.failures
        self.first_token = _add_lists(self.first_token, other.first_token)
        self.token_gap = _add_lists(self.token_gap, other.token_gap)

    def minus(self, earlier: "Counts") -> "Counts":
        """Return the increase since an earlier state of the same counter."""
        return Counts(
            self.requests - earlier.requests,
            self.failures - earlier.failures,
            _subtract_lists(self.first_token, earlier.first_token),
            _subtract_lists(self.token_gap, earlier.token_gap),
        )

    def copy(self) -> "Counts":
        """Return an independent copy."""
        return Counts(
            self.requests, self.failures, list(self.first_token), list(self.token_gap)
        )

    def is_valid(self) -> bool:
        """Return whether the counts are consistent with each other."""
        return (
            0 <= self.failures <= self.requests
            and len(self.first_token) == len(self.token_gap) == BUCKET_COUNT
            and min(self.first_token) >= 0
            and min(self.token_gap) >= 0
            and sum(self.first_token) <= self.requests
            and sum(self.token_gap) <= self.requests
        )


def _add_lists(left: list[int], right: list[int]) -> list[int]:
    return list(map(add, left, right))


def _subtract_lists(left: list[int], right: list[int]) -> list[int]:
    return list(map(sub, left, right))


Window = dict[str, tuple[Counts, Counts]]
"""Counts of the old and the new version by route; `ALL_ROUTES` has the sum."""


def pair_window(
    counts: Mapping[EvidenceKey, Counts], service: str, old: str, new: str
) -> Window:
    """Return the window of two versions of one service, with the sum of all routes."""
    window: Window = {ALL_ROUTES: (Counts(), Counts())}
    for key, value in counts.items():
        if key.service != service or key.version not in (old, new):
            continue
        side = 0 if key.version == old else 1
        pair = window.setdefault(key.route, (Counts(), Counts()))
        pair[side].add(value)
        window[ALL_ROUTES][side].add(value)
    return window


@dataclass(frozen=True, slots=True, repr=False)
class EvidenceReport:
    """Cumulative counters of one entry since it started.

    `incarnation` changes with each restart of the entry.
    """

    entry: str
    incarnation: int
    revision: int
    rollout_uid: str
    counts: Mapping[EvidenceKey, Counts]


@dataclass(slots=True, repr=False)
class EvidenceCounters:
    """Counters of one entry, limited to `MAX_COUNTER_KEYS` keys.

    Outcomes of further routes are counted under the route `other` of their service
    and version, so that the sum of all routes includes them.
    """

    counts: dict[EvidenceKey, Counts] = field(default_factory=dict)
    dropped_outcomes: int = 0

    def record(self, outcome: RequestOutcome) -> None:
        """Count one outcome."""
        key = EvidenceKey(outcome.service, outcome.version, outcome.route)
        found = self.counts.get(key)
        if found is None:
            found = self._add_key(key)
        if found is not None:
            found.record(outcome)

    def _add_key(self, key: EvidenceKey) -> Counts | None:
        if len(self.counts) >= MAX_COUNTER_KEYS * 3 // 4:
            key = key._replace(route=OTHER_ROUTES)
        if key not in self.counts and len(self.counts) >= MAX_COUNTER_KEYS:
            self.dropped_outcomes += 1
            return None
        return self.counts.setdefault(key, Counts())

    def retain(self, versions: Iterable[tuple[str, str]]) -> None:
        """Delete all counters except those of the given (service, version) pairs."""
        kept = set(versions)
        self.counts = {
            key: value
            for key, value in self.counts.items()
            if (key.service, key.version) in kept
        }

    def report(
        self, entry: str, incarnation: int, revision: int, rollout_uid: str = ""
    ) -> EvidenceReport:
        """Return a report with a copy of the counters."""
        copies = {key: value.copy() for key, value in self.counts.items()}
        return EvidenceReport(entry, incarnation, revision, rollout_uid, copies)


@dataclass(slots=True, repr=False)
class _EntryState:
    incarnation: int
    counts: Mapping[EvidenceKey, Counts]
    reported_at: float
    former_incarnations: tuple[int, ...] = ()


@dataclass(slots=True, repr=False)
class EvidenceAggregator:
    """Aggregates the reports of all entries into windows.

    The first report of an unknown entry is only its baseline, because its
    counters cover an unknown period. The counters of a restarted entry start at
    zero. Late reports, including those of previous incarnations, and inconsistent
    counters are dropped and counted in `dropped_reports`.
    """

    entries: dict[str, _EntryState] = field(default_factory=dict)
    window: dict[EvidenceKey, Counts] = field(default_factory=dict)
    dropped_reports: int = 0

    def merge(self, report: EvidenceReport, now: float) -> bool:
        """Add a report to the open window; return False if it was dropped."""
        known = self.entries.get(report.entry)
        deltas = self._compute_deltas(report, known)
        if deltas is None:
            self.dropped_reports += 1
            return False
        if known is None:
            self._evict_oldest_entry()
        former_incarnations = known.former_incarnations if known is not None else ()
        if known is not None and known.incarnation != report.incarnation:
            former_incarnations = (*former_incarnations, known.incarnation)[
                -MAX_FORMER_INCARNATIONS:
            ]
        self.entries[report.entry] = _EntryState(
            report.incarnation, report.counts, now, former_incarnations
        )
        for key, delta in deltas.items():
            if key in self.window:
                self.window[key].add(delta)
            elif len(self.window) < MAX_COUNTER_KEYS:
                self.window[key] = delta
        return True

    def _compute_deltas(
        self, report: EvidenceReport, known: _EntryState | None
    ) -> dict[EvidenceKey, Counts] | None:
        if len(report.counts) > MAX_COUNTER_KEYS:
            return None
        if known is not None and report.incarnation in known.former_incarnations:
            return None
        if not all(counts.is_valid() for counts in report.counts.values()):
            return None
        if known is None:
            return {}
        earlier = known.counts if report.incarnation == known.incarnation else {}
        deltas = {}
        for key, counts in report.counts.items():
            before = earlier.get(key)
            if before is not None and before.requests == counts.requests:
                continue
            delta = counts.minus(before) if before is not None else counts.copy()
            if not delta.is_valid():
                return None
            deltas[key] = delta
        return deltas

    def _evict_oldest_entry(self) -> None:
        if len(self.entries) < MAX_ENTRIES:
            return
        oldest = min(self.entries, key=lambda name: self.entries[name].reported_at)
        del self.entries[oldest]

    def close_window(self) -> dict[EvidenceKey, Counts]:
        """Return the counts since the previous call and open a new window."""
        closed, self.window = self.window, {}
        return closed

    def count_recent_entries(self, now: float, age_s: float) -> int:
        """Return the number of entries that reported in the last `age_s` seconds."""
        return sum(now - e.reported_at <= age_s for e in self.entries.values())
