"""Calls of several gateways to six plain servers that are slow now and then.

12 gateways with unequal shares of the callers send 116 calls a second of 90 ms of work
to 6 servers of 6 slots in 6 failure domains of 2 regions. At any time about 15 in 100
servers take 2.5 times as long, for 600 ms at a time; 1.6 in 100 attempts fail or take
three times as long. The gateways use the product's picker and hedging. `before` is the
earlier decision: the server of the own failure domain, and a hedge at the 95th
percentile. The answer is due in 0.4 s.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from bench.registry import Figure, measurement
from monsoontack.admission.hedge import Hedging
from monsoontack.core.records import BackendServer, Place, RouteRequest, ServerState
from monsoontack.routing.calltimes import CallTimes
from monsoontack.routing.linkbudget import EntryLinkBudget
from monsoontack.routing.picker import Picker

GATEWAYS, SERVERS, SLOTS, QUEUE = 12, 6, 6, 24
PLACES = tuple(Place(f"d{n}", "north" if n < 3 else "south") for n in range(6))
CALLS_PER_S, IDEMPOTENT_SHARE, WORK_S = 116.0, 0.285, 0.09
OBJECTIVE_S, DEADLINE_S, ATTEMPTS = 0.4, 5.0, 3
SLOW_FACTOR, SLOW_S, SLOW_SHARE = 2.5, 0.6, 0.15
ERROR_SHARE = NOISE_SHARE = 0.008
NOISE_FACTOR = 3.0
HOP_S, REGION_HOP_S, CALLER_S = 0.001, 0.012, 0.003
WARM_UP_S, SIMULATED_S = 10.0, 130.0
# Shares of the callers, as a hash distributes them unevenly.
WEIGHTS = (0.4, 0.5, 0.6, 0.8, 0.9, 1.0, 1.0, 1.1, 1.2, 1.4, 1.5, 1.6)


@dataclass(slots=True)
class ModelServer:
    """A server with slots, a queue and slow spells; times are in seconds."""

    record: BackendServer
    running: int = 0
    queue: list["ModelAttempt"] = field(default_factory=list)
    slow_until: float = 0.0


@dataclass(slots=True)
class ModelCall:
    """One call; `answered_s` is its time from the caller's view, None if it failed."""

    gateway: "ModelGateway"
    started_at: float
    is_idempotent: bool
    excluded: set[str] = field(default_factory=set)
    attempts: int = 0
    running: int = 0
    answered_s: float | None = None


@dataclass(slots=True)
class ModelAttempt:
    """One attempt of a call; `number` is that of the measured times."""

    call: ModelCall
    server: ModelServer
    hop_s: float
    sent_at: float
    number: int


@dataclass(slots=True)
class ModelGateway:
    """A gateway with its own view of the calls in flight."""

    place: Place
    picker: Picker
    times: CallTimes
    hedging: Hedging = field(default_factory=Hedging)
    in_flight: dict[str, int] = field(default_factory=dict)


class CallModel:
    """Discrete-event model; with `is_new` the gateways use the measured times."""

    def __init__(
        self, seed: int, is_new: bool, load: float = 1.0, slow_share: float = SLOW_SHARE
    ) -> None:
        self.rng = random.Random(seed)
        self.arrivals = random.Random(seed + 1000)
        self.spells = random.Random(seed + 2000)
        self.is_new = is_new
        self.load = load
        self.slow_share = slow_share
        self.now = 0.0
        self.events: list[tuple[float, int, Callable, tuple]] = []
        self.order = itertools.count()
        self.sends = 0
        self.far_sends = 0
        self.calls: list[ModelCall] = []
        self.servers = {}
        for n in range(SERVERS):
            record = BackendServer(
                f"s{n}", "", "service", "svc", ("v1",), PLACES[n], SLOTS
            )
            self.servers[record.start_key] = ModelServer(record)
        self.gateways = []
        for n in range(GATEWAYS):
            times = CallTimes()
            picker = Picker(PLACES[n % 6], EntryLinkBudget.for_entries(6, 0.0))
            picker.times = times if is_new else None
            self.gateways.append(ModelGateway(PLACES[n % 6], picker, times))
        self.rng.shuffle(self.gateways)

    def at(self, when: float, action: Callable, *args: object) -> None:
        """Run an action at a time."""
        heapq.heappush(self.events, (when, next(self.order), action, args))

    def run(self) -> None:
        """Simulate all calls."""
        for server in self.servers.values():
            self.at(self.spells.random(), self.begin_spell, server)
        self.at(0.0, self.arrive)
        while self.events:
            self.now, _, action, args = heapq.heappop(self.events)
            if self.now > SIMULATED_S + DEADLINE_S:
                break
            action(*args)

    def begin_spell(self, server: ModelServer) -> None:
        """Make a server slow for a while if it is its turn; try again later."""
        if self.spells.random() < self.slow_share:
            server.slow_until = self.now + SLOW_S
        self.at(self.now + SLOW_S, self.begin_spell, server)

    def arrive(self) -> None:
        """Let a caller send a call."""
        if self.now < SIMULATED_S:
            gap_s = self.arrivals.expovariate(self.load * CALLS_PER_S)
            self.at(self.now + gap_s, self.arrive)
        rng = self.arrivals
        gateway = rng.choices(self.gateways, WEIGHTS)[0]
        call = ModelCall(gateway, self.now, rng.random() < IDEMPOTENT_SHARE)
        self.calls.append(call)
        objective_s = OBJECTIVE_S if self.is_new else 0.0
        delay_s = gateway.hedging.delay_s("svc", call.is_idempotent, objective_s)
        self.send(call)
        if call.is_idempotent:
            self.at(self.now + (delay_s or 0.5 * OBJECTIVE_S), self.hedge, call)

    def hedge(self, call: ModelCall) -> None:
        """Send a late call a second time."""
        if call.answered_s is None and call.running:
            self.send(call)

    def send(self, call: ModelCall) -> None:
        """Send a call to the server that the picker chooses."""
        gateway = call.gateway
        if call.attempts >= ATTEMPTS:
            return
        states = [
            ServerState(s.record, in_flight=gateway.in_flight.get(key, 0))
            for key, s in self.servers.items()
            if key not in call.excluded
        ]
        request = RouteRequest("svc", "", "", request_bytes=500, cause="call")
        record = gateway.picker.pick(request, states, self.now, self.rng).value_or(None)
        if record is None:
            return
        server = self.servers[record.start_key]
        hop_s = HOP_S if record.place.region == gateway.place.region else REGION_HOP_S
        call.attempts += 1
        call.running += 1
        call.excluded.add(record.start_key)
        key = record.start_key
        gateway.in_flight[key] = gateway.in_flight.get(key, 0) + 1
        number = gateway.times.of_service("svc").begin(key, self.now)
        self.sends += 1
        self.far_sends += record.place != gateway.place
        attempt = ModelAttempt(call, server, hop_s, self.now, number)
        self.at(self.now + hop_s, self.reach, attempt)

    def reach(self, attempt: ModelAttempt) -> None:
        """Queue an attempt at its server."""
        server = attempt.server
        if server.running < SLOTS:
            self.start(attempt)
        elif len(server.queue) < QUEUE:
            server.queue.append(attempt)
        else:
            self.at(self.now + attempt.hop_s, self.end, attempt, "full")

    def start(self, attempt: ModelAttempt) -> None:
        """Let the server work on an attempt."""
        server, rng = attempt.server, self.rng
        server.running += 1
        work_s = WORK_S * rng.lognormvariate(0.0, 0.1)
        if self.now < server.slow_until:
            work_s *= SLOW_FACTOR
        if rng.random() < NOISE_SHARE:
            work_s *= NOISE_FACTOR
        self.at(self.now + work_s, self.finish, attempt)

    def finish(self, attempt: ModelAttempt) -> None:
        """End the work on an attempt, and begin the next one."""
        server = attempt.server
        server.running -= 1
        result = "error" if self.rng.random() < ERROR_SHARE else "ok"
        self.at(self.now + attempt.hop_s, self.end, attempt, result)
        if server.queue:
            self.start(server.queue.pop(0))

    def end(self, attempt: ModelAttempt, result: str) -> None:
        """Give an attempt's result to its gateway."""
        call, gateway = attempt.call, attempt.call.gateway
        key = attempt.server.record.start_key
        gateway.in_flight[key] -= 1
        call.running -= 1
        times = gateway.times.of_service("svc")
        times.end(key, attempt.number, self.now, result == "ok")
        if call.is_idempotent:
            gateway.hedging.record("svc", self.now - attempt.sent_at)
        if call.answered_s is not None:
            return
        if result == "ok":
            call.answered_s = self.now - call.started_at + 2 * CALLER_S
        elif call.is_idempotent or result == "full":
            self.send(call)


def figures(model: CallModel) -> dict[str, float]:
    """Return what became of the calls after the warm-up."""
    calls = [
        c for c in model.calls if WARM_UP_S < c.started_at < SIMULATED_S - DEADLINE_S
    ]
    found = {}
    for kind in (True, False):
        of_kind = [c for c in calls if c.is_idempotent == kind]
        name = "idempotent" if kind else "other"
        late = sum(c.answered_s is not None and c.answered_s > 0.4 for c in of_kind)
        failed = sum(c.answered_s is None for c in of_kind)
        found[f"{name}.late"] = late / len(of_kind)
        found[f"{name}.failed"] = failed / len(of_kind)
    taken = sorted(c.answered_s for c in calls if c.answered_s is not None)
    found["median_s"] = taken[len(taken) // 2]
    found["repeats"] = model.sends / len(model.calls) - 1
    found["other_domain"] = model.far_sends / model.sends
    return found


@measurement("callplacement")
def measure(seed: int) -> Iterator[Figure]:
    """Compare the decision by measured times with the earlier one."""
    for load, slow_share in ((1.0, SLOW_SHARE), (2.0, SLOW_SHARE), (1.0, 0.0)):
        for name, is_new in (("before", False), ("measured", True)):
            model = CallModel(seed, is_new, load, slow_share)
            model.run()
            for figure, value in figures(model).items():
                unit = "s" if figure.endswith("_s") else "share"
                prefix = f"callplacement.load{load:g}.slow{slow_share:g}.{name}"
                yield Figure(f"{prefix}.{figure}", value, unit)
