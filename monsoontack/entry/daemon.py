"""Entry daemon: builds its components, runs them, and drains on SIGTERM."""

import asyncio
import contextlib
import random
import signal
from dataclasses import dataclass

import aiohttp
import structlog
import uvicorn

from monsoontack.admission.admit import Admission as FairAdmission
from monsoontack.core.callbacks import log_loop_errors
from monsoontack.core.counters import Counters
from monsoontack.core.records import Place
from monsoontack.entry.app import caller_app, operator_app
from monsoontack.entry.context import EntryContext
from monsoontack.entry.control import ControlPlane
from monsoontack.entry.defaults import (
    OutcomeCounter,
    RefusingCallRunner,
)
from monsoontack.entry.dispatch import LinkDispatcher
from monsoontack.entry.generations import GenerationManager
from monsoontack.entry.links import LinkIdentity, LinkPool, SilenceLimits
from monsoontack.entry.protocols import (
    Admission,
    CallRunner,
    ConfigSource,
    OutcomeSink,
    Picker,
)
from monsoontack.entry.rollouts import add_rollout_guard, connect_rollouts
from monsoontack.entry.routedpicker import RoutedPicker
from monsoontack.entry.vmlist import VmListPoller
from monsoontack.generation.progress import MONITOR_INTERVAL_S, ProcessPauseDetector
from monsoontack.inbound.agentshttp import LimitedHttpProtocol
from monsoontack.ledger.service import Ledger
from monsoontack.settings.models import EntrySettings
from monsoontack.store.api import ObjectStore

log = structlog.get_logger("entry.daemon")

# Time for streams to finish on their own before they are handed over.
HANDOVER_DELAY_S = 1.0
# Reserved before the drain deadline for closing connections.
CLOSE_TIMEOUT_S = 1.0
DRAIN_CHECK_INTERVAL_S = 0.05
METRICS_PREFIX = "monsoontack.entry"
# Interval of sending to statsd and of updates from the VM list.
UPDATE_INTERVAL_S = 1.0


@dataclass(slots=True, repr=False)
class EntryComponents:
    """Replaceable components; None selects the default implementation."""

    config: ConfigSource | None = None
    picker: Picker | None = None
    admission: Admission | None = None
    calls: CallRunner | None = None
    store: ObjectStore | None = None
    outcomes: OutcomeSink | None = None
    routing: RoutedPicker | None = None


class ServerWithoutSignalHandlers(uvicorn.Server):
    """HTTP server that leaves signal handling to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Override the base class to install no signal handlers."""
        yield


def add_routing(components: EntryComponents, place: Place) -> RoutedPicker:
    """Set a `RoutedPicker` for an entry at `place` as the picker."""
    components.routing = RoutedPicker(place, random.Random())
    components.picker = components.routing
    return components.routing


def build_context(
    settings: EntrySettings, components: EntryComponents, config: ConfigSource
) -> EntryContext:
    """Build and connect the components of an entry."""
    rng = random.Random()
    counters = Counters.from_address(settings.statsd_address, METRICS_PREFIX)
    place = Place(settings.failure_domain, settings.region)
    picker = components.picker or add_routing(components, place)
    outcomes = components.outcomes or OutcomeCounter()
    generations = GenerationManager(picker, outcomes, counters, rng)
    if components.routing is not None:
        generations.on_link_up = components.routing.on_link_up
        generations.cache_events = components.routing.cache_events
        generations.record_success = components.routing.record_success
    identity = LinkIdentity(settings.name, place)
    pool = LinkPool(identity, generations, rng, SilenceLimits.from_settings(settings))
    generations.pool = pool
    dispatcher = LinkDispatcher(pool, picker, outcomes, config.view, rng)
    generations.on_call_result = dispatcher.on_result
    generations.on_calls_lost = dispatcher.on_link_lost
    pool.in_flight = lambda address: (
        generations.in_flight(address) + dispatcher.in_flight(address)
    )
    pool.awaited_addresses = lambda: (
        generations.awaited_addresses() | dispatcher.awaited_addresses()
    )
    calls = components.calls
    if calls is None and components.store is not None:
        calls = Ledger(
            components.store, dispatcher, dispatch_window_s=settings.dispatch_window_s
        )
    return EntryContext(
        settings=settings,
        config=config,
        picker=picker,
        admission=components.admission or FairAdmission(),
        calls=calls or RefusingCallRunner(),
        outcomes=outcomes,
        counters=counters,
        generations=generations,
        pool=pool,
        rng=rng,
        routing=components.routing,
    )


async def run(
    settings: EntrySettings, components: EntryComponents | None = None
) -> None:
    """Run an entry until SIGTERM or SIGINT, then drain and return."""
    components = components or EntryComponents()
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    log_loop_errors(loop)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    async with aiohttp.ClientSession() as http:
        control = None
        if components.config is None:
            control = ControlPlane.from_settings(settings, random.Random())
            components.store = components.store or control.store
            if components.picker is None:
                add_routing(components, Place(settings.failure_domain, settings.region))
            guard = add_rollout_guard(components, control.gossip)
        context = build_context(
            settings, components, components.config or control.gossip
        )
        poller = VmListPoller(settings, http, context.pool)
        context.generations.is_known = poller.is_known
        coroutines = [poller.run(), _monitor(context), _flush(context)]
        coroutines.append(_update_fleet_size(context, poller, components.routing))
        if isinstance(context.calls, Ledger):
            coroutines.append(_update_write_budget(context.calls, poller))
        if control is not None:
            context.control = control
            poller.listeners.append(control.set_vms)
            coroutines.append(control.run())
            coroutines += connect_rollouts(guard, control, context, poller)
        tasks = [asyncio.ensure_future(item) for item in coroutines]
        servers = [
            _server(caller_app(context), settings.http_address),
            _server(operator_app(context), settings.operator_address),
        ]
        server_tasks = [asyncio.ensure_future(server.serve()) for server in servers]
        log.info("entry started", name=settings.name, address=settings.http_address)
        stop_task = asyncio.ensure_future(stop_requested.wait())
        await asyncio.wait(
            [stop_task, *server_tasks, *tasks], return_when="FIRST_COMPLETED"
        )
        _log_failures(tasks)
        # Set first, because the release of the lease waits for the store.
        context.draining = True
        started = context.now()
        if control is not None:
            await control.release()
        await _drain(context, started)
        await _stop(servers, server_tasks, [stop_task, *tasks], context)
    log.info("entry stopped", name=settings.name)


def _log_failures(tasks: list[asyncio.Future]) -> None:
    """Log the exceptions of failed tasks; such a failure ends the daemon."""
    for task in tasks:
        if task.done() and not task.cancelled() and task.exception() is not None:
            log.error("background task of the entry failed", exc_info=task.exception())


def _server(app, address: str) -> ServerWithoutSignalHandlers:
    host, _, port = address.rpartition(":")
    config = uvicorn.Config(
        app,
        host=host.strip("[]"),
        port=int(port),
        loop="none",
        http=LimitedHttpProtocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        timeout_graceful_shutdown=CLOSE_TIMEOUT_S,
    )
    return ServerWithoutSignalHandlers(config)


async def _monitor(context: EntryContext) -> None:
    pause = ProcessPauseDetector(context.now())
    while True:
        await asyncio.sleep(MONITOR_INTERVAL_S)
        now = context.now()
        if pause.tick(now):
            log.warning("process was paused; restarting the silence timers of links")
            context.pool.restart_silence_timers(now)
            continue
        context.pool.tick(now)
        context.generations.tick(now)


async def _update_write_budget(ledger: Ledger, poller: VmListPoller) -> None:
    """Divide the fleet's write budget for call records among the live entries."""
    while True:
        entries = [r for r in poller.records if r.role == "entry" and r.state == "live"]
        ledger.budget.live_entries = max(len(entries), 1)
        await asyncio.sleep(UPDATE_INTERVAL_S)


async def _update_fleet_size(
    context: EntryContext, poller: VmListPoller, routing: RoutedPicker | None
) -> None:
    """Update admission and routing with the accounts and the fleet size."""
    while True:
        entries = [r for r in poller.records if r.role == "entry" and r.state == "live"]
        live = max(len(entries), 1)
        region = context.settings.region
        in_region = max(sum(r.place.region == region for r in entries), 1)
        context.admission.configure(context.view().accounts, live)
        if routing is not None:
            known = {r.address for r in poller.records} | set(context.pool.links)
            routing.update_fleet(known, in_region, context.now())
        await asyncio.sleep(UPDATE_INTERVAL_S)


async def _flush(context: EntryContext) -> None:
    while True:
        await asyncio.sleep(UPDATE_INTERVAL_S)
        context.counters.gauge("requests_in_progress", context.requests_in_progress)
        context.counters.flush()


async def _drain(context: EntryContext, started: float) -> None:
    """Wait for requests to end, hand long streams over, and end the remaining ones.

    New work is already refused. Responses that are not streamed and calls that still
    run at the deadline get a typed error with the state of the request, because their
    callers cannot continue them at another entry. The drain deadline is counted from
    `started`, when new work was first refused.
    """
    deadline = started + max(context.settings.drain_deadline_s - CLOSE_TIMEOUT_S, 0.0)
    handover_at = min(started + HANDOVER_DELAY_S, deadline)
    log.info("draining", requests=context.requests_in_progress)
    while context.requests_in_progress and context.now() < deadline:
        if context.now() >= handover_at:
            context.generations.hand_over_streams()
        await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
    context.generations.end_rest("shutting_down", "this entry is leaving")
    context.drain_finished.set()
    await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
    if isinstance(context.calls, Ledger):
        left_s = max(deadline - context.now(), 0.0)
        unsettled = await context.calls.wait_until_settled(left_s)
        log.info("call records settled", unsettled=unsettled)
    log.info("drained", requests=context.requests_in_progress)


async def _stop(servers, server_tasks, tasks, context: EntryContext) -> None:
    for server in servers:
        server.should_exit = True
    for task in tasks:
        task.cancel()
    await asyncio.wait(server_tasks, timeout=2 * CLOSE_TIMEOUT_S)
    context.pool.close()
    context.counters.flush()
    await asyncio.gather(*tasks, return_exceptions=True)
