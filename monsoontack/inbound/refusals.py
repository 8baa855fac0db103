"""Counts refused input by reason, and writes a bounded number of log lines."""

import asyncio

import structlog
from prometheus_client import Counter

from monsoontack.inbound.requestreader import InputRefusal

log = structlog.get_logger("gateway.inbound")

# One line per reason in this time; a crowd of clients would otherwise fill the log.
LOG_INTERVAL_S = 1.0


class RefusalLimit:
    """Limits the log lines of refusals to one per reason and `LOG_INTERVAL_S`."""

    def __init__(self) -> None:
        self.logged_at: dict[str, float] = {}
        self.unlogged: dict[str, int] = {}

    def note(self, reason: str, now: float) -> int:
        """Count a refusal.

        Returns the number of refusals for this reason since its last line if a line
        is due, else 0.
        """
        count = self.unlogged.get(reason, 0) + 1
        if now - self.logged_at.get(reason, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            self.unlogged[reason] = count
            return 0
        self.logged_at[reason], self.unlogged[reason] = now, 0
        return count


class RefusalReport:
    """Reports refused input: by reason and, if a response was sent, by its status."""

    def __init__(self, by_reason: Counter, by_status: Counter) -> None:
        self.by_reason = by_reason
        self.by_status = by_status
        self.limit = RefusalLimit()

    def note(self, refusal: InputRefusal) -> None:
        """Count a refusal, and log it if a line is due."""
        self.by_reason.labels(refusal.reason).inc()
        if refusal.status:
            self.by_status.labels(str(refusal.status)).inc()
        now = asyncio.get_running_loop().time()
        count = self.limit.note(refusal.reason, now)
        if count:
            log.info(
                "input refused",
                reason=refusal.reason,
                status=refusal.status,
                detail=refusal.detail,
                refusals=count,
            )
