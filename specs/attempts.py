"""Model of the attempts of one generation, with late and crossed chunks.

Checks P1, P2 and P4 of docs/design.md on the product's own `AttemptLog`. An
answer has 4 tokens; up to 3 attempts run, each on an engine that continues from
the prefix it was given and goes on after a newer attempt began, as a paused
engine does. Chunks hold 1 or 2 tokens; up to 3 of them are under way and arrive
in any order, repeatedly or never. Chunks of another generation with any attempt
and position arrive at any time. An attach to the agent's log replays a former
attempt's tokens under the new attempt from any position up to the prefix.

Bound: 4 tokens, 3 attempts, 2 chunks under way (60,000 states); the state space
is finite and searched whole. `UNDER_WAY=3 python -m specs.attempts` searches 3
chunks under way (601,000 states). Tokens are numbered by generation, attempt
and position, so a wrong one is seen.
"""

import os

from minicheck import Protocol, check_safety

from monsoontack.core.records import TokenChunk
from monsoontack.generation.attempts import AttemptLog

LENGTH = 4
ATTEMPTS = 3
UNDER_WAY = int(os.environ.get("UNDER_WAY", "2"))
OWN, OTHER = "g0", "g1"
FIELDS = ("prefix", "sources", "produced", "under_way")


class NoAttemptCheck(AttemptLog):
    """Broken variant: takes chunks of former attempts."""

    def _refusal(self, chunk: TokenChunk) -> str:
        reason = super()._refusal(chunk)
        return "" if reason == "other_attempt" else reason


class NoGapCheck(AttemptLog):
    """Broken variant: takes chunks that leave a gap."""

    def _refusal(self, chunk: TokenChunk) -> str:
        reason = super()._refusal(chunk)
        return "" if reason == "gap" else reason


class NoGenerationCheck(AttemptLog):
    """Broken variant: takes chunks of another generation."""

    def _refusal(self, chunk: TokenChunk) -> str:
        reason = super()._refusal(chunk)
        return "" if reason == "other_generation" else reason


def token(generation: str, source: int, position: int) -> int:
    """Return a token that shows where it was produced."""
    return (100 if generation == OTHER else 0) + 10 * source + position


def chunk_of(generation: str, attempt: int, source: int, first: int, length: int):
    """Return a chunk sent under `attempt` with the tokens of attempt `source`."""
    end = min(first + length, LENGTH)
    tokens = tuple(token(generation, source, p) for p in range(first, end))
    finish = "stop" if end == LENGTH else ""
    return TokenChunk(generation, attempt, first, tokens, ("",) * len(tokens), finish)


def accept(log_type: type[AttemptLog], prefix: tuple, attempt: int, chunk) -> tuple:
    """Return the prefix after the log has taken the chunk."""
    log = log_type(OWN, "v1", attempt, tokens=list(prefix), texts=[""] * len(prefix))
    if len(prefix) == LENGTH:
        log.finish = "stop"
    log.accept(chunk)
    return tuple(log.tokens)


def _attempts(state: tuple) -> list:
    """Start a new attempt on another engine, or attach to the agent's log."""
    prefix, sources, produced, under_way = state
    if len(sources) == ATTEMPTS or len(prefix) == LENGTH:
        return []
    attempt = len(sources) + 1
    start = (*sources, (attempt, len(prefix)))
    found = [(f"start {attempt}", (prefix, start, (*produced, len(prefix)), under_way))]
    if sources:
        source, _ = sources[-1]
        for first in range(sources[-1][1], len(prefix) + 1):
            attached = (*sources, (source, first))
            label = f"attach {attempt} from {first}"
            found.append((label, (prefix, attached, (*produced, first), under_way)))
    return found


def _productions(state: tuple) -> list:
    """Let the engine or log of any attempt send its next chunk."""
    prefix, sources, produced, under_way = state
    found = []
    if len(under_way) == UNDER_WAY:
        return found
    for index, (source, _) in enumerate(sources):
        first = produced[index]
        for length in (1, 2):
            if first + length > LENGTH:
                continue
            sent = (index + 1, source, first, length)
            done = (*produced[:index], first + length, *produced[index + 1 :])
            label = f"produce {index + 1} at {first}"
            found.append((label, (prefix, sources, done, under_way | {sent})))
    return found


def _arrivals(state: tuple, log_type: type[AttemptLog]) -> list:
    prefix, sources, produced, under_way = state
    attempt = len(sources)
    found = []
    for sent in sorted(under_way):
        chunk = chunk_of(OWN, *sent)
        after = accept(log_type, prefix, attempt, chunk)
        kept = (after, sources, produced, under_way)
        found.append((f"arrive {sent}", kept))
        lost = (prefix, sources, produced, under_way - {sent})
        found.append((f"lose {sent}", lost))
    for other in range(1, ATTEMPTS + 1):
        for first in range(LENGTH):
            chunk = chunk_of(OTHER, other, other, first, 1)
            after = accept(log_type, prefix, attempt, chunk)
            crossed = (after, sources, produced, under_way)
            found.append((f"crossed {other} at {first}", crossed))
    return found


def p1_no_gap_or_repeat(state: dict) -> bool:
    """P1: the token at each position was produced for that position."""
    return [t % 10 for t in state["prefix"]] == list(range(len(state["prefix"])))


def p2_not_mixed(state: dict) -> bool:
    """P2: each token continues the prefix that its engine was given.

    An engine was given the answer up to its start, so the answer may change
    from one engine to another only where the later one started.
    """
    prefix, starts = state["prefix"], {}
    for source, start in state["sources"]:
        starts.setdefault(source, start)
    engines = [t % 100 // 10 for t in prefix]
    changes = zip(engines, engines[1:], range(1, len(prefix)), strict=False)
    return all(a == b or (a < b and starts.get(b) == p) for a, b, p in changes)


def p4_own_answer(state: dict) -> bool:
    """P4: no token belongs to another generation."""
    return all(t < 100 for t in state["prefix"])


def attempts_model(log_type: type[AttemptLog] = AttemptLog) -> Protocol:
    """Return the model over a type of log."""

    def transitions(state: tuple) -> list:
        found = _attempts(state) + _productions(state) + _arrivals(state, log_type)
        return [(label, after) for label, after in found if after != state]

    return Protocol(
        name="attempts",
        candidate=False,
        fields=FIELDS,
        initial=((), (), (), frozenset()),
        transitions=transitions,
        invariants={
            "P1": p1_no_gap_or_repeat,
            "P2": p2_not_mixed,
            "P4": p4_own_answer,
        },
    )


if __name__ == "__main__":
    print(check_safety(attempts_model(), max_states=2_000_000))
