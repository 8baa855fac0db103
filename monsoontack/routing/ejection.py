"""Ejection of failing or slow backend servers, and their gradual return.

A server is ejected after several failures in a row, or when its smoothed time
to first answer is far above the median of its service. Each further ejection
lasts twice as long, with jitter so that entries don't return together. After
the time is over the server takes a share of its traffic that grows to one, so
an idle server that comes back isn't flooded by every entry at once.
"""

import random
import statistics
from dataclasses import dataclass, field

FAILURES_TO_EJECT = 3
BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 300.0
EJECTION_JITTER = 0.2
# Time without a further ejection after which the backoff starts over.
FORGET_S = 600.0
SLOW_START_S = 30.0
SLOW_START_SHARE = 0.05
SLOW_RATIO = 3.0
SLOW_MARGIN_S = 0.1
LATENCY_WEIGHT = 0.2
MIN_LATENCY_SAMPLES = 8
MIN_PEERS = 3
# Above this share of ejected servers the cause is more likely common to all.
MAX_EJECTED_SHARE = 0.5


@dataclass(slots=True)
class ServerHealth:
    """What this entry knows of one server's health; times in seconds."""

    group: str
    failures_in_row: int = 0
    latency_s: float = 0.0
    samples: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    slow_start_from: float | None = None


@dataclass(slots=True)
class Ejection:
    """Health of all servers of one entry, by address.

    `group` names the servers that are compared with each other, normally a
    service. `ejected` and `kept` count decisions: servers ejected, and those
    kept because too many of their group were ejected already.
    """

    health: dict[str, ServerHealth] = field(default_factory=dict)
    groups: dict[str, set[str]] = field(default_factory=dict)
    ejected: int = 0
    kept: int = 0

    def add(self, address: str, group: str, now: float, returning: bool) -> None:
        """Register a server; one that is `returning` gets a slow start.

        A restart ends an ejection, but not the backoff of the next one.
        """
        health = self._health(address, group)
        if returning:
            health.slow_start_from = now
            health.ejected_until = min(health.ejected_until, now)
            health.failures_in_row = 0

    def remove(self, address: str) -> None:
        """Forget a server that is gone."""
        health = self.health.pop(address, None)
        if health is None:
            return
        members = self.groups[health.group]
        members.discard(address)
        if not members:
            del self.groups[health.group]

    def record_failure(
        self, address: str, group: str, now: float, rng: random.Random
    ) -> None:
        """Count a failed request; eject after several in a row.

        A server in slow start is ejected by its first failure.
        """
        health = self._health(address, group)
        if now < health.ejected_until:
            return
        health.failures_in_row += 1
        if health.failures_in_row >= FAILURES_TO_EJECT or self.share(address, now) < 1:
            self._eject(address, health, now, rng)

    def record_success(
        self, address: str, group: str, latency_s: float, now: float, rng: random.Random
    ) -> None:
        """Count a good answer whose first part came after `latency_s`."""
        health = self._health(address, group)
        health.failures_in_row = 0
        weight = max(LATENCY_WEIGHT, 1 / (health.samples + 1))
        health.latency_s += weight * (latency_s - health.latency_s)
        health.samples += 1
        if now - health.ejected_until > FORGET_S:
            health.ejections = 0
        # The median costs a sort, so it isn't computed for every answer.
        if health.samples % MIN_LATENCY_SAMPLES == 0 and self._is_slow(health):
            self._eject(address, health, now, rng)

    def share(self, address: str, now: float) -> float:
        """Return the share of its normal traffic that a server may get, 0 to 1."""
        health = self.health.get(address)
        if health is None:
            return 1.0
        if now < health.ejected_until:
            return 0.0
        if health.slow_start_from is None:
            return 1.0
        elapsed = (now - health.slow_start_from) / SLOW_START_S
        if elapsed >= 1:
            health.slow_start_from = None
            return 1.0
        return max(SLOW_START_SHARE, elapsed)

    def _health(self, address: str, group: str) -> ServerHealth:
        health = self.health.get(address)
        if health is None:
            health = self.health[address] = ServerHealth(group)
            self.groups.setdefault(group, set()).add(address)
        return health

    def _is_slow(self, health: ServerHealth) -> bool:
        peers = [
            self.health[address].latency_s
            for address in self.groups[health.group]
            if self.health[address].samples >= MIN_LATENCY_SAMPLES
        ]
        if len(peers) < MIN_PEERS:
            return False
        median = statistics.median(peers)
        return health.latency_s > max(SLOW_RATIO * median, median + SLOW_MARGIN_S)

    def _eject(
        self, address: str, health: ServerHealth, now: float, rng: random.Random
    ) -> None:
        members = self.groups[health.group]
        out = sum(now < self.health[member].ejected_until for member in members)
        if out + 1 > MAX_EJECTED_SHARE * len(members):
            self.kept += 1
            return
        duration = min(BASE_EJECTION_S * 2**health.ejections, MAX_EJECTION_S)
        duration *= rng.uniform(1 - EJECTION_JITTER, 1 + EJECTION_JITTER)
        health.ejected_until = now + duration
        health.slow_start_from = health.ejected_until
        health.ejections = min(health.ejections + 1, 16)
        health.failures_in_row = 0
        health.samples = 0
        self.ejected += 1
