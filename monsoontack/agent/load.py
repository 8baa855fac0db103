"""Load, token progress and cache events of one engine, for the agent's frames."""

from collections import deque
from dataclasses import dataclass, field, replace

from monsoontack.core.records import LoadReport

TOKEN_GAP_SAMPLE_COUNT = 512
MAX_CACHE_EVENTS = 1024


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Change of the engine's prefix cache.

    `kind` is `stored`, `evicted` or `cleared`.
    """

    sequence: int
    kind: str
    blocks: tuple[int, ...]


@dataclass(slots=True, repr=False)
class TokenProgress:
    """Arrival times of tokens from the engine, and the gaps within single runs."""

    last_token_at: float
    last_token_at_by_run: dict[int, float] = field(default_factory=dict)
    gaps_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=TOKEN_GAP_SAMPLE_COUNT)
    )

    def record(self, run_id: int, now: float) -> None:
        """Record that tokens of an engine run arrived."""
        previous = self.last_token_at_by_run.get(run_id)
        if previous is not None:
            self.gaps_s.append(now - previous)
        self.last_token_at_by_run[run_id] = now
        self.last_token_at = now

    def forget(self, run_id: int) -> None:
        """Remove a run that has ended."""
        self.last_token_at_by_run.pop(run_id, None)

    def gap_p99_s(self) -> float:
        """Return the 99th percentile of the recent gaps, or 0 if there are none."""
        if not self.gaps_s:
            return 0.0
        ordered = sorted(self.gaps_s)
        return ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)]


@dataclass(slots=True, repr=False)
class EngineView:
    """The agent's view of its backend server, without the streams.

    `cache_sequence` is the last sequence number received from the engine. Entries
    receive it plus `cache_offset`. `info_changes` counts the changes of `AgentInfo`
    that must be sent on every link.
    """

    versions: tuple[str, ...]
    slots: int
    progress: TokenProgress
    load: LoadReport | None = None
    cache_events: deque[CacheEvent] = field(
        default_factory=lambda: deque(maxlen=MAX_CACHE_EVENTS)
    )
    cache_sequence: int = 0
    cache_offset: int = 0
    info_changes: int = 1

    def update_versions(self, versions: tuple[str, ...]) -> bool:
        """Set the versions that the engine reports; return whether they changed."""
        if versions == self.versions:
            return False
        self.versions = versions
        self.info_changes += 1
        return True

    def add_cache_events(self, events: list[CacheEvent]) -> bool:
        """Add the events that are new; return whether there are any."""
        new = [event for event in events if event.sequence > self.cache_sequence]
        for event in new:
            number = self.cache_offset + event.sequence
            self.cache_events.append(replace(event, sequence=number))
        if new:
            self.cache_sequence = new[-1].sequence
        return bool(new)

    def reset_cache(self) -> None:
        """Discard the cache state after an outage: the engine may have restarted.

        Entries receive a `cleared` event. A restarted engine counts from 1 again, so
        the offset keeps the sequence numbers that entries receive increasing.
        """
        self.cache_offset += self.cache_sequence + 1
        self.cache_sequence = 0
        self.cache_events.clear()
        self.cache_events.append(CacheEvent(self.cache_offset, "cleared", ()))

    def cache_events_after(self, sequence: int) -> list[CacheEvent]:
        """Return the retained events above a sequence number, oldest first."""
        newest_first = []
        for event in reversed(self.cache_events):
            if event.sequence <= sequence:
                break
            newest_first.append(event)
        return newest_first[::-1]
