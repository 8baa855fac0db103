"""Settings files of the two example deployments, one file for each daemon.

`python -m examples.deployments` writes the files to `settings/` of each
deployment. The addresses are from the block 10.0.0.0/8: the third number is that
of the failure domain, the fourth that of the VM in the failure domain.
"""

import json
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

EXAMPLES_DIR = Path(__file__).resolve().parent
FIRST_ENTRY_HOST = 10
FIRST_AGENT_HOST = 50
# An entry that reaches neither the store nor a peer accepts no new work. With two
# entries in each failure domain, a region that is cut off from the other region
# keeps serving.
ENTRIES_PER_FAILURE_DOMAIN = 2


@dataclass(frozen=True, slots=True)
class Backend:
    """Backend servers of one service, assigned to the failure domains round-robin."""

    service: str
    kind: str
    count: int
    versions: tuple[str, ...]
    slots: int
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class Deployment:
    """Failure domains with their regions, network number and backend servers."""

    folder: str
    network: int
    failure_domains: tuple[tuple[str, str], ...]
    backends: tuple[Backend, ...]

    def common_settings(self, name: str, domain_index: int) -> dict:
        """Return the settings that all daemons share."""
        failure_domain, region = self.failure_domains[domain_index]
        platform = f"http://10.{self.network}.0"
        return {
            "name": name,
            "failure_domain": failure_domain,
            "region": region,
            "store_url": f"{platform}.2:7000",
            "vm_list_url": f"{platform}.3:7001",
            "statsd_address": "127.0.0.1:8125",
        }

    def address(self, domain_index: int, host: int, port: int) -> str:
        """Return the address of one port of a VM."""
        return f"10.{self.network}.{domain_index + 1}.{host}:{port}"

    def entry_settings(self) -> Iterator[dict]:
        """Yield the settings of each entry, with all other entries as its peers."""
        places = [
            (domain_index, FIRST_ENTRY_HOST + index)
            for domain_index in range(len(self.failure_domains))
            for index in range(ENTRIES_PER_FAILURE_DOMAIN)
        ]
        for domain_index, host in places:
            name = f"entry-{self.failure_domains[domain_index][0]}-{host}"
            yield self.common_settings(name, domain_index) | {
                "http_address": self.address(domain_index, host, 8080),
                "operator_address": self.address(domain_index, host, 8081),
                "peer_address": self.address(domain_index, host, 8082),
                "peers": [
                    self.address(*place, 8082)
                    for place in places
                    if place != (domain_index, host)
                ],
            }

    def agent_settings(self) -> Iterator[dict]:
        """Yield the settings of each agent."""
        hosts: Counter[int] = Counter()
        for backend in self.backends:
            for index in range(backend.count):
                domain_index = index % len(self.failure_domains)
                host = FIRST_AGENT_HOST + hosts[domain_index]
                hosts[domain_index] += 1
                name = f"agent-{backend.service}-{index + 1}"
                yield self.common_settings(name, domain_index) | {
                    "vm": f"vm-{backend.service}-{index + 1}",
                    "link_address": self.address(domain_index, host, 7100),
                    "operator_address": self.address(domain_index, host, 7101),
                    "backend": {
                        "url": "http://127.0.0.1:9000",
                        "kind": backend.kind,
                        "service": backend.service,
                        "versions": list(backend.versions),
                        "slots": backend.slots,
                        "checks_fencing": backend.checks_fencing,
                    },
                }

    def settings_files(self) -> dict[Path, str]:
        """Return the text of each settings file, keyed by path."""
        folder = EXAMPLES_DIR / self.folder / "settings"
        return {
            folder / f"{document['name']}.json": json.dumps(document, indent=2) + "\n"
            for document in (*self.entry_settings(), *self.agent_settings())
        }


REPAIR_ASSISTANT = Deployment(
    "repair_assistant",
    network=1,
    failure_domains=(
        ("ub-bayanzurkh", "ulaanbaatar"),
        ("ub-songino", "ulaanbaatar"),
        ("darkhan-uul", "darkhan"),
    ),
    backends=(
        Backend("repair-assistant", "engine", 20, ("v41",), 16),
        Backend("counter-desk", "engine", 3, ("v7",), 16),
        Backend("part-holds", "service", 2, ("v3",), 32, checks_fencing=True),
        Backend("stock-lookups", "service", 3, ("v3",), 64),
    ),
)
PLAN_WRITER = Deployment(
    "plan_writer",
    network=2,
    failure_domains=(
        ("almaty-a", "almaty"),
        ("almaty-b", "almaty"),
        ("shymkent-a", "shymkent"),
    ),
    backends=(
        Backend("plan-writer", "engine", 20, ("v18",), 16),
        Backend("crew-desk", "engine", 3, ("v5",), 16),
        Backend("stone-bookings", "service", 2, ("v2",), 32, checks_fencing=True),
        Backend("porter-payments", "service", 2, ("v4",), 16),
        Backend("path-status", "service", 3, ("v2",), 64),
    ),
)
DEPLOYMENTS = (REPAIR_ASSISTANT, PLAN_WRITER)


def main() -> None:
    """Write all settings files."""
    for deployment in DEPLOYMENTS:
        for path, text in deployment.settings_files().items():
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
