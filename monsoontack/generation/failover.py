"""Failover decision for a stream whose engine has failed, without I/O.

A run whose KV cache was copied to another engine resumes there, and that engine
processes only the tokens that the copy lacks. Without a copy, any engine may
process the prompt again.
"""

from dataclasses import dataclass
from enum import StrEnum

# Processing a prompt again takes about a second. With less time left, a restart
# only adds load to the engines.
MIN_RESTART_S = 0.8
MIN_RESUME_S = 0.1


class NextStep(StrEnum):
    """Outcome of the failover decision."""

    RESUME_COPY = "resume_copy"
    RESTART = "restart"
    END = "end"


class EndCause(StrEnum):
    """Why a stream does not go on after a failed attempt."""

    ATTEMPTS = "attempts"
    NOT_REPEATABLE = "not_repeatable"
    TIME = "time"
    PROMPT = "prompt"
    BUDGET = "budget"


@dataclass(frozen=True, slots=True)
class FailoverInput:
    """Input of the failover decision after an attempt of a stream has failed.

    `has_kv_copy` is true if an engine that is still in use holds a copy of the run's
    KV cache, `resumable` if the stream may run again, and `known_not_run` if no
    attempt can have run. `attempts_left` is the number of further engines to
    which the stream may be sent, `left_s` the time until its deadline.
    """

    has_kv_copy: bool
    resumable: bool
    known_not_run: bool
    attempts_left: int
    left_s: float


def end_cause(loss: FailoverInput) -> EndCause | None:
    """Return why a stream cannot go on after a failed attempt, None if it can."""
    if loss.attempts_left <= 0:
        return EndCause.ATTEMPTS
    if not loss.resumable and not loss.known_not_run:
        return EndCause.NOT_REPEATABLE
    needed_s = MIN_RESUME_S if loss.has_kv_copy else MIN_RESTART_S
    return EndCause.TIME if loss.left_s < needed_s else None


def next_step(loss: FailoverInput) -> NextStep:
    """Return how a stream continues after a failed attempt."""
    if end_cause(loss) is not None:
        return NextStep.END
    return NextStep.RESUME_COPY if loss.has_kv_copy else NextStep.RESTART
