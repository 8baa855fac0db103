"""A running generation service: engines, agents behind gates, and entries.

Example::

    async with Fleet.start(engines=2, entries=2) as fleet:
        body = fleet.body("a prompt", max_tokens=50)
        async with fleet.client() as client:
            async for part in client.stream("completions", body):
                ...
"""

import asyncio
import hashlib
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace

from monsoontack.client.client import Client
from monsoontack.config.revision import seed_store
from monsoontack.store.http import HttpStore
from standins.answers import expected_answer
from standins.cluster import Cluster
from standins.processes import ManagedProcess

SERVICE = "plan-writer"
VERSION = "v1"
KEY = "sample-key"
ACCOUNT = "trail-crews"
READY_POLL_S = 0.02
READY_TIMEOUT_S = 30.0


def documents(versions: Sequence[str] = (VERSION,)) -> list[dict]:
    """Return objects of one service whose first version has all traffic."""
    shares = {name: 100.0 if name == versions[0] else 0.0 for name in versions}
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    account = {"key_digests": [digest], "services": [SERVICE]}
    return [
        _document("Service", SERVICE, {"kind": "engine", "shares": shares}),
        *(
            _document(
                "Version", f"{SERVICE}.{name}", {"service": SERVICE, "version": name}
            )
            for name in versions
        ),
        _document("ClientAccount", ACCOUNT, account),
    ]


def _document(kind: str, name: str, spec: dict) -> dict:
    return {"kind": kind, "name": name, "spec": spec}


async def publish(store_url: str) -> None:
    """Publish the objects as the first revision."""
    async with HttpStore(store_url) as store:
        (await seed_store(store, documents())).unwrap()


@dataclass(slots=True)
class Backend:
    """One engine with its agent; entries reach the agent through the gate."""

    engine: ManagedProcess
    agent: ManagedProcess
    fault_proxy: ManagedProcess | None = None

    @property
    def address(self) -> str:
        """Address under which entries know the agent."""
        return (self.fault_proxy or self.agent).address


@dataclass(slots=True)
class Fleet:
    """Processes of one running service."""

    cluster: Cluster
    backends: list[Backend] = field(default_factory=list)
    entries: list[ManagedProcess] = field(default_factory=list)

    @classmethod
    @asynccontextmanager
    async def start(
        cls,
        engines: int = 2,
        entries: int = 1,
        fault_proxies: bool = False,
        token_gap_s: float = 0.02,
        slots: int = 16,
        product: Sequence[str] = (),
        **entry_settings,
    ) -> AsyncIterator["Fleet"]:
        """Start all processes and wait until every entry has all its links.

        `product` is the command that runs the product, if not this checkout.
        """
        async with Cluster.create() as cluster:
            cluster.product = list(product) or cluster.product
            await cluster.start_platform(publish)
            fleet = cls(cluster)
            fleet.backends = await asyncio.gather(
                *(
                    fleet.add_backend(fault_proxies, token_gap_s, slots)
                    for _ in range(engines)
                )
            )
            fleet.entries = await asyncio.gather(
                *(cluster.start_entry(**entry_settings) for _ in range(entries))
            )
            for entry in fleet.entries:
                await fleet.wait_ready(entry)
            yield fleet

    async def add_backend(
        self, fault_proxy: bool = False, token_gap_s: float = 0.02, slots: int = 16
    ) -> Backend:
        """Start one engine with its agent and put it into the VM list."""
        cluster = self.cluster
        engine = await cluster.start_engine(slots=slots, token_gap_s=token_gap_s)
        agent = await cluster.start_agent(engine, service=SERVICE, slots=slots)
        backend = Backend(engine, agent)
        if fault_proxy:
            backend.fault_proxy = await cluster.start_fault_proxy(agent.address)
            record = cluster.vms[f"vm-{agent.name}"]
            await cluster.put_vm(replace(record, address=backend.address))
        return backend

    async def wait_ready(self, entry: ManagedProcess) -> None:
        """Wait until an entry has a revision and links to all running agents."""
        wanted = {b.address for b in self.backends if b.agent.is_running()}
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                state = await self.cluster.state_of(entry)
                up = {link["address"] for link in state["links"] if link["up"]}
                if state["ready"] and wanted <= up:
                    return
                await asyncio.sleep(READY_POLL_S)

    def client(self, entries: list[ManagedProcess] | None = None) -> Client:
        """Return a client that uses the entries in turn."""
        return Client([entry.url for entry in entries or self.entries], KEY)

    def body(self, prompt: str, max_tokens: int = 50) -> dict:
        """Return the body of a completion request."""
        return {"model": SERVICE, "prompt": prompt, "max_tokens": max_tokens}

    def expected(self, body: dict) -> tuple[list[int], str]:
        """Return the token ids and the text of the right answer."""
        return expected_answer(VERSION, body)

    async def running_on(self, entry: ManagedProcess, index: int = 0) -> Backend:
        """Return the backend of the entry's generation number `index`."""
        state = await self.cluster.state_of(entry)
        address = state["generations"][index]["agent"]
        return next(b for b in self.backends if b.address == address)
