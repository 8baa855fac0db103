"""Tests of streams that outlive their engine, on a paused clock."""

import asyncio
import unittest

from monsoontack.core.pausedloop import run_paused
from monsoontack.gateway.budgets import RetryBudgets
from monsoontack.gateway.loadexchange import EngineUsage, LoadExchange, LoadMessage
from monsoontack.gateway.outbound import ExchangeFailure, FailureKind
from monsoontack.gateway.peers import peer_pool
from monsoontack.gateway.records import EngineTraits, RequestKind, ServiceTraits
from monsoontack.gateway.streams import StreamForwarder
from standins.gatewayparts import (
    HOME,
    NEAR,
    SERVICE,
    ScriptedSender,
    make_fleet,
    make_job,
    make_rng,
    make_route,
)

REFUSED = ExchangeFailure(FailureKind.CONNECT, False, "refused")
TRAITS = {SERVICE: ServiceTraits(SERVICE, 100, EngineTraits(8, 88_000, True, 4.0))}
EVENTS = 40
GAP_S = 0.05


def event(number):
    return b"id: %d\ndata: t%d\n\n" % (number, number)


WHOLE = b"".join(event(number) for number in range(1, EVENTS + 1))


def engine(first_s=1.0, dies_at=None, how="reset", has_copy=True, split_at=None):
    """Return the script of an engine that streams, and dies after an event.

    Only first runs die, so that a scenario may let every engine do so.

    `split_at` names an event that stops halfway before the death.
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
            if is_first and dies_at is not None and number > dies_at:
                if split_at:
                    exchange.part(event(number)[:8])
                if how == "reset":
                    exchange.fail(FailureKind.RESET, True, "reset")
                return
            exchange.part(event(number))
            await asyncio.sleep(GAP_S)
        exchange.end()

    return play


def make(scripts, places, extra=50.0):
    fleet = make_fleet(dict(zip(scripts, places, strict=True)))
    sender = ScriptedSender(fleet, scripts)
    budgets = RetryBudgets(0.8, extra, 10.0)
    forwarder = StreamForwarder(HOME, fleet, sender, budgets, make_rng())
    forwarder.traits = TRAITS
    return forwarder


def stream_route(**changes):
    fields = {"resumable": True, "max_gap_s": 0.7, "timeout_s": 25.0, "attempts": 5}
    return make_route(RequestKind.STREAM, **(fields | changes))


def serve(scripts, places=(HOME, NEAR, NEAR), deadline_s=25.0, leave_at=None, **route):
    async def scenario():
        forwarder = make(scripts, places)
        job = make_job(stream_route(**route), deadline_s=deadline_s)
        task = asyncio.ensure_future(forwarder.serve(job))
        if leave_at is not None:
            await asyncio.sleep(leave_at)
            job.responder.leave()
        await task
        return forwarder, job

    return run_paused(scenario())


class LossTest(unittest.TestCase):
    """Loss of the engine during a stream."""

    def test_reset_goes_on_at_the_copy_within_the_pause(self):
        """Guards against a pause, a gap or a repetition after an engine's crash."""
        scripts = {name: engine(dies_at=20) for name in ("s1", "s2", "s3")}
        forwarder, job = serve(scripts)
        self.assertEqual(WHOLE, job.responder.body)
        self.assertTrue(job.responder.finished)
        first, resumed = forwarder.sender.sent
        self.assertEqual(first.backup, resumed.copy.address)
        self.assertEqual("20", resumed.last_event_id)
        self.assertLess(job.worst_gap_s, 0.7)

    def test_copy_stands_in_another_failure_domain(self):
        """Guards against copies that fall together with the run."""
        scripts = {name: engine() for name in ("s1", "s2", "s3", "s4")}
        places = (HOME, HOME, NEAR, NEAR)
        domain = {"s1": HOME, "s2": HOME, "s3": NEAR, "s4": NEAR}
        forwarder, _ = serve(scripts, places)
        sent = forwarder.sender.sent[0]
        kept = sent.backup.rpartition(":")[2]
        self.assertNotEqual(sent.server.place, domain[kept])

    def test_silent_engine_is_left_and_its_run_ended(self):
        """Guards against streams that wait for a dark engine, and double work."""
        scripts = {
            name: engine(dies_at=15, how="silent") for name in ("s1", "s2", "s3")
        }

        async def scenario():
            forwarder = make(scripts, (HOME, NEAR, NEAR))
            job = make_job(stream_route(), deadline_s=25.0)
            task = asyncio.ensure_future(forwarder.serve(job))
            await asyncio.sleep(1.9)
            for name in scripts:
                scripts[name] = engine()
            await task
            return forwarder, job

        forwarder, job = run_paused(scenario())
        self.assertEqual(WHOLE, job.responder.body)
        self.assertLess(job.worst_gap_s, 0.7)
        self.assertIsNotNone(forwarder.sender.exchanges[0].aborted_at)

    def test_stop_inside_an_event_repeats_it_whole(self):
        """Guards against half an event joined with one of another run."""
        dying = engine(dies_at=12, split_at=13)
        scripts = {"s1": dying, "s2": dying, "s3": dying}
        _, job = serve(scripts)
        self.assertEqual(WHOLE, job.responder.body)

    def test_missing_copy_leads_to_a_restart(self):
        """Guards against a stream that ends since its copy was lost as well."""
        scripts = {
            "s1": engine(dies_at=10, has_copy=False),
            "s2": engine(dies_at=10, has_copy=False),
            "s3": engine(has_copy=False),
        }
        _, job = serve(scripts)
        self.assertEqual(WHOLE, job.responder.body)

    def test_loss_before_the_first_event_asks_for_no_copy(self):
        """Guards against sends that must fail: no run, no copy."""
        scripts = {
            "s1": engine(dies_at=0),
            "s2": engine(dies_at=0),
            "s3": engine(),
        }
        forwarder, job = serve(scripts)
        self.assertEqual(WHOLE, job.responder.body)
        self.assertTrue(all(sent.copy is None for sent in forwarder.sender.sent))

    def test_failure_domain_falls_while_many_streams_run(self):
        """Pattern: a third of the engines falls at once, every few seconds.

        Guards against a retry budget that fills too slowly for it: with a bucket,
        streams of a fallen domain ended although an engine had their copy.
        """

        async def scenario():
            places = [HOME] * 2 + [NEAR] * 4
            names = [f"s{number}" for number in range(6)]
            fallen = {"s0", "s1"}
            scripts = {
                name: engine(dies_at=20) if name in fallen else engine()
                for name in names
            }
            forwarder = make(scripts, places, extra=30.0)
            jobs = [make_job(stream_route(), f"id-{n}", 25.0) for n in range(20)]
            await asyncio.gather(*(forwarder.serve(job) for job in jobs))
            return jobs

        jobs = run_paused(scenario())
        whole = sum(job.responder.body == WHOLE for job in jobs)
        self.assertEqual(len(jobs), whole)
        self.assertLess(max(job.worst_gap_s for job in jobs), 0.7)


class EndTest(unittest.TestCase):
    """Ends other than a whole stream."""

    def test_stream_that_may_not_be_resumed_is_cut(self):
        """Guards against a second run of a stream that must run once."""
        scripts = {name: engine(dies_at=10) for name in ("s1", "s2", "s3")}
        forwarder, job = serve(scripts, resumable=False)
        self.assertEqual(1, len(forwarder.sender.sent))
        self.assertTrue(job.responder.was_cut)
        self.assertFalse(job.responder.finished)

    def test_deadline_cuts_and_never_looks_complete(self):
        """Guards against a short answer that looks whole."""
        scripts = {name: engine() for name in ("s1", "s2", "s3")}
        forwarder, job = serve(scripts, deadline_s=2.0)
        self.assertTrue(job.responder.was_cut)
        self.assertFalse(job.responder.finished)
        self.assertIsNotNone(forwarder.sender.exchanges[0].aborted_at)

    def test_caller_that_leaves_ends_the_run(self):
        """Guards against engines that generate for nobody."""
        scripts = {name: engine() for name in ("s1", "s2", "s3")}
        forwarder, job = serve(scripts, leave_at=1.5)
        self.assertEqual("caller_gone", job.outcome)
        self.assertLess(forwarder.sender.exchanges[0].aborted_at, 1.75)

    def test_no_engine_reachable_is_refused_as_not_run(self):
        """Guards against a wait until the deadline when nothing can be done."""
        scripts = {name: REFUSED for name in ("s1", "s2", "s3")}
        _, job = serve(scripts)
        self.assertEqual(503, job.responder.status)
        self.assertLess(job.responder.answered_at, 0.1)
        self.assertIn(b"retry-after", dict(job.responder.headers))

    def test_engine_that_went_dark_while_it_read_the_prompt(self):
        """Pattern: a dark engine holds runs that wait for their first event.

        Guards against a wait for the whole predicted time: the engine takes no
        connection any more.
        """

        async def scenario():
            scripts = {name: engine(first_s=100.0) for name in ("s1", "s2", "s3")}
            forwarder = make(scripts, (HOME, NEAR, NEAR))
            job = make_job(stream_route(), deadline_s=25.0)
            task = asyncio.ensure_future(forwarder.serve(job))
            await asyncio.sleep(0.3)
            first = forwarder.sender.sent[0].server.incarnation
            for name in scripts:
                scripts[name] = REFUSED if name == first else engine()
            await task
            return job

        job = run_paused(scenario())
        self.assertEqual(WHOLE, job.responder.body)
        self.assertLess(job.first_event_at, 2.5)


class SharedLoadTest(unittest.TestCase):
    """What other entries told about the engines."""

    def first_engine(self, tell):
        """Return the engine that gets a stream after `tell` got the forwarder."""

        async def scenario():
            forwarder = make({f"s{n}": engine() for n in range(3)}, (HOME,) * 3)
            forwarder.share_load_with_peers(LoadExchange("one", peer_pool()))
            await asyncio.sleep(1.0)
            tell(forwarder)
            await forwarder.serve(make_job(stream_route(), deadline_s=25.0))
            return forwarder.sender.sent[0].server.incarnation

        return run_paused(scenario())

    def test_engines_that_others_use_are_left_to_them(self):
        """Pattern: many entries, each with few runs, send to the same engines."""

        def tell(forwarder):
            use = EngineUsage(2, 8000, 18_000)
            uses = {name: use for name in ("s0", "s2")}
            message = LoadMessage("two", True, True, uses, {}, ())
            forwarder.load_exchange.peer_loads.apply(message, forwarder.sender.now())

        self.assertEqual("s1", self.first_engine(tell))

    def test_prompt_that_another_entry_sent_goes_to_its_engine(self):
        """Pattern: entries fall, and their callers come back through others."""
        for name in ("s0", "s1", "s2"):
            chosen = self.first_engine(lambda f, n=name: f.remember("part-1", n))
            self.assertEqual(name, chosen)

    def test_engine_that_failed_another_entry_is_left(self):
        """Pattern: a dead engine has the least to do of all."""
        for name in ("s0", "s1", "s2"):
            chosen = self.first_engine(lambda f, n=name: f.heard_failed(n))
            self.assertNotEqual(name, chosen)


if __name__ == "__main__":
    unittest.main()
