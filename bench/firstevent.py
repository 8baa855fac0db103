"""Streams that wait for their first event in a burst, with two rules.

56 engines with 16 slots read one prompt after the other, the most urgent first, at 8
tokens per ms, every third one 1.3 times slower. 16.5 streams a second of priority 2
burst to 3.5 times that for 5 s, twice, beside 1.37 of priority 0. In `hung`, one engine
hangs at any time. `earlier` leaves an engine 2 x expected + 1 s after the start,
`present` that time after the last prompt that the engine has read, or if the stream
begins sooner elsewhere. Gateways know the loads with a delay.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from bench.registry import Figure, measurement
from monsoontack.core.records import Place
from monsoontack.generation.firstevent import (
    FirstEventWait,
    begins_sooner,
    tokens_ahead_of_late,
)
from monsoontack.generation.streamtimeouts import StreamTimeouts
from monsoontack.routing.placement import (
    EngineCandidate,
    choose_engine,
    expected_first_event_s,
    slot_wait_s,
)

ENGINES, SLOTS, TOKENS_PER_S = 56, 16, 8000.0
SLOW_INTERVAL, SLOW_FACTOR = 3, 1.3
URGENT_PER_S, OTHERS_PER_S = 1.37, 16.5
BURST_FACTOR, BURSTS = 3.5, ((5.0, 10.0), (18.0, 23.0))
OBJECTIVES_S = {0: 4.0, 2: 10.0}
RUN_S, HUNG_S, DEADLINE_S, MAX_ATTEMPTS = 5.0, 5.0, 25.0, 5
LENGTH_S, TICK_S, VIEW_DELAY_S, CHECK_S = 30.0, 0.05, 0.25, 0.5
PLACES = tuple(Place(f"d{n}", "north" if n < 3 else "south") for n in range(6))


@dataclass(slots=True)
class ModelStream:
    """One stream; `unread` are the prompt tokens that its engine has not read yet."""

    priority: int
    tokens: int
    arrived_at: float
    engine: int = -1
    unread: float = 0.0
    tokens_ahead: int = 0
    wait: FirstEventWait | None = None
    check_at: float = 0.0
    attempts: int = 0
    first_at: float | None = None


@dataclass(slots=True)
class ModelEngine:
    """An engine with streams that wait, and the ends of those that run."""

    slowness: float
    waiting: list[ModelStream] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)
    read_at: list[float] = field(default_factory=list)
    hung_until: float = 0.0


class WaitModel:
    """Model in ticks; `is_present` selects the rule, `with_hung` lets engines hang."""

    def __init__(self, seed: int, is_present: bool, with_hung: bool) -> None:
        self.rng, self.arrivals = random.Random(seed), random.Random(seed + 1)
        self.is_present, self.with_hung = is_present, with_hung
        self.now = 0.0
        self.engines = [
            ModelEngine(SLOW_FACTOR if n % SLOW_INTERVAL == 0 else 1.0)
            for n in range(ENGINES)
        ]
        self.timeouts = StreamTimeouts()
        self.streams: list[ModelStream] = []
        self.wasted_tokens = 0.0
        self.view: list[tuple[float, list[EngineCandidate]]] = []

    def run(self) -> None:
        """Simulate all streams until their deadlines."""
        while self.now < LENGTH_S + DEADLINE_S:
            self.now += TICK_S
            self._look()
            if self.with_hung and self.now % HUNG_S < TICK_S:
                hung = self.rng.randrange(ENGINES)
                self.engines[hung].hung_until = self.now + HUNG_S
            for engine in self.engines:
                self._read(engine)
            if self.now < LENGTH_S:
                self._arrive()
            for engine in self.engines:
                for stream in list(engine.waiting):
                    self._check(stream)

    def _arrive(self) -> None:
        in_burst = any(begin <= self.now < end for begin, end in BURSTS)
        factor = BURST_FACTOR if in_burst else 1.0
        for priority, per_s in ((0, URGENT_PER_S), (2, OTHERS_PER_S * factor)):
            # Several streams may arrive within a tick in a burst.
            due_s = self.arrivals.expovariate(per_s)
            while due_s < TICK_S:
                tokens = int(min(max(self.arrivals.gauss(8000, 2500), 1000), 14_400))
                stream = ModelStream(priority, tokens, self.now)
                self.streams.append(stream)
                self._place(stream, set())
                due_s += self.arrivals.expovariate(per_s)

    def _look(self) -> None:
        loads = [
            EngineCandidate(
                str(n),
                PLACES[n % len(PLACES)],
                len(e.waiting) + len(e.ends),
                SLOTS,
                sum(s.tokens for s in e.waiting),
                0,
                10**9,
                prefill_s_per_token=e.slowness / TOKENS_PER_S,
            )
            for n, e in enumerate(self.engines)
        ]
        self.view.append((self.now, loads))
        while len(self.view) > 1 and self.view[1][0] <= self.now - VIEW_DELAY_S:
            self.view.pop(0)

    def _choose(self, stream: ModelStream, excluded: set[int]) -> EngineCandidate:
        loads = [e for n, e in enumerate(self.view[0][1]) if n not in excluded]
        place = self.rng.choice(PLACES)
        return choose_engine(loads, place, stream.tokens, self.rng)

    def _place(self, stream: ModelStream, excluded: set[int]) -> None:
        chosen = self._choose(stream, excluded)
        number = int(chosen.key)
        engine = self.engines[number]
        stream.engine, stream.unread = number, stream.tokens
        stream.tokens_ahead = chosen.waiting_tokens
        limit_s = self.timeouts.first_event_limit_s(
            chosen.waiting_tokens + stream.tokens,
            slot_wait_s(chosen) if self.is_present else 0.0,
        )
        stream.wait = FirstEventWait(self.now, limit_s)
        stream.attempts += 1
        engine.waiting.append(stream)

    def _read(self, engine: ModelEngine) -> None:
        engine.ends = [end for end in engine.ends if end > self.now]
        if self.now < engine.hung_until:
            engine.ends = [end + TICK_S for end in engine.ends]
            return
        left = TICK_S * TOKENS_PER_S / engine.slowness
        while left > 0 and engine.waiting and len(engine.ends) < SLOTS:
            # The prompt that is being read is finished first.
            stream = min(
                engine.waiting,
                key=lambda s: (s.unread == s.tokens, s.priority, s.wait.sent_at),
            )
            read = min(left, stream.unread)
            stream.unread -= read
            left -= read
            if stream.unread > 0:
                continue
            engine.waiting.remove(stream)
            engine.ends.append(self.now + RUN_S)
            stream.first_at = self.now
            engine.read_at.append(self.now)
            tokens = stream.tokens + stream.tokens_ahead
            self.timeouts.note_first_event(tokens, self.now - stream.wait.sent_at)

    def _check(self, stream: ModelStream) -> None:
        engine, now = self.engines[stream.engine], self.now
        if now - stream.arrived_at > DEADLINE_S:
            self._leave(stream)
            return
        if stream.attempts >= MAX_ATTEMPTS or now < stream.check_at:
            return
        known = [at for at in engine.read_at if at <= now - VIEW_DELAY_S]
        read_at = known[-1] if known and self.is_present else 0.0
        if stream.wait.is_overdue(read_at, now):
            self._move(stream)
        elif self.is_present and stream.wait.is_late(now):
            stream.check_at = now + CHECK_S
            if self._begins_sooner(stream):
                self._move(stream)

    def _begins_sooner(self, stream: ModelStream) -> bool:
        here = self.view[0][1][stream.engine]
        chosen = self._choose(stream, {stream.engine})
        here = replace(
            here,
            waiting_tokens=tokens_ahead_of_late(here.waiting_tokens - stream.tokens),
            in_flight=here.in_flight - 1,
        )
        return chosen.has_free_slot and begins_sooner(
            expected_first_event_s(here, stream.tokens),
            expected_first_event_s(chosen, stream.tokens),
            stream.tokens * chosen.prefill_s_per_token,
        )

    def _move(self, stream: ModelStream) -> None:
        left = stream.engine
        self._leave(stream)
        self._place(stream, {left})

    def _leave(self, stream: ModelStream) -> None:
        self.wasted_tokens += stream.tokens - stream.unread
        self.engines[stream.engine].waiting.remove(stream)


@measurement("firstevent")
def measure(seed: int) -> Iterator[Figure]:
    """Compare the rules without and with engines that hang."""
    for load, with_hung in (("burst", False), ("hung", True)):
        for rule, is_present in (("earlier", False), ("present", True)):
            model = WaitModel(seed, is_present, with_hung)
            model.run()
            name = f"firstevent.{load}.{rule}"
            for priority, objective_s in OBJECTIVES_S.items():
                waits = [
                    (s.first_at or 1e9) - s.arrived_at
                    for s in model.streams
                    if s.priority == priority
                ]
                late = sum(wait > objective_s for wait in waits) / len(waits)
                yield Figure(f"{name}.late.priority{priority}", late, "share")
            repeats = sum(s.attempts - 1 for s in model.streams) / len(model.streams)
            yield Figure(f"{name}.repeats", repeats, "per stream")
            read = sum(s.tokens for s in model.streams)
            yield Figure(f"{name}.read_in_vain", model.wasted_tokens / read, "share")
