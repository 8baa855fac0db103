"""Tests of the stand-in server: what it counts as said to a gateway."""

import asyncio
import unittest

from standins.directengine import RAW_ERROR, DirectEngine, make_event, wrong_events

REQUEST = b"GET /look/x HTTP/1.1\r\nHost: x\r\nX-Monsoontack-Request-Id: %s\r\n\r\n"
SILENT_S = 0.3


class StatementTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.engine = DirectEngine("e1", retry_after="3")
        await self.engine.start()
        self.addAsyncCleanup(self.engine.close)

    async def send(self, request_id):
        host, _, port = self.engine.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST % request_id)
        return reader, writer

    async def test_refusal_on_a_closed_connection_is_not_counted_as_said(self):
        """Guards against a soak that blames a gateway for a wait it was not told."""
        self.engine.silent_until = asyncio.get_running_loop().time() + SILENT_S
        _, left = await self.send(b"left")
        reader, waiting = await self.send(b"waiting")
        await asyncio.sleep(SILENT_S / 3)
        left.transport.abort()
        head = await reader.readuntil(b"\r\n\r\n")
        waiting.transport.abort()
        self.assertIn(b"retry-after: 3", head.lower())
        self.assertEqual(["waiting"], [said[0] for said in self.engine.waits_said])


class WrongEventsTest(unittest.TestCase):
    def test_events_that_look_right_belong_to_the_stream(self):
        """Guards against a soak that blames a gateway for events that its server has
        invented behind the last one."""
        for behavior in ("raw_head", "raw_head_in_chunk"):
            for last, right in ((40, [41, 42]), (49, [50]), (50, [])):
                *events, error = wrong_events(behavior, last, 50)
                self.assertEqual([make_event(number) for number in right], events)
                self.assertIs(RAW_ERROR, error)


if __name__ == "__main__":
    unittest.main()
