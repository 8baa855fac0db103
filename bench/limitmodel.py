"""Model of entries that share the limits which servers state, in virtual time.

Each entry runs the product's `EntryExchange` and `LimitGate`; network, callers and
servers are simulated. Callers choose an entry at random and leave after a refusal.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from monsoontack.admission.limitgate import LimitGate
from monsoontack.admission.promptguard import PromptGuard
from monsoontack.gateway.entryexchange import CALL_TIMEOUT_S, EntryExchange
from monsoontack.gateway.peers import PeerEntry, PeerResponse
from monsoontack.gateway.records import RawRequest

SERVICE = "desk"
REGIONS = ("north", "south")
# One-way times within a region and between regions, as in the users' deployments.
LOCAL_S, REMOTE_S = 0.001, 0.013
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
class CapturedAnswer:
    """Takes the place of the responder to another entry's message."""

    status: int = 0
    body: bytes = b""

    def send(self, status: int, headers, body: bytes = b"") -> None:
        """Record the answer."""
        self.status, self.body = status, body


@dataclass(slots=True)
class ModelEntry:
    """An entry; while it is `frozen`, it neither answers nor sends anything.

    `group` is its side of a network partition; entries of different groups do not
    reach each other, but all reach the servers.
    """

    exchange: EntryExchange
    frozen: bool = False
    group: int = 0
    runner: asyncio.Task | None = None


@dataclass(slots=True)
class LimitModel:
    """A fleet of entries before the servers of one service."""

    rng: random.Random
    servers: dict[str, ModelServer]
    calls_per_s: float
    entries: dict[str, ModelEntry] = field(default_factory=dict)
    peers: dict[str, PeerEntry] = field(default_factory=dict)
    outcomes: Counter = field(default_factory=Counter)
    tasks: set[asyncio.Task] = field(default_factory=set)

    @classmethod
    def with_entries(cls, count: int, servers: int, calls_per_s: float, seed: int):
        """Return a running model; call it inside of the virtual-time loop."""
        keys = [f"server-{number}" for number in range(servers)]
        model = cls(
            random.Random(seed), {key: ModelServer(key) for key in keys}, calls_per_s
        )
        for number in range(count):
            name = f"entry-{number}"
            region = REGIONS[number % len(REGIONS)]
            model.peers[name] = PeerEntry(name, region, name)
        for name in model.peers:
            model.start_entry(name)
        return model

    def start_entry(self, name: str) -> None:
        """Start an entry, or start it anew without any state."""
        old = self.entries.get(name)
        if old is not None and old.runner is not None:
            old.runner.cancel()
        rng = random.Random(self.rng.random())
        gate = LimitGate.for_entry(name, rng)
        gate.servers = lambda service: list(self.servers)
        gate.permits.fleet_size = len(self.peers)
        exchange = EntryExchange(
            name, self.peers[name].region, gate, PromptGuard(name), None, rng
        )
        entry = ModelEntry(exchange)
        exchange.call = lambda address, body: self._call(entry, address, body)
        self.entries[name] = entry
        exchange.set_peers(self.peers)
        entry.runner = asyncio.ensure_future(self._run_entry(entry))

    async def _run_entry(self, entry: ModelEntry) -> None:
        await asyncio.sleep(self.rng.random() * 0.3)
        await entry.exchange.run()

    async def _call(self, sender: ModelEntry, address: str, body: bytes):
        """Deliver a message between two entries; None if it or its answer is lost."""
        receiver = self.entries[address]
        delay_s = self._delay_s(sender, receiver)
        await asyncio.sleep(delay_s)
        while sender.frozen:
            await asyncio.sleep(0.05)
        if receiver.frozen or receiver.group != sender.group:
            await asyncio.sleep(CALL_TIMEOUT_S - delay_s)
            return None
        answer = CapturedAnswer()
        raw = RawRequest(b"POST", b"/limits", (), body, True, 0.0)
        await receiver.exchange.handle(raw, answer)
        await asyncio.sleep(delay_s)
        if receiver.group != sender.group:
            return None
        return PeerResponse(answer.status, answer.body)

    def _delay_s(self, one: ModelEntry, other: ModelEntry) -> float:
        same = one.exchange.region == other.exchange.region
        return (LOCAL_S if same else REMOTE_S) * self.rng.uniform(0.8, 1.5)

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
            task = asyncio.ensure_future(self._serve(entry))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

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

    @property
    def sent_messages(self) -> int:
        """Return the messages that the entries have sent since they started."""
        return sum(entry.exchange.sent_messages for entry in self.entries.values())


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
