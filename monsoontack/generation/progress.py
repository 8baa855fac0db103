"""Tells a silent connection from a stalled engine and from a slow one.

An agent sends a frame at least every heartbeat, so a link without frames is a
matter of the connection or the agent. When frames continue while a stream has
no new tokens, the engine is at fault.
"""

from dataclasses import dataclass

STALL_FLOOR_S = 1.0
STALL_GAP_FACTOR = 8.0
# Output must continue within 5 s of a loss, also when a slow engine's usual
# gaps would allow a longer wait.
STALL_CEILING_S = 3.0
FIRST_TOKEN_LIMIT_S = 2.0
# The monitor runs every tick; a longer pause was this process's own.
MONITOR_INTERVAL_S = 0.1
OWN_PAUSE_S = 0.5


@dataclass(slots=True)
class LinkProgress:
    """What the frames of one link say about the connection and the engine.

    Times are in seconds of the loop's clock. `progressed_at` is when the
    engine last produced a token of any stream.
    """

    last_frame_at: float
    progressed_at: float = 0.0
    token_gap_p99_s: float = 0.0
    running: int = 0
    queued: int = 0
    slots: int = 0

    def note_frame(self, now: float) -> None:
        """Note a frame of any content."""
        self.last_frame_at = now

    def note_load(self, load, now: float) -> None:
        """Note a load report (`Load` of the link protocol)."""
        self.progressed_at = now - load.progress_age_s
        self.token_gap_p99_s = load.token_gap_p99_s
        self.running, self.queued, self.slots = load.running, load.queued, load.slots

    def is_silent(self, now: float, silence_s: float) -> bool:
        """Whether the connection has been without frames for too long."""
        return now - self.last_frame_at > silence_s

    @property
    def stall_limit_s(self) -> float:
        """Longest wait in seconds for the next token of a running stream."""
        limit = max(STALL_FLOOR_S, STALL_GAP_FACTOR * self.token_gap_p99_s)
        return min(limit, STALL_CEILING_S)

    @property
    def has_queue(self) -> bool:
        """Whether a new stream may be waiting for a slot."""
        return self.queued > 0 or self.running >= max(self.slots, 1)


@dataclass(slots=True)
class ProgressMonitor:
    """Progress of one attempt's stream.

    `began` turns true at its first token. `patience` multiplies the wait for
    the first token; it grows with fruitless attempts, so that a prompt that
    takes long to process is not given up on every engine alike.
    """

    last_token_at: float
    began: bool = False
    patience: float = 1.0

    def start_wait(self, now: float) -> None:
        """Restart the wait for the next token."""
        self.last_token_at = now

    def note_tokens(self, now: float) -> None:
        """Note new tokens of the stream."""
        self.last_token_at = now
        self.began = True

    def is_stalled(self, link: LinkProgress, now: float) -> bool:
        """Whether the engine behind a live link has stopped producing the stream.

        A running stream is stalled after the engine's stall limit. One that
        waits for its first token may stand in the engine's queue: then it is
        stalled only when the engine as a whole stands still.
        """
        waited = now - self.last_token_at
        if self.began:
            return waited > link.stall_limit_s
        if link.has_queue:
            waited = now - max(link.progressed_at, self.last_token_at)
        return waited > FIRST_TOKEN_LIMIT_S * self.patience


@dataclass(slots=True)
class ProcessPauseDetector:
    """Detects that this process itself did not run, such as after SIGSTOP.

    Frames that arrived meanwhile are still unread, so silence measured across
    such a pause says nothing about the other side.
    """

    last_tick_at: float

    def tick(self, now: float) -> bool:
        """Return whether the process paused since the last tick."""
        paused = now - self.last_tick_at > OWN_PAUSE_S
        self.last_tick_at = now
        return paused
