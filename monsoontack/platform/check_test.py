"""Tests of the checks of settings and deploy files."""

import tempfile
import unittest
from pathlib import Path

from returns.result import Success

from monsoontack.platform.check import check_deploy, check_settings
from monsoontack.platform.settings import read_settings
from standins.gatewayprocess import ROOT, SETTINGS

GOOD = SETTINGS.format(
    name="e1",
    port=7200,
    last=7215,
    front=8740,
    ready=8749,
    memory_mb=300,
    store="10.0.0.1:8742",
)


class CheckTest(unittest.TestCase):
    def check(self, text, check=check_settings):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(text)
            read = read_settings(path)
            return [error.path for error in check(path)], read

    def test_bounds_for_news_and_the_first_start_are_read(self):
        """Guards against watches that are too long for the bounds of a deployment."""
        text = "first_start = true\n" + GOOD.replace(
            "[bounds]", "[bounds]\nconfig_apply_ms = 4000\ndrain_ms = 3000"
        )
        self.assertIn("drain_ms", text)
        _, read = self.check(text)
        settings, _ = read.unwrap()
        self.assertEqual(
            (3.0, True), (settings.propagation_limit_s, settings.is_first_start)
        )
        self.assertEqual(0.75, settings.watch_timeout_s)

    def test_good_file_is_read_and_has_no_fault(self):
        """Guards against a check that refuses what a process accepts."""
        paths, read = self.check(GOOD + "\n[later]\nnew_field = 1\n")
        self.assertEqual([], paths)
        self.assertIsInstance(read, Success)
        settings, regions = read.unwrap()
        self.assertEqual(5.0, settings.revoke_s)
        self.assertEqual(
            (2.5, False), (settings.propagation_limit_s, settings.is_first_start)
        )
        self.assertEqual({"zone-a": "north", "zone-b": "north"}, regions)

    def test_all_faults_at_once(self):
        """Guards against an operator who mends one fault a try."""
        text = GOOD.replace('ip = "127.0.0.1"', 'ip = "here"')
        text = text.replace("memory_mb = 300", "memory_mb = -1")
        text = text.replace('zone = "zone-a"', 'zone = "zone-x"')
        text = text.replace("revoke_ms = 5000", 'revoke_ms = "soon"')
        text = text.replace("[7200, 7215]", "[7200]")
        paths, read = self.check(text)
        expected = {"ip", "limits.memory_mb", "zone", "bounds.revoke_ms", "port_range"}
        self.assertEqual(expected, set(paths))
        self.assertNotIsInstance(read, Success)

    def test_file_that_is_no_toml(self):
        """Guards against a crash by a file that was written in part."""
        paths, read = self.check("node_name = ")
        self.assertEqual([""], paths)
        self.assertNotIsInstance(read, Success)

    def test_deploy_files(self):
        """Guards against a deploy file that the platform refuses."""
        self.assertEqual([], check_deploy(ROOT / "deploy" / "system.toml"))
        text = '[roles.a]\non = "core"\nshare = 2\nserves = ["all"]\nmetrics = "x"\n'
        paths, _ = self.check(text, check_deploy)
        fields = ("run", "on", "share", "serves", "metrics")
        self.assertEqual({"build", *(f"roles.a.{f}" for f in fields)}, set(paths))


if __name__ == "__main__":
    unittest.main()
