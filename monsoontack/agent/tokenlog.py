"""Output tokens of one stream, stored in about 12 bytes a token.

A list of strings would take about 60 bytes a token; an agent holds the tokens
of all running and recently ended streams.
"""

from array import array
from collections.abc import Sequence


class TokenLog:
    """Consecutive tokens and their texts from position `base` on."""

    def __init__(self, base: int) -> None:
        self.base = base
        self.tokens = array("I")
        self.text = bytearray()
        self.text_ends = array("I")

    @property
    def end(self) -> int:
        """Position after the last token."""
        return self.base + len(self.tokens)

    def append(self, tokens: Sequence[int], texts: Sequence[str]) -> None:
        """Add tokens with one text each at the end."""
        for token, text in zip(tokens, texts, strict=True):
            self.text += text.encode("utf-8", "replace")
            self.tokens.append(token)
            self.text_ends.append(len(self.text))

    def slice(self, begin: int, end: int) -> tuple[list[int], list[str]]:
        """Return tokens and texts of the positions from `begin` up to `end`."""
        first, last = begin - self.base, end - self.base
        ends = self.text_ends[first:last]
        start = self.text_ends[first - 1] if first else 0
        texts = []
        for stop in ends:
            texts.append(self.text[start:stop].decode("utf-8"))
            start = stop
        return self.tokens[first:last].tolist(), texts

    def holds_prefix(self, prefix: Sequence[int]) -> bool:
        """Return whether `prefix`, an answer from position 0, fits this log.

        It fits if it ends inside the log and agrees on all positions held.
        """
        if not self.base <= len(prefix) <= self.end:
            return False
        held = len(prefix) - self.base
        return list(prefix[self.base :]) == self.tokens[:held].tolist()

    def truncated(self, end: int) -> "TokenLog":
        """Return a copy that stops before position `end`."""
        copy = TokenLog(self.base)
        kept = end - self.base
        copy.tokens = self.tokens[:kept]
        copy.text_ends = self.text_ends[:kept]
        copy.text = self.text[: copy.text_ends[-1] if kept else 0]
        return copy
