"""Backend servers known to this entry, with this entry's load on each of them.

The store holds one record per server. A server gets no new requests once its record or
a response says that it is leaving, or its record is removed. A server that said that it
is leaving stays excluded until it starts again, whatever record of this start arrives
later.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from weakref import WeakValueDictionary

import structlog

from monsoontack.admission.leavingservers import LeavingServers
from monsoontack.core.records import BackendServer
from monsoontack.pacing.domainevidence import DomainEvidence, Trouble
from monsoontack.pacing.domainlosses import DOMAIN_FAILURE_WINDOW_S, is_domain_lost
from monsoontack.pacing.member import Member
from monsoontack.pacing.pace import STARTED, PaceBook
from monsoontack.pacing.turns import MIN_GATEWAYS
from monsoontack.routing.ejection import Ejection

log = structlog.get_logger("gateway.fleet")

# After a failed connection a server is avoided for this time, which doubles with each
# further consecutive failure. A crashed engine is back after about 1 s.
INITIAL_AVOID_S = 0.4
MAX_AVOID_S = 3.0
# A start that answered 421 is not listed again for this time, in which its record
# expires.
OUTDATED_MEMORY_S = 4.0
# Bounds of the retry time in a refusal of a service without servers. A new server
# needs about the upper one from its start to its record.
MIN_EMPTY_RETRY_S = 0.5
MAX_EMPTY_RETRY_S = 3.0
# Servers that are alive rewrite records that expired during a store outage within about
# this time after the store has recovered.
RECORD_GRACE_S = 2.2


@dataclass(slots=True, repr=False)
class BackendFleet:
    """All backend servers by service.

    `starts` holds the same servers as `members`, by `Member.limit_key`. `on_removed` is
    called with each server that gets no new requests any more, `on_added` with each new
    one, `on_failed` with each server that could not be reached. `leaving` has the
    servers that said that they are leaving. `missing_until` holds, for servers whose
    records expired during a store outage, the time until which they are kept. `former`
    holds removed servers by `Member.key` as long as runs refer to them. `empty_since`
    holds the time of the first refusal for lack of servers, by service. `evidence` has
    the failure domains in doubt, `paces` the servers that have just started or
    recovered; servers that are listed before `is_ready` count as known. `outdated`
    holds the starts that answered 421, and until when their records are ignored.
    `on_outdated` is called with the key of each such start, `on_answered` with each
    start in doubt that answers. `lost_at` is when a service last lost a server.
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
    evidence: DomainEvidence = field(default_factory=DomainEvidence)
    paces: PaceBook = field(default_factory=PaceBook)
    is_ready: bool = False
    outdated: dict[str, float] = field(default_factory=dict)
    lost_at: dict[str, float] = field(default_factory=dict)
    on_outdated: Callable[[str], None] = lambda start_key: None
    on_answered: Callable[[str], None] = lambda start_key: None

    def __post_init__(self) -> None:
        """Remove servers once responses or other entries say that they are leaving."""
        self.leaving.on_left = self._remove_leaving
        self.paces.turns = self.evidence.turns
        self.paces.servers_of = lambda service: len(self.by_service.get(service, {}))

    def set_gateways(self, regions: Mapping[str, str]) -> None:
        """Apply the regions of all gateways, by name.

        Servers that restart are left out and paced only in fleets of many gateways.
        """
        self.evidence.turns.set_gateways(regions)
        is_large = self.evidence.turns.count >= MIN_GATEWAYS
        self.evidence.leaves_out = self.paces.is_in_force = is_large

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
        if now < self.outdated.get(server.start_key, 0.0):
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
        is_new = member is None
        if is_new:
            member = Member(server, cold_until=now + server.cold_left_s, listed_at=now)
            self._note_superseded(server, now)
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
        if is_new and (self.is_ready or former_key):
            self.paces.begin(member, STARTED, now)
        self.on_added(member)

    def _note_superseded(self, server: BackendServer, now: float) -> None:
        """Note which starts ended since a later one is listed at their address."""
        for other in self.at_address(server.address):
            if other.server.service == server.service:
                if other.server.started_unix_ms < server.started_unix_ms:
                    other.superseded_at = now

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

    def note_misdirected(self, member: Member, now: float = 0.0) -> None:
        """Remove a server whose address belongs to another one by now.

        If the server has started again elsewhere, the later start is kept.
        """
        current = self.starts.get(member.limit_key)
        if current is not None and current.key == member.key:
            self._remove_outdated(current, now)
            if current.server.started_unix_ms:
                self.on_outdated(current.limit_key)

    def note_reported_outdated(self, start_key: str, now: float) -> None:
        """Remove a server whose start is gone, as a peer was answered.

        A server that has just sent bytes is kept, as is one without a start time, whose
        later start has the same key.
        """
        member = self.starts.get(start_key)
        if member is None or not member.server.started_unix_ms:
            return
        if member.last_byte_at <= now - DOMAIN_FAILURE_WINDOW_S:
            self._remove_outdated(member, now)

    def _remove_outdated(self, member: Member, now: float) -> None:
        self._note_trouble(member, Trouble.OUTDATED, now)
        if member.server.started_unix_ms:
            # Without a start time, a later start has the same key.
            outdated = self.outdated.items()
            self.outdated = {key: until for key, until in outdated if now < until}
            self.outdated[member.limit_key] = now + OUTDATED_MEMORY_S
        self.remove(member.server.incarnation)

    def _remove_member(self, member: Member) -> None:
        incarnation = member.server.incarnation
        self.missing_until.pop(incarnation, None)
        del self.members[incarnation], self.starts[member.limit_key]
        self.paces.forget(member.limit_key)
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

    def doubtful(self, members: Iterable[Member], now: float) -> set[str]:
        """Return the keys of the starts among a service's servers that may be gone.

        That holds for servers of a failure domain in doubt, and for those at whose
        address a later start is listed, until they send a byte.
        """
        found = self.evidence.doubtful(members, now)
        superseded = {m.limit_key for m in members if m.superseded_at >= m.heard_at}
        return found | superseded

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

    def note_unreachable(
        self, member: Member, now: float, trouble: Trouble = Trouble.SILENT
    ) -> None:
        """Avoid a server after a failed connection or a lost request."""
        member.consecutive_failures += 1
        avoid_s = min(
            INITIAL_AVOID_S * 2 ** (member.consecutive_failures - 1), MAX_AVOID_S
        )
        member.avoid_until = max(member.avoid_until, now + avoid_s)
        member.note_lost(now)
        self._note_trouble(member, trouble, now)
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
        member.note_lost(now)
        member.suspected_at = now
        self._note_trouble(member, Trouble.REPORTED, now)

    def _note_trouble(self, member: Member, trouble: Trouble, now: float) -> None:
        """Take a server's failure as a sign of its failure domain.

        Neither the end of a server that leaves nor a late answer of a start that is no
        longer listed is a sign.
        """
        if self.is_current(member) and not self.has_left(member):
            if trouble.is_strong:
                self.lost_at[member.server.service] = now
            domain = self._domain(member)
            self.evidence.note_trouble(member, domain, trouble, now)
            if trouble.is_connection_lost:
                self.paces.begin(member, str(trouble), now)
            else:
                self.paces.note_trouble(member, now)

    def _domain(self, member: Member) -> list[Member]:
        """Return the servers of a server's service and failure domain."""
        place, service = member.server.place, member.server.service
        return [m for m in self.of_service(service) if m.server.place == place]

    def is_domain_lost(self, member: Member, now: float) -> bool:
        """Whether most servers of a server's failure domain were lost just now."""
        return is_domain_lost(self._domain(member), now)

    def note_alive(self, member: Member, now: float) -> None:
        """Note that a server sent bytes; end its avoidance."""
        self.note_bytes(member, now)
        member.consecutive_failures = 0
        if member.avoid_until > now:
            member.avoid_until = now

    def note_bytes(self, member: Member, now: float) -> None:
        """Note that a server sent bytes, which end the doubt about it."""
        if self.evidence.note_heard(member, now):
            self.on_answered(member.limit_key)
        member.last_byte_at = now

    def note_reported_alive(self, start_key: str, now: float) -> None:
        """Note that a server in doubt has sent bytes to a peer."""
        member = self.starts.get(start_key)
        if member is not None:
            self.evidence.note_heard(member, now)
            self.paces.note_reported_alive(member, now)
            member.reported_alive_at = now
