"""Outlier ejection of failing or slow backend servers, and their slow start.

A server is ejected after several consecutive failures, or when its smoothed
latency to the first part of the answer is far above the median of its service.
The ejection time doubles with each further ejection and has jitter, so that the
entries do not all resume traffic to the server at the same time. After an
ejection, the server's share of its normal traffic rises to one during a slow
start, so that an idle server is not flooded by all entries at once.
"""

import random
import statistics
from dataclasses import dataclass, field

FAILURES_TO_EJECT = 3
BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 300.0
EJECTION_JITTER = 0.2
# Time without an ejection after which the backoff is reset.
BACKOFF_RESET_S = 600.0
SLOW_START_S = 30.0
SLOW_START_MIN_SHARE = 0.05
SLOW_LATENCY_FACTOR = 3.0
MIN_SLOW_LATENCY_EXCESS_S = 0.1
LATENCY_SMOOTHING_WEIGHT = 0.2
MIN_LATENCY_SAMPLES = 8
MIN_COMPARED_SERVERS = 3
# If a larger share of the servers would be ejected, a common cause is more likely
# than faults of single servers.
MAX_EJECTED_SHARE = 0.5


@dataclass(slots=True, repr=False)
class ServerHealth:
    """Health of one server as seen by this entry; times are in seconds."""

    group: str
    consecutive_failures: int = 0
    latency_s: float = 0.0
    latency_samples: int = 0
    backoff_exponent: int = 0
    ejected_until: float = 0.0
    slow_start_at: float | None = None


@dataclass(slots=True, repr=False)
class Ejection:
    """Health of all servers that one entry uses, by `BackendServer.start_key`.

    An address or a name may be given to another server, which has a health of its own.
    Results of servers that were not added, or were removed since, are ignored. Servers
    of the same group, normally a service, are compared with each other.
    `ejection_count` counts ejections. `skipped_ejections` counts ejections that did not
    take place because too many servers of the group were ejected already.
    """

    health: dict[str, ServerHealth] = field(default_factory=dict)
    groups: dict[str, set[str]] = field(default_factory=dict)
    ejection_count: int = 0
    skipped_ejections: int = 0

    def add(
        self,
        key: str,
        group: str,
        now: float,
        needs_slow_start: bool,
        former_key: str = "",
    ) -> None:
        """Register a server, with a slow start if `needs_slow_start` is set.

        `former_key` names the start of the same server that this one replaces. A
        restart ends a running ejection, but does not reset its backoff.
        """
        former = self.health.get(former_key)
        if former_key != key:
            self.remove(former_key)
        health = self.health.get(key)
        if health is None:
            health = self.health[key] = ServerHealth(group)
            self.groups.setdefault(group, set()).add(key)
            if former is not None and former.group == group:
                health.backoff_exponent = former.backoff_exponent
                health.ejected_until = min(former.ejected_until, now)
        if needs_slow_start:
            health.slow_start_at = now
            health.ejected_until = min(health.ejected_until, now)
            health.consecutive_failures = 0

    def remove(self, key: str) -> None:
        """Remove the health of a server that no longer exists."""
        health = self.health.pop(key, None)
        if health is None:
            return
        members = self.groups[health.group]
        members.discard(key)
        if not members:
            del self.groups[health.group]

    def record_failure(self, key: str, now: float, rng: random.Random) -> None:
        """Record a failed request and eject after several consecutive failures.

        A server in slow start is ejected after its first failure.
        """
        health = self.health.get(key)
        if health is None or now < health.ejected_until:
            return
        health.consecutive_failures += 1
        if (
            health.consecutive_failures >= FAILURES_TO_EJECT
            or self.traffic_share(key, now) < 1
        ):
            self._eject(health, now, rng)

    def record_success(
        self, key: str, latency_s: float, now: float, rng: random.Random
    ) -> None:
        """Record a successful answer whose first part arrived after `latency_s`."""
        health = self.health.get(key)
        if health is None:
            return
        health.consecutive_failures = 0
        weight = max(LATENCY_SMOOTHING_WEIGHT, 1 / (health.latency_samples + 1))
        health.latency_s += weight * (latency_s - health.latency_s)
        health.latency_samples += 1
        if now - health.ejected_until > BACKOFF_RESET_S:
            health.backoff_exponent = 0
        # The median needs a sort, so it is not computed for every answer.
        if health.latency_samples % MIN_LATENCY_SAMPLES == 0 and self._is_slow(health):
            self._eject(health, now, rng)

    def traffic_share(self, key: str, now: float) -> float:
        """Return which share of its normal traffic a server may get, 0 to 1."""
        health = self.health.get(key)
        if health is None:
            return 1.0
        if now < health.ejected_until:
            return 0.0
        if health.slow_start_at is None:
            return 1.0
        elapsed = (now - health.slow_start_at) / SLOW_START_S
        if elapsed >= 1:
            health.slow_start_at = None
            return 1.0
        return max(SLOW_START_MIN_SHARE, elapsed)

    def _is_slow(self, health: ServerHealth) -> bool:
        peers = [
            self.health[key].latency_s
            for key in self.groups[health.group]
            if self.health[key].latency_samples >= MIN_LATENCY_SAMPLES
        ]
        if len(peers) < MIN_COMPARED_SERVERS:
            return False
        median = statistics.median(peers)
        return health.latency_s > max(
            SLOW_LATENCY_FACTOR * median, median + MIN_SLOW_LATENCY_EXCESS_S
        )

    def _eject(self, health: ServerHealth, now: float, rng: random.Random) -> None:
        members = self.groups[health.group]
        ejected = sum(now < self.health[member].ejected_until for member in members)
        if ejected + 1 > MAX_EJECTED_SHARE * len(members):
            self.skipped_ejections += 1
            return
        duration_s = min(BASE_EJECTION_S * 2**health.backoff_exponent, MAX_EJECTION_S)
        duration_s *= rng.uniform(1 - EJECTION_JITTER, 1 + EJECTION_JITTER)
        health.ejected_until = now + duration_s
        health.slow_start_at = health.ejected_until
        health.backoff_exponent = min(health.backoff_exponent + 1, 16)
        health.consecutive_failures = 0
        health.latency_samples = 0
        self.ejection_count += 1
