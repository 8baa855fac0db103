"""Local stop of a bad version at one entry.

The guard analyses the entry's own outcomes and depends neither on the controller
nor on the object API. When the analysis finds a fault in a version, the guard sets
a stop mark: this entry immediately sends no new requests to the version, and the
other entries stop when gossip delivers the mark. A mark is kept as long as the
published revision contains its rollout.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from monsoontack.config.view import RolloutConfig
from monsoontack.core.records import RequestOutcome, StopMark
from monsoontack.rollout.analysis import CanaryAnalysis, detection_threshold
from monsoontack.rollout.evidence import (
    Counts,
    EvidenceKey,
    pair_window,
)

WINDOW_S = 5.0
GUARD_ALPHA = 0.001  # probability that any guard stops a good version
MAX_STORE_CONTACT_AGE_S = 9.0  # unproved versions get no requests above this age
MAX_WATCHED_ROLLOUTS = 64
MAX_MARKS = 256
MIN_IN_FLIGHT_LIMIT = 16  # requests in flight that are always allowed
# Limit of the requests in flight to the new version, as a multiple of the number
# expected from the shares and the requests in flight to the old version.
IN_FLIGHT_FACTOR = 4.0
MAX_WINDOW_KEYS = 64
FINAL_PHASES = frozenset({"complete", "rolled_back"})


@dataclass(slots=True, repr=False)
class WatchedRollout:
    """State of one rollout in the guard.

    `old_in_flight` and `new_in_flight` count the requests in flight to each version.
    """

    rollout: RolloutConfig
    analysis: CanaryAnalysis
    window: dict[EvidenceKey, Counts] = field(default_factory=dict)
    window_started_at: float = 0.0
    old_in_flight: int = 0
    new_in_flight: int = 0

    def adjust_in_flight(self, version: str, change: int) -> None:
        """Change the number of requests in flight to a version."""
        if version == self.rollout.from_version:
            self.old_in_flight = max(0, self.old_in_flight + change)
        elif version == self.rollout.to_version:
            self.new_in_flight = max(0, self.new_in_flight + change)


class RolloutGuard:
    """Limits the traffic that one entry sends to an unproved version.

    The threshold rises with `entry_count`, because each entry may stop a good
    version by chance. Example::

        guard = RolloutGuard.from_config("entry-1", entry_count=3)
        guard.configure(view.rollouts, now)
        share = guard.allowed_share(uid, 5.0, store_contact_age_s)
        guard.note_sent(service, version)
        mark = guard.observe(outcome, now)
    """

    def __init__(self, entry: str, threshold: float) -> None:
        self.entry = entry
        self.threshold = threshold
        self.watched: dict[str, WatchedRollout] = {}
        self.by_version: dict[tuple[str, str], tuple[WatchedRollout, ...]] = {}
        self.marks: OrderedDict[str, StopMark] = OrderedDict()
        self.published_uids: set[str] = set()

    @classmethod
    def from_config(
        cls, entry: str, entry_count: int = 1, alpha: float = GUARD_ALPHA
    ) -> "RolloutGuard":
        """Return the guard of an entry in a fleet of `entry_count` entries."""
        return cls(entry, detection_threshold(alpha, entry_count))

    def set_entry_count(self, entry_count: int) -> None:
        """Adjust the threshold to the number of entries that may stop a version."""
        self.threshold = detection_threshold(GUARD_ALPHA, entry_count)
        for watched in self.watched.values():
            watched.analysis.threshold = self.threshold

    def configure(self, rollouts: Mapping[str, RolloutConfig], now: float) -> None:
        """Replace the rollouts by those of a newly adopted revision, keyed by uid.

        A mark is removed when its rollout was in the previous revision and is not in
        this one. A mark whose rollout was in no revision yet is kept, because the
        revision with the rollout may arrive later than the mark.
        """
        for uid in self.published_uids - set(rollouts):
            self.marks.pop(uid, None)
        self.published_uids = set(rollouts)
        for uid in set(self.watched) - set(rollouts):
            del self.watched[uid]
        for uid, rollout in rollouts.items():
            self._watch_rollout(uid, rollout, now)
        self._rebuild_index()

    def _watch_rollout(self, uid: str, rollout: RolloutConfig, now: float) -> None:
        if uid in self.watched:
            self.watched[uid].rollout = rollout
        elif len(self.watched) < MAX_WATCHED_ROLLOUTS:
            analysis = CanaryAnalysis(
                rollout.from_version, rollout.to_version, self.threshold
            )
            self.watched[uid] = WatchedRollout(rollout, analysis, window_started_at=now)

    def _rebuild_index(self) -> None:
        index: dict[tuple[str, str], tuple[WatchedRollout, ...]] = {}
        for watched in self.watched.values():
            rollout = watched.rollout
            for version in (rollout.from_version, rollout.to_version):
                key = (rollout.service, version)
                index[key] = (*index.get(key, ()), watched)
        self.by_version = index

    def note_sent(self, service: str, version: str) -> None:
        """Count a request as in flight until `observe` or `note_abandoned`."""
        for watched in self.by_version.get((service, version), ()):
            watched.adjust_in_flight(version, 1)

    def note_abandoned(self, service: str, version: str) -> None:
        """Count the end of a request without an outcome, such as a cancellation."""
        for watched in self.by_version.get((service, version), ()):
            watched.adjust_in_flight(version, -1)

    def observe(self, outcome: RequestOutcome, now: float) -> StopMark | None:
        """Count the outcome of a request; return the stop mark if one was set."""
        counts = Counts()
        counts.record(outcome)
        key = EvidenceKey(outcome.service, outcome.version, outcome.route)
        return self.observe_counts(key, counts, now)

    def observe_counts(
        self, key: EvidenceKey, counts: Counts, now: float
    ) -> StopMark | None:
        """Count outcomes of several requests of one version and route."""
        new_mark = None
        for watched in self.by_version.get((key.service, key.version), ()):
            watched.adjust_in_flight(key.version, -counts.requests)
            new_mark = self._close_window(watched, now) or new_mark
            found = watched.window.get(key)
            if found is not None:
                found.add(counts)
            elif len(watched.window) < MAX_WINDOW_KEYS:
                watched.window[key] = counts.copy()
        return new_mark

    def tick(self, now: float) -> list[StopMark]:
        """Analyse the windows that have ended; return the stop marks that were set."""
        marks = [self._close_window(w, now) for w in self.watched.values()]
        return [mark for mark in marks if mark is not None]

    def _close_window(self, watched: WatchedRollout, now: float) -> StopMark | None:
        if now - watched.window_started_at < WINDOW_S:
            return None
        rollout = watched.rollout
        window = pair_window(
            watched.window, rollout.service, rollout.from_version, rollout.to_version
        )
        watched.window = {}
        watched.window_started_at = now
        if rollout.phase in FINAL_PHASES:
            return None
        finding = watched.analysis.update(window, now)
        if finding is None or rollout.uid in self.marks:
            return None
        return self._set_mark(rollout, f"{self.entry}: {finding.text}")

    def _set_mark(self, rollout: RolloutConfig, reason: str) -> StopMark:
        mark = StopMark(
            rollout.uid, rollout.service, rollout.to_version, reason, self.entry
        )
        self.add_marks([mark])
        return mark

    def add_marks(self, marks: Iterable[StopMark]) -> list[StopMark]:
        """Add marks of other entries; return the marks that were unknown here."""
        new = []
        for mark in marks:
            if mark.rollout_uid in self.marks:
                continue
            self.marks[mark.rollout_uid] = mark
            new.append(mark)
        self._evict_unpublished_marks()
        return new

    def _evict_unpublished_marks(self) -> None:
        # The size limit never removes a mark of a published rollout.
        unpublished = [uid for uid in self.marks if uid not in self.published_uids]
        for uid in unpublished[: max(0, len(self.marks) - MAX_MARKS)]:
            del self.marks[uid]

    def stop_marks(self) -> list[StopMark]:
        """Return all marks, which gossip and the controller read."""
        return list(self.marks.values())

    def allowed_share(
        self,
        rollout_uid: str,
        published_share: float,
        store_contact_age_s: float = 0.0,
    ) -> float:
        """Return the percentage of new requests that may go to the new version.

        This is the published share, or 0 after a stop mark. Before the rollout is
        complete it is also 0 if the last contact with the store is more than 9 s
        ago, or while too many requests to the new version are in flight.
        """
        if rollout_uid in self.marks:
            return 0.0
        watched = self.watched.get(rollout_uid)
        if watched is None:
            return 0.0
        if watched.rollout.phase == "rolled_back":
            return 0.0
        if watched.rollout.phase == "complete":
            return published_share
        if store_contact_age_s > MAX_STORE_CONTACT_AGE_S:
            return 0.0
        if watched.new_in_flight >= self._in_flight_limit(watched, published_share):
            return 0.0
        return published_share

    def _in_flight_limit(self, watched: WatchedRollout, share: float) -> float:
        if share >= 100.0:
            return float("inf")
        expected = watched.old_in_flight * share / (100.0 - share)
        return max(MIN_IN_FLIGHT_LIMIT, IN_FLIGHT_FACTOR * expected)

    def shares(
        self,
        service: str,
        published: Iterable[tuple[str, float]],
        store_contact_age_s: float = 0.0,
    ) -> list[tuple[str, float]]:
        """Return the shares of a service's versions within the limits of all rollouts.

        The part of its published share that a new version may not use goes to the
        old version of the rollout.
        """
        shares = dict(published)
        for uid, watched in self.watched.items():
            rollout = watched.rollout
            share = shares.get(rollout.to_version, 0.0)
            if rollout.service != service or share <= 0.0:
                continue
            allowed = self.allowed_share(uid, share, store_contact_age_s)
            shares[rollout.to_version] = allowed
            old = shares.get(rollout.from_version, 0.0)
            shares[rollout.from_version] = old + share - allowed
        return list(shares.items())
