"""Updates that wait for one peer, and the rate of messages to it.

The messages of an entry are limited to `MAX_MESSAGES_PER_S` for all peers together,
whatever the traffic and the number of entries. Starts of runs and failed engines may
go ahead of the rate by a few messages, which later ones make up for. First events and
ends of runs may not: without them an engine only looks busier than it is.
"""

import asyncio
from dataclasses import dataclass, field
from itertools import islice

from monsoontack.gateway.peers import PeerEntry
from monsoontack.loadview.messages import MAX_STARTS

# These bounds limit the work in a large fleet: at 0.2 ms a message, it is 2 % of a
# core. With 25 peers, each gets a message at most every 0.25 s.
MAX_PEERS = 32
MAX_MESSAGES_PER_S = 100
# Messages to one peer that may be sent ahead of the rate. The engines of a domain that
# restarts are found unreachable a few at a time. Starts of runs come in bursts, and the
# next one of any entry should know of them. In the model (bench/loadviewmodel.py) first
# events ahead of the rate made 4 to 7 % more messages and no first event came sooner.
URGENT_AHEAD, START_AHEAD = 4, 3
# With few peers the rate delays a start by less than two round trips between regions,
# so starts do not go ahead of it.
MIN_AHEAD_INTERVAL_S = 0.05


@dataclass(slots=True, repr=False)
class PeerOutbox:
    """Updates that are not yet sent to one peer.

    `changed` names engines whose figures changed, `failed` engines that failed,
    `stale` starts that answered 421 or refused, `alive` starts that answered again;
    `prompts` maps the id of a prompt's prefix to its engine. `waiting_changed` is set
    when the requests that wait at this entry have changed. `calls_due_at` is when the
    peer may be told of calls again, `has_calls` whether the last report had any.
    `is_first` is true until a message was delivered, `needs_full` requests a full
    message, `last_sent_at` is the time of the last delivered message. `next_send_at`
    limits the rate of messages other than full ones; starts of runs may be `ahead` of
    it by so many messages. `timer` is set while a message waits for the rate, until
    `timer_at`. Nothing is sent until `paused_until`. `is_failing` is set while calls to
    the peer fail.
    """

    peer: PeerEntry
    changed: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    stale: set[str] = field(default_factory=set)
    alive: set[str] = field(default_factory=set)
    prompts: dict[str, str] = field(default_factory=dict)
    waiting_changed: bool = False
    calls_due_at: float = 0.0
    has_calls: bool = False
    ahead: int = 0
    is_first: bool = True
    needs_full: bool = True
    is_failing: bool = False
    is_sending: bool = False
    timer: asyncio.TimerHandle | None = None
    timer_at: float = 0.0
    last_sent_at: float = float("-inf")
    next_send_at: float = 0.0
    paused_until: float = 0.0

    @property
    def is_urgent(self) -> bool:
        """Whether there are updates that should not wait for the rate limit."""
        return bool(self.failed or self.stale or self.alive)

    @property
    def has_changes(self) -> bool:
        """Whether there are updates since the last message."""
        return bool(
            self.changed or self.prompts or self.waiting_changed or self.is_urgent
        )

    def send_time(self, interval_s: float) -> float:
        """Return the time from which the next message may be sent.

        `interval_s` is the mean interval between messages to one peer.
        """
        if self.needs_full:
            return float("-inf")
        ahead = self.ahead if interval_s >= MIN_AHEAD_INTERVAL_S else 0
        if self.is_urgent:
            ahead = URGENT_AHEAD
        return self.next_send_at - ahead * interval_s

    def note_sent(self, now: float, interval_s: float) -> None:
        """Count a delivered message against the rate."""
        self.is_first = self.is_failing = False
        self.last_sent_at = now
        self.next_send_at = max(self.next_send_at, now) + interval_s

    def note_starts(self, stale: str = "", alive: str = "") -> None:
        """Queue a start that is stale, or one that is alive; the last word counts."""
        if stale:
            self.alive.discard(stale)
            self.stale.add(stale)
        if alive:
            self.stale.discard(alive)
            self.alive.add(alive)

    def take_starts(self) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Remove and return stale and alive starts for one message."""
        stale = tuple(sorted(islice(self.stale, MAX_STARTS)))
        alive = tuple(sorted(islice(self.alive, MAX_STARTS)))
        self.stale.difference_update(stale)
        self.alive.difference_update(alive)
        return stale, alive
