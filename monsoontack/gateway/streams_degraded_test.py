"""Tests of streams on engines in trouble, on a paused clock.

Engines that are slow, stalled or start anew, and streams that come too late.
"""

import asyncio
import unittest
from dataclasses import replace

from monsoontack.core.pausedloop import run_paused
from monsoontack.gateway.streams_test import (
    EVENTS,
    GAP_S,
    WHOLE,
    engine,
    event,
    make,
    serve,
    stream_route,
)
from standins.gatewayparts import HOME, NEAR, make_job


class TroubledEngineTest(unittest.TestCase):
    def test_slow_but_sound_engine_keeps_its_streams(self):
        """Guards against streams that are moved from engine to engine, until the
        repeats are used up, since all of them are slower than others lately were."""

        async def slow(exchange, attempt):
            start = int(attempt.last_event_id or 0) + 1
            await asyncio.sleep(0.5)
            exchange.answer(200, ((b"mark", b"m"),))
            for number in range(start, EVENTS + 1):
                exchange.part(event(number))
                await asyncio.sleep(0.5)
            exchange.end()

        async def scenario():
            forwarder = make({"s1": slow, "s2": slow}, (HOME, NEAR))
            jobs = []
            for number in range(6):
                jobs.append(make_job(stream_route(), f"id-{number}", 25.0))
                await forwarder.serve(jobs[-1])
            return forwarder, jobs

        forwarder, jobs = run_paused(scenario())
        for job in jobs:
            self.assertEqual(WHOLE, job.responder.body)
        # Each engine may be left once, until it is known to be slow.
        self.assertLessEqual(len(forwarder.sender.sent), len(jobs) + 2)
        self.assertEqual(1, len(jobs[-1].tries))

    def test_engine_that_only_sends_comments_is_left(self):
        """Guards against a stalled engine that keeps its caller by a byte now and
        then until the deadline."""
        comments = (b": still here\n\n", b"data: no id\n\n", b"event: ping\n\n")

        def dripping(comment):
            async def play(exchange, attempt):
                start = int(attempt.last_event_id or 0) + 1
                await asyncio.sleep(0.1 if attempt.copy else 0.3)
                exchange.answer(200, ((b"mark", b"m"),))
                for number in range(start, EVENTS + 1):
                    while number == 10 and start == 1:
                        exchange.part(comment)
                        await asyncio.sleep(0.05)
                    exchange.part(event(number))
                    await asyncio.sleep(GAP_S)
                exchange.end()

            return play

        for comment in comments:
            scripts = {name: dripping(comment) for name in ("s1", "s2", "s3")}
            forwarder, job = serve(scripts)
            events = job.responder.body.replace(comment, b"")
            self.assertEqual(WHOLE, events)
            self.assertEqual(2, len(forwarder.sender.sent))
            self.assertLess(job.worst_gap_s, 0.7)

    def test_engine_that_starts_anew_is_left_at_once(self):
        """Guards against a run that waits for an engine which has lost it."""

        async def scenario():
            scripts = {"s1": engine(first_s=8.0), "s2": engine(first_s=8.0)}
            forwarder = make(scripts, (HOME, NEAR))
            job = make_job(stream_route(), deadline_s=25.0)
            task = asyncio.ensure_future(forwarder.serve(job))
            await asyncio.sleep(0.5)
            first = forwarder.sender.sent[0].server
            scripts[first.incarnation] = engine()
            forwarder.fleet.put(replace(first, started_unix_ms=5), False)
            await asyncio.sleep(0.3)
            sends = len(forwarder.sender.sent)
            for name in scripts:
                scripts[name] = engine()
            await task
            return sends, job

        sends, job = run_paused(scenario())
        self.assertEqual(2, sends)
        self.assertEqual(WHOLE, job.responder.body)

    def test_silent_engine_of_a_stream_that_cannot_move_is_waited_for(self):
        """Guards against an answer that is cut though nothing else can go on."""

        async def pausing(exchange, attempt):
            exchange.answer(200, ((b"mark", b"m"),))
            for number in range(1, EVENTS + 1):
                exchange.part(event(number))
                await asyncio.sleep(3.0 if number == 10 else GAP_S)
            exchange.end()

        _, job = serve({"s1": pausing}, (HOME,), resumable=False)
        self.assertEqual(WHOLE, job.responder.body)
        self.assertTrue(job.responder.finished)

    def test_stream_that_comes_too_late_is_refused_at_once(self):
        """Guards against a prompt that is read in vain while its caller waits for
        nothing, and takes the time of others. The pattern: callers that return after
        a loss with a rest of their time."""
        scripts = {"s1": engine(), "s2": engine(), "s3": engine()}
        forwarder, job = serve(scripts, deadline_s=0.3)
        self.assertEqual([], forwarder.sender.sent)
        self.assertEqual((503, "too_late"), (job.responder.status, job.outcome))
        self.assertIn(b"retry-after", dict(job.responder.headers))
        self.assertLess(job.responder.answered_at - job.started_at, 0.01)

    def test_known_prompt_is_tried_with_little_time_left(self):
        """Guards against a refusal of a stream whose prompt an engine has read."""

        async def scenario():
            forwarder = make({"s1": engine(first_s=0.1)}, (HOME,))
            forwarder.remember("part-1", "s1")
            job = make_job(stream_route(), deadline_s=0.3)
            await forwarder.serve(job)
            return forwarder

        self.assertEqual(1, len(run_paused(scenario()).sender.sent))


if __name__ == "__main__":
    unittest.main()
