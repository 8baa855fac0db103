"""Tests of generations against real agents' state on the paused loop.

The links carry real messages between `GenerationManager` and the agent's core; only
gRPC and the engine are replaced. Faults strike at token positions.
"""

import asyncio
import random
import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from monsoontack.agent.backend import BackendFailure, EngineTokens
from monsoontack.agent.core import Agent
from monsoontack.agent.server import LinkServicer
from monsoontack.core.counters import Counters
from monsoontack.core.records import Place, RouteRequest
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.entry.defaults import LeastLoadedPicker, OutcomeCounter
from monsoontack.entry.generations import GenerationManager
from monsoontack.entry.links import Link, LinkIdentity, LinkPool, SilenceLimits
from monsoontack.entry.session import GenerationRequest, GenerationSession
from monsoontack.generation.attempts import AttemptLog
from monsoontack.generation.eventid import new_generation
from monsoontack.generation.progress import MONITOR_INTERVAL_S
from monsoontack.settings.models import AgentSettings

LENGTH = 60
GAP_S = 0.05
OUTAGE_S = 4.0
# Worst time in seconds without output after one loss.
WORST_S = 5.0
PLACE = Place("a", "r")
ANSWER = [1000 + position for position in range(LENGTH)]


class FakeEngine:
    def __init__(self):
        self.works = asyncio.Event()
        self.works.set()
        self.broken = False
        self.crossed = 0

    async def generate(self, request_id, start):
        if self.broken:
            yield BackendFailure("backend_failed", "down", False)
            return
        for position in range(len(start.prefix), LENGTH):
            await asyncio.sleep(GAP_S)
            await self.works.wait()
            if self.broken:
                yield BackendFailure("backend_failed", "broke", True)
                return
            finish = "length" if position + 1 == LENGTH else ""
            yield EngineTokens(position, (ANSWER[position],), ("t",), finish)

    async def cancel(self, request_id):
        pass


class FakeAgent:
    """An agent that can die, vanish or fall silent on its present links."""

    def __init__(self, address):
        self.address = address
        self.start()

    def start(self):
        loop = asyncio.get_running_loop()
        agent_settings = AgentSettings(
            name=self.address,
            vm=self.address,
            failure_domain="a",
            region="r",
            store_url="http://127.0.0.1:1",
            vm_list_url="http://127.0.0.1:1",
            link_address=self.address,
            operator_address=self.address,
            backend={
                "url": "http://127.0.0.1:1",
                "kind": "engine",
                "service": "s",
                "versions": ("v1",),
            },
        )
        self.engine = FakeEngine()
        self.agent = Agent(agent_settings, self.engine, None, loop.time)
        self.muted = set()
        self.connections = set()
        self.refuses = self.vanished = False

    async def fault(self, kind):
        if kind == "engine_fails":
            self.engine.broken = True
            await asyncio.sleep(OUTAGE_S)
            self.engine.broken = False
        elif kind == "engine_pauses":
            self.engine.works.clear()
            await asyncio.sleep(OUTAGE_S)
            self.engine.works.set()
        elif kind == "link_breaks":
            self.break_links()
        elif kind == "link_silent":
            self.muted |= self.connections
        elif kind == "agent_dies":
            self.break_links()
            self.refuses = True
            await asyncio.sleep(OUTAGE_S)
            self.start()
        elif kind == "agent_vanishes":
            self.muted |= self.connections
            self.vanished = True
            await asyncio.sleep(OUTAGE_S)
            self.vanished = False

    def break_links(self):
        for task in list(self.connections):
            task.cancel()


class FakeLink(Link):
    def __init__(self, net, address, identity, listener):
        self.net = net
        super().__init__(address, identity, listener)

    async def _run(self):
        agent = self.net[self.address]
        try:
            if agent.vanished:
                await asyncio.Event().wait()
            if not agent.refuses:
                await self.carry(agent)
        except asyncio.CancelledError:
            if self.is_closed:
                raise
        finally:
            self._handle_end()

    async def carry(self, agent):
        task = asyncio.current_task()
        agent.connections.add(task)
        link = self

        class Context:
            async def write(self, frame):
                await asyncio.sleep(0)
                if task not in agent.muted:
                    link._handle_frame(frame)

        messages = self._messages()
        servicer = LinkServicer(agent.agent)
        try:
            await servicer.Connect(messages, Context())
        finally:
            agent.connections.discard(task)


class FakeEntry:
    def __init__(self, name, net, rng):
        self.generations = GenerationManager(
            LeastLoadedPicker(), OutcomeCounter(), Counters(), rng
        )

        def open_link(*arguments):
            return FakeLink(net, *arguments)

        identity = LinkIdentity(name, PLACE)
        self.pool = LinkPool(
            identity, self.generations, rng, SilenceLimits(1.0, 5.0), open_link
        )
        self.pool.in_flight = self.generations.in_flight
        self.pool.awaited_addresses = self.generations.awaited_addresses
        self.generations.pool = self.pool
        for address in net:
            self.pool.get_or_open(address)
        self.runs = asyncio.Event()
        self.runs.set()
        self.monitor = asyncio.ensure_future(self.tick())
        self.net = net

    async def tick(self):
        while True:
            await asyncio.sleep(MONITOR_INTERVAL_S)
            await self.runs.wait()
            now = asyncio.get_running_loop().time()
            for address, agent in self.net.items():
                if not agent.refuses:
                    self.pool.get_or_open(address)
            self.pool.tick(now)
            self.generations.tick(now)


def make_session(log):
    route = RouteRequest("s", "v1", "account")
    request = GenerationRequest(route, "completions", b"{}", LENGTH, 1, True)
    return GenerationSession(request, log, asyncio.get_running_loop().time())


class Call:
    """A caller that follows one answer through faults and reconnects."""

    def __init__(self, rng, faults, sends_tokens=True, entries=2):
        self.rng = rng
        self.faults = sorted(faults)
        self.sends_tokens = sends_tokens
        self.net = {
            address: FakeAgent(address)
            for address in ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1")
        }
        self.entries = [FakeEntry(f"e{i}", self.net, rng) for i in range(entries)]
        self.received = []
        self.longest_gap = 0.0
        self.former = []

    async def run(self):
        """Return the error that ended the answer, or None after all of it."""
        await asyncio.sleep(0.5)
        log = AttemptLog(new_generation("v1", self.rng), "v1")
        session = make_session(log)
        entry = self.entries[0]
        entry.generations.begin(session)
        loop = asyncio.get_running_loop()
        newest_at = loop.time()
        while True:
            while self.faults and len(self.received) >= self.faults[0][0]:
                _, kind = self.faults.pop(0)
                entry, session = self.strike(kind, entry, session)
            await session.wait(0.5)
            if session.has_tokens:
                chunk = session.take()
                self.longest_gap = max(self.longest_gap, loop.time() - newest_at)
                newest_at = loop.time()
                assert chunk.first_position == len(self.received)
                self.received.extend(chunk.tokens)
                if chunk.finish:
                    return None
            elif session.error is not None:
                return session.error

    def close(self):
        for entry in self.entries:
            entry.monitor.cancel()
            sessions = entry.generations.sessions.values()
            held = Counter(session.state.address for session in sessions)
            assert held == +entry.generations.held
            entry.generations.sessions.clear()
            entry.generations.held.clear()
            entry.pool.close()

    def strike(self, kind, entry, session):
        address = session.state.address
        if kind != "reconnect":
            self.task = asyncio.ensure_future(self.net[address].fault(kind))
            return entry, session
        event_id = session.event_id
        position = len(self.received)
        self.former.append((entry, session))
        entry = self.entries[(self.entries.index(entry) + 1) % len(self.entries)]
        if self.sends_tokens:
            log = AttemptLog.from_received(session.generation, "v1", self.received)
        else:
            log = AttemptLog.from_position(session.generation, "v1", position)
        resumed = make_session(log)
        entry.generations.reconnect(resumed, event_id)
        return entry, resumed


LOSSES = (
    "agent_dies",
    "agent_vanishes",
    "engine_fails",
    "engine_pauses",
    "link_breaks",
    "link_silent",
)


class GenerationsTest(unittest.TestCase):
    def follow(self, faults, **options):
        async def scenario():
            call = Call(random.Random(5), faults, **options)
            try:
                return call, await call.run()
            finally:
                call.close()

        return run_in_virtual_time(scenario())

    def assert_whole(self, call, error):
        self.assertIsNone(error)
        self.assertEqual(ANSWER, call.received)

    def test_one_loss_of_each_kind(self):
        """Guards against a lost, repeated or late token after one loss."""
        for kind in LOSSES:
            for position in (0, 1, 20, LENGTH - 1):
                with self.subTest(kind=kind, position=position):
                    call, error = self.follow([(position, kind)])
                    self.assert_whole(call, error)
                    self.assertLess(call.longest_gap, WORST_S)

    def test_reconnect_with_and_without_tokens(self):
        """Guards against a new entry that skips or repeats tokens."""
        for sends_tokens in (True, False):
            with self.subTest(sends_tokens=sends_tokens):
                faults = [(10, "reconnect"), (30, "engine_fails")]
                call, error = self.follow(faults, sends_tokens=sends_tokens)
                self.assert_whole(call, error)

    def test_former_entry_is_superseded(self):
        """Guards against two entries that both deliver one generation."""
        call, error = self.follow([(10, "reconnect")])
        self.assert_whole(call, error)
        _, former = call.former[0]
        self.assertEqual("superseded", former.error.code)
        self.assertLess(former.attempt_log.end_position, LENGTH)

    def test_reconnect_to_the_same_entry(self):
        """Guards against a former session that takes the new one's chunks."""
        faults = [(10, "reconnect"), (20, "reconnect"), (40, "link_silent")]
        call, error = self.follow(faults, entries=1)
        self.assert_whole(call, error)
        self.assertEqual(2, len(call.former))

    def test_replay_from_an_attempt_with_a_prefix(self):
        """Guards against a lost stream when a log lacks the answer's beginning."""
        faults = [(10, "engine_fails"), (30, "reconnect")]
        call, error = self.follow(faults, sends_tokens=False)
        self.assert_whole(call, error)

    def test_lost_state_without_tokens(self):
        """Guards against a hang or a restart when nobody has the tokens."""
        faults = [(10, "engine_fails"), (30, "reconnect"), (40, "agent_dies")]
        call, error = self.follow(faults, sends_tokens=False)
        self.assertEqual("resume_state_lost", error.code)
        self.assertEqual("run", error.run_state)
        self.assertEqual(ANSWER[: len(call.received)], call.received)

    def test_no_server_left(self):
        """Guards against a wait for servers that have all failed."""
        faults = [(10, "agent_dies"), (12, "agent_dies"), (14, "agent_dies")]
        faults += [(16, "agent_dies")]
        call, error = self.follow(faults)
        self.assertEqual("version_unavailable", error.code)
        self.assertEqual(ANSWER[: len(call.received)], call.received)

    def test_crossed_answers(self):
        """Guards against tokens of another caller's generation (P4)."""

        async def scenario():
            calls = [Call(random.Random(5), []), Call(random.Random(6), [])]
            entry = calls[0].entries[0]
            calls[1].entries = calls[0].entries
            whole = entry.generations.on_frame

            def crossed(link, frame):
                if len(frame.chunks) == 2 and 10 < len(calls[0].received) < 20:
                    one, two = frame.chunks
                    one.generation, two.generation = two.generation, one.generation
                    del one.tokens[:], two.texts[:]
                whole(link, frame)

            entry.generations.on_frame = crossed
            try:
                return calls, await asyncio.gather(*(call.run() for call in calls))
            finally:
                for call in calls:
                    call.close()

        calls, errors = run_in_virtual_time(scenario())
        for call, error in zip(calls, errors, strict=True):
            self.assert_whole(call, error)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(st.integers(0, LENGTH), st.sampled_from((*LOSSES, "reconnect"))),
            max_size=5,
        )
    )
    def test_any_faults(self, faults):
        """Guards against a sequence of faults that breaks or mixes an answer."""
        call, error = self.follow(faults)
        self.assertEqual(ANSWER[: len(call.received)], call.received)
        if error is None:
            self.assertEqual(LENGTH, len(call.received))
        else:
            self.assertEqual("version_unavailable", error.code)
            self.assertGreaterEqual(len(faults), 4)


if __name__ == "__main__":
    unittest.main()
