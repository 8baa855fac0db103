"""Carries out gossip in an entry and offers the configuration in force.

The decisions are in `monsoontack.config.gossip`; this module sends what they
ask for and passes answers back. The other parts of the entry use `view`,
`is_ready`, `is_fresh` and `stop_marks`.
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

# A report without evidence only repeats what the lease holder knows. Reports of 64
# entries every 5 s took the holder about 1.9% of a core.
IDLE_REPORT_S = 30.0
REPORT_SPREAD_S = 0.5  # keeps 390 reports of a new revision apart

TakeReport = Callable[[peer_pb2.EvidenceReport], peer_pb2.EvidenceReply]


def not_holder(report: peer_pb2.EvidenceReport) -> peer_pb2.EvidenceReply:
    """Answer a report while this process does not hold the lease."""
    return peer_pb2.EvidenceReply(holder=False)


class Gossip:
    """`ConfigSource` of an entry, kept up to date by gossip.

    `fill_report` may add evidence to a report; `on_report` takes in reports of
    others while this process holds the lease; `on_adopted` hears each view.
    """

    def __init__(
        self,
        me: VmRecord,
        process: str,
        store: ObjectStore,
        peers: PeerTransport,
        clock: Clock,
        rng: random.Random,
        configured: Iterable[str] = (),
    ) -> None:
        self.state = GossipState(me, process)
        self.store = store
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.configured = [a for a in configured if a != me.address]
        self.incarnation = rng.getrandbits(63)
        self.fill_report: Callable[[peer_pb2.EvidenceReport], None] = lambda _: None
        self.on_report: TakeReport = not_holder
        self.on_adopted: list[Callable[[ConfigView], None]] = []
        self.requests: set[asyncio.Task] = set()
        self.report_due = asyncio.Event()
        self.reported: tuple[ControllerRef, int] | None = None
        self.reported_at = 0.0
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
        """Return the gossip of the entry that the settings describe."""
        place = Place(settings.failure_domain, settings.region)
        address = settings.peer_address
        me = VmRecord(settings.name, "entry", address, settings.http_address, place)
        return cls(me, settings.name, store, peers, clock, rng, settings.peers)

    def view(self) -> ConfigView:
        """Return the configuration in force; revision 0 before the first."""
        return self.state.view

    def is_ready(self, now: float) -> bool:
        """Return whether this process takes new work."""
        return contact.is_ready(self.state, now)

    def is_fresh(self, now: float) -> bool:
        """Return whether unproved versions may get new traffic here."""
        return contact.is_store_contact_recent(self.state, now)

    def stop_marks(self) -> Mapping[str, StopMark]:
        """Return the stop marks by rollout uid."""
        return self.state.stop_marks

    def set_stop_mark(self, mark: StopMark) -> None:
        """Set a stop mark and tell peers."""
        self.apply(StopMarkSet(mark))

    def set_members(self, entries: Iterable[VmRecord]) -> None:
        """Take in the live entries of the VM list; configured peers stay."""
        members = {record.address: record for record in entries}
        for address in self.configured:
            nowhere = VmRecord(address, "entry", address, "", Place("", ""))
            members.setdefault(address, nowhere)
        self.apply(MembersChanged(tuple(members.values())))

    def announce_lease(self, epoch: int) -> None:
        """Announce this process as the lease holder."""
        self.apply(LeaseHeld(epoch))

    def adopt_published_head(self, head: Head, chunks: Mapping[str, Chunk]) -> None:
        """Adopt a head that this process has just published."""
        self.apply(HeadPublished(head, chunks))

    def handle_digest(self, digest: PeerDigest) -> PeerDigest:
        """Take in a peer's digest and return the own one."""
        actions = self.apply(DigestReceived(digest, reply=True))
        return next(item.digest for item in actions if isinstance(item, Reply))

    def chunk_values(self, digests: list[str]) -> dict[str, bytes]:
        """Return the chunk values that this process has."""
        chunks = self.state.chunks
        return {d: chunks[d].value for d in digests if d in chunks}

    def handle_report(self, report: peer_pb2.EvidenceReport) -> peer_pb2.EvidenceReply:
        """Take in a report of another entry."""
        return self.on_report(report)

    def apply(self, event: Event) -> list:
        """Pass one event to the state machine and start its actions."""
        controller = self.state.controller
        self.state, actions = step(self.state, event, self.clock.now(), self.rng)
        if self.state.controller != controller:
            self.report_due.set()
        for action in actions:
            if isinstance(action, Adopted):
                self._adopted(action.view)
            elif not isinstance(action, Reply):
                task = asyncio.ensure_future(self._request(action))
                self.requests.add(task)
                task.add_done_callback(self.requests.discard)
        return actions

    def _adopted(self, view: ConfigView) -> None:
        log.info("configuration in force", revision=view.revision)
        self.report_due.set()
        for listener in self.on_adopted:
            listener(view)

    async def _request(self, action: Push | Pull | Fetch | ReadHead) -> None:
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
        """Gossip until cancelled."""
        reports = asyncio.ensure_future(self._report())
        try:
            while True:
                self.apply(Tick())
                await self.clock.sleep(TICK_S)
        finally:
            reports.cancel()
            for task in list(self.requests):
                task.cancel()

    async def _report(self) -> None:
        """Tell the lease holder the revision in force here, and evidence."""
        while True:
            self.report_due.clear()
            if address := self.state.controller.address:
                await self._send_report(address)
            try:
                interval_s = report_interval_s(len(self.state.members) + 1)
                await asyncio.wait_for(self.report_due.wait(), interval_s)
            except TimeoutError:
                continue
            await self.clock.sleep(self.rng.uniform(0.0, REPORT_SPREAD_S))

    async def _send_report(self, address: str) -> None:
        known = (self.state.controller, self.state.head.revision)
        report = peer_pb2.EvidenceReport(
            entry=self.state.process,
            incarnation=self.incarnation,
            revision=self.state.head.revision,
            address=self.state.me.address,
        )
        self.fill_report(report)
        is_recent = self.clock.now() < self.reported_at + IDLE_REPORT_S
        if not report.routes and self.reported == known and is_recent:
            return
        try:
            if address == self.state.me.address:
                reply = self.on_report(report)
            else:
                reply = await self.peers.report(address, report)
        except PeerUnreachableError:
            log.debug("report not delivered", address=address)
            return
        if reply.holder:
            self.reported, self.reported_at = known, self.clock.now()


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
        log.error("published/head is malformed", version=stored.version)
        return StoreFailed()
