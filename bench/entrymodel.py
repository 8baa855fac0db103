"""Entries in virtual time that exchange messages as the product's entries do.

Each entry runs the product's `EntryExchange`, `LimitGate` and `CrashGuard`; the
network between them is simulated.
"""

import asyncio
import random
from dataclasses import dataclass, field

from monsoontack.admission.crashguard import CrashGuard
from monsoontack.admission.limitgate import LimitGate
from monsoontack.gateway.entryexchange import CALL_TIMEOUT_S, EntryExchange
from monsoontack.gateway.peers import PeerEntry, PeerResponse
from monsoontack.gateway.records import RawRequest

REGIONS = ("north", "south")
# One-way times within a region and between regions, as in the users' deployments.
LOCAL_S, REMOTE_S = 0.001, 0.013


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
class ModelFleet:
    """A fleet of entries; `server_keys` are the servers of its one service."""

    rng: random.Random
    server_keys: list[str] = field(default_factory=list)
    entries: dict[str, ModelEntry] = field(default_factory=dict)
    peers: dict[str, PeerEntry] = field(default_factory=dict)
    tasks: set[asyncio.Task] = field(default_factory=set)

    def start_entries(self, count: int) -> None:
        """Start the entries; call it inside of the virtual-time loop."""
        for number in range(count):
            name = f"entry-{number}"
            region = REGIONS[number % len(REGIONS)]
            self.peers[name] = PeerEntry(name, region, name)
        for name in self.peers:
            self.start_entry(name)

    def start_entry(self, name: str) -> None:
        """Start an entry, or start it anew without any state."""
        old = self.entries.get(name)
        if old is not None and old.runner is not None:
            old.runner.cancel()
        rng = random.Random(self.rng.random())
        gate = LimitGate.for_entry(name, rng)
        gate.servers = lambda service: self.server_keys
        gate.permits.fleet_size = len(self.peers)
        exchange = EntryExchange(
            name, self.peers[name].region, gate, CrashGuard(name), None, rng
        )
        entry = ModelEntry(exchange)
        exchange.call = lambda peer, body: self._call(entry, peer, body)
        self.entries[name] = entry
        exchange.set_peers(self.peers)
        entry.runner = asyncio.ensure_future(self._run_entry(entry))

    async def _run_entry(self, entry: ModelEntry) -> None:
        await asyncio.sleep(self.rng.random() * 0.3)
        await entry.exchange.run()

    async def _call(self, sender: ModelEntry, peer: PeerEntry, body: bytes):
        """Deliver a message between two entries; None if it or its answer is lost."""
        receiver = self.entries[peer.name]
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

    def spawn(self, work) -> None:
        """Run a coroutine beside the others."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def top_entry(self) -> str:
        """Return the entry without a parent, the root of the tree."""
        return next(
            name
            for name, entry in self.entries.items()
            if not entry.exchange.place.parents
        )

    @property
    def sent_messages(self) -> int:
        """Return the messages that the entries have sent since they started."""
        return sum(entry.exchange.sent_messages for entry in self.entries.values())
