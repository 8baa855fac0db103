"""Reading the store through another entry.

The store's rates grow more slowly than the fleet and each call is paid, so the
entries of a region read it through those that come first by rendezvous hash. An
answer tells the age of what it holds, so that a reader knows how fresh its keys
are. Whenever a peer fails or is behind, the entry reads the store itself; an entry
that the store turns away goes on through its peers.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog
from returns.result import Failure, Result, Success

from monsoontack.core.rendezvous import ranked, stable_hash
from monsoontack.gateway.peers import CONNECT_TIMEOUT_S, PeerEntry, call_peer
from monsoontack.gateway.pool import ConnectionPool
from monsoontack.gateway.records import RawRequest
from monsoontack.gateway.responder import Responder
from monsoontack.store.api import (
    HistoryGone,
    KindChange,
    KindChanges,
    KindList,
    KindObject,
    KindStore,
    StoreError,
    Unavailable,
)
from monsoontack.store.cache import KindCache

log = structlog.get_logger("gateway.relay")

RANK_KEY = "store-readers"
# Peers that are tried before the store; the first of a region reads the store.
MAX_PEERS = 2
# A peer holds a request without news this long, well below the 2.5 s within which
# a leaving server gets no more requests, also if the peer goes dark meanwhile.
PEER_WAIT_S = 0.6
PEER_SLACK_S = 0.4
# A peer whose knowledge is older than this has lost the store itself. With a wait at
# the peer an entry reads the store at most 1.5 s after its peers lost it; a
# configuration has to be in force within 2.5 s.
MAX_PEER_AGE_S = 0.9
# A peer that failed is not asked again for this time.
PEER_PAUSE_S = 4.0
# An entry that the store fails reads through its peers for this time; it holds for
# all its feeds, so that an outage costs few calls and its end is noticed soon.
STORE_PAUSE_S = 0.5
GONE = 410
PATH = b"/feeds/"


@dataclass(slots=True)
class RelayServer:
    """Answers peers from the caches of this entry's feeds."""

    caches: dict[str, KindCache] = field(default_factory=dict)

    async def handle(self, raw: RawRequest, responder: Responder) -> None:
        """Answer `GET /feeds/KIND?after=REVISION&wait_ms=MS`; no query: a list."""
        path, _, query = raw.target.partition(b"?")
        cache = self.caches.get(path.removeprefix(PATH).decode("latin-1"))
        if cache is None or not cache.is_loaded:
            responder.send(503, ())
            return
        started = cache.boot()
        if cache.age_s() > MAX_PEER_AGE_S:
            responder.send(503, ())
            return
        try:
            fields = dict(item.split("=", 1) for item in query.decode().split("&"))
            after, wait_s = int(fields["after"]), int(fields["wait_ms"]) / 1000
        except (ValueError, KeyError):
            responder.send(200, (), _list_body(cache))
            return
        changes = cache.since(after)
        if changes is not None and not changes:
            await cache.wait(min(wait_s, PEER_WAIT_S))
            changes = cache.since(after)
        if changes is None:
            responder.send(GONE, ())
            return
        waited_s = cache.boot() - started
        responder.send(200, (), _changes_body(cache, changes, waited_s))


def _list_body(cache: KindCache) -> bytes:
    document = {
        "revision": cache.revision,
        "confirmed_after_s": -cache.age_s(),
        "objects": [_encode(item) for item in cache.objects.values()],
    }
    return json.dumps(document).encode()


def _changes_body(
    cache: KindCache, changes: tuple[KindChange, ...], waited_s: float
) -> bytes:
    document = {
        "revision": cache.revision,
        "confirmed_after_s": waited_s - cache.age_s(),
        "changes": [[change.removed, _encode(change.object)] for change in changes],
    }
    return json.dumps(document).encode()


def _encode(item: KindObject) -> list:
    return [item.name, item.revision, item.spec, item.status]


@dataclass(slots=True)
class StorePause:
    """Until when an entry does not ask the store itself (loop's time)."""

    until: float = 0.0


@dataclass(slots=True)
class RelayedStore:
    """`KindStore` that asks peers first and the store itself otherwise.

    `direct_wait_s` bounds a watch of the store, `pause` is shared by the feeds of
    one entry. `on_stale_peer` hears when
    a read failed because no peer knows more than this entry (`saw_stale`). `by_peer`
    and `by_store` count the calls that were answered by each.
    """

    name: str
    region: str
    store: KindStore
    direct_wait_s: float
    pool: ConnectionPool
    peers: dict[str, PeerEntry] = field(default_factory=dict)
    paused_until: dict[str, float] = field(default_factory=dict)
    now: Callable[[], float] = lambda: asyncio.get_running_loop().time()
    pause: StorePause = field(default_factory=StorePause)
    on_stale_peer: Callable[[], None] = lambda: None
    saw_stale: bool = False
    by_peer: int = 0
    by_store: int = 0

    def _peers(self, before_own: bool) -> list[PeerEntry]:
        """Return the peers before or after this entry that may be asked.

        The only entry of a region asks the others once the store has failed it.
        """
        own = {n: p for n, p in self.peers.items() if p.region == self.region}
        is_alone = not own.keys() - {self.name}
        if is_alone:
            own = self.peers
        order = ranked(stable_hash(RANK_KEY), {*own, self.name})
        place = 0 if is_alone else order.index(self.name)
        names = order[:place] if before_own else order[place:]
        names = [name for name in names if name != self.name]
        now = self.now()
        usable = [n for n in names if now >= self.paused_until.get(n, 0.0)]
        return [own[name] for name in usable[:MAX_PEERS]]

    async def list_kind(self, kind: str) -> Result[KindList, StoreError]:
        """Read all objects of a kind."""

        async def read_store() -> Result[KindList, StoreError]:
            return await self.store.list_kind(kind)

        return await self._read(kind, "", PEER_SLACK_S, read_store, _list)

    async def watch_kind(
        self, kind: str, revision: int, wait_s: float
    ) -> Result[KindChanges, StoreError]:
        """Wait for changes of a kind after a revision."""
        wait_s = min(wait_s, self.direct_wait_s)

        async def read_store() -> Result[KindChanges, StoreError]:
            return await self.store.watch_kind(kind, revision, wait_s)

        query = f"?after={revision}&wait_ms={int(PEER_WAIT_S * 1000)}"
        timeout_s = PEER_WAIT_S + PEER_SLACK_S
        return await self._read(kind, query, timeout_s, read_store, _changes)

    async def _read(self, kind: str, query: str, timeout_s: float, read_store, decode):
        """Ask earlier peers, then the store, then later peers."""
        self.saw_stale = False
        found = await self._ask_all(self._peers(True), kind, query, timeout_s)
        result = Failure(Unavailable(kind, "the store failed a moment ago"))
        if found is None and self.now() >= self.pause.until:
            self.by_store += 1
            result = await read_store()
            if isinstance(result, Success):
                self.pause.until = 0.0
                return result
            if isinstance(result.failure(), HistoryGone):
                return result
            self.pause.until = self.now() + STORE_PAUSE_S
        if found is None:
            found = await self._ask_all(self._peers(False), kind, query, timeout_s)
        if found is None:
            if self.saw_stale:
                self.on_stale_peer()
            return result
        self.by_peer += 1
        return Failure(HistoryGone(kind)) if found == GONE else Success(decode(found))

    async def _ask_all(
        self, peers: list[PeerEntry], kind: str, query: str, timeout_s: float
    ) -> dict | int | None:
        started = self.now()
        for peer in peers:
            found = await self._ask(peer, kind, query, timeout_s)
            if found is not None:
                return found
            if self.now() - started > CONNECT_TIMEOUT_S + PEER_SLACK_S:
                # Another wait would delay the news further than one entry may be
                # behind; the store is asked instead.
                break
        return None

    async def _ask(
        self, peer: PeerEntry, kind: str, query: str, timeout_s: float
    ) -> dict | int | None:
        """Return a peer's fresh answer, a status that is final, or None."""
        answer = await self._call(peer, f"{PATH.decode()}{kind}{query}", timeout_s)
        if answer == GONE:
            return GONE
        if isinstance(answer, dict):
            if answer["confirmed_after_s"] >= -MAX_PEER_AGE_S:
                return answer
            reason = "its knowledge is old"
        else:
            reason = f"answer {answer}"
        self.saw_stale = self.saw_stale or answer is not None
        self.paused_until[peer.name] = self.now() + PEER_PAUSE_S
        log.info("peer not used for feeds", peer=peer.name, feed=kind, reason=reason)
        return None

    async def _call(
        self, peer: PeerEntry, path: str, timeout_s: float
    ) -> dict | int | None:
        answer = await call_peer(self.pool, peer.address, path, timeout_s)
        if answer is None:
            return None
        if answer.status != 200:
            return answer.status
        try:
            return json.loads(answer.body)
        except ValueError:
            return None


def _list(found: dict) -> KindList:
    objects = tuple(KindObject(*row) for row in found["objects"])
    return KindList(objects, found["revision"], found["confirmed_after_s"])


def _changes(found: dict) -> KindChanges:
    changes = tuple(
        KindChange(KindObject(*row), removed) for removed, row in found["changes"]
    )
    return KindChanges(changes, found["revision"], found["confirmed_after_s"])
