"""Tests of the functions that compute the tables, without child processes."""

import json
import math
import unittest
from dataclasses import replace

from bench import capacityscale, capacitytables
from bench.capacity import PAGE_PATH, make_tables
from bench.capacityroles import COSTS_BY_ROLE, CostItem, total_cost
from bench.capacityslopes import TARGET_SCALE, RunResults, fit_line, frames_per_s

SERIES_LINES = {  # name: (slope, intercept, unit)
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


def raw_records(**changed_values: float) -> list[dict]:
    """Return raw records with known slopes and values."""
    points = [
        {"name": name, "size": size, "value": base + slope * size, "unit": unit}
        for name, (slope, base, unit) in SERIES_LINES.items()
        for size in (1, 4, 16)
    ]
    values = VALUES | changed_values
    return points + [{"name": n, "value": v, "unit": ""} for n, v in values.items()]


class SlopeTest(unittest.TestCase):
    def test_line_through_points(self):
        """Guards against a fixed cost that is counted once per item."""
        line = fit_line([(1, 12.0), (3, 16.0), (8, 26.0)], "B")
        self.assertAlmostEqual(2.0, line.slope)
        self.assertAlmostEqual(10.0, line.intercept)
        self.assertAlmostEqual(1.0, line.correlation)

    def test_fit_needs_three_sizes(self):
        """Guards against a fit to two points, whose correlation is always perfect."""
        with self.assertRaisesRegex(ValueError, "three sizes"):
            fit_line([(1, 1.0), (2, 2.0)], "B")

    def test_results_survive_json(self):
        """Guards against slopes that differ between a run and `--tables-only`."""
        lines = [json.dumps(record) for record in raw_records()]
        results = RunResults.from_records(map(json.loads, lines))
        for name, (slope, _, _) in SERIES_LINES.items():
            self.assertTrue(math.isclose(slope, results.slope(name), rel_tol=1e-6))


class RoleTest(unittest.TestCase):
    def setUp(self):
        self.results = RunResults.from_records(raw_records())

    def test_frames_never_exceed_ticks_or_tokens(self):
        """Guards against a wrong frame rate with few tokens or with many.

        Few tokens take a frame each; with many, each link sends one frame per tick.
        """
        self.assertAlmostEqual(10.0, frames_per_s(10, 112, 0.025), delta=0.1)
        self.assertAlmostEqual(160.0, frames_per_s(1e6, 4, 0.025))

    def test_amounts_follow_from_the_target(self):
        """Guards against costs that do not depend on the target scale."""
        self.assertAlmostEqual(1.8e6 / 390, TARGET_SCALE.entry_tokens_per_s)
        self.assertAlmostEqual(112 * 390 / 850, TARGET_SCALE.agent_links)
        double = replace(TARGET_SCALE, tokens_per_s=2 * TARGET_SCALE.tokens_per_s)
        for role in ("entry", "agent"):
            cpu = [
                total_cost(COSTS_BY_ROLE[role](self.results, t), "cores")
                for t in (TARGET_SCALE, double)
            ]
            self.assertGreater(cpu[1], cpu[0])

    def test_control_excludes_requests_and_libraries(self):
        """Guards against libraries or generations counted in the 32 MB of control."""
        costs = COSTS_BY_ROLE["entry"](self.results)
        named = {item.name: item for item in costs}
        self.assertFalse(named["interpreter and libraries"].is_control)
        self.assertFalse(named["running generations"].is_control)
        # Base 10 MB, 112 links, 16,000 accounts, 1,240 VMs.
        expected = 10e6 + 112 * 70e3 + 16_000 * 1e3 + 1240 * 2e3
        self.assertAlmostEqual(expected, total_cost(costs, "memory", True), delta=1.0)

    def test_sums_skip_what_was_not_measured(self):
        """Guards against a sum that fails on or counts a cost that was not measured."""
        costs = [
            CostItem("a", 1, "", 0.5, None, ""),
            CostItem("b", 1, "", None, 3.0, ""),
        ]
        self.assertEqual(
            (0.5, 3.0), (total_cost(costs, "cores"), total_cost(costs, "memory"))
        )


class TableTest(unittest.TestCase):
    def setUp(self):
        self.results = RunResults.from_records(raw_records())

    def test_missed_target_shows_the_excess(self):
        """Guards against a missed target that is reported as met."""
        self.assertTrue(
            capacitytables.format_against_limit(5.0, 5.0, "s").endswith("met")
        )
        missed = capacitytables.format_against_limit(48e6, 32e6, "B")
        self.assertIn("not met", missed)
        self.assertIn("16 MB above, 1.5 times", missed)

    def test_remedy_meets_the_byte_limit(self):
        """Guards against a proposed number of links that misses the target again."""
        remedies = capacityscale.control_remedies(self.results, TARGET_SCALE)
        links = float(remedies["bytes"].split()[0])
        sent = links * 120 + capacitytables.gossip_bytes_per_s(self.results)
        self.assertAlmostEqual(5000, sent, delta=120)

    def test_scale_row_without_the_other_measurement(self):
        """Guards against an invented result if the measurement `spread` has not run."""
        page = capacityscale.scale_table(self.results, {})
        row = next(x for x in page.splitlines() if x.startswith("| change in force"))
        self.assertIn(capacityscale.NOT_MEASURED, row)
        spread = {"spread.in_force.at_390": 12.0}
        page = capacityscale.scale_table(self.results, spread)
        row = next(x for x in page.splitlines() if x.startswith("| change in force"))
        self.assertIn("not met", row)

    def test_only_marked_parts_change(self):
        """Guards against changes outside the markers, and tables without a marker."""
        page = "a\n<!-- table x -->\nold 1\n<!-- end -->\nb\n"
        changed = capacitytables.replace_tables(page, {"x": "new"})
        self.assertEqual("a\n<!-- table x -->\n\nnew\n<!-- end -->\nb\n", changed)
        self.assertEqual(changed, capacitytables.replace_tables(changed, {"x": "new"}))
        for tables in ({}, {"x": "", "y": ""}):
            with self.assertRaises(ValueError):
                capacitytables.replace_tables(page, tables)

    def test_page_has_every_table(self):
        """Guards against a table that is missing on the page or in the script."""
        tables = make_tables(raw_records(), [])
        text = PAGE_PATH.read_text(encoding="utf-8")
        changed = capacitytables.replace_tables(text, tables)
        for name, content in tables.items():
            self.assertIn(content, changed, name)


if __name__ == "__main__":
    unittest.main()
