"""Gateway processes that are stopped and started in turn, before callers under load.

The callers keep their connections open and send on them until the process is gone, as
long as no response says otherwise. New connections go to the gateways that a balancer
holds for ready: it asks every second, and stops using one after two failed questions.
Some servers are behind a link with a long delay. Stops follow one another, or overlap
by a schedule.
"""

import asyncio
import contextlib
import itertools
import random
import signal
import tempfile
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from standins.gatewayprocess import HOST, KEY, GatewayProcess, config
from standins.platformstore import SimulatedPlatformStore
from standins.rollingcaller import (
    MAX_FAILED_PROBES,
    Caller,
    SentRequest,
    StoppedGateway,
)
from standins.rollingengine import RollingEngine
from standins.stopschedule import PlannedStop
from standins.tcpgate import FaultProxy

GRACE_S = 8
MEMORY_MB = 200
STREAM_ENGINES, CALL_SERVERS = 4, 2
EVENT_GAP_S = 0.03
WORK_S = 0.05
# One-way delay of the link to every second server.
LONG_LINK_S = 0.012
CALLER_TIMEOUT_S = 25.0
PROBE_INTERVAL_S = 1.0
RESTART_DELAY_S = 0.5
# Time between the return of a gateway and the stop of the next one.
SETTLE_S = 1.5
# The users' rule excuses a request that was sent until then after SIGTERM, if it is cut
# in the last sixth of the grace period.
EXCUSED_UNTIL_S = 3.0
EXCUSED_CUT_S = GRACE_S * 5 / 6
# A gateway answers this long before the deadline at most, as the answer takes a while.
DEADLINE_SLACK_S = 0.1
# Pause of a caller that found no gateway.
NO_GATEWAY_PAUSE_S = 0.2
WAIT_S = 60.0


@dataclass(slots=True, repr=False)
class RollingStop:
    """The simulators, the gateways and all requests sent.

    A stopped gateway gets a further SIGTERM at each of the times in `more_signals_s`.
    Servers are `slow_factor` times slower while a gateway stops; their streams pause
    for `end_pause_s` before their end. The text of this object would name each request
    with its gateway, and asyncio may ask for it.
    """

    gateway_count: int
    seed: int
    more_signals_s: tuple[float, ...] = ()
    slow_factor: float = 1.0
    first_event_max_s: float = 0.0
    end_pause_s: float = 0.0
    store: SimulatedPlatformStore = field(default_factory=SimulatedPlatformStore)
    engines: list[RollingEngine] = field(default_factory=list)
    listeners: list[asyncio.Server] = field(default_factory=list)
    gateways: list[StoppedGateway] = field(default_factory=list)
    requests: list[SentRequest] = field(default_factory=list)
    stops: int = 0
    is_over: bool = False
    tasks: list[asyncio.Task] = field(default_factory=list)
    folder: tempfile.TemporaryDirectory = field(
        default_factory=tempfile.TemporaryDirectory
    )
    rng: random.Random = field(init=False)
    lengths: dict[str, int] = field(default_factory=dict)
    numbers: Iterator[int] = field(default_factory=itertools.count)

    def __post_init__(self) -> None:
        """Seed the choices of the callers."""
        self.rng = random.Random(self.seed)

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Start the simulators, the gateways and the balancer's probes."""
        await self.store.start()
        for number in range(STREAM_ENGINES + CALL_SERVERS):
            is_stream = number < STREAM_ENGINES
            await self._add_server(number, "planner" if is_stream else "desk")
        document = config()
        for route in document["routes"]:
            route["timeout_ms"] = int(CALLER_TIMEOUT_S * 1000)
        self.store.put("config", "main", document)
        for number in range(self.gateway_count):
            process = GatewayProcess.write_settings(
                self.store,
                {},
                Path(self.folder.name),
                MEMORY_MB,
                name=f"gateway-{number}",
                grace_s=GRACE_S,
            )
            self.gateways.append(StoppedGateway(process))
        await asyncio.gather(*(item.process.start() for item in self.gateways))
        self.tasks += [asyncio.ensure_future(self._probe(g)) for g in self.gateways]
        async with asyncio.timeout(WAIT_S):
            while any(item.failed_probes for item in self.gateways):
                await asyncio.sleep(0.05)

    async def _add_server(self, number: int, service: str) -> None:
        engine = RollingEngine(f"{service}-{number}", work_s=WORK_S)
        engine.event_gap_s, engine.uses_stated_length = EVENT_GAP_S, True
        engine.end_pause_s = self.end_pause_s
        engine.first_event_max_s = self.first_event_max_s
        engine.lengths = self.lengths
        await engine.start()
        self.engines.append(engine)
        entry = engine.entry(service, ("zone-a", "zone-b")[number % 2])
        if number % 2:
            host, _, port = engine.address.rpartition(":")
            proxy = FaultProxy(host, int(port), latency_s=LONG_LINK_S)
            listener = await asyncio.start_server(proxy.accept, host, 0)
            self.listeners.append(listener)
            entry["address"] = f"{host}:{listener.sockets[0].getsockname()[1]}"
        self.store.put("servers", engine.name, entry)

    async def _probe(self, gateway: StoppedGateway) -> None:
        """Ask a gateway whether it is ready, as the balancer does."""
        while True:
            is_ready = await gateway.process.is_ready()
            gateway.failed_probes = 0 if is_ready else gateway.failed_probes + 1
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _choose_gateway(self) -> StoppedGateway | None:
        usable = [g for g in self.gateways if g.failed_probes < MAX_FAILED_PROBES]
        return self.rng.choice(usable) if usable else None

    async def send_all(self, caller: Caller) -> None:
        """Send one request after the other, on one connection while it is kept."""
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        while not self.is_over:
            gateway = self._choose_gateway()
            if gateway is None:
                await asyncio.sleep(NO_GATEWAY_PAUSE_S)
                continue
            connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=60.0)
            async with aiohttp.ClientSession(connector=connector) as session:
                while not self.is_over and await self._send(session, gateway, caller):
                    await asyncio.sleep(caller.pause_s)

    async def _send(
        self, session: aiohttp.ClientSession, gateway: StoppedGateway, caller: Caller
    ) -> bool:
        """Send one request; return whether the connection is kept."""
        rng = self.rng
        request_id = f"id-{next(self.numbers)}"
        events, path = 0, rng.choice(("/once/a", "/look/a"))
        if caller.streams:
            is_long = rng.random() < caller.long_share
            events = rng.randint(
                *(caller.long_events if is_long else caller.short_events)
            )
            path = "/stream/x"
        kind = path.split("/")[1]
        sent = SentRequest(request_id, kind, gateway, self.now(), events=events)
        self.requests.append(sent)
        self.lengths[request_id] = events
        headers = {
            "Host": HOST,
            "X-Monsoontack-Request-Id": request_id,
            "X-Monsoontack-Deadline-Ms": str(int(CALLER_TIMEOUT_S * 1000)),
            "Authorization": f"Token {KEY}",
            "X-Monsoontack-Token-Usage": f"200,{caller.stated_tokens or events}",
            "X-Monsoontack-Prefix-Hash": f"{rng.getrandbits(32):08x}:200",
        }
        is_chunked = rng.random() < caller.chunked_share
        body = _chunks() if is_chunked else b"{}"
        url = gateway.process.front + path
        is_kept, data = False, bytearray()
        process_number = gateway.process_number
        try:
            async with session.post(url, headers=headers, data=body) as answer:
                sent.began = True
                async for part in answer.content.iter_any():
                    data += part
                is_whole = kind != "stream" or data.count(b"\n\n") == events
                sent.status = answer.status if answer.status != 200 or is_whole else 0
                keeps = answer.headers.get("Connection", "").lower() != "close"
                is_kept = sent.status == 200 and keeps
        except aiohttp.ClientError as error:
            sent.status, sent.error = 0, repr(error)
        sent.got_events = data.count(b"\n\n")
        sent.ended_at = self.now()
        sent.stopped_at = gateway.stop_time(process_number)
        return is_kept

    async def stop_in_turn(self, until: float) -> None:
        """Stop the gateways one after the other, each once at least, and start them."""
        for gateway in itertools.cycle(self.gateways):
            if self.now() >= until and self.stops >= self.gateway_count:
                return
            await self.stop_one(gateway)
            await asyncio.sleep(SETTLE_S)

    async def stop_by_schedule(self, schedule: list[PlannedStop]) -> None:
        """Stop the gateways at the times of a schedule."""
        await asyncio.gather(*(self._stop_at(stop) for stop in schedule))

    async def _stop_at(self, stop: PlannedStop) -> None:
        gateway = self.gateways[stop.gateway]
        await asyncio.sleep(stop.at_s)
        await self.stop_one(gateway, stop.again_after_s)

    async def stop_one(
        self, gateway: StoppedGateway, again_after_s: float | None = None
    ) -> None:
        """Stop a gateway, once or twice, and start it again once it has ended."""
        await self._restart(gateway)
        if again_after_s is not None:
            await asyncio.sleep(again_after_s)
            await self._restart(gateway)
        async with asyncio.timeout(WAIT_S):
            while gateway.failed_probes:
                await asyncio.sleep(0.05)

    def _set_event_gap(self) -> None:
        is_stopping = any(item.stopped_at is not None for item in self.gateways)
        for engine in self.engines:
            engine.event_gap_s = EVENT_GAP_S * (self.slow_factor if is_stopping else 1)

    async def _restart(self, gateway: StoppedGateway) -> None:
        """Stop a gateway with SIGTERM, and start it once it has ended."""
        gateway.stopped_at = self.now()
        gateway.stop_times.append(gateway.stopped_at)
        self.stops += 1
        self._set_event_gap()
        gateway.process.signal(signal.SIGTERM)
        for at_s in self.more_signals_s:
            await asyncio.sleep(gateway.stopped_at + at_s - self.now())
            gateway.process.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout_at(gateway.stopped_at + GRACE_S):
                await gateway.process.process.wait()
        except TimeoutError:
            # On a busy machine it may end at this very moment.
            with contextlib.suppress(ProcessLookupError):
                gateway.process.signal(signal.SIGKILL)
            await gateway.process.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        gateway.stopped_at = None
        self._set_event_gap()
        await gateway.process.spawn()

    async def run(
        self,
        callers: list[Caller],
        before_s: float,
        seconds: float,
        schedule: list[PlannedStop] | None = None,
    ) -> None:
        """Let the callers send, and stop gateways from `before_s` on for a time.

        A schedule takes the place of the stops in turn.
        """
        until = self.now() + before_s + seconds
        sending = [asyncio.ensure_future(self.send_all(c)) for c in callers]
        await asyncio.sleep(before_s)
        if schedule is None:
            await self.stop_in_turn(until)
        else:
            await self.stop_by_schedule(schedule)
        self.is_over = True
        await asyncio.gather(*sending)

    def ran(self) -> set[str]:
        """Return the ids of the requests that reached a server."""
        return {run[0] for engine in self.engines for run in engine.runs}

    def is_excused(self, item: SentRequest) -> bool:
        """Whether the users' rule allows that the request got no whole response.

        It does at the deadline of the request, and at the end of the drain if a server
        was at work on the request until shortly before.
        """
        if item.ended_at - item.sent_at >= CALLER_TIMEOUT_S - DEADLINE_SLACK_S:
            return True
        if item.stopped_at is None or item.after_stop_s > EXCUSED_UNTIL_S:
            return False
        ends = [e.ended_at.get(item.request_id, 0.0) for e in self.engines]
        return max(ends) - item.stopped_at >= EXCUSED_CUT_S

    def lost(self) -> list[SentRequest]:
        """Return the requests that reached a server and got no whole response.

        Left out are those whose sending the users' rule excuses.
        """
        ran = self.ran()
        return [
            item
            for item in self.requests
            if item.status == 0 and item.request_id in ran and not self.is_excused(item)
        ]

    def describe(self, item: SentRequest) -> str:
        """Return what is known of a lost request, with the log lines that name it."""
        times = [
            None if at is None or item.stopped_at is None else at - item.stopped_at
            for at in (
                item.sent_at,
                max(e.ended_at.get(item.request_id, 0.0) for e in self.engines),
                item.ended_at,
            )
        ]
        sent, worked, ended = (at if at is None else round(at, 2) for at in times)
        gateway = item.gateway.process
        head = (
            f"lost: {item.kind} {item.request_id} at {gateway.settings.stem}, got "
            f"{item.got_events} of {item.events} events; seconds after SIGTERM: sent "
            f"{sent}, at a server until {worked}, ended {ended} {item.error}"
        )
        name = f'"{item.request_id}"'.encode()
        logged = [line.decode().strip() for line in gateway.log if name in line]
        return "\n  ".join([head, *logged])

    def false_refusals(self) -> list[SentRequest]:
        """Return the refused requests that reached a server all the same."""
        ran = self.ran()
        return [r for r in self.requests if r.status == 503 and r.request_id in ran]

    def late(self) -> list[SentRequest]:
        """Return the requests that were sent when no excuse holds any more."""
        return [r for r in self.requests if (r.after_stop_s or 0.0) > EXCUSED_UNTIL_S]

    def statuses(self) -> dict[str, int]:
        """Return how often each kind of request got each status."""
        counts = Counter(f"{item.kind} {item.status}" for item in self.requests)
        return dict(sorted(counts.items()))

    async def close(self) -> None:
        """Stop all processes and simulators and remove the files."""
        for task in self.tasks:
            task.cancel()
        for gateway in self.gateways:
            await gateway.process.stop()
        for listener in self.listeners:
            listener.close()
        for engine in self.engines:
            await engine.close()
        await self.store.close()
        self.folder.cleanup()


async def _chunks():
    yield b"{"
    await asyncio.sleep(0.01)
    yield b"}"
