"""Gateway processes, with simulated engines and a simulated store behind TCP proxies.

Each engine, and each gateway's connection to the store, has its own fault-injecting
proxy, so that network faults need no support in the programs. Signals go, by process
id, only to processes that the environment has started.
"""

import asyncio
import signal
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from standins.directengine import DirectEngine
from standins.gatewayprocess import GatewayProcess, config
from standins.pausingproxy import PausingProxy
from standins.platformstore import SimulatedPlatformStore

GATEWAY_COUNT = 2
ENGINE_PLACEMENTS = (
    ("desk", "zone-a"),
    ("desk", "zone-b"),
    ("planner", "zone-a"),
    ("planner", "zone-b"),
    ("planner", "zone-b"),
)
KEYS = ("key-1", "key-2")
# The client account of all keys.
ACCOUNT = "shop"
RESTART_DELAY_S = 0.2
MEMORY_LIMIT_MB = 200
# Until the interpreter executes the program's first line, SIGHUP has its default action
# (it ends the process), which the program cannot change. tests/gateway_test.py covers
# the time after that.
INTERPRETER_START_S = 1.0
# The store removes the entry of a crashed engine about this long after the crash.
ENTRY_EXPIRY_S = 1.5
# Every second engine pauses this long between events, so that its streams last longer
# than it takes to reuse the address of an engine that has ended.
SLOW_EVENT_GAP_S = 0.08


@dataclass(slots=True)
class ProxiedEngine:
    """An engine behind a proxy; address and proxy outlive each engine incarnation."""

    service: str
    zone: str
    engine: DirectEngine
    proxy: PausingProxy
    listener: asyncio.Server
    address: str = ""
    on_new_engine: Callable[["ProxiedEngine"], None] = lambda proxied: None

    def __post_init__(self) -> None:
        """Keep the proxy's address, which gateways connect to."""
        self.address = f"127.0.0.1:{self.listener.sockets[0].getsockname()[1]}"

    def entry(self, state: str = "ready") -> dict:
        """Return the engine's entry in the store."""
        entry = self.engine.entry(self.service, self.zone)
        return entry | {"address": self.address, "state": state}


@dataclass(slots=True)
class Revocation:
    """A key, and when it was revoked and restored in the event loop's time."""

    key: str
    revoked_at: float
    restored_at: float = float("inf")


@dataclass(slots=True)
class SoakEnvironment:
    """Processes and simulators of one soak; `engines` includes past incarnations.

    `blocked_intervals` lists the intervals, in the event loop's time, in which a link
    fault or a paused gateway may have kept an engine's bytes from the gateway that
    would have closed the connection. `limit_spans` lists engines that stated a limit:
    engine, requests a second, and the times of the beginning and end. `deadly_part` is
    the part of prompts that callers send at present and that crashes engines,
    `deadly_path` is the end of the path of such a call. `deadly_parts` and
    `deadly_calls` (`call_key`) are all that ever were deadly. `disturbed_at` lists when
    a gateway got a signal or was started, `disturbances` also which gateway.
    `leaving_answers` lists the answers that said that their engine is leaving: the
    gateway that passed it on, the engine, and when the caller had it.
    """

    store: SimulatedPlatformStore = field(default_factory=SimulatedPlatformStore)
    proxied_engines: list[ProxiedEngine] = field(default_factory=list)
    engines: list[DirectEngine] = field(default_factory=list)
    gateways: list[GatewayProcess] = field(default_factory=list)
    store_proxies: list[PausingProxy] = field(default_factory=list)
    listeners: list[asyncio.Server] = field(default_factory=list)
    revocations: list[Revocation] = field(default_factory=list)
    version: int = 1
    expected_exit_pids: set[int] = field(default_factory=set)
    unexpected_exits: list[str] = field(default_factory=list)
    blocked_intervals: list[tuple[float, float]] = field(default_factory=list)
    limit_spans: list[tuple[DirectEngine, float, float, float]] = field(
        default_factory=list
    )
    silence_phase: tuple[float, float] | None = None
    deadly_part: str | None = None
    deadly_path: str | None = None
    deadly_parts: set[str] = field(default_factory=set)
    deadly_calls: set[str] = field(default_factory=set)
    disturbed_at: list[float] = field(default_factory=list)
    disturbances: list[tuple[str, float]] = field(default_factory=list)
    leaving_answers: list[tuple[str, str, float]] = field(default_factory=list)
    engine_count: int = 0
    folder: tempfile.TemporaryDirectory = field(
        default_factory=tempfile.TemporaryDirectory
    )
    supervisors: list[asyncio.Task] = field(default_factory=list)
    spawned_at: dict[int, float] = field(default_factory=dict)
    closing: bool = False

    async def start(self) -> None:
        """Start the simulators and the gateways; return when all are ready."""
        await self.store.start()
        for service, zone in ENGINE_PLACEMENTS:
            await self._add_engine(service, zone)
        self.publish(KEYS)
        for index in range(GATEWAY_COUNT):
            proxy, listener = await self._start_proxy(self.store.address)
            self.store_proxies.append(proxy)
            port = listener.sockets[0].getsockname()[1]
            gateway = GatewayProcess.write_settings(
                self.store,
                {},
                Path(self.folder.name),
                MEMORY_LIMIT_MB,
                name=f"gateway-{index}",
                store_address=f"127.0.0.1:{port}",
            )
            self.gateways.append(gateway)
            await gateway.start()
            self.supervisors.append(asyncio.ensure_future(self._supervise(gateway)))

    async def _start_proxy(self, address: str) -> tuple[PausingProxy, asyncio.Server]:
        host, _, port = address.rpartition(":")
        proxy = PausingProxy(host, int(port))
        listener = await asyncio.start_server(proxy.accept, "127.0.0.1", 0)
        self.listeners.append(listener)
        return proxy, listener

    async def _add_engine(self, service: str, zone: str) -> None:
        engine = await self._new_engine(service)
        proxy, listener = await self._start_proxy(engine.address)
        proxied = ProxiedEngine(service, zone, engine, proxy, listener)
        self.proxied_engines.append(proxied)
        self.store.put("servers", engine.name, proxied.entry())

    async def _new_engine(self, service: str) -> DirectEngine:
        self.engine_count += 1
        engine = DirectEngine(f"engine-{self.engine_count}", service=service)
        if self.engine_count % 2:
            engine.event_gap_s = SLOW_EVENT_GAP_S
        await engine.start()
        self.engines.append(engine)
        return engine

    def publish(self, keys: tuple[str, ...]) -> None:
        """Publish a configuration with these keys; record the others as revoked."""
        now = asyncio.get_running_loop().time()
        document = config(self.version, keys)
        self.version += 1
        self.store.put("config", "main", document)
        for key in KEYS:
            opened = [
                r for r in self.revocations if r.key == key and r.restored_at > now
            ]
            if key not in keys and not opened:
                self.revocations.append(Revocation(key, now))
            elif key in keys:
                for revocation in opened:
                    revocation.restored_at = now

    async def replace_engine(
        self, proxied: ProxiedEngine, down_s: float, service: str | None = None
    ) -> None:
        """Crash an engine; after `down_s`, start a new one at the same address.

        With `service`, the new engine and later ones there serve that service.
        """
        old = proxied.engine
        await old.close()
        await asyncio.sleep(down_s)
        proxied.service = service or proxied.service
        proxied.engine = await self._new_engine(proxied.service)
        proxied.on_new_engine(proxied)
        proxied.proxy.port = int(proxied.engine.address.rpartition(":")[2])
        self.store.put("servers", proxied.engine.name, proxied.entry())
        await asyncio.sleep(ENTRY_EXPIRY_S)
        self.remove_entry(old.name)

    def remove_entry(self, name: str) -> None:
        """Remove the entry of an engine unless it is gone already."""
        if name in self.store.kinds["servers"]:
            self.store.remove("servers", name)

    async def _supervise(self, gateway: GatewayProcess) -> None:
        """Restart a gateway each time its process has ended, as the platform does."""
        while True:
            process = gateway.process
            code = await process.wait()
            if self.closing:
                return
            if code != 0 and process.pid not in self.expected_exit_pids:
                self.unexpected_exits.append(
                    f"{gateway.settings.stem} ended with {code}"
                )
            await asyncio.sleep(RESTART_DELAY_S)
            if not self.closing:
                await gateway.spawn()
                self._note_disturbance(gateway)
                self.spawned_at[gateway.process.pid] = time.monotonic()

    def _note_disturbance(self, gateway: GatewayProcess) -> None:
        now = asyncio.get_running_loop().time()
        self.disturbed_at.append(now)
        self.disturbances.append((gateway.settings.stem, now))

    def signal(self, gateway: GatewayProcess, number: signal.Signals) -> None:
        """Send a signal to a gateway's process if it is running."""
        process_age_s = time.monotonic() - self.spawned_at.get(gateway.process.pid, 0)
        if number is signal.SIGHUP and process_age_s < INTERPRETER_START_S:
            return
        if gateway.process.returncode is None:
            self._note_disturbance(gateway)
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.expected_exit_pids.add(gateway.process.pid)
            gateway.process.send_signal(number)

    def memory_mb(self) -> list[tuple[str, int]]:
        """Return the peak resident memory of each running gateway, in MB."""
        found = []
        for gateway in self.gateways:
            status = Path(f"/proc/{gateway.process.pid}/status")
            try:
                text = status.read_text()
            except OSError:
                # The process has ended and awaits its restart.
                continue
            peak = [line for line in text.splitlines() if line.startswith("VmHWM")]
            if peak:
                found.append((gateway.settings.stem, int(peak[0].split()[1]) // 1024))
        return found

    def clear_faults(self) -> None:
        """End all faults that are still in force."""
        self.store.error_status = None
        self.store.lost_write_responses = 0
        for proxy in [
            *self.store_proxies,
            *(proxied.proxy for proxied in self.proxied_engines),
        ]:
            proxy.set_faults({"silence": "none", "latency_s": 0, "close": True})
        for proxied in self.proxied_engines:
            proxied.engine.behavior = "ok"
            proxied.engine.limit = None
        for gateway in self.gateways:
            self.signal(gateway, signal.SIGCONT)

    async def close(self) -> None:
        """Stop all processes and simulators and remove the files."""
        self.closing = True
        for gateway in self.gateways:
            self.signal(gateway, signal.SIGCONT)
            await gateway.stop()
        await asyncio.gather(*self.supervisors)
        for listener in self.listeners:
            listener.close()
        for proxied in self.proxied_engines:
            await proxied.engine.close()
        await self.store.close()
        self.folder.cleanup()
