"""Engines as the rollout controller sees them from inside an entry."""

from collections.abc import Callable, Sequence

from monsoontack.core.records import VmRecord
from monsoontack.entry.links import Link, LinkPool
from monsoontack.proto import link_pb2
from monsoontack.rollout.state import LoadVersion


class LinkedEngines:
    """Engines of the VM list, with the versions that their links report.

    The VM list shows the versions that a VM started with; links show what is
    loaded now. `records` gives the VM list. Links to engines outside the
    entry's subset are opened for orders only.
    """

    def __init__(
        self, pool: LinkPool, records: Callable[[], Sequence[VmRecord]]
    ) -> None:
        self.pool = pool
        self.records = records
        self.seen: dict[str, tuple[str, ...]] = {}
        self.orders: dict[str, str] = {}
        self.on_order_result: Callable[[str, str], None] = lambda order_id, code: None

    def versions(self) -> dict[str, dict[str, tuple[str, ...]]]:
        """Return the loaded versions of each live engine."""
        services: dict[str, dict[str, tuple[str, ...]]] = {}
        live = [r for r in self.records() if r.kind == "engine" and r.state == "live"]
        for record in live:
            link = self.pool.links.get(record.address)
            if link is not None and link.info is not None:
                self.seen[record.address] = tuple(link.info.versions)
            known = self.seen.get(record.address, record.versions)
            services.setdefault(record.service, {})[record.address] = known
        addresses = {record.address for record in live}
        self.seen = {a: v for a, v in self.seen.items() if a in addresses}
        return services

    def send_load_order(self, order_id: str, action: LoadVersion) -> None:
        """Send a load order to an agent."""
        order = link_pb2.Order(
            order_id=order_id, kind="load", version=action.version, fence=action.fence
        )
        self.orders[order_id] = action.version
        link = self.pool.get_or_open(action.address)
        link.send(link_pb2.EntryMessage(order=order))

    def on_result(self, result: link_pb2.OrderResult, link: Link) -> None:
        """Pass the result of an order on."""
        version = self.orders.pop(result.order_id, None)
        if result.code == "ok" and version is not None and link.address in self.seen:
            known = self.seen[link.address]
            self.seen[link.address] = tuple(dict.fromkeys((*known, version)))
        self.on_order_result(result.order_id, result.code)
