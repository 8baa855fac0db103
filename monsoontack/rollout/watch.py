"""One rollout as the controller works on it: judging, loading, advancing."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from monsoontack.config.view import RolloutConfig
from monsoontack.rollout.analysis import CanaryAnalysis, Finding
from monsoontack.rollout.evidence import OVERALL, Counts, EvidenceKey, pair_window
from monsoontack.rollout.plan import (
    STEPS,
    LoadBucket,
    engines_needed,
    fits,
    step_end,
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

# Part of the listed entries that must report to advance; two of three suffice,
# since the VM list still shows an entry for a while after its death.
MIN_REPORTING = 0.6
MIN_ENDED = 0.3  # part of the expected requests that must have ended to advance
ENDED_SLACK = 10  # requests; below it the part says little
LOAD_TIMEOUT_S = 900.0
LOAD_RETRY_S = 30.0
SAVE_S = 60.0
LOOK_ALPHA = 0.001  # chance that a look before a step stops a good version


@dataclass(slots=True)
class Watch:
    """Working memory of one rollout.

    `state` is what the object API holds under `version` (0: nothing yet),
    `wanted` what it should hold, and `writing` what is being written.
    """

    config: RolloutConfig
    state: RolloutState
    version: int
    judge: CanaryAnalysis
    min_step_s: float
    wanted: RolloutState | None = None
    writing: RolloutState | None = None
    published: tuple[float, Phase] | None = None
    ended_old: int = 0
    ended_new: int = 0
    saved_at: float = 0.0
    loads: dict[str, float] = field(default_factory=dict)
    failed_loads: dict[str, float] = field(default_factory=dict)

    @classmethod
    def open(
        cls,
        config: RolloutConfig,
        threshold: float,
        stored: tuple[RolloutState, int] | None,
        now: float,
        min_step_s: float,
    ) -> "Watch":
        """Start a rollout, or go on from the state that a predecessor stored."""
        judge = CanaryAnalysis(config.from_version, config.to_version, threshold)
        if stored is not None:
            state, version = stored
            judge.restore(state.evidence)
            return cls(config, state, version, judge, min_step_s, saved_at=now)
        state = RolloutState(
            config.uid,
            config.service,
            config.from_version,
            config.to_version,
            reason="loading weights",
        )
        return cls(config, state, 0, judge, min_step_s, wanted=state, saved_at=now)

    def next_write(self, epoch: int) -> list[Action]:
        """Return the write of the wanted state, unless one is under way."""
        if self.wanted is None or self.writing is not None:
            return []
        self.wanted = self.writing = replace(self.wanted, epoch=epoch)
        return [WriteState(self.writing, self.version)]

    def written(self, version: int) -> None:
        """Take over the state whose write took effect."""
        if self.writing is None:
            return
        if self.writing.step != self.state.step:
            self.ended_old = self.ended_new = 0
        if self.wanted == self.writing:
            self.wanted = None
        self.state, self.writing, self.version = self.writing, None, version

    def next_publication(self, epoch: int) -> list[Action]:
        """Return the publication of the stored share, unless it is in force.

        While a rollback waits for its write, no earlier step is published.
        """
        state = self.state
        if self.version == 0 or self.published == (state.share, state.phase):
            return []
        stopping = self.wanted is not None and self.wanted.phase == Phase.ROLLED_BACK
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
        """Judge one window of all entries; return the finding, if any."""
        state = self.state
        if state.ended:
            return None
        window = pair_window(
            counts, state.service, state.from_version, state.to_version
        )
        old, new = window[OVERALL]
        self.ended_old += old.requests
        self.ended_new += new.requests
        return self.judge.update(window, now)

    def roll_back(self, reason: str) -> None:
        """Want the rollout rolled back; the first reason stays."""
        if self.state.phase == Phase.ROLLED_BACK:
            return
        if self.wanted is not None and self.wanted.phase == Phase.ROLLED_BACK:
            return
        share = self.state.share
        where = f"rolled back at {share:g}%: " if share else "rolled back: "
        self.wanted = replace(
            self.state, phase=Phase.ROLLED_BACK, reason=where + reason, evidence={}
        )

    def advance(self, fleet: FleetSnapshot, reporting: int, now: float) -> None:
        """Want the next step if its time has come and nothing stands against it.

        `reporting` is the number of entries with recent evidence.
        """
        if self.state.ended or self.wanted is not None:
            return
        obstacle = self._obstacle(fleet, reporting)
        deadline = self.config.deadline_unix_s
        if now >= deadline:
            self.roll_back(f"deadline missed; {obstacle or 'evidence came too late'}")
        elif self.state.step < 0 and not fits(0, now, deadline, self.min_step_s):
            self.roll_back(f"too little time before the deadline; {obstacle}")
        elif obstacle or now < self.state.step_ends_unix_s:
            self._save(obstacle, now)
        else:
            self._next_step(now)

    def _next_step(self, now: float) -> None:
        state = self.state
        finding = self.judge.look(LOOK_ALPHA) if state.step >= 0 else None
        if finding is not None:
            self.roll_back(f"before the next step: {finding.text}")
            return
        if state.phase == Phase.WATCHING:
            self.wanted = replace(
                state,
                phase=Phase.COMPLETE,
                reason=f"complete: {self.judge.summary()}",
                evidence={},
            )
            return
        seen = self.judge.summary() if state.step >= 0 else "weights are loaded"
        step = state.step + 1
        ends = step_end(step, now, self.config.deadline_unix_s, self.min_step_s)
        reason = f"at {STEPS[step]:g}%: {seen}"
        started = state.at_step(step, now, ends, reason)
        self.wanted = replace(started, evidence=self.judge.record())
        self.saved_at = now

    def _save(self, obstacle: str, now: float) -> None:
        if now - self.saved_at < SAVE_S:
            return
        self.saved_at = now
        state = self.state
        if state.step < 0:
            reason, evidence = f"loading weights; {obstacle}", {}
        else:
            reason = f"at {state.share:g}%: {self.judge.summary()}"
            reason += f"; waiting: {obstacle}" if obstacle else ""
            evidence = self.judge.record()
        saved = replace(state, reason=reason, evidence=evidence)
        if saved != state:
            self.wanted = saved

    def _obstacle(self, fleet: FleetSnapshot, reporting: int) -> str:
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
        if reporting < MIN_REPORTING * max(fleet.entries, 1):
            return f"{reporting} of {fleet.entries} entries report evidence"
        return self._too_few_ended()

    def _too_few_ended(self) -> str:
        # A version that never answers leaves no failures, only this gap.
        share = self.state.share
        if share >= 100.0:
            return ""
        expected = self.ended_old * share / (100.0 - share)
        if self.ended_new + ENDED_SLACK >= MIN_ENDED * expected:
            return ""
        return (
            f"{self.ended_new} requests ended on {self.state.to_version},"
            f" about {expected:.0f} expected"
        )

    def _engines_needed(self, engines: int) -> int:
        share = STEPS[min(self.state.step + 1, len(STEPS) - 1)]
        return engines_needed(share, engines)

    def _engines_loaded(self, engines: Mapping[str, tuple[str, ...]]) -> int:
        return sum(self.state.to_version in versions for versions in engines.values())

    def next_loads(
        self,
        fleet: FleetSnapshot,
        bucket: LoadBucket,
        size_bytes: int,
        epoch: int,
        now: float,
    ) -> list[Action]:
        """Return the load orders for the next step that the rate permits."""
        state = self.state
        if state.ended or self.version == 0:
            return []
        engines = fleet.engines.get(state.service, {})
        self.loads = {
            address: started
            for address, started in self.loads.items()
            if now - started < LOAD_TIMEOUT_S
            and state.to_version not in engines.get(address, (state.to_version,))
        }
        missing = self._engines_needed(len(engines)) - self._engines_loaded(engines)
        missing -= len(self.loads)
        orders: list[Action] = []
        for address in sorted(engines):
            if len(orders) >= missing:
                break
            if not self._may_load(address, engines[address], now):
                continue
            if not bucket.take(size_bytes, now):
                break
            self.loads[address] = now
            orders.append(LoadVersion(address, state.service, state.to_version, epoch))
        return orders

    def _may_load(self, address: str, versions: tuple[str, ...], now: float) -> bool:
        if self.state.to_version in versions or address in self.loads:
            return False
        failed_at = self.failed_loads.get(address)
        return failed_at is None or now - failed_at >= LOAD_RETRY_S

    def load_failed(self, address: str, now: float) -> None:
        """Wait before the engine is ordered to load again."""
        if self.loads.pop(address, None) is not None:
            self.failed_loads[address] = now
