"""Simulation of a rollout: entries with guards and controllers, a store with faults.

Time is explicit; `step_second` advances it by one second. The guards and controllers
are those of the product. The store, the lease, the published head, gossip and traffic
are modelled in just enough detail to expose guards and controllers to every fault.
`violations` lists violated properties, `log` the events of the run.
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

SERVICE, OLD_VERSION, NEW_VERSION, UID = "s", "v1", "v2", "u1"
ROUTES = ("chat", "plan")
LEASE_S = 6
FAILURE_RATE = 0.002
REQUESTS_PER_S = 4  # at each entry


@dataclass(slots=True)
class SimulatedStore:
    """Simulated store with the rollout state and the published head.

    Both are written conditionally on the version or revision that was read.
    """

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
class SimulatedEntry:
    """An entry with its guard and a controller that may hold the lease."""

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
    partitioned: bool = (
        False  # from the store, and from entries that are not partitioned
    )
    head_revision: int = 0
    outbox: list[Action] = field(default_factory=list)
    unconfirmed_writes: list[WriteState] = field(default_factory=list)

    @property
    def is_running(self) -> bool:
        """Whether the process is alive and not paused."""
        return self.alive and not self.paused


@dataclass(slots=True)
class BadVersion:
    """Fault of the new version; `kind` is `fails`, `slow`, `hangs` or empty."""

    kind: str = ""
    after_s: float = 0.0
    above_share: float = 0.0
    route: str = ""

    def affects(self, now: float, share: float, route: str) -> bool:
        """Return whether the fault affects a request."""
        return (
            bool(self.kind)
            and now >= self.after_s
            and share >= self.above_share
            and self.route in ("", route)
        )


class RolloutSimulation:
    """Simulation of one seed."""

    def __init__(self, seed: int, entries: int = 3, deadline_s: float = 600.0) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.store = SimulatedStore()
        self.bad_version = BadVersion()
        self.config = RolloutConfig(
            UID, "r", SERVICE, OLD_VERSION, NEW_VERSION, deadline_s
        )
        self.engines = {f"a{i}": (OLD_VERSION,) for i in range(4)}
        self.entries = [self._entry(f"e{i}", entries) for i in range(entries)]
        self.violations: list[str] = []
        self.log: list[str] = []
        self.rollback_stored = False
        self.max_stored_share = 0.0
        self.new_requests = 0

    def _entry(self, name: str, entries: int) -> SimulatedEntry:
        guard = RolloutGuard.from_config(name, entries)
        controller = RolloutController.from_config(name, 1e9, self.now)
        controller.configure([self.config], {}, self.now)
        return SimulatedEntry(name, guard, controller, store_contact_at=self.now)

    def restart(self, entry: SimulatedEntry) -> None:
        """Replace an entry by a new incarnation without any state."""
        fresh = self._entry(entry.name, len(self.entries))
        fresh.incarnation = entry.incarnation + 1
        self.entries[self.entries.index(entry)] = fresh

    def run(self, seconds: int) -> None:
        """Simulate a number of seconds."""
        for _ in range(seconds):
            self.step_second()

    def step_second(self) -> None:
        """Simulate one second of all entries, the gossip and the lease."""
        self.now += 1.0
        for entry in self.entries:
            if entry.is_running:
                self._read_head(entry)
                self._send_traffic(entry)
                self._log_stop_marks(entry, entry.guard.tick(self.now))
        self._gossip()
        self._update_lease()
        for entry in self.entries:
            if entry.is_running:
                self._run_controller(entry)
        self._check()

    # Entries.

    def _read_head(self, entry: SimulatedEntry) -> None:
        if self.store.up and not entry.partitioned:
            entry.store_contact_at = self.now
            if self.store.revision > entry.revision:
                self._adopt_head(entry, self.store.revision, self.store.share)

    def _adopt_head(self, entry: SimulatedEntry, revision: int, share: float) -> None:
        entry.revision, entry.share = revision, share
        phase = self.store.phase
        entry.guard.configure({UID: replace(self.config, phase=phase)}, self.now)

    def _send_traffic(self, entry: SimulatedEntry) -> None:
        if not entry.revision:
            return
        published = ((OLD_VERSION, 100.0 - entry.share), (NEW_VERSION, entry.share))
        for _ in range(REQUESTS_PER_S):
            contact_age_s = self.now - entry.store_contact_at
            shares = dict(entry.guard.shares(SERVICE, published, contact_age_s))
            version = (
                NEW_VERSION
                if self.rng.random() * 100 < shares[NEW_VERSION]
                else OLD_VERSION
            )
            if version == NEW_VERSION:
                self._check_new_version_request(entry, contact_age_s)
            self._send_request(entry, version, self.rng.choice(ROUTES))

    def _check_new_version_request(
        self, entry: SimulatedEntry, contact_age_s: float
    ) -> None:
        self.new_requests += 1
        if UID in entry.guard.marks:
            self.violations.append(f"{entry.name} sent to a stopped version")
        if contact_age_s > 9.0 and self.store.phase != "complete":
            self.violations.append(f"{entry.name} sent to an unproved version")

    def _send_request(self, entry: SimulatedEntry, version: str, route: str) -> None:
        hit = version == NEW_VERSION and self.bad_version.affects(
            self.now, entry.share, route
        )
        entry.guard.note_sent(SERVICE, version)
        if hit and self.bad_version.kind == "hangs":
            return
        rate = 0.5 if hit and self.bad_version.kind == "fails" else FAILURE_RATE
        slow = 2.0 if hit and self.bad_version.kind == "slow" else 1.0
        self.finish_request(entry, version, route, self.rng.random() < rate, slow)

    def finish_request(
        self,
        entry: SimulatedEntry,
        version: str,
        route: str,
        failed: bool,
        slow: float = 1.0,
    ) -> None:
        """Record the outcome of a request at an entry."""
        first = None if failed else slow * self.rng.lognormvariate(-1.9, 0.5)
        gap = None if failed else self.rng.lognormvariate(-3.5, 0.35)
        outcome = RequestOutcome(SERVICE, version, route, failed, first, gap)
        entry.counters.record(outcome)
        mark = entry.guard.observe(outcome, self.now)
        self._log_stop_marks(entry, [mark] if mark else [])

    def fail_engine_requests(self) -> None:
        """Fail a few requests at each entry, as when an engine is lost.

        Versions are drawn by the published share.
        """
        for entry in self.entries:
            for _ in range(4 if entry.is_running and entry.revision else 0):
                new = self.rng.random() * 100 < entry.share
                self.finish_request(
                    entry, NEW_VERSION if new else OLD_VERSION, ROUTES[0], True
                )

    def _log_stop_marks(self, entry: SimulatedEntry, marks: Iterable) -> None:
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
                self._adopt_head(oldest, newest.revision, newest.share)

    # Lease and controllers.

    def _reaches_store(self, entry: SimulatedEntry) -> bool:
        return entry.is_running and self.store.up and not entry.partitioned

    def _update_lease(self) -> None:
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
            self._acquire_lease(self.rng.choice(candidates))
        elif candidates:
            self._acquire_lease(candidates[0])

    def _acquire_lease(self, entry: SimulatedEntry) -> None:
        store = self.store
        store.lease_epoch += 1
        store.holder, store.renewed_at = entry.name, self.now
        # The new holder writes its epoch to the head before it reads the state.
        store.epoch = store.lease_epoch
        store.revision += 1
        entry.head_revision = store.revision
        stored = {UID: (store.state, store.version)} if store.state else {}
        entry.unconfirmed_writes.clear()
        entry.outbox = []
        self.log.append(f"{self.now:g} {entry.name} takes the lease")
        self._execute(entry, entry.controller.handle(self._fleet(), self.now))
        event = LeaseGained(store.lease_epoch, stored)
        self._execute(entry, entry.controller.handle(event, self.now))

    def _fleet(self) -> FleetSnapshot:
        live = sum(entry.alive for entry in self.entries)
        return FleetSnapshot({SERVICE: dict(self.engines)}, live)

    def _run_controller(self, entry: SimulatedEntry) -> None:
        if not entry.controller.epoch:
            return
        outbox, entry.outbox = entry.outbox, []
        self._execute(entry, outbox)
        unconfirmed_writes, entry.unconfirmed_writes = entry.unconfirmed_writes, []
        for action in unconfirmed_writes:
            self._read_back(entry, action)
        self._execute(entry, self.controller_actions(entry))

    def controller_actions(self, entry: SimulatedEntry) -> list[Action]:
        """Send an entry's controller its events and return the actions it requests."""
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

    def pause(self, entry: SimulatedEntry) -> None:
        """Pause an entry after its controller's decision and before the actions."""
        if entry.controller.epoch:
            entry.outbox += self.controller_actions(entry)
        entry.paused = True

    def _execute(self, entry: SimulatedEntry, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case WriteState():
                    self._write(entry, action)
                case PublishShares():
                    self._publish(entry, action)
                case LoadVersion(address):
                    self.engines[address] = (OLD_VERSION, NEW_VERSION)
                case SpreadStopMark(mark):
                    self._log_stop_marks(entry, entry.guard.add_marks([mark]))
                case StepDown(reason):
                    self.log.append(f"{self.now:g} {entry.name} steps down: {reason}")

    def _handle_event(self, entry: SimulatedEntry, event) -> None:
        self._execute(entry, entry.controller.handle(event, self.now))

    def _write(self, entry: SimulatedEntry, action: WriteState) -> None:
        store = self.store
        if not store.up or entry.partitioned:
            self._handle_event(entry, StateNotWritten(UID))
            return
        if store.version != action.version:
            self._handle_event(entry, StateConflict(UID))
            return
        if self.rollback_stored and action.state.phase != Phase.ROLLED_BACK:
            self.violations.append("a stored rollback was replaced")
        store.state, store.version = action.state, store.version + 1
        self.rollback_stored = action.state.phase == Phase.ROLLED_BACK
        self.max_stored_share = max(self.max_stored_share, action.state.share)
        if store.lose_answers > 0:
            store.lose_answers -= 1
            entry.unconfirmed_writes.append(action)
            return
        self._handle_event(entry, StateWritten(UID, store.version))

    def _read_back(self, entry: SimulatedEntry, action: WriteState) -> None:
        store = self.store
        if not store.up or entry.partitioned:
            entry.unconfirmed_writes.append(action)
        elif store.state == action.state:
            self._handle_event(entry, StateWritten(UID, store.version))
        elif store.version == action.version:
            self._handle_event(entry, StateNotWritten(UID))
        else:
            self._handle_event(entry, StateConflict(UID))

    def _publish(self, entry: SimulatedEntry, action: PublishShares) -> None:
        store = self.store
        if not store.up or entry.partitioned or store.revision != entry.head_revision:
            return
        if store.epoch != action.epoch:
            return
        share = dict(action.shares)[NEW_VERSION]
        if self.rollback_stored and share > 0:
            self.violations.append(f"{share:g}% published after the rollback")
        if share > self.max_stored_share:
            self.violations.append(f"{share:g}% published before it was stored")
        if (share, action.phase) != (store.share, store.phase):
            self.log.append(f"{self.now:g} {share:g}% {action.phase} {action.reason}")
            store.revision += 1
            entry.head_revision = store.revision
            store.share, store.phase = share, str(action.phase)
        self._handle_event(entry, SharesPublished(UID, share, action.phase))

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
