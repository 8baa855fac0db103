"""Local stop of a bad version at one entry.

The guard judges the entry's own outcomes and needs neither the controller nor
the object API. When its test convicts a version it sets a stop mark, which
ends new requests to that version here at once and at the other entries as the
mark spreads. Marks only accumulate while the published revision holds the
rollout.
"""

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from monsoontack.config.view import RolloutConfig
from monsoontack.core.records import Outcome, StopMark
from monsoontack.rollout.analysis import CanaryAnalysis, detection_threshold
from monsoontack.rollout.evidence import (
    Counts,
    EvidenceKey,
    pair_window,
)

WINDOW_S = 5.0
GUARD_ALPHA = 0.001  # chance that any guard stops a good version
MAX_STORE_CONTACT_AGE_S = 9.0  # without news of the store for longer, rollouts freeze
MAX_WATCHED = 64
MAX_MARKS = 256
MIN_OPEN = 16  # unanswered requests that are always allowed
OPEN_FACTOR = 4.0  # times the old version's unanswered requests, by share
MAX_WINDOW_KEYS = 64
ENDED_PHASES = frozenset({"complete", "rolled_back"})


@dataclass(slots=True)
class Watched:
    """One rollout as the guard follows it.

    `old_in_flight` and `new_in_flight` count requests sent and not yet ended.
    """

    rollout: RolloutConfig
    analysis: CanaryAnalysis
    window: dict[EvidenceKey, Counts] = field(default_factory=dict)
    window_started_at: float = 0.0
    old_in_flight: int = 0
    new_in_flight: int = 0

    def count_open(self, version: str, change: int) -> None:
        """Change the number of unanswered requests of a version."""
        if version == self.rollout.from_version:
            self.old_in_flight = max(0, self.old_in_flight + change)
        elif version == self.rollout.to_version:
            self.new_in_flight = max(0, self.new_in_flight + change)


class RolloutGuard:
    """Decides at one entry how much traffic an unproved version may get.

    `judges` is the number of entries, since each of them may stop a version
    by chance. Example::

        guard = Guard.from_config("entry-1", judges=3)
        guard.configure(view.rollouts, now)
        share = guard.allowed_share(uid, 5.0, now, store_contact_age_s)
        guard.sent(service, version)
        mark = guard.observe(outcome, now)
    """

    def __init__(self, entry: str, threshold: float) -> None:
        self.entry = entry
        self.threshold = threshold
        self.watched: dict[str, Watched] = {}
        self.by_version: dict[tuple[str, str], tuple[Watched, ...]] = {}
        self.marks: OrderedDict[str, StopMark] = OrderedDict()
        self.seen: set[str] = set()

    @classmethod
    def from_config(
        cls, entry: str, judges: int = 1, alpha: float = GUARD_ALPHA
    ) -> "RolloutGuard":
        """Return the guard of an entry among `judges` entries."""
        return cls(entry, detection_threshold(alpha, judges))

    def set_entry_count(self, judges: int) -> None:
        """Take in how many entries there are, each of which may stop a version."""
        self.threshold = detection_threshold(GUARD_ALPHA, judges)
        for watched in self.watched.values():
            watched.analysis.threshold = self.threshold

    def configure(self, rollouts: Mapping[str, RolloutConfig], now: float) -> None:
        """Follow the rollouts of a newly adopted revision, keyed by uid.

        A mark is removed once this entry has held a revision with its rollout
        and adopts one without it. A mark of a rollout that this entry has not
        seen yet stays, because the revision may still be on its way.
        """
        for uid in self.seen - set(rollouts):
            self.marks.pop(uid, None)
        self.seen = set(rollouts)
        for uid in set(self.watched) - set(rollouts):
            del self.watched[uid]
        for uid, rollout in rollouts.items():
            self._follow(uid, rollout, now)
        self._index()

    def _follow(self, uid: str, rollout: RolloutConfig, now: float) -> None:
        if uid in self.watched:
            self.watched[uid].rollout = rollout
        elif len(self.watched) < MAX_WATCHED:
            judge = CanaryAnalysis(
                rollout.from_version, rollout.to_version, self.threshold
            )
            self.watched[uid] = Watched(rollout, judge, window_started_at=now)

    def _index(self) -> None:
        index: dict[tuple[str, str], tuple[Watched, ...]] = {}
        for watched in self.watched.values():
            rollout = watched.rollout
            for version in (rollout.from_version, rollout.to_version):
                key = (rollout.service, version)
                index[key] = (*index.get(key, ()), watched)
        self.by_version = index

    def note_sent(self, service: str, version: str) -> None:
        """Count a request sent to a version; `observe` or `abandoned` ends it."""
        for watched in self.by_version.get((service, version), ()):
            watched.count_open(version, 1)

    def abandoned(self, service: str, version: str) -> None:
        """Count a sent request that ended without evidence, as by its caller."""
        for watched in self.by_version.get((service, version), ()):
            watched.count_open(version, -1)

    def observe(self, outcome: Outcome, now: float) -> StopMark | None:
        """Count the end of a request; return the stop mark if it sets one."""
        counts = Counts()
        counts.record(outcome)
        key = EvidenceKey(outcome.service, outcome.version, outcome.route)
        return self.observe_counts(key, counts, now)

    def observe_counts(
        self, key: EvidenceKey, counts: Counts, now: float
    ) -> StopMark | None:
        """Count many ends of requests of one version and route."""
        new_mark = None
        for watched in self.by_version.get((key.service, key.version), ()):
            watched.count_open(key.version, -counts.requests)
            new_mark = self._close_window(watched, now) or new_mark
            found = watched.window.get(key)
            if found is not None:
                found.add(counts)
            elif len(watched.window) < MAX_WINDOW_KEYS:
                watched.window[key] = counts.copy()
        return new_mark

    def tick(self, now: float) -> list[StopMark]:
        """Judge the windows that are over; return the stop marks it sets."""
        marks = [self._close_window(w, now) for w in self.watched.values()]
        return [mark for mark in marks if mark is not None]

    def _close_window(self, watched: Watched, now: float) -> StopMark | None:
        if now - watched.window_started_at < WINDOW_S:
            return None
        rollout = watched.rollout
        window = pair_window(
            watched.window, rollout.service, rollout.from_version, rollout.to_version
        )
        watched.window = {}
        watched.window_started_at = now
        if rollout.phase in ENDED_PHASES:
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
        """Take over marks of other entries; return those that are new here."""
        new = []
        for mark in marks:
            if mark.rollout_uid in self.marks:
                continue
            self.marks[mark.rollout_uid] = mark
            new.append(mark)
        self._drop_unseen()
        return new

    def _drop_unseen(self) -> None:
        # Marks of published rollouts are never dropped for room.
        unseen = [uid for uid in self.marks if uid not in self.seen]
        for uid in unseen[: max(0, len(self.marks) - MAX_MARKS)]:
            del self.marks[uid]

    def stop_marks(self) -> list[StopMark]:
        """Return all marks, for gossip and the controller."""
        return list(self.marks.values())

    def allowed_share(
        self,
        rollout_uid: str,
        published_share: float,
        store_contact_age_s: float = 0.0,
    ) -> float:
        """Return the percentage of new requests that the new version may get.

        It is the published share, or 0 after a stop mark; before the rollout
        is complete also when nothing has been heard of the store for 9 s, or
        while too many requests to the new version are unanswered.
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
        if watched.new_in_flight >= self._open_limit(watched, published_share):
            return 0.0
        return published_share

    def _open_limit(self, watched: Watched, share: float) -> float:
        if share >= 100.0:
            return float("inf")
        expected = watched.old_in_flight * share / (100.0 - share)
        return max(MIN_OPEN, OPEN_FACTOR * expected)

    def shares(
        self,
        service: str,
        published: Iterable[tuple[str, float]],
        store_contact_age_s: float = 0.0,
    ) -> list[tuple[str, float]]:
        """Return the shares of a service's versions after all rollouts' limits.

        What the new version of a rollout may not get goes to its old version.
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
