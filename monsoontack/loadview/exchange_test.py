"""Tests of the exchange of engine usage between entries, over loopback sockets."""

import asyncio
import json
import unittest
from collections import Counter
from dataclasses import replace

from monsoontack.gateway.peers import PeerEntry, call_peer, peer_pool
from monsoontack.gateway.records import CallerLimits
from monsoontack.inbound.memoryguard import MemoryGuard
from monsoontack.inbound.server import InboundServer
from monsoontack.loadview.exchange import PATH, LoadExchange
from monsoontack.loadview.messages import EngineUsage, LoadMessage, encode_message
from monsoontack.loadview.outbox import MAX_MESSAGES_PER_S, URGENT_AHEAD
from monsoontack.loadview.peerloads import PEER_EXPIRY_S, PeerLoads
from standins.gatewayfakes import HOME, make_fleet

ONE_RUN = EngineUsage(1, 8000, 9000)


def load_message(peer="a", is_full=False, **usage):
    return LoadMessage(peer, False, is_full, usage, {}, ())


class PeerLoadsTest(unittest.TestCase):
    def test_totals_add_up_over_peers(self):
        """Guards against an entry that counts the runs of only one peer."""
        loads = PeerLoads()
        loads.apply(load_message("a", True, e1=ONE_RUN), 1.0)
        loads.apply(load_message("b", True, e1=ONE_RUN, e2=ONE_RUN), 1.0)
        totals = loads.totals(1.1)
        self.assertEqual(EngineUsage(2, 16_000, 18_000), totals["e1"])
        self.assertEqual(ONE_RUN, totals["e2"])

    def test_prompt_that_was_read_is_told_from_one_that_was_given_up(self):
        """Load: engines hang; guards against a stream that waits for a hung engine,
        since a peer's stream has left it."""
        for runs, is_read in ((1, True), (0, False)):
            loads = PeerLoads()
            for at, usage in enumerate(
                (EngineUsage(1, 8000, 9000), EngineUsage(runs, 0, 9000 * runs))
            ):
                message = LoadMessage("p", False, at == 0, {"e": usage}, {}, ())
                loads.apply(message, float(at))
            self.assertEqual({"e": 1.0} if is_read else {}, loads.read_at)

    def test_ended_runs_leave_the_totals(self):
        """Guards against engines that look busy forever."""
        loads = PeerLoads()
        loads.apply(load_message("a", True, e1=ONE_RUN), 1.0)
        loads.apply(load_message("a", e1=EngineUsage()), 1.2)
        self.assertEqual({}, loads.totals(1.3))

    def test_partial_message_of_an_unknown_peer_is_not_applied(self):
        """Guards against totals that lack the runs reported before a restart."""
        loads = PeerLoads()
        self.assertFalse(loads.apply(load_message("a", e1=ONE_RUN), 1.0))
        self.assertEqual({}, loads.totals(1.0))

    def test_runs_of_a_silent_peer_expire(self):
        """Guards against the load of a dead entry being counted."""
        loads = PeerLoads()
        loads.apply(load_message("a", True, e1=ONE_RUN), 1.0)
        self.assertEqual({}, loads.totals(1.1 + PEER_EXPIRY_S))


class LoadExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Exchange between two entries, `one` and `two`, each with a listener."""

    async def asyncSetUp(self):
        self.pool, self.listeners, self.entries = peer_pool(), [], {}
        self.messages_received = Counter()
        self.one, self.two = (
            await self.start_entry("one"),
            await self.start_entry("two"),
        )
        self.fleet = make_fleet({"e1": HOME, "e2": HOME})

    async def asyncTearDown(self):
        for listener in self.listeners:
            listener.close()
        self.pool.close()

    async def start_entry(self, name):
        entry = LoadExchange(name, self.pool)
        limits = CallerLimits()

        async def handle(raw, responder):
            self.messages_received[name] += 1
            await entry.handle(raw, responder)

        server = InboundServer(handle, lambda: limits, MemoryGuard(10**6))
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

    async def flush_and_settle(self):
        """Wait until the next message is due, and send it."""
        await asyncio.sleep(0.05)
        self.one.flush()
        await self.settle()

    def loads_known_to_two(self):
        return self.two.peer_loads.totals(self.two.now())

    async def test_start_and_end_of_a_run_are_sent(self):
        """Guards against entries that all send their prompts to the same engine."""
        await self.connect()
        member = self.start_run()
        await self.flush_and_settle()
        self.assertEqual({"e1@0": ONE_RUN}, self.loads_known_to_two())
        member.in_flight = member.waiting_tokens = member.held_tokens = 0
        self.one.mark_changed([member], is_start=False)
        await self.flush_and_settle()
        self.assertEqual({}, self.loads_known_to_two())

    async def test_tokens_of_any_number_are_sent(self):
        """Guards against one request whose stated size makes the peers refuse all
        messages of this entry.
        """
        await self.connect()
        member = self.start_run()
        member.held_tokens, member.waiting_tokens = 10**30, -1
        self.start_run("e2")
        await self.flush_and_settle()
        loads = self.loads_known_to_two()
        self.assertEqual(ONE_RUN, loads["e2@0"])
        self.assertEqual(
            (2**53, 0), (loads["e1@0"].held_tokens, loads["e1@0"].waiting_tokens)
        )

    async def test_many_starts_make_few_messages(self):
        """Guards against a message rate that grows with the traffic of the fleet."""
        await self.connect()
        before, deadline = self.messages_received["two"], self.one.now() + 0.5
        while self.one.now() < deadline:
            self.start_run()
            await asyncio.sleep(0.001)
        await self.settle()
        message_count = self.messages_received["two"] - before
        self.assertLessEqual(message_count, 0.5 * MAX_MESSAGES_PER_S + 1)
        self.assertGreater(message_count, 1)

    async def test_peer_that_lost_its_state_gets_a_full_message(self):
        """Guards against a peer that gets changes but not the runs before them."""
        await self.connect()
        self.start_run("e1")
        await self.settle()
        self.two.peer_loads = PeerLoads()
        self.start_run("e2")
        await self.flush_and_settle()
        self.assertEqual({"e1@0", "e2@0"}, set(self.loads_known_to_two()))

    async def test_started_entry_receives_loads_and_prompts(self):
        """Guards against engines processing prompts again when the callers of a dead
        entry return through an entry that has just started."""
        await self.connect()
        self.start_run()
        await self.settle()
        self.one.recent_prompts = lambda: {"part-1": "e1@0"}
        prompts = {}
        self.two.peer_loads, self.two.outboxes = PeerLoads(), {}
        self.two.on_prompt = prompts.__setitem__
        self.two.set_peers(self.entries)
        await self.settle()
        self.assertEqual({"e1@0"}, set(self.loads_known_to_two()))
        self.assertEqual({"part-1": "e1@0"}, prompts)

    async def test_failed_engines_and_prompts_are_sent(self):
        """Guards against a dead engine that attracts the prompts of every entry."""
        await self.connect()
        failed, prompts = [], {}
        self.two.on_failed, self.two.on_prompt = failed.append, prompts.__setitem__
        self.one.announce_failure(self.fleet.members["e2"])
        self.one.announce_prompt("part-1", self.fleet.members["e1"])
        self.start_run()
        await self.flush_and_settle()
        self.assertEqual(["e2@0"], failed)
        self.assertEqual({"part-1": "e1@0"}, prompts)

    async def test_stale_and_alive_starts_are_sent_ahead_of_the_rate(self):
        """Guards against entries that learn one by one that a domain restarted, and
        against an announcement that waits behind the end of a run."""
        await self.connect()
        heard = []
        self.two.on_stale = lambda start_key: heard.append(("stale", start_key))
        self.two.on_alive = lambda start_key: heard.append(("alive", start_key))
        outbox = self.one.outboxes["two"]
        outbox.next_send_at = self.one.now() + 0.03
        self.start_run()
        self.assertIsNotNone(outbox.timer)
        self.one.announce_stale("e1@0")
        await self.settle()
        self.one.announce_alive("e1@0")
        await self.settle()
        self.assertEqual([("stale", "e1@0"), ("alive", "e1@0")], heard)
        self.assertEqual({"e1@0": ONE_RUN}, self.loads_known_to_two())

    async def test_many_announcements_make_few_messages(self):
        """Guards against a message per engine when a flapping domain is announced."""
        await self.connect()
        heard, before, began_at = [], self.messages_received["two"], self.one.now()
        self.two.on_stale = heard.append
        for number in range(600):
            self.one.announce_stale(f"e{number}@0")
            await asyncio.sleep(0)
        while self.one.outboxes["two"].stale:
            await asyncio.sleep(0.01)
        await self.settle()
        self.assertEqual({f"e{number}@0" for number in range(600)}, set(heard))
        allowed = MAX_MESSAGES_PER_S * (self.one.now() - began_at) + URGENT_AHEAD + 1
        self.assertLessEqual(self.messages_received["two"] - before, allowed)

    async def test_waiting_requests_are_reported(self):
        """Guards against an entry that gives a free slot to a less urgent request than
        one that waits elsewhere, and against requests that wait forever elsewhere."""
        reports, waiting = [], {"chat": {0: (2, 16_000), 2: (1, 10**30)}}
        self.two.on_report = lambda: reports.append(1)
        await self.connect()
        reports.clear()
        self.one.own_waiting = lambda: waiting
        self.one.mark_waiting_changed()
        await self.flush_and_settle()
        now = self.two.now()
        self.assertEqual(
            {0: (2, 16_000), 2: (1, 2**53)}, self.two.peer_waiting("chat", now)
        )
        self.assertEqual([1], reports)
        self.assertLess(self.two.view_age_s(now), 0.5)
        late = now + PEER_EXPIRY_S + 0.1
        self.assertEqual({}, self.two.peer_waiting("chat", late))
        self.one.own_waiting = dict
        self.one.mark_waiting_changed()
        self.two.outboxes.clear()
        await self.flush_and_settle()
        self.assertEqual({}, self.two.peer_waiting("chat", self.two.now()))

    async def test_calls_are_reported_in_messages_that_streams_cause(self):
        """Guards against gateways that all send calls to the same busy server, and
        against messages for each call."""
        await self.connect()
        called = self.fleet.members["e2"]
        called.in_flight = 3
        for _ in range(40):
            self.one.note_call(called)
            self.one.own_calls.sample(0.2)
        before = self.messages_received["two"]
        await self.flush_and_settle()
        self.assertEqual(before, self.messages_received["two"])
        self.one.outboxes["two"].calls_due_at = 0.0
        self.start_run("e1")
        await self.flush_and_settle()
        now = self.two.now()
        self.assertAlmostEqual(3.0, self.two.peer_calls(now)["e2@0"], delta=0.1)
        self.assertEqual({}, self.two.peer_calls(now + PEER_EXPIRY_S + 0.1))
        called.in_flight = 0
        for _ in range(100):
            self.one.own_calls.sample(0.2)
        self.one.outboxes["two"].calls_due_at = 0.0
        self.two.outboxes.clear()
        self.start_run("e1")
        await self.flush_and_settle()
        self.assertEqual({}, self.two.peer_calls(self.two.now()))

    async def test_view_is_out_of_date_without_any_reachable_peer(self):
        """Guards against an entry that is cut off and takes all engines for idle."""
        await self.connect()
        self.assertEqual(0.0, self.two.view_age_s(self.two.now()))
        self.listeners[0].close()
        self.pool.close()
        self.two.announce_alive("e2@0")
        await self.settle()
        self.assertEqual(float("inf"), self.two.view_age_s(self.two.now()))

    def restart(self, engine="e1"):
        """Replace an engine by its next start; return the former one."""
        former = self.fleet.members[engine]
        started = former.server.started_unix_ms + 1000
        self.fleet.put(replace(former.server, started_unix_ms=started), False)
        return former

    async def test_end_of_a_run_at_a_former_start_leaves_the_load_of_the_next(self):
        """Guards against a restarted engine that looks idle to other entries, because
        runs that its former start broke off end."""
        await self.connect()
        self.start_run()
        former = self.restart()
        self.start_run()
        former.in_flight = former.waiting_tokens = former.held_tokens = 0
        self.one.mark_changed([former], is_start=False)
        await self.flush_and_settle()
        self.assertEqual([ONE_RUN], list(self.loads_known_to_two().values()))

    async def test_failure_of_a_former_start_does_not_suspect_the_next(self):
        """Guards against a restarted engine that gets no runs for seconds, because
        another entry reports that its former start could not be reached."""
        await self.connect()
        self.two.on_failed = lambda engine: self.fleet.note_reported_unreachable(
            engine, 10.0
        )
        self.one.announce_failure(self.restart())
        await self.flush_and_settle()
        self.assertFalse(self.fleet.members["e1"].is_suspect(10.1))
        self.one.announce_failure(self.fleet.members["e1"])
        await self.flush_and_settle()
        self.assertTrue(self.fleet.members["e1"].is_suspect(10.1))

    async def test_runs_of_an_unreachable_peer_are_dropped(self):
        """Guards against engines that look busy after many entries have died."""
        await self.connect()
        self.start_run()
        await self.settle()
        self.listeners[0].close()
        self.pool.close()
        self.two.mark_changed([self.fleet.members["e2"]], is_start=True)
        await self.settle()
        self.assertEqual({}, self.loads_known_to_two())

    async def test_unreachable_peer_does_not_accumulate_state(self):
        """Guards against an entry that keeps every engine that ever had a run because
        one registered peer never answers."""
        await self.connect()
        self.listeners[1].close()
        self.pool.close()
        members = make_fleet({f"x{n}": HOME for n in range(50)}).members
        for member in members.values():
            outbox = next(iter(self.one.outboxes.values()))
            outbox.paused_until = outbox.next_send_at = 0.0
            member.in_flight = 1
            self.one.mark_changed([member], is_start=True)
            member.in_flight = 0
            await self.settle()
        self.one.flush()
        self.assertLessEqual(len(outbox.changed), 1)
        self.assertLessEqual(len(self.one.own_members), 1)

    async def test_malformed_message_changes_nothing(self):
        """Guards against an entry that fails on the message of another version."""
        peer = self.entries["two"]
        start = b'{"name": "x", "full": true, "engines": {"e1@0": [1, 1, 1]}, '
        for body in (
            b"{",
            b"[]",
            b'{"name": "x"}',
            b'{"engines": 5, "name": "x"}',
            start + b'"waiting": {"chat": [[0, -1, 5]]}}',
            start + b'"waiting": {"chat": [[0, 1]]}}',
            start + b'"stale": [5]}',
            start + b'"alive": ["a"' + 300 * b', "a"' + b"]}",
        ):
            response = await call_peer(self.pool, peer, PATH, 1.0, body)
            self.assertEqual(400, response.status)
        self.assertEqual({}, self.loads_known_to_two())

    async def test_message_is_small(self):
        """Guards against messages that grow with the fleet: the start of a run names
        only its engine and the engine that holds the backup copy."""
        await self.connect()
        self.start_run("e1")
        await self.settle()
        outbox = next(iter(self.one.outboxes.values()))
        outbox.changed = {"e1@0", "e2@0"}
        body = encode_message(self.one._take_message(outbox))
        self.assertEqual({"e1@0", "e2@0"}, set(json.loads(body)["engines"]))
        self.assertLess(len(body), 200)


if __name__ == "__main__":
    unittest.main()
