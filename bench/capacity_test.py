"""Tests of the functions that compute the tables; no process is started."""

import json
import math
import unittest
from dataclasses import replace

from bench import capacityscale, capacitytables
from bench.capacity import PAGE, make_tables
from bench.capacityroles import ROLES, Part, total
from bench.capacityslopes import TARGET, Measured, fit, frames_per_s

SERIES = {  # name: (slope, intercept, unit)
    "entry.link.memory": (70e3, 82e6, "B"),
    "entry.link.rest_cpu": (2e-4, 0.01, "core"),
    "entry.vm_list.memory": (2e3, 82e6, "B"),
    "entry.account.holder_memory": (1.5e3, 84e6, "B"),
    "entry.account.holder_rest_cpu": (1e-7, 0.01, "core"),
    "entry.account.other_memory": (1e3, 80e6, "B"),
    "entry.account.other_rest_cpu": (1e-7, 0.008, "core"),
    "entry.generation.memory": (60e3, 82e6, "B"),
    "entry.history.memory": (100.0, 85e6, "B"),
    "entry.token.cpu": (1e-4, 0.05, "core"),
    "entry.frame.cpu": (1e-4, 0.05, "core"),
    "entry.request.cpu": (2e-3, 0.0, "s"),
    "entry.pull.served_cpu": (5e-4, 0.0, "s"),
    "entry.pull.sent_cpu": (4e-4, 0.0, "s"),
    "entry.pull.bytes": (200.0, 0.0, "B"),
    "agent.link.memory": (50e3, 80e6, "B"),
    "agent.link.rest_cpu": (5e-4, 0.01, "core"),
    "agent.log.memory": (20.0, 80e6, "B"),
    "agent.token.cpu": (5e-5, 0.02, "core"),
    "agent.frame.cpu": (1e-4, 0.02, "core"),
    "client.answer.memory": (30e3, 45e6, "B"),
    "client.history.memory": (40.0, 45e6, "B"),
    "client.token.cpu": (5e-5, 0.02, "core"),
    "controller.report.cpu": (4e-4, 0.0, "s"),
    "controller.report_route.bytes": (153.0, 26.0, "B"),
    "change.16000.holder_cpu": (0.02, 0.0, "s"),
    "change.16000.other_cpu": (0.005, 0.0, "s"),
    "change.16000.calls.create": (1.0, 0.0, "1"),
    "change.16000.calls.update": (2.0, 0.0, "1"),
    "store.fleet.get": (0.1, 3.0, "1/s"),
}
VALUES = {
    "interpreter.bare": 21e6,
    "interpreter.entry": 70e6,
    "interpreter.agent": 66e6,
    "interpreter.client": 36e6,
    "link.rest_bytes": 120.0,
    "link.rest_reads": 3.0,
    "entry.peak.tokens": 4600.0,
    "entry.peak.frames": 3000.0,
    "entry.peak.entry": 0.8,
    "entry.peak.resident": 110e6,
    "run.seed": 1.0,
    "run.cores": 8.0,
    "run.load": 1.0,
    "run.elapsed": 100.0,
}


def records(**changed_values: float) -> list[dict]:
    """Return raw records whose slopes and values are known."""
    points = [
        {"name": name, "size": size, "value": base + slope * size, "unit": unit}
        for name, (slope, base, unit) in SERIES.items()
        for size in (1, 4, 16)
    ]
    values = VALUES | changed_values
    return points + [{"name": n, "value": v, "unit": ""} for n, v in values.items()]


class SlopeTest(unittest.TestCase):
    def test_line_through_points(self):
        """Guards against base costs that are counted for each item."""
        line = fit([(1, 12.0), (3, 16.0), (8, 26.0)], "B")
        self.assertAlmostEqual(2.0, line.slope)
        self.assertAlmostEqual(10.0, line.intercept)
        self.assertAlmostEqual(1.0, line.correlation)

    def test_two_sizes_are_no_series(self):
        """Guards against slopes from two sizes, which always look straight."""
        with self.assertRaisesRegex(ValueError, "three sizes"):
            fit([(1, 1.0), (2, 2.0)], "B")

    def test_raw_lines_survive_json(self):
        """Guards against slopes that differ between a run and `--tables-only`."""
        lines = [json.dumps(record) for record in records()]
        measured = Measured.from_records(map(json.loads, lines))
        for name, (slope, _, _) in SERIES.items():
            self.assertTrue(math.isclose(slope, measured.slope(name), rel_tol=1e-6))


class RoleTest(unittest.TestCase):
    def setUp(self):
        self.measured = Measured.from_records(records())

    def test_frames_never_exceed_ticks_or_tokens(self):
        """Guards against a frame per token, or tokens that need no frame."""
        self.assertAlmostEqual(10.0, frames_per_s(10, 112, 0.025), delta=0.1)
        self.assertAlmostEqual(160.0, frames_per_s(1e6, 4, 0.025))

    def test_amounts_follow_from_the_target(self):
        """Guards against amounts that do not change with the target scale."""
        self.assertAlmostEqual(1.8e6 / 390, TARGET.entry_tokens_per_s)
        self.assertAlmostEqual(112 * 390 / 850, TARGET.agent_links)
        double = replace(TARGET, tokens_per_s=2 * TARGET.tokens_per_s)
        for role in ("entry", "agent"):
            cpu = [
                total(ROLES[role](self.measured, t), "cores") for t in (TARGET, double)
            ]
            self.assertGreater(cpu[1], cpu[0])

    def test_control_excludes_requests_and_libraries(self):
        """Guards against the interpreter or answers in the 32 MB."""
        parts = ROLES["entry"](self.measured)
        named = {part.name: part for part in parts}
        self.assertFalse(named["interpreter and libraries"].is_control)
        self.assertFalse(named["running generations"].is_control)
        # Base 10 MB, 112 links, 16,000 accounts, 1,240 VMs.
        expected = 10e6 + 112 * 70e3 + 16_000 * 1e3 + 1240 * 2e3
        self.assertAlmostEqual(expected, total(parts, "memory", True), delta=1.0)

    def test_sums_skip_what_was_not_measured(self):
        """Guards against a missing measurement that counts as an amount."""
        parts = [Part("a", 1, "", 0.5, None, ""), Part("b", 1, "", None, 3.0, "")]
        self.assertEqual((0.5, 3.0), (total(parts, "cores"), total(parts, "memory")))


class TableTest(unittest.TestCase):
    def setUp(self):
        self.measured = Measured.from_records(records())

    def test_verdict_says_by_how_much(self):
        """Guards against a missed target that reads as met."""
        self.assertTrue(capacitytables.verdict(5.0, 5.0, "s").endswith("met"))
        missed = capacitytables.verdict(48e6, 32e6, "B")
        self.assertIn("not met", missed)
        self.assertIn("16 MB above, 1.5 times", missed)

    def test_change_that_meets_the_bytes(self):
        """Guards against a proposed number of links that still misses the target."""
        changes = capacityscale.control_changes(self.measured, TARGET)
        links = float(changes["bytes"].split()[0])
        sent = links * 120 + capacitytables.gossip_bytes(self.measured)
        self.assertAlmostEqual(5000, sent, delta=120)

    def test_scale_row_without_the_other_measurement(self):
        """Guards against a figure of another run that is made up when missing."""
        page = capacityscale.scale_table(self.measured, {})
        row = next(x for x in page.splitlines() if x.startswith("| change in force"))
        self.assertIn(capacityscale.NOT_MEASURED, row)
        spread = {"spread.in_force.at_390": 12.0}
        page = capacityscale.scale_table(self.measured, spread)
        row = next(x for x in page.splitlines() if x.startswith("| change in force"))
        self.assertIn("not met", row)

    def test_only_marked_parts_change(self):
        """Guards against lost text, and against tables that no page shows."""
        page = "a\n<!-- table x -->\nold 1\n<!-- end -->\nb\n"
        changed = capacitytables.replace_tables(page, {"x": "new"})
        self.assertEqual("a\n<!-- table x -->\n\nnew\n<!-- end -->\nb\n", changed)
        self.assertEqual(changed, capacitytables.replace_tables(changed, {"x": "new"}))
        for tables in ({}, {"x": "", "y": ""}):
            with self.assertRaises(ValueError):
                capacitytables.replace_tables(page, tables)

    def test_page_has_every_table(self):
        """Guards against a table that the page lacks or the script forgot."""
        tables = make_tables(records(), [])
        text = PAGE.read_text(encoding="utf-8")
        changed = capacitytables.replace_tables(text, tables)
        for name, content in tables.items():
            self.assertIn(content, changed, name)


if __name__ == "__main__":
    unittest.main()
