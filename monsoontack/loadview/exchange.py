"""Exchange of engine usage between entries.

An engine generates slowly while it processes the prompts of other runs. An entry
that counted only its own runs would place them almost at random, so each entry sends
its usage of the engines to its peers. A message holds the engines whose figures
changed; a peer that does not know the sender answers 409 and gets a full message. A
message also names engines that just failed, since a dead engine looks the least
loaded of all, and the engines that received a prompt, since a caller may send the
same prompt again through another entry. The requests that wait at an entry are reported
so that others do not give the next free slot to a less urgent request.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import structlog

from monsoontack.gateway.fleet import Member
from monsoontack.gateway.peers import PeerEntry, PeerResponse, call_peer
from monsoontack.gateway.pool import ConnectionPool
from monsoontack.gateway.records import EngineTraits, RawRequest
from monsoontack.inbound.responder import Responder
from monsoontack.loadview.callload import REPORT_INTERVAL_S, OwnCalls
from monsoontack.loadview.estimate import UsageEstimator
from monsoontack.loadview.groups import group_of
from monsoontack.loadview.messages import (
    NO_USAGE,
    EngineUsage,
    LoadMessage,
    WaitingByService,
    decode_message,
    encode_message,
)
from monsoontack.loadview.outbox import (
    MAX_MESSAGES_PER_S,
    START_AHEAD,
    PeerOutbox,
)
from monsoontack.loadview.peerloads import REFRESH_INTERVAL_S, PeerLoads

log = structlog.get_logger("gateway.loadnews")

PATH = "/load"
# The start of a run is sent at once, so that entries do not choose the same engine.
# The end of a run waits for the next message or for this interval.
FLUSH_INTERVAL_S = 0.2
CALL_TIMEOUT_S = 0.4
# Pause after a failed call to a peer. Its runs are dropped at the failure, since an
# unreachable peer is usually a dead one.
FAILED_PEER_PAUSE_S = 2.0
OK, BAD_REQUEST, UNKNOWN_SENDER = 200, 400, 409

PeerCall = Callable[[PeerEntry, bytes], Awaitable[PeerResponse | None]]


@dataclass(slots=True, repr=False)
class LoadExchange:
    """Sends this entry's usage of engines to peers and receives theirs.

    `peer_loads` holds the usage reported by peers, `own_members` the engines whose
    usage this entry reports. `on_failed`, `on_stale`, `on_alive` and `on_prompt` are
    called for the starts of engines and the prompts in a peer's message, `on_report`
    once a message was applied; `recent_prompts` returns the prompts for a full message.
    `own_waiting` returns the requests that wait at this entry, by service and priority,
    with their prompt tokens; it is read when a message is encoded. `call` sends a
    message to a peer, over `pool` by default. `start_ahead` is how many messages a
    start of a run may be sent ahead of the rate.
    """

    name: str
    pool: ConnectionPool
    peer_loads: PeerLoads = field(default_factory=PeerLoads)
    own_members: dict[str, Member] = field(default_factory=dict)
    outboxes: dict[str, PeerOutbox] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)
    on_failed: Callable[[str], None] = lambda engine: None
    on_stale: Callable[[str], None] = lambda start_key: None
    on_alive: Callable[[str], None] = lambda start_key: None
    on_prompt: Callable[[str, str], None] = lambda segment_id, engine: None
    on_report: Callable[[], None] = lambda: None
    recent_prompts: Callable[[], dict[str, str]] = dict
    own_waiting: Callable[[], WaitingByService] = dict
    call: PeerCall | None = None
    own_calls: OwnCalls = field(default_factory=OwnCalls)
    estimator: UsageEstimator = field(default_factory=UsageEstimator)
    start_ahead: int = START_AHEAD
    now: Callable[[], float] = lambda: asyncio.get_running_loop().time()

    @property
    def interval_s(self) -> float:
        """Return the mean interval between messages to one peer, in seconds."""
        return len(self.outboxes) / MAX_MESSAGES_PER_S

    def set_peers(self, entries: dict[str, PeerEntry]) -> None:
        """Replace the list of entries; the peers are those of the own group."""
        group = group_of(self.name, entries)
        self.estimator.group = group
        self.estimator.heard = {n: peer.region for n, peer in group.members.items()}
        previous = self.outboxes
        self.outboxes = {}
        for name, outbox in previous.items():
            if outbox.timer is not None and group.members.get(name) != outbox.peer:
                outbox.timer.cancel()
        for name, peer in group.members.items():
            outbox = previous.get(name)
            is_unchanged = outbox is not None and outbox.peer == peer
            self.outboxes[name] = outbox if is_unchanged else PeerOutbox(peer)
            if not is_unchanged:
                self._schedule_send(self.outboxes[name])

    def others_usage(
        self, service: str, servers: list[Member], traits: EngineTraits, now: float
    ) -> dict[str, EngineUsage]:
        """Return the usage of a service's servers by other entries, by their start.

        Up to 33 entries it is the sum of the reports of all, else an estimate.
        """
        totals = self.peer_loads.totals(now)
        if self.estimator.group.count == 1:
            return totals
        usage_by_peer = self.peer_loads.usage_by_peer
        return self.estimator.estimate(usage_by_peer, service, servers, traits)

    def sharing_count(self, server_count: int) -> int:
        """Return how many entries, this one included, share its servers of a service.

        `server_count` is the number of all servers of the service.
        """
        return self.estimator.sharing_count(server_count)

    def unheard_factor(self) -> int:
        """Return the number of entries if the calls to all peers fail, else 1.

        Peers without runs send nothing, so silence alone does not count.
        """
        is_cut_off = all(outbox.is_failing for outbox in self.outboxes.values())
        if not self.outboxes or not is_cut_off:
            return 1
        return (len(self.outboxes) + 1) * self.estimator.group.count

    def mark_changed(self, members: Iterable[Member], is_start: bool) -> None:
        """Mark the figures of engines as changed; send the start of a run at once."""
        for member in members:
            self.own_members[member.limit_key] = member
            for outbox in self.outboxes.values():
                outbox.changed.add(member.limit_key)
        if is_start:
            for outbox in self.outboxes.values():
                outbox.ahead = self.start_ahead
            self.flush()

    def mark_waiting_changed(self) -> None:
        """Mark the requests that wait here as changed; the next message has them."""
        for outbox in self.outboxes.values():
            outbox.waiting_changed = True

    def peer_waiting(self, service: str, now: float) -> dict[int, tuple[int, int]]:
        """Return the requests of a service that wait at peers, by priority.

        Each value holds the number of requests and the sum of their prompt tokens.
        Peers that are silent or unreachable are not counted. Above 33 entries, the
        numbers are scaled by region to all entries that share the servers.
        """
        factors = self.estimator.waiting_factors(service)
        return self.peer_loads.waiting(service, factors, now)

    def note_call(self, member: Member) -> None:
        """Include a plain server in the reports of calls; no message is sent for it."""
        self.own_calls.members[member.limit_key] = member

    def peer_calls(self, now: float) -> dict[str, float]:
        """Return the mean number of other entries' calls in flight at each server.

        It is a mean over some seconds, scaled by region above 33 entries.
        """
        return self.peer_loads.calls(self.estimator.factors(1), now)

    def view_age_s(self, now: float) -> float:
        """Return the age of the oldest report in use among live peers, in seconds.

        It is 0 if no peer reported runs or waiting requests, and infinite if there are
        peers but the last call to each of them failed.
        """
        if self.outboxes and all(x.is_failing for x in self.outboxes.values()):
            return float("inf")
        return self.peer_loads.oldest_age_s(now)

    def announce_prompt(self, segment_id: str, member: Member) -> None:
        """Queue which engine gets a prompt; it is sent with the start of the run."""
        for outbox in self.outboxes.values():
            outbox.prompts[segment_id] = member.limit_key

    def announce_failure(self, member: Member) -> None:
        """Send at once that an engine failed."""
        for outbox in self.outboxes.values():
            outbox.failed.add(member.limit_key)
        self.flush()

    def announce_stale(self, start_key: str) -> None:
        """Send at once that a start of a server answered 421 or refused."""
        for outbox in self.outboxes.values():
            outbox.note_starts(stale=start_key)
        self.flush()

    def announce_alive(self, start_key: str) -> None:
        """Send at once that a start of a server answered again."""
        for outbox in self.outboxes.values():
            outbox.note_starts(alive=start_key)
        self.flush()

    async def run(self) -> None:
        """Send queued updates, and refresh peers while there is load to report."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.own_calls.sample(FLUSH_INTERVAL_S)
            self.flush()
            has_load, due = self._has_load(), self.now() - REFRESH_INTERVAL_S
            for outbox in self.outboxes.values():
                if outbox.last_sent_at <= due and (has_load or outbox.is_failing):
                    self._schedule_send(outbox)

    def _has_load(self) -> bool:
        return any(self.own_waiting().values()) or any(
            _usage_of(member) != NO_USAGE for member in self.own_members.values()
        )

    def flush(self) -> None:
        """Send each peer its queued updates, and drop unused engines once sent."""
        for outbox in self.outboxes.values():
            if outbox.has_changes:
                self._schedule_send(outbox)
        for engine, member in list(self.own_members.items()):
            is_sent = all(engine not in x.changed for x in self.outboxes.values())
            if is_sent and _usage_of(member) == NO_USAGE:
                del self.own_members[engine]

    def _schedule_send(self, outbox: PeerOutbox) -> None:
        now = self.now()
        if outbox.is_sending or now < outbox.paused_until:
            return
        send_at = outbox.send_time(self.interval_s)
        if now < send_at:
            self._set_timer(outbox, send_at - now)
            return
        outbox.is_sending = True
        task = asyncio.ensure_future(self._send(outbox))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _set_timer(self, outbox: PeerOutbox, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        at = loop.time() + delay_s
        if outbox.timer is not None:
            if outbox.timer_at <= at:
                return
            outbox.timer.cancel()
        # uvloop's handles of timers that are due do not have `when`.
        outbox.timer_at = at
        outbox.timer = loop.call_at(at, self._run_scheduled_send, outbox)

    def _run_scheduled_send(self, outbox: PeerOutbox) -> None:
        outbox.timer = None
        if outbox.has_changes:
            self._schedule_send(outbox)

    async def _send(self, outbox: PeerOutbox) -> None:
        """Send messages to a peer until it is up to date or a call fails."""
        try:
            while True:
                is_full = outbox.needs_full
                body = encode_message(self._take_message(outbox))
                response = await self._call(outbox.peer, body)
                status = response.status if response is not None else None
                if status == OK:
                    outbox.note_sent(self.now(), self.interval_s)
                    outbox.needs_full = outbox.needs_full and not is_full
                    if not outbox.needs_full:
                        break
                elif status == UNKNOWN_SENDER and not is_full:
                    outbox.needs_full = True
                else:
                    # The peer gets a full message once it answers again, so that no
                    # updates accumulate for a peer that never does.
                    outbox.needs_full = outbox.is_failing = True
                    outbox.paused_until = self.now() + FAILED_PEER_PAUSE_S
                    self.peer_loads.drop_peer(outbox.peer.name)
                    log.info("load message to peer failed", peer=outbox.peer.name)
                    return
        finally:
            outbox.is_sending = False
        if outbox.is_urgent or outbox.ahead:
            # These came during the call and should not wait for the next flush.
            self._schedule_send(outbox)

    async def _call(self, peer: PeerEntry, body: bytes) -> PeerResponse | None:
        if self.call is not None:
            return await self.call(peer, body)
        return await call_peer(self.pool, peer, PATH, CALL_TIMEOUT_S, body)

    def _take_message(self, outbox: PeerOutbox) -> LoadMessage:
        """Return the next message to a peer, and empty its outbox."""
        is_full = outbox.needs_full
        names = self.own_members if is_full else outbox.changed
        members = self.own_members
        waiting = None
        if outbox.waiting_changed or is_full:
            waiting = self.own_waiting()
        if is_full and not waiting:
            waiting = None
        stale, alive = outbox.take_starts()
        calls = self._calls_report(outbox)
        message = LoadMessage(
            peer=self.name,
            is_first=outbox.is_first,
            is_full=is_full,
            usage={
                name: _usage_of(members[name]) if name in members else NO_USAGE
                for name in names
            },
            prompts=self.recent_prompts() if is_full else outbox.prompts,
            failed=tuple(sorted(outbox.failed)),
            stale=stale,
            alive=alive,
            waiting=waiting,
            calls=calls,
        )
        outbox.changed, outbox.failed, outbox.prompts = set(), set(), {}
        outbox.waiting_changed, outbox.ahead = False, 0
        return message

    def _calls_report(self, outbox: PeerOutbox) -> dict[str, int] | None:
        now = self.now()
        if now < outbox.calls_due_at and not outbox.needs_full:
            return None
        outbox.calls_due_at = now + REPORT_INTERVAL_S
        report, had_calls = self.own_calls.report(), outbox.has_calls
        outbox.has_calls = bool(report)
        return report if report or had_calls else None

    async def handle(self, raw: RawRequest, responder: Responder) -> None:
        """Apply a peer's message and answer it."""
        try:
            message = decode_message(raw.body)
        except ValueError as error:
            log.warning("peer sent a malformed load message", detail=str(error))
            responder.send(BAD_REQUEST, ())
            return
        for engine in message.failed:
            self.on_failed(engine)
        for start_key in message.stale:
            self.on_stale(start_key)
        for start_key in message.alive:
            self.on_alive(start_key)
        for segment_id, engine in message.prompts.items():
            self.on_prompt(segment_id, engine)
        is_known = self.peer_loads.apply(message, self.now())
        if is_known:
            self.on_report()
        outbox = self.outboxes.get(message.peer)
        if outbox is not None:
            outbox.is_failing = False
            if message.is_first:
                # A process that just started has no usage of any peer.
                outbox.needs_full, outbox.paused_until = True, 0.0
                self._schedule_send(outbox)
        responder.send(OK if is_known else UNKNOWN_SENDER, ())


def _usage_of(member: Member) -> EngineUsage:
    return EngineUsage(member.in_flight, member.waiting_tokens, member.held_tokens)
