"""Sequential comparison of a new version with the old one.

For each route and for all routes together, three tests compare failures, time to
first token and token gap over windows of the same period. Each test statistic is a
product of likelihood ratios whose expectation is at most 1 while the new version is
no worse than the tolerance. By Ville's inequality it ever exceeds `1/alpha` with
probability at most `alpha`, so it may be checked after every window. A test whose
statistic is below 1 restarts once a minute, so that a long healthy period cannot
hide a later fault; the threshold accounts for all restarts.

* Failures: given the number of failures in a window, the share of them on the new
  version depends only on the ratio of the two failure rates, not on the rates.
* Latencies: the shares of requests above the old version's median are compared with
  Hoeffding's bound. The median is computed from earlier windows.
* When the old version gets no traffic any more, its last one to two hours are the
  reference. The tolerance is then wider because the periods differ.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from operator import add

from monsoontack.rollout.evidence import (
    ALL_ROUTES,
    BUCKET_COUNT,
    Counts,
    Window,
    bucket_lower_bound_s,
)

# Failure ratios of the alternative hypotheses. A version that is up to 20% worse
# loses evidence under each of them, so the test needs no further tolerance; a
# tolerance factor of 1.1 cost a quarter of the evidence per request.
FAILURE_RATIOS = (1.5, 2.0, 4.0, 15.0, 60.0)
# Additional tolerance against a reference from an earlier period.
FAILURE_DRIFT_FACTOR = 1.1
# Failures above this share of a window's requests are not counted, because the loss of
# an engine fails many requests of one window together.
MAX_WINDOW_FAILURE_SHARE = 0.2
# Increases of the share of slow requests under the alternative hypotheses.
LATENCY_SHIFTS = (0.05, 0.12, 0.25)
# Tolerated increase of the share of slow requests; it covers 5% higher latencies.
LATENCY_SHIFT_TOLERANCE = 0.06
REFERENCE_SHIFT_TOLERANCE = 0.12  # against a reference from an earlier period
OVERDISPERSION_FACTOR = 1.5  # latencies of requests on one engine are correlated
MIN_REFERENCE_REQUESTS = 200  # requests of the old version in the reference
MIN_MEDIAN_REQUESTS = 30  # requests of the old version in the median
# If a window has fewer requests of the old version than this multiple of the new
# version's, they are only the last long answers, and the reference is used instead.
MIN_OLD_SHARE = 0.02
RESTART_INTERVAL_S = 60.0
REFERENCE_PERIOD_S = 3600.0
MAX_ROUTES = 8
RESTARTS_PER_ROLLOUT = 480  # one a minute in a rollout of eight hours
MAX_TESTS = 3 * (MAX_ROUTES + 1)
# One before each of the four later steps, the watching phase and the completion.
INTERIM_CHECKS = 6


def detection_threshold(alpha: float, evaluator_count: int = 1) -> float:
    """Return the log likelihood ratio at which a test rejects the new version.

    `alpha` is the probability that any of `evaluator_count` independent parties stops a
    good version during a rollout of eight hours.
    """
    return math.log(MAX_TESTS * RESTARTS_PER_ROLLOUT * max(evaluator_count, 1) / alpha)


def interim_threshold(alpha: float) -> float:
    """Return the log likelihood ratio at which an interim check rejects.

    An interim check precedes a step. There are only a few of them, so they need less
    evidence than a test that is checked after every window. The statistic of a test
    that restarts is its maximum over all starting times. Seen backwards in time this
    is a single likelihood ratio, so with steady traffic the error probability of one
    check is `alpha`.
    """
    return math.log(MAX_TESTS * INTERIM_CHECKS / alpha)


@dataclass(frozen=True, slots=True)
class Finding:
    """A fault of the new version; `text` describes it with the measured figures."""

    metric: str
    route: str
    text: str
    log_evidence: float


@dataclass(slots=True, repr=False)
class Reference:
    """Counts of the old version over the last one or two reference periods."""

    started_at: float = 0.0
    current: list[int] = field(default_factory=list)
    previous: list[int] = field(default_factory=list)

    def add(self, counts: list[int], now: float) -> None:
        """Add one window and drop the counts that are older than two periods."""
        if now - self.started_at >= REFERENCE_PERIOD_S:
            self.previous, self.current = self.current, []
            self.started_at = now
        if self.current:
            self.current = list(map(add, self.current, counts))
        else:
            self.current = list(counts)

    def total(self) -> list[int]:
        """Return the sum of both periods, or an empty list if there are no counts."""
        if not (self.current and self.previous):
            return self.current or self.previous
        return list(map(add, self.current, self.previous))


@dataclass(slots=True, repr=False)
class Tally:
    """Requests and events (failures or slow requests) of both versions."""

    old: int = 0
    old_events: int = 0
    new: int = 0
    new_events: int = 0
    uses_reference: bool = False

    def add(self, old: int, old_events: int, new: int, new_events: int) -> None:
        """Add one window."""
        self.old += old
        self.old_events += old_events
        self.new += new
        self.new_events += new_events

    def shares(self) -> tuple[float, float]:
        """Return the percentage of events of the old and the new version."""
        old = 100 * self.old_events / max(self.old, 1)
        return old, 100 * self.new_events / max(self.new, 1)

    def old_period(self) -> str:
        """Return, as text, the period of the old version's requests in the tally."""
        return "until its traffic ended" if self.uses_reference else "at the same time"


class SequentialTest:
    """Log likelihood ratios of one metric, one per alternative hypothesis."""

    def __init__(self, alternatives: int) -> None:
        self.log_ratios = [0.0] * alternatives
        self.mixture_penalty = math.log(alternatives)
        self.reference = Reference()
        self.tally = Tally()

    def log_evidence(self) -> float:
        """Return the log evidence that the new version is worse."""
        return max(self.log_ratios) - self.mixture_penalty

    def restart(self) -> None:
        """Restart the alternatives whose likelihood ratio is below 1."""
        if max(self.log_ratios) <= 0.0:
            self.tally = Tally()
        self.log_ratios = [max(value, 0.0) for value in self.log_ratios]

    def to_record(self) -> list:
        """Return the state as values that can be serialised to JSON."""
        reference = self.reference
        return [
            self.log_ratios,
            [reference.started_at, reference.current, reference.previous],
        ]

    def restore(self, record: list) -> None:
        """Restore a state returned by `to_record`."""
        log_ratios, (started_at, current, previous) = record
        if len(log_ratios) == len(self.log_ratios):
            self.log_ratios = [float(value) for value in log_ratios]
        self.reference = Reference(float(started_at), list(current), list(previous))


class FailureTest(SequentialTest):
    """Compares failure rates."""

    metric = "failures"

    def __init__(self) -> None:
        super().__init__(len(FAILURE_RATIOS))

    def update(self, old: Counts, new: Counts, now: float) -> None:
        """Add one window."""
        n_old, n_new = old.requests, new.requests
        f_old, f_new = _capped_failures(old), _capped_failures(new)
        self.tally.add(n_old, old.failures, n_new, new.failures)
        if n_old and n_old >= MIN_OLD_SHARE * n_new:
            if n_new and f_old + f_new:
                self._compare(n_old, f_old, n_new, f_new)
            self.reference.add([n_old, old.failures], now)
        elif n_new:
            self._compare_with_reference(n_new, f_new)

    def _compare(self, n_old: int, f_old: float, n_new: int, f_new: float) -> None:
        equal_share = n_new / (n_new + n_old)
        for i, ratio in enumerate(FAILURE_RATIOS):
            worse_share = ratio * n_new / (ratio * n_new + n_old)
            self.log_ratios[i] += f_new * math.log(worse_share / equal_share)
            self.log_ratios[i] += f_old * math.log(
                (1 - worse_share) / (1 - equal_share)
            )

    def _compare_with_reference(self, n_new: int, f_new: float) -> None:
        total = self.reference.total()
        if not total or total[0] < MIN_REFERENCE_REQUESTS:
            return
        self.tally.uses_reference = True
        reference_rate = (total[1] + 1) / total[0]
        equal_rate = FAILURE_DRIFT_FACTOR * _upper_failure_rate(total[0], total[1])
        for i, ratio in enumerate(FAILURE_RATIOS):
            # The alternatives are relative to the same rate as in `_compare`, so that
            # the evidence for one alternative adds up over both phases.
            worse_rate = max(ratio * reference_rate, equal_rate)
            self.log_ratios[i] += f_new * math.log(worse_rate / equal_rate) - n_new * (
                worse_rate - equal_rate
            )

    def describe(self, old: str, new: str) -> str:
        """Return the figures of both versions as text."""
        tally = self.tally
        share_old, share_new = tally.shares()
        if tally.uses_reference and not tally.old:
            n_old, f_old = self.reference.total()
            before = f"{100 * f_old / n_old:.2f}% of {n_old} on {old} before"
        else:
            before = f"{share_old:.2f}% of {tally.old} on {old} {tally.old_period()}"
        return f"{share_new:.2f}% of {tally.new} requests failed on {new}, {before}"


def _capped_failures(counts: Counts) -> float:
    return min(counts.failures, max(1.0, MAX_WINDOW_FAILURE_SHARE * counts.requests))


def _upper_failure_rate(requests: int, failures: int) -> float:
    return (failures + 2 * math.sqrt(failures) + 3) / requests


class LatencyTest(SequentialTest):
    """Compares the share of requests above the old version's median."""

    def __init__(self, metric: str, metric_text: str) -> None:
        super().__init__(len(LATENCY_SHIFTS))
        self.metric = metric
        self.metric_text = metric_text
        self.median_bucket = 0

    def restart(self) -> None:
        """Restart alternatives with a ratio below 1; recompute the median bucket."""
        super().restart()
        self.median_bucket = self._find_median_bucket()

    def update(self, old: Counts, new: Counts, now: float) -> None:
        """Add one window."""
        old_buckets, new_buckets = self._buckets(old), self._buckets(new)
        n_old, n_new = sum(old_buckets), sum(new_buckets)
        if not self.median_bucket:
            self.median_bucket = self._find_median_bucket()
        if self.median_bucket:
            self._compare(n_old, old_buckets, n_new, new_buckets)
        if n_old and n_old >= MIN_OLD_SHARE * n_new:
            self.reference.add(old_buckets, now)

    def _buckets(self, counts: Counts) -> list[int]:
        if self.metric == "first_token":
            return counts.first_token
        return counts.token_gap

    def _find_median_bucket(self) -> int:
        total = self.reference.total()
        size = sum(total)
        if size < MIN_MEDIAN_REQUESTS:
            return 0
        below = 0
        for index, count in enumerate(total):
            if 2 * (below + count) >= size:
                # The nearer bound of the bucket that contains the median.
                return index if size <= 2 * below + count else index + 1
            below += count
        return BUCKET_COUNT - 1

    def _compare(
        self, n_old: int, old_buckets: list[int], n_new: int, new_buckets: list[int]
    ) -> None:
        slow_old = sum(old_buckets[self.median_bucket :])
        slow_new = sum(new_buckets[self.median_bucket :])
        self.tally.add(n_old, slow_old, n_new, slow_new)
        if not n_new:
            return
        if n_old and n_old >= MIN_OLD_SHARE * n_new:
            excess = slow_new / n_new - slow_old / n_old - LATENCY_SHIFT_TOLERANCE
            self._add_evidence(excess, n_new * n_old / (n_new + n_old))
            return
        total = self.reference.total()
        size = sum(total)
        if size >= MIN_REFERENCE_REQUESTS:
            self.tally.uses_reference = True
            reference_share = sum(total[self.median_bucket :]) / size
            self._add_evidence(
                slow_new / n_new - reference_share - REFERENCE_SHIFT_TOLERANCE, n_new
            )

    def _add_evidence(self, excess: float, size: float) -> None:
        for i, shift in enumerate(LATENCY_SHIFTS):
            gain = 4 * shift * size * excess - 2 * shift * shift * size
            self.log_ratios[i] += gain / OVERDISPERSION_FACTOR

    def describe(self, old: str, new: str) -> str:
        """Return the figures of both versions as text."""
        tally = self.tally
        share_old, share_new = tally.shares()
        bound_ms = 1000 * bucket_lower_bound_s(self.median_bucket)
        if tally.uses_reference and not tally.old:
            total = self.reference.total()
            share_old = 100 * sum(total[self.median_bucket :]) / max(sum(total), 1)
            before = f"{share_old:.0f}% of {sum(total)} on {old} before"
        else:
            before = f"{share_old:.0f}% of {tally.old} on {old} {tally.old_period()}"
        return (
            f"{self.metric_text} above {bound_ms:.0f} ms for {share_new:.0f}% of"
            f" {tally.new} requests on {new}, {before}"
        )


def _create_tests() -> tuple[SequentialTest, ...]:
    return (
        FailureTest(),
        LatencyTest("first_token", "time to first token"),
        LatencyTest("token_gap", "token gap"),
    )


class CanaryAnalysis:
    """Canary analysis: all tests of one rollout.

    `threshold` is a result of `detection_threshold`. `to_record` returns the state for
    storage, and `restore` loads it in another process.
    """

    def __init__(self, old: str, new: str, threshold: float) -> None:
        self.old = old
        self.new = new
        self.threshold = threshold
        self.routes: dict[str, tuple[SequentialTest, ...]] = {
            ALL_ROUTES: _create_tests()
        }
        self.restarted_at = 0.0
        self.finding: Finding | None = None

    def update(self, window: Window, now: float) -> Finding | None:
        """Add one window; return the finding, or None while there is no fault."""
        restart = now - self.restarted_at >= RESTART_INTERVAL_S
        if restart:
            self.restarted_at = now
        for route, (old, new) in window.items():
            for test in self._route_tests(route):
                if restart:
                    test.restart()
                test.update(old, new, now)
        return self._find_fault(self.threshold)

    def _route_tests(self, route: str) -> tuple[SequentialTest, ...]:
        if route not in self.routes and len(self.routes) <= MAX_ROUTES:
            self.routes[route] = _create_tests()
        return self.routes.get(route, ())

    def interim_check(self, alpha: float) -> Finding | None:
        """Check the evidence before the next step; see `interim_threshold`."""
        return self._find_fault(min(self.threshold, interim_threshold(alpha)))

    def _find_fault(self, threshold: float) -> Finding | None:
        if self.finding is not None:
            return self.finding
        log_evidence, route, test = self._strongest_evidence()
        if log_evidence >= threshold:
            self.finding = Finding(
                test.metric, route, self._describe(route, test), log_evidence
            )
        return self.finding

    def _strongest_evidence(self) -> tuple[float, str, SequentialTest]:
        return max(
            (
                (t.log_evidence(), r, t)
                for r, tests in self.routes.items()
                for t in tests
            ),
            key=lambda found: found[0],
        )

    def _describe(self, route: str, test: SequentialTest) -> str:
        where = f"route {route}" if route else "all routes"
        return f"{where}: {test.describe(self.old, self.new)}"

    def summary(self) -> str:
        """Return the figures of the test that is nearest to its threshold.

        Without evidence against the version, these are the failures on all routes.
        """
        log_evidence, route, test = self._strongest_evidence()
        if log_evidence <= 0.0:
            route, test = ALL_ROUTES, self.routes[ALL_ROUTES][0]
        share = 100 * max(log_evidence, 0.0) / self.threshold
        return f"{self._describe(route, test)} ({share:.0f}% of the evidence to stop)"

    def to_record(self) -> dict[str, list]:
        """Return the state as values that can be serialised to JSON."""
        return {
            route: [test.to_record() for test in tests]
            for route, tests in self.routes.items()
        }

    def restore(self, record: Mapping[str, list]) -> None:
        """Restore a state returned by `to_record`."""
        for route, records in record.items():
            for test, state in zip(self._route_tests(route), records, strict=True):
                test.restore(state)
