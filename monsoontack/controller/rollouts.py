"""Carries out the rollout state machine while the controller lease is held.

Each state is an object `rollouts/state/<uid>`. Shares and phases are published
by a system proposal, which names the versions of the objects that it changes:
if another controller has changed them since, the proposal is refused. States
are read only after the publisher has sealed the head with this lease's epoch.
"""

import time
from collections.abc import Callable, Iterator
from typing import Protocol

import structlog
from returns.result import Failure, Result

from monsoontack.config.operator import submit
from monsoontack.config.proposal import is_final, proposal_key
from monsoontack.config.revision import chunk_name, decode_chunk
from monsoontack.config.view import ConfigView
from monsoontack.controller.service import ControllerService
from monsoontack.entry.rolloutguard import decode_report, received_stop_marks
from monsoontack.proto import peer_pb2
from monsoontack.rollout.controller import RolloutController
from monsoontack.rollout.plan import MIN_STEP_S
from monsoontack.rollout.state import (
    STATE_PREFIX,
    Action,
    Event,
    FleetSnapshot,
    LeaseGained,
    LeaseLost,
    LoadEnded,
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
from monsoontack.store.api import Ambiguous, Conflict, NotFound, StoredObject

log = structlog.get_logger("controller.rollouts")

TICK_S = 1.0
RETRY_LEASE_S = 5.0  # after stepping down while the lease is still held
SUBMIT_TIMEOUT_S = 2.0


class Engines(Protocol):
    """What the rollouts need of the backend servers."""

    def versions(self) -> dict[str, dict[str, tuple[str, ...]]]:
        """Return the loaded versions of each engine, by service and address."""
        ...

    def send_load_order(self, order_id: str, action: LoadVersion) -> None:
        """Send a load order; its result comes to `RolloutRunner.on_order_result`."""
        ...


class RolloutRunner:
    """Runs all rollouts from the process that holds the lease.

    `unix_time` gives Unix time, which successors share.
    """

    def __init__(
        self,
        service: ControllerService,
        engines: Engines,
        load_rate_bytes_s: float,
        min_step_s: float = MIN_STEP_S,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self.service = service
        self.gossip = service.gossip
        self.store = service.store
        self.engines = engines
        self.unix_time = unix_time
        self.name = self.gossip.state.process
        self.machine = RolloutController.from_config(
            self.name, load_rate_bytes_s, unix_time(), min_step_s
        )
        self.begun: int | None = None
        self.retry_at = 0.0
        self.proposals: dict[str, str] = {}
        self.orders: dict[str, LoadVersion] = {}
        service.on_report.append(self.on_report)
        self.gossip.on_adopted.append(self.adopt)

    def adopt(self, view: ConfigView) -> None:
        """Take over the rollouts of a newly adopted revision."""
        weights = {key: v.weights_bytes for key, v in view.versions.items()}
        self.machine.configure(view.rollouts.values(), weights, self.unix_time())

    def on_report(self, report: peer_pb2.EvidenceReport) -> None:
        """Take in evidence of an entry."""
        self.machine.handle(ReportReceived(decode_report(report)), self.unix_time())

    def on_order_result(self, order_id: str, code: str) -> None:
        """Take in the result of a load order."""
        action = self.orders.pop(order_id, None)
        if action is not None:
            log.info("load ended", agent=action.address, code=code)
            ended = LoadEnded(action.address, action.version, code)
            self._note(self.machine.handle(ended, self.unix_time()))

    def _note(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, StepDown):
                log.error("rollouts step down", reason=action.reason)
                self.begun = None
                self.retry_at = self.unix_time() + RETRY_LEASE_S

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            await self.gossip.clock.sleep(TICK_S)
            await self.turn()

    async def turn(self) -> None:
        """Do what is due now."""
        epoch = self.service.lease.epoch()
        if epoch is None:
            if self.machine.epoch:
                self.machine.handle(LeaseLost(), self.unix_time())
            self.begun = None
            return
        if self.begun != epoch and not await self._begin(epoch):
            return
        await self._check_proposals()
        for event in self._events():
            await self._pass(event)

    def _events(self) -> Iterator[Event]:
        yield FleetSnapshot(self.engines.versions(), len(self.service.entries))
        yield from self._published()
        yield StopMarksReceived(received_stop_marks(self.gossip))
        yield Tick()

    def _published(self) -> Iterator[SharesPublished]:
        view = self.gossip.view()
        for rollout in view.rollouts.values():
            if rollout.phase in set(Phase):
                shares = dict(view.services[rollout.service].shares)
                share = shares.get(rollout.to_version, 0.0)
                yield SharesPublished(rollout.uid, share, Phase(rollout.phase))

    async def _begin(self, epoch: int) -> bool:
        """Read the stored states, once the head is sealed."""
        if self.service.publisher.head is None or self.unix_time() < self.retry_at:
            return False
        listed = await self.store.list(STATE_PREFIX)
        if isinstance(listed, Failure) or self.service.lease.epoch() != epoch:
            return False
        self.begun = epoch
        self.proposals.clear()
        await self._pass(LeaseGained(epoch, self._decode(listed.unwrap())))
        return True

    def _decode(self, objects: list[StoredObject]) -> dict:
        states = {}
        for stored in objects:
            result = RolloutState.from_json(stored.value, stored.key)
            if isinstance(result, Failure):
                log.error("rollout state is malformed", error=str(result.failure()))
                continue
            states[result.unwrap().uid] = (result.unwrap(), stored.version)
        return states

    async def _pass(self, event: Event) -> None:
        """Pass an event to the machine and execute what it asks for."""
        queue = self.machine.handle(event, self.unix_time())
        while queue:
            action = queue.pop(0)
            self._note([action])
            match action:
                case SpreadStopMark(mark):
                    self.gossip.set_stop_mark(mark)
                case LoadVersion():
                    self._load(action)
                case PublishShares():
                    await self._publish(action)
                case WriteState():
                    answer = await self._write(action)
                    queue += self.machine.handle(answer, self.unix_time())

    def _load(self, action: LoadVersion) -> None:
        order_id = f"{action.fence}-{action.address}-{action.version}"
        self.orders[order_id] = action
        log.info("load ordered", agent=action.address, version=action.version)
        self.engines.send_load_order(order_id, action)

    async def _write(self, action: WriteState) -> Event:
        uid, value = action.state.uid, action.state.to_json()
        key = STATE_PREFIX + uid
        if self.service.lease.epoch() != action.state.epoch:
            return StateNotWritten(uid)
        if action.version:
            result = await self.store.update(key, value, action.version)
        else:
            result = await self.store.create(key, value)
        if isinstance(result, Failure) and isinstance(result.failure(), Ambiguous):
            result = await self._read_back(key, value)
        event = _written(uid, value, result)
        log.info(
            "rollout", uid=uid, phase=action.state.phase, result=type(event).__name__
        )
        return event

    async def _read_back(self, key: str, value: bytes) -> Result:
        """Return the stored object if it is ours, else a conflict or outage."""
        result = await self.store.get(key)
        if isinstance(result, Failure):
            return result
        stored = result.unwrap()
        return result if stored.value == value else Failure(Conflict(key, stored))

    async def _check_proposals(self) -> None:
        for rollout_uid, uid in list(self.proposals.items()):
            result = await self.store.get(proposal_key(uid))
            missing = isinstance(result, Failure)
            if missing and not isinstance(result.failure(), NotFound):
                continue
            if missing or is_final(result.unwrap().value):
                del self.proposals[rollout_uid]

    async def _publish(self, action: PublishShares) -> None:
        """Submit the shares, unless a proposal of this rollout still waits."""
        rollout = self._document("Rollout", lambda d: d["status"]["uid"] == action.uid)
        service = self._document("Service", lambda d: d["name"] == action.service)
        if action.uid in self.proposals or rollout is None or service is None:
            return
        share = dict(action.shares)
        spec = {**service["spec"], "shares": share}
        status = {
            "uid": action.uid,
            "phase": str(action.phase),
            "share": action.shares[1][1],
            "reason": action.reason,
        }
        changes = [
            _put({**service, "spec": spec}),
            _put({**rollout, "status": status}),
        ]
        uid = f"{int(self.unix_time() * 1000):014d}-{action.epoch:x}"
        proposal = {
            "uid": uid,
            "author": f"rollout controller {self.name}",
            "system": True,
            "changes": changes,
            "status": {},
        }
        self.proposals[action.uid] = uid
        log.info("shares", rollout=action.uid, share=status["share"])
        result = await submit(self.store, proposal, self.gossip.clock, SUBMIT_TIMEOUT_S)
        if isinstance(result, Failure):
            log.warning("shares not submitted", error=type(result.failure()).__name__)
        self.service.publisher.wake()

    def _document(self, kind: str, matches: Callable[[dict], bool]) -> dict | None:
        state = self.service.publisher.state
        digest = state.head.chunks.get(chunk_name(kind, ""))
        if digest is None or digest not in state.chunks:
            return None
        documents = decode_chunk(state.chunks[digest].value)
        return next((d for d in documents if matches(d)), None)


def _put(document: dict) -> dict:
    return {"op": "put", "base_version": document["version"], "object": document}


def _written(uid: str, value: bytes, result: Result) -> Event:
    if not isinstance(result, Failure):
        return StateWritten(uid, result.unwrap().version)
    error = result.failure()
    if not isinstance(error, Conflict):
        return StateNotWritten(uid)
    # An earlier try whose answer was lost may be what stands there.
    if error.current is not None and error.current.value == value:
        return StateWritten(uid, error.current.version)
    return StateConflict(uid)
