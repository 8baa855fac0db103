"""Tests of loading settings files."""

import json
import tempfile
import unittest
from pathlib import Path

from monsoontack.settings.load import load_settings
from monsoontack.settings.models import AgentSettings

VALID_SETTINGS = {
    "name": "agent-1",
    "vm": "vm-1",
    "failure_domain": "a",
    "region": "r",
    "store_url": "http://127.0.0.1:7000",
    "vm_list_url": "http://127.0.0.1:7001",
    "link_address": "127.0.0.1:7002",
    "operator_address": "127.0.0.1:7003",
    "backend": {"url": "http://127.0.0.1:7004", "kind": "engine", "service": "s"},
}


class LoadSettingsTest(unittest.TestCase):
    def load(self, text: str):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "agent.json"
            path.write_text(text)
            return load_settings(path, AgentSettings)

    def test_valid_file(self):
        """Guards against rejecting a valid file."""
        settings = self.load(json.dumps(VALID_SETTINGS)).unwrap()
        self.assertEqual("agent-1", settings.name)

    def test_all_errors_at_once(self):
        """Guards against a check that stops at the first error."""
        bad = dict(VALID_SETTINGS, link_address="host:1", tick_z=1)
        bad["backend"] = dict(VALID_SETTINGS["backend"], slot=3)
        del bad["vm"]
        errors = self.load(json.dumps(bad)).failure().errors
        found = {error.path: error.message for error in errors}
        self.assertEqual({"vm", "link_address", "tick_z", "backend.slot"}, set(found))
        self.assertIn("did you mean 'slots'", found["backend.slot"])
        self.assertIn("did you mean 'tick_s'", found["tick_z"])
        self.assertIn("IP number", found["link_address"])

    def test_malformed_json_error_names_its_position(self):
        """Guards against an error message without the line and column."""
        (error,) = self.load('{"name": }').failure().errors
        self.assertIn("line 1 column 10", error.message)


if __name__ == "__main__":
    unittest.main()
