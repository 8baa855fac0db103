"""Counts the load of one attempt of a stream on its engines."""

from dataclasses import dataclass

from monsoontack.gateway.fleet import Member
from monsoontack.loadview.exchange import LoadExchange


@dataclass(slots=True, repr=False)
class AttemptLoad:
    """Load of one attempt on its engine, and on the engine that gets its copy.

    `held_tokens` is the KV cache that the run may take at both engines,
    `waiting_tokens` the part of its prompt that the engine has yet to read.
    `load_exchange`, if there is one, announces changes to the other entries.
    """

    load_exchange: LoadExchange | None
    member: Member
    backup: Member | None
    held_tokens: int
    waiting_tokens: int

    def add(self) -> None:
        """Count the load from the start of the attempt."""
        self.member.waiting_tokens += self.waiting_tokens
        self._count(1)

    def remove(self) -> None:
        """End the count with the attempt."""
        self.note_prompt_read()
        self._count(-1)

    def note_prompt_read(self) -> None:
        """Remove the prompt from the engine's waiting tokens once it has been read."""
        waiting_tokens, self.waiting_tokens = self.waiting_tokens, 0
        self.member.waiting_tokens -= waiting_tokens
        if waiting_tokens and self.load_exchange is not None:
            self.load_exchange.mark_changed([self.member], is_start=False)

    def _count(self, sign: int) -> None:
        self.member.in_flight += sign
        self.member.held_tokens += sign * self.held_tokens
        touched = [self.member]
        if self.backup is not None:
            self.backup.held_tokens += sign * self.held_tokens
            touched.append(self.backup)
        if self.load_exchange is not None:
            self.load_exchange.mark_changed(touched, is_start=sign > 0)
