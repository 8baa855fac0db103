"""A stream that waits at the gate, and what the gate does with it."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from monsoontack.core.errors import RequestError
from monsoontack.scheduling.offer import EngineOffer
from monsoontack.scheduling.urgency import WaitingRequest


class Stream(Protocol):
    """What the gate does with the stream that waits."""

    def begin(self, offer: EngineOffer) -> tuple[str, object] | None:
        """Place the stream at an engine of the offer and count its load.

        Return the key of the engine and the attempt, None if the stream has to wait.
        """

    def abandon(self, attempt: object) -> None:
        """End the counts of an attempt that will not be sent."""


@dataclass(slots=True, eq=False, repr=False)
class Entrant:
    """A stream at the gate; `decided` gets its attempt or its refusal.

    `ahead` is the number of requests that were before it when it began to wait, None
    until then.
    """

    request: WaitingRequest
    stream: Stream
    decided: asyncio.Future
    came_at: float
    ahead: int | None = None

    def decide(self, result: object | RequestError | None) -> bool:
        """Set the result; return whether there was none before."""
        if self.decided.done():
            return False
        self.decided.set_result(result)
        return True
