"""How long an engine may be silent before its streams go on elsewhere.

Engines produce an event every few steps; while they read other prompts the steps
take longer. The limit follows the gaps seen lately at the engine and in the
service, between a floor that spares running streams and a ceiling that leaves
time to go on within the pause that callers accept.
"""

from dataclasses import dataclass

GAP_FACTOR = 2.5
# Resent packets arrive about 0.2 s late; a limit below would take loss for death.
SILENCE_FLOOR_S = 0.3
# Part of the accepted pause after which a stream must move: connection, admission
# and the first event at the other engine take the rest.
SILENCE_SHARE = 0.6
# An engine known to be slow may take this much longer than the pause that callers
# accept: its event is then late, but a move costs a pause of this length as well.
STALL_SLACK_S = 0.3
GAP_DECAY = 0.02
# Before any gap was seen.
INITIAL_GAP_S = 0.2
# Prompt tokens that an engine reads in a second, before any was measured.
INITIAL_READ_RATE = 6000.0
READ_RATE_WEIGHT = 0.1
# A first event that comes this many times sooner than predicted shows that the
# engine had the prompt already; it tells nothing about reading. Taken in, a few such
# runs made the limit for a prompt of 8,000 tokens 1.8 s, and live engines were left.
CACHED_FACTOR = 3.0
# The first event may take this much longer than predicted.
FIRST_EVENT_FACTOR = 2.0
FIRST_EVENT_MARGIN_S = 1.0
# A prompt is hardly read in less than this part of the usual time; the usual time
# includes other prompts that were read beside it.
SHORTEST_SHARE = 0.4
# After this share of the predicted time the engine is checked to be alive.
CHECK_SHARE = 0.5


def decaying_maximum(longest_s: float, gap_s: float) -> float:
    """Return the longest gap seen lately, with one more gap."""
    return max(gap_s, longest_s * (1 - GAP_DECAY))


@dataclass(slots=True)
class StreamTimeouts:
    """Gaps between events and speed of reading prompts of one service.

    `gap_s` is a slowly falling maximum of the gaps of healthy streams,
    `read_rate` the prompt tokens read in a second.
    """

    gap_s: float = INITIAL_GAP_S
    read_rate: float = INITIAL_READ_RATE

    def note_gap(self, gap_s: float) -> None:
        """Take in a gap between two events."""
        self.gap_s = decaying_maximum(self.gap_s, gap_s)

    def note_first_event(self, tokens: int, took_s: float) -> None:
        """Take in the time from the send to the first event of a run."""
        if took_s <= 0 or tokens <= 0:
            return
        rate = tokens / took_s
        if rate > CACHED_FACTOR * self.read_rate:
            return
        self.read_rate += READ_RATE_WEIGHT * (rate - self.read_rate)

    def silence_limit_s(self, max_gap_s: float) -> float:
        """Return the silence after which a running stream moves.

        `max_gap_s` is the pause that the caller accepts.
        """
        ceiling = max(SILENCE_SHARE * max_gap_s, SILENCE_FLOOR_S)
        return min(max(GAP_FACTOR * self.gap_s, SILENCE_FLOOR_S), ceiling)

    def live_silence_limit_s(self, max_gap_s: float, engine_gap_s: float) -> float:
        """Return the silence after which a stream leaves an engine that lives.

        `engine_gap_s` is the longest gap seen lately at that engine.
        """
        usual_s = max(SILENCE_SHARE * max_gap_s, GAP_FACTOR * engine_gap_s)
        return max(min(usual_s, max_gap_s + STALL_SLACK_S), SILENCE_FLOOR_S)

    def first_event_limit_s(self, tokens: int) -> float:
        """Return the wait for a first event after which a run moves.

        `tokens` are the prompt tokens to read, those ahead in the queue included.
        """
        return FIRST_EVENT_FACTOR * tokens / self.read_rate + FIRST_EVENT_MARGIN_S

    def min_first_event_s(self, tokens: int) -> float:
        """Return a time within which no engine reads so many prompt tokens."""
        return SHORTEST_SHARE * tokens / self.read_rate

    def liveness_check_delay_s(self, tokens: int) -> float:
        """Return the wait for a first event after which the engine is checked."""
        return max(CHECK_SHARE * tokens / self.read_rate, SILENCE_FLOOR_S)
