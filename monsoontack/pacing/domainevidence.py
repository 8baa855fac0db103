"""Decides which servers are in doubt because others of their failure domain are gone.

Written for restarts of a failure domain: 86 to 100 in 100 of its engines end at once
and are back after 1.2 s, mostly under new ids, while their former records stay listed
for up to 3.6 s. Learned one server and one request at a time, 31 gateways and 9 engines
gave hundreds of rejected requests in a second.

One server that refuses connections, resets one or answers that it has another start
puts the other servers of its service and domain in doubt. The doubt about a server ends
with a byte from it, here or at another gateway, or with time. The doubt about the
domain ends once as many of its other servers have answered as were found gone, so that
one flapping or removed server affects only itself.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

import structlog

from monsoontack.core.records import Place
from monsoontack.pacing.member import Member
from monsoontack.pacing.turns import GatewayTurns

log = structlog.get_logger("pacing.domains")

# Servers of a service in one failure domain from which the evidence is in force. With
# fewer, one server says too little about the others.
MIN_DOMAIN_SERVERS = 3
# Signs that do not show the end of a process, such as silence or a report of another
# gateway, count for the domain only if they concern two servers within this time.
WEAK_WINDOW_S = 1.0
# The records of the servers that ended have been replaced or removed by then.
MAX_DOUBT_S = 6.0
# With a single server found gone, the doubt about the others ends earlier. A probe is
# refused at once or answered in about a second, the time to read a prompt.
SINGLE_DOUBT_S = 2.0
# A server that was found gone alone does not put its domain in doubt again for this
# time, which covers several flaps; the same domain restarts again after 36 s or more.
LONE_MEMORY_S = 20.0
# Bytes that were sent before the loss arrive up to a round trip between regions later.
READ_SKEW_S = 0.03
# Gateways that may probe a domain in doubt. Three are still enough if two of them have
# no request to send.
PROBING_GATEWAYS = 3
# A probe that has neither failed nor been answered for this time allows another one.
PROBE_TIMEOUT_S = 1.5
# Pause after a failed probe. Servers are back after about 1.2 s.
PROBE_PAUSE_S = 1.0


class Trouble(StrEnum):
    """What was seen of a server that may have ended."""

    OUTDATED = "outdated"
    REFUSED = "refused"
    RESET = "reset"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    REPORTED = "reported"

    @property
    def is_strong(self) -> bool:
        """Whether one such sign puts the other servers of the domain in doubt."""
        return self in (Trouble.OUTDATED, Trouble.REFUSED, Trouble.RESET)

    @property
    def is_connection_lost(self) -> bool:
        """Whether the server itself could not be reached or broke off."""
        return self in (Trouble.REFUSED, Trouble.RESET, Trouble.UNREACHABLE)


@dataclass(slots=True, repr=False)
class DomainDoubt:
    """Signs of the servers of one service and failure domain.

    `since` is the time of the first sign, `last_at` that of the last one. `troubled`
    has the last sign of each server by its address, which a restarted server keeps
    under its new id. No probe is sent before `next_probe_at`. The signs are kept
    while the doubt is not `in_force` because other servers answer, since further signs
    may follow.
    """

    since: float
    last_at: float
    troubled: dict[str, tuple[float, Trouble]] = field(default_factory=dict)
    next_probe_at: float = 0.0
    in_force: bool = False

    @property
    def is_list_behind(self) -> bool:
        """Whether several starts were outdated, so that the list is behind."""
        signs = [trouble for _, trouble in self.troubled.values()]
        return signs.count(Trouble.OUTDATED) > 1


@dataclass(slots=True, repr=False)
class DomainEvidence:
    """Failure domains in doubt, by service and place.

    `lone` has the addresses of servers that were found gone alone, and until when that
    is remembered. `on_doubt` is called with the service when a domain becomes doubtful.
    Unless it `leaves_out` servers in doubt, they are only suspected once two servers of
    their domain are found gone.
    """

    turns: GatewayTurns = field(default_factory=GatewayTurns)
    doubts: dict[tuple[str, Place], DomainDoubt] = field(default_factory=dict)
    lone: dict[str, float] = field(default_factory=dict)
    on_doubt: Callable[[str], None] = lambda service: None
    leaves_out: bool = True

    def note_trouble(
        self, member: Member, domain: Iterable[Member], trouble: Trouble, now: float
    ) -> None:
        """Record a sign of a server; `domain` has the listed servers of its domain."""
        key, address = _domain_of(member), member.server.address
        self._end_old(now)
        doubt = self.doubts.get(key)
        domain = list(domain)
        addresses = {other.server.address for other in domain} | {address}
        if doubt is not None:
            addresses |= doubt.troubled.keys()
        if len(addresses) < MIN_DOMAIN_SERVERS:
            return
        if doubt is None:
            doubt = self.doubts[key] = DomainDoubt(now, now)
        known = doubt.troubled.get(address)
        if known is not None and known[1].is_strong and not trouble.is_strong:
            trouble = known[1]
        doubt.troubled[address] = (now, trouble)
        doubt.last_at = now
        doubt.next_probe_at = now + PROBE_PAUSE_S
        holds = self._holds(doubt, domain, now)
        if holds and len(doubt.troubled) > 1:
            _suspect_unheard(domain, doubt, now)
        if holds and not doubt.in_force:
            doubt.in_force = True
            self.on_doubt(key[0])
            log.info(
                "failure domain in doubt",
                service=key[0],
                failure_domain=key[1].failure_domain,
                sign=str(trouble),
                server=member.server.incarnation,
                gone=len(doubt.troubled),
                servers=len(addresses),
                list_is_behind=doubt.is_list_behind,
            )

    def note_heard(self, member: Member, now: float) -> bool:
        """Note a byte of a server that is about to be counted.

        The result is true if the server was in doubt until now.
        """
        doubt = self.doubts and self.doubts.get(_domain_of(member))
        if not doubt or not _is_unheard(member, doubt):
            return False
        doubt.troubled.pop(member.server.address, None)
        doubt.next_probe_at = now
        return now < doubt.last_at + MAX_DOUBT_S

    def note_sent(self, member: Member, now: float) -> None:
        """Note a request to a server, which is a probe if the server is in doubt."""
        doubt = self.doubts and self.doubts.get(_domain_of(member))
        if doubt and _is_unheard(member, doubt):
            doubt.next_probe_at = now + PROBE_TIMEOUT_S

    def doubtful(self, members: Iterable[Member], now: float) -> set[str]:
        """Return the keys of the starts in doubt among the servers of a service.

        Servers of a domain to which this gateway may send a probe are left out.
        """
        if not self.doubts:
            return set()
        self._end_old(now)
        domains: dict[tuple[str, Place], list[Member]] = {}
        for member in members:
            if _domain_of(member) in self.doubts:
                domains.setdefault(_domain_of(member), []).append(member)
        found = set()
        for key, domain in domains.items():
            doubt = self.doubts[key]
            if not self._holds(doubt, domain, now):
                if doubt.in_force:
                    _clear_suspicion(domain)
                self._log_end(key, doubt, now)
            elif self.leaves_out and not self._may_probe(key, doubt, now):
                found |= {m.limit_key for m in domain if _is_unheard(m, doubt)}
        return found

    def count_in_force(self, now: float) -> int:
        """Return the number of failure domains that are in doubt."""
        self._end_old(now)
        return sum(doubt.in_force for doubt in self.doubts.values())

    def _holds(self, doubt: DomainDoubt, domain: Iterable[Member], now: float) -> bool:
        """Whether the signs put the servers that were not heard since in doubt."""
        troubled = doubt.troubled
        if not troubled or now >= doubt.last_at + _limit_s(doubt):
            return False
        if len(troubled) == 1:
            ((address, (_, trouble)),) = troubled.items()
            if not trouble.is_strong or now < self.lone.get(address, 0.0):
                return False
        elif not any(trouble.is_strong for _, trouble in troubled.values()):
            recent = [at for at, _ in troubled.values() if now - at <= WEAK_WINDOW_S]
            if len(recent) < 2 and not doubt.in_force:
                return False
        answered = sum(
            member.heard_at > doubt.since + READ_SKEW_S
            and member.listed_at <= doubt.since
            and member.server.address not in troubled
            for member in domain
        )
        return len(troubled) > answered

    def _may_probe(
        self, key: tuple[str, Place], doubt: DomainDoubt, now: float
    ) -> bool:
        if now < doubt.next_probe_at:
            return False
        service, place = key
        name = f"{service}/{place.failure_domain}"
        return self.turns.rank(name, place.region) < PROBING_GATEWAYS

    def _end_old(self, now: float) -> None:
        """Drop the signs that are too old, whether or not the doubt still held."""
        for key, doubt in list(self.doubts.items()):
            if now < doubt.last_at + _limit_s(doubt):
                continue
            del self.doubts[key]
            if len(doubt.troubled) == 1:
                self.lone |= dict.fromkeys(doubt.troubled, now + LONE_MEMORY_S)
            self._log_end(key, doubt, now)
        if self.lone:
            self.lone = {key: until for key, until in self.lone.items() if now < until}

    def _log_end(self, key: tuple[str, Place], doubt: DomainDoubt, now: float) -> None:
        if not doubt.in_force:
            return
        doubt.in_force = False
        log.info(
            "failure domain answers again",
            service=key[0],
            failure_domain=key[1].failure_domain,
            lasted_s=round(now - doubt.since, 2),
            gone=len(doubt.troubled),
            list_was_behind=doubt.is_list_behind,
        )


def _limit_s(doubt: DomainDoubt) -> float:
    return SINGLE_DOUBT_S if len(doubt.troubled) < 2 else MAX_DOUBT_S


def _domain_of(member: Member) -> tuple[str, Place]:
    return member.server.service, member.server.place


def _is_unheard(member: Member, doubt: DomainDoubt) -> bool:
    """Whether a server was listed before the doubt and has sent no byte since."""
    sign = doubt.troubled.get(member.server.address)
    since = doubt.since if sign is None else sign[0]
    if member.listed_at > doubt.since:
        return False
    return member.heard_at <= since + (READ_SKEW_S if sign is None else 0.0)


def _suspect_unheard(domain: list[Member], doubt: DomainDoubt, now: float) -> None:
    """Let streams that wait for these servers check that they can be reached."""
    for member in domain:
        is_quiet = member.heard_at < now - WEAK_WINDOW_S
        if is_quiet and _is_unheard(member, doubt) and not member.is_suspect(now):
            member.domain_failed_at = member.suspected_at = now


def _clear_suspicion(domain: list[Member]) -> None:
    """End the suspicion that only the failure domain gave rise to."""
    for member in domain:
        member.domain_failed_at = float("-inf")
