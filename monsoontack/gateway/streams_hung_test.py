"""Tests of streams at hung engines: returns, pauses and the retry budget."""

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.outbound import FailureKind
from monsoontack.gateway.peers import peer_pool
from monsoontack.gateway.streammove import is_doubtful
from monsoontack.gateway.streams_end_test import (
    BOUND,
    EMPTY,
    NAMES,
    SSE,
    EndCase,
    answer,
    pausing,
    serve,
    stream_script,
)
from monsoontack.gateway.streams_kept_test import halting, resuming
from monsoontack.gateway.streams_silence_test import FakeRollouts, refuse
from monsoontack.gateway.streams_test import (
    ALL_EVENTS,
    EVENTS,
    GAP_S,
    engine_script,
    make_event,
    make_forwarder,
    stream_route,
)
from monsoontack.loadview.exchange import EngineUsage, LoadExchange, LoadMessage
from standins.gatewayfakes import (
    FAR,
    HOME,
    NEAR,
    SERVICE,
    ScriptedSender,
    make_job,
)


def serve_on_two(script, deadline_s):
    """Serve a stream on two engines with one script; return forwarder and job."""

    async def scenario():
        forwarder = make_forwarder(dict.fromkeys(NAMES[:2], script), (HOME, NEAR))
        forwarder.rollouts = FakeRollouts()
        job = make_job(stream_route(), deadline_s=deadline_s)
        object.__setattr__(job.request, "max_output_tokens", BOUND)
        await forwarder.serve(job)
        await asyncio.sleep(0.1)
        return forwarder, job

    return run_in_virtual_time(scenario())


class BudgetTest(EndCase):
    def test_stream_that_returns_takes_no_retries_that_it_does_not_send(self):
        """Guards against a retry budget that one stream uses up while it returns to its
        silent engine again and again, so that other streams are cut."""
        for later in (refuse, answer(make_event(1)), answer(status=500)):
            script = stream_script(pausing(100.0), later)
            forwarder, job = serve_on_two(script, deadline_s=25.0)
            self.check_cut(job)
            retries = len(forwarder.sender.sent) - 1
            taken = forwarder.budgets.for_service(SERVICE).taken
            with self.subTest(retries):
                # One may have been granted when the deadline passed.
                self.assertLessEqual(taken, retries + 1)


class HungEngineTest(EndCase):
    def serve_after_wrong_answers(self, wrong_count, wrong):
        """Serve a stream whose first engine hangs in the middle; return forwarder, job.

        As many resumptions get a wrong answer; the next ones go on with the stream.
        """
        resumed = []

        async def later(exchange, attempt):
            resumed.append(attempt)
            is_wrong = len(resumed) <= wrong_count
            await (wrong if is_wrong else resuming(0.1))(exchange, attempt)

        script = halting(1000.0, later)
        return serve(script, deadline_s=25.0)

    def test_stream_leaves_a_hung_engine_after_wrong_answers(self):
        """Guards against a stream that is held at a hung engine until its deadline,
        because two others answered wrongly, although a third one goes on with it."""
        for wrong_count in (1, 2, 3):
            with self.subTest(wrong_count):
                forwarder, job = self.serve_after_wrong_answers(
                    wrong_count, answer(make_event(1))
                )
                self.check_whole(job)
                self.check_accounts(forwarder, job)

    def test_stream_leaves_a_hung_engine_after_answers_without_events(self):
        """Guards against a stream whose caller gives up, because it waits long for a
        hung engine after each engine that has forgotten it."""
        for empty_count in (1, 2):
            with self.subTest(empty_count):
                forwarder, job = self.serve_after_wrong_answers(empty_count, EMPTY)
                self.check_whole(job)
                self.assertLess(job.worst_gap_s, 0.7 + 3.5 * empty_count)
                self.check_accounts(forwarder, job)

    def test_stream_leaves_a_hung_engine_soon_after_answers_without_events(self):
        """Guards against a stream whose caller gives up, after a gap of 2 s, because it
        waits for a hung engine while another one would go on with it."""
        for empty_count in (1, 2, 3):
            forwarder, job = self.serve_after_wrong_answers(empty_count, EMPTY)
            self.check_whole(job)
            self.assertLess(job.worst_gap_s, 2.0, empty_count)
            self.check_accounts(forwarder, job)

    def test_engine_counts_as_silent_while_a_stream_has_returned_to_it(self):
        """Guards against other streams that go on at a hung engine, because the stream
        that waits there does not look at it for some seconds."""
        seen = {}

        def change(forwarder, job):
            def look(at):
                used = forwarder.sender.sent[0].server.incarnation
                member = forwarder.fleet.members[used]
                seen[at] = is_doubtful(member, forwarder.sender.now())

            for at in (4.0, 6.0, 8.0, 10.0):
                asyncio.get_running_loop().call_later(at, look, at)

        serve(stream_script(pausing(100.0), EMPTY), change=change)
        self.assertEqual(dict.fromkeys((4.0, 6.0, 8.0, 10.0), True), seen)


class QueueTest(unittest.TestCase):
    """Streams whose first event is late, at live engines and at hung ones."""

    def serve(self, first_s, lives_until, later_tokens=0):
        """Serve a stream at the first of two engines; return the job.

        Until `lives_until`, a peer reports every 0.5 s that the engine has read a
        prompt, and that it has got another one. `later_tokens` are those of prompts
        that it gets soon after the start. The second engine is busy at first.
        """

        async def scenario():
            scripts = {NAMES[0]: engine_script(first_s), NAMES[1]: engine_script()}
            forwarder = make_forwarder(scripts, (HOME, FAR))
            loads = LoadExchange("me", peer_pool(), now=forwarder.sender.now)
            forwarder.share_load_with_peers(loads)
            self.speeds = forwarder.speeds
            self.member, other = (forwarder.fleet.members[n] for n in NAMES[:2])
            other.waiting_tokens = 60_000
            loop = asyncio.get_running_loop()
            loop.call_later(0.5, setattr, other, "waiting_tokens", 0)
            loop.call_later(0.5, self.add_waiting, later_tokens)
            job = make_job(stream_route(), deadline_s=25.0)
            task = asyncio.ensure_future(forwarder.serve(job))
            key = self.member.limit_key
            while not task.done():
                now = forwarder.sender.now()
                if job.tries and now - job.started_at < lives_until:
                    for tokens in (8000, 0, 8000):
                        usage = {key: EngineUsage(1, tokens, 9000)}
                        news = LoadMessage("peer", False, True, usage, {}, ())
                        if tokens == 0 or "peer" in loads.peer_loads.usage_by_peer:
                            news = replace(news, is_full=False)
                        loads.peer_loads.apply(news, now)
                await asyncio.wait([task], timeout=0.5)
            return job

        return run_in_virtual_time(scenario())

    def add_waiting(self, tokens):
        self.member.waiting_tokens += tokens

    def test_wait_that_is_only_a_queue_is_kept(self):
        """Load: more urgent prompts arrive later through other gateways; guards against
        a prompt that is read in vain at a live engine and again elsewhere."""
        job = self.serve(first_s=6.0, lives_until=7.0)
        self.assertEqual([NAMES[0]], [t.server for t in job.tries])
        # The stream has also measured its engine.
        speeds = self.speeds.of_service(SERVICE, 100.0)
        self.assertAlmostEqual(GAP_S, speeds.step_s, 3)
        (measured,) = speeds.engines.values()
        self.assertEqual(1, len(measured.prompts_s))
        self.assertEqual(ALL_EVENTS, job.responder.body)

    def test_hung_engine_is_left_as_early_as_before(self):
        """Load: engines hang but accept connections; guards against a wait for an
        engine from which nobody gets a first event."""
        job = self.serve(first_s=100.0, lives_until=0.0)
        self.assertEqual(2, len(job.tries))
        self.assertLess(job.tries[1].sent_at - job.tries[0].sent_at, 4.0)
        self.assertEqual(ALL_EVENTS, job.responder.body)

    def test_long_queue_is_left_for_an_idle_engine(self):
        """Guards against a wait behind many prompts while another engine is idle, and
        against a live engine that counts as failed since its queue was left."""
        job = self.serve(100.0, lives_until=30.0, later_tokens=60_000)
        self.assertEqual(2, len(job.tries))
        self.assertLess(job.tries[1].sent_at - job.tries[0].sent_at, 5.0)
        self.assertIn("queued", job.tries[0].result)
        self.assertEqual(0.0, self.member.avoid_until)


class StatedTokensTest(EndCase):
    def test_stream_that_all_others_have_forgotten_does_not_end_short(self):
        """Guards against a stream that ends as complete before its last event, because
        an event that counts no token came first and the next engine knows nothing."""

        async def play(exchange, attempt):
            if attempt.last_event_id is not None:
                await EMPTY(exchange, attempt)
                return
            await asyncio.sleep(0.1)
            exchange.answer(200, (SSE,))
            for number in range(1, EVENTS):
                exchange.add_body(make_event(number))
                await asyncio.sleep(GAP_S)
            exchange.fail(FailureKind.RESET, True, "reset")

        # The first event is a role without a token: EVENTS - 1 tokens in EVENTS events.
        _, job = serve(play, stated=EVENTS - 1)
        is_short = job.responder.body != ALL_EVENTS
        self.assertFalse(job.responder.finished and is_short)

    def test_stream_with_all_tokens_at_a_hung_engine_is_ended_by_another(self):
        """Guards against a stream with all its events that is cut at its deadline,
        because only the engine that hangs is asked for its end."""
        script = stream_script(pausing(100.0), EMPTY)
        _, job = serve(script, stated=EVENTS)
        self.check_whole(job)


class EndDuringConnectTest(EndCase):
    def test_no_engine_is_asked_once_the_answer_has_ended(self):
        """Guards against a second run of a stream whose first engine ended it while the
        connection to the next one was opened."""
        script = stream_script(pausing(0.6), answer(first_s=1.0))

        def change(forwarder, job):
            forwarder.sender.connect_s = 0.3

        forwarder, job = serve(script, change=change)
        self.check_whole(job)
        self.assertEqual(1, len(forwarder.sender.sent))


class PauseTest(EndCase):
    def test_no_engine_is_asked_after_a_pause_that_the_deadline_ended(self):
        """Guards against sound engines that count as unreachable, because a connection
        is opened within the millisecond that is left after a pause."""
        wrong = answer(make_event(1))

        async def play(exchange, attempt):
            if attempt.last_event_id is not None:
                await wrong(exchange, attempt)
                return
            await asyncio.sleep(0.1)
            exchange.answer(200, (SSE,))
            exchange.add_body(make_event(1))
            await asyncio.sleep(GAP_S)
            exchange.fail(FailureKind.RESET, True, "reset")

        late, send = [], ScriptedSender.send

        async def recorded(sender, member, request, attempt, is_wanted):
            if attempt.left_s < 0.1:
                late.append(round(attempt.left_s, 3))
            return await send(sender, member, request, attempt, is_wanted)

        def change(forwarder, job):
            loop = asyncio.get_running_loop()
            loop.call_later(0.4, lambda: job.end_early(loop.time()))

        with mock.patch.object(ScriptedSender, "send", recorded):
            serve(play, change=change)
        self.assertEqual([], late)


if __name__ == "__main__":
    unittest.main()
