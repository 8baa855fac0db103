"""Tests of the detection of crashed engines, on a paused clock."""

import asyncio
import unittest
from dataclasses import replace

from monsoontack.admission.requestcontent import RequestContent
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.crashdetector import CrashDetector
from monsoontack.gateway.outbound import ExchangeFailure, FailureKind
from standins.gatewayfakes import FAR, HOME, NEAR, ScriptedSender, make_fleet

REFUSED = ExchangeFailure(FailureKind.CONNECT, False, "refused", is_refused=True)
TIMEOUT = ExchangeFailure(FailureKind.CONNECT, False, "TimeoutError")
PLACES = {"s1": HOME, "s2": HOME, "s3": HOME, "s4": NEAR, "s5": FAR}
FIRST = RequestContent("shop", ("a", "b"))
SECOND = RequestContent("desk", ("a", "c"))


async def serves(exchange, attempt):
    """Take the place of the script of an engine that accepts connections."""


class CrashDetectorTest(unittest.TestCase):
    def crashes(self, script, prompts, meanwhile=lambda fleet: None, servers=("s1",)):
        """Return the crashes reported when the engines break off the prompts."""

        async def scenario():
            scripts = dict.fromkeys(PLACES, serves) | dict.fromkeys(servers, script)
            sender = ScriptedSender(make_fleet(PLACES), scripts)
            found = []
            detector = CrashDetector(sender, found.append)
            for server in servers:
                for prompt in prompts:
                    member = sender.fleet.members[server]
                    detector.note_broken_off(member, prompt)
            meanwhile(sender.fleet)
            await asyncio.sleep(1.0)
            return found

        return run_in_virtual_time(scenario())

    def test_refused_connection_reports_all_prompts_once(self):
        """Guards against a crash that is missed, or counted once for each stream."""
        found = self.crashes(REFUSED, [FIRST, SECOND, FIRST])
        self.assertEqual([(FIRST, SECOND)], [crash.requests for crash in found])

    def test_engine_that_accepts_connections_has_not_crashed(self):
        """Guards against blame for a connection that alone was reset."""
        self.assertEqual([], self.crashes(serves, [FIRST]))

    def test_engine_that_cannot_be_reached_has_not_crashed(self):
        """Guards against blame for a cut between this entry and the engine."""
        self.assertEqual([], self.crashes(TIMEOUT, [FIRST]))

    def test_engine_that_leaves_has_not_crashed(self):
        """Guards against blame for a release or a removal of engines."""
        found = self.crashes(REFUSED, [FIRST], lambda fleet: fleet.remove("s1"))
        self.assertEqual([], found)

    def test_engine_that_started_again_has_crashed(self):
        """Guards against a crash that is missed since the engine is back at once."""

        def restart(fleet):
            server = fleet.members["s1"].server
            fleet.put(
                replace(server, started_unix_ms=server.started_unix_ms + 1), False
            )

        found = self.crashes(serves, [FIRST], restart)
        self.assertEqual([(FIRST,)], [crash.requests for crash in found])

    def test_loss_of_a_failure_domain_is_no_crash(self):
        """Guards against blame for what ran when a failure domain was lost."""

        def lose_domain(fleet):
            for server in ("s1", "s2", "s3"):
                fleet.note_unreachable(fleet.members[server], 0.05)

        self.assertEqual([], self.crashes(REFUSED, [FIRST], lose_domain))

    def test_crash_without_a_suspect_prompt_is_reported_as_such(self):
        """Guards against blame by kills that nobody knows to be kills."""
        found = self.crashes(REFUSED, [None, RequestContent("shop", ())])
        self.assertEqual([()], [crash.requests for crash in found])


if __name__ == "__main__":
    unittest.main()
