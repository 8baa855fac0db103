"""Calls to plain servers, placed with different knowledge of other gateways' calls.

Gateways place calls with the product's `Picker` at six servers of six slots, in the two
deployments of docs/hardload.md; at any time 15 in 100 servers of the second take 2.5
times as long, for 0.6 s each. What a gateway knows of its peers' calls:

* `own`: nothing, as in the product;
* `smoothed`: the mean of each peer's calls in flight at each server over the last
  seconds, as of a load message, which streams cause, and every 2 s at most;
* `current`: the number in flight as of that message;
* `exact`: all calls in flight at this moment, which no message can provide.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from bench.registry import Figure, measurement
from monsoontack.core.records import BackendServer, Place, RouteRequest, ServerState
from monsoontack.loadview.callload import REPORT_INTERVAL_S, SMOOTHING_S
from monsoontack.routing.linkbudget import EntryLinkBudget
from monsoontack.routing.picker import Picker

DOMAINS = tuple(Place(f"d{n}", "north" if n < 3 else "south") for n in range(6))
SLOTS, QUEUE = 6, 24
WORK_SIGMA, GATEWAY_SIGMA = 0.2, 0.5
SLOW_FACTOR, SLOW_S = 2.5, 0.6
# Time to a server and back, and to the caller and back.
OTHER_TIMES_S = 0.008
KNOWLEDGE = ("own", "smoothed", "current", "exact")
SIMULATED_S, TICK_S = 120.0, 0.2


@dataclass(frozen=True, slots=True)
class Deployment:
    """Load of one deployment, and the load messages that a gateway sends a second."""

    gateways: int
    calls_per_s: float
    work_s: float
    objective_s: float
    slow_share: float
    messages_per_s: float


# A stream causes three load messages: at its start, first event and end.
DEPLOYMENTS = {
    "first": Deployment(31, 120.0, 0.0225, 0.19, 0.0, 3 * 18 / 31),
    "second": Deployment(12, 116.0, 0.09, 0.4, 0.15, 3 * 10.7 / 12),
}


@dataclass(slots=True)
class ModelServer:
    """A server that runs calls in the order of their arrival."""

    slow_until: float = 0.0
    in_flight: int = 0
    running: int = 0
    queue: deque = field(default_factory=deque)


class CallModel:
    """Simulates the calls of a deployment under one kind of knowledge."""

    def __init__(self, deployment: Deployment, knowledge: str, seed: int, load: float):
        self.deployment, self.knowledge = deployment, knowledge
        self.rng, self.load = random.Random(seed), load
        self.servers = [ModelServer() for _ in DOMAINS]
        count, size = deployment.gateways, len(DOMAINS)
        self.records = [
            BackendServer(f"a{n}", "", "service", "s", (), DOMAINS[n], SLOTS)
            for n in range(size)
        ]
        link = [EntryLinkBudget.for_entries(count, 0.0) for _ in range(count)]
        self.pickers = [Picker(DOMAINS[n % size], link[n]) for n in range(count)]
        self.weights = [self.rng.lognormvariate(0, GATEWAY_SIGMA) for _ in range(count)]
        self.own = [[0] * size for _ in range(count)]
        self.means = [[0.0] * size for _ in range(count)]
        self.reports = [[0.0] * size for _ in range(count)]
        self.reported_at = [0.0] * count
        self.events: list[tuple] = []
        self.order = itertools.count()
        self.times_s: list[float] = []

    def run(self) -> float:
        """Return the share of late and refused calls."""
        rate = self.load * self.deployment.calls_per_s
        self._add(0.0, self._arrive, rate)
        self._add(0.0, self._tick)
        while self.events and self.events[0][0] < SIMULATED_S:
            at, _, action, arguments = heapq.heappop(self.events)
            action(at, *arguments)
        late = sum(time_s > self.deployment.objective_s for time_s in self.times_s)
        return late / len(self.times_s)

    def _add(self, at: float, action, *arguments) -> None:
        heapq.heappush(self.events, (at, next(self.order), action, arguments))

    def _tick(self, now: float) -> None:
        """Smooth the calls in flight, send load messages, begin slow periods."""
        deployment, keep = self.deployment, 1 - TICK_S / SMOOTHING_S
        for gateway, own in enumerate(self.own):
            means = self.means[gateway]
            means[:] = [
                keep * mean + (1 - keep) * count
                for mean, count in zip(means, own, strict=True)
            ]
            is_sent = self.rng.random() < deployment.messages_per_s * TICK_S
            if is_sent and now >= self.reported_at[gateway] + REPORT_INTERVAL_S:
                self.reported_at[gateway] = now
                is_smoothed = self.knowledge == "smoothed"
                self.reports[gateway][:] = means if is_smoothed else own
        share = deployment.slow_share
        begin = share / (1 - share) * TICK_S / SLOW_S
        for server in self.servers:
            if server.slow_until < now and self.rng.random() < begin:
                server.slow_until = now + SLOW_S
        self._add(now + TICK_S, self._tick)

    def _arrive(self, now: float, rate: float) -> None:
        self._add(now + self.rng.expovariate(rate), self._arrive, rate)
        gateway = self.rng.choices(range(len(self.own)), self.weights)[0]
        states = [
            ServerState(record, in_flight=self._known(gateway, number))
            for number, record in enumerate(self.records)
        ]
        request = RouteRequest(
            service="s", version="", account="", request_bytes=100, cause="call"
        )
        record = self.pickers[gateway].pick(request, states, now, self.rng).unwrap()
        number = self.records.index(record)
        server = self.servers[number]
        if server.running == SLOTS and len(server.queue) == QUEUE:
            self.times_s.append(float("inf"))
            return
        self.own[gateway][number] += 1
        server.in_flight += 1
        server.queue.append((now, gateway))
        self._run_next(now, number)

    def _known(self, gateway: int, number: int) -> float:
        if self.knowledge == "exact":
            return self.servers[number].in_flight
        known = self.own[gateway][number]
        if self.knowledge != "own":
            known += sum(
                report[number] for n, report in enumerate(self.reports) if n != gateway
            )
        return known

    def _run_next(self, now: float, number: int) -> None:
        server = self.servers[number]
        while server.queue and server.running < SLOTS:
            call = server.queue.popleft()
            server.running += 1
            work_s = self.deployment.work_s * self.rng.lognormvariate(0, WORK_SIGMA)
            work_s *= SLOW_FACTOR if now < server.slow_until else 1.0
            self._add(now + work_s, self._end, number, *call)

    def _end(self, now: float, number: int, began_at: float, gateway: int) -> None:
        server = self.servers[number]
        server.running -= 1
        server.in_flight -= 1
        self.own[gateway][number] -= 1
        self.times_s.append(now - began_at + OTHER_TIMES_S)
        self._run_next(now, number)


@measurement("callview")
def measure(seed: int) -> Iterator[Figure]:
    """Compare what a gateway may know of calls, at the stated and twice the load."""
    for name, deployment in DEPLOYMENTS.items():
        for load in (1.0, 2.0):
            for knowledge in KNOWLEDGE:
                late = CallModel(deployment, knowledge, seed, load).run()
                figure = f"callview.{name}.load_{load:g}.{knowledge}.late"
                yield Figure(figure, 100 * late, "%")
