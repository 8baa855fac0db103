"""Tests of reading response bodies of the store and of peers, on a paused clock."""

import asyncio
import unittest

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.outbound import ExchangeFailure, FailureKind, HttpExchange
from monsoontack.gateway.responsebody import read_response_body


class ReadResponseBodyTest(unittest.TestCase):
    def read(self, play, max_bytes=1000, wait_s=5.0):
        async def scenario():
            loop = asyncio.get_running_loop()
            exchange = HttpExchange(None)
            task = asyncio.ensure_future(play(exchange))
            found = await read_response_body(exchange, loop.time() + wait_s, max_bytes)
            task.cancel()
            return found, loop.time()

        return run_in_virtual_time(scenario())

    def test_endless_response_fails_at_the_size_limit(self):
        """Guards against a response of a store or peer that uses up the memory."""

        async def endless(exchange):
            while True:
                exchange.parts.append(b"x" * 100)
                exchange.wake()
                await asyncio.sleep(0.01)

        found, took_s = self.read(endless)
        self.assertIsInstance(found, ExchangeFailure)
        self.assertEqual(FailureKind.OVERSIZED, found.kind)
        self.assertLess(took_s, 1.0)

    def test_trickling_response_fails_at_the_deadline(self):
        """Guards against a call that never ends because single bytes keep arriving."""

        async def trickling(exchange):
            while True:
                exchange.parts.append(b"x")
                exchange.wake()
                await asyncio.sleep(0.4)

        found, took_s = self.read(trickling)
        self.assertEqual(FailureKind.SILENT, found.kind)
        self.assertLess(took_s, 5.5)

    def test_complete_response_is_returned(self):
        """Guards against a size limit that rejects a response of exactly that size."""

        async def complete(exchange):
            exchange.parts.append(b"x" * 1000)
            exchange.is_complete = True
            exchange.wake()

        found, _ = self.read(complete)
        self.assertEqual(b"x" * 1000, found)


if __name__ == "__main__":
    unittest.main()
