"""Counts of request outcomes per service, version and route.

An entry adds each outcome to cumulative counters and reports them; the
controller turns the reports into windows that hold the old and the new
version over the same time. All memory is bounded.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from operator import add, sub
from typing import NamedTuple

from monsoontack.core.records import Outcome

FIRST_BOUND_S = 0.004
BUCKET_RATIO = 1.5
BUCKET_COUNT = 24
MAX_KEYS = 256
MAX_ENTRIES = 1024
MAX_FORMER = 4  # incarnations of an entry whose late reports are known
OTHER_ROUTE = "other"
OVERALL = ""
_LOG_RATIO = math.log(BUCKET_RATIO)
REPORT_S = 5.0
# Reports a second that the lease holder takes from the whole fleet. Reports of
# 390 entries each 5 s would cost it 2.4% of a core and 50 KB/s.
FLEET_REPORTS_PER_S = 10.0


def report_interval_s(entries: int) -> float:
    """Return the seconds between two evidence reports of one of `entries`."""
    return max(REPORT_S, entries / FLEET_REPORTS_PER_S)


class EvidenceKey(NamedTuple):
    """What a counter is about; `route` is the kind of request."""

    service: str
    version: str
    route: str


def bucket_of(latency_s: float) -> int:
    """Return the index of the latency bucket that holds `latency_s` seconds."""
    if latency_s <= FIRST_BOUND_S:
        return 0
    return min(
        BUCKET_COUNT - 1, 1 + int(math.log(latency_s / FIRST_BOUND_S) / _LOG_RATIO)
    )


def bucket_lower_bound_s(index: int) -> float:
    """Return the latency in seconds where bucket `index` begins."""
    return 0.0 if index == 0 else FIRST_BOUND_S * BUCKET_RATIO ** (index - 1)


def _zeros() -> list[int]:
    return [0] * BUCKET_COUNT


@dataclass(slots=True)
class Counts:
    """Requests that ended, those that failed, and latency histograms.

    The histograms count requests per bucket of `bucket_of`; a request without
    a measured latency is in none.
    """

    requests: int = 0
    failures: int = 0
    first_token: list[int] = field(default_factory=_zeros)
    token_gap: list[int] = field(default_factory=_zeros)

    def record(self, outcome: Outcome) -> None:
        """Count one outcome."""
        self.requests += 1
        self.failures += outcome.failed
        if outcome.first_token_s is not None:
            self.first_token[bucket_of(outcome.first_token_s)] += 1
        if outcome.token_gap_s is not None:
            self.token_gap[bucket_of(outcome.token_gap_s)] += 1

    def add(self, other: "Counts") -> None:
        """Add the counts of another record to this one."""
        if not other.requests:
            return
        self.requests += other.requests
        self.failures += other.failures
        self.first_token = _sum(self.first_token, other.first_token)
        self.token_gap = _sum(self.token_gap, other.token_gap)

    def minus(self, earlier: "Counts") -> "Counts":
        """Return the counts gained since an earlier state of the same counter."""
        return Counts(
            self.requests - earlier.requests,
            self.failures - earlier.failures,
            _difference(self.first_token, earlier.first_token),
            _difference(self.token_gap, earlier.token_gap),
        )

    def copy(self) -> "Counts":
        """Return an independent copy."""
        return Counts(
            self.requests, self.failures, list(self.first_token), list(self.token_gap)
        )

    def is_valid(self) -> bool:
        """Return whether the counts can be those of real requests."""
        return (
            0 <= self.failures <= self.requests
            and len(self.first_token) == len(self.token_gap) == BUCKET_COUNT
            and min(self.first_token) >= 0
            and min(self.token_gap) >= 0
            and sum(self.first_token) <= self.requests
            and sum(self.token_gap) <= self.requests
        )


def _sum(left: list[int], right: list[int]) -> list[int]:
    return list(map(add, left, right))


def _difference(left: list[int], right: list[int]) -> list[int]:
    return list(map(sub, left, right))


Window = dict[str, tuple[Counts, Counts]]
"""Counts of the old and new version per route; `OVERALL` is the sum."""


def pair_window(
    counts: Mapping[EvidenceKey, Counts], service: str, old: str, new: str
) -> Window:
    """Return the window of two versions of one service, with the overall sum."""
    window: Window = {OVERALL: (Counts(), Counts())}
    for key, value in counts.items():
        if key.service != service or key.version not in (old, new):
            continue
        side = 0 if key.version == old else 1
        pair = window.setdefault(key.route, (Counts(), Counts()))
        pair[side].add(value)
        window[OVERALL][side].add(value)
    return window


@dataclass(frozen=True, slots=True)
class EvidenceReport:
    """Cumulative counters of one entry since it started.

    `incarnation` is another number after each restart of the entry.
    """

    entry: str
    incarnation: int
    revision: int
    rollout_uid: str
    counts: Mapping[EvidenceKey, Counts]


@dataclass(slots=True)
class EvidenceCounters:
    """Counters of one entry, limited to `MAX_KEYS` keys.

    Outcomes of further routes count towards the route `other` of their
    service and version, so that they stay in the overall sum.
    """

    counts: dict[EvidenceKey, Counts] = field(default_factory=dict)
    dropped: int = 0

    def record(self, outcome: Outcome) -> None:
        """Count one outcome."""
        key = EvidenceKey(outcome.service, outcome.version, outcome.route)
        found = self.counts.get(key)
        if found is None:
            found = self._open(key)
        if found is not None:
            found.record(outcome)

    def _open(self, key: EvidenceKey) -> Counts | None:
        if len(self.counts) >= MAX_KEYS * 3 // 4:
            key = key._replace(route=OTHER_ROUTE)
        if key not in self.counts and len(self.counts) >= MAX_KEYS:
            self.dropped += 1
            return None
        return self.counts.setdefault(key, Counts())

    def retain(self, versions: Iterable[tuple[str, str]]) -> None:
        """Drop the counters of all but the given pairs of service and version."""
        kept = set(versions)
        self.counts = {
            key: value
            for key, value in self.counts.items()
            if (key.service, key.version) in kept
        }

    def report(
        self, entry: str, incarnation: int, revision: int, rollout_uid: str = ""
    ) -> EvidenceReport:
        """Return the counters as a report that later outcomes don't change."""
        copies = {key: value.copy() for key, value in self.counts.items()}
        return EvidenceReport(entry, incarnation, revision, rollout_uid, copies)


@dataclass(slots=True)
class _EntryRecord:
    incarnation: int
    counts: Mapping[EvidenceKey, Counts]
    reported_at: float
    former: tuple[int, ...] = ()


@dataclass(slots=True)
class EvidenceSum:
    """Sums the reports of all entries into windows.

    The first report of an unknown entry is only its baseline, because its
    counters cover an unknown time. A restarted entry counts from zero. Late
    reports, also of the last incarnations before, and impossible counters are
    dropped and counted in `dropped`.
    """

    entries: dict[str, _EntryRecord] = field(default_factory=dict)
    window: dict[EvidenceKey, Counts] = field(default_factory=dict)
    dropped: int = 0

    def merge(self, report: EvidenceReport, now: float) -> bool:
        """Add a report to the open window; return False if it was dropped."""
        known = self.entries.get(report.entry)
        deltas = self._deltas(report, known)
        if deltas is None:
            self.dropped += 1
            return False
        if known is None:
            self._make_room()
        former = known.former if known is not None else ()
        if known is not None and known.incarnation != report.incarnation:
            former = (*former, known.incarnation)[-MAX_FORMER:]
        self.entries[report.entry] = _EntryRecord(
            report.incarnation, report.counts, now, former
        )
        for key, delta in deltas.items():
            if key in self.window:
                self.window[key].add(delta)
            elif len(self.window) < MAX_KEYS:
                self.window[key] = delta
        return True

    def _deltas(
        self, report: EvidenceReport, known: _EntryRecord | None
    ) -> dict[EvidenceKey, Counts] | None:
        if len(report.counts) > MAX_KEYS:
            return None
        if known is not None and report.incarnation in known.former:
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

    def _make_room(self) -> None:
        if len(self.entries) < MAX_ENTRIES:
            return
        oldest = min(self.entries, key=lambda name: self.entries[name].reported_at)
        del self.entries[oldest]

    def close_window(self) -> dict[EvidenceKey, Counts]:
        """Return what was counted since the last call and open a new window."""
        closed, self.window = self.window, {}
        return closed

    def fresh_entries(self, now: float, age_s: float) -> int:
        """Return how many entries reported within the last `age_s` seconds."""
        return sum(now - e.reported_at <= age_s for e in self.entries.values())
