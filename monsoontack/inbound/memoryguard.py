"""Runs the decisions of the memory account on the event loop."""

import asyncio

from monsoontack.core.callbacks import call_guarded
from monsoontack.inbound.account import SHED_INTERVAL_S, MemoryAccount


class MemoryGuard:
    """The memory account of a process, and the timer that sheds during a shortage."""

    def __init__(self, limit_bytes: int) -> None:
        self.account = MemoryAccount(limit_bytes)
        self.timer: asyncio.TimerHandle | None = None

    def watch(self) -> None:
        """Shed until the shortage is over; called whenever memory runs short."""
        if self.timer is None:
            loop = asyncio.get_running_loop()
            self.timer = loop.call_later(SHED_INTERVAL_S, self._decide)

    def _decide(self) -> None:
        self.timer = None
        for holding in self.account.to_shed(asyncio.get_running_loop().time()):
            call_guarded(holding.shed)
        if self.account.is_short:
            self.watch()
