"""Small world for rollout tests: entries, two controllers, a store with faults.

Time is explicit and advances by whole seconds in `step_second`. The guards and
controllers are the product's own; the store, lease, published head, gossip and
traffic are modelled just far enough to reach them with every fault. `violations`
collects broken properties, `log` what happened.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from monsoontack.config.view import RolloutConfig
from monsoontack.core.records import RequestOutcome
from monsoontack.rollout.controller import RolloutController
from monsoontack.rollout.evidence import EvidenceCounters
from monsoontack.rollout.guard import RolloutGuard
from monsoontack.rollout.state import (
    Action,
    FleetSnapshot,
    LeaseGained,
    LeaseLost,
    LoadVersion,
    Phase,
    PublishShares,
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
    WriteState,
)

SERVICE, OLD, NEW, UID = "s", "v1", "v2", "u1"
ROUTES = ("chat", "plan")
LEASE_S = 6
FAILURE_RATE = 0.002
REQUESTS = 4  # a second at each entry


@dataclass(slots=True)
class Store:
    """Rollout state and published head, with conditional writes."""

    up: bool = True
    lose_answers: int = 0
    state: RolloutState | None = None
    version: int = 0
    revision: int = 0
    epoch: int = 0
    share: float = 0.0
    phase: str = "pending"
    lease_epoch: int = 0
    holder: str = ""
    renewed_at: float = 0.0


@dataclass(slots=True)
class Entry:
    """An entry with its guard, and a controller that may hold the lease."""

    name: str
    guard: RolloutGuard
    controller: RolloutController
    counters: EvidenceCounters = field(default_factory=EvidenceCounters)
    incarnation: int = 1
    revision: int = 0
    share: float = 0.0
    store_contact_at: float = 0.0
    alive: bool = True
    paused: bool = False
    partitioned: bool = False  # from the store and from entries that are not cut
    head_revision: int = 0
    outbox: list[Action] = field(default_factory=list)
    unread: list[WriteState] = field(default_factory=list)

    @property
    def is_running(self) -> bool:
        """Whether the process runs now."""
        return self.alive and not self.paused


@dataclass(slots=True)
class BadVersion:
    """How the new version is bad; `kind` is `fails`, `slow` or `hangs`."""

    kind: str = ""
    after_s: float = 0.0
    above_share: float = 0.0
    route: str = ""

    def hits(self, now: float, share: float, route: str) -> bool:
        """Return whether a request meets the fault."""
        return (
            bool(self.kind)
            and now >= self.after_s
            and share >= self.above_share
            and self.route in ("", route)
        )


class RolloutSimulation:
    """The world of one seed."""

    def __init__(self, seed: int, entries: int = 3, deadline_s: float = 600.0) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.store = Store()
        self.bad_version = BadVersion()
        self.config = RolloutConfig(UID, "r", SERVICE, OLD, NEW, deadline_s)
        self.engines = {f"a{i}": (OLD,) for i in range(4)}
        self.entries = [self._entry(f"e{i}", entries) for i in range(entries)]
        self.violations: list[str] = []
        self.log: list[str] = []
        self.rollback_stored = False
        self.highest_stored = 0.0
        self.new_requests = 0

    def _entry(self, name: str, entries: int) -> Entry:
        guard = RolloutGuard.from_config(name, entries)
        controller = RolloutController.from_config(name, 1e9, self.now)
        controller.configure([self.config], {}, self.now)
        return Entry(name, guard, controller, store_contact_at=self.now)

    def restart(self, entry: Entry) -> None:
        """Replace an entry by one without any state."""
        fresh = self._entry(entry.name, len(self.entries))
        fresh.incarnation = entry.incarnation + 1
        self.entries[self.entries.index(entry)] = fresh

    def run(self, seconds: int) -> None:
        """Let time pass."""
        for _ in range(seconds):
            self.step_second()

    def step_second(self) -> None:
        """Let one second pass everywhere."""
        self.now += 1.0
        for entry in self.entries:
            if entry.is_running:
                self._adopt(entry)
                self._traffic(entry)
                self._mark(entry, entry.guard.tick(self.now))
        self._gossip()
        self._lease()
        for entry in self.entries:
            if entry.is_running:
                self._control(entry)
        self._check()

    # Entries.

    def _adopt(self, entry: Entry) -> None:
        if self.store.up and not entry.partitioned:
            entry.store_contact_at = self.now
            if self.store.revision > entry.revision:
                self._take_head(entry, self.store.revision, self.store.share)

    def _take_head(self, entry: Entry, revision: int, share: float) -> None:
        entry.revision, entry.share = revision, share
        phase = self.store.phase
        entry.guard.configure({UID: replace(self.config, phase=phase)}, self.now)

    def _traffic(self, entry: Entry) -> None:
        if not entry.revision:
            return
        published = ((OLD, 100.0 - entry.share), (NEW, entry.share))
        for _ in range(REQUESTS):
            silent_s = self.now - entry.store_contact_at
            shares = dict(entry.guard.shares(SERVICE, published, silent_s))
            version = NEW if self.rng.random() * 100 < shares[NEW] else OLD
            if version == NEW:
                self._sent_new(entry, silent_s)
            self._request(entry, version, self.rng.choice(ROUTES))

    def _sent_new(self, entry: Entry, silent_s: float) -> None:
        self.new_requests += 1
        if UID in entry.guard.marks:
            self.violations.append(f"{entry.name} sent to a stopped version")
        if silent_s > 9.0 and self.store.phase != "complete":
            self.violations.append(f"{entry.name} sent to an unproved version")

    def _request(self, entry: Entry, version: str, route: str) -> None:
        hit = version == NEW and self.bad_version.hits(self.now, entry.share, route)
        entry.guard.note_sent(SERVICE, version)
        if hit and self.bad_version.kind == "hangs":
            return
        rate = 0.5 if hit and self.bad_version.kind == "fails" else FAILURE_RATE
        slow = 2.0 if hit and self.bad_version.kind == "slow" else 1.0
        self.end(entry, version, route, self.rng.random() < rate, slow)

    def end(
        self, entry: Entry, version: str, route: str, failed: bool, slow: float = 1.0
    ) -> None:
        """Let a request end at an entry."""
        first = None if failed else slow * self.rng.lognormvariate(-1.9, 0.5)
        gap = None if failed else self.rng.lognormvariate(-3.5, 0.35)
        outcome = RequestOutcome(SERVICE, version, route, failed, first, gap)
        entry.counters.record(outcome)
        mark = entry.guard.observe(outcome, self.now)
        self._mark(entry, [mark] if mark else [])

    def fail_engine_requests(self) -> None:
        """Fail requests of one engine at every entry, by published share."""
        for entry in self.entries:
            for _ in range(4 if entry.is_running and entry.revision else 0):
                new = self.rng.random() * 100 < entry.share
                self.end(entry, NEW if new else OLD, ROUTES[0], True)

    def _mark(self, entry: Entry, marks: Iterable) -> None:
        for mark in marks:
            self.log.append(f"{self.now:g} {entry.name} stops: {mark.reason}")

    def _gossip(self) -> None:
        for entry in self.entries:
            peer = self.rng.choice(self.entries)
            if (
                not (entry.is_running and peer.is_running)
                or entry.partitioned != peer.partitioned
            ):
                continue
            entry.guard.add_marks(peer.guard.stop_marks())
            peer.guard.add_marks(entry.guard.stop_marks())
            oldest, newest = sorted((entry, peer), key=lambda e: e.revision)
            oldest.store_contact_at = newest.store_contact_at = max(
                entry.store_contact_at, peer.store_contact_at
            )
            if newest.revision > oldest.revision:
                self._take_head(oldest, newest.revision, newest.share)

    # Lease and controllers.

    def _reaches_store(self, entry: Entry) -> bool:
        return entry.is_running and self.store.up and not entry.partitioned

    def _lease(self) -> None:
        store = self.store
        holder = next((e for e in self.entries if e.name == store.holder), None)
        if holder is not None and holder.controller.epoch == store.lease_epoch:
            if self._reaches_store(holder):
                store.renewed_at = self.now
                return
        if self.now - store.renewed_at <= LEASE_S:
            return
        if holder is not None and holder.is_running:
            holder.controller.handle(LeaseLost(), self.now)
        candidates = [e for e in self.entries if self._reaches_store(e)]
        if candidates and (holder is not None or self.now > 1):
            self._take_lease(self.rng.choice(candidates))
        elif candidates:
            self._take_lease(candidates[0])

    def _take_lease(self, entry: Entry) -> None:
        store = self.store
        store.lease_epoch += 1
        store.holder, store.renewed_at = entry.name, self.now
        # The head is sealed with the epoch before the state is read.
        store.epoch = store.lease_epoch
        store.revision += 1
        entry.head_revision = store.revision
        stored = {UID: (store.state, store.version)} if store.state else {}
        entry.unread.clear()
        entry.outbox = []
        self.log.append(f"{self.now:g} {entry.name} takes the lease")
        self._execute(entry, entry.controller.handle(self._fleet(), self.now))
        event = LeaseGained(store.lease_epoch, stored)
        self._execute(entry, entry.controller.handle(event, self.now))

    def _fleet(self) -> FleetSnapshot:
        live = sum(entry.alive for entry in self.entries)
        return FleetSnapshot({SERVICE: dict(self.engines)}, live)

    def _control(self, entry: Entry) -> None:
        if not entry.controller.epoch:
            return
        outbox, entry.outbox = entry.outbox, []
        self._execute(entry, outbox)
        unread, entry.unread = entry.unread, []
        for action in unread:
            self._read_back(entry, action)
        self._execute(entry, self.think(entry))

    def think(self, entry: Entry) -> list[Action]:
        """Give an entry's controller its events and return what it wants done."""
        controller = entry.controller
        if self.now % 5 == 0:
            for other in self.entries:
                if other.is_running and other.partitioned == entry.partitioned:
                    report = other.counters.report(other.name, other.incarnation, 1)
                    controller.handle(ReportReceived(report), self.now)
        actions = controller.handle(self._fleet(), self.now)
        marks = tuple(entry.guard.stop_marks())
        actions += controller.handle(StopMarksReceived(marks), self.now)
        return actions + controller.handle(Tick(), self.now)

    def pause(self, entry: Entry) -> None:
        """Stop an entry between a decision of its controller and its actions."""
        if entry.controller.epoch:
            entry.outbox += self.think(entry)
        entry.paused = True

    def _execute(self, entry: Entry, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case WriteState():
                    self._write(entry, action)
                case PublishShares():
                    self._publish(entry, action)
                case LoadVersion(address):
                    self.engines[address] = (OLD, NEW)
                case SpreadStopMark(mark):
                    self._mark(entry, entry.guard.add_marks([mark]))
                case StepDown(reason):
                    self.log.append(f"{self.now:g} {entry.name} steps down: {reason}")

    def _answer(self, entry: Entry, event) -> None:
        self._execute(entry, entry.controller.handle(event, self.now))

    def _write(self, entry: Entry, action: WriteState) -> None:
        store = self.store
        if not store.up or entry.partitioned:
            self._answer(entry, StateNotWritten(UID))
            return
        if store.version != action.version:
            self._answer(entry, StateConflict(UID))
            return
        if self.rollback_stored and action.state.phase != Phase.ROLLED_BACK:
            self.violations.append("a stored rollback was replaced")
        store.state, store.version = action.state, store.version + 1
        self.rollback_stored = action.state.phase == Phase.ROLLED_BACK
        self.highest_stored = max(self.highest_stored, action.state.share)
        if store.lose_answers > 0:
            store.lose_answers -= 1
            entry.unread.append(action)
            return
        self._answer(entry, StateWritten(UID, store.version))

    def _read_back(self, entry: Entry, action: WriteState) -> None:
        store = self.store
        if not store.up or entry.partitioned:
            entry.unread.append(action)
        elif store.state == action.state:
            self._answer(entry, StateWritten(UID, store.version))
        elif store.version == action.version:
            self._answer(entry, StateNotWritten(UID))
        else:
            self._answer(entry, StateConflict(UID))

    def _publish(self, entry: Entry, action: PublishShares) -> None:
        store = self.store
        if not store.up or entry.partitioned or store.revision != entry.head_revision:
            return
        if store.epoch != action.epoch:
            return
        share = dict(action.shares)[NEW]
        if self.rollback_stored and share > 0:
            self.violations.append(f"{share:g}% published after the rollback")
        if share > self.highest_stored:
            self.violations.append(f"{share:g}% published before it was stored")
        if (share, action.phase) != (store.share, store.phase):
            self.log.append(f"{self.now:g} {share:g}% {action.phase} {action.reason}")
            store.revision += 1
            entry.head_revision = store.revision
            store.share, store.phase = share, str(action.phase)
        self._answer(entry, SharesPublished(UID, share, action.phase))

    def _check(self) -> None:
        for entry in self.entries:
            if entry.is_running and UID in entry.guard.marks:
                allowed = entry.guard.allowed_share(UID, 100.0)
                if allowed:
                    self.violations.append(f"{entry.name} allows a stopped version")

    @property
    def phase(self) -> str:
        """Phase of the stored rollout."""
        return str(self.store.state.phase) if self.store.state else "none"
