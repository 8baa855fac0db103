"""Wires the rollout guard and the rollout controller into an entry."""

from collections import Counter
from collections.abc import Coroutine

from monsoontack.controller.rollouts import RolloutRunner
from monsoontack.entry.context import EntryContext
from monsoontack.entry.control import ControlPlane
from monsoontack.entry.defaults import OutcomeCounter
from monsoontack.entry.engines import LinkedEngines
from monsoontack.entry.generations import GenerationManager
from monsoontack.entry.gossip import Gossip
from monsoontack.entry.rolloutguard import EntryGuard, GuardedPicker
from monsoontack.entry.vmlist import VmListPoller


def guard_parts(parts, gossip: Gossip) -> EntryGuard:
    """Put the guard between the entry and the decisions in `parts`.

    `parts.picker` must be set.
    """
    guard = EntryGuard(gossip, parts.outcomes or OutcomeCounter())
    parts.outcomes = guard
    parts.picker = GuardedPicker(parts.picker, guard)
    return guard


def rollout_work(
    guard: EntryGuard,
    control: ControlPlane,
    context: EntryContext,
    finder: VmListPoller,
) -> list[Coroutine]:
    """Connect guard and controller with the entry; return their loops."""
    guard.running = lambda: running_versions(context.generations)
    guard.servers = context.pool.servers
    engines = LinkedEngines(context.pool, lambda: finder.records)
    settings = context.settings
    runner = RolloutRunner(
        control.controller,
        engines,
        settings.weight_load_bytes_s,
        settings.rollout_min_step_s,
    )
    engines.on_order_result = runner.on_order_result
    context.generations.order_results = engines.on_result
    control.guard = guard
    return [guard.run(), runner.run()]


def running_versions(generations: GenerationManager) -> Counter:
    """Count the running generations by service and version."""
    return Counter(
        (session.request.route.service, session.attempt_log.version)
        for session in generations.sessions.values()
    )
