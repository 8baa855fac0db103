"""Logging of the daemons: one JSON line per event on standard error."""

import logging
import sys

import structlog

from monsoontack.core.boundedlog import render_line

# Unlike the lines of a gateway, these have spaces, which operators may search for.
SEPARATORS = (", ", ": ")


def configure_logs(level: str, process: str) -> None:
    """Log events of at least `level`, each with the process name."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(
                lambda event, **_: render_line(event, SEPARATORS)
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(process=process)
