"""Measurements of configuration, gossip and the controller with real entries."""

import asyncio
import contextlib
import hashlib
import os
import random

from bench.capacityprobe import CountingRelay, CpuWindow, Recorder, read_usage
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

ACCOUNT_COUNTS = (1000, 4000, 16_000)
CHANGE_COUNTS = (4, 8, 16)
FLEET_SIZES = (3, 6, 12)
FLEET_WINDOW_S = 12.0
REPORT_COUNTS = (200, 400, 800)
ROUTES_PER_REPORT = (0, 4, 28)
ROUTE_REPORT_COUNT = 400
PULL_COUNTS = (200, 400, 800)
IDLE_WINDOW_S = 6.0
SETTLE_S = 5.0
WAIT_TIMEOUT_S = 150.0


def account_documents(count: int) -> list[dict]:
    """Return the objects of a service and `count` client accounts."""
    objects = documents()[:-1]
    for index in range(count):
        key = hashlib.sha256(f"key-{index}".encode()).hexdigest()
        spec = {"key_digests": [key], "services": [SERVICE], "max_concurrent": 20}
        objects.append({"kind": "ClientAccount", "name": f"account-{index:05d}"})
        objects[-1]["spec"] = spec
    return objects


def account_proposal(index: int) -> dict:
    """Return a proposal that changes the weight of one client account."""
    document = account_documents(index + 1)[-1]
    document["spec"]["weight"] = 2.0
    return {
        "uid": f"change-{index:05d}",
        "author": "bench",
        "changes": [{"op": "put", "base_version": 1, "object": document}],
    }


class EntryPair:
    """Two entries with the same store; `holder` holds the controller lease."""

    def __init__(
        self, cluster: Cluster, account_count: int, recorder: Recorder
    ) -> None:
        self.cluster = cluster
        self.account_count = account_count
        self.recorder = recorder
        self.revision = 0
        self.change_count = 0
        self.holder: ManagedProcess | None = None
        self.other: ManagedProcess | None = None

    async def start(self) -> None:
        """Publish the client accounts and start both entries, the holder first."""
        await self.cluster.start_platform(self.publish)
        self.holder = await self.cluster.start_entry()
        await self.wait_for_control(self.holder, lambda c: c["lease_epoch"] is not None)
        self.other = await self.cluster.start_entry()
        for entry in (self.holder, self.other):
            await self.wait_for_control(
                entry, lambda c: c["ready"] and c["members"] == 1
            )

    async def publish(self, store_url: str) -> None:
        """Publish the first revision of the configuration."""
        async with HttpStore(store_url) as store:
            (await seed_store(store, account_documents(self.account_count))).unwrap()

    async def wait_for_control(self, entry: ManagedProcess, condition) -> dict:
        """Wait until the control section of an entry's state dump meets a condition.

        Returns that section.
        """
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while True:
                control = (await self.cluster.state_of(entry))["control"]
                if condition(control):
                    return control
                await asyncio.sleep(0.1)

    async def store_calls(self) -> dict[str, int]:
        """Return the number of store calls so far by kind."""
        return (await self.cluster.get_json(self.cluster.store.faults_url))["calls"]

    async def measure_idle(self) -> tuple[dict[str, float], dict[str, float]]:
        """Record memory, CPU and store calls of idle entries.

        Returns the cores by entry and the store calls per second by kind.
        """
        await asyncio.sleep(SETTLE_S)
        before = await self.store_calls()
        window = CpuWindow.open(self.holder.pid, self.other.pid)
        await asyncio.sleep(IDLE_WINDOW_S)
        elapsed = window.elapsed_s()
        calls = {
            kind: (count - before.get(kind, 0)) / elapsed
            for kind, count in (await self.store_calls()).items()
        }
        rates = {}
        for name, process in (("holder", self.holder), ("other", self.other)):
            resident = read_usage(process.pid).resident
            rates[name] = window.cpu_s(process.pid) / elapsed
            add_point = self.recorder.add_point
            add_point(f"entry.account.{name}_memory", self.account_count, resident, "B")
            add_point(
                f"entry.account.{name}_rest_cpu",
                self.account_count,
                rates[name],
                "core",
            )
        for kind, rate in sorted(calls.items()):
            self.recorder.add_point(
                f"store.rest.{kind}", self.account_count, rate, "1/s"
            )
        return rates, calls

    async def measure_changes(self) -> None:
        """Record CPU and store calls over the number of published changes.

        The amounts that idle entries use in the same time are subtracted.
        """
        idle_cores, idle_call_rates = await self.measure_idle()
        async with HttpStore(self.cluster.store.url) as store:
            for count in CHANGE_COUNTS:
                before = await self.store_calls()
                window = CpuWindow.open(self.holder.pid, self.other.pid)
                await self.publish_changes(store, count)
                elapsed = window.elapsed_s()
                calls = await self.store_calls()
                for name, process in (("holder", self.holder), ("other", self.other)):
                    cpu = window.cpu_s(process.pid) - idle_cores[name] * elapsed
                    series = f"change.{self.account_count}.{name}_cpu"
                    self.recorder.add_point(series, count, cpu, "s")
                for kind, total in sorted(calls.items()):
                    added = total - before.get(kind, 0)
                    added -= idle_call_rates.get(kind, 0.0) * elapsed
                    # The operator, not an entry, creates the proposals.
                    added -= count if kind == "create" else 0
                    series = f"change.{self.account_count}.calls.{kind}"
                    self.recorder.add_point(series, count, added, "1")

    async def publish_changes(self, store: HttpStore, count: int) -> None:
        """Change `count` accounts one by one and wait until both entries apply them."""
        control = await self.wait_for_control(self.holder, lambda c: c["ready"])
        wanted = control["revision"] + count
        for _ in range(count):
            proposal = account_proposal(self.change_count)
            self.change_count += 1
            (await submit(store, proposal, LoopClock(), 10.0)).unwrap()
        for entry in (self.holder, self.other):
            await self.wait_for_control(entry, lambda c: c["revision"] >= wanted)
        await asyncio.sleep(2.0)  # for status writes and confirmations


async def measure_accounts(recorder: Recorder, account_count: int) -> None:
    """Record the costs of a configuration with `account_count` client accounts."""
    async with Cluster.create() as cluster:
        entry_pair = EntryPair(cluster, account_count, recorder)
        await entry_pair.start()
        await entry_pair.measure_changes()


def evidence_report(number: int, routes: int, revision: int) -> peer_pb2.EvidenceReport:
    """Return an evidence report of one entry with counters of `routes` routes."""
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
    """Measures calls from this process to the peer service of an entry."""

    def __init__(self, entry_pair: EntryPair, recorder: Recorder) -> None:
        self.entry_pair = entry_pair
        self.recorder = recorder
        self.peers = GrpcPeers()
        settings = entry_pair.cluster.settings_of(entry_pair.holder)
        self.address = settings["peer_address"]
        self.idle_cores = 0.0

    async def measure_idle(self) -> None:
        """Measure the idle holder's CPU, which later measurements subtract."""
        window = CpuWindow.open(self.entry_pair.holder.pid)
        await asyncio.sleep(IDLE_WINDOW_S)
        self.idle_cores = window.cpu_s(self.entry_pair.holder.pid) / window.elapsed_s()

    async def measure_cpu_s(self, calls) -> float:
        """Return the CPU time that the holder spends on calls."""
        window = CpuWindow.open(self.entry_pair.holder.pid)
        for call in calls:
            await call()
        elapsed = window.elapsed_s()
        return window.cpu_s(self.entry_pair.holder.pid) - self.idle_cores * elapsed

    async def measure_reports(self) -> None:
        """Record the holder's CPU over reports, and over the routes in a report."""
        for count in REPORT_COUNTS:
            cpu = await self.measure_cpu_s(self.report_call(n, 4) for n in range(count))
            self.recorder.add_point("controller.report.cpu", count, cpu, "s")
        for routes in ROUTES_PER_REPORT:
            cpu = await self.measure_cpu_s(
                self.report_call(n, routes) for n in range(ROUTE_REPORT_COUNT)
            )
            self.recorder.add_point(
                "controller.report_route.cpu", routes, cpu / ROUTE_REPORT_COUNT, "s"
            )
            size = evidence_report(1, routes, 1).ByteSize()
            self.recorder.add_point("controller.report_route.bytes", routes, size, "B")

    def report_call(self, number: int, routes: int):
        """Return a coroutine function that sends an evidence report."""

        async def call() -> None:
            report = evidence_report(number, routes, 1)
            reply = await self.peers.report(self.address, report)
            if not reply.holder:
                raise RuntimeError("the entry under test has lost the controller lease")

        return call

    async def measure_pulls(self) -> None:
        """Record the CPU of both ends and the bytes over the number of pulls."""
        # For a digest of an older revision, the reply would hold the whole head.
        control = await self.entry_pair.wait_for_control(
            self.entry_pair.holder, lambda c: c["ready"]
        )
        digest = PeerDigest("bench", "127.0.0.1:9", control["revision"])

        def pull(address: str):
            return lambda: self.peers.pull(address, digest)

        await pull(self.address)()
        for count in PULL_COUNTS:
            own_cpu_s = read_usage(os.getpid()).cpu_s
            cpu = await self.measure_cpu_s([pull(self.address)] * count)
            own_cpu_s = read_usage(os.getpid()).cpu_s - own_cpu_s
            self.recorder.add_point("entry.pull.served_cpu", count, cpu, "s")
            self.recorder.add_point("entry.pull.sent_cpu", count, own_cpu_s, "s")
        relay = await CountingRelay.start(self.address)
        for count in PULL_COUNTS:
            before = relay.total_bytes()
            await self.measure_cpu_s([pull(relay.address)] * count)
            size = relay.total_bytes() - before
            self.recorder.add_point("entry.pull.bytes", count, size, "B")
        relay.close()

    async def run(self) -> None:
        """Run all measurements, then close the channels."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self.peers.close)
            await self.measure_idle()
            await self.measure_pulls()
            await self.measure_reports()


async def measure_peers(recorder: Recorder) -> None:
    """Record the costs of gossip and of evidence reports."""
    async with Cluster.create() as cluster:
        entry_pair = EntryPair(cluster, 1000, recorder)
        await entry_pair.start()
        await PeerMeasurement(entry_pair, recorder).run()


async def measure_fleet(recorder: Recorder) -> None:
    """Record store calls and CPU over the number of idle entries.

    All entries are in the same failure domain.
    """
    async with Cluster.create() as cluster:
        await cluster.start_platform(publish)
        entries = []
        for size in FLEET_SIZES:
            added = size - len(entries)
            entries += await asyncio.gather(
                *(cluster.start_entry() for _ in range(added))
            )
            # Entries poll the VM list every second; a standby reads the lease twice,
            # 6 s apart.
            await asyncio.sleep(9.0)
            before = await cluster.get_json(cluster.store.faults_url)
            window = CpuWindow.open(*(entry.pid for entry in entries))
            await asyncio.sleep(FLEET_WINDOW_S)
            elapsed = window.elapsed_s()
            after = await cluster.get_json(cluster.store.faults_url)
            for kind, count in sorted(after["calls"].items()):
                rate = (count - before["calls"].get(kind, 0)) / elapsed
                recorder.add_point(f"store.fleet.{kind}", size, rate, "1/s")
            mean = sum(window.cpu_s(entry.pid) for entry in entries) / size / elapsed
            recorder.add_point("entry.fleet.rest_cpu", size, mean, "core")
