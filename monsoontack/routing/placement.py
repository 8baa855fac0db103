"""Choice of the engine for a generation that entries place themselves.

What delays a generation is the prompt text that an engine reads before it and
during it, and the memory that runs hold, so all are counted in tokens. A run that
is placed at an engine delays each run there by its own prompt, so each counts as
one. Distance counts as tokens too: bytes between failure domains and regions are
paid. The copy of a run's memory goes to another failure domain, since engines of
one domain fall together.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from monsoontack.core.records import Place
from monsoontack.core.rendezvous import score, stable_hash

# Prompt tokens that one would rather wait for than leave the failure domain or
# the region. An engine reads 8 tokens per ms: 25 ms and 190 ms.
DOMAIN_TOKENS = 200
REGION_TOKENS = 1500
# An engine generates at a tenth of its speed while it reads: a run alone takes 3.9 s,
# one beside two prompts 6.9 s (users' bench, 1,100 streams). So a run counts as the
# prompt that would delay it, and as this many tokens for a short prompt, since every
# run slows the steps a little.
MIN_RUN_TOKENS = 500
# Held memory slows every step slightly; tokens waiting are the larger part.
HELD_WEIGHT = 0.02
# Spreads entries that see the same picture; a tenth of a usual prompt.
JITTER_TOKENS = 800
# The engine that all entries prefer for a prompt by its hash: a caller that comes
# back through another entry finds what has been read of its prompt.
PREFERRED_TOKENS = 2500
# Part of a prompt that an engine known to have got it has read and still keeps.
KNOWN_SHARE = 0.9
# A server that failed lately, and whose domain fell, is used when others are busy.
DOUBT_TOKENS = 20_000
# An engine whose memory would be filled above this share may preempt runs.
MEMORY_SHARE = 0.92
# A run beyond the slots waits for one to end, which takes seconds.
FULL_TOKENS = 100_000
# A server after a failure is used only if nothing else is left.
AVOID_TOKENS = 1_000_000


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """What an entry knows of one engine; `share` is 0 while it is ejected.

    `doubtful` engines failed lately and have not answered since.
    """

    key: str
    place: Place
    in_flight: int
    slots: int
    waiting_tokens: int
    held_tokens: int
    memory_tokens: int
    avoided: bool = False
    doubtful: bool = False
    share: float = 1.0


def cost_tokens(engine: EngineLoad, place: Place, need: int, to_read: float) -> float:
    """Return what a run of `need` tokens at an engine costs, in prompt tokens.

    `to_read` is the part of its prompt that the engine has to read.
    """
    cost = engine.waiting_tokens + HELD_WEIGHT * engine.held_tokens
    cost += to_read + engine.in_flight * max(to_read, MIN_RUN_TOKENS)
    if engine.place.region != place.region:
        cost += REGION_TOKENS
    elif engine.place != place:
        cost += DOMAIN_TOKENS
    if engine.in_flight >= engine.slots:
        cost += FULL_TOKENS
    if engine.held_tokens + need > MEMORY_SHARE * engine.memory_tokens:
        cost += FULL_TOKENS
    if engine.doubtful:
        cost += DOUBT_TOKENS
    if engine.avoided or engine.share <= 0.0:
        cost += AVOID_TOKENS
    return cost


@dataclass(frozen=True, slots=True)
class PromptAffinity:
    """Where a prompt may have been read already.

    `part` names the prompt's own part, `tokens` is the prompt's length. `known` is
    the engine that got it last.
    """

    part: str = ""
    tokens: int = 0
    known: str | None = None

    def preferred(self, engines: Sequence[EngineLoad]) -> str | None:
        """Return the engine that every entry prefers for the prompt."""
        if not self.part or not engines:
            return None
        return max(engines, key=lambda e: score(stable_hash(self.part), e.key)).key


NO_AFFINITY = PromptAffinity()


def choose_engine(
    engines: Sequence[EngineLoad],
    place: Place,
    need: int,
    rng: random.Random,
    affinity: PromptAffinity = NO_AFFINITY,
) -> EngineLoad | None:
    """Return the engine for a run of `need` tokens, None if there is none."""
    if not engines:
        return None
    sound = [e for e in engines if not e.avoided and not e.doubtful and e.share > 0]
    preferred = affinity.preferred(sound)

    def cost(engine: EngineLoad) -> float:
        is_known = engine.key == affinity.known
        to_read = affinity.tokens * (1.0 - KNOWN_SHARE if is_known else 1.0)
        tokens = cost_tokens(engine, place, need, to_read)
        tokens += rng.random() * JITTER_TOKENS
        return tokens - PREFERRED_TOKENS if engine.key == preferred else tokens

    return min(engines, key=cost)


def choose_backup(
    engines: Sequence[EngineLoad],
    runs_at: EngineLoad,
    need: int,
    rng: random.Random,
) -> EngineLoad | None:
    """Return the engine that keeps a copy of a run's memory.

    It stands in another failure domain than the run, or, without any such engine
    in use, at least on another VM.
    """
    others = [
        engine
        for engine in engines
        if engine.key != runs_at.key
        and not (engine.avoided or engine.doubtful)
        and engine.share > 0.0
    ]
    apart = [engine for engine in others if engine.place != runs_at.place]
    return choose_engine(apart or others, runs_at.place, need, rng)
