"""Tests of the drain of a gateway that has just started, on a simulated clock."""

import asyncio
import unittest

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.drain_test import LONG_GRACE_S, TOKEN_GAP_S, Harness

# All streams state the same maximum, far above what they generate.
STATED_TOKENS = 1260
SHORT, LONG = 79, 167
STREAMS = 8
# The short streams end before the drain begins.
BEFORE_S = 3.0
SEND_INTERVAL_S = 0.25


class StatedLengthHarness(Harness):
    """A gateway and a server whose streams are as long as their paths say."""

    async def respond(self, exchange, attempt):
        exchange.answer(200, ((b"content-type", b"text/event-stream"),))
        path = exchange.request_id.partition("?")[0]
        for number in range(int(path.rpartition("-")[2])):
            exchange.add_body(b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(TOKEN_GAP_S)
        exchange.end()

    def send_stream(self, number, length, sent_s, stated=f"?{STATED_TOKENS}"):
        return self.send(f"/stream-resumable/{number}-{length}{stated}", sent_s)


class DrainAfterStartTest(unittest.TestCase):
    def test_late_streams_longer_than_all_before_are_not_cut(self):
        """Guards against a gateway that is stopped soon after its start, has measured
        only short streams, and takes a long one late in the drain, which it cuts."""

        self.check_late_streams(f"?{STATED_TOKENS}")

    def test_late_streams_without_stated_tokens_are_not_cut(self):
        """Guards against the same if callers state no tokens."""
        self.check_late_streams("")

    def check_late_streams(self, stated):
        async def scenario():
            harness = StatedLengthHarness(0.0, LONG_GRACE_S)
            for number in range(STREAMS):
                harness.send_stream(number, SHORT, -BEFORE_S, stated)
            await asyncio.sleep(BEFORE_S)
            now = asyncio.get_running_loop().time
            began, sent = now(), []
            draining = asyncio.ensure_future(harness.daemon._drain())
            await asyncio.sleep(LONG_GRACE_S / 4)
            while not draining.done():
                sent.append(harness.send_stream(len(sent), LONG, now() - began, stated))
                await asyncio.sleep(SEND_INTERVAL_S)
            return sent

        sent = run_in_virtual_time(scenario())
        cut = [
            (round(item.sent_s, 2), item.status)
            for item in sent
            if item.sent_s > 3.0 and not item.is_complete
        ]
        self.assertEqual([], cut)


if __name__ == "__main__":
    unittest.main()
