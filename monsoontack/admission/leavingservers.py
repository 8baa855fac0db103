"""Starts of backend servers that have said that they are leaving.

A server says it in its record of the store or in its responses. It holds for that start
of the server and for earlier ones, whatever record of them arrives later: a record may
be old, or restored from a copy. A later start under the same name is a new server.

What responses say is passed on to the other entries, since not every entry sends the
server a request; records reach all entries through the store.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import structlog

from monsoontack.core.changes import ChangeCounter

log = structlog.get_logger("admission.leaving")

# Names kept for other entries; the largest deployment has 850 engines.
MAX_RECORDS = 4_096
# A name is no longer passed on after this time without a record in the store. Old
# records of a store that was restored from a copy come back earlier.
FORGET_AFTER_S = 600.0


@dataclass(slots=True, repr=False)
class LeavingServers:
    """The latest start of each server that is leaving, by name, in Unix ms.

    `noted_at` holds the time of what responses said and `change_numbers` the numbers of
    these changes, by which the news for another entry are selected. `on_left` is called
    with the name and start of a server, and with the source, `response` or `entry`, of
    what was said.
    """

    starts_ms: dict[str, int] = field(default_factory=dict)
    noted_at: dict[str, float] = field(default_factory=dict)
    change_numbers: dict[str, int] = field(default_factory=dict)
    changes: ChangeCounter = field(default_factory=ChangeCounter)
    on_left: Callable[[str, int, str], None] = lambda name, started_ms, source: None

    def has_left(self, name: str, started_ms: int) -> bool:
        """Whether this start of a server gets no new work any more."""
        return started_ms <= self.starts_ms.get(name, -1)

    def note_record(self, name: str, started_ms: int) -> None:
        """Note that the record of a server says that it is leaving."""
        self.starts_ms[name] = max(started_ms, self.starts_ms.get(name, -1))

    def observe(self, name: str, started_ms: int, now: float) -> bool:
        """Note that a response says it; return whether that is new."""
        return self._adopt(name, started_ms, now, "response")

    def merge(self, news: Mapping[str, int], now: float) -> bool:
        """Adopt the news of another entry; return whether any was new."""
        found = [self._adopt(n, ms, now, "entry") for n, ms in news.items()]
        return any(found)

    def news_since(self, change_number: int) -> dict[str, int]:
        """Return what responses said after the change with this number."""
        return {
            name: self.starts_ms[name]
            for name, number in self.change_numbers.items()
            if number > change_number
        }

    def forget_old(self, known_names: Callable[[str], bool], now: float) -> None:
        """Stop passing on the servers that have long been gone."""
        for name, noted_at in list(self.noted_at.items()):
            if now > noted_at + FORGET_AFTER_S and not known_names(name):
                del self.noted_at[name], self.change_numbers[name]

    def _adopt(self, name: str, started_ms: int, now: float, source: str) -> bool:
        if self.has_left(name, started_ms):
            return False
        if name in self.noted_at or len(self.noted_at) < MAX_RECORDS:
            self.noted_at[name] = now
            self.change_numbers[name] = self.changes.next()
        else:
            log.error("too many leaving servers", server=name, known=MAX_RECORDS)
            if source == "entry":
                return False
        self.starts_ms[name] = started_ms
        self.on_left(name, started_ms, source)
        return True
