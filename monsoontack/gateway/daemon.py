"""The gateway daemon: builds its parts, runs them, and drains on SIGTERM."""

import asyncio
import json
import random
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

import structlog

from monsoontack.admission.hedge import Hedging
from monsoontack.core.boundedlog import LineWriter
from monsoontack.core.supervise import keep_running
from monsoontack.gateway.budgets import RetryBudgets
from monsoontack.gateway.calls import CallForwarder
from monsoontack.gateway.config_state import ConfigState
from monsoontack.gateway.entry_remover import SilentEntryRemover
from monsoontack.gateway.entryregistry import ENTRIES_KIND, EntryList, EntryRegistration
from monsoontack.gateway.fleet import BackendFleet
from monsoontack.gateway.handler import Gateway
from monsoontack.gateway.inbound import BodyBudget, InboundServer, listen_on
from monsoontack.gateway.loadexchange import PATH as LOAD_PATH
from monsoontack.gateway.loadexchange import LoadExchange
from monsoontack.gateway.metrics import GatewayMetrics
from monsoontack.gateway.peers import PeerEntry, call_peer, peer_pool
from monsoontack.gateway.pool import ConnectionPool
from monsoontack.gateway.ports import WireFormat
from monsoontack.gateway.readtree import DirectReadLimiter
from monsoontack.gateway.records import CallerLimits, GatewayConfig, RawRequest
from monsoontack.gateway.relay import RelayedStore, RelayServer
from monsoontack.gateway.responder import Responder
from monsoontack.gateway.rollouts import RolloutManager, StatusStore
from monsoontack.gateway.sender import Sender
from monsoontack.gateway.settings import GatewaySettings
from monsoontack.gateway.statedump import dump_state
from monsoontack.gateway.streams import StreamForwarder
from monsoontack.routing.linkbudget import LocalShare
from monsoontack.routing.picker import Picker
from monsoontack.store.api import KindStore, ObjectStore
from monsoontack.store.cache import KindCache
from monsoontack.store.feed import KindFeed, Listener

log = structlog.get_logger("gateway.daemon")

# Part of a process's memory that request bodies may take.
BODY_MEMORY_SHARE = 0.2
# The platform asks every second and stops sending new connections after two
# misses; until then connections are accepted while draining.
UNREADY_SPREAD_S = 3.0
DRAIN_CHECK_S = 0.05
# Between closing connections whose answers were written and cutting the others.
FLUSH_S = 0.1
# Left of the grace period for cutting what still runs.
CUT_MARGIN_S = 0.4
TICK_S = 0.25
# How often the settings file is looked at for a change without a signal.
SETTINGS_CHECK_S = 1.0
# The number of entries changes rarely; a watch costs a call each time it returns.
CENSUS_WATCH_S = 10.0
CENSUS_MAX_AGE_S = 30.0
CENSUS_SETTLE_S = 2.0
# When all entries start for the first time, each waits until the others have
# registered; a list that is late for another reason delays no entry further.
FIRST_START_SPREAD_S = 0.6
PEERS_WAIT_S = 1.0
# Knowledge this much older than a watch shows that an entry has lost the store; a
# slow store takes 0.2 s to answer.
AGE_SLACK_S = 0.4
# Servers' entries lapse after 3.6 s of silence; a shorter loss removes none.
MIN_OUTAGE_S = 1.5
# Entries that start together do not see each other at once.
MIN_ENTRIES = 4
# Any answer of a peer shows that it lives.
ALIVE_PATH = "/alive"
ALIVE_TIMEOUT_S = 1.0
OK = 200
UNAVAILABLE = 503


@dataclass(slots=True)
class GatewayDaemon:
    """All parts of a running gateway."""

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
    lost_at: dict[str, float] = field(default_factory=dict)
    peers_known: asyncio.Event | None = None
    registration: EntryRegistration | None = None
    entry_remover: SilentEntryRemover | None = None
    peer_pool: ConnectionPool = field(default_factory=peer_pool)
    reload: Callable[[], None] = lambda: None
    rollouts: RolloutManager | None = None
    draining: bool = False
    listeners: list[asyncio.Server] = field(default_factory=list)
    front: InboundServer | None = None
    extra_work: list[Callable[[], Awaitable[None]]] = field(default_factory=list)
    stopping: asyncio.Event = field(default_factory=asyncio.Event)

    @classmethod
    def from_settings(
        cls,
        settings: GatewaySettings,
        wire: WireFormat,
        keep_alive_s: Callable,
        rng: random.Random,
    ) -> "GatewayDaemon":
        """Return a gateway whose parts are wired together."""
        config_state = ConfigState(settings.revoke_s)
        fleet = BackendFleet()
        pool = ConnectionPool(wire.response_request_id, keep_alive_s)
        fleet.on_gone = lambda member: pool.close_server(*member.key)
        sender = Sender(pool, wire, fleet)
        budgets = RetryBudgets(
            settings.retry_ratio,
            settings.retry_extra,
            settings.retry_window_s,
            settings.expected_max_entries,
        )
        link = LocalShare.for_entries(settings.expected_max_entries, 0.0)
        picker = Picker(settings.place, link, ejection=fleet.ejection)
        calls = CallForwarder(fleet, sender, picker, budgets, Hedging(), rng)
        streams = StreamForwarder(settings.place, fleet, sender, budgets, rng)
        metrics = GatewayMetrics.create()
        gateway = Gateway(wire, config_state, calls, streams, metrics, rng)
        daemon = cls(settings, config_state, fleet, pool, gateway, metrics)
        news = LoadExchange(settings.name, daemon.peer_pool)
        streams.share_load_with_peers(news)
        daemon.extra_work.append(news.run)
        config_state.listeners.append(daemon.config_changed)
        return daemon

    def config_changed(self, config: GatewayConfig) -> None:
        """Pass the traits of the services on."""
        self.gateway.streams.traits = dict(config.services)

    def follow_kind(self, store: KindStore, kind: str, listener: Listener) -> None:
        """Follow a kind of objects, without which the entry is not ready.

        It is read through other entries where they are fresh enough.
        """
        watch_s = self.settings.watch_timeout_s
        cache = KindCache(listener, max_age_s=watch_s + AGE_SLACK_S)
        relayed = self._relayed(store, kind, cache, watch_s)
        relayed.on_stale_peer = self.config_state.note_stale_peer
        self._feed(KindFeed(relayed, kind, cache, watch_s))

    def _relayed(
        self, store: KindStore, kind: str, cache: KindCache, watch_s: float
    ) -> RelayedStore:
        """Return the store read through other entries, which may read here too."""
        settings = self.settings
        relayed = RelayedStore(
            settings.name,
            settings.place.region,
            store,
            watch_s,
            cache.max_age_s,
            self.peer_pool,
        )
        relayed.direct_reads = self.direct_reads
        self.relay.caches[kind] = cache
        self.relayed_stores.append(relayed)
        return relayed

    def _feed(self, feed: KindFeed) -> None:
        feed.on_dependency = self._dependency_changed
        self.feeds.append(feed)

    def join_cluster(self, store: ObjectStore, kinds: KindStore) -> None:
        """Register this entry and follow the others."""
        cache = KindCache(EntryList(self._entries_changed), max_age_s=CENSUS_MAX_AGE_S)
        relayed = self._relayed(kinds, ENTRIES_KIND, cache, CENSUS_WATCH_S)
        relayed.direct_reads = DirectReadLimiter()
        feed = KindFeed(relayed, ENTRIES_KIND, cache, CENSUS_WATCH_S, is_required=False)
        feed.settle_s = CENSUS_SETTLE_S
        self._feed(feed)
        self.peers_known = asyncio.Event()
        settings = self.settings
        own = PeerEntry(settings.name, settings.place.region, settings.peer_address)
        self.registration = EntryRegistration(own)
        self.entry_remover = SilentEntryRemover(
            settings.name, settings.place.region, store, self._is_alive
        )
        self.extra_work.append(partial(self.registration.run, store))
        self.extra_work.append(self.entry_remover.run)

    async def _is_alive(self, peer: PeerEntry) -> bool:
        """Whether a peer answers anything."""
        answer = await call_peer(
            self.peer_pool, peer.address, ALIVE_PATH, ALIVE_TIMEOUT_S
        )
        return answer is not None

    def follow_rollouts(
        self, store: StatusStore, kinds: KindStore, kind: str, rollouts: RolloutManager
    ) -> None:
        """Follow operators' orders, and judge them while this entry has the lease."""
        self.rollouts = rollouts
        rollouts.members = self.fleet.of_service
        self.gateway.calls.rollouts = self.gateway.streams.rollouts = rollouts
        self.follow_kind(kinds, kind, rollouts)
        self.extra_work.append(lambda: rollouts.report(store))
        self.extra_work.append(lambda: rollouts.control(store, kinds))

    def _entries_changed(self, entries: dict[str, PeerEntry]) -> None:
        log.info("entries changed", entries=len(entries))
        self.registration.entries_changed(entries)
        self.entry_remover.set_entries(entries)
        self.peers_known.set()
        self.gateway.calls.budgets.set_entry_count(max(len(entries), MIN_ENTRIES))
        if self.rollouts is not None:
            self.rollouts.entries = frozenset(entries)
        reachable = {name: peer for name, peer in entries.items() if peer.address}
        for relayed in self.relayed_stores:
            relayed.set_peers(reachable)
        self.gateway.streams.load_exchange.set_peers(entries)

    def _dependency_changed(self, kind: str, is_up: bool, reason: str) -> None:
        self.metrics.store_feed_up.labels(kind).set(is_up)
        now = self.gateway.now()
        if is_up:
            lasted_s = now - self.lost_at.pop(kind, now)
            log.info("store answers again", feed=kind, lasted_s=round(lasted_s, 2))
            if lasted_s >= MIN_OUTAGE_S:
                self.fleet.store_returned(now)
        else:
            self.lost_at[kind] = now
            log.warning("store lost", feed=kind, reason=reason)

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Take over changed bounds; changed addresses need a restart."""
        self.settings = settings
        self.config_state.revoke_s = settings.revoke_s
        log.info("settings reloaded", revoke_s=settings.revoke_s)

    @property
    def is_ready(self) -> bool:
        """Whether the entry should get new connections."""
        loaded = self.config_state.config is not None and all(
            feed.loaded for feed in self.feeds if feed.is_required
        )
        return not self.draining and loaded and self.config_state.may_accept_keys()

    def is_closing(self) -> bool:
        """Whether answers should end their connections."""
        config = self.config_state.config
        if self.draining:
            return True
        return config is not None and not self.config_state.may_accept_keys()

    async def run(self) -> None:
        """Run until SIGTERM, drain, and return."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        loop.add_signal_handler(signal.SIGINT, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._hang_up)
        await self._listen()
        work = [partial(self._run_feed, feed) for feed in self.feeds]
        work += [*self.extra_work, self._tick, self._watch_settings]
        tasks = [asyncio.ensure_future(keep_running(item)) for item in work]
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
        """Follow a kind, through other entries if there are any."""
        if self.peers_known is not None and not self.peers_known.is_set():
            if feed.is_required:
                await self._wait_for_peers()
            elif self.settings.is_first_start:
                await asyncio.sleep(FIRST_START_SPREAD_S)
        await feed.run()

    async def _wait_for_peers(self) -> None:
        try:
            async with asyncio.timeout(PEERS_WAIT_S):
                await self.peers_known.wait()
        except TimeoutError:
            log.warning("list of entries is late, reading the store without them")

    def _hang_up(self) -> None:
        log.info("reloading settings after SIGHUP")
        self.reload()

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_CHECK_S)
            self.reload()

    async def _listen(self) -> None:
        budget = BodyBudget(int(self.settings.memory_bytes * BODY_MEMORY_SHARE))
        self.front = InboundServer(
            self.gateway.handle,
            self.config_state.limits,
            budget,
            closing=self.is_closing,
            on_bad_request=self._bad_request,
        )
        limits = CallerLimits()
        ready = InboundServer(self._answer_ready, lambda: limits, budget)
        operator = InboundServer(self._answer_operator, lambda: limits, budget)
        peers = InboundServer(self._answer_peer, lambda: limits, budget)
        for server, address in (
            (self.front, self.settings.front_address),
            (ready, self.settings.ready_address),
            (operator, self.settings.operator_address),
            (peers, self.settings.peer_address),
        ):
            self.listeners.append(await listen_on(server, address))

    def _bad_request(self, status: int, detail: str) -> None:
        self.metrics.bad_requests.labels(str(status)).inc()
        log.info("request not accepted", status=status, detail=detail)

    async def _answer_ready(self, raw: RawRequest, responder: Responder) -> None:
        status = OK if self.is_ready else UNAVAILABLE
        responder.send(status, ())

    async def _answer_peer(self, raw: RawRequest, responder: Responder) -> None:
        if raw.target == LOAD_PATH.encode():
            await self.gateway.streams.load_exchange.handle(raw, responder)
        else:
            await self.relay.handle(raw, responder)

    async def _answer_operator(self, raw: RawRequest, responder: Responder) -> None:
        path = raw.target.split(b"?")[0]
        if path == b"/metrics":
            text = ((b"content-type", b"text/plain; version=0.0.4"),)
            responder.send(OK, text, self.metrics.render())
        elif path == b"/state":
            body = json.dumps(dump_state(self)).encode()
            responder.send(OK, ((b"content-type", b"application/json"),), body)
        else:
            responder.send(404, ())

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self.fleet.tick(self.gateway.now())
            self._update_gauges()

    def _update_gauges(self) -> None:
        metrics, config = self.metrics, self.config_state.config
        metrics.in_progress.set(self.gateway.in_progress)
        if config is not None:
            metrics.config_version.set(config.version)
            metrics.config_age_s.set(self.config_state.age_s())
        for service, members in self.fleet.by_service.items():
            metrics.servers.labels(service).set(len(members))
        if self.log_writer is not None:
            metrics.log_lines_dropped.set(self.log_writer.dropped)

    async def _drain(self) -> None:
        """Let requests end, then close; cut what outlasts the grace period."""
        self.draining = True
        started = self.gateway.now()
        deadline = started + self.settings.grace_s - CUT_MARGIN_S
        self.gateway.drain_deadline_at = deadline
        log.info("draining", requests=self.gateway.in_progress)
        while self.gateway.now() < deadline:
            spread = self.gateway.now() >= started + UNREADY_SPREAD_S
            if spread:
                self.front.close_idle()
            busy = self.gateway.in_progress or self.front.tasks
            if spread and not busy and not self.front.has_active_requests:
                break
            await asyncio.sleep(DRAIN_CHECK_S)
        for listener in self.listeners:
            listener.close()
        left = self.gateway.in_progress
        self.front.close_idle()
        await asyncio.sleep(FLUSH_S)
        self.front.abort_all()
        self.pool.close()
        log.info("drained", cut=left, took_s=round(self.gateway.now() - started, 2))
