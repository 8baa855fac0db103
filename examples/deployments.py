"""Settings files of the two example deployments, one for each daemon.

`python -m examples.deployments` writes them under `settings/` of each
deployment. The addresses come from the block 10.0.0.0/8: the third number is
that of the failure domain, the fourth that of the VM in it.
"""

import json
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
ENTRY_HOSTS_FROM = 10
AGENT_HOSTS_FROM = 50
# An entry that hears neither store nor peer takes no new work. Two in each
# failure domain keep a region serving that is cut off from the other one.
ENTRIES_PER_DOMAIN = 2


@dataclass(frozen=True, slots=True)
class Backend:
    """Backend servers of one service, spread over the failure domains in turn."""

    service: str
    kind: str
    count: int
    versions: tuple[str, ...]
    slots: int
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class Deployment:
    """Failure domains with their regions, platform addresses and backends."""

    folder: str
    network: int
    domains: tuple[tuple[str, str], ...]
    backends: tuple[Backend, ...]

    def common(self, name: str, domain: int) -> dict:
        """Return the settings that every daemon has."""
        failure_domain, region = self.domains[domain]
        platform = f"http://10.{self.network}.0"
        return {
            "name": name,
            "failure_domain": failure_domain,
            "region": region,
            "store_url": f"{platform}.2:7000",
            "vm_list_url": f"{platform}.3:7001",
            "statsd_address": "127.0.0.1:8125",
        }

    def address(self, domain: int, host: int, port: int) -> str:
        """Return the address of a port of one VM."""
        return f"10.{self.network}.{domain + 1}.{host}:{port}"

    def entries(self) -> Iterator[dict]:
        """Return the settings of all entries; each knows the others as peers."""
        places = [
            (domain, ENTRY_HOSTS_FROM + index)
            for domain in range(len(self.domains))
            for index in range(ENTRIES_PER_DOMAIN)
        ]
        for domain, host in places:
            name = f"entry-{self.domains[domain][0]}-{host}"
            yield self.common(name, domain) | {
                "http_address": self.address(domain, host, 8080),
                "operator_address": self.address(domain, host, 8081),
                "peer_address": self.address(domain, host, 8082),
                "peers": [
                    self.address(*place, 8082)
                    for place in places
                    if place != (domain, host)
                ],
            }

    def agents(self) -> Iterator[dict]:
        """Return the settings of all agents."""
        hosts: Counter[int] = Counter()
        for backend in self.backends:
            for index in range(backend.count):
                domain = index % len(self.domains)
                host = AGENT_HOSTS_FROM + hosts[domain]
                hosts[domain] += 1
                name = f"agent-{backend.service}-{index + 1}"
                yield self.common(name, domain) | {
                    "vm": f"vm-{backend.service}-{index + 1}",
                    "link_address": self.address(domain, host, 7100),
                    "operator_address": self.address(domain, host, 7101),
                    "backend": {
                        "url": "http://127.0.0.1:9000",
                        "kind": backend.kind,
                        "service": backend.service,
                        "versions": list(backend.versions),
                        "slots": backend.slots,
                        "checks_fencing": backend.checks_fencing,
                    },
                }

    def files(self) -> dict[Path, str]:
        """Return the text of every settings file by its path."""
        folder = FOLDER / self.folder / "settings"
        return {
            folder / f"{document['name']}.json": json.dumps(document, indent=2) + "\n"
            for document in (*self.entries(), *self.agents())
        }


REPAIR_ASSISTANT = Deployment(
    "repair_assistant",
    network=1,
    domains=(
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
    domains=(
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
        for path, text in deployment.files().items():
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text, encoding="utf-8")


if __name__ == "__main__":
    main()
