"""Requests to the stream log, and the actions that it returns."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartRequest:
    """What an entry asks the engine for; fields as in `Start` of link.proto."""

    generation: str
    attempt: int
    version: str
    request: bytes
    prefix: tuple[int, ...] = ()
    max_tokens: int = 0
    priority: int = 0


@dataclass(frozen=True, slots=True)
class AttachRequest:
    """Takes over a stream of the log from a position on."""

    generation: str
    attempt: int
    from_position: int


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """End of an attempt without a whole answer, for the entry.

    `started` is false only if the engine has surely not begun the attempt.
    """

    generation: str
    attempt: int
    code: str
    message: str = ""
    started: bool = True


@dataclass(frozen=True, slots=True)
class RunEngine:
    """Action: send the request to the engine."""

    run: int
    start: StartRequest


@dataclass(frozen=True, slots=True)
class CancelEngine:
    """Action: cancel the engine request with this run number."""

    run: int


@dataclass(frozen=True, slots=True)
class SendEnd:
    """Action: send an end to a link."""

    link: int
    end: StreamEnd


@dataclass(frozen=True, slots=True)
class WakeLink:
    """Action: the link has chunks to send."""

    link: int


Action = RunEngine | CancelEngine | SendEnd | WakeLink
