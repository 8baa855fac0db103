"""Answers to entries that read the store through this one.

The store's rate limits grow more slowly than the fleet and each call is billed, so
entries read the store through each other (`monsoontack.relaying`), along the tree of
`readtree`. Each response states the age of its content, so that the reading entry knows
how fresh its API keys are. An entry forwards the confirmation that nothing changed as
soon as it receives it, so that ages do not add up along the tree.
"""

import asyncio
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

import structlog

from monsoontack.gateway.feedcodec import FeedEncoder
from monsoontack.gateway.records import RawRequest
from monsoontack.inbound.responder import Responder
from monsoontack.store.cache import KindCache
from monsoontack.store.eras import era_of

log = structlog.get_logger("gateway.relay")

# Upper bound of the wait that a peer can request.
MAX_REQUEST_WAIT_MS = 30_000
# Added to a wait until data is too old, so that it is not found fresh at its end.
CLOCK_STEP_S = 0.001
OK, GONE, UNAVAILABLE = 200, 410, 503
FEEDS_PATH = b"/feeds/"


@dataclass(frozen=True, slots=True)
class FeedRequest:
    """Request of a peer for the changes of a kind after a revision.

    If `after` is None it asks for all objects. The serving entry waits up to `wait_s`
    for an update; with `waits_while_stale` it also waits while its own data is stale,
    and with `accepts_stale` it answers with stale data.
    """

    kind: str
    after: int | None = None
    wait_s: float = 0.0
    waits_while_stale: bool = False
    accepts_stale: bool = False

    @classmethod
    def from_target(cls, target: bytes) -> "FeedRequest":
        """Parse a request target; raises `ValueError` if it is malformed."""
        path, _, query = target.partition(b"?")
        fields = dict(parse_qsl(query.decode("latin-1")))
        after = int(fields["after"]) if "after" in fields else None
        wait_ms = min(max(int(fields.get("wait_ms", "0")), 0), MAX_REQUEST_WAIT_MS)
        kind = path.removeprefix(FEEDS_PATH).decode("latin-1")
        accepts_stale = fields.get("stale") == "1"
        holds = fields.get("hold") == "1"
        return cls(kind, after, wait_ms / 1000, holds, accepts_stale)

    def target(self) -> str:
        """Return the request target: path and query."""
        query = f"wait_ms={int(self.wait_s * 1000)}&hold={int(self.waits_while_stale)}"
        if self.after is not None:
            query = f"after={self.after}&{query}"
        if self.accepts_stale:
            query += "&stale=1"
        return f"{FEEDS_PATH.decode()}{self.kind}?{query}"


@dataclass(slots=True, repr=False)
class RelayServer:
    """Answers requests of peers from the caches of this entry's feeds."""

    caches: dict[str, KindCache] = field(default_factory=dict)
    encoder: FeedEncoder = field(default_factory=FeedEncoder)

    async def handle(self, raw: RawRequest, responder: Responder) -> None:
        """Answer `GET /feeds/KIND?after=REVISION&wait_ms=MS&hold=0`."""
        try:
            request = FeedRequest.from_target(raw.target)
        except ValueError as error:
            log.warning("peer sent a malformed feed request", detail=str(error))
            responder.send(400, ())
            return
        cache = self.caches.get(request.kind)
        if cache is None:
            responder.send(UNAVAILABLE, ())
            return
        received_at = cache.boot_clock()
        status = await self._wait_for_update(cache, request)
        if status != OK:
            responder.send(status, ())
            return
        # Time from the arrival of the request to the confirmation of the content,
        # negative if the content was confirmed before the request arrived.
        confirmed_after_s = cache.boot_clock() - received_at - cache.age_s()
        headers, body = self.encoder.encode(cache, request.after, confirmed_after_s)
        responder.send(OK, headers, body)

    async def _wait_for_update(self, cache: KindCache, request: FeedRequest) -> int:
        """Wait for an update or the end of the wait; return the response status."""
        now = asyncio.get_running_loop().time
        deadline, last_confirmed_at = now() + request.wait_s, cache.confirmed_at
        if request.accepts_stale and cache.is_loaded and request.after is None:
            return OK
        while True:
            left_s = deadline - now()
            # A child that has heard of a restoration first learns nothing from here.
            is_former = era_of(request.after or 0) > era_of(cache.revision)
            if cache.is_fresh and not is_former:
                changes = cache.changes_since(request.after) if request.after else ()
                if changes is None:
                    return GONE
                has_update = bool(changes) or cache.confirmed_at > last_confirmed_at
                if not request.after or has_update or left_s <= 0:
                    return OK
            elif left_s <= 0 or not request.waits_while_stale:
                return UNAVAILABLE
            if not request.waits_while_stale:
                # The reading entry looks for another source as soon as this one fails.
                left_s = min(left_s, cache.fresh_for_s() + CLOCK_STEP_S)
            await cache.wait(left_s)
