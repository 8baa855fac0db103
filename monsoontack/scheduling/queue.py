"""The requests of one service that wait at an entry, and which begin at a wake-up.

Written for several entries that see the same free room at the same time: reports of new
runs take up to 0.3 s, so without a rule all of them would fill it. An entry uses the
room at an engine with a probability equal to its part of the waiting prompts, and may
draw again after two ticks, so that room is not left unused.
"""

import random
import statistics
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from monsoontack.admission.fairshare import FairShare
from monsoontack.routing.placement import EngineCandidate
from monsoontack.scheduling.capacity import (
    BeginRate,
    EngineRoom,
    ReadProgress,
    read_time_s,
    usable_engines,
)
from monsoontack.scheduling.returns import ReturnSchedule
from monsoontack.scheduling.urgency import WaitingRequest, order_key

# Time after which an entry may draw again for an engine: two ticks. Another entry has
# taken the room by then with a probability of 0.63.
DRAW_INTERVAL_S = 0.1
# A request that has waited this long for KV cache is not overtaken any more, so that
# long requests do not starve. It is about the time in which a run ends somewhere.
MAX_OVERTAKEN_S = 1.0
# An engine that is not seen for this long, after which its estimates are of no use, is
# forgotten.
MAX_UNSEEN_S = 1.0
# Requests that may be overtaken in one wake-up, which bounds its work.
MAX_SKIPPED = 8
# Accounts of the gateway's configuration have no weight.
ACCOUNT_WEIGHT = 1.0

PeerWaiting = Mapping[int, tuple[int, int]]


@dataclass(slots=True, repr=False)
class ServiceState:
    """State of the admission for one service at one entry.

    `top_priority` is the most urgent priority of the service. `rate` is the usual
    prefill rate of its engines in tokens per second. `draws` holds, by engine, when the
    entry drew last and whether it may use the room there. `peer_waiting` maps
    priorities to the requests and prompt tokens that wait at peers, `reported_rows` to
    those that waited here at the last look.
    """

    top_priority: int
    rng: random.Random
    waiting: dict[int, WaitingRequest] = field(default_factory=dict)
    shares: FairShare = field(default_factory=FairShare)
    progress: dict[str, ReadProgress] = field(default_factory=dict)
    returns: ReturnSchedule = field(default_factory=ReturnSchedule)
    begin_rate: BeginRate = field(default_factory=BeginRate)
    draws: dict[str, tuple[float, bool]] = field(default_factory=dict)
    peer_waiting: PeerWaiting = field(default_factory=dict)
    rate: float = 1.0
    engine_count: int = 1
    begun_tokens: int = 0
    had_waiting: bool = False
    reported_rows: dict[int, tuple[int, int]] = field(default_factory=dict)

    def look(self, engines: dict[str, EngineCandidate], now: float) -> list[EngineRoom]:
        """Return the room at the usable engines by the latest load reports."""
        self.rate = 1 / statistics.median(
            engine.prefill_s_per_token for engine in engines.values()
        )
        for key, progress in list(self.progress.items()):
            if now > progress.looked_at + MAX_UNSEEN_S:
                del self.progress[key]
                self.draws.pop(key, None)
        for key, engine in engines.items():
            # Engines that are not usable now may be so at the next look.
            progress = self.progress.setdefault(key, ReadProgress())
            progress.unread(engine.waiting_tokens, 1 / engine.prefill_s_per_token, now)
        usable = usable_engines(engines)
        self.engine_count = len(usable)
        return [
            EngineRoom(
                engine, engine.waiting_tokens - self.progress[engine.key].read_tokens
            )
            for engine in usable
        ]

    def is_most_urgent(self, request: WaitingRequest) -> bool:
        """Whether the request has the service's most urgent priority."""
        return request.priority <= self.top_priority

    def ordered(self, now: float) -> list[WaitingRequest]:
        """Return the waiting requests in the order in which they begin."""

        def key(request: WaitingRequest) -> tuple:
            usage = self.shares.usage_of(request.account, ACCOUNT_WEIGHT, now)
            read_s = read_time_s(request.prompt_tokens, self.rate)
            return order_key(request, now, read_s, usage.load_per_weight)

        return sorted(self.waiting.values(), key=key)

    def admissible(
        self, rooms: list[EngineRoom], now: float
    ) -> Iterator[tuple[WaitingRequest, list[EngineRoom]]]:
        """Yield the requests that can begin now, each with the engines that can.

        The caller places each one and counts it with `EngineRoom.add` before it asks
        for the next.
        """
        own, others = self._waiting_by_level(now)
        skipped = 0
        for request in self.ordered(now):
            fitting = [
                room
                for room in rooms
                if room.can_begin(request, self.is_most_urgent(request), now)
            ]
            if fitting:
                level = request.level(now)
                mine = sum(count for at, count in own.items() if at <= level)
                peers = sum(count for at, count in others.items() if at <= level)
                share = mine / (mine + peers)
                fitting = [room for room in fitting if self._wins(room, share, now)]
            if fitting:
                yield request, fitting
                continue
            skipped += 1
            if self._blocks_others(request, rooms, now) or skipped > MAX_SKIPPED:
                return

    def _waiting_by_level(self, now: float) -> tuple[dict[int, int], dict[int, int]]:
        """Return the numbers of requests that wait here and at peers, by priority."""
        own: dict[int, int] = {}
        for request in self.waiting.values():
            level = request.level(now)
            own[level] = own.get(level, 0) + 1
        return own, {p: count for p, (count, _) in self.peer_waiting.items()}

    def _wins(self, room: EngineRoom, share: float, now: float) -> bool:
        """Whether this entry may use the room at an engine.

        `share` is this entry's part of the requests that wait for it, from 0 to 1.
        """
        if share >= 1:
            return True
        key = room.engine.key
        drawn_at, is_won = self.draws.get(key, (-DRAW_INTERVAL_S, False))
        if now >= drawn_at + DRAW_INTERVAL_S:
            is_won = self.rng.random() < share
            self.draws[key] = (now, is_won)
        return is_won

    def _blocks_others(
        self, request: WaitingRequest, rooms: list[EngineRoom], now: float
    ) -> bool:
        """Whether no request behind this one may begin before it.

        A request is overtaken only by those that need less KV cache. A most urgent
        request does not block the others, since what it waits for is reserved for it.
        """
        if self.is_most_urgent(request):
            return False
        if now >= request.arrived_at + MAX_OVERTAKEN_S:
            return True
        return any(room.has_space(request, is_most_urgent=False) for room in rooms)

    def room_counts(
        self, rooms: list[EngineRoom], request: WaitingRequest, now: float
    ) -> dict[str, int]:
        """Return how many engines lack what a request waits for, for the log."""
        is_top = self.is_most_urgent(request)
        return {
            "engines": len(rooms),
            "without_space": sum(not r.has_space(request, is_top) for r in rooms),
            "paced": sum(r.engine.pace_room is not None for r in rooms),
            "reading": sum(r.unread > 0 for r in rooms),
            "with_room": sum(r.can_begin(request, is_top, now) for r in rooms),
        }

    def begin(self, request: WaitingRequest, now: float) -> None:
        """Take a request that begins out of the queue, and count it for its account."""
        self.waiting.pop(request.number, None)
        request.has_begun = True
        self.begun_tokens += request.prompt_tokens
        usage = self.shares.usage_of(request.account, ACCOUNT_WEIGHT, now)
        self.shares.add(usage)

    def note_rate(self, now: float) -> None:
        """Measure the begin rate since the last call."""
        self.begin_rate.note(now, self.begun_tokens, self.had_waiting)
        self.begun_tokens, self.had_waiting = 0, bool(self.waiting)

    def own_rate(self) -> float:
        """Return the tokens of prompts that begin here per second while some wait."""
        own = sum(request.prompt_tokens for request in self.waiting.values())
        others = sum(tokens for _, tokens in self.peer_waiting.values())
        share = own / (own + others) if own else 1.0
        return self.begin_rate.tokens_per_s(self.rate * self.engine_count * share)

    def hopeless(self, now: float) -> list[tuple[WaitingRequest, float]]:
        """Return the requests that cannot begin before their deadline.

        Each comes with its expected wait in seconds.
        """
        own_rate = self.own_rate()
        ahead, found = 0, []
        for request in self.ordered(now):
            wait_s = (ahead + request.prompt_tokens) / own_rate
            read_s = read_time_s(request.prompt_tokens, self.rate)
            if now + wait_s + read_s > request.deadline_at:
                found.append((request, wait_s))
            else:
                ahead += request.prompt_tokens
        return found

    def rows(self) -> dict[int, tuple[int, int]]:
        """Return the number of waiting requests and of their tokens by priority."""
        rows: dict[int, tuple[int, int]] = {}
        for request in self.waiting.values():
            count, tokens = rows.get(request.priority, (0, 0))
            rows[request.priority] = count + 1, tokens + request.prompt_tokens
        return rows
