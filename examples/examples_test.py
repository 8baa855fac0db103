"""Tests that the software accepts every file of the example deployments."""

import unittest
from pathlib import Path

from examples.deployments import DEPLOYMENTS, EXAMPLES_DIR
from monsoontack.config.operator import check_files, read_files
from monsoontack.settings.load import load_settings
from monsoontack.settings.models import AgentSettings, EntrySettings

ADDRESSES = ("http_address", "operator_address", "peer_address", "link_address")


def load_all_settings(deployment) -> tuple[list[EntrySettings], list[AgentSettings]]:
    settings = EXAMPLES_DIR / deployment.folder / "settings"
    return (
        [load_settings(p, EntrySettings).unwrap() for p in settings.glob("entry-*")],
        [load_settings(p, AgentSettings).unwrap() for p in settings.glob("agent-*")],
    )


def object_paths(deployment) -> list[Path]:
    return sorted((EXAMPLES_DIR / deployment.folder / "objects").glob("*.json"))


def specs_by_name(deployment, kind: str) -> dict[str, dict]:
    sources, _ = read_files(object_paths(deployment))
    documents = [s.document for s in sources if s.document["kind"] == kind]
    return {document["name"]: document["spec"] for document in documents}


class ExamplesTest(unittest.TestCase):
    def test_settings_are_accepted_and_current(self):
        """Guards against settings files that are outdated or refused by the daemons."""
        for deployment in DEPLOYMENTS:
            entries, agents = load_all_settings(deployment)
            files = deployment.settings_files()
            self.assertEqual(len(files), len(entries) + len(agents))
            for path, text in files.items():
                self.assertEqual(text, path.read_text(), path)

    def test_addresses_are_used_once(self):
        """Guards against two daemons that listen on the same address."""
        for deployment in DEPLOYMENTS:
            entries, agents = load_all_settings(deployment)
            used = [getattr(s, a, "") for s in entries + agents for a in ADDRESSES]
            used = [address for address in used if address]
            self.assertEqual(len(set(used)), len(used))

    def test_objects_are_accepted(self):
        """Guards against objects that `monsoontack check` refuses."""
        for deployment in DEPLOYMENTS:
            paths = object_paths(deployment)
            self.assertEqual(4, len(paths))
            self.assertEqual((), check_files(paths))
            self.assertEqual(10, len(specs_by_name(deployment, "ClientAccount")))
            (rollout,) = specs_by_name(deployment, "Rollout").values()
            shares = specs_by_name(deployment, "Service")[rollout["service"]]["shares"]
            self.assertEqual({rollout["from_version"]: 100}, shares)

    def test_agents_fit_the_objects(self):
        """Guards against agents whose service or version has no matching object."""
        for deployment in DEPLOYMENTS:
            services = specs_by_name(deployment, "Service")
            versions = specs_by_name(deployment, "Version")
            _, agents = load_all_settings(deployment)
            self.assertEqual(set(services), {a.backend.service for a in agents})
            for backend in (agent.backend for agent in agents):
                self.assertEqual(services[backend.service]["kind"], backend.kind)
                self.assertEqual(
                    set(services[backend.service]["shares"]), set(backend.versions)
                )
                spec = versions[f"{backend.service}.{backend.versions[0]}"]
                fenced = spec.get("checks_fencing", False)
                self.assertEqual(fenced, backend.checks_fencing)


if __name__ == "__main__":
    unittest.main()
