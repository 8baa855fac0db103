"""Forwarding of generation streams: engine placement, event relay and failover.

Each run keeps a copy of its KV cache at an engine of another failure domain. If the
run's engine fails or rejects the run, the stream resumes at the engine with the copy,
after the last complete event and within the same response. If the engine stops sending
events, the stream does so once another engine is better, and waits until then. The
connection to the first engine is reset soon after, so that two engines do not work on
one run. A silent engine is left only for a better one, since it may go on.
"""

import random
from dataclasses import dataclass, field
from itertools import islice

from monsoontack.core.records import Place
from monsoontack.gateway.budgets import RetryBudgets
from monsoontack.gateway.crashdetector import CrashDetector
from monsoontack.gateway.fleet import BackendFleet, Member
from monsoontack.gateway.job import Job
from monsoontack.gateway.records import (
    EngineTraits,
    GatewayConfig,
    ServiceTraits,
)
from monsoontack.gateway.rollouts import RolloutManager
from monsoontack.gateway.routes import stream_priorities
from monsoontack.gateway.sender import Sender
from monsoontack.gateway.streamrun import StreamRun
from monsoontack.generation.streamtimeouts import StreamTimeouts
from monsoontack.loadview.exchange import NO_USAGE, EngineUsage, LoadExchange
from monsoontack.routing.enginespeeds import EngineSpeeds
from monsoontack.routing.placement import (
    EngineCandidate,
)
from monsoontack.scheduling.gate import AdmissionGate

# Under load, engines evict a prompt within seconds, so older ones are not needed.
MAX_REMEMBERED_PROMPTS = 2000
# Prompts sent to an entry that has just started: those of about the last 10 s.
MAX_ANNOUNCED_PROMPTS = 200


@dataclass(slots=True, repr=False)
class StreamForwarder:
    """Serves streams.

    `traits` maps the names of services to their traits, `prompt_engines` the ids of
    prompt segments to the starts of the engines that got them last. At `admission`,
    streams of services with different priorities wait for their turn.
    """

    place: Place
    fleet: BackendFleet
    sender: Sender
    budgets: RetryBudgets
    rng: random.Random
    traits: dict[str, ServiceTraits] = field(default_factory=dict)
    stream_timeouts_by_service: dict[str, StreamTimeouts] = field(default_factory=dict)
    rollouts: RolloutManager | None = None
    prompt_engines: dict[str, str] = field(default_factory=dict)
    load_exchange: LoadExchange | None = None
    speeds: EngineSpeeds = field(default_factory=EngineSpeeds)
    crash_detector: CrashDetector = field(init=False)
    admission: AdmissionGate = field(init=False)

    def __post_init__(self) -> None:
        """Create the detector of crashed engines, and the gate for streams."""
        self.crash_detector = CrashDetector(self.sender)
        self.admission = AdmissionGate(
            lambda service: self.service_loads(service, set()), self.rng
        )
        self.fleet.on_added = lambda member: self.admission.wake(member.server.service)

    def configure(self, config: GatewayConfig) -> None:
        """Apply the services and priorities of a new configuration."""
        self.traits = dict(config.services)
        self.admission.configure(stream_priorities(config))

    async def serve(self, job: Job) -> None:
        """Serve one stream."""
        await StreamRun(self, job).serve()

    def stream_timeouts(self, service: str) -> StreamTimeouts:
        """Return the event timing statistics of a service's engines."""
        return self.stream_timeouts_by_service.setdefault(service, StreamTimeouts())

    def engine_traits(self, service: str) -> EngineTraits:
        """Return the traits of a service's engines."""
        traits = self.traits.get(service)
        if traits is None or traits.engine is None:
            return EngineTraits(slots=1, memory_tokens=0)
        return traits.engine

    def share_load_with_peers(self, load_exchange: LoadExchange) -> None:
        """Start to exchange engine load, failures and prompts with other entries."""
        self.load_exchange = load_exchange
        load_exchange.on_prompt = self.record_prompt
        load_exchange.on_failed = self.note_peer_failure
        load_exchange.recent_prompts = self.recent_prompts
        load_exchange.on_report = self.admission.wake_all
        load_exchange.own_waiting = self.admission.own_waiting
        self.admission.peer_waiting = load_exchange.peer_waiting
        self.admission.on_waiting_changed = load_exchange.mark_waiting_changed
        self.admission.own_factor = load_exchange.unheard_factor
        self.fleet.on_failed = load_exchange.announce_failure
        self.fleet.on_outdated = load_exchange.announce_stale
        self.fleet.on_answered = load_exchange.announce_alive
        self.fleet.paces.on_answered = load_exchange.announce_alive
        load_exchange.on_stale = self.note_peer_stale
        load_exchange.on_alive = self.note_peer_alive

    def note_peer_failure(self, start_key: str) -> None:
        """Mark an engine as suspect because another entry reports its failure."""
        self.fleet.note_reported_unreachable(start_key, self.sender.now())

    def note_peer_stale(self, start_key: str) -> None:
        """Remove a start of a server that is gone, as another entry reports."""
        self.fleet.note_reported_outdated(start_key, self.sender.now())

    def note_peer_alive(self, start_key: str) -> None:
        """End the doubt about a server that has answered another entry."""
        self.fleet.note_reported_alive(start_key, self.sender.now())

    def recent_prompts(self) -> dict[str, str]:
        """Return the engine starts of the most recent prompts by segment id."""
        first = max(len(self.prompt_engines) - MAX_ANNOUNCED_PROMPTS, 0)
        return dict(islice(self.prompt_engines.items(), first, None))

    def record_prompt(self, segment_id: str, start_key: str) -> None:
        """Record the engine that got a prompt; the oldest records are evicted."""
        self.prompt_engines.pop(segment_id, None)
        self.prompt_engines[segment_id] = start_key
        if len(self.prompt_engines) > MAX_REMEMBERED_PROMPTS:
            del self.prompt_engines[next(iter(self.prompt_engines))]

    def engine_of_prompt(self, segment_id: str) -> str | None:
        """Return the incarnation of the engine that got a prompt, if it still runs."""
        member = self.fleet.starts.get(self.prompt_engines.get(segment_id, ""))
        return None if member is None else member.server.incarnation

    def engine_loads(self, job: Job, excluded: set[str]) -> dict[str, EngineCandidate]:
        """Return the load of each engine that may run a stream, by incarnation."""
        return self.service_loads(job.service, excluded)

    def service_loads(
        self, service: str, excluded: set[str]
    ) -> dict[str, EngineCandidate]:
        """Return the load of a service's engines, by incarnation, but the excluded.

        Engines with a stated limit are left out unless this entry has a permit.
        """
        now = self.sender.now()
        traits = self.engine_traits(service)
        loads = {}
        speeds = self.speeds.of_service(service, now)
        members = self.fleet.of_service(service)
        doubtful = self.fleet.doubtful(members, now)
        others = {}
        if self.load_exchange is not None:
            others = self.load_exchange.others_usage(service, members, traits, now)
        if self.rollouts is not None:
            members = self.rollouts.eligible_servers(
                service,
                members,
                lambda member: self.sender.gate.may_send(member.limit_key, now),
            )
        for member in members:
            server = member.server
            if server.incarnation in excluded:
                continue
            if not self.sender.gate.may_send(member.limit_key, now):
                continue
            other = others.get(member.limit_key, NO_USAGE)
            slowness = speeds.factor(member.limit_key)
            room = self._pace_room(member, other, now)
            loads[server.incarnation] = EngineCandidate(
                key=server.incarnation,
                place=server.place,
                in_flight=member.in_flight + other.runs,
                slots=server.slots or traits.slots,
                waiting_tokens=member.waiting_tokens + other.waiting_tokens,
                held_tokens=member.held_tokens + other.held_tokens,
                memory_tokens=traits.memory_tokens or 10**9,
                avoided=now < member.avoid_until,
                suspect=member.is_suspect(now),
                traffic_share=self.fleet.ejection.traffic_share(server.start_key, now),
                doubtful=member.limit_key in doubtful,
                prefill_s_per_token=slowness * speeds.prefill_s_per_token,
                step_s=slowness * speeds.step_s,
                pace_room=room,
                in_turn=bool(room) and self.fleet.paces.pulls,
            )
        return loads

    def _pace_room(self, member: Member, other: EngineUsage, now: float) -> int | None:
        """Return how many prompts an engine may get that is paced, else None."""
        paces, own = self.fleet.paces, member.waiting_tokens
        if not paces.is_paced(member):
            return None
        waiting = paces.unread(own), paces.unread(own + other.waiting_tokens)
        return paces.room(member, *waiting, now)
