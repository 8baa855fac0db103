"""Tests of the placement of generations and of the copies of their KV memory."""

import random
import unittest
from collections import Counter
from dataclasses import replace

from monsoontack.core.records import Place
from monsoontack.routing.placement import (
    EngineCandidate,
    PromptAffinity,
    choose_backup,
    choose_engine,
    expected_first_event_s,
)

A, B, C = Place("a", "north"), Place("b", "north"), Place("c", "south")
PLACES = (A, B, C)
NEEDED_TOKENS = 9000


def engines(count=9, **changes):
    base = [
        EngineCandidate(f"e{n}", PLACES[n % 3], 0, 48, 0, 0, 88_000)
        for n in range(count)
    ]
    return [replace(engine, **changes) for engine in base]


class PlacementTest(unittest.TestCase):
    def choose(self, loads, seed=1, **options):
        return choose_engine(loads, A, NEEDED_TOKENS, random.Random(seed), **options)

    def test_prompts_that_wait_count(self):
        """Pattern: long prompts queue up at an engine that has few requests."""
        loads = engines(3)
        loads[0] = replace(loads[0], waiting_tokens=16_000)
        self.assertNotEqual("e0", self.choose(loads).key)

    def test_full_memory_is_avoided(self):
        """Pattern: long answers fill the memory, and runs are preempted."""
        loads = engines(3)
        loads[0] = replace(loads[0], held_tokens=80_000)
        loads[1] = replace(loads[1], held_tokens=80_000)
        self.assertEqual("e2", self.choose(loads).key)

    def test_fallen_domain_is_used_last(self):
        """Pattern: a failure domain fails while its engines are still listed."""
        loads = [replace(e, suspect=e.place == A) for e in engines()]
        chosen = {self.choose(loads, seed).place for seed in range(30)}
        self.assertNotIn(A, chosen)

    def test_burst_spreads_over_engines(self):
        """Pattern: one entry sends a burst of prompts within one second."""
        loads = {e.key: e for e in engines(9)}
        counts = Counter()
        rng = random.Random(3)
        for number in range(45):
            affinity = PromptAffinity(f"p{number}", 8000)
            chosen = choose_engine(
                list(loads.values()), A, NEEDED_TOKENS, rng, affinity
            )
            counts[chosen.key] += 1
            waiting = chosen.waiting_tokens + 8000
            loads[chosen.key] = replace(chosen, waiting_tokens=waiting)
        self.assertEqual(9, len(counts))
        self.assertLessEqual(max(counts.values()), 7)

    def test_entries_agree_on_the_engine_of_a_prompt(self):
        """Pattern: callers reconnect through another entry after a lost connection."""
        affinity = PromptAffinity("part-9", 8000)
        loads = [replace(e, place=A) for e in engines()]
        chosen = {self.choose(loads, seed, affinity=affinity).key for seed in range(30)}
        self.assertEqual(1, len(chosen))

    def test_hot_key_stays_where_it_was_read_until_that_engine_is_busy(self):
        """Pattern: one prompt prefix gets much of the traffic."""
        affinity = PromptAffinity("hot", 8000, last_engine="e4")
        loads = engines()
        self.assertEqual("e4", self.choose(loads, affinity=affinity).key)
        loads[4] = replace(loads[4], waiting_tokens=30_000)
        self.assertNotEqual("e4", self.choose(loads, affinity=affinity).key)

    def test_slow_engine_gets_fewer_prompts(self):
        """Load: every third engine takes 1.3 times as long; guards against queues of
        equal length, which it takes longer to read."""
        counts = Counter()
        for seed in range(200):
            loads = engines(6, place=A, waiting_tokens=8000, in_flight=1)
            usual_s = loads[0].prefill_s_per_token
            for n in (0, 3):
                loads[n] = replace(loads[n], prefill_s_per_token=1.3 * usual_s)
            affinity = PromptAffinity(f"p{seed}", 8000)
            counts[self.choose(loads, seed, affinity=affinity).key] += 1
        self.assertLess(counts["e0"] + counts["e3"], 20)

    def test_equal_speeds_choose_as_before(self):
        """Guards against another choice only because the engines were measured."""
        rng = random.Random(9)
        for seed in range(100):
            loads = [
                replace(e, waiting_tokens=rng.randrange(20_000), in_flight=n % 4)
                for n, e in enumerate(engines())
            ]
            measured = [replace(e, prefill_s_per_token=0.000173) for e in loads]
            affinity = PromptAffinity(f"p{seed}", 8000)
            before = self.choose(loads, seed, affinity=affinity).key
            after = self.choose(measured, seed, affinity=affinity).key
            self.assertEqual(before, after)

    def test_first_event_follows_queue_speed_and_free_slots(self):
        """Guards against an admission that expects a full or slow engine to begin as
        soon as the others."""
        idle = engines(1)[0]
        self.assertAlmostEqual(1.0, expected_first_event_s(idle, 8000), delta=0.01)
        queue = replace(idle, waiting_tokens=8000, prefill_s_per_token=1.3 / 8000)
        # Half of the prompt ahead has been read on average.
        self.assertAlmostEqual(1.95, expected_first_event_s(queue, 8000), delta=0.01)
        full = replace(idle, in_flight=48)
        self.assertGreater(
            expected_first_event_s(full, 8000), expected_first_event_s(idle, 8000)
        )

    def test_runs_of_other_entries_count(self):
        """Pattern: prompts slow the runs of all entries at the same engine."""
        loads = engines(3, in_flight=2)
        loads[2] = replace(loads[2], in_flight=0)
        affinity = PromptAffinity("p", 8000)
        self.assertEqual("e2", self.choose(loads, affinity=affinity).key)

    def test_caller_that_comes_back_goes_where_its_prompt_was_read(self):
        """Pattern: entries fail, and their callers reconnect through other entries."""
        affinity = PromptAffinity("p", 8000, last_engine="e0")
        loads = [replace(e, in_flight=0 if e.key != "e0" else 2) for e in engines()]
        self.assertEqual("e0", self.choose(loads, affinity=affinity).key)

    def test_prompt_leaves_an_engine_that_failed(self):
        """Guards against retries at the engine that failed the caller's run."""
        affinity = PromptAffinity("p", 8000, last_engine="e0")
        loads = engines(3)
        loads[0] = replace(loads[0], suspect=True)
        self.assertNotEqual("e0", self.choose(loads, affinity=affinity).key)

    def test_copy_leaves_the_failure_domain_and_avoids_the_fallen(self):
        """Guards against a copy that is lost with its run or sent to a dead engine."""
        loads = [replace(e, suspect=e.place == B) for e in engines()]
        for seed in range(20):
            backup = choose_backup(loads, loads[0], NEEDED_TOKENS, random.Random(seed))
            self.assertEqual(C, backup.place)

    def test_copies_leave_kv_cache_to_waiting_runs(self):
        """Load: a burst; guards against copies that take the KV cache in which other
        streams could begin."""
        loads = [replace(e, held_tokens=e.memory_tokens // 2) for e in engines()]
        rng = random.Random(1)
        self.assertIsNone(choose_backup(loads, loads[0], NEEDED_TOKENS, rng, 0.4))
        self.assertIsNotNone(choose_backup(loads, loads[0], NEEDED_TOKENS, rng, 0.75))

    def test_copy_within_the_domain_if_there_is_no_other(self):
        """Guards against runs without a copy while one domain is left."""
        loads = [e for e in engines() if e.place == A]
        backup = choose_backup(loads, loads[0], NEEDED_TOKENS, random.Random(1))
        self.assertNotEqual(loads[0].key, backup.key)


if __name__ == "__main__":
    unittest.main()
