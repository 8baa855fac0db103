"""Exchange of what all entries have to know, along a tree.

Entries exchange the limits that servers state, the permits that divide these limits,
the crashes of engines, and which servers said that they are leaving. News pass at once
between an entry, its parent and its children, so that they reach all entries within a
few round trips, and an entry sends the same number of messages in a fleet of any size.
An entry reports to its parent regularly: often while its part of the tree wants
permits, rarely while no server has a limit, so that a restarted entry gets all records
soon.
"""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field, replace

import structlog

from monsoontack.admission.crashguard import CrashGuard
from monsoontack.admission.leavingservers import LeavingServers
from monsoontack.admission.limitgate import LimitGate
from monsoontack.core.changes import ChangeCounter
from monsoontack.gateway.entrycodec import (
    EntryMessage,
    decode_message,
    encode_message,
)
from monsoontack.gateway.entrytree import TreePlace, tree_place
from monsoontack.gateway.peers import PeerEntry, PeerResponse, call_peer
from monsoontack.gateway.pool import ConnectionPool
from monsoontack.gateway.records import RawRequest
from monsoontack.inbound.responder import Responder

log = structlog.get_logger("gateway.limits")

PATH = "/limits"
OK, BAD_REQUEST = 200, 400
TICK_S = 0.25
# Intervals of the reports to the parent: while permits are wanted, while a server has a
# limit, and otherwise.
WANTING_REPORT_S = TICK_S
LIMITED_REPORT_S = 1.0
IDLE_REPORT_S = 2.0
# Reports of different entries must not arrive in step.
REPORT_JITTER = 0.2
MIN_NEWS_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 0.4
# Entries that start at the same time do not see each other immediately, so that for
# this time after its start, an entry assumes that there are at least this many.
START_S = 5.0
MIN_ENTRIES_AT_START = 4
# Pause after a failed call, which doubles with each further one.
MIN_PAUSE_S = 1.0
MAX_PAUSE_S = 5.0


async def call_entry(
    pool: ConnectionPool, peer: PeerEntry, body: bytes
) -> PeerResponse | None:
    """Send a message to an entry; None if no response of it arrived."""
    return await call_peer(pool, peer, PATH, CALL_TIMEOUT_S, body)


PeerCall = Callable[[PeerEntry, bytes], Awaitable[PeerResponse | None]]


@dataclass(slots=True, repr=False)
class Neighbour:
    """State of the exchange with one entry.

    `acknowledged` is this entry's newest change that the neighbour has got; `seen_boot`
    and `seen_number` identify the neighbour's newest change that arrived here.
    """

    peer: PeerEntry
    acknowledged: int = 0
    seen_boot: str = ""
    seen_number: int = 0
    is_sending: bool = False
    is_scheduled: bool = False
    next_send_at: float = 0.0
    paused_until: float = 0.0
    failures: int = 0
    next_report_at: float = 0.0


@dataclass(slots=True, repr=False)
class EntryExchange:
    """Exchanges records and permits with the neighbours in the tree of entries.

    The limits of `gate`, the crash records of `guard` and the servers of `leaving`
    number their changes with the same counter, `changes`. `call` sends a message to an
    entry and returns its response, or None if none arrived in time. `boot` identifies
    this process.
    """

    name: str
    region: str
    gate: LimitGate
    guard: CrashGuard
    call: PeerCall
    rng: random.Random
    leaving: LeavingServers = field(default_factory=LeavingServers)
    place: TreePlace = field(default_factory=TreePlace)
    neighbours: dict[str, Neighbour] = field(default_factory=dict)
    entries: Mapping[str, PeerEntry] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)
    boot: str = ""
    settled_at: float = math.inf
    sent_messages: int = 0

    def __post_init__(self) -> None:
        """Draw the identity of this process and share the counter of changes."""
        self.boot = self.boot or f"{self.rng.getrandbits(64):016x}"
        self.guard.records.changes = self.leaving.changes = self.changes
        self.guard.on_change = self.send_news
        self.guard.entries = lambda: self.entries

    @property
    def changes(self) -> ChangeCounter:
        """Return the counter of the changes of all records."""
        return self.gate.limits.changes

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def set_peers(self, entries: Mapping[str, PeerEntry]) -> None:
        """Replace the list of entries and report to the parent at once."""
        self.entries = entries
        self._set_fleet_size()
        self.place = tree_place(self.name, self.region, entries)
        for name, neighbour in list(self.neighbours.items()):
            if entries.get(name) != neighbour.peer:
                del self.neighbours[name]
        parent = self.parent()
        if parent is not None:
            self._schedule_send(parent)

    def parent(self) -> Neighbour | None:
        """Return the entry to report to: the best one that answers, if any."""
        now = self.now()
        for peer in self.place.parents:
            neighbour = self._neighbour(peer)
            if now >= neighbour.paused_until:
                return neighbour
        return None

    async def run(self) -> None:
        """Report to the parent and send news, until cancelled."""
        self.settled_at = self.now() + START_S
        while True:
            await asyncio.sleep(TICK_S * self._jitter())
            now = self.now()
            self._set_fleet_size()
            self.gate.update_wants(now)
            self.gate.permits.serve_own_wants(now)
            parent = self.parent()
            if parent is not None and now >= parent.next_report_at:
                self._schedule_send(parent)
            self.send_news()

    def send_news(self) -> None:
        """Send each neighbour the changes that it has not got."""
        changes = self.changes.count
        if not changes:
            return
        parent = self.parent()
        receivers = [] if parent is None else [parent]
        receivers += [self._neighbour(peer) for peer in self.place.children]
        receivers += [
            self._neighbour(self.entries[name])
            for name in self.gate.permits.children
            if name in self.entries and self.entries[name].address
        ]
        for neighbour in receivers:
            if neighbour.acknowledged < changes:
                self._schedule_send(neighbour)

    async def handle(self, raw: RawRequest, responder: Responder) -> None:
        """Apply an entry's message and answer it."""
        try:
            message = decode_message(raw.body)
        except ValueError as error:
            log.warning("entry sent a malformed message", detail=str(error))
            responder.send(BAD_REQUEST, ())
            return
        peer = self.entries.get(message.name)
        known = peer is not None and peer.address
        neighbour = self._neighbour(peer) if known else Neighbour(PeerEntry("", "", ""))
        self._apply(neighbour, message)
        answer = self._message(neighbour)
        if message.report is not None:
            grant = self.gate.permits.handle_report(message.report, self.now())
            answer = replace(answer, grant=grant)
        responder.send(OK, (), encode_message(answer))

    def _set_fleet_size(self) -> None:
        """Set the number of entries that share the limits, once a list is known."""
        if self.entries:
            least = 1 if self.now() >= self.settled_at else MIN_ENTRIES_AT_START
            self.gate.permits.fleet_size = max(len(self.entries), least)

    def _neighbour(self, peer: PeerEntry) -> Neighbour:
        neighbour = self.neighbours.get(peer.name)
        if neighbour is None:
            neighbour = self.neighbours[peer.name] = Neighbour(peer)
        return neighbour

    def _jitter(self) -> float:
        return self.rng.uniform(1 - REPORT_JITTER, 1 + REPORT_JITTER)

    def _report_interval_s(self) -> float:
        if not self.gate.limits.limited():
            return IDLE_REPORT_S
        wants = self.gate.permits.wants(self.now())
        return WANTING_REPORT_S if wants else LIMITED_REPORT_S

    def _schedule_send(self, neighbour: Neighbour) -> None:
        now = self.now()
        if neighbour.is_sending or now < neighbour.paused_until:
            return
        if now < neighbour.next_send_at:
            if not neighbour.is_scheduled:
                neighbour.is_scheduled = True
                loop = asyncio.get_running_loop()
                loop.call_at(neighbour.next_send_at, self._send_scheduled, neighbour)
            return
        neighbour.is_sending = True
        task = asyncio.ensure_future(self._send(neighbour))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _send_scheduled(self, neighbour: Neighbour) -> None:
        neighbour.is_scheduled = False
        if self.neighbours.get(neighbour.peer.name) is neighbour:
            self._schedule_send(neighbour)

    async def _send(self, neighbour: Neighbour) -> None:
        """Send one message, with a report if it goes to the parent."""
        try:
            sent_at = self.now()
            neighbour.next_send_at = sent_at + MIN_NEWS_INTERVAL_S
            message = self._message(neighbour)
            is_report = neighbour is self.parent()
            if is_report:
                interval_s = self._report_interval_s() * self._jitter()
                neighbour.next_report_at = sent_at + interval_s - TICK_S / 2
                report = self.gate.permits.report(neighbour.peer.name, sent_at)
                message = replace(message, report=report)
            self.sent_messages += 1
            response = await self.call(neighbour.peer, encode_message(message))
            answer = self._decode_answer(neighbour, response)
            if answer is None or (is_report and answer.grant is None):
                self._pause(neighbour, "no answer" if answer is None else "refused")
                return
            neighbour.failures = 0
            self._apply(neighbour, answer)
            if is_report:
                self._apply_grant(neighbour, answer, sent_at)
        finally:
            neighbour.is_sending = False
        if neighbour.acknowledged < self.changes.count:
            self._schedule_send(neighbour)

    def _decode_answer(
        self, neighbour: Neighbour, response: PeerResponse | None
    ) -> EntryMessage | None:
        if response is None or response.status != OK:
            return None
        try:
            return decode_message(response.body)
        except ValueError as error:
            log.warning(
                "entry sent a malformed answer",
                peer=neighbour.peer.name,
                detail=str(error),
            )
            return None

    def _apply_grant(
        self, neighbour: Neighbour, answer: EntryMessage, sent_at: float
    ) -> None:
        permits, name = self.gate.permits, neighbour.peer.name
        if permits.parent != name:
            log.info("limits are shared through another entry", parent=name)
        permits.apply_grant(name, answer.grant, sent_at)

    def _pause(self, neighbour: Neighbour, reason: str) -> None:
        pause_s = min(MIN_PAUSE_S * 2**neighbour.failures, MAX_PAUSE_S)
        neighbour.failures += 1
        neighbour.paused_until = self.now() + pause_s
        log.info(
            "message to entry failed",
            peer=neighbour.peer.name,
            reason=reason,
            pause_s=pause_s,
        )

    def _message(self, neighbour: Neighbour) -> EntryMessage:
        """Return a message with the news for a neighbour."""
        since = neighbour.acknowledged
        return EntryMessage(
            name=self.name,
            boot=self.boot,
            number=self.changes.count,
            since=since,
            limits=self.gate.limits.news_since(since),
            crashes=self.guard.records.news_since(since, self.now()),
            leaving=self.leaving.news_since(since),
            seen_boot=neighbour.seen_boot,
            seen_number=neighbour.seen_number,
        )

    def _apply(self, neighbour: Neighbour, message: EntryMessage) -> None:
        """Merge a neighbour's news and record what each of the two has got."""
        is_same_process = message.boot == neighbour.seen_boot
        if not is_same_process:
            neighbour.seen_boot, neighbour.seen_number = message.boot, 0
        if message.since <= neighbour.seen_number:
            neighbour.seen_number = max(neighbour.seen_number, message.number)
        is_mine = message.seen_boot == self.boot
        neighbour.acknowledged = message.seen_number if is_mine else 0
        now = self.now()
        has_news = self.gate.limits.merge(message.limits, now)
        has_news |= self.guard.merge(message.crashes, now)
        has_news |= self.leaving.merge(message.leaving, now)
        if has_news:
            self.send_news()
