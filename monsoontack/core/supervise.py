"""Keeps the work of a process going when a part of it fails.

An unexpected error in one part, such as a message that nobody thought of, must not
end the requests that the process serves.
"""

import asyncio
from collections.abc import Awaitable, Callable

import structlog

log = structlog.get_logger("core.supervise")

# Between a failure and the next start; short against the seconds for which what a
# process knows stays good, long enough that a lasting fault costs little.
RESTART_S = 0.5


async def run_with_restarts(work: Callable[[], Awaitable[None]]) -> None:
    """Run `work` until it returns or is cancelled; start it anew when it fails."""
    while True:
        try:
            await work()
            return
        except Exception:
            log.exception("a part of the process failed", part=repr(work))
        await asyncio.sleep(RESTART_S)
