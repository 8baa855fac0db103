"""Entries' gossip and controllers in one process, for tests on the paused loop.

The network is in memory and the stores have faults. Example::

    fleet = Fleet(9, seed=1)
    await fleet.start(documents)
    fleet.islands["n0"] = "cut"
    fleet.outage(True)
"""

import asyncio
import random

from monsoontack.config.operator import submit
from monsoontack.config.revision import HEAD_KEY, decode_head, seed_store
from monsoontack.controller.service import ControllerService
from monsoontack.core.clock import LoopClock
from monsoontack.core.records import Place, VmRecord
from monsoontack.entry.gossip import Gossip
from monsoontack.entry.peers import PeerUnreachableError
from monsoontack.store.faulty import FaultyStore
from standins.recordingstore import RecordingStore

DOMAINS = ("a", "b", "c")


class MemoryPeers:
    """`PeerTransport` between the nodes of one fleet."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.fleet, self.name = fleet, name

    async def _reach(self, address):
        await asyncio.sleep(self.fleet.rng.uniform(0.0005, 0.02))
        if not self.fleet.connected(self.name, address):
            await asyncio.sleep(1.0)
            raise PeerUnreachableError(address)
        return self.fleet.nodes[address].gossip

    async def push(self, address, digest):
        """Tell a node something new; returns its digest."""
        return (await self._reach(address)).handle_digest(digest)

    async def pull(self, address, digest):
        """Ask a node for its digest."""
        return (await self._reach(address)).handle_digest(digest)

    async def fetch(self, address, digests):
        """Return chunks that a node has, `fetch_limit` at most."""
        values = (await self._reach(address)).chunk_values(list(digests))
        return dict(list(values.items())[: self.fleet.fetch_limit])

    async def report(self, address, report):
        """Send a report to a node."""
        return (await self._reach(address)).handle_report(report)


class Node:
    """One life of one entry; `revisions` are those it adopted, in order."""

    def __init__(self, fleet, name, place, store):
        self.store = store
        self.record = VmRecord(name, "entry", name, "", place)
        clock = LoopClock()
        peers = MemoryPeers(fleet, name)
        self.gossip = Gossip(self.record, name, store, peers, clock, fleet.rng)
        self.controller = ControllerService(store, self.gossip, clock, fleet.rng)
        self.revisions = []
        self.gossip.on_adopted.append(lambda view: self.revisions.append(view.revision))
        self.tasks = []

    def start(self):
        """Run gossip and controller."""
        runs = (self.gossip.run(), self.controller.run())
        self.tasks = [asyncio.ensure_future(run) for run in runs]

    def kill(self):
        """End the node at once."""
        for task in [*self.tasks, *self.controller.lease.requests]:
            task.cancel()
        self.tasks = []

    @property
    def now(self):
        """Time of the loop in seconds."""
        return asyncio.get_running_loop().time()

    def is_ready(self):
        """Return whether the node takes new work."""
        return self.gossip.is_ready(self.now)

    def is_store_contact_recent(self):
        """Return whether unproved versions may get new traffic."""
        return self.gossip.is_fresh(self.now)


class Fleet:
    """Nodes over one store; `partitions` maps names of cut-off nodes to a group."""

    def __init__(self, count, seed=1):
        self.rng = random.Random(seed)
        self.memory = RecordingStore()
        self.clock = LoopClock()
        self.fetch_limit = 100
        self.partitions, self.nodes, self.ended_nodes = {}, {}, []
        self.places = {
            f"n{i}": Place(DOMAINS[i % 3], "r1" if i % 3 else "r0")
            for i in range(count)
        }

    async def start(self, documents):
        """Seed the store and start all nodes."""
        await seed_store(self.memory, documents)
        for name in self.places:
            self.restart(name)
        await asyncio.sleep(3)

    def restart(self, name):
        """Start a node without any state; its former life ends."""
        if old := self.nodes.get(name):
            old.kill()
            self.ended_nodes.append(old)
        store = FaultyStore(self.memory, self.rng)
        node = self.nodes[name] = Node(self, name, self.places[name], store)
        node.start()
        for other in self.nodes.values():
            other.controller.set_entries(n.record for n in self.nodes.values())

    def connected(self, one, other):
        """Return whether a call from one node reaches another."""
        alive = other in self.nodes and self.nodes[other].tasks
        return alive and self.partitions.get(one) == self.partitions.get(other)

    def live_nodes(self):
        """Return the nodes that run."""
        return [node for node in self.nodes.values() if node.tasks]

    def outage(self, value):
        """Begin or end an outage of the store for all nodes."""
        for node in self.nodes.values():
            node.store.outage = value

    def lease_holder(self):
        """Return the node that holds the controller lease."""
        return next((n for n in self.live_nodes() if n.controller.lease.epoch()), None)

    async def submit(self, document):
        """Submit a proposal past all faults."""
        return await submit(self.memory, document, self.clock, 5.0)

    def head(self):
        """Return the published head."""
        return decode_head(self.memory.objects[HEAD_KEY].value)

    def lagging_nodes(self):
        """Return live nodes without the published revision."""
        revision = self.head().revision
        return [n for n in self.live_nodes() if n.gossip.view().revision != revision]

    async def wait_until_spread(self, limit_s):
        """Return the time until all live nodes have the published head."""
        started = self.clock.now()
        while self.lagging_nodes():
            if self.clock.now() > started + limit_s:
                names = [node.record.vm for node in self.lagging_nodes()]
                raise AssertionError(f"{names} are behind after {limit_s} s")
            await asyncio.sleep(0.05)
        return self.clock.now() - started
