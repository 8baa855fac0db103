"""Decides how long a stream waits for its first event, without I/O.

Written for bursts in which engines have several prompts to read before a stream's own:
a limit on the wait alone made streams leave live engines after 3 s, and the prompt was
read there in vain and again elsewhere. More urgent prompts may also arrive later, so
the expected time at the start says little about an engine that goes on reading. A hung
engine may accept connections, but nobody gets a first event from it. So the limit on a
hung engine runs from the last sign of its work, and a live one is left only for one
where the stream begins sooner.
"""

from dataclasses import dataclass

# A live engine that has read other prompts for so many times the limit has lost the
# request: with the usual prompt that is 11 s, twice the worst wait in a burst.
MAX_QUEUE_FACTOR = 3.0
# Share of the prompts that wait at a live engine which is expected to be read before a
# late stream's own. Others have overtaken it, or it would not be late. With 0.5, more
# prompts were read in vain, with those known at the start, more streams were late
# (`bench.firstevent`).
AHEAD_SHARE = 0.35
# To begin elsewhere has to save this time beside the reading of the prompt, since loads
# are known with a delay of up to 0.25 s, and the connection takes some more.
MIN_SAVED_S = 0.3


@dataclass(frozen=True, slots=True)
class FirstEventWait:
    """Wait of one attempt for its first event, from `sent_at` on.

    `limit_s` is the time after which an engine without any sign of work counts as
    silent. Times are in seconds of the event loop's clock.
    """

    sent_at: float
    limit_s: float

    def is_late(self, now: float) -> bool:
        """Whether the first event is later than any expected time."""
        return now - self.sent_at > self.limit_s

    def is_overdue(self, progressed_at: float, now: float) -> bool:
        """Whether the engine counts as silent.

        `progressed_at` is the last time at which it sent a byte of any run, or a first
        event to another gateway.
        """
        waited_s = now - max(self.sent_at, progressed_at)
        is_lost = now - self.sent_at > MAX_QUEUE_FACTOR * self.limit_s
        return waited_s > self.limit_s or is_lost


def tokens_ahead_of_late(waiting_tokens: int) -> int:
    """Return how many of the other prompts' tokens are expected before a late stream.

    `waiting_tokens` are those of all other prompts that wait at its engine.
    """
    return int(AHEAD_SHARE * max(waiting_tokens, 0))


def begins_sooner(here_s: float, elsewhere_s: float, reading_s: float) -> bool:
    """Whether a stream leaves a live engine's queue for another engine.

    `here_s` and `elsewhere_s` are the expected times to the first event. The prompt's
    reading of `reading_s` at this engine may be lost, and costs the other one as much.
    """
    return elsewhere_s + reading_s + MIN_SAVED_S < here_s
