"""Typed error records for callers, operators and other modules.

Errors are values: a function returns them in a `returns.result.Failure` or in a list
next to its results. The process that received the input reports all of them together.
`code` is stable and part of the interface.
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
    """Error response to a caller whose request was refused or failed.

    `status` is the HTTP status and `code` the stable name of the cause.
    `retry_after_s` is the number of seconds after which the caller may retry, None if
    a retry would fail the same way.
    """

    status: int
    code: str
    message: str
    run_state: RunState = RunState.NOT_RUN
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class FieldError:
    """One error in a settings file or a configuration object.

    `source` names the file or object and `path` is the dotted path of the field in it.
    `message` says what is wrong and which value is valid.
    """

    source: str
    path: str
    message: str

    def __str__(self) -> str:
        where = f"{self.source}: {self.path}" if self.path else self.source
        return f"{where}: {self.message}"


@dataclass(frozen=True, slots=True)
class FieldErrors:
    """All errors found by one check, in the order of the input."""

    errors: tuple[FieldError, ...] = field(default=())
