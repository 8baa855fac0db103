"""A rollout beside waiting streams ends the gateways' processes."""

import asyncio
import copy
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import KEY, Rig, Server, base_config, main

GATEWAYS = 3
CALLERS_PER_GATEWAY = 12
OTHER_KEY = "key-of-the-depot-0001"
# As on the sheet of the site.
ENGINES_PER_VERSION = 18
CALM_S = 4.0
# `over_s` of the order, and how long the case watches after it.
SPAN_S, WATCH_S = 15.0, 38.0
# Streams of all gateways together: 8 a second on average, which is the site's largest
# burst (1.7 times 4.7 a second). Those of one gateway come together.
GROUP, GROUP_PAUSE_S, GROUPS = 24, 9.0, 4
# The groups of one gateway come this much later than those of the one before.
OFFSET_S = 3.0
PROMPT_TOKENS = 8_000
# LOST: closed without an answer more than three times, at one machine.
MOST_LOST = 3


class Callers:
    """Clients of one gateway."""

    def __init__(self, rig: Rig, index: int) -> None:
        self.rig = rig
        self.index = index
        self.gateway = rig.gateways[index]
        self.lost: list[str] = []
        self.answered = 0
        self.streams: dict[str, int] = {}

    async def call(self, is_booking: bool) -> None:
        """Send calls one after the other on a kept connection."""
        client, record = self.rig.client(self.gateway), self.rig.record
        method, path = ("POST", "/book/x") if is_booking else ("GET", "/look/x")
        while True:
            request_id = self.rig.next_id()
            if not await client.connect():
                await asyncio.sleep(0.2)
                continue
            is_kept = client.was_used
            record.note("client sends", f"{request_id} to {self.gateway.name}")
            body = b"part 7" if is_booking else b""
            answer = await client.send(method, path, request_id, body=body)
            if answer.is_whole:
                self.answered += 1
                record.note("client gets", f"{request_id} {answer.status}")
                await asyncio.sleep(0.02)
                continue
            has_run = any(request_id in s.runs for s in self.rig.servers.values())
            record.note(
                "client gets no answer",
                f"{request_id} at {self.gateway.name}, on a kept connection: {is_kept},"
                f" passed on: {has_run}, {answer.cause}",
            )
            if is_kept and has_run and answer.cause == "closed without an answer":
                self.lost.append(request_id)
            await asyncio.sleep(0.2)

    async def stream(self, number: int) -> None:
        """Request one stream; every second one is of the less urgent account."""
        client, request_id = self.rig.client(self.gateway), self.rig.next_id()
        headers = {
            "Authorization": f"Token {OTHER_KEY if number % 2 else KEY}",
            "X-Monsoontack-Model": "m",
            "X-Monsoontack-Token-Usage": f"{PROMPT_TOKENS},300",
            "X-Monsoontack-Prefix-Hash": f"5c1e07a2:200,{request_id}:7800",
        }
        self.rig.record.note("stream client sends", request_id)
        answer = await client.send(
            "POST", "/plan/x", request_id, headers, b"survey " * 20, 25_000
        )
        client.close()
        result = str(answer.status) if answer.is_whole else "cut"
        self.streams[result] = self.streams.get(result, 0) + 1
        self.rig.record.note(
            "stream client gets", f"{request_id} {answer.status} {answer.cause}"
        )

    async def stream_groups(self) -> None:
        """Request streams in groups."""
        await asyncio.sleep(OFFSET_S * self.index)
        for _ in range(GROUPS):
            for number in range(GROUP):
                task = asyncio.ensure_future(self.stream(number))
                self.rig.tasks.append(task)
            await asyncio.sleep(GROUP_PAUSE_S)


def two_priorities() -> dict:
    """Return a configuration with two accounts of different priority."""
    config = copy.deepcopy(base_config())
    config["tenants"].append({"name": "depot", "api_keys": [OTHER_KEY], "priority": 2})
    return config


async def add_engines(rig: Rig, version: str) -> None:
    """Start the engines of a version."""
    for number in range(ENGINES_PER_VERSION):
        zone = "zone-b" if number % 2 else "zone-a"
        name = f"plan-{version}-{number}"
        server = Server(name, "planner", zone, rig.record, 32, 96)
        server.version = version
        server.first_s = 1.0
        await rig.add_server(server)


async def case(rig: Rig, is_trouble: bool) -> str:
    """Run the case; return how LOST was broken."""
    rig.store.put("config", "main", two_priorities())
    for number, zone in enumerate(("zone-a", "zone-b", "zone-a")):
        server = Server(f"desk-{number}", "desk", zone, rig.record, slots=12)
        await rig.add_server(server)
    await add_engines(rig, "v1")
    await rig.add_gateways(GATEWAYS)
    callers = [Callers(rig, index) for index in range(GATEWAYS)]
    for number in range(CALLERS_PER_GATEWAY):
        for one in callers:
            rig.tasks.append(asyncio.ensure_future(one.call(number % 2 == 0)))
    await asyncio.sleep(CALM_S)
    if is_trouble:
        order = {"service": "planner", "target": "v2", "over_s": SPAN_S}
        rig.store.put("rollouts", "planner", order)
        rig.record.note("operator orders a rollout", str(order))
        await add_engines(rig, "v2")
    await asyncio.sleep(1.0)
    for one in callers:
        rig.tasks.append(asyncio.ensure_future(one.stream_groups()))
    await asyncio.sleep(WATCH_S)
    for one in callers:
        gateway = one.gateway
        rig.record.note(
            "total",
            f"{gateway.name}: {one.answered} calls answered, {len(one.lost)} lost,"
            f" streams {one.streams}, ends {gateway.ends},"
            f" peak {gateway.peak_bytes / 1e6:.0f} MB",
        )
    rig.record.note("status of the order", str(rig.store.kinds.get("rollouts")))
    broken = [c for c in callers if len(c.lost) > MOST_LOST]
    return (
        "LOST: "
        + "; ".join(
            f"{len(c.lost)} requests at {c.gateway.name}, whose process ended by"
            f" {c.gateway.ends}"
            for c in broken
        )
        if broken
        else ""
    )


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().parent))
