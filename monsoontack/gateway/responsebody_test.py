"""Tests of reading whole answers of the store and of peers, on a paused clock."""

import asyncio
import unittest

from monsoontack.core.pausedloop import run_paused
from monsoontack.gateway.outbound import ExchangeFailure, FailureKind, HttpExchange
from monsoontack.gateway.responsebody import read_response_body


class ReadWholeTest(unittest.TestCase):
    def read(self, play, max_bytes=1000, wait_s=5.0):
        async def scenario():
            loop = asyncio.get_running_loop()
            exchange = HttpExchange(None)
            task = asyncio.ensure_future(play(exchange))
            found = await read_response_body(exchange, loop.time() + wait_s, max_bytes)
            task.cancel()
            return found, loop.time()

        return run_paused(scenario())

    def test_answer_without_end_is_given_up_at_the_bound(self):
        """Guards against a store or a peer whose answer takes all memory."""

        async def endless(exchange):
            while True:
                exchange.parts.append(b"x" * 100)
                exchange.wake()
                await asyncio.sleep(0.01)

        found, took_s = self.read(endless)
        self.assertIsInstance(found, ExchangeFailure)
        self.assertEqual(FailureKind.OVERSIZED, found.kind)
        self.assertLess(took_s, 1.0)

    def test_answer_that_drips_is_given_up_in_time(self):
        """Guards against a call that a byte now and then keeps for ever."""

        async def dripping(exchange):
            while True:
                exchange.parts.append(b"x")
                exchange.wake()
                await asyncio.sleep(0.4)

        found, took_s = self.read(dripping)
        self.assertEqual(FailureKind.SILENT, found.kind)
        self.assertLess(took_s, 5.5)

    def test_whole_answer_is_returned(self):
        """Guards against a bound that cuts a sound answer."""

        async def whole(exchange):
            exchange.parts.append(b"x" * 1000)
            exchange.is_complete = True
            exchange.wake()

        found, _ = self.read(whole)
        self.assertEqual(b"x" * 1000, found)


if __name__ == "__main__":
    unittest.main()
