"""Admission of a stream, and the engines of its next attempt."""

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from monsoontack.core.boundedid import bounded_id
from monsoontack.core.errors import RequestError
from monsoontack.gateway.fleet import Member
from monsoontack.gateway.records import KvCacheCopy
from monsoontack.gateway.streamattempt import OpenAttempt, Placement, StreamLoss
from monsoontack.gateway.streamoutcome import close_attempt
from monsoontack.generation.failover import NextStep
from monsoontack.routing.placement import (
    COPY_KV_SHARE,
    WAITING_COPY_KV_SHARE,
    EngineCandidate,
    PromptAffinity,
    choose_backup,
    choose_engine,
    slot_wait_s,
)
from monsoontack.scheduling.offer import EngineOffer
from monsoontack.scheduling.urgency import WaitingRequest

if TYPE_CHECKING:
    from monsoontack.gateway.streamrun import StreamRun

# Failure domains that restart one after the other do so within about 7 s of each other,
# so copies are worth their KV cache for some such intervals after a loss.
LOSS_MEMORY_S = 20.0


@dataclass(slots=True, repr=False)
class FirstAttempt:
    """The first attempt of a stream that waits at the gate."""

    run: "StreamRun"

    def begin(self, offer: EngineOffer) -> tuple[str, object] | None:
        """Open the attempt at an engine of the offer, if one can be used."""
        attempt = self.run.open_attempt(NextStep.RESTART, offer)
        if attempt is None:
            return None
        return attempt.member.server.incarnation, attempt

    def abandon(self, attempt: object) -> None:
        """End the counts of an attempt that will not be sent."""
        close_attempt(self.run, attempt, StreamLoss("unsent", not_run=True))


async def admit_stream(run: "StreamRun") -> OpenAttempt | RequestError | None:
    """Wait until an engine can begin a stream; return its attempt or its refusal.

    The result is None for streams that do not wait: those that go on after an event,
    and those of services whose streams all have the same priority. Raise
    CallerDisconnectedError if the caller leaves.
    """
    gate, job = run.forwarder.admission, run.job
    if not gate.is_in_force(job.service) or run.position.last_id is not None:
        return None
    account = job.account.name if job.account else ""
    prompt_name = run.segment_id and bounded_id(f"{account}:{run.segment_id}")
    names = (job.content.request, prompt_name)
    run.waiting_request = WaitingRequest(
        number=0,
        account=account,
        priority=job.priority,
        prompt_tokens=job.request.prompt_tokens,
        needed_tokens=run.needed_tokens,
        arrived_at=job.started_at,
        objective_at=job.started_at + job.route.objective_s,
        deadline_at=job.deadline_at,
        cached_at=run.forwarder.engine_of_prompt(run.segment_id),
        keys=tuple(name for name in names if name),
    )
    ends = job.responder.disconnected, job.ending
    stream = FirstAttempt(run)
    return await gate.enter(job.service, run.waiting_request, stream, *ends)


def place_attempt(
    run: "StreamRun", step: NextStep, offer: EngineOffer | None = None
) -> Placement | None:
    """Return the engines of the next attempt, or None if no engine is available.

    A stream that leaves the gate goes to an engine of the `offer`. Later attempts go to
    an engine that can begin them now if there is one, while streams of the service wait
    for their turn.
    """
    forwarder, job = run.forwarder, run.job
    loads = forwarder.engine_loads(job, set())
    members = forwarder.fleet.members
    copy = None
    member = run.copy_member() if step is NextStep.RESUME_COPY else None
    if member is not None:
        copy = KvCacheCopy(member.server.address, job.request.request_id)
        chosen = loads.get(member.server.incarnation)
    else:
        usable = run.asked.usable(loads, run.now())
        if offer is not None:
            usable = offer.choose(usable)
        elif run.waiting_request is not None:
            gate = forwarder.admission
            allowed = gate.with_room(job.service, run.waiting_request, usable)
            usable = {k: e for k, e in usable.items() if k in allowed} or usable
        chosen = choose(run, usable)
        if chosen is None:
            return None
        member = members[chosen.key]
    _record_prompt(run, member)
    run.asked.spend.note_sent(member.server.place, run.now())
    forwarder.fleet.evidence.note_sent(member, run.now())
    forwarder.fleet.paces.note_prompt(job.request.prompt_tokens)
    backup = None
    if run.traits.supports_kv_backup and chosen is not None:
        others = [e for k, e in loads.items() if k not in run.asked.excluded]
        kept = choose_backup(
            others, chosen, run.needed_tokens, forwarder.rng, _copy_kv_share(run)
        )
        backup = members[kept.key] if kept is not None else None
    if chosen is None:
        return Placement(member, copy, backup, 0)
    ahead = chosen.waiting_tokens
    return Placement(member, copy, backup, ahead, slot_wait_s(chosen))


def _copy_kv_share(run: "StreamRun") -> float:
    """Return the share of an engine's KV cache up to which it takes a copy."""
    admission, service = run.forwarder.admission, run.job.service
    if not admission.is_in_force(service):
        return math.inf
    lost_at = run.forwarder.fleet.lost_at.get(service, -math.inf)
    is_calm = run.now() > lost_at + LOSS_MEMORY_S
    if is_calm and admission.has_waiting(service):
        return WAITING_COPY_KV_SHARE
    return COPY_KV_SHARE


def choose(
    run: "StreamRun", loads: dict[str, EngineCandidate]
) -> EngineCandidate | None:
    """Return the best of these engines for a new start of the stream."""
    known = run.forwarder.engine_of_prompt(run.segment_id)
    tokens = run.job.request.prompt_tokens
    return choose_engine(
        list(loads.values()),
        run.forwarder.place,
        run.needed_tokens,
        run.forwarder.rng,
        PromptAffinity(run.segment_id, tokens, known),
    )


def _record_prompt(run: "StreamRun", member: Member) -> None:
    """Record the engine of the prompt, here and at the other entries."""
    if not run.segment_id:
        return
    run.forwarder.record_prompt(run.segment_id, member.limit_key)
    if run.forwarder.load_exchange is not None:
        run.forwarder.load_exchange.announce_prompt(run.segment_id, member)
