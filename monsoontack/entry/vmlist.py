"""Polls the VM list of the platform for the agents to link to."""

import asyncio
import random
from collections.abc import Callable

import aiohttp
import structlog

from monsoontack.core.records import Place, VmRecord
from monsoontack.entry.links import LinkPool
from monsoontack.entry.members import Members
from monsoontack.settings.models import EntrySettings

log = structlog.get_logger("entry.agents")

READ_TIMEOUT_S = 2.0
READ_ERRORS = (aiohttp.ClientError, TimeoutError, ValueError, KeyError, TypeError)


def decode_vm_list(document: dict) -> list[VmRecord]:
    """Decode the document of a VM list."""
    return [_decode_record(item) for item in document["vms"]]


def _decode_record(item: dict) -> VmRecord:
    place = Place(**item["place"])
    versions = tuple(item.get("versions", ()))
    return VmRecord(**{**item, "place": place, "versions": versions})


class VmListPoller:
    """Polls the VM list and updates the wanted agents of the link pool.

    The functions in `listeners` are called with the records of each read.
    """

    def __init__(
        self, settings: EntrySettings, http: aiohttp.ClientSession, pool: LinkPool
    ):
        self.members = Members(settings, random.Random())
        pool.members = self.members
        self.url = f"{settings.vm_list_url.rstrip('/')}/vms"
        self.http = http
        self.pool = pool
        self.records: list[VmRecord] = []
        self.listeners: list[Callable[[list[VmRecord]], None]] = []
        self.is_readable = True

    def is_known(self, address: str) -> bool:
        """Return whether the VM list contains an agent with this address."""
        return any(r.address == address and r.role == "agent" for r in self.records)

    async def run(self) -> None:
        """Poll until cancelled; a failed read leaves the wanted agents unchanged."""
        while True:
            try:
                await self.poll()
                self._note_readable(True)
            except READ_ERRORS as error:
                self._note_readable(False, error=repr(error))
            await asyncio.sleep(self.members.poll_interval_s())

    def _note_readable(self, is_readable: bool, **fields: str) -> None:
        if is_readable != self.is_readable:
            self.is_readable = is_readable
            log.info(
                "VM list is readable again"
                if is_readable
                else "cannot read the VM list",
                **fields,
            )

    async def poll(self) -> None:
        """Read the VM list once and apply it."""
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        async with self.http.get(self.url, timeout=timeout) as response:
            response.raise_for_status()
            self.records = decode_vm_list(await response.json())
        self.pool.set_wanted(self.members.merge_vm_list(self.records))
        for listener in self.listeners:
            listener(self.records)
