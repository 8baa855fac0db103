"""Account of the memory that a gateway holds for callers and engines.

Written for some hundred clients that send requests which never end, on a gateway of
150 MB: what a request costs in the process can be 20 times the bytes received.

Each connection has a `Holding`, which states what the connection costs at present. The
account decides who has to pause, who may read on, and what is to be refused or closed:

* Up to a soft limit everybody reads.
* Above it, connections pause except for those that hold little: ordinary requests have
  a reserve of their own.
* One paused connection at a time has the turn: it reads on regardless, so that uploads
  which together exceed the limit are completed one after the other. It loses the turn
  if it makes no progress.
* While there is a shortage, the holdings that multiply size and time without progress
  to the highest values are shed, a few at a time. Time in which a connection was
  paused does not count as time without progress.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

# Share of a machine's memory that the account may use, after the memory of the process
# without requests. The rest is for the fleet, the store's data and fragmentation: the
# account may be wrong by a factor of 1.5.
ACCOUNT_SHARE = 0.5
# Resident memory of a gateway without requests; 36 to 40 MB were measured.
BASE_BYTES = 45_000_000
# For machines with hardly more memory than the process needs.
MIN_ACCOUNT_SHARE = 0.1
# Part of the account that only connections with ordinary requests may use.
RESERVE_SHARE = 0.15
# Part of the account, at most, that only the connection with the turn may use.
TURN_SHARE = 0.25
# Largest body by the defaults of the configuration, with the growth of its buffer.
TURN_BYTES = 4_800_000
# A head of 16 KiB of usual lines costs 30 KB, a short body is added to that.
ORDINARY_BYTES = 65_536
# Holdings shed per decision; decisions are made every `SHED_INTERVAL_S` seconds.
SHED_COUNT = 4
SHED_INTERVAL_S = 0.05
# Paused connections that may read on at a time. Parsing what one has received takes up
# to 3 ms.
RESUMED_COUNT = 8
# Progress within this time protects from being shed; a client on a bad network resends
# lost packets within 0.2 to 1 s.
STALL_S = 1.0
# Pauses of this length together end with a refusal. An upload of 4 MiB at 10 Mbit/s
# takes 3.4 s, so the connection with the turn is done by then or has lost it.
MAX_PAUSE_S = 5.0
# Time between two such refusals, in which the others use what the first one has freed.
PAUSE_REFUSAL_INTERVAL_S = 0.25


def account_limit_bytes(memory_bytes: int) -> int:
    """Return the limit of the account on a machine with this memory."""
    usable_bytes = (memory_bytes - BASE_BYTES) * ACCOUNT_SHARE
    return int(max(usable_bytes, memory_bytes * MIN_ACCOUNT_SHARE))


@dataclass(slots=True, eq=False, repr=False)
class Holding:
    """What one connection holds.

    `resume` is called with the length of the pause in seconds when a paused connection
    may read on, `shed` to refuse or close it. `progress_at` is the time at which bytes
    were last received or sent. `coming_bytes` is what the request will need in addition
    to `held_bytes`, as far as that is known: for bytes that are not parsed yet, and for
    the rest of a body of known length. `waited_s` is the length of the former pauses of
    the request that is being received. A holding is `sheddable` while its connection
    can be refused or closed without loss of an answer that is under way.
    """

    resume: Callable[[float], None]
    shed: Callable[[], None]
    progress_at: float = 0.0
    held_bytes: int = 0
    coming_bytes: int = 0
    paused_at: float | None = None
    waited_s: float = 0.0
    sheddable: bool = True

    @property
    def total_bytes(self) -> int:
        """Return what the connection will hold once all its bytes are parsed."""
        return self.held_bytes + self.coming_bytes

    def stalled_s(self, now: float) -> float:
        """Return the time without progress, up to the pause of a paused connection."""
        until = now if self.paused_at is None else self.paused_at
        return max(until - self.progress_at, 0.0)


@dataclass(slots=True, repr=False)
class MemoryAccount:
    """What all connections hold together; sizes are estimated bytes in the process.

    `now` is the time of the last decision, in seconds of the event loop's clock.
    """

    limit_bytes: int
    used_bytes: int = 0
    holdings: set[Holding] = field(default_factory=set)
    paused: dict[Holding, None] = field(default_factory=dict)
    turn: Holding | None = None
    now: float = 0.0
    soft_limit_bytes: int = field(init=False)
    is_resuming: bool = False
    paused_shed_at: float = -PAUSE_REFUSAL_INTERVAL_S

    def __post_init__(self) -> None:
        """Derive the limit for all but ordinary requests and the holder of the turn."""
        turn_bytes = min(TURN_BYTES, int(self.limit_bytes * TURN_SHARE))
        self.soft_limit_bytes = int(self.limit_bytes * (1 - RESERVE_SHARE)) - turn_bytes

    @property
    def is_short(self) -> bool:
        """Whether a connection is paused for memory, or the reserves are in use."""
        return bool(self.paused) or self.used_bytes > self.soft_limit_bytes

    def open(self, holding: Holding) -> None:
        """Begin to count what a connection holds."""
        self.holdings.add(holding)
        self.used_bytes += holding.held_bytes

    def close(self, holding: Holding) -> None:
        """Stop counting a connection that has ended."""
        if holding not in self.holdings:
            return
        self.holdings.remove(holding)
        self.paused.pop(holding, None)
        if self.turn is holding:
            self.turn = None
        self.used_bytes -= holding.held_bytes
        holding.held_bytes = 0
        self._resume()

    def set(self, holding: Holding, held_bytes: int) -> None:
        """Set what a connection holds; paused ones read on if there is room."""
        if holding not in self.holdings:
            return
        freed_bytes = holding.held_bytes - held_bytes
        holding.held_bytes = held_bytes
        self.used_bytes -= freed_bytes
        if freed_bytes > 0 and self.paused:
            self._resume()

    def may_read(self, holding: Holding) -> bool:
        """Whether a connection may parse what it has received, and read more."""
        used_bytes = self.used_bytes + holding.coming_bytes
        if used_bytes <= self.soft_limit_bytes or self.turn is holding:
            return True
        is_ordinary = holding.total_bytes <= ORDINARY_BYTES
        return is_ordinary and used_bytes <= self.limit_bytes

    def pause(self, holding: Holding, now: float) -> None:
        """Record that a connection has paused reading; it may get the turn."""
        self.now = max(self.now, now)
        holding.paused_at = now
        self.paused[holding] = None
        if self.turn is None:
            self._give_turn()

    def end_reading(self, holding: Holding) -> None:
        """Record that the request of a connection is complete, or was refused."""
        self.paused.pop(holding, None)
        holding.paused_at = None
        holding.waited_s = 0.0
        if self.turn is holding:
            self.turn = None
            self._give_turn()

    def _resume(self) -> None:
        """Let a few connections read on, those first that need least.

        Those that need more get the turn in the order in which they paused. Each
        parses at once what it has received, which may end the room again.
        """
        if self.is_resuming:
            return
        self.is_resuming = True
        least = heapq.nsmallest(RESUMED_COUNT, self.paused, lambda h: h.total_bytes)
        for holding in least:
            if holding in self.paused and self.may_read(holding):
                self._unpause(holding)
        self.is_resuming = False
        if self.turn is None:
            self._give_turn()

    def _give_turn(self) -> None:
        """Give the turn to the connection that has been paused for the longest time."""
        self.turn = next(iter(self.paused), None)
        if self.turn is not None:
            self._unpause(self.turn)

    def _unpause(self, holding: Holding) -> None:
        del self.paused[holding]
        paused_s = self._pause_s(holding)
        # The pause does not count as the client's time without progress.
        holding.progress_at += paused_s
        holding.waited_s += paused_s
        holding.paused_at = None
        holding.resume(paused_s)

    def _pause_s(self, holding: Holding) -> float:
        return max(self.now - holding.paused_at, 0.0)

    def to_shed(self, now: float) -> list[Holding]:
        """Return the few holdings to refuse or close now; none without a shortage."""
        self.now = now
        if self.turn is not None and self.turn.stalled_s(now) >= STALL_S:
            self.turn = None
            self._give_turn()
        if self.paused:
            self._resume()
        if not self.is_short:
            return []
        stalled = [
            holding
            for holding in self.holdings
            if holding.sheddable
            and holding is not self.turn
            and holding.stalled_s(now) >= STALL_S
        ]
        if not stalled:
            return self._waiting_too_long()
        stalled.sort(key=self._blame, reverse=True)
        return stalled[:SHED_COUNT]

    def _waiting_too_long(self) -> list[Holding]:
        """Return the largest of the holdings that were paused for too long, if any."""
        if self.now < self.paused_shed_at + PAUSE_REFUSAL_INTERVAL_S:
            return []
        waiting = [h for h in self.paused if h.sheddable and self._waits_too_long(h)]
        if waiting:
            self.paused_shed_at = self.now
        return heapq.nlargest(1, waiting, lambda h: h.held_bytes)

    def _waits_too_long(self, holding: Holding) -> bool:
        return holding.waited_s + self._pause_s(holding) >= MAX_PAUSE_S

    def _blame(self, holding: Holding) -> float:
        """Return size and time without progress, multiplied."""
        return holding.held_bytes * holding.stalled_s(self.now)
