"""State machine of rollouts, run by the process that holds the lease.

Every change of a rollout is first written to its stored state, on condition
that the object still has the version that this process read. The change is
published only after the write succeeded. A second controller, or a paused one
that resumes after its lease expired, fails that write and steps down without
publishing anything. The publication itself is conditional on the lease epoch.
"""

from collections.abc import Iterable, Mapping

from monsoontack.config.view import RolloutConfig
from monsoontack.core.records import StopMark
from monsoontack.rollout.activerollout import ActiveRollout
from monsoontack.rollout.analysis import detection_threshold
from monsoontack.rollout.evidence import EvidenceAggregator, report_interval_s
from monsoontack.rollout.plan import MIN_STEP_S, LoadRateLimiter
from monsoontack.rollout.state import (
    Action,
    Event,
    FleetSnapshot,
    LeaseGained,
    LeaseLost,
    LoadEnded,
    ReportReceived,
    RolloutState,
    SharesPublished,
    SpreadStopMark,
    StateConflict,
    StateNotWritten,
    StateWritten,
    StepDown,
    StopMarksReceived,
    Tick,
)

CONTROLLER_ALPHA = 0.001  # probability that the controller stops a good version
WINDOW_S = 5.0
MAX_REPORT_AGE_INTERVALS = 3.0


class RolloutController:
    """Controls all rollouts of the fleet.

    `now` is Unix time, because the next lease holder continues with the same
    times. `handle` processes one event and returns the actions to execute;
    without the lease it only stores the latest `FleetSnapshot`. Example::

        controller = RolloutController.from_config("entry-1", rate, now)
        controller.configure(view.rollouts.values(), weights, now)
        for action in controller.handle(LeaseGained(epoch, stored), now):
            ...
    """

    def __init__(
        self, name: str, load_rate_bytes_s: float, now: float, min_step_s: float
    ) -> None:
        self.name = name
        self.min_step_s = min_step_s
        self.load_rate_bytes_s = load_rate_bytes_s
        self.epoch = 0
        self.threshold = detection_threshold(CONTROLLER_ALPHA)
        self.evidence = EvidenceAggregator()
        self.load_limiter = LoadRateLimiter(load_rate_bytes_s, now)
        self.fleet = FleetSnapshot({}, 0)
        self.configs: dict[str, RolloutConfig] = {}
        self.weight_bytes: Mapping[tuple[str, str], int] = {}
        self.active_rollouts: dict[str, ActiveRollout] = {}
        self.stored: dict[str, tuple[RolloutState, int]] = {}
        self.window_closed_at = now

    @classmethod
    def from_config(
        cls,
        name: str,
        load_rate_bytes_s: float,
        now: float,
        min_step_s: float = MIN_STEP_S,
    ) -> "RolloutController":
        """Return a controller without the lease; `min_step_s` bounds each step."""
        return cls(name, load_rate_bytes_s, now, min_step_s)

    def configure(
        self,
        rollouts: Iterable[RolloutConfig],
        weight_bytes: Mapping[tuple[str, str], int],
        now: float,
    ) -> None:
        """Replace the rollouts and the weight sizes in bytes by those of a revision.

        A rollout that is no longer published is dropped.
        """
        self.configs = {rollout.uid: rollout for rollout in rollouts}
        self.weight_bytes = weight_bytes
        for uid in set(self.active_rollouts) - set(self.configs):
            del self.active_rollouts[uid]
        if self.epoch:
            self._open_rollouts(now)

    def _open_rollouts(self, now: float) -> None:
        for uid, config in self.configs.items():
            if uid in self.active_rollouts:
                self.active_rollouts[uid].config = config
                continue
            stored = self.stored.pop(uid, None)
            self.active_rollouts[uid] = ActiveRollout.from_stored(
                config, self.threshold, stored, now, self.min_step_s
            )

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process one event at Unix time `now` and return the actions to execute."""
        match event:
            case FleetSnapshot():
                self.fleet = event
            case LeaseGained():
                return self._acquire_lease(event, now)
            case LeaseLost():
                self._release_lease()
            case _ if self.epoch:
                return self._handle_as_holder(event, now)
        return []

    def _handle_as_holder(self, event: Event, now: float) -> list[Action]:
        match event:
            case Tick():
                return self._tick(now)
            case ReportReceived(report):
                self.evidence.merge(report, now)
            case StopMarksReceived(marks):
                return self._apply_stop_marks(marks)
            case LoadEnded():
                return self._handle_load_result(event, now)
            case StateConflict(uid):
                self._release_lease()
                return [StepDown(f"another process wrote the state of rollout {uid}")]
            case StateWritten() | StateNotWritten() | SharesPublished():
                return self._handle_write_result(event)
        return []

    def _acquire_lease(self, event: LeaseGained, now: float) -> list[Action]:
        if any(state.epoch > event.epoch for state, _ in event.stored.values()):
            # The object versions that were just read would let this controller
            # overwrite the state of its successor.
            self._release_lease()
            return [StepDown("a stored rollout state has a higher lease epoch")]
        self.epoch = event.epoch
        self.stored = dict(event.stored)
        self.active_rollouts = {}
        self.evidence = EvidenceAggregator()
        self.window_closed_at = now
        # The previous holder may have started a load immediately before.
        debt_bytes = max(self.weight_bytes.values(), default=0)
        self.load_limiter = LoadRateLimiter(self.load_rate_bytes_s, now, debt_bytes)
        self._open_rollouts(now)
        return self._tick(now)

    def _release_lease(self) -> None:
        self.epoch = 0
        self.active_rollouts = {}
        self.stored = {}

    def _handle_write_result(
        self, event: StateWritten | StateNotWritten | SharesPublished
    ) -> list[Action]:
        rollout = self.active_rollouts.get(event.uid)
        if rollout is None:
            return []
        if isinstance(event, SharesPublished):
            rollout.published = (event.share, event.phase)
            return []
        if isinstance(event, StateNotWritten):
            rollout.pending_write = None
            return []
        rollout.write_succeeded(event.version)
        return rollout.next_publication(self.epoch) + rollout.next_write(self.epoch)

    def _tick(self, now: float) -> list[Action]:
        actions = self._evaluate_window(now)
        age_s = MAX_REPORT_AGE_INTERVALS * report_interval_s(self.fleet.entries)
        reporting = self.evidence.count_recent_entries(now, age_s)
        for rollout in self.active_rollouts.values():
            size_bytes = self.weight_bytes.get(
                (rollout.state.service, rollout.state.to_version), 0
            )
            actions += rollout.next_loads(
                self.fleet, self.load_limiter, size_bytes, self.epoch, now
            )
            rollout.advance(self.fleet, reporting, now)
            actions += rollout.next_write(self.epoch)
            actions += rollout.next_publication(self.epoch)
        return actions

    def _evaluate_window(self, now: float) -> list[Action]:
        if now - self.window_closed_at < WINDOW_S:
            return []
        counts = self.evidence.close_window()
        self.window_closed_at = now
        actions: list[Action] = []
        for rollout in self.active_rollouts.values():
            finding = rollout.add_window(counts, now)
            if finding is None:
                continue
            mark = StopMark(
                rollout.state.uid,
                rollout.state.service,
                rollout.state.to_version,
                f"controller {self.name}: {finding.text}",
                self.name,
            )
            rollout.roll_back(mark.reason)
            actions.append(SpreadStopMark(mark))
        return actions

    def _apply_stop_marks(self, marks: Iterable[StopMark]) -> list[Action]:
        actions: list[Action] = []
        for mark in marks:
            rollout = self.active_rollouts.get(mark.rollout_uid)
            if rollout is not None:
                rollout.roll_back(mark.reason)
                actions += rollout.next_write(self.epoch)
        return actions

    def _handle_load_result(self, event: LoadEnded, now: float) -> list[Action]:
        if event.code == "fenced":
            self._release_lease()
            return [StepDown(f"{event.address} has seen a higher lease epoch")]
        if event.code != "ok":
            for rollout in self.active_rollouts.values():
                if rollout.state.to_version == event.version:
                    rollout.load_failed(event.address, now)
        return []
