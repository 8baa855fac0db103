"""What the entries have running at the engines, told from entry to entry.

An engine generates slowly while it reads other prompts. Entries that count only
their own runs place them almost at random, so each tells its peers what it has at
the engines. A message names the engines whose figures changed; a peer that does
not know the sender answers 409 and gets all of them. It also names engines that
just failed, since one that died has the least to do of all, and the engines that
got a prompt, which a caller may bring back through another entry.
"""

import asyncio
import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import structlog

from monsoontack.core.rendezvous import ranked, stable_hash
from monsoontack.gateway.fleet import Member
from monsoontack.gateway.peers import PeerEntry, call_peer
from monsoontack.gateway.pool import ConnectionPool
from monsoontack.gateway.records import RawRequest
from monsoontack.gateway.responder import Responder

log = structlog.get_logger("gateway.loadnews")

PATH = "/load"
# Runs that start are told at once, so that entries do not choose the same engine;
# what ends may wait for the next start, at most about this long.
LAZY_S = 0.2
# An entry with runs is heard at least this often.
REFRESH_S = 2.0
# A peer that is silent for longer has ended, and its runs with it.
FORGET_S = 2.5 * REFRESH_S
CALL_TIMEOUT_S = 0.4
# A peer that failed is not told again for this time; its runs count as ended, since
# a peer that cannot be reached usually is one that died.
PEER_PAUSE_S = 2.0
# Bound the work of telling in a large fleet: at 0.2 ms a message, 2 % of a core. With
# 25 peers each is told at most every 0.25 s.
MAX_PEERS = 32
MAX_MESSAGES_PER_S = 100
OK, BAD_REQUEST, UNKNOWN_SENDER = 200, 400, 409


@dataclass(frozen=True, slots=True)
class EngineUsage:
    """What entries have at one engine: runs, prompt and KV memory in tokens."""

    runs: int = 0
    waiting_tokens: int = 0
    held_tokens: int = 0

    def plus(self, other: "EngineUsage") -> "EngineUsage":
        """Return the sum of both."""
        return EngineUsage(
            self.runs + other.runs,
            self.waiting_tokens + other.waiting_tokens,
            self.held_tokens + other.held_tokens,
        )


NO_USAGE = EngineUsage()


@dataclass(frozen=True, slots=True)
class LoadMessage:
    """One message of a peer.

    `is_first` marks the first of a process, `is_full` one with all of the sender's
    use of engines. `uses` has that use by incarnation, `prompts` the engine by part
    of a prompt, `failed` the engines that failed.
    """

    peer: str
    is_first: bool
    is_full: bool
    uses: dict[str, EngineUsage]
    prompts: dict[str, str]
    failed: tuple[str, ...]


@dataclass(slots=True)
class PeerLoads:
    """What peers said, by peer and by the engine's incarnation."""

    uses: dict[str, dict[str, EngineUsage]] = field(default_factory=dict)
    heard_at: dict[str, float] = field(default_factory=dict)

    def apply(self, news: LoadMessage, now: float) -> bool:
        """Take over a message; False if all figures of the peer are needed."""
        self._forget_silent(now)
        if news.is_full:
            self.uses[news.peer] = {}
        elif news.peer not in self.uses:
            return False
        self.heard_at[news.peer] = now
        known = self.uses[news.peer]
        for engine, use in news.uses.items():
            if use == NO_USAGE:
                known.pop(engine, None)
            else:
                known[engine] = use
        return True

    def totals(self, now: float) -> dict[str, EngineUsage]:
        """Return the peers' use of each engine that they use."""
        self._forget_silent(now)
        found: dict[str, EngineUsage] = {}
        for uses in self.uses.values():
            for engine, use in uses.items():
                found[engine] = found.get(engine, NO_USAGE).plus(use)
        return found

    def forget(self, peer: str) -> None:
        """Take the runs of a peer as ended; it tells all when it is heard again."""
        self.heard_at.pop(peer, None)
        uses = self.uses.pop(peer, None)
        if uses:
            log.info("load of a peer forgotten", peer=peer, engines=len(uses))

    def _forget_silent(self, now: float) -> None:
        silent = [peer for peer, at in self.heard_at.items() if now > at + FORGET_S]
        for peer in silent:
            self.forget(peer)


@dataclass(slots=True)
class PeerLine:
    """What is still to be told to one peer.

    `changed` names engines whose figures changed, `failed` those that failed,
    `prompts` tells the engine by the part of a prompt. `is_first` holds until a
    message arrived, `needs_all` asks for all figures, `told_at` is the time of the
    last message that arrived. `next_at` keeps the rate of messages, which news of a
    failure may exceed; until `paused_until` the peer is not told anything.
    """

    peer: PeerEntry
    changed: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    prompts: dict[str, str] = field(default_factory=dict)
    is_first: bool = True
    needs_all: bool = True
    is_sending: bool = False
    is_scheduled: bool = False
    told_at: float = float("-inf")
    next_at: float = 0.0
    paused_until: float = 0.0

    @property
    def has_news(self) -> bool:
        """Whether something happened since the last message."""
        return bool(self.changed or self.failed or self.prompts)


@dataclass(slots=True)
class LoadExchange:
    """Tells peers what this entry has at the engines, and hears theirs."""

    name: str
    pool: ConnectionPool
    peer_loads: PeerLoads = field(default_factory=PeerLoads)
    own: dict[str, Member] = field(default_factory=dict)
    lines: dict[str, PeerLine] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)
    on_failed: Callable[[str], None] = lambda incarnation: None
    on_prompt: Callable[[str, str], None] = lambda part, incarnation: None
    recent_prompts: Callable[[], dict[str, str]] = dict
    now: Callable[[], float] = lambda: asyncio.get_running_loop().time()

    def set_peers(self, entries: dict[str, PeerEntry]) -> None:
        """Tell these entries from now on, the nearest by hash if there are many."""
        names = [n for n, p in entries.items() if p.address and n != self.name]
        chosen = ranked(stable_hash(self.name), names)[:MAX_PEERS]
        known = self.lines
        self.lines = {}
        for name in chosen:
            line = known.get(name)
            same = line is not None and line.peer == entries[name]
            self.lines[name] = line if same else PeerLine(entries[name])
            if not same:
                self._start(self.lines[name])

    def mark_changed(self, members: Iterable[Member], is_start: bool) -> None:
        """Note changed figures of engines; the start of a run is told at once."""
        for member in members:
            incarnation = member.server.incarnation
            self.own[incarnation] = member
            for line in self.lines.values():
                line.changed.add(incarnation)
        if is_start:
            self.flush()

    def announce_prompt(self, part: str, incarnation: str) -> None:
        """Tell, with the start of its run, which engine gets a prompt."""
        for line in self.lines.values():
            line.prompts[part] = incarnation

    def announce_failure(self, member: Member) -> None:
        """Tell at once that an engine failed."""
        for line in self.lines.values():
            line.failed.add(member.server.incarnation)
        self.flush()

    async def run(self) -> None:
        """Send what may wait, and refresh peers while runs go on."""
        while True:
            await asyncio.sleep(LAZY_S)
            self.flush()
            if any(_use(member) != NO_USAGE for member in self.own.values()):
                due = self.now() - REFRESH_S
                for line in self.lines.values():
                    if line.told_at <= due:
                        self._start(line)

    def flush(self) -> None:
        """Tell each peer what it does not know yet."""
        for line in self.lines.values():
            if line.has_news:
                self._start(line)
        for incarnation, member in list(self.own.items()):
            is_told = all(incarnation not in x.changed for x in self.lines.values())
            if is_told and _use(member) == NO_USAGE:
                del self.own[incarnation]

    def _start(self, line: PeerLine) -> None:
        now = self.now()
        if line.is_sending or now < line.paused_until:
            return
        if now < line.next_at and not (line.failed or line.needs_all):
            if not line.is_scheduled:
                line.is_scheduled = True
                loop = asyncio.get_running_loop()
                loop.call_later(line.next_at - now, self._start_scheduled, line)
            return
        line.is_sending = True
        task = asyncio.ensure_future(self._tell(line))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _start_scheduled(self, line: PeerLine) -> None:
        line.is_scheduled = False
        if line.has_news:
            self._start(line)

    async def _tell(self, line: PeerLine) -> None:
        """Send messages until the peer knows everything, or fails."""
        try:
            while True:
                is_full = line.needs_all
                body = self._body(line)
                line.changed, line.failed, line.prompts = set(), set(), {}
                answer = await call_peer(
                    self.pool, line.peer.address, PATH, CALL_TIMEOUT_S, body
                )
                status = answer.status if answer is not None else None
                if status == OK:
                    line.is_first = False
                    line.needs_all = line.needs_all and not is_full
                    line.told_at = self.now()
                    line.next_at = line.told_at + len(self.lines) / MAX_MESSAGES_PER_S
                    if not (line.failed or line.needs_all):
                        return
                elif status == UNKNOWN_SENDER and not is_full:
                    line.needs_all = True
                else:
                    # Everything is told once the peer answers again, so that nothing
                    # piles up for one that never does.
                    line.needs_all = True
                    line.paused_until = self.now() + PEER_PAUSE_S
                    self.peer_loads.forget(line.peer.name)
                    log.info("peer not told of load", peer=line.peer.name)
                    return
        finally:
            line.is_sending = False

    def _body(self, line: PeerLine) -> bytes:
        names = self.own if line.needs_all else line.changed
        rows = {n: _row(self.own[n]) for n in names if n in self.own}
        rows |= {n: [0, 0, 0] for n in names if n not in self.own}
        message = {"name": self.name, "full": line.needs_all, "engines": rows}
        if line.is_first:
            message["first"] = True
        prompts = self.recent_prompts() if line.needs_all else line.prompts
        if prompts:
            message["prompts"] = prompts
        if line.failed:
            message["failed"] = sorted(line.failed)
        return json.dumps(message, separators=(",", ":")).encode()

    async def handle(self, raw: RawRequest, responder: Responder) -> None:
        """Take over a peer's message."""
        try:
            news = _read_news(raw.body)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            log.warning("message of a peer cannot be read", detail=repr(error))
            responder.send(BAD_REQUEST, ())
            return
        for incarnation in news.failed:
            self.on_failed(incarnation)
        for part, incarnation in news.prompts.items():
            self.on_prompt(part, incarnation)
        known = self.peer_loads.apply(news, self.now())
        line = self.lines.get(news.peer)
        if news.is_first and line is not None:
            # A process that just started knows nothing of what runs.
            line.needs_all, line.paused_until = True, 0.0
            self._start(line)
        responder.send(OK if known else UNKNOWN_SENDER, ())


def _read_news(body: bytes) -> LoadMessage:
    message = json.loads(body)
    rows = message["engines"].items()
    return LoadMessage(
        peer=str(message["name"]),
        is_first=bool(message.get("first", False)),
        is_full=bool(message["full"]),
        uses={str(k): EngineUsage(*(int(n) for n in row)) for k, row in rows},
        prompts={str(k): str(v) for k, v in message.get("prompts", {}).items()},
        failed=tuple(str(item) for item in message.get("failed", ())),
    )


def _use(member: Member) -> EngineUsage:
    return EngineUsage(member.in_flight, member.waiting_tokens, member.held_tokens)


def _row(member: Member) -> list[int]:
    return [member.in_flight, member.waiting_tokens, member.held_tokens]
