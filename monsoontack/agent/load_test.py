"""Tests of token progress, cache events and the frame schedule."""

import unittest

from monsoontack.agent.load import CacheEvent, EngineView, TokenProgress
from monsoontack.agent.schedule import FrameSchedule


def stored(*sequences):
    return [CacheEvent(number, "stored", (number,)) for number in sequences]


class EngineViewTest(unittest.TestCase):
    def test_gaps_are_measured_within_one_run(self):
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
        """Guards against an entry that assumes evicted blocks are still cached."""
        view = EngineView((), 1, TokenProgress(0.0))
        view.add_cache_events(stored(1, 2))
        view.add_cache_events(stored(2, 5))
        numbers = [event.sequence for event in view.cache_events_after(1)]
        self.assertEqual([2, 5], numbers)

    def test_restarted_engine(self):
        """Guards against ignoring events of a restarted engine as already received."""
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
        """Guards against one frame per token and against a link without heartbeats."""
        schedule = FrameSchedule(0.025, 0.5, 2.0)
        self.assertEqual(3.0, schedule.next_frame_at(True, False, True, 3.0))
        schedule.note_sent(3.0, True)
        self.assertEqual(3.025, schedule.next_frame_at(True, False, True, 3.001))
        self.assertEqual(3.5, schedule.next_frame_at(False, False, True, 3.001))
        self.assertEqual(5.0, schedule.next_frame_at(False, False, False, 3.001))
        self.assertEqual(3.001, schedule.next_frame_at(False, True, True, 3.001))

    def test_each_heartbeat_includes_the_load(self):
        """Guards against a stale load of an idle engine at the entry."""
        schedule = FrameSchedule(0.025, 0.5, 2.0)
        schedule.note_sent(3.0, True)
        self.assertFalse(schedule.is_load_due(3.2))
        self.assertTrue(
            schedule.is_load_due(schedule.next_frame_at(False, False, True, 3.2))
        )


if __name__ == "__main__":
    unittest.main()
