"""The entry daemon: builds its parts, runs them, and drains on SIGTERM."""

import asyncio
import contextlib
import random
import signal
from dataclasses import dataclass

import aiohttp
import structlog
import uvicorn

from monsoontack.admission.admit import Admission as FairAdmission
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
from monsoontack.entry.rollouts import guard_parts, rollout_work
from monsoontack.entry.routedpicker import RoutedPicker
from monsoontack.entry.vmlist import VmListPoller
from monsoontack.generation.progress import MONITOR_INTERVAL_S, ProcessPauseDetector
from monsoontack.ledger.service import Ledger
from monsoontack.settings.models import EntrySettings
from monsoontack.store.api import ObjectStore

log = structlog.get_logger("entry.daemon")

# Streams that would end by themselves get this long before they are handed over.
HANDOVER_AFTER_S = 1.0
# Left of the drain deadline for closing connections.
CLOSE_S = 1.0
DRAIN_CHECK_S = 0.05
METRICS_PREFIX = "monsoontack.entry"
# Between two sends to statsd, and two looks at the size of the fleet.
FLUSH_S = 1.0


@dataclass(slots=True)
class EntryParts:
    """Decisions that may be replaced; None takes the first version."""

    config: ConfigSource | None = None
    picker: Picker | None = None
    admission: Admission | None = None
    calls: CallRunner | None = None
    store: ObjectStore | None = None
    outcomes: OutcomeSink | None = None
    routing: RoutedPicker | None = None


class QuietServer(uvicorn.Server):
    """Server that leaves the signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Install no handlers."""
        yield


def add_routing(parts: EntryParts, place: Place) -> RoutedPicker:
    """Make the routing decisions of an entry at `place` its picker."""
    parts.routing = RoutedPicker(place, random.Random())
    parts.picker = parts.routing
    return parts.routing


def build_context(
    settings: EntrySettings, parts: EntryParts, config: ConfigSource
) -> EntryContext:
    """Return the entry's parts, wired together."""
    rng = random.Random()
    counters = Counters.from_address(settings.statsd_address, METRICS_PREFIX)
    place = Place(settings.failure_domain, settings.region)
    picker = parts.picker or add_routing(parts, place)
    outcomes = parts.outcomes or OutcomeCounter()
    generations = GenerationManager(picker, outcomes, counters, rng)
    if parts.routing is not None:
        generations.on_link_up = parts.routing.on_link_up
        generations.cache_events = parts.routing.cache_events
        generations.record_success = parts.routing.record_success
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
    calls = parts.calls
    if calls is None and parts.store is not None:
        calls = Ledger(
            parts.store, dispatcher, dispatch_window_s=settings.dispatch_window_s
        )
    return EntryContext(
        settings=settings,
        config=config,
        picker=picker,
        admission=parts.admission or FairAdmission(),
        calls=calls or RefusingCallRunner(),
        outcomes=outcomes,
        counters=counters,
        generations=generations,
        pool=pool,
        rng=rng,
        routing=parts.routing,
    )


async def run(settings: EntrySettings, parts: EntryParts | None = None) -> None:
    """Run an entry until SIGTERM or SIGINT, then drain and return."""
    parts = parts or EntryParts()
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    async with aiohttp.ClientSession() as http:
        control = None
        if parts.config is None:
            control = ControlPlane.from_settings(settings, random.Random())
            parts.store = parts.store or control.store
            if parts.picker is None:
                add_routing(parts, Place(settings.failure_domain, settings.region))
            guard = guard_parts(parts, control.gossip)
        context = build_context(settings, parts, parts.config or control.gossip)
        finder = VmListPoller(settings, http, context.pool)
        context.generations.is_known = finder.is_known
        work = [finder.run(), _monitor(context), _flush(context)]
        work.append(_follow_fleet(context, finder, parts.routing))
        if isinstance(context.calls, Ledger):
            work.append(_share_write_budget(context.calls, finder))
        if control is not None:
            context.control = control
            finder.listeners.append(control.set_vms)
            work.append(control.run())
            work += rollout_work(guard, control, context, finder)
        tasks = [asyncio.ensure_future(item) for item in work]
        servers = [
            _server(caller_app(context), settings.http_address),
            _server(operator_app(context), settings.operator_address),
        ]
        serving = [asyncio.ensure_future(server.serve()) for server in servers]
        log.info("entry started", name=settings.name, address=settings.http_address)
        watch = asyncio.ensure_future(stopping.wait())
        await asyncio.wait([watch, *serving, *tasks], return_when="FIRST_COMPLETED")
        _log_failures(tasks)
        # Set before the lease is given up, which waits for the store.
        context.draining = True
        started = context.now()
        if control is not None:
            await control.release()
        await _drain(context, started)
        await _stop(servers, serving, [watch, *tasks], context)
    log.info("entry stopped", name=settings.name)


def _log_failures(tasks: list[asyncio.Future]) -> None:
    """Log why a part ended by itself, which ends the daemon."""
    for task in tasks:
        if task.done() and not task.cancelled() and task.exception() is not None:
            log.error("a part of the entry failed", exc_info=task.exception())


def _server(app, address: str) -> QuietServer:
    host, _, port = address.rpartition(":")
    config = uvicorn.Config(
        app,
        host=host.strip("[]"),
        port=int(port),
        loop="none",
        http="httptools",
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        timeout_graceful_shutdown=CLOSE_S,
    )
    return QuietServer(config)


async def _monitor(context: EntryContext) -> None:
    pause = ProcessPauseDetector(context.now())
    while True:
        await asyncio.sleep(MONITOR_INTERVAL_S)
        now = context.now()
        if pause.tick(now):
            log.warning("this process did not run for a while")
            context.pool.forgive_own_pause(now)
            continue
        context.pool.tick(now)
        context.generations.tick(now)


async def _share_write_budget(ledger: Ledger, finder: VmListPoller) -> None:
    """Split the fleet's call record writes among the live entries."""
    while True:
        entries = [r for r in finder.records if r.role == "entry" and r.state == "live"]
        ledger.budget.live_entries = max(len(entries), 1)
        await asyncio.sleep(FLUSH_S)


async def _follow_fleet(
    context: EntryContext, finder: VmListPoller, routing: RoutedPicker | None
) -> None:
    """Pass accounts and the size of the fleet on to admission and routing."""
    while True:
        entries = [r for r in finder.records if r.role == "entry" and r.state == "live"]
        live = max(len(entries), 1)
        region = context.settings.region
        in_region = max(sum(r.place.region == region for r in entries), 1)
        context.admission.configure(context.view().accounts, live)
        if routing is not None:
            known = {r.address for r in finder.records} | set(context.pool.links)
            routing.update_fleet(known, in_region, context.now())
        await asyncio.sleep(FLUSH_S)


async def _flush(context: EntryContext) -> None:
    while True:
        await asyncio.sleep(FLUSH_S)
        context.counters.gauge("requests_in_progress", context.requests_in_progress)
        context.counters.flush()


async def _drain(context: EntryContext, started: float) -> None:
    """Refuse new work, let requests end, hand long streams over.

    Whole answers and calls that still run at the deadline get a typed error
    with the state of the request, since their callers cannot follow a stream. The
    deadline counts from `started`, when new work was first refused.
    """
    deadline = started + max(context.settings.drain_deadline_s - CLOSE_S, 0.0)
    handover_at = min(started + HANDOVER_AFTER_S, deadline)
    log.info("draining", requests=context.requests_in_progress)
    while context.requests_in_progress and context.now() < deadline:
        if context.now() >= handover_at:
            context.generations.hand_over_streams()
        await asyncio.sleep(DRAIN_CHECK_S)
    context.generations.end_rest("shutting_down", "this entry is leaving")
    context.drain_finished.set()
    await asyncio.sleep(DRAIN_CHECK_S)
    if isinstance(context.calls, Ledger):
        left_s = max(deadline - context.now(), 0.0)
        unsettled = await context.calls.wait_until_settled(left_s)
        log.info("call records settled", unsettled=unsettled)
    log.info("drained", requests=context.requests_in_progress)


async def _stop(servers, serving, tasks, context: EntryContext) -> None:
    for server in servers:
        server.should_exit = True
    for task in tasks:
        task.cancel()
    await asyncio.wait(serving, timeout=2 * CLOSE_S)
    context.pool.close()
    context.counters.flush()
    await asyncio.gather(*tasks, return_exceptions=True)
