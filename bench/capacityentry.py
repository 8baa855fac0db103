"""Measurements of the entry and of the client library with real daemons."""

import asyncio
import os
import subprocess
import sys

from bench.capacityprobe import CountingRelay, CpuWindow, Recorder, read_usage
from bench.capacityworkers import Worker
from monsoontack.core.records import VmRecord
from monsoontack.membership.view import FLEET_READS_PER_S
from standins.cluster import DEFAULT_PLACE, ROOT, Cluster
from standins.fleet import KEY, SERVICE, VERSION, publish
from standins.processes import ManagedProcess

IDLE_LINK_COUNTS = (28, 56, 112)
IDLE_WINDOW_S = 8.0
LOAD_LINK_COUNT = 4
LOAD_STREAM_COUNTS = (24, 48, 96)
FRAME_STREAM_COUNT = 48
FRAME_LINK_COUNTS = (4, 16, 48)
LOAD_WINDOW_S = 5.0
HISTORY_TOKENS_PER_CHUNK = 16
HISTORY_WINDOW_COUNT = 4
HISTORY_WINDOW_S = 2.0
REQUEST_COUNTS = (100, 200, 400)
# Links and running generations of one entry at the target scale.
PEAK_LINK_COUNT = 112
PEAK_STREAM_COUNT = 256
VM_LIST_SIZES = (100, 400, 1240)
# Upper bound of the interval between polls of the VM list, relative to the mean.
MAX_POLL_INTERVAL_RATIO = 1.5
SETTLE_S = 2.0
READY_TIMEOUT_S = 60.0
LIBRARY_IMPORTS = {
    "bare": "import asyncio",
    "entry": "import monsoontack.entry.daemon",
    "agent": "import monsoontack.agent.daemon",
    "client": "import monsoontack.client.client",
}


def measure_libraries(recorder: Recorder) -> None:
    """Record the resident memory of interpreters that only import libraries."""
    for name, statement in LIBRARY_IMPORTS.items():
        code = (
            f"{statement}; import os; from bench.capacityprobe import read_usage;"
            " print(read_usage(os.getpid()).resident)"
        )
        done = subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            env=dict(os.environ, PYTHONPATH=str(ROOT)),
            capture_output=True,
            text=True,
            check=True,
        )
        recorder.add_value(f"interpreter.{name}", int(done.stdout), "B")


def agent_vm_record(address: str, service: str = SERVICE) -> VmRecord:
    """Return the record of an agent in the VM list."""
    return VmRecord(
        f"vm-{address}",
        "agent",
        address,
        "",
        DEFAULT_PLACE,
        service=service,
        kind="engine",
        versions=(VERSION,),
        slots=1000,
    )


async def wait_for_links(cluster: Cluster, entry: ManagedProcess, count: int) -> None:
    """Wait until an entry is ready and exactly `count` of its links are up."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            state = await cluster.state_of(entry)
            up = sum(link["up"] for link in state["links"])
            if state["ready"] and up == count:
                return
            await asyncio.sleep(0.2)


async def add_agents(cluster: Cluster, addresses: list[str]) -> None:
    """Add agents to the VM list."""
    for address in addresses:
        cluster.vms[f"vm-{address}"] = agent_vm_record(address)
    await cluster.publish_vms()


async def open_agent_ports(agents: Worker, count: int) -> list[str]:
    """Open ports for `count` further simulated agents and return their addresses."""
    ports = await agents.send_command(f"listen {count}")
    return [f"127.0.0.1:{port}" for port in ports]


async def measure_links(recorder: Recorder) -> None:
    """Record memory and CPU of an idle entry over its number of links."""
    async with Cluster.create() as cluster:
        await cluster.start_platform(publish)
        with Worker("agents", SERVICE, VERSION) as agents:
            entry = await cluster.start_entry(links_per_service=max(IDLE_LINK_COUNTS))
            relay = None
            link_count = 0
            for count in IDLE_LINK_COUNTS:
                addresses = await open_agent_ports(agents, count - link_count)
                link_count = count
                if relay is None:
                    relay = await CountingRelay.start(addresses[0])
                    addresses[0] = relay.address
                await add_agents(cluster, addresses)
                await wait_for_links(cluster, entry, count)
                await asyncio.sleep(SETTLE_S)
                relayed, reads = relay.total_bytes(), relay.read_count
                window = CpuWindow.open(entry.pid)
                await asyncio.sleep(IDLE_WINDOW_S)
                elapsed = window.elapsed_s()
                resident = read_usage(entry.pid).resident
                recorder.add_point("entry.link.memory", count, resident, "B")
                cpu = window.cpu_s(entry.pid) / elapsed
                recorder.add_point("entry.link.rest_cpu", count, cpu, "core")
            rate = (relay.total_bytes() - relayed) / elapsed
            recorder.add_value("link.rest_bytes", rate, "B/s")
            recorder.add_value(
                "link.rest_reads", (relay.read_count - reads) / elapsed, "1/s"
            )
            relay.close()


async def measure_vm_list(recorder: Recorder) -> None:
    """Record memory over the length of a VM list whose agents are unreachable."""
    async with Cluster.create() as cluster:
        await cluster.start_platform(publish)
        entry = await cluster.start_entry(links_per_service=1)
        wait_s = 2 * SETTLE_S
        for size in VM_LIST_SIZES:
            added = range(len(cluster.vms), size)
            hosts = [f"127.1.{n // 250}.{n % 250 + 1}:9" for n in added]
            await add_agents(cluster, hosts)
            await asyncio.sleep(wait_s)
            resident = read_usage(entry.pid).resident
            recorder.add_point("entry.vm_list.memory", size, resident, "B")
            wait_s = MAX_POLL_INTERVAL_RATIO * size / FLEET_READS_PER_S + SETTLE_S


class LoadedEntry:
    """An entry between worker processes that simulate agents and callers."""

    def __init__(self, cluster: Cluster, agents: Worker, recorder: Recorder):
        self.cluster = cluster
        self.agents = agents
        self.recorder = recorder
        self.entry: ManagedProcess | None = None
        self.callers: Worker | None = None
        self.link_count = 0

    async def add_agents_until(self, count: int) -> None:
        """Add agents until the entry has `count` links."""
        await add_agents(
            self.cluster, await open_agent_ports(self.agents, count - self.link_count)
        )
        self.link_count = count
        await wait_for_links(self.cluster, self.entry, count)

    async def measure_window(self) -> dict[str, float]:
        """Return the rates per second and the cores used in a window at this load."""
        await asyncio.sleep(SETTLE_S)
        window = CpuWindow.open(self.entry.pid, self.callers.pid)
        before = await self.agents.send_command("stat")
        received = (await self.callers.send_command("stat"))["tokens"]
        await asyncio.sleep(LOAD_WINDOW_S)
        elapsed = window.elapsed_s()
        after = await self.agents.send_command("stat")
        stat = await self.callers.send_command("stat")
        if stat["errors"]:
            raise RuntimeError(f"answers ended early: {stat['errors'][:3]}")
        return {
            "frames": (after["frames"] - before["frames"]) / elapsed,
            "tokens": (stat["tokens"] - received) / elapsed,
            "entry": window.cpu_s(self.entry.pid) / elapsed,
            "client": window.cpu_s(self.callers.pid) / elapsed,
        }

    async def measure_streams(self) -> None:
        """Record memory over running generations and CPU over tokens, on few links."""
        add_point = self.recorder.add_point
        for count in LOAD_STREAM_COUNTS:
            await self.callers.send_command(f"open {count}")
            rates = await self.measure_window()
            resident = read_usage(self.entry.pid).resident
            add_point("entry.generation.memory", count, resident, "B")
            add_point("client.answer.memory", count, self.client_resident(), "B")
            add_point("entry.token.cpu", rates["tokens"], rates["entry"], "core")
            add_point("client.token.cpu", rates["tokens"], rates["client"], "core")
            add_point("entry.token.frames", rates["tokens"], rates["frames"], "1/s")

    def client_resident(self) -> int:
        """Return the resident memory of the callers' process."""
        return read_usage(self.callers.pid).resident

    async def measure_history(self) -> None:
        """Record memory over the tokens that running generations have delivered."""
        await self.agents.send_command(f"batch {HISTORY_TOKENS_PER_CHUNK}")
        for _ in range(HISTORY_WINDOW_COUNT):
            await asyncio.sleep(HISTORY_WINDOW_S)
            tokens = (await self.callers.send_command("stat"))["tokens"]
            resident = read_usage(self.entry.pid).resident
            self.recorder.add_point("entry.history.memory", tokens, resident, "B")
            self.recorder.add_point(
                "client.history.memory", tokens, self.client_resident(), "B"
            )
        await self.agents.send_command("batch 1")
        await self.callers.send_command("close")

    async def measure_frames(self) -> None:
        """Record CPU over the frames per second that carry the same token rate."""
        for links in FRAME_LINK_COUNTS:
            if links > self.link_count:
                await self.add_agents_until(links)
            await self.callers.send_command(f"open {FRAME_STREAM_COUNT}")
            rates = await self.measure_window()
            self.recorder.add_point(
                "entry.frame.cpu", rates["frames"], rates["entry"], "core"
            )
            self.recorder.add_value(
                f"entry.frame.tokens_at_{links}_links", rates["tokens"], "1/s"
            )
            await self.callers.send_command("close")

    async def measure_requests(self) -> None:
        """Record CPU over the number of requests with one token each."""
        for count in REQUEST_COUNTS:
            window = CpuWindow.open(self.entry.pid, self.callers.pid)
            await self.callers.send_command(f"request {count}")
            for name, process in (("entry", self.entry), ("client", self.callers)):
                cpu = window.cpu_s(process.pid)
                self.recorder.add_point(f"{name}.request.cpu", count, cpu, "s")
        stat = await self.callers.send_command("stat")
        if stat["errors"]:
            raise RuntimeError(f"requests failed: {stat['errors'][:3]}")

    async def measure_peak(self) -> None:
        """Record the rates of a window at the target scale, to check the slopes."""
        await self.add_agents_until(PEAK_LINK_COUNT)
        await self.callers.send_command(f"open {PEAK_STREAM_COUNT}")
        rates = await self.measure_window()
        for name, unit in (("tokens", "1/s"), ("frames", "1/s"), ("entry", "core")):
            self.recorder.add_value(f"entry.peak.{name}", rates[name], unit)
        resident = read_usage(self.entry.pid).resident
        self.recorder.add_value("entry.peak.resident", resident, "B")
        await self.callers.send_command("close")


async def measure_load(recorder: Recorder) -> None:
    """Record the entry's and the client's costs of generations and tokens."""
    async with Cluster.create() as cluster:
        await cluster.start_platform(publish)
        with Worker("agents", SERVICE, VERSION) as agents:
            loaded = LoadedEntry(cluster, agents, recorder)
            loaded.entry = await cluster.start_entry(links_per_service=PEAK_LINK_COUNT)
            await loaded.add_agents_until(LOAD_LINK_COUNT)
            with Worker("callers", loaded.entry.url, KEY, SERVICE) as callers:
                loaded.callers = callers
                await loaded.measure_streams()
                await loaded.measure_history()
                await loaded.measure_frames()
                await loaded.measure_requests()
                await loaded.measure_peak()
