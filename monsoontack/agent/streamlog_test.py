"""Tests of the stream log's decisions."""

import random
import unittest
from collections import Counter

from monsoontack.agent.records import (
    AttachRequest,
    CancelEngine,
    RunEngine,
    SendEnd,
    StartRequest,
    WakeLink,
)
from monsoontack.agent.streamlog import MAX_CHUNK_TOKENS, StreamLog

MAX_STEPS = 10_000


def start(generation="g", attempt=1, prefix=()):
    return StartRequest(generation, attempt, "v1", b"{}", tuple(prefix))


def texts(tokens):
    return [f" é{token}" for token in tokens]


class StreamLogTest(unittest.TestCase):
    def setUp(self):
        self.log = StreamLog()

    def run_of(self, actions):
        (run,) = [a.run for a in actions if isinstance(a, RunEngine)]
        return run

    def append(self, run, first, tokens, finish="", now=0.0):
        return self.log.append(run, first, tokens, texts(tokens), finish, now)

    def end_codes(self, actions):
        return [
            (a.link, a.end.attempt, a.end.code, a.end.started)
            for a in actions
            if isinstance(a, SendEnd)
        ]

    def random_event(self, rng, now):
        generation, link = f"g{rng.randrange(6)}", rng.randrange(1, 4)
        attempt, run = rng.randrange(1, 400), rng.randrange(1, self.log.last_run + 2)
        attach = AttachRequest(generation, attempt, 0)
        events = (
            lambda: self.log.start(link, start(generation, attempt), now),
            lambda: self.log.attach(link, attach, now),
            lambda: self.log.cancel(generation, attempt),
            lambda: self.log.close_link(link, now),
            lambda: self.log.fail(run, "backend_failed", "", True, now),
            lambda: self.append(run, 0, [1], "stop", now),
            lambda: self.log.expire(now),
        )
        rng.choice(events)()

    def test_running_streams_are_counted_by_link(self):
        """Guards against rare heartbeats on a link that carries a stream, whose
        entry would take the link for silent."""
        rng = random.Random(5)
        for step in range(3000):
            self.random_event(rng, float(step))
            running = [s for s in self.log.streams.values() if s.running]
            expected = Counter(s.link for s in running if s.link is not None)
            self.assertEqual(expected, self.log.running_on)

    def test_tokens_are_collected_once_in_order(self):
        """Guards against tokens that are repeated or missing in frames."""
        run = self.run_of(self.log.start(1, start(), 0.0))
        self.assertEqual([WakeLink(1)], self.append(run, 0, [7, 8]))
        self.append(run, 1, [8, 9])
        (chunk,), ends = self.log.collect(1)
        self.assertEqual(
            (0, (7, 8, 9), tuple(texts([7, 8, 9])), ""),
            (chunk.first_position, chunk.tokens, chunk.texts, chunk.finish),
        )
        self.assertEqual(([], []), (ends, self.log.collect(1)[0]))
        self.append(run, 3, [], "stop")
        (chunk,), _ = self.log.collect(1)
        self.assertEqual(
            (3, (), "stop"), (chunk.first_position, chunk.tokens, chunk.finish)
        )
        self.assertEqual(0, self.log.running_count)

    def test_gap_ends_the_attempt(self):
        """Guards against an answer that lacks tokens the engine has sent."""
        run = self.run_of(self.log.start(1, start(), 0.0))
        self.assertIn(CancelEngine(run), self.append(run, 1, [8]))
        chunks, (end,) = self.log.collect(1)
        self.assertEqual(([], "backend_failed"), (chunks, end.code))
        self.assertEqual([], self.append(run, 0, [7]))

    def test_attach_replays_and_supersedes(self):
        """Guards against lost output and two owners after an entry is replaced."""
        run = self.run_of(self.log.start(1, start(), 0.0))
        self.append(run, 0, [1, 2, 3])
        self.log.collect(1)
        actions = self.log.attach(2, AttachRequest("g", 4, 1), 0.0)
        self.assertEqual([(1, 1, "superseded", True)], self.end_codes(actions))
        self.append(run, 3, [4])
        self.assertEqual([], self.log.collect(1)[0])
        (chunk,), _ = self.log.collect(2)
        self.assertEqual(
            (4, 1, (2, 3, 4)), (chunk.attempt, chunk.first_position, chunk.tokens)
        )
        for attempt in (3, 4):
            late = self.log.attach(1, AttachRequest("g", attempt, 0), 0.0)
            self.assertEqual([(1, attempt, "superseded", True)], self.end_codes(late))
        self.assertEqual([], self.log.cancel("g", 3))

    def test_attach_replays_an_ended_stream_and_its_failure(self):
        """Guards against an answer that is lost because its end was early."""
        run = self.run_of(self.log.start(1, start(), 0.0))
        self.append(run, 0, [1], now=1.0)
        self.log.fail(run, "backend_failed", "broke", True, 1.0)
        self.log.collect(1)
        self.log.close_link(1, 2.0)
        self.log.attach(2, AttachRequest("g", 2, 0), 3.0)
        (chunk,), (end,) = self.log.collect(2)
        self.assertEqual(((1,), 2, 2), (chunk.tokens, chunk.attempt, end.attempt))

    def test_attach_repeats_a_finish_that_was_sent(self):
        """Guards against a caller that waits for an end which was lost."""
        run = self.run_of(self.log.start(1, start(), 0.0))
        self.append(run, 0, [1, 2], "stop")
        self.log.collect(1)
        actions = self.log.attach(2, AttachRequest("g", 2, 2), 1.0)
        self.assertEqual([WakeLink(2)], actions)
        self.assertEqual(1, len(self.log.unfinished(1.0)))
        (chunk,), _ = self.log.collect(2)
        self.assertEqual(
            (2, (), "stop"), (chunk.first_position, chunk.tokens, chunk.finish)
        )

    def test_attach_ends_the_orphan_timeout(self):
        """Guards against a stream that is cancelled although an entry has it."""
        self.log.start(1, start(), 0.0)
        self.log.close_link(1, 1.0)
        self.log.attach(2, AttachRequest("g", 2, 0), 2.0)
        self.assertEqual([], self.log.expire(100.0))

    def test_attach_outside_the_log(self):
        """Guards against an answer glued together from two generations."""
        unknown = self.log.attach(1, AttachRequest("g", 2, 0), 0.0)
        self.assertEqual([(1, 2, "not_found", True)], self.end_codes(unknown))
        run = self.run_of(self.log.start(1, start(prefix=[5, 6]), 0.0))
        self.append(run, 2, [7])
        ahead = self.log.attach(1, AttachRequest("g", 2, 4), 0.0)
        self.assertEqual([(1, 2, "not_found", True)], self.end_codes(ahead))
        self.log.attach(2, AttachRequest("g", 2, 0), 0.0)
        (chunk,), _ = self.log.collect(2)
        self.assertEqual((2, (7,)), (chunk.first_position, chunk.tokens))

    def test_new_attempt_keeps_texts_of_its_prefix(self):
        """Guards against a second loss that the log cannot replay."""
        run = self.run_of(self.log.start(1, start(), 0.0))
        self.append(run, 0, [1, 2, 3])
        actions = self.log.start(2, start(attempt=2, prefix=[1, 2]), 0.0)
        self.assertIn(CancelEngine(run), actions)
        self.assertEqual([], self.append(run, 3, [4]))
        self.append(self.run_of(actions), 2, [9])
        self.log.attach(3, AttachRequest("g", 3, 0), 0.0)
        (chunk,), _ = self.log.collect(3)
        self.assertEqual(
            ((1, 2, 9), tuple(texts([1, 2, 9]))), (chunk.tokens, chunk.texts)
        )

    def test_repeated_and_old_starts_are_refused(self):
        """Guards against an attempt that runs twice on one engine."""
        self.log.start(1, start(attempt=2), 0.0)
        for attempt in (1, 2):
            late = self.log.start(2, start(attempt=attempt), 0.0)
            self.assertEqual([(2, attempt, "superseded", False)], self.end_codes(late))
        self.assertEqual(1, self.log.running_count)

    def test_leaving_refuses_starts_but_not_attaches(self):
        """Guards against new work on a VM that goes, and against cut streams."""
        run = self.run_of(self.log.start(1, start(), 0.0))
        self.log.leaving = True
        refused = self.log.start(1, start("h"), 0.0)
        self.assertEqual([(1, 1, "leaving", False)], self.end_codes(refused))
        self.append(run, 0, [1])
        self.log.attach(2, AttachRequest("g", 2, 0), 0.0)
        self.assertEqual(1, len(self.log.collect(2)[0]))

    def test_orphan_runs_on_until_its_timeout(self):
        """Guards against engine work that nobody will read, or cut too early."""
        run = self.run_of(self.log.start(1, start(), 0.0))
        self.log.close_link(1, 10.0)
        self.assertEqual([], self.append(run, 0, [1]))
        self.assertEqual([], self.log.expire(39.9))
        self.assertEqual(1, len(self.log.unfinished(39.9)))
        self.assertEqual([CancelEngine(run)], self.log.expire(40.0))
        self.assertEqual({}, self.log.streams)

    def test_ended_streams_expire(self):
        """Guards against a log that grows without end."""
        run = self.run_of(self.log.start(1, start(), 0.0))
        self.append(run, 0, [1], "stop", now=5.0)
        self.log.collect(1)
        self.log.expire(64.9)
        self.assertEqual(["g"], list(self.log.streams))
        self.log.expire(65.0)
        self.assertEqual(({}, 0), (self.log.streams, self.log.token_count))

    def test_bounds(self):
        """Guards against a log above its limits, and against a lost last chunk."""
        self.log = StreamLog(max_streams=2, max_tokens=3)
        first = self.run_of(self.log.start(1, start("a"), 0.0))
        second = self.run_of(self.log.start(1, start("b"), 0.0))
        full = self.log.start(1, start("c"), 0.0)
        self.assertEqual([(1, 1, "refused", False)], self.end_codes(full))
        self.append(first, 0, [1, 2], "stop")
        self.append(second, 0, [1, 2], "stop")
        chunks, _ = self.log.collect(1)
        self.assertEqual(["stop", "stop"], [chunk.finish for chunk in chunks])
        third = self.run_of(self.log.start(1, start("c"), 0.0))
        self.append(third, 0, [1], "stop")
        self.assertEqual(["b", "c"], list(self.log.streams))

    def test_long_replay_is_split(self):
        """Guards against a frame above the size limit of a message."""
        run = self.run_of(self.log.start(1, start(), 0.0))
        tokens = list(range(MAX_CHUNK_TOKENS + 5))
        self.append(run, 0, tokens, "length")
        (first,), _ = self.log.collect(1)
        self.assertEqual(("", [1]), (first.finish, list(self.log.unsent)))
        (second,), _ = self.log.collect(1)
        self.assertEqual((5, "length"), (len(second.tokens), second.finish))
        self.assertEqual({}, self.log.unsent)

    def test_hand_over_at_the_deadline(self):
        """Guards against a stream that ends without a code at shutdown."""
        run = self.run_of(self.log.start(1, start(), 0.0))
        self.append(run, 0, [1])
        self.assertIn(CancelEngine(run), self.log.hand_over(9.0))
        (chunk,), (end,) = self.log.collect(1)
        self.assertEqual(((1,), "leaving", True), (chunk.tokens, end.code, end.started))
        self.assertEqual([], self.log.unfinished(9.0))


class RandomEntriesTest(unittest.TestCase):
    """Several entries fight over one stream in random order."""

    def test_newest_entry_gets_the_whole_answer(self):
        """Guards against token loss or repetition in any order of events."""
        for seed in range(300):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, rng):
        log = StreamLog()
        answer = [rng.randrange(1000) for _ in range(40)]
        log.start(0, start(), 0.0)
        attempt, owner, links = 1, 0, 0
        got = []
        for _ in range(MAX_STEPS):
            end = log.streams["g"].log.end
            step = rng.random()
            if step < 0.5 and end < len(answer):
                count = rng.randrange(1, 4)
                part = answer[max(end - 1, 0) : end + count]
                finish = "stop" if end + count >= len(answer) else ""
                log.append(1, max(end - 1, 0), part, texts(part), finish, 0.0)
            elif step < 0.7:
                links, attempt = links + 1, attempt + rng.randrange(1, 3)
                if rng.random() < 0.5:
                    log.close_link(owner, 0.0)
                owner = links
                got = got[: rng.randrange(len(got) + 1)]
                log.attach(owner, AttachRequest("g", attempt, len(got)), 0.0)
                stale = AttachRequest("g", attempt - rng.randrange(2), 0)
                self.assertTrue(self.is_superseded(log.attach(99, stale, 0.0)))
            else:
                for number in range(links):
                    self.assertEqual(([], []), log.collect(number))
                for chunk in log.collect(owner)[0]:
                    self.assertEqual(
                        (attempt, len(got)), (chunk.attempt, chunk.first_position)
                    )
                    got += chunk.tokens
                    if chunk.finish:
                        self.assertEqual(answer, got)
                        return
        self.fail("the answer did not end")

    def is_superseded(self, actions):
        return [a.end.code for a in actions] == ["superseded"]


if __name__ == "__main__":
    unittest.main()
