"""Membership view: state of the processes of the fleet, merged from three sources.

The VM list is complete but lags. Announcements on links and observed traffic are
current, but cover only linked processes. A process is `live` once any source shows
it, `suspect` after its link failed or became silent, `leaving` after the process or
the list reported that, and `gone` when the list no longer contains it. Each process
announces an incarnation number, which increases with each restart on its VM, so that
late messages of a former process do not affect its successor. An address may be given
to another VM, whose numbers are not compared with those of the former one. The VM that
announced itself on a link keeps its address while the link is up, whichever other VMs
the list has there.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum

from monsoontack.core.records import VmRecord

# Reads of the VM list per second by the whole fleet. With a mean of 30, random peaks
# reach 50 within single seconds.
FLEET_READS_PER_S = 30.0
MIN_POLL_S = 1.0
POLL_JITTER = 0.2
# A process with traffic this recent is kept although the VM list lacks it.
RECENT_TRAFFIC_S = 5.0
# If a read of the VM list lacks more than this share of the known processes, it is
# treated as faulty until the next read confirms it.
MAX_UNCONFIRMED_LOSS_SHARE = 0.5
# A process that is gone is removed from the view after this time.
GONE_RETENTION_S = 120.0


class MemberState(StrEnum):
    """State of a process, which determines how an entry uses it.

    A `live` process accepts new work. A `suspect` process gets only link attempts. A
    `leaving` process finishes its present work. A `gone` process is not contacted.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(slots=True, repr=False)
class Member:
    """The process that was last seen at an address.

    `is_linked` is set when the process announces itself on a link, until the link
    fails.
    """

    record: VmRecord
    state: MemberState
    incarnation: int = 0
    last_contact_at: float = -math.inf
    changed_at: float = 0.0
    is_linked: bool = False


@dataclass(frozen=True, slots=True)
class MemberChange:
    """Change of the state of a member.

    `needs_slow_start` is set for a process that is new, restarted or no longer suspect.
    `former` is None for a new member.
    """

    address: str
    former: MemberState | None
    state: MemberState
    needs_slow_start: bool = False


@dataclass(slots=True, repr=False)
class MembershipView:
    """All known processes by address.

    The methods that merge information return the resulting changes of state. A link
    without a frame for `link_silence_s` seconds is not up any more.
    `unconfirmed_missing` holds the processes that the last read of the VM list lacked,
    if there were too many to accept one read. `stale_announcements` counts
    announcements of former incarnations.
    """

    members: dict[str, Member] = field(default_factory=dict)
    link_silence_s: float = 9.0
    unconfirmed_missing: frozenset[str] = frozenset()
    stale_announcements: int = 0

    def merge_vm_list(
        self, records: Sequence[VmRecord], now: float
    ) -> list[MemberChange]:
        """Merge a successful read of the VM list."""
        is_first = not self.members
        listed: dict[str, VmRecord] = {}
        for record in records:
            other = listed.get(record.address)
            if other is None or self._rank(record, now) > self._rank(other, now):
                listed[record.address] = record
        changes = [
            change
            for record in listed.values()
            for change in self._merge_record(record, now, is_first)
        ]
        changes.extend(self._mark_missing_gone(listed, now))
        return changes

    def merge_announcement(
        self, record: VmRecord, incarnation: int, leaving: bool, now: float
    ) -> list[MemberChange]:
        """Merge an announcement of a process; former incarnations are ignored."""
        member = self.members.get(record.address)
        state = MemberState.LEAVING if leaving else MemberState.LIVE
        if member is None:
            self._add(record, state, incarnation, now, last_contact_at=now)
            self.members[record.address].is_linked = True
            return [MemberChange(record.address, None, state, needs_slow_start=True)]
        is_other_vm = record.vm != member.record.vm
        if incarnation < member.incarnation and not is_other_vm:
            self.stale_announcements += 1
            return []
        is_restarted = is_other_vm or (
            incarnation > member.incarnation and member.incarnation > 0
        )
        needs_slow_start = is_restarted or member.state in (
            MemberState.SUSPECT,
            MemberState.GONE,
        )
        # An incarnation that is leaving stays so, whatever arrives later.
        if member.state is MemberState.LEAVING and not is_restarted:
            state = MemberState.LEAVING
        member.record = replace(record, state="live")
        member.incarnation = incarnation
        member.last_contact_at, member.is_linked = now, True
        return self._change_state(member, state, now, needs_slow_start, is_restarted)

    def note_traffic(self, address: str, now: float) -> list[MemberChange]:
        """Record traffic from a process; a suspect process becomes live again."""
        member = self.members.get(address)
        if member is None:
            return []
        member.last_contact_at = now
        if member.state is MemberState.SUSPECT:
            return self._change_state(
                member, MemberState.LIVE, now, needs_slow_start=True
            )
        return []

    def note_link_failure(self, address: str, now: float) -> list[MemberChange]:
        """Record that the link to a process failed, became silent or was refused."""
        member = self.members.get(address)
        if member is None:
            return []
        member.is_linked = False
        if member.state is not MemberState.LIVE:
            return []
        return self._change_state(member, MemberState.SUSPECT, now)

    def has_other_vm(self, address: str, vm: str) -> bool:
        """Return whether another VM than `vm` is known at an address."""
        member = self.members.get(address)
        return member is not None and member.record.vm != vm

    def takes_work(self, address: str) -> bool:
        """Return whether a process may get new work; False for unknown processes."""
        member = self.members.get(address)
        return member is not None and member.state is MemberState.LIVE

    def link_candidates(self) -> list[VmRecord]:
        """Return the processes among which links are chosen.

        Suspect processes are included, so that a short pause or partition moves no
        links.
        """
        wanted = (MemberState.LIVE, MemberState.SUSPECT)
        return [m.record for m in self.members.values() if m.state in wanted]

    def live_entries(self, region: str = "") -> int:
        """Return the number of live and suspect entries, optionally of one region."""
        return sum(
            record.role == "entry" and region in ("", record.place.region)
            for record in self.link_candidates()
        )

    def poll_interval_s(self, rng: random.Random) -> float:
        """Return the seconds until this process reads the VM list again.

        The interval grows with the size of the fleet, so that all processes together
        stay below 50 reads per second.
        """
        process_count = sum(
            m.state is not MemberState.GONE for m in self.members.values()
        )
        interval_s = max(MIN_POLL_S, process_count / FLEET_READS_PER_S)
        return interval_s * rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)

    def _is_in_contact(self, member: Member, now: float) -> bool:
        limit_s = RECENT_TRAFFIC_S
        if member.is_linked:
            limit_s = max(limit_s, self.link_silence_s)
        return now - member.last_contact_at < limit_s

    def _rank(self, record: VmRecord, now: float) -> tuple[bool, bool, bool]:
        """Return the preference for a record among several at one address."""
        member = self.members.get(record.address)
        is_known = member is not None and member.record.vm == record.vm
        is_in_contact = is_known and self._is_in_contact(member, now)
        return is_in_contact, record.state != "leaving", is_known

    def _merge_record(
        self, record: VmRecord, now: float, is_first: bool
    ) -> list[MemberChange]:
        member = self.members.get(record.address)
        leaving = record.state == "leaving"
        state = MemberState.LEAVING if leaving else MemberState.LIVE
        if member is None:
            self._add(record, state, 0, now)
            return [
                MemberChange(record.address, None, state, needs_slow_start=not is_first)
            ]
        if member.record.vm != record.vm:
            # Another VM took over the address. While there is a link or recent traffic,
            # the list may be older than the known process.
            if self._is_in_contact(member, now):
                return []
            member.record, member.incarnation, member.is_linked = record, 0, False
            return self._change_state(
                member, state, now, needs_slow_start=True, is_restarted=True
            )
        if leaving and member.state is not MemberState.GONE:
            return self._change_state(member, MemberState.LEAVING, now)
        if member.state is MemberState.GONE and not leaving:
            return self._change_state(member, MemberState.SUSPECT, now)
        return []

    def _mark_missing_gone(
        self, listed: dict[str, VmRecord], now: float
    ) -> list[MemberChange]:
        """Mark processes as gone that neither the list nor recent traffic shows."""
        missing = [
            member
            for address, member in self.members.items()
            if address not in listed
            and member.state is not MemberState.GONE
            and now - member.last_contact_at >= RECENT_TRAFFIC_S
        ]
        known = sum(m.state is not MemberState.GONE for m in self.members.values())
        missing_addresses = frozenset(member.record.address for member in missing)
        confirmed = missing_addresses <= self.unconfirmed_missing
        self.unconfirmed_missing = frozenset()
        if len(missing) > MAX_UNCONFIRMED_LOSS_SHARE * known and not confirmed:
            self.unconfirmed_missing = missing_addresses
            return []
        changes = [
            c for m in missing for c in self._change_state(m, MemberState.GONE, now)
        ]
        self._remove_expired(listed, now)
        return changes

    def _remove_expired(self, listed: dict[str, VmRecord], now: float) -> None:
        old = [
            address
            for address, member in self.members.items()
            if member.state is MemberState.GONE
            and address not in listed
            and now - member.changed_at > GONE_RETENTION_S
        ]
        for address in old:
            del self.members[address]

    def _add(
        self,
        record: VmRecord,
        state: MemberState,
        incarnation: int,
        now: float,
        last_contact_at: float = -math.inf,
    ) -> None:
        member = Member(record, state, incarnation, last_contact_at, now)
        self.members[record.address] = member

    def _change_state(
        self,
        member: Member,
        state: MemberState,
        now: float,
        needs_slow_start: bool = False,
        is_restarted: bool = False,
    ) -> list[MemberChange]:
        former = member.state
        if state is former and not is_restarted:
            return []
        member.state, member.changed_at = state, now
        return [MemberChange(member.record.address, former, state, needs_slow_start)]
