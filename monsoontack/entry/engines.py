"""Access of the rollout controller to engines through the links of an entry."""

from collections.abc import Callable, Sequence

from monsoontack.core.records import VmRecord
from monsoontack.entry.links import Link, LinkPool
from monsoontack.proto import link_pb2
from monsoontack.rollout.state import LoadVersion


class LinkedEngines:
    """Engines of the VM list, with the versions that their links report.

    The VM list contains the versions that a VM started with; links report the
    versions that are loaded now. `vm_records` returns the VM list. Links to engines
    outside the entry's subset are opened only to send orders. `last_versions` holds
    the VM that was last linked at each address, with the versions that it reported.
    """

    def __init__(
        self, pool: LinkPool, vm_records: Callable[[], Sequence[VmRecord]]
    ) -> None:
        self.pool = pool
        self.vm_records = vm_records
        self.last_versions: dict[str, tuple[str, tuple[str, ...]]] = {}
        self.ordered_versions: dict[str, str] = {}
        self.on_order_result: Callable[[str, str], None] = lambda order_id, code: None

    def versions(self) -> dict[str, dict[str, tuple[str, ...]]]:
        """Return the loaded versions of each live engine, by service and address.

        An engine is left out while the VM list and the link name different servers at
        its address, since either may be the older one.
        """
        services: dict[str, dict[str, tuple[str, ...]]] = {}
        live = [
            r for r in self.vm_records() if r.kind == "engine" and r.state == "live"
        ]
        for record in live:
            link = self.pool.links.get(record.address)
            if link is not None and link.info is not None:
                info = link.info
                if (info.vm, info.service) != (record.vm, record.service):
                    continue
                self.last_versions[record.address] = info.vm, tuple(info.versions)
            vm, versions = self.last_versions.get(record.address, ("", ()))
            loaded_versions = versions if vm == record.vm else record.versions
            services.setdefault(record.service, {})[record.address] = loaded_versions
        addresses = {record.address for record in live}
        self.last_versions = {
            a: v for a, v in self.last_versions.items() if a in addresses
        }
        return services

    def send_load_order(self, order_id: str, action: LoadVersion) -> None:
        """Order an agent to load a version; open a link to it if there is none."""
        order = link_pb2.Order(
            order_id=order_id,
            kind="load",
            version=action.version,
            fence=action.fence,
            service=action.service,
        )
        self.ordered_versions[order_id] = action.version
        link = self.pool.get_or_open(action.address)
        link.send(link_pb2.EntryMessage(order=order))

    def on_result(self, result: link_pb2.OrderResult, link: Link) -> None:
        """Record a loaded version and pass the result to `on_order_result`."""
        version = self.ordered_versions.pop(result.order_id, None)
        if (
            result.code == "ok"
            and version is not None
            and link.address in self.last_versions
        ):
            vm, versions = self.last_versions[link.address]
            if link.info is not None and link.info.vm == vm:
                versions = tuple(dict.fromkeys((*versions, version)))
                self.last_versions[link.address] = vm, versions
        self.on_order_result(result.order_id, result.code)
