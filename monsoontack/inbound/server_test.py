"""Tests of the limits on connections and of shedding, without a network."""

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.records import CallerLimits
from monsoontack.inbound.limits import InboundLimits
from monsoontack.inbound.memoryguard import MemoryGuard
from monsoontack.inbound.server import MAX_LINGERING, READ_BYTES, InboundServer
from standins.gatewayfakes import FakeTransport
from standins.mutations import DETERMINISTIC_SETTINGS

POST = b"POST /a HTTP/1.1\r\nHost: h\r\n"
LIMITS = CallerLimits(16_384, 200_000, 30.0, 30.0)


class AddressTransport(FakeTransport):
    """Transport of a caller at an address."""

    def __init__(self, address):
        super().__init__()
        self.address = address

    def get_extra_info(self, name, default=None):
        return (self.address, 1) if name == "peername" else default


class Harness:
    """A server; `seen` has the targets of its requests, `refused` the reasons."""

    def __init__(self, memory_bytes=10**8, **limits):
        self.seen, self.refused = [], []
        self.server = InboundServer(
            self.handle,
            lambda: LIMITS,
            MemoryGuard(memory_bytes),
            inbound=InboundLimits(**limits),
            on_refusal=lambda refusal: self.refused.append(refusal.reason),
        )

    async def handle(self, raw, responder):
        self.seen.append(raw.target)
        responder.send(200, (), b"ok")

    def connect(self, address="10.0.0.1", data=b""):
        connection = self.server.make_connection()
        connection.connection_made(AddressTransport(address))
        for start in range(0, len(data), READ_BYTES):
            if connection.transport.reading:
                connection.data_received(data[start : start + READ_BYTES])
        return connection


class ConnectionLimitTest(unittest.TestCase):
    def test_connections_above_the_limit_get_503_until_idle_ones_make_room(self):
        """Guards against callers that take the descriptors of engines and peers."""

        async def scenario():
            harness = Harness(connections=20)
            busy = [harness.connect(data=POST) for _ in range(10)]
            idle = [harness.connect() for _ in range(10)]
            refused = harness.connect()
            written = bytes(refused.transport.written)
            many = [harness.connect() for _ in range(MAX_LINGERING)]
            await asyncio.sleep(0.6)
            late = harness.connect(data=POST + b"\r\n")
            await asyncio.sleep(0.1)
            return harness, busy, idle, written, many, late

        harness, busy, idle, written, many, late = run_in_virtual_time(scenario())
        self.assertIn(b"HTTP/1.1 503", written)
        self.assertIn(b"connection: close", written)
        self.assertIn(b"retry-after", written)
        self.assertTrue(many[-1].transport.aborted)
        self.assertTrue(all(item.transport.closed for item in many))
        self.assertEqual({"connections"}, set(harness.refused))
        self.assertTrue(any(item.transport.closed for item in idle))
        self.assertFalse(any(item.transport.closed for item in busy))
        self.assertIn(b"HTTP/1.1 200", late.transport.written)

    def test_connections_of_one_address_are_limited_if_stated(self):
        """Guards against one caller that takes all connections, and against a default
        that limits callers behind one balancer."""

        async def scenario():
            harness = Harness(connections_per_address=3)
            found = [harness.connect() for _ in range(4)]
            other = harness.connect("10.0.0.2")
            found[0].connection_lost(None)
            again = harness.connect()
            unlimited = Harness()
            many = [unlimited.connect() for _ in range(1000)]
            return harness.refused, found, other, again, many

        refused, found, other, again, many = run_in_virtual_time(scenario())
        self.assertEqual(["address_connections"], refused)
        self.assertIn(b" 503 ", found[3].transport.written)
        for connection in (other, again, *many):
            self.assertEqual(b"", connection.transport.written)


class ShortageTest(unittest.TestCase):
    def test_stalled_bodies_are_refused_and_a_new_one_is_served(self):
        """Guards against incomplete bodies that hold the memory until a timeout."""

        async def scenario():
            harness = Harness(memory_bytes=2_000_000)
            head = POST + b"Content-Length: 150000\r\n\r\n"
            stalled = [harness.connect(data=head + b"x" * 149_999) for _ in range(40)]
            caller = harness.connect(data=POST + b"Content-Length: 6\r\n\r\nabc")
            caller.data_received(b"def")
            await asyncio.sleep(0.1)
            served_at_once = list(harness.seen)
            await asyncio.sleep(8.0)
            statuses = [bytes(item.transport.written[9:12]) for item in stalled]
            for item in (*stalled, caller):
                item.connection_lost(None)
            return harness, served_at_once, statuses

        harness, served_at_once, statuses = run_in_virtual_time(scenario())
        self.assertEqual([b"/a"], served_at_once)
        self.assertIn(b"503", statuses)
        # Those that fit are left alone once the shortage is over.
        self.assertIn(b"", statuses)
        self.assertEqual({"memory"}, set(harness.refused))
        self.assertEqual(0, harness.server.memory.account.used_bytes)

    @DETERMINISTIC_SETTINGS
    @given(
        st.lists(
            st.tuples(
                st.integers(0, 5),
                st.sampled_from(
                    (
                        POST + b"\r\n",
                        POST + b"a:b\r\n" * 2000,
                        POST + b"Content-Length: 9000\r\n\r\n" + b"x" * 8000,
                        b"x" * 1000,
                        (POST + b"\r\n") * 30,
                        b"\r\n" * 500,
                    )
                ),
                st.sampled_from((0.0, 0.03, 2.0)),
            ),
            max_size=30,
        )
    )
    def test_account_is_empty_when_all_connections_have_ended(self, steps):
        """Guards against an account that drifts with requests, shortages, refusals and
        closed connections, until nothing is read any more."""

        async def scenario():
            harness = Harness(memory_bytes=400_000)
            account = harness.server.memory.account
            connections = {}
            for number, data, wait_s in steps:
                connection = connections.get(number)
                if connection is None or connection.transport.closed:
                    if connection is not None:
                        connection.connection_lost(None)
                    connection = connections[number] = harness.connect()
                if connection.transport.reading:
                    connection.data_received(data)
                self.assertGreaterEqual(account.used_bytes, 0)
                await asyncio.sleep(wait_s)
            for connection in connections.values():
                connection.connection_lost(None)
            await asyncio.sleep(1.0)
            return harness.server

        server = run_in_virtual_time(scenario())
        account = server.memory.account
        self.assertEqual((0, set(), {}), (account.used_bytes, account.holdings, {}))
        self.assertEqual((0, 0), (len(server.connections), len(server.by_address)))
        self.assertEqual({}, account.paused)


if __name__ == "__main__":
    unittest.main()
