"""Tests of streams that lack only the end of their answer, on a paused clock.

Each engine sends all events and then pauses, or breaks off, before the end.
"""

import asyncio
import unittest

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.outbound import FailureKind
from monsoontack.gateway.streams_silence_test import FakeRollouts
from monsoontack.gateway.streams_test import (
    ALL_EVENTS,
    EVENTS,
    GAP_S,
    make_event,
    make_forwarder,
    stream_route,
)
from standins.gatewayfakes import HOME, NEAR, make_job

NAMES = ("s1", "s2", "s3", "s4")
PLACES = (HOME, NEAR, NEAR, HOME)
PAUSES_S = (0.6, 1.3, 2.0, 3.5)
SSE = (b"content-type", b"text/event-stream")
# Callers state at least as many tokens as there are events.
BOUND = 800


def stream_script(end, later=None, more=b"", headers=(SSE,)):
    """Return the script of an engine that sends all events, then calls `end`.

    `more` is sent behind the last event. `later` replaces it all for requests that
    resume the stream.
    """

    async def play(exchange, attempt):
        if later is not None and attempt.last_event_id is not None:
            await later(exchange, attempt)
            return
        await asyncio.sleep(0.1)
        exchange.answer(200, headers)
        for number in range(int(attempt.last_event_id or 0) + 1, EVENTS + 1):
            exchange.add_body(make_event(number))
            await asyncio.sleep(GAP_S)
        if more:
            exchange.add_body(more)
        await end(exchange)

    return play


def pausing(pause_s):
    """Return an end that comes after a pause."""

    async def end(exchange):
        await asyncio.sleep(pause_s)
        exchange.end()

    return end


async def reset(exchange):
    """Break off."""
    exchange.fail(FailureKind.RESET, True, "reset")


def answer(body=b"", status=200, headers=(SSE,), first_s=0.002, fails=None):
    """Return the script of an engine that answers a resumed stream with this body."""

    async def play(exchange, attempt):
        await asyncio.sleep(first_s)
        exchange.answer(status, headers)
        if body:
            exchange.add_body(body)
        await asyncio.sleep(0.001)
        if fails is None:
            exchange.end()
        else:
            exchange.fail(fails, True, "scripted")

    return play


EMPTY = answer()


def serve(
    script,
    stated=BOUND,
    deadline_s=25.0,
    extra=50.0,
    change=None,
    last_event_id=None,
    **route,
):
    """Serve a stream on four engines with one script; return forwarder and job.

    `change` is called with the forwarder and the job when the stream begins.
    """

    async def scenario():
        scripts = dict.fromkeys(NAMES, script)
        forwarder = make_forwarder(scripts, PLACES, extra)
        forwarder.rollouts = FakeRollouts()
        job = make_job(stream_route(**route), deadline_s=deadline_s)
        object.__setattr__(job.request, "max_output_tokens", stated)
        object.__setattr__(job.request, "last_event_id", last_event_id)
        if change is not None:
            change(forwarder, job)
        await forwarder.serve(job)
        # Nothing may be left open once the stream has ended.
        await asyncio.sleep(0.1)
        return forwarder, job

    return run_in_virtual_time(scenario())


class EndCase(unittest.TestCase):
    """Checks of what a stream has left behind."""

    def check_whole(self, job, body=ALL_EVENTS):
        self.assertEqual(body, job.responder.body)
        self.assertTrue(job.responder.finished)
        self.assertEqual("streamed", job.outcome)

    def check_cut(self, job):
        self.assertEqual(ALL_EVENTS, job.responder.body)
        self.assertTrue(job.responder.was_aborted)
        self.assertFalse(job.responder.finished)

    def check_accounts(self, forwarder, job):
        """Check that no exchange is open and no load is counted any more."""
        for exchange in forwarder.sender.exchanges:
            self.assertTrue(exchange.is_finished)
        for member in forwarder.fleet.members.values():
            counted = member.in_flight, member.waiting_tokens, member.held_tokens
            self.assertEqual((0, 0, 0), counted)
        self.assertEqual(len(job.tries), len(forwarder.rollouts.failed))
        for record in job.tries:
            # An attempt is open when the request ends only if the caller left.
            is_open = record.result == "open"
            self.assertTrue(not is_open or job.outcome == "caller_gone")
            self.assertGreaterEqual(record.ended_at, record.sent_at)

    def servers(self, forwarder):
        return [attempt.server.incarnation for attempt in forwarder.sender.sent]


class ResumingCallerTest(EndCase):
    """Callers that resume after the last event, and lack only the end."""

    def test_caller_with_all_events_gets_the_end(self):
        """Guards against a caller that can never learn that its stream is whole,
        because the engine pauses before the end, or breaks off and another ends it."""
        last = str(EVENTS)
        for stated in (EVENTS, BOUND):
            for pause_s in (0.0, *PAUSES_S):
                script = stream_script(pausing(pause_s))
                forwarder, job = serve(script, stated, last_event_id=last)
                self.check_whole(job, b"")
                self.check_accounts(forwarder, job)

    def test_caller_with_all_events_gets_the_end_after_a_break(self):
        """Guards against a caller that gets no end, because the first engine that is
        asked breaks off behind its head."""
        calls = []

        async def play(exchange, attempt):
            calls.append(attempt)
            await (answer(fails=FailureKind.RESET) if len(calls) == 1 else EMPTY)(
                exchange, attempt
            )

        forwarder, job = serve(play, last_event_id=str(EVENTS))
        self.check_whole(job, b"")
        self.assertEqual(2, len(job.tries))
        self.check_accounts(forwarder, job)


class AllTokensTest(EndCase):
    """Streams that have as many events as tokens were stated."""

    def test_stream_with_all_tokens_waits_for_the_end(self):
        """Guards against a stream that leaves its engine, and is cut, because the end
        of its answer comes late."""
        for pause_s in PAUSES_S:
            with self.subTest(pause_s):
                script = stream_script(pausing(pause_s), EMPTY)
                forwarder, job = serve(script, stated=EVENTS)
                self.check_whole(job)
                self.assertEqual(["complete"], [t.result for t in job.tries])
                self.check_accounts(forwarder, job)
                member = forwarder.fleet.members[job.tries[0].server]
                self.assertEqual(0, member.consecutive_failures)
                self.assertGreater(member.last_byte_at, member.failed_at)
                self.assertEqual([False], forwarder.rollouts.failed)

    def test_stream_with_all_tokens_is_ended_by_two_empty_answers(self):
        """Guards against a stream that is cut because its engine breaks off between
        the last event and the end."""
        forwarder, job = serve(stream_script(reset, EMPTY), stated=EVENTS)
        self.check_whole(job)
        self.assertEqual(3, len(set(self.servers(forwarder))))
        self.check_accounts(forwarder, job)

    def test_event_without_a_token_does_not_make_a_short_stream_whole(self):
        """Guards against a stream that ends before its last event, because an event
        that counts no token came first and another engine has forgotten it."""
        resumed = []

        async def later(exchange, attempt):
            resumed.append(attempt)
            body = b"" if len(resumed) == 1 else make_event(EVENTS)
            await answer(body)(exchange, attempt)

        async def play(exchange, attempt):
            if attempt.last_event_id is not None:
                await later(exchange, attempt)
                return
            exchange.answer(200, (SSE,))
            for number in range(1, EVENTS):
                exchange.add_body(make_event(number))
                await asyncio.sleep(GAP_S)
            await reset(exchange)

        forwarder, job = serve(play, stated=EVENTS - 1)
        self.check_whole(job)
        self.check_accounts(forwarder, job)

    def test_stream_with_all_tokens_is_not_ended_by_other_answers(self):
        """Guards against the end of a stream that no engine has confirmed, and against
        wrong bytes behind its last event."""
        for later in (
            answer(status=204),
            answer(headers=((b"content-type", b"text/plain"),)),
            answer(headers=(SSE, (b"unsigned", b"1"))),
            answer(make_event(1)),
            answer(b"data: x\n\n"),
            answer(make_event(41)[:8]),
            answer(fails=FailureKind.RESET),
        ):
            forwarder, job = serve(stream_script(reset, later), stated=EVENTS)
            self.check_cut(job)
            self.check_accounts(forwarder, job)

    def test_stream_that_may_have_more_is_not_ended_by_empty_answers(self):
        """Guards against a stream that is short, because all engines but the one that
        broke off have forgotten it."""
        for stated in (0, EVENTS + 1, BOUND):
            forwarder, job = serve(stream_script(reset, EMPTY), stated=stated)
            self.check_cut(job)
            self.check_accounts(forwarder, job)

    def test_engine_with_an_empty_answer_is_not_avoided(self):
        """Guards against sound engines that get no streams, and versions that go back,
        because they have nothing to add to a stream."""
        forwarder, job = serve(stream_script(reset, EMPTY))
        empty = [t.server for t in job.tries if t.result == "empty"]
        self.assertGreater(len(empty), 1)
        self.assertEqual(len(empty), len(forwarder.rollouts.failed) - 1)
        self.assertEqual([False] * len(empty), forwarder.rollouts.failed[1:])
        for name in set(empty) - {job.tries[0].server}:
            member = forwarder.fleet.members[name]
            self.assertEqual(0.0, member.avoid_until)
            self.assertEqual(0, member.consecutive_failures)

    def test_each_engine_is_asked_after_empty_answers(self):
        """Guards against a stream that is cut, because the engines that have forgotten
        it are asked again and again while another one knows it."""

        def change(forwarder, job):
            async def go_on(exchange, attempt):
                if len(forwarder.sender.sent) <= 3:
                    await EMPTY(exchange, attempt)
                else:
                    await stream_script(pausing(0.0))(exchange, attempt)

            async def fail(exchange):
                exchange.fail(FailureKind.RESET, True, "reset")

            async def first(exchange, attempt):
                if attempt.last_event_id is not None:
                    await go_on(exchange, attempt)
                    return
                exchange.answer(200, (SSE,))
                exchange.add_body(make_event(1) + make_event(2))
                await asyncio.sleep(GAP_S)
                await fail(exchange)

            forwarder.sender.scripts.update(dict.fromkeys(NAMES, first))

        forwarder, job = serve(None, change=change)
        self.check_whole(job)
        self.assertEqual(4, len(set(self.servers(forwarder))))


if __name__ == "__main__":
    unittest.main()
