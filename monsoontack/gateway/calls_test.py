"""Tests of calls to plain services, with scripted servers on a paused clock."""

import asyncio
import json
import unittest
from dataclasses import replace

from monsoontack.admission.hedge import Hedging
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.attemptresult import AttemptResult
from monsoontack.gateway.budgets import RetryBudgets
from monsoontack.gateway.callrun import MAX_BUFFERED_RESPONSE_BYTES
from monsoontack.gateway.calls import CallForwarder
from monsoontack.gateway.job import AttemptRecord
from monsoontack.gateway.outbound import ExchangeFailure, FailureKind
from monsoontack.gateway.records import RequestKind, ResponseHead
from monsoontack.routing.ejection import FAILURES_TO_EJECT
from monsoontack.routing.linkbudget import EntryLinkBudget
from monsoontack.routing.picker import Picker
from standins.gatewayfakes import (
    HOME,
    NEAR,
    ScriptedSender,
    SlowResponder,
    make_fleet,
    make_job,
    make_rng,
    make_route,
    make_server,
)

REFUSED = ExchangeFailure(FailureKind.CONNECT, False, "refused")


def response_script(status=200, body=b"ok", after_s=0.05, headers=()):
    async def play(exchange, attempt):
        await asyncio.sleep(after_s)
        exchange.answer(status, headers)
        exchange.add_body(body)
        exchange.end()

    return play


def reset_script(after_s=0.02):
    async def play(exchange, attempt):
        await asyncio.sleep(after_s)
        exchange.fail(FailureKind.RESET, True, "reset")

    return play


async def hang_script(exchange, attempt):
    await asyncio.sleep(100)


def make_forwarder(scripts, connect_s=0.0, extra=20.0):
    places = dict(zip(scripts, (HOME, NEAR, NEAR), strict=False))
    fleet = make_fleet(places)
    sender = ScriptedSender(fleet, scripts, connect_s)
    link = EntryLinkBudget.for_entries(1, 0.0)
    picker = Picker(HOME, link, ejection=fleet.ejection)
    budgets = RetryBudgets(0.8, extra, 10.0)
    return CallForwarder(fleet, sender, picker, budgets, Hedging(), make_rng())


class ServerHealthTest(unittest.TestCase):
    """Health of servers across the end of one and the start of another."""

    def fail_often(self, forwarder, member):
        async def record():
            now = forwarder.sender.now()
            for _ in range(FAILURES_TO_EJECT):
                result = AttemptResult(member, AttemptRecord("", now))
                result.failure = ExchangeFailure(FailureKind.RESET, True, "reset")
                forwarder.record_result(result, now)

        run_in_virtual_time(record())

    def picked(self, forwarder):
        async def pick():
            job = make_job(make_route(RequestKind.ONCE))
            picks = [forwarder.pick(job, set()) for _ in range(100)]
            return {member.server.incarnation for member in picks}

        return run_in_virtual_time(pick())

    def test_newcomer_at_the_address_of_an_ejected_server_is_used(self):
        """Guards against a server that gets no calls because a server of another
        service, which had its address before, was ejected."""
        forwarder = make_forwarder({})
        fleet = forwarder.fleet
        former = [replace(make_server(n), service="desk") for n in ("o1", "o2")]
        for server in former:
            fleet.put(server, False)
        for server in former:
            self.fail_often(forwarder, fleet.members[server.incarnation])
        for server in former:
            fleet.remove(server.incarnation)
        for name, server in zip(("n1", "n2"), former, strict=True):
            fleet.put(replace(make_server(name), address=server.address), False)
        self.assertEqual({"n1", "n2"}, self.picked(forwarder))

    def test_health_of_servers_is_removed_with_them(self):
        """Guards against memory that grows with each server that ever failed, and
        against ejections that are skipped because ended servers count as ejected."""
        forwarder = make_forwarder({name: None for name in ("s1", "s2")})
        fleet = forwarder.fleet
        gone = fleet.members["s1"]
        self.fail_often(forwarder, gone)
        fleet.remove("s1")
        self.fail_often(forwarder, gone)
        self.assertLessEqual(set(fleet.ejection.health), {"s2@0"})

    def test_restarted_server_is_not_ejected_for_its_former_start(self):
        """Guards against a server that gets no calls for minutes after a restart that
        cured it."""
        forwarder = make_forwarder({})
        fleet = forwarder.fleet
        for name in ("s1", "s2"):
            fleet.put(make_server(name), False)
        for member in list(fleet.members.values()):
            self.fail_often(forwarder, member)
        for member in list(fleet.members.values()):
            fleet.put(replace(member.server, started_unix_ms=2000), False)
            self.fail_often(forwarder, member)
        self.assertEqual({"s1", "s2"}, self.picked(forwarder))

    def test_misdirected_call_to_a_former_start_removes_no_other(self):
        """Guards against a restarted server that gets no calls because a late call to
        its former address found another server there."""
        forwarder = make_forwarder({})
        fleet = forwarder.fleet
        server = make_server("s1")
        fleet.put(server, False)
        former = fleet.members["s1"]
        fleet.put(replace(server, address="10.0.0.9:1", started_unix_ms=2000), False)
        head = ResponseHead(421, None, True, signed=False, encoded=False, forwarded=())

        async def record():
            now = forwarder.sender.now()
            for member in (former, fleet.members["s1"]):
                result = AttemptResult(member, AttemptRecord("", now))
                result.response_head = head
                forwarder.record_result(result, now)
                left.append(set(fleet.members))

        left = []
        run_in_virtual_time(record())
        self.assertEqual([{"s1"}, set()], left)

    def test_newcomer_is_used_while_the_former_server_is_listed_at_its_address(self):
        """Guards against calls that fail although a server of their service runs, at
        the address of one that ended and whose record has not expired yet."""
        misdirected = response_script(421, headers=((b"not-run", b"1"),))
        scripts = {"new": response_script(), "ended": misdirected}
        for names in (("new", "ended"), ("ended", "new")):
            forwarder = make_forwarder({})
            forwarder.sender.scripts.update(scripts)
            for name in names:
                server = replace(make_server(name), address="10.0.0.9:1")
                forwarder.fleet.put(server, False)

            async def serve(forwarder=forwarder):
                job = make_job(make_route(RequestKind.ONCE, attempts=2))
                await forwarder.serve(job)
                return job.responder.status

            for _ in range(3):
                self.assertEqual(200, run_in_virtual_time(serve()))

    def test_records_of_ended_servers_use_up_no_attempts_of_a_call(self):
        """Guards against a call that is refused after its route's attempts went to the
        records of ended servers, although a server of its service runs."""
        misdirected = response_script(421, headers=((b"not-run", b"1"),))
        ended = ["ended-1", "ended-2", "ended-3"]
        scripts = dict.fromkeys(ended, misdirected) | {"new": response_script()}

        async def serve(forwarder, kind):
            job = make_job(make_route(kind, attempts=1))
            await forwarder.serve(job)
            return job.responder.status

        for kind in (RequestKind.ONCE, RequestKind.IDEMPOTENT):
            for place in range(len(scripts)):
                forwarder = make_forwarder({})
                forwarder.sender.scripts.update(scripts)
                for name in (*ended[:place], "new", *ended[place:]):
                    forwarder.fleet.put(make_server(name), False)
                status = run_in_virtual_time(serve(forwarder, kind))
                self.assertEqual(200, status, (kind, place))
                sent = [a.server.incarnation for a in forwarder.sender.sent]
                self.assertEqual(1, sent.count("new"))

    def test_servers_that_all_refuse_a_call_as_misdirected_end_it_soon(self):
        """Guards against a call that goes on through a long list of ended servers."""
        misdirected = response_script(421, headers=((b"not-run", b"1"),))
        names = [f"ended-{number}" for number in range(20)]
        forwarder = make_forwarder({})
        forwarder.sender.scripts.update(dict.fromkeys(names, misdirected))
        for name in names:
            forwarder.fleet.put(make_server(name), False)

        async def serve():
            job = make_job(make_route(RequestKind.ONCE, attempts=2))
            await forwarder.serve(job)
            return job

        job = run_in_virtual_time(serve())
        self.assertEqual(503, job.responder.status)
        self.assertIn(b'"not_run"', job.responder.body)
        self.assertEqual(6, len(job.tries))


class NonIdempotentCallTest(unittest.TestCase):
    """Calls that must not run twice."""

    def serve(self, scripts, attempts=1, **options):
        async def scenario():
            forwarder = make_forwarder(scripts, **options)
            job = make_job(make_route(RequestKind.ONCE, attempts=attempts))
            await forwarder.serve(job)
            await asyncio.sleep(5)
            return forwarder, job

        return run_in_virtual_time(scenario())

    def test_reset_after_send_is_unknown_and_never_retried(self):
        """Guards against a call that runs twice because its response was lost."""
        scripts = {
            "s1": reset_script(),
            "s2": response_script(),
            "s3": response_script(),
        }
        forwarder, job = self.serve(scripts, attempts=3)
        self.assertEqual(502, job.responder.status)
        self.assertEqual(1, len(forwarder.sender.sent))
        document = json.loads(job.responder.body)
        self.assertEqual("unknown", document["error"]["run_state"])

    def test_refused_connection_is_retried_at_another_server(self):
        """Guards against an error while another server could run the call."""
        scripts = {"s1": REFUSED, "s2": response_script(), "s3": response_script()}
        forwarder, job = self.serve(scripts)
        self.assertEqual(200, job.responder.status)
        self.assertEqual(1, len(forwarder.sender.sent))

    def test_endless_error_response_is_aborted_early(self):
        """Guards against a faulty server that delays a call until its deadline, and
        against unbounded memory use by its response."""
        exchanges = []

        async def endless(exchange, attempt):
            exchanges.append(exchange)
            exchange.answer(500, ((b"mark", b"m"),))
            while not exchange.is_finished:
                exchange.add_body(b"x" * 10_000)
                await asyncio.sleep(0.001)

        _, job = self.serve({"s1": endless}, attempts=1)
        self.assertEqual(502, job.responder.status)
        self.assertLess(job.tries[0].ended_at - job.started_at, 0.5)
        self.assertEqual("oversized", job.tries[0].result)
        self.assertIsNotNone(exchanges[0].aborted_at)

    def test_unsigned_success_is_aborted_at_its_head(self):
        """Guards against reading the whole body of an unsigned response."""

        async def foreign(exchange, attempt):
            exchange.answer(200, ((b"unsigned", b"1"),))
            while not exchange.is_finished:
                exchange.add_body(b"x")
                await asyncio.sleep(0.01)

        forwarder, job = self.serve({"s1": foreign}, attempts=1)
        self.assertEqual(502, job.responder.status)
        self.assertLess(job.tries[0].ended_at - job.started_at, 0.1)
        self.assertIsNotNone(forwarder.sender.exchanges[0].aborted_at)

    def test_rejection_by_a_full_server_has_a_retry_time(self):
        """Guards against more attempts than the route allows, and against an error
        response without a retry time."""
        full = response_script(503, headers=((b"not-run", b"1"),))
        forwarder, job = self.serve({"s1": full, "s2": full, "s3": full})
        self.assertEqual(1, len(forwarder.sender.sent))
        self.assertEqual(503, job.responder.status)
        self.assertIn(b"retry-after", dict(job.responder.headers))

    def test_deadline_while_connecting_prevents_the_send(self):
        """Guards against "not run" for a call that is sent after that response.

        This happened to calls with a few milliseconds left: the connection was
        established just after the caller had been told that the call did not run.
        """
        scripts = {
            "s1": response_script(),
            "s2": response_script(),
            "s3": response_script(),
        }
        forwarder, job = self.serve(scripts, connect_s=1.5)
        self.assertEqual(503, job.responder.status)
        self.assertEqual([], forwarder.sender.sent)

    def test_silent_server_gives_unknown_at_the_deadline(self):
        """Guards against a response after the deadline or a false "not run"."""
        _, job = self.serve(
            {"s1": hang_script, "s2": response_script(), "s3": response_script()}
        )
        self.assertEqual(504, job.responder.status)
        self.assertLessEqual(job.responder.answered_at, 1.01)

    def test_disconnect_of_the_caller_does_not_abort_the_call(self):
        """Guards against servers that abandon a call halfway."""

        async def scenario():
            forwarder = make_forwarder(
                {
                    "s1": response_script(after_s=0.3),
                    "s2": hang_script,
                    "s3": hang_script,
                }
            )
            job = make_job(make_route(RequestKind.ONCE))
            task = asyncio.ensure_future(forwarder.serve(job))
            await asyncio.sleep(0.1)
            job.responder.disconnect()
            await task
            await asyncio.sleep(1)
            return forwarder, job

        forwarder, job = run_in_virtual_time(scenario())
        self.assertEqual("caller_gone", job.outcome)
        self.assertIsNone(forwarder.sender.exchanges[0].aborted_at)

    def test_unsigned_success_is_not_forwarded(self):
        """Guards against a success without the signature of a server."""
        broken = response_script(200, headers=((b"unsigned", b"1"),))
        _, job = self.serve({"s1": broken, "s2": broken, "s3": broken})
        self.assertEqual(502, job.responder.status)

    def test_long_answer_cut_at_the_deadline_is_incomplete(self):
        """Guards against a long answer to a slow caller that loses its end and looks
        whole, because the server's answer was complete by then."""
        part = b"x" * (MAX_BUFFERED_RESPONSE_BYTES + 1)

        async def long_script(exchange, attempt):
            exchange.answer(200)
            exchange.add_body(part)
            await asyncio.sleep(0.1)
            exchange.add_body(b"the end")
            exchange.end()

        async def scenario(write_s):
            forwarder = make_forwarder({"s1": long_script})
            job = make_job(make_route(RequestKind.ONCE))
            job.responder = SlowResponder(write_s)
            await forwarder.serve(job)
            return job.responder

        for write_s, is_whole in ((0.01, True), (2.0, False)):
            with self.subTest(is_whole=is_whole):
                responder = run_in_virtual_time(scenario(write_s))
                self.assertEqual(is_whole, responder.body == part + b"the end")
                self.assertEqual(is_whole, responder.finished)
                self.assertEqual(not is_whole, responder.was_aborted)

    def test_refusals_after_an_attempt_that_may_have_run(self):
        """Guards against "not run" for a call that one server broke off and another
        refused, and against "unknown" for one that was not sent at all."""
        unsent = ExchangeFailure(FailureKind.UNWANTED, False, "no longer wanted")
        full = response_script(503, headers=((b"not-run", b"1"),))
        cases = [
            ({"s1": unsent, "s2": unsent, "s3": unsent}, 503),
            ({"s1": full, "s2": unsent, "s3": full}, 503),
            ({"s1": reset_script(), "s2": reset_script(), "s3": reset_script()}, 502),
        ]
        for scripts, status in cases:
            with self.subTest(scripts=scripts):
                _, job = self.serve(scripts, attempts=3)
                self.assertEqual(status, job.responder.status)

    def test_refusal_of_a_call_that_may_have_run_is_not_forwarded(self):
        """Guards against "not run" for a call that a server may have run: its response
        has a status of refusals but does not state that the call was not run."""
        for status in (408, 429, 503):
            with self.subTest(status=status):
                unstated = response_script(status)
                scripts = {"s1": unstated, "s2": unstated, "s3": unstated}
                forwarder, job = self.serve(scripts, attempts=3)
                self.assertEqual(502, job.responder.status)
                self.assertEqual(1, len(forwarder.sender.sent))
                document = json.loads(job.responder.body)
                self.assertEqual("unknown", document["error"]["run_state"])


class IdempotentCallTest(unittest.TestCase):
    """Calls that may run more than once."""

    def serve(self, scripts, disconnect_at=None, **options):
        async def scenario():
            forwarder = make_forwarder(scripts, **options)
            job = make_job(make_route(RequestKind.IDEMPOTENT))
            task = asyncio.ensure_future(forwarder.serve(job))
            if disconnect_at is not None:
                await asyncio.sleep(disconnect_at)
                job.responder.disconnect()
            await task
            await asyncio.sleep(3)
            return forwarder, job

        return run_in_virtual_time(scenario())

    def test_failure_is_retried_at_another_server(self):
        """Guards against a caller that gets the error of a single server."""
        scripts = {
            "s1": response_script(500),
            "s2": response_script(),
            "s3": response_script(),
        }
        _, job = self.serve(scripts)
        self.assertEqual(200, job.responder.status)

    def test_call_whose_end_is_late_is_answered(self):
        """Guards against a call that is cut, or answered without its end, because all
        servers pause between the last byte and the end of the answer."""

        async def play(exchange, attempt):
            await asyncio.sleep(0.02)
            exchange.answer(200)
            exchange.add_body(b"ok")
            await asyncio.sleep(0.7)
            exchange.end()

        forwarder, job = self.serve(dict.fromkeys(("s1", "s2", "s3"), play))
        self.assertEqual((200, b"ok"), (job.responder.status, job.responder.body))
        self.assertTrue(all(item.is_finished for item in forwarder.sender.exchanges))
        self.assertLessEqual(len(job.tries), 2)

    def test_refusal_of_the_hedge_after_a_broken_off_attempt(self):
        """Guards against "not run" when the last of several attempts was refused."""
        full = response_script(503, headers=((b"not-run", b"1"),))
        scripts = {"s1": reset_script(after_s=0.3), "s2": full, "s3": full}
        _, job = self.serve(scripts)
        self.assertEqual(502, job.responder.status)

    def test_refusal_that_states_nothing_is_retried(self):
        """Guards against a refusal of one server that reaches the caller."""
        scripts = {
            "s1": response_script(429),
            "s2": response_script(),
            "s3": response_script(),
        }
        _, job = self.serve(scripts)
        self.assertEqual(200, job.responder.status)

    def test_second_failure_is_forwarded_unchanged(self):
        """Guards against a signed error response whose status was changed."""
        scripts = {"s1": response_script(500, b"e"), "s2": response_script(500, b"e")}
        forwarder, job = self.serve(scripts | {"s3": response_script(500, b"e")})
        self.assertEqual((500, b"e"), (job.responder.status, job.responder.body))
        self.assertEqual(2, len(forwarder.sender.sent))

    def test_late_call_is_hedged_and_the_slower_attempt_aborted(self):
        """Guards against a server that hangs, and against work for no caller."""
        scripts = {"s1": hang_script, "s2": response_script(), "s3": response_script()}
        forwarder, job = self.serve(scripts)
        self.assertEqual(200, job.responder.status)
        self.assertLess(job.responder.answered_at, 0.4)
        self.assertIsNotNone(forwarder.sender.exchanges[0].aborted_at)

    def test_budget_limits_retries(self):
        """Guards against retries that multiply the load of a failing service."""
        scripts = {
            "s1": response_script(500),
            "s2": response_script(500),
            "s3": response_script(500),
        }

        async def scenario():
            forwarder = make_forwarder(scripts, extra=5.0)
            for _ in range(100):
                job = make_job(make_route(RequestKind.IDEMPOTENT))
                await forwarder.serve(job)
            return forwarder

        forwarder = run_in_virtual_time(scenario())
        retries = len(forwarder.sender.sent) - 100
        self.assertLessEqual(retries, 0.8 * 100 + 5)

    def test_disconnect_of_the_caller_aborts_the_call(self):
        """Guards against servers that work for disconnected callers."""
        forwarder, _ = self.serve(
            {"s1": hang_script, "s2": hang_script, "s3": hang_script}, 0.1
        )
        self.assertAlmostEqual(0.1, forwarder.sender.exchanges[0].aborted_at, 2)


if __name__ == "__main__":
    unittest.main()
