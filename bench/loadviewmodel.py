"""Gateways that place streams and report their load to each other, in virtual time.

Each gateway runs the product's `LoadExchange`; the network and the engines are
simulated. The load per gateway is that of docs/hardload.md, one and a half times its
mean: 27 streams a second for 31 gateways and 56 engines. An engine reads prompts one
after the other, every third engine more slowly, and generates for about 4 s.
"""

import asyncio
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.entrymodel import LOCAL_S, REGIONS, REMOTE_S, CapturedAnswer
from monsoontack.core.records import BackendServer, Place
from monsoontack.core.rendezvous import ranked, stable_hash
from monsoontack.gateway.fleet import Member
from monsoontack.gateway.peers import PeerEntry, PeerResponse
from monsoontack.gateway.records import EngineTraits, RawRequest
from monsoontack.gateway.streamload import AttemptLoad
from monsoontack.loadview.exchange import PATH, LoadExchange
from monsoontack.loadview.groups import group_of
from monsoontack.loadview.messages import NO_USAGE, EngineUsage
from monsoontack.loadview.outbox import MAX_PEERS
from monsoontack.routing.placement import (
    EngineCandidate,
    PromptAffinity,
    choose_backup,
    choose_engine,
)

DOMAINS = tuple(Place(f"d{n}", "north" if n < 3 else "south") for n in range(6))
SERVICE, TRAITS = "chat", EngineTraits(slots=16, memory_tokens=88_000)
STREAMS_PER_GATEWAY_S, ENGINES_PER_GATEWAY = 27 / 31, 56 / 31
GATEWAY_SIGMA = 0.5
PROMPT_TOKENS, NEEDED_TOKENS = 8000, 9000
OWN_RUN = EngineUsage(1, PROMPT_TOKENS, NEEDED_TOKENS)
PROMPT_S, SLOW_ENGINE_FACTOR, DECODE_S, DECODE_SIGMA = 1.0, 1.3, 4.0, 0.25
WARM_UP_S = 8.0
# Children of each entry in a tree of a region, and the interval of its messages.
TREE_FANOUT, TREE_INTERVAL_S = 6, 0.25


@dataclass(slots=True)
class ModelEngine:
    """An engine; `free_at` is when it will have read all prompts sent to it."""

    server: BackendServer
    prompt_s: float
    free_at: float = 0.0
    runs: int = 0


@dataclass(slots=True)
class ModelGateway:
    """A gateway, the engines it has used and the times of its recent starts of runs."""

    exchange: LoadExchange
    place: Place
    members: dict[str, Member]
    starts: deque = field(default_factory=lambda: deque(maxlen=200))
    encoded_at: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ViewFigures:
    """What was seen after the warm-up.

    `start_ages_s` are times from the start of a run until a peer knew it,
    `errors` the differences between believed and true runs of the engines that the
    gateway uses, at placements, `waits_s` the times to first events. `oldest_s` are
    samples of `view_age_s`.
    """

    start_ages_s: list[float] = field(default_factory=list)
    errors: list[float] = field(default_factory=list)
    waits_s: list[float] = field(default_factory=list)
    oldest_s: list[float] = field(default_factory=list)
    messages: int = 0
    message_bytes: int = 0


Usage = dict[str, EngineUsage]
Rule = Callable[["LoadModel", ModelGateway], Usage]


def groups_rule(model: "LoadModel", gateway: ModelGateway) -> Usage:
    """Return the product's estimate."""
    members = list(gateway.members.values())
    return gateway.exchange.others_usage(SERVICE, members, TRAITS, model.now())


def idle_rule(model: "LoadModel", gateway: ModelGateway) -> Usage:
    """Return the reports of the peers heard; the others count as idle."""
    return gateway.exchange.peer_loads.totals(model.now())


def scaled_rule(model: "LoadModel", gateway: ModelGateway) -> Usage:
    """Return the reports of the peers heard, scaled by region to all gateways."""
    exchange = gateway.exchange
    estimator, peers = exchange.estimator, model.peers
    estimator.group = model.groups[exchange.name]
    estimator.heard = {n: peers[n].region for n in exchange.peer_loads.usage_by_peer}
    return estimator.scaled_totals(exchange.peer_loads.usage_by_peer, 1)


def tree_rule(model: "LoadModel", gateway: ModelGateway) -> Usage:
    """Return sums that went up and down a tree of all gateways, and own new runs."""
    known_at = model.now() - model.tree_age_s()
    usage = dict(model.snapshot(known_at))
    for at, key in gateway.starts:
        if at > known_at:
            usage[key] = usage.get(key, NO_USAGE).plus(OWN_RUN)
    return usage


def exact_rule(model: "LoadModel", gateway: ModelGateway) -> Usage:
    """Return the true usage at this moment, which no message can provide."""
    return model.snapshot(model.now())


RULES: dict[str, Rule] = {
    "groups": groups_rule,
    "idle": idle_rule,
    "scaled": scaled_rule,
    "tree": tree_rule,
    "exact": exact_rule,
}


@dataclass(slots=True)
class LoadModel:
    """A fleet of `count` gateways under a rule of `RULES`."""

    count: int
    rule: str
    rng: random.Random
    ahead: bool = True
    gateways: dict[str, ModelGateway] = field(default_factory=dict)
    engines: dict[str, ModelEngine] = field(default_factory=dict)
    peers: dict[str, PeerEntry] = field(default_factory=dict)
    groups: dict = field(default_factory=dict)
    snapshots: deque = field(default_factory=deque)
    figures: ViewFigures = field(default_factory=ViewFigures)
    tasks: set[asyncio.Task] = field(default_factory=set)

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return asyncio.get_running_loop().time()

    async def run(self, measured_s: float) -> ViewFigures:
        """Simulate the warm-up and the measured time."""
        self._start()
        weights = [self.rng.lognormvariate(0, GATEWAY_SIGMA) for _ in self.gateways]
        gateways, number = list(self.gateways.values()), 0
        ends_at = WARM_UP_S + measured_s
        while self.now() < ends_at:
            rate = STREAMS_PER_GATEWAY_S * self.count
            await asyncio.sleep(self.rng.expovariate(rate))
            gateway = self.rng.choices(gateways, weights)[0]
            self._spawn(self._serve(gateway, f"prompt-{number}"))
            number += 1
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        return self.figures

    def _start(self) -> None:
        for number in range(round(ENGINES_PER_GATEWAY * self.count)):
            place = DOMAINS[number % len(DOMAINS)]
            server = BackendServer(
                f"a{number}", "", "engine", SERVICE, (), place, TRAITS.slots,
                incarnation=f"engine-{number}",
            )  # fmt: skip
            factor = SLOW_ENGINE_FACTOR if number % 3 == 0 else 1.0
            self.engines[server.start_key] = ModelEngine(server, PROMPT_S * factor)
        for number in range(self.count):
            region = DOMAINS[number % len(DOMAINS)].region
            self.peers[f"gateway-{number}"] = PeerEntry(
                f"gateway-{number}", region, "a"
            )
        for number, name in enumerate(self.peers):
            exchange = LoadExchange(name, None)
            members = {
                key: Member(engine.server) for key, engine in self.engines.items()
            }
            gateway = ModelGateway(exchange, DOMAINS[number % len(DOMAINS)], members)
            exchange.call = lambda peer, body, sender=gateway: self._call(
                sender, peer, body
            )
            if not self.ahead:
                exchange.start_ahead = 0
            self.gateways[name] = gateway
        for name, gateway in self.gateways.items():
            self.groups[name] = group_of(name, self.peers)
            gateway.exchange.set_peers(self._known_peers(name))
            self._spawn(self._run_exchange(gateway.exchange))

    def _known_peers(self, name: str) -> dict[str, PeerEntry]:
        """Return the list of entries as the rule divides it."""
        if self.rule == "groups":
            return self.peers
        others = ranked(stable_hash(name), [n for n in self.peers if n != name])
        return {n: self.peers[n] for n in [name, *others[:MAX_PEERS]]}

    async def _run_exchange(self, exchange: LoadExchange) -> None:
        await asyncio.sleep(self.rng.random() * 0.2)
        await exchange.run()

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _call(self, sender: ModelGateway, peer: PeerEntry, body: bytes):
        """Deliver a message, and note the age of the starts of runs in it."""
        encoded_at, previous = self.now(), sender.encoded_at.get(peer.name, 0.0)
        sender.encoded_at[peer.name] = encoded_at
        started = [at for at, _ in sender.starts if previous < at <= encoded_at]
        receiver = self.gateways[peer.name]
        is_near = receiver.place.region == sender.place.region
        delay_s = (LOCAL_S if is_near else REMOTE_S) * self.rng.uniform(0.8, 1.5)
        await asyncio.sleep(delay_s)
        answer = CapturedAnswer()
        raw = RawRequest(b"POST", PATH.encode(), (), body, True, 0.0)
        await receiver.exchange.handle(raw, answer)
        if self.now() > WARM_UP_S:
            self.figures.messages += 1
            self.figures.message_bytes += len(body)
            self.figures.start_ages_s += [self.now() - at for at in started]
        await asyncio.sleep(delay_s)
        return PeerResponse(answer.status, answer.body)

    async def _serve(self, gateway: ModelGateway, prompt: str) -> None:
        candidates = self._candidates(gateway)
        affinity = PromptAffinity(prompt, PROMPT_TOKENS)
        chosen = choose_engine(
            candidates, gateway.place, NEEDED_TOKENS, self.rng, affinity
        )
        backup = choose_backup(candidates, chosen, NEEDED_TOKENS, self.rng)
        engine, members = self.engines[chosen.key], gateway.members
        load = AttemptLoad(
            gateway.exchange,
            members[chosen.key],
            members[backup.key],
            NEEDED_TOKENS,
            PROMPT_TOKENS,
        )
        now = self.now()
        gateway.starts.append((now, chosen.key))
        load.add()
        engine.runs += 1
        engine.free_at = max(engine.free_at, now) + engine.prompt_s
        self._take_snapshot()
        if now > WARM_UP_S:
            self.figures.waits_s.append(engine.free_at - now)
            self.figures.oldest_s.append(gateway.exchange.view_age_s(now))
        await asyncio.sleep(engine.free_at - now)
        load.note_prompt_read()
        await asyncio.sleep(DECODE_S * self.rng.lognormvariate(0.0, DECODE_SIGMA))
        load.remove()
        engine.runs -= 1
        self._take_snapshot()

    def _candidates(self, gateway: ModelGateway) -> list[EngineCandidate]:
        others, found = RULES[self.rule](self, gateway), []
        uses_truth = self.rule in ("tree", "exact")
        parts, own = {}, 0
        if self.rule == "groups":
            estimator = gateway.exchange.estimator
            if SERVICE in estimator.parts:
                parts = estimator.parts[SERVICE][1]
                own = estimator.group.index % (max(parts.values()) + 1)
        for key, member in gateway.members.items():
            other = others.get(key, NO_USAGE)
            mine = NO_USAGE
            if not uses_truth:
                mine = EngineUsage(
                    member.in_flight, member.waiting_tokens, member.held_tokens
                )
            believed = mine.plus(other)
            if self.now() > WARM_UP_S and parts.get(key, own) == own:
                self.figures.errors.append(believed.runs - self.engines[key].runs)
            found.append(
                EngineCandidate(
                    key,
                    member.server.place,
                    believed.runs,
                    TRAITS.slots,
                    believed.waiting_tokens,
                    believed.held_tokens,
                    TRAITS.memory_tokens,
                )
            )
        return found

    def tree_age_s(self) -> float:
        """Return the mean age of sums that pass up to the root and down again."""
        hops = math.log(5 * self.count / len(REGIONS) + 1, TREE_FANOUT) - 1
        return (2 * hops + 1) * (TREE_INTERVAL_S / 2 + LOCAL_S) + 2 * REMOTE_S

    def snapshot(self, at: float) -> Usage:
        """Return the true usage of the engines at a time of the last seconds."""
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= at:
            self.snapshots.popleft()
        return self.snapshots[0][1] if self.snapshots else {}

    def _take_snapshot(self) -> None:
        if self.rule in ("tree", "exact"):
            now, usage = self.now(), {}
            for key, engine in self.engines.items():
                unread = max(engine.free_at - now, 0.0) / engine.prompt_s
                usage[key] = EngineUsage(
                    engine.runs,
                    math.ceil(unread) * PROMPT_TOKENS,
                    2 * engine.runs * NEEDED_TOKENS,
                )
            self.snapshots.append((now, usage))
