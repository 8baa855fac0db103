"""Log output that never blocks and is rate-limited.

Lines are written to a non-blocking file descriptor. While the pipe is full because
its reader does not read, lines are dropped and counted. Each log event, identified by
its text, also has its own rate limit. The next line of the same event reports the
number of omitted lines in the field `left_out`. A long line is written with its values
cut: it may quote what another process has sent.
"""

import fcntl
import json
import logging
import os
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

# Rate and burst allowed for one event. An entry serves about 20 requests per second
# at the target scale and logs one line for each.
LINES_PER_S = 100.0
BURST_LINES = 300.0
STDOUT_FD = 1
# Lines of at most this length are written whole; the values of longer ones are cut.
MAX_LINE_CHARACTERS = 16_384
MAX_VALUE_CHARACTERS = 200
# The end of a traceback names the exception and where it was raised.
MAX_TRACEBACK_CHARACTERS = 4000
CUT = "..."


@dataclass(slots=True, repr=False)
class EventRateLimiter:
    """Token bucket of one event; `left_out` counts the omitted lines."""

    tokens: float = BURST_LINES
    updated_at: float = 0.0
    left_out: int = 0

    def try_acquire(self, now: float) -> bool:
        """Consume a token and return True, or count the line as omitted."""
        elapsed = max(now - self.updated_at, 0.0)
        self.tokens = min(self.tokens + elapsed * LINES_PER_S, BURST_LINES)
        self.updated_at = now
        if self.tokens < 1:
            self.left_out += 1
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True, repr=False)
class LineWriter:
    """Writes lines to a file descriptor without blocking.

    `unwritten` is the rest of a partially written line; it is written before the next
    line.
    """

    descriptor: int
    unwritten: bytes = b""
    dropped: int = 0

    @classmethod
    def non_blocking(cls, descriptor: int) -> "LineWriter":
        """Make the file descriptor non-blocking and return a writer for it."""
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)
        return cls(descriptor)

    def write(self, line: bytes) -> bool:
        """Write a line and return True, or drop the whole line if the pipe is full."""
        if self.unwritten:
            self.unwritten = self._write_available(self.unwritten)
        if self.unwritten:
            self.dropped += 1
            return False
        remaining = self._write_available(line)
        if remaining is line:
            self.dropped += 1
            return False
        self.unwritten = remaining
        return True

    def _write_available(self, data: bytes) -> bytes:
        """Write as much as the descriptor accepts; return the rest of `data`."""
        try:
            size = os.write(self.descriptor, data)
        except OSError:
            # The pipe is full or its reader has exited. The error cannot be logged
            # anywhere else; the metrics contain the number of dropped lines.
            return data
        return data[size:] if size < len(data) else b""


def render_line(event: dict, separators: tuple[str, str] = (",", ":")) -> str:
    """Return an event as a line of JSON in ASCII, with its values cut if it is long."""
    try:
        line = json.dumps(event, default=str, separators=separators)
        if len(line) <= MAX_LINE_CHARACTERS:
            return line
    except (ValueError, TypeError, RecursionError):
        # A value is nested too deeply, or an integer has too many digits.
        pass
    values = {name: _cut_value(name, value) for name, value in event.items()}
    return json.dumps(values, separators=separators)


def _cut_value(name: str, value: object) -> object:
    """Return a short value that JSON can encode."""
    if name == "exception" and isinstance(value, str):
        is_long = len(value) > MAX_TRACEBACK_CHARACTERS
        return CUT + value[-MAX_TRACEBACK_CHARACTERS:] if is_long else value
    if value is None or isinstance(value, bool | float):
        return value
    try:
        text = str(value)
    except (ValueError, RecursionError) as error:
        return f"{type(value).__name__} without a text: {error}"
    if len(text) > MAX_VALUE_CHARACTERS:
        return text[:MAX_VALUE_CHARACTERS] + CUT
    return value if isinstance(value, int) else text


@dataclass(slots=True, repr=False)
class BoundedOutput:
    """Final structlog processor: renders an event as JSON and writes or drops it."""

    writer: LineWriter
    now: Callable[[], float] = time.monotonic
    rate_limiters: dict[str, EventRateLimiter] = field(default_factory=dict)

    def __call__(self, logger, method: str, event: dict) -> str:
        """Write one event; raise DropEvent so that structlog does not write it too."""
        kind = str(event.get("event", ""))
        limiter = self.rate_limiters.get(kind)
        if limiter is None:
            limiter = self.rate_limiters[kind] = EventRateLimiter(updated_at=self.now())
        if limiter.try_acquire(self.now()):
            if limiter.left_out:
                event["left_out"] = limiter.left_out
            line = render_line(event)
            if self.writer.write(line.encode() + b"\n"):
                limiter.left_out = 0
            else:
                limiter.left_out += 1
        raise structlog.DropEvent


def configure_bounded_logs(process: str, level: str = "info") -> LineWriter:
    """Write the events of all loggers as rate-limited JSON lines to standard output."""
    writer = LineWriter.non_blocking(STDOUT_FD)
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
