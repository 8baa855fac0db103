"""Times for which backend servers want no requests of this entry.

A server that refuses a request with 503 may say for how long it wants no further one.
Until then this entry sends it nothing. The statement is no failure of the server.

Entries that a server refused at the same moment would return at the same moment, so
each adds a random time of its own, which is longer in a larger fleet: the first entries
return at once, all of them at a steady rate. After that, the server gets one request at
first; each one that it accepts allows two more, and a few are allowed with time, until
it gets its usual share again. Callers that return then, all at the time that they were
told, do not reach the server all at once.
"""

import random
from dataclasses import dataclass, field

import structlog

log = structlog.get_logger("admission.waits")

# The random time that an entry adds is up to the first of these, in a larger fleet up
# to the second for each entry: 50 entries a second return, about what a server with 16
# slots takes of requests of 0.3 s.
MAX_OFFSET_S = 0.25
OFFSET_PER_ENTRY_S = 0.02
# Refused callers are told at most this much beyond the time that the server stated,
# since they may come back through an entry that returns earlier.
MAX_TOLD_OFFSET_S = 0.25
# Duration of the gradual return, and the time after which one more request is allowed
# although none was answered: 16 by the end, the slots of a large server.
RETURN_S = 3.2
RETURN_STEP_S = 0.2
# Servers with a record; the largest deployment has 850 engines.
MAX_RECORDS = 4_096


@dataclass(slots=True, repr=False)
class StatedWait:
    """The wait of one server, which ends at `until` (event loop's time).

    The server stated that it ends at `stated_until`; `until` is later by this entry's
    own time. `sent` and `accepted` count the requests of the gradual return.
    """

    service: str
    stated_until: float
    until: float
    sent: int = 0
    accepted: int = 0
    is_over: bool = False

    def may_send(self, now: float) -> bool:
        """Whether the server may get a request now."""
        if now < self.until:
            return False
        allowed = 1 + 2 * self.accepted + int((now - self.until) / RETURN_STEP_S)
        return now >= self.until + RETURN_S or self.sent < allowed

    def left_s(self, now: float) -> float:
        """Return the time after which the server may get a request."""
        told_until = min(self.until, self.stated_until + MAX_TOLD_OFFSET_S)
        if now < self.until:
            return max(told_until - now, RETURN_STEP_S)
        return 0.0 if self.may_send(now) else RETURN_STEP_S


@dataclass(slots=True, repr=False)
class StatedWaits:
    """Servers that asked for time, by `BackendServer.start_key`.

    `entry_count` is the number of entries that may return to a server.
    """

    rng: random.Random
    entry_count: int = 1
    waits: dict[str, StatedWait] = field(default_factory=dict)

    def observe(self, key: str, service: str, wait_s: float, now: float) -> bool:
        """Record that a server asks for time; return whether that begins a wait.

        A wait that has begun is never shortened, since the server may have stated it
        for requests that it refused before.
        """
        current = self.waits.get(key)
        is_waiting = current is not None and now < current.until
        if not is_waiting:
            if current is None and len(self.waits) >= MAX_RECORDS:
                log.error("too many servers ask for time", server=key)
                return False
            current = self.waits[key] = StatedWait(service, now, now)
            log.info(
                "backend server asks for time",
                server=key,
                service=service,
                wait_s=round(wait_s, 3),
            )
        spread_s = max(MAX_OFFSET_S, self.entry_count * OFFSET_PER_ENTRY_S)
        until = now + wait_s
        if until > current.stated_until:
            current.stated_until = until
            current.until = until + self.rng.uniform(0.0, spread_s)
        return not is_waiting

    def is_waiting(self, key: str, now: float) -> bool:
        """Whether a server wants no request now."""
        wait = self.waits.get(key)
        return wait is not None and now < wait.until

    def may_send(self, key: str, now: float) -> bool:
        """Whether a server may get a request now."""
        wait = self.waits.get(key)
        return wait is None or wait.may_send(now)

    def left_s(self, key: str, now: float) -> float:
        """Return the time after which a server may get a request, 0 for now."""
        wait = self.waits.get(key)
        return 0.0 if wait is None else wait.left_s(now)

    def take(self, key: str, now: float) -> bool:
        """Count a request that is to be sent; return False if it must not be."""
        wait = self.waits.get(key)
        if wait is None:
            return True
        if not wait.may_send(now):
            return False
        wait.sent += 1
        return True

    def give_back(self, key: str) -> None:
        """Take back the count of a request that was not sent."""
        wait = self.waits.get(key)
        if wait is not None:
            wait.sent = max(wait.sent - 1, 0)

    def note_accepted(self, key: str, now: float) -> None:
        """Note that a server answered a request without refusing it."""
        wait = self.waits.get(key)
        if wait is not None and now >= wait.until:
            wait.accepted += 1

    def waiting(self, now: float) -> dict[str, float]:
        """Return the time left of each server's wait."""
        return {k: w.until - now for k, w in self.waits.items() if now < w.until}

    def end_waits(self, now: float) -> int:
        """Forget past waits; return the number of those that have just ended."""
        ended = 0
        for key, wait in list(self.waits.items()):
            if now >= wait.until and not wait.is_over:
                wait.is_over = True
                ended += 1
                log.info(
                    "backend server gets requests again",
                    server=key,
                    service=wait.service,
                )
            if now >= wait.until + RETURN_S:
                del self.waits[key]
        return ended
