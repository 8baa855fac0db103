"""Simulated engines and gateways for tests of the admission, on a paused clock."""

import asyncio
import heapq
import itertools
import random
from dataclasses import dataclass, field

from monsoontack.core.errors import RequestError
from monsoontack.core.records import Place
from monsoontack.inbound.responder import CallerDisconnectedError
from monsoontack.routing.placement import EngineCandidate
from monsoontack.scheduling.gate import AdmissionGate
from monsoontack.scheduling.offer import EngineOffer
from monsoontack.scheduling.urgency import WaitingRequest

PREFILL_TOKENS_PER_S = 8000.0
RUN_S = 3.9
KV_TOKENS = 88_000
OUTPUT_TOKENS = 1_000
STEP_S = 0.05
REPORT_INTERVAL_S = 0.3


@dataclass(slots=True, eq=False)
class Run:
    """A run at an engine; `has_begun` and `has_ended` are its first and last event."""

    priority: int
    tokens: int
    has_begun: asyncio.Future
    has_ended: asyncio.Future
    left_s: float = RUN_S


class Engine:
    """Reads one prompt after the other, the most urgent first, and generates.

    It generates at a tenth of its speed while it reads. When its KV cache is full,
    a more urgent run preempts the newest of the least urgent, which is read again.
    """

    def __init__(self, numbers: itertools.count) -> None:
        self.prompts: list = []
        self.runs: list[Run] = []
        self.numbers = numbers
        self.is_reading = False
        self.read_s = 0.0
        self.preempted = self.max_unread = 0
        self.tasks = [asyncio.ensure_future(f()) for f in (self._read, self._generate)]

    def start(self, priority: int, tokens: int) -> Run:
        """Queue a prompt and return its run."""
        loop = asyncio.get_running_loop()
        run = Run(priority, tokens, loop.create_future(), loop.create_future())
        self._queue(run)
        return run

    def _queue(self, run: Run) -> None:
        heapq.heappush(self.prompts, (run.priority, next(self.numbers), run))
        self.max_unread = max(self.max_unread, len(self.prompts))

    def _has_room(self, run: Run) -> bool:
        held_tokens = sum(other.tokens + OUTPUT_TOKENS for other in self.runs)
        return held_tokens + run.tokens + OUTPUT_TOKENS <= KV_TOKENS

    async def _read(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            while self.prompts:
                run = self.prompts[0][2]
                if not self._has_room(run) and not self._preempt(run):
                    break
                heapq.heappop(self.prompts)
                self.runs.append(run)
                self.is_reading = True
                await asyncio.sleep(run.tokens / PREFILL_TOKENS_PER_S)
                self.is_reading = False
                self.read_s += run.tokens / PREFILL_TOKENS_PER_S
                if not run.has_begun.done():
                    run.has_begun.set_result(None)

    def _preempt(self, run: Run) -> bool:
        least = max(self.runs, key=lambda other: other.priority)
        if least.priority <= run.priority:
            return False
        newest = [other for other in self.runs if other.priority == least.priority][-1]
        self.runs.remove(newest)
        self._queue(newest)
        self.preempted += 1
        return True

    async def _generate(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            for run in [run for run in self.runs if run.has_begun.done()]:
                run.left_s -= STEP_S * (0.1 if self.is_reading else 1.0)
                if run.left_s <= 0:
                    self.runs.remove(run)
                    run.has_ended.set_result(None)


@dataclass(slots=True)
class Outcome:
    """What one request got: its status and the time to its first event in seconds."""

    account: str
    priority: int
    sent_at: float
    status: int = 0
    code: str = ""
    first_s: float = float("inf")
    retry_after_s: float | None = None
    ended_at: float = 0.0


@dataclass(slots=True)
class Gateway:
    """One gateway: its gate, and runs, waiting and held tokens by engine."""

    service: "Service"
    name: int
    usage: dict[str, list[int]]
    gate: AdmissionGate = field(init=False)

    def __post_init__(self) -> None:
        """Create the gate."""
        rng = random.Random(self.name)
        self.gate = AdmissionGate(lambda service: self.engines(), rng)
        self.gate.configure({"s": frozenset((0, 2))})
        self.gate.peer_waiting = self._peer_waiting
        if self.service.is_cut_off:
            self.gate.own_factor = lambda: len(self.service.gateways)

    def engines(self) -> dict[str, EngineCandidate]:
        """Return the engines as this gateway sees them."""
        others = self.service.reported
        found = {}
        for key in self.service.engines:
            rows = [self.usage[key]]
            if not self.service.is_cut_off:
                rows += [u[key] for n, u in others.items() if n != self.name]
            runs, waiting, held = map(sum, zip(*rows, strict=True))
            place = Place("d", "r")
            found[key] = EngineCandidate(key, place, runs, 16, waiting, held, KV_TOKENS)
        return found

    def _peer_waiting(self, service: str, now: float) -> dict[int, tuple[int, int]]:
        total: dict[int, tuple[int, int]] = {}
        if self.service.is_cut_off:
            return total
        for name, rows in self.service.reported_waiting.items():
            for priority, (count, tokens) in rows.get("s", {}).items():
                if name != self.name:
                    old = total.get(priority, (0, 0))
                    total[priority] = old[0] + count, old[1] + tokens
        return total

    def add(self, key: str, runs: int, waiting: int, held: int) -> None:
        """Change the usage of an engine."""
        amounts = zip(self.usage[key], (runs, waiting, held), strict=True)
        self.usage[key] = [a + b for a, b in amounts]


@dataclass(slots=True)
class Stream:
    """Places one request at the engine with the fewest waiting tokens."""

    gateway: Gateway
    request: WaitingRequest

    def begin(self, offer: EngineOffer) -> tuple[str, str]:
        """Count the request at one of the engines with room."""
        loads, rng = self.gateway.engines(), self.gateway.gate.rng
        engines = offer.with_room
        key = min(sorted(engines), key=lambda k: (_cost(loads[k]), rng.random()))
        tokens, needed = self.request.prompt_tokens, self.request.needed_tokens
        self.gateway.add(key, 1, tokens, needed)
        return key, key

    def abandon(self, key: str) -> None:
        """Take the request back."""
        self.gateway.add(
            key, -1, -self.request.prompt_tokens, -self.request.needed_tokens
        )


def _cost(engine: EngineCandidate) -> float:
    return engine.waiting_tokens + 8000 * engine.in_flight


class Service:
    """Engines, and gateways that report their usage to each other late.

    With `is_cut_off`, gateways know nothing of each other; without `has_gate`, requests
    are placed at once.
    """

    def __init__(self, engines=6, gateways=3, is_cut_off=False, has_gate=True) -> None:
        numbers = itertools.count()
        self.engines = {f"e{i}": Engine(numbers) for i in range(engines)}
        self.is_cut_off, self.has_gate = is_cut_off, has_gate
        self.reported: dict[int, dict[str, list[int]]] = {}
        self.reported_waiting: dict[int, dict] = {}
        usage = {key: [0, 0, 0] for key in self.engines}
        self.gateways = [Gateway(self, i, dict(usage)) for i in range(gateways)]
        self.outcomes: list[Outcome] = []
        self.tasks = [asyncio.ensure_future(self._report(g)) for g in self.gateways]

    async def _report(self, gateway: Gateway) -> None:
        await asyncio.sleep(gateway.name * REPORT_INTERVAL_S / len(self.gateways))
        while True:
            self.reported[gateway.name] = dict(gateway.usage)
            self.reported_waiting[gateway.name] = gateway.gate.own_waiting()
            for other in self.gateways:
                other.gate.wake_all()
            await asyncio.sleep(REPORT_INTERVAL_S)

    async def send(
        self,
        gateway: Gateway,
        priority=2,
        account="a",
        key="",
        wait_s=25.0,
        gone=None,
        tokens=8000,
    ) -> Outcome:
        """Send one request and return its outcome after its first event."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        outcome = Outcome(account, priority, now)
        self.outcomes.append(outcome)
        due_s = 4.0 if priority == 0 else 10.0
        request = WaitingRequest(
            0,
            account,
            priority,
            tokens,
            tokens + OUTPUT_TOKENS,
            now,
            now + due_s,
            now + wait_s,
        )
        request.keys = (key,) if key else ()
        stream = Stream(gateway, request)
        if self.has_gate:
            ends = gone or loop.create_future(), loop.create_future()
            try:
                got = await gateway.gate.enter("s", request, stream, *ends)
            except CallerDisconnectedError:
                outcome.code, outcome.ended_at = "gone", loop.time()
                return outcome
        else:
            keys = frozenset(self.engines)
            got = stream.begin(EngineOffer(keys, keys, keys))[0]
        outcome.ended_at = loop.time()
        if isinstance(got, RequestError):
            outcome.status, outcome.code = got.status, got.code
            outcome.retry_after_s = got.retry_after_s
            return outcome
        if got is None:
            outcome.code = "deadline"
            return outcome
        run = self.engines[got].start(priority, tokens)
        await run.has_begun
        gateway.add(got, 0, -tokens, 0)
        gateway.gate.wake("s")
        outcome.status, outcome.first_s = 200, loop.time() - now
        finish = self._finish(gateway, request, got, run)
        self.tasks.append(asyncio.ensure_future(finish))
        return outcome

    async def _finish(self, gateway: Gateway, request, key: str, run: Run) -> None:
        await run.has_ended
        gateway.add(key, -1, 0, -request.needed_tokens)
        gateway.gate.end("s", request)
        gateway.gate.wake("s")

    async def load(self, rates: dict[int, float], for_s: float, rng, accounts="a"):
        """Send requests of each priority at a rate for some seconds."""
        loop, tasks = asyncio.get_running_loop(), []
        end = loop.time() + for_s
        while loop.time() < end:
            await asyncio.sleep(rng.expovariate(sum(rates.values())))
            priority = rng.choices(list(rates), list(rates.values()))[0]
            gateway, account = rng.choice(self.gateways), rng.choice(accounts)
            coroutine = self.send(gateway, priority, account)
            tasks.append(asyncio.ensure_future(coroutine))
        return tasks
