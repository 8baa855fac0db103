"""Decides whether a stream has all that was asked for, without I/O.

The end of a stream is known only to the engine that generates it. A request states the
most tokens that it may get, and a stream often ends before. A whole answer without any
event therefore does not end a stream: an engine that has forgotten it, or never knew
it, answers in the same way.

As a rule each numbered event with content has at least one token. A stream that has as
many of them as tokens were stated can then get no other one. An engine may send events
that count no token, though, so even such a stream is ended only by the answer of its
engine, for which it waits, or by empty answers of two others that agree in their heads.
"""

from monsoontack.generation.continuation import StreamPosition


def has_all_stated(position: StreamPosition, stated_tokens: int) -> bool:
    """Whether no further token can come; `stated_tokens` is 0 if none were stated.

    The ids themselves prove nothing, as they may count anything, nor does the id that a
    caller resumed after.
    """
    return 0 < stated_tokens <= position.event_count
