"""Reading the store through another entry.

The store's rates grow more slowly than the fleet and each call is paid, so entries
read it through each other (`readtree` tells through whom). An answer tells the age
of what it holds, so that a reader knows how fresh its keys are. An entry passes on
that nothing changed as soon as it learns it, so that ages do not add up on the way.
An entry that the store turns away goes on through its peers.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

import structlog
from returns.result import Failure, Result, Success

from monsoontack.gateway.feedcodec import (
    CodecError,
    FeedEncoder,
    decode_changes,
    decode_list,
)
from monsoontack.gateway.peers import (
    CONNECT_TIMEOUT_S,
    PeerEntry,
    PeerResponse,
    call_peer,
)
from monsoontack.gateway.pool import ConnectionPool
from monsoontack.gateway.readtree import DirectReadLimiter, ReadPlan, plan_reads
from monsoontack.gateway.records import RawRequest
from monsoontack.gateway.responder import Responder
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

# A peer that waits for news answers this much later than the news of an unchanged
# kind are due from the store.
NEWS_SLACK_S = 0.2
# Beyond the wait at the peer; a round trip between regions takes 24 ms.
PEER_SLACK_S = 0.4
# For a whole list instead: that of 3,000 servers takes 0.2 s of a link of 10 Mbit/s,
# and after a common loss all children ask at once, before they ask anybody else.
LIST_SLACK_S = 3.0
# Peers that are asked for a whole list if the parent has none.
LIST_PEERS = 2
# A peer that cannot be reached, or of which something is wrong, is not asked again
# for this time.
PEER_PAUSE_S = 4.0
# A peer without news is asked again after this time.
STALE_PAUSE_S = 0.4
# A read ends after about this time, also when several peers are dark.
MAX_READ_S = 2.0
# The longest time for which a peer's request is held.
MAX_HOLD_S = 30.0
OK, GONE, UNAVAILABLE = 200, 410, 503
PATH = b"/feeds/"


@dataclass(frozen=True, slots=True)
class FeedRequest:
    """What a peer asks: changes after a revision, or all objects if it is None.

    The request is held for `wait_s` until there is news; `holds_stale` says that it
    is also held while this entry has lost the store.
    """

    kind: str
    after: int | None = None
    wait_s: float = 0.0
    holds_stale: bool = False

    @classmethod
    def from_target(cls, target: bytes) -> "FeedRequest":
        """Return the request of a target; raises `ValueError` if it is none."""
        path, _, query = target.partition(b"?")
        fields = dict(parse_qsl(query.decode("latin-1")))
        after = int(fields["after"]) if "after" in fields else None
        wait_s = int(fields.get("wait_ms", "0")) / 1000
        kind = path.removeprefix(PATH).decode("latin-1")
        wait_s = min(max(wait_s, 0.0), MAX_HOLD_S)
        return cls(kind, after, wait_s, fields.get("hold") == "1")

    def target(self) -> str:
        """Return the target of the request."""
        query = f"wait_ms={int(self.wait_s * 1000)}&hold={int(self.holds_stale)}"
        if self.after is not None:
            query = f"after={self.after}&{query}"
        return f"{PATH.decode()}{self.kind}?{query}"


@dataclass(slots=True)
class RelayServer:
    """Answers peers from the caches of this entry's feeds."""

    caches: dict[str, KindCache] = field(default_factory=dict)
    encoder: FeedEncoder = field(default_factory=FeedEncoder)

    async def handle(self, raw: RawRequest, responder: Responder) -> None:
        """Answer `GET /feeds/KIND?after=REVISION&wait_ms=MS&hold=0`."""
        try:
            request = FeedRequest.from_target(raw.target)
        except ValueError as error:
            log.warning("request of a peer cannot be read", detail=str(error))
            responder.send(400, ())
            return
        cache = self.caches.get(request.kind)
        if cache is None:
            responder.send(UNAVAILABLE, ())
            return
        asked_at = cache.boot()
        status = await self._news(cache, request)
        if status != OK:
            responder.send(status, ())
            return
        confirmed_after_s = cache.boot() - asked_at - cache.age_s()
        headers, body = self.encoder.encode(cache, request.after, confirmed_after_s)
        responder.send(OK, headers, body)

    async def _news(self, cache: KindCache, request: FeedRequest) -> int:
        """Return the status to answer with, once there is news or the wait is over."""
        now = asyncio.get_running_loop().time
        until, confirmed_at = now() + request.wait_s, cache.confirmed_at
        while True:
            left_s = until - now()
            if cache.is_fresh:
                changes = cache.since(request.after) if request.after else ()
                if changes is None:
                    return GONE
                has_news = bool(changes) or cache.confirmed_at > confirmed_at
                if not request.after or has_news or left_s <= 0:
                    return OK
            elif left_s <= 0 or not request.holds_stale:
                return UNAVAILABLE
            await cache.wait(left_s)


@dataclass(slots=True)
class RelayedStore:
    """`KindStore` that asks peers first and the store itself otherwise.

    `direct_wait_s` bounds a watch of the store, `direct_reads` is shared by the feeds
    of one entry. `on_stale_peer` hears when a read failed because no peer knows more
    than this entry (`saw_stale`). `substitute` is the peer that had news while the
    parent had none. `peer_reads` and `store_reads` count the calls that were
    answered by each.
    """

    name: str
    region: str
    store: KindStore
    direct_wait_s: float
    max_age_s: float
    pool: ConnectionPool
    plan: ReadPlan = field(default_factory=ReadPlan)
    paused_until: dict[str, float] = field(default_factory=dict)
    now: Callable[[], float] = lambda: asyncio.get_running_loop().time()
    direct_reads: DirectReadLimiter = field(default_factory=DirectReadLimiter)
    call: Callable[..., Awaitable[PeerResponse | None]] = call_peer
    rng: random.Random = field(default_factory=random.Random)
    on_stale_peer: Callable[[], None] = lambda: None
    saw_stale: bool = False
    substitute: PeerEntry | None = None
    peer_reads: int = 0
    store_reads: int = 0

    def set_peers(self, peers: Mapping[str, PeerEntry]) -> None:
        """Read through these entries from now on."""
        self.plan = plan_reads(self.name, self.region, peers)
        self.paused_until = {n: t for n, t in self.paused_until.items() if n in peers}
        self.substitute = None

    async def list_kind(self, kind: str) -> Result[KindList, StoreError]:
        """Read all objects of a kind."""

        async def read_store() -> Result[KindList, StoreError]:
            return await self.store.list_kind(kind)

        return await self._read(kind, None, read_store, decode_list)

    async def watch_kind(
        self, kind: str, revision: int, wait_s: float
    ) -> Result[KindChanges, StoreError]:
        """Wait for changes of a kind after a revision."""
        wait_s = min(wait_s, self.direct_wait_s)

        async def read_store() -> Result[KindChanges, StoreError]:
            return await self.store.watch_kind(kind, revision, wait_s)

        return await self._read(kind, revision, read_store, decode_changes)

    async def _read(self, kind: str, after: int | None, read_store, decode):
        """Ask the parent, then as a reader the store, then other peers."""
        self.saw_stale = False
        started = self.now()
        result = Failure(Unavailable(kind, "the store failed a moment ago"))
        found = await self._ask_parent(kind, after, decode)
        if found is None and self.plan.is_reader:
            result = await self._read_store(result, read_store)
            if not _is_unavailable(result):
                return result
        if found is None:
            found = await self._ask_others(kind, after, decode, started)
        if found is None and not self.plan.is_reader:
            result = await self._read_store(result, read_store)
            if not _is_unavailable(result):
                return result
        if found is None:
            if self.saw_stale:
                self.on_stale_peer()
            return result
        self.peer_reads += 1
        self.direct_reads.note_news()
        return found

    async def _read_store(self, result: Result, read_store) -> Result:
        """Return the store's answer, or `result` if it may not be asked now."""
        if not self.direct_reads.may_read(self.plan, self.now()):
            return result
        self.store_reads += 1
        result = await read_store()
        if _is_unavailable(result):
            self.direct_reads.note_failed(self.plan, self.now())
        else:
            self.direct_reads.note_news()
        return result

    async def _ask_parent(self, kind: str, after: int | None, decode) -> Result | None:
        parent = self.plan.parent
        if parent is None or self._is_paused(parent):
            return None
        holds = not self.plan.is_reader
        wait_s = self._news_wait_s(after)
        if holds:
            wait_s = self.direct_wait_s + NEWS_SLACK_S
        request = FeedRequest(kind, after, wait_s, holds)
        stale_pause_s = 0.0 if holds else PEER_PAUSE_S
        return await self._ask(parent, request, decode, stale_pause_s)

    async def _ask_others(
        self, kind: str, after: int | None, decode, started: float
    ) -> Result | None:
        """Ask other peers for what they know now; wait at the one that had news last.

        A peer that may be dark is not waited at, since the news are late already.
        """
        waits = self.substitute is not None and not self._was_slow(started)
        if waits and not self._is_paused(self.substitute):
            request = FeedRequest(kind, after, self._news_wait_s(after))
            found = await self._ask(self.substitute, request, decode, STALE_PAUSE_S)
            if found is not None:
                return found
        self.substitute = None
        for peer in self._candidates(is_list=after is None):
            if peer == self.plan.parent or self._is_paused(peer):
                continue
            request = FeedRequest(kind, after)
            found = await self._ask(peer, request, decode, STALE_PAUSE_S)
            if found is not None:
                self.substitute = peer
                return found
            if self.now() - started > MAX_READ_S:
                # Another wait would delay the news further than one entry may be
                # behind; the store is asked instead.
                break
        return None

    def _candidates(self, is_list: bool) -> list[PeerEntry]:
        """Return whom to ask beside the parent.

        Lists are long: a region that asks its few readers for them fills their links.
        """
        anyone = self.plan.anyone
        if is_list and not self.plan.is_reader:
            return self.rng.sample(anyone, min(LIST_PEERS, len(anyone)))
        peers = list(self.plan.others)
        if anyone:
            peers.append(self.rng.choice(anyone))
        return list(dict.fromkeys(peers))

    def _was_slow(self, started: float) -> bool:
        """Whether a peer that was asked in this read has cost much of its time."""
        return self.now() - started > CONNECT_TIMEOUT_S + PEER_SLACK_S

    def _news_wait_s(self, after: int | None) -> float:
        """Return how long a peer may hold a request until it has news."""
        return 0.0 if after is None else self.direct_wait_s + NEWS_SLACK_S

    def _is_paused(self, peer: PeerEntry) -> bool:
        return self.now() < self.paused_until.get(peer.name, 0.0)

    async def _ask(
        self, peer: PeerEntry, request: FeedRequest, decode, stale_pause_s: float
    ) -> Result | None:
        """Return a peer's fresh answer, or that its history is gone, or None."""
        slack_s = LIST_SLACK_S if request.after is None else PEER_SLACK_S
        timeout_s = request.wait_s + slack_s
        target = request.target()
        answer = await self.call(self.pool, peer.address, target, timeout_s)
        pause_s = PEER_PAUSE_S
        if answer is None:
            reason = "no answer"
        elif answer.status == GONE:
            return Failure(HistoryGone(request.kind))
        elif answer.status == OK:
            found, reason = self._decoded(answer, decode)
            if found is not None:
                return Success(found)
        else:
            self.saw_stale, reason = True, f"answer {answer.status}"
            pause_s = stale_pause_s
        self.paused_until[peer.name] = self.now() + pause_s
        log.info(
            "peer not used for feeds", peer=peer.name, feed=request.kind, reason=reason
        )
        return None

    def _decoded(self, answer: PeerResponse, decode) -> tuple[object | None, str]:
        """Return what a peer tells if it is fresh, else why it is not used."""
        try:
            found = decode(answer)
        except CodecError as error:
            return None, str(error)
        if found.confirmed_after_s < -self.max_age_s:
            self.saw_stale = True
            return None, "its knowledge is old"
        return found, ""


def _is_unavailable(result: Result) -> bool:
    """Whether a read of the store failed in a way that a peer may make good."""
    if isinstance(result, Success):
        return False
    return not isinstance(result.failure(), HistoryGone)
