"""A backend server as one gateway knows it: its load there, and what was seen of it."""

from dataclasses import dataclass

from monsoontack.core.records import BackendServer

# Without a further failure a server is no longer suspect after this time. The record of
# a dead server has been removed from the store by then.
SUSPECT_TIMEOUT_S = 6.0


@dataclass(slots=True, weakref_slot=True, repr=False)
class Member:
    """One start of a backend server, with this entry's load on it.

    `waiting_tokens` counts the prompt tokens of this entry's runs that wait for their
    first event, `held_tokens` the KV cache tokens that its runs and copies may take.
    `last_byte_at` is the time of the last byte from the server. `suspected_at` is the
    last time at which a running stream of the server stalled, a peer reported the
    server unreachable or its failure domain became suspect, which is also recorded in
    `domain_failed_at`. `listed_at` is when this start was listed, `reported_alive_at`
    the last time at which a peer reported that it answers again. `silent_at` is the
    last time at which one of this entry's streams waited for the silent server.
    `lost_at` is when this entry or a peer first found the server unreachable after its
    last byte. `longest_gap_s` is the longest recent gap between events. Until
    `cold_until` the server is slow because it has just started.
    A later start was listed at its address at `superseded_at`.
    `restarted` is set when the server has started again; the new process does not know
    the runs that were sent to this one.
    """

    server: BackendServer
    in_flight: int = 0
    waiting_tokens: int = 0
    held_tokens: int = 0
    last_byte_at: float = 0.0
    suspected_at: float = float("-inf")
    silent_at: float = float("-inf")
    avoid_until: float = 0.0
    consecutive_failures: int = 0
    failed_at: float = float("-inf")
    lost_at: float = float("-inf")
    longest_gap_s: float = 0.0
    cold_until: float = 0.0
    restarted: bool = False
    listed_at: float = 0.0
    reported_alive_at: float = float("-inf")
    domain_failed_at: float = float("-inf")
    superseded_at: float = float("-inf")

    @property
    def heard_at(self) -> float:
        """Return when the server last sent a byte, here or to a peer in doubt."""
        return max(self.last_byte_at, self.reported_alive_at)

    def is_suspect(self, now: float) -> bool:
        """Whether the server failed recently and has not sent a byte since."""
        failed_at = max(self.failed_at, self.domain_failed_at)
        return failed_at > self.heard_at and now < failed_at + SUSPECT_TIMEOUT_S

    def note_lost(self, now: float) -> None:
        """Record a failure, and when the first one since the last byte happened."""
        if self.lost_at <= self.last_byte_at:
            self.lost_at = now
        self.failed_at = now

    @property
    def key(self) -> tuple[str, str]:
        """Return the key of connections to this start of the server."""
        return self.server.address, self.limit_key

    @property
    def limit_key(self) -> str:
        """Return the name of this start of the server in all entries' limits."""
        return self.server.start_key
