"""Membership view of an entry, fed by the VM list and by its links."""

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
    """Listener of all links that decides which agents the entry links to."""

    def __init__(self, settings: EntrySettings, rng: random.Random):
        self.settings = settings
        self.place = Place(settings.failure_domain, settings.region)
        self.view = MembershipView()
        self.rng = rng

    def take_vm_list(self, records: Sequence[VmRecord]) -> list[VmRecord]:
        """Merge a read of the VM list; return the agents to keep links to."""
        self._log(self.view.merge_vm_list(records, _now()))
        return choose_links(
            self.settings.peer_address,
            self.place,
            self.view.link_candidates(),
            self.settings.links_per_service,
        )

    def poll_interval_s(self) -> float:
        """Return the seconds until the next read of the VM list."""
        return self.view.poll_interval_s(self.rng)

    def is_leaving(self, address: str) -> bool:
        """Return whether an agent takes no new work because it leaves."""
        member = self.view.members.get(address)
        return member is not None and member.state is MemberState.LEAVING

    def on_frame(self, link: Link, frame: link_pb2.Frame) -> None:
        """Learn from a frame that an agent lives, restarted or leaves."""
        now = _now()
        if link.info is not None and (frame.HasField("info") or frame.leaving):
            incarnation = link.info.incarnation
            record = _record(link)
            self._log(
                self.view.merge_announcement(record, incarnation, frame.leaving, now)
            )
        self._log(self.view.note_traffic(link.address, now))

    def on_link_lost(self, link: Link, was_up: bool) -> None:
        """Take an agent whose link ended or never came up for suspect."""
        self._log(self.view.note_link_failure(link.address, _now()))

    def dump(self) -> dict[str, str]:
        """Return the state of each member for the operators' dump."""
        return {
            address: str(member.state) for address, member in self.view.members.items()
        }

    def _log(self, changes: Sequence[MemberChange]) -> None:
        for change in changes:
            state, former = str(change.state), str(change.former)
            log.debug("member", address=change.address, state=state, former=former)


def _now() -> float:
    return asyncio.get_running_loop().time()


def _record(link: Link) -> VmRecord:
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
