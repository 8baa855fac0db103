"""Event loop with virtual time, for deterministic tests.

Time advances only when no callback is ready: the loop then jumps to the next timer
instead of sleeping. Hours of timers run in milliseconds, and every run has the same
order of events. The loop suits only code without sockets or threads, because it never
waits for an external event.

Example::

    def test_timeout(self):
        run_in_virtual_time(scenario())
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class StalledLoopError(RuntimeError):
    """All tasks are blocked and no timer is scheduled (a deadlock)."""


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the virtual time by the timeout instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.advance = lambda delay_s: None

    def select(self, timeout: float | None = None) -> list:
        events = super().select(0)
        if events or timeout == 0:
            return events
        if timeout is None:
            raise StalledLoopError("all tasks are blocked and no timer is scheduled")
        self.advance(timeout)
        return []


class VirtualTimeLoop(asyncio.SelectorEventLoop):
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
        # Advance by at least the clock's resolution: otherwise rounding could leave the
        # time just before a timer, and the loop would wait for it again and again.
        self.virtual_time_s += max(delay_s, 1e-9)


def run_in_virtual_time(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on a new virtual-time loop and return its result.

    Tasks that are still running when it returns are cancelled.
    """
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        tasks = asyncio.all_tasks(loop)
        for task in tasks:
            task.cancel()
        if tasks:
            loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        loop.close()
