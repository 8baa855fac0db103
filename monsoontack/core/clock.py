"""Time source for code that sleeps or reads the time.

Pure decision functions take `now` as an argument. Code that sleeps uses a `Clock`, so
that tests can run it in virtual time (`monsoontack.core.virtualtime`).
"""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Monotonic time in seconds, and sleeping."""

    def now(self) -> float:
        """Return the time in seconds; only differences are meaningful."""
        ...

    async def sleep(self, delay_s: float) -> None:
        """Sleep for `delay_s` seconds of this clock."""
        ...


class LoopClock:
    """Clock of the running event loop."""

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, delay_s: float) -> None:
        """Sleep for `delay_s` seconds of the event loop's time."""
        await asyncio.sleep(delay_s)


def boot_time() -> float:
    """Return the seconds since boot, including the time the VM was suspended.

    Used to measure the age of cached data. The event loop's clock stops while the VM
    is suspended, so after a suspension it would show stale data as fresh.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
