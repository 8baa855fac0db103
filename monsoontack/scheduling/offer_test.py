"""Tests of the engines that a stream takes from a look at the gate."""

import unittest

from monsoontack.scheduling.offer import EngineOffer


def offer(with_room: str, waited_for: str, eligible: str) -> EngineOffer:
    return EngineOffer(*map(frozenset, (with_room, waited_for, eligible)))


def chosen(made: EngineOffer, usable: str) -> str:
    return "".join(sorted(made.choose(dict.fromkeys(usable))))


class EngineOfferTest(unittest.TestCase):
    def test_only_offered_engines_are_chosen(self):
        """Guards against a stream that is placed where the gate has seen no room."""
        cases = [
            # Room at engines that the stream may use.
            ("ab", "abc", "abcd", "bcd", "b"),
            # The stream waits for an engine that it may use.
            ("a", "ab", "abc", "bc", ""),
            # All engines that it waits for have failed for this stream.
            ("a", "ab", "abc", "c", "c"),
            # The eligible engines have changed since the look.
            ("a", "ab", "abc", "xy", ""),
            ("", "", "", "xy", ""),
        ]
        for with_room, waited_for, eligible, usable, expected in cases:
            with self.subTest(with_room=with_room, usable=usable):
                made = offer(with_room, waited_for, eligible)
                self.assertEqual(expected, chosen(made, usable))


if __name__ == "__main__":
    unittest.main()
