"""Measured speed of engines, by service and by start, without I/O.

Written for fleets in which a third of the engines takes 1.3 times as long for good, and
for engines that take 2.5 times as long for some 600 ms now and then. The former have to
get less work, the latter must not change what is known of an engine.

A gateway of a large fleet sees an engine's first event once in minutes, but more than a
hundred events of each stream. So an engine's speed is taken from its steps first, and
from its first events as far as there are enough. Both are compared with the service's
and drawn to it while there are few samples. All times are in seconds.
"""

import statistics
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from monsoontack.routing.placement import DEFAULT_PREFILL_S_PER_TOKEN, DEFAULT_STEP_S

# A window of this many events takes 0.4 s, so the packets in which events arrive matter
# little, and a slow spell of 600 ms affects one or two of the windows of a stream.
EVENTS_PER_WINDOW = 16
MAX_ENGINE_WINDOWS = 32
MAX_ENGINE_PROMPTS = 15
MAX_SERVICE_PROMPTS = 128
# The prefill of other prompts and slow spells lengthen some windows, nothing shortens
# them, so the lower quartile is close to the undisturbed step time.
STEP_QUANTILE = 0.25
# Samples that count as much as the service's value. One whole stream has 8 windows,
# which then decide two thirds.
PRIOR_WINDOWS = 4.0
# Time to the first event is noisier: prompts ahead are partly read, or others overtake.
PRIOR_PROMPTS = 8.0
PRIOR_SERVICE_PROMPTS = 4.0
# Below this many prompt tokens, connections and the network take most of the time.
MIN_PROMPT_TOKENS = 1000
# A prompt read this many times as fast as usual was in the engine's cache.
CACHED_PROMPT_FACTOR = 3.0
# After this many such prompts in a row the usual time is wrong.
MAX_CACHED_IN_ROW = 30
# An engine is compared with the others once this many engines have been measured.
MIN_COMPARED_ENGINES = 3
# Engines whose speeds differ by less count as equal. The load of an engine changes its
# step time by about as much.
EQUAL_SHARE = 0.1
# Bounds of an engine's time in relation to the service's.
MIN_FACTOR, MAX_FACTOR = 0.5, 4.0
# The service's step time is the median over its engines, so it is not computed for
# every placement.
REFRESH_S = 0.5
# Values of earlier starts are evicted above this number, oldest first.
MAX_ENGINES = 2000


@dataclass(slots=True, repr=False)
class EngineSamples:
    """Samples of one start of an engine: seconds a step and seconds a prompt token."""

    steps_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_ENGINE_WINDOWS)
    )
    prompts_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_ENGINE_PROMPTS)
    )

    def step_s(self) -> float:
        """Return the engine's step time without disturbances."""
        return quantile(self.steps_s, STEP_QUANTILE)


@dataclass(slots=True, repr=False)
class ServiceSpeeds:
    """Speeds of the engines of one service; engines are named by their start."""

    engines: dict[str, EngineSamples] = field(default_factory=dict)
    prompts_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_SERVICE_PROMPTS)
    )
    cached_in_row: int = 0
    prefill_s_per_token: float = DEFAULT_PREFILL_S_PER_TOKEN
    step_s: float = DEFAULT_STEP_S
    factors: dict[str, float] = field(default_factory=dict)
    refreshed_at: float = float("-inf")

    def note_steps(self, start_key: str, step_s: float) -> None:
        """Record the mean step time of a window of events."""
        if step_s > 0:
            self._samples(start_key).steps_s.append(step_s)

    def note_first_event(self, start_key: str, tokens: float, took_s: float) -> None:
        """Record the time to a first event.

        `tokens` are the prompt tokens that the engine had to read before, those of runs
        ahead that it had not read yet included.
        """
        if tokens < MIN_PROMPT_TOKENS or took_s <= 0:
            return
        sample_s = took_s / tokens
        if sample_s < self.prefill_s_per_token / CACHED_PROMPT_FACTOR:
            self.cached_in_row += 1
            if self.cached_in_row <= MAX_CACHED_IN_ROW:
                return
        else:
            self.cached_in_row = 0
        self.prompts_s.append(sample_s)
        self._samples(start_key).prompts_s.append(sample_s)
        count = len(self.prompts_s)
        self.prefill_s_per_token = _shrunk(
            statistics.median(self.prompts_s),
            DEFAULT_PREFILL_S_PER_TOKEN,
            count / (count + PRIOR_SERVICE_PROMPTS),
        )

    def forget(self, start_key: str) -> None:
        """Forget an engine, which has ended."""
        self.engines.pop(start_key, None)
        self.factors.pop(start_key, None)

    def refresh(self, now: float) -> None:
        """Compare the engines, unless that was done a moment ago."""
        if now < self.refreshed_at + REFRESH_S:
            return
        self.refreshed_at = now
        steps_s = {k: e.step_s() for k, e in self.engines.items() if e.steps_s}
        if steps_s:
            self.step_s = statistics.median(steps_s.values())
        compares_steps = len(steps_s) >= MIN_COMPARED_ENGINES
        read = sum(bool(e.prompts_s) for e in self.engines.values())
        compares_prompts = read >= MIN_COMPARED_ENGINES
        usual_s = statistics.median(self.prompts_s) if self.prompts_s else 1.0
        self.factors = {}
        for key, engine in self.engines.items():
            factor = 1.0
            if compares_steps and key in steps_s:
                weight = len(engine.steps_s) / (len(engine.steps_s) + PRIOR_WINDOWS)
                factor = _shrunk(steps_s[key] / self.step_s, 1.0, weight)
            if compares_prompts and engine.prompts_s:
                count = len(engine.prompts_s)
                ratio = statistics.median(engine.prompts_s) / usual_s
                factor = _shrunk(ratio, factor, count / (count + PRIOR_PROMPTS))
            if abs(factor - 1.0) > EQUAL_SHARE:
                self.factors[key] = min(max(factor, MIN_FACTOR), MAX_FACTOR)

    def factor(self, start_key: str) -> float:
        """Return an engine's time for the same work in relation to the service's."""
        return self.factors.get(start_key, 1.0)

    def _samples(self, start_key: str) -> EngineSamples:
        samples = self.engines.get(start_key)
        if samples is None:
            samples = self.engines[start_key] = EngineSamples()
            if len(self.engines) > MAX_ENGINES:
                self.forget(next(iter(self.engines)))
        return samples


@dataclass(slots=True, repr=False)
class EngineSpeeds:
    """Speeds of all engines that one gateway uses, by service."""

    services: dict[str, ServiceSpeeds] = field(default_factory=dict)

    def of_service(self, service: str, now: float) -> ServiceSpeeds:
        """Return the speeds of a service's engines, compared a moment ago at most."""
        speeds = self.services.get(service)
        if speeds is None:
            speeds = self.services[service] = ServiceSpeeds()
        speeds.refresh(now)
        return speeds

    def state(self) -> dict[str, dict]:
        """Return what was measured, for the state dump."""
        return {
            service: {
                "prefill_s_per_token": round(speeds.prefill_s_per_token, 7),
                "step_s": round(speeds.step_s, 5),
                "engines_measured": len(speeds.engines),
                "unequal_engines": {
                    key: round(factor, 2) for key, factor in speeds.factors.items()
                },
            }
            for service, speeds in self.services.items()
        }


@dataclass(slots=True, repr=False)
class StepWindow:
    """Measures the steps of one answer in windows of events."""

    began_at: float | None = None
    first_count: int = 0

    def note(self, count: int, id_step: int, now: float) -> float | None:
        """Return the mean step time once a window is full, else None.

        `count` is the number of events so far, `id_step` the difference of their ids,
        which is the number of steps if ids count tokens.
        """
        if self.began_at is None:
            self.began_at, self.first_count = now, count
        events = count - self.first_count
        if events < EVENTS_PER_WINDOW:
            return None
        step_s = (now - self.began_at) / events / max(id_step, 1)
        self.began_at, self.first_count = now, count
        return step_s


def _shrunk(value: float, prior: float, weight: float) -> float:
    return prior + weight * (value - prior)


def quantile(values: Iterable[float], share: float) -> float:
    """Return the value below which a share of the values lies; they are not empty."""
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))]
