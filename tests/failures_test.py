"""Failure tests on real sockets: every token of every answer is compared.

A fault strikes when the caller has a given number of tokens, so its place in
the answer does not depend on the wall clock.
"""

import asyncio
import random
import unittest

from monsoontack.client.client import AnswerProgress
from standins.fleet import Fleet

LENGTH = 50
SEED = 11
HANG_GUARD_S = 60.0


async def follow(fleet, entries, prompt, kind="completions", at=None, action=None):
    """Follow one answer; call `action` once `at` tokens are there.

    Returns the progress and the text. Fails unless every token is right.
    """
    body = fleet.body(prompt, LENGTH)
    if kind == "chat":
        body["messages"] = [{"role": "user", "content": body.pop("prompt")}]
    progress = AnswerProgress()
    text = ""
    async with asyncio.timeout(HANG_GUARD_S), fleet.client(entries) as client:
        async for part in client.stream(kind, body, progress):
            text += part.text
            if action is not None and len(progress.tokens) >= at:
                struck, action = action, None
                await struck()
    if (progress.tokens, text) != fleet.expected(body):
        raise AssertionError(f"wrong answer to {prompt!r}: {progress.tokens}")
    return progress


class FailuresTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        rng = random.Random(f"{SEED}.{self._testMethodName}")
        self.at = rng.randrange(1, LENGTH - 10)

    async def start(self, **options):
        return await self.enterAsyncContext(Fleet.start(**options))

    async def counter(self, entry, name):
        state = await self.fleet.cluster.state_of(entry)
        return state["counters"].get(name, 0)

    async def test_engine_killed(self):
        """Guards against a lost or repeated token when an engine dies."""
        self.fleet = fleet = await self.start()
        entry = fleet.entries[0]

        async def kill():
            (await fleet.running_on(entry)).engine.kill()

        progress = await follow(fleet, [entry], "one", "chat", self.at, kill)
        self.assertEqual(1, progress.connections)
        self.assertEqual(1, await self.counter(entry, "recovery.start"))

    async def test_engine_pauses_and_returns(self):
        """Guards against late chunks of a paused engine that enter the answer."""
        self.fleet = fleet = await self.start()
        entry = fleet.entries[0]
        paused = []

        async def pause():
            paused.append((await fleet.running_on(entry)).engine)
            paused[0].pause()

        progress = await follow(fleet, [entry], "one", at=self.at, action=pause)
        self.assertEqual(1, progress.connections)
        paused[0].resume()
        for number in range(4):
            await follow(fleet, [entry], f"after {number}")

    async def test_engine_silent(self):
        """Guards against a stream that waits for an engine that sends nothing."""
        self.fleet = fleet = await self.start()
        fault = {"kind": "silent", "at_position": self.at + 5}
        for backend in fleet.backends:
            await fleet.cluster.set_faults(backend.engine, {"faults": [fault]})
        entry = fleet.entries[0]

        async def spare_others():
            running = await fleet.running_on(entry)
            for backend in fleet.backends:
                if backend is not running:
                    await fleet.cluster.set_faults(backend.engine, {"faults": []})

        progress = await follow(fleet, [entry], "one", at=1, action=spare_others)
        self.assertEqual(1, progress.connections)
        self.assertEqual(1, await self.counter(entry, "recovery.start"))

    async def test_connection_silent(self):
        """Guards against a stream that waits on a connection that lost its peer."""
        self.fleet = fleet = await self.start(gates=True)
        entry = fleet.entries[0]

        async def silence():
            backend = await fleet.running_on(entry)
            await fleet.cluster.set_faults(backend.gate, {"silence": "open"})

        progress = await follow(fleet, [entry], "one", at=self.at, action=silence)
        self.assertEqual(1, progress.connections)
        self.assertEqual(1, await self.counter(entry, "recovery.attach"))
        self.assertEqual(0, await self.counter(entry, "recovery.start"))

    async def test_agent_unreachable(self):
        """Guards against endless attaching when new connections are silent too."""
        self.fleet = fleet = await self.start(gates=True)
        entry = fleet.entries[0]

        async def silence():
            backend = await fleet.running_on(entry)
            await fleet.cluster.set_faults(backend.gate, {"silence": "all"})

        await follow(fleet, [entry], "one", at=self.at, action=silence)
        self.assertEqual(1, await self.counter(entry, "recovery.start"))

    async def test_connection_broken(self):
        """Guards against new engine work when only the connection broke."""
        self.fleet = fleet = await self.start(gates=True)
        entry = fleet.entries[0]

        async def cut():
            backend = await fleet.running_on(entry)
            await fleet.cluster.set_faults(backend.gate, {"close": True})

        await follow(fleet, [entry], "one", at=self.at, action=cut)
        self.assertEqual(1, await self.counter(entry, "recovery.attach"))
        self.assertEqual(0, await self.counter(entry, "recovery.start"))

    async def test_agent_killed(self):
        """Guards against a lost answer when agent and stream log are gone."""
        self.fleet = fleet = await self.start()
        entry = fleet.entries[0]

        async def kill():
            (await fleet.running_on(entry)).agent.kill()

        progress = await follow(fleet, [entry], "one", at=self.at, action=kill)
        self.assertEqual(1, progress.connections)

    async def test_entry_killed(self):
        """Guards against recomputed or lost tokens when an entry dies."""
        self.fleet = fleet = await self.start(entries=2)

        async def kill():
            fleet.entries[0].kill()

        progress = await follow(fleet, None, "one", at=self.at, action=kill)
        self.assertEqual(2, progress.connections)
        other = fleet.entries[1]
        self.assertEqual(1, await self.counter(other, "recovery.attach"))
        self.assertEqual(0, await self.counter(other, "recovery.start"))

    async def test_entry_pauses_and_returns(self):
        """Guards against a former entry that goes on with a generation."""
        self.fleet = fleet = await self.start(entries=2)
        paused = fleet.entries[0]

        async def pause():
            paused.pause()

        progress = await follow(fleet, None, "one", at=self.at, action=pause)
        self.assertEqual(2, progress.connections)
        paused.resume()
        async with asyncio.timeout(HANG_GUARD_S):
            while (await fleet.cluster.state_of(paused))["generations"]:
                await asyncio.sleep(0.02)
        await follow(fleet, [paused], "two")

    async def test_entry_and_engine_killed_together(self):
        """Guards against a lost answer when only the caller has the tokens."""
        self.fleet = fleet = await self.start(entries=2)

        async def kill():
            backend = await fleet.running_on(fleet.entries[0])
            fleet.entries[0].kill()
            backend.agent.kill()
            backend.engine.kill()

        progress = await follow(fleet, None, "one", at=self.at, action=kill)
        self.assertEqual(2, progress.connections)

    async def test_entry_killed_twice(self):
        """Guards against attempts that do not rise with each takeover."""
        self.fleet = fleet = await self.start(entries=3)
        first, second, third = fleet.entries

        async def kill_first():
            first.kill()

        async def kill_second():
            await asyncio.sleep(0)
            second.kill()

        body = fleet.body("one", LENGTH)
        progress = AnswerProgress()
        actions = [(self.at, kill_first), (self.at + 8, kill_second)]
        async with asyncio.timeout(HANG_GUARD_S), fleet.client() as client:
            async for _ in client.stream("completions", body, progress):
                if actions and len(progress.tokens) >= actions[0][0]:
                    await actions.pop(0)[1]()
        self.assertEqual(fleet.expected(body)[0], progress.tokens)
        self.assertEqual(3, progress.connections)
        attempt = int(progress.event_id.rsplit(".", 6)[1])
        self.assertGreater(attempt, 2)
        self.assertEqual(1, await self.counter(third, "reconnects"))

    async def test_many_callers_while_an_engine_dies(self):
        """Guards against answers that reach the wrong caller."""
        self.fleet = fleet = await self.start(engines=3, entries=2)

        async def kill():
            fleet.backends[0].engine.kill()

        calls = [
            follow(
                fleet, None, f"caller {n}", at=self.at, action=kill if not n else None
            )
            for n in range(16)
        ]
        await asyncio.gather(*calls)

    async def test_shutdown_under_load(self):
        """Guards against requests cut by a graceful shutdown (P8)."""
        self.fleet = fleet = await self.start(
            entries=2, token_gap_s=0.1, drain_deadline_s=10.0
        )
        first = fleet.entries[0]
        stopped = asyncio.Event()

        async def stop():
            first.terminate()
            stopped.set()

        calls = [
            follow(fleet, None, f"caller {n}", at=5, action=None if n else stop)
            for n in range(10)
        ]
        results = await asyncio.gather(*calls)
        self.assertEqual(0, await first.wait_ended())
        self.assertTrue(any(progress.connections == 2 for progress in results))
        log = first.read_log()
        self.assertIn('"requests": 0, "event": "drained"', log)


if __name__ == "__main__":
    unittest.main()
