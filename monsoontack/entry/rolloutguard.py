"""The rollout guard inside an entry: version choice, outcomes, stop marks.

The decisions are in `monsoontack.rollout.guard`. This module gives them the
entry's outcomes and the published configuration, and carries evidence and stop
marks to and from gossip.
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

TICK_S = 1.0
Running = Callable[[], Counter]
Servers = Callable[[str], Sequence[ServerState]]


class EntryGuard:
    """`OutcomeSink` of an entry that also limits unproved versions.

    `running` counts this entry's running requests by service and version, and
    `servers` gives the linked backend servers of a service.
    """

    def __init__(self, gossip: Gossip, outcomes: OutcomeSink) -> None:
        self.gossip = gossip
        self.outcomes = outcomes
        self.guard = RolloutGuard.from_config(gossip.state.process)
        self.counters = EvidenceCounters()
        self.running: Running = Counter
        self.servers: Servers = lambda service: ()
        gossip.on_adopted.append(self.adopt)
        gossip.fill_report = self.fill_report

    def adopt(self, view: ConfigView) -> None:
        """Follow the rollouts of a newly adopted revision."""
        rollouts = {r.uid: r for r in view.rollouts.values()}
        self.guard.configure(rollouts, self.gossip.clock.now())
        self.counters.retain(
            (r.service, version)
            for r in rollouts.values()
            for version in (r.from_version, r.to_version)
        )

    def record(self, outcome: RequestOutcome) -> None:
        """Count how a request ended; a conviction stops the version."""
        self.outcomes.record(outcome)
        if (outcome.service, outcome.version) not in self.guard.by_version:
            return
        self.counters.record(outcome)
        mark = self.guard.observe(outcome, self.gossip.clock.now())
        if mark is not None:
            self.gossip.set_stop_mark(mark)

    def tick(self) -> None:
        """Judge windows that are over, and count running requests afresh."""
        self.guard.set_entry_count(len(self.gossip.state.members) + 1)
        running = self.running()
        for watched in self.guard.watched.values():
            rollout = watched.rollout
            watched.old_in_flight = running[rollout.service, rollout.from_version]
            watched.new_in_flight = running[rollout.service, rollout.to_version]
        for mark in self.guard.tick(self.gossip.clock.now()):
            self.gossip.set_stop_mark(mark)

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await self.gossip.clock.sleep(TICK_S)

    def shares(self, view: ConfigView, service: str) -> list[tuple[str, float]]:
        """Return the shares of a service that this entry may use now."""
        self.guard.add_marks(self.gossip.stop_marks().values())
        fresh = self.gossip.is_fresh(self.gossip.clock.now())
        age_s = 0.0 if fresh else 2 * MAX_STORE_CONTACT_AGE_S
        published = view.services[service].shares
        shares = self.guard.shares(service, published, age_s)
        return self._reachable(service, shares)

    def _reachable(
        self, service: str, shares: list[tuple[str, float]]
    ) -> list[tuple[str, float]]:
        """Give the share of a new version that no linked server runs to the old.

        Without this, an entry that is linked to none of the first engines of a
        version would count its own lack of links as the version's failures.
        """
        linked = {v for s in self.servers(service) for v in s.server.versions}
        found = dict(shares)
        for watched in self.guard.watched.values():
            rollout = watched.rollout
            new, old = rollout.to_version, rollout.from_version
            if rollout.service != service or new in linked or old not in linked:
                continue
            found[old] = found.get(old, 0.0) + found.pop(new, 0.0)
        return list(found.items())

    def fill_report(self, report: peer_pb2.EvidenceReport) -> None:
        """Add the entry's counters to a report for the lease holder."""
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
        """Return the guard's state for the operators' state dump."""
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
    """Return the counters of a report; wrong ones are dropped by the sum."""
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
    """`Picker` whose version choice keeps to the guard's shares."""

    def __init__(self, picker: Picker, guard: EntryGuard) -> None:
        self.picker = picker
        self.guard = guard

    def pick_version(
        self, view: ConfigView, service: str, now: float, rng: random.Random
    ) -> str | None:
        """Return the version of a new request by the allowed shares."""
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
        """Pass the choice of a backend server on."""
        return self.picker.pick(request, servers, now, rng)

    def record(self, address: str, failed: bool, now: float) -> None:
        """Pass the end of an attempt on."""
        self.picker.record(address, failed, now)


def received_stop_marks(gossip: Gossip) -> tuple[StopMark, ...]:
    """Return the stop marks that reached this process."""
    return tuple(gossip.stop_marks().values())
