"""Tests of load, progress, cache events and the frame schedule."""

import unittest

from monsoontack.agent.load import CacheEvent, EngineView, TokenProgress
from monsoontack.agent.schedule import FrameSchedule


def stored(*sequences):
    return [CacheEvent(number, "stored", (number,)) for number in sequences]


class EngineViewTest(unittest.TestCase):
    def test_gap_of_one_stream(self):
        """Guards against gaps measured between tokens of different streams."""
        progress = TokenProgress(0.0)
        for second in range(200):
            progress.record(1, float(second))
            progress.record(2, second + 0.5)
        self.assertEqual((1.0, 199.5), (progress.gap_p99_s(), progress.last_token_at))
        progress.forget(1)
        progress.record(1, 1000.0)
        self.assertEqual(1.0, progress.gap_p99_s())

    def test_cache_events_keep_gaps_and_drop_repeats(self):
        """Guards against an entry that believes in blocks long evicted."""
        view = EngineView((), 1, TokenProgress(0.0))
        view.add_cache_events(stored(1, 2))
        view.add_cache_events(stored(2, 5))
        numbers = [event.sequence for event in view.cache_events_after(1)]
        self.assertEqual([2, 5], numbers)

    def test_restarted_engine(self):
        """Guards against events of a new engine that are taken for old ones."""
        view = EngineView((), 1, TokenProgress(0.0))
        view.add_cache_events(stored(1, 7))
        view.reset_cache()
        view.add_cache_events(stored(1))
        events = view.cache_events_after(7)
        self.assertEqual(
            [(8, "cleared"), (9, "stored")],
            [(event.sequence, event.kind) for event in events],
        )


class FrameScheduleTest(unittest.TestCase):
    def test_tick_heartbeat_and_urgency(self):
        """Guards against a message per token, and against silence when idle."""
        schedule = FrameSchedule(0.025, 0.5, 2.0)
        self.assertEqual(3.0, schedule.next_at(True, False, True, 3.0))
        schedule.sent(3.0, True)
        self.assertEqual(3.025, schedule.next_at(True, False, True, 3.001))
        self.assertEqual(3.5, schedule.next_at(False, False, True, 3.001))
        self.assertEqual(5.0, schedule.next_at(False, False, False, 3.001))
        self.assertEqual(3.001, schedule.next_at(False, True, True, 3.001))

    def test_each_heartbeat_has_the_load(self):
        """Guards against an idle engine whose load grows stale at the entry."""
        schedule = FrameSchedule(0.025, 0.5, 2.0)
        schedule.sent(3.0, True)
        self.assertFalse(schedule.load_due(3.2))
        self.assertTrue(schedule.load_due(schedule.next_at(False, False, True, 3.2)))


if __name__ == "__main__":
    unittest.main()
