"""Step machine of rollouts, run by the process that holds the lease.

Every change of a rollout is first written to its stored state under the
version that this process read, and is published only once the write took
effect. A second controller, or one that wakes up after its lease expired,
fails that write and steps down without having published anything. Publishing
itself is conditional on the lease epoch.
"""

from collections.abc import Iterable, Mapping

from monsoontack.config.view import RolloutConfig
from monsoontack.core.records import StopMark
from monsoontack.rollout.analysis import detection_threshold
from monsoontack.rollout.evidence import EvidenceSum, report_interval_s
from monsoontack.rollout.plan import MIN_STEP_S, LoadBucket
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
from monsoontack.rollout.watch import Watch

CONTROLLER_ALPHA = 0.001  # chance that the controller stops a good version
WINDOW_S = 5.0
REPORT_AGE_INTERVALS = 3.0


class RolloutController:
    """All rollouts of the fleet. `now` is Unix time, which successors share.

    `handle` takes one event and returns the actions to execute; without the
    lease it only keeps its view of the fleet up to date. Example::

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
        self.evidence = EvidenceSum()
        self.bucket = LoadBucket(load_rate_bytes_s, now)
        self.fleet = FleetSnapshot({}, 0)
        self.configs: dict[str, RolloutConfig] = {}
        self.weights: Mapping[tuple[str, str], int] = {}
        self.watches: dict[str, Watch] = {}
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
        """Return a controller without the lease; a step lasts `min_step_s` or more."""
        return cls(name, load_rate_bytes_s, now, min_step_s)

    def configure(
        self,
        rollouts: Iterable[RolloutConfig],
        weights: Mapping[tuple[str, str], int],
        now: float,
    ) -> None:
        """Take over the rollouts and the weight sizes in bytes of a revision.

        A rollout that is no longer published is forgotten.
        """
        self.configs = {rollout.uid: rollout for rollout in rollouts}
        self.weights = weights
        for uid in set(self.watches) - set(self.configs):
            del self.watches[uid]
        if self.epoch:
            self._open_watches(now)

    def _open_watches(self, now: float) -> None:
        for uid, config in self.configs.items():
            if uid in self.watches:
                self.watches[uid].config = config
                continue
            stored = self.stored.pop(uid, None)
            self.watches[uid] = Watch.open(
                config, self.threshold, stored, now, self.min_step_s
            )

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event at Unix time `now` and return the actions to execute."""
        match event:
            case FleetSnapshot():
                self.fleet = event
            case LeaseGained():
                return self._gain(event, now)
            case LeaseLost():
                self._lose()
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
                return self._see_marks(marks)
            case LoadEnded():
                return self._end_load(event, now)
            case StateConflict(uid):
                self._lose()
                return [StepDown(f"another process wrote the state of rollout {uid}")]
            case StateWritten() | StateNotWritten() | SharesPublished():
                return self._take_answer(event)
        return []

    def _gain(self, event: LeaseGained, now: float) -> list[Action]:
        if any(state.epoch > event.epoch for state, _ in event.stored.values()):
            # Its versions would let this controller overwrite its successor.
            self._lose()
            return [StepDown("a stored rollout state has a higher lease epoch")]
        self.epoch = event.epoch
        self.stored = dict(event.stored)
        self.watches = {}
        self.evidence = EvidenceSum()
        self.window_closed_at = now
        # The previous holder may have started a load just now.
        debt = max(self.weights.values(), default=0)
        self.bucket = LoadBucket(self.load_rate_bytes_s, now, debt)
        self._open_watches(now)
        return self._tick(now)

    def _lose(self) -> None:
        self.epoch = 0
        self.watches = {}
        self.stored = {}

    def _take_answer(
        self, event: StateWritten | StateNotWritten | SharesPublished
    ) -> list[Action]:
        watch = self.watches.get(event.uid)
        if watch is None:
            return []
        if isinstance(event, SharesPublished):
            watch.published = (event.share, event.phase)
            return []
        if isinstance(event, StateNotWritten):
            watch.writing = None
            return []
        watch.written(event.version)
        return watch.next_publication(self.epoch) + watch.next_write(self.epoch)

    def _tick(self, now: float) -> list[Action]:
        actions = self._judge(now)
        age_s = REPORT_AGE_INTERVALS * report_interval_s(self.fleet.entries)
        reporting = self.evidence.fresh_entries(now, age_s)
        for watch in self.watches.values():
            size = self.weights.get((watch.state.service, watch.state.to_version), 0)
            actions += watch.next_loads(self.fleet, self.bucket, size, self.epoch, now)
            watch.advance(self.fleet, reporting, now)
            actions += watch.next_write(self.epoch)
            actions += watch.next_publication(self.epoch)
        return actions

    def _judge(self, now: float) -> list[Action]:
        if now - self.window_closed_at < WINDOW_S:
            return []
        counts = self.evidence.close_window()
        self.window_closed_at = now
        actions: list[Action] = []
        for watch in self.watches.values():
            finding = watch.add_window(counts, now)
            if finding is None:
                continue
            mark = StopMark(
                watch.state.uid,
                watch.state.service,
                watch.state.to_version,
                f"controller {self.name}: {finding.text}",
                self.name,
            )
            watch.roll_back(mark.reason)
            actions.append(SpreadStopMark(mark))
        return actions

    def _see_marks(self, marks: Iterable[StopMark]) -> list[Action]:
        actions: list[Action] = []
        for mark in marks:
            watch = self.watches.get(mark.rollout_uid)
            if watch is not None:
                watch.roll_back(mark.reason)
                actions += watch.next_write(self.epoch)
        return actions

    def _end_load(self, event: LoadEnded, now: float) -> list[Action]:
        if event.code == "fenced":
            self._lose()
            return [StepDown(f"{event.address} has seen a higher lease epoch")]
        if event.code != "ok":
            for watch in self.watches.values():
                if watch.state.to_version == event.version:
                    watch.load_failed(event.address, now)
        return []
