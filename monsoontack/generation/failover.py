"""What to do when the engine of a stream fails: go on, where, or give up.

A run whose memory was copied to another engine goes on there and reads only what
the copy lacks. Without a copy the prompt is read anew at any engine. Nothing here
does I/O.
"""

from dataclasses import dataclass
from enum import StrEnum

# A prompt needs about a second to be read anew; with less time left a restart
# only burdens the engines.
MIN_RESTART_S = 0.8
MIN_RESUME_S = 0.1


class NextStep(StrEnum):
    """How a stream goes on."""

    RESUME_COPY = "resume_copy"
    RESTART = "restart"
    END = "end"


@dataclass(frozen=True, slots=True)
class FailoverInput:
    """What is known when an attempt of a stream has failed.

    `has_kv_copy` tells whether an engine that is still in use keeps a copy of the
    run's memory, `resumable` whether the stream may run again, `known_not_run`
    whether no attempt can have run, `attempts_left` how many further engines it
    may be sent to, `left_s` the time until its deadline.
    """

    has_kv_copy: bool
    resumable: bool
    known_not_run: bool
    attempts_left: int
    left_s: float


def next_step(loss: FailoverInput) -> NextStep:
    """Return how a stream goes on after a loss."""
    if loss.attempts_left <= 0:
        return NextStep.END
    if not loss.resumable and not loss.known_not_run:
        return NextStep.END
    if loss.has_kv_copy and loss.left_s >= MIN_RESUME_S:
        return NextStep.RESUME_COPY
    return NextStep.RESTART if loss.left_s >= MIN_RESTART_S else NextStep.END
