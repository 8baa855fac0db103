"""Checks the models of publishing and of chunk removal over all their states."""

import unittest

from minicheck import check_safety

from specs import publishing, sweeping

MAX_STATES = 500_000
MAX_BROKEN_STATES = 120_000  # enough for all counterexamples
EXPECTED_VIOLATIONS = {
    "conditional": {"published_once", "head_never_goes_back", "revisions_are_unique"},
    "seals": {"fenced"},
    "finishes": {"published_once"},
    "compares": {"entries_never_go_back"},
}
WITH_ENTRIES = publishing.Bounds(publishers=1, entries=2)


def check(protocol, max_states=MAX_STATES):
    report = check_safety(protocol, max_states)
    return report, {name: p["holds"] for name, p in report["properties"].items()}


class PublishingTest(unittest.TestCase):
    def assert_holds(self, protocol, states):
        report, holds = check(protocol)
        self.assertEqual({True}, set(holds.values()), holds)
        self.assertEqual(states, report["reachable_states"])

    def test_design_holds(self):
        """Guards against a design with a publishing fault.

        The faults are a publication after the lease expired, a proposal that is
        published twice, and a return to an older revision.
        """
        self.assert_holds(publishing.make_protocol(), 330_787)
        protocol = publishing.make_protocol(bounds=WITH_ENTRIES)
        self.assert_holds(protocol, 130_430)

    def test_broken_variants_have_counterexamples(self):
        """Guards against a model whose invariants cannot fail."""
        for safeguard, expected in EXPECTED_VIOLATIONS.items():
            variant = publishing.Variant(**{safeguard: False})
            bounds = WITH_ENTRIES if safeguard == "compares" else publishing.Bounds()
            protocol = publishing.make_protocol(variant, bounds)
            report, holds = check(protocol, MAX_BROKEN_STATES)
            violated = {name for name, value in holds.items() if value is False}
            self.assertLessEqual(expected, violated, safeguard)
            for name in expected:
                trace = report["properties"][name]["counterexample"]
                self.assertGreater(len(trace), 5, safeguard)


class SweepingTest(unittest.TestCase):
    def test_design_holds(self):
        """Guards against a head that references a removed chunk."""
        report, holds = check(sweeping.make_protocol())
        self.assertEqual({"used_chunk_exists": True}, holds)
        self.assertEqual(36_601, report["reachable_states"])

    def test_broken_variants_have_counterexamples(self):
        """Guards against a model whose invariants cannot fail."""
        for safeguard in ("touches", "rereads"):
            variant = sweeping.Variant(**{safeguard: False})
            report, holds = check(sweeping.make_protocol(variant))
            self.assertEqual({"used_chunk_exists": False}, holds, safeguard)
            trace = report["properties"]["used_chunk_exists"]["counterexample"]
            self.assertIn("removal", trace[-1]["label"], safeguard)


if __name__ == "__main__":
    unittest.main()
