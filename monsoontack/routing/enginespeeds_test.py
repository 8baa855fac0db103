"""Tests of the measured speeds of engines."""

import random
import unittest

from monsoontack.routing.enginespeeds import (
    EVENTS_PER_WINDOW,
    ServiceSpeeds,
    StepWindow,
)

PROMPT_TOKENS, STEP_S, READ_S = 8000, 0.004, 1.0
NAMES = tuple(f"e{n}" for n in range(6))


def measure(slowness, noise, speeds=None):
    """Measure 12 streams at each engine.

    `slowness` maps an engine to its usual time for the same work, `noise` returns how
    much longer than that something takes.
    """
    speeds = speeds or ServiceSpeeds()
    for _ in range(12):
        for name in NAMES:
            took = slowness.get(name, 1.0)
            speeds.note_first_event(name, PROMPT_TOKENS, took * READ_S * noise())
            for _ in range(8):
                speeds.note_steps(name, took * STEP_S * noise())
    speeds.refresh(0.0)
    return speeds


class ServiceSpeedsTest(unittest.TestCase):
    def test_one_engine_in_six_is_slow(self):
        """Load: some engines take 1.3 times as long for good; guards against the same
        work for them as for the others."""
        rng = random.Random(4)
        speeds = measure({"e3": 1.3}, lambda: rng.uniform(1.0, 1.1))
        self.assertAlmostEqual(1.3, speeds.factor("e3"), delta=0.1)
        self.assertEqual([1.0] * 5, [speeds.factor(n) for n in NAMES if n != "e3"])

    def test_slow_spells_change_nothing(self):
        """Load: 15 in 100 engines take 2.5 times as long for 600 ms at a time; guards
        against an engine that is avoided long after its slow spell."""
        for seed in range(10):
            rng = random.Random(seed)
            noise = lambda rng=rng: 2.5 if rng.random() < 0.15 else 1.0  # noqa: E731
            speeds = measure({}, noise)
            self.assertEqual({}, speeds.factors)
            self.assertAlmostEqual(0.000125, speeds.prefill_s_per_token, delta=1e-5)

    def test_cached_prompts_make_no_engine_fast(self):
        """Load: callers that come back send prompts that the engine has read before;
        guards against an engine that gets most of the load since it seems fast."""
        speeds = measure({}, lambda: 1.0)
        for _ in range(20):
            speeds.note_first_event("e1", PROMPT_TOKENS, 0.1)
        speeds.refresh(1.0)
        self.assertEqual(1.0, speeds.factor("e1"))
        self.assertAlmostEqual(0.000125, speeds.prefill_s_per_token)

    def test_engines_that_are_faster_than_assumed_are_measured(self):
        """Guards against a first value that counts all prompts as cached ones."""
        speeds = ServiceSpeeds()
        for _ in range(200):
            speeds.note_first_event("e1", PROMPT_TOKENS, 0.2)
        self.assertAlmostEqual(0.2 / PROMPT_TOKENS, speeds.prefill_s_per_token, 5)

    def test_few_samples_count_little(self):
        """Guards against an engine that is avoided for one prompt in a slow spell."""
        speeds = measure({}, lambda: 1.0)
        speeds.note_first_event("new", PROMPT_TOKENS, 1.8 * READ_S)
        speeds.refresh(1.0)
        self.assertEqual(1.0, speeds.factor("new"))

    def test_restarted_engine_is_measured_anew(self):
        """Load: engines restart under the same name; guards against the speed of the
        former process, which may have run on another machine."""
        speeds = measure({"e3": 2.0}, lambda: 1.0)
        self.assertGreater(speeds.factor("e3"), 1.5)
        self.assertEqual(1.0, speeds.factor("e3 started later"))
        speeds.forget("e3")
        speeds.refresh(1.0)
        self.assertEqual(1.0, speeds.factor("e3"))


class StepWindowTest(unittest.TestCase):
    def test_events_in_one_packet_do_not_look_fast(self):
        """Guards against step times of zero, as events arrive several at a time."""
        window, found = StepWindow(), []
        for packet in range(20):
            step_s = window.note(5 * packet, 7, 5 * packet * 0.028)
            found += [] if step_s is None else [step_s]
        self.assertGreaterEqual(len(found), 80 // EVENTS_PER_WINDOW - 1)
        for step_s in found:
            self.assertAlmostEqual(0.004, step_s)


if __name__ == "__main__":
    unittest.main()
