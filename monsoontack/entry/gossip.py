"""Runs the gossip of an entry, which provides the configuration in force.

`monsoontack.config.gossip` is a state machine without I/O. This module executes
its actions against peers and the store, and passes the results back as events.
The rest of the entry uses `view`, `is_ready`, `is_fresh` and `stop_marks`.
"""

import asyncio
import random
from collections.abc import Callable, Iterable, Mapping

import structlog
from returns.result import Failure, Result, Success

from monsoontack.config import contact
from monsoontack.config.gossip import TICK_S, step
from monsoontack.config.gossip_state import (
    STORE,
    Adopted,
    ChunksFetched,
    ControllerRef,
    DigestReceived,
    Event,
    Fetch,
    GossipState,
    HeadPublished,
    HeadRead,
    LeaseHeld,
    MembersChanged,
    PeerDigest,
    PeerUnreachable,
    Pull,
    Push,
    ReadHead,
    Reply,
    StopMarkSet,
    StoreFailed,
    Tick,
)
from monsoontack.config.operations import Get, execute_all
from monsoontack.config.revision import (
    HEAD_KEY,
    Chunk,
    Head,
    chunk_key,
    decode_head,
)
from monsoontack.config.view import ConfigView
from monsoontack.core.clock import Clock
from monsoontack.core.records import Place, StopMark, VmRecord
from monsoontack.entry.peers import PeerTransport, PeerUnreachableError
from monsoontack.proto import peer_pb2
from monsoontack.rollout.evidence import report_interval_s
from monsoontack.settings.models import EntrySettings
from monsoontack.store.api import NotFound, ObjectStore

log = structlog.get_logger("entry.gossip")

# Minimum interval between repeated reports without evidence, which contain nothing new.
# Reports of 64 entries every 5 s took about 1.9% of a core of the lease holder.
IDLE_REPORT_INTERVAL_S = 30.0
MAX_REPORT_DELAY_S = 0.5  # spreads the 390 reports of a new revision over time

ReportHandler = Callable[[peer_pb2.EvidenceReport], peer_pb2.EvidenceReply]


def reply_not_holder(report: peer_pb2.EvidenceReport) -> peer_pb2.EvidenceReply:
    """Reply that this process does not hold the lease."""
    return peer_pb2.EvidenceReply(holder=False)


class Gossip:
    """`ConfigSource` of an entry, kept up to date by gossip.

    `add_evidence` may add evidence to a report. `on_report` handles reports of
    entries and replies whether this process holds the lease. The functions in
    `on_adopted` are called with each newly adopted view.
    """

    def __init__(
        self,
        me: VmRecord,
        process: str,
        store: ObjectStore,
        peers: PeerTransport,
        clock: Clock,
        rng: random.Random,
        configured_peers: Iterable[str] = (),
    ) -> None:
        self.state = GossipState(me, process)
        self.store = store
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.configured_peers = [a for a in configured_peers if a != me.address]
        self.incarnation = rng.getrandbits(63)
        self.add_evidence: Callable[[peer_pb2.EvidenceReport], None] = lambda _: None
        self.on_report: ReportHandler = reply_not_holder
        self.on_adopted: list[Callable[[ConfigView], None]] = []
        self.request_tasks: set[asyncio.Task] = set()
        self.report_due = asyncio.Event()
        self.last_reported: tuple[ControllerRef, int] | None = None
        self.last_report_at = 0.0
        self.set_members(())

    @classmethod
    def from_settings(
        cls,
        settings: EntrySettings,
        store: ObjectStore,
        peers: PeerTransport,
        clock: Clock,
        rng: random.Random,
    ) -> "Gossip":
        """Return the gossip of an entry with the given settings."""
        place = Place(settings.failure_domain, settings.region)
        address = settings.peer_address
        me = VmRecord(settings.name, "entry", address, settings.http_address, place)
        return cls(me, settings.name, store, peers, clock, rng, settings.peers)

    def view(self) -> ConfigView:
        """Return the configuration in force; revision 0 if none is adopted yet."""
        return self.state.view

    def is_ready(self, now: float) -> bool:
        """Return whether this process may accept new requests."""
        return contact.is_ready(self.state, now)

    def is_fresh(self, now: float) -> bool:
        """Return whether this entry may send new requests to unproved versions."""
        return contact.is_store_contact_recent(self.state, now)

    def stop_marks(self) -> Mapping[str, StopMark]:
        """Return the stop marks by rollout uid."""
        return self.state.stop_marks

    def set_stop_mark(self, mark: StopMark) -> None:
        """Set a stop mark and send it to peers."""
        self.apply(StopMarkSet(mark))

    def set_members(self, entries: Iterable[VmRecord]) -> None:
        """Replace the members by the live entries; configured peers remain members."""
        members = {record.address: record for record in entries}
        for address in self.configured_peers:
            placeholder = VmRecord(address, "entry", address, "", Place("", ""))
            members.setdefault(address, placeholder)
        self.apply(MembersChanged(tuple(members.values())))

    def announce_lease(self, epoch: int) -> None:
        """Announce this process to peers as the lease holder."""
        self.apply(LeaseHeld(epoch))

    def adopt_published_head(self, head: Head, chunks: Mapping[str, Chunk]) -> None:
        """Adopt a head that this process has just published."""
        self.apply(HeadPublished(head, chunks))

    def handle_digest(self, digest: PeerDigest) -> PeerDigest:
        """Merge a peer's digest and return the digest of this process."""
        actions = self.apply(DigestReceived(digest, reply=True))
        return next(item.digest for item in actions if isinstance(item, Reply))

    def chunk_values(self, digests: list[str]) -> dict[str, bytes]:
        """Return the chunk values that this process has."""
        chunks = self.state.chunks
        return {d: chunks[d].value for d in digests if d in chunks}

    def handle_report(self, report: peer_pb2.EvidenceReport) -> peer_pb2.EvidenceReply:
        """Handle a report of another entry."""
        return self.on_report(report)

    def apply(self, event: Event) -> list:
        """Pass an event to the state machine and start the resulting actions."""
        controller = self.state.controller
        self.state, actions = step(self.state, event, self.clock.now(), self.rng)
        if self.state.controller != controller:
            self.report_due.set()
        for action in actions:
            if isinstance(action, Adopted):
                self._notify_adopted(action.view)
            elif not isinstance(action, Reply):
                task = asyncio.ensure_future(self._execute(action))
                self.request_tasks.add(task)
                task.add_done_callback(self.request_tasks.discard)
        return actions

    def _notify_adopted(self, view: ConfigView) -> None:
        log.info("configuration in force", revision=view.revision)
        self.report_due.set()
        for listener in self.on_adopted:
            listener(view)

    async def _execute(self, action: Push | Pull | Fetch | ReadHead) -> None:
        match action:
            case Push(address, digest):
                await self._exchange(self.peers.push, address, digest)
            case Pull(address, digest):
                await self._exchange(self.peers.pull, address, digest)
            case Fetch(source, revision, digests):
                values = await self._fetch(source, digests)
                self.apply(ChunksFetched(source, revision, values))
            case ReadHead(after, wait_s):
                self.apply(await self._read_head(after, wait_s))

    async def _exchange(self, call, address: str, digest: PeerDigest) -> None:
        try:
            reply = await call(address, digest)
        except PeerUnreachableError:
            self.apply(PeerUnreachable(address))
            return
        self.apply(DigestReceived(reply, reply=False))

    async def _fetch(self, source: str, digests: tuple[str, ...]) -> dict[str, bytes]:
        if source != STORE:
            try:
                return await self.peers.fetch(source, digests)
            except PeerUnreachableError:
                return {}
        keys = {chunk_key(digest): digest for digest in digests}
        results = await execute_all(self.store, tuple(map(Get, keys)))
        found = [result.unwrap() for result in results if isinstance(result, Success)]
        return {keys[stored.key]: stored.value for stored in found}

    async def _read_head(self, after: int, wait_s: float) -> Event:
        if wait_s > 0:
            result = await self.store.watch(HEAD_KEY, after, wait_s)
        else:
            result = await self.store.get(HEAD_KEY)
        return _head_event(result)

    async def run(self) -> None:
        """Run gossip and reports until cancelled."""
        reports = asyncio.ensure_future(self._report())
        try:
            while True:
                self.apply(Tick())
                await self.clock.sleep(TICK_S)
        finally:
            reports.cancel()
            for task in list(self.request_tasks):
                task.cancel()

    async def _report(self) -> None:
        """Report evidence and the revision in force to the lease holder."""
        while True:
            self.report_due.clear()
            if address := self.state.controller.address:
                await self._send_report(address)
            try:
                interval_s = report_interval_s(len(self.state.members) + 1)
                await asyncio.wait_for(self.report_due.wait(), interval_s)
            except TimeoutError:
                continue
            await self.clock.sleep(self.rng.uniform(0.0, MAX_REPORT_DELAY_S))

    async def _send_report(self, address: str) -> None:
        current = (self.state.controller, self.state.head.revision)
        report = peer_pb2.EvidenceReport(
            entry=self.state.process,
            incarnation=self.incarnation,
            revision=self.state.head.revision,
            address=self.state.me.address,
        )
        self.add_evidence(report)
        is_recent = self.clock.now() < self.last_report_at + IDLE_REPORT_INTERVAL_S
        if not report.routes and self.last_reported == current and is_recent:
            return
        try:
            if address == self.state.me.address:
                reply = self.on_report(report)
            else:
                reply = await self.peers.report(address, report)
        except PeerUnreachableError:
            log.debug("cannot deliver the report to the lease holder", address=address)
            return
        if reply.holder:
            self.last_reported, self.last_report_at = current, self.clock.now()


def _head_event(result: Result) -> HeadRead | StoreFailed:
    if isinstance(result, Failure):
        missing = isinstance(result.failure(), NotFound)
        return HeadRead(None, 0) if missing else StoreFailed()
    stored = result.unwrap()
    if stored is None:
        return HeadRead(None, 0)
    try:
        return HeadRead(decode_head(stored.value), stored.version)
    except (ValueError, KeyError, TypeError):
        log.error("stored published/head is malformed", version=stored.version)
        return StoreFailed()
