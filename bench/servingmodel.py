"""Discrete-event model of a few engines and entries for routing measurements.

It is a load generator over the product's decision functions: entries see engine
load and cache events late, callers abandon after a few seconds and retry as
told. Times are in seconds, prompts in blocks. A policy is either the product's
(`FullPolicy`) or the baseline (`RoundRobin`: next engine in turn, no admission).
"""

import heapq
import itertools
import random
from collections import Counter, OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from returns.result import Success

from monsoontack.admission.admit import Admission
from monsoontack.core.records import (
    BackendServer,
    LoadReport,
    Place,
    RouteRequest,
    ServerState,
)
from monsoontack.routing.linkbudget import EntryLinkBudget
from monsoontack.routing.picker import Picker

SERVICE, VERSION = "desk", "v1"
PLACES = (Place("a", "r1"), Place("b", "r1"), Place("c", "r2"))
ENGINE_PLACES = (0, 0, 0, 1, 1, 1, 2, 2)
ENTRY_PLACES = (0, 1, 1, 2)
SLOTS = 16
TOKEN_GAP_S = 0.03
PREFILL_BASE_S, PREFILL_BLOCK_S = 0.02, 0.01
CACHE_BLOCKS = 1500
REPORT_EVERY_S, REPORT_LAG_S = 0.25, 0.25
CACHE_EVENT_LAG_S, CACHE_EVENT_LOSS = 1.0, 0.05
ABANDON_S = 3.0
GOOD_FIRST_TOKEN_S = 1.0
REQUEST_BYTES, BYTES_PER_TOKEN = 4000, 60
MAX_TRIES = 3
# Two large accounts and eight small ones, as in today's deployments.
ACCOUNT_SHARES = {"large-1": 0.35, "large-2": 0.25} | {
    f"small-{index}": 0.05 for index in range(8)
}
SYSTEM_BLOCKS, TURN_BLOCKS = 6, 3
CONTINUE_CHANCE = 0.75
LONG_CHANCE = 0.07


@dataclass(slots=True)
class Caller:
    """One request of one account; `first_token_s` counts from its last try."""

    account: str
    blocks: tuple[int, ...]
    tokens: int
    born_at: float
    tries: int = 0
    sent_at: float = 0.0
    first_token_s: float | None = None
    started: bool = False
    abandoned: bool = False


@dataclass(slots=True)
class Engine:
    """An engine with slots, a queue and a prefix cache of bounded size."""

    server: BackendServer
    queue: deque = field(default_factory=deque)
    running: int = 0
    cache: OrderedDict = field(default_factory=OrderedDict)
    sequence: int = 0
    hits: int = 0
    asked: int = 0

    def use_cache(self, blocks: Sequence[int]) -> tuple[int, list[int], list[int]]:
        """Return the cached blocks of a prompt, those stored and those evicted."""
        cached = 0
        for block in blocks:
            if block not in self.cache:
                break
            cached += 1
        self.asked += len(blocks)
        self.hits += cached
        for block in blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        evicted = []
        while len(self.cache) > CACHE_BLOCKS:
            evicted.append(self.cache.popitem(last=False)[0])
        return cached, list(blocks[cached:]), evicted


class RoundRobin:
    """Baseline: engines in turn, wherever they are, and no admission."""

    def __init__(self, place: Place, accounts: Sequence[str]):
        self.numbers = itertools.count()

    def choose(self, request, states, now, rng):
        """Return the next engine, never a refusal."""
        server = states[next(self.numbers) % len(states)].server
        return server, None, None

    def sent(self, request: RouteRequest, server: BackendServer) -> None:
        """Ignore what was sent."""

    def ended(self, ticket, address: str, failed: bool, first, now, rng) -> None:
        """Ignore how it ended."""

    def cache_event(self, address, sequence, kind, blocks) -> None:
        """Ignore cache contents."""


class FullPolicy:
    """The product's admission and routing."""

    def __init__(self, place: Place, accounts: Sequence[str]):
        self.picker = Picker(place, EntryLinkBudget.for_entries(2, 0.0))
        self.admission = Admission(live_entries=len(ENTRY_PLACES))

    def choose(self, request: RouteRequest, states, now: float, rng):
        """Return engine and ticket, or a refusal."""
        taken = self.admission.request(request.account, SERVICE, states, now, rng)
        if not isinstance(taken, Success):
            return None, None, taken.failure()
        ticket = taken.unwrap()
        picked = self.picker.pick(request, states, now, rng)
        if not isinstance(picked, Success):
            self.admission.release(ticket, now)
            return None, None, picked.failure()
        return picked.unwrap(), ticket, None

    def sent(self, request: RouteRequest, server: BackendServer) -> None:
        """Note what was sent."""
        self.picker.note_sent(request, server)

    def ended(self, ticket, address: str, failed: bool, first, now, rng) -> None:
        """Give the ticket back and judge the engine."""
        self.admission.release(ticket, now)
        if failed:
            self.picker.ejection.record_failure(address, SERVICE, now, rng)
        elif first is not None:
            self.picker.ejection.record_success(address, SERVICE, first, now, rng)

    def cache_event(self, address, sequence, kind, blocks) -> None:
        """Merge a late cache event."""
        self.picker.prefixes.apply(address, sequence, kind, blocks)


@dataclass(slots=True)
class Entry:
    """An entry's view of the engines."""

    place: Place
    policy: object
    loads: dict[str, LoadReport] = field(default_factory=dict)
    sent: dict[str, deque] = field(default_factory=dict)
    ended: dict[str, deque] = field(default_factory=dict)
    in_flight: Counter = field(default_factory=Counter)

    def states(self, engines: Sequence[Engine]) -> list[ServerState]:
        """Return what this entry knows of every engine."""
        result = []
        for engine in engines:
            address = engine.server.address
            state = ServerState(
                engine.server,
                self.loads.get(address),
                self.in_flight[address],
                len(self.sent.get(address, ())),
                len(self.ended.get(address, ())),
            )
            result.append(state)
        return result

    def take_load(self, address: str, load: LoadReport) -> None:
        """Take a late load report and drop what it includes."""
        self.loads[address] = load
        for changes in (self.sent, self.ended):
            times = changes.setdefault(address, deque())
            while times and times[0] <= load.reported_at:
                times.popleft()

    def note_end(self, address: str, now: float) -> None:
        """Count the end of a request, also of an abandoned one."""
        self.in_flight[address] -= 1
        self.ended.setdefault(address, deque()).append(now)


@dataclass(slots=True)
class Totals:
    """What a run counted after its warm-up."""

    good: Counter = field(default_factory=Counter)
    fresh: Counter = field(default_factory=Counter)
    refused: int = 0
    told: int = 0
    admitted_when_told: int = 0
    given_up: int = 0
    abandoned: int = 0
    first_token_s: list[float] = field(default_factory=list)
    remote_bytes: int = 0


class Workload:
    """Sessions of several accounts whose prompts grow turn by turn."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.names = itertools.count(1)
        self.system = {
            account: self.new_blocks((), SYSTEM_BLOCKS) for account in ACCOUNT_SHARES
        }
        self.sessions: dict[str, list] = {name: [] for name in ACCOUNT_SHARES}

    def new_blocks(self, start: tuple, count: int) -> tuple[int, ...]:
        """Return `start` followed by `count` new block hashes."""
        return start + tuple(self.rng.getrandbits(62) for _ in range(count))

    def next_caller(self, now: float) -> Caller:
        """Return the next request: a new session or the next turn of one."""
        names, shares = zip(*ACCOUNT_SHARES.items(), strict=True)
        account = self.rng.choices(names, shares)[0]
        open_sessions = self.sessions[account]
        start = self.system[account]
        if open_sessions and self.rng.random() < CONTINUE_CHANCE:
            start = open_sessions.pop(self.rng.randrange(len(open_sessions)))
        blocks = self.new_blocks(start, TURN_BLOCKS)
        if self.rng.random() < CONTINUE_CHANCE:
            open_sessions.append(blocks)
        return Caller(account, blocks, self.tokens(), now)

    def tokens(self) -> int:
        """Return the length of an answer; a few are long."""
        if self.rng.random() < LONG_CHANCE:
            return self.rng.randint(300, 700)
        return self.rng.randint(20, 80)


def mean_hold_s() -> float:
    """Return the mean time in a slot if half of the prompt blocks are cached."""
    tokens = LONG_CHANCE * 500 + (1 - LONG_CHANCE) * 50
    blocks = 0.5 * (SYSTEM_BLOCKS + 3 * TURN_BLOCKS)
    return tokens * TOKEN_GAP_S + PREFILL_BASE_S + blocks * PREFILL_BLOCK_S


class Model:
    """One run of one policy at one load factor."""

    def __init__(self, make_policy: Callable, load: float, seed: int):
        self.rng = random.Random(seed)
        self.workload = Workload(random.Random(seed + 1))
        self.engines = [self._engine(i, p) for i, p in enumerate(ENGINE_PLACES)]
        names = list(ACCOUNT_SHARES)
        self.entries = [
            Entry(PLACES[place], make_policy(PLACES[place], names))
            for place in ENTRY_PLACES
        ]
        capacity = len(self.engines) * SLOTS / mean_hold_s()
        self.rate = load * capacity
        self.totals = Totals()
        self.events: list = []
        self.numbers = itertools.count()
        self.now = 0.0
        self.warm_at = 0.0

    def _engine(self, index: int, place: int) -> Engine:
        name = f"10.0.0.{index}:7000"
        server = BackendServer(
            name, name, "engine", SERVICE, (VERSION,), PLACES[place], SLOTS
        )
        return Engine(server)

    def at(self, time: float, action: Callable, *arguments) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (time, next(self.numbers), action, arguments))

    def run(self, seconds: float, warm_up: float) -> Totals:
        """Run the model and return what happened after `warm_up`."""
        self.warm_at = warm_up
        self.at(0.0, self._arrive)
        for engine in self.engines:
            self.at(self.rng.uniform(0, REPORT_EVERY_S), self._report, engine)
        while self.events and self.events[0][0] < seconds:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.totals

    @property
    def warm(self) -> bool:
        """Whether the warm-up is over."""
        return self.now >= self.warm_at

    def _arrive(self) -> None:
        caller = self.workload.next_caller(self.now)
        if self.warm:
            self.totals.fresh[caller.account] += 1
        self._try(caller, False)
        self.at(self.now + self.rng.expovariate(self.rate), self._arrive)

    def _try(self, caller: Caller, was_told: bool) -> None:
        entry = self.rng.choice(self.entries)
        caller.tries += 1
        request = RouteRequest(
            SERVICE,
            VERSION,
            caller.account,
            prefix_blocks=caller.blocks,
            request_bytes=REQUEST_BYTES + caller.tokens * BYTES_PER_TOKEN,
        )
        states = entry.states(self.engines)
        server, ticket, error = entry.policy.choose(request, states, self.now, self.rng)
        if was_told and self.warm:
            self.totals.told += 1
            self.totals.admitted_when_told += error is None
        if error is not None:
            self._refused(caller, error)
            return
        entry.policy.sent(request, server)
        address = server.address
        entry.in_flight[address] += 1
        entry.sent.setdefault(address, deque()).append(self.now)
        if server.place.region != entry.place.region and self.warm:
            self.totals.remote_bytes += request.request_bytes
        caller.sent_at = self.now
        engine = next(e for e in self.engines if e.server is server)
        engine.queue.append((caller, entry, ticket))
        self.at(self.now + ABANDON_S, self._abandon, caller, entry, ticket, engine)
        self._fill(engine)

    def _refused(self, caller: Caller, error) -> None:
        self.totals.refused += self.warm
        if caller.tries < MAX_TRIES and error.retry_after_s is not None:
            self.at(self.now + error.retry_after_s, self._try, caller, True)
        else:
            self.totals.given_up += self.warm

    def _fill(self, engine: Engine) -> None:
        while engine.queue and engine.running < SLOTS:
            caller, entry, ticket = engine.queue.popleft()
            if caller.abandoned:
                continue
            engine.running += 1
            caller.started = True
            cached, stored, evicted = engine.use_cache(caller.blocks)
            self._publish(engine, "stored", stored)
            self._publish(engine, "evicted", evicted)
            missing = len(caller.blocks) - cached
            prefill = PREFILL_BASE_S + missing * PREFILL_BLOCK_S
            caller.first_token_s = self.now + prefill - caller.sent_at
            end = self.now + prefill + caller.tokens * TOKEN_GAP_S
            self.at(end, self._end, engine, caller, entry, ticket)

    def _publish(self, engine: Engine, kind: str, blocks: list[int]) -> None:
        if not blocks:
            return
        engine.sequence += 1
        if self.rng.random() < CACHE_EVENT_LOSS:
            return
        for entry in self.entries:
            arguments = (engine.server.address, engine.sequence, kind, blocks)
            self.at(self.now + CACHE_EVENT_LAG_S, entry.policy.cache_event, *arguments)

    def _end(self, engine: Engine, caller: Caller, entry: Entry, ticket) -> None:
        engine.running -= 1
        address = engine.server.address
        entry.note_end(address, self.now)
        first = caller.first_token_s
        entry.policy.ended(ticket, address, False, first, self.now, self.rng)
        if self.warm and caller.born_at >= self.warm_at:
            self.totals.first_token_s.append(first)
            self.totals.good[caller.account] += first <= GOOD_FIRST_TOKEN_S
        self._fill(engine)

    def _abandon(self, caller: Caller, entry: Entry, ticket, engine: Engine) -> None:
        if caller.started:
            return
        caller.abandoned = True
        address = engine.server.address
        entry.note_end(address, self.now)
        self.totals.abandoned += self.warm
        entry.policy.ended(ticket, address, True, None, self.now, self.rng)

    def _report(self, engine: Engine) -> None:
        waiting = sum(not caller.abandoned for caller, _, _ in engine.queue)
        load = LoadReport(engine.running, waiting, SLOTS, self.now)
        for entry in self.entries:
            self.at(
                self.now + REPORT_LAG_S, entry.take_load, engine.server.address, load
            )
        self.at(self.now + REPORT_EVERY_S, self._report, engine)
