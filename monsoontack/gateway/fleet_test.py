"""Tests of which backend servers take requests."""

import unittest
from dataclasses import replace

from monsoontack.gateway.fleet import DOUBT_S, REAPPEAR_S, BackendFleet
from standins.gatewayparts import HOME, NEAR, SERVICE, make_fleet, make_server


class FleetTest(unittest.TestCase):
    def names(self, fleet):
        return {m.server.incarnation for m in fleet.of_service(SERVICE)}

    def test_leaving_server_never_returns_under_its_id(self):
        """Guards against late news that undo a server's leaving."""
        fleet = make_fleet({"s1": HOME, "s2": HOME})
        fleet.put(make_server("s1"), True)
        fleet.put(make_server("s1"), False)
        self.assertEqual({"s2"}, self.names(fleet))

    def test_lapsed_entries_are_kept_for_a_while_after_an_outage(self):
        """Guards against a fleet without servers when the store returns."""
        fleet = make_fleet({"s1": HOME, "s2": HOME})
        fleet.store_returned(10.0)
        fleet.replace_all([make_server("s1")], set(), 10.1)
        self.assertEqual({"s1", "s2"}, self.names(fleet))
        fleet.put(make_server("s2"), False)
        fleet.tick(10.0 + REAPPEAR_S)
        self.assertEqual({"s1", "s2"}, self.names(fleet))

    def test_entry_that_stays_away_is_gone(self):
        """Guards against requests to a server that died during an outage."""
        fleet = make_fleet({"s1": HOME, "s2": HOME})
        fleet.store_returned(10.0)
        fleet.record_removed("s2", 10.1)
        fleet.tick(10.0 + REAPPEAR_S)
        self.assertEqual({"s1"}, self.names(fleet))

    def test_removed_entry_counts_at_once_while_the_store_is_sound(self):
        """Guards against requests to servers that leave without saying so."""
        fleet = make_fleet({"s1": HOME, "s2": HOME})
        fleet.record_removed("s2", 50.0)
        self.assertEqual({"s1"}, self.names(fleet))

    def test_fallen_domain_is_doubted_as_a_whole(self):
        """Pattern: a failure domain falls, and only some connections show it."""
        places = {f"a{n}": HOME for n in range(4)} | {"b0": NEAR}
        fleet = make_fleet(places)
        members = fleet.members
        fleet.note_unreachable(members["a0"], 10.0)
        self.assertFalse(members["a2"].is_suspect(10.1))
        fleet.note_unreachable(members["a1"], 10.2)
        self.assertTrue(members["a2"].is_suspect(10.3))
        self.assertFalse(members["b0"].is_suspect(10.3))

    def test_doubt_ends_with_an_answer_or_with_time(self):
        """Guards against engines that are avoided for ever after a reset."""
        fleet = make_fleet({"s1": HOME})
        member = fleet.members["s1"]
        fleet.note_unreachable(member, 10.0)
        self.assertTrue(member.is_suspect(10.1))
        fleet.note_alive(member, 10.2)
        self.assertFalse(member.is_suspect(10.3))
        fleet.note_unreachable(member, 11.0)
        self.assertFalse(member.is_suspect(11.0 + DOUBT_S))

    def test_reused_id_of_another_service_is_another_server(self):
        """Guards against requests to a server that changed its service."""
        fleet = make_fleet({"s1": HOME})
        other = make_server("s1")
        object.__setattr__(other, "service", "desk")
        fleet.put(other, False)
        self.assertEqual(set(), self.names(fleet))
        self.assertEqual(1, len(fleet.of_service("desk")))

    def test_gone_server_is_reported(self):
        """Guards against idle connections kept to a server that is gone."""
        gone = []
        fleet = BackendFleet(on_gone=gone.append)
        fleet.put(make_server("s1"), False)
        fleet.remove("s1")
        self.assertEqual(["s1"], [m.server.incarnation for m in gone])

    def test_server_that_failed_another_entry_is_doubted_until_it_answers(self):
        """Guards against a dead server that looks idle and draws all new runs."""
        fleet = make_fleet({"s1": HOME, "s2": NEAR})
        member = fleet.members["s1"]
        fleet.note_reported_unreachable("s1", 10.0)
        self.assertTrue(member.is_suspect(10.1))
        fleet.note_alive(member, 10.2)
        self.assertFalse(member.is_suspect(10.3))

    def test_two_servers_that_failed_others_put_their_domain_in_doubt(self):
        """Guards against prompts lost one by one in a domain that fell."""
        fleet = make_fleet({f"s{n}": HOME for n in range(4)} | {"s9": NEAR})
        fleet.note_reported_unreachable("s0", 10.0)
        self.assertFalse(fleet.members["s3"].is_suspect(10.1))
        fleet.note_reported_unreachable("s1", 10.1)
        self.assertTrue(fleet.members["s3"].is_suspect(10.2))
        self.assertFalse(fleet.members["s9"].is_suspect(10.2))

    def test_server_that_just_sent_bytes_here_is_not_doubted_by_hearsay(self):
        """Guards against one entry with a bad link that puts sound servers in doubt
        everywhere, so that runs get no copies."""
        fleet = make_fleet({"s1": HOME})
        member = fleet.members["s1"]
        fleet.note_alive(member, 9.8)
        fleet.note_reported_unreachable("s1", 10.0)
        self.assertFalse(member.is_suspect(10.1))

    def test_server_that_started_anew_is_another_one(self):
        """Guards against runs that wait for an engine which lost them, and against a
        server that is never used again after a restart under its name."""
        fleet = make_fleet({})
        server = replace(make_server("s1", HOME), started_unix_ms=1000)
        fleet.put(server, False)
        first = fleet.members["s1"]
        fleet.put(replace(server, started_unix_ms=2000), False)
        second = fleet.members["s1"]
        self.assertTrue(first.restarted)
        self.assertFalse(second.restarted)
        self.assertNotEqual(first.key, second.key)
        fleet.put(replace(server, started_unix_ms=2000), True)
        fleet.put(replace(server, started_unix_ms=2000), False)
        self.assertNotIn("s1", fleet.members)
        fleet.put(replace(server, started_unix_ms=3000), False)
        self.assertIn("s1", fleet.members)

    def test_late_entry_of_a_former_start_changes_nothing(self):
        """Guards against a server that was replaced in use again."""
        fleet = make_fleet({})
        server = replace(make_server("s1", HOME), started_unix_ms=2000)
        fleet.put(server, False)
        fleet.put(replace(server, started_unix_ms=1000), True)
        self.assertIn("s1", fleet.members)

    def test_news_of_an_unknown_server_is_ignored(self):
        """Guards against a failure over a server that only a peer knows yet."""
        fleet = make_fleet({"s1": HOME})
        fleet.note_reported_unreachable("other", 10.0)
        self.assertEqual({"s1"}, self.names(fleet))


if __name__ == "__main__":
    unittest.main()
