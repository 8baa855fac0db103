"""Tests of stream failover to another engine, on a paused clock."""

import asyncio
import unittest
from dataclasses import replace

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.budgets import RetryBudgets
from monsoontack.gateway.outbound import ExchangeFailure, FailureKind
from monsoontack.gateway.peers import peer_pool
from monsoontack.gateway.records import EngineTraits, RequestKind, ServiceTraits
from monsoontack.gateway.streams import StreamForwarder
from monsoontack.loadview.exchange import EngineUsage, LoadExchange, LoadMessage
from standins.gatewayfakes import (
    HOME,
    NEAR,
    SERVICE,
    ScriptedSender,
    SlowResponder,
    make_fleet,
    make_job,
    make_rng,
    make_route,
)

REFUSED = ExchangeFailure(FailureKind.CONNECT, False, "refused")
TRAITS = {SERVICE: ServiceTraits(SERVICE, 100, EngineTraits(8, 88_000, True, 4.0))}
EVENTS = 40
GAP_S = 0.05


def make_event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


ALL_EVENTS = b"".join(make_event(number) for number in range(1, EVENTS + 1))


def engine_script(
    first_s=1.0, fails_after=None, failure_mode="reset", has_copy=True, split_at=None
):
    """Return the script of an engine that streams and may fail after an event.

    It fails after the event `fails_after`, by a reset or by silence (`failure_mode`).
    Only runs from the start fail, so every engine of a test may have such a script.
    With `split_at`, a part of the next event is sent before the failure.
    """

    async def play(exchange, attempt):
        if attempt.copy is not None and not has_copy:
            exchange.answer(503, ((b"not-run", b"1"),))
            exchange.end()
            return
        start = int(attempt.last_event_id or 0) + 1
        is_first = attempt.last_event_id is None
        await asyncio.sleep(0.1 if attempt.copy else first_s)
        exchange.answer(200, ((b"mark", attempt.server.incarnation.encode()),))
        for number in range(start, EVENTS + 1):
            if is_first and fails_after is not None and number > fails_after:
                if split_at:
                    exchange.add_body(make_event(number)[:8])
                if failure_mode == "reset":
                    exchange.fail(FailureKind.RESET, True, "reset")
                return
            exchange.add_body(make_event(number))
            await asyncio.sleep(GAP_S)
        exchange.end()

    return play


def make_forwarder(scripts, places, extra=50.0):
    fleet = make_fleet(dict(zip(scripts, places, strict=True)))
    sender = ScriptedSender(fleet, scripts)
    budgets = RetryBudgets(0.8, extra, 10.0)
    forwarder = StreamForwarder(HOME, fleet, sender, budgets, make_rng())
    forwarder.traits = TRAITS
    return forwarder


def stream_route(**changes):
    fields = {"resumable": True, "max_gap_s": 0.7, "timeout_s": 25.0, "attempts": 5}
    return make_route(RequestKind.STREAM, **(fields | changes))


def serve_stream(
    scripts, places=(HOME, NEAR, NEAR), deadline_s=25.0, disconnect_at=None, **route
):
    async def scenario():
        forwarder = make_forwarder(scripts, places)
        job = make_job(stream_route(**route), deadline_s=deadline_s)
        task = asyncio.ensure_future(forwarder.serve(job))
        if disconnect_at is not None:
            await asyncio.sleep(disconnect_at)
            job.responder.disconnect()
        await task
        return forwarder, job

    return run_in_virtual_time(scenario())


def unframed_script(parts, failure=None):
    """Return the script of an engine whose answer ends with its connection."""

    async def play(exchange, attempt):
        await asyncio.sleep(0.1)
        exchange.ends_with_connection = True
        exchange.answer(200)
        for part in parts if attempt.last_event_id is None else ():
            exchange.add_body(part)
            await asyncio.sleep(GAP_S)
        if attempt.last_event_id is not None:
            for number in range(int(attempt.last_event_id) + 1, EVENTS + 1):
                exchange.add_body(make_event(number))
        if failure is not None and attempt.last_event_id is None:
            exchange.fail(failure, True, "reset")
            return
        exchange.end()

    return play


class UnframedAnswerTest(unittest.TestCase):
    """Streams with neither a length nor chunks."""

    def serve(self, parts, failure=None):
        script = unframed_script(parts, failure)
        _, job = serve_stream(dict.fromkeys(("s1", "s2", "s3"), script))
        return job

    def test_end_of_the_connection_after_an_event_completes_the_stream(self):
        """Guards against whole answers without a length that count as broken off."""
        job = self.serve([ALL_EVENTS])
        self.assertEqual(ALL_EVENTS, job.responder.body)
        self.assertTrue(job.responder.finished)
        self.assertEqual(1, len(job.tries))

    def test_end_inside_an_event_is_a_loss(self):
        """Guards against a stream that ends as whole although its engine fell."""
        job = self.serve([make_event(1), make_event(2)[:8]])
        self.assertEqual(ALL_EVENTS, job.responder.body)
        self.assertGreater(len(job.tries), 1)

    def test_reset_after_an_event_is_a_loss(self):
        """Guards against a reset that is taken for the end of the answer."""
        job = self.serve([make_event(1)], FailureKind.RESET)
        self.assertEqual(ALL_EVENTS, job.responder.body)
        self.assertGreater(len(job.tries), 1)

    def test_end_before_the_first_event_is_a_loss(self):
        """Guards against an empty success for an engine that ended at once."""
        job = self.serve([])
        self.assertEqual(502, job.responder.status)


class EngineLossTest(unittest.TestCase):
    """Loss of the engine during a stream."""

    def test_reset_resumes_from_the_copy_within_the_gap_limit(self):
        """Guards against a long pause, and lost or repeated events after a crash."""
        scripts = {name: engine_script(fails_after=20) for name in ("s1", "s2", "s3")}
        forwarder, job = serve_stream(scripts)
        self.assertEqual(ALL_EVENTS, job.responder.body)
        self.assertTrue(job.responder.finished)
        first, resumed = forwarder.sender.sent
        self.assertEqual(first.backup, resumed.copy.address)
        self.assertEqual("20", resumed.last_event_id)
        self.assertLess(job.worst_gap_s, 0.7)

    def test_copy_is_in_another_failure_domain(self):
        """Guards against a copy that is lost together with the run."""
        scripts = {name: engine_script() for name in ("s1", "s2", "s3", "s4")}
        places = (HOME, HOME, NEAR, NEAR)
        domain = {"s1": HOME, "s2": HOME, "s3": NEAR, "s4": NEAR}
        forwarder, _ = serve_stream(scripts, places)
        sent = forwarder.sender.sent[0]
        kept = sent.backup.rpartition(":")[2]
        self.assertNotEqual(sent.server.place, domain[kept])

    def test_run_of_silent_engine_is_aborted_and_resumed(self):
        """Guards against streams that wait for a dead engine, and duplicate work."""
        scripts = {
            name: engine_script(fails_after=15, failure_mode="silent")
            for name in ("s1", "s2", "s3")
        }

        async def scenario():
            forwarder = make_forwarder(scripts, (HOME, NEAR, NEAR))
            job = make_job(stream_route(), deadline_s=25.0)
            task = asyncio.ensure_future(forwarder.serve(job))
            await asyncio.sleep(1.9)
            for name in scripts:
                scripts[name] = engine_script()
            await task
            return forwarder, job

        forwarder, job = run_in_virtual_time(scenario())
        self.assertEqual(ALL_EVENTS, job.responder.body)
        self.assertLess(job.worst_gap_s, 0.7)
        self.assertIsNotNone(forwarder.sender.exchanges[0].aborted_at)

    def test_event_cut_by_a_failure_is_sent_again(self):
        """Guards against part of an event joined with an event of another run."""
        failing = engine_script(fails_after=12, split_at=13)
        scripts = {"s1": failing, "s2": failing, "s3": failing}
        _, job = serve_stream(scripts)
        self.assertEqual(ALL_EVENTS, job.responder.body)

    def test_missing_copy_leads_to_a_restart(self):
        """Guards against a stream that ends because its copy was lost as well."""
        scripts = {
            "s1": engine_script(fails_after=10, has_copy=False),
            "s2": engine_script(fails_after=10, has_copy=False),
            "s3": engine_script(has_copy=False),
        }
        _, job = serve_stream(scripts)
        self.assertEqual(ALL_EVENTS, job.responder.body)

    def test_loss_before_the_first_event_restarts_without_copy(self):
        """Guards against futile attempts, since a run without events has no copy."""
        scripts = {
            "s1": engine_script(fails_after=0),
            "s2": engine_script(fails_after=0),
            "s3": engine_script(),
        }
        forwarder, job = serve_stream(scripts)
        self.assertEqual(ALL_EVENTS, job.responder.body)
        self.assertTrue(all(sent.copy is None for sent in forwarder.sender.sent))

    def test_failure_domain_fails_while_many_streams_run(self):
        """Guards against a retry budget that fills too slowly for such failures.

        A third of the engines fails at once, every few seconds. With a token bucket,
        streams of a failed domain ended although an engine had their copy.
        """

        async def scenario():
            places = [HOME] * 2 + [NEAR] * 4
            names = [f"s{number}" for number in range(6)]
            failed = {"s0", "s1"}
            scripts = {
                name: engine_script(fails_after=20)
                if name in failed
                else engine_script()
                for name in names
            }
            forwarder = make_forwarder(scripts, places, extra=30.0)
            jobs = [make_job(stream_route(), f"id-{n}", 25.0) for n in range(20)]
            await asyncio.gather(*(forwarder.serve(job) for job in jobs))
            return jobs

        jobs = run_in_virtual_time(scenario())
        complete_count = sum(job.responder.body == ALL_EVENTS for job in jobs)
        self.assertEqual(len(jobs), complete_count)
        self.assertLess(max(job.worst_gap_s for job in jobs), 0.7)


class StreamEndTest(unittest.TestCase):
    """Streams that do not complete, and engines that never send an event."""

    def test_stream_that_is_not_resumable_is_cut(self):
        """Guards against a second run of a stream that must not run twice."""
        scripts = {name: engine_script(fails_after=10) for name in ("s1", "s2", "s3")}
        forwarder, job = serve_stream(scripts, resumable=False)
        self.assertEqual(1, len(forwarder.sender.sent))
        self.assertTrue(job.responder.was_aborted)
        self.assertFalse(job.responder.finished)

    def test_stream_cut_at_the_deadline_is_incomplete(self):
        """Guards against a truncated response that looks complete."""
        scripts = {name: engine_script() for name in ("s1", "s2", "s3")}
        forwarder, job = serve_stream(scripts, deadline_s=2.0)
        self.assertTrue(job.responder.was_aborted)
        self.assertFalse(job.responder.finished)
        self.assertIsNotNone(forwarder.sender.exchanges[0].aborted_at)

    def test_events_that_come_while_the_caller_reads_are_delivered(self):
        """Guards against a stream that ends as whole without its last events, because
        the engine's answer became complete while the caller read others."""

        async def script(exchange, attempt):
            exchange.answer(200)
            for number in range(1, EVENTS + 1):
                exchange.add_body(make_event(number))
                await asyncio.sleep(GAP_S)
            exchange.end()

        async def scenario(write_s):
            forwarder = make_forwarder({"s1": script}, (HOME,))
            job = make_job(stream_route(), deadline_s=25.0)
            job.responder = SlowResponder(write_s)
            await forwarder.serve(job)
            return job.responder

        for write_s in (0.0, 0.07, 0.5, 3.0):
            with self.subTest(write_s=write_s):
                responder = run_in_virtual_time(scenario(write_s))
                self.assertEqual(ALL_EVENTS, responder.body)
                self.assertTrue(responder.finished)

    def test_disconnect_of_the_caller_aborts_the_run(self):
        """Guards against engines that generate for disconnected callers."""
        scripts = {name: engine_script() for name in ("s1", "s2", "s3")}
        forwarder, job = serve_stream(scripts, disconnect_at=1.5)
        self.assertEqual("caller_gone", job.outcome)
        self.assertLess(forwarder.sender.exchanges[0].aborted_at, 1.75)

    def test_no_reachable_engine_is_reported_at_once(self):
        """Guards against a wait until the deadline when no engine is reachable."""
        scripts = {name: REFUSED for name in ("s1", "s2", "s3")}
        _, job = serve_stream(scripts)
        self.assertEqual(503, job.responder.status)
        self.assertLess(job.responder.answered_at, 0.1)
        self.assertIn(b"retry-after", dict(job.responder.headers))

    def test_engine_that_died_while_it_read_the_prompt(self):
        """Guards against a wait for the whole predicted time of the first event.

        The engine dies while it reads the prompt, and accepts no connections any more.
        """

        async def scenario():
            scripts = {
                name: engine_script(first_s=100.0) for name in ("s1", "s2", "s3")
            }
            forwarder = make_forwarder(scripts, (HOME, NEAR, NEAR))
            job = make_job(stream_route(), deadline_s=25.0)
            task = asyncio.ensure_future(forwarder.serve(job))
            await asyncio.sleep(0.3)
            first = forwarder.sender.sent[0].server.incarnation
            for name in scripts:
                scripts[name] = REFUSED if name == first else engine_script()
            await task
            return job

        job = run_in_virtual_time(scenario())
        self.assertEqual(ALL_EVENTS, job.responder.body)
        self.assertLess(job.first_event_at, 2.5)


class UnstatedRefusalTest(unittest.TestCase):
    """Statuses of refusals that do not say that the request was not run."""

    def serve(self, status, loses_first, resumable):
        reset = [loses_first]

        async def play(exchange, attempt):
            if reset.pop() if reset else False:
                exchange.fail(FailureKind.RESET, True, "reset")
                return
            exchange.answer(status, ((b"retry-after", b"1"),))
            exchange.add_body(b"try again")
            exchange.end()

        return serve_stream(
            dict.fromkeys(("s1", "s2", "s3"), play), resumable=resumable
        )

    def test_refusal_of_a_stream_that_may_have_run_is_not_forwarded(self):
        """Guards against "not run, try again" for a stream that an engine may have
        run, alone and after another engine lost it."""
        for status in (408, 429, 503):
            for loses_first in (False, True):
                for resumable in (False, True):
                    with self.subTest((status, loses_first, resumable)):
                        _, job = self.serve(status, loses_first, resumable)
                        self.assertTrue(job.may_have_run)
                        self.assertEqual(502, job.responder.status)


class SharedLoadTest(unittest.TestCase):
    """Placement by reports from other entries."""

    def first_engine(self, prepare):
        """Return the engine of a stream that follows a call of `prepare`."""

        async def scenario():
            forwarder = make_forwarder(
                {f"s{n}": engine_script() for n in range(3)}, (HOME,) * 3
            )
            forwarder.share_load_with_peers(LoadExchange("one", peer_pool()))
            await asyncio.sleep(1.0)
            prepare(forwarder)
            await forwarder.serve(make_job(stream_route(), deadline_s=25.0))
            return forwarder.sender.sent[0].server.incarnation

        return run_in_virtual_time(scenario())

    def test_engines_used_by_other_entries_are_avoided(self):
        """Guards against many entries with few runs each that use the same engines."""

        def prepare(forwarder):
            use = EngineUsage(2, 8000, 18_000)
            uses = {name: use for name in ("s0@0", "s2@0")}
            message = LoadMessage("two", True, True, uses, {}, ())
            forwarder.load_exchange.peer_loads.apply(message, forwarder.sender.now())

        self.assertEqual("s1", self.first_engine(prepare))

    def test_prompt_of_another_entry_goes_to_the_same_engine(self):
        """Guards against prompts read anew when entries fail and their callers come
        back through other entries."""
        for name in ("s0", "s1", "s2"):
            key = f"{name}@0"
            chosen = self.first_engine(lambda f, k=key: f.record_prompt("part-1", k))
            self.assertEqual(name, chosen)

    def test_prompt_is_not_expected_in_the_cache_of_a_restarted_engine(self):
        """Guards against prompts that queue at an engine for a cache that it lost."""
        expected = self.first_engine(lambda forwarder: None)
        for name in {"s0", "s1", "s2"} - {expected}:

            def restart(forwarder, name=name):
                forwarder.record_prompt("part-1", f"{name}@0")
                server = forwarder.fleet.members[name].server
                forwarder.fleet.put(replace(server, started_unix_ms=1000), False)

            self.assertEqual(expected, self.first_engine(restart))

    def test_engine_that_failed_another_entry_is_avoided(self):
        """Guards against a preference for a dead engine, which has the lowest load."""
        for name in ("s0", "s1", "s2"):
            key = f"{name}@0"
            chosen = self.first_engine(lambda f, k=key: f.note_peer_failure(k))
            self.assertNotEqual(name, chosen)


if __name__ == "__main__":
    unittest.main()
