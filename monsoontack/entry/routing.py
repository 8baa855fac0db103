"""Routing, admission and membership of an entry, behind the entry's protocols.

`Routing` is the `Picker` and `Admission` of `monsoontack.entry.ports` and
observes the links. It passes events to the decision modules and holds no rules
of its own.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Sequence

import structlog
from returns.result import Result

from monsoontack.admission.admit import Admission, Ticket
from monsoontack.config.view import AccountConfig, ConfigView
from monsoontack.core.errors import RequestError
from monsoontack.core.records import (
    BackendServer,
    Place,
    RouteRequest,
    ServerState,
    VmRecord,
)
from monsoontack.entry.links import Link
from monsoontack.membership.subset import choose_links
from monsoontack.membership.view import Change, MembershipView, MemberState
from monsoontack.proto import link_pb2
from monsoontack.routing.picker import Picker
from monsoontack.settings.models import EntrySettings

log = structlog.get_logger("entry.routing")


class Routing:
    """Decisions of one entry about where and whether requests go."""

    def __init__(
        self, place: Place, address: str, links_per_service: int, rng: random.Random
    ):
        self.place = place
        self.address = address
        self.links_per_service = links_per_service
        self.rng = rng
        self.picker = Picker.for_place(place)
        self.admission = Admission()
        self.membership = MembershipView()
        self.services: dict[str, str] = {}

    @classmethod
    def from_settings(cls, settings: EntrySettings, rng: random.Random) -> "Routing":
        """Return the decisions of the entry with these settings."""
        place = Place(settings.failure_domain, settings.region)
        return cls(place, settings.peer_address, settings.links_per_service, rng)

    # Picker.

    def pick_version(
        self, view: ConfigView, service: str, now: float, rng: random.Random
    ) -> str | None:
        """Choose a version by the published shares; None if none has a share."""
        shares = [pair for pair in view.services[service].shares if pair[1] > 0]
        if not shares:
            return None
        names, weights = zip(*shares, strict=True)
        return rng.choices(names, weights)[0]

    def pick(
        self,
        request: RouteRequest,
        servers: Sequence[ServerState],
        now: float,
        rng: random.Random,
    ) -> BackendServer | None:
        """Return the server that the request is sent to, None if there is none."""
        usable = [state for state in servers if not self._is_leaving(state)]
        server = self.picker.pick(request, usable, now, rng).value_or(None)
        if server is not None:
            self.services[server.address] = server.service
            self.picker.note_sent(request, server)
        return server

    def record(
        self, address: str, failed: bool, now: float, latency_s: float | None = None
    ) -> None:
        """Judge a server by how an attempt on it ended."""
        service = self.services.get(address)
        if service is None:
            return
        ejection = self.picker.ejection
        before = ejection.ejected
        if failed:
            ejection.record_failure(address, service, now, self.rng)
        elif latency_s is not None:
            ejection.record_success(address, service, latency_s, now, self.rng)
        if ejection.ejected > before:
            until = ejection.health[address].ejected_until
            log.info("server ejected", address=address, for_s=round(until - now, 1))

    # Admission.

    def admit(
        self,
        account: AccountConfig,
        service: str,
        servers: Sequence[ServerState],
        priority: int,
        now: float,
    ) -> Result[Ticket, RequestError]:
        """Return a ticket, or a refusal; ejected servers give no room."""
        usable = [state for state in servers if not self._is_leaving(state)]
        share = self.picker.ejection.share
        healthy = [s for s in usable if share(s.server.address, now) > 0]
        return self.admission.request(
            account, service, healthy or usable, now, self.rng, priority
        )

    def resume(self, account: AccountConfig, service: str, now: float) -> Ticket:
        """Return a ticket for an answer that runs already."""
        return self.admission.resume(account, service, now)

    def release(self, ticket: Ticket, now: float) -> None:
        """Give a ticket back."""
        self.admission.release(ticket, now)

    # Membership.

    def take_vm_list(self, records: Sequence[VmRecord], now: float) -> list[VmRecord]:
        """Merge a read of the VM list; return the agents to keep links to."""
        self._apply(self.membership.list_read(records, now), now)
        self.admission.live_entries = max(self.membership.live_entries(), 1)
        in_region = max(self.membership.live_entries(self.place.region), 1)
        self.picker.link.resize(in_region, now)
        linkable = self.membership.linkable()
        return choose_links(self.address, self.place, linkable, self.links_per_service)

    def poll_interval_s(self) -> float:
        """Return the seconds until the next read of the VM list."""
        return self.membership.poll_interval_s(self.rng)

    def on_frame(self, link: Link, frame: link_pb2.Frame) -> None:
        """Learn membership and cache contents from an agent's frame."""
        now = asyncio.get_running_loop().time()
        if link.info is not None and (frame.HasField("info") or frame.leaving):
            record = _record(link)
            incarnation = link.info.incarnation
            changes = self.membership.announced(record, incarnation, link.leaving, now)
            self._apply(changes, now)
        self._apply(self.membership.heard(link.address, now), now)
        for event in frame.cache_events:
            self.picker.prefixes.apply(
                link.address, event.sequence, event.kind, event.blocks
            )

    def on_link_lost(self, link: Link, was_up: bool) -> None:
        """Take an agent whose link ended or never came up for suspect."""
        now = asyncio.get_running_loop().time()
        self._apply(self.membership.lost(link.address, now), now)

    def _apply(self, changes: Sequence[Change], now: float) -> None:
        for change in changes:
            log.debug("member", address=change.address, state=str(change.state))
            if change.state is MemberState.GONE:
                self.picker.ejection.remove(change.address)
                self.picker.prefixes.forget(change.address)
                self.services.pop(change.address, None)
            elif change.is_return and change.state is MemberState.LIVE:
                self._begin_slowly(change, now)

    def _begin_slowly(self, change: Change, now: float) -> None:
        member = self.membership.members[change.address]
        if member.record.role != "agent":
            return
        service = member.record.service
        self.services[change.address] = service
        self.picker.ejection.add(change.address, service, now, returning=True)
        if change.former is not MemberState.SUSPECT:
            self.picker.prefixes.forget(change.address)

    def _is_leaving(self, state: ServerState) -> bool:
        member = self.membership.members.get(state.server.address)
        return member is not None and member.state is MemberState.LEAVING

    def dump(self, now: float) -> dict:
        """Return the state for the operators' dump."""
        members = self.membership.members.values()
        health = self.picker.ejection.health
        link = self.picker.link
        return {
            "members": dict(Counter(str(member.state) for member in members)),
            "shares": {
                address: round(share, 3)
                for address in health
                if (share := self.picker.ejection.share(address, now)) < 1
            },
            "ejected": self.picker.ejection.ejected,
            "refused": {"/".join(k): v for k, v in self.admission.refused.items()},
            "link_bytes": dict(link.sent),
            "link_refused": dict(link.refused),
            "cache_event_gaps": self.picker.prefixes.gaps,
        }


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
