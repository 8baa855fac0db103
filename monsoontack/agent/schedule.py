"""When a link gets its next frame.

A frame with tokens goes out at most once per tick; what is urgent, such as the
leaving announcement, goes out at once; otherwise a heartbeat does.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class FrameSchedule:
    """Times of one link in seconds of the loop's clock."""

    tick_s: float
    heartbeat_s: float
    last_frame_at: float = float("-inf")
    last_load_at: float = float("-inf")

    def next_at(self, pending: bool, urgent: bool, now: float) -> float:
        """Return when the next frame is due."""
        if urgent:
            return now
        wait_s = self.tick_s if pending else self.heartbeat_s
        return max(now, self.last_frame_at + wait_s)

    def load_due(self, now: float) -> bool:
        """Return whether the next frame carries the load.

        Half the heartbeat interval, so that each heartbeat carries it.
        """
        return now - self.last_load_at >= self.heartbeat_s / 2

    def sent(self, now: float, with_load: bool) -> None:
        """Note that a frame goes out."""
        self.last_frame_at = now
        if with_load:
            self.last_load_at = now
