"""Tests of the decisions on single requests and engines."""

import unittest
from dataclasses import replace

from monsoontack.core.records import Place
from monsoontack.routing.placement import EngineCandidate
from monsoontack.scheduling.capacity import EngineRoom, ReadProgress
from monsoontack.scheduling.urgency import WaitingRequest, order_key

RATE = 8000.0
URGENT = WaitingRequest(1, "a", 0, 8000, 9000, 0.0, 4.0, 25.0)
OTHER = WaitingRequest(2, "a", 2, 8000, 9000, 0.0, 10.0, 25.0)
IDLE = EngineCandidate(
    "e", Place("d", "r"), 1, 16, 0, 9000, 88_000, prefill_s_per_token=1 / RATE
)


def can_begin(request, unread=0.0, now=0.0, **changes):
    room = EngineRoom(replace(IDLE, **changes), unread)
    return room.can_begin(request, request is URGENT, now)


class OrderTest(unittest.TestCase):
    """Requests of a burst in order."""

    def test_order_is_by_priority_then_by_what_can_be_met_then_by_time_left(self):
        """Guards against late requests that make others late, and against less urgent
        ones before urgent ones."""
        late = replace(OTHER, objective_at=1.0)
        soon = replace(OTHER, objective_at=5.0)
        late_urgent = replace(URGENT, objective_at=1.0)
        expected = [URGENT, late_urgent, soon, OTHER, late]
        found = sorted(reversed(expected), key=lambda r: order_key(r, 0.0, 1.1, 0))
        self.assertEqual(expected, found)

    def test_request_moves_up_after_half_of_its_time(self):
        """Guards against requests that starve behind a long burst of urgent ones."""
        self.assertEqual((2, 1), (OTHER.level(12.4), OTHER.level(12.5)))


class RoomTest(unittest.TestCase):
    """Engines in a burst, seen through load reports that are up to 0.3 s old."""

    def test_less_urgent_prompt_does_not_queue_behind_another(self):
        """Guards against an urgent stream that waits for several prompts."""
        self.assertTrue(can_begin(OTHER))
        self.assertFalse(can_begin(OTHER, 1000.0))
        self.assertTrue(can_begin(replace(OTHER, prompt_tokens=5000), 3000.0))
        self.assertTrue(can_begin(replace(OTHER, prompt_tokens=14_400)))
        self.assertTrue(can_begin(URGENT, 16_000.0))
        self.assertFalse(can_begin(URGENT, 32_000.0))

    def test_kv_cache_is_kept_for_urgent_streams(self):
        """Guards against preemption of runs by urgent ones, and against an urgent one
        that waits for a run to end until it is late."""
        self.assertFalse(can_begin(OTHER, held_tokens=64_000))
        self.assertTrue(can_begin(URGENT, held_tokens=64_000))
        self.assertTrue(can_begin(OTHER, held_tokens=63_000))
        self.assertTrue(can_begin(URGENT, held_tokens=72_000))
        self.assertFalse(can_begin(URGENT, held_tokens=80_000))
        self.assertTrue(can_begin(URGENT, now=0.6, held_tokens=80_000))
        self.assertFalse(can_begin(OTHER, in_flight=16))
        self.assertFalse(can_begin(OTHER, pace_room=0))

    def test_tokens_read_since_the_last_report_do_not_count(self):
        """Guards against engines that are idle until a report says so, and against an
        engine that has stopped and gets prompt after prompt."""
        progress = ReadProgress()
        unread = [progress.unread(8000, RATE, at / 10) for at in range(12)]
        self.assertEqual((8000.0, 7200.0), (unread[0], round(unread[1])))
        self.assertEqual(0.0, unread[-1])
        self.assertEqual(8000.0, progress.unread(16_000, RATE, 1.2))
        self.assertEqual(8000.0, progress.unread(16_000, RATE, 1.4))
        self.assertEqual(8000.0, progress.unread(8000, RATE, 1.5))


if __name__ == "__main__":
    unittest.main()
