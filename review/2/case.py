"""A planned stop cuts streams that the gateway took late in its drain."""

import asyncio
import random
import signal
import sys
import time
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import harness
from harness import Gateway, Record, Store, StreamServer

# Callers with a kept connection each, on which one stream follows the other.
CALLERS = 60
# Events of short and long streams, and the share of the long ones; the longest of the
# site has 180.
SHORT, LONG, LONG_SHARE = (20, 40), (150, 180), 0.4
STREAM_DEADLINE_S = 25.0
# Longer than the stable window, so that the gateway has measured its streams.
BEFORE_S = 9.0
GRACE_S, AFTER_S = 8.0, 9.0
# A stream that was sent later than this after SIGTERM has no excuse in the rule.
LATE_S = 3.0


@dataclass(slots=True)
class Stream:
    """One stream as its caller saw it."""

    name: str
    events: int
    sent_at: float
    status: int = 0
    received: int = 0
    is_complete: bool = False


class Caller:
    """A caller with one connection, which ends with the first refusal or close."""

    def __init__(self, number: int, record: Record, rng: random.Random) -> None:
        self.number, self.record, self.rng = number, record, rng
        self.streams: list[Stream] = []

    async def run(self, gateway: Gateway, until: float) -> None:
        """Send one stream after the other on one connection."""
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        reader, writer = await asyncio.open_connection(harness.LOOPBACK, gateway.front)
        try:
            while time.monotonic() < until and await self.stream(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.record.write(f"connection {self.number} ended: {error!r}")
        finally:
            writer.close()

    async def stream(self, reader, writer) -> bool:
        """Send a stream and read its answer; return whether the connection is kept."""
        name = f"stream-{self.number}-{len(self.streams)}"
        is_long = self.rng.random() < LONG_SHARE
        events = self.rng.randint(*(LONG if is_long else SHORT))
        item = Stream(name, events, time.monotonic())
        self.streams.append(item)
        prompt_id = f"{self.number:04x}{len(self.streams):04x}"
        headers = harness.client_headers(name, int(STREAM_DEADLINE_S * 1000)) | {
            "Host": harness.HOST,
            "Content-Length": "2",
            "X-Monsoontack-Model": "m",
            "X-Monsoontack-Token-Usage": f"200,{events}",
            "X-Monsoontack-Prefix-Hash": f"{prompt_id}:200",
        }
        lines = ["POST /plan/x HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
        writer.write("\r\n".join([*lines, "", "{}"]).encode())
        self.record.write(f"sent {name}, {events} events")
        try:
            first, answer = await harness.read_head(reader)
            item.status = int(first.split(" ")[1])
            if item.status != 200:
                await harness.read_body(reader, answer)
                item.is_complete = True
            else:
                await self.read_events(reader, item)
        finally:
            self.record.write(
                f"answer to {name}: {item.status}, {item.received} of {events} events, "
                f"{'complete' if item.is_complete else 'not complete'}"
            )
        return item.status == 200 and answer.get("connection", "").lower() != "close"

    async def chunk_size(self, reader) -> int:
        """Read the size of the next chunk."""
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        return int(line, 16)

    async def read_events(self, reader, item: Stream) -> None:
        """Read the chunks of a stream up to its end."""
        while size := await self.chunk_size(reader):
            data = await reader.readexactly(size)
            await reader.readline()
            item.received += data.count(b"\n\n")
        await reader.readline()
        item.is_complete = item.received == item.events


async def play(record: Record, folder: Path, is_disturbed: bool) -> int:
    """Play the case; return its exit status."""
    store = Store()
    await store.start()
    for number in range(1, 5):
        server = StreamServer(f"plan-{number}", record)
        await server.start()
        store.put("servers", server.name, server.entry("plan-writer"))
    fields = {"resumable": True, "itl_target_ms": 700, "sticky": True, "attempts": 5}
    fields |= {"timeout_ms": 25000, "slo_ms": 4500, "priority": 1}
    routes = [harness.route("plan", "stream", "plan-writer", **fields)]
    engine = {"slots": 32, "kv_capacity": 88000, "backups": False, "handle_ttl_s": 4.0}
    services = [{"name": "plan-writer", "max_conns": 230, "backend": engine}]
    store.put("config", "main", harness.config(1, routes, services))
    gateway = Gateway.prepare(folder, "edge-1", store.address)
    await gateway.spawn()
    try:
        await gateway.wait_ready()
        return await send_all(record, gateway, is_disturbed)
    finally:
        await gateway.stop()


async def send_all(record: Record, gateway: Gateway, is_disturbed: bool) -> int:
    """Send streams, stop the gateway as planned, and return the exit status."""
    began = time.monotonic()
    stop_at = began + BEFORE_S
    until = stop_at + AFTER_S
    rng = random.Random()
    callers = [Caller(number, record, rng) for number in range(CALLERS)]
    tasks = [asyncio.ensure_future(caller.run(gateway, until)) for caller in callers]
    await asyncio.sleep(stop_at - time.monotonic())
    if is_disturbed:
        record.write("SIGTERM")
        stop_at = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(GRACE_S)
        if gateway.process.returncode is None:
            record.write("SIGKILL at the end of the grace period")
        await gateway.stop()
    await asyncio.gather(*tasks)
    streams = [item for caller in callers for item in caller.streams]
    late = [s for s in streams if s.sent_at > stop_at + LATE_S]
    served = [s for s in late if s.status == 200]
    cut = [s for s in served if not s.is_complete]
    for item in cut:
        record.write(f"cut: {item.name}, sent {item.sent_at - stop_at:.2f} s after it")
    record.write(
        f"{len(streams)} streams; {len(late)} sent more than 3 s after the stop, "
        f"{len(served)} of them begun, {len(cut)} of these cut"
    )
    return harness.BROKEN if cut else harness.HELD


harness.main(Path(__file__).resolve().parent, play)
