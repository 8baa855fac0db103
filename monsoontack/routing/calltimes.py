"""Measured times of calls at plain servers, by service and by start, without I/O.

Written for servers that take 2.5 times as long for some 600 ms now and then, while each
of many gateways sees a call or two a second at each of them. Too few calls end within a
slow spell to tell it by their times, but a call that is in flight for longer than usual
shows it at once. A gateway knows only its own calls in flight, so the time also tells
how long the calls of the others make them wait. All times are in seconds.
"""

import math
import statistics
from collections import deque
from dataclasses import dataclass, field

from monsoontack.routing.enginespeeds import quantile

MAX_SERVER_CALLS = 24
MAX_SERVICE_CALLS = 256
# Calls that count as much as the service's value, so that no single slow spell decides.
PRIOR_CALLS = 4.0
# What was measured earlier says little of a server's present load. A server that gets
# no calls since it was slow is tried again after this time.
SAMPLE_AGE_S = 10.0
# Times are compared once so many calls have ended, and if at least a tenth of the calls
# took this many times as long as half of them. Otherwise servers count as equally fast.
MIN_CALLS = 32
TAIL_QUANTILE = 0.9
UNEVEN_FACTOR = 1.5
REFRESH_CALLS = 8
# A call in flight for this many times the usual time shows that its server is slow.
# With 1.5, more calls were late in bursts (`bench.callplacement`).
OVERDUE_FACTOR = 1.2
# So does one for this many times the usual time even if calls take equally long. In a
# model with servers that hang for 2 s, 4.0 left more calls late.
HUNG_FACTOR = 2.5
# Least time for a connection: a round trip between regions, and 0.1 s for a busy loop.
MIN_CONNECT_S = 0.13
# Usual times that have to be left for another server after a connection that failed.
SECOND_SERVER_FACTOR = 2.0
# Servers that get no calls any more are evicted above this number, oldest first.
MAX_SERVERS = 2000


@dataclass(slots=True, repr=False)
class ServerTimes:
    """Calls of one start of a server.

    `ended` has the end and the duration of recent calls, `started_at` the start of each
    call in flight, oldest first.
    """

    ended: deque[tuple[float, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_SERVER_CALLS)
    )
    started_at: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True, repr=False)
class ServiceTimes:
    """Times of the calls of one service; servers are named by their start."""

    servers: dict[str, ServerTimes] = field(default_factory=dict)
    recent_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_SERVICE_CALLS)
    )
    count: int = 0
    usual_s: float = 0.0
    tail_s: float = 0.0
    last_call: int = 0

    @property
    def is_uneven(self) -> bool:
        """Whether calls take differently long, so that servers are compared."""
        return self.count >= MIN_CALLS and self.tail_s >= UNEVEN_FACTOR * self.usual_s

    def compares_servers(self, now: float) -> bool:
        """Whether servers are compared, also since one of them seems to hang."""
        if self.is_uneven or self.count < MIN_CALLS:
            return self.is_uneven
        since = now - HUNG_FACTOR * self.usual_s
        return any(
            next(iter(times.started_at.values())) < since
            for times in self.servers.values()
            if times.started_at
        )

    def connect_limit_s(self, objective_s: float) -> float:
        """Return the time for a connection after which another server is in time.

        A call that has not been sent may go to another server, whatever it does.
        """
        if self.count < MIN_CALLS:
            return math.inf
        latest_s = objective_s - SECOND_SERVER_FACTOR * self.usual_s
        return max(latest_s, MIN_CONNECT_S)

    def begin(self, start_key: str, now: float) -> int:
        """Record that a call is sent; return its number for `end`."""
        times = self.servers.get(start_key)
        if times is None:
            times = self.servers[start_key] = ServerTimes()
            self._evict()
        self.last_call += 1
        times.started_at[self.last_call] = now
        return self.last_call

    def end(self, start_key: str, call: int, now: float, is_answered: bool) -> None:
        """Record the end of a call, whose time counts if it was answered.

        So does that of a call that was given up later than usual, since the answer
        would have taken longer yet.
        """
        times = self.servers.get(start_key)
        started_at = None if times is None else times.started_at.pop(call, None)
        if started_at is None:
            return
        took_s = now - started_at
        if not is_answered and took_s <= self.usual_s:
            return
        times.ended.append((now, took_s))
        self.recent_s.append(took_s)
        self.count += 1
        if self.count % REFRESH_CALLS == 0:
            self.usual_s = statistics.median(self.recent_s)
            self.tail_s = quantile(self.recent_s, TAIL_QUANTILE)

    def service_s(self, start_key: str, now: float) -> float:
        """Return the time that a call takes at a server, or at a usual one."""
        times = self.servers.get(start_key)
        if times is None:
            return self.usual_s
        taken = [took_s for at, took_s in times.ended if now - at <= SAMPLE_AGE_S]
        service_s = self.usual_s
        if taken:
            weight = len(taken) / (len(taken) + PRIOR_CALLS)
            service_s += weight * (statistics.median(taken) - self.usual_s)
        if times.started_at:
            longest_s = now - next(iter(times.started_at.values()))
            if longest_s > OVERDUE_FACTOR * service_s:
                return longest_s
        return service_s

    def expected_s(self, start_key: str, in_flight: int, now: float) -> float:
        """Return the expected time of a further call beside those in flight."""
        return (in_flight + 1) * self.service_s(start_key, now)

    def _evict(self) -> None:
        if len(self.servers) <= MAX_SERVERS:
            return
        unused = (key for key, times in self.servers.items() if not times.started_at)
        oldest = next(unused, None)
        if oldest is not None:
            del self.servers[oldest]


@dataclass(slots=True, repr=False)
class CallTimes:
    """Times of the calls of all services that one gateway forwards, by service."""

    services: dict[str, ServiceTimes] = field(default_factory=dict)

    def of_service(self, service: str) -> ServiceTimes:
        """Return the times of a service's calls."""
        return self.services.setdefault(service, ServiceTimes())

    def state(self) -> dict[str, dict]:
        """Return what was measured, for the state dump."""
        return {
            service: {
                "usual_s": round(times.usual_s, 4),
                "tail_s": round(times.tail_s, 4),
                "compares_servers": times.is_uneven,
            }
            for service, times in self.services.items()
        }
