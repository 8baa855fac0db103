"""Runs the rollout state machine while this process holds the controller lease.

The state of each rollout is stored as the object `rollouts/state/<uid>`. Traffic
shares and phases are published by a system proposal with the versions of the objects
that it changes; the proposal is refused if another controller has changed them since.
States are read only after the publisher has sealed the head with the epoch of this
lease.
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
STEP_DOWN_RETRY_S = 5.0  # delay before restarting if the lease is still held
SUBMIT_TIMEOUT_S = 2.0


class EngineFleet(Protocol):
    """Operations on the backend servers that rollouts need."""

    def versions(self) -> dict[str, dict[str, tuple[str, ...]]]:
        """Return the loaded versions of each engine by service and address."""
        ...

    def send_load_order(self, order_id: str, action: LoadVersion) -> None:
        """Send a load order; `RolloutRunner.on_order_result` receives its result."""
        ...


class RolloutRunner:
    """Runs all rollouts in the process that holds the controller lease.

    `unix_time` returns Unix time, because the next lease holder continues with the
    stored times.
    """

    def __init__(
        self,
        service: ControllerService,
        engines: EngineFleet,
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
        self.controller = RolloutController.from_config(
            self.name, load_rate_bytes_s, unix_time(), min_step_s
        )
        self.active_epoch: int | None = None
        self.retry_at = 0.0
        self.pending_proposals: dict[str, str] = {}
        self.load_orders: dict[str, LoadVersion] = {}
        service.report_listeners.append(self.on_report)
        self.gossip.on_adopted.append(self.adopt)

    def adopt(self, view: ConfigView) -> None:
        """Apply the rollouts and version sizes of a newly adopted revision."""
        weights = {key: v.weights_bytes for key, v in view.versions.items()}
        self.controller.configure(view.rollouts.values(), weights, self.unix_time())

    def on_report(self, report: peer_pb2.EvidenceReport) -> None:
        """Process the evidence that an entry reports."""
        self.controller.handle(ReportReceived(decode_report(report)), self.unix_time())

    def on_order_result(self, order_id: str, code: str) -> None:
        """Process the result of a load order."""
        action = self.load_orders.pop(order_id, None)
        if action is not None:
            log.info("load order finished", agent=action.address, code=code)
            ended = LoadEnded(action.address, action.version, code)
            self._handle_step_down(self.controller.handle(ended, self.unix_time()))

    def _handle_step_down(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, StepDown):
                log.error("rollout controller steps down", reason=action.reason)
                self.active_epoch = None
                self.retry_at = self.unix_time() + STEP_DOWN_RETRY_S

    async def run(self) -> None:
        """Run rollouts until cancelled."""
        while True:
            await self.gossip.clock.sleep(TICK_S)
            await self.run_once()

    async def run_once(self) -> None:
        """Process the current lease state, proposals and events once."""
        epoch = self.service.lease.epoch()
        if epoch is None:
            if self.controller.epoch:
                self.controller.handle(LeaseLost(), self.unix_time())
            self.active_epoch = None
            return
        if self.active_epoch != epoch and not await self._start_epoch(epoch):
            return
        await self._drop_finished_proposals()
        for event in self._collect_events():
            await self._process_event(event)

    def _collect_events(self) -> Iterator[Event]:
        yield FleetSnapshot(self.engines.versions(), len(self.service.entries))
        yield from self._published_shares()
        yield StopMarksReceived(received_stop_marks(self.gossip))
        yield Tick()

    def _published_shares(self) -> Iterator[SharesPublished]:
        view = self.gossip.view()
        for rollout in view.rollouts.values():
            if rollout.phase in set(Phase):
                shares = dict(view.services[rollout.service].shares)
                share = shares.get(rollout.to_version, 0.0)
                yield SharesPublished(rollout.uid, share, Phase(rollout.phase))

    async def _start_epoch(self, epoch: int) -> bool:
        """Read the stored rollout states once the publisher has sealed the head.

        Returns False if the states could not be read yet.
        """
        if self.service.publisher.head is None or self.unix_time() < self.retry_at:
            return False
        listed = await self.store.list(STATE_PREFIX)
        if isinstance(listed, Failure) or self.service.lease.epoch() != epoch:
            return False
        self.active_epoch = epoch
        self.pending_proposals.clear()
        await self._process_event(
            LeaseGained(epoch, self._decode_states(listed.unwrap()))
        )
        return True

    def _decode_states(self, objects: list[StoredObject]) -> dict:
        states = {}
        for stored in objects:
            result = RolloutState.from_json(stored.value, stored.key)
            if isinstance(result, Failure):
                log.error(
                    "skipping malformed stored rollout state",
                    error=str(result.failure()),
                )
                continue
            states[result.unwrap().uid] = (result.unwrap(), stored.version)
        return states

    async def _process_event(self, event: Event) -> None:
        """Pass an event to the controller and execute the actions it returns."""
        pending_actions = self.controller.handle(event, self.unix_time())
        while pending_actions:
            action = pending_actions.pop(0)
            self._handle_step_down([action])
            match action:
                case SpreadStopMark(mark):
                    self.gossip.set_stop_mark(mark)
                case LoadVersion():
                    self._order_load(action)
                case PublishShares():
                    await self._publish_shares(action)
                case WriteState():
                    written = await self._write_state(action)
                    pending_actions += self.controller.handle(written, self.unix_time())

    def _order_load(self, action: LoadVersion) -> None:
        order_id = f"{action.fence}-{action.address}-{action.version}"
        self.load_orders[order_id] = action
        log.info("sending load order", agent=action.address, version=action.version)
        self.engines.send_load_order(order_id, action)

    async def _write_state(self, action: WriteState) -> Event:
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
        event = _write_event(uid, value, result)
        log.info(
            "rollout", uid=uid, phase=action.state.phase, result=type(event).__name__
        )
        return event

    async def _read_back(self, key: str, value: bytes) -> Result:
        """Check the effect of an ambiguous write.

        Returns the stored object if it has the written value, else a failure.
        """
        result = await self.store.get(key)
        if isinstance(result, Failure):
            return result
        stored = result.unwrap()
        return result if stored.value == value else Failure(Conflict(key, stored))

    async def _drop_finished_proposals(self) -> None:
        for rollout_uid, uid in list(self.pending_proposals.items()):
            result = await self.store.get(proposal_key(uid))
            failed = isinstance(result, Failure)
            if failed and not isinstance(result.failure(), NotFound):
                continue
            if failed or is_final(result.unwrap().value):
                del self.pending_proposals[rollout_uid]

    async def _publish_shares(self, action: PublishShares) -> None:
        """Propose new shares unless a proposal of this rollout is still pending."""
        rollout = self._find_document(
            "Rollout", lambda d: d["status"]["uid"] == action.uid
        )
        service = self._find_document("Service", lambda d: d["name"] == action.service)
        if action.uid in self.pending_proposals or rollout is None or service is None:
            return
        shares = dict(action.shares)
        spec = {**service["spec"], "shares": shares}
        status = {
            "uid": action.uid,
            "phase": str(action.phase),
            "share": action.shares[1][1],
            "reason": action.reason,
        }
        changes = [
            _put_change({**service, "spec": spec}),
            _put_change({**rollout, "status": status}),
        ]
        uid = f"{int(self.unix_time() * 1000):014d}-{action.epoch:x}"
        proposal = {
            "uid": uid,
            "author": f"rollout controller {self.name}",
            "system": True,
            "changes": changes,
            "status": {},
        }
        self.pending_proposals[action.uid] = uid
        log.info("shares", rollout=action.uid, share=status["share"])
        result = await submit(self.store, proposal, self.gossip.clock, SUBMIT_TIMEOUT_S)
        if isinstance(result, Failure):
            log.warning(
                "submitting the share proposal failed",
                error=type(result.failure()).__name__,
            )
        self.service.publisher.wake()

    def _find_document(self, kind: str, matches: Callable[[dict], bool]) -> dict | None:
        state = self.service.publisher.state
        digest = state.head.chunks.get(chunk_name(kind, ""))
        if digest is None or digest not in state.chunks:
            return None
        documents = decode_chunk(state.chunks[digest].value)
        return next((d for d in documents if matches(d)), None)


def _put_change(document: dict) -> dict:
    return {"op": "put", "base_version": document["version"], "object": document}


def _write_event(uid: str, value: bytes, result: Result) -> Event:
    if not isinstance(result, Failure):
        return StateWritten(uid, result.unwrap().version)
    error = result.failure()
    if not isinstance(error, Conflict):
        return StateNotWritten(uid)
    # The stored value may come from an earlier attempt whose response was lost.
    if error.current is not None and error.current.value == value:
        return StateWritten(uid, error.current.version)
    return StateConflict(uid)
