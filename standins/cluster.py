"""Stand-ins, entries and agents as separate processes on loopback ports.

Example::

    async with Cluster.create() as cluster:
        await cluster.start_platform(seed)
        engine = await cluster.start_engine(versions=("v1",))
        agent = await cluster.start_agent(engine, service="writer", versions=("v1",))
        entry = await cluster.start_entry()
        engine.kill()

`seed` is a coroutine function that gets the URL of the object API and writes
the published configuration there. `start_entry` and `start_agent` also put the
process into the VM list. Nothing is removed from the list when a process ends,
since the platform's list lags too; `set_vm_state` and `remove_vm` change it.
"""

import asyncio
import itertools
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import asdict, replace
from pathlib import Path

import aiohttp

from monsoontack.core.records import Place, VmRecord
from standins.processes import POLL_S, START_TIMEOUT_S, ManagedProcess, PortBlock

ROOT = Path(__file__).resolve().parent.parent
DEFAULT_PLACE = Place("domain-a", "region-1")
Seed = Callable[[str], Awaitable[None]]


class Cluster:
    """Processes of one test, demonstration or measurement."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.ports = PortBlock()
        self.processes: list[ManagedProcess] = []
        self.numbers = itertools.count(1)
        self.vms: dict[str, VmRecord] = {}
        self.fault_proxies: dict[str, ManagedProcess] = {}
        self.store: ManagedProcess | None = None
        self.vm_list: ManagedProcess | None = None
        self.http: aiohttp.ClientSession | None = None
        self.temporary: tempfile.TemporaryDirectory | None = None
        # Command that runs the product; its arguments are appended.
        self.product = [sys.executable, "-m", "monsoontack"]

    @classmethod
    def create(cls) -> "Cluster":
        """Return a cluster that keeps its files in a new temporary folder."""
        temporary = tempfile.TemporaryDirectory(prefix="monsoontack-")
        cluster = cls(Path(temporary.name))
        cluster.temporary = temporary
        return cluster

    async def __aenter__(self) -> "Cluster":
        """Open the HTTP session for commands to stand-ins."""
        self.http = aiohttp.ClientSession()
        return self

    async def __aexit__(self, *_) -> None:
        """End all processes that still run and remove the files."""
        await self.http.close()
        for process in reversed(self.processes):
            process.stop()
        self.ports.close()
        if self.temporary is not None:
            self.temporary.cleanup()

    def spawn(self, name: str, command: Sequence[str], port: int) -> ManagedProcess:
        """Start `command` with its output in a log file."""
        log_path = self.folder / f"{name}.log"
        with log_path.open("ab") as log:
            popen = subprocess.Popen(
                command,
                cwd=ROOT,
                env=dict(os.environ, PYTHONPATH=str(ROOT)),
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        process = ManagedProcess(name, port, popen, log_path)
        self.processes.append(process)
        return process

    async def start_standin(self, module: str, *options: str) -> ManagedProcess:
        """Start `standins.<module>` with command line options."""
        port = self.ports.take()
        name = f"{module}-{next(self.numbers)}"
        command = [sys.executable, "-m", f"standins.{module}"]
        command += ["--port", str(port), *options]
        process = self.spawn(name, command, port)
        await process.wait_ready()
        return process

    async def start_platform(self, seed: Seed | None = None) -> None:
        """Start the object API and the VM list, then publish with `seed`."""
        self.store = await self.start_standin("objectapi")
        self.vm_list = await self.start_standin("vmlist", "--lag-s", "0")
        if seed is not None:
            await seed(self.store.url)

    async def start_engine(
        self,
        versions: Sequence[str] = ("v1",),
        slots: int = 16,
        token_gap_s: float = 0.02,
        options: Sequence[str] = (),
    ) -> ManagedProcess:
        """Start an engine stand-in; `options` are added to its command line."""
        return await self.start_standin(
            "engine",
            f"--versions={','.join(versions)}",
            f"--slots={slots}",
            f"--token-gap-s={token_gap_s}",
            *options,
        )

    async def start_service(
        self, checks_fencing: bool = False, delay_s: float = 0.005
    ) -> ManagedProcess:
        """Start a plain service stand-in."""
        options = ["--checks-fencing"] if checks_fencing else []
        return await self.start_standin("service", f"--delay-s={delay_s}", *options)

    async def start_fault_proxy(self, target: str) -> ManagedProcess:
        """Start a `standins.tcpgate` before the `ip:port` of a target."""
        control_port = self.ports.take()
        fault_proxy = await self.start_standin(
            "tcpgate", f"--target={target}", f"--control-port={control_port}"
        )
        fault_proxy.control_port = control_port
        return fault_proxy

    def common_settings(self, name: str, place: Place) -> dict:
        """Return the settings that entries and agents share."""
        return {
            "name": name,
            "failure_domain": place.failure_domain,
            "region": place.region,
            "store_url": self.store.url,
            "vm_list_url": self.vm_list.url,
        }

    def write_settings(self, name: str, settings: dict) -> Path:
        """Write a settings file and return its path."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        return path

    async def start_agent(
        self,
        backend: ManagedProcess,
        service: str,
        kind: str = "engine",
        versions: Sequence[str] = ("v1",),
        slots: int = 16,
        checks_fencing: bool = False,
        place: Place = DEFAULT_PLACE,
        backend_url: str = "",
        use_fault_proxy: bool = False,
        **settings,
    ) -> ManagedProcess:
        """Start an agent beside a backend server; `address` is its link address.

        `backend_url` may lead through a gate. If `use_fault_proxy`, the VM list names a
        gate in front of the agent, which `fault_proxies` holds by the agent's name.
        `settings` are further fields of the settings file.
        """
        name = f"agent-{next(self.numbers)}"
        port = self.ports.take()
        document = self.common_settings(name, place) | {
            "vm": f"vm-{name}",
            "link_address": f"127.0.0.1:{port}",
            "operator_address": f"127.0.0.1:{self.ports.take()}",
            "backend": {
                "url": backend_url or backend.url,
                "kind": kind,
                "service": service,
                "versions": list(versions),
                "slots": slots,
                "checks_fencing": checks_fencing,
            },
        }
        document |= settings
        process = await self.start_daemon("agent", name, document, port)
        address = process.address
        if use_fault_proxy:
            self.fault_proxies[name] = await self.start_fault_proxy(address)
            address = self.fault_proxies[name].address
        await self.put_vm(
            VmRecord(
                document["vm"],
                "agent",
                address,
                "",
                place,
                service=service,
                kind=kind,
                versions=tuple(versions),
                slots=slots,
            )
        )
        return process

    async def start_entry(
        self, place: Place = DEFAULT_PLACE, peers: Sequence[str] = (), **settings
    ) -> ManagedProcess:
        """Start an entry; `url` is that of its callers' HTTP API."""
        name = f"entry-{next(self.numbers)}"
        port = self.ports.take()
        document = self.common_settings(name, place) | {
            "http_address": f"127.0.0.1:{port}",
            "operator_address": f"127.0.0.1:{self.ports.take()}",
            "peer_address": f"127.0.0.1:{self.ports.take()}",
            "peers": list(peers),
        }
        document |= settings
        process = await self.start_daemon("entry", name, document, port)
        await self.put_vm(
            VmRecord(
                f"vm-{name}",
                "entry",
                document["peer_address"],
                document["http_address"],
                place,
            )
        )
        return process

    async def start_daemon(
        self, command: str, name: str, settings: dict, port: int
    ) -> ManagedProcess:
        """Write the settings file, start the daemon and wait until it listens."""
        path = self.write_settings(name, settings)
        arguments = [command, "--settings", str(path)]
        process = self.spawn(name, [*self.product, *arguments], port)
        await process.wait_ready(self.operator_port(process))
        return process

    async def restart_daemon(self, ended: ManagedProcess) -> ManagedProcess:
        """Start a daemon again that has ended, with the same settings."""
        command = ended.name.partition("-")[0]
        path = self.folder / f"{ended.name}.json"
        arguments = [command, "--settings", str(path)]
        process = self.spawn(ended.name, [*self.product, *arguments], ended.port)
        await process.wait_ready(self.operator_port(process))
        return process

    def operator_port(self, process: ManagedProcess) -> int:
        """Return the port of a daemon's operator address."""
        address = self.settings_of(process)["operator_address"]
        return int(address.rpartition(":")[2])

    def settings_of(self, process: ManagedProcess) -> dict:
        """Return the settings file of an entry or agent as a document."""
        path = self.folder / f"{process.name}.json"
        return json.loads(path.read_text(encoding="utf-8"))

    async def put_vm(self, record: VmRecord) -> None:
        """Add a VM to the VM list, or replace its line."""
        self.vms[record.vm] = record
        await self.publish_vms()

    async def set_vm_state(self, process: ManagedProcess, state: str) -> None:
        """Mark the VM of a process `live` or `leaving` in the VM list."""
        vm = f"vm-{process.name}"
        await self.put_vm(replace(self.vms[vm], state=state))

    async def remove_vm(self, process: ManagedProcess) -> None:
        """Remove the VM of a process from the VM list."""
        del self.vms[f"vm-{process.name}"]
        await self.publish_vms()

    async def publish_vms(self) -> None:
        """Write the VM list to its stand-in."""
        body = {"vms": [asdict(record) for record in self.vms.values()]}
        url = f"{self.vm_list.url}/vms"
        async with self.http.put(url, json=body) as response:
            response.raise_for_status()

    async def set_faults(self, process: ManagedProcess, document: dict) -> None:
        """Send a `/faults` body to a stand-in."""
        async with self.http.post(process.faults_url, json=document) as response:
            if response.status != 200:
                raise ValueError(await response.text())

    async def get_json(self, url: str) -> dict:
        """Return the JSON document at a URL."""
        async with self.http.get(url) as response:
            response.raise_for_status()
            return await response.json()

    async def wait_links(self, entry: ManagedProcess, count: int) -> None:
        """Wait until an entry is ready and has links to `count` agents."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                state = await self.state_of(entry)
                up = sum(link["up"] for link in state["links"])
                if state["ready"] and up >= count:
                    return
                await asyncio.sleep(POLL_S)

    async def state_of(self, process: ManagedProcess) -> dict:
        """Return the state dump of an entry or agent."""
        address = self.settings_of(process)["operator_address"]
        return await self.get_json(f"http://{address}/state")
