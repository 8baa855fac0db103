"""Load, token progress and cache events of one engine, as frames report them."""

from collections import deque
from dataclasses import dataclass, field, replace

from monsoontack.core.records import LoadReport

GAP_WINDOW = 512
CACHE_HISTORY = 1024


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of the engine's prefix cache; `kind` is stored, evicted or cleared."""

    sequence: int
    kind: str
    blocks: tuple[int, ...]


@dataclass(slots=True)
class TokenProgress:
    """When tokens came from the engine, and how far apart in one stream."""

    last_token_at: float
    last_of_run: dict[int, float] = field(default_factory=dict)
    gaps: deque[float] = field(default_factory=lambda: deque(maxlen=GAP_WINDOW))

    def record(self, run: int, now: float) -> None:
        """Note that tokens of an engine run arrived."""
        previous = self.last_of_run.get(run)
        if previous is not None:
            self.gaps.append(now - previous)
        self.last_of_run[run] = now
        self.last_token_at = now

    def forget(self, run: int) -> None:
        """Drop a run that has ended."""
        self.last_of_run.pop(run, None)

    def gap_p99_s(self) -> float:
        """Return the recent 99th percentile of the gaps, 0 without any."""
        if not self.gaps:
            return 0.0
        ordered = sorted(self.gaps)
        return ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)]


@dataclass(slots=True)
class EngineView:
    """What the agent knows of its backend server besides the streams.

    `cache_sequence` is the engine's last sequence number; entries see it plus
    `cache_offset`. `info_changes` counts changes that links must be told.
    """

    versions: tuple[str, ...]
    slots: int
    progress: TokenProgress
    load: LoadReport | None = None
    cache_events: deque[CacheEvent] = field(
        default_factory=lambda: deque(maxlen=CACHE_HISTORY)
    )
    cache_sequence: int = 0
    cache_offset: int = 0
    info_changes: int = 1

    def update_versions(self, versions: tuple[str, ...]) -> bool:
        """Take the versions that the engine reports; True if they changed."""
        if versions == self.versions:
            return False
        self.versions = versions
        self.info_changes += 1
        return True

    def add_cache_events(self, events: list[CacheEvent]) -> bool:
        """Keep the events that are new; True if there are any."""
        new = [event for event in events if event.sequence > self.cache_sequence]
        for event in new:
            number = self.cache_offset + event.sequence
            self.cache_events.append(replace(event, sequence=number))
        if new:
            self.cache_sequence = new[-1].sequence
        return bool(new)

    def reset_cache(self) -> None:
        """Start over after the engine was unreachable, as it may be a new one.

        Entries see the event `cleared`. A new engine counts from 1 again, so an
        offset keeps the numbers that entries see increasing.
        """
        self.cache_offset += self.cache_sequence + 1
        self.cache_sequence = 0
        self.cache_events.clear()
        self.cache_events.append(CacheEvent(self.cache_offset, "cleared", ()))

    def cache_events_after(self, sequence: int) -> list[CacheEvent]:
        """Return the kept events above a sequence number, oldest first."""
        newest_first = []
        for event in reversed(self.cache_events):
            if event.sequence <= sequence:
                break
            newest_first.append(event)
        return newest_first[::-1]
