"""Tests of generations with the real agent core in virtual time.

The links carry real messages between `GenerationManager` and the agent's core; only
gRPC and the engine are replaced. Faults are injected at token positions.
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
from monsoontack.entry.generations import MAX_STAY_S, GenerationManager
from monsoontack.entry.links import Link, LinkIdentity, LinkPool, SilenceLimits
from monsoontack.entry.session import GenerationRequest, GenerationSession
from monsoontack.generation.attempts import AttemptLog
from monsoontack.generation.eventid import new_generation
from monsoontack.generation.progress import MONITOR_INTERVAL_S
from monsoontack.settings.models import AgentSettings

ANSWER_TOKENS = 60
TOKEN_GAP_S = 0.05
OUTAGE_S = 4.0
# Longest accepted time without output after one fault.
MAX_GAP_S = 5.0
PLACE = Place("a", "r")
ANSWER = [1000 + position for position in range(ANSWER_TOKENS)]


class FakeEngine:
    def __init__(self):
        self.unpaused = asyncio.Event()
        self.unpaused.set()
        self.broken = False
        self.crossed = 0

    async def generate(self, request_id, start):
        if self.broken:
            yield BackendFailure("backend_failed", "down", False)
            return
        for position in range(len(start.prefix), ANSWER_TOKENS):
            await asyncio.sleep(TOKEN_GAP_S)
            await self.unpaused.wait()
            if self.broken:
                yield BackendFailure("backend_failed", "broke", True)
                return
            finish = "length" if position + 1 == ANSWER_TOKENS else ""
            yield EngineTokens(position, (ANSWER[position],), ("t",), finish)

    async def cancel(self, request_id):
        pass


class FakeAgent:
    """An agent that can crash, be unreachable or go silent on its open links."""

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

    async def run_fault(self, kind):
        if kind == "engine_fails":
            self.engine.broken = True
            await asyncio.sleep(OUTAGE_S)
            self.engine.broken = False
        elif kind == "engine_pauses":
            self.engine.unpaused.clear()
            await asyncio.sleep(OUTAGE_S)
            self.engine.unpaused.set()
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
    def __init__(self, agents, address, identity, listener):
        self.agents = agents
        super().__init__(address, identity, listener)

    async def _run(self):
        agent = self.agents[self.address]
        try:
            if agent.vanished:
                await asyncio.Event().wait()
            if not agent.refuses:
                await self.run_connection(agent)
        except asyncio.CancelledError:
            if self.is_closed:
                raise
        finally:
            self._handle_end()

    async def run_connection(self, agent):
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
    def __init__(self, name, agents, rng):
        self.generations = GenerationManager(
            LeastLoadedPicker(), OutcomeCounter(), Counters(), rng
        )

        def open_link(*arguments):
            return FakeLink(agents, *arguments)

        identity = LinkIdentity(name, PLACE)
        self.pool = LinkPool(
            identity, self.generations, rng, SilenceLimits(1.0, 5.0), open_link
        )
        self.pool.in_flight = self.generations.in_flight
        self.pool.awaited_addresses = self.generations.awaited_addresses
        self.generations.pool = self.pool
        for address in agents:
            self.pool.get_or_open(address)
        self.unpaused = asyncio.Event()
        self.unpaused.set()
        self.monitor = asyncio.ensure_future(self.tick())
        self.agents = agents

    async def tick(self):
        while True:
            await asyncio.sleep(MONITOR_INTERVAL_S)
            await self.unpaused.wait()
            now = asyncio.get_running_loop().time()
            for address, agent in self.agents.items():
                if not agent.refuses:
                    self.pool.get_or_open(address)
            self.pool.tick(now)
            self.generations.tick(now)


def make_session(log):
    route = RouteRequest("s", "v1", "account")
    request = GenerationRequest(route, "completions", b"{}", ANSWER_TOKENS, 1, True)
    return GenerationSession(request, log, asyncio.get_running_loop().time())


class Caller:
    """A caller that receives one answer despite faults and reconnects."""

    def __init__(self, rng, faults, sends_tokens=True, entries=2, agents=4):
        self.rng = rng
        self.faults = sorted(faults)
        self.sends_tokens = sends_tokens
        self.agents = {
            address: FakeAgent(address)
            for address in (f"10.0.0.{number + 1}:1" for number in range(agents))
        }
        self.entries = [FakeEntry(f"e{i}", self.agents, rng) for i in range(entries)]
        self.received = []
        self.longest_gap = 0.0
        self.former_sessions = []

    async def run(self):
        """Return the error that ended the answer, or None if it is complete."""
        await asyncio.sleep(0.5)
        log = AttemptLog(new_generation("v1", self.rng), "v1")
        session = make_session(log)
        entry = self.entries[0]
        entry.generations.begin(session)
        loop = asyncio.get_running_loop()
        last_chunk_at = loop.time()
        while True:
            while self.faults and len(self.received) >= self.faults[0][0]:
                _, kind = self.faults.pop(0)
                entry, session = self.inject_fault(kind, entry, session)
            await session.wait(0.5)
            if session.has_tokens:
                chunk = session.take_chunk()
                self.longest_gap = max(self.longest_gap, loop.time() - last_chunk_at)
                last_chunk_at = loop.time()
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
            expected_counts = Counter(session.state.address for session in sessions)
            assert expected_counts == +entry.generations.session_counts
            entry.generations.sessions.clear()
            entry.generations.session_counts.clear()
            entry.pool.close()

    def inject_fault(self, kind, entry, session):
        address = session.state.address
        if kind != "reconnect":
            self.task = asyncio.ensure_future(self.agents[address].run_fault(kind))
            return entry, session
        event_id = session.event_id
        position = len(self.received)
        self.former_sessions.append((entry, session))
        entry = self.entries[(self.entries.index(entry) + 1) % len(self.entries)]
        if self.sends_tokens:
            log = AttemptLog.from_received(session.generation, "v1", self.received)
        else:
            log = AttemptLog.from_position(session.generation, "v1", position)
        resumed = make_session(log)
        entry.generations.reconnect(resumed, event_id)
        return entry, resumed


FAULT_KINDS = (
    "agent_dies",
    "agent_vanishes",
    "engine_fails",
    "engine_pauses",
    "link_breaks",
    "link_silent",
)


class GenerationsTest(unittest.TestCase):
    def run_caller(self, faults, **options):
        async def scenario():
            caller = Caller(random.Random(5), faults, **options)
            try:
                return caller, await caller.run()
            finally:
                caller.close()

        return run_in_virtual_time(scenario())

    def assert_complete(self, caller, error):
        self.assertIsNone(error)
        self.assertEqual(ANSWER, caller.received)

    def test_one_loss_of_each_kind(self):
        """Guards against a lost, repeated or late token after one fault."""
        for kind in FAULT_KINDS:
            for position in (0, 1, 20, ANSWER_TOKENS - 1):
                with self.subTest(kind=kind, position=position):
                    caller, error = self.run_caller([(position, kind)])
                    self.assert_complete(caller, error)
                    self.assertLess(caller.longest_gap, MAX_GAP_S)

    def test_reconnect_with_and_without_tokens(self):
        """Guards against a new entry that skips or repeats tokens."""
        for sends_tokens in (True, False):
            with self.subTest(sends_tokens=sends_tokens):
                faults = [(10, "reconnect"), (30, "engine_fails")]
                caller, error = self.run_caller(faults, sends_tokens=sends_tokens)
                self.assert_complete(caller, error)

    def test_former_entry_is_superseded(self):
        """Guards against two entries that both deliver one generation."""
        caller, error = self.run_caller([(10, "reconnect")])
        self.assert_complete(caller, error)
        _, former = caller.former_sessions[0]
        self.assertEqual("superseded", former.error.code)
        self.assertLess(former.attempt_log.end_position, ANSWER_TOKENS)

    def test_reconnect_to_the_same_entry(self):
        """Guards against chunks of the new session that go to the former one."""
        faults = [(10, "reconnect"), (20, "reconnect"), (40, "link_silent")]
        caller, error = self.run_caller(faults, entries=1)
        self.assert_complete(caller, error)
        self.assertEqual(2, len(caller.former_sessions))

    def test_replay_from_an_attempt_with_a_prefix(self):
        """Guards against a lost stream when a log lacks the answer's first tokens."""
        faults = [(10, "engine_fails"), (30, "reconnect")]
        caller, error = self.run_caller(faults, sends_tokens=False)
        self.assert_complete(caller, error)

    def test_lost_state_without_tokens(self):
        """Guards against a hang or a restart when no process has the tokens."""
        faults = [(10, "engine_fails"), (30, "reconnect"), (40, "agent_dies")]
        caller, error = self.run_caller(faults, sends_tokens=False)
        self.assertEqual("resume_state_lost", error.code)
        self.assertEqual("run", error.run_state)
        self.assertEqual(ANSWER[: len(caller.received)], caller.received)

    def test_no_server_left(self):
        """Guards against waiting for servers that have all failed."""
        faults = [(10, "agent_dies"), (12, "agent_dies"), (14, "agent_dies")]
        faults += [(16, "agent_dies")]
        caller, error = self.run_caller(faults)
        self.assertEqual("version_unavailable", error.code)
        self.assertEqual(ANSWER[: len(caller.received)], caller.received)

    def test_answer_outlasts_a_pause_of_all_engines(self):
        """Guards against an answer that ends while all engines pause and go on."""

        async def scenario(count, pause_s):
            caller = Caller(random.Random(5), [])
            for address in list(caller.agents)[count:]:
                caller.agents[address].refuses = True
                caller.agents[address].break_links()

            async def pause_engines():
                await asyncio.sleep(1.0)
                engines = [agent.engine for agent in caller.agents.values()]
                for engine in engines:
                    engine.unpaused.clear()
                await asyncio.sleep(pause_s)
                for engine in engines:
                    engine.unpaused.set()

            pause = asyncio.ensure_future(pause_engines())
            try:
                return caller, await caller.run()
            finally:
                pause.cancel()
                caller.close()

        ended = []
        for count, pause_s in ((1, 1.2), (1, 1.5), (2, 2.5), (2, 3.5), (4, 2.0)):
            caller, error = run_in_virtual_time(scenario(count, pause_s))
            if error is not None or caller.received != ANSWER:
                ended.append((count, pause_s, error and error.code))
        self.assertEqual([], ended)

    def test_answer_outlasts_a_silence_of_all_agents(self):
        """Guards against an answer that ends while its agent and all others are silent
        on every connection, and go on."""

        async def scenario(count, silent_s):
            loop = asyncio.get_running_loop()
            caller = Caller(random.Random(5), [])
            agents = list(caller.agents.values())
            for agent in agents[count:]:
                agent.refuses = True
                agent.break_links()

            def fall_silent():
                for agent in agents[:count]:
                    agent.muted |= agent.connections
                    agent.vanished = True

            def go_on():
                for agent in agents:
                    agent.vanished = False

            loop.call_later(1.0, fall_silent)
            loop.call_later(1.0 + silent_s, go_on)
            try:
                return caller, await caller.run()
            finally:
                caller.close()

        ended = []
        for count, silent_s in ((1, 1.3), (1, 3.0), (1, 20.0), (2, 3.0), (4, 8.0)):
            caller, error = run_in_virtual_time(scenario(count, silent_s))
            late = caller.longest_gap > silent_s + MAX_GAP_S
            if error is not None or caller.received != ANSWER or late:
                ended.append((count, silent_s, error and error.code))
        self.assertEqual([], ended)

    def test_answer_returns_to_a_silent_engine_if_the_next_one_fails(self):
        """Guards against an answer that ends because the engine that it got after a
        silence of its first one fails."""

        async def scenario():
            caller = Caller(random.Random(5), [])
            for address in list(caller.agents)[2:]:
                caller.agents[address].refuses = True
                caller.agents[address].break_links()

            async def fail_engines():
                await asyncio.sleep(1.0)
                (session,) = caller.entries[0].generations.sessions.values()
                first = caller.agents[session.state.address].engine
                first.unpaused.clear()
                for agent in caller.agents.values():
                    if agent.engine is not first:
                        agent.engine.broken = True
                await asyncio.sleep(3.0)
                first.unpaused.set()

            failures = asyncio.ensure_future(fail_engines())
            try:
                return caller, await caller.run()
            finally:
                failures.cancel()
                caller.close()

        caller, error = run_in_virtual_time(scenario())
        self.assert_complete(caller, error)

    def test_answer_of_hung_engines_ends(self):
        """Guards against an answer that is held for ever by engines that hang."""

        async def scenario(count):
            loop = asyncio.get_running_loop()
            caller = Caller(random.Random(5), [])
            for address in list(caller.agents)[count:]:
                caller.agents[address].refuses = True
                caller.agents[address].break_links()
            for agent in caller.agents.values():
                loop.call_later(1.0, agent.engine.unpaused.clear)
            started_at = loop.time()
            try:
                return await caller.run(), loop.time() - started_at
            finally:
                caller.close()

        for count in (1, 2, 4):
            with self.subTest(count=count):
                error, took_s = run_in_virtual_time(scenario(count))
                self.assertIn(error.code, ("version_unavailable", "recovery_failed"))
                self.assertEqual("run", error.run_state)
                self.assertGreater(took_s, MAX_STAY_S)
                self.assertLess(took_s, 2 * MAX_STAY_S)

    def test_crossed_answers(self):
        """Guards against tokens of another caller's generation (P4)."""

        async def scenario():
            callers = [Caller(random.Random(5), []), Caller(random.Random(6), [])]
            entry = callers[0].entries[0]
            callers[1].entries = callers[0].entries
            original_on_frame = entry.generations.on_frame

            def crossed(link, frame):
                if len(frame.chunks) == 2 and 10 < len(callers[0].received) < 20:
                    one, two = frame.chunks
                    one.generation, two.generation = two.generation, one.generation
                    del one.tokens[:], two.texts[:]
                original_on_frame(link, frame)

            entry.generations.on_frame = crossed
            try:
                return callers, await asyncio.gather(
                    *(caller.run() for caller in callers)
                )
            finally:
                for caller in callers:
                    caller.close()

        callers, errors = run_in_virtual_time(scenario())
        for caller, error in zip(callers, errors, strict=True):
            self.assert_complete(caller, error)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(0, ANSWER_TOKENS),
                st.sampled_from((*FAULT_KINDS, "reconnect")),
            ),
            max_size=5,
        )
    )
    def test_any_faults(self, faults):
        """Guards against a sequence of faults that corrupts or mixes up answers."""
        caller, error = self.run_caller(faults)
        self.assertEqual(ANSWER[: len(caller.received)], caller.received)
        if error is None:
            self.assertEqual(ANSWER_TOKENS, len(caller.received))
        else:
            self.assertEqual("version_unavailable", error.code)
            self.assertGreaterEqual(len(faults), 4)


if __name__ == "__main__":
    unittest.main()
