"""Model of entries that share the limits which servers state, in virtual time.

The entries are those of `bench.entrymodel`; callers and servers are simulated. Callers
choose an entry at random and leave after a refusal.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from bench.entrymodel import LOCAL_S, REMOTE_S, ModelEntry, ModelFleet

SERVICE = "desk"
WORK_S = 0.08
# The users' rule: from this time after a server first stated its limit, it gets in no
# 4 s more than one and a half times what the limit allows, and 5 requests.
SETTLE_S, WINDOW_S = 4.0, 4.0
ALLOWED_FACTOR, ALLOWED_EXTRA = 1.5, 5


@dataclass(slots=True)
class ModelServer:
    """A server; `limit` is what it states at present, None if nothing."""

    key: str
    limit: float | None = None
    arrivals: list[float] = field(default_factory=list)


@dataclass(slots=True)
class LimitModel(ModelFleet):
    """A fleet of entries before the servers of one service."""

    servers: dict[str, ModelServer] = field(default_factory=dict)
    calls_per_s: float = 0.0
    outcomes: Counter = field(default_factory=Counter)

    @classmethod
    def with_entries(cls, count: int, servers: int, calls_per_s: float, seed: int):
        """Return a running model; call it inside of the virtual-time loop."""
        keys = [f"server-{number}" for number in range(servers)]
        model = cls(
            random.Random(seed),
            keys,
            servers={key: ModelServer(key) for key in keys},
            calls_per_s=calls_per_s,
        )
        model.start_entries(count)
        return model

    async def send_calls(self, seconds: float) -> None:
        """Send calls to entries chosen at random, at the model's rate."""
        now = asyncio.get_running_loop().time
        until = now() + seconds
        while now() < until:
            await asyncio.sleep(self.rng.expovariate(self.calls_per_s))
            entry = self.entries[self.rng.choice(list(self.entries))]
            if entry.frozen:
                self.outcomes["frozen"] += 1
                continue
            self.spawn(self._serve(entry))

    async def _serve(self, entry: ModelEntry) -> None:
        now = asyncio.get_running_loop().time
        gate = entry.exchange.gate
        gate.note_request(SERVICE, now())
        usable = [key for key in self.servers if gate.may_send(key, now())]
        if not usable:
            self.outcomes["refused"] += 1
            self.outcomes["retry_after_ms"] += int(
                1000 * gate.refusal(SERVICE, now()).retry_after_s
            )
            return
        key = self.rng.choice(usable)
        sent_at = now()
        gate.take(key, sent_at)
        server = self.servers[key]
        delay_s = self.rng.choice((LOCAL_S, REMOTE_S))
        await asyncio.sleep(delay_s)
        server.arrivals.append(now())
        await asyncio.sleep(WORK_S)
        stated = None if server.limit is None else f"{server.limit:g}"
        await asyncio.sleep(delay_s)
        self.outcomes["served"] += 1
        if gate.limits.observe(key, stated, sent_at, now()):
            entry.exchange.send_news()


def most_arrivals(arrivals: list[float], since: float) -> int:
    """Return the most arrivals of any window that begins after `since`."""
    late, first, most = [at for at in arrivals if at >= since], 0, 0
    for last, at in enumerate(late):
        while late[first] <= at - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def allowed_arrivals(limit: float) -> float:
    """Return the arrivals of one window that the users' rule allows."""
    return ALLOWED_FACTOR * limit * WINDOW_S + ALLOWED_EXTRA
