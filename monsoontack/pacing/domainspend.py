"""Bounds what one request spends on one failure domain.

Written for restarts of a failure domain: one stream tried six engines of a domain in
0.19 s, all by outdated starts, and each try used up retry budget.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

from monsoontack.core.records import Place

T = TypeVar("T")

# The news of a lost domain, and a new list of servers, take about this time.
SPEND_WINDOW_S = 1.0
MAX_DOMAIN_ATTEMPTS = 2
# As for the evidence: with fewer servers one says too little about the others.
MIN_DOMAIN_SERVERS = 3


@dataclass(slots=True, repr=False)
class DomainSpend:
    """Times of one request's attempts, by place; `lost_at` those of lost ones."""

    sent_at: dict[Place, list[float]] = field(default_factory=dict)
    lost_at: dict[Place, float] = field(default_factory=dict)

    def note_sent(self, place: Place, now: float) -> None:
        """Record an attempt at a server of a place."""
        self.sent_at.setdefault(place, []).append(now)

    def note_lost(self, place: Place, now: float) -> None:
        """Record that an attempt met a server that has ended or cannot be reached."""
        self.lost_at[place] = now

    def allowed(
        self,
        servers: Sequence[T],
        place_of: Callable[[T], Place],
        is_sound: Callable[[T], bool],
        now: float,
    ) -> Sequence[T]:
        """Return the servers that the next attempt may use.

        Domains of a recent loss come last, and those with two recent attempts are left
        out, as long as others have a server that can take the request.
        """
        if not self.lost_at:
            return servers
        counts: dict[Place, int] = {}
        for server in servers:
            counts[place_of(server)] = counts.get(place_of(server), 0) + 1
        lost, spent = set(), set()
        for place, count in counts.items():
            recent = [
                at for at in self.sent_at.get(place, ()) if now - at < SPEND_WINDOW_S
            ]
            if count + len(recent) < MIN_DOMAIN_SERVERS:
                continue
            if now - self.lost_at.get(place, float("-inf")) < SPEND_WINDOW_S:
                lost.add(place)
            if len(recent) >= MAX_DOMAIN_ATTEMPTS:
                spent.add(place)
        for left_out in (lost | spent, spent):
            kept = [server for server in servers if place_of(server) not in left_out]
            if any(map(is_sound, kept)):
                return kept
        return servers
