"""Tests of gateways whose planned stops overlap, on a simulated clock."""

import asyncio
import random
import unittest
from dataclasses import dataclass, field

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.drain_start_test import STATED_TOKENS, StatedLengthHarness
from monsoontack.gateway.drain_test import LONG_GRACE_S, Harness
from standins.gatewayfakes import FakeTransport
from standins.stopschedule import overlapping_stops

GATEWAYS, CALLERS = 4, 24
SEEDS = (1, 47)
EVENTS = (79, 180)
# Longer than it takes to measure the longest streams.
BEFORE_S = 9.0
STOPPING_S = 20.0
# From then on, the balancer sends no new connections to a stopped gateway.
BALANCED_S = 2.5
# The users' rule excuses a stream sent before, if the end of a drain cuts it.
EXCUSED_UNTIL_S = 3.0
RESTART_S = 1.5
POLL_S = 0.03
END = b"0\r\n\r\n"


class KeepingHarness(StatedLengthHarness):
    """A gateway that keeps connections, as its configuration counts as confirmed."""

    def __init__(self):
        super().__init__(0.0, LONG_GRACE_S)
        self.daemon.front.closing = lambda: self.daemon.draining


@dataclass
class StoppingGateways:
    """Gateways that a schedule stops, and the streams that were not whole.

    `stopped_at` has the time of SIGTERM of gateways that are stopping.
    """

    seed: int
    gateways: list = field(default_factory=list)
    stopped_at: dict[int, float] = field(default_factory=dict)
    cut: list = field(default_factory=list)
    late: int = 0
    sent: int = 0
    is_over: bool = False

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.gateways = [KeepingHarness() for _ in range(GATEWAYS)]

    def now(self):
        return asyncio.get_running_loop().time()

    def usable(self):
        """Return the gateways that the balancer sends new connections to."""
        now = self.now()
        return [
            number
            for number in range(GATEWAYS)
            if now < self.stopped_at.get(number, now) + BALANCED_S
        ]

    async def send_all(self):
        """Send one stream after the other, on one connection while it is kept."""
        await asyncio.sleep(self.rng.uniform(0.0, 4.0))
        while not self.is_over:
            number = self.rng.choice(self.usable())
            gateway, transport = self.gateways[number], FakeTransport()
            connection = gateway.daemon.front.make_connection()
            transport.abort = lambda c=connection, t=transport: Harness.end(None, c, t)
            connection.connection_made(transport)
            while not self.is_over and await self.send(number, connection, transport):
                pass
            await asyncio.sleep(POLL_S)

    async def send(self, number, connection, transport):
        """Send a stream; return whether the connection is kept."""
        self.sent += 1
        length, sent_at = self.rng.randint(*EVENTS), self.now()
        path = f"/stream-resumable/{self.sent}-{length}?{STATED_TOKENS}"
        transport.written.clear()
        head = f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n"
        connection.data_received(head.encode())
        while not transport.closed and not transport.written.endswith((END, b"}")):
            await asyncio.sleep(POLL_S)
        await asyncio.sleep(0)
        stopped_at = self.stopped_at.get(number)
        after_s = None if stopped_at is None else sent_at - stopped_at
        is_late = after_s is not None and after_s > EXCUSED_UNTIL_S
        self.late += is_late
        is_begun = transport.written.startswith(b"HTTP/1.1 200")
        if is_begun and not transport.written.endswith(END):
            is_excused = stopped_at is not None and not is_late
            if not is_excused:
                self.cut.append((length, round(after_s or 0.0, 2)))
        return is_begun and not transport.closed

    async def stop(self, planned):
        """Stop a gateway, once or twice, and start it again."""
        await asyncio.sleep(planned.at_s)
        await self.restart(planned.gateway)
        if planned.again_after_s is not None:
            await asyncio.sleep(planned.again_after_s)
            await self.restart(planned.gateway)

    async def restart(self, number):
        self.stopped_at[number] = self.now()
        await self.gateways[number].daemon._drain()
        await asyncio.sleep(RESTART_S)
        self.gateways[number] = KeepingHarness()
        del self.stopped_at[number]

    async def run(self):
        """Let the callers send while gateways stop; return what was cut."""
        sending = [asyncio.ensure_future(self.send_all()) for _ in range(CALLERS)]
        await asyncio.sleep(BEFORE_S)
        stops = overlapping_stops(self.seed, GATEWAYS, STOPPING_S)
        await asyncio.gather(*(self.stop(planned) for planned in stops))
        self.is_over = True
        await asyncio.gather(*sending)


class OverlappingStopTest(unittest.TestCase):
    def test_late_streams_are_not_cut_by_overlapping_stops(self):
        """Guards against streams that a gateway takes late in its drain and cuts at its
        end, while others stop as well, one of them twice within 11 s of its start."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                found = run_stops(seed)
                self.assertGreater(found.late, 5)
                self.assertEqual([], found.cut)


def run_stops(seed):
    """Return the gateways and callers of a seed after all stops."""

    async def scenario():
        gateways = StoppingGateways(seed)
        await gateways.run()
        return gateways

    return run_in_virtual_time(scenario())


if __name__ == "__main__":
    unittest.main()
