"""Tests of event ids."""

import random
import unittest

from monsoontack.generation.eventid import EventId, new_generation, parse_event_id


class EventIdTest(unittest.TestCase):
    def test_round_trip(self):
        """Guards against a parser that dots in versions and addresses mislead."""
        rng = random.Random(3)
        for version in ("v1", "2026.12.4", "a-b.7.c", "v1.2.10.0.0.1:9.3"):
            for address in ("10.0.0.5:7002", "[fd00::1]:7002"):
                generation = new_generation(version, rng)
                event_id = EventId(generation, 17, address, 4096)
                self.assertEqual(event_id, parse_event_id(str(event_id)))
                self.assertEqual(version, event_id.version)

    def test_wrong_forms(self):
        """Guards against malformed ids that would name an arbitrary host or number."""
        good = f"{'0' * 32}-v1.1.10.0.0.5:7002.4"
        self.assertIsNotNone(parse_event_id(good))
        for wrong in (
            "",
            good[1:],
            good.replace(":7002", ""),
            good.replace("10.0.0.5", "example.org"),
            good + "x",
            good.replace("-v1", "-v 1"),
            good + "0" * 400,
        ):
            self.assertIsNone(parse_event_id(wrong), wrong)


if __name__ == "__main__":
    unittest.main()
