"""Rollouts of new versions of services, as run by a gateway entry.

Each entry limits its own requests to the new version and writes counts of their
outcomes (its evidence) to the store. The holder of a lease evaluates the counts of all
entries and writes the status of the rollout order. The failure of an entry does not
interrupt the rollout: the counts are in the store, another entry takes the lease, and
the status holds the phase of the rollout. A lease holder that was paused may write
late, so its writes are conditional on the revision of the order that it evaluated.
"""

import asyncio
import json
import random
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, field
from typing import Annotated, Any, Protocol

import msgspec
import structlog
from returns.result import Result, Success

from monsoontack.core.clock import LoopClock
from monsoontack.core.records import RequestOutcome
from monsoontack.gateway.fleet import Member
from monsoontack.rollout.evidence import Counts, EvidenceCounters, EvidenceKey
from monsoontack.rollout.order import (
    OLD_VERSION,
    CanaryGate,
    EntryEvidence,
    OrderEvaluation,
    Phase,
    RolloutOrder,
)
from monsoontack.store.api import (
    Conflict,
    KindObject,
    KindStore,
    NotFound,
    ObjectStore,
    StoredObject,
    StoreError,
)
from monsoontack.store.leaserunner import LeaseRunner

log = structlog.get_logger("gateway.rollouts")

EVIDENCE_KIND = "evidence"
# Requests that an entry can have counted in one rollout.
MAX_COUNT = 10**9
# Intervals between the reports of an entry and between the evaluations of the lease
# holder. They are short because a faulty version must be reverted within seconds of its
# fiftieth bad answer.
REPORT_INTERVAL_S = 0.7
EVALUATION_INTERVAL_S = 0.7
# Replaces both intervals while all traffic moves to the new version, because a fault
# has to be noticed sooner then.
MOVING_REPORT_INTERVAL_S = 0.35
# Limit of the store writes by all entries together. In a large fleet, it lengthens the
# intervals above.
MAX_REPORTS_PER_S = 200.0
IDLE_CHECK_INTERVAL_S = 0.5
# Maximum number of objects with evidence of former orders that the lease holder removes
# per evaluation. This keeps the list short with few store calls.
MAX_REMOVALS_PER_EVALUATION = 3
ENDED_PHASES = (Phase.COMPLETE, Phase.REVERTED)


class StatusStore(ObjectStore, Protocol):
    """Object store that can also write the status of operators' objects."""

    async def put_status(
        self, key: str, status: Any, version: int
    ) -> Result[StoredObject, StoreError]:
        """Replace the status of an object whose version must be `version`."""
        ...


@dataclass(frozen=True, slots=True)
class StoredOrder:
    """A rollout order as read from the store under `key` at `revision`."""

    key: str
    revision: int
    order: RolloutOrder


@dataclass(slots=True, repr=False)
class ServiceRollout:
    """This entry's state of one rollout order.

    `first_seen_at` is the loop time at which the order was first seen. `reported_text`
    is the evidence last written to the store, `evidence_version` the version of its
    object (0 if there is none). `evaluation` is used only by the lease holder.
    """

    stored: StoredOrder
    gate: CanaryGate
    counters: EvidenceCounters
    first_seen_at: float
    reported_text: str = ""
    evidence_version: int = 0
    evaluation: OrderEvaluation | None = None

    @property
    def order(self) -> RolloutOrder:
        """Return the rollout order."""
        return self.stored.order


@dataclass(slots=True, repr=False)
class RolloutManager:
    """Rollout orders by service, with the reports and evaluations of this entry.

    `decode_order` decodes an order from a store object, `encode_status` returns the
    status document of a phase. `canary_share` and `canary_tolerance` bound the requests
    that all entries together send to an unproven version. `members` returns the servers
    of a service.
    """

    name: str
    incarnation: str
    canary_share: float
    canary_tolerance: float
    decode_order: Callable[[KindObject], StoredOrder | None]
    encode_status: Callable[[RolloutOrder, str], dict]
    entries: frozenset[str] = frozenset()
    members: Callable[[str], Iterable[Member]] = lambda service: ()
    by_service: dict[str, ServiceRollout] = field(default_factory=dict)

    def replace_all(self, objects: tuple[KindObject, ...], revision: int) -> None:
        """Apply all orders of a list."""
        for item in objects:
            self.changed(item)

    def changed(self, item: KindObject) -> None:
        """Apply a new or changed order."""
        stored_order = self.decode_order(item)
        if stored_order is None:
            return
        order = stored_order.order
        rollout = self.by_service.get(order.service)
        if rollout is not None and rollout.order.uid == order.uid:
            if stored_order.revision >= rollout.stored.revision:
                self._note_phase(rollout, stored_order)
            return
        gate = CanaryGate.for_entry(
            self.canary_share, self.canary_tolerance, order.uid, self.name, self.entries
        )
        first_seen_at = self.now()
        self.by_service[order.service] = ServiceRollout(
            stored_order, gate, EvidenceCounters(), first_seen_at
        )
        log.info(
            "new rollout order",
            service=order.service,
            target=order.target,
            span_s=order.span_s,
            phase=str(order.phase),
        )

    def _note_phase(self, rollout: ServiceRollout, stored_order: StoredOrder) -> None:
        before, rollout.stored = rollout.order.phase, stored_order
        if rollout.order.phase is not before:
            log.info(
                "rollout phase changed",
                service=rollout.order.service,
                target=rollout.order.target,
                phase=str(rollout.order.phase),
            )

    def removed(self, name: str, revision: int) -> None:
        """Drop an order that the operator removed."""
        if self.by_service.pop(name, None) is not None:
            log.info("rollout order removed", service=name)

    def confirmed(self, at: float) -> None:
        """Ignore the confirmation; the last known order applies at any age."""

    def note_request(self, service: str) -> None:
        """Count a request of a service."""
        rollout = self.by_service.get(service)
        if rollout is not None:
            rollout.gate.note_request()

    def eligible_servers(
        self,
        service: str,
        members: list[Member],
        can_take: Callable[[Member], bool] = lambda member: True,
    ) -> list[Member]:
        """Return the servers that may get the next request according to the rollout.

        `can_take` tells whether a server's own statements allow a request now. While
        none of the new version does, the old one serves.
        """
        rollout = self.by_service.get(service)
        if rollout is None:
            return members
        target, phase = rollout.order.target, rollout.order.phase
        new = [m for m in members if target in m.server.versions]
        old = [m for m in members if target not in m.server.versions]
        if phase is Phase.MOVING and rollout.gate.is_failing:
            return old or new
        if phase is Phase.MOVING and not any(map(can_take, new)):
            return old or new
        if phase in (Phase.MOVING, Phase.COMPLETE):
            return new or old
        rollout.gate.is_past_deadline = (
            self.now() > rollout.first_seen_at + rollout.order.span_s
        )
        can_expose = phase is Phase.CANARY and any(map(can_take, new))
        if can_expose and rollout.gate.may_expose():
            return new
        return old

    def note_sent(self, member: Member) -> None:
        """Count a request that is sent to a server."""
        rollout = self.by_service.get(member.server.service)
        if rollout is None or rollout.order.phase in ENDED_PHASES:
            return
        if rollout.order.target in member.server.versions:
            rollout.gate.note_exposed()

    def note_ended(
        self,
        member: Member,
        route: str,
        failed: bool,
        latency_s: float | None = None,
        gap_s: float | None = None,
    ) -> None:
        """Record the outcome of a request; unknown latencies are None."""
        rollout = self.by_service.get(member.server.service)
        if rollout is None or rollout.order.phase in ENDED_PHASES:
            return
        is_new = rollout.order.target in member.server.versions
        version = rollout.order.target if is_new else OLD_VERSION
        if is_new:
            rollout.gate.note_answer(failed)
        if self.now() < member.cold_until:
            # A server that has just started is slow regardless of its version.
            latency_s = gap_s = None
        service = member.server.service
        rollout.counters.record(
            RequestOutcome(service, version, route, failed, latency_s, gap_s)
        )

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def running_rollouts(self) -> list[ServiceRollout]:
        """Return the rollouts that have not ended."""
        return [
            rollout
            for rollout in self.by_service.values()
            if rollout.order.phase not in ENDED_PHASES
        ]

    async def report_evidence(self, store: ObjectStore) -> None:
        """Write this entry's evidence while rollouts run, until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s(REPORT_INTERVAL_S))
            for rollout in list(self.by_service.values()):
                if rollout.order.phase not in ENDED_PHASES:
                    await self._write_evidence(store, rollout)
                elif rollout.evidence_version:
                    await self._remove_evidence(store, rollout)

    def _interval_s(self, default_s: float) -> float:
        """Return the time until the next report or evaluation."""
        if any(
            rollout.order.phase is Phase.MOVING for rollout in self.running_rollouts()
        ):
            default_s = MOVING_REPORT_INTERVAL_S
        return max(default_s, len(self.entries) / MAX_REPORTS_PER_S)

    async def _write_evidence(
        self, store: ObjectStore, rollout: ServiceRollout
    ) -> None:
        target = rollout.order.target
        members = list(self.members(rollout.order.service))
        new_open = sum(m.in_flight for m in members if target in m.server.versions)
        document = {
            "uid": rollout.order.uid,
            "phase": str(rollout.order.phase),
            "old_open": sum(m.in_flight for m in members) - new_open,
            "new_open": new_open,
            "counts": [[*k, asdict(c)] for k, c in rollout.counters.counts.items()],
        }
        text = json.dumps(document)
        if text == rollout.reported_text:
            return
        key = self._evidence_key(rollout)
        if rollout.evidence_version:
            result = await store.update(key, text.encode(), rollout.evidence_version)
        else:
            result = await store.create(key, text.encode())
        if isinstance(result, Success):
            rollout.evidence_version, rollout.reported_text = (
                result.unwrap().version,
                text,
            )
            return
        error = result.failure()
        log.warning(
            "could not write rollout evidence", key=key, error=type(error).__name__
        )
        if isinstance(error, Conflict) and error.current is not None:
            rollout.evidence_version = error.current.version
        elif isinstance(error, NotFound):
            # A restored store has lost the object.
            rollout.evidence_version = 0

    def _evidence_key(self, rollout: ServiceRollout) -> str:
        return f"{EVIDENCE_KIND}/{self.name}-{self.incarnation}-{rollout.order.service}"

    async def _remove_evidence(
        self, store: ObjectStore, rollout: ServiceRollout
    ) -> None:
        """Remove this entry's evidence of an ended rollout from the store."""
        version, rollout.evidence_version = rollout.evidence_version, 0
        result = await store.delete(self._evidence_key(rollout), version)
        if not isinstance(result, Success):
            # The lease holder removes remaining evidence during the next rollout.
            error = type(result.failure()).__name__
            log.info(
                "could not remove rollout evidence",
                service=rollout.order.service,
                error=error,
            )

    async def _remove_former_evidence(
        self,
        store: ObjectStore,
        objects: tuple[KindObject, ...],
        running: list[ServiceRollout],
    ) -> None:
        """Remove some evidence of former orders, whose writers may have stopped."""
        uids = {rollout.order.uid for rollout in running}
        former = [o for o in objects if not uids & {_order_uid(o)}]
        for item in former[:MAX_REMOVALS_PER_EVALUATION]:
            await store.delete(f"{EVIDENCE_KIND}/{item.name}", item.revision)

    async def run_controller(self, store: StatusStore, kinds: KindStore) -> None:
        """Compete for the lease and, as its holder, evaluate running rollouts.

        Runs until cancelled; the lease is released while no rollout runs.
        """
        rng = random.Random()
        runner = LeaseRunner.from_name(self.name, store, LoopClock(), rng)
        lease_task: asyncio.Task | None = None
        try:
            while True:
                running = self.running_rollouts()
                if running and lease_task is None:
                    lease_task = asyncio.ensure_future(runner.run())
                elif not running and lease_task is not None:
                    await runner.release()
                    lease_task.cancel()
                    lease_task = None
                    runner = LeaseRunner.from_name(self.name, store, LoopClock(), rng)
                if running and runner.epoch() is not None:
                    await self._evaluate(store, kinds, running)
                    await asyncio.sleep(self._interval_s(EVALUATION_INTERVAL_S))
                else:
                    await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        finally:
            if lease_task is not None:
                lease_task.cancel()

    async def _evaluate(
        self, store: StatusStore, kinds: KindStore, running: list[ServiceRollout]
    ) -> None:
        listed = await kinds.list_kind(EVIDENCE_KIND)
        if not isinstance(listed, Success):
            return
        objects = listed.unwrap().objects
        await self._remove_former_evidence(store, objects, running)
        now = self.now()
        for rollout in running:
            if (
                rollout.evaluation is None
                or rollout.evaluation.order.uid != rollout.order.uid
            ):
                rollout.evaluation = OrderEvaluation(
                    rollout.order,
                    rollout.first_seen_at,
                    self.canary_share,
                    self.canary_tolerance,
                )
            evaluation = rollout.evaluation
            evaluation.order = rollout.order
            evaluation.evidence = decode_evidence(objects, rollout.order.uid)
            phase = evaluation.next_phase(now)
            if phase is not rollout.order.phase:
                await self._write_status(store, rollout, phase)

    async def _write_status(
        self, store: StatusStore, rollout: ServiceRollout, phase: Phase
    ) -> None:
        stored_order = rollout.stored
        status = self.encode_status(stored_order.order, str(phase))
        result = await store.put_status(stored_order.key, status, stored_order.revision)
        log.info(
            "rollout decided",
            service=stored_order.order.service,
            target=stored_order.order.target,
            phase=str(phase),
            reason=rollout.evaluation.reason,
            written=isinstance(result, Success),
        )


def decode_evidence(
    objects: tuple[KindObject, ...], uid: str
) -> dict[str, EntryEvidence]:
    """Return the evidence of one order by object name; skip malformed objects."""
    evidence = {}
    for item in objects:
        try:
            report = msgspec.convert(item.spec, _Report)
            if report.uid != uid:
                continue
            evidence[item.name] = report.evidence()
        except (msgspec.ValidationError, ValueError) as error:
            log.warning(
                "malformed rollout evidence ignored", name=item.name, error=str(error)
            )
    return evidence


def _order_uid(item: KindObject) -> str | None:
    """Return the uid of the order of an evidence object, None if malformed."""
    uid = item.spec.get("uid") if isinstance(item.spec, dict) else None
    return uid if isinstance(uid, str) else None


class _Report(msgspec.Struct):
    """An entry's evidence as written to the store."""

    uid: str
    phase: Phase
    old_open: Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
    new_open: Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
    counts: list[tuple[str, str, str, Counts]]

    def evidence(self) -> EntryEvidence:
        """Return the evidence; raise `ValueError` if the counts are inconsistent."""
        counts = {EvidenceKey(*key): value for *key, value in self.counts}
        if not all(v.is_valid() and v.requests <= MAX_COUNT for v in counts.values()):
            raise ValueError("counts are inconsistent or out of range")
        return EntryEvidence(counts, self.old_open, self.phase, self.new_open)
