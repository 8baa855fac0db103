"""Configurations in quick succession fill the memory of every gateway."""

import asyncio
import copy
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import Rig, Server, base_config, main, route

GATEWAYS = 2
CLIENTS_PER_GATEWAY = 12
# The doses of the site file: 350 routes more at a time, a change each 0.33 s for 4 s.
GROWTHS, ROUTES_PER_GROWTH, GROWTH_PAUSE_S = 5, 350, 1.0
STORMS, CHANGES_PER_STORM, STORM_GAP_S, STORM_PAUSE_S = 12, 12, 0.33, 0.5
CALM_S = 5.0
# LOST: closed without an answer more than three times, at one machine.
MOST_LOST = 3


class Callers:
    """Ordinary clients of one gateway, each with a kept connection."""

    def __init__(self, rig: Rig, index: int) -> None:
        self.rig = rig
        self.gateway = rig.gateways[index]
        self.lost: list[str] = []
        self.answered = 0

    async def run(self, is_booking: bool) -> None:
        """Send calls one after the other."""
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
            if is_kept and has_run:
                self.lost.append(request_id)
            await asyncio.sleep(0.2)


async def change_config(rig: Rig) -> None:
    """Let the operator add routes, and change one of them in quick succession."""
    config = base_config()
    for growth in range(GROWTHS):
        config = copy.deepcopy(config)
        config["version"] += 3
        for number in range(ROUTES_PER_GROWTH):
            name = f"more-{growth}-{number}"
            config["routes"].append(
                route(name, f"/{name}/", "idempotent", "desk", sticky=False)
            )
        rig.store.put("config", "main", config)
        rig.record.note("operator adds routes", f"version {config['version']}")
        await asyncio.sleep(GROWTH_PAUSE_S)
    for _ in range(STORMS):
        for _ in range(CHANGES_PER_STORM):
            config = copy.deepcopy(config)
            config["version"] += 1
            config["limits"]["idle_timeout_ms"] = 15_000 + config["version"] % 2
            rig.store.put("config", "main", config)
            memory = [g.resident_bytes() // 1_000_000 for g in rig.gateways]
            rig.record.note(
                "operator changes", f"version {config['version']}, memory {memory} MB"
            )
            await asyncio.sleep(STORM_GAP_S)
        if any(gateway.ends for gateway in rig.gateways):
            return
        await asyncio.sleep(STORM_PAUSE_S)


async def case(rig: Rig, is_trouble: bool) -> str:
    """Run the case; return how LOST was broken."""
    for number, zone in enumerate(("zone-a", "zone-b", "zone-a")):
        server = Server(f"desk-{number}", "desk", zone, rig.record, slots=12)
        await rig.add_server(server)
    await rig.add_gateways(GATEWAYS)
    callers = [Callers(rig, index) for index in range(GATEWAYS)]
    for number in range(CLIENTS_PER_GATEWAY):
        for one in callers:
            rig.tasks.append(asyncio.ensure_future(one.run(number % 2 == 0)))
    await asyncio.sleep(CALM_S)
    if is_trouble:
        await change_config(rig)
    else:
        await asyncio.sleep(30.0)
    await asyncio.sleep(CALM_S)
    for one, gateway in zip(callers, rig.gateways, strict=True):
        rig.record.note(
            "total",
            f"{gateway.name}: {one.answered} answered, {len(one.lost)} lost,"
            f" ends {gateway.ends}, peak {gateway.peak_bytes / 1e6:.0f} MB",
        )
    broken = [c for c in callers if len(c.lost) > MOST_LOST]
    if not broken:
        return ""
    return "LOST: " + "; ".join(
        f"{len(c.lost)} requests at {c.gateway.name}, whose process ended by"
        f" {c.gateway.ends}"
        for c in broken
    )


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().parent))
