"""One active rollout in the controller: analysis, weight loads and steps."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from monsoontack.config.view import RolloutConfig
from monsoontack.rollout.analysis import CanaryAnalysis, Finding
from monsoontack.rollout.evidence import ALL_ROUTES, Counts, EvidenceKey, pair_window
from monsoontack.rollout.plan import (
    STEP_PERCENTAGES,
    LoadRateLimiter,
    engines_needed,
    step_end_time,
    steps_fit,
)
from monsoontack.rollout.state import (
    Action,
    FleetSnapshot,
    LoadVersion,
    Phase,
    PublishShares,
    RolloutState,
    WriteState,
)

# Share of the listed entries that must report before the next step. Two of three
# suffice, because the VM list contains an entry for a while after its failure.
MIN_REPORTING_SHARE = 0.6
# Share of the expected requests that must have ended before the next step.
MIN_ENDED_SHARE = 0.3
ENDED_SLACK_REQUESTS = 10  # the share means little for so few requests
LOAD_TIMEOUT_S = 900.0
LOAD_RETRY_S = 30.0
SAVE_INTERVAL_S = 60.0
STEP_CHECK_ALPHA = 0.001  # probability that an interim check stops a good version


@dataclass(slots=True, repr=False)
class ActiveRollout:
    """State of one rollout in the controller's memory.

    `state` is the state that the object API has under `version` (0: no object yet),
    `desired` the state to write next, and `pending_write` the state of a write
    without an answer.
    """

    config: RolloutConfig
    state: RolloutState
    version: int
    analysis: CanaryAnalysis
    min_step_s: float
    desired: RolloutState | None = None
    pending_write: RolloutState | None = None
    published: tuple[float, Phase] | None = None
    ended_old: int = 0
    ended_new: int = 0
    saved_at: float = 0.0
    pending_loads: dict[str, float] = field(default_factory=dict)
    load_failure_times: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_stored(
        cls,
        config: RolloutConfig,
        threshold: float,
        stored: tuple[RolloutState, int] | None,
        now: float,
        min_step_s: float,
    ) -> "ActiveRollout":
        """Start a rollout, or continue from the state that a predecessor stored."""
        analysis = CanaryAnalysis(config.from_version, config.to_version, threshold)
        if stored is not None:
            state, version = stored
            analysis.restore(state.evidence)
            return cls(config, state, version, analysis, min_step_s, saved_at=now)
        state = RolloutState(
            config.uid,
            config.service,
            config.from_version,
            config.to_version,
            reason="loading weights",
        )
        return cls(config, state, 0, analysis, min_step_s, desired=state, saved_at=now)

    def next_write(self, epoch: int) -> list[Action]:
        """Return the write of the desired state, unless another write is pending."""
        if self.desired is None or self.pending_write is not None:
            return []
        self.desired = self.pending_write = replace(self.desired, epoch=epoch)
        return [WriteState(self.pending_write, self.version)]

    def write_succeeded(self, version: int) -> None:
        """Make the pending write the stored state, with its new version."""
        if self.pending_write is None:
            return
        if self.pending_write.step != self.state.step:
            self.ended_old = self.ended_new = 0
        if self.desired == self.pending_write:
            self.desired = None
        self.state, self.pending_write, self.version = self.pending_write, None, version

    def next_publication(self, epoch: int) -> list[Action]:
        """Return the publication of the stored share, unless it is published.

        While the write of a rollback is pending, no earlier step is published.
        """
        state = self.state
        if self.version == 0 or self.published == (state.share, state.phase):
            return []
        stopping = self.desired is not None and self.desired.phase == Phase.ROLLED_BACK
        if stopping:
            return []
        shares = (
            (state.from_version, 100.0 - state.share),
            (state.to_version, state.share),
        )
        return [
            PublishShares(
                state.uid, state.service, shares, state.phase, state.reason, epoch
            )
        ]

    def add_window(
        self, counts: Mapping[EvidenceKey, Counts], now: float
    ) -> Finding | None:
        """Analyse one window of all entries; return the finding, if any."""
        state = self.state
        if state.ended:
            return None
        window = pair_window(
            counts, state.service, state.from_version, state.to_version
        )
        old, new = window[ALL_ROUTES]
        self.ended_old += old.requests
        self.ended_new += new.requests
        return self.analysis.update(window, now)

    def roll_back(self, reason: str) -> None:
        """Make the rollback the desired state; the first reason is kept."""
        if self.state.phase == Phase.ROLLED_BACK:
            return
        if self.desired is not None and self.desired.phase == Phase.ROLLED_BACK:
            return
        share = self.state.share
        where = f"rolled back at {share:g}%: " if share else "rolled back: "
        self.desired = replace(
            self.state, phase=Phase.ROLLED_BACK, reason=where + reason, evidence={}
        )

    def advance(self, fleet: FleetSnapshot, reporting: int, now: float) -> None:
        """Make the next step the desired state if it is due and nothing blocks it.

        `reporting` is the number of entries with recent evidence.
        """
        if self.state.ended or self.desired is not None:
            return
        blocked_by = self._blocking_reason(fleet, reporting)
        deadline = self.config.deadline_unix_s
        if now >= deadline:
            self.roll_back(f"deadline missed; {blocked_by or 'evidence came too late'}")
        elif self.state.step < 0 and not steps_fit(0, now, deadline, self.min_step_s):
            self.roll_back(f"too little time before the deadline; {blocked_by}")
        elif blocked_by or now < self.state.step_ends_unix_s:
            self._save_progress(blocked_by, now)
        else:
            self._next_step(now)

    def _next_step(self, now: float) -> None:
        state = self.state
        finding = (
            self.analysis.interim_check(STEP_CHECK_ALPHA) if state.step >= 0 else None
        )
        if finding is not None:
            self.roll_back(f"before the next step: {finding.text}")
            return
        if state.phase == Phase.WATCHING:
            self.desired = replace(
                state,
                phase=Phase.COMPLETE,
                reason=f"complete: {self.analysis.summary()}",
                evidence={},
            )
            return
        seen = self.analysis.summary() if state.step >= 0 else "weights are loaded"
        step = state.step + 1
        ends = step_end_time(step, now, self.config.deadline_unix_s, self.min_step_s)
        reason = f"at {STEP_PERCENTAGES[step]:g}%: {seen}"
        started = state.at_step(step, now, ends, reason)
        self.desired = replace(started, evidence=self.analysis.to_record())
        self.saved_at = now

    def _save_progress(self, blocked_by: str, now: float) -> None:
        if now - self.saved_at < SAVE_INTERVAL_S:
            return
        self.saved_at = now
        state = self.state
        if state.step < 0:
            reason, evidence = f"loading weights; {blocked_by}", {}
        else:
            reason = f"at {state.share:g}%: {self.analysis.summary()}"
            reason += f"; waiting: {blocked_by}" if blocked_by else ""
            evidence = self.analysis.to_record()
        saved = replace(state, reason=reason, evidence=evidence)
        if saved != state:
            self.desired = saved

    def _blocking_reason(self, fleet: FleetSnapshot, reporting: int) -> str:
        """Return why the next step must wait, or an empty string."""
        state = self.state
        engines = fleet.engines.get(state.service, {})
        if not engines:
            return "no engine of the service is known"
        needed = self._engines_needed(len(engines))
        loaded = self._engines_loaded(engines)
        if loaded < needed:
            return f"{loaded} of {needed} engines have loaded {state.to_version}"
        if state.step < 0:
            return ""
        if self.published != (state.share, state.phase):
            return f"the share of {state.share:g}% is not published yet"
        if reporting < MIN_REPORTING_SHARE * max(fleet.entries, 1):
            return f"{reporting} of {fleet.entries} entries report evidence"
        return self._missing_outcomes_reason()

    def _missing_outcomes_reason(self) -> str:
        # A version that never answers causes no failures; only ended requests are
        # missing.
        share = self.state.share
        if share >= 100.0:
            return ""
        expected = self.ended_old * share / (100.0 - share)
        if self.ended_new + ENDED_SLACK_REQUESTS >= MIN_ENDED_SHARE * expected:
            return ""
        return (
            f"{self.ended_new} requests ended on {self.state.to_version},"
            f" about {expected:.0f} expected"
        )

    def _engines_needed(self, engines: int) -> int:
        share = STEP_PERCENTAGES[min(self.state.step + 1, len(STEP_PERCENTAGES) - 1)]
        return engines_needed(share, engines)

    def _engines_loaded(self, engines: Mapping[str, tuple[str, ...]]) -> int:
        return sum(self.state.to_version in versions for versions in engines.values())

    def next_loads(
        self,
        fleet: FleetSnapshot,
        load_limiter: LoadRateLimiter,
        size_bytes: int,
        epoch: int,
        now: float,
    ) -> list[Action]:
        """Return the load orders for the next step that the rate limit permits."""
        state = self.state
        if state.ended or self.version == 0:
            return []
        engines = fleet.engines.get(state.service, {})
        self.pending_loads = {
            address: started
            for address, started in self.pending_loads.items()
            if now - started < LOAD_TIMEOUT_S
            and state.to_version not in engines.get(address, (state.to_version,))
        }
        missing = self._engines_needed(len(engines)) - self._engines_loaded(engines)
        missing -= len(self.pending_loads)
        orders: list[Action] = []
        for address in sorted(engines):
            if len(orders) >= missing:
                break
            if not self._may_load(address, engines[address], now):
                continue
            if not load_limiter.try_acquire(size_bytes, now):
                break
            self.pending_loads[address] = now
            orders.append(LoadVersion(address, state.service, state.to_version, epoch))
        return orders

    def _may_load(self, address: str, versions: tuple[str, ...], now: float) -> bool:
        if self.state.to_version in versions or address in self.pending_loads:
            return False
        failed_at = self.load_failure_times.get(address)
        return failed_at is None or now - failed_at >= LOAD_RETRY_S

    def load_failed(self, address: str, now: float) -> None:
        """Record a failed load, which delays the next load order to the engine."""
        if self.pending_loads.pop(address, None) is not None:
            self.load_failure_times[address] = now
