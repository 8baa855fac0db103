"""Decides whether a run leaves a silent engine, which may still go on, without I/O.

To leave an engine ends its work, so a run stays until its deadline unless another
attempt is allowed and the engine that it would get has not itself been found silent.

A stream may lack nothing but its end, which only the silent engine can give. While its
silence may be the pause of a sound engine, the stream leaves it only as long as it can
return: the connection is kept for `KEPT_S`, and a next engine that has not answered by
then is given up instead.
"""

from dataclasses import dataclass, field

from monsoontack.generation.failover import EndCause, FailoverInput, end_cause

# Result of `why_stay` if no engine is better than the silent one.
NO_BETTER_ENGINE = "engine"
# Result if the stream has all its events, and only the end of the answer is missing.
ONLY_END_IS_MISSING = "end"
# Result while the silence may be a pause and the next engine would answer late.
MAY_GO_ON = "pause"
# Longest silence that counts as the pause of a sound engine: a second or so.
SOUND_PAUSE_S = 1.5
# Time for which the connection to an engine that was left is kept. An engine must not
# still work on a run 0.4 s after the next one has begun it, and a reset takes some
# milliseconds to arrive.
KEPT_S = 0.3
# Time after which a silent engine may be tried again without news of it. A server
# that failed a generation is avoided for as long.
SILENCE_MEMORY_S = 10.0


def why_no_attempt(loss: FailoverInput, has_budget: bool) -> EndCause | None:
    """Return why a run may not go on at another engine, None if it may.

    `has_budget` is true if the retry budget allows another attempt.
    """
    cause = end_cause(loss)
    if cause is None and not has_budget:
        return EndCause.BUDGET
    return cause


def why_stay(
    loss: FailoverInput, has_budget: bool, has_better_engine: bool
) -> str | None:
    """Return what keeps a run at its silent engine, None if it may leave.

    `has_better_engine` is true if the engine that the run would get has not been found
    silent. A usable copy of the run's KV cache counts as a better engine.
    """
    cause = why_no_attempt(loss, has_budget)
    if cause is not None:
        return str(cause)
    if loss.has_kv_copy or has_better_engine:
        return None
    return NO_BETTER_ENGINE


def may_pause(silent_s: float, is_reachable: bool) -> bool:
    """Whether an engine that has been silent for this time may be a sound one.

    An engine that cannot be reached has more wrong with it than a pause.
    """
    return is_reachable and silent_s < SOUND_PAUSE_S


def is_left_too_soon(is_pause: bool, first_event_s: float) -> bool:
    """Whether a stream would leave its engine for one that answers too late.

    `is_pause` means that the silence may be a pause. `first_event_s` is the time in
    which the next engine should bring its first event. If that is longer than the
    connection is kept, the next engine would be given up after it has read a part of
    the prompt in vain.
    """
    return is_pause and first_event_s >= KEPT_S


@dataclass(slots=True, repr=False)
class SilentEngines:
    """Engines that were found silent; `found_at` holds the last time by address."""

    found_at: dict[str, float] = field(default_factory=dict)

    def note(self, address: str, now: float) -> None:
        """Record that a run of an engine has stalled."""
        self.found_at[address] = now

    def is_silent(self, address: str, progressed_at: float, now: float) -> bool:
        """Return whether an engine was found silent and has not gone on since.

        `progressed_at` is the time at which it last produced a token of any run.
        """
        found_at = self.found_at.get(address)
        if found_at is None:
            return False
        if progressed_at > found_at or now - found_at > SILENCE_MEMORY_S:
            del self.found_at[address]
            return False
        return True
