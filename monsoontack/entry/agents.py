"""Finds the agents to link to, from the platform's VM list."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Sequence

import aiohttp
import structlog
import xxhash

from monsoontack.core.records import Place, VmRecord
from monsoontack.entry.links import LinkPool
from monsoontack.settings.models import EntrySettings

log = structlog.get_logger("entry.agents")

POLL_S = 1.0
# Reads a second of the VM list by the whole fleet.
FLEET_READS_PER_S = 50.0
READ_TIMEOUT_S = 2.0
READ_ERRORS = (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError)


def decode_vm_list(document: dict) -> list[VmRecord]:
    """Return the records of a VM list document."""
    return [_record(item) for item in document["vms"]]


def _record(item: dict) -> VmRecord:
    place = Place(**item["place"])
    versions = tuple(item.get("versions", ()))
    return VmRecord(**{**item, "place": place, "versions": versions})


def choose_agents(
    records: Sequence[VmRecord], entry: str, region: str, per_service: int
) -> list[VmRecord]:
    """Return the agents to link to: a fixed subset of each service, own region first.

    The order within a region is by rendezvous hash of entry and agent.
    """
    by_service = defaultdict(list)
    for record in records:
        if record.role == "agent":
            by_service[record.service].append(record)
    chosen = []
    for candidates in by_service.values():
        candidates.sort(key=lambda r: (r.place.region != region, _hash(entry, r)))
        chosen.extend(candidates[:per_service])
    return chosen


def _hash(entry: str, record: VmRecord) -> int:
    return xxhash.xxh64_intdigest(f"{entry}|{record.address}".encode())


class AgentFinder:
    """Polls the VM list and tells the link pool which agents are wanted."""

    def __init__(
        self, settings: EntrySettings, http: aiohttp.ClientSession, pool: LinkPool
    ):
        self.settings = settings
        self.url = f"{settings.vm_list_url.rstrip('/')}/vms"
        self.http = http
        self.pool = pool
        self.records: list[VmRecord] = []
        self.listeners: list[Callable[[list[VmRecord]], None]] = []
        self.is_readable = True

    def is_known(self, address: str) -> bool:
        """Whether the VM list shows an agent at `address`."""
        return any(r.address == address and r.role == "agent" for r in self.records)

    async def run(self) -> None:
        """Poll until cancelled; an unreadable list leaves the links as they are."""
        while True:
            try:
                await self.poll()
                self._note_readable(True)
            except READ_ERRORS as error:
                self._note_readable(False, error=repr(error))
            await asyncio.sleep(max(POLL_S, len(self.records) / FLEET_READS_PER_S))

    def _note_readable(self, is_readable: bool, **fields: str) -> None:
        if is_readable != self.is_readable:
            self.is_readable = is_readable
            log.info(
                "VM list readable" if is_readable else "VM list unreadable", **fields
            )

    async def poll(self) -> None:
        """Read the list once."""
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        async with self.http.get(self.url, timeout=timeout) as response:
            response.raise_for_status()
            self.records = decode_vm_list(await response.json())
        settings = self.settings
        wanted = choose_agents(
            self.records, settings.name, settings.region, settings.links_per_service
        )
        self.pool.set_wanted(wanted)
        for listener in self.listeners:
            listener(self.records)
