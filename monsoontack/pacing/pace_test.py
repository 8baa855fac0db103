"""Tests of the pace of servers that have started or recovered."""

import unittest
from dataclasses import replace

from monsoontack.pacing.domainevidence import Trouble
from monsoontack.pacing.pace import (
    FULL_PACE_FACTOR,
    HOLD_S,
    QUIET_S,
    ROUND_S,
    TURN_S,
    PaceBook,
)
from monsoontack.pacing.turns import GatewayTurns
from standins.gatewayfakes import HOME, make_fleet, make_server

T = 100.0


def books(count):
    """Return the books of all gateways of a deployment with 56 servers."""
    regions = {f"g{n}": ("north", "south")[n % 2] for n in range(count)}
    found = []
    for name in regions:
        turns = GatewayTurns(name, regions[name])
        turns.set_gateways(regions)
        book = PaceBook(turns, servers_of=lambda service: 56)
        found.append(book)
    return found


class PaceTest(unittest.TestCase):
    def setUp(self):
        self.member = make_fleet({"s1": HOME}).members["s1"]

    def test_gateways_together_stay_within_the_pace(self):
        """Guards against a restarted engine that looks idle and gets a prompt of each
        of 6, 31 or 390 gateways at once, and against one that none of them uses."""
        for count in (6, 31, 390):
            gateways = books(count)
            rooms = []
            for book in gateways:
                book.begin(self.member, "started", T)
            pace = gateways[0].paces[self.member.limit_key].requests
            for turn in range(5):
                now = T + turn * TURN_S
                rooms = [book.room(self.member, 0, 0, now) for book in gateways]
                self.assertEqual(pace, sum(rooms))
                far = [
                    room
                    for book, room in zip(gateways, rooms, strict=True)
                    if book.turns.region != HOME.region
                ]
                self.assertEqual(0, sum(far))
            self.assertLessEqual(pace, 3 * count / 56 + 1)
            self.assertEqual(0, gateways[0].room(self.member, 0, 99, T))

    def test_server_that_answers_in_time_is_at_full_pace_after_three_rounds(self):
        """Guards against an engine that is fast at once and is held back for 30 s."""
        book = books(31)[0]
        book.begin(self.member, "started", T)
        for count in range(1, 4):
            self.assertIsNotNone(book.room(self.member, 0, 0, T))
            book.note_answered(self.member, True, T + count * ROUND_S)
        self.assertIsNone(book.room(self.member, 0, 0, T + 3 * ROUND_S))

    def test_answers_to_peers_count(self):
        """Guards against gateways that keep a pace of two to a server that answers all
        others, since their own turn comes late."""
        book = books(31)[0]
        book.begin(self.member, "started", T)
        for count in range(1, 4):
            book.note_reported_alive(self.member, T + count * ROUND_S)
        self.assertFalse(book.is_paced(self.member))

    def test_slow_or_refusing_server_stays_low(self):
        """Guards against prompts that wait 5 s at engines which are slow after their
        start."""
        book = books(31)[0]
        book.begin(self.member, "started", T)
        for count in range(8):
            book.note_answered(self.member, False, T + count)
            book.note_reported_alive(self.member, T + count + HOLD_S / 2)
        self.assertEqual(1, book.paces[self.member.limit_key].requests)

    def test_late_answer_takes_back_a_round(self):
        """Guards against an engine that answered well once and is then overloaded."""
        book = books(31)[0]
        book.begin(self.member, "started", T)
        for count in (1, 2):
            book.note_answered(self.member, True, T + count * ROUND_S)
        self.assertEqual(4, book.pace_of(self.member))
        book.note_answered(self.member, False, T + 1.0)
        book.note_reported_alive(self.member, T + 1.0 + HOLD_S / 2)
        self.assertEqual(2, book.pace_of(self.member))

    def test_answers_of_one_round_count_once(self):
        """Guards against full pace after one answer that many gateways report."""
        book = books(31)[0]
        book.begin(self.member, "started", T)
        for _ in range(FULL_PACE_FACTOR):
            book.note_reported_alive(self.member, T)
        self.assertTrue(book.is_paced(self.member))

    def test_server_that_only_one_gateway_has_lost_is_used_by_it(self):
        """Guards against a gateway that waits for its turn, one in 31, at a server that
        no other gateway paces, after one reset connection."""
        for book in books(31):
            book.begin(self.member, "reset", T)
            self.assertEqual(1, book.room(self.member, 0, 0, T))

    def test_pace_without_further_trouble_ends(self):
        """Guards against servers that are held back because nobody has used them."""
        book = books(31)[0]
        book.begin(self.member, "started", T)
        cold = self.member.cold_until
        self.assertEqual(T + QUIET_S, cold)
        self.assertIsNone(book.room(self.member, 0, 0, T + QUIET_S))
        self.assertLess(self.member.cold_until, T)


class PacedFleetTest(unittest.TestCase):
    def test_only_new_starts_and_recovered_servers_are_paced(self):
        """Guards against a gateway that starts and holds back all servers, and against
        restarted engines that all gateways use at once."""
        fleet = make_fleet({"s1": HOME, "s2": HOME})
        self.assertFalse(fleet.paces.paces)
        fleet.put(replace(make_server("s1"), started_unix_ms=7), False, T)
        self.assertEqual({"s1@7"}, set(fleet.paces.paces))
        fleet.is_ready = True
        fleet.put(make_server("s3"), False, T)
        self.assertTrue(fleet.paces.is_paced(fleet.members["s3"]))
        fleet.note_unreachable(fleet.members["s2"], T, Trouble.SILENT)
        self.assertFalse(fleet.paces.is_paced(fleet.members["s2"]))
        fleet.note_unreachable(fleet.members["s2"], T, Trouble.REFUSED)
        self.assertTrue(fleet.paces.is_paced(fleet.members["s2"]))
        fleet.remove("s3")
        self.assertNotIn("s3@0", fleet.paces.paces)


if __name__ == "__main__":
    unittest.main()
