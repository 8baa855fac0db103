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
    """Returns results in turn, each after its delay; the last one repeats."""

    def __init__(self, *results, delays=(0.0,)):
        self.results = list(results)
        self.delays = list(delays)
        self.asked = []

    async def dispatch(self, call, fence, latest_start_unix_s, asked):
        self.asked.append(set(asked))
        number = len(self.asked) - 1
        result = self.results[min(number, len(self.results) - 1)]
        asked.add(result.address)
        await asyncio.sleep(self.delays[min(number, len(self.delays) - 1)])
        return result


def ran(address="one", status=200):
    answer = ServiceAnswer(status, (), b"ok")
    return DispatchResult(RunState.RUN, answer, "", address)


def lost(address):
    return DispatchResult(RunState.UNKNOWN, None, "link_lost", address)


class LedgerTest(unittest.TestCase):
    def test_three_store_calls_at_most(self):
        """Guards against more than the two writes that a call may cost."""

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
        """Guards against a caller that waits for a slow store."""

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
        """Guards against callers that wait for store timeouts one by one."""

        async def scenario():
            store = MemoryStore()
            store.faults.outage = True
            dispatcher = ScriptedDispatcher(ran())
            ledger = Ledger(store, dispatcher)
            for _ in range(100):
                refusal = await ledger.run(call())
                self.assertEqual(RunState.NOT_RUN, refusal.run_state)
            self.assertLess(sum(store.calls.values()), 5)
            self.assertEqual([], dispatcher.asked)
            store.faults.outage = False
            await asyncio.sleep(1.0)
            self.assertEqual(ANSWER, await ledger.run(call()))

        run_in_virtual_time(scenario())

    def test_refused_at_once_while_writes_get_no_answer(self):
        """Guards against callers that each wait for a store that hangs."""

        async def scenario():
            store = FaultyStore(MemoryStore(), random.Random(1), partitioned=True)
            dispatcher = ScriptedDispatcher(ran())
            ledger = Ledger(store, dispatcher)
            for number in range(100):
                refusal = await ledger.run(call(f"k{number}"))
                self.assertEqual(RunState.NOT_RUN, refusal.run_state)
            self.assertLess(ledger.counts["store.create"], 5)
            self.assertEqual([], dispatcher.asked)

        run_in_virtual_time(scenario())

    def test_write_budget_refuses_with_a_retry_time(self):
        """Guards against writes above the fleet's budget, and a useless retry."""

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
        """Guards against a fleet whose entries each take the whole budget."""
        for entries in (1, 4, 390):
            budget, taken = WriteBudget(live_entries=entries), 0
            for tenth in range(6000):
                while budget.take_call(tenth / 10) is None:
                    taken += 1
            writes_per_s = 3 * taken * entries / 600
            self.assertLess(writes_per_s, 206)
            self.assertGreater(writes_per_s, 190)

    def test_health_probes_one_at_a_time(self):
        """Guards against a store that is flooded as it comes back."""
        health = StoreHealth()
        health.record(False, 0.0)
        self.assertTrue(health.allow(0.0))
        health.record(False, 0.0)
        self.assertEqual(
            [False, True, False], [health.allow(t) for t in (0.1, 0.6, 0.7)]
        )
        health.record(True, 0.8)
        self.assertTrue(health.allow(0.8))


class LookupTest(unittest.TestCase):
    def run_lookups(self, dispatcher, count=1):
        async def scenario():
            ledger = Ledger(MemoryStore(), dispatcher)
            answers = [await ledger.run(call(idempotent=True)) for _ in range(count)]
            self.assertEqual({}, dict(ledger.store.calls))
            return answers, ledger

        return run_in_virtual_time(scenario())

    def test_retry_goes_to_another_server(self):
        """Guards against a retry at the server that just failed."""
        dispatcher = ScriptedDispatcher(lost("one"), ran("two", 503), ran("three"))
        answers, _ = self.run_lookups(dispatcher)
        self.assertEqual([ANSWER], answers)
        self.assertEqual([set(), {"one"}, {"one", "two"}], dispatcher.asked)

    def test_retries_keep_to_the_budget(self):
        """Guards against retries that multiply the load of a failing service."""
        dispatcher = ScriptedDispatcher(lost("one"))
        self.run_lookups(dispatcher, 200)
        self.assertLess(len(dispatcher.asked), 200 * 1.1 + 5)

    def test_retries_end_with_the_timeout(self):
        """Guards against a lookup that is retried after its deadline."""
        dispatcher = ScriptedDispatcher(lost("one"), delays=[2.0])
        answers, _ = self.run_lookups(dispatcher)
        self.assertEqual(RunState.UNKNOWN, answers[0].run_state)
        self.assertEqual(1, len(dispatcher.asked))

    def test_single_server_is_asked_again(self):
        """Guards against a retry that finds no server because one is excluded."""
        none = DispatchResult(RunState.NOT_RUN, code="no_server")
        answers, _ = self.run_lookups(ScriptedDispatcher(lost("one"), none, ran()))
        self.assertEqual([ANSWER], answers)

    def test_late_lookup_is_hedged_at_another_server(self):
        """Guards against a lookup that waits for one slow server."""
        delays = [0.02] * 32 + [0.01] * 8 + [1.5, 0.01]
        dispatcher = ScriptedDispatcher(*[ran()] * 41, ran("two"), delays=delays)
        answers, ledger = self.run_lookups(dispatcher, 41)
        self.assertEqual(1, ledger.counts["lookup.hedges"])
        self.assertEqual({"one"}, dispatcher.asked[41])
        self.assertEqual(42, len(dispatcher.asked))


if __name__ == "__main__":
    unittest.main()
