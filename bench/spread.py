"""Propagation of configuration: time, store calls, CPU, bytes and large revisions.

4, 16 and 64 entries run as real processes in three failure domains, with stand-ins
for the platform. A change is in force everywhere once the last running entry has
logged it. Figures from a busy host are upper limits.
"""

import asyncio
import gc
import json
import math
import os
import random
import statistics
import time
import tracemalloc
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path

from bench.gossipbytes import gossip_bytes_per_s
from bench.registry import Figure, measurement
from monsoontack.config.confirmations import STATUS_KEY, ConfigStatus
from monsoontack.config.operator import submit
from monsoontack.config.proposal import Proposal, decide
from monsoontack.config.revision import (
    Chunk,
    build_view,
    encode_head,
    load_chunk,
    make_revision,
    seed_store,
)
from monsoontack.core.clock import LoopClock
from monsoontack.core.records import Place
from monsoontack.store.http import HttpStore
from standins.cluster import Cluster
from standins.processes import ManagedProcess, PortBlock, StartError

FLEET_SIZES = (4, 16, 64)
TARGET_ENTRY_COUNT = 390
CHANGE_COUNT = 8
IDLE_S = 15.0
SETTLE_S = 10.0  # time for the first checks of the standby lease candidates
IN_FORCE_LIMIT_S = 9.0
MAX_IDLE_CPU_PERCENT = 3.9  # of a core, for all control work of a daemon
MEMORY_LIMIT_MB = 32.0
ACCOUNT_COUNT = 16_000
PARALLEL_STARTS = 8
TIMEOUT_S = 60.0


class PortPool:
    """An unlimited number of ports, taken from several port blocks."""

    def __init__(self) -> None:
        self.blocks = [PortBlock()]

    def take(self) -> int:
        """Return a free port."""
        try:
            return self.blocks[-1].take()
        except StartError:
            self.blocks.append(PortBlock())
            return self.blocks[-1].take()

    def close(self) -> None:
        """Release all port blocks."""
        for block in self.blocks:
            block.close()


def seed_documents(accounts: int) -> list[dict]:
    """Return a service with two versions and `accounts` client accounts."""
    spec = {"kind": "engine", "shares": {"v1": 100}}
    documents = [{"kind": "Service", "name": "writer", "spec": spec}]
    for version in ("v1", "v2"):
        spec = {"service": "writer", "version": version}
        name = f"writer.{version}"
        documents.append({"kind": "Version", "name": name, "spec": spec})
    return documents + [client_account(number) for number in range(accounts)]


def client_account(number: int) -> dict:
    """Return the document of a client account with one key and limits."""
    spec = {
        "key_digests": [f"{number:064x}"],
        "weight": 1.5,
        "max_concurrent": 40,
        "services": ["writer"],
    }
    return {"kind": "ClientAccount", "name": f"account-{number}", "spec": spec}


def put_proposal(document: dict, uid: str, base_version: int = 0) -> dict:
    """Return a proposal that puts one object."""
    change = {"op": "put", "base_version": base_version, "object": document}
    return {"uid": uid, "author": "bench", "changes": [change]}


class SpreadMeasurement:
    """Measurements on a running fleet of one size."""

    def __init__(self, cluster: Cluster, store: HttpStore, entries, rng):
        self.cluster = cluster
        self.store = store
        self.entries: list[ManagedProcess] = entries
        self.rng: random.Random = rng
        self.change_count = 0

    def running_entries(self) -> list[ManagedProcess]:
        """Return the entries whose processes run."""
        return [entry for entry in self.entries if entry.is_running()]

    def in_force_at(self, entry: ManagedProcess, revision: int) -> float | None:
        """Return the Unix time at which an entry logged that a revision is in force."""
        for line in entry.read_log().splitlines():
            if '"configuration in force"' not in line:
                continue
            document = json.loads(line)
            if document["revision"] >= revision:
                return datetime.fromisoformat(document["timestamp"]).timestamp()
        return None

    async def publish_change(self) -> float:
        """Publish a change; return the seconds until all running entries use it."""
        self.change_count += 1
        document = client_account(10**6 + self.change_count)
        started = time.time()
        proposal = put_proposal(
            document, f"{int(started * 1000):014d}-{self.change_count}"
        )
        (await submit(self.store, proposal, LoopClock(), TIMEOUT_S)).unwrap()
        while time.time() < started + TIMEOUT_S:
            times = [
                self.in_force_at(e, self.change_count + 1)
                for e in self.running_entries()
            ]
            if None not in times:
                return max(times) - started
            await asyncio.sleep(0.1)
        return TIMEOUT_S

    async def wait_until_confirmed(self) -> float:
        """Return the seconds until the status confirms the latest revision."""
        started = time.time()
        while time.time() < started + TIMEOUT_S:
            result = await self.store.get(STATUS_KEY)
            stored = result.value_or(None)
            if stored is not None:
                status = ConfigStatus.decode(stored.value)
                if status.in_force >= self.change_count + 1:
                    break
            await asyncio.sleep(0.1)
        return time.time() - started

    async def lease_holder(self) -> ManagedProcess:
        """Return the entry that holds the controller lease."""
        while True:
            for entry in self.running_entries():
                state = await self.cluster.state_of(entry)
                if state["control"]["lease_epoch"]:
                    return entry
            await asyncio.sleep(0.2)

    async def wait_until_members_known(self) -> None:
        """Wait until every entry has all others of the VM list as members."""
        for entry in self.entries:
            known = -1
            while known != len(self.entries) - 1:
                state = await self.cluster.state_of(entry)
                known = state["control"]["members"]
                await asyncio.sleep(0.1)

    async def store_calls(self) -> dict[str, int]:
        """Return the calls by kind that the stand-in object API has counted."""
        faults = await self.cluster.get_json(f"{self.cluster.store.url}/faults")
        return faults["calls"]

    async def measure_idle(self) -> tuple[dict[str, float], list[float]]:
        """Return store calls a second by kind, and the CPU percent of each entry."""
        calls, cpu = await self.store_calls(), list(map(cpu_s, self.running_entries()))
        await asyncio.sleep(IDLE_S)
        later, cpu_later = (
            await self.store_calls(),
            list(map(cpu_s, self.running_entries())),
        )
        rates = {k: (n - calls.get(k, 0)) / IDLE_S for k, n in later.items()}
        cpu_percents = [
            100 * (b - a) / IDLE_S for a, b in zip(cpu, cpu_later, strict=True)
        ]
        return rates, cpu_percents


def cpu_s(process: ManagedProcess) -> float:
    """Return the CPU seconds that a process has used."""
    stat = Path(f"/proc/{process.pid}/stat").read_text(encoding="utf-8")
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def start_fleet(cluster: Cluster, size: int) -> list[ManagedProcess]:
    """Start `size` entries in three failure domains."""
    limit = asyncio.Semaphore(PARALLEL_STARTS)

    async def start(index: int) -> ManagedProcess:
        domain = index % 3
        async with limit:
            place = Place(f"domain-{domain}", f"region-{domain // 2}")
            return await cluster.start_entry(place)

    return list(await asyncio.gather(*map(start, range(size))))


async def measure_size(size: int, seed: int) -> dict[str, object]:
    """Start a fleet of `size` entries and return its raw figures."""
    cluster = Cluster.create()
    cluster.ports = PortPool()
    async with cluster:
        await cluster.start_platform(_seed_store)
        entries = await start_fleet(cluster, size)
        async with HttpStore(cluster.store.url) as store:
            run = SpreadMeasurement(cluster, store, entries, random.Random(seed))
            await run.wait_until_members_known()
            await asyncio.sleep(SETTLE_S)
            rates, cpu = await run.measure_idle()
            times = [await run.publish_change() for _ in range(CHANGE_COUNT)]
            confirmed = await run.wait_until_confirmed()
            with_dead = await _change_with_dead_peers(run)
            with_dead_controller = await _change_with_dead_controller(run)
    return {
        "rates": rates,
        "cpu": cpu,
        "times": times,
        "confirmed": confirmed,
        "with_dead": with_dead,
        "with_dead_controller": with_dead_controller,
    }


async def _seed_store(url: str) -> None:
    async with HttpStore(url) as store:
        (await seed_store(store, seed_documents(20))).unwrap()


async def _change_with_dead_peers(run: SpreadMeasurement) -> float:
    holder = await run.lease_holder()
    others = [entry for entry in run.running_entries() if entry is not holder]
    for entry in run.rng.sample(others, len(run.entries) // 4):
        entry.kill()
    return await run.publish_change()


async def _change_with_dead_controller(run: SpreadMeasurement) -> float:
    (await run.lease_holder()).kill()
    return await run.publish_change()


@measurement("spread")
def measure(seed: int) -> Iterator[Figure]:
    """Yield the figures of all fleet sizes, of gossip, and of a large revision."""
    medians, rates = {}, {}
    for size in FLEET_SIZES:
        raw = asyncio.run(measure_size(size, seed))
        medians[size] = statistics.median(raw["times"])
        rates[size] = sum(raw["rates"].values())
        yield from _size_figures(f"spread.{size}", raw)
    yield from _slope_figures(medians, rates)
    count, size = asyncio.run(gossip_bytes_per_s(seed))
    yield Figure.at_most("spread.gossip.bytes", size, "B/s per process", 5000)
    yield Figure("spread.gossip.pulls", count, "1/s per process")
    yield from large_revision()


def _size_figures(name: str, raw: dict) -> Iterator[Figure]:
    yield Figure(f"{name}.in_force.p50", statistics.median(raw["times"]), "s")
    yield Figure.at_most(
        f"{name}.in_force.max", max(raw["times"]), "s", IN_FORCE_LIMIT_S
    )
    yield Figure(f"{name}.confirmed_after", raw["confirmed"], "s")
    yield Figure.at_most(
        f"{name}.quarter_dead", raw["with_dead"], "s", IN_FORCE_LIMIT_S
    )
    dead = raw["with_dead_controller"]
    yield Figure.at_most(f"{name}.controller_dead", dead, "s", IN_FORCE_LIMIT_S)
    for kind, rate in sorted(raw["rates"].items()):
        yield Figure(f"{name}.store_calls.{kind}", rate, "1/s")
    mean = statistics.mean(raw["cpu"])
    yield Figure.at_most(
        f"{name}.idle_cpu.mean", mean, "% of a core", MAX_IDLE_CPU_PERCENT
    )
    yield Figure(f"{name}.idle_cpu.max", max(raw["cpu"]), "% of a core")


def _slope_figures(
    medians: dict[int, float], rates: dict[int, float]
) -> Iterator[Figure]:
    """Yield the growth by fleet size, and the time expected at the target scale."""
    low, high = FLEET_SIZES[0], FLEET_SIZES[-1]
    doublings = math.log2(high / low)
    slope = (medians[high] - medians[low]) / doublings
    yield Figure("spread.in_force.slope", slope, "s per doubling")
    expected = medians[high] + slope * math.log2(TARGET_ENTRY_COUNT / high)
    yield Figure.at_most(
        f"spread.in_force.at_{TARGET_ENTRY_COUNT}", expected, "s", IN_FORCE_LIMIT_S
    )
    growth = (rates[high] - rates[low]) / (high - low)
    yield Figure("spread.store_calls.slope", growth, "1/s per process")


def large_revision() -> Iterator[Figure]:
    """Yield memory and processing times of a revision with 16,000 client accounts."""
    head, values = make_revision(seed_documents(ACCOUNT_COUNT))
    names = {digest: name for name, digest in head.chunks.items()}
    gc.collect()
    tracemalloc.start()
    chunks = {d: load_chunk(names[d], bytes(bytearray(v))) for d, v in values.items()}
    view = build_view(head, chunks)
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    name = f"spread.accounts_{ACCOUNT_COUNT}"
    assert len(view.accounts) == ACCOUNT_COUNT
    yield Figure.at_most(f"{name}.memory", megabytes, "MB", MEMORY_LIMIT_MB)
    yield Figure(f"{name}.chunks", sum(map(len, values.values())) / 1e6, "MB")
    yield Figure(f"{name}.head", len(encode_head(head)) / 1e3, "kB")
    yield Figure(f"{name}.load", _min_time_s(lambda: _load_chunks(names, values)), "s")
    yield Figure(
        f"{name}.build_view", _min_time_s(lambda: build_view(head, chunks)), "s"
    )
    proposal = Proposal.model_validate(
        put_proposal(client_account(ACCOUNT_COUNT + 1), "1")
    )
    decided = decide(proposal, head, chunks, 1)
    changed = sum(len(chunk.value) for chunk in decided.chunks.values())
    yield Figure(f"{name}.changed_chunks", changed / 1e3, "kB per change")
    decide_s = _min_time_s(lambda: decide(proposal, head, chunks, 1))
    yield Figure(f"{name}.decide", decide_s, "s")


def _load_chunks(names: dict[str, str], values: dict[str, bytes]) -> dict[str, Chunk]:
    return {d: load_chunk(names[d], value) for d, value in values.items()}


def _min_time_s(function, rounds: int = 5) -> float:
    times = []
    for _ in range(rounds):
        started = time.perf_counter()
        function()
        times.append(time.perf_counter() - started)
    return min(times)
