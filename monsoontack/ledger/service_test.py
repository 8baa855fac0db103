"""Tests of the ledger service, its limits and idempotent calls."""

import asyncio
import random
import unittest

from monsoontack.core.errors import RequestError, RunState
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.ledger.limits import StoreHealth, WriteBudget
from monsoontack.ledger.records import DispatchResult, ServiceAnswer, ServiceCall
from monsoontack.ledger.service import Ledger
from monsoontack.store.faulty import FaultyStore
from monsoontack.store.memory import MemoryStore

ANSWER = ServiceAnswer(200, (), b"ok")


def call(key="k", idempotent=False, body=b""):
    return ServiceCall(
        "a", "s", "POST", "/p", (), body, idempotent, "" if idempotent else key, 2.0
    )


class ScriptedDispatcher:
    """Returns the given results in order, each after its delay; the last repeats."""

    def __init__(self, *results, delays=(0.0,)):
        self.results = list(results)
        self.delays = list(delays)
        self.tried_by_dispatch = []

    async def dispatch(self, call, fence, latest_start_unix_s, tried_addresses):
        self.tried_by_dispatch.append(set(tried_addresses))
        number = len(self.tried_by_dispatch) - 1
        result = self.results[min(number, len(self.results) - 1)]
        tried_addresses.add(result.address)
        await asyncio.sleep(self.delays[min(number, len(self.delays) - 1)])
        return result


def ran(address="one", status=200):
    answer = ServiceAnswer(status, (), b"ok")
    return DispatchResult(RunState.RUN, answer, "", address)


def lost(address):
    return DispatchResult(RunState.UNKNOWN, None, "link_lost", address)


class LedgerTest(unittest.TestCase):
    def test_three_store_calls_at_most(self):
        """Guards against a call that needs more than two writes."""

        async def scenario():
            store = MemoryStore()
            ledger = Ledger(store, ScriptedDispatcher(ran()), wall_clock=lambda: 0.0)
            self.assertEqual(ANSWER, await ledger.run(call()))
            await ledger.wait_until_settled(1.0)
            self.assertEqual({"create": 1, "update": 1}, dict(store.calls))
            again = await ledger.run(call())
            self.assertEqual(b"ok", again.body)
            self.assertIn(("idempotency-replayed", "true"), again.headers)
            reused = await ledger.run(call(body=b"other"))
            self.assertEqual("key_reused", reused.code)
            found = await ledger.find_outcome("a", "k")
            self.assertEqual(("done", 200), (found["state"], found["status"]))
            self.assertEqual(
                "call_not_found", (await ledger.find_outcome("a", "z")).code
            )

        run_in_virtual_time(scenario())

    def test_answer_does_not_wait_for_the_outcome_write(self):
        """Guards against an answer that is delayed by a slow store."""

        async def scenario():
            store = MemoryStore()
            ledger = Ledger(store, ScriptedDispatcher(ran(), delays=[0.1]))
            task = asyncio.ensure_future(ledger.run(call()))
            await asyncio.sleep(0.05)
            store.faults.outage = True
            self.assertEqual(ANSWER, await task)
            await asyncio.sleep(100)
            store.faults.outage = False
            self.assertEqual(0, await ledger.wait_until_settled(60.0))
            self.assertEqual("done", (await ledger.find_outcome("a", "k"))["state"])

        run_in_virtual_time(scenario())

    def test_refused_at_once_in_an_outage(self):
        """Guards against callers that each wait for a store timeout."""

        async def scenario():
            store = MemoryStore()
            store.faults.outage = True
            dispatcher = ScriptedDispatcher(ran())
            ledger = Ledger(store, dispatcher)
            for _ in range(100):
                refusal = await ledger.run(call())
                self.assertEqual(RunState.NOT_RUN, refusal.run_state)
            self.assertLess(sum(store.calls.values()), 5)
            self.assertEqual([], dispatcher.tried_by_dispatch)
            store.faults.outage = False
            await asyncio.sleep(1.0)
            self.assertEqual(ANSWER, await ledger.run(call()))

        run_in_virtual_time(scenario())

    def test_refused_at_once_while_writes_get_no_answer(self):
        """Guards against callers that each wait for a store that never answers."""

        async def scenario():
            store = FaultyStore(MemoryStore(), random.Random(1), partitioned=True)
            dispatcher = ScriptedDispatcher(ran())
            ledger = Ledger(store, dispatcher)
            for number in range(100):
                refusal = await ledger.run(call(f"k{number}"))
                self.assertEqual(RunState.NOT_RUN, refusal.run_state)
            self.assertLess(ledger.counts["store.create"], 5)
            self.assertEqual([], dispatcher.tried_by_dispatch)

        run_in_virtual_time(scenario())

    def test_write_budget_refuses_with_a_retry_time(self):
        """Guards against writes above the fleet's budget and a too early retry time."""

        async def scenario():
            budget = WriteBudget(live_entries=50)
            ledger = Ledger(MemoryStore(), ScriptedDispatcher(ran()), budget=budget)
            answers = [await ledger.run(call(f"k{n}")) for n in range(10)]
            refused = [x for x in answers if isinstance(x, RequestError)]
            self.assertEqual({"write_budget"}, {x.code for x in refused})
            self.assertEqual(8, len(refused))
            await asyncio.sleep(refused[-1].retry_after_s)
            self.assertEqual(ANSWER, await ledger.run(call("k9")))

        run_in_virtual_time(scenario())

    def test_budget_is_shared_by_the_fleet(self):
        """Guards against entries that each use the budget of the whole fleet."""
        for entries in (1, 4, 390):
            budget, taken = WriteBudget(live_entries=entries), 0
            for tenth in range(6000):
                while budget.reserve_call(tenth / 10) is None:
                    taken += 1
            writes_per_s = 3 * taken * entries / 600
            self.assertLess(writes_per_s, 206)
            self.assertGreater(writes_per_s, 190)

    def test_health_probes_one_at_a_time(self):
        """Guards against a store that is overloaded when it becomes available again."""
        health = StoreHealth()
        health.record(False, 0.0)
        self.assertTrue(health.allow(0.0))
        health.record(False, 0.0)
        self.assertEqual(
            [False, True, False], [health.allow(t) for t in (0.1, 0.6, 0.7)]
        )
        health.record(True, 0.8)
        self.assertTrue(health.allow(0.8))


class IdempotentCallsTest(unittest.TestCase):
    def run_idempotent_calls(self, dispatcher, count=1):
        async def scenario():
            ledger = Ledger(MemoryStore(), dispatcher)
            answers = [await ledger.run(call(idempotent=True)) for _ in range(count)]
            self.assertEqual({}, dict(ledger.store.calls))
            return answers, ledger

        return run_in_virtual_time(scenario())

    def test_retry_goes_to_another_server(self):
        """Guards against a retry on the server that has just failed."""
        dispatcher = ScriptedDispatcher(lost("one"), ran("two", 503), ran("three"))
        answers, _ = self.run_idempotent_calls(dispatcher)
        self.assertEqual([ANSWER], answers)
        self.assertEqual([set(), {"one"}, {"one", "two"}], dispatcher.tried_by_dispatch)

    def test_retries_keep_to_the_budget(self):
        """Guards against retries that multiply the load of a failing service."""
        dispatcher = ScriptedDispatcher(lost("one"))
        self.run_idempotent_calls(dispatcher, 200)
        self.assertLess(len(dispatcher.tried_by_dispatch), 200 * 1.1 + 5)

    def test_retries_end_with_the_timeout(self):
        """Guards against an idempotent call that is retried after its deadline."""
        dispatcher = ScriptedDispatcher(lost("one"), delays=[2.0])
        answers, _ = self.run_idempotent_calls(dispatcher)
        self.assertEqual(RunState.UNKNOWN, answers[0].run_state)
        self.assertEqual(1, len(dispatcher.tried_by_dispatch))

    def test_single_server_is_asked_again(self):
        """Guards against a retry that finds no server because all were tried."""
        none = DispatchResult(RunState.NOT_RUN, code="no_server")
        answers, _ = self.run_idempotent_calls(
            ScriptedDispatcher(lost("one"), none, ran())
        )
        self.assertEqual([ANSWER], answers)

    def test_call_at_a_silent_server_is_repeated_within_the_budget(self):
        """Guards against an idempotent call that waits for a silent server although
        another one is sound, or that is given up since no repeat is allowed."""

        class SilentDispatcher(ScriptedDispatcher):
            async def dispatch(self, call, *arguments):
                if len(self.tried_by_dispatch) < self.silent_count:
                    asyncio.get_running_loop().call_later(1.0, call.on_silence)
                return await super().dispatch(call, *arguments)

        async def scenario(saved_retries, silent_count, *results, delays):
            dispatcher = SilentDispatcher(*results, delays=delays)
            dispatcher.silent_count = silent_count
            ledger = Ledger(MemoryStore(), dispatcher)
            ledger.idempotent_calls.retry_budget.saved_retries = saved_retries
            ledger.idempotent_calls.retry_budget.updated_at = 1.0
            answer = await ledger.run(call(idempotent=True))
            now = asyncio.get_running_loop().time()
            return answer, round(now, 3), dispatcher.tried_by_dispatch

        late, soon = ran("one", 201), ran("two")
        cases = (
            (2.0, 1, (late, soon), [1.8, 0.01], (200, 1.01, [set(), {"one"}])),
            (2.0, 1, (late, lost("two")), [1.8, 0.0], (201, 1.8, 3)),
            (2.0, 1, (late, soon), [1.2, 0.5], (201, 1.2, 2)),
            (0.0, 1, (late, soon), [1.8, 0.01], (201, 1.8, 1)),
        )
        for budget, silent_count, results, delays, expected in cases:
            with self.subTest(budget=budget, delays=delays):
                answer, ended_at, tried = run_in_virtual_time(
                    scenario(budget, silent_count, *results, delays=delays)
                )
                status, expected_end, expected_tried = expected
                self.assertEqual((status, expected_end), (answer.status, ended_at))
                if isinstance(expected_tried, int):
                    self.assertEqual(expected_tried, len(tried))
                else:
                    self.assertEqual(expected_tried, tried)

    def test_late_call_is_hedged_at_another_server(self):
        """Guards against an idempotent call that waits for one slow server."""
        delays = [0.02] * 32 + [0.01] * 8 + [1.5, 0.01]
        dispatcher = ScriptedDispatcher(*[ran()] * 41, ran("two"), delays=delays)
        answers, ledger = self.run_idempotent_calls(dispatcher, 41)
        self.assertEqual(1, ledger.counts["lookup.hedges"])
        self.assertEqual({"one"}, dispatcher.tried_by_dispatch[41])
        self.assertEqual(42, len(dispatcher.tried_by_dispatch))

    def test_hedge_that_was_not_run_after_a_lost_attempt(self):
        """Guards against "not run" for a call that its first server may have run: only
        the result of the attempt that ended last counted."""
        none = DispatchResult(RunState.NOT_RUN, code="no_server")
        delays = [0.02] * 32 + [0.01] * 8 + [0.3, 0.6, 0.0]
        dispatcher = ScriptedDispatcher(*[ran()] * 40, lost("one"), none, delays=delays)
        answers, ledger = self.run_idempotent_calls(dispatcher, 41)
        self.assertEqual(1, ledger.counts["lookup.hedges"])
        self.assertEqual(RunState.UNKNOWN, answers[-1].run_state)


if __name__ == "__main__":
    unittest.main()
