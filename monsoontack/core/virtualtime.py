"""Event loop whose time stands still until every task waits for a timer.

When no callback is ready the loop jumps to the next timer instead of
sleeping, so hours of timers run in milliseconds and every run is the same.
It serves code without sockets or threads: nothing wakes it from outside.

Example::

    def test_timeout(self):
        run_paused(scenario())
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class StalledLoopError(RuntimeError):
    """All tasks wait, and no timer will wake any of them."""


class _JumpingSelector(selectors.DefaultSelector):
    """Reports the wait as over at once and advances the loop's time by it."""

    def __init__(self) -> None:
        super().__init__()
        self.advance = lambda delay_s: None

    def select(self, timeout: float | None = None) -> list:
        events = super().select(0)
        if events or timeout == 0:
            return events
        if timeout is None:
            raise StalledLoopError("every task waits and no timer is set")
        self.advance(timeout)
        return []


class PausedLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time that starts at zero."""

    def __init__(self) -> None:
        selector = _JumpingSelector()
        super().__init__(selector)
        self.virtual_time_s = 0.0
        selector.advance = self._advance

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual_time_s

    def _advance(self, delay_s: float) -> None:
        # The clock's resolution keeps rounding from repeating the same wait.
        self.virtual_time_s += max(delay_s, 1e-9)


def run_in_virtual_time(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on a new paused loop and return its result.

    Tasks that still run then are cancelled.
    """
    loop = PausedLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        loop.close()
