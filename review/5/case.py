"""A request that crashes servers is sent to more of them when it comes again."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness
from harness import BackendServer, Call, Gateway, Record, Request, Store

GATEWAYS, SERVERS = 3, 3
# Work on a request before it ends the server, and the time until that is back.
WORK_S, RESTART_S = 0.05, 3.0
# After three heartbeats of silence, the store removes the record of a crashed server.
HEARTBEAT_S = 1.2
STABLE_S = 4.0
# A client repeats three more times at once, the most that the site has.
REPEATS = 3
DEADLINE_S = 2.0
MAX_RETRIES = 3
DEADLY = "/path-status/pass-7"


class FragileServer(BackendServer):
    """A backend server whose process ends when it runs one certain request."""

    def __init__(self, number: int, case: "Case") -> None:
        super().__init__(f"desk-{number}-0", case.record)
        self.number, self.case, self.starts = number, case, 0

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Count the deadly request as it arrives, and handle any request."""
        if self.case.is_deadly and request.target == DEADLY:
            self.case.note_arrival(self.name, request)
        await super().handle(request, writer)

    async def run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer a sound request; end under a deadly one that is still wanted."""
        if not (self.case.is_deadly and request.target == DEADLY):
            await super().run(request, writer)
            return
        await asyncio.sleep(WORK_S)
        if self.server.is_serving() and not writer.transport.is_closing():
            self.case.note_crash(self.name)
            self.stop()
            self.case.tasks.append(asyncio.ensure_future(self.restart(self.name)))

    async def restart(self, former: str) -> None:
        """Start again under another name, at the same address."""
        port = int(self.address.rpartition(":")[2])
        await asyncio.sleep(RESTART_S)
        self.starts += 1
        self.name = f"desk-{self.number}-{self.starts}"
        self.born = int(time.time() * 1000)
        await self.start(port)
        self.case.store.put("servers", self.name, self.entry("crew-desk"))
        await asyncio.sleep(3 * HEARTBEAT_S - RESTART_S)
        self.case.store.remove("servers", former)


class Case:
    """What the stand-ins of one play share."""

    def __init__(self, record: Record, is_deadly: bool) -> None:
        self.record, self.is_deadly = record, is_deadly
        self.store = Store()
        self.gateways: list[Gateway] = []
        self.arrivals: list[float] = []
        self.crashes: list[float] = []
        self.tasks: list[asyncio.Task] = []
        self.sent = 0

    def note_arrival(self, server: str, request: Request) -> None:
        """Record that the request reached a server."""
        self.arrivals.append(time.monotonic())
        request_id = request.headers["x-monsoontack-request-id"]
        self.record.write(f"{request_id} reaches {server}")

    def note_crash(self, server: str) -> None:
        """Record that the request ended a server."""
        self.crashes.append(time.monotonic())
        self.record.write(f"{server} ends")

    async def send(self, gateway: Gateway) -> int:
        """Send the request once to a gateway; return the status of the answer."""
        self.sent += 1
        name = f"look-{self.sent}"
        headers = harness.client_headers(name, int(DEADLINE_S * 1000))
        self.record.write(f"sent {name} to {gateway.name}")
        call = Call(gateway.front, "GET", DEADLY, headers, b"")
        answer = await call.run(DEADLINE_S)
        status = 0 if answer is None else answer.status
        self.record.write(f"answer to {name}: {status}")
        return status

    async def start(self, folder: Path) -> None:
        """Start the servers and the gateways."""
        await self.store.start()
        for number in range(SERVERS):
            server = FragileServer(number, self)
            await server.start()
            self.store.put("servers", server.name, server.entry("crew-desk"))
        look = harness.route("path-status", "idempotent", "crew-desk", attempts=2)
        services = [{"name": "crew-desk", "health_path": "/healthz", "max_conns": 100}]
        self.store.put("config", "main", harness.config(1, [look], services))
        for number in range(1, GATEWAYS + 1):
            name = f"edge-almaty-a-{number}"
            gateway = Gateway.prepare(folder, name, self.store.address)
            await gateway.spawn()
            self.gateways.append(gateway)
        for gateway in self.gateways:
            await gateway.wait_ready()

    async def play(self) -> int:
        """Send the request until three servers have ended, and again later."""
        for gateway in self.gateways:
            if await self.send(gateway) == 200 or len(self.crashes) >= SERVERS:
                break
        if self.is_deadly and len(self.crashes) != SERVERS:
            self.record.write(f"{len(self.crashes)} servers have ended, not {SERVERS}")
            return harness.NOT_RUN
        third_at = self.crashes[-1] if self.crashes else time.monotonic()
        await asyncio.sleep(third_at + STABLE_S + 1.0 - time.monotonic())
        targets = [self.gateways[n % GATEWAYS] for n in range(1 + REPEATS)]
        await asyncio.gather(*(self.send(gateway) for gateway in targets))
        await asyncio.sleep(2.0)
        late = [at for at in self.arrivals if at > third_at + STABLE_S]
        self.record.write(
            f"{len(self.crashes)} servers ended; the request reached servers "
            f"{len(late)} times more than {STABLE_S:.0f} s after the third end"
        )
        return harness.BROKEN if len(late) > MAX_RETRIES else harness.HELD


async def play(record: Record, folder: Path, is_disturbed: bool) -> int:
    """Play the case; return its exit status."""
    case = Case(record, is_disturbed)
    try:
        await case.start(folder)
        await asyncio.sleep(STABLE_S + 1.0)
        return await case.play()
    finally:
        for gateway in case.gateways:
            await gateway.stop()


harness.main(Path(__file__).resolve().parent, play)
