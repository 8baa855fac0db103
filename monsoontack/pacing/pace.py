"""Decides how much a server gets that has just started or recovered from trouble.

Written for failure domains that restart: their engines come back at the same moment,
look idle and therefore best to every gateway, and get more prompts in a second than
they read in ten. A server is paced from its new start, or from the sign that it was
lost, until it has answered well for some rounds.

The pace is how many requests may wait at the server for their first answer, from all
gateways together; runs that have begun to answer do not count. Gateways divide it
without asking each other: at a pace of `p` the first `p` gateways of a ranking by the
hash of server and turn may send, and none beyond what load reports show to wait there.
A pace doubles when an answer comes in time, here or at a peer, at most once per round,
and halves when an answer is late or refused.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil

import structlog

from monsoontack.pacing.member import Member
from monsoontack.pacing.turns import GatewayTurns

log = structlog.get_logger("pacing.pace")

# Least pace of a server that begins. In a simulated restart of 20 engines that are slow
# for 5 s, one prompt at first gives 33 late first events, two give 72.
MIN_START_PACE = 1
# Gateways in turn at first, as a multiple of the gateways for each server. Some of them
# have no request, or another server is in their turn as well. With more gateways than
# report to one, 1.5 gave 20 restarted engines 0.7 of their share, and 3 the whole.
START_FACTOR = 1.5
PULLED_START_FACTOR = 3.0
# Gateways whose reports reach this one, itself included. Of more, each report stands
# for the answers of others as well.
HEARD_GATEWAYS = 33
# A server is at full pace after three doublings, so one that answers late in its first
# rounds is found before all gateways use it.
FULL_PACE_FACTOR = 8
# Answers within one round were caused by the same pace. A load report reaches a peer
# within 0.35 s.
ROUND_S = 0.35
# A gateway of the ranking that has no request for the server gives way to another one
# after this time, about the time between two requests of a small gateway.
TURN_S = 1.0
# After a late answer or a refusal the pace does not grow for this time.
HOLD_S = 1.0
# Without a sign of trouble for this time, as with no requests at all, a server counts
# as well again. It was the length of the slow start by the clock.
QUIET_S = 30.0
# A first event is in time within this factor of the predicted time and this margin,
# which covers a slow period of 600 ms.
LATE_FACTOR = 1.5
LATE_MARGIN_S = 0.6
# Reason of the pace of a server that has started.
STARTED = "started"
# Weight of one prompt in the mean length of prompts.
PROMPT_WEIGHT = 0.05


@dataclass(slots=True, repr=False)
class Pace:
    """Pace of one start of a server.

    `requests` is the pace, `full` the one at which it ends, `begun_at` the time from
    which turns are counted, `trouble_at` that of the last sign against the server. The
    pace does not grow before `may_grow_at`.
    """

    requests: float
    full: int
    begun_at: float
    trouble_at: float
    may_grow_at: float
    stated_cold_until: float
    is_known_to_all: bool


@dataclass(slots=True, repr=False)
class PaceBook:
    """Servers that are paced, by the key of their start.

    `servers_of` returns the number of listed servers of a service. `mean_prompt` is
    the mean length of the prompts that this gateway sent, in tokens. No server is paced
    unless `is_in_force`.
    """

    turns: GatewayTurns = field(default_factory=GatewayTurns)
    paces: dict[str, Pace] = field(default_factory=dict)
    servers_of: Callable[[str], int] = lambda service: 1
    on_answered: Callable[[str], None] = lambda start_key: None
    on_paced: Callable[[str, str], None] = lambda service, reason: None
    mean_prompt: float = 0.0
    is_in_force: bool = True

    @property
    def pulls(self) -> bool:
        """Whether gateways in turn have to prefer the server, to bring it its share."""
        return self.turns.count > HEARD_GATEWAYS

    def is_paced(self, member: Member) -> bool:
        """Whether a server is paced."""
        return member.limit_key in self.paces

    def pace_of(self, member: Member) -> int | None:
        """Return the pace of a server in requests, None if it is not paced."""
        pace = self.paces.get(member.limit_key)
        return None if pace is None else int(pace.requests)

    def begin(self, member: Member, reason: str, now: float) -> None:
        """Pace a server that has started or was found lost.

        The pace begins where the gateways in turn bring the server its equal share of
        the requests: as many gateways as there are for each server.
        """
        key, service = member.limit_key, member.server.service
        if key in self.paces:
            self.note_trouble(member, now)
            return
        if not self.is_in_force:
            return
        each = self.turns.count / max(self.servers_of(service), 1)
        factor = PULLED_START_FACTOR if self.pulls else START_FACTOR
        start = max(MIN_START_PACE, ceil(factor * each))
        full = FULL_PACE_FACTOR * start
        is_known_to_all = reason == STARTED
        self.paces[key] = Pace(
            start, full, now, now, now, member.cold_until, is_known_to_all
        )
        # Rollouts do not judge a version by the latency of a server until this time.
        member.cold_until = max(member.cold_until, now + QUIET_S)
        self.on_paced(service, reason)
        log.info(
            "server paced",
            server=member.server.incarnation,
            service=service,
            reason=reason,
            pace=start,
            full=full,
        )

    def note_answered(self, member: Member, in_time: bool, now: float) -> None:
        """Note the first event or the answer of a server here."""
        pace = self.paces.get(member.limit_key)
        if pace is None:
            return
        if not in_time:
            self.note_trouble(member, now)
        elif self._grow(member, pace, now):
            self.on_answered(member.limit_key)

    def note_reported_alive(self, member: Member, now: float) -> None:
        """Note that a server answered a peer in time."""
        pace = self.paces.get(member.limit_key)
        if pace is not None:
            self._grow(member, pace, now)

    def note_trouble(self, member: Member, now: float) -> None:
        """Note a late answer, a refusal, a reset or a gap of a server that is paced."""
        pace = self.paces.get(member.limit_key)
        if pace is not None:
            pace.requests = max(pace.requests / 2, 1)
            pace.trouble_at, pace.may_grow_at = now, now + HOLD_S
            member.cold_until = max(member.cold_until, now + QUIET_S)

    def _grow(self, member: Member, pace: Pace, now: float) -> bool:
        if now < pace.may_grow_at:
            return False
        pace.requests *= 2 * max(self.turns.count / HEARD_GATEWAYS, 1)
        pace.may_grow_at = now + ROUND_S
        if pace.requests >= pace.full:
            self._end(member, pace, now)
        return True

    def _end(self, member: Member, pace: Pace, now: float) -> None:
        del self.paces[member.limit_key]
        member.cold_until = pace.stated_cold_until
        log.info(
            "server at full pace",
            server=member.server.incarnation,
            service=member.server.service,
            took_s=round(now - pace.begun_at, 2),
        )

    def note_prompt(self, tokens: int) -> None:
        """Note the length of a prompt that is sent."""
        weight = PROMPT_WEIGHT if self.mean_prompt else 1.0
        self.mean_prompt += weight * (tokens - self.mean_prompt)

    def unread(self, waiting_tokens: int) -> int:
        """Return about how many prompts wait, from the number of their tokens."""
        if waiting_tokens <= 0:
            return 0
        return max(round(waiting_tokens / max(self.mean_prompt, 1.0)), 1)

    def room(
        self, member: Member, own_waiting: int, all_waiting: int, now: float
    ) -> int | None:
        """Return how many more requests this gateway may send, None without a bound.

        `own_waiting` and `all_waiting` count the requests of this gateway, and of all
        gateways that are known, that wait for their first answer at the server.
        """
        pace = self.paces.get(member.limit_key)
        if pace is None:
            return None
        if now >= pace.trouble_at + QUIET_S:
            self._end(member, pace, now)
            return None
        bound = int(pace.requests)
        turn = int((now - pace.begun_at) / TURN_S)
        region = member.server.place.region
        part = self.turns.part(f"{member.limit_key}#{turn}", region, bound)
        if not pace.is_known_to_all:
            part = max(part, 1)
        return max(min(part - own_waiting, bound - all_waiting), 0)

    def forget(self, start_key: str) -> None:
        """Forget a start that is no longer listed."""
        self.paces.pop(start_key, None)


def is_in_time(took_s: float, predicted_s: float) -> bool:
    """Whether a first event came within what was predicted, as healthy servers do."""
    return took_s <= LATE_FACTOR * predicted_s + LATE_MARGIN_S
