"""Clock of the event loop, as seen by code that needs the time.

Decisions take `now` as an argument. Code that waits uses a `Clock`, so that
tests run it on a loop whose time they pause and advance
(`monsoontack.core.virtualtime`).
"""

import asyncio
import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time in seconds, and of waiting."""

    def now(self) -> float:
        """Return the time in seconds; only differences have a meaning."""
        ...

    async def sleep(self, delay_s: float) -> None:
        """Return after `delay_s` seconds of this clock."""
        ...


class LoopClock:
    """The running event loop's own clock."""

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, delay_s: float) -> None:
        """Wait `delay_s` seconds of the loop's time."""
        await asyncio.sleep(delay_s)


def boot_time() -> float:
    """Return seconds since boot, which go on while the VM is suspended.

    The age of what a process knows is measured with it: after a suspension the
    loop's clock would show old knowledge as fresh.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
