"""A read of the store's objects of a kind, and the answer of one of its sources."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from returns.result import Result

from monsoontack.gateway.peers import PeerResponse
from monsoontack.store.api import KindChanges, KindList


@dataclass(frozen=True, slots=True, repr=False)
class FeedRead:
    """A list of a kind, or a watch for changes after a revision of at most `wait_s`.

    `read_store` reads the store, with the wait as its argument. `started_at` is the
    event loop's time at its start, `boot_time_s` that of the boot clock.
    """

    kind: str
    after: int | None
    wait_s: float
    read_store: Callable[[float], Awaitable[Result]]
    decode: Callable[[PeerResponse], KindList | KindChanges]
    started_at: float
    boot_time_s: float

    @property
    def is_list(self) -> bool:
        """Whether all objects are read."""
        return self.after is None


@dataclass(frozen=True, slots=True)
class Answer:
    """A usable result, and the entries between the store and this one.

    Its time of confirmation counts from the start of the read.
    """

    result: Result
    path: tuple[str, ...] = ()

    @classmethod
    def from_result(
        cls, result: Result, delay_s: float, path: tuple[str, ...] = ()
    ) -> "Answer":
        """Return the answer of a source that was asked `delay_s` after the start."""
        return cls(result.map(lambda found: _delayed(found, delay_s)), path)


def _delayed(found: KindList | KindChanges, delay_s: float) -> KindList | KindChanges:
    return replace(found, confirmed_after_s=found.confirmed_after_s + delay_s)
