"""Selection of the engine for a generation that an entry places itself.

A generation is delayed by the prompts that its engine prefills before and during
the generation, and by the KV cache of the engine's runs, so all costs are counted
in tokens. Those of an engine that is slower than the others are multiplied by how much
longer it takes. A new run delays each run at the engine by the new run's prompt, so
each of those runs adds the length of that prompt to the cost. Distance adds tokens too,
because traffic between failure domains and regions is billed. The copy of a run's KV
cache goes to another failure domain, since engines of one domain fail together.
"""

import math
import random
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

from monsoontack.core.records import Place
from monsoontack.core.rendezvous import score, stable_hash

# Costs of leaving the failure domain and the region, in prompt tokens. An engine
# prefills 8 tokens per ms, so they equal delays of 25 ms and 190 ms.
OTHER_DOMAIN_COST_TOKENS = 200
OTHER_REGION_COST_TOKENS = 1500
# An engine generates at a tenth of its speed during a prefill: a run takes 3.9 s
# alone and 6.9 s beside two prompts (users' benchmark, 1,100 streams). So each run at
# the engine costs the length of the new prompt that would delay it, but at least this
# many tokens, since every run slows the decoding steps a little.
MIN_RUN_COST_TOKENS = 500
# Tokens held in the KV cache slow every step slightly; waiting tokens cause most of the
# delay.
HELD_TOKEN_WEIGHT = 0.02
# Speeds that are assumed until an engine is measured.
DEFAULT_PREFILL_S_PER_TOKEN = 1 / 8000
DEFAULT_STEP_S = 0.004
# Half of a usual prompt. A prompt counts as waiting until its first event, so half of
# the one that an engine reads has been read on average. Without this, expected times
# at queues were 0.52 s too long, now 0.05 s (268 modelled prompts).
HALF_PROMPT_TOKENS = 4000
# Duration of a run beside others (users' benchmark). It tells when a full engine has a
# free slot, since its runs end evenly spread over it.
RUN_S = 3.9
# Random cost, so that entries with the same view of the load choose different engines;
# a tenth of a usual prompt.
MAX_JITTER_TOKENS = 800
# Discount for the engine that all entries prefer for a prompt by its hash. A caller
# that reconnects through another entry then finds its prompt in the engine's cache.
PREFERRED_DISCOUNT_TOKENS = 2500
# Discount for an engine of the own region at an entry whose turn it is. The few entries
# in turn would bring the engine no load if each prompt went to its preferred engine;
# with hundreds of entries, of which each sees the runs of few others, no engine looks
# busier than this one. It outweighs that preference, jitter and distance.
TURN_DISCOUNT_TOKENS = 3700
# Assumed cached share of a prompt at the engine that last received the prompt.
CACHED_PROMPT_SHARE = 0.9
# Cost of an engine that failed recently, or whose failure domain failed, so that it is
# used only when the other engines are busy.
SUSPECT_COST_TOKENS = 20_000
# An engine may preempt runs when its KV cache is filled above this share.
MAX_KV_CACHE_SHARE = 0.92
# Share of an engine's KV cache up to which it takes copies for services whose streams
# wait for KV cache, so that the rest is left to runs. With 0.5, runs that lost their
# engine in the restart of a failure domain had to read twice as many prompts again.
COPY_KV_SHARE = 0.75
# The same while streams wait and no engine was lost lately. A copy saves the prefill of
# one prompt if its run's engine is lost, but takes KV cache from a waiting stream.
WAITING_COPY_KV_SHARE = 0.4
# Cost of an engine without a free slot or enough free KV cache: a new run waits seconds
# for another to end.
FULL_COST_TOKENS = 100_000
# Cost of an engine that is avoided after a failure, so that it is used only if no other
# is left.
AVOIDED_COST_TOKENS = 1_000_000


@dataclass(frozen=True, slots=True)
class EngineCandidate:
    """State of one engine as seen by an entry.

    `avoided` is set for a short time after a failure. A `suspect` engine failed
    recently and has not answered since. `traffic_share` is 0 while an engine is
    ejected. A `doubtful` engine may be lost with others of its failure domain.
    `pace_room` is how many more runs this entry may send to an engine that has just
    started or recovered, None without such a bound; `in_turn` is set if this is one of
    the few entries that may, and knows too little of the others to leave it to them.
    `prefill_s_per_token` and `step_s` are the measured times in which the engine reads
    a prompt token and makes a step, or the service's.
    """

    key: str
    place: Place
    in_flight: int
    slots: int
    waiting_tokens: int
    held_tokens: int
    memory_tokens: int
    avoided: bool = False
    suspect: bool = False
    traffic_share: float = 1.0
    doubtful: bool = False
    pace_room: int | None = None
    prefill_s_per_token: float = DEFAULT_PREFILL_S_PER_TOKEN
    step_s: float = DEFAULT_STEP_S
    in_turn: bool = False

    @property
    def has_free_slot(self) -> bool:
        """Whether a new run would start at once, as far as this entry knows."""
        return self.in_flight < self.slots

    @property
    def is_sound(self) -> bool:
        """Whether a new run would start at once at an engine that is in use."""
        return self.has_free_slot and not self.avoided and self.traffic_share > 0


def without_held_back(engines: Sequence[EngineCandidate]) -> Sequence[EngineCandidate]:
    """Return the engines without doubtful and paced ones, if others can take a run.

    Paced engines without room come before doubtful ones, which may not run at all.
    """
    trusted = [engine for engine in engines if not engine.doubtful]
    with_room = [engine for engine in trusted if engine.pace_room != 0]
    for group in (with_room, trusted):
        if len(group) == len(engines) or any(engine.is_sound for engine in group):
            return group
    return engines


def unread_tokens(waiting_tokens: float) -> float:
    """Return how many of an engine's waiting prompt tokens it has not read yet."""
    return max(waiting_tokens - HALF_PROMPT_TOKENS, waiting_tokens / 2)


def slot_wait_s(engine: EngineCandidate) -> float:
    """Return the expected time until a new run has a slot, in seconds."""
    runs_before = max(engine.in_flight + 1 - engine.slots, 0)
    return runs_before * RUN_S / max(engine.slots, 1)


def expected_first_event_s(engine: EngineCandidate, uncached_tokens: float) -> float:
    """Return the expected time to the first event of a new run, in seconds.

    `uncached_tokens` is the part of the run's prompt that the engine has to prefill. A
    full engine first has to end as many runs as are in flight above its free slots.
    """
    tokens = unread_tokens(engine.waiting_tokens) + uncached_tokens
    return tokens * engine.prefill_s_per_token + engine.step_s + slot_wait_s(engine)


def cost_tokens(
    engine: EngineCandidate,
    place: Place,
    needed_tokens: int,
    uncached_tokens: float,
    slowness: float = 1.0,
) -> float:
    """Return the cost of a run at an engine, in prompt tokens of a usual engine.

    `needed_tokens` is the KV cache that the run needs, `uncached_tokens` the part of
    its prompt that the engine has to prefill. `slowness` is the time that the engine
    takes for the same work, in relation to the usual one.
    """
    cost = engine.waiting_tokens + HELD_TOKEN_WEIGHT * engine.held_tokens
    cost += uncached_tokens + engine.in_flight * max(
        uncached_tokens, MIN_RUN_COST_TOKENS
    )
    cost *= slowness
    if engine.place.region != place.region:
        cost += OTHER_REGION_COST_TOKENS
    elif engine.place != place:
        cost += OTHER_DOMAIN_COST_TOKENS
    if not engine.has_free_slot:
        cost += FULL_COST_TOKENS
    if engine.held_tokens + needed_tokens > MAX_KV_CACHE_SHARE * engine.memory_tokens:
        cost += FULL_COST_TOKENS
    if engine.suspect:
        cost += SUSPECT_COST_TOKENS
    if engine.avoided or engine.traffic_share <= 0.0:
        cost += AVOIDED_COST_TOKENS
    return cost


@dataclass(frozen=True, slots=True)
class PromptAffinity:
    """Information on which engines may have a prompt in their cache.

    `segment_id` identifies the prompt's own part, the last of its known prefixes.
    `prompt_tokens` is the length of the whole prompt. `last_engine` is the engine that
    last received the prompt.
    """

    segment_id: str = ""
    prompt_tokens: int = 0
    last_engine: str | None = None

    def preferred(self, engines: Sequence[EngineCandidate]) -> str | None:
        """Return the engine that all entries prefer for the prompt."""
        if not self.segment_id or not engines:
            return None
        return max(
            engines, key=lambda e: score(stable_hash(self.segment_id), e.key)
        ).key


NO_AFFINITY = PromptAffinity()


def choose_engine(
    engines: Sequence[EngineCandidate],
    place: Place,
    needed_tokens: int,
    rng: random.Random,
    affinity: PromptAffinity = NO_AFFINITY,
) -> EngineCandidate | None:
    """Return the engine with the lowest cost for a run, None without engines."""
    if not engines:
        return None
    engines = without_held_back(engines)
    healthy = [
        e for e in engines if not e.avoided and not e.suspect and e.traffic_share > 0
    ]
    preferred = affinity.preferred(healthy)
    usual_s = statistics.median(e.prefill_s_per_token for e in engines)

    def cost(engine: EngineCandidate) -> float:
        is_cached = engine.key == affinity.last_engine
        uncached_tokens = affinity.prompt_tokens * (
            1.0 - CACHED_PROMPT_SHARE if is_cached else 1.0
        )
        slowness = engine.prefill_s_per_token / usual_s
        tokens = cost_tokens(engine, place, needed_tokens, uncached_tokens, slowness)
        tokens += rng.random() * MAX_JITTER_TOKENS
        if engine.in_turn and engine.place.region == place.region:
            tokens -= TURN_DISCOUNT_TOKENS
        return tokens - PREFERRED_DISCOUNT_TOKENS if engine.key == preferred else tokens

    return min(engines, key=cost)


def choose_backup(
    engines: Sequence[EngineCandidate],
    primary: EngineCandidate,
    needed_tokens: int,
    rng: random.Random,
    max_kv_share: float = math.inf,
) -> EngineCandidate | None:
    """Return the engine that keeps a copy of a run's KV cache.

    The engine is in another failure domain than the run, or at least on another VM
    if no usable engine is in another failure domain. With the copy it uses at most
    `max_kv_share` of its KV cache.
    """
    others = [
        engine
        for engine in engines
        if engine.key != primary.key
        and not (engine.avoided or engine.suspect)
        and engine.traffic_share > 0.0
        and engine.held_tokens + needed_tokens <= max_kv_share * engine.memory_tokens
    ]
    others = without_held_back(others)
    in_other_domain = [engine for engine in others if engine.place != primary.place]
    return choose_engine(in_other_domain or others, primary.place, needed_tokens, rng)
