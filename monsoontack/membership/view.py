"""Which processes of the fleet live, from three sources of different value.

The VM list is complete but lags; direct announcements on links and observed
traffic are quick but cover only linked processes. A process counts as `live`
once anything shows it, as `suspect` after its link broke or went silent, as
`leaving` after it or the list said so, and as `gone` when the list no longer
has it. Each process announces an incarnation number that grows when it starts
anew, so that news about a former process doesn't touch its successor.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum

from monsoontack.core.records import VmRecord

# Reads of the VM list a second by the whole fleet. Single seconds reach 50 at
# random when the mean is 30.
FLEET_READS_PER_S = 30.0
MIN_POLL_S = 1.0
POLL_JITTER = 0.2
# Traffic this recent outweighs a list that lacks the process.
TRAFFIC_PROOF_S = 5.0
# A read that loses more than this part of the live processes at once is taken
# for a fault of the list until the next read confirms it.
MAX_LOSS = 0.5
# A process that is gone is forgotten after this time.
FORGET_S = 120.0


class MemberState(StrEnum):
    """What an entry may do with a process.

    `live` takes new work, `suspect` only link attempts, `leaving` finishes what
    it has, `gone` is not contacted.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(slots=True)
class Member:
    """One process, identified by its address."""

    record: VmRecord
    state: MemberState
    incarnation: int = 0
    seen_at: float = -math.inf
    changed_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Change:
    """A member's change of state.

    `is_return` marks a new or restarted process, or one that had been suspect;
    it starts slowly. `former` is None for a new member.
    """

    address: str
    former: MemberState | None
    state: MemberState
    is_return: bool = False


@dataclass(slots=True)
class MembershipView:
    """All known processes by address; each event returns the changes it made."""

    members: dict[str, Member] = field(default_factory=dict)
    doubted: frozenset[str] = frozenset()
    old_news: int = 0

    def list_read(self, records: Sequence[VmRecord], now: float) -> list[Change]:
        """Merge a successful read of the VM list."""
        is_first = not self.members
        listed = {record.address: record for record in records}
        changes = [
            change
            for record in listed.values()
            for change in self._listed(record, now, is_first)
        ]
        changes.extend(self._missing(listed, now))
        return changes

    def announced(
        self, record: VmRecord, incarnation: int, leaving: bool, now: float
    ) -> list[Change]:
        """Merge what a process said about itself; old incarnations are ignored."""
        member = self.members.get(record.address)
        state = MemberState.LEAVING if leaving else MemberState.LIVE
        if member is None:
            self._add(record, state, incarnation, now, seen_at=now)
            return [Change(record.address, None, state, is_return=True)]
        if incarnation < member.incarnation:
            self.old_news += 1
            return []
        is_new = incarnation > member.incarnation and member.incarnation > 0
        is_return = is_new or member.state in (MemberState.SUSPECT, MemberState.GONE)
        # Leaving is final for one incarnation, whatever arrives later.
        if member.state is MemberState.LEAVING and not is_new:
            state = MemberState.LEAVING
        member.record = replace(record, state="live")
        member.incarnation = incarnation
        member.seen_at = now
        return self._set(member, state, now, is_return, is_new)

    def heard(self, address: str, now: float) -> list[Change]:
        """Note traffic from a process; a suspect that was only paused returns."""
        member = self.members.get(address)
        if member is None:
            return []
        member.seen_at = now
        if member.state is MemberState.SUSPECT:
            return self._set(member, MemberState.LIVE, now, is_return=True)
        return []

    def lost(self, address: str, now: float) -> list[Change]:
        """Note that the link to a process broke, went silent or was refused."""
        member = self.members.get(address)
        if member is None or member.state is not MemberState.LIVE:
            return []
        return self._set(member, MemberState.SUSPECT, now)

    def takes_work(self, address: str) -> bool:
        """Return whether a process may get new work; unknown ones may not."""
        member = self.members.get(address)
        return member is not None and member.state is MemberState.LIVE

    def linkable(self) -> list[VmRecord]:
        """Return the processes to choose links among.

        Suspects stay, so that a short pause or partition moves no links.
        """
        wanted = (MemberState.LIVE, MemberState.SUSPECT)
        return [m.record for m in self.members.values() if m.state in wanted]

    def live_entries(self, region: str = "") -> int:
        """Return the number of live entries, of one region if it is given."""
        return sum(
            record.role == "entry" and region in ("", record.place.region)
            for record in self.linkable()
        )

    def poll_interval_s(self, rng: random.Random) -> float:
        """Return the seconds until this process reads the VM list again.

        It grows with the fleet, which together stays under 50 reads a second.
        """
        fleet = sum(m.state is not MemberState.GONE for m in self.members.values())
        interval_s = max(MIN_POLL_S, fleet / FLEET_READS_PER_S)
        return interval_s * rng.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)

    def _listed(self, record: VmRecord, now: float, is_first: bool) -> list[Change]:
        member = self.members.get(record.address)
        leaving = record.state == "leaving"
        state = MemberState.LEAVING if leaving else MemberState.LIVE
        if member is None:
            self._add(record, state, 0, now)
            return [Change(record.address, None, state, is_return=not is_first)]
        if member.record.vm != record.vm:
            # A replaced VM took over the address; traffic tells which is newer.
            if now - member.seen_at < TRAFFIC_PROOF_S:
                return []
            member.record, member.incarnation = record, 0
            return self._set(member, state, now, is_return=True, is_new=True)
        if leaving and member.state is not MemberState.GONE:
            return self._set(member, MemberState.LEAVING, now)
        if member.state is MemberState.GONE and not leaving:
            return self._set(member, MemberState.SUSPECT, now)
        return []

    def _missing(self, listed: dict[str, VmRecord], now: float) -> list[Change]:
        """Mark processes gone that neither the list nor traffic shows."""
        missing = [
            member
            for address, member in self.members.items()
            if address not in listed
            and member.state is not MemberState.GONE
            and now - member.seen_at >= TRAFFIC_PROOF_S
        ]
        known = sum(m.state is not MemberState.GONE for m in self.members.values())
        names = frozenset(member.record.address for member in missing)
        confirmed = names <= self.doubted
        self.doubted = frozenset()
        if len(missing) > MAX_LOSS * known and not confirmed:
            self.doubted = names
            return []
        changes = [c for m in missing for c in self._set(m, MemberState.GONE, now)]
        self._forget(listed, now)
        return changes

    def _forget(self, listed: dict[str, VmRecord], now: float) -> None:
        old = [
            address
            for address, member in self.members.items()
            if member.state is MemberState.GONE
            and address not in listed
            and now - member.changed_at > FORGET_S
        ]
        for address in old:
            del self.members[address]

    def _add(
        self,
        record: VmRecord,
        state: MemberState,
        incarnation: int,
        now: float,
        seen_at: float = -math.inf,
    ) -> None:
        member = Member(record, state, incarnation, seen_at, now)
        self.members[record.address] = member

    def _set(
        self,
        member: Member,
        state: MemberState,
        now: float,
        is_return: bool = False,
        is_new: bool = False,
    ) -> list[Change]:
        former = member.state
        if state is former and not is_new:
            return []
        member.state, member.changed_at = state, now
        return [Change(member.record.address, former, state, is_return)]
