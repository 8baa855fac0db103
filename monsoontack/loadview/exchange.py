"""Exchange of engine usage between entries.

An engine generates slowly while it processes the prompts of other runs. An entry
that counted only its own runs would place them almost at random, so each entry sends
its usage of the engines to its peers. A message holds the engines whose figures
changed; a peer that does not know the sender answers 409 and gets a full message. A
message also names engines that just failed, since a dead engine looks the least
loaded of all, and the engines that received a prompt, since a caller may send the
same prompt again through another entry. Engines are named by `Member.limit_key`, since
nothing of this holds for another start of an engine.
"""

import asyncio
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Annotated

import msgspec
import structlog

from monsoontack.core.rawjson import decode_encodable
from monsoontack.core.rendezvous import ranked, stable_hash
from monsoontack.gateway.fleet import Member
from monsoontack.gateway.peers import PeerEntry, call_peer
from monsoontack.gateway.pool import ConnectionPool
from monsoontack.gateway.records import RawRequest
from monsoontack.inbound.responder import Responder

log = structlog.get_logger("gateway.loadnews")

PATH = "/load"
# The start of a run is sent at once, so that entries do not choose the same engine.
# The end of a run waits for the next message or for this interval.
FLUSH_INTERVAL_S = 0.2
# Interval at which an entry with runs sends a message although nothing changed.
REFRESH_INTERVAL_S = 2.0
# A peer that is silent for longer is taken for dead, and its runs are dropped.
PEER_EXPIRY_S = 2.5 * REFRESH_INTERVAL_S
CALL_TIMEOUT_S = 0.4
# Pause after a failed call to a peer. Its runs are dropped at the failure, since an
# unreachable peer is usually a dead one.
FAILED_PEER_PAUSE_S = 2.0
# These bounds limit the work in a large fleet: at 0.2 ms a message, it is 2 % of a
# core. With 25 peers, each gets a message at most every 0.25 s.
MAX_PEERS = 32
MAX_MESSAGES_PER_S = 100
# Bound of the runs and tokens in a message, whose sums can still be divided.
MAX_AMOUNT = 2**53
# Engines whose last read prompt is remembered; larger fleets are not served.
MAX_READ_ENGINES = 2000
Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
OK, BAD_REQUEST, UNKNOWN_SENDER = 200, 400, 409


@dataclass(frozen=True, slots=True)
class EngineUsage:
    """Usage of one engine: runs, and tokens of waiting prompts and in KV memory."""

    runs: int = 0
    waiting_tokens: int = 0
    held_tokens: int = 0

    def plus(self, other: "EngineUsage") -> "EngineUsage":
        """Return the sum of two usages."""
        return EngineUsage(
            self.runs + other.runs,
            self.waiting_tokens + other.waiting_tokens,
            self.held_tokens + other.held_tokens,
        )


NO_USAGE = EngineUsage()


@dataclass(frozen=True, slots=True)
class LoadMessage:
    """A message of a peer.

    `is_first` marks the first message of a process, `is_full` a message with the
    sender's usage of all engines. `usage` maps the start of an engine to its
    usage, `prompts` the id of a prompt's prefix to the engine that received it;
    `failed` lists the engines that failed.
    """

    peer: str
    is_first: bool
    is_full: bool
    usage: dict[str, EngineUsage]
    prompts: dict[str, str]
    failed: tuple[str, ...]


@dataclass(slots=True)
class PeerLoads:
    """Usage reported by peers, by peer and by the start of the engine.

    `read_at` is the last time at which a peer reported that an engine had read a
    prompt, by the start of the engine.
    """

    usage_by_peer: dict[str, dict[str, EngineUsage]] = field(default_factory=dict)
    last_heard_at: dict[str, float] = field(default_factory=dict)
    read_at: dict[str, float] = field(default_factory=dict)

    def apply(self, message: LoadMessage, now: float) -> bool:
        """Apply a message; return False if a full message is needed instead."""
        self._drop_silent_peers(now)
        if message.is_full:
            self.usage_by_peer[message.peer] = {}
        elif message.peer not in self.usage_by_peer:
            return False
        self.last_heard_at[message.peer] = now
        current = self.usage_by_peer[message.peer]
        for engine, usage in message.usage.items():
            before = current.get(engine, NO_USAGE)
            if usage.waiting_tokens < before.waiting_tokens:
                # With fewer runs, the prompt may have been given up.
                if usage.runs >= before.runs:
                    self._note_read(engine, now)
            if usage == NO_USAGE:
                current.pop(engine, None)
            else:
                current[engine] = usage
        return True

    def _note_read(self, engine: str, now: float) -> None:
        self.read_at.pop(engine, None)
        self.read_at[engine] = now
        if len(self.read_at) > MAX_READ_ENGINES:
            del self.read_at[next(iter(self.read_at))]

    def totals(self, now: float) -> dict[str, EngineUsage]:
        """Return the summed usage of each engine that peers use."""
        self._drop_silent_peers(now)
        totals: dict[str, EngineUsage] = {}
        for peer_usage in self.usage_by_peer.values():
            for engine, usage in peer_usage.items():
                totals[engine] = totals.get(engine, NO_USAGE).plus(usage)
        return totals

    def drop_peer(self, peer: str) -> None:
        """Drop the runs of a peer; its next message has to be a full one."""
        self.last_heard_at.pop(peer, None)
        peer_usage = self.usage_by_peer.pop(peer, None)
        if peer_usage:
            log.info(
                "reported load of peer dropped", peer=peer, engines=len(peer_usage)
            )

    def _drop_silent_peers(self, now: float) -> None:
        silent = [
            peer for peer, at in self.last_heard_at.items() if now > at + PEER_EXPIRY_S
        ]
        for peer in silent:
            self.drop_peer(peer)


@dataclass(slots=True)
class PeerOutbox:
    """Updates that are not yet sent to one peer.

    `changed` names engines whose figures changed, `failed` engines that failed;
    `prompts` maps the id of a prompt's prefix to its engine. `is_first` is true until a
    message was delivered, `needs_full` requests a full message, `last_sent_at` is the
    time of the last delivered message. `next_send_at` limits the rate of messages, but
    not failed engines and full messages. Nothing is sent until `paused_until`.
    """

    peer: PeerEntry
    changed: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    prompts: dict[str, str] = field(default_factory=dict)
    is_first: bool = True
    needs_full: bool = True
    is_sending: bool = False
    is_scheduled: bool = False
    last_sent_at: float = float("-inf")
    next_send_at: float = 0.0
    paused_until: float = 0.0

    @property
    def has_changes(self) -> bool:
        """Whether there are updates since the last message."""
        return bool(self.changed or self.failed or self.prompts)


@dataclass(slots=True)
class LoadExchange:
    """Sends this entry's usage of engines to peers and receives theirs.

    `peer_loads` holds the usage reported by peers, `own_members` the engines whose
    usage this entry reports. `on_failed` and `on_prompt` are called for the failed
    engines and the prompts in a peer's message; `recent_prompts` returns the prompts
    for a full message.
    """

    name: str
    pool: ConnectionPool
    peer_loads: PeerLoads = field(default_factory=PeerLoads)
    own_members: dict[str, Member] = field(default_factory=dict)
    outboxes: dict[str, PeerOutbox] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)
    on_failed: Callable[[str], None] = lambda engine: None
    on_prompt: Callable[[str, str], None] = lambda segment_id, engine: None
    recent_prompts: Callable[[], dict[str, str]] = dict
    now: Callable[[], float] = lambda: asyncio.get_running_loop().time()

    def set_peers(self, entries: dict[str, PeerEntry]) -> None:
        """Replace the peers; of more than `MAX_PEERS`, take the first by hash."""
        names = [n for n, p in entries.items() if p.address and n != self.name]
        chosen = ranked(stable_hash(self.name), names)[:MAX_PEERS]
        previous = self.outboxes
        self.outboxes = {}
        for name in chosen:
            outbox = previous.get(name)
            is_unchanged = outbox is not None and outbox.peer == entries[name]
            self.outboxes[name] = outbox if is_unchanged else PeerOutbox(entries[name])
            if not is_unchanged:
                self._schedule_send(self.outboxes[name])

    def mark_changed(self, members: Iterable[Member], is_start: bool) -> None:
        """Mark the figures of engines as changed; send the start of a run at once."""
        for member in members:
            self.own_members[member.limit_key] = member
            for outbox in self.outboxes.values():
                outbox.changed.add(member.limit_key)
        if is_start:
            self.flush()

    def announce_prompt(self, segment_id: str, member: Member) -> None:
        """Queue which engine gets a prompt; it is sent with the start of the run."""
        for outbox in self.outboxes.values():
            outbox.prompts[segment_id] = member.limit_key

    def announce_failure(self, member: Member) -> None:
        """Send at once that an engine failed."""
        for outbox in self.outboxes.values():
            outbox.failed.add(member.limit_key)
        self.flush()

    async def run(self) -> None:
        """Send queued updates, and refresh peers while this entry has runs."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()
            if any(
                _usage_of(member) != NO_USAGE for member in self.own_members.values()
            ):
                due = self.now() - REFRESH_INTERVAL_S
                for outbox in self.outboxes.values():
                    if outbox.last_sent_at <= due:
                        self._schedule_send(outbox)

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
        if now < outbox.next_send_at and not (outbox.failed or outbox.needs_full):
            if not outbox.is_scheduled:
                outbox.is_scheduled = True
                loop = asyncio.get_running_loop()
                loop.call_later(
                    outbox.next_send_at - now, self._run_scheduled_send, outbox
                )
            return
        outbox.is_sending = True
        task = asyncio.ensure_future(self._send(outbox))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _run_scheduled_send(self, outbox: PeerOutbox) -> None:
        outbox.is_scheduled = False
        if outbox.has_changes:
            self._schedule_send(outbox)

    async def _send(self, outbox: PeerOutbox) -> None:
        """Send messages to a peer until it is up to date or a call fails."""
        try:
            while True:
                is_full = outbox.needs_full
                body = self._encode_message(outbox)
                outbox.changed, outbox.failed, outbox.prompts = set(), set(), {}
                response = await call_peer(
                    self.pool, outbox.peer, PATH, CALL_TIMEOUT_S, body
                )
                status = response.status if response is not None else None
                if status == OK:
                    outbox.is_first = False
                    outbox.needs_full = outbox.needs_full and not is_full
                    outbox.last_sent_at = self.now()
                    outbox.next_send_at = (
                        outbox.last_sent_at + len(self.outboxes) / MAX_MESSAGES_PER_S
                    )
                    if not (outbox.failed or outbox.needs_full):
                        return
                elif status == UNKNOWN_SENDER and not is_full:
                    outbox.needs_full = True
                else:
                    # The peer gets a full message once it answers again, so that no
                    # updates accumulate for a peer that never does.
                    outbox.needs_full = True
                    outbox.paused_until = self.now() + FAILED_PEER_PAUSE_S
                    self.peer_loads.drop_peer(outbox.peer.name)
                    log.info("load message to peer failed", peer=outbox.peer.name)
                    return
        finally:
            outbox.is_sending = False

    def _encode_message(self, outbox: PeerOutbox) -> bytes:
        names = self.own_members if outbox.needs_full else outbox.changed
        usage_rows = {
            n: _usage_row(self.own_members[n]) for n in names if n in self.own_members
        }
        usage_rows |= {n: [0, 0, 0] for n in names if n not in self.own_members}
        message = {"name": self.name, "full": outbox.needs_full, "engines": usage_rows}
        if outbox.is_first:
            message["first"] = True
        prompts = self.recent_prompts() if outbox.needs_full else outbox.prompts
        if prompts:
            message["prompts"] = prompts
        if outbox.failed:
            message["failed"] = sorted(outbox.failed)
        return json.dumps(message, separators=(",", ":")).encode()

    async def handle(self, raw: RawRequest, responder: Responder) -> None:
        """Apply a peer's message and answer it."""
        try:
            message = _decode_message(raw.body)
        except ValueError as error:
            log.warning("peer sent a malformed load message", detail=str(error))
            responder.send(BAD_REQUEST, ())
            return
        for engine in message.failed:
            self.on_failed(engine)
        for segment_id, engine in message.prompts.items():
            self.on_prompt(segment_id, engine)
        is_known = self.peer_loads.apply(message, self.now())
        outbox = self.outboxes.get(message.peer)
        if message.is_first and outbox is not None:
            # A process that just started has no usage of any peer.
            outbox.needs_full, outbox.paused_until = True, 0.0
            self._schedule_send(outbox)
        responder.send(OK if is_known else UNKNOWN_SENDER, ())


class _Message(msgspec.Struct):
    name: str
    full: bool
    engines: dict[str, tuple[Amount, Amount, Amount]]
    first: bool = False
    prompts: dict[str, str] = {}
    failed: list[str] = []


def _decode_message(body: bytes) -> LoadMessage:
    """Return a peer's message; raise ValueError if it is malformed."""
    message = decode_encodable(body, _Message)
    return LoadMessage(
        peer=message.name,
        is_first=message.first,
        is_full=message.full,
        usage={k: EngineUsage(*row) for k, row in message.engines.items()},
        prompts=message.prompts,
        failed=tuple(message.failed),
    )


def _usage_of(member: Member) -> EngineUsage:
    return EngineUsage(member.in_flight, member.waiting_tokens, member.held_tokens)


def _usage_row(member: Member) -> list[int]:
    amounts = (member.in_flight, member.waiting_tokens, member.held_tokens)
    return [min(max(amount, 0), MAX_AMOUNT) for amount in amounts]
