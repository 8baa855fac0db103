"""Tests that the product accepts every file of the example deployments."""

import unittest
from pathlib import Path

from examples.deployments import DEPLOYMENTS, FOLDER
from monsoontack.config.operator import check_files, read_files
from monsoontack.settings.load import load_settings
from monsoontack.settings.models import AgentSettings, EntrySettings

ADDRESSES = ("http_address", "operator_address", "peer_address", "link_address")


def load_all(deployment) -> tuple[list[EntrySettings], list[AgentSettings]]:
    settings = FOLDER / deployment.folder / "settings"
    return (
        [load_settings(p, EntrySettings).unwrap() for p in settings.glob("entry-*")],
        [load_settings(p, AgentSettings).unwrap() for p in settings.glob("agent-*")],
    )


def objects_of(deployment) -> list[Path]:
    return sorted((FOLDER / deployment.folder / "objects").glob("*.json"))


def specs(deployment, kind: str) -> dict[str, dict]:
    sources, _ = read_files(objects_of(deployment))
    documents = [s.document for s in sources if s.document["kind"] == kind]
    return {document["name"]: document["spec"] for document in documents}


class ExamplesTest(unittest.TestCase):
    def test_settings_are_accepted_and_current(self):
        """Guards against settings files that the daemons refuse or that are old."""
        for deployment in DEPLOYMENTS:
            entries, agents = load_all(deployment)
            files = deployment.files()
            self.assertEqual(len(files), len(entries) + len(agents))
            for path, text in files.items():
                self.assertEqual(text, path.read_text(), path)

    def test_addresses_are_used_once(self):
        """Guards against two daemons that listen on one address."""
        for deployment in DEPLOYMENTS:
            entries, agents = load_all(deployment)
            used = [getattr(s, a, "") for s in entries + agents for a in ADDRESSES]
            used = [address for address in used if address]
            self.assertEqual(len(set(used)), len(used))

    def test_objects_are_accepted(self):
        """Guards against objects that `check` refuses."""
        for deployment in DEPLOYMENTS:
            paths = objects_of(deployment)
            self.assertEqual(4, len(paths))
            self.assertEqual((), check_files(paths))
            self.assertEqual(10, len(specs(deployment, "ClientAccount")))
            (rollout,) = specs(deployment, "Rollout").values()
            shares = specs(deployment, "Service")[rollout["service"]]["shares"]
            self.assertEqual({rollout["from_version"]: 100}, shares)

    def test_agents_fit_the_objects(self):
        """Guards against agents whose service or version no object describes."""
        for deployment in DEPLOYMENTS:
            services = specs(deployment, "Service")
            versions = specs(deployment, "Version")
            _, agents = load_all(deployment)
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
