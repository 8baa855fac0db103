"""Failover tests on real sockets that compare every token of every answer.

Each fault is injected once the caller has received a given number of tokens, so
its position in the answer does not depend on the wall clock.
"""

import asyncio
import random
import unittest

from monsoontack.client.client import AnswerProgress
from standins.fleet import Fleet

MAX_TOKENS = 50
SEED = 11
HANG_GUARD_S = 60.0


async def stream_and_verify(
    fleet, entries, prompt, kind="completions", after_tokens=None, action=None
):
    """Stream one answer and verify it; return its progress.

    Calls `action` once the caller has received `after_tokens` tokens. Raises an
    AssertionError if a token or the text differs from the expected answer.
    """
    body = fleet.body(prompt, MAX_TOKENS)
    if kind == "chat":
        body["messages"] = [{"role": "user", "content": body.pop("prompt")}]
    progress = AnswerProgress()
    text = ""
    async with asyncio.timeout(HANG_GUARD_S), fleet.client(entries) as client:
        async for part in client.stream(kind, body, progress):
            text += part.text
            if action is not None and len(progress.tokens) >= after_tokens:
                inject_fault, action = action, None
                await inject_fault()
    if (progress.tokens, text) != fleet.expected(body):
        raise AssertionError(f"wrong tokens or text for {prompt!r}: {progress.tokens}")
    return progress


class FailuresTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        rng = random.Random(f"{SEED}.{self._testMethodName}")
        self.fault_position = rng.randrange(1, MAX_TOKENS - 10)

    async def start_fleet(self, **options):
        return await self.enterAsyncContext(Fleet.start(**options))

    async def read_counter(self, entry, name):
        state = await self.fleet.cluster.state_of(entry)
        return state["counters"].get(name, 0)

    async def test_engine_killed(self):
        """Guards against a lost or repeated token when an engine dies."""
        self.fleet = fleet = await self.start_fleet()
        entry = fleet.entries[0]

        async def kill():
            (await fleet.running_on(entry)).engine.kill()

        progress = await stream_and_verify(
            fleet, [entry], "one", "chat", self.fault_position, kill
        )
        self.assertEqual(1, progress.connections)
        self.assertEqual(1, await self.read_counter(entry, "recovery.start"))

    async def test_engine_pauses_and_returns(self):
        """Guards against late chunks of a paused engine in an answer."""
        self.fleet = fleet = await self.start_fleet()
        entry = fleet.entries[0]
        paused_engines = []

        async def pause():
            paused_engines.append((await fleet.running_on(entry)).engine)
            paused_engines[0].pause()

        progress = await stream_and_verify(
            fleet, [entry], "one", after_tokens=self.fault_position, action=pause
        )
        self.assertEqual(1, progress.connections)
        paused_engines[0].resume()
        for number in range(4):
            await stream_and_verify(fleet, [entry], f"after {number}")

    async def test_engine_silent(self):
        """Guards against a stream that waits forever for a silent engine."""
        self.fleet = fleet = await self.start_fleet()
        fault = {"kind": "silent", "at_position": self.fault_position + 5}
        for backend in fleet.backends:
            await fleet.cluster.set_faults(backend.engine, {"faults": [fault]})
        entry = fleet.entries[0]

        async def clear_other_engines():
            running = await fleet.running_on(entry)
            for backend in fleet.backends:
                if backend is not running:
                    await fleet.cluster.set_faults(backend.engine, {"faults": []})

        progress = await stream_and_verify(
            fleet, [entry], "one", after_tokens=1, action=clear_other_engines
        )
        self.assertEqual(1, progress.connections)
        self.assertEqual(1, await self.read_counter(entry, "recovery.start"))

    async def test_connection_silent(self):
        """Guards against a stream that waits on a half-open connection."""
        self.fleet = fleet = await self.start_fleet(fault_proxies=True)
        entry = fleet.entries[0]

        async def silence():
            backend = await fleet.running_on(entry)
            await fleet.cluster.set_faults(backend.fault_proxy, {"silence": "open"})

        progress = await stream_and_verify(
            fleet, [entry], "one", after_tokens=self.fault_position, action=silence
        )
        self.assertEqual(1, progress.connections)
        self.assertEqual(1, await self.read_counter(entry, "recovery.attach"))
        self.assertEqual(0, await self.read_counter(entry, "recovery.start"))

    async def test_agent_unreachable(self):
        """Guards against endless attach attempts if new connections are silent too."""
        self.fleet = fleet = await self.start_fleet(fault_proxies=True)
        entry = fleet.entries[0]

        async def silence():
            backend = await fleet.running_on(entry)
            await fleet.cluster.set_faults(backend.fault_proxy, {"silence": "all"})

        await stream_and_verify(
            fleet, [entry], "one", after_tokens=self.fault_position, action=silence
        )
        self.assertEqual(1, await self.read_counter(entry, "recovery.start"))

    async def test_connection_broken(self):
        """Guards against a restarted generation when only the connection broke."""
        self.fleet = fleet = await self.start_fleet(fault_proxies=True)
        entry = fleet.entries[0]

        async def cut():
            backend = await fleet.running_on(entry)
            await fleet.cluster.set_faults(backend.fault_proxy, {"close": True})

        await stream_and_verify(
            fleet, [entry], "one", after_tokens=self.fault_position, action=cut
        )
        self.assertEqual(1, await self.read_counter(entry, "recovery.attach"))
        self.assertEqual(0, await self.read_counter(entry, "recovery.start"))

    async def test_agent_killed(self):
        """Guards against a lost answer when the agent dies with its stream log."""
        self.fleet = fleet = await self.start_fleet()
        entry = fleet.entries[0]

        async def kill():
            (await fleet.running_on(entry)).agent.kill()

        progress = await stream_and_verify(
            fleet, [entry], "one", after_tokens=self.fault_position, action=kill
        )
        self.assertEqual(1, progress.connections)

    async def test_entry_killed(self):
        """Guards against recomputed or lost tokens when an entry dies."""
        self.fleet = fleet = await self.start_fleet(entries=2)

        async def kill():
            fleet.entries[0].kill()

        progress = await stream_and_verify(
            fleet, None, "one", after_tokens=self.fault_position, action=kill
        )
        self.assertEqual(2, progress.connections)
        other_entry = fleet.entries[1]
        self.assertEqual(1, await self.read_counter(other_entry, "recovery.attach"))
        self.assertEqual(0, await self.read_counter(other_entry, "recovery.start"))

    async def test_entry_pauses_and_returns(self):
        """Guards against an entry that continues a generation after its takeover."""
        self.fleet = fleet = await self.start_fleet(entries=2)
        paused_entry = fleet.entries[0]

        async def pause():
            paused_entry.pause()

        progress = await stream_and_verify(
            fleet, None, "one", after_tokens=self.fault_position, action=pause
        )
        self.assertEqual(2, progress.connections)
        paused_entry.resume()
        async with asyncio.timeout(HANG_GUARD_S):
            while (await fleet.cluster.state_of(paused_entry))["generations"]:
                await asyncio.sleep(0.02)
        await stream_and_verify(fleet, [paused_entry], "two")

    async def test_entry_and_engine_killed_together(self):
        """Guards against a lost answer when only the caller still has the tokens."""
        self.fleet = fleet = await self.start_fleet(entries=2)

        async def kill():
            backend = await fleet.running_on(fleet.entries[0])
            fleet.entries[0].kill()
            backend.agent.kill()
            backend.engine.kill()

        progress = await stream_and_verify(
            fleet, None, "one", after_tokens=self.fault_position, action=kill
        )
        self.assertEqual(2, progress.connections)

    async def test_entry_killed_twice(self):
        """Guards against an attempt number that does not rise with each takeover."""
        self.fleet = fleet = await self.start_fleet(entries=3)
        first_entry, second_entry, third_entry = fleet.entries

        async def kill_first():
            first_entry.kill()

        async def kill_second():
            await asyncio.sleep(0)
            second_entry.kill()

        body = fleet.body("one", MAX_TOKENS)
        progress = AnswerProgress()
        actions = [
            (self.fault_position, kill_first),
            (self.fault_position + 8, kill_second),
        ]
        async with asyncio.timeout(HANG_GUARD_S), fleet.client() as client:
            async for _ in client.stream("completions", body, progress):
                if actions and len(progress.tokens) >= actions[0][0]:
                    await actions.pop(0)[1]()
        self.assertEqual(fleet.expected(body)[0], progress.tokens)
        self.assertEqual(3, progress.connections)
        attempt = int(progress.event_id.rsplit(".", 6)[1])
        self.assertGreater(attempt, 2)
        self.assertEqual(1, await self.read_counter(third_entry, "reconnects"))

    async def test_many_callers_while_an_engine_dies(self):
        """Guards against answers that are sent to the wrong caller."""
        self.fleet = fleet = await self.start_fleet(engines=3, entries=2)

        async def kill():
            fleet.backends[0].engine.kill()

        requests = [
            stream_and_verify(
                fleet,
                None,
                f"caller {n}",
                after_tokens=self.fault_position,
                action=kill if not n else None,
            )
            for n in range(16)
        ]
        await asyncio.gather(*requests)

    async def test_shutdown_under_load(self):
        """Guards against answers that a graceful shutdown truncates (P8)."""
        self.fleet = fleet = await self.start_fleet(
            entries=2, token_gap_s=0.1, drain_deadline_s=10.0
        )
        first_entry = fleet.entries[0]
        stopped = asyncio.Event()

        async def stop():
            first_entry.terminate()
            stopped.set()

        requests = [
            stream_and_verify(
                fleet, None, f"caller {n}", after_tokens=5, action=None if n else stop
            )
            for n in range(10)
        ]
        results = await asyncio.gather(*requests)
        self.assertEqual(0, await first_entry.wait_ended())
        self.assertTrue(any(progress.connections == 2 for progress in results))
        log = first_entry.read_log()
        self.assertIn('"requests": 0, "event": "drained"', log)


if __name__ == "__main__":
    unittest.main()
