"""Gateways as processes, with engines and a store behind TCP gates.

Each engine and each gateway's way to the store has a gate, so that faults come from
outside the programs. Only processes that the world started are signalled, by id.
"""

import asyncio
import signal
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from standins.directengine import DirectEngine
from standins.gatewayprocess import GatewayProcess, config
from standins.platformstore import SimulatedPlatformStore
from standins.tcpgate import FaultProxy

GATEWAYS = 2
ENGINES = (
    ("desk", "zone-a"),
    ("desk", "zone-b"),
    ("planner", "zone-a"),
    ("planner", "zone-b"),
    ("planner", "zone-b"),
)
KEYS = ("key-1", "key-2")
RESTART_S = 0.2
MEMORY_MB = 200
# Until the interpreter runs the program's first line, SIGHUP has its default effect,
# which a program cannot change; tests/gateway_test.py covers the time after it.
INTERPRETER_START_S = 1.0
# An engine's entry lapses about this long after its crash.
LAPSE_S = 1.5


@dataclass(slots=True)
class GatedEngine:
    """A place for engines: one gate and address, one incarnation after the other."""

    service: str
    zone: str
    engine: DirectEngine
    gate: FaultProxy
    listener: asyncio.Server

    @property
    def address(self) -> str:
        """Return the address that gateways use."""
        return f"127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"

    def entry(self, state: str = "ready") -> dict:
        """Return the engine's entry in the store."""
        entry = self.engine.entry(self.service, self.zone)
        return entry | {"address": self.address, "state": state}


@dataclass(slots=True)
class Revocation:
    """A key that was taken away at `at` and given back at `until` (loop's time)."""

    key: str
    at: float
    until: float = float("inf")


@dataclass(slots=True)
class World:
    """Everything that one soak runs. `engines` keeps past incarnations too.

    `deaf` has the times (loop's) in which a link or a paused gateway may have kept
    bytes of an engine from the gateway that would have closed its connection.
    """

    store: SimulatedPlatformStore = field(default_factory=SimulatedPlatformStore)
    places: list[GatedEngine] = field(default_factory=list)
    engines: list[DirectEngine] = field(default_factory=list)
    gateways: list[GatewayProcess] = field(default_factory=list)
    store_gates: list[FaultProxy] = field(default_factory=list)
    listeners: list[asyncio.Server] = field(default_factory=list)
    revocations: list[Revocation] = field(default_factory=list)
    version: int = 1
    expected_ends: set[int] = field(default_factory=set)
    own_ends: list[str] = field(default_factory=list)
    deaf: list[tuple[float, float]] = field(default_factory=list)
    number: int = 0
    folder: tempfile.TemporaryDirectory = field(
        default_factory=tempfile.TemporaryDirectory
    )
    keepers: list[asyncio.Task] = field(default_factory=list)
    spawned_at: dict[int, float] = field(default_factory=dict)
    closing: bool = False

    async def start(self) -> None:
        """Start stand-ins and gateways; return when all are ready."""
        await self.store.start()
        for service, zone in ENGINES:
            await self._add_place(service, zone)
        self.publish(KEYS)
        for index in range(GATEWAYS):
            gate, listener = await self._gate(self.store.address)
            self.store_gates.append(gate)
            port = listener.sockets[0].getsockname()[1]
            gateway = GatewayProcess.write_settings(
                self.store,
                {},
                Path(self.folder.name),
                MEMORY_MB,
                name=f"gateway-{index}",
                store_address=f"127.0.0.1:{port}",
            )
            self.gateways.append(gateway)
            await gateway.start()
            self.keepers.append(asyncio.ensure_future(self._keep(gateway)))

    async def _gate(self, address: str) -> tuple[FaultProxy, asyncio.Server]:
        host, _, port = address.rpartition(":")
        gate = FaultProxy(host, int(port))
        listener = await asyncio.start_server(gate.accept, "127.0.0.1", 0)
        self.listeners.append(listener)
        return gate, listener

    async def _add_place(self, service: str, zone: str) -> None:
        engine = await self._new_engine()
        gate, listener = await self._gate(engine.address)
        place = GatedEngine(service, zone, engine, gate, listener)
        self.places.append(place)
        self.store.put("servers", engine.name, place.entry())

    async def _new_engine(self) -> DirectEngine:
        self.number += 1
        engine = DirectEngine(f"engine-{self.number}")
        await engine.start()
        self.engines.append(engine)
        return engine

    def publish(self, keys: tuple[str, ...]) -> None:
        """Write a configuration with these keys, and note which are revoked."""
        now = asyncio.get_running_loop().time()
        document = config(self.version, keys)
        self.version += 1
        self.store.put("config", "main", document)
        for key in KEYS:
            opened = [r for r in self.revocations if r.key == key and r.until > now]
            if key not in keys and not opened:
                self.revocations.append(Revocation(key, now))
            elif key in keys:
                for revocation in opened:
                    revocation.until = now

    async def replace_engine(self, place: GatedEngine, down_s: float) -> None:
        """Crash an engine; another incarnation comes at the same address."""
        old = place.engine
        await old.close()
        await asyncio.sleep(down_s)
        place.engine = await self._new_engine()
        place.gate.port = int(place.engine.address.rpartition(":")[2])
        self.store.put("servers", place.engine.name, place.entry())
        await asyncio.sleep(LAPSE_S)
        if old.name in self.store.kinds["servers"]:
            self.store.remove("servers", old.name)

    async def _keep(self, gateway: GatewayProcess) -> None:
        """Start a gateway again when its process has ended, as the platform does."""
        while True:
            process = gateway.process
            code = await process.wait()
            if self.closing:
                return
            if code != 0 and process.pid not in self.expected_ends:
                self.own_ends.append(f"{gateway.settings.stem} ended with {code}")
            await asyncio.sleep(RESTART_S)
            if not self.closing:
                await gateway.spawn()
                self.spawned_at[gateway.process.pid] = time.monotonic()

    def signal(self, gateway: GatewayProcess, number: signal.Signals) -> None:
        """Signal a gateway's process, if it runs."""
        young = time.monotonic() - self.spawned_at.get(gateway.process.pid, 0)
        if number is signal.SIGHUP and young < INTERPRETER_START_S:
            return
        if gateway.process.returncode is None:
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.expected_ends.add(gateway.process.pid)
            gateway.process.send_signal(number)

    def memory_mb(self) -> list[tuple[str, int]]:
        """Return the highest memory so far of each gateway that runs, in MB."""
        found = []
        for gateway in self.gateways:
            status = Path(f"/proc/{gateway.process.pid}/status")
            try:
                text = status.read_text()
            except OSError:
                # The process ended between two looks.
                continue
            peak = [line for line in text.splitlines() if line.startswith("VmHWM")]
            if peak:
                found.append((gateway.settings.stem, int(peak[0].split()[1]) // 1024))
        return found

    def heal(self) -> None:
        """End all faults that last."""
        self.store.error_status = None
        self.store.lost_write_responses = 0
        for gate in [*self.store_gates, *(place.gate for place in self.places)]:
            gate.set_faults({"silence": "none", "latency_s": 0, "close": True})
        for place in self.places:
            place.engine.behavior = "ok"
        for gateway in self.gateways:
            self.signal(gateway, signal.SIGCONT)

    async def close(self) -> None:
        """End everything that was started."""
        self.closing = True
        for gateway in self.gateways:
            self.signal(gateway, signal.SIGCONT)
            await gateway.stop()
        await asyncio.gather(*self.keepers)
        for listener in self.listeners:
            listener.close()
        for place in self.places:
            await place.engine.close()
        await self.store.close()
        self.folder.cleanup()
