"""Tests of the selection of backend servers that accept requests."""

import gc
import unittest
from dataclasses import replace

from monsoontack.gateway.fleet import RECORD_GRACE_S, BackendFleet
from monsoontack.pacing.domainevidence import Trouble
from monsoontack.pacing.member import SUSPECT_TIMEOUT_S
from standins.gatewayfakes import HOME, NEAR, SERVICE, make_fleet, make_server


class FleetTest(unittest.TestCase):
    def names(self, fleet):
        return {m.server.incarnation for m in fleet.of_service(SERVICE)}

    def test_small_fleets_leave_no_server_out(self):
        """Load: a domain restarts beside four gateways; guards against a third of the
        servers that is idle for some seconds, when few requests would be rejected."""
        for count, leaves_out in ((4, False), (8, True)):
            fleet = make_fleet({f"s{n}": HOME for n in range(4)})
            fleet.set_gateways({f"g{n}": HOME.region for n in range(count)})
            fleet.evidence.turns.ranks.clear()
            fleet.note_unreachable(fleet.members["s0"], 1.0, Trouble.REFUSED)
            members = fleet.of_service(SERVICE)
            self.assertEqual(leaves_out, bool(fleet.doubtful(members, 1.0)))
            self.assertEqual(leaves_out, bool(fleet.paces.paces))

    def test_leaving_server_never_returns_under_its_id(self):
        """Guards against a late record that puts a leaving server back into use."""
        fleet = make_fleet({"s1": HOME, "s2": HOME})
        fleet.put(make_server("s1"), True)
        fleet.put(make_server("s1"), False)
        self.assertEqual({"s2"}, self.names(fleet))

    def test_server_whose_response_says_leaving_stays_out_until_it_starts_again(self):
        """Guards against records, listings and restored stores that bring it back."""
        server = replace(make_server("s1"), started_unix_ms=200)
        fleet = make_fleet({"s2": HOME})
        fleet.put(server, False)
        member = fleet.members["s1"]
        self.assertTrue(fleet.note_leaving(member, 1.0))
        self.assertFalse(fleet.note_leaving(member, 1.1))
        fleet.put(server, False)
        fleet.put(replace(server, started_unix_ms=100), False)
        fleet.put(replace(server, started_unix_ms=100), True)
        fleet.replace_all([server, make_server("s2")], set(), 2.0)
        self.assertEqual({"s2"}, self.names(fleet))
        self.assertTrue(fleet.has_left(member))
        fleet.put(replace(server, started_unix_ms=300), False)
        self.assertEqual({"s1", "s2"}, self.names(fleet))
        self.assertFalse(fleet.note_leaving(member, 3.0))
        self.assertEqual({"s1", "s2"}, self.names(fleet))

    def test_retry_time_of_a_service_without_servers(self):
        """Guards against callers that return every moment while nothing changes."""
        fleet = make_fleet({"s1": HOME})
        self.assertIsNone(fleet.empty_retry_s(SERVICE, 0.0))
        fleet.note_leaving(fleet.members["s1"], 1.0)
        times = [fleet.empty_retry_s(SERVICE, now) for now in (1.0, 3.0, 60.0)]
        self.assertEqual([0.5, 2.0, 3.0], times)
        fleet.put(make_server("s2"), False)
        self.assertIsNone(fleet.empty_retry_s(SERVICE, 61.0))

    def test_expired_records_are_kept_for_a_while_after_an_outage(self):
        """Guards against a fleet without servers when the store recovers.

        Servers cannot renew their records during an outage.
        """
        fleet = make_fleet({"s1": HOME, "s2": HOME})
        fleet.note_store_recovered(10.0)
        fleet.replace_all([make_server("s1")], set(), 10.1)
        self.assertEqual({"s1", "s2"}, self.names(fleet))
        fleet.put(make_server("s2"), False)
        fleet.remove_expired(10.0 + RECORD_GRACE_S)
        self.assertEqual({"s1", "s2"}, self.names(fleet))

    def test_server_is_removed_if_its_record_does_not_return(self):
        """Guards against requests to a server that died during an outage."""
        fleet = make_fleet({"s1": HOME, "s2": HOME})
        fleet.note_store_recovered(10.0)
        fleet.record_removed("s2", 10.1)
        fleet.remove_expired(10.0 + RECORD_GRACE_S)
        self.assertEqual({"s1"}, self.names(fleet))

    def test_removed_record_takes_effect_at_once_while_the_store_is_up(self):
        """Guards against requests to servers that stop without announcing it."""
        fleet = make_fleet({"s1": HOME, "s2": HOME})
        fleet.record_removed("s2", 50.0)
        self.assertEqual({"s1"}, self.names(fleet))

    def test_failed_domain_is_suspect_as_a_whole(self):
        """Guards against requests to a failed failure domain of which only some
        connections have failed so far."""
        places = {f"a{n}": HOME for n in range(4)} | {"b0": NEAR}
        fleet = make_fleet(places)
        members = fleet.members
        fleet.note_unreachable(members["a0"], 10.0)
        self.assertFalse(members["a2"].is_suspect(10.1))
        fleet.note_unreachable(members["a1"], 10.2)
        self.assertTrue(members["a2"].is_suspect(10.3))
        self.assertFalse(members["b0"].is_suspect(10.3))

    def test_suspicion_ends_with_an_answer_or_with_time(self):
        """Guards against engines that stay suspect forever after a reset connection."""
        fleet = make_fleet({"s1": HOME})
        member = fleet.members["s1"]
        fleet.note_unreachable(member, 10.0)
        self.assertTrue(member.is_suspect(10.1))
        fleet.note_alive(member, 10.2)
        self.assertFalse(member.is_suspect(10.3))
        fleet.note_unreachable(member, 11.0)
        self.assertFalse(member.is_suspect(11.0 + SUSPECT_TIMEOUT_S))

    def test_reused_id_of_another_service_is_another_server(self):
        """Guards against requests to a server that now runs another service."""
        fleet = make_fleet({"s1": HOME})
        other = make_server("s1")
        object.__setattr__(other, "service", "desk")
        fleet.put(other, False)
        self.assertEqual(set(), self.names(fleet))
        self.assertEqual(1, len(fleet.of_service("desk")))

    def test_removed_server_is_reported(self):
        """Guards against idle connections that stay open to a removed server."""
        gone = []
        fleet = BackendFleet(on_removed=gone.append)
        fleet.put(make_server("s1"), False)
        fleet.remove("s1")
        self.assertEqual(["s1"], [m.server.incarnation for m in gone])

    def test_server_that_failed_another_entry_is_suspect_until_it_answers(self):
        """Guards against a dead server that gets all new runs because it looks idle."""
        fleet = make_fleet({"s1": HOME, "s2": NEAR})
        member = fleet.members["s1"]
        fleet.note_reported_unreachable("s1@0", 10.0)
        self.assertTrue(member.is_suspect(10.1))
        fleet.note_alive(member, 10.2)
        self.assertFalse(member.is_suspect(10.3))

    def test_two_reported_failures_make_their_domain_suspect(self):
        """Guards against prompts that are lost one after another to the servers of a
        failed domain."""
        fleet = make_fleet({f"s{n}": HOME for n in range(4)} | {"s9": NEAR})
        fleet.note_reported_unreachable("s0@0", 10.0)
        self.assertFalse(fleet.members["s3"].is_suspect(10.1))
        fleet.note_reported_unreachable("s1@0", 10.1)
        self.assertTrue(fleet.members["s3"].is_suspect(10.2))
        self.assertFalse(fleet.members["s9"].is_suspect(10.2))

    def test_server_that_just_sent_bytes_is_not_suspected_on_a_report(self):
        """Guards against healthy servers that become suspect on all entries because one
        entry has a bad link; runs would get no copies then."""
        fleet = make_fleet({"s1": HOME})
        member = fleet.members["s1"]
        fleet.note_alive(member, 9.8)
        fleet.note_reported_unreachable("s1@0", 10.0)
        self.assertFalse(member.is_suspect(10.1))

    def test_restarted_server_is_another_server(self):
        """Guards against runs that wait for a restarted engine which lost them, and
        against a server that is never used again after a restart with the same name."""
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

    def test_server_at_another_address_is_another_server(self):
        """Guards against connections to the former address that are reused for requests
        to the new one, where a server does not report its start time."""
        gone = []
        fleet = BackendFleet(on_removed=gone.append)
        server = make_server("s1")
        fleet.put(server, False)
        former = fleet.members["s1"]
        key = former.key
        fleet.put(replace(server, address="10.0.0.9:1"), False)
        self.assertEqual(key, former.key)
        self.assertEqual([former], gone)
        self.assertFalse(fleet.is_current(former))
        self.assertEqual("10.0.0.9:1", fleet.members["s1"].key[0])
        self.assertEqual({"s1@0"}, set(fleet.ejection.health))

    def test_misdirected_request_removes_a_server_that_was_listed_again(self):
        """Guards against requests to an ended server whose record had expired and was
        written again while a request ran."""
        fleet = make_fleet({"s1": HOME})
        member = fleet.members["s1"]
        fleet.remove("s1")
        fleet.put(make_server("s1"), False)
        fleet.note_misdirected(member)
        self.assertEqual({}, fleet.members)

    def test_server_whose_record_returns_keeps_its_load(self):
        """Guards against an engine that looks idle with runs on it, here and at other
        entries, because its record had expired for a moment."""
        fleet = make_fleet({"s1": HOME})
        member = fleet.members["s1"]
        member.in_flight = 2
        fleet.remove("s1")
        fleet.put(make_server("s1"), False)
        self.assertIs(member, fleet.members["s1"])
        self.assertTrue(fleet.is_current(member))
        fleet.put(replace(make_server("s1"), started_unix_ms=2000), False)
        self.assertEqual(0, fleet.members["s1"].in_flight)

    def test_other_service_under_the_same_start_is_not_the_current_server(self):
        """Guards against a run of one service that continues at a server of another
        one with the same name, address and start."""
        fleet = make_fleet({"s1": HOME})
        member = fleet.members["s1"]
        self.assertIs(member, fleet.find_current(member))
        fleet.put(replace(make_server("s1"), service="desk"), False)
        other = fleet.members["s1"]
        self.assertEqual(member.key, other.key)
        self.assertIsNone(fleet.find_current(member))
        self.assertIs(other, fleet.find_current(other))

    def test_later_start_or_other_address_is_not_the_current_server(self):
        """Guards against a run that continues at a later start of its server, which
        does not know it, or at another address."""
        server = make_server("s1")
        for changes in ({"started_unix_ms": 2000}, {"address": "10.0.0.9:1"}):
            with self.subTest(changes=changes):
                fleet = make_fleet({"s1": HOME})
                member = fleet.members["s1"]
                fleet.put(replace(server, **changes), False)
                self.assertIsNone(fleet.find_current(member))

    def test_removed_server_is_not_current_until_its_record_returns(self):
        """Guards against a run that goes on at a removed server, and against one that
        ends because the record of its server had expired for a moment."""
        fleet = make_fleet({"s1": HOME})
        member = fleet.members["s1"]
        fleet.remove("s1")
        self.assertIsNone(fleet.find_current(member))
        fleet.put(make_server("s1"), False)
        self.assertIs(member, fleet.find_current(member))

    def test_new_object_for_the_same_start_is_the_current_server(self):
        """Guards against a run that ends because the record of its server was that of
        another service for a moment, so that a new object stands for the server."""
        fleet = make_fleet({"s1": HOME})
        member = fleet.members["s1"]
        fleet.put(replace(make_server("s1"), service="desk"), False)
        fleet.put(make_server("s1"), False)
        found = fleet.find_current(member)
        self.assertIsNot(member, found)
        self.assertFalse(fleet.is_current(member))
        self.assertIs(fleet.members["s1"], found)

    def test_returning_record_of_another_service_does_not_take_over_the_load(self):
        """Guards against a server that counts the runs of another service, which had
        the same name, address and start, as its own."""
        fleet = make_fleet({"s1": HOME})
        member = fleet.members["s1"]
        member.in_flight = 2
        fleet.remove("s1")
        fleet.put(replace(make_server("s1"), service="desk"), False)
        self.assertIsNot(member, fleet.members["s1"])
        self.assertEqual(0, fleet.members["s1"].in_flight)
        self.assertEqual(SERVICE, member.server.service)

    def test_record_of_a_start_before_a_restart_is_another_server(self):
        """Guards against a start that ended and is used again with its former load,
        because a late record of it is written after that of the restart."""
        fleet = make_fleet({"s1": HOME})
        member = fleet.members["s1"]
        member.in_flight = 2
        fleet.put(replace(make_server("s1"), started_unix_ms=2000), False)
        fleet.remove("s1")
        fleet.put(make_server("s1"), False)
        self.assertTrue(member.restarted)
        self.assertIsNot(member, fleet.members["s1"])
        self.assertEqual(0, fleet.members["s1"].in_flight)

    def test_removed_server_without_runs_takes_no_memory(self):
        """Guards against memory that grows with each server that has ended."""
        fleet = make_fleet({"s1": HOME})
        fleet.remove("s1")
        gc.collect()
        self.assertEqual(0, len(fleet.former))

    def test_late_record_of_a_previous_start_changes_nothing(self):
        """Guards against a late record of a previous start that replaces the current
        one."""
        fleet = make_fleet({})
        server = replace(make_server("s1", HOME), started_unix_ms=2000)
        fleet.put(server, False)
        fleet.put(replace(server, started_unix_ms=1000), True)
        self.assertIn("s1", fleet.members)

    def test_report_on_an_unknown_server_is_ignored(self):
        """Guards against an exception about a server that only a peer knows so far."""
        fleet = make_fleet({"s1": HOME})
        fleet.note_reported_unreachable("other@0", 10.0)
        self.assertEqual({"s1"}, self.names(fleet))


if __name__ == "__main__":
    unittest.main()
