"""A version that turns bad before its deadline already has all requests."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import Received, Rig, Server, main

GATEWAYS = 3
CALLERS_PER_GATEWAY = 10
PAUSE_S = 0.65
CALM_S = 4.0
SPAN_S, WATCH_S = 15.0, 24.0
# The version is sound for this time after the order, and fails a part of the requests
# from then on. With BAD_AFTER_S=0 in the environment it is bad from the start.
BAD_AFTER_S = float(os.environ.get("BAD_AFTER_S", "10"))
BAD_SHARE = 0.45
CANARY_SHARE, CANARY_TOLERANCE = 0.1, 50
ROLLBACK_S = 5.0


class Rollout:
    """The order, what the new version answers, and the platform's part in it."""

    def __init__(self, rig: Rig, is_bad: bool) -> None:
        self.rig = rig
        self.is_bad = is_bad
        self.ordered_at = time.monotonic()
        self.sent_at: dict[str, float] = {}
        self.bad_answers: list[float] = []
        self.rng = random.Random(58)

    async def serve(self, server: Server, request: Received) -> bool | None:
        """Answer a request of the new version; None for the usual answer."""
        is_due = time.monotonic() >= self.ordered_at + BAD_AFTER_S
        if not self.is_bad or not is_due or self.rng.random() >= BAD_SHARE:
            return None
        await asyncio.sleep(server.work_s)
        server.answer(request, 500, b"failed")
        self.bad_answers.append(time.monotonic())
        self.rig.record.note("new version fails", f"{request.request_id}")
        return True

    async def follow(self) -> None:
        """Stop the old engines once the order is complete, as the platform does."""
        state = None
        while True:
            await asyncio.sleep(0.05)
            status = self.rig.store.kinds["rollouts"]["desk"]["status"] or {}
            if status.get("state") == state:
                continue
            state = status.get("state")
            since_s = time.monotonic() - self.ordered_at
            self.rig.record.note("status of the order", f"{status} at {since_s:.2f} s")
            if state == "complete":
                for name, server in list(self.rig.servers.items()):
                    if server.service == "desk" and server.version == "v1":
                        self.rig.store.remove("servers", name)
                        await server.close()

    async def call(self, gateway) -> None:
        """Send lookups and bookings on a kept connection."""
        client, number = self.rig.client(gateway), 0
        while True:
            request_id, number = self.rig.next_id(), number + 1
            self.sent_at[request_id] = time.monotonic()
            is_booking = number % 2 == 0
            answer = await client.send(
                "POST" if is_booking else "GET",
                "/book/x" if is_booking else "/look/x",
                request_id,
                body=b"part 7" if is_booking else b"",
            )
            self.rig.record.note(
                f"client gets {answer.status}", f"{request_id} {answer.cause}"
            )
            await asyncio.sleep(PAUSE_S)

    def breaks(self) -> list[str]:
        """Return how EXPOSURE was broken."""
        if not self.is_bad:
            return []
        until = self.ordered_at + SPAN_S
        total = exposed = late = 0
        bound = float("inf")
        if len(self.bad_answers) >= 50:
            bound = self.bad_answers[49] + ROLLBACK_S
        for server in self.rig.servers.values():
            is_new = server.service == "desk" and server.version == "v2"
            for request in server.arrivals:
                sent_at = self.sent_at[request.request_id]
                if self.ordered_at <= request.at <= until:
                    total += 1
                    exposed += is_new
                late += is_new and sent_at > bound
        allowed = CANARY_SHARE * total + CANARY_TOLERANCE
        self.rig.record.note(
            "total",
            f"{exposed} of {total} requests to the new version by the deadline,"
            f" {allowed:.0f} allowed; {len(self.bad_answers)} bad answers, {late}"
            " requests sent over 5 s after the 50th",
        )
        found = []
        if exposed > allowed:
            found.append(f"{exposed} of {total} requests, {allowed:.0f} allowed")
        if late:
            found.append(f"{late} requests sent over 5 s after the 50th bad answer")
        return found


async def case(rig: Rig, is_trouble: bool) -> str:
    """Run the case; return how EXPOSURE was broken."""
    for number, zone in enumerate(("zone-a", "zone-b", "zone-a")):
        server = Server(f"desk-v1-{number}", "desk", zone, rig.record, slots=12)
        server.work_s = 0.03
        await rig.add_server(server)
    await rig.add_gateways(GATEWAYS)
    rollout = Rollout(rig, is_trouble)
    for gateway in rig.gateways:
        for _ in range(CALLERS_PER_GATEWAY):
            rig.tasks.append(asyncio.ensure_future(rollout.call(gateway)))
    await asyncio.sleep(CALM_S)
    order = {"service": "desk", "target": "v2", "over_s": SPAN_S}
    rig.store.put("rollouts", "desk", order)
    rollout.ordered_at = time.monotonic()
    rig.record.note("operator orders a rollout", str(order))
    for number, zone in enumerate(("zone-a", "zone-b", "zone-a")):
        server = Server(f"desk-v2-{number}", "desk", zone, rig.record, slots=12)
        server.work_s, server.version = 0.03, "v2"
        server.serve = rollout.serve
        await rig.add_server(server)
    rig.tasks.append(asyncio.ensure_future(rollout.follow()))
    await asyncio.sleep(WATCH_S)
    found = rollout.breaks()
    return f"EXPOSURE: {'; '.join(found)}" if found else ""


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().parent))
