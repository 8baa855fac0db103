"""Membership view of an entry, updated from the VM list and from its links."""

import asyncio
import random
from collections.abc import Sequence

import structlog

from monsoontack.core.records import Place, VmRecord
from monsoontack.entry.links import Link
from monsoontack.membership.subset import choose_links
from monsoontack.membership.view import MemberChange, MembershipView, MemberState
from monsoontack.proto import link_pb2
from monsoontack.settings.models import EntrySettings

log = structlog.get_logger("entry.members")


class Members:
    """Tracks the state of agents and selects the agents to keep links to.

    Implements `MembershipListener` of the link pool.
    """

    def __init__(self, settings: EntrySettings, rng: random.Random):
        self.settings = settings
        self.place = Place(settings.failure_domain, settings.region)
        self.view = MembershipView(link_silence_s=settings.idle_silence_s)
        self.rng = rng

    def merge_vm_list(self, records: Sequence[VmRecord]) -> list[VmRecord]:
        """Merge the VM list and return the agents to keep links to."""
        self._log_changes(self.view.merge_vm_list(records, _now()))
        return choose_links(
            self.settings.peer_address,
            self.place,
            self.view.link_candidates(),
            self.settings.links_per_service,
        )

    def poll_interval_s(self) -> float:
        """Return the delay before the next read of the VM list."""
        return self.view.poll_interval_s(self.rng)

    def is_leaving(self, address: str) -> bool:
        """Return whether an agent accepts no new work because it is leaving."""
        member = self.view.members.get(address)
        return member is not None and member.state is MemberState.LEAVING

    def on_frame(self, link: Link, frame: link_pb2.Frame) -> None:
        """Record from a frame that an agent is live, has restarted or is leaving."""
        now = _now()
        # While this process was paused, the list may have named another VM.
        if link.info is not None and (
            frame.HasField("info")
            or frame.leaving
            or self.view.has_other_vm(link.address, link.info.vm)
        ):
            incarnation = link.info.incarnation
            record = _vm_record(link)
            self._log_changes(
                self.view.merge_announcement(record, incarnation, frame.leaving, now)
            )
        self._log_changes(self.view.note_traffic(link.address, now))

    def on_link_lost(self, link: Link, was_up: bool) -> None:
        """Mark an agent as suspect when its link ended or could not be opened."""
        self._log_changes(self.view.note_link_failure(link.address, _now()))

    def dump(self) -> dict[str, str]:
        """Return the state of each member for the state dump."""
        return {
            address: str(member.state) for address, member in self.view.members.items()
        }

    def _log_changes(self, changes: Sequence[MemberChange]) -> None:
        for change in changes:
            state, former = str(change.state), str(change.former)
            log.debug("member", address=change.address, state=state, former=former)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _vm_record(link: Link) -> VmRecord:
    info = link.info
    return VmRecord(
        vm=info.vm,
        role="agent",
        address=link.address,
        http_address="",
        place=Place(info.failure_domain, info.region),
        service=info.service,
        kind=info.kind,
        versions=tuple(info.versions),
        slots=link.load.slots if link.load else 1,
    )
