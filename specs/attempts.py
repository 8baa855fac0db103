"""Model of the attempts of one generation with late, lost and misdirected chunks.

Checks properties P1, P2 and P4 of docs/design.md on the production `AttemptLog`.
An answer has 4 tokens. Up to 3 attempts run, each on an engine that continues
from the prefix it was given. An engine keeps producing after a newer attempt has
begun, as a paused engine does when it resumes. A chunk holds 1 or 2 tokens;
chunks in flight arrive in any order, repeatedly or never. Chunks of another
generation arrive at any time, with any attempt and position. An attempt that
attaches to the agent's log replays the tokens of a former attempt under its own
number, from any position up to the end of the prefix.

Bounds: 4 tokens, 3 attempts and 2 chunks in flight give 60,000 states; the state
space is finite and searched completely. `UNDER_WAY=3 python -m specs.attempts`
searches it with 3 chunks in flight (601,000 states). A token encodes its
generation, attempt and position, so the properties detect a wrong one.
"""

import os

from minicheck import Protocol, check_safety

from monsoontack.core.records import TokenChunk
from monsoontack.generation.attempts import AttemptLog

ANSWER_TOKENS = 4
MAX_ATTEMPTS = 3
MAX_CHUNKS_UNDER_WAY = int(os.environ.get("UNDER_WAY", "2"))
OWN_GENERATION, OTHER_GENERATION = "g0", "g1"
FIELDS = ("prefix", "sources", "produced", "under_way")


class NoAttemptCheck(AttemptLog):
    """Broken variant: accepts chunks of former attempts."""

    def _refusal(self, chunk: TokenChunk) -> str:
        reason = super()._refusal(chunk)
        return "" if reason == "other_attempt" else reason


class NoGapCheck(AttemptLog):
    """Broken variant: accepts chunks that leave a gap."""

    def _refusal(self, chunk: TokenChunk) -> str:
        reason = super()._refusal(chunk)
        return "" if reason == "gap" else reason


class NoGenerationCheck(AttemptLog):
    """Broken variant: accepts chunks of another generation."""

    def _refusal(self, chunk: TokenChunk) -> str:
        reason = super()._refusal(chunk)
        return "" if reason == "other_generation" else reason


def make_token(generation: str, source: int, position: int) -> int:
    """Return a token that encodes its generation, source attempt and position."""
    return (100 if generation == OTHER_GENERATION else 0) + 10 * source + position


def make_chunk(generation: str, attempt: int, source: int, first: int, length: int):
    """Return a chunk sent under `attempt` with the tokens of attempt `source`."""
    end = min(first + length, ANSWER_TOKENS)
    tokens = tuple(
        make_token(generation, source, position) for position in range(first, end)
    )
    finish = "stop" if end == ANSWER_TOKENS else ""
    return TokenChunk(generation, attempt, first, tokens, ("",) * len(tokens), finish)


def prefix_after_chunk(
    log_type: type[AttemptLog], prefix: tuple, attempt: int, chunk
) -> tuple:
    """Return the prefix of the answer after the log has processed the chunk."""
    log = log_type(
        OWN_GENERATION, "v1", attempt, tokens=list(prefix), texts=[""] * len(prefix)
    )
    if len(prefix) == ANSWER_TOKENS:
        log.finish = "stop"
    log.accept(chunk)
    return tuple(log.tokens)


def _attempt_starts(state: tuple) -> list:
    """Return the successors in which a new attempt begins.

    The attempt starts on another engine, or attaches to the agent's log of the
    latest engine.
    """
    prefix, sources, produced, under_way = state
    if len(sources) == MAX_ATTEMPTS or len(prefix) == ANSWER_TOKENS:
        return []
    attempt = len(sources) + 1
    start = (*sources, (attempt, len(prefix)))
    successors = [
        (f"start {attempt}", (prefix, start, (*produced, len(prefix)), under_way))
    ]
    if sources:
        source, _ = sources[-1]
        for first in range(sources[-1][1], len(prefix) + 1):
            attached = (*sources, (source, first))
            label = f"attach {attempt} from {first}"
            successors.append(
                (label, (prefix, attached, (*produced, first), under_way))
            )
    return successors


def _chunk_sends(state: tuple) -> list:
    """Return the successors in which an attempt's engine or log sends a chunk."""
    prefix, sources, produced, under_way = state
    successors = []
    if len(under_way) == MAX_CHUNKS_UNDER_WAY:
        return successors
    for index, (source, _) in enumerate(sources):
        first = produced[index]
        for length in (1, 2):
            if first + length > ANSWER_TOKENS:
                continue
            sent = (index + 1, source, first, length)
            done = (*produced[:index], first + length, *produced[index + 1 :])
            label = f"produce {index + 1} at {first}"
            successors.append((label, (prefix, sources, done, under_way | {sent})))
    return successors


def _chunk_arrivals(state: tuple, log_type: type[AttemptLog]) -> list:
    """Return the successors in which a chunk arrives or is lost."""
    prefix, sources, produced, under_way = state
    attempt = len(sources)
    successors = []
    for sent in sorted(under_way):
        chunk = make_chunk(OWN_GENERATION, *sent)
        after = prefix_after_chunk(log_type, prefix, attempt, chunk)
        kept = (after, sources, produced, under_way)
        successors.append((f"arrive {sent}", kept))
        lost = (prefix, sources, produced, under_way - {sent})
        successors.append((f"lose {sent}", lost))
    for other in range(1, MAX_ATTEMPTS + 1):
        for first in range(ANSWER_TOKENS):
            chunk = make_chunk(OTHER_GENERATION, other, other, first, 1)
            after = prefix_after_chunk(log_type, prefix, attempt, chunk)
            crossed = (after, sources, produced, under_way)
            successors.append((f"crossed {other} at {first}", crossed))
    return successors


def p1_no_gap_or_repeat(state: dict) -> bool:
    """P1: the token at each position was produced for that position."""
    return [token % 10 for token in state["prefix"]] == list(
        range(len(state["prefix"]))
    )


def p2_not_mixed(state: dict) -> bool:
    """P2: each token continues the prefix that its engine was given.

    An engine is given the answer up to its start position. Adjacent tokens may
    therefore come from different engines only at the start of the later engine.
    """
    prefix, starts = state["prefix"], {}
    for source, start in state["sources"]:
        starts.setdefault(source, start)
    engines = [token % 100 // 10 for token in prefix]
    changes = zip(engines, engines[1:], range(1, len(prefix)), strict=False)
    return all(
        a == b or (a < b and starts.get(b) == position) for a, b, position in changes
    )


def p4_own_answer(state: dict) -> bool:
    """P4: no token belongs to another generation."""
    return all(token < 100 for token in state["prefix"])


def attempts_model(log_type: type[AttemptLog] = AttemptLog) -> Protocol:
    """Return the model that checks `log_type`, the production log or a variant."""

    def transitions(state: tuple) -> list:
        successors = (
            _attempt_starts(state)
            + _chunk_sends(state)
            + _chunk_arrivals(state, log_type)
        )
        return [(label, after) for label, after in successors if after != state]

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
