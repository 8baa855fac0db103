"""Backend servers known to this entry, with this entry's load on each of them.

The store holds one record per server. A server gets no new requests once its record or
a response says that it is leaving, or its record is removed. A server that said that it
is leaving stays excluded until it starts again, whatever record of this start arrives
later.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from weakref import WeakValueDictionary

import structlog

from monsoontack.admission.leavingservers import LeavingServers
from monsoontack.core.records import BackendServer
from monsoontack.routing.ejection import Ejection

log = structlog.get_logger("gateway.fleet")

# After a failed connection a server is avoided for this time, which doubles with each
# further consecutive failure. A crashed engine is back after about 1 s.
INITIAL_AVOID_S = 0.4
MAX_AVOID_S = 3.0
# Without a further failure a server is no longer suspect after this time. The record of
# a dead server has been removed from the store by then.
SUSPECT_TIMEOUT_S = 6.0
# If at least this many servers of a failure domain fail within the window, the other
# servers of the domain become suspect as well.
MIN_DOMAIN_FAILURES = 2
DOMAIN_FAILURE_WINDOW_S = 1.0
# The failure domain itself counts as lost if more than this share of its servers, and
# at least this many, are lost within the window.
DOMAIN_LOSS_SHARE = 2 / 3
MIN_DOMAIN_LOSSES = 3
# Bounds of the retry time in a refusal of a service without servers. A new server
# needs about the upper one from its start to its record.
MIN_EMPTY_RETRY_S = 0.5
MAX_EMPTY_RETRY_S = 3.0
# Servers that are alive rewrite records that expired during a store outage within about
# this time after the store has recovered.
RECORD_GRACE_S = 2.2


@dataclass(slots=True, weakref_slot=True)
class Member:
    """One start of a backend server, with this entry's load on it.

    `waiting_tokens` counts the prompt tokens of this entry's runs that wait for their
    first event, `held_tokens` the KV cache tokens that its runs and copies may take.
    `last_byte_at` is the time of the last byte from the server. `suspected_at` is the
    last time at which a running stream of the server stalled, a peer reported the
    server unreachable or its failure domain became suspect. `silent_at` is the last
    time at which one of this entry's streams waited for the silent server. `lost_at` is
    when this entry or a peer first found the server unreachable after its last byte.
    `longest_gap_s` is the longest recent gap between events. Until `cold_until` the
    server is slow because it has just started.
    `restarted` is set when the server has started again; the new process does not know
    the runs that were sent to this one.
    """

    server: BackendServer
    in_flight: int = 0
    waiting_tokens: int = 0
    held_tokens: int = 0
    last_byte_at: float = 0.0
    suspected_at: float = float("-inf")
    silent_at: float = float("-inf")
    avoid_until: float = 0.0
    consecutive_failures: int = 0
    failed_at: float = float("-inf")
    lost_at: float = float("-inf")
    longest_gap_s: float = 0.0
    cold_until: float = 0.0
    restarted: bool = False

    def is_suspect(self, now: float) -> bool:
        """Whether the server failed recently and has not sent a byte since."""
        return (
            self.failed_at > self.last_byte_at
            and now < self.failed_at + SUSPECT_TIMEOUT_S
        )

    @property
    def key(self) -> tuple[str, str]:
        """Return the key of connections to this start of the server."""
        return self.server.address, self.limit_key

    @property
    def limit_key(self) -> str:
        """Return the name of this start of the server in all entries' limits."""
        return self.server.start_key


@dataclass(slots=True)
class BackendFleet:
    """All backend servers by service.

    `starts` holds the same servers as `members`, by `Member.limit_key`. `on_removed` is
    called with each server that gets no new requests any more, `on_added` with each new
    one, `on_failed` with each server that could not be reached. `leaving` has the
    servers that said that they are leaving. `missing_until` holds, for servers whose
    records expired during a store outage, the time until which they are kept. `former`
    holds removed servers by `Member.key` as long as runs refer to them. `empty_since`
    holds the time of the first refusal for lack of servers, by service.
    """

    ejection: Ejection = field(default_factory=Ejection)
    members: dict[str, Member] = field(default_factory=dict)
    starts: dict[str, Member] = field(default_factory=dict)
    by_service: dict[str, dict[str, Member]] = field(default_factory=dict)
    leaving: LeavingServers = field(default_factory=LeavingServers)
    missing_until: dict[str, float] = field(default_factory=dict)
    former: WeakValueDictionary[tuple[str, str], Member] = field(
        default_factory=WeakValueDictionary
    )
    empty_since: dict[str, float] = field(default_factory=dict)
    grace_until: float = 0.0
    on_removed: Callable[[Member], None] = lambda member: None
    on_added: Callable[[Member], None] = lambda member: None
    on_failed: Callable[[Member], None] = lambda member: None

    def __post_init__(self) -> None:
        """Remove servers once responses or other entries say that they are leaving."""
        self.leaving.on_left = self._remove_leaving

    def note_store_recovered(self, now: float) -> None:
        """Start the grace period in which servers with expired records are kept.

        Servers cannot renew their records during a store outage.
        """
        self.grace_until = now + RECORD_GRACE_S

    def replace_all(
        self, servers: Iterable[BackendServer], leaving: set[str], now: float
    ) -> None:
        """Replace all servers; `leaving` holds the incarnations that are draining."""
        listed = {server.incarnation: server for server in servers}
        for incarnation in set(self.members) - set(listed):
            self.record_removed(incarnation, now)
        for server in listed.values():
            self.put(server, server.incarnation in leaving, now)

    def record_removed(self, incarnation: str, now: float) -> None:
        """Remove a server whose record is gone, in the grace period only after it."""
        if now < self.grace_until and incarnation in self.members:
            self.missing_until.setdefault(incarnation, self.grace_until)
            return
        self.remove(incarnation)

    def remove_expired(self, now: float) -> None:
        """Remove the servers whose records were not rewritten in the grace period."""
        for incarnation, until in list(self.missing_until.items()):
            if now >= until:
                self.remove(incarnation)

    def put(self, server: BackendServer, leaving: bool, now: float = 0.0) -> None:
        """Add, update or remove a server according to its current record."""
        incarnation = server.incarnation
        self.missing_until.pop(incarnation, None)
        member, started = self.members.get(incarnation), server.started_unix_ms
        if member is not None and started < member.server.started_unix_ms:
            return
        if leaving:
            self.remove(incarnation)
            self.leaving.note_record(incarnation, started)
            return
        if self.leaving.has_left(incarnation, started):
            return
        former_key = ""
        if member is not None:
            if member.server.started_unix_ms != started:
                member.restarted = True
                former_key = member.limit_key
                self._remove_member(member)
            elif (member.server.service, member.server.address) != (
                server.service,
                server.address,
            ):
                self.remove(incarnation)
            else:
                member.server = server
                return
        member = self._former_member(server)
        if member is None:
            member = Member(server, cold_until=now + server.cold_left_s)
        self.members[incarnation] = self.starts[member.limit_key] = member
        self.by_service.setdefault(server.service, {})[incarnation] = member
        self.empty_since.pop(server.service, None)
        self.ejection.add(
            member.limit_key,
            server.service,
            now,
            needs_slow_start=False,
            former_key=former_key,
        )
        log.info(
            "backend server added",
            server=incarnation,
            address=server.address,
            service=server.service,
            version=server.versions[0] if server.versions else "",
        )
        self.on_added(member)

    def _former_member(self, server: BackendServer) -> Member | None:
        """Return a removed server whose record was written again, with its load."""
        member = self.former.pop((server.address, server.start_key), None)
        if member is None or member.restarted:
            return None
        if member.server.service != server.service:
            return None
        member.server = server
        return member

    def remove(self, incarnation: str) -> None:
        """Remove a server from selection; its requests in flight continue."""
        member = self.members.get(incarnation)
        if member is not None:
            self._remove_member(member)
            self.ejection.remove(member.limit_key)

    def has_left(self, member: Member) -> bool:
        """Whether this start of a server has said that it is leaving."""
        server = member.server
        return self.leaving.has_left(server.incarnation, server.started_unix_ms)

    def note_leaving(self, member: Member, now: float) -> bool:
        """Remove a server whose response says that it is leaving, if that is new."""
        server = member.server
        return self.leaving.observe(server.incarnation, server.started_unix_ms, now)

    def _remove_leaving(self, incarnation: str, started_ms: int, source: str) -> None:
        member = self.members.get(incarnation)
        log.info(
            "backend server says that it is leaving",
            server=incarnation,
            service=None if member is None else member.server.service,
            started_unix_ms=started_ms,
            source=source,
        )
        if member is not None and self.has_left(member):
            self.remove(incarnation)

    def note_misdirected(self, member: Member) -> None:
        """Remove a server whose address belongs to another one by now.

        If the server has started again elsewhere, the later start is kept.
        """
        current = self.starts.get(member.limit_key)
        if current is not None and current.key == member.key:
            self.remove(member.server.incarnation)

    def _remove_member(self, member: Member) -> None:
        incarnation = member.server.incarnation
        self.missing_until.pop(incarnation, None)
        del self.members[incarnation], self.starts[member.limit_key]
        self.former[member.key] = member
        self.by_service[member.server.service].pop(incarnation, None)
        log.info(
            "backend server left",
            server=incarnation,
            address=member.server.address,
            service=member.server.service,
        )
        self.on_removed(member)

    def of_service(self, service: str) -> list[Member]:
        """Return the servers of a service that accept new requests."""
        return list(self.by_service.get(service, {}).values())

    def limit_keys(self, service: str) -> list[str]:
        """Return the keys under which limits of a service's servers are known."""
        return [member.limit_key for member in self.of_service(service)]

    def empty_retry_s(self, service: str, now: float) -> float | None:
        """Return the retry time of a service without servers, None if it has some.

        Nothing tells when the next server starts, so a caller comes back after as long
        as there has been none.
        """
        if self.by_service.get(service):
            return None
        empty_s = now - self.empty_since.setdefault(service, now)
        return min(max(empty_s, MIN_EMPTY_RETRY_S), MAX_EMPTY_RETRY_S)

    def is_current(self, member: Member) -> bool:
        """Whether this start of the server still accepts new requests."""
        return self.members.get(member.server.incarnation) is member

    def find_current(self, member: Member) -> Member | None:
        """Return the member for the same start of a server, if it accepts requests.

        It may be another object than `member`, since a record that has expired can be
        written again.
        """
        found = self.members.get(member.server.incarnation)
        if found is None or found.key != member.key:
            return None
        return found if found.server.service == member.server.service else None

    def at_address(self, address: str) -> list[Member]:
        """Return the servers whose records have an address.

        The record of a server that has ended may still be there beside that of the
        server which has the address now.
        """
        return [m for m in self.members.values() if m.server.address == address]

    def note_unreachable(self, member: Member, now: float) -> None:
        """Avoid a server after a failed connection.

        If several servers of its failure domain failed, the whole domain becomes
        suspect.
        """
        member.consecutive_failures += 1
        avoid_s = min(
            INITIAL_AVOID_S * 2 ** (member.consecutive_failures - 1), MAX_AVOID_S
        )
        member.avoid_until = max(member.avoid_until, now + avoid_s)
        self._note_lost(member, now)
        self._suspect_domain(member, now)
        self.on_failed(member)

    def note_reported_unreachable(self, start_key: str, now: float) -> None:
        """Suspect a server reported unreachable by a peer, until it sends bytes here.

        A server that has just sent bytes is not suspected, because the cause may be
        the peer's own link.
        """
        member = self.starts.get(start_key)
        if member is None or member.is_suspect(now):
            return
        if member.last_byte_at > now - DOMAIN_FAILURE_WINDOW_S:
            return
        self._note_lost(member, now)
        member.suspected_at = now
        self._suspect_domain(member, now)

    def _suspect_domain(self, member: Member, now: float) -> None:
        """Suspect all servers of a failure domain if several of them failed."""
        place = member.server.place
        peers = [
            m
            for m in self.by_service.get(member.server.service, {}).values()
            if m.server.place == place
        ]
        failed_count = sum(now - m.failed_at <= DOMAIN_FAILURE_WINDOW_S for m in peers)
        if failed_count < MIN_DOMAIN_FAILURES or 2 * failed_count < min(len(peers), 4):
            return
        for peer in peers:
            if (
                peer.last_byte_at < now - DOMAIN_FAILURE_WINDOW_S
                and not peer.is_suspect(now)
            ):
                peer.failed_at = now
                peer.suspected_at = now

    def _note_lost(self, member: Member, now: float) -> None:
        """Record a failure, and when the first one since the last byte happened."""
        if member.lost_at <= member.last_byte_at:
            member.lost_at = now
        member.failed_at = now

    def is_domain_lost(self, member: Member, now: float) -> bool:
        """Whether most servers of a server's failure domain were lost just now."""
        domain = [
            m
            for m in self.by_service.get(member.server.service, {}).values()
            if m.server.place == member.server.place
        ]
        lost_count = sum(now - m.lost_at <= DOMAIN_FAILURE_WINDOW_S for m in domain)
        share = lost_count / max(len(domain), 1)
        return lost_count >= MIN_DOMAIN_LOSSES and share > DOMAIN_LOSS_SHARE

    def note_alive(self, member: Member, now: float) -> None:
        """Note that a server sent bytes; end its avoidance."""
        member.last_byte_at = now
        member.consecutive_failures = 0
        if member.avoid_until > now:
            member.avoid_until = now
