"""Tests of answers whose engines or agents fall silent, on a paused clock."""

import asyncio
import random
import unittest

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.entry.generations import MAX_STAY_S
from monsoontack.entry.generations_test import ANSWER, Caller

SILENT_AT_POSITIONS = (0, 1, 20)


class SilentCaller(Caller):
    """Caller during whose answer all engines or agents are silent together."""

    def inject_fault(self, kind, entry, session):
        """Let all engines pause, or all agents vanish, for the seconds in `kind`."""
        what, silent_s = kind
        for agent in self.agents.values():
            if what == "engines":
                agent.engine.unpaused.clear()
            else:
                agent.vanished = True
                agent.muted |= agent.connections
        asyncio.get_running_loop().call_later(silent_s, self.end_silence)
        return entry, session

    def end_silence(self):
        """Let all engines and agents go on."""
        for agent in self.agents.values():
            agent.engine.unpaused.set()
            agent.vanished = False


class SilentServersTest(unittest.TestCase):
    def check_answers(self, what, silent_s):
        """Check that answers are whole with one to four agents."""

        async def scenario(position, agents):
            faults = [(position, (what, silent_s))]
            caller = SilentCaller(random.Random(5), faults, agents=agents)
            try:
                return caller, await caller.run()
            finally:
                caller.close()

        for agents in (1, 2, 4):
            for position in SILENT_AT_POSITIONS:
                caller, error = run_in_virtual_time(scenario(position, agents))
                self.assertIsNone(error, (agents, position))
                self.assertEqual(ANSWER, caller.received)

    def test_answer_waits_for_engines_that_are_silent(self):
        """Guards against an answer that ends with an error because all engines fall
        silent for some seconds and go on."""
        for silent_s in (1.5, 2.5, 6.0):
            self.check_answers("engines", silent_s)

    def test_wait_for_an_engine_that_stays_silent_ends(self):
        """Guards against a caller that waits without end for an engine that hangs."""

        async def scenario():
            faults = [(20, ("engines", 1000.0))]
            caller = SilentCaller(random.Random(5), faults, agents=1)
            loop = asyncio.get_running_loop()
            try:
                return await caller.run(), loop.time()
            finally:
                caller.close()

        error, ended_at = run_in_virtual_time(scenario())
        self.assertEqual("version_unavailable", error.code)
        self.assertLess(ended_at, MAX_STAY_S + 5.0)

    def test_answer_waits_for_agents_that_are_silent(self):
        """Guards against an answer that ends with an error because all agents fall
        silent for a second or two and go on."""
        for silent_s in (1.5, 2.5):
            self.check_answers("agents", silent_s)


if __name__ == "__main__":
    unittest.main()
