"""Decides whether this entry may send a request to a server that states a need.

`LimitGate` joins what servers state (`statedlimits`) with the division of their limits
among the entries (`permits`). A server without a limit takes any request. For one with
a limit, the entry needs a permit, which it asks for in advance as long as its callers
use the server's service. A server that asked for time (`statedwaits`) gets nothing
until that is over.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from monsoontack.admission.permits import PERMIT_LIFETIME_S, PermitNode
from monsoontack.admission.statedlimits import StatedLimits
from monsoontack.admission.statedwaits import StatedWaits
from monsoontack.core.errors import RequestError
from monsoontack.core.rendezvous import ranked, stable_hash

# Requests of this time predict those of the next.
DEMAND_WINDOW_S = 2.0
# Requests remembered per service; the largest deployment has 19 a second at an entry.
MAX_REMEMBERED_REQUESTS = 4_096
# Servers of one service that an entry asks permits of; different entries ask for
# different ones. More would only spread the same requests more thinly.
MAX_SERVERS_ASKED = 16
# Bounds of the retry time in a refusal. The upper one is about the time in which limits
# and load change.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 10.0


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to send one request; without an expiry time the server is unlimited.

    `key` is the server's key.
    """

    key: str
    expires_at: float | None = None


@dataclass(slots=True, repr=False)
class LimitGate:
    """Limits and waits of all servers, and this entry's permits.

    `servers` returns the keys of the servers of a service. `requests` holds the times
    of the recent requests by service.
    """

    limits: StatedLimits
    permits: PermitNode
    waits: StatedWaits
    servers: Callable[[str], Iterable[str]] = lambda service: ()
    requests: dict[str, deque[float]] = field(default_factory=dict)

    @classmethod
    def for_entry(cls, name: str, rng: random.Random) -> "LimitGate":
        """Return a gate without any known limit."""
        limits = StatedLimits()
        return cls(limits, PermitNode(name, limits, rng), StatedWaits(rng))

    def note_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        times = self.requests.get(service)
        if times is None:
            times = self.requests[service] = deque(maxlen=MAX_REMEMBERED_REQUESTS)
        times.append(now)

    def may_send(self, key: str, now: float) -> bool:
        """Whether a request may be sent to a server now."""
        if not self.waits.may_send(key, now):
            return False
        return self.limits.rate(key) is None or self.permits.held_count(key, now) > 0

    def take(self, key: str, now: float) -> Permit | None:
        """Take the permit for one request, None if there is none."""
        if not self.waits.take(key, now):
            return None
        permit = self._take_permit(key, now)
        if permit is None:
            self.waits.give_back(key)
        return permit

    def _take_permit(self, key: str, now: float) -> Permit | None:
        if self.limits.rate(key) is None:
            return Permit(key)
        expires_at = self.permits.take(key, now)
        return None if expires_at is None else Permit(key, expires_at)

    def confirm(self, permit: Permit, now: float) -> Permit | None:
        """Return the permit if it still allows the request, else a new one or None.

        While the connection was opened, the server may have stated a limit or asked for
        time, or the permit may have expired.
        """
        confirmed = self._confirm(permit, now)
        if confirmed is None:
            self.waits.give_back(permit.key)
        return confirmed

    def _confirm(self, permit: Permit, now: float) -> Permit | None:
        if self.waits.is_waiting(permit.key, now):
            return None
        is_limited = self.limits.rate(permit.key) is not None
        if permit.expires_at is None:
            return self._take_permit(permit.key, now) if is_limited else permit
        if is_limited and permit.expires_at <= now:
            return self._take_permit(permit.key, now)
        return permit

    def give_back(self, permit: Permit) -> None:
        """Return the permit of a request that was not sent."""
        self.waits.give_back(permit.key)
        if permit.expires_at is not None:
            self.permits.give_back(permit.key, permit.expires_at)

    def update_wants(self, now: float) -> None:
        """Derive what this entry asks for from its recent requests."""
        wants: dict[str, float] = {}
        for service, times in self.requests.items():
            while times and times[0] < now - DEMAND_WINDOW_S:
                times.popleft()
            if not times:
                continue
            keys = self._limited_servers(service)
            expected = len(times) * PERMIT_LIFETIME_S / DEMAND_WINDOW_S
            for key in keys:
                held = self.permits.held_count(key, now)
                wants[key] = max(expected / len(keys) - held, 0.0)
        self.permits.own_wants = wants

    def retry_after_s(self, service: str, now: float) -> float:
        """Return when a refused caller should come back.

        By then, the server with the shortest wait has taken what is wanted now.
        """
        waits = [
            self.permits.wait_s(key, now) for key in self._limited_servers(service)
        ]
        wait_s = min(waits, default=MIN_RETRY_AFTER_S)
        return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def refusal(self, service: str, now: float) -> RequestError | None:
        """Return the error of a request if limits or waits keep all servers from it.

        The request has not been run by any server with a limit.
        """
        waiting = self.wait_refusal(service, now)
        if waiting is not None:
            return waiting
        keys = list(self.servers(service))
        if not keys or any(self.may_send(key, now) for key in keys):
            return None
        message = f"the servers of {service!r} take no more requests a second"
        retry_after_s = self.retry_after_s(service, now)
        return RequestError(503, "limited", message, retry_after_s=retry_after_s)

    def wait_refusal(self, service: str, now: float) -> RequestError | None:
        """Return the error of a request that no server takes since some asked for time.

        The caller is told the shortest time that is left.
        """
        if not self.waits.waits:
            return None
        keys = list(self.servers(service))
        times = [self.waits.left_s(key, now) for key in keys]
        if not any(times) or any(self.may_send(key, now) for key in keys):
            return None
        waits = [left_s for left_s in times if left_s > 0]
        if len(waits) < len(keys):
            waits.append(self.retry_after_s(service, now))
        retry_after_s = max(min(waits), MIN_RETRY_AFTER_S)
        message = f"the servers of {service!r} asked for time"
        return RequestError(503, "servers_wait", message, retry_after_s=retry_after_s)

    def _limited_servers(self, service: str) -> list[str]:
        """Return the servers of a service that this entry asks permits of."""
        if not self.limits.records:
            return []
        keys = [key for key in self.servers(service) if self.limits.rate(key)]
        if len(keys) <= MAX_SERVERS_ASKED:
            return keys
        return ranked(stable_hash(self.permits.name), keys)[:MAX_SERVERS_ASKED]


def unlimited_gate() -> LimitGate:
    """Return a gate of an entry without other entries, for tools and tests."""
    return LimitGate.for_entry("", random.Random())
