"""Tests of what shows that the servers of a failure domain are gone."""

import unittest
from dataclasses import replace

from monsoontack.pacing.domainevidence import (
    MAX_DOUBT_S,
    PROBE_TIMEOUT_S,
    PROBING_GATEWAYS,
    SINGLE_DOUBT_S,
    Trouble,
)
from standins.gatewayfakes import HOME, NEAR, SERVICE, make_fleet, make_server

T = 100.0
DOMAIN = (f"{SERVICE}/{HOME.failure_domain}", HOME.region)


def nine_and_three():
    """Return a fleet with nine servers of one domain and three of another one."""
    places = {f"a{n}": HOME for n in range(9)} | {f"b{n}": NEAR for n in range(3)}
    fleet = make_fleet(places)
    # Enough gateways precede this one in the ranking, so that it may not probe.
    fleet.evidence.turns.ranks = {DOMAIN: PROBING_GATEWAYS}
    return fleet


def doubtful(fleet, now):
    keys = fleet.evidence.doubtful(fleet.of_service(SERVICE), now)
    return {key.split("@")[0] for key in keys}


OTHERS = {f"a{n}" for n in range(1, 9)}


class DomainEvidenceTest(unittest.TestCase):
    def test_one_sign_puts_the_other_servers_of_the_domain_in_doubt(self):
        """Guards against one rejected request for each of a domain's engines, as when
        all of them restart within 1.2 s."""
        for trouble in (Trouble.REFUSED, Trouble.RESET):
            fleet = nine_and_three()
            fleet.note_unreachable(fleet.members["a0"], T, trouble)
            self.assertLessEqual(OTHERS, doubtful(fleet, T))
            self.assertFalse({"b0", "b1", "b2"} & doubtful(fleet, T))
        fleet = nine_and_three()
        fleet.note_misdirected(fleet.members["a0"], T)
        self.assertEqual(OTHERS, doubtful(fleet, T))

    def test_flapping_engine_affects_only_itself_while_others_answer(self):
        """Guards against a domain of 20 engines that is left by one flapping one."""
        fleet = nine_and_three()
        fleet.note_unreachable(fleet.members["a0"], T, Trouble.RESET)
        fleet.note_alive(fleet.members["a1"], T + 0.2)
        self.assertFalse(OTHERS & doubtful(fleet, T + 0.2))
        for flap in (3.0, 6.0, 9.0):
            fleet.note_unreachable(fleet.members["a0"], T + flap, Trouble.RESET)
            self.assertFalse(OTHERS & doubtful(fleet, T + flap))

    def test_several_signs_outweigh_the_answers_of_a_survivor(self):
        """Guards against restarts of 86 in 100 engines that look like flaps because
        one engine has survived."""
        fleet = nine_and_three()
        fleet.note_unreachable(fleet.members["a0"], T, Trouble.REFUSED)
        fleet.note_alive(fleet.members["a1"], T + 0.1)
        fleet.note_unreachable(fleet.members["a2"], T + 0.2, Trouble.REFUSED)
        found = doubtful(fleet, T + 0.3)
        self.assertLessEqual(OTHERS - {"a1", "a2"}, found)
        self.assertNotIn("a1", found)

    def test_doubt_ends_with_a_byte_a_report_a_later_start_or_time(self):
        """Guards against engines that stay out of use after they are back."""
        fleet = nine_and_three()
        for name in ("a0", "a1", "a2"):
            fleet.note_unreachable(fleet.members[name], T, Trouble.REFUSED)
        answered = []
        fleet.on_answered = answered.append
        fleet.note_bytes(fleet.members["a3"], T + 0.1)
        fleet.note_reported_alive("a4@0", T + 0.2)
        fleet.put(replace(make_server("a5"), started_unix_ms=9), False, T + 1.0)
        found = doubtful(fleet, T + 1.0)
        self.assertEqual({"a0", "a1", "a2", "a6", "a7", "a8"}, found)
        self.assertEqual(["a3@0"], answered)
        self.assertEqual(set(), doubtful(fleet, T + MAX_DOUBT_S))

    def test_single_sign_without_another_one_ends_soon(self):
        """Guards against an idle domain that is avoided for 6 s for one engine that
        was removed."""
        fleet = nine_and_three()
        fleet.note_unreachable(fleet.members["a0"], T, Trouble.REFUSED)
        self.assertEqual(set(), doubtful(fleet, T + SINGLE_DOUBT_S))

    def test_silence_and_reports_need_two_servers(self):
        """Guards against one gateway's bad link that takes a domain from all others."""
        fleet = nine_and_three()
        fleet.note_unreachable(fleet.members["a0"], T, Trouble.SILENT)
        self.assertEqual(set(), doubtful(fleet, T))
        fleet.note_reported_unreachable("a1@0", T + 0.2)
        self.assertIn("a2", doubtful(fleet, T + 0.2))

    def test_probes_of_a_gateway_follow_each_other(self):
        """Guards against probes that are themselves a burst of rejected requests."""
        fleet = nine_and_three()
        fleet.evidence.turns.ranks = {DOMAIN: 0}
        fleet.note_unreachable(fleet.members["a0"], T, Trouble.REFUSED)
        fleet.note_unreachable(fleet.members["a1"], T, Trouble.REFUSED)
        self.assertIn("a2", doubtful(fleet, T + 0.1))
        self.assertEqual(set(), doubtful(fleet, T + 1.1))
        fleet.evidence.note_sent(fleet.members["a2"], T + 1.1)
        self.assertIn("a3", doubtful(fleet, T + 1.2))
        self.assertEqual(set(), doubtful(fleet, T + 1.2 + PROBE_TIMEOUT_S))

    def test_planned_end_and_small_domains_are_no_sign(self):
        """Guards against a domain in doubt for an engine that said it would leave, and
        against other behaviour of services with fewer than three servers in a domain.
        """
        fleet = nine_and_three()
        member = fleet.members["a0"]
        fleet.note_leaving(member, T)
        fleet.note_unreachable(member, T, Trouble.REFUSED)
        self.assertEqual(set(), doubtful(fleet, T))
        fleet = make_fleet({"s1": HOME, "s2": HOME, "s3": NEAR})
        fleet.note_unreachable(fleet.members["s1"], T, Trouble.REFUSED)
        self.assertEqual(set(), doubtful(fleet, T))

    def test_start_with_a_later_one_at_its_address_is_in_doubt(self):
        """Guards against requests to engines that are back under new ids, while their
        former records stay listed for seconds."""
        fleet = make_fleet({"s1": HOME, "s2": HOME})
        address = fleet.members["s1"].server.address
        later = replace(make_server("s3"), address=address, started_unix_ms=9)
        fleet.put(later, False, T)
        members = fleet.of_service(SERVICE)
        self.assertEqual({"s1@0"}, fleet.doubtful(members, T))
        fleet.note_bytes(fleet.members["s1"], T + 1)
        self.assertEqual(set(), fleet.doubtful(members, T + 1))

    def test_outdated_start_is_removed_at_all_gateways_and_not_listed_again(self):
        """Guards against an engine that ended and is tried once by each gateway, since
        its record stays listed for 3.6 s."""
        told = []
        fleet = make_fleet({})
        server = replace(make_server("s1"), started_unix_ms=5)
        fleet.put(server, False, T)
        fleet.on_outdated = told.append
        fleet.note_misdirected(fleet.members["s1"], T)
        fleet.put(server, False, T + 1.0)
        self.assertEqual((["s1@5"], {}), (told, fleet.members))
        other = make_fleet({})
        other.put(server, False, T)
        other.note_reported_outdated("s1@5", T)
        self.assertEqual({}, other.members)


if __name__ == "__main__":
    unittest.main()
