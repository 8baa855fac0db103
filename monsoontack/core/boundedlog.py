"""Log output that never blocks and whose volume is bounded.

Lines go to a non-blocking descriptor. While its reader does not read, lines are
dropped and counted; each kind of line also has a rate of its own. A later line of
the kind says how many were left out in `left_out`.
"""

import fcntl
import json
import logging
import os
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

# Lines of one kind a second, and as many at once. One entry serves about 20
# requests a second at the target scale, each with one line.
LINES_PER_S = 100.0
BURST_LINES = 300.0
STDOUT = 1


@dataclass(slots=True)
class KindRate:
    """Tokens of one kind of line, and how many lines were left out."""

    tokens: float = BURST_LINES
    updated_at: float = 0.0
    left_out: int = 0

    def take(self, now: float) -> bool:
        """Take a token; count the line as left out if there is none."""
        elapsed = max(now - self.updated_at, 0.0)
        self.tokens = min(self.tokens + elapsed * LINES_PER_S, BURST_LINES)
        self.updated_at = now
        if self.tokens < 1:
            self.left_out += 1
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True)
class LineWriter:
    """Writes lines to a descriptor without waiting.

    `rest` holds the end of a line that was taken in part, which goes first.
    """

    descriptor: int
    rest: bytes = b""
    dropped: int = 0

    @classmethod
    def non_blocking(cls, descriptor: int) -> "LineWriter":
        """Return a writer and make its descriptor non-blocking."""
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        return cls(descriptor)

    def write(self, line: bytes) -> bool:
        """Write a line, or drop it whole if the reader does not read."""
        if self.rest:
            self.rest = self._put(self.rest)
        if self.rest:
            self.dropped += 1
            return False
        left = self._put(line)
        if left is line:
            self.dropped += 1
            return False
        self.rest = left
        return True

    def _put(self, data: bytes) -> bytes:
        """Return what could not be written."""
        try:
            size = os.write(self.descriptor, data)
        except OSError:
            # Nobody reads, or the reader is gone. There is no other place to
            # tell of it; the count of dropped lines goes into the metrics.
            return data
        return data[size:] if size < len(data) else b""


@dataclass(slots=True)
class BoundedOutput:
    """Last processor of structlog: renders a line and writes it, or drops it."""

    writer: LineWriter
    now: Callable[[], float] = time.monotonic
    kinds: dict[str, KindRate] = field(default_factory=dict)

    def __call__(self, logger, method: str, event: dict) -> str:
        """Write one event; raises DropEvent so that structlog writes nothing."""
        kind = str(event.get("event", ""))
        rate = self.kinds.get(kind)
        if rate is None:
            rate = self.kinds[kind] = KindRate(updated_at=self.now())
        if rate.take(self.now()):
            if rate.left_out:
                event["left_out"] = rate.left_out
            line = json.dumps(event, default=str, separators=(",", ":"))
            if self.writer.write(line.encode() + b"\n"):
                rate.left_out = 0
            else:
                rate.left_out += 1
        raise structlog.DropEvent


def configure_bounded_logs(process: str, level: str = "info") -> LineWriter:
    """Send JSON lines of all loggers to standard output, bounded."""
    writer = LineWriter.non_blocking(STDOUT)
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            BoundedOutput(writer),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(process=process)
    return writer
