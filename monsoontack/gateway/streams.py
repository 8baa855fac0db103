"""Streams of generations: placement, events as they come, and going on elsewhere.

Each run keeps a copy of its memory at an engine of another failure domain. When
the run's engine breaks off, refuses or falls silent, the stream goes on at the
copy after the last whole event, within the same answer. The former connection is
reset first, so that no two engines work on one run.
"""

import random
from dataclasses import dataclass, field
from itertools import islice

from monsoontack.core.records import Place
from monsoontack.gateway.budgets import RetryBudgets
from monsoontack.gateway.fleet import BackendFleet
from monsoontack.gateway.job import Job
from monsoontack.gateway.loadexchange import NO_USAGE, LoadExchange
from monsoontack.gateway.records import (
    EngineTraits,
    ServiceTraits,
)
from monsoontack.gateway.rollouts import RolloutManager
from monsoontack.gateway.sender import Sender
from monsoontack.gateway.streamrun import StreamRun
from monsoontack.generation.pace import Pace
from monsoontack.routing.placement import (
    EngineLoad,
)

# Time of a whole stream before one was seen.
INITIAL_STREAM_S = 6.0
STREAM_TIME_WEIGHT = 0.1
# Prompts whose engine is remembered; engines forget them within seconds of load.
MAX_REMEMBERED = 2000
# Prompts that an entry which just started is told: those of some 10 s.
MAX_TOLD_PROMPTS = 200


@dataclass(slots=True)
class StreamForwarder:
    """Serves streams.

    `traits` are those of the services by name, `smoothed_duration_s` is the smoothed
    time of a whole stream.
    """

    place: Place
    fleet: BackendFleet
    sender: Sender
    budgets: RetryBudgets
    rng: random.Random
    traits: dict[str, ServiceTraits] = field(default_factory=dict)
    paces: dict[str, Pace] = field(default_factory=dict)
    smoothed_duration_s: float = INITIAL_STREAM_S
    rollouts: RolloutManager | None = None
    sent_to: dict[str, str] = field(default_factory=dict)
    load_exchange: LoadExchange | None = None

    async def serve(self, job: Job) -> None:
        """Serve one stream."""
        await StreamRun(self, job).serve()
        if job.outcome == "streamed":
            took_s = self.sender.now() - job.started_at
            self.smoothed_duration_s += STREAM_TIME_WEIGHT * (
                took_s - self.smoothed_duration_s
            )

    def pace(self, service: str) -> Pace:
        """Return the pace of a service's engines."""
        return self.paces.setdefault(service, Pace())

    def engine_traits(self, service: str) -> EngineTraits:
        """Return the traits of a service's engines."""
        traits = self.traits.get(service)
        if traits is None or traits.engine is None:
            return EngineTraits(slots=1, memory_tokens=0)
        return traits.engine

    def share_load_with_peers(self, load_exchange: LoadExchange) -> None:
        """Exchange the load of engines with other entries."""
        self.load_exchange = load_exchange
        load_exchange.on_prompt = self.remember
        load_exchange.on_failed = self.heard_failed
        load_exchange.recent_prompts = self.recent_prompts
        self.fleet.on_failed = load_exchange.announce_failure

    def heard_failed(self, incarnation: str) -> None:
        """Take over that an engine failed another entry."""
        self.fleet.note_reported_unreachable(incarnation, self.sender.now())

    def recent_prompts(self) -> dict[str, str]:
        """Return the engines of the prompts that were sent last."""
        first = max(len(self.sent_to) - MAX_TOLD_PROMPTS, 0)
        return dict(islice(self.sent_to.items(), first, None))

    def remember(self, part: str, incarnation: str) -> None:
        """Note which engine a prompt was sent to; the oldest notes are dropped."""
        self.sent_to.pop(part, None)
        self.sent_to[part] = incarnation
        if len(self.sent_to) > MAX_REMEMBERED:
            del self.sent_to[next(iter(self.sent_to))]

    def loads(self, job: Job, excluded: set[str]) -> dict[str, EngineLoad]:
        """Return the engines that may run a stream, by incarnation."""
        now = self.sender.now()
        traits = self.engine_traits(job.service)
        loads = {}
        others = (
            {}
            if self.load_exchange is None
            else self.load_exchange.peer_loads.totals(now)
        )
        members = self.fleet.of_service(job.service)
        if self.rollouts is not None:
            members = self.rollouts.eligible_servers(job.service, members)
        for member in members:
            server = member.server
            if server.incarnation in excluded:
                continue
            other = others.get(server.incarnation, NO_USAGE)
            loads[server.incarnation] = EngineLoad(
                key=server.incarnation,
                place=server.place,
                in_flight=member.in_flight + other.runs,
                slots=server.slots or traits.slots,
                waiting_tokens=member.waiting_tokens + other.waiting_tokens,
                held_tokens=member.held_tokens + other.held_tokens,
                memory_tokens=traits.memory_tokens or 10**9,
                avoided=now < member.avoid_until,
                doubtful=member.is_suspect(now),
                share=self.fleet.ejection.share(server.address, now),
            )
        return loads
