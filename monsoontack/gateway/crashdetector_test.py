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
    def crashes(
        self,
        script,
        prompts,
        meanwhile=lambda fleet: None,
        servers=("s1",),
        check_s=0.0,
    ):
        """Return the crashes reported when the engines break off the prompts."""

        async def scenario():
            scripts = dict.fromkeys(PLACES, serves) | dict.fromkeys(servers, script)
            sender = ScriptedSender(make_fleet(PLACES), scripts, check_s=check_s)
            found = []
            detector = self.detector = CrashDetector(sender, found.append)
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

    def test_calls_in_flight_at_the_loss_of_a_failure_domain_are_reported(self):
        """Guards against a call that is never found, since it takes all servers of its
        service in a domain within a second each time it comes."""

        def lose_domain(fleet):
            for server in ("s1", "s2", "s3"):
                fleet.note_unreachable(fleet.members[server], 0.05)

        call = RequestContent.from_ids("shop", (), "call")
        found = self.crashes(REFUSED, [FIRST, call], lose_domain)
        self.assertEqual([(call,)], [crash.requests for crash in found])

    def test_crash_while_an_earlier_loss_is_checked(self):
        """Guards against a crash that is missed since its server was found to be alive
        for another connection just before."""

        async def scenario():
            sender = ScriptedSender(make_fleet(PLACES), dict.fromkeys(PLACES, serves))
            member, found = sender.fleet.members["s1"], []
            detector = CrashDetector(sender, found.append)
            detector.note_broken_off(member, FIRST)
            await asyncio.sleep(0.05)
            sender.scripts["s1"] = REFUSED
            detector.note_broken_off(member, SECOND)
            await asyncio.sleep(1.0)
            return found

        found = run_in_virtual_time(scenario())
        self.assertEqual([((SECOND,), 0.05)], [(c.requests, c.at) for c in found])

    def test_answer_between_a_loss_and_a_crash_does_not_hide_the_crash(self):
        """Guards against a crash that is missed since its server had gone on answering
        after another connection was lost."""

        def fall_later(fleet):
            loop, member = asyncio.get_running_loop(), fleet.members["s1"]
            loop.call_later(0.1, fleet.note_alive, member, loop.time() + 0.1)
            note = self.detector.note_broken_off
            loop.call_later(0.2, note, member, SECOND)

        found = self.crashes(REFUSED, [FIRST], fall_later, check_s=0.3)
        self.assertEqual([(SECOND,)], [crash.requests for crash in found])

    def test_server_that_answers_after_the_loss_has_not_crashed(self):
        """Guards against blame for a server that another cause ends later."""

        def answer(fleet):
            loop, member = asyncio.get_running_loop(), fleet.members["s1"]
            loop.call_later(0.09, fleet.note_alive, member, loop.time() + 0.09)

        self.assertEqual([], self.crashes(REFUSED, [FIRST], answer))

    def test_crash_without_a_suspect_prompt_is_reported_as_such(self):
        """Guards against blame by kills that nobody knows to be kills."""
        found = self.crashes(REFUSED, [None, RequestContent("shop", ())])
        self.assertEqual([()], [crash.requests for crash in found])


if __name__ == "__main__":
    unittest.main()
