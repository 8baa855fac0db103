"""Tests of calls over links whose agents fall silent, on a paused clock."""

import asyncio
import random
import unittest
from types import SimpleNamespace

from monsoontack.core.errors import RunState
from monsoontack.core.records import Place
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.entry.defaults import LeastLoadedPicker, OutcomeCounter
from monsoontack.entry.dispatch import LinkDispatcher
from monsoontack.entry.links import Link, LinkIdentity, LinkPool, SilenceLimits
from monsoontack.generation.progress import MONITOR_INTERVAL_S
from monsoontack.ledger.records import ServiceCall
from monsoontack.ledger.service import Ledger
from monsoontack.proto import link_pb2
from monsoontack.settings.models import EntrySettings
from monsoontack.store.memory import MemoryStore

AGENT = "10.0.0.1:1"
OTHER_AGENT = "10.0.0.2:1"


class QuietLink(Link):
    """Link that is up and stays open; frames arrive only by `_handle_frame`."""

    async def _run(self):
        self.is_up = True
        await asyncio.Event().wait()


class Listener:
    def on_frame(self, link, frame):
        for result in frame.results:
            self.dispatcher.on_result(result, link)

    def on_link_lost(self, link, was_up):
        self.dispatcher.on_link_lost(link)


class Harness:
    """Dispatcher over a pool whose links get frames from the test only."""

    def __init__(self):
        listener, rng = Listener(), random.Random(1)
        identity = LinkIdentity("entry", Place("domain", "region"))
        limits = SilenceLimits(busy_s=1.0, idle_s=9.0)
        self.pool = LinkPool(identity, listener, rng, limits, QuietLink)
        service = SimpleNamespace(shares=[("v1", 1.0)])
        view = SimpleNamespace(revision=1, services={"s": service})
        self.dispatcher = LinkDispatcher(
            self.pool, LeastLoadedPicker(), OutcomeCounter(), lambda: view, rng
        )
        listener.dispatcher = self.dispatcher
        self.pool.awaited_addresses = self.dispatcher.awaited_addresses

    async def open(self, address):
        link = self.pool.get_or_open(address)
        await asyncio.sleep(0)
        return link

    def send(self, link, call_id, timeout_s):
        message = link_pb2.Call(call_id=call_id, service="s")
        return self.dispatcher._send_and_wait(link, message, timeout_s)

    def answer(self, link, call_id, status=200):
        result = link_pb2.CallResult(
            call_id=call_id, run_state=RunState.RUN, status=status
        )
        link._handle_frame(link_pb2.Frame(results=[result]))

    async def run_for(self, duration_s):
        """Run the monitor of the links for a time in seconds."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + duration_s
        while loop.time() < end_at:
            await asyncio.sleep(MONITOR_INTERVAL_S)
            self.pool.tick(loop.time())


def agent_info(vm):
    return link_pb2.AgentInfo(vm=vm, kind="service", service="s", versions=["v1"])


class SilentAgentTest(unittest.TestCase):
    def call(self, silent_s, timeout_s=5.0):
        """Send a call to an agent that sends its result after a silence."""

        async def scenario():
            listener, rng = Listener(), random.Random(1)
            pool = LinkPool(
                LinkIdentity("entry", Place("domain", "region")),
                listener,
                rng,
                SilenceLimits(
                    EntrySettings.model_fields["frame_silence_s"].default,
                    EntrySettings.model_fields["idle_silence_s"].default,
                ),
                QuietLink,
            )
            view = SimpleNamespace(revision=1)
            dispatcher = LinkDispatcher(
                pool, LeastLoadedPicker(), OutcomeCounter(), lambda: view, rng
            )
            listener.dispatcher = dispatcher
            pool.awaited_addresses = dispatcher.awaited_addresses
            link = pool.get_or_open(AGENT)
            await asyncio.sleep(0)
            message = link_pb2.Call(call_id="c1", service="s", idempotent=False)
            task = asyncio.ensure_future(
                dispatcher._send_and_wait(link, message, timeout_s)
            )
            sent_at = asyncio.get_running_loop().time()
            while not task.done():
                await asyncio.sleep(MONITOR_INTERVAL_S)
                now = asyncio.get_running_loop().time()
                if now - sent_at > silent_s and not link.is_closed:
                    result = link_pb2.CallResult(
                        call_id="c1", run_state=RunState.RUN, status=200
                    )
                    link._handle_frame(link_pb2.Frame(results=[result]))
                    continue
                pool.tick(now)
            pool.close()
            return task.result()

        return run_in_virtual_time(scenario())

    def test_call_outlasts_a_silence_of_its_agent(self):
        """Guards against a call that may not be repeated and is given up, long before
        its timeout, because its agent falls silent for a second or two."""
        results = [self.call(silent_s) for silent_s in (0.8, 1.3, 2.0)]
        self.assertEqual([RunState.RUN] * 3, [result.run_state for result in results])
        self.assertEqual([""] * 3, [result.code for result in results])

    def watch(self, script):
        """Send a call to the first of two agents and return what `script` returns.

        `script` gets the harness, the link and the task of the call.
        """

        async def scenario():
            harness = Harness()
            link = await harness.open(AGENT)
            await harness.open(OTHER_AGENT)
            task = asyncio.ensure_future(harness.send(link, "c1", 5.0))
            try:
                return await script(harness, link, task)
            finally:
                harness.pool.close()

        return run_in_virtual_time(scenario())

    def test_end_of_a_silent_connection_ends_its_calls(self):
        """Guards against a call that waits for its timeout on a connection that has
        ended after a silence, and against an end of calls on the next connection."""

        async def script(harness, link, task):
            await harness.run_for(1.5)
            self.assertFalse(task.done())
            successor = harness.pool.get_or_open(AGENT)
            self.assertIsNot(link, successor)
            await asyncio.sleep(0)
            other = asyncio.ensure_future(harness.send(successor, "c2", 5.0))
            await asyncio.sleep(0)
            link._handle_end()
            result = await task
            self.assertFalse(other.done())
            harness.answer(successor, "c2")
            return result, await other, harness.pool.replaced

        result, other, replaced = self.watch(script)
        self.assertEqual("link_lost", result.code)
        self.assertEqual(RunState.UNKNOWN, result.run_state)
        self.assertEqual(RunState.RUN, other.run_state)
        self.assertEqual([], replaced)

    def test_new_calls_avoid_a_silent_agent(self):
        """Guards against new work at an agent whose link is silent, and against a
        silence of the next link that is derived from the calls of the former one."""

        async def script(harness, link, task):
            await harness.run_for(1.5)
            pool = harness.pool
            self.assertNotIn(link, pool.links.values())
            successor = await harness.open(AGENT)
            await harness.run_for(2.0)
            self.assertIs(successor, pool.links[AGENT])
            self.assertFalse(task.done())
            task.cancel()
            await asyncio.wait([task])
            await harness.run_for(0.5)
            return link.is_closed, successor.is_closed

        self.assertEqual((True, False), self.watch(script))

    def test_late_result_of_an_ended_call_is_dropped(self):
        """Guards against an agent that was frozen and returns with the result of a
        call that has ended while another one still waits."""

        async def script(harness, link, task):
            other = asyncio.ensure_future(harness.send(link, "c2", 8.0))
            await harness.run_for(6.0)
            result = await task
            harness.answer(link, "c1")
            await asyncio.sleep(0)
            self.assertFalse(other.done())
            harness.answer(link, "c2", 201)
            return result, (await other).answer.status

        result, status = self.watch(script)
        self.assertEqual((RunState.UNKNOWN, "timeout"), (result.run_state, result.code))
        self.assertEqual(201, status)

    def test_idempotent_call_is_repeated_after_a_second_of_silence(self):
        """Guards against an idempotent call that waits for an agent which is gone for
        good, without a reset of its connection."""

        async def scenario():
            harness = Harness()
            ledger = Ledger(MemoryStore(), harness.dispatcher)
            (await harness.open(AGENT)).info = agent_info("vm-1")
            call = ServiceCall("a", "s", "GET", "/p", (), b"", True, "", 5.0)
            task = asyncio.ensure_future(ledger.run(call))
            await harness.run_for(0.2)
            (await harness.open(OTHER_AGENT)).info = agent_info("vm-2")
            started_at = asyncio.get_running_loop().time()
            while not task.done():
                for call_id, pending in list(harness.dispatcher.pending_calls.items()):
                    if pending.link.address == OTHER_AGENT:
                        harness.answer(pending.link, call_id)
                await harness.run_for(0.1)
            harness.pool.close()
            return task.result(), asyncio.get_running_loop().time() - started_at

        answer, took_s = run_in_virtual_time(scenario())
        self.assertEqual(200, answer.status)
        self.assertLess(took_s, 1.5)


if __name__ == "__main__":
    unittest.main()
