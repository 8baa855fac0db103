"""Orders to move a service to another version, at a gateway.

Each entry gates its own requests and writes what it saw to the store; the holder
of a lease judges the counts of all and writes the status. Both survive the death
of any entry: counts stand in the store, the lease passes on, and the status says
how far the move is. A paused holder may write late; its writes are conditional on
the revision of the order that it judged.
"""

import asyncio
import json
import random
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass, field
from typing import Any, Protocol

import msgspec
import structlog
from returns.result import Result, Success

from monsoontack.core.clock import LoopClock
from monsoontack.core.records import Outcome
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
    ObjectStore,
    StoredObject,
    StoreError,
)
from monsoontack.store.leaserunner import LeaseRunner

log = structlog.get_logger("gateway.rollouts")

EVIDENCE_KIND = "evidence"
# Between two reports of an entry, and two looks of the holder. A fault has to be
# acted on within seconds of its fiftieth bad answer.
REPORT_S = 0.7
LOOK_S = 0.7
# While a version takes over, a fault has to be noticed sooner; a large fleet reports
# so that the store gets this many writes a second.
MOVING_REPORT_S = 0.35
REPORTS_PER_S = 200.0
IDLE_S = 0.5
# Evidence of former orders that the holder of the lease removes at each look, so that
# the list stays short and the calls stay few.
LEFTOVERS_A_LOOK = 3
ENDED = (Phase.COMPLETE, Phase.REVERTED)


class StatusStore(ObjectStore, Protocol):
    """Object store that writes the status of operators' objects."""

    async def put_status(
        self, key: str, status: Any, version: int
    ) -> Result[StoredObject, StoreError]:
        """Replace the status of an object whose version must be `version`."""
        ...


@dataclass(frozen=True, slots=True)
class StoredOrder:
    """An order as it stands in the store under `key`, at `revision`."""

    key: str
    revision: int
    order: RolloutOrder


@dataclass(slots=True)
class Move:
    """What this entry knows and does of one order; `state` is the holder's."""

    object: StoredOrder
    gate: CanaryGate
    counters: EvidenceCounters
    seen_at: float
    reported: str = ""
    version: int = 0
    state: OrderEvaluation | None = None

    @property
    def order(self) -> RolloutOrder:
        """Return the order."""
        return self.object.order


@dataclass(slots=True)
class RolloutManager:
    """All orders by service. `decode` reads one from the store's object.

    `encode_status` gives the status document of a phase; `share` and `tolerance`
    bound the exposure to an unproved version at all entries together. `members`
    gives the servers of a service.
    """

    name: str
    incarnation: str
    share: float
    tolerance: float
    decode: Callable[[KindObject], StoredOrder | None]
    encode_status: Callable[[RolloutOrder, str], dict]
    entries: frozenset[str] = frozenset()
    members: Callable[[str], Iterable[Member]] = lambda service: ()
    moves: dict[str, Move] = field(default_factory=dict)

    def replace_all(self, objects: tuple[KindObject, ...], revision: int) -> None:
        """Take over a list."""
        for item in objects:
            self.changed(item)

    def changed(self, item: KindObject) -> None:
        """Take over a new or changed order."""
        found = self.decode(item)
        if found is None:
            return
        order = found.order
        move = self.moves.get(order.service)
        if move is not None and move.order.uid == order.uid:
            if found.revision >= move.object.revision:
                self._note_phase(move, found)
            return
        gate = CanaryGate.for_entry(
            self.share, self.tolerance, order.uid, self.name, self.entries
        )
        seen_at = self.now()
        self.moves[order.service] = Move(found, gate, EvidenceCounters(), seen_at)
        log.info(
            "rollout order",
            service=order.service,
            target=order.target,
            span_s=order.span_s,
            phase=str(order.phase),
        )

    def _note_phase(self, move: Move, found: StoredOrder) -> None:
        before, move.object = move.order.phase, found
        if move.order.phase is not before:
            log.info(
                "rollout phase",
                service=move.order.service,
                target=move.order.target,
                phase=str(move.order.phase),
            )

    def removed(self, name: str, revision: int) -> None:
        """Forget an order that the operator removed."""
        if self.moves.pop(name, None) is not None:
            log.info("rollout order removed", service=name)

    def confirmed(self, at: float) -> None:
        """Orders are followed like servers: the newest known is in force."""

    def note_request(self, service: str) -> None:
        """Count a request of a service."""
        move = self.moves.get(service)
        if move is not None:
            move.gate.note_request()

    def eligible_servers(self, service: str, members: list[Member]) -> list[Member]:
        """Return the servers whose version may take the next request."""
        move = self.moves.get(service)
        if move is None:
            return members
        target, phase = move.order.target, move.order.phase
        new = [m for m in members if target in m.server.versions]
        old = [m for m in members if target not in m.server.versions]
        if phase is Phase.MOVING and move.gate.is_failing:
            return old or new
        if phase in (Phase.MOVING, Phase.COMPLETE):
            return new or old
        move.gate.is_past_deadline = self.now() > move.seen_at + move.order.span_s
        if phase is Phase.CANARY and new and move.gate.may_expose():
            return new
        return old

    def note_sent(self, member: Member) -> None:
        """Note that a request goes to a server."""
        move = self.moves.get(member.server.service)
        if move is None or move.order.phase in ENDED:
            return
        if move.order.target in member.server.versions:
            move.gate.note_exposed()

    def note_ended(
        self,
        member: Member,
        route: str,
        failed: bool,
        latency_s: float | None = None,
        gap_s: float | None = None,
    ) -> None:
        """Note how a request ended; latencies in seconds, None if unknown."""
        move = self.moves.get(member.server.service)
        if move is None or move.order.phase in ENDED:
            return
        is_new = move.order.target in member.server.versions
        version = move.order.target if is_new else OLD_VERSION
        if is_new:
            move.gate.note_answer(failed)
        if self.now() < member.cold_until:
            # A server that has just started is slow whatever its version.
            latency_s = gap_s = None
        service = member.server.service
        move.counters.record(Outcome(service, version, route, failed, latency_s, gap_s))

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def running(self) -> list[Move]:
        """Return the orders that are not done."""
        return [m for m in self.moves.values() if m.order.phase not in ENDED]

    async def report(self, store: ObjectStore) -> None:
        """Write this entry's evidence while orders run, until cancelled."""
        while True:
            await asyncio.sleep(self._pause_s(REPORT_S))
            for move in list(self.moves.values()):
                if move.order.phase not in ENDED:
                    await self._write_evidence(store, move)
                elif move.version:
                    await self._remove_evidence(store, move)

    def _pause_s(self, usual_s: float) -> float:
        """Return the time to the next report or look."""
        if any(move.order.phase is Phase.MOVING for move in self.running()):
            usual_s = MOVING_REPORT_S
        return max(usual_s, len(self.entries) / REPORTS_PER_S)

    async def _write_evidence(self, store: ObjectStore, move: Move) -> None:
        target = move.order.target
        members = list(self.members(move.order.service))
        new = sum(m.in_flight for m in members if target in m.server.versions)
        document = {
            "uid": move.order.uid,
            "phase": str(move.order.phase),
            "old_open": sum(m.in_flight for m in members) - new,
            "new_open": new,
            "counts": [[*k, asdict(c)] for k, c in move.counters.counts.items()],
        }
        text = json.dumps(document)
        if text == move.reported:
            return
        key = self._evidence_key(move)
        if move.version:
            result = await store.update(key, text.encode(), move.version)
        else:
            result = await store.create(key, text.encode())
        if isinstance(result, Success):
            move.version, move.reported = result.unwrap().version, text
            return
        error = result.failure()
        log.warning("evidence not written", key=key, error=type(error).__name__)
        if isinstance(error, Conflict) and error.current is not None:
            move.version = error.current.version

    def _evidence_key(self, move: Move) -> str:
        return f"{EVIDENCE_KIND}/{self.name}-{self.incarnation}-{move.order.service}"

    async def _remove_evidence(self, store: ObjectStore, move: Move) -> None:
        """Take this entry's evidence about an ended order out of the store."""
        version, move.version = move.version, 0
        result = await store.delete(self._evidence_key(move), version)
        if not isinstance(result, Success):
            # The holder of the lease removes what is left at the next order.
            error = type(result.failure()).__name__
            log.info("evidence not removed", service=move.order.service, error=error)

    async def _remove_leftovers(
        self, store: ObjectStore, objects: tuple[KindObject, ...], running: list[Move]
    ) -> None:
        """Remove a few objects of former orders, whose writers may be gone."""
        uids = {move.order.uid for move in running}
        left = [o for o in objects if not uids & {_uid(o)}]
        for item in left[:LEFTOVERS_A_LOOK]:
            await store.delete(f"{EVIDENCE_KIND}/{item.name}", item.revision)

    async def control(self, store: StatusStore, kinds: KindStore) -> None:
        """Hold the lease and judge while orders run, until cancelled."""
        rng = random.Random()
        runner = LeaseRunner.from_name(self.name, store, LoopClock(), rng)
        holding: asyncio.Task | None = None
        try:
            while True:
                running = self.running()
                if running and holding is None:
                    holding = asyncio.ensure_future(runner.run())
                elif not running and holding is not None:
                    await runner.release()
                    holding.cancel()
                    holding = None
                    runner = LeaseRunner.from_name(self.name, store, LoopClock(), rng)
                if running and runner.epoch() is not None:
                    await self._look(store, kinds, running)
                    await asyncio.sleep(self._pause_s(LOOK_S))
                else:
                    await asyncio.sleep(IDLE_S)
        finally:
            if holding is not None:
                holding.cancel()

    async def _look(
        self, store: StatusStore, kinds: KindStore, running: list[Move]
    ) -> None:
        listed = await kinds.list_kind(EVIDENCE_KIND)
        if not isinstance(listed, Success):
            return
        objects = listed.unwrap().objects
        await self._remove_leftovers(store, objects, running)
        now = self.now()
        for move in running:
            if move.state is None or move.state.order.uid != move.order.uid:
                move.state = OrderEvaluation(
                    move.order, move.seen_at, self.share, self.tolerance
                )
            state = move.state
            state.order = move.order
            state.evidence = decode_evidence(objects, move.order.uid)
            phase = state.next_phase(now)
            if phase is not move.order.phase:
                await self._write_status(store, move, phase)

    async def _write_status(self, store: StatusStore, move: Move, phase: Phase) -> None:
        found = move.object
        status = self.encode_status(found.order, str(phase))
        result = await store.put_status(found.key, status, found.revision)
        log.info(
            "rollout decided",
            service=found.order.service,
            target=found.order.target,
            phase=str(phase),
            reason=move.state.reason,
            written=isinstance(result, Success),
        )


def decode_evidence(
    objects: tuple[KindObject, ...], uid: str
) -> dict[str, EntryEvidence]:
    """Return the evidence of one order by entry; what cannot be read is left out."""
    found = {}
    for item in objects:
        try:
            report = msgspec.convert(item.spec, _Report)
            if report.uid != uid:
                continue
            found[item.name] = report.evidence()
        except (msgspec.ValidationError, ValueError) as error:
            log.warning("evidence cannot be read", name=item.name, error=str(error))
    return found


def _uid(item: KindObject) -> str | None:
    """Return the order that evidence is about, None if it cannot be read."""
    return item.spec.get("uid") if isinstance(item.spec, dict) else None


class _Report(msgspec.Struct):
    """An entry's evidence as it stands in the store."""

    uid: str
    phase: Phase
    old_open: int
    new_open: int
    counts: list[tuple[str, str, str, Counts]]

    def evidence(self) -> EntryEvidence:
        """Return the evidence; raises `ValueError` if it can be of no requests."""
        counts = {EvidenceKey(*key): value for *key, value in self.counts}
        if not all(value.is_valid() for value in counts.values()):
            raise ValueError("impossible counts")
        return EntryEvidence(counts, self.old_open, self.phase, self.new_open)
