"""Tests of streams whose later attempts get other answers, on a paused clock.

Each stream breaks off after some events. What the next engine answers must not reach
the caller unless it goes on with the stream.
"""

import asyncio
import itertools
import random
import unittest

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.outbound import FailureKind
from monsoontack.gateway.sse import parse_events
from monsoontack.gateway.streams_test import (
    ALL_EVENTS,
    EVENTS,
    GAP_S,
    make_event,
    make_forwarder,
    stream_route,
)
from standins.directengine import ERROR_TEXT, RAW_ERROR
from standins.gatewayfakes import HOME, NEAR, make_job

DELIVERED = 10
PREFIX = b"".join(make_event(number) for number in range(1, DELIVERED + 1))
TEXT = (b"content-type", b"text/plain")
SSE = (b"content-type", b"text/event-stream; charset=utf-8")
SSE_BARE = (b"content-type", b"Text/Event-Stream")


def events(*numbers):
    return b"".join(make_event(number) for number in numbers)


def answer(status=200, body=b"", headers=(SSE_BARE,), closes=False, fails=None):
    """Return an answer as (status, headers, body, ends with connection, failure)."""
    return status, headers, body, closes, fails


# Answers to a request that resumes after event 10.
WRONG_ANSWERS = {
    "error": answer(500, ERROR_TEXT, (TEXT,)),
    "error with events": answer(500, events(11, 12)),
    "client error": answer(400, ERROR_TEXT, (TEXT,)),
    "redirect": answer(302, ERROR_TEXT, (TEXT,)),
    "refusal": answer(503, ERROR_TEXT, (TEXT, (b"not-run", b"1"))),
    "unsigned": answer(200, events(11, 12), (SSE, (b"unsigned", b"1"))),
    "no content": answer(204),
    "no content, of no type": answer(204, headers=()),
    "partial content": answer(206, events(11, 12)),
    "empty": answer(200),
    "empty, ends with the connection": answer(200, closes=True),
    "comments": answer(200, b": still here\n\n" * 3),
    "other type": answer(200, events(11, 12), (TEXT,)),
    "no type": answer(200, events(11, 12), ()),
    "from the start": answer(200, ALL_EVENTS),
    "last event repeated": answer(200, events(10, 11, 12)),
    "event back": answer(200, events(11, 12, 12, 13)),
    "skipped events": answer(200, events(13, 14)),
    "skipped events later": answer(200, events(11, 14)),
    "ids that are no numbers": answer(200, b"id: a\ndata: x\n\nid: b\ndata: x\n\n"),
    "endless id": answer(200, b"id: %s\ndata: x\n\n" % (b"9" * 5000)),
    "no ids": answer(200, b"data: x\n\ndata: y\n\n"),
    "empty id": answer(200, b"id:\ndata: x\n\n"),
    "raw head": answer(200, RAW_ERROR),
    "raw head after an event": answer(200, events(11) + RAW_ERROR),
    "raw head as the body of a connection": answer(200, RAW_ERROR, closes=True),
    "header lines": answer(200, b"server: x\r\ncontent-length: 4\r\n\r\nbody"),
    "text": answer(200, ERROR_TEXT + b"\n\n"),
    "document": answer(200, b'{"error": "full"}\n\n'),
    "unread chunk framing": answer(200, fails=FailureKind.MALFORMED),
    "endless head": answer(200, fails=FailureKind.OVERSIZED),
}


def scripted(later, first=PREFIX, first_headers=(SSE,), tail=make_event(11)[:8]):
    """Return the script of engines whose first answer breaks off inside an event.

    `later` are the answers of the attempts after it; the last of them, if it is None,
    goes on with the stream.
    """
    answers = iter(later)

    async def play(exchange, attempt):
        await asyncio.sleep(0.1)
        if attempt.last_event_id is None:
            exchange.answer(200, first_headers)
            exchange.add_body(first + tail)
            await asyncio.sleep(GAP_S)
            exchange.fail(FailureKind.RESET, True, "reset")
            return
        given = next(answers, later[-1])
        if given is None:
            exchange.answer(200, (SSE_BARE,))
            for number in range(int(attempt.last_event_id) + 1, EVENTS + 1):
                exchange.add_body(make_event(number))
                await asyncio.sleep(GAP_S / 10)
            exchange.end()
            return
        status, headers, body, closes, failure = given
        exchange.ends_with_connection = closes
        exchange.answer(status, headers)
        if body:
            exchange.add_body(body)
        await asyncio.sleep(GAP_S)
        if failure is not None:
            exchange.fail(failure, True, "scripted")
        else:
            exchange.end()

    return play


def serve(script, last_event_id=None, **route):
    """Serve a stream on four engines with one script; return forwarder and job."""

    async def scenario():
        scripts = dict.fromkeys(("s1", "s2", "s3", "s4"), script)
        forwarder = make_forwarder(scripts, (HOME, NEAR, NEAR, HOME))
        job = make_job(stream_route(**route), deadline_s=25.0)
        if last_event_id is not None:
            object.__setattr__(job.request, "last_event_id", last_event_id)
        await forwarder.serve(job)
        return forwarder, job

    return run_in_virtual_time(scenario())


class LaterAttemptTest(unittest.TestCase):
    def test_no_other_answer_joins_the_stream(self):
        """Guards against errors, heads and events of other runs in the middle of a
        stream, and against a broken stream that ends as if it were whole."""
        for name, given in WRONG_ANSWERS.items():
            with self.subTest(name):
                _, job = serve(scripted([given]))
                self.assertTrue(ALL_EVENTS.startswith(job.responder.body))
                self.assertTrue(job.responder.body.startswith(PREFIX))
                self.assertTrue(job.responder.was_aborted)
                self.assertFalse(job.responder.finished)
                self.assertEqual(200, job.responder.status)
                self.assertGreater(len(job.tries), 2)

    def test_stream_goes_on_at_the_engine_after_a_wrong_answer(self):
        """Guards against a stream that is cut although another engine can go on."""
        for name, given in WRONG_ANSWERS.items():
            with self.subTest(name):
                _, job = serve(scripted([given, None]))
                self.assertEqual(ALL_EVENTS, job.responder.body)
                self.assertTrue(job.responder.finished)
                self.assertFalse(job.responder.was_aborted)

    def test_wrong_answers_do_not_use_up_all_attempts_at_once(self):
        """Guards against a stream that is cut within milliseconds while an engine that
        knows it starts again."""
        for name in ("empty", "from the start", "no content"):
            _, job = serve(scripted([WRONG_ANSWERS[name]]))
            self.assertEqual(5, len(job.tries))
            self.assertGreater(job.tries[-1].sent_at - job.tries[0].ended_at, 0.9)
            pause_s = job.tries[2].sent_at - job.tries[0].ended_at
            self.assertLess(pause_s, 0.35, "the second and third try come at once")

    def test_engine_with_a_wrong_answer_does_not_count_as_unreachable(self):
        """Guards against engines and failure domains that are suspected, here and at
        the other entries, although they can be reached."""
        forwarder, _ = serve(scripted([WRONG_ANSWERS["from the start"]]))
        engines = [attempt.server.incarnation for attempt in forwarder.sender.sent]
        wrong = set(engines[1:]) - {engines[0]}
        self.assertTrue(wrong)
        for name in wrong:
            member = forwarder.fleet.members[name]
            self.assertEqual(0, member.consecutive_failures)
            self.assertEqual(float("-inf"), member.failed_at)

    def test_copy_of_another_run_is_not_used(self):
        """Guards against a stream that goes on from the memory of another run."""
        wrong = WRONG_ANSWERS["from the start"]
        forwarder, job = serve(scripted([wrong, None]))
        self.assertEqual(ALL_EVENTS, job.responder.body)
        copies = [attempt.copy is not None for attempt in forwarder.sender.sent]
        self.assertEqual([False, True, False], copies)

    def test_stream_of_events_of_several_tokens_goes_on(self):
        """Guards against sound streams that are cut because their ids are not
        consecutive numbers."""

        async def play(exchange, attempt):
            await asyncio.sleep(0.1)
            exchange.answer(200, (SSE,))
            start = int(attempt.last_event_id or 0) + 6
            for number in range(start, 61, 6):
                if attempt.last_event_id is None and number > 30:
                    exchange.fail(FailureKind.RESET, True, "reset")
                    return
                exchange.add_body(make_event(number))
                await asyncio.sleep(GAP_S)
            exchange.add_body(make_event(62))
            exchange.end()

        _, job = serve(play)
        self.assertEqual(events(*range(6, 61, 6), 62), job.responder.body)
        self.assertTrue(job.responder.finished)

    def test_comments_before_the_break_need_no_ids(self):
        """Guards against a stream that is cut after comments alone, of which no
        engine has to go on."""
        tries = []

        async def play(exchange, attempt):
            tries.append(attempt)
            await asyncio.sleep(0.1)
            exchange.answer(200, (SSE,))
            exchange.add_body(b": hello\n\n")
            await asyncio.sleep(GAP_S)
            if len(tries) == 1:
                exchange.fail(FailureKind.RESET, True, "reset")
                return
            exchange.add_body(ALL_EVENTS)
            exchange.end()

        _, job = serve(play)
        self.assertEqual(b": hello\n\n" * 2 + ALL_EVENTS, job.responder.body)
        self.assertTrue(job.responder.finished)


UNNUMBERED = (b"data: x\n\n", b": comment\n\n", b"event: e\n\n")


def random_script(rng):
    """Return the script of engines that answer with random events, right and wrong."""

    async def play(exchange, attempt):
        last = int(attempt.last_event_id or 0)
        await asyncio.sleep(0.1)
        exchange.ends_with_connection = rng.random() < 0.2
        exchange.answer(rng.choice((200,) * 8 + (204, 206, 400, 500)), (SSE,))
        for _ in range(rng.randrange(8)):
            if rng.random() < 0.7:
                last += 1
                part = make_event(last)
            else:
                wrong = (max(last, 1), last + 2, 1, max(last - 1, 1))
                others = (*UNNUMBERED, RAW_ERROR, ERROR_TEXT + b"\n\n")
                part = rng.choice((*others, *(make_event(n) for n in wrong)))
            cut = rng.randrange(len(part) + 1)
            exchange.add_body(part[:cut])
            if rng.random() < 0.5:
                await asyncio.sleep(GAP_S / 10)
            exchange.add_body(part[cut:])
        if rng.random() < 0.3:
            exchange.add_body(make_event(last + 1)[:9])
        if rng.random() < 0.6:
            exchange.fail(rng.choice((FailureKind.RESET, FailureKind.CLOSED)), True)
        else:
            exchange.end()

    return play


class RandomAnswersTest(unittest.TestCase):
    def test_any_answers_give_events_in_order(self):
        """Guards against other events, errors and false ends for any order of right
        and wrong answers."""
        complete_count = 0
        for seed in range(400):
            with self.subTest(seed=seed):
                forwarder, job = serve(random_script(random.Random(seed)))
                responder = job.responder
                if responder.status != 200:
                    self.assertGreaterEqual(responder.status, 204)
                    continue
                found = parse_events(responder.body)
                ids = [event.event_id for event in found if event.event_id is not None]
                steps = {int(b) - int(a) for a, b in itertools.pairwise(ids)}
                # Within the first answer, ids may leave out some.
                self.assertLessEqual(steps, {1, 2})
                self.assertEqual(len(ids), len(set(ids)))
                for event in found:
                    if event.event_id is None:
                        self.assertIn(event.data, UNNUMBERED)
                    else:
                        self.assertEqual(make_event(int(event.event_id)), event.data)
                is_complete = job.tries[-1].result == "complete"
                self.assertEqual(is_complete, responder.finished)
                self.assertEqual(not is_complete, responder.was_aborted)
                asked_after = forwarder.sender.sent[-1].last_event_id
                if is_complete and asked_after is not None:
                    self.assertGreater(int(ids[-1]), int(asked_after))
                complete_count += is_complete
        self.assertGreater(complete_count, 40)


class EventsWithoutIdTest(unittest.TestCase):
    def test_stream_without_ids_is_cut_when_it_breaks_off(self):
        """Guards against events that come twice, because no id says where an engine
        has to go on."""

        async def play(exchange, attempt):
            await asyncio.sleep(0.1)
            exchange.answer(200, (SSE,))
            exchange.add_body(b"data: a\n\n")
            await asyncio.sleep(GAP_S)
            exchange.add_body(b"data: b\n\n")
            exchange.fail(FailureKind.RESET, True, "reset")

        _, job = serve(play)
        self.assertEqual(b"data: a\n\ndata: b\n\n", job.responder.body)
        self.assertTrue(job.responder.was_aborted)
        self.assertEqual(1, len(job.tries))

    def test_event_without_id_behind_the_last_one_is_delivered_once(self):
        """Guards against an event without an id that comes twice, or is lost."""

        def scripts(fails):
            async def play(exchange, attempt):
                await asyncio.sleep(0.1)
                exchange.answer(200, (SSE,))
                start = int(attempt.last_event_id or 0) + 1
                exchange.add_body(events(*range(start, start + 5)))
                exchange.add_body(b"data: [DONE]\n\n")
                await asyncio.sleep(GAP_S)
                if fails and attempt.last_event_id is None:
                    exchange.fail(FailureKind.RESET, True, "reset")
                else:
                    exchange.end()

            return play

        for fails, count in ((False, 5), (True, 10)):
            _, job = serve(scripts(fails))
            whole = events(*range(1, count + 1)) + b"data: [DONE]\n\n"
            self.assertEqual(whole, job.responder.body)
            self.assertTrue(job.responder.finished)


class FirstAttemptTest(unittest.TestCase):
    def serve_body(self, body, last_event_id=None, closes=False, **route):
        async def play(exchange, attempt):
            await asyncio.sleep(0.1)
            exchange.ends_with_connection = closes
            exchange.answer(200, (SSE,))
            if body:
                exchange.add_body(body)
            exchange.end()

        return serve(play, last_event_id, **route)[1]

    def test_events_that_go_back_or_repeat_are_cut(self):
        """Guards against events that come twice within one engine's answer."""
        for numbers in ((1, 2, 2, 3), (1, 2, 1, 2), (5, 4)):
            job = self.serve_body(events(*numbers), resumable=False)
            self.assertTrue(job.responder.finished is False or job.status >= 500)
            self.assertEqual(1, len(job.tries))

    def test_head_in_the_body_is_no_event(self):
        """Guards against an error response in the first engine's own body."""
        job = self.serve_body(events(1, 2) + RAW_ERROR, resumable=False)
        self.assertNotIn(b"HTTP/1.1", job.responder.body)
        self.assertNotEqual(200, job.status)

    def test_answer_to_a_resuming_caller_goes_on_after_its_event(self):
        """Guards against events that a caller has already got, when it resumes."""
        for given in (events(12, 13), events(1, 2), b"data: x\n\n"):
            job = self.serve_body(given, last_event_id="12")
            self.assertEqual(502, job.responder.status)
        job = self.serve_body(events(13, 14), last_event_id="12")
        self.assertEqual(events(13, 14), job.responder.body)
        self.assertTrue(job.responder.finished)

    def test_empty_id_of_a_caller_is_none(self):
        """Guards against a stream without ids that is refused to a caller whose
        `Last-Event-Id` is empty."""
        job = self.serve_body(b"data: x\n\n", last_event_id="")
        self.assertEqual(b"data: x\n\n", job.responder.body)
        self.assertTrue(job.responder.finished)

    def test_stream_that_cannot_be_resumed_begins_anew_for_a_caller_with_an_id(self):
        """Guards against a sound stream that is refused because its caller sent the id
        of an earlier stream's last event."""
        job = self.serve_body(events(1, 2), last_event_id="12", resumable=False)
        self.assertEqual(events(1, 2), job.responder.body)
        self.assertTrue(job.responder.finished)

    def test_first_event_with_a_byte_order_mark_or_an_empty_id(self):
        """Guards against sound streams that are refused for what the event stream
        format allows."""
        for whole in (b"\xef\xbb\xbfid: 1\ndata: a\n\n", b"id:\ndata: a\n\n"):
            job = self.serve_body(whole, resumable=False)
            self.assertEqual(whole, job.responder.body)
            self.assertTrue(job.responder.finished)

    def test_resuming_caller_that_has_the_whole_stream_gets_its_end(self):
        """Guards against a caller that can never learn that its stream is whole."""
        job = self.serve_body(b"", last_event_id="12")
        self.assertEqual((200, b""), (job.responder.status, job.responder.body))
        self.assertTrue(job.responder.finished)

    def test_closed_connection_is_no_end_for_a_resuming_caller(self):
        """Guards against a crash at the head that looks like the end of a stream."""
        job = self.serve_body(b"", last_event_id="12", closes=True)
        self.assertEqual(502, job.responder.status)

    def test_irregular_ids_are_forwarded(self):
        """Guards against sound streams whose ids rise, but not evenly."""
        whole = events(1, 7, 8, 20)
        job = self.serve_body(whole, resumable=False)
        self.assertEqual(whole, job.responder.body)
        self.assertTrue(job.responder.finished)

    def test_event_with_further_fields_is_forwarded(self):
        """Guards against sound events that are cut because of a field of their own."""
        whole = b"x-version: 3\nid: 1\ndata: a\n\nevent: e\nid: 2\ndata\n\nretry: 5\n\n"
        job = self.serve_body(whole, resumable=False)
        self.assertEqual(whole, job.responder.body)
        self.assertTrue(job.responder.finished)


if __name__ == "__main__":
    unittest.main()
