"""Connects the rollout guard and the rollout controller to an entry."""

from collections import Counter
from collections.abc import Coroutine

from monsoontack.controller.rollouts import RolloutRunner
from monsoontack.entry.context import EntryContext
from monsoontack.entry.control import ControlPlane
from monsoontack.entry.defaults import OutcomeCounter
from monsoontack.entry.engines import LinkedEngines
from monsoontack.entry.generations import GenerationManager
from monsoontack.entry.gossip import Gossip
from monsoontack.entry.rolloutguard import EntryRolloutGuard, GuardedPicker
from monsoontack.entry.vmlist import VmListPoller


def add_rollout_guard(components, gossip: Gossip) -> EntryRolloutGuard:
    """Wrap the picker and the outcome sink in `components` with a rollout guard.

    `components.picker` must be set.
    """
    guard = EntryRolloutGuard(gossip, components.outcomes or OutcomeCounter())
    components.outcomes = guard
    components.picker = GuardedPicker(components.picker, guard)
    return guard


def connect_rollouts(
    guard: EntryRolloutGuard,
    control: ControlPlane,
    context: EntryContext,
    poller: VmListPoller,
) -> list[Coroutine]:
    """Connect the guard and the controller to the entry; return their run loops."""
    guard.running_counts = lambda: running_versions(context.generations)
    guard.linked_servers = context.pool.servers
    engines = LinkedEngines(context.pool, lambda: poller.records)
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
