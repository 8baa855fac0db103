"""Measures of the process: resident memory and the longest block of the event loop."""

import asyncio
import resource
from dataclasses import dataclass

# Interval of the timer whose delay is measured. A delay is the time for which callbacks
# held the loop, so it is an upper bound of the longest one.
CHECK_INTERVAL_S = 0.1
# The longest delay is kept for one to two such periods, longer than a scrape takes to
# come round.
KEEP_S = 10.0
STATM_PATH = "/proc/self/statm"


def resident_bytes() -> int:
    """Return the resident memory of the process in bytes; 0 if it is unknown."""
    try:
        with open(STATM_PATH, "rb") as file:
            return int(file.read().split()[1]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return 0


@dataclass(slots=True, repr=False)
class LoopDelay:
    """Longest delay of a timer in the present and the last period, in seconds."""

    present_s: float = 0.0
    last_s: float = 0.0
    period_ends_at: float = 0.0

    @property
    def longest_s(self) -> float:
        """Return the longest delay in the last `KEEP_S` to twice that time."""
        return max(self.present_s, self.last_s)

    def note(self, delay_s: float, now: float) -> None:
        """Record the delay of a timer; `now` is in seconds of the loop's clock."""
        if now >= self.period_ends_at:
            self.last_s, self.present_s = self.present_s, 0.0
            self.period_ends_at = now + KEEP_S
        self.present_s = max(self.present_s, delay_s)

    async def run(self) -> None:
        """Measure until cancelled."""
        now = asyncio.get_running_loop().time
        while True:
            due_at = now() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.note(max(now() - due_at, 0.0), now())
