"""Controller of an entry: lease, publisher and configuration status.

Every entry runs a controller, which is active only while the entry holds the lease.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import replace

import structlog
from returns.result import Failure

from monsoontack.config.confirmations import (
    STATUS_KEY,
    ConfigStatus,
    Confirmations,
    add_report,
    evaluate_confirmations,
)
from monsoontack.controller.cleanup import RecordCleanup
from monsoontack.controller.publish import PublisherRunner
from monsoontack.core.clock import Clock
from monsoontack.core.records import VmRecord
from monsoontack.entry.gossip import Gossip
from monsoontack.proto import peer_pb2
from monsoontack.store.api import NotFound, ObjectStore
from monsoontack.store.leaserunner import LeaseRunner

log = structlog.get_logger("controller")

STATUS_INTERVAL_S = 0.5  # a configuration change takes 2-3 status writes


class ControllerService:
    """Competes for the controller lease and does the controller's work under it.

    `lease_listeners` are called with the epoch when the lease is acquired and with
    None when it is lost. `report_listeners` are called with each report that arrives
    while this entry holds the lease.
    """

    def __init__(
        self, store: ObjectStore, gossip: Gossip, clock: Clock, rng: random.Random
    ) -> None:
        self.store = store
        self.gossip = gossip
        self.clock = clock
        own_record = gossip.state.me
        self.lease = LeaseRunner.from_name(
            own_record.address, store, clock, rng, on_change=self._lease_changed
        )
        self.publisher = PublisherRunner(
            store, clock, rng, self.lease.epoch, gossip.adopt_published_head
        )
        self.cleanup = RecordCleanup(
            store, lambda: tuple(gossip.view().accounts), clock, self.lease.epoch
        )
        self.entries: tuple[VmRecord, ...] = (own_record,)
        self.confirmations = Confirmations()
        self.last_status: ConfigStatus | None = None
        self.status_version: int | None = None
        self.lease_listeners: list[Callable[[int | None], None]] = []
        self.report_listeners: list[Callable[[peer_pb2.EvidenceReport], None]] = []
        gossip.on_report = self.handle_report

    def set_entries(self, entries: Iterable[VmRecord]) -> None:
        """Set the live entries of the VM list."""
        own_record = self.gossip.state.me
        others = {e.address: e for e in entries if e.address != own_record.address}
        self.entries = (own_record, *others.values())
        self.lease.set_live_processes(others)
        self.gossip.set_members(others.values())

    def _lease_changed(self, epoch: int | None) -> None:
        self.last_status, self.status_version = None, None
        self.confirmations = Confirmations()
        if epoch is None:
            log.info("controller lease lost")
            self.publisher.stop()
        else:
            log.info("controller lease held", epoch=epoch)
            self.gossip.announce_lease(epoch)
            self.publisher.start(epoch, self.gossip.state.chunks)
        for listener in self.lease_listeners:
            listener(epoch)

    def handle_report(self, report: peer_pb2.EvidenceReport) -> peer_pb2.EvidenceReply:
        """Process the revision and the evidence that an entry reports."""
        epoch = self.lease.epoch()
        if epoch is None:
            return peer_pb2.EvidenceReply(holder=False)
        self.confirmations = add_report(
            self.confirmations, report.address, report.incarnation, report.revision
        )
        for listener in self.report_listeners:
            listener(report)
        return peer_pb2.EvidenceReply(holder=True, lease_epoch=epoch)

    async def run(self) -> None:
        """Run the controller until cancelled."""
        work = (self.lease.run(), self.cleanup.run())
        tasks = [asyncio.ensure_future(item) for item in work]
        try:
            while True:
                await self.clock.sleep(STATUS_INTERVAL_S)
                await self._write_status()
        finally:
            for task in tasks:
                task.cancel()
            self.publisher.close()

    async def stop(self) -> None:
        """Release the lease so that another entry takes over at once."""
        await self.lease.release()

    async def _write_status(self) -> None:
        epoch, head = self.lease.epoch(), self.publisher.head
        if epoch is None or head is None:
            return
        if self.status_version is None and not await self._read_status(epoch):
            return
        self._confirm_own_revision()
        self.confirmations, status = evaluate_confirmations(
            self.confirmations, head.revision, self.entries, epoch
        )
        if status == self.last_status or self.lease.epoch() != epoch:
            return
        if self.status_version:
            call = self.store.update(STATUS_KEY, status.encode(), self.status_version)
        else:
            call = self.store.create(STATUS_KEY, status.encode())
        result = await call
        if isinstance(result, Failure):
            self.status_version = None  # reread the status before the next write
            return
        self.last_status, self.status_version = status, result.unwrap().version

    def _confirm_own_revision(self) -> None:
        state = self.gossip.state
        self.confirmations = add_report(
            self.confirmations,
            state.me.address,
            self.gossip.incarnation,
            state.head.revision,
        )

    async def _read_status(self, epoch: int) -> bool:
        """Read the stored status; return False if this process must not write it."""
        result = await self.store.get(STATUS_KEY)
        if isinstance(result, Failure):
            self.status_version = 0
            return isinstance(result.failure(), NotFound)
        stored = result.unwrap()
        try:
            status = ConfigStatus.decode(stored.value)
        except ValueError:
            self.status_version = stored.version
            return True
        if status.lease_epoch > epoch:
            return False
        self.last_status, self.status_version = status, stored.version
        in_force = max(self.confirmations.in_force, status.in_force)
        self.confirmations = replace(self.confirmations, in_force=in_force)
        return True
