"""Tests of streams that leave a silent engine and return to it, on a paused clock."""

import asyncio
import itertools
import random

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.outbound import FailureKind
from monsoontack.gateway.streams_end_test import (
    BOUND,
    EMPTY,
    NAMES,
    PAUSES_S,
    PLACES,
    SSE,
    EndCase,
    answer,
    pausing,
    serve,
    stream_script,
)
from monsoontack.gateway.streams_silence_test import FakeRollouts, refuse
from monsoontack.gateway.streams_test import (
    ALL_EVENTS,
    EVENTS,
    GAP_S,
    REFUSED,
    make_event,
    make_forwarder,
    stream_route,
)
from monsoontack.generation.silence import KEPT_S, SOUND_PAUSE_S
from standins.gatewayfakes import make_job

HALF = EVENTS // 2
FOREIGN = answer(make_event(1))


def halting(silent_s, later, after=HALF, fails=False):
    """Return the script of an engine that is silent after some events, then goes on."""

    async def play(exchange, attempt):
        if attempt.last_event_id is not None:
            await later(exchange, attempt)
            return
        await asyncio.sleep(0.1)
        exchange.answer(200, (SSE,))
        for number in range(1, EVENTS + 1):
            exchange.add_body(make_event(number))
            await asyncio.sleep(silent_s if number == after else GAP_S)
            if fails and number == after:
                exchange.fail(FailureKind.RESET, True, "reset")
        exchange.end()

    return play


def resuming(first_s):
    """Return the script of an engine that goes on with a stream after some time."""

    async def play(exchange, attempt):
        await asyncio.sleep(first_s)
        exchange.answer(200, (SSE,))
        for number in range(int(attempt.last_event_id) + 1, EVENTS + 1):
            exchange.add_body(make_event(number))
            await asyncio.sleep(GAP_S)
        exchange.end()

    return play


def unframed(pause_s, later):
    """Return the script of an engine whose answers end with their connections."""

    async def play(exchange, attempt):
        exchange.ends_with_connection = True
        await stream_script(pausing(pause_s), later)(exchange, attempt)

    return play


class ReturnTest(EndCase):
    """Streams whose engine pauses before the end, of which only a bound is stated."""

    def test_stream_returns_to_its_engine_after_an_empty_answer(self):
        """Guards against a stream that is cut although it has all events, because its
        engine pauses before the end and the next ones have nothing to add."""
        for pause_s in PAUSES_S:
            with self.subTest(pause_s):
                forwarder, job = serve(stream_script(pausing(pause_s), EMPTY))
                self.check_whole(job)
                self.assertEqual(["empty", "complete"], [t.result for t in job.tries])
                self.check_accounts(forwarder, job)
                self.assertEqual([False, False], forwarder.rollouts.failed)
                for member in forwarder.fleet.members.values():
                    self.assertEqual(0, member.consecutive_failures)
                    self.assertLessEqual(member.avoid_until, job.tries[-1].ended_at)

    def test_stream_returns_to_its_engine_before_a_late_answer(self):
        """Guards against a stream that is cut although it has all events, because its
        engine pauses before the end and the next ones read the prompt before they find
        that they have nothing to add."""
        for pause_s in (0.6, 1.0, 1.3, 1.6):
            for first_s in (0.31, 0.6, 1.2):
                with self.subTest((pause_s, first_s)):
                    late = answer(first_s=first_s)
                    forwarder, job = serve(stream_script(pausing(pause_s), late))
                    self.check_whole(job)
                    self.check_accounts(forwarder, job)
                    self.assertEqual(
                        [False] * len(job.tries), forwarder.rollouts.failed
                    )

    def test_events_without_id_behind_the_last_one_are_delivered_once(self):
        """Guards against a closing event that is lost, or comes twice, because the
        stream leaves its engine and returns."""
        done = b"data: [DONE]\n\n"
        for pause_s in PAUSES_S:
            script = stream_script(pausing(pause_s), EMPTY, more=b": c\n\n" + done)
            forwarder, job = serve(script)
            self.check_whole(job, ALL_EVENTS + b": c\n\n" + done)
            self.check_accounts(forwarder, job)

    def test_unframed_answer_ends_with_its_connection(self):
        """Guards against a stream without length or chunks that is cut because the end
        of its connection comes late."""

        for pause_s in PAUSES_S:
            forwarder, job = serve(unframed(pause_s, EMPTY))
            self.check_whole(job)
            self.check_accounts(forwarder, job)

    def test_stream_returns_after_an_unframed_answer_without_events(self):
        """Guards against a stream that asks one engine after the other, as an answer
        that ends with its connection may be empty, until its first one is given up."""
        for pause_s in PAUSES_S:
            forwarder, job = serve(unframed(pause_s, answer(first_s=0.12)))
            self.check_whole(job)
            self.check_accounts(forwarder, job)

    def test_end_that_comes_while_the_next_engine_reads_is_used(self):
        """Guards against a stream that goes on at an engine which has nothing to add,
        because that engine answers after the first one has ended."""
        script = stream_script(pausing(0.7), answer(first_s=1.0))
        forwarder, job = serve(script)
        self.check_whole(job)
        self.assertEqual(["overtaken", "complete"], [t.result for t in job.tries])
        self.check_accounts(forwarder, job)
        self.assertEqual([False, False], forwarder.rollouts.failed)

    def test_stream_returns_when_all_others_refuse_or_answer_wrongly(self):
        """Guards against a stream that is cut within milliseconds although its first
        engine goes on."""
        for later in (
            refuse,
            FOREIGN,
            answer(status=204),
            answer(status=500),
            answer(fails=FailureKind.RESET),
        ):
            for options in ({}, {"attempts": 2}, {"extra": 2.0}):
                forwarder, job = serve(stream_script(pausing(1.3), later), **options)
                self.check_whole(job)
                self.check_accounts(forwarder, job)

    def test_stream_returns_when_no_other_engine_can_be_reached(self):
        """Guards against a stream that is cut because the other engines have gone."""

        def change(forwarder, job):
            async def drop():
                await asyncio.sleep(0.5)
                used = forwarder.sender.sent[0].server.incarnation
                for name in set(NAMES) - {used}:
                    forwarder.sender.scripts[name] = REFUSED

            forwarder.sender.tasks.append(asyncio.ensure_future(drop()))

        forwarder, job = serve(stream_script(pausing(1.3)), change=change)
        self.check_whole(job)
        self.check_accounts(forwarder, job)

    def test_hung_engine_is_given_up_after_an_empty_answer(self):
        """Guards against a stream that waits until its deadline for a hung engine,
        because one of the others has forgotten it."""

        def change(forwarder, job):
            async def later(exchange, attempt):
                is_first = len(forwarder.sender.sent) == 2
                await (EMPTY if is_first else resuming(0.1))(exchange, attempt)

            script = halting(100.0, later)
            forwarder.sender.scripts.update(dict.fromkeys(NAMES, script))

        forwarder, job = serve(None, change=change, deadline_s=40.0)
        self.check_whole(job)
        self.assertLess(job.worst_gap_s, 4.0)
        self.check_accounts(forwarder, job)

    def test_stream_without_its_end_is_cut_at_the_deadline(self):
        """Guards against a stream that ends as whole because its engine hung and the
        others have nothing to add."""
        script = stream_script(pausing(100.0), EMPTY)
        forwarder, job = serve(script, deadline_s=25.0)
        self.check_cut(job)
        self.assertLess(len(forwarder.sender.sent), 5)
        self.check_accounts(forwarder, job)


class KeptConnectionTest(EndCase):
    """The connection to a silent engine after the stream has left it."""

    def test_connection_is_reset_at_the_first_event_of_the_next_engine(self):
        """Guards against two engines that work on one run, and a longer gap."""
        forwarder, job = serve(halting(100.0, resuming(0.1)))
        self.check_whole(job)
        self.assertLess(job.worst_gap_s, 0.7)
        left_at, at = job.tries[1].sent_at, forwarder.sender.exchanges[0].aborted_at
        self.assertAlmostEqual(left_at + 0.1, at, delta=0.02)
        self.check_accounts(forwarder, job)
        self.assertEqual([True, False], forwarder.rollouts.failed)
        failed = forwarder.fleet.members[job.tries[0].server]
        self.assertEqual("silent", job.tries[0].result.partition(":")[0])
        self.assertGreater(failed.consecutive_failures, 0)

    def test_connection_is_reset_before_the_run_counts_twice(self):
        """Guards against an engine that still works on a run 0.4 s after the next one
        has begun with it."""
        for first_s in (0.29, 0.5, 2.0):
            forwarder, job = serve(halting(100.0, resuming(first_s)))
            self.check_whole(job)
            self.check_overlaps(job)
            self.assertIsNotNone(forwarder.sender.exchanges[0].aborted_at)
            self.check_accounts(forwarder, job)

    def check_overlaps(self, job):
        """Check that no two engines work on the run for longer than allowed."""
        for one, other in itertools.combinations(job.tries, 2):
            both_until = min(one.ended_at, other.ended_at)
            both_since = max(one.sent_at, other.sent_at)
            self.assertLessEqual(both_until - both_since, KEPT_S + 0.001)

    def test_hung_engine_is_left_for_an_engine_that_answers_late(self):
        """Guards against a stream that waits for a hung engine until its deadline,
        since the others read the prompt before they go on."""
        for first_s in (0.4, 0.6, 1.2):
            forwarder, job = serve(halting(100.0, resuming(first_s)))
            self.check_whole(job)
            self.assertLess(job.worst_gap_s, SOUND_PAUSE_S + first_s + 0.2)
            self.check_accounts(forwarder, job)

    def test_events_of_two_engines_come_once(self):
        """Guards against events that come twice, or not, because the silent engine goes
        on while the next one is asked."""
        for silent_s in (0.45, 0.5, 0.55, 0.6, 0.65, 0.7, 0.75, 0.8, 1.0):
            for after in (1, HALF, EVENTS - 1, EVENTS):
                for first_s in (0.0, 0.05, 0.2, 0.3, 1.0):
                    with self.subTest((silent_s, after, first_s)):
                        script = halting(silent_s, resuming(first_s), after)
                        forwarder, job = serve(script)
                        self.assertTrue(ALL_EVENTS.startswith(job.responder.body))
                        if after < EVENTS:
                            self.check_whole(job)
                        self.check_accounts(forwarder, job)

    def test_first_engine_breaks_off_while_it_is_kept(self):
        """Guards against a stream that returns to a broken connection."""
        for silent_s in (0.55, 0.7):
            for later in (resuming(0.2), resuming(1.0)):
                forwarder, job = serve(halting(silent_s, later, fails=True))
                self.check_whole(job)
                self.check_accounts(forwarder, job)

    def test_caller_leaves_while_a_connection_is_kept(self):
        """Guards against engines that generate for a caller that has left."""

        def change(forwarder, job):
            loop = asyncio.get_running_loop()
            loop.call_later(leaves_s, job.responder.disconnect)

        for leaves_s in (2.7, 2.8, 2.9, 3.0, 3.3):
            script = stream_script(pausing(100.0), answer(first_s=5.0))
            forwarder, job = serve(script, change=change)
            self.assertEqual("caller_gone", job.outcome)
            self.check_accounts(forwarder, job)
            for exchange in forwarder.sender.exchanges:
                self.assertLessEqual(exchange.aborted_at, leaves_s + 0.15)

    def test_process_ends_while_a_connection_is_kept(self):
        """Guards against a drain that waits for a kept connection, or leaks it."""

        def change(forwarder, job):
            loop = asyncio.get_running_loop()
            loop.call_later(ends_s, lambda: job.end_early(loop.time()))

        for later in (EMPTY, answer(first_s=5.0), FOREIGN, refuse):
            for ends_s in (2.6, 2.7, 2.8, 2.9, 3.2):
                script = stream_script(pausing(100.0), later)
                forwarder, job = serve(script, change=change)
                self.check_cut(job)
                self.check_accounts(forwarder, job)
                for exchange in forwarder.sender.exchanges:
                    if exchange.aborted_at is not None:
                        self.assertLessEqual(exchange.aborted_at, ends_s + 0.15)

    def test_stream_that_may_not_be_repeated_stays(self):
        """Guards against a second run of a stream that must not run twice."""
        script = stream_script(pausing(2.0), EMPTY)
        forwarder, job = serve(script, resumable=False)
        self.check_whole(job)
        self.assertEqual(1, len(forwarder.sender.sent))


def random_engine(rng):
    """Return the script of an engine that pauses, forgets and breaks off at random."""

    async def play(exchange, attempt):
        await asyncio.sleep(rng.choice((0.001, 0.1, 0.5)))
        kind = rng.random()
        if attempt.last_event_id is not None and kind < 0.5:
            await rng.choice((EMPTY, FOREIGN, refuse))(exchange, attempt)
            return
        exchange.answer(200, (SSE,))
        for number in range(int(attempt.last_event_id or 0) + 1, EVENTS + 1):
            exchange.add_body(make_event(number))
            pauses = rng.random() < 0.03
            await asyncio.sleep(rng.choice((0.6, 0.8, 1.3, 4.0)) if pauses else GAP_S)
            if rng.random() < 0.01:
                exchange.fail(FailureKind.RESET, True, "reset")
                return
        await asyncio.sleep(rng.choice((0.0, 0.6, 1.3, 3.5)))
        exchange.end()

    return play


class RandomPausesTest(EndCase):
    def test_no_stream_ends_short_or_leaks(self):
        """Guards against streams that end as whole without all events, events that come
        twice, and connections that stay open, for any order of pauses."""

        async def scenario(seed):
            rng = random.Random(seed)
            forwarder = make_forwarder(dict.fromkeys(NAMES, random_engine(rng)), PLACES)
            forwarder.rollouts = FakeRollouts()
            job = make_job(stream_route(), deadline_s=25.0)
            stated = rng.choice((EVENTS, BOUND))
            object.__setattr__(job.request, "max_output_tokens", stated)
            if rng.random() < 0.2:
                loop = asyncio.get_running_loop()
                loop.call_later(rng.uniform(0.5, 6.0), job.responder.disconnect)
            await forwarder.serve(job)
            await asyncio.sleep(0.1)
            return forwarder, job

        whole_count = 0
        for seed in range(600):
            with self.subTest(seed=seed):
                forwarder, job = run_in_virtual_time(scenario(seed))
                self.assertTrue(ALL_EVENTS.startswith(job.responder.body))
                self.check_accounts(forwarder, job)
                if job.responder.finished and job.status == 200:
                    self.assertEqual(ALL_EVENTS, job.responder.body)
                    whole_count += 1
        self.assertGreater(whole_count, 300)
