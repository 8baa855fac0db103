"""Contiguous output of one generation, assembled from its attempts.

`AttemptLog` decides which tokens belong to an answer. Chunks arrive from several
attempts on several engines and may be repeated, late or out of order. Only the
current attempt extends the accepted prefix, and only at its end.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from monsoontack.core.records import TokenChunk


@dataclass(slots=True, repr=False)
class AttemptLog:
    """Accepted tokens of one generation and the attempt that may extend them.

    `base_position` is the position of `tokens[0]`. It is above zero only while this
    entry lacks the beginning of an answer whose first `base_position` tokens the
    caller already has. `delivered_position` is the length of the answer that a
    reconnecting caller has, if its tokens are not known. `dropped` counts rejected
    chunks by reason. `finish` is the finish reason of the answer, empty while it is
    unfinished.
    """

    generation: str
    version: str
    attempt: int = 0
    base_position: int = 0
    delivered_position: int = 0
    tokens: list[int] = field(default_factory=list)
    texts: list[str] = field(default_factory=list)
    finish: str = ""
    awaiting_replay: bool = False
    dropped: Counter = field(default_factory=Counter)

    @classmethod
    def from_received(
        cls, generation: str, version: str, tokens: Sequence[int]
    ) -> "AttemptLog":
        """Return a log whose prefix was sent by the reconnecting caller."""
        texts = [""] * len(tokens)
        return cls(generation, version, tokens=list(tokens), texts=texts)

    @classmethod
    def from_position(cls, generation: str, version: str, position: int):
        """Return a log of an answer whose delivered length alone is known.

        The first chunk must start at or before `position`; it sets `base_position`.
        """
        return cls(
            generation,
            version,
            base_position=position,
            delivered_position=position,
            awaiting_replay=True,
        )

    @property
    def end_position(self) -> int:
        """Position after the last accepted token."""
        return self.base_position + len(self.tokens)

    @property
    def has_whole_prefix(self) -> bool:
        """Whether another engine can continue from the tokens held here."""
        return self.base_position == 0 and not self.awaiting_replay

    def begin_attempt(self, attempt: int) -> None:
        """Make `attempt` the only attempt that extends the prefix."""
        if attempt <= self.attempt:
            raise ValueError(f"attempt {attempt} must exceed {self.attempt}")
        self.attempt = attempt

    def accept(self, chunk: TokenChunk) -> int:
        """Append the tokens of `chunk` that extend the prefix; return their number.

        `chunk` may be any object with the fields of `TokenChunk`, such as the
        link's protobuf message. A chunk of another generation or attempt, a
        malformed chunk, a chunk after the end and a chunk that leaves a gap are
        dropped and counted.
        """
        reason = self._refusal(chunk)
        if reason:
            self.dropped[reason] += 1
            return 0
        if self.awaiting_replay:
            self.base_position = chunk.first_position
            self.awaiting_replay = False
        overlap = self.end_position - chunk.first_position
        new_tokens = chunk.tokens[overlap:]
        if overlap > len(chunk.tokens) or (overlap and not new_tokens):
            self.dropped["repeated"] += 1
        self.tokens.extend(new_tokens)
        self.texts.extend(chunk.texts[overlap:])
        is_short = self.end_position < self.delivered_position
        if chunk.finish and overlap <= len(chunk.tokens) and not is_short:
            self.finish = chunk.finish
        return len(new_tokens)

    def _refusal(self, chunk: TokenChunk) -> str:
        if chunk.generation != self.generation:
            return "other_generation"
        if chunk.attempt != self.attempt:
            return "other_attempt"
        if self.finish:
            return "after_end"
        if len(chunk.tokens) != len(chunk.texts):
            return "malformed"
        # While a replay is awaited, `end_position` is the delivered length.
        if chunk.first_position > self.end_position:
            return "gap"
        return ""

    def slice_from(self, position: int) -> TokenChunk:
        """Return the accepted tokens from `position` on as one chunk."""
        start = max(position - self.base_position, 0)
        return TokenChunk(
            generation=self.generation,
            attempt=self.attempt,
            first_position=self.base_position + start,
            tokens=tuple(self.tokens[start:]),
            texts=tuple(self.texts[start:]),
            finish=self.finish,
        )
