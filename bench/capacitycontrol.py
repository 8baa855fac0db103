"""Measurements of configuration, gossip and the controller, with real entries."""

import asyncio
import contextlib
import hashlib
import os
import random

from bench.capacityprobe import CountingRelay, Recorder, Window, read_usage
from monsoontack.config.gossip_state import PeerDigest
from monsoontack.config.operator import submit
from monsoontack.config.revision import seed_store
from monsoontack.core.clock import LoopClock
from monsoontack.entry.peers import GrpcPeers
from monsoontack.proto import peer_pb2
from monsoontack.rollout.evidence import BUCKET_COUNT
from monsoontack.store.http import HttpStore
from standins.cluster import Cluster
from standins.fleet import SERVICE, documents, publish
from standins.processes import ManagedProcess

ACCOUNTS = (1000, 4000, 16_000)
CHANGES = (4, 8, 16)
FLEET_SIZES = (3, 6, 12)
FLEET_WINDOW_S = 12.0
REPORTS = (200, 400, 800)
REPORT_ROUTES = (0, 4, 28)
ROUTE_REPORTS = 400
PULLS = (200, 400, 800)
REST_S = 6.0
SETTLE_S = 5.0
WAIT_LIMIT_S = 150.0


def account_documents(count: int) -> list[dict]:
    """Return a service with `count` client accounts."""
    objects = documents()[:-1]
    for index in range(count):
        key = hashlib.sha256(f"key-{index}".encode()).hexdigest()
        spec = {"key_digests": [key], "services": [SERVICE], "max_concurrent": 20}
        objects.append({"kind": "ClientAccount", "name": f"account-{index:05d}"})
        objects[-1]["spec"] = spec
    return objects


def account_change(index: int) -> dict:
    """Return a proposal that changes the weight of one account."""
    document = account_documents(index + 1)[-1]
    document["spec"]["weight"] = 2.0
    return {
        "uid": f"change-{index:05d}",
        "author": "bench",
        "changes": [{"op": "put", "base_version": 1, "object": document}],
    }


class ControlledFleet:
    """Two entries at one store: the holder of the lease and another one."""

    def __init__(self, cluster: Cluster, size: int, recorder: Recorder) -> None:
        self.cluster = cluster
        self.size = size
        self.recorder = recorder
        self.revision = 0
        self.changed = 0
        self.holder: ManagedProcess | None = None
        self.other: ManagedProcess | None = None

    async def start(self) -> None:
        """Publish the accounts and start both entries, the holder first."""
        await self.cluster.start_platform(self.publish)
        self.holder = await self.cluster.start_entry()
        await self.wait_control(self.holder, lambda c: c["lease_epoch"] is not None)
        self.other = await self.cluster.start_entry()
        for entry in (self.holder, self.other):
            await self.wait_control(entry, lambda c: c["ready"] and c["members"] == 1)

    async def publish(self, store_url: str) -> None:
        """Publish the first revision."""
        async with HttpStore(store_url) as store:
            (await seed_store(store, account_documents(self.size))).unwrap()

    async def wait_control(self, entry: ManagedProcess, condition) -> dict:
        """Wait for a condition on the control part of an entry's state dump."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while True:
                control = (await self.cluster.state_of(entry))["control"]
                if condition(control):
                    return control
                await asyncio.sleep(0.1)

    async def calls(self) -> dict[str, int]:
        """Return the store calls so far by kind."""
        return (await self.cluster.get_json(self.cluster.store.faults_url))["calls"]

    async def measure_rest(self) -> tuple[dict[str, float], dict[str, float]]:
        """Store memory, CPU and store calls at rest; returns the two rates."""
        await asyncio.sleep(SETTLE_S)
        before = await self.calls()
        window = Window.open(self.holder.pid, self.other.pid)
        await asyncio.sleep(REST_S)
        elapsed = window.elapsed_s()
        calls = {
            kind: (count - before.get(kind, 0)) / elapsed
            for kind, count in (await self.calls()).items()
        }
        rates = {}
        for name, process in (("holder", self.holder), ("other", self.other)):
            resident = read_usage(process.pid).resident
            rates[name] = window.cpu_s(process.pid) / elapsed
            add = self.recorder.point
            add(f"entry.account.{name}_memory", self.size, resident, "B")
            add(f"entry.account.{name}_rest_cpu", self.size, rates[name], "core")
        for kind, rate in sorted(calls.items()):
            self.recorder.point(f"store.rest.{kind}", self.size, rate, "1/s")
        return rates, calls

    async def measure_changes(self) -> None:
        """Store CPU and store calls by the number of published changes.

        What the processes use at rest in the same time is subtracted.
        """
        rest_cpu, rest_calls = await self.measure_rest()
        async with HttpStore(self.cluster.store.url) as store:
            for count in CHANGES:
                before = await self.calls()
                window = Window.open(self.holder.pid, self.other.pid)
                await self.change(store, count)
                elapsed = window.elapsed_s()
                calls = await self.calls()
                for name, process in (("holder", self.holder), ("other", self.other)):
                    cpu = window.cpu_s(process.pid) - rest_cpu[name] * elapsed
                    series = f"change.{self.size}.{name}_cpu"
                    self.recorder.point(series, count, cpu, "s")
                for kind, total in sorted(calls.items()):
                    added = total - before.get(kind, 0)
                    added -= rest_calls.get(kind, 0.0) * elapsed
                    # The proposals themselves are written by operators.
                    added -= count if kind == "create" else 0
                    series = f"change.{self.size}.calls.{kind}"
                    self.recorder.point(series, count, added, "1")

    async def change(self, store: HttpStore, count: int) -> None:
        """Publish changes of single accounts and wait until both adopted them."""
        control = await self.wait_control(self.holder, lambda c: c["ready"])
        wanted = control["revision"] + count
        for _ in range(count):
            proposal = account_change(self.changed)
            self.changed += 1
            (await submit(store, proposal, LoopClock(), 10.0)).unwrap()
        for entry in (self.holder, self.other):
            await self.wait_control(entry, lambda c: c["revision"] >= wanted)
        await asyncio.sleep(2.0)  # status writes and confirmations


async def measure_accounts(recorder: Recorder, size: int) -> None:
    """Store the costs of a published configuration with `size` accounts."""
    async with Cluster.create() as cluster:
        fleet = ControlledFleet(cluster, size, recorder)
        await fleet.start()
        await fleet.measure_changes()


def evidence_report(number: int, routes: int, revision: int) -> peer_pb2.EvidenceReport:
    """Return a report of one entry with counters of some routes."""
    report = peer_pb2.EvidenceReport(
        entry=f"entry-{number}",
        incarnation=1,
        revision=revision,
        address=f"127.0.1.{number % 250}:9",
    )
    rng = random.Random(number)
    for index in range(routes):
        report.routes.add(
            service=f"service-{index // 4}",
            version=f"v{index // 2 % 2}",
            route=("completions", "chat")[index % 2],
            requests=1000 + number,
            failures=2,
            first_token_counts=[rng.randrange(2000) for _ in range(BUCKET_COUNT)],
            token_gap_counts=[rng.randrange(200_000) for _ in range(BUCKET_COUNT)],
        )
    return report


class PeerMeasurement:
    """Calls of this process to the peer service of an entry."""

    def __init__(self, fleet: ControlledFleet, recorder: Recorder) -> None:
        self.fleet = fleet
        self.recorder = recorder
        self.peers = GrpcPeers()
        settings = fleet.cluster.settings_of(fleet.holder)
        self.address = settings["peer_address"]
        self.rest = 0.0

    async def measure_rest(self) -> None:
        """Take the holder's CPU at rest, which is subtracted from the rest."""
        window = Window.open(self.fleet.holder.pid)
        await asyncio.sleep(REST_S)
        self.rest = window.cpu_s(self.fleet.holder.pid) / window.elapsed_s()

    async def cpu_of(self, calls) -> float:
        """Return the CPU time of the holder that some calls take."""
        window = Window.open(self.fleet.holder.pid)
        for call in calls:
            await call()
        elapsed = window.elapsed_s()
        return window.cpu_s(self.fleet.holder.pid) - self.rest * elapsed

    async def measure_reports(self) -> None:
        """Store the holder's CPU by reports, and by routes in a report."""
        for count in REPORTS:
            cpu = await self.cpu_of(self.report(n, 4) for n in range(count))
            self.recorder.point("controller.report.cpu", count, cpu, "s")
        for routes in REPORT_ROUTES:
            cpu = await self.cpu_of(
                self.report(n, routes) for n in range(ROUTE_REPORTS)
            )
            self.recorder.point(
                "controller.report_route.cpu", routes, cpu / ROUTE_REPORTS, "s"
            )
            size = evidence_report(1, routes, 1).ByteSize()
            self.recorder.point("controller.report_route.bytes", routes, size, "B")

    def report(self, number: int, routes: int):
        """Return a call that sends a report."""

        async def call() -> None:
            report = evidence_report(number, routes, 1)
            reply = await self.peers.report(self.address, report)
            if not reply.holder:
                raise RuntimeError("the entry under test has lost the lease")

        return call

    async def measure_pulls(self) -> None:
        """Store CPU at both ends and bytes by the number of pulls."""
        # A digest of an older revision would be answered with the whole head.
        control = await self.fleet.wait_control(self.fleet.holder, lambda c: c["ready"])
        digest = PeerDigest("bench", "127.0.0.1:9", control["revision"])

        def pull(address: str):
            return lambda: self.peers.pull(address, digest)

        await pull(self.address)()
        for count in PULLS:
            own = read_usage(os.getpid()).cpu_s
            cpu = await self.cpu_of([pull(self.address)] * count)
            own = read_usage(os.getpid()).cpu_s - own
            self.recorder.point("entry.pull.served_cpu", count, cpu, "s")
            self.recorder.point("entry.pull.sent_cpu", count, own, "s")
        relay = await CountingRelay.start(self.address)
        for count in PULLS:
            before = relay.total()
            await self.cpu_of([pull(relay.address)] * count)
            size = relay.total() - before
            self.recorder.point("entry.pull.bytes", count, size, "B")
        relay.close()

    async def run(self) -> None:
        """Measure everything and close the channels."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self.peers.close)
            await self.measure_rest()
            await self.measure_pulls()
            await self.measure_reports()


async def measure_peers(recorder: Recorder) -> None:
    """Store the costs of gossip and of evidence reports."""
    async with Cluster.create() as cluster:
        fleet = ControlledFleet(cluster, 1000, recorder)
        await fleet.start()
        await PeerMeasurement(fleet, recorder).run()


async def measure_fleet(recorder: Recorder) -> None:
    """Store calls at rest by the number of entries in one failure domain."""
    async with Cluster.create() as cluster:
        await cluster.start_platform(publish)
        entries = []
        for size in FLEET_SIZES:
            added = size - len(entries)
            entries += await asyncio.gather(
                *(cluster.start_entry() for _ in range(added))
            )
            # The VM list is polled every second; standbys look twice in 6 s.
            await asyncio.sleep(9.0)
            before = await cluster.get_json(cluster.store.faults_url)
            window = Window.open(*(entry.pid for entry in entries))
            await asyncio.sleep(FLEET_WINDOW_S)
            elapsed = window.elapsed_s()
            after = await cluster.get_json(cluster.store.faults_url)
            for kind, count in sorted(after["calls"].items()):
                rate = (count - before["calls"].get(kind, 0)) / elapsed
                recorder.point(f"store.fleet.{kind}", size, rate, "1/s")
            mean = sum(window.cpu_s(entry.pid) for entry in entries) / size / elapsed
            recorder.point("entry.fleet.rest_cpu", size, mean, "core")
