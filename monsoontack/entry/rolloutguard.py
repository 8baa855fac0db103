"""Rollout guard of an entry: selection of versions, outcomes and stop marks.

`monsoontack.rollout.guard` contains the decisions. This module passes the outcomes
of the entry and the published configuration to it, and exchanges evidence and stop
marks with gossip.
"""

import random
from collections import Counter
from collections.abc import Callable, Sequence

from monsoontack.config.view import ConfigView
from monsoontack.core.records import (
    BackendServer,
    RequestOutcome,
    RouteRequest,
    ServerState,
    StopMark,
)
from monsoontack.entry.gossip import Gossip
from monsoontack.entry.protocols import OutcomeSink, Picker
from monsoontack.proto import peer_pb2
from monsoontack.rollout.evidence import (
    BUCKET_COUNT,
    Counts,
    EvidenceCounters,
    EvidenceKey,
)
from monsoontack.rollout.evidence import EvidenceReport as Report
from monsoontack.rollout.guard import MAX_STORE_CONTACT_AGE_S, RolloutGuard

TICK_INTERVAL_S = 1.0
RunningCounts = Callable[[], Counter]
LinkedServers = Callable[[str], Sequence[ServerState]]


class EntryRolloutGuard:
    """`OutcomeSink` of an entry that also limits unproved versions.

    `running_counts` returns the numbers of running requests of this entry by service
    and version. `linked_servers` returns the backend servers of a service whose links
    are up.
    """

    def __init__(self, gossip: Gossip, outcomes: OutcomeSink) -> None:
        self.gossip = gossip
        self.outcomes = outcomes
        self.guard = RolloutGuard.from_config(gossip.state.process)
        self.counters = EvidenceCounters()
        self.running_counts: RunningCounts = Counter
        self.linked_servers: LinkedServers = lambda service: ()
        gossip.on_adopted.append(self.adopt)
        gossip.add_evidence = self.add_evidence

    def adopt(self, view: ConfigView) -> None:
        """Configure the guard with the rollouts of a newly adopted revision."""
        rollouts = {r.uid: r for r in view.rollouts.values()}
        self.guard.configure(rollouts, self.gossip.clock.now())
        self.counters.retain(
            (r.service, version)
            for r in rollouts.values()
            for version in (r.from_version, r.to_version)
        )

    def record(self, outcome: RequestOutcome) -> None:
        """Record an outcome; set a stop mark if the guard finds the version faulty."""
        self.outcomes.record(outcome)
        if (outcome.service, outcome.version) not in self.guard.by_version:
            return
        self.counters.record(outcome)
        mark = self.guard.observe(outcome, self.gossip.clock.now())
        if mark is not None:
            self.gossip.set_stop_mark(mark)

    def tick(self) -> None:
        """Update the numbers of running requests and analyse completed windows."""
        self.guard.set_entry_count(len(self.gossip.state.members) + 1)
        running = self.running_counts()
        for watched in self.guard.watched.values():
            rollout = watched.rollout
            watched.old_in_flight = running[rollout.service, rollout.from_version]
            watched.new_in_flight = running[rollout.service, rollout.to_version]
        for mark in self.guard.tick(self.gossip.clock.now()):
            self.gossip.set_stop_mark(mark)

    async def run(self) -> None:
        """Call `tick` periodically until cancelled."""
        while True:
            self.tick()
            await self.gossip.clock.sleep(TICK_INTERVAL_S)

    def shares(self, view: ConfigView, service: str) -> list[tuple[str, float]]:
        """Return the shares of a service by version that this entry may use now."""
        self.guard.add_marks(self.gossip.stop_marks().values())
        fresh = self.gossip.is_fresh(self.gossip.clock.now())
        age_s = 0.0 if fresh else 2 * MAX_STORE_CONTACT_AGE_S
        published = view.services[service].shares
        shares = self.guard.shares(service, published, age_s)
        return self._reassign_unlinked(service, shares)

    def _reassign_unlinked(
        self, service: str, shares: list[tuple[str, float]]
    ) -> list[tuple[str, float]]:
        """Reassign the share of a new version without linked servers to the old one.

        Otherwise an entry without a link to the first engines of a new version would
        count its missing links as failures of that version.
        """
        linked = {v for s in self.linked_servers(service) for v in s.server.versions}
        adjusted = dict(shares)
        for watched in self.guard.watched.values():
            rollout = watched.rollout
            new, old = rollout.to_version, rollout.from_version
            if rollout.service != service or new in linked or old not in linked:
                continue
            adjusted[old] = adjusted.get(old, 0.0) + adjusted.pop(new, 0.0)
        return list(adjusted.items())

    def add_evidence(self, report: peer_pb2.EvidenceReport) -> None:
        """Add the counters of this entry to a report for the lease holder."""
        for key, counts in self.counters.counts.items():
            report.routes.add(
                service=key.service,
                version=key.version,
                route=key.route,
                requests=counts.requests,
                failures=counts.failures,
                first_token_counts=counts.first_token,
                token_gap_counts=counts.token_gap,
            )

    def dump(self) -> dict:
        """Return the state of the guard for the state dump."""
        return {
            uid: {
                "phase": watched.rollout.phase,
                "stopped": uid in self.guard.marks,
                "evidence": watched.analysis.summary(),
                "running_new": watched.new_in_flight,
            }
            for uid, watched in self.guard.watched.items()
        }


def decode_report(report: peer_pb2.EvidenceReport) -> Report:
    """Decode a report; `EvidenceAggregator` drops invalid counters."""
    counts = {
        EvidenceKey(route.service, route.version, route.route): Counts(
            route.requests,
            route.failures,
            list(route.first_token_counts) or [0] * BUCKET_COUNT,
            list(route.token_gap_counts) or [0] * BUCKET_COUNT,
        )
        for route in report.routes
    }
    return Report(
        report.address, report.incarnation, report.revision, report.rollout_uid, counts
    )


class GuardedPicker:
    """`Picker` that selects versions by the shares that the guard allows."""

    def __init__(self, picker: Picker, guard: EntryRolloutGuard) -> None:
        self.picker = picker
        self.guard = guard

    def pick_version(
        self, view: ConfigView, service: str, now: float, rng: random.Random
    ) -> str | None:
        """Return a version for a new request at random, weighted by allowed share."""
        shares = [s for s in self.guard.shares(view, service) if s[1] > 0]
        if not shares:
            return None
        names, weights = zip(*shares, strict=True)
        version = rng.choices(names, weights)[0]
        self.guard.guard.note_sent(service, version)
        return version

    def pick(
        self,
        request: RouteRequest,
        servers: Sequence[ServerState],
        now: float,
        rng: random.Random,
    ) -> BackendServer | None:
        """Delegate the choice of a backend server to the wrapped picker."""
        return self.picker.pick(request, servers, now, rng)

    def record(self, address: str, failed: bool, now: float) -> None:
        """Pass the result of an attempt to the wrapped picker."""
        self.picker.record(address, failed, now)


def received_stop_marks(gossip: Gossip) -> tuple[StopMark, ...]:
    """Return the stop marks that this process has set or received."""
    return tuple(gossip.stop_marks().values())
