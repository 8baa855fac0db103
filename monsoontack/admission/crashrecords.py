"""Crashes of servers and the requests that they ran, as all entries report them.

No entry sees all requests that a server ran, and none sees all crashes. So entries
exchange a record of each crash with the requests on which the server had not gone on
answering, and for each part of these requests when a server last began an answer on it
and went on. Records merge in any order: requests are united, and later times replace
earlier ones. Times are seconds of the event loop's clock; between entries, records
carry ages.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

import structlog

from monsoontack.admission.requestcontent import RequestContent, is_request
from monsoontack.core.changes import ChangeCounter

log = structlog.get_logger("admission.crashes")

# The deployment loses 15 VMs on an ordinary day; more crashes in an hour have a cause
# that the newest ones show.
MAX_CRASHES = 256
# Several hundred calls may be in flight at a server of a plain service.
MAX_REQUESTS_PER_CRASH = 512
# Requests of all crashes, which bounds memory and the largest message: about 1 MB.
MAX_REQUESTS = 16_384
FORGOTTEN_AT_ONCE = 32
MAX_CRASHES_OF_A_MOMENT = 8
# Crashes of one part above which a further one makes none of them more worth keeping.
MAX_WEIGHT = 4
# Crashes within this time count as one: a power loss or a kill takes many servers at
# the same moment, whatever they run.
SAME_MOMENT_S = 0.3
# Entries do not lose a server at quite the same time, and messages take some time. A
# crash that one of them saw earlier than that is told again.
MAX_TIME_ERROR_S = 0.1
RETENTION_S = 3600.0
# An answer that began this long before a crash still clears its parts: a part that
# crashes servers does so each time, and reports of other entries arrive late.
SOUND_BEFORE_CRASH_S = 2.0
# Crashes from which on a whole request is looked at. Most requests do not recur, so
# entries tell each other only of these that they were answered.
MIN_CRASHES_OF_A_REQUEST = 2


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """A crash of a server at the time `at` and the requests that may have caused it."""

    requests: tuple[RequestContent, ...]
    at: float


@dataclass(frozen=True, slots=True)
class PartRecord:
    """What is known of a part of the requests in crash records; None if nothing is.

    `sound_at` is when a server began the latest answer on it that went on, `trial_at`
    when an entry last sent a request with it although it was blocked.
    """

    sound_at: float | None = None
    trial_at: float | None = None


NO_RECORD = PartRecord()


@dataclass(frozen=True, slots=True)
class CrashNews:
    """Records for another entry, with ages in seconds instead of times.

    `crashes` maps the start of a server to the age and the requests of its crash,
    `parts` the id of a part to the ages of its `sound_at` and `trial_at`.
    """

    crashes: Mapping[str, tuple[float, tuple[RequestContent, ...]]]
    parts: Mapping[str, tuple[float | None, float | None]]


NO_NEWS = CrashNews({}, {})


@dataclass(slots=True, repr=False)
class CrashRecords:
    """All crash records by the start of the server, and the records of their parts.

    `crashes_by_part` names the crashes with a part. `version` counts the changes that
    may alter a decision, `request_count` the requests of all crashes.
    """

    changes: ChangeCounter = field(default_factory=ChangeCounter)
    crashes: dict[str, CrashRecord] = field(default_factory=dict)
    parts: dict[str, PartRecord] = field(default_factory=dict)
    crashes_by_part: dict[str, set[str]] = field(default_factory=dict)
    change_numbers: dict[tuple[str, str], int] = field(default_factory=dict)
    version: int = 0
    request_count: int = 0

    def add_crash(
        self, server: str, requests: Iterable[RequestContent], at: float
    ) -> bool:
        """Record a crash, or further requests of a known one; return if any is new.

        Requests of which no part can have caused the crash are left out. A crash
        without any request shows that servers crash for other reasons.
        """
        known = self.crashes.get(server)
        before = () if known is None else known.requests
        united = self._unite(before, requests, at)
        if known is None:
            if self._is_mass_event(at):
                return False
        elif united == before and at >= known.at - MAX_TIME_ERROR_S:
            return False
        at = at if known is None else min(at, known.at)
        self.crashes[server] = CrashRecord(united, at)
        self.request_count += len(united) - len(before)
        for request in united:
            for part in request.parts:
                self.crashes_by_part.setdefault(part, set()).add(server)
        self._note_change("crash", server)
        self._limit_count()
        return server in self.crashes

    def _unite(
        self,
        before: tuple[RequestContent, ...],
        requests: Iterable[RequestContent],
        at: float,
    ) -> tuple[RequestContent, ...]:
        """Return the requests of a crash with further ones, within the bound.

        If there are too many, those of other crashes stay: a cause recurs.
        """
        seen = set(before)
        added = [
            request
            for request in dict.fromkeys(requests)
            if request not in seen and self.candidates(request, at)
        ]
        if len(before) + len(added) > MAX_REQUESTS_PER_CRASH:
            added.sort(key=self._is_new)
        return (*before, *added)[:MAX_REQUESTS_PER_CRASH]

    def _is_new(self, request: RequestContent) -> bool:
        """Whether no crash has the most specific part of a request."""
        return request.parts[-1] not in self.crashes_by_part

    def _is_mass_event(self, at: float) -> bool:
        """Whether so many servers crashed at this moment that more tell nothing."""
        same = sum(abs(c.at - at) < SAME_MOMENT_S for c in self.crashes.values())
        return same >= MAX_CRASHES_OF_A_MOMENT

    def add_sound(self, part: str, began_at: float) -> bool:
        """Record that a server began an answer on a part and went on.

        Returns whether that is new, which it is only if it clears the part of a crash.
        """
        record = self.parts.get(part, NO_RECORD)
        servers = self.crashes_by_part.get(part, ())
        if is_request(part) and len(servers) < MIN_CRASHES_OF_A_REQUEST:
            return False
        is_first = record.sound_at is None and bool(servers)
        clears = any(
            not is_sound(record, self.crashes[server].at)
            and began_at >= self.crashes[server].at - SOUND_BEFORE_CRASH_S
            for server in servers
        )
        if not (is_first or clears):
            return False
        self.parts[part] = replace(record, sound_at=began_at)
        self._note_change("part", part)
        return True

    def add_trial(self, part: str, at: float) -> bool:
        """Record that a request with a blocked part was sent; return if that is new."""
        record = self.parts.get(part, NO_RECORD)
        if part not in self.crashes_by_part:
            return False
        if record.trial_at is not None and record.trial_at >= at - 1.0:
            # The same trial, whose age another entry counted a little differently.
            return False
        self.parts[part] = replace(record, trial_at=at)
        self._note_change("part", part)
        return True

    def candidates(self, request: RequestContent, crash_at: float) -> list[str]:
        """Return the parts of a request that may have caused a crash.

        A part of a prompt on which a server has ever gone on answering is a candidate
        only if that is true of all its parts that the crash leaves open.
        """
        records = {part: self.parts.get(part, NO_RECORD) for part in request.parts}
        left = [p for p, record in records.items() if not is_sound(record, crash_at)]
        unproven = [part for part in left if records[part].sound_at is None]
        if all(is_request(part) for part in unproven):
            return left
        return unproven

    def uncleared_crashes(self, part: str, sound_at: float) -> int:
        """Return the crashes with a part that no answer has cleared it of.

        `sound_at` is when the latest answer on it began, as far as this entry knows.
        """
        record = self.parts.get(part, NO_RECORD)
        if record.sound_at is not None:
            sound_at = max(sound_at, record.sound_at)
        since = sound_at + SOUND_BEFORE_CRASH_S
        return sum(self._at(s) > since for s in self.crashes_by_part.get(part, ()))

    def news_since(self, number: int, now: float) -> CrashNews:
        """Return the records that changed after the change with this number."""
        crashes, parts = {}, {}
        for (table, key), changed in self.change_numbers.items():
            if changed <= number:
                continue
            if table == "crash":
                record = self.crashes[key]
                crashes[key] = (now - record.at, record.requests)
            else:
                part = self.parts[key]
                parts[key] = (_age(part.sound_at, now), _age(part.trial_at, now))
        return CrashNews(crashes, parts)

    def merge(self, news: CrashNews, now: float) -> list[str]:
        """Adopt the news of another entry; return the parts whose records are new."""
        changed = []
        for server, (age_s, requests) in news.crashes.items():
            if age_s < RETENTION_S and self.add_crash(server, requests, now - age_s):
                changed += [p for request in requests for p in request.parts]
        for part, (sound_age_s, trial_age_s) in news.parts.items():
            if sound_age_s is not None and self.add_sound(part, now - sound_age_s):
                changed.append(part)
            if trial_age_s is not None and self.add_trial(part, now - trial_age_s):
                changed.append(part)
        return changed

    def forget_old(self, now: float) -> None:
        """Forget crashes of long ago and the parts that no crash names any more."""
        for server, record in list(self.crashes.items()):
            if now >= record.at + RETENTION_S:
                self._forget(server)

    def _limit_count(self) -> None:
        """Forget some crashes if there are too many, the least telling ones first."""
        if len(self.crashes) <= MAX_CRASHES and self.request_count <= MAX_REQUESTS:
            return
        by_weight = sorted(
            self.crashes, key=lambda server: (self._weight(server), self._at(server))
        )
        for server in by_weight[:FORGOTTEN_AT_ONCE]:
            self._forget(server)
        log.warning("too many engine crashes to keep", forgotten=FORGOTTEN_AT_ONCE)

    def _weight(self, server: str) -> int:
        """Return the most crashes of any part that may have caused this one."""
        crash = self.crashes[server]
        parts = {p for x in crash.requests for p in self.candidates(x, crash.at)}
        counts = [len(self.crashes_by_part[part]) for part in parts]
        return min(max(counts, default=0), MAX_WEIGHT)

    def _at(self, server: str) -> float:
        return self.crashes[server].at

    def _forget(self, server: str) -> None:
        record = self.crashes.pop(server)
        self.request_count -= len(record.requests)
        self.change_numbers.pop(("crash", server), None)
        self.version += 1
        for part in {p for request in record.requests for p in request.parts}:
            servers = self.crashes_by_part[part]
            servers.discard(server)
            if not servers:
                del self.crashes_by_part[part]
                self.parts.pop(part, None)
                self.change_numbers.pop(("part", part), None)

    def _note_change(self, table: str, key: str) -> None:
        self.change_numbers[table, key] = self.changes.next()
        self.version += 1


def is_sound(record: PartRecord, crash_at: float) -> bool:
    """Whether a server went on answering on a part too late for a crash to be its."""
    sound_at = record.sound_at
    return sound_at is not None and sound_at >= crash_at - SOUND_BEFORE_CRASH_S


def _age(at: float | None, now: float) -> float | None:
    return None if at is None else now - at
