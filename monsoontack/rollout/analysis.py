"""Sequential comparison of a new version with the old one.

For each route and overall, three tests compare failures, time to first token
and token gap over windows of the same time. Each test is a product of
likelihood ratios whose expectation is at most 1 while the new version is no
worse than the tolerance. By Ville's inequality it exceeds `1/alpha` at any
time with probability at most `alpha`, so it may be checked after every window.
A test that has fallen below 1 restarts once a minute, which keeps a long
healthy time from hiding a later fault; the threshold pays for all restarts.

* Failures: given the failures of a window, the share that falls to the new
  version depends only on the ratio of the two failure rates, not on the rates.
* Latencies: the share of requests above the old version's median, which is
  taken from earlier windows, is compared by Hoeffding's bound.
* With no old traffic left, the old version's last one to two hours are the
  reference, with a wider tolerance because the two times differ.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from operator import add

from monsoontack.rollout.evidence import (
    BUCKET_COUNT,
    OVERALL,
    Counts,
    Window,
    bucket_lower_bound_s,
)

# Versions up to 20% worse lose evidence under each of these, so the test needs
# no further tolerance; one of 1.1 cost a quarter of the evidence per request.
FAILURE_RATIOS = (1.5, 2.0, 4.0, 15.0, 60.0)
FAILURE_DRIFT = 1.1  # further tolerance against a reference of another time
FAILURE_CAP = 0.2  # a lost engine fails many requests of one window together
SHIFTS = (0.05, 0.12, 0.25)
SHIFT_TOLERANCE = 0.06  # share of slow requests; 5% slower is within it
SHIFT_DRIFT = 0.12
OVERDISPERSION = 1.5  # requests on one engine are slow together
MIN_REFERENCE = 200  # old requests before the reference is used
MIN_MEDIAN = 30  # old requests before the median is used
OLD_SHARE = 0.02  # below it old requests are the tail of long answers
RESTART_S = 60.0
REFERENCE_PERIOD_S = 3600.0
MAX_ROUTES = 8
RESTARTS = 480  # restarts in a rollout of eight hours
TESTS = 3 * (MAX_ROUTES + 1)
LOOKS = 6  # before each of the four next steps, the watch and the completion


def detection_threshold(alpha: float, judges: int = 1) -> float:
    """Return the log likelihood ratio at which a test convicts.

    `alpha` is the probability that any of `judges` independent parties stops a
    good version during a rollout of eight hours.
    """
    return math.log(TESTS * RESTARTS * max(judges, 1) / alpha)


def look_threshold_for(alpha: float) -> float:
    """Return the log likelihood ratio at which a look before a step convicts.

    There are only a few looks, so less evidence suffices than for a test that
    is checked after every window. A test that restarts is at its maximum over
    all starting times; read backwards in time that is one likelihood ratio, so
    a single look errs with probability `alpha` for steady traffic.
    """
    return math.log(TESTS * LOOKS / alpha)


@dataclass(frozen=True, slots=True)
class Finding:
    """A fault of the new version: what was measured, in words and figures."""

    metric: str
    route: str
    text: str
    log_evidence: float


@dataclass(slots=True)
class Reference:
    """Counts of the old version over its last one or two periods."""

    started_at: float = 0.0
    current: list[int] = field(default_factory=list)
    previous: list[int] = field(default_factory=list)

    def add(self, counts: list[int], now: float) -> None:
        """Add one window, and drop what is older than two periods."""
        if now - self.started_at >= REFERENCE_PERIOD_S:
            self.previous, self.current = self.current, []
            self.started_at = now
        if self.current:
            self.current = list(map(add, self.current, counts))
        else:
            self.current = list(counts)

    def total(self) -> list[int]:
        """Return the sum of both periods, or an empty list."""
        if not (self.current and self.previous):
            return self.current or self.previous
        return list(map(add, self.current, self.previous))


@dataclass(slots=True)
class Tally:
    """Requests and events (failures or slow requests) of both versions."""

    old: int = 0
    old_events: int = 0
    new: int = 0
    new_events: int = 0
    referenced: bool = False

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

    def when(self) -> str:
        """Return when the old version's requests of this tally ended."""
        return "until its traffic ended" if self.referenced else "at the same time"


class SequentialTest:
    """Log likelihood ratios of one metric, one per alternative."""

    def __init__(self, alternatives: int) -> None:
        self.logs = [0.0] * alternatives
        self.price = math.log(alternatives)
        self.reference = Reference()
        self.tally = Tally()

    def evidence(self) -> float:
        """Return the log evidence that the new version is worse."""
        return max(self.logs) - self.price

    def restart(self) -> None:
        """Restart the alternatives whose evidence has fallen below 1."""
        if max(self.logs) <= 0.0:
            self.tally = Tally()
        self.logs = [max(value, 0.0) for value in self.logs]

    def record(self) -> list:
        """Return the state as plain values that JSON can hold."""
        reference = self.reference
        return [
            self.logs,
            [reference.started_at, reference.current, reference.previous],
        ]

    def restore(self, record: list) -> None:
        """Take over a state returned by `record`."""
        logs, (started_at, current, previous) = record
        if len(logs) == len(self.logs):
            self.logs = [float(value) for value in logs]
        self.reference = Reference(float(started_at), list(current), list(previous))


class FailureTest(SequentialTest):
    """Compares failure rates."""

    metric = "failures"

    def __init__(self) -> None:
        super().__init__(len(FAILURE_RATIOS))

    def update(self, old: Counts, new: Counts, now: float) -> None:
        """Add one window."""
        n_old, n_new = old.requests, new.requests
        f_old, f_new = _capped(old), _capped(new)
        self.tally.add(n_old, old.failures, n_new, new.failures)
        if n_old and n_old >= OLD_SHARE * n_new:
            if n_new and f_old + f_new:
                self._compare(n_old, f_old, n_new, f_new)
            self.reference.add([n_old, old.failures], now)
        elif n_new:
            self._refer(n_new, f_new)

    def _compare(self, n_old: int, f_old: float, n_new: int, f_new: float) -> None:
        equal = n_new / (n_new + n_old)
        for i, ratio in enumerate(FAILURE_RATIOS):
            worse = ratio * n_new / (ratio * n_new + n_old)
            self.logs[i] += f_new * math.log(worse / equal)
            self.logs[i] += f_old * math.log((1 - worse) / (1 - equal))

    def _refer(self, n_new: int, f_new: float) -> None:
        total = self.reference.total()
        if not total or total[0] < MIN_REFERENCE:
            return
        self.tally.referenced = True
        usual = (total[1] + 1) / total[0]
        equal = FAILURE_DRIFT * _upper_rate(total[0], total[1])
        for i, ratio in enumerate(FAILURE_RATIOS):
            # Measured from the same rate as in `_compare`, so that the
            # evidence of one alternative adds up over both phases.
            worse = max(ratio * usual, equal)
            self.logs[i] += f_new * math.log(worse / equal) - n_new * (worse - equal)

    def text(self, old: str, new: str) -> str:
        """Return what was seen."""
        tally = self.tally
        share_old, share_new = tally.shares()
        if tally.referenced and not tally.old:
            n_old, f_old = self.reference.total()
            before = f"{100 * f_old / n_old:.2f}% of {n_old} on {old} before"
        else:
            before = f"{share_old:.2f}% of {tally.old} on {old} {tally.when()}"
        return f"{share_new:.2f}% of {tally.new} requests failed on {new}, {before}"


def _capped(counts: Counts) -> float:
    return min(counts.failures, max(1.0, FAILURE_CAP * counts.requests))


def _upper_rate(requests: int, failures: int) -> float:
    return (failures + 2 * math.sqrt(failures) + 3) / requests


class LatencyTest(SequentialTest):
    """Compares the share of requests above the old version's median."""

    def __init__(self, metric: str, words: str) -> None:
        super().__init__(len(SHIFTS))
        self.metric = metric
        self.words = words
        self.bound = 0

    def restart(self) -> None:
        """Restart alternatives below 1 and take the median again."""
        super().restart()
        self.bound = self._median()

    def update(self, old: Counts, new: Counts, now: float) -> None:
        """Add one window."""
        old_buckets, new_buckets = self._buckets(old), self._buckets(new)
        n_old, n_new = sum(old_buckets), sum(new_buckets)
        if not self.bound:
            self.bound = self._median()
        if self.bound:
            self._compare(n_old, old_buckets, n_new, new_buckets)
        if n_old and n_old >= OLD_SHARE * n_new:
            self.reference.add(old_buckets, now)

    def _buckets(self, counts: Counts) -> list[int]:
        if self.metric == "first_token":
            return counts.first_token
        return counts.token_gap

    def _median(self) -> int:
        total = self.reference.total()
        size = sum(total)
        if size < MIN_MEDIAN:
            return 0
        below = 0
        for index, count in enumerate(total):
            if 2 * (below + count) >= size:
                # The nearer edge of the bucket that holds the median.
                return index if size <= 2 * below + count else index + 1
            below += count
        return BUCKET_COUNT - 1

    def _compare(
        self, n_old: int, old_buckets: list[int], n_new: int, new_buckets: list[int]
    ) -> None:
        slow_old = sum(old_buckets[self.bound :])
        slow_new = sum(new_buckets[self.bound :])
        self.tally.add(n_old, slow_old, n_new, slow_new)
        if not n_new:
            return
        if n_old and n_old >= OLD_SHARE * n_new:
            excess = slow_new / n_new - slow_old / n_old - SHIFT_TOLERANCE
            self._add(excess, n_new * n_old / (n_new + n_old))
            return
        total = self.reference.total()
        size = sum(total)
        if size >= MIN_REFERENCE:
            self.tally.referenced = True
            usual = sum(total[self.bound :]) / size
            self._add(slow_new / n_new - usual - SHIFT_DRIFT, n_new)

    def _add(self, excess: float, size: float) -> None:
        for i, shift in enumerate(SHIFTS):
            gain = 4 * shift * size * excess - 2 * shift * shift * size
            self.logs[i] += gain / OVERDISPERSION

    def text(self, old: str, new: str) -> str:
        """Return what was seen."""
        tally = self.tally
        share_old, share_new = tally.shares()
        bound_ms = 1000 * bucket_lower_bound_s(self.bound)
        if tally.referenced and not tally.old:
            total = self.reference.total()
            share_old = 100 * sum(total[self.bound :]) / max(sum(total), 1)
            before = f"{share_old:.0f}% of {sum(total)} on {old} before"
        else:
            before = f"{share_old:.0f}% of {tally.old} on {old} {tally.when()}"
        return (
            f"{self.words} above {bound_ms:.0f} ms for {share_new:.0f}% of"
            f" {tally.new} requests on {new}, {before}"
        )


def _tests() -> tuple[SequentialTest, ...]:
    return (
        FailureTest(),
        LatencyTest("first_token", "time to first token"),
        LatencyTest("token_gap", "token gap"),
    )


class CanaryAnalysis:
    """All tests of one rollout.

    `threshold` comes from `detection_threshold`. The state can be stored with
    `record` and taken over by another process with `restore`.
    """

    def __init__(self, old: str, new: str, threshold: float) -> None:
        self.old = old
        self.new = new
        self.threshold = threshold
        self.routes: dict[str, tuple[SequentialTest, ...]] = {OVERALL: _tests()}
        self.restarted_at = 0.0
        self.finding: Finding | None = None

    def update(self, window: Window, now: float) -> Finding | None:
        """Add one window; return the finding once there is one."""
        restart = now - self.restarted_at >= RESTART_S
        if restart:
            self.restarted_at = now
        for route, (old, new) in window.items():
            for test in self._tests_of(route):
                if restart:
                    test.restart()
                test.update(old, new, now)
        return self._convict(self.threshold)

    def _tests_of(self, route: str) -> tuple[SequentialTest, ...]:
        if route not in self.routes and len(self.routes) <= MAX_ROUTES:
            self.routes[route] = _tests()
        return self.routes.get(route, ())

    def look(self, alpha: float) -> Finding | None:
        """Decide once before the next step; see `look_threshold_for`."""
        return self._convict(min(self.threshold, look_threshold_for(alpha)))

    def _convict(self, threshold: float) -> Finding | None:
        if self.finding is not None:
            return self.finding
        evidence, route, test = self._strongest()
        if evidence >= threshold:
            self.finding = Finding(
                test.metric, route, self._describe(route, test), evidence
            )
        return self.finding

    def _strongest(self) -> tuple[float, str, SequentialTest]:
        return max(
            ((t.evidence(), r, t) for r, tests in self.routes.items() for t in tests),
            key=lambda found: found[0],
        )

    def _describe(self, route: str, test: SequentialTest) -> str:
        where = f"route {route}" if route else "all routes"
        return f"{where}: {test.text(self.old, self.new)}"

    def summary(self) -> str:
        """Return the figures of the test nearest to its threshold.

        Without evidence against the version these are the overall failures.
        """
        evidence, route, test = self._strongest()
        if evidence <= 0.0:
            route, test = OVERALL, self.routes[OVERALL][0]
        share = 100 * max(evidence, 0.0) / self.threshold
        return f"{self._describe(route, test)} ({share:.0f}% of the evidence to stop)"

    def record(self) -> dict[str, list]:
        """Return the state as plain values that JSON can hold."""
        return {
            route: [test.record() for test in tests]
            for route, tests in self.routes.items()
        }

    def restore(self, record: Mapping[str, list]) -> None:
        """Take over a state returned by `record`."""
        for route, records in record.items():
            for test, state in zip(self._tests_of(route), records, strict=True):
                test.restore(state)
