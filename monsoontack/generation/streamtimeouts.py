"""Adaptive timeouts after which a silent engine's streams fail over.

Engines produce an event every few steps, and steps take longer while an engine
prefills other prompts. The timeouts follow the recent gaps of the engine and of
the service. A lower bound protects running streams; an upper bound leaves time
to continue on another engine within the gap that callers accept.
"""

from dataclasses import dataclass

GAP_FACTOR = 2.5
# Retransmitted packets arrive about 0.2 s late; with a lower limit, packet loss
# would count as an engine failure.
MIN_SILENCE_LIMIT_S = 0.3
# Share of the accepted gap after which a stream must fail over. Connection,
# admission and the first event of the other engine take the rest.
ACCEPTED_GAP_SHARE = 0.6
# An engine that is known to be slow may exceed the accepted gap by this time: its
# event is then late, but a failover would cause a gap of this length as well.
LIVE_ENGINE_SLACK_S = 0.3
GAP_DECAY = 0.02
# Initial estimate, used until a gap is measured.
INITIAL_GAP_S = 0.2
# Initial estimate of an engine's prefill rate, used until one is measured.
INITIAL_PREFILL_TOKENS_PER_S = 6000.0
PREFILL_RATE_EWMA_WEIGHT = 0.1
# A prefill rate above this multiple of the estimate shows that the engine had the
# prompt in its cache, so it is not a measurement. A few such runs, when included,
# reduced the limit for a prompt of 8,000 tokens to 1.8 s, and streams left live
# engines.
CACHED_PROMPT_RATE_FACTOR = 3.0
# Factor and margin over the predicted time of the first event.
FIRST_EVENT_FACTOR = 2.0
FIRST_EVENT_MARGIN_S = 1.0
# Prefill rarely takes less than this share of the predicted time, which includes
# the prefill of other prompts in the same batches.
MIN_FIRST_EVENT_SHARE = 0.4
# Share of the predicted time after which a liveness check of the engine runs.
FIRST_EVENT_CHECK_SHARE = 0.5


def decaying_maximum(longest_s: float, gap_s: float) -> float:
    """Return the decaying maximum of gaps, updated with `gap_s`."""
    return max(gap_s, longest_s * (1 - GAP_DECAY))


@dataclass(slots=True, repr=False)
class StreamTimeouts:
    """Event gaps and prefill rate of one service, and the timeouts based on them.

    `longest_gap_s` is a decaying maximum of the gaps of healthy streams,
    `prefill_tokens_per_s` a moving average of the prefill rate.
    """

    longest_gap_s: float = INITIAL_GAP_S
    prefill_tokens_per_s: float = INITIAL_PREFILL_TOKENS_PER_S

    def note_gap(self, gap_s: float) -> None:
        """Record a gap between two events."""
        self.longest_gap_s = decaying_maximum(self.longest_gap_s, gap_s)

    def note_first_event(self, tokens: int, took_s: float) -> None:
        """Record the time from sending a request to its first event."""
        if took_s <= 0 or tokens <= 0:
            return
        rate = tokens / took_s
        if rate > CACHED_PROMPT_RATE_FACTOR * self.prefill_tokens_per_s:
            return
        self.prefill_tokens_per_s += PREFILL_RATE_EWMA_WEIGHT * (
            rate - self.prefill_tokens_per_s
        )

    def silence_limit_s(self, max_gap_s: float) -> float:
        """Return the silence after which a running stream fails over.

        `max_gap_s` is the gap that the caller accepts.
        """
        ceiling = max(ACCEPTED_GAP_SHARE * max_gap_s, MIN_SILENCE_LIMIT_S)
        return min(max(GAP_FACTOR * self.longest_gap_s, MIN_SILENCE_LIMIT_S), ceiling)

    def live_silence_limit_s(self, max_gap_s: float, engine_gap_s: float) -> float:
        """Return the silence after which a stream leaves an engine known to be alive.

        `engine_gap_s` is the longest recent gap at that engine.
        """
        usual_s = max(ACCEPTED_GAP_SHARE * max_gap_s, GAP_FACTOR * engine_gap_s)
        return max(min(usual_s, max_gap_s + LIVE_ENGINE_SLACK_S), MIN_SILENCE_LIMIT_S)

    def predicted_s(self, tokens: int) -> float:
        """Return the usual time in which that many prompt tokens are processed."""
        return tokens / self.prefill_tokens_per_s

    def first_event_limit_s(self, tokens: int, slot_wait_s: float = 0.0) -> float:
        """Return the wait for the first event after which a run fails over.

        `tokens` is the number of prompt tokens to process, including those ahead
        in the queue. `slot_wait_s` is the expected time until there is a free slot.
        """
        expected_s = tokens / self.prefill_tokens_per_s + slot_wait_s
        return FIRST_EVENT_FACTOR * expected_s + FIRST_EVENT_MARGIN_S

    def min_first_event_s(self, tokens: int) -> float:
        """Return a time within which no engine processes that many prompt tokens."""
        return MIN_FIRST_EVENT_SHARE * tokens / self.prefill_tokens_per_s

    def liveness_check_delay_s(self, tokens: int) -> float:
        """Return the wait for the first event before the engine's liveness check."""
        return max(
            FIRST_EVENT_CHECK_SHARE * tokens / self.prefill_tokens_per_s,
            MIN_SILENCE_LIMIT_S,
        )
