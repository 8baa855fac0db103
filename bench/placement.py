"""Placement of long generations by many entries, on simulated engines.

26 entries send 12 prompts of 8,000 tokens a second to 47 engines, as in the users'
larger deployments. An engine prefills prompts one after the other, and decodes at a
fraction of its speed meanwhile. The times match the users' benchmark: a generation
decodes in 3.9 s on an idle engine, and in 6.9 s on an engine that prefills two other
prompts. Every policy gets the same requests. `shared` is the product's decision with
the load reported by all entries; `own` is the earlier version, in which an entry knew
only its own requests. In `uneven`, every third engine takes 1.3 times as long, and the
decision knows its speed or not.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from bench.registry import Figure, measurement
from monsoontack.core.records import Place
from monsoontack.routing.placement import (
    DEFAULT_PREFILL_S_PER_TOKEN,
    EngineCandidate,
    PromptAffinity,
    choose_engine,
)

ENGINE_COUNT, ENTRY_COUNT, REQUESTS_PER_S = 47, 26, 12.2
FAILURE_DOMAINS = tuple(Place(f"d{n}", "north" if n < 3 else "south") for n in range(6))
PROMPT_TOKENS, OUTPUT_TOKENS = 8200, 780
SLOTS, KV_CAPACITY_TOKENS = 64, 88_000
PREFILL_S, DECODE_S, DECODE_LOG_SIGMA = 1.03, 3.9, 0.25
# Fraction of its speed at which an engine decodes during a prefill, and the slowdown
# by each further generation.
DECODE_SPEED_DURING_PREFILL, SLOWDOWN_PER_GENERATION = 0.08, 0.03
SLOW_FACTOR, SLOW_INTERVAL = 1.3, 3
WARM_UP_S, SIMULATED_S = 20.0, 120.0
# Nine of ten streams end in time to survive the loss of their entry 8 s later. The
# 90th percentile was 10.9 s when an entry knew only its own requests.
SHARED_P90_LIMIT_S = 8.0


@dataclass(slots=True)
class ModelGeneration:
    """One generation; `remaining_s` is its remaining decode time at full speed."""

    entry: int
    sent_at: float
    remaining_s: float
    ended_at: float = 0.0


@dataclass(slots=True)
class ModelEngine:
    """An engine that prefills `queue` in order and decodes `generations`.

    An item of `queue` is a generation and the seconds of prefill that remain.
    `clock_s` is the work done, of which the engine needs `slowness` seconds each.
    """

    queue: list[list] = field(default_factory=list)
    generations: list[ModelGeneration] = field(default_factory=list)
    clock_s: float = 0.0
    slowness: float = 1.0

    def advance(self, until: float) -> None:
        """Simulate the engine up to the time `until`."""
        until /= self.slowness
        while self.clock_s < until:
            step_s, speed = until - self.clock_s, self._decode_speed()
            if self.queue:
                step_s = min(step_s, self.queue[0][1])
            if self.generations:
                step_s = min(
                    step_s,
                    min(generation.remaining_s for generation in self.generations)
                    / speed,
                )
            self._step(max(step_s, 1e-9), speed)

    def _decode_speed(self) -> float:
        speed = DECODE_SPEED_DURING_PREFILL if self.queue else 1.0
        return speed / (
            1.0 + SLOWDOWN_PER_GENERATION * max(0, len(self.generations) - 1)
        )

    def _step(self, step_s: float, speed: float) -> None:
        self.clock_s += step_s
        for generation in self.generations:
            generation.remaining_s -= step_s * speed
            generation.ended_at = self.clock_s * self.slowness
        self.generations = [
            generation
            for generation in self.generations
            if generation.remaining_s > 1e-9
        ]
        if self.queue:
            self.queue[0][1] -= step_s
            if self.queue[0][1] <= 1e-9:
                self.generations.append(self.queue.pop(0)[0])

    def generations_of(self, entry: int | None) -> list[ModelGeneration]:
        """Return the queued and decoding generations of an entry, or of all entries."""
        generations = [item[0] for item in self.queue] + self.generations
        return [
            generation
            for generation in generations
            if entry is None or generation.entry == entry
        ]


@dataclass(slots=True)
class PlacementRequest:
    """Input of a policy: the engines, the sending entry, the request's number."""

    engines: list[ModelEngine]
    entry: int
    number: int
    rng: random.Random


Policy = Callable[[PlacementRequest], int]


def product_policy(uses_all_entries: bool, knows_speeds: bool = False) -> Policy:
    """Return the product's policy with the load of all entries or of its own only.

    With `knows_speeds` it has measured the speeds of the engines.
    """

    def choose(request: PlacementRequest) -> int:
        known_entry = None if uses_all_entries else request.entry
        candidates = []
        for number, engine in enumerate(request.engines):
            generations = engine.generations_of(known_entry)
            slowness = engine.slowness if knows_speeds else 1.0
            waiting = sum(1 for item in engine.queue if item[0] in generations)
            candidate = EngineCandidate(
                key=str(number),
                place=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
                in_flight=len(generations),
                slots=SLOTS,
                waiting_tokens=PROMPT_TOKENS * waiting,
                held_tokens=(PROMPT_TOKENS + OUTPUT_TOKENS) * len(generations),
                memory_tokens=KV_CAPACITY_TOKENS,
                prefill_s_per_token=slowness * DEFAULT_PREFILL_S_PER_TOKEN,
            )
            candidates.append(candidate)
        place = FAILURE_DOMAINS[request.entry % len(FAILURE_DOMAINS)]
        affinity = PromptAffinity(f"part-{request.number}", PROMPT_TOKENS)
        needed_tokens = PROMPT_TOKENS + OUTPUT_TOKENS
        return int(
            choose_engine(candidates, place, needed_tokens, request.rng, affinity).key
        )

    return choose


def round_robin() -> Policy:
    """Return a policy in which each entry uses the engines in turn."""
    turns: dict[int, int] = {}

    def choose(request: PlacementRequest) -> int:
        # Entries that start at the same engine would always choose the same one.
        turn = turns.get(request.entry, request.entry * 7)
        turns[request.entry] = turn + 1
        return turn % len(request.engines)

    return choose


def least_requests(request: PlacementRequest) -> int:
    """Return the engine with the fewest of the entry's own requests; ties at random."""

    def cost(number: int) -> tuple[int, float]:
        own = len(request.engines[number].generations_of(request.entry))
        return own, request.rng.random()

    return min(range(len(request.engines)), key=cost)


def simulate(
    policy: Policy,
    seed: int,
    requests_per_s: float = REQUESTS_PER_S,
    slow_factor: float = 1.0,
) -> list[float]:
    """Return the sorted durations of all streams sent after the warm-up, in seconds.

    Every third engine takes `slow_factor` times as long as the others.
    """
    arrivals, rng = random.Random(seed), random.Random(seed + 1)
    engines = [ModelEngine() for _ in range(ENGINE_COUNT)]
    for engine in engines[::SLOW_INTERVAL]:
        engine.slowness = slow_factor
    generations: list[ModelGeneration] = []
    now = 0.0
    while now < SIMULATED_S:
        now += arrivals.expovariate(requests_per_s)
        entry = arrivals.randrange(ENTRY_COUNT)
        decode_s = DECODE_S * arrivals.lognormvariate(0.0, DECODE_LOG_SIGMA)
        for engine in engines:
            engine.advance(now)
        generation = ModelGeneration(entry, now, decode_s)
        engine_number = policy(PlacementRequest(engines, entry, len(generations), rng))
        engines[engine_number].queue.append([generation, PREFILL_S])
        generations.append(generation)
    for engine in engines:
        engine.advance(now + 60.0)
    return sorted(
        generation.ended_at - generation.sent_at
        for generation in generations
        if generation.sent_at > WARM_UP_S
    )


def p90(times_s: list[float]) -> float:
    """Return the 90th percentile of sorted values."""
    return times_s[int(0.9 * (len(times_s) - 1))]


@measurement("placement")
def measure(seed: int) -> Iterator[Figure]:
    """Compare the product's policy with its earlier version and simpler policies."""
    policies = {
        "shared": product_policy(True),
        "own": product_policy(False),
        "round_robin": round_robin(),
        "least_requests": least_requests,
    }
    for name, policy in policies.items():
        times_s = simulate(policy, seed)
        mean_s = sum(times_s) / len(times_s)
        yield Figure(f"placement.{name}.stream.mean", mean_s, "s")
        figure = f"placement.{name}.stream.p90"
        if name == "shared":
            yield Figure.at_most(figure, p90(times_s), "s", SHARED_P90_LIMIT_S)
        else:
            yield Figure(figure, p90(times_s), "s")
    for name, knows_speeds in (("known", True), ("unknown", False)):
        policy = product_policy(True, knows_speeds)
        times_s = simulate(policy, seed, slow_factor=SLOW_FACTOR)
        mean_s = sum(times_s) / len(times_s)
        yield Figure(f"placement.uneven.{name}.stream.mean", mean_s, "s")
        yield Figure(f"placement.uneven.{name}.stream.p90", p90(times_s), "s")
