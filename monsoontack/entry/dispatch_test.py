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
from monsoontack.proto import link_pb2
from monsoontack.settings.models import EntrySettings

AGENT = "10.0.0.1:1"


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


if __name__ == "__main__":
    unittest.main()
