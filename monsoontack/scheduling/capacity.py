"""Which engines can begin a request now, and how long a new request would wait.

Written for bursts in which engines preempted 238 of 1,600 requests and urgent prompts
waited behind several less urgent ones. The usage of the engines includes that of peers,
which is up to 0.3 s old.
"""

import math
from dataclasses import dataclass, field, replace

from monsoontack.routing.placement import (
    MAX_KV_CACHE_SHARE,
    EngineCandidate,
    without_held_back,
)
from monsoontack.scheduling.urgency import WaitingRequest

# Unread tokens that a less urgent request may have at its engine, its own prompt
# included, unless its prompt is longer: one usual prompt, so that an urgent stream that
# arrives later is delayed by one prompt at most.
MAX_UNREAD_TOKENS = 8_000
# Unread tokens that will be read within this time do not count, since the request takes
# about this long to arrive, waiting for a wake-up included.
ARRIVAL_S = 0.05
# Load reports arrive within 0.3 s. After a longer pause between two looks at an engine,
# its unread tokens may belong to other prompts than before.
MAX_LOOK_INTERVAL_S = 0.3
# Shares of an engine's KV cache up to which it takes less urgent requests and the most
# urgent ones. With 88,000 tokens and 9,000 a request, the first is eight requests and
# the second nine; with 0.92 for the most urgent, the reserve was too small for one.
KV_SHARE = MAX_KV_CACHE_SHARE - 0.1
MOST_URGENT_KV_SHARE = 1.0
# Time from the end of a prompt's prefill to its first event: several decoding steps.
FIRST_EVENT_S = 0.1
# A most urgent request is sent to a full engine, where it preempts a less urgent one,
# once less than this share of the time to its objective is left. Up to then the wait
# costs nothing; with 0.6, the latest urgent stream of a burst began after 3.9 of 4 s.
PREEMPTION_SHARE = 7 / 8
# Time constant of the measured begin rate, and the weight of the predicted rate in
# seconds of measurement.
RATE_DECAY_S = 4.0
PREDICTION_WEIGHT_S = 1.0


@dataclass(slots=True, repr=False)
class ReadProgress:
    """Prompt tokens that an engine has read although no first event shows it yet.

    The tokens of a prompt count as unread until its first event is reported, up to
    0.3 s after it. An engine reads 2,400 tokens in that time, so without this estimate
    it would be idle for a fifth of the time. The estimate is bounded by one prompt: an
    engine that has stopped gets one more prompt at most.
    """

    tokens: int = 0
    read_tokens: float = 0.0
    looked_at: float = -math.inf

    def unread(self, tokens: int, rate: float, now: float) -> float:
        """Return the tokens that are really unread.

        `tokens` have no first event by the latest reports, `rate` is the prefill rate
        in tokens per second.
        """
        elapsed_s = now - self.looked_at
        if elapsed_s > MAX_LOOK_INTERVAL_S:
            self.read_tokens = 0.0
        else:
            read = self.read_tokens + rate * elapsed_s
            self.read_tokens = min(read, self.tokens, MAX_UNREAD_TOKENS)
        if tokens < self.tokens:
            self.read_tokens = max(self.read_tokens - (self.tokens - tokens), 0.0)
        self.tokens, self.looked_at = tokens, now
        return max(tokens - self.read_tokens, 0.0)


@dataclass(slots=True, repr=False)
class EngineRoom:
    """Room at one engine, with what has been placed there since the last look.

    `unread` is the number of prompt tokens that it has yet to read.
    """

    engine: EngineCandidate
    unread: float
    in_flight: int = field(init=False)
    held_tokens: int = field(init=False)
    placed: int = 0

    def __post_init__(self) -> None:
        """Begin with the known runs."""
        self.in_flight = self.engine.in_flight
        self.held_tokens = self.engine.held_tokens

    @property
    def rate(self) -> float:
        """Return the engine's prefill rate in tokens per second."""
        return 1 / self.engine.prefill_s_per_token

    def own_tokens(self, request: WaitingRequest) -> int:
        """Return the tokens of the request's prompt that this engine has to read."""
        is_cached = request.cached_at == self.engine.key
        return 0 if is_cached else request.prompt_tokens

    def add(self, request: WaitingRequest) -> None:
        """Count a request that was placed at the engine."""
        self.in_flight += 1
        self.placed += 1
        self.unread += self.own_tokens(request)
        self.held_tokens += request.needed_tokens

    def has_space(self, request: WaitingRequest, is_most_urgent: bool) -> bool:
        """Whether a slot and KV cache for the whole request are free.

        An engine that has just started or recovered takes as many as its pace allows.
        """
        pace_room = self.engine.pace_room
        if pace_room is not None and self.placed >= pace_room:
            return False
        share = MOST_URGENT_KV_SHARE if is_most_urgent else KV_SHARE
        kv_limit = share * self.engine.memory_tokens
        # An engine without runs takes any request that fits at all.
        has_kv = self.held_tokens + request.needed_tokens <= kv_limit
        return self.in_flight < self.engine.slots and (has_kv or not self.in_flight)

    def can_begin(
        self, request: WaitingRequest, is_most_urgent: bool, now: float
    ) -> bool:
        """Whether the engine can begin a request now.

        The unread tokens of a request of the service's most urgent priority are limited
        only by its objective.
        """
        own = self.own_tokens(request)
        if is_most_urgent:
            left_s = request.objective_at - now
            total_s = request.objective_at - request.arrived_at
            first_s = (self.unread + own) / self.rate + FIRST_EVENT_S
            if first_s > left_s and self.unread > MAX_UNREAD_TOKENS:
                return False
            is_at_risk = left_s < PREEMPTION_SHARE * total_s
            return is_at_risk or self.has_space(request, is_most_urgent=True)
        limit = max(MAX_UNREAD_TOKENS, own) + self.rate * ARRIVAL_S
        return self.unread + own <= limit and self.has_space(request, False)


@dataclass(slots=True, repr=False)
class BeginRate:
    """Measured rate at which this entry's waiting prompts begin, in tokens per second.

    Only time in which requests waited counts. The measure decays over `RATE_DECAY_S`
    seconds.
    """

    tokens: float = 0.0
    waited_s: float = 0.0
    updated_at: float = 0.0

    def note(self, now: float, begun_tokens: int, had_waiting: bool) -> None:
        """Record the prompt tokens begun since the last call.

        `had_waiting` states whether requests waited during that time.
        """
        elapsed_s = now - self.updated_at
        self.updated_at = now
        decay = math.exp(-elapsed_s / RATE_DECAY_S)
        self.tokens *= decay
        self.waited_s *= decay
        if had_waiting:
            self.tokens += begun_tokens
            self.waited_s += elapsed_s

    def tokens_per_s(self, predicted: float) -> float:
        """Return the rate; `predicted` is the rate that the engines should allow."""
        tokens = self.tokens + predicted * PREDICTION_WEIGHT_S
        return max(tokens / (self.waited_s + PREDICTION_WEIGHT_S), 1.0)


def with_unheard_peers(
    engines: dict[str, EngineCandidate], gateways: int
) -> dict[str, EngineCandidate]:
    """Return the engines with the usage multiplied by the number of gateways.

    A gateway that hears no peer assumes that each of them sends as much as it does.
    """
    if gateways == 1:
        return engines
    return {
        key: replace(
            engine,
            in_flight=engine.in_flight * gateways,
            waiting_tokens=engine.waiting_tokens * gateways,
            held_tokens=engine.held_tokens * gateways,
        )
        for key, engine in engines.items()
    }


def usable_engines(engines: dict[str, EngineCandidate]) -> list[EngineCandidate]:
    """Return the engines that may get new requests, all if none is sound."""
    sound = [
        engine
        for engine in engines.values()
        if not engine.avoided and not engine.suspect and engine.traffic_share > 0
    ]
    return list(without_held_back(sound or list(engines.values())))


def read_time_s(tokens: int, rate: float) -> float:
    """Return the time from the start of a prompt at an idle engine to its first event.

    `rate` is the prefill rate in tokens per second.
    """
    return tokens / rate + FIRST_EVENT_S
