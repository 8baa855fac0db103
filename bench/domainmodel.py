"""Simulates gateways and engines over the restart of a failure domain, without I/O.

Gateways place prompts by the product's own fleet, evidence, pace and placement. Engines
read one prompt after the other and then answer; while they are down connections are
refused, and from their return until the new record is listed, requests that name the
former start get 421. Load reports reach up to 32 peers after a delay.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from monsoontack.core.records import BackendServer, Place
from monsoontack.core.rendezvous import ranked, stable_hash
from monsoontack.gateway.fleet import BackendFleet
from monsoontack.pacing.domainevidence import DomainEvidence, Trouble
from monsoontack.pacing.domainspend import DomainSpend
from monsoontack.pacing.member import Member
from monsoontack.pacing.pace import PaceBook, is_in_time
from monsoontack.routing.placement import EngineCandidate, PromptAffinity, choose_engine

SERVICE = "chat"
PLACES = [Place(f"d{number}", "north") for number in range(3)]
PROMPT_TOKENS, RUN_S, SLOTS, TOKENS_PER_S = 8000, 6.0, 16, 8000.0
DOWN_S, RECORD_S, REPORT_S, PEERS = 1.2, 1.0, 0.2, 32
MAX_TRIES, RETRY_S, OBJECTIVE_S = 5, 0.01, 4.0
SILENCE_S, CONNECT_S, WINDOW_S = 0.5, 0.35, 1.0


class NoEvidence(DomainEvidence):
    """Draws no conclusions from the trouble of a server."""

    def note_trouble(self, *signs: object) -> None:
        """Ignore the sign."""


class NoPaces(PaceBook):
    """Paces no server."""

    def begin(self, *start: object) -> None:
        """Ignore the start."""


@dataclass(slots=True)
class Engine:
    """One engine: its current start, when its prompts are read, and its runs."""

    server: BackendServer
    speed: Callable[[float], float]
    up: bool = True
    is_dark: bool = False
    read_until: float = 0.0
    runs: set[int] = field(default_factory=set)


@dataclass(slots=True)
class Gateway:
    """One gateway; `view` has what its peers reported: runs and waiting tokens."""

    name: str
    place: Place
    fleet: BackendFleet
    peers: list["Gateway"] = field(default_factory=list)
    view: dict[str, list[int]] = field(default_factory=dict)


@dataclass(slots=True)
class Result:
    """Counts over the whole run; `placed` has time and engine of each accepted run."""

    arrivals: int = 0
    rejected: int = 0
    late: int = 0
    lost: int = 0
    first_events: int = 0
    worst_first_s: float = 0.0
    placed: list[tuple[float, str, bool]] = field(default_factory=list)
    most_waiting: int = 0


@dataclass(slots=True)
class Request:
    """One prompt with what has been spent on it."""

    at: float
    spend: DomainSpend = field(default_factory=DomainSpend)
    tried: set[str] = field(default_factory=set)
    tries: int = 0
    has_begun: bool = False


class DomainModel:
    """`rule` is `now`, `before` (suspicion after two failures) or `none`."""

    def __init__(self, gateways: int, rule: str, rate: float, seed: int = 1) -> None:
        self.rule, self.rate, self.rng = rule, rate, random.Random(seed)
        self.clock, self.events, self.numbers = 0.0, [], itertools.count()
        self.result, self.running = Result(), {}
        self.engines: dict[str, Engine] = {}
        for domain, place in enumerate(PLACES):
            for number in range(20):
                name = f"e{domain}-{number}"
                server = BackendServer(
                    f"{name}:1", name, "engine", SERVICE, (), place, SLOTS, False, name
                )
                server = replace(server, started_unix_ms=1)
                self.engines[server.address] = Engine(server, lambda age: 1.0)
        names = [f"g{number}" for number in range(gateways)]
        self.gateways = [self._make_gateway(name, names) for name in names]
        by_name = {gateway.name: gateway for gateway in self.gateways}
        for gateway in self.gateways:
            others = ranked(stable_hash(gateway.name), set(names) - {gateway.name})
            gateway.peers = [by_name[name] for name in others[:PEERS]]
        self.after(0.0, self._arrive)

    def _make_gateway(self, name: str, names: list[str]) -> Gateway:
        fleet = BackendFleet()
        if self.rule != "now":
            fleet = BackendFleet(evidence=NoEvidence(), paces=NoPaces())
        fleet.evidence.turns.name = name
        fleet.evidence.turns.region = "north"
        fleet.evidence.turns.set_gateways(dict.fromkeys(names, "north"))
        gateway = Gateway(name, PLACES[int(name[1:]) % 3], fleet)
        for engine in self.engines.values():
            fleet.put(engine.server, False, 0.0)
        fleet.is_ready = True
        tell = self._tell
        fleet.on_failed = lambda member: tell(
            gateway, BackendFleet.note_reported_unreachable, member.limit_key
        )
        if self.rule == "now":
            alive = BackendFleet.note_reported_alive
            fleet.on_outdated = lambda key: tell(
                gateway, BackendFleet.note_reported_outdated, key
            )
            fleet.on_answered = lambda key: tell(gateway, alive, key)
            fleet.paces.on_answered = fleet.on_answered
        return gateway

    def _tell(self, gateway: Gateway, note: Callable, key: str) -> None:
        for peer in gateway.peers:
            self.after(
                self.rng.uniform(0.01, REPORT_S), self._hear, peer.fleet, note, key
            )

    def _hear(self, fleet: BackendFleet, note: Callable, key: str) -> None:
        note(fleet, key, self.clock)
        member = fleet.starts.get(key)
        if self.rule == "before" and member is not None:
            self._suspect_domain(fleet, member)

    def _suspect_domain(self, fleet: BackendFleet, member: Member) -> None:
        """Suspect a domain of which two servers failed, as before this package."""
        domain = [
            m for m in fleet.members.values() if m.server.place == member.server.place
        ]
        if sum(self.clock - m.failed_at <= WINDOW_S for m in domain) >= 2:
            for other in domain:
                if other.last_byte_at < self.clock - WINDOW_S:
                    other.domain_failed_at = self.clock

    def after(self, delay_s: float, call: Callable, *args: object) -> None:
        """Schedule a call."""
        event = (self.clock + delay_s, next(self.numbers), call, args)
        heapq.heappush(self.events, event)

    def run(self, until: float) -> Result:
        """Run until a time and return the counts."""
        while self.events and self.events[0][0] <= until:
            self.clock, _, call, args = heapq.heappop(self.events)
            call(*args)
        return self.result

    def restart(self, names: list[str], speed: Callable[[float], float]) -> None:
        """End engines now; they come back under new ids with this speed by age.

        Every third one does not refuse connections while it is down, but is silent.
        """
        lost: dict[tuple[str, str], list[int]] = {}
        for name in names:
            engine = self.engines[f"{name}:1"]
            engine.up, engine.speed = False, speed
            engine.is_dark = int(name.split("-")[1]) % 3 == 2
            for number in engine.runs:
                gateway = self.running[number][0]
                lost.setdefault((gateway.name, name), []).append(number)
            engine.runs = set()
            self.after(DOWN_S, self._return, engine)
        for (_, name), numbers in lost.items():
            noticed_s = SILENCE_S if self.engines[f"{name}:1"].is_dark else 0.0
            noticed_s += self.rng.uniform(0.001, 0.01)
            self.after(noticed_s, self._lose, numbers)

    def _lose(self, numbers: list[int]) -> None:
        for number in numbers:
            if number not in self.running:
                continue
            gateway, member, request, _ = self._end(number)
            self._fail(gateway, member, Trouble.RESET, request)

    def _return(self, engine: Engine) -> None:
        old = engine.server
        start = int(self.clock * 1000) + 1
        name = f"{old.vm}-{start}"
        engine.server = replace(old, incarnation=name, started_unix_ms=start)
        engine.up, engine.read_until = True, self.clock
        for gateway in self.gateways:
            delay_s = RECORD_S + self.rng.uniform(0, 0.2)
            self.after(delay_s, self._put, gateway.fleet, engine.server)
            self.after(delay_s + 1.4, gateway.fleet.remove, old.incarnation)

    def _put(self, fleet: BackendFleet, server: BackendServer) -> None:
        fleet.put(server, False, self.clock)

    def _arrive(self) -> None:
        self.after(self.rng.expovariate(self.rate), self._arrive)
        gateway = self.rng.choice(self.gateways)
        self._place(gateway, Request(self.clock))

    def _candidates(self, gateway: Gateway) -> list[EngineCandidate]:
        fleet, now, found = gateway.fleet, self.clock, []
        members = fleet.of_service(SERVICE)
        doubtful = fleet.doubtful(members, now) if self.rule == "now" else ()
        for member in members:
            runs, waiting = gateway.view.get(member.limit_key, (0, 0))
            paces, own, room = fleet.paces, member.waiting_tokens, None
            if paces.is_paced(member):
                all_waiting = paces.unread(own + waiting)
                room = paces.room(member, paces.unread(own), all_waiting, now)
            found.append(
                EngineCandidate(
                    member.server.incarnation,
                    member.server.place,
                    member.in_flight + runs,
                    SLOTS,
                    own + waiting,
                    0,
                    10**9,
                    avoided=now < member.avoid_until,
                    suspect=member.is_suspect(now),
                    doubtful=member.limit_key in doubtful,
                    pace_room=room,
                    in_turn=bool(room) and paces.pulls,
                )
            )
        return found

    def _place(self, gateway: Gateway, request: Request) -> None:
        fleet, now = gateway.fleet, self.clock
        candidates = self._candidates(gateway)
        left = [c for c in candidates if c.key not in request.tried] or candidates
        if self.rule == "now":
            left = request.spend.allowed(
                left, lambda c: c.place, lambda c: c.is_sound and not c.doubtful, now
            )
        affinity = PromptAffinity(f"p{request.at}", PROMPT_TOKENS)
        chosen = choose_engine(left, gateway.place, 0, self.rng, affinity)
        member = fleet.members[chosen.key]
        request.tries += 1
        request.tried.add(chosen.key)
        request.spend.note_sent(chosen.place, now)
        fleet.evidence.note_sent(member, now)
        fleet.paces.note_prompt(PROMPT_TOKENS)
        self.result.arrivals += 1
        engine = self.engines[member.server.address]
        if engine.up and engine.server.start_key == member.limit_key:
            self._accept(gateway, member, engine, request)
            return
        self.result.rejected += 1
        request.spend.note_lost(chosen.place, now)
        if engine.up:
            fleet.note_misdirected(member, now)
            self._retry(gateway, request)
        elif engine.is_dark:
            trouble = Trouble.UNREACHABLE
            self.after(CONNECT_S, self._fail, gateway, member, trouble, request)
        else:
            self._fail(gateway, member, Trouble.REFUSED, request)

    def _fail(
        self, gateway: Gateway, member: Member, trouble: Trouble, request: Request
    ) -> None:
        request.spend.note_lost(member.server.place, self.clock)
        self._note_unreachable(gateway, member, trouble)
        self._retry(gateway, request)

    def _note_unreachable(
        self, gateway: Gateway, member: Member, trouble: Trouble
    ) -> None:
        gateway.fleet.note_unreachable(member, self.clock, trouble)
        if self.rule == "before":
            self._suspect_domain(gateway.fleet, member)

    def _retry(self, gateway: Gateway, request: Request) -> None:
        if request.tries >= MAX_TRIES:
            self.result.lost += 1
            return
        self.after(RETRY_S, self._place, gateway, request)

    def _accept(
        self, gateway: Gateway, member: Member, engine: Engine, request: Request
    ) -> None:
        now, number = self.clock, next(self.numbers)
        self.running[number] = (gateway, member, request, PROMPT_TOKENS)
        engine.runs.add(number)
        is_back = engine.server.started_unix_ms > 1
        self.result.placed.append((now, engine.server.vm, is_back))
        ahead = gateway.view.get(member.limit_key, (0, 0))[1] + member.waiting_tokens
        self._count(gateway, member, 1, PROMPT_TOKENS)
        age = now - engine.server.started_unix_ms / 1000
        rate = TOKENS_PER_S * engine.speed(age)
        engine.read_until = max(engine.read_until, now) + PROMPT_TOKENS / rate
        waiting = sum(self.running[run][3] > 0 for run in engine.runs)
        if is_back:
            self.result.most_waiting = max(self.result.most_waiting, waiting)
        read = (engine.read_until - now, ahead + PROMPT_TOKENS)
        self.after(read[0], self._begin, number, now, read[1])

    def _count(self, gateway: Gateway, member: Member, runs: int, tokens: int) -> None:
        member.in_flight += runs
        member.waiting_tokens += tokens
        for peer in gateway.peers:
            delay_s = self.rng.uniform(0.01, REPORT_S)
            self.after(delay_s, self._report, peer, member.limit_key, runs, tokens)

    def _report(self, peer: Gateway, key: str, runs: int, tokens: int) -> None:
        usage = peer.view.setdefault(key, [0, 0])
        usage[0] += runs
        usage[1] += tokens

    def _begin(self, number: int, sent_at: float, tokens: int) -> None:
        if number not in self.running:
            return
        gateway, member, request, waiting = self.running[number]
        self.running[number] = (gateway, member, request, 0)
        self._count(gateway, member, 0, -waiting)
        first_s = self.clock - request.at
        if not request.has_begun:
            request.has_begun = True
            self.result.first_events += 1
            self.result.late += first_s > OBJECTIVE_S
            self.result.worst_first_s = max(self.result.worst_first_s, first_s)
        took_s, predicted_s = self.clock - sent_at, tokens / TOKENS_PER_S
        fleet = gateway.fleet
        fleet.paces.note_answered(member, is_in_time(took_s, predicted_s), self.clock)
        fleet.note_alive(member, self.clock)
        self.after(RUN_S, self._finish, number)

    def _finish(self, number: int) -> None:
        if number in self.running:
            gateway, member, _, _ = self.running[number]
            self.engines[member.server.address].runs.discard(number)
            self._end(number)

    def _end(self, number: int) -> tuple[Gateway, Member, Request, int]:
        gateway, member, request, waiting = self.running.pop(number)
        self._count(gateway, member, -1, -waiting)
        return gateway, member, request, waiting
