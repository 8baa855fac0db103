"""Tests of long answers of calls whose caller leaves."""

import asyncio
import unittest

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.callrun import MAX_BUFFERED_RESPONSE_BYTES
from monsoontack.gateway.calls_test import make_forwarder
from monsoontack.gateway.records import RequestKind
from standins.gatewayfakes import make_job, make_route

LEAVES_S = 1.0


class LongAnswerTest(unittest.TestCase):
    def test_server_stops_soon_after_the_caller_of_a_long_answer_has_left(self):
        """Guards against a server that works on a long answer of which the caller has
        got a part and left, until its next byte or the deadline."""

        async def play(exchange, attempt):
            exchange.answer(200)
            exchange.add_body(b"x" * (MAX_BUFFERED_RESPONSE_BYTES + 1))
            await asyncio.sleep(100)

        async def scenario():
            forwarder = make_forwarder({"s1": play})
            job = make_job(make_route(RequestKind.IDEMPOTENT), deadline_s=20.0)
            loop = asyncio.get_running_loop()
            loop.call_later(LEAVES_S, job.responder.disconnect)
            await forwarder.serve(job)
            return forwarder.sender.exchanges

        for exchange in run_in_virtual_time(scenario()):
            self.assertLess(exchange.aborted_at, LEAVES_S + 0.5)


if __name__ == "__main__":
    unittest.main()
