"""A generation at this entry and its delivery to the caller."""

import asyncio
from dataclasses import dataclass

from monsoontack.admission.admit import Ticket
from monsoontack.core.errors import RequestError
from monsoontack.core.records import RequestOutcome, RouteRequest, TokenChunk
from monsoontack.generation.attempts import AttemptLog
from monsoontack.generation.eventid import EventId
from monsoontack.generation.progress import ProgressMonitor
from monsoontack.generation.resume import (
    GenerationState,
)
from monsoontack.proto import link_pb2


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A caller's request, admitted and ready to be sent to an engine."""

    route: RouteRequest
    kind: str
    body: bytes
    max_tokens: int
    revision: int
    streamed: bool


class GenerationSession:
    """State of one generation, and what its caller has received of it."""

    def __init__(self, request: GenerationRequest, attempt_log: AttemptLog, now: float):
        self.request = request
        self.attempt_log = attempt_log
        self.state = GenerationState(attempt_log, ProgressMonitor(now))
        self.delivered_position = attempt_log.end_position
        self.error: RequestError | None = None
        self.handover = False
        self.wake = asyncio.Event()
        self.started_at = now
        self.first_token_at: float | None = None
        self.last_token_at = now
        self.first_position = attempt_log.end_position
        self.ticket: Ticket | None = None
        self.resumed_address = ""
        # Time since which its engines are silent, why it stays at the present one, and
        # when it looks for a better one.
        self.silent_since: float | None = None
        self.stay_cause = ""
        self.next_stay_check_at = 0.0

    @property
    def generation(self) -> str:
        """Id of the generation."""
        return self.attempt_log.generation

    @property
    def event_id(self) -> EventId:
        """Id of the next event to the caller."""
        return EventId(
            self.generation,
            self.attempt_log.attempt,
            self.state.address,
            self.delivered_position,
        )

    @property
    def has_output(self) -> bool:
        """Whether tokens, an error or a handover can be sent to the caller."""
        return self.has_tokens or self.error is not None or self.handover

    @property
    def has_tokens(self) -> bool:
        """Whether `take_chunk` would return tokens or the finish reason."""
        end = self.attempt_log.end_position
        return end > self.delivered_position or (
            bool(self.attempt_log.finish) and end >= self.delivered_position
        )

    async def wait(self, timeout_s: float) -> bool:
        """Wait for output; return False after `timeout_s` seconds without any."""
        while not self.has_output:
            self.wake.clear()
            try:
                async with asyncio.timeout(timeout_s):
                    await self.wake.wait()
            except TimeoutError:
                return False
        return True

    async def wait_for_end(self) -> None:
        """Wait until the generation has finished or failed."""
        while not self.is_ended:
            self.wake.clear()
            await self.wake.wait()

    def take_chunk(self) -> TokenChunk:
        """Return the undelivered tokens and mark them as delivered."""
        chunk = self.attempt_log.slice_from(self.delivered_position)
        self.delivered_position = max(self.delivered_position, chunk.end_position)
        return chunk

    def accept(self, chunk: link_pb2.Chunk, now: float) -> int:
        """Add a chunk from a link; return the number of tokens accepted."""
        accepted = self.attempt_log.accept(chunk)
        if accepted or self.attempt_log.finish:
            if self.first_token_at is None:
                self.first_token_at = now
            self.last_token_at = now
            self.state.progress.note_tokens(now)
            self.silent_since = None
            self.end_stay()
            self.wake.set()
        return accepted

    def end_stay(self) -> None:
        """Note that the engine has gone on, or that the session leaves it."""
        self.stay_cause, self.next_stay_check_at = "", 0.0

    def outcome(self) -> RequestOutcome:
        """Return the outcome of the ended session."""
        produced = self.attempt_log.end_position - self.first_position
        first = self.first_token_at
        # The first token of a resumed answer was sent by another entry.
        resumed = bool(self.resumed_address)
        token_gap_s = None
        if first is not None and produced > 1:
            token_gap_s = (self.last_token_at - first) / (produced - 1)
        return RequestOutcome(
            self.request.route.service,
            self.attempt_log.version,
            self.request.kind,
            self.error is not None and self.error.code != "superseded",
            None if first is None or resumed else first - self.started_at,
            token_gap_s,
        )

    @property
    def is_ended(self) -> bool:
        """Whether the generation has finished or failed."""
        return bool(self.attempt_log.finish) or self.error is not None
