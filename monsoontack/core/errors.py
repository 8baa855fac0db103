"""Typed error records that callers, operators and other modules receive.

An error is a value: functions return it inside `returns.result.Failure`, or
in a list next to their records, and the process at the border reports all of
them together. `code` is stable and part of the interface.
"""

from dataclasses import dataclass, field
from enum import StrEnum


class RunState(StrEnum):
    """Whether a refused or failed request was run by a backend server."""

    NOT_RUN = "not_run"
    RUN = "run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RequestError:
    """Answer to a caller whose request was refused or could not be finished.

    `status` is the HTTP status, `code` the stable name of the cause, and
    `retry_after_s` the time in seconds after which a retry is worthwhile
    (None if a retry would fail the same way).
    """

    status: int
    code: str
    message: str
    run_state: RunState = RunState.NOT_RUN
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class FieldError:
    """One fault in a settings file or a configuration object.

    `source` is the file or object, `path` the field inside it with dots,
    `message` what is wrong and what would be right.
    """

    source: str
    path: str
    message: str

    def __str__(self) -> str:
        where = f"{self.source}: {self.path}" if self.path else self.source
        return f"{where}: {self.message}"


@dataclass(frozen=True, slots=True)
class FieldErrors:
    """All faults found in one check, in the order of the input."""

    errors: tuple[FieldError, ...] = field(default=())
