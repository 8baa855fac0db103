"""Selects the engines of the next attempt of a stream."""

from typing import TYPE_CHECKING

from monsoontack.gateway.fleet import Member
from monsoontack.gateway.records import KvCacheCopy
from monsoontack.gateway.streamattempt import Placement
from monsoontack.generation.failover import NextStep
from monsoontack.routing.placement import (
    EngineCandidate,
    PromptAffinity,
    choose_backup,
    choose_engine,
    slot_wait_s,
)

if TYPE_CHECKING:
    from monsoontack.gateway.streamrun import StreamRun


def place_attempt(run: "StreamRun", step: NextStep) -> Placement | None:
    """Return the engines of the next attempt, or None if no engine is available."""
    forwarder, job = run.forwarder, run.job
    loads = forwarder.engine_loads(job, set())
    members = forwarder.fleet.members
    copy = None
    member = run.copy_member() if step is NextStep.RESUME_COPY else None
    if member is not None:
        copy = KvCacheCopy(member.server.address, job.request.request_id)
        chosen = loads.get(member.server.incarnation)
    else:
        usable = [e for k, e in loads.items() if k not in run.asked.excluded]
        chosen = choose(run, {e.key: e for e in usable} or loads)
        if chosen is None:
            return None
        member = members[chosen.key]
    _record_prompt(run, member)
    backup = None
    if run.traits.supports_kv_backup and chosen is not None:
        others = [e for k, e in loads.items() if k not in run.asked.excluded]
        kept = choose_backup(others, chosen, run.needed_tokens, forwarder.rng)
        backup = members[kept.key] if kept is not None else None
    if chosen is None:
        return Placement(member, copy, backup, 0)
    ahead = chosen.waiting_tokens
    return Placement(member, copy, backup, ahead, slot_wait_s(chosen))


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
