"""Polls the VM list of the platform for the agents to link to."""

import asyncio
import random
from collections.abc import Callable

import aiohttp
import msgspec
import structlog

from monsoontack.core.address import parse_address
from monsoontack.core.rawjson import decode_encodable, split_array, split_object
from monsoontack.core.records import VmRecord
from monsoontack.entry.links import LinkPool
from monsoontack.entry.members import Members
from monsoontack.settings.models import EntrySettings

log = structlog.get_logger("entry.agents")

READ_TIMEOUT_S = 2.0
READ_ERRORS = (aiohttp.ClientError, TimeoutError, ValueError)
MAX_SLOTS = 1_000_000
MAX_FAULT_CHARACTERS = 200


class _VmList(msgspec.Struct):
    vms: list[VmRecord]


def decode_vm_list(body: bytes) -> tuple[list[VmRecord], list[str]]:
    """Return the records of a VM list and the faults of those that can't be used.

    Raises ValueError if the body is no list.
    """
    try:
        records, faults = decode_encodable(body, _VmList).vms, []
    except ValueError:
        # One record makes the whole document unreadable.
        records, faults = _decode_each(split_array(split_object(body).get("vms", b"")))
    usable = []
    for record in records:
        try:
            parse_address(record.address)
            if not 0 <= record.slots <= MAX_SLOTS:
                raise ValueError(f"{record.slots} slots")
            usable.append(record)
        except ValueError as error:
            faults.append(f"{record.vm!a:.80}: {error}")
    return usable, faults


def _decode_each(texts: list[bytes]) -> tuple[list[VmRecord], list[str]]:
    records, faults = [], []
    for number, text in enumerate(texts):
        try:
            records.append(decode_encodable(text, VmRecord))
        except ValueError as error:
            faults.append(f"record {number}: {error}")
    return records, faults


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
        self.faults: list[str] = []

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
            self.records, faults = decode_vm_list(await response.read())
        if faults and faults != self.faults:
            log.warning(
                "records of the VM list cannot be read; not used",
                count=len(faults),
                first=faults[0][:MAX_FAULT_CHARACTERS],
            )
        self.faults = faults
        self.pool.set_wanted(self.members.merge_vm_list(self.records))
        for listener in self.listeners:
            listener(self.records)
