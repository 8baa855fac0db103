"""Seeded simulation of a rollout during one night of traffic.

By default the traffic is that of today's deployments: 3 entries, 20 engines, 10
client accounts of which a few are large, 60 requests a second on three routes. The
failure rate drifts over the night, latencies differ by seed, and engines are lost.
The guards and the controller are the production code; only the delays of reports,
writes and stop marks are modelled. Request outcomes arrive in batches of 10 s instead
of one by one, and reports arrive one batch late, so the simulation detects faults
later than production does and overstates the number of harmed requests.
"""

import math
from dataclasses import dataclass, field

import numpy as np

from monsoontack.config.view import RolloutConfig
from monsoontack.rollout.analysis import CanaryAnalysis
from monsoontack.rollout.controller import RolloutController
from monsoontack.rollout.evidence import (
    BUCKET_COUNT,
    Counts,
    EvidenceCounters,
    EvidenceKey,
    bucket_lower_bound_s,
    pair_window,
)
from monsoontack.rollout.guard import RolloutGuard
from monsoontack.rollout.state import (
    Action,
    FleetSnapshot,
    LeaseGained,
    LoadVersion,
    PublishShares,
    ReportReceived,
    SharesPublished,
    SpreadStopMark,
    StateWritten,
    StopMarksReceived,
    Tick,
    WriteState,
)

WINDOW_S = 10
NIGHT_S = 8 * 3600
SERVICE, OLD_VERSION, NEW_VERSION, UID = "plan-writer", "v1", "v2", "rollout-1"
ROUTES = ("chat", "completions", "diagnosis")
ROUTE_SHARES = (0.5, 0.3, 0.2)
ACCOUNT_WEIGHTS = (30, 25, 15, 8, 6, 5, 4, 3, 2, 2)
FAILURE_RATE = 0.005
FIRST_TOKEN_LOGNORMAL = (0.15, 0.5)  # median in seconds, sigma of the logarithm
TOKEN_GAP_LOGNORMAL = (0.03, 0.35)
MEAN_ENGINE_LOSSES = 4.0  # per rollout
STREAMS_PER_LOST_ENGINE = 16
LOST_STREAM_FAILURE_RATE = 0.2  # the other streams of a lost engine are delayed
WEIGHTS_BYTES = 15_000_000_000
SLOW_FACTOR = 1.5
STOP_DELAY_LIMIT_S = 3.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """Traffic and fault of a simulated rollout.

    `onset` is when the new version is faulty: `none` (never), `at_once`,
    `after_30_min`, `above_load` (while it gets more than 30% of the requests) or
    `one_route` (always, but on one route only). `kind` is `failures` (failure rate
    multiplied by `factor`) or `slow` (first token or token gap slower by
    `SLOW_FACTOR`; the seed chooses which).
    """

    onset: str = "none"
    kind: str = "failures"
    factor: float = 2.0
    entries: int = 3
    engines: int = 20
    requests_per_s: float = 60.0
    deadline_s: float = 9000.0
    load_rate_bytes_s: float = 500_000_000.0
    # Number of windows from one evidence report of an entry to the next.
    report_windows: int = 1


@dataclass(slots=True)
class RolloutResult:
    """Outcome of one simulated rollout.

    `bad_requests` counts the requests to the new version while it is faulty, `harmed`
    those that failed or were slow because of the fault. `shown_at` is the time at which
    the first guard, or the controller, stops the rollout on the evidence that it has.
    `pooled_at` is the time at which the evidence of all entries, combined without
    delay, would be enough. `after_shown` and `after_pooled` count the requests to the
    faulty version later than 3 s after these times.
    """

    phase: str = ""
    reason: str = ""
    ended_at: float = 0.0
    bad_requests: int = 0
    harmed: int = 0
    after_shown: int = 0
    after_pooled: int = 0
    shown_at: float | None = None
    pooled_at: float | None = None
    stopped_by_guard: bool = False


def bucket_shares(median_s: float, sigma: float) -> np.ndarray:
    """Return the probability of each bucket under a lognormal latency."""
    bounds = [bucket_lower_bound_s(i) for i in range(1, BUCKET_COUNT)]
    below = [
        0.5 * (1 + math.erf(math.log(b / median_s) / (sigma * math.sqrt(2))))
        for b in bounds
    ]
    return np.diff(np.array([0.0, *below, 1.0]))


@dataclass
class RolloutModel:
    """Simulation of one scenario with one seed. The controller runs on entry 0.

    `loading` holds engines that load the new version, as pairs of completion time and
    address. `mark_times` holds for each entry the time at which the first stop mark
    reaches it. `pooled_analysis` analyses the evidence of all entries without delay.
    """

    scenario: Scenario
    seed: int
    result: RolloutResult = field(default_factory=RolloutResult)

    def __post_init__(self) -> None:
        scenario = self.scenario
        self.rng = np.random.default_rng([self.seed, 77])
        self.now = 0.0
        self.new_share_percent = 0.0
        self.config = RolloutConfig(
            UID,
            "move",
            SERVICE,
            OLD_VERSION,
            NEW_VERSION,
            scenario.deadline_s,
            "stepping",
        )
        names = [f"entry-{i}" for i in range(scenario.entries)]
        self.guards = [RolloutGuard.from_config(n, len(names)) for n in names]
        for guard in self.guards:
            guard.configure({UID: self.config}, self.now)
        self.counters = [EvidenceCounters() for _ in names]
        self.controller = RolloutController.from_config(
            names[0], scenario.load_rate_bytes_s, self.now
        )
        self.controller.configure(
            [self.config], {(SERVICE, NEW_VERSION): WEIGHTS_BYTES}, self.now
        )
        self.engines = {
            f"10.0.0.{i}:1": (OLD_VERSION,) for i in range(scenario.engines)
        }
        self.loading: list[tuple[float, str]] = []
        self.state = None
        self.pooled_analysis = CanaryAnalysis(
            OLD_VERSION, NEW_VERSION, self.controller.threshold
        )
        self.mark_times = [math.inf] * scenario.entries
        self._draw_conditions()

    def _draw_conditions(self) -> None:
        rng, scenario = self.rng, self.scenario
        self.failure_drift_phase = rng.uniform(0, 2 * math.pi)
        weights = np.array(ACCOUNT_WEIGHTS, float) / sum(ACCOUNT_WEIGHTS)
        mixes = rng.dirichlet([20 * s for s in ROUTE_SHARES], len(weights))
        self.account_rates = scenario.requests_per_s * weights[:, None] * mixes
        self.account_rates *= np.array(ROUTE_SHARES) / (weights @ mixes)
        self.load_factors = np.ones(len(weights))
        losses = rng.poisson(MEAN_ENGINE_LOSSES)
        self.loss_times = sorted(rng.uniform(0, scenario.deadline_s, losses))
        self.slow_metric = int(rng.integers(2))
        self.bad_route = len(ROUTES) - 1 - self.seed % len(ROUTES)
        normal, slow = [], []
        for median_s, sigma in (FIRST_TOKEN_LOGNORMAL, TOKEN_GAP_LOGNORMAL):
            drift = rng.uniform(0.9, 1.1)
            normal.append(bucket_shares(median_s * drift, sigma))
            slow.append(bucket_shares(median_s * drift * SLOW_FACTOR, sigma))
        self.normal_buckets, self.slow_buckets = normal, slow

    def run(self) -> RolloutResult:
        """Simulate until the rollout has ended and its stop marks have spread."""
        self._execute(self.controller.handle(self._fleet_snapshot(), 0.0))
        self._execute(self.controller.handle(LeaseGained(1), 0.0))
        limit = self.scenario.deadline_s + 60
        while self.now < limit:
            self._run_window()
            if self.state is not None and self.state.ended and self._is_settled():
                break
        result = self.result
        result.phase = str(self.state.phase)
        result.reason = self.state.reason
        result.ended_at = self.now
        return result

    def _is_settled(self) -> bool:
        shown = self.result.shown_at
        return shown is None or self.now >= shown + 4 * WINDOW_S

    def _run_window(self) -> None:
        counts, sent = self._draw_outcomes()
        if self._fault_active():
            self._count_late_requests(sent)
        self.now += WINDOW_S
        self._update_pooled_analysis(counts)
        for i, guard in enumerate(self.guards):
            for key, value in counts[i]:
                guard.observe_counts(key, value, self.now - 1e-3)
            for _ in guard.tick(self.now):
                self._spread_first_stop(i, True)
        self._run_controller(counts)

    def _update_pooled_analysis(self, counts: list) -> None:
        """Analyse the evidence of all entries without delay, as a comparison."""
        if self.scenario.onset == "none" or self.result.pooled_at is not None:
            return
        total: dict[EvidenceKey, Counts] = {}
        for rows in counts:
            for key, value in rows:
                if key in total:
                    total[key].add(value)
                else:
                    total[key] = value.copy()
        window = pair_window(total, SERVICE, OLD_VERSION, NEW_VERSION)
        if self.pooled_analysis.update(window, self.now):
            self.result.pooled_at = self.now

    def _run_controller(self, counts: list) -> None:
        for i, guard in enumerate(self.guards):
            counters = self.counters[i]
            # Reports are up to one interval old when the controller analyses them.
            if (round(self.now / WINDOW_S) + i) % self.scenario.report_windows == 0:
                report = counters.report(guard.entry, 1, 1)
                self.controller.handle(ReportReceived(report), self.now)
            for key, value in counts[i]:
                counters.counts.setdefault(key, Counts()).add(value)
        while self.loading and self.loading[0][0] <= self.now:
            _, address = self.loading.pop(0)
            self.engines[address] = (OLD_VERSION, NEW_VERSION)
        self.controller.handle(self._fleet_snapshot(), self.now)
        if self.now >= self.mark_times[0]:
            marks = tuple(self.guards[0].stop_marks())
            self._execute(self.controller.handle(StopMarksReceived(marks), self.now))
        self._execute(self.controller.handle(Tick(), self.now))

    def _fleet_snapshot(self) -> FleetSnapshot:
        return FleetSnapshot({SERVICE: dict(self.engines)}, len(self.guards))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case WriteState(state, version):
                    self.state = state
                    answer = StateWritten(state.uid, version + 1)
                    self._execute(self.controller.handle(answer, self.now))
                case PublishShares():
                    self.new_share_percent = dict(action.shares)[NEW_VERSION]
                    answer = SharesPublished(UID, self.new_share_percent, action.phase)
                    self.controller.handle(answer, self.now)
                case LoadVersion(address):
                    loaded_at = (
                        self.now + WEIGHTS_BYTES / self.scenario.load_rate_bytes_s
                    )
                    self.loading.append((loaded_at, address))
                case SpreadStopMark(mark):
                    self.guards[0].add_marks([mark])
                    self._spread_first_stop(0, False)

    def _spread_first_stop(self, entry: int, stopped_by_guard: bool) -> None:
        """Spread the first stop mark from one entry to the others."""
        if self.result.shown_at is not None:
            return
        self.result.shown_at = self.now
        self.result.stopped_by_guard = stopped_by_guard
        times = stop_mark_times(len(self.guards), entry, self.rng)
        self.mark_times = [self.now + t for t in times]
        marks = self.guards[entry].stop_marks()
        for guard in self.guards:
            guard.add_marks(marks)

    def _fraction_before_stop(self) -> np.ndarray:
        """Return for each entry the fraction of the window before its stop mark."""
        until = (np.array(self.mark_times) - self.now) / WINDOW_S
        return np.clip(until, 0.0, 1.0)

    def _draw_outcomes(self) -> tuple[list, np.ndarray]:
        """Draw the request outcomes of the next window for each entry."""
        rng, scenario = self.rng, self.scenario
        if self.now % 60 == 0:
            self.load_factors = rng.gamma(20.0, 1 / 20.0, len(self.load_factors))
        rates = self.load_factors @ self.account_rates / scenario.entries
        share = self._fraction_before_stop() * self.new_share_percent / 100.0
        parts = np.stack([1 - share, share], axis=1)
        mean = WINDOW_S * rates[None, :, None] * parts[:, None, :]
        sent = rng.poisson(mean)
        failed, buckets = self._draw_failures_and_latencies(sent)
        return self._evidence_rows(sent, failed, buckets), sent

    def _draw_failures_and_latencies(
        self, sent: np.ndarray
    ) -> tuple[np.ndarray, list[np.ndarray]]:
        rng, scenario = self.rng, self.scenario
        drift = math.sin(self.failure_drift_phase + self.now * 2 * math.pi / 14400)
        failed = rng.binomial(sent, FAILURE_RATE * (1 + 0.15 * drift))
        bad = np.zeros(sent.shape, bool)
        if self._fault_active():
            bad[:, :, 1] = True
            if scenario.onset == "one_route":
                bad[:, np.arange(len(ROUTES)) != self.bad_route, :] = False
            self.result.bad_requests += int(sent[:, :, 1].sum())
        if scenario.kind == "failures" and bad.any():
            extra_rate = FAILURE_RATE * (scenario.factor - 1)
            extra_failed = rng.binomial((sent - failed) * bad, min(1.0, extra_rate))
            failed += extra_failed
            self.result.harmed += int(extra_failed.sum())
        slow = bad if scenario.kind == "slow" else np.zeros(sent.shape, bool)
        self.result.harmed += int((sent * slow).sum())
        failed, lost = self._draw_engine_loss(sent, failed)
        buckets = [self._draw_latencies(sent - failed, slow, lost, m) for m in (0, 1)]
        return failed, buckets

    def _draw_engine_loss(self, sent, failed) -> tuple[np.ndarray, np.ndarray]:
        """Fail some streams of a lost engine; the others get a long latency."""
        lost = np.zeros(sent.shape, int)
        if not (self.loss_times and self.loss_times[0] <= self.now):
            return failed, lost
        self.loss_times.pop(0)
        total = sent.sum()
        if not total:
            return failed, lost
        streams = self.rng.multinomial(STREAMS_PER_LOST_ENGINE, (sent / total).ravel())
        affected = np.minimum(streams.reshape(sent.shape), sent - failed)
        ended_streams = self.rng.binomial(affected, LOST_STREAM_FAILURE_RATE)
        return failed + ended_streams, affected - ended_streams

    def _draw_latencies(self, count, slow, lost, metric: int) -> np.ndarray:
        shares = np.broadcast_to(
            self.normal_buckets[metric], (*count.shape, BUCKET_COUNT)
        )
        if slow.any() and metric == self.slow_metric:
            shares = np.where(slow[..., None], self.slow_buckets[metric], shares)
        drawn = self.rng.multinomial(np.maximum(count - lost, 0), shares)
        drawn[..., BUCKET_COUNT - 8] += np.minimum(lost, count)
        return drawn

    def _evidence_rows(self, sent, failed, buckets) -> list:
        first, gaps = buckets[0].tolist(), buckets[1].tolist()
        sent, failed = sent.tolist(), failed.tolist()
        records = []
        for e in range(len(self.guards)):
            rows = []
            for r, route in enumerate(ROUTES):
                for v, version in enumerate((OLD_VERSION, NEW_VERSION)):
                    if sent[e][r][v]:
                        counts = Counts(
                            sent[e][r][v],
                            failed[e][r][v],
                            first[e][r][v],
                            gaps[e][r][v],
                        )
                        rows.append((EvidenceKey(SERVICE, version, route), counts))
            records.append(rows)
        return records

    def _fault_active(self) -> bool:
        onset = self.scenario.onset
        if onset == "none" or self.new_share_percent <= 0:
            return False
        if onset == "after_30_min":
            return self.now >= 1800
        if onset == "above_load":
            return self.new_share_percent > 30.0
        return True

    def _count_late_requests(self, sent: np.ndarray) -> None:
        """Count requests to the new version later than 3 s after detection."""
        result, stops = self.result, np.array(self.mark_times)
        begin, end = self.now, np.minimum(stops, self.now + WINDOW_S)
        new_requests = sent[:, :, 1].sum(axis=1)
        for name in ("shown", "pooled"):
            at = getattr(result, f"{name}_at")
            if at is None:
                continue
            late_s = end - np.maximum(begin, at + STOP_DELAY_LIMIT_S)
            late_fraction = np.clip(late_s / np.maximum(end - begin, 1e-9), 0.0, 1.0)
            previous_count = getattr(result, f"after_{name}")
            setattr(
                result,
                f"after_{name}",
                previous_count + int(np.ceil(new_requests * late_fraction).sum()),
            )


def stop_mark_times(entries: int, start: int, rng: np.random.Generator) -> list[float]:
    """Return the seconds until a stop mark of entry `start` has reached each entry.

    An entry pushes a new mark to 4 random peers, 10% of the messages are lost, and
    each entry pulls from one random peer a second.
    """
    times = [math.inf] * entries
    times[start] = 0.0
    queue = [start]
    while queue:
        sender = queue.pop(0)
        others = [i for i in range(entries) if i != sender]
        for peer in rng.choice(others, min(4, len(others)), replace=False):
            if rng.random() < 0.1:
                continue
            arrival = times[sender] + rng.uniform(0.002, 0.05)
            if arrival < times[peer]:
                times[peer] = arrival
                queue.append(int(peer))
    return _add_pull_times(times, rng)


def _add_pull_times(times: list[float], rng: np.random.Generator) -> list[float]:
    """Apply pulls to the arrival times until the mark has reached every entry."""
    offsets = rng.uniform(0, 1, len(times))
    round_number = 0
    while max(times) == math.inf:
        for i, offset in enumerate(offsets):
            at = round_number + offset
            peer = int(rng.integers(len(times)))
            if times[i] > at and times[peer] < at and rng.random() >= 0.1:
                times[i] = at + 0.03
        round_number += 1
    return times
