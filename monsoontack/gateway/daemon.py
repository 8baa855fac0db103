"""The gateway daemon: builds and runs the components, and drains on SIGTERM."""

import asyncio
import json
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

import structlog

from monsoontack.admission.crashguard import CrashGuard
from monsoontack.admission.drainadmission import REDIRECT_S
from monsoontack.admission.hedge import Hedging
from monsoontack.admission.limitgate import LimitGate
from monsoontack.admission.requestcontent import is_request
from monsoontack.admission.serverstatement import ServerStatement
from monsoontack.core.boundedlog import LineWriter
from monsoontack.core.callbacks import log_loop_errors
from monsoontack.core.supervise import run_with_restarts
from monsoontack.gateway.budgets import RetryBudgets
from monsoontack.gateway.calls import CallForwarder
from monsoontack.gateway.configstate import ConfigState
from monsoontack.gateway.crashdetector import ServerCrash
from monsoontack.gateway.entryexchange import PATH as EXCHANGE_PATH
from monsoontack.gateway.entryexchange import EntryExchange, call_entry
from monsoontack.gateway.entryregistry import ENTRIES_KIND, EntryList, EntryRegistration
from monsoontack.gateway.entryremoval import SilentEntryRemover
from monsoontack.gateway.fleet import BackendFleet, Member
from monsoontack.gateway.handler import Gateway
from monsoontack.gateway.metrics import GatewayMetrics
from monsoontack.gateway.newestlist import NewestList, Rank, is_newer
from monsoontack.gateway.peers import (
    MISDIRECTED_STATUS,
    PeerEntry,
    call_peer,
    is_misdirected,
    peer_pool,
)
from monsoontack.gateway.pool import ConnectionPool
from monsoontack.gateway.ports import WireFormat
from monsoontack.gateway.readtree import DirectReadLimiter
from monsoontack.gateway.records import CallerLimits, GatewayConfig, RawRequest
from monsoontack.gateway.relay import RelayServer
from monsoontack.gateway.rollouts import RolloutManager, StatusStore
from monsoontack.gateway.sender import Sender
from monsoontack.gateway.settings import GatewaySettings
from monsoontack.gateway.statedump import dump_state
from monsoontack.gateway.streams import StreamForwarder
from monsoontack.gateway.suspectgate import PATH as TURN_PATH
from monsoontack.gateway.suspectgate import turn_call
from monsoontack.inbound.account import account_limit_bytes
from monsoontack.inbound.limits import InboundLimits, other_connections
from monsoontack.inbound.memoryguard import MemoryGuard
from monsoontack.inbound.processload import LoopDelay, resident_bytes
from monsoontack.inbound.refusals import RefusalReport
from monsoontack.inbound.responder import Responder
from monsoontack.inbound.server import InboundServer, listen_on
from monsoontack.loadview.exchange import PATH as LOAD_PATH
from monsoontack.loadview.exchange import LoadExchange
from monsoontack.relaying.relayedstore import RelayedStore
from monsoontack.routing.linkbudget import EntryLinkBudget
from monsoontack.routing.picker import Picker
from monsoontack.store.api import KindStore, ObjectStore
from monsoontack.store.cache import KindCache
from monsoontack.store.feed import KindFeed, KindListener

log = structlog.get_logger("gateway.daemon")

DRAIN_CHECK_INTERVAL_S = 0.05
# A draining entry closes connections that have been idle for this time. The request of
# a new connection follows within a round trip, which takes 30 ms between regions.
MIN_IDLE_S = 0.3
# Wait for the answers of the requests that run at the end of the drain; streams check
# every 0.1 s whether they are still wanted.
ANSWER_WAIT_S = 0.15
# Wait between closing the connections whose answers were written and aborting the
# others.
FLUSH_WAIT_S = 0.1
# Part of the grace period that is reserved for answering or aborting the remaining
# requests.
ABORT_MARGIN_S = 0.4
TICK_INTERVAL_S = 0.25
# The settings file is checked for changes at this interval, in addition to SIGHUP.
SETTINGS_CHECK_INTERVAL_S = 1.0
# The list of entries changes rarely, and each watch of it is a billed store call, so a
# watch is long.
ENTRIES_WATCH_S = 10.0
ENTRIES_MAX_AGE_S = 30.0
ENTRIES_COALESCE_DELAY_S = 2.0
# At the first start of the deployment, each entry waits before it reads the list of
# entries, so that the others have registered. A list that is late for another reason
# delays the required feeds only up to the timeout.
FIRST_START_DELAY_S = 0.6
ENTRIES_WAIT_TIMEOUT_S = 1.0
# Data of a feed is stale if its last confirmation is older than the length of a watch
# plus this time; a slow store takes 0.2 s to answer.
AGE_SLACK_S = 0.4
# Shorter outages of the store need no handling: no record of a server expires in them,
# because records expire after 3.6 s without a renewal.
MIN_OUTAGE_S = 1.5
# Shared bounds are divided by at least this number of entries, because entries that
# start at the same time do not see each other immediately.
MIN_ASSUMED_ENTRIES = 4
# A peer is alive if it answers this path; those of former versions answer 503.
ALIVE_PATH = "/alive"
ALIVE_TIMEOUT_S = 1.0
OK = 200
UNAVAILABLE = 503


@dataclass(slots=True, repr=False)
class GatewayDaemon:
    """All components of a running gateway.

    `entries_listed` is set once a list of entries was received. `feed_lost_at` holds,
    by kind, the time at which a feed lost the store. `background_jobs` run as tasks
    while the gateway runs.
    """

    settings: GatewaySettings
    config_state: ConfigState
    fleet: BackendFleet
    pool: ConnectionPool
    gateway: Gateway
    metrics: GatewayMetrics
    log_writer: LineWriter | None = None
    feeds: list[KindFeed] = field(default_factory=list)
    relay: RelayServer = field(default_factory=RelayServer)
    relayed_stores: list[RelayedStore] = field(default_factory=list)
    direct_reads: DirectReadLimiter = field(default_factory=DirectReadLimiter)
    feed_lost_at: dict[str, float] = field(default_factory=dict)
    entries_listed: asyncio.Event | None = None
    registration: EntryRegistration | None = None
    entry_remover: SilentEntryRemover | None = None
    peer_pool: ConnectionPool = field(default_factory=peer_pool)
    reload: Callable[[], None] = lambda: None
    entry_exchange: EntryExchange | None = None
    rollouts: RolloutManager | None = None
    draining: bool = False
    listeners: list[asyncio.Server] = field(default_factory=list)
    front: InboundServer | None = None
    background_jobs: list[Callable[[], Awaitable[None]]] = field(default_factory=list)
    stopping: asyncio.Event = field(default_factory=asyncio.Event)
    loop_delay: LoopDelay = field(default_factory=LoopDelay)
    refusals: RefusalReport = field(init=False)

    def __post_init__(self) -> None:
        """Count refused input by reason."""
        metrics = self.metrics
        self.refusals = RefusalReport(metrics.refused_input, metrics.bad_requests)

    @classmethod
    def from_settings(
        cls,
        settings: GatewaySettings,
        wire: WireFormat,
        keep_alive_s: Callable,
        rng: random.Random,
    ) -> "GatewayDaemon":
        """Build a gateway and connect its components."""
        config_state = ConfigState(settings.revoke_s, apply_s=settings.config_apply_s)
        fleet = BackendFleet()
        fleet.evidence.turns.name = settings.name
        fleet.evidence.turns.region = settings.place.region
        fleet.set_gateways({})
        pool = ConnectionPool(wire.response_request_id, keep_alive_s)
        fleet.on_removed = lambda member: pool.close_server(*member.key)
        pool.is_used = fleet.starts.__contains__
        gate = LimitGate.for_entry(settings.name, rng)
        gate.servers = fleet.limit_keys
        gate.permits.fleet_size = settings.expected_max_entries
        sender = Sender(pool, wire, fleet, gate, CrashGuard(settings.name))
        budgets = RetryBudgets(
            settings.retry_ratio,
            settings.retry_extra,
            settings.retry_window_s,
            settings.expected_max_entries,
        )
        link = EntryLinkBudget.for_entries(settings.expected_max_entries, 0.0)
        picker = Picker(settings.place, link, ejection=fleet.ejection)
        calls = CallForwarder(fleet, sender, picker, budgets, Hedging(), rng)
        streams = StreamForwarder(settings.place, fleet, sender, budgets, rng)
        metrics = GatewayMetrics.create()
        sender.on_limited_send = lambda service: metrics.limited_sends.labels(
            service
        ).inc()
        fleet.evidence.on_doubt = lambda service: metrics.domain_doubts.labels(
            service
        ).inc()
        fleet.paces.on_paced = lambda *labels: metrics.paced_starts.labels(
            *labels
        ).inc()
        gateway = Gateway(wire, config_state, calls, streams, metrics, rng)
        daemon = cls(settings, config_state, fleet, pool, gateway, metrics)
        load_exchange = LoadExchange(settings.name, daemon.peer_pool)
        streams.share_load_with_peers(load_exchange)
        streams.admission.on_wait = metrics.observe_wait
        streams.admission.on_refused = metrics.count_admission_refusal
        calls.load_exchange = load_exchange
        for forwarder in (calls, streams):
            forwarder.crash_detector.on_crash = daemon._on_server_crash
        daemon.background_jobs.append(load_exchange.run)
        call = partial(call_entry, daemon.peer_pool)
        place = settings.place
        daemon.entry_exchange = EntryExchange(
            settings.name, place.region, gate, sender.guard, call, rng, fleet.leaving
        )
        gateway.suspects.call = turn_call(daemon.peer_pool)
        gateway.suspects.entries = lambda: daemon.entry_exchange.entries
        sender.on_limit_change = daemon.entry_exchange.send_news
        sender.on_statement = daemon._on_statement
        daemon.background_jobs.append(daemon.entry_exchange.run)
        config_state.listeners.append(daemon.config_changed)
        return daemon

    def config_changed(self, config: GatewayConfig) -> None:
        """Pass a new configuration to the stream forwarder."""
        self.gateway.streams.configure(config)

    def follow_kind(
        self,
        store: KindStore,
        kind: str,
        listener: KindListener,
        rank: Rank | None = None,
    ) -> None:
        """Follow a kind of objects that the entry needs to be ready.

        The objects are read through other entries, provided their data is fresh enough.
        With a `rank`, an object in use is replaced only by one that ranks as high.
        """
        watch_s = self.settings.watch_timeout_s
        cache = KindCache(listener, max_age_s=watch_s + AGE_SLACK_S)
        if rank is not None:
            cache.is_newer = partial(is_newer, rank)
        relayed = self._relayed_store(store, kind, cache, watch_s)
        relayed.on_stale_peer = self.config_state.note_stale_peer
        if rank is not None:
            relayed.on_search = self.config_state.note_search
        source = relayed if rank is None else NewestList(relayed, rank)
        self._add_feed(KindFeed(source, kind, cache, watch_s))

    def _relayed_store(
        self, store: KindStore, kind: str, cache: KindCache, watch_s: float
    ) -> RelayedStore:
        """Return a store that reads a kind through other entries.

        The other entries may read the kind from this entry's `cache` as well.
        """
        settings = self.settings
        relayed = RelayedStore(
            settings.name,
            settings.place.region,
            store,
            watch_s,
            cache.max_age_s,
            self.peer_pool,
        )
        relayed.direct_reads, relayed.cache = self.direct_reads, cache
        self.relay.caches[kind] = cache
        self.relayed_stores.append(relayed)
        return relayed

    def _add_feed(self, feed: KindFeed) -> None:
        feed.on_store_status = self._on_store_status
        feed.on_restored = self._on_feed_restored
        self.feeds.append(feed)

    def join_cluster(self, store: ObjectStore, kinds: KindStore) -> None:
        """Register this entry and follow the list of entries."""
        cache = KindCache(EntryList(self._entries_changed), max_age_s=ENTRIES_MAX_AGE_S)
        relayed = self._relayed_store(kinds, ENTRIES_KIND, cache, ENTRIES_WATCH_S)
        relayed.direct_reads = DirectReadLimiter()
        feed = KindFeed(
            relayed, ENTRIES_KIND, cache, ENTRIES_WATCH_S, is_required=False
        )
        feed.coalesce_delay_s = ENTRIES_COALESCE_DELAY_S
        self._add_feed(feed)
        self.entries_listed = asyncio.Event()
        settings = self.settings
        own = PeerEntry(settings.name, settings.place.region, settings.peer_address)
        self.registration = EntryRegistration(own)
        self.entry_remover = SilentEntryRemover(
            settings.name, settings.place.region, store, self._is_alive
        )
        self.background_jobs.append(partial(self.registration.run, store))
        self.background_jobs.append(self.entry_remover.run)

    async def _is_alive(self, peer: PeerEntry) -> bool:
        """Whether a peer answers a request."""
        answer = await call_peer(self.peer_pool, peer, ALIVE_PATH, ALIVE_TIMEOUT_S)
        return answer is not None and answer.status in (OK, UNAVAILABLE)

    def follow_rollouts(
        self, store: StatusStore, kinds: KindStore, kind: str, rollouts: RolloutManager
    ) -> None:
        """Follow rollout orders, and evaluate them while this entry holds the lease."""
        self.rollouts = rollouts
        rollouts.members = self.fleet.of_service
        self.gateway.calls.rollouts = self.gateway.streams.rollouts = rollouts
        self.follow_kind(kinds, kind, rollouts)
        self.background_jobs.append(lambda: rollouts.report_evidence(store))
        self.background_jobs.append(lambda: rollouts.run_controller(store, kinds))

    def _entries_changed(self, found: EntryList) -> None:
        entries = found.entries
        log.info(
            "list of entries changed",
            entries=len(entries),
            lost_by_store=len(entries) - len(found.listed),
        )
        self.registration.draining = self.draining
        self.registration.entries_changed(found.listed, len(entries))
        self.entry_remover.set_entries(entries)
        self.entries_listed.set()
        self.gateway.calls.budgets.set_entry_count(
            max(len(entries), MIN_ASSUMED_ENTRIES)
        )
        self.entry_exchange.gate.waits.entry_count = len(entries)
        regions = {name: peer.region for name, peer in entries.items()}
        self.fleet.set_gateways(regions)
        region = self.settings.place.region
        in_region = sum(peer.region == region for peer in entries.values())
        self.gateway.calls.picker.link_budget.set_entry_count(
            max(in_region, MIN_ASSUMED_ENTRIES), self.gateway.now()
        )
        self.entry_exchange.set_peers(entries)
        if self.rollouts is not None:
            self.rollouts.entries = frozenset(entries)
        reachable = {name: peer for name, peer in entries.items() if peer.address}
        for relayed in self.relayed_stores:
            relayed.set_peers(reachable)
        self.gateway.streams.load_exchange.set_peers(entries)

    def store_restored(self, era: int) -> None:
        """Count that the store was restored from a copy, and list all kinds again."""
        self.metrics.store_restorations.inc()
        self._on_feed_restored("", era)

    def _on_feed_restored(self, kind: str, era: int) -> None:
        """Keep lost servers for a while, and tell the feeds that watch a former era."""
        self.fleet.note_store_recovered(self.gateway.now())
        for feed in self.feeds:
            feed.list_again(era)

    def _on_server_crash(self, crash: ServerCrash) -> None:
        self.metrics.engine_crashes.inc()
        self.gateway.guard.note_crash(crash.server, crash.requests, crash.at)

    def _on_statement(self, member: Member, said: ServerStatement) -> None:
        self.metrics.count_statement(said)
        if said.is_leaving:
            self.entry_exchange.send_news()

    def _on_store_status(self, kind: str, is_up: bool, reason: str) -> None:
        self.metrics.store_feed_up.labels(kind).set(is_up)
        now = self.gateway.now()
        if is_up:
            lasted_s = now - self.feed_lost_at.pop(kind, now)
            log.info("store answers again", feed=kind, lasted_s=round(lasted_s, 2))
            if lasted_s >= MIN_OUTAGE_S:
                self.fleet.note_store_recovered(now)
        else:
            self.feed_lost_at[kind] = now
            log.warning("store lost", feed=kind, reason=reason)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed bounds; changed addresses take effect only after a restart."""
        self.settings = settings
        self.config_state.revoke_s = settings.revoke_s
        self.config_state.apply_s = settings.config_apply_s
        if self.front is not None:
            self.front.inbound = settings.inbound
        log.info("settings reloaded", revoke_s=settings.revoke_s)

    @property
    def is_ready(self) -> bool:
        """Whether the platform should send new connections to this entry."""
        loaded = self.config_state.config is not None and all(
            feed.is_loaded for feed in self.feeds if feed.is_required
        )
        return not self.draining and loaded and self.config_state.may_accept_keys()

    def should_close_connections(self) -> bool:
        """Whether connections should be closed after the current answer."""
        config = self.config_state.config
        if self.draining:
            return True
        return config is not None and not self.config_state.may_accept_keys()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then drain and return."""
        loop = asyncio.get_running_loop()
        log_loop_errors(loop, self.metrics.loop_errors.inc)
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._on_sighup)
        await self._listen()
        work = [partial(self._run_feed, feed) for feed in self.feeds]
        work += [*self.background_jobs, self._tick, self._watch_settings]
        work.append(self.loop_delay.run)
        tasks = [asyncio.ensure_future(run_with_restarts(item)) for item in work]
        log.info(
            "gateway started",
            name=self.settings.name,
            address=self.settings.front_address,
            failure_domain=self.settings.place.failure_domain,
        )
        await self.stopping.wait()
        await self._drain()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        log.info("gateway stopped", name=self.settings.name)

    async def _run_feed(self, feed: KindFeed) -> None:
        """Run a feed after a bounded wait for the list of entries."""
        if self.entries_listed is not None and not self.entries_listed.is_set():
            if feed.is_required:
                await self._wait_for_entries()
            elif self.settings.is_first_start:
                await asyncio.sleep(FIRST_START_DELAY_S)
        await feed.run()

    async def _wait_for_entries(self) -> None:
        try:
            async with asyncio.timeout(ENTRIES_WAIT_TIMEOUT_S):
                await self.entries_listed.wait()
        except TimeoutError:
            log.warning(
                "list of entries not received in time; reading the store directly"
            )

    def _on_sighup(self) -> None:
        log.info("reloading settings after SIGHUP")
        self.reload()

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL_S)
            self.reload()

    async def _listen(self) -> None:
        memory = MemoryGuard(account_limit_bytes(self.settings.memory_bytes))
        self.front = InboundServer(
            self.gateway.handle,
            self.config_state.limits,
            memory,
            closing=self.should_close_connections,
            inbound=self.settings.inbound,
            on_refusal=self.refusals.note,
        )
        self.pool.account = self.peer_pool.account = memory.account
        limits = CallerLimits()
        others = InboundLimits(connections=other_connections(self.settings.max_fds))
        ready, operator, peers = (
            InboundServer(
                handler,
                lambda: limits,
                memory,
                inbound=others,
                on_refusal=self.refusals.note,
            )
            for handler in (
                self._answer_ready,
                self._answer_operator,
                self._answer_peer,
            )
        )
        for server, address in (
            (self.front, self.settings.front_address),
            (ready, self.settings.ready_address),
            (operator, self.settings.operator_address),
            (peers, self.settings.peer_address),
        ):
            self.listeners.append(await listen_on(server, address))

    async def _answer_ready(self, raw: RawRequest, responder: Responder) -> None:
        status = OK if self.is_ready else UNAVAILABLE
        responder.send(status, ())

    async def _answer_peer(self, raw: RawRequest, responder: Responder) -> None:
        if is_misdirected(raw, self.settings.name):
            responder.send(MISDIRECTED_STATUS, ())
        elif raw.target == ALIVE_PATH.encode():
            responder.send(OK, ())
        elif raw.target == LOAD_PATH.encode():
            await self.gateway.streams.load_exchange.handle(raw, responder)
        elif raw.target == EXCHANGE_PATH.encode():
            await self.entry_exchange.handle(raw, responder)
        elif raw.target == TURN_PATH.encode():
            await self.gateway.suspects.handle(raw, responder)
        else:
            await self.relay.handle(raw, responder)

    async def _answer_operator(self, raw: RawRequest, responder: Responder) -> None:
        path = raw.target.split(b"?")[0]
        if path == b"/metrics":
            headers = ((b"content-type", b"text/plain; version=0.0.4"),)
            responder.send(OK, headers, self.metrics.render())
        elif path == b"/state":
            body = json.dumps(dump_state(self)).encode()
            responder.send(OK, ((b"content-type", b"application/json"),), body)
        else:
            responder.send(404, ())

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.fleet.remove_expired(self.gateway.now())
            self.fleet.is_ready |= self.is_ready
            self.config_state.note_age()
            self._update_gauges()

    def _update_gauges(self) -> None:
        metrics, config = self.metrics, self.config_state.config
        metrics.in_progress.set(self.gateway.in_progress)
        if config is not None:
            metrics.config_version.set(config.version)
            metrics.config_age_s.set(self.config_state.age_s())
        limits = self.entry_exchange.gate.limits
        known = {member.limit_key for member in self.fleet.members.values()}
        limits.forget_old(known, self.gateway.now())
        metrics.limited_servers.set(len(limits.limited()))
        now, waits = self.gateway.now(), self.entry_exchange.gate.waits
        self.fleet.leaving.forget_old(self.fleet.members.__contains__, now)
        metrics.update_waits(len(waits.waiting(now)), waits.end_waits(now))
        self.gateway.guard.forget_old(self.gateway.now())
        blamed = self.gateway.guard.blamed
        blocked_requests = sum(map(is_request, blamed))
        metrics.blocked_requests.set(blocked_requests)
        metrics.blocked_prompt_parts.set(len(blamed) - blocked_requests)
        metrics.update_waiting(self.gateway.streams.admission.own_waiting())
        metrics.doubted_domains.set(self.fleet.evidence.count_in_force(now))
        metrics.paced_servers.set(len(self.fleet.paces.paces))
        for service, members in self.fleet.by_service.items():
            metrics.servers.labels(service).set(len(members))
        metrics.update_speeds(self.gateway.streams.speeds, self.gateway.calls.times)
        metrics.load_view_age_s.set(self.gateway.streams.load_exchange.view_age_s(now))
        if self.front is not None:
            self._update_input_gauges()
        if self.log_writer is not None:
            metrics.log_lines_dropped.set(self.log_writer.dropped)

    def _update_input_gauges(self) -> None:
        metrics, front = self.metrics, self.front
        account = front.memory.account
        metrics.accounted_bytes.set(account.used_bytes)
        metrics.account_limit_bytes.set(account.limit_bytes)
        metrics.resident_bytes.set(resident_bytes())
        metrics.caller_connections.set(len(front.connections))
        if front.turns is not None:
            metrics.longest_input_s.set(front.turns.longest_s)
        metrics.loop_delay_s.set(self.loop_delay.longest_s)

    async def _drain(self) -> None:
        """Wait for requests to end, end those left at the deadline, and close."""
        self.draining = True
        started = self.gateway.now()
        deadline = started + self.settings.grace_s - ABORT_MARGIN_S
        self.gateway.begin_drain(started, deadline)
        log.info("draining", requests=self.gateway.in_progress)
        while self.gateway.now() < deadline:
            is_propagated = self.gateway.now() >= started + REDIRECT_S
            if is_propagated:
                self.front.close_idle(MIN_IDLE_S)
            busy = self.gateway.in_progress or self.front.tasks
            busy = busy or self.front.has_active_requests
            if is_propagated and not busy and not self.front.unsent_connections():
                break
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        for listener in self.listeners:
            listener.close()
        left = self.gateway.in_progress
        await self._answer_remaining()
        self.front.close_idle(FLUSH_WAIT_S)
        await asyncio.sleep(FLUSH_WAIT_S)
        self.front.close_idle()
        unread = self.front.unsent_connections()
        self.front.abort_all()
        self.pool.close()
        took_s = round(self.gateway.now() - started, 2)
        log.info("drained", cut=left, unread=unread, took_s=took_s)

    async def _answer_remaining(self) -> None:
        """Answer the requests that still run before their connections end."""
        self.gateway.drain.ends_at = self.gateway.now()
        self.gateway.end_running()
        wait_until = self.gateway.now() + ANSWER_WAIT_S
        while self.gateway.in_progress and self.gateway.now() < wait_until:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        for task in list(self.front.tasks):
            task.cancel()
