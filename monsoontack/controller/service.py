"""The controller inside an entry: lease, publisher and status of configuration.

Every entry runs one; it works only while its entry holds the lease.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

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

STATUS_S = 0.5  # a change takes two or three status writes


class ControllerService:
    """Holds or waits for the controller lease and does its work.

    `on_lease` hears the epoch when the lease is gained and None when it is
    lost; `on_report` hears each report that arrives while it is held.
    """

    def __init__(
        self, store: ObjectStore, gossip: Gossip, clock: Clock, rng: random.Random
    ) -> None:
        self.store = store
        self.gossip = gossip
        self.clock = clock
        me = gossip.state.me
        self.lease = LeaseRunner.from_name(
            me.address, store, clock, rng, on_change=self._lease_changed
        )
        self.publisher = PublisherRunner(
            store, clock, rng, self.lease.epoch, gossip.adopt_published_head
        )
        self.cleanup = RecordCleanup(
            store, lambda: tuple(gossip.view().accounts), clock, self.lease.epoch
        )
        self.entries: tuple[VmRecord, ...] = (me,)
        self.confirmations = Confirmations()
        self.written: ConfigStatus | None = None
        self.written_version: int | None = None
        self.on_lease: list[Callable[[int | None], None]] = []
        self.on_report: list[Callable[[peer_pb2.EvidenceReport], None]] = []
        gossip.on_report = self.handle_report

    def set_entries(self, entries: Iterable[VmRecord]) -> None:
        """Take in the live entries of the VM list."""
        me = self.gossip.state.me
        others = {e.address: e for e in entries if e.address != me.address}
        self.entries = (me, *others.values())
        self.lease.set_fleet(others)
        self.gossip.set_members(others.values())

    def _lease_changed(self, epoch: int | None) -> None:
        self.written, self.written_version = None, None
        self.confirmations = Confirmations()
        if epoch is None:
            log.info("controller lease lost")
            self.publisher.stop()
        else:
            log.info("controller lease held", epoch=epoch)
            self.gossip.announce_lease(epoch)
            self.publisher.start(epoch, self.gossip.state.chunks)
        for listener in self.on_lease:
            listener(epoch)

    def handle_report(self, report: peer_pb2.EvidenceReport) -> peer_pb2.EvidenceReply:
        """Take in the revision and evidence of an entry."""
        epoch = self.lease.epoch()
        if epoch is None:
            return peer_pb2.EvidenceReply(holder=False)
        self.confirmations = add_report(
            self.confirmations, report.address, report.incarnation, report.revision
        )
        for listener in self.on_report:
            listener(report)
        return peer_pb2.EvidenceReply(holder=True, lease_epoch=epoch)

    async def run(self) -> None:
        """Work until cancelled."""
        work = (self.lease.run(), self.cleanup.run())
        tasks = [asyncio.ensure_future(item) for item in work]
        try:
            while True:
                await self.clock.sleep(STATUS_S)
                await self._write_status()
        finally:
            for task in tasks:
                task.cancel()
            self.publisher.close()

    async def stop(self) -> None:
        """Give the lease up so that another entry takes over at once."""
        await self.lease.release()

    async def _write_status(self) -> None:
        epoch, head = self.lease.epoch(), self.publisher.head
        if epoch is None or head is None:
            return
        if self.written_version is None and not await self._read_status(epoch):
            return
        self._confirm_own()
        self.confirmations, status = evaluate_confirmations(
            self.confirmations, head.revision, self.entries, epoch
        )
        if status == self.written or self.lease.epoch() != epoch:
            return
        if self.written_version:
            call = self.store.update(STATUS_KEY, status.encode(), self.written_version)
        else:
            call = self.store.create(STATUS_KEY, status.encode())
        result = await call
        if isinstance(result, Failure):
            self.written_version = None  # read it before the next write
            return
        self.written, self.written_version = status, result.unwrap().version

    def _confirm_own(self) -> None:
        state = self.gossip.state
        self.confirmations = add_report(
            self.confirmations,
            state.me.address,
            self.gossip.incarnation,
            state.head.revision,
        )

    async def _read_status(self, epoch: int) -> bool:
        """Learn what stands there; False if this holder must not write."""
        result = await self.store.get(STATUS_KEY)
        if isinstance(result, Failure):
            self.written_version = 0
            return isinstance(result.failure(), NotFound)
        stored = result.unwrap()
        try:
            status = ConfigStatus.decode(stored.value)
        except ValueError:
            self.written_version = stored.version
            return True
        if status.lease_epoch > epoch:
            return False
        self.written, self.written_version = status, stored.version
        in_force = max(self.confirmations.in_force, status.in_force)
        reported = self.confirmations.reported
        self.confirmations = Confirmations(reported, in_force)
        return True
