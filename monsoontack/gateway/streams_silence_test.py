"""Tests of streams whose engines fall silent and go on, on a paused clock."""

import asyncio
import unittest
from unittest.mock import patch

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.fleet import MAX_AVOID_S
from monsoontack.gateway.streams import StreamForwarder
from monsoontack.gateway.streams_test import (
    ALL_EVENTS,
    EVENTS,
    GAP_S,
    TRAITS,
    engine_script,
    make_event,
    make_forwarder,
    stream_route,
)
from standins.gatewayfakes import HOME, NEAR, SERVICE, make_job, make_server

NAMES = ("s1", "s2", "s3")
PLACES = (HOME, NEAR, NEAR)
SLOTS = TRAITS[SERVICE].engine.slots
# With the first event after 1 s and one every 0.05 s, the stream has 10 events by then.
SILENT_FROM_S = 1.5


def pausing_script(silent_s, silent_from_s=SILENT_FROM_S, first_s=1.0):
    """Return the script of an engine that is silent for a time, then goes on.

    The times are those of the event loop, so engines may be silent together.
    """

    async def play(exchange, attempt):
        now = asyncio.get_running_loop().time

        async def wait_while_silent():
            if silent_from_s <= now() < silent_from_s + silent_s:
                await asyncio.sleep(silent_from_s + silent_s - now())

        await asyncio.sleep(0.1 if attempt.copy else first_s)
        await wait_while_silent()
        exchange.answer(200, ((b"mark", attempt.server.incarnation.encode()),))
        for number in range(int(attempt.last_event_id or 0) + 1, EVENTS + 1):
            await wait_while_silent()
            exchange.add_body(make_event(number))
            await asyncio.sleep(GAP_S)
        exchange.end()

    return play


async def refuse(exchange, attempt):
    """Refuse a request as an engine without room does."""
    exchange.answer(503, ((b"not-run", b"1"),))
    exchange.end()


def serve(scripts, deadline_s=25.0, extra=50.0, change=None, rollouts=None, **route):
    """Serve a stream; `change` is called with the forwarder during the silence."""

    async def scenario():
        forwarder = make_forwarder(scripts, PLACES[: len(scripts)], extra)
        forwarder.rollouts = rollouts
        job = make_job(stream_route(**route), deadline_s=deadline_s)
        task = asyncio.ensure_future(forwarder.serve(job))
        if change is not None:
            await asyncio.sleep(SILENT_FROM_S + 0.1)
            change(forwarder)
        await task
        return forwarder, job, forwarder.sender.now() - job.started_at

    return run_in_virtual_time(scenario())


class FakeRollouts:
    """Records for each attempt whether it counts as a failure of the version."""

    def __init__(self):
        self.failed = []

    def eligible_servers(self, service, servers, can_take=lambda member: True):
        return servers

    def note_request(self, service):
        pass

    def note_sent(self, member):
        pass

    def note_ended(self, member, route, failed, latency_s=None, gap_s=None):
        self.failed.append(failed)


class SilentEnginesTest(unittest.TestCase):
    """Engines that are silent for a second or two, several at a time."""

    def check_whole(self, job):
        self.assertEqual(ALL_EVENTS, job.responder.body)
        self.assertTrue(job.responder.finished)

    def test_stream_without_further_attempts_waits_for_its_engine(self):
        """Guards against a stream that is cut before its deadline because its engine
        falls silent when the route's attempts are used up."""
        for attempts in (1, 2):
            for silent_s in (1.0, 2.0):
                scripts = dict.fromkeys(NAMES, pausing_script(silent_s))
                _, job, _ = serve(scripts, attempts=attempts)
                self.check_whole(job)
                self.assertLessEqual(len(job.tries), attempts)

    def test_stream_without_retry_budget_waits_for_its_engine(self):
        """Guards against a stream that is cut because its engine falls silent when
        the retry budget is used up."""
        scripts = dict.fromkeys(NAMES, pausing_script(2.0))
        _, job, _ = serve(scripts, extra=0.0)
        self.check_whole(job)
        self.assertEqual(1, len(job.tries))

    def test_stream_close_to_its_deadline_waits_for_its_engine(self):
        """Guards against a stream that is cut a second before its deadline, when a new
        start would come too late but the silent engine does not."""
        scripts = {"s1": pausing_script(0.7, first_s=0.3, silent_from_s=2.0)}
        _, job, took_s = serve(scripts, deadline_s=3.2)
        self.check_whole(job)
        self.assertLess(took_s, 3.2)

    def test_prompt_at_a_silent_engine_is_waited_for(self):
        """Guards against an error before the deadline for a stream whose engine falls
        silent before the first event, when there is no other engine to use."""
        for silent_s in (4.0, 8.0):
            for attempts in (1, 5):
                scripts = {"s1": pausing_script(silent_s, 0.5)}
                _, job, _ = serve(scripts, attempts=attempts)
                self.check_whole(job)
                self.assertEqual(1, len(job.tries))

    def test_engine_that_is_silent_as_well_is_no_better(self):
        """Guards against attempts and prompts spent on engines that have just been
        found silent."""

        async def scenario():
            scripts = dict.fromkeys(NAMES, pausing_script(2.0))
            forwarder = make_forwarder(scripts, PLACES)
            jobs = [make_job(stream_route(), f"id-{n}", 25.0) for n in range(12)]
            await asyncio.gather(*(forwarder.serve(job) for job in jobs))
            return jobs

        jobs = run_in_virtual_time(scenario())
        for job in jobs:
            self.check_whole(job)
        self.assertLessEqual(sum(len(job.tries) - 1 for job in jobs), 4)

    def test_streams_do_not_move_among_engines_of_a_long_silence(self):
        """Guards against streams that move again and again between silent engines,
        because what was learned of those by other streams is forgotten too soon."""

        async def scenario():
            scripts = dict.fromkeys(NAMES, pausing_script(10.0))
            forwarder = make_forwarder(scripts, PLACES)
            jobs = [make_job(stream_route(), f"id-{n}", 25.0) for n in range(12)]
            await asyncio.gather(*(forwarder.serve(job) for job in jobs))
            return jobs

        jobs = run_in_virtual_time(scenario())
        for job in jobs:
            self.check_whole(job)
        self.assertLessEqual(sum(len(job.tries) - 1 for job in jobs), 4)

    def test_waiting_streams_make_no_placements_in_vain(self):
        """Guards against gateways whose CPU time goes into placements for streams that
        wait, although each engine is known to be silent."""
        placements = []
        engine_loads = StreamForwarder.engine_loads

        def count(forwarder, job, excluded):
            placements.append(job)
            return engine_loads(forwarder, job, excluded)

        async def scenario():
            scripts = dict.fromkeys(NAMES, pausing_script(10.0))
            forwarder = make_forwarder(scripts, PLACES)
            jobs = [make_job(stream_route(), f"id-{n}", 25.0) for n in range(12)]
            await asyncio.gather(*(forwarder.serve(job) for job in jobs))
            return jobs

        with patch.object(StreamForwarder, "engine_loads", count):
            jobs = run_in_virtual_time(scenario())
        tries = sum(len(job.tries) for job in jobs)
        self.assertLess(len(placements), tries + len(jobs))

    def test_refusals_after_a_silence_do_not_end_the_stream(self):
        """Guards against a stream that left a silent engine and is cut because the
        other engines have no room at that moment."""

        def fill(forwarder):
            scripts = forwarder.sender.scripts
            for name in NAMES:
                scripts[name] = refuse
            with_room = dict.fromkeys(NAMES, engine_script())
            asyncio.get_running_loop().call_later(2.0, scripts.update, with_room)

        for extra in (50.0, 4.0):
            scripts = dict.fromkeys(NAMES, pausing_script(3.0))
            _, job, _ = serve(scripts, extra=extra, change=fill)
            self.check_whole(job)

    def test_stream_outlasts_a_change_that_drops_its_service(self):
        """Guards against a stream that is cut because its service and servers are taken
        from the configuration while its engine is silent."""

        def drop(forwarder):
            forwarder.traits.clear()
            for name in NAMES:
                forwarder.fleet.remove(name)

        scripts = dict.fromkeys(NAMES, pausing_script(2.0))
        _, job, _ = serve(scripts, change=drop)
        self.check_whole(job)
        self.assertEqual(1, len(job.tries))

    def test_stream_goes_on_trying_after_many_refusals(self):
        """Guards against a stream that left a silent engine, has been refused often and
        is held until its deadline without being sent again."""

        def fill(forwarder):
            scripts = forwarder.sender.scripts
            for name in NAMES:
                scripts[name] = refuse
            with_room = dict.fromkeys(NAMES, engine_script())
            asyncio.get_running_loop().call_later(6.0, scripts.update, with_room)

        scripts = dict.fromkeys(NAMES, pausing_script(3.0))
        _, job, _ = serve(scripts, change=fill)
        self.check_whole(job)

    def test_stream_leaves_an_engine_that_does_not_go_on(self):
        """Guards against a stream that stays at a dead engine for seconds although the
        other engines, each of which failed once before, are sound again."""

        def fail_once(forwarder):
            now = asyncio.get_running_loop().time()
            for member in forwarder.fleet.of_service(SERVICE):
                if not member.in_flight:
                    forwarder.fleet.note_unreachable(member, now)
                    name = member.server.incarnation
                    forwarder.sender.scripts[name] = engine_script()

        scripts = dict.fromkeys(NAMES, pausing_script(100.0))
        _, job, _ = serve(scripts, change=fail_once)
        self.check_whole(job)
        self.assertLess(job.worst_gap_s, MAX_AVOID_S)

    def test_engine_without_a_free_slot_is_no_better(self):
        """Guards against a stream that leaves a pausing engine, is refused by the full
        ones and begins anew at the engine that it has left."""

        def fill(forwarder):
            for member in forwarder.fleet.of_service(SERVICE):
                if not member.in_flight:
                    member.in_flight = SLOTS
                    forwarder.sender.scripts[member.server.incarnation] = refuse

        for silent_s in (1.0, 2.0):
            scripts = dict.fromkeys(NAMES, pausing_script(silent_s))
            _, job, _ = serve(scripts, change=fill)
            self.check_whole(job)
            self.assertEqual(1, len(job.tries))

    def test_stream_leaves_a_hung_engine_for_full_ones(self):
        """Guards against a stream that stays at a dead engine until its deadline, as
        the other engines, which still queue runs, never have a free slot."""

        def fill(forwarder):
            for member in forwarder.fleet.of_service(SERVICE):
                if not member.in_flight:
                    member.in_flight = SLOTS
                    forwarder.sender.scripts[member.server.incarnation] = (
                        engine_script()
                    )

        scripts = dict.fromkeys(NAMES, pausing_script(100.0))
        _, job, took_s = serve(scripts, change=fill)
        self.check_whole(job)
        self.assertLess(took_s, 10.0)

    def test_stream_moves_once_another_engine_is_better(self):
        """Guards against a stream that waits for its silent engine although another
        one has become available."""

        def add_server(forwarder):
            forwarder.sender.scripts["s2"] = engine_script()
            server = make_server("s2", NEAR)
            asyncio.get_running_loop().call_later(
                1.0, forwarder.fleet.put, server, False
            )

        scripts = {"s1": pausing_script(15.0)}
        _, job, took_s = serve(scripts, change=add_server)
        self.check_whole(job)
        self.assertLess(took_s, 10.0)

    def test_stalled_error_body_is_waited_for(self):
        """Guards against an error of the entry's own in place of an engine's, because
        the engine paused inside its body."""

        async def play(exchange, attempt):
            exchange.answer(500, ((b"content-type", b"text/plain"),))
            exchange.add_body(b"out of ")
            await asyncio.sleep(1.8)
            exchange.add_body(b"luck")
            exchange.end()

        for options in ({"resumable": False}, {"attempts": 1}):
            _, job, _ = serve({"s1": play}, **options)
            self.assertEqual(500, job.responder.status)
            self.assertEqual(b"out of luck", job.responder.body)

    def test_stalled_body_of_a_final_error_is_waited_for(self):
        """Guards against a reset, and repeats at other engines, of a request that the
        engine has answered with an error which the caller gets anyway."""

        async def play(exchange, attempt):
            exchange.answer(404, ((b"content-type", b"text/plain"),))
            exchange.add_body(b"no such ")
            await asyncio.sleep(1.8)
            exchange.add_body(b"model")
            exchange.end()

        _, job, _ = serve(dict.fromkeys(NAMES, play))
        self.assertEqual(404, job.responder.status)
        self.assertEqual(b"no such model", job.responder.body)
        self.assertEqual(1, len(job.tries))

    def test_error_body_that_never_ends_is_left_as_a_silence(self):
        """Guards against a stream that left an engine which paused inside an error's
        body, and ends because the others have no room at that moment."""

        async def stall(exchange, attempt):
            await asyncio.sleep(1.0)
            exchange.answer(500, ((b"content-type", b"text/plain"),))
            exchange.add_body(b"out of ")

        def fill(forwarder):
            scripts = forwarder.sender.scripts
            scripts.update(dict.fromkeys(NAMES, refuse))
            with_room = dict.fromkeys(NAMES, engine_script())
            asyncio.get_running_loop().call_later(2.0, scripts.update, with_room)

        _, job, _ = serve(dict.fromkeys(NAMES, stall), change=fill)
        self.check_whole(job)


class DeadlineTest(unittest.TestCase):
    """Streams whose engine is silent at the deadline."""

    def test_begun_stream_ends_incomplete_at_its_deadline(self):
        """Guards against a stream that ends sooner, or as if it were whole, because its
        engine is still silent at the deadline."""
        for attempts in (1, 5):
            scripts = dict.fromkeys(NAMES, pausing_script(100.0))
            _, job, took_s = serve(scripts, deadline_s=5.0, attempts=attempts)
            self.assertTrue(job.responder.was_aborted)
            self.assertFalse(job.responder.finished)
            self.assertAlmostEqual(5.0, took_s, delta=0.05)

    def test_silence_until_the_deadline_counts_against_the_version(self):
        """Guards against a roll-out without evidence of failures, because the streams
        of a version whose engines hang wait there until their deadline."""
        rollouts = FakeRollouts()
        scripts = dict.fromkeys(NAMES, pausing_script(100.0))
        serve(scripts, deadline_s=5.0, rollouts=rollouts, attempts=1)
        self.assertEqual([True], rollouts.failed)

    def test_refusal_after_a_silence_does_not_count_against_the_version(self):
        """Guards against a roll-out that goes back because an engine was busy for long
        before it refused a stream."""

        async def refuse_late(exchange, attempt):
            await asyncio.sleep(8.0)
            await refuse(exchange, attempt)

        rollouts = FakeRollouts()
        _, job, _ = serve({"s1": refuse_late}, deadline_s=8.5, rollouts=rollouts)
        self.assertEqual(503, job.responder.status)
        self.assertEqual([False], rollouts.failed)

    def test_stream_whose_caller_leaves_a_silence_counts_against_the_version(self):
        """Guards against a roll-out without evidence of failures, because the callers
        of a version whose engines hang give up first."""

        async def scenario():
            forwarder = make_forwarder({"s1": pausing_script(100.0)}, PLACES[:1])
            forwarder.rollouts = FakeRollouts()
            job = make_job(stream_route(), deadline_s=25.0)
            loop = asyncio.get_running_loop()
            loop.call_later(SILENT_FROM_S + 2.0, job.responder.disconnect)
            await forwarder.serve(job)
            return job, forwarder.rollouts.failed

        job, failed = run_in_virtual_time(scenario())
        self.assertEqual("caller_gone", job.outcome)
        self.assertEqual([True], failed)

    def test_stream_without_events_gets_an_error_at_its_deadline(self):
        """Guards against an error sooner, or none, for a stream of which nothing was
        sent, and against the statuses that promise that it has not run."""
        for attempts in (1, 5):
            scripts = dict.fromkeys(NAMES, pausing_script(100.0, 0.0))
            _, job, took_s = serve(scripts, deadline_s=6.0, attempts=attempts)
            self.assertEqual(504, job.responder.status)
            self.assertAlmostEqual(6.0, took_s, delta=0.05)


if __name__ == "__main__":
    unittest.main()
