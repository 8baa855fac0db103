"""Compact storage of the output tokens of one stream, about 12 bytes a token.

A list of strings would take about 60 bytes a token, and an agent stores the tokens of
all running and recently ended streams.
"""

from array import array
from collections.abc import Sequence

from monsoontack.generation.continuation import output_error


class TokenLog:
    """Consecutive tokens and their texts, starting at position `first_position`."""

    def __init__(self, first_position: int) -> None:
        self.first_position = first_position
        self.tokens = array("I")
        self.text_bytes = bytearray()
        self.text_ends = array("I")

    @property
    def end(self) -> int:
        """Position after the last token."""
        return self.first_position + len(self.tokens)

    def append(self, tokens: Sequence[int], texts: Sequence[str]) -> None:
        """Append tokens, each with its text."""
        for token, text in zip(tokens, texts, strict=True):
            self.text_bytes += text.encode("utf-8", "replace")
            self.tokens.append(token)
            self.text_ends.append(len(self.text_bytes))

    def output_error(
        self, first_position: int, tokens: Sequence[int], finish: str
    ) -> str:
        """Return why an engine's tokens do not extend the log, or an empty string."""
        return output_error(
            self.first_position, self.tokens, first_position, tokens, finish
        )

    def slice(self, begin: int, end: int) -> tuple[list[int], list[str]]:
        """Return the tokens and texts from position `begin` up to `end`, exclusive."""
        first, last = begin - self.first_position, end - self.first_position
        ends = self.text_ends[first:last]
        start = self.text_ends[first - 1] if first else 0
        texts = []
        for stop in ends:
            texts.append(self.text_bytes[start:stop].decode("utf-8"))
            start = stop
        return self.tokens[first:last].tolist(), texts

    def matches_prefix(self, prefix: Sequence[int]) -> bool:
        """Return whether the log agrees with `prefix`, an answer from position 0.

        The prefix must end inside the log, and its tokens must equal those of the log
        at all positions that both have.
        """
        if not self.first_position <= len(prefix) <= self.end:
            return False
        held = len(prefix) - self.first_position
        return list(prefix[self.first_position :]) == self.tokens[:held].tolist()

    def truncated(self, end: int) -> "TokenLog":
        """Return a copy with the tokens before position `end`."""
        copy = TokenLog(self.first_position)
        kept = end - self.first_position
        copy.tokens = self.tokens[:kept]
        copy.text_ends = self.text_ends[:kept]
        copy.text_bytes = self.text_bytes[: copy.text_ends[-1] if kept else 0]
        return copy
