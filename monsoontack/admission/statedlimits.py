"""Request rates that backend servers state for themselves, for all entries together.

A server in need names in its responses the requests a second that it takes from all
entries together, for as long as it says so. `StatedLimits` holds what is known of all
servers and merges the news of other entries. Each change of a server's limit gets the
next version number, so that old news does not replace newer news. Of two changes with
the same version, which different entries observed at the same time, the lower rate
wins; the next response of the server settles which one is right.
"""

import math
import re
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

import structlog

from monsoontack.core.changes import ChangeCounter

log = structlog.get_logger("admission.limits")

# A server that takes no request at all could never state that its need has ended, so
# one request in this many seconds is always allowed.
MIN_RATE_PER_S = 0.1
# Above the peak of the largest deployment, so that a higher limit does not bind.
MAX_RATE_PER_S = 100_000.0
DECIMAL_NUMBER = re.compile(r"\d{1,12}(\.\d{1,12})?", re.ASCII)
MAX_LOGGED_CHARACTERS = 40
# Servers with a record; the largest deployment has 850 engines.
MAX_RECORDS = 4_096
MAX_VERSION = 2**53
# An ended limit, and a limit of a server that is not in the list of servers, are
# forgotten after this time. Old news must not bring them back before.
FORGET_AFTER_S = 60.0


def parse_limit(text: str) -> float | None:
    """Return a stated limit in requests a second, or None if it is malformed.

    A number outside of the permitted range is replaced by the end of the range.
    """
    text = text.strip(" \t")
    if DECIMAL_NUMBER.fullmatch(text) is None:
        return None
    return min(max(float(text), MIN_RATE_PER_S), MAX_RATE_PER_S)


@dataclass(frozen=True, slots=True)
class LimitRecord:
    """What is known of a server's limit; a `rate` of None means that it has none."""

    version: int
    rate: float | None

    def supersedes(self, other: "LimitRecord | None") -> bool:
        """Whether this record replaces another one of the same server."""
        if other is None or self.version != other.version:
            return other is None or self.version > other.version
        return _rate_or_infinity(self) < _rate_or_infinity(other)


def _rate_or_infinity(record: LimitRecord) -> float:
    return math.inf if record.rate is None else record.rate


@dataclass(slots=True, repr=False)
class StatedLimits:
    """Known limits by server; a server's key identifies one start of it.

    `changed_at` is the time of the last change of a record, `change_numbers` the number
    of that change, by which the news for another entry are selected.
    """

    records: dict[str, LimitRecord] = field(default_factory=dict)
    changed_at: dict[str, float] = field(default_factory=dict)
    change_numbers: dict[str, int] = field(default_factory=dict)
    changes: ChangeCounter = field(default_factory=ChangeCounter)

    def rate(self, key: str) -> float | None:
        """Return the limit of a server in requests a second, None without one."""
        record = self.records.get(key)
        return None if record is None else record.rate

    def limited(self) -> list[str]:
        """Return the keys of the servers with a limit."""
        return [key for key, record in self.records.items() if record.rate is not None]

    def observe(self, key: str, text: str | None, sent_at: float, now: float) -> bool:
        """Record the limit in a response; return whether that changed anything.

        `text` is the stated limit, None if the response states none. `sent_at` is the
        time of the request. A malformed limit changes nothing.
        """
        record = self.records.get(key)
        if text is None:
            # A response without a limit may be older than the limit if its request
            # was sent before the limit was known here.
            if record is None or record.rate is None or sent_at < self.changed_at[key]:
                return False
            return self._adopt(key, LimitRecord(record.version + 1, None), now)
        rate = parse_limit(text)
        if rate is None or rate != float(text):
            log.warning(
                "limit of backend server malformed or out of range",
                server=key,
                stated=text[:MAX_LOGGED_CHARACTERS],
                used=rate,
            )
        if rate is None or (record is not None and record.rate == rate):
            return False
        version = 1 if record is None else record.version + 1
        return self._adopt(key, LimitRecord(version, rate), now)

    def merge(self, news: Mapping[str, LimitRecord], now: float) -> bool:
        """Adopt what is newer in the news of another entry; return whether any was."""
        changed = False
        for key, record in news.items():
            if record.supersedes(self.records.get(key)):
                changed |= self._adopt(key, record, now, source="entry")
        return changed

    def news_since(self, change_number: int) -> dict[str, LimitRecord]:
        """Return the records that changed after the change with this number."""
        return {
            key: self.records[key]
            for key, number in self.change_numbers.items()
            if number > change_number
        }

    def forget_old(self, known_servers: Collection[str], now: float) -> None:
        """Forget ended limits and the limits of servers that have long been gone."""
        for key, record in list(self.records.items()):
            is_needed = record.rate is not None and key in known_servers
            if not is_needed and now > self.changed_at[key] + FORGET_AFTER_S:
                del self.records[key], self.changed_at[key], self.change_numbers[key]

    def _adopt(
        self, key: str, record: LimitRecord, now: float, source: str = "response"
    ) -> bool:
        if key not in self.records and len(self.records) >= MAX_RECORDS:
            log.error("too many servers with a limit", server=key, known=MAX_RECORDS)
            return False
        previous = self.rate(key)
        self.records[key], self.changed_at[key] = record, now
        self.change_numbers[key] = self.changes.next()
        if record.rate != previous:
            log.info(
                "limit of backend server changed",
                server=key,
                rate_per_s=record.rate,
                previous_per_s=previous,
                source=source,
                version=record.version,
            )
        return True
