"""Reads of the store that may go through other entries.

`monsoontack.relaying.sources` decides which sources are asked; this module asks them
and takes the first usable result.
"""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import structlog
from returns.result import Failure, Result, Success

from monsoontack.gateway.feedcodec import (
    CodecError,
    decode_changes,
    decode_list,
    decode_path,
)
from monsoontack.gateway.peers import PeerEntry, PeerResponse, call_peer
from monsoontack.gateway.pool import ConnectionPool
from monsoontack.gateway.readtree import DirectReadLimiter, ReadPlan, plan_reads
from monsoontack.gateway.relay import GONE, OK, FeedRequest
from monsoontack.relaying.answers import Answer, FeedRead
from monsoontack.relaying.sources import (
    ROUND_SHARE,
    STORE,
    better_sources,
    is_usable_path,
    preferred_source,
    round_interval_s,
    search_peers,
)
from monsoontack.store.api import (
    HistoryGone,
    KindChanges,
    KindList,
    KindStore,
    StoreError,
    Unavailable,
)
from monsoontack.store.cache import KindCache

log = structlog.get_logger("gateway.relay")

# Time added to the longest watch of the store to get the wait at a peer, so that the
# peer can forward the store's confirmation of an unchanged kind before the wait ends.
WATCH_SLACK_S = 0.2
# Time added to the wait at the peer to get the timeout of a call; a round trip between
# regions takes 24 ms.
RESPONSE_SLACK_S = 0.4
# Used instead of `RESPONSE_SLACK_S` in a request for a whole list: a list of 3,000
# servers occupies a link of 10 Mbit/s for 0.2 s, and after an outage of the whole fleet
# all children request it from their parent at once, before they try other peers.
LIST_RESPONSE_SLACK_S = 3.0
# An update may be this much later than the source's data is fresh.
UPDATE_SLACK_S = 0.1
# Pause before another request to a peer after a failed call or an unusable response.
FAILED_PEER_PAUSE_S = 4.0
# Pause before another request to a peer that had no fresh data, as a share of the
# longest watch: the same peer is asked in the next round of a search at the earliest.
STALE_PEER_PAUSE_SHARE = 0.9 * ROUND_SHARE


@dataclass(slots=True, repr=False)
class RelayedStore:
    """`KindStore` that reads from peers first and otherwise from the store.

    `max_watch_s` bounds a watch of the store, `direct_reads` is shared by the feeds of
    one entry. `cache`, if there is one, gets the path of what was read. `on_stale_peer`
    is called if a read fails and a peer had only stale data during that read
    (`stale_peer_seen`), `on_search` when a search begins and, with False, after each
    read that found fresh data. `source` is the peer, or `STORE`, that answered the last
    read, None once it fails; `search_round` counts the rounds since. `peer_reads`
    counts the reads that a peer answered, `store_reads` those that were sent to the
    store.
    """

    name: str
    region: str
    store: KindStore
    max_watch_s: float
    max_age_s: float
    pool: ConnectionPool
    cache: KindCache | None = None
    plan: ReadPlan = field(default_factory=ReadPlan)
    peer_paused_until: dict[str, float] = field(default_factory=dict)
    now: Callable[[], float] = lambda: asyncio.get_running_loop().time()
    direct_reads: DirectReadLimiter = field(default_factory=DirectReadLimiter)
    call: Callable[..., Awaitable[PeerResponse | None]] = call_peer
    rng: random.Random = field(default_factory=random.Random)
    on_stale_peer: Callable[[], None] = lambda: None
    on_search: Callable[[bool], None] = lambda is_searching: None
    stale_peer_seen: bool = False
    source: str | None = None
    logged_source: str | None = None
    search_round: int = 0
    last_error: StoreError | None = None
    peer_reads: int = 0
    store_reads: int = 0

    def set_peers(self, peers: Mapping[str, PeerEntry]) -> None:
        """Replace the entries that this one reads through.

        A source that is still there is followed on: it has fresh data, while a new
        parent may be gone.
        """
        self.plan = plan_reads(self.name, self.region, peers)
        self.peer_paused_until = {
            n: t for n, t in self.peer_paused_until.items() if n in peers
        }
        if self.source not in (None, STORE, *peers):
            self.source = None

    async def list_kind(self, kind: str) -> Result[KindList, StoreError]:
        """Read all objects of a kind, from a peer or the store."""

        async def read_store(wait_s: float) -> Result[KindList, StoreError]:
            return await self.store.list_kind(kind)

        times = self._times()
        return await self._read(
            FeedRead(kind, None, 0.0, read_store, decode_list, *times)
        )

    async def watch_kind(
        self, kind: str, revision: int, wait_s: float
    ) -> Result[KindChanges, StoreError]:
        """Wait for changes of a kind after a revision, at a peer or the store."""

        async def read_store(wait_s: float) -> Result[KindChanges, StoreError]:
            return await self.store.watch_kind(kind, revision, wait_s)

        wait_s = min(wait_s, self.max_watch_s)
        times = self._times()
        return await self._read(
            FeedRead(kind, revision, wait_s, read_store, decode_changes, *times)
        )

    def _times(self) -> tuple[float, float]:
        """Return the event loop's time and that of the boot clock."""
        return self.now(), self.cache.boot_clock() if self.cache else 0.0

    async def _read(self, read: FeedRead) -> Result:
        """Read from the source that is followed, or search for another one."""
        self.stale_peer_seen, self.last_error = False, None
        asked: dict[asyncio.Task, str] = {}
        try:
            answer = None
            if self.search_round == 0:
                answer = await self._follow(read, asked)
            if answer is None:
                answer = await self._search(read, asked)
        finally:
            for task in asked:
                task.cancel()
        if answer is not None:
            return answer.result
        if self.stale_peer_seen:
            self.on_stale_peer()
        paused = Unavailable(read.kind, "the store failed a moment ago")
        return Failure(self.last_error or paused)

    async def _follow(
        self, read: FeedRead, asked: dict[asyncio.Task, str]
    ) -> Answer | None:
        """Wait for an update of the source, and probe those that are preferred.

        The wait ends when this entry's own data is too old, as the source is then
        likely to be silent; it may still answer while others are asked.
        """
        source = self.source or preferred_source(self.plan)
        followed = self._ask(read, asked, source, is_held=True)
        if followed is None:
            return None
        for better in better_sources(self.plan, source):
            self._ask(read, asked, better)
        ends_at = math.inf
        if self.cache is not None and self.cache.is_fresh:
            ends_at = self.now() + self.cache.fresh_for_s() + UPDATE_SLACK_S
        while not followed.done() and self.now() < ends_at:
            answer = await self._first_usable(read, asked, ends_at - self.now())
            if answer is not None:
                return answer
        return None

    async def _search(
        self, read: FeedRead, asked: dict[asyncio.Task, str]
    ) -> Answer | None:
        """Ask several sources at once, in rounds, for at most the wait at a peer."""
        self.source = None
        self.on_search(True)
        ends_at = self.now() + self._peer_wait_s
        if self.plan.parent is not None:
            parent = self.plan.parent.name
            self._ask(read, asked, parent, is_held=True, waits_while_stale=True)
        while True:
            interval_s = round_interval_s(self.search_round, self.max_watch_s)
            round_ends_at = self.now() + interval_s
            self._begin_round(read, asked)
            while asked and self.now() < round_ends_at:
                answer = await self._first_usable(
                    read, asked, round_ends_at - self.now(), is_search=True
                )
                if answer is not None:
                    return answer
            if not asked or self.now() >= ends_at:
                return None

    def _begin_round(self, read: FeedRead, asked: dict[asyncio.Task, str]) -> None:
        """Ask some peers, and the store if a direct read is due.

        Whole lists are not requested from further peers while one is asked.
        """
        has_peer = any(source != STORE for source in asked.values())
        if not (read.is_list and has_peer and self.search_round):
            peers = search_peers(self.plan, self.search_round, read.is_list, self.rng)
            for peer in peers:
                self._ask(read, asked, peer.name)
        self._ask(read, asked, STORE)
        self.search_round += 1

    def _ask(
        self,
        read: FeedRead,
        asked: dict[asyncio.Task, str],
        source: str,
        is_held: bool = False,
        waits_while_stale: bool = False,
    ) -> asyncio.Task | None:
        """Ask a source, unless it is paused, being asked or not known.

        It may hold the request until it has an update if `is_held`.
        """
        if source in asked.values():
            return None
        if source == STORE:
            is_trial = self.source != STORE
            if is_trial and not self.direct_reads.may_read(
                self.plan, self.now(), read.kind
            ):
                return None
            wait_s = 0.0 if is_trial or not is_held else read.wait_s
            work = self._ask_store(read, wait_s)
        else:
            peer = self._peer(source)
            paused_until = self.peer_paused_until.get(source, 0.0)
            if peer is None or self.now() < paused_until:
                return None
            is_parent = peer == self.plan.parent
            waits_while_stale |= is_held and is_parent and not self.plan.is_reader
            is_held &= waits_while_stale or not read.is_list
            wait_s = self._peer_wait_s if is_held else 0.0
            request = FeedRequest(read.kind, read.after, wait_s, waits_while_stale)
            work = self._ask_peer(read, peer, request)
        task = asyncio.ensure_future(work)
        if source == STORE and is_trial:
            self.direct_reads.note_trying(task)
        asked[task] = source
        return task

    async def _first_usable(
        self,
        read: FeedRead,
        asked: dict[asyncio.Task, str],
        timeout_s: float,
        is_search: bool = False,
    ) -> Answer | None:
        """Wait for the next answers; return the best usable one, if any.

        `timeout_s` may be infinite. In a search, a peer is of use only if it knows more
        than this entry: a peer whose own source has failed stays fresh for a while.
        """
        limit_s = timeout_s if math.isfinite(timeout_s) else None
        done, _ = await asyncio.wait(
            asked, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED
        )
        found = {asked[task]: task.result() for task in asked if task in done}
        for task in done:
            del asked[task]
        order = [*better_sources(self.plan, ""), *found]
        for source in sorted(found, key=order.index):
            if (answer := found[source]) is None:
                continue
            if is_search and source != STORE and not self._is_newer(read, answer):
                self.stale_peer_seen = True
                self._pause_stale(source)
                continue
            self._note_source(read, source, answer.path)
            return answer
        return None

    def _is_newer(self, read: FeedRead, answer: Answer) -> bool:
        """Whether an answer has changes, or a later confirmation."""
        found = answer.result.value_or(None)
        if self.cache is None or found is None or isinstance(found, KindList):
            return True
        confirmed_at = read.boot_time_s + found.confirmed_after_s
        return bool(found.changes) or confirmed_at > self.cache.confirmed_at

    def _note_source(self, read: FeedRead, source: str, path: tuple[str, ...]) -> None:
        """Follow the source of a usable answer."""
        if source != self.logged_source:
            log.info("feed has another source", feed=read.kind, source=source)
        self.logged_source = self.source = source
        self.search_round = 0
        self.on_search(False)
        if source != STORE:
            self.peer_reads += 1
            self.direct_reads.note_fresh(read.kind)
        if self.cache is not None:
            self.cache.path = path

    async def _ask_store(self, read: FeedRead, wait_s: float) -> Answer | None:
        """Return the store's result, None if it has none."""
        self.store_reads += 1
        asked_at = self.now()
        result = await read.read_store(wait_s)
        if isinstance(result, Success) or isinstance(result.failure(), HistoryGone):
            self.direct_reads.note_success(read.kind)
            return Answer.from_result(result, asked_at - read.started_at)
        self.last_error = result.failure()
        self.direct_reads.note_failure(self.plan, self.now())
        return None

    @property
    def _peer_wait_s(self) -> float:
        """Return how long a peer may hold a request until it has an update."""
        return self.max_watch_s + WATCH_SLACK_S

    async def _ask_peer(
        self, read: FeedRead, peer: PeerEntry, request: FeedRequest
    ) -> Answer | None:
        """Return a peer's fresh result, or `HistoryGone`.

        It is None if the peer gave neither; it is then not asked again for a pause,
        unless it held the request meanwhile.
        """
        slack_s = LIST_RESPONSE_SLACK_S if read.is_list else RESPONSE_SLACK_S
        asked_at, timeout_s = self.now(), request.wait_s + slack_s
        response = await self.call(self.pool, peer, request.target(), timeout_s)
        if response is None:
            reason = "no answer"
            self._pause(peer.name, FAILED_PEER_PAUSE_S)
        elif response.status == GONE:
            return Answer(Failure(HistoryGone(read.kind)))
        elif response.status == OK:
            answer, reason = self._decode_fresh(read, response, peer, asked_at)
            if answer is not None:
                return answer
            self._pause_stale(peer.name)
        else:
            self.stale_peer_seen, reason = True, f"answer {response.status}"
            if self.now() - asked_at <= request.wait_s / 2:
                self._pause_stale(peer.name)
        if self.search_round <= 1:
            log.info(
                "reading feed from peer failed",
                peer=peer.name,
                feed=read.kind,
                reason=reason,
            )
        return None

    def _peer(self, name: str) -> PeerEntry | None:
        """Return the peer with this name, None if it is no longer known."""
        plan = self.plan
        known = (plan.parent, *plan.fallback_peers, *plan.all_peers)
        return next((p for p in known if p is not None and p.name == name), None)

    def _pause_stale(self, name: str) -> None:
        self._pause(name, STALE_PEER_PAUSE_SHARE * self.max_watch_s)

    def _pause(self, name: str, pause_s: float) -> None:
        self.peer_paused_until[name] = self.now() + pause_s

    def _decode_fresh(
        self,
        read: FeedRead,
        response: PeerResponse,
        peer: PeerEntry,
        asked_at: float,
    ) -> tuple[Answer | None, str]:
        """Return the answer of a usable response, else the reason to reject it."""
        try:
            decoded = read.decode(response)
            path = (peer.name, *decode_path(response))
        except CodecError as error:
            return None, str(error)
        if not is_usable_path(path, self.name):
            self.stale_peer_seen = True
            return None, "it reads through this entry"
        if decoded.confirmed_after_s < -self.max_age_s:
            self.stale_peer_seen = True
            return None, "its knowledge is old"
        delay_s = asked_at - read.started_at
        return Answer.from_result(Success(decoded), delay_s, path), ""
