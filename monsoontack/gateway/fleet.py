"""Backend servers that this entry knows, with what it has in flight at each.

A server's entry comes from the store's list. A server that leaves gets no new
request from the moment its entry says so or is removed; the mark stays for the
incarnation, whatever arrives later.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import structlog

from monsoontack.core.records import BackendServer
from monsoontack.routing.ejection import Ejection

log = structlog.get_logger("gateway.fleet")

# After a failed connection a server is avoided this long; the time doubles with
# each further failure in a row. An engine that crashed is back after about 1 s.
AVOID_S = 0.4
MAX_AVOID_S = 3.0
# Without a further failure a server is trusted again after this time; an entry of a
# server that died is gone by then.
DOUBT_S = 6.0
# This many servers of one failure domain that fail within the span make the
# others of the domain doubtful as well.
DOMAIN_FAILURES = 2
DOMAIN_SPAN_S = 1.0
# Entries that lapsed during an outage of the store are written again within about
# this time of its return, if their server lives.
REAPPEAR_S = 2.2


@dataclass(slots=True)
class Member:
    """One incarnation of a backend server.

    `waiting_tokens` are prompt tokens of this entry's runs that wait for their first
    event, `held_tokens` the KV memory that its runs and copies may take. `last_byte_at`
    is when the server last sent a byte, `suspected_at` when one of its running streams
    fell silent, `longest_gap_s` the longest pause between events seen lately. Until
    `cold_until` the server is slow after its start. `restarted` is set once it has
    started anew: it knows nothing of the runs that were sent to this start.
    """

    server: BackendServer
    in_flight: int = 0
    waiting_tokens: int = 0
    held_tokens: int = 0
    last_byte_at: float = 0.0
    suspected_at: float = float("-inf")
    avoid_until: float = 0.0
    failures_in_row: int = 0
    failed_at: float = float("-inf")
    longest_gap_s: float = 0.0
    cold_until: float = 0.0
    restarted: bool = False

    def is_suspect(self, now: float) -> bool:
        """Whether the server failed lately and has not answered since."""
        return self.failed_at > self.last_byte_at and now < self.failed_at + DOUBT_S

    @property
    def key(self) -> tuple[str, str]:
        """Return what identifies the connections to this start of the server."""
        server = self.server
        return server.address, f"{server.incarnation}@{server.started_unix_ms}"


@dataclass(slots=True)
class BackendFleet:
    """All backend servers by service. `on_gone` hears each one that leaves.

    `left` has the time of start of each server that said that it leaves; a later
    start under the same name is a new server.
    """

    ejection: Ejection = field(default_factory=Ejection)
    members: dict[str, Member] = field(default_factory=dict)
    by_service: dict[str, dict[str, Member]] = field(default_factory=dict)
    left: dict[str, int] = field(default_factory=dict)
    missing: dict[str, float] = field(default_factory=dict)
    grace_until: float = 0.0
    on_gone: Callable[[Member], None] = lambda member: None
    on_failed: Callable[[Member], None] = lambda member: None

    def store_returned(self, now: float) -> None:
        """Keep servers whose entries lapsed until they can be written again."""
        self.grace_until = now + REAPPEAR_S

    def replace_all(
        self, servers: Iterable[BackendServer], leaving: set[str], now: float
    ) -> None:
        """Take over a complete list; `leaving` names incarnations that drain."""
        listed = {server.incarnation: server for server in servers}
        for incarnation in set(self.members) - set(listed):
            self.record_removed(incarnation, now)
        for server in listed.values():
            self.put(server, server.incarnation in leaving, now)

    def record_removed(self, incarnation: str, now: float) -> None:
        """Take over that the entry of a server is gone."""
        if now < self.grace_until and incarnation in self.members:
            self.missing.setdefault(incarnation, self.grace_until)
            return
        self.remove(incarnation)

    def tick(self, now: float) -> None:
        """Remove the servers whose entries did not come back in time."""
        for incarnation, until in list(self.missing.items()):
            if now >= until:
                self.remove(incarnation)

    def put(self, server: BackendServer, leaving: bool, now: float = 0.0) -> None:
        """Add a server, or take over what its entry says now."""
        incarnation = server.incarnation
        self.missing.pop(incarnation, None)
        member, started = self.members.get(incarnation), server.started_unix_ms
        if member is not None and started < member.server.started_unix_ms:
            return
        if leaving:
            self.remove(incarnation)
            self.left[incarnation] = started
            return
        if started <= self.left.get(incarnation, -1):
            return
        if member is not None:
            if member.server.started_unix_ms != started:
                member.restarted = True
                self.remove(incarnation)
            elif member.server.service != server.service:
                self.remove(incarnation)
            else:
                member.server = server
                return
        member = Member(server, cold_until=now + server.cold_left_s)
        self.members[incarnation] = member
        self.by_service.setdefault(server.service, {})[incarnation] = member
        log.info(
            "backend server added",
            server=incarnation,
            address=server.address,
            service=server.service,
            version=server.versions[0] if server.versions else "",
        )

    def remove(self, incarnation: str) -> None:
        """Give a server no new requests; those in flight go on."""
        self.missing.pop(incarnation, None)
        member = self.members.pop(incarnation, None)
        if member is None:
            return
        self.by_service[member.server.service].pop(incarnation, None)
        self.ejection.remove(incarnation)
        log.info(
            "backend server left",
            server=incarnation,
            address=member.server.address,
            service=member.server.service,
        )
        self.on_gone(member)

    def of_service(self, service: str) -> list[Member]:
        """Return the servers of a service that take new requests."""
        return list(self.by_service.get(service, {}).values())

    def is_current(self, member: Member) -> bool:
        """Whether the incarnation still takes new requests."""
        return self.members.get(member.server.incarnation) is member

    def at_address(self, address: str) -> Member | None:
        """Return the incarnation that takes requests at an address now."""
        for member in self.members.values():
            if member.server.address == address:
                return member
        return None

    def note_unreachable(self, member: Member, now: float) -> None:
        """Avoid a server whose connections fail, and doubt a domain that fell."""
        member.failures_in_row += 1
        span = min(AVOID_S * 2 ** (member.failures_in_row - 1), MAX_AVOID_S)
        member.avoid_until = max(member.avoid_until, now + span)
        member.failed_at = now
        self._doubt_domain(member, now)
        self.on_failed(member)

    def note_reported_unreachable(self, incarnation: str, now: float) -> None:
        """Doubt a server that failed another entry, until it sends bytes here.

        One that just did is not doubted: the other entry's link may be the cause.
        """
        member = self.members.get(incarnation)
        if member is None or member.is_suspect(now):
            return
        if member.last_byte_at > now - DOMAIN_SPAN_S:
            return
        member.failed_at = member.suspected_at = now
        self._doubt_domain(member, now)

    def _doubt_domain(self, member: Member, now: float) -> None:
        """Doubt the other servers of a failure domain where several failed."""
        place = member.server.place
        peers = [
            m
            for m in self.by_service.get(member.server.service, {}).values()
            if m.server.place == place
        ]
        fallen = sum(now - m.failed_at <= DOMAIN_SPAN_S for m in peers)
        if fallen < DOMAIN_FAILURES or 2 * fallen < min(len(peers), 4):
            return
        for peer in peers:
            if peer.last_byte_at < now - DOMAIN_SPAN_S and not peer.is_suspect(now):
                peer.failed_at = now
                peer.suspected_at = now

    def note_alive(self, member: Member, now: float) -> None:
        """Note bytes from a server."""
        member.last_byte_at = now
        member.failures_in_row = 0
        if member.avoid_until > now:
            member.avoid_until = now
