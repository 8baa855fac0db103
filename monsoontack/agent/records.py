"""Requests to the stream log, and the actions that the stream log returns."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Start of an attempt; the fields are those of `Start` in link.proto."""

    generation: str
    attempt: int
    version: str
    request: bytes
    prefix: tuple[int, ...] = ()
    max_tokens: int = 0
    priority: int = 0


@dataclass(frozen=True, slots=True)
class AttachRequest:
    """Request to move a stream to another link and replay it from a position."""

    generation: str
    attempt: int
    from_position: int


@dataclass(frozen=True, slots=True)
class StreamEnd:
    """Tells an entry that an attempt ended without a complete answer.

    `started` is false only if the engine is known not to have begun the attempt.
    """

    generation: str
    attempt: int
    code: str
    message: str = ""
    started: bool = True


@dataclass(frozen=True, slots=True)
class RunEngine:
    """Action: send the request to the engine as a new run."""

    run_id: int
    start: StartRequest


@dataclass(frozen=True, slots=True)
class CancelEngine:
    """Action: cancel the engine request of this run."""

    run_id: int


@dataclass(frozen=True, slots=True)
class SendEnd:
    """Action: send the end of an attempt on a link."""

    link_number: int
    end: StreamEnd


@dataclass(frozen=True, slots=True)
class WakeLink:
    """Action: wake a link that has chunks to send."""

    link_number: int


Action = RunEngine | CancelEngine | SendEnd | WakeLink
