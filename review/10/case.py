"""Streams whose servers pause before the end are cut, also around a SIGHUP."""

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import Received, Rig, Server, main

GATEWAYS = 2
CLIENTS_PER_GATEWAY = 30
ENGINES = 4
# Events of a stream (130 on the sheet, up to 180), and the time between two of them.
EVENTS, GAP_S = (100, 180), 0.03
STATED_TOKENS = 180
# Time to read the prompt, also for a stream that goes on at another engine.
READ_S = 0.6
SILENCE_S = 1.0
CALM_S = 4.0
# Requests count that were sent up to `config_apply_ms` after the SIGHUP.
CONFIG_APPLY_S = 2.5
WATCH_S = 16.0


class Streams:
    """Streams by request id: gateway, time, what its server sent, what came."""

    def __init__(self, rig: Rig, is_trouble: bool) -> None:
        self.rig = rig
        self.silence_s = SILENCE_S if is_trouble else 0.0
        self.rng = random.Random(58)
        self.lengths: dict[str, int] = {}
        self.signalled_at: dict[str, float] = {}
        self.cut: list[str] = []
        self.whole = 0

    async def serve(self, server: Server, request: Received) -> bool:
        """Send the events after `Last-Event-Id`, pause, and end the answer."""
        length = self.lengths[request.request_id]
        last = int(request.headers.get("last-event-id", "0"))
        await asyncio.sleep(READ_S)
        server.begin_stream(request)
        for number in range(last + 1, length + 1):
            server.send_chunk(request, f"id: {number}\ndata: t{number}\n\n".encode())
            await request.writer.drain()
            await asyncio.sleep(GAP_S)
        self.rig.record.note(
            "server has sent all events",
            f"{request.request_id} at {server.name}, after event {last}",
        )
        if last < length:
            await asyncio.sleep(self.silence_s)
        if request.writer.transport.is_closing():
            self.rig.record.note(
                "server finds its connection reset",
                f"{request.request_id} at {server.name}",
            )
            return False
        request.writer.write(b"0\r\n\r\n")
        return True

    async def client(self, gateway, delay_s: float) -> None:
        """Use a connection once, then send one stream on it."""
        client = self.rig.client(gateway)
        await client.send("GET", "/look/x", self.rig.next_id())
        await asyncio.sleep(delay_s)
        request_id = self.rig.next_id()
        self.lengths[request_id] = self.rng.randint(*EVENTS)
        headers = {
            "X-Monsoontack-Model": "m",
            "X-Monsoontack-Token-Usage": f"800,{STATED_TOKENS}",
            "X-Monsoontack-Prefix-Hash": f"5c1e07a2:200,{request_id}:600",
        }
        sent_at = time.monotonic()
        answer = await client.send(
            "POST", "/plan/x", request_id, headers, b"survey " * 20, 25_000
        )
        events = answer.body.count(b"data: ")
        since_s = sent_at - self.signalled_at[gateway.name]
        self.rig.record.note(
            "stream client gets",
            f"{request_id} from {gateway.name}, sent {since_s:.2f} s after SIGHUP:"
            f" {answer.status}, {events} of {self.lengths[request_id]} events,"
            f" whole: {answer.is_whole} {answer.cause}",
        )
        self.whole += answer.is_whole and answer.status == 200
        is_cut = not answer.is_whole and answer.cause == "IncompleteReadError"
        if is_cut and 0 <= since_s <= CONFIG_APPLY_S:
            self.cut.append(request_id)


async def case(rig: Rig, is_trouble: bool) -> str:
    """Run the case; return how LOST was broken."""
    for number, zone in enumerate(("zone-a", "zone-b", "zone-a")):
        server = Server(f"desk-{number}", "desk", zone, rig.record, slots=12)
        await rig.add_server(server)
    streams = Streams(rig, is_trouble)
    for number in range(ENGINES):
        zone = "zone-b" if number % 2 else "zone-a"
        server = Server(f"plan-{number}", "planner", zone, rig.record, 32, 96)
        server.serve = streams.serve
        await rig.add_server(server)
    await rig.add_gateways(GATEWAYS)
    await asyncio.sleep(CALM_S)
    for gateway in rig.gateways:
        for number in range(CLIENTS_PER_GATEWAY):
            delay_s = 0.5 + 1.8 * number / CLIENTS_PER_GATEWAY
            task = asyncio.ensure_future(streams.client(gateway, delay_s))
            rig.tasks.append(task)
    await asyncio.sleep(0.3)
    for gateway in rig.gateways:
        text = gateway.settings.read_text()
        gateway.settings.write_text(
            text.replace("retry_extra = 150", "retry_extra = 151")
        )
        os.kill(gateway.process.pid, signal.SIGHUP)
        streams.signalled_at[gateway.name] = time.monotonic()
        rig.record.note("platform sends SIGHUP", gateway.name)
    await asyncio.sleep(WATCH_S)
    rig.record.note(
        "total",
        f"{streams.whole} streams whole, {len(streams.cut)} cut by the gateways, ends"
        f" {[gateway.ends for gateway in rig.gateways]}",
    )
    if not streams.cut:
        return ""
    return (
        f"LOST: {len(streams.cut)} of {len(streams.lengths)} streams that were sent"
        " within 2.5 s after a SIGHUP were cut"
    )


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().parent))
