"""Placement of long generations by many entries, over a model of engines.

Pattern: 26 entries send 12 prompts of 8,000 tokens a second to 47 engines, as on the
users' larger deployments. An engine reads prompts one after the other and generates
at a small part of its speed while it reads. The users' bench shows the same times: a
run alone generates in 3.9 s, one beside two prompts in 6.9 s. Each policy gets the
same requests; `shared` and `own` are the product's decision with the figures of all
entries and with the entry's own, as it was before entries told each other.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from bench.registry import Figure, measurement
from monsoontack.core.records import Place
from monsoontack.routing.placement import EngineCandidate, PromptAffinity, choose_engine

ENGINES, ENTRIES, RATE_PER_S = 47, 26, 12.2
DOMAINS = tuple(Place(f"d{n}", "north" if n < 3 else "south") for n in range(6))
PROMPT_TOKENS, OUTPUT_TOKENS = 8200, 780
SLOTS, MEMORY_TOKENS = 64, 88_000
READ_S, GENERATE_S, GENERATE_SPREAD = 1.03, 3.9, 0.25
# Part of its speed at which an engine generates while it reads, and what each
# further run takes off it.
SPEED_READING, SLOWER_BY_RUN = 0.08, 0.03
WARM_UP_S, SPAN_S = 20.0, 120.0
# Nine of ten streams end in time to survive the loss of their entry 8 s later; with
# the figures of the entry alone it was 10.9 s.
SHARED_P90_LIMIT_S = 8.0


@dataclass(slots=True)
class ModelRun:
    """One generation; `left_s` is what it takes at full speed."""

    entry: int
    sent_at: float
    left_s: float
    ended_at: float = 0.0


@dataclass(slots=True)
class ModelEngine:
    """Reads the prompts in `queue`, each with seconds left, and generates `runs`."""

    queue: list[list] = field(default_factory=list)
    runs: list[ModelRun] = field(default_factory=list)
    at: float = 0.0

    def advance(self, until: float) -> None:
        """Go on until a point in time."""
        while self.at < until:
            step_s, speed = until - self.at, self._speed()
            if self.queue:
                step_s = min(step_s, self.queue[0][1])
            if self.runs:
                step_s = min(step_s, min(run.left_s for run in self.runs) / speed)
            self._step(max(step_s, 1e-9), speed)

    def _speed(self) -> float:
        speed = SPEED_READING if self.queue else 1.0
        return speed / (1.0 + SLOWER_BY_RUN * max(0, len(self.runs) - 1))

    def _step(self, step_s: float, speed: float) -> None:
        self.at += step_s
        for run in self.runs:
            run.left_s -= step_s * speed
            run.ended_at = self.at
        self.runs = [run for run in self.runs if run.left_s > 1e-9]
        if self.queue:
            self.queue[0][1] -= step_s
            if self.queue[0][1] <= 1e-9:
                self.runs.append(self.queue.pop(0)[0])

    def all_runs(self, entry: int | None) -> list[ModelRun]:
        """Return the runs here, those of one entry or of all."""
        runs = [item[0] for item in self.queue] + self.runs
        return [run for run in runs if entry is None or run.entry == entry]


@dataclass(slots=True)
class Choice:
    """What a policy is asked: the engines, the entry, the request's number."""

    engines: list[ModelEngine]
    entry: int
    number: int
    rng: random.Random


Policy = Callable[[Choice], int]


def product(is_shared: bool) -> Policy:
    """Return the product's decision with the figures of all entries or its own."""

    def choose(choice: Choice) -> int:
        seen = None if is_shared else choice.entry
        loads = []
        for number, engine in enumerate(choice.engines):
            runs = engine.all_runs(seen)
            waiting = sum(1 for item in engine.queue if item[0] in runs)
            load = EngineCandidate(
                key=str(number),
                place=DOMAINS[number % len(DOMAINS)],
                in_flight=len(runs),
                slots=SLOTS,
                waiting_tokens=PROMPT_TOKENS * waiting,
                held_tokens=(PROMPT_TOKENS + OUTPUT_TOKENS) * len(runs),
                memory_tokens=MEMORY_TOKENS,
            )
            loads.append(load)
        place = DOMAINS[choice.entry % len(DOMAINS)]
        affinity = PromptAffinity(f"part-{choice.number}", PROMPT_TOKENS)
        need = PROMPT_TOKENS + OUTPUT_TOKENS
        return int(choose_engine(loads, place, need, choice.rng, affinity).key)

    return choose


def round_robin() -> Policy:
    """Return the next engine in turn of each entry."""
    turns: dict[int, int] = {}

    def choose(choice: Choice) -> int:
        # Entries that start at the same engine would stay in step.
        turn = turns.get(choice.entry, choice.entry * 7)
        turns[choice.entry] = turn + 1
        return turn % len(choice.engines)

    return choose


def least_requests(choice: Choice) -> int:
    """Return an engine with the fewest of the entry's own requests."""

    def cost(number: int) -> tuple[int, float]:
        own = len(choice.engines[number].all_runs(choice.entry))
        return own, choice.rng.random()

    return min(range(len(choice.engines)), key=cost)


def play(policy: Policy, seed: int, rate_per_s: float = RATE_PER_S) -> list[float]:
    """Return the times from send to end of all streams after the warm-up, sorted."""
    arrivals, rng = random.Random(seed), random.Random(seed + 1)
    engines = [ModelEngine() for _ in range(ENGINES)]
    runs: list[ModelRun] = []
    now = 0.0
    while now < SPAN_S:
        now += arrivals.expovariate(rate_per_s)
        entry = arrivals.randrange(ENTRIES)
        takes_s = GENERATE_S * arrivals.lognormvariate(0.0, GENERATE_SPREAD)
        for engine in engines:
            engine.advance(now)
        run = ModelRun(entry, now, takes_s)
        chosen = policy(Choice(engines, entry, len(runs), rng))
        engines[chosen].queue.append([run, READ_S])
        runs.append(run)
    for engine in engines:
        engine.advance(now + 60.0)
    return sorted(run.ended_at - run.sent_at for run in runs if run.sent_at > WARM_UP_S)


def p90(times_s: list[float]) -> float:
    """Return the 90th percentile of sorted times."""
    return times_s[int(0.9 * (len(times_s) - 1))]


@measurement("placement")
def measure(seed: int) -> Iterator[Figure]:
    """Compare the product with its earlier version and with simpler policies."""
    policies = {
        "shared": product(True),
        "own": product(False),
        "round_robin": round_robin(),
        "least_requests": least_requests,
    }
    for name, policy in policies.items():
        times_s = play(policy, seed)
        mean_s = sum(times_s) / len(times_s)
        yield Figure(f"placement.{name}.stream.mean", mean_s, "s")
        figure = f"placement.{name}.stream.p90"
        if name == "shared":
            yield Figure.at_most(figure, p90(times_s), "s", SHARED_P90_LIMIT_S)
        else:
            yield Figure(figure, p90(times_s), "s")
