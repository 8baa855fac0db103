"""Restarts a background task of a process when it fails.

An unexpected exception in one task, for example on an unforeseen message, must not
abort the requests that the process is serving.
"""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

from monsoontack.core.callbacks import name_of

log = structlog.get_logger("core.supervise")

# Short compared with the seconds for which cached data stays valid, and long enough
# that a task that fails on every start uses little CPU.
RESTART_DELAY_S = 0.5


async def run_with_restarts(work: Callable[[], Awaitable[None]]) -> None:
    """Run `work` until it returns or is cancelled; restart it when it raises."""
    while True:
        try:
            await work()
            return
        except Exception:
            part = name_of(work)
            log.exception("background task failed; restarting it", part=part)
        await asyncio.sleep(RESTART_DELAY_S)
