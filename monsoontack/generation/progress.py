"""Distinguishes silent connections, stalled engines and slow engines.

An agent sends a frame at least once per heartbeat interval, so a link without
frames means that the connection or the agent has failed. If frames arrive but a
stream gets no new tokens, the engine is at fault.
"""

from dataclasses import dataclass

MIN_STALL_LIMIT_S = 1.0
STALL_GAP_FACTOR = 8.0
# Output must continue within 5 s of a failure, even if the usual token gaps of a
# slow engine would permit a longer wait.
MAX_STALL_LIMIT_S = 3.0
FIRST_TOKEN_LIMIT_S = 2.0
# The monitor runs at this interval. A delay above the minimum pause shows that this
# process was paused.
MONITOR_INTERVAL_S = 0.1
MIN_PROCESS_PAUSE_S = 0.5


@dataclass(slots=True, repr=False)
class LinkProgress:
    """State of a link's connection and engine, according to its frames.

    Times are in seconds of the loop's clock. `progressed_at` is the time at which
    the engine last produced a token of any stream.
    """

    last_frame_at: float
    progressed_at: float = 0.0
    token_gap_p99_s: float = 0.0
    running: int = 0
    queued: int = 0
    slots: int = 0

    def note_frame(self, now: float) -> None:
        """Record the arrival of a frame with any content."""
        self.last_frame_at = now

    def note_load(self, load, now: float) -> None:
        """Record a load report (`Load` of the link protocol)."""
        self.progressed_at = now - load.progress_age_s
        self.token_gap_p99_s = load.token_gap_p99_s
        self.running, self.queued, self.slots = load.running, load.queued, load.slots

    def is_silent(self, now: float, silence_s: float) -> bool:
        """Return whether no frame has arrived for more than `silence_s`."""
        return now - self.last_frame_at > silence_s

    @property
    def stall_limit_s(self) -> float:
        """Maximum wait for the next token of a running stream."""
        limit = max(MIN_STALL_LIMIT_S, STALL_GAP_FACTOR * self.token_gap_p99_s)
        return min(limit, MAX_STALL_LIMIT_S)

    @property
    def has_queue(self) -> bool:
        """Whether a new stream may be waiting for a slot."""
        return self.queued > 0 or self.running >= max(self.slots, 1)


@dataclass(slots=True, repr=False)
class ProgressMonitor:
    """Progress of one attempt's stream.

    `has_first_token` becomes true with the first token. `first_token_wait_factor`
    multiplies the maximum wait for the first token. It grows with fruitless
    attempts, so that a prompt with a long prefill does not time out on every
    engine.
    """

    last_token_at: float
    has_first_token: bool = False
    first_token_wait_factor: float = 1.0

    def start_wait(self, now: float) -> None:
        """Restart the wait for the next token."""
        self.last_token_at = now

    def note_tokens(self, now: float) -> None:
        """Record new tokens of the stream."""
        self.last_token_at = now
        self.has_first_token = True

    def is_stalled(self, link: LinkProgress, now: float) -> bool:
        """Return whether the engine of a live link has stopped producing the stream.

        A stream with tokens is stalled once it exceeds the engine's stall limit. A
        stream without tokens may be in the engine's queue; then it is stalled
        only if the engine makes no progress on any stream.
        """
        waited = now - self.last_token_at
        if self.has_first_token:
            return waited > link.stall_limit_s
        if link.has_queue:
            waited = now - max(link.progressed_at, self.last_token_at)
        return waited > FIRST_TOKEN_LIMIT_S * self.first_token_wait_factor


@dataclass(slots=True, repr=False)
class ProcessPauseDetector:
    """Detects pauses of this process, such as after SIGSTOP.

    Frames that arrived during a pause are still unread, so silence measured
    across it is no evidence of a failed peer.
    """

    last_tick_at: float

    def tick(self, now: float) -> bool:
        """Return whether the process was paused since the last tick."""
        paused = now - self.last_tick_at > MIN_PROCESS_PAUSE_S
        self.last_tick_at = now
        return paused
