"""Engines of one attempt of a stream, and the reason for which an attempt ended."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from monsoontack.gateway.fleet import Member
from monsoontack.gateway.job import AttemptRecord
from monsoontack.gateway.outbound import FailureKind
from monsoontack.gateway.records import KvCacheCopy, ResponseHead
from monsoontack.gateway.streamload import AttemptLoad

if TYPE_CHECKING:
    from monsoontack.gateway.streamrelay import StreamRelay


@dataclass(frozen=True, slots=True, repr=False)
class Placement:
    """Engines of one attempt.

    The attempt is sent to `member` and resumes from `copy` if that is set; `backup` is
    the engine that gets the next copy. `tokens_ahead` are prompt tokens of other runs
    that the engine has yet to read. `slot_wait_s` is the expected time in seconds until
    a full engine has a free slot.
    """

    member: Member
    copy: KvCacheCopy | None
    backup: Member | None
    tokens_ahead: int
    slot_wait_s: float = 0.0


@dataclass(slots=True, repr=False)
class OpenAttempt:
    """An attempt from its placement until its outcome is recorded.

    `relay` is set once the request has been sent.
    """

    placement: Placement
    record: AttemptRecord
    load: AttemptLoad
    relay: "StreamRelay | None" = None

    @property
    def member(self) -> Member:
        """Return the server to which the attempt is sent."""
        return self.placement.member


@dataclass(slots=True, repr=False)
class StreamLoss:
    """Reason for which an attempt ended before the stream was complete.

    `not_run` means that the engine did not run the request, `unsent` that it was
    not even sent. `response_head` and `body` hold an error response of the engine, if
    any. `events` is the number of events that the attempt delivered, 0 if its answer
    turned out to be another one. `is_broken_off` means that the engine's side closed or
    reset the connection, `has_gone_on` that events had come for some time before.
    `is_foreign` means that an engine which can be reached gave another answer,
    `is_empty` that its answer was whole and fitted, but had no event for the stream,
    `may_be_empty` that it had none and ended with its connection, as after a crash,
    `is_silent` that the engine was left, although it might have gone on, `is_kept` that
    its connection is still open, `is_overtaken` that the engine left before has ended,
    `asks_for_time` that it refused the request and wants no other one for some time.
    `is_queued` means that the engine was left since another one begins sooner.
    """

    reason: str
    not_run: bool = False
    unsent: bool = False
    response_head: ResponseHead | None = None
    body: bytes = b""
    events: int = 0
    is_broken_off: bool = False
    has_gone_on: bool = False
    is_foreign: bool = False
    is_empty: bool = False
    may_be_empty: bool = False
    is_silent: bool = False
    is_kept: bool = False
    is_overtaken: bool = False
    asks_for_time: bool = False
    is_queued: bool = False

    @property
    def shows_nothing(self) -> bool:
        """Whether the loss says nothing about the engine, which may be right."""
        return self.is_empty or self.is_overtaken or self.is_queued

    @property
    def is_error_of_engine(self) -> bool:
        """Whether the engine itself answered with an error, having run the request."""
        head = self.response_head
        return head is not None and head.signed and not self.not_run


def queued_loss(waited_s: float) -> StreamLoss:
    """Return the loss of a live engine whose queue the stream leaves."""
    reason = f"queued: no first event for {waited_s:.2f} s"
    return StreamLoss(reason, is_silent=True, is_queued=True)


def silent_loss(
    silence: str, refuses_connections: bool, is_kept: bool = False
) -> StreamLoss:
    """Return the loss of a silent engine that the stream leaves.

    An engine that refuses connections has ended and will not go on. Whether the prompt
    was the cause is checked like after the end of the connection.
    """
    return StreamLoss(
        f"{FailureKind.SILENT}: {silence}",
        is_silent=not refuses_connections,
        is_kept=is_kept,
        is_broken_off=refuses_connections,
    )
