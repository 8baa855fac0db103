"""Tests of what entries tell each other about engines, over loopback sockets."""

import asyncio
import json
import unittest
from collections import Counter

from monsoontack.gateway.inbound import BodyBudget, InboundServer
from monsoontack.gateway.loadexchange import (
    FORGET_S,
    MAX_MESSAGES_PER_S,
    PATH,
    EngineUsage,
    LoadExchange,
    LoadMessage,
    PeerLoads,
)
from monsoontack.gateway.peers import PeerEntry, call_peer, peer_pool
from monsoontack.gateway.records import CallerLimits
from standins.gatewayparts import HOME, make_fleet

ONE_RUN = EngineUsage(1, 8000, 9000)


def news(peer="a", is_full=False, **uses):
    return LoadMessage(peer, False, is_full, uses, {}, ())


class LoadBookTest(unittest.TestCase):
    def test_totals_add_up_over_peers(self):
        """Guards against an entry that sees only one other entry's runs."""
        book = PeerLoads()
        book.apply(news("a", True, e1=ONE_RUN), 1.0)
        book.apply(news("b", True, e1=ONE_RUN, e2=ONE_RUN), 1.0)
        totals = book.totals(1.1)
        self.assertEqual(EngineUsage(2, 16_000, 18_000), totals["e1"])
        self.assertEqual(ONE_RUN, totals["e2"])

    def test_ended_runs_leave_the_book(self):
        """Guards against engines that look busy for ever."""
        book = PeerLoads()
        book.apply(news("a", True, e1=ONE_RUN), 1.0)
        book.apply(news("a", e1=EngineUsage()), 1.2)
        self.assertEqual({}, book.totals(1.3))

    def test_changes_of_an_unknown_peer_are_not_taken_for_all(self):
        """Guards against a picture without the runs from before a restart."""
        book = PeerLoads()
        self.assertFalse(book.apply(news("a", e1=ONE_RUN), 1.0))
        self.assertEqual({}, book.totals(1.0))

    def test_runs_of_a_silent_peer_end(self):
        """Guards against the load of an entry that died."""
        book = PeerLoads()
        book.apply(news("a", True, e1=ONE_RUN), 1.0)
        self.assertEqual({}, book.totals(1.1 + FORGET_S))


class LoadNewsTest(unittest.IsolatedAsyncioTestCase):
    """Two entries, each with a listener for its peers."""

    async def asyncSetUp(self):
        self.pool, self.listeners, self.entries = peer_pool(), [], {}
        self.heard = Counter()
        self.one, self.two = await self.make("one"), await self.make("two")
        self.fleet = make_fleet({"e1": HOME, "e2": HOME})

    async def asyncTearDown(self):
        for listener in self.listeners:
            listener.close()
        self.pool.close()

    async def make(self, name):
        entry = LoadExchange(name, self.pool)
        limits = CallerLimits()

        async def handle(raw, responder):
            self.heard[name] += 1
            await entry.handle(raw, responder)

        server = InboundServer(handle, lambda: limits, BodyBudget(10**6))
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(server.make_connection, "127.0.0.1", 0)
        self.listeners.append(listener)
        port = listener.sockets[0].getsockname()[1]
        self.entries[name] = PeerEntry(name, "north", f"127.0.0.1:{port}")
        return entry

    async def connect(self):
        for entry in (self.one, self.two):
            entry.set_peers(self.entries)
        await self.settle()

    async def settle(self):
        while self.one.tasks or self.two.tasks:
            await asyncio.gather(*self.one.tasks, *self.two.tasks)

    def start_run(self, engine="e1"):
        member = self.fleet.members[engine]
        member.in_flight, member.waiting_tokens, member.held_tokens = 1, 8000, 9000
        self.one.mark_changed([member], is_start=True)
        return member

    async def later(self):
        """Let the next message be due, and arrive."""
        await asyncio.sleep(0.05)
        self.one.flush()
        await self.settle()

    def seen(self):
        return self.two.peer_loads.totals(self.two.now())

    async def test_start_and_end_of_a_run_are_told(self):
        """Guards against entries that send prompts to the same engine."""
        await self.connect()
        member = self.start_run()
        await self.later()
        self.assertEqual({"e1": ONE_RUN}, self.seen())
        member.in_flight = member.waiting_tokens = member.held_tokens = 0
        self.one.mark_changed([member], is_start=False)
        await self.later()
        self.assertEqual({}, self.seen())

    async def test_many_starts_make_few_messages(self):
        """Guards against work that grows with the traffic of a large fleet."""
        await self.connect()
        before, until = self.heard["two"], self.one.now() + 0.5
        while self.one.now() < until:
            self.start_run()
            await asyncio.sleep(0.001)
        await self.settle()
        heard = self.heard["two"] - before
        self.assertLessEqual(heard, 0.5 * MAX_MESSAGES_PER_S + 1)
        self.assertGreater(heard, 1)

    async def test_peer_that_forgot_gets_everything(self):
        """Guards against a peer that hears changes but not what ran before."""
        await self.connect()
        self.start_run("e1")
        await self.settle()
        self.two.peer_loads = PeerLoads()
        self.start_run("e2")
        await self.later()
        self.assertEqual({"e1", "e2"}, set(self.seen()))

    async def test_entry_that_starts_is_told_loads_and_prompts(self):
        """Guards against prompts read anew when callers of a dead entry come back to
        one that has just started."""
        await self.connect()
        self.start_run()
        await self.settle()
        self.one.recent_prompts = lambda: {"part-1": "e1"}
        told = {}
        self.two.peer_loads, self.two.lines = PeerLoads(), {}
        self.two.on_prompt = told.__setitem__
        self.two.set_peers(self.entries)
        await self.settle()
        self.assertEqual({"e1"}, set(self.seen()))
        self.assertEqual({"part-1": "e1"}, told)

    async def test_failed_engines_and_prompts_are_told(self):
        """Guards against a dead engine that draws the prompts of every entry."""
        await self.connect()
        failed, told = [], {}
        self.two.on_failed, self.two.on_prompt = failed.append, told.__setitem__
        self.one.announce_failure(self.fleet.members["e2"])
        self.one.announce_prompt("part-1", "e1")
        self.start_run()
        await self.later()
        self.assertEqual(["e2"], failed)
        self.assertEqual({"part-1": "e1"}, told)

    async def test_runs_of_a_peer_that_cannot_be_reached_end(self):
        """Guards against engines that look busy after the loss of many entries."""
        await self.connect()
        self.start_run()
        await self.settle()
        self.listeners[0].close()
        self.pool.close()
        self.two.mark_changed([self.fleet.members["e2"]], is_start=True)
        await self.settle()
        self.assertEqual({}, self.seen())

    async def test_peer_that_is_gone_for_good_costs_no_memory(self):
        """Guards against an entry that keeps every engine that ever ran something
        because one peer of the census never answers."""
        await self.connect()
        self.listeners[1].close()
        self.pool.close()
        members = make_fleet({f"x{n}": HOME for n in range(50)}).members
        for member in members.values():
            line = next(iter(self.one.lines.values()))
            line.paused_until = line.next_at = 0.0
            member.in_flight = 1
            self.one.mark_changed([member], is_start=True)
            member.in_flight = 0
            await self.settle()
        self.one.flush()
        self.assertLessEqual(len(line.changed), 1)
        self.assertLessEqual(len(self.one.own), 1)

    async def test_message_that_cannot_be_read_changes_nothing(self):
        """Guards against an entry that fails over another version's message."""
        address = self.entries["two"].address
        for body in (b"{", b"[]", b'{"name": "x"}', b'{"engines": 5, "name": "x"}'):
            answer = await call_peer(self.pool, address, PATH, 1.0, body)
            self.assertEqual(400, answer.status)
        self.assertEqual({}, self.seen())

    async def test_message_is_small(self):
        """Guards against messages that grow with the fleet: a start names one
        engine and its copy's."""
        await self.connect()
        self.start_run("e1")
        await self.settle()
        line = next(iter(self.one.lines.values()))
        line.changed = {"e1", "e2"}
        message = json.loads(self.one._body(line))
        self.assertEqual({"e1", "e2"}, set(message["engines"]))
        self.assertLess(len(self.one._body(line)), 200)


if __name__ == "__main__":
    unittest.main()
