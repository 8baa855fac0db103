"""Tests of the checks of settings and deploy files."""

import tempfile
import unittest
from pathlib import Path

from returns.result import Success

from monsoontack.platform.check import check_deploy, check_settings
from monsoontack.platform.settings import read_settings
from standins.gatewayprocess import ROOT, SETTINGS

VALID_SETTINGS = SETTINGS.format(
    name="e1",
    port=7200,
    last=7215,
    front=8740,
    ready=8749,
    memory_mb=300,
    grace_s=4,
    store="10.0.0.1:8742",
)


class CheckTest(unittest.TestCase):
    def check(self, text, check=check_settings):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.toml"
            path.write_text(text)
            read = read_settings(path)
            return [error.path for error in check(path)], read

    def test_propagation_bounds_and_first_start_are_read(self):
        """Guards against watch timeouts above the propagation bounds."""
        text = "first_start = true\n" + VALID_SETTINGS.replace(
            "[bounds]", "[bounds]\nconfig_apply_ms = 4000\ndrain_ms = 3000"
        )
        self.assertIn("drain_ms", text)
        _, read = self.check(text)
        settings, _ = read.unwrap()
        self.assertEqual(
            (3.0, True), (settings.propagation_limit_s, settings.is_first_start)
        )
        self.assertEqual(0.75, settings.watch_timeout_s)

    def test_valid_file_is_read_without_errors(self):
        """Guards against a check that rejects settings which a process accepts."""
        paths, read = self.check(VALID_SETTINGS + "\n[later]\nnew_field = 1\n")
        self.assertEqual([], paths)
        self.assertIsInstance(read, Success)
        settings, regions = read.unwrap()
        self.assertEqual(5.0, settings.revoke_s)
        self.assertEqual(
            (2.5, False), (settings.propagation_limit_s, settings.is_first_start)
        )
        self.assertEqual({"zone-a": "north", "zone-b": "north"}, regions)

    def test_all_errors_are_reported(self):
        """Guards against a check that reports only the first error."""
        text = VALID_SETTINGS.replace('ip = "127.0.0.1"', 'ip = "here"')
        text = text.replace("memory_mb = 300", "memory_mb = -1")
        text = text.replace('zone = "zone-a"', 'zone = "zone-x"')
        text = text.replace("revoke_ms = 5000", 'revoke_ms = "soon"')
        text = text.replace("[7200, 7215]", "[7200]")
        paths, read = self.check(text)
        expected = {"ip", "limits.memory_mb", "zone", "bounds.revoke_ms", "port_range"}
        self.assertEqual(expected, set(paths))
        self.assertNotIsInstance(read, Success)

    def test_limits_on_callers_are_read_and_checked(self):
        """Guards against limits on callers that are ignored or take any value."""
        text = VALID_SETTINGS.replace("[limits]", "[limits]\nmax_fds = 4164")
        text += "\n[inbound]\nheader_lines = 100\nconnections_per_address = 40\n"
        paths, read = self.check(text)
        self.assertEqual([], paths)
        settings, _ = read.unwrap()
        self.assertEqual((4164, 2460), (settings.max_fds, settings.inbound.connections))
        self.assertEqual(100, settings.inbound.header_lines)
        self.assertEqual(40, settings.inbound.connections_per_address)
        stated, _ = self.check(text + "connections = 77\n")[1].unwrap()
        self.assertEqual(77, stated.inbound.connections)
        for line in ("line_bytes = -1", "empty_lines = 1.5", 'connections = "all"'):
            paths, read = self.check(text + line + "\n")
            self.assertEqual(["inbound." + line.partition(" ")[0]], paths)
            self.assertNotIsInstance(read, Success)

    def test_malformed_toml(self):
        """Guards against a crash on a partially written file."""
        paths, read = self.check("node_name = ")
        self.assertEqual([""], paths)
        self.assertNotIsInstance(read, Success)

    def test_deploy_files(self):
        """Guards against a deploy file that the platform rejects."""
        self.assertEqual([], check_deploy(ROOT / "deploy" / "system.toml"))
        text = '[roles.a]\non = "core"\nshare = 2\nserves = ["all"]\nmetrics = "x"\n'
        paths, _ = self.check(text, check_deploy)
        fields = ("run", "on", "share", "serves", "metrics")
        self.assertEqual({"build", *(f"roles.a.{f}" for f in fields)}, set(paths))


if __name__ == "__main__":
    unittest.main()
