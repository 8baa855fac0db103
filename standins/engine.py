"""Simulated inference engine: `python -m standins.engine --port N --versions v1,v2`.

Implements the engine API of docs/platform.md with continuous batching: up to
`--slots` requests each produce one token every `--token-gap-s` seconds, and further
requests wait in order of priority. `standins.faults` describes the faults. For tests,
`GET /requests` reports the requests that the engine has received.
"""

import argparse
import asyncio
import heapq
import itertools
import json
from collections import OrderedDict, deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import falcon
import falcon.asgi

from standins.answers import (
    DEFAULT_MAX_TOKENS,
    prefix_blocks,
    prompt_text,
    token_at,
)
from standins.faults import (
    Fault,
    FaultSet,
    FaultsResource,
    RequestFailedError,
    inject_faults,
)
from standins.serving import abort_connection, serve

MAX_CACHE_EVENTS = 4096


@dataclass(slots=True)
class EngineOptions:
    """Options of the command line, as parsed by `parse_options`."""

    versions: list[str]
    slots: int = 16
    token_gap_s: float = 0.02
    checks_fencing: bool = False
    load_lag_s: float = 0.2
    cache_blocks: int = 1024
    cache_lag_s: float = 0.5
    cache_gap_every: int = 0


class Slots:
    """The batch: up to `size` requests run; others wait, highest priority first."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.running = 0
        self.waiting: list[tuple[int, int, asyncio.Future]] = []
        self.arrivals = itertools.count()

    async def acquire(self, priority: int) -> None:
        """Wait for a slot in the batch."""
        if self.running < self.size:
            self.running += 1
            return
        waiter = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (-priority, next(self.arrivals), waiter))
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Release a slot and pass it to the next waiting request."""
        self.running -= 1
        while self.waiting:
            _, _, waiter = heapq.heappop(self.waiting)
            if not waiter.done():
                self.running += 1
                waiter.set_result(None)
                return


class PrefixCache:
    """Cached prompt blocks in LRU order, and the cache events."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.blocks: OrderedDict[int, None] = OrderedDict()
        self.events: deque[tuple[float, dict]] = deque(maxlen=MAX_CACHE_EVENTS)
        self.sequence = 0

    def use(self, blocks: list[int], now: float) -> None:
        """Store the blocks of one prompt and evict blocks beyond the capacity."""
        stored = [block for block in blocks if block not in self.blocks]
        for block in blocks:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        evicted = []
        while len(self.blocks) > self.options.cache_blocks:
            evicted.append(self.blocks.popitem(last=False)[0])
        self.record("stored", stored, now)
        self.record("evicted", evicted, now)

    def record(self, kind: str, blocks: list[int], now: float) -> None:
        """Append an event; `cache_gap_every` = n drops every n-th event."""
        if not blocks:
            return
        self.sequence += 1
        every = self.options.cache_gap_every
        if every and self.sequence % every == 0:
            return
        event = {"sequence": self.sequence, "kind": kind, "blocks": blocks}
        self.events.append((now + self.options.cache_lag_s, event))

    def events_after(self, sequence: int, now: float) -> list[dict]:
        """Return the visible events with a higher sequence number than `sequence`."""
        return [
            event
            for visible_at, event in self.events
            if visible_at <= now and event["sequence"] > sequence
        ]


@dataclass(slots=True)
class ActiveRequest:
    """A request that waits for a slot or runs in the batch."""

    request: falcon.asgi.Request
    body: dict
    route: str
    selected_faults: list[Fault]
    cancelled: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def version(self) -> str:
        """Model version that the request uses."""
        return self.body["version"]


class Engine:
    """State of the simulated engine, shared by its HTTP resources."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.versions = list(options.versions)
        self.slots = Slots(options.slots)
        self.cache = PrefixCache(options)
        self.faults = FaultSet()
        self.active_requests: dict[str, ActiveRequest] = {}
        self.fence = 0
        self.load: tuple[float, dict] = (0.0, {})
        self.recent_requests: deque[dict] = deque(maxlen=1000)

    def report_load(self, now: float) -> dict:
        """Return the load, at most `load_lag_s` old."""
        taken_at, load = self.load
        if not load or now - taken_at >= self.options.load_lag_s:
            load = {
                "running": self.slots.running,
                "queued": len(self.active_requests) - self.slots.running,
                "slots": self.slots.size,
            }
            taken_at, self.load = now, (now, load)
        return dict(load, age_s=now - taken_at)

    async def inject_faults(self, active: ActiveRequest, position: int | None) -> None:
        """Inject the faults of a request that are due before `position`."""
        await inject_faults(
            self.faults,
            active.selected_faults,
            position,
            active.route,
            active.version,
            self.slots.running,
        )

    async def generate(self, active: ActiveRequest) -> AsyncIterator[bytes]:
        """Yield the SSE events of one request."""
        request_id = active.body.get("request_id", "")
        self.active_requests[request_id] = active
        try:
            await self.slots.acquire(int(active.body.get("priority") or 0))
            try:
                async for event in self.produce(active):
                    yield event
            finally:
                self.slots.release()
        except RequestFailedError:
            abort_connection(active.request)
        finally:
            if self.active_requests.get(request_id) is active:
                del self.active_requests[request_id]

    async def produce(self, active: ActiveRequest) -> AsyncIterator[bytes]:
        """Yield one event for each token from the resumed position on."""
        body = active.body
        prompt, seed = prompt_text(body), int(body.get("seed") or 0)
        now = asyncio.get_running_loop().time()
        self.cache.use(prefix_blocks(prompt), now)
        begin = len(body.get("resume_token_ids") or ())
        end = int(body.get("max_tokens") or DEFAULT_MAX_TOKENS)
        for position in range(begin, end):
            if not await self.wait_token(active, position):
                return
            token, text = token_at(active.version, prompt, seed, position)
            finish = "length" if position + 1 == end else ""
            yield encode_event(position, [token], [text], finish)
        if begin >= end:
            yield encode_event(begin, [], [], "length")
        yield b"data: [DONE]\n\n"

    async def wait_token(self, active: ActiveRequest, position: int) -> bool:
        """Wait until the token is due; return False if the request was cancelled."""
        if not active.selected_faults:
            await asyncio.sleep(self.options.token_gap_s)
            return not active.cancelled.is_set()
        work = asyncio.ensure_future(self.wait_gap_and_faults(active, position))
        cancelled = asyncio.ensure_future(active.cancelled.wait())
        try:
            await asyncio.wait((work, cancelled), return_when="FIRST_COMPLETED")
            if not cancelled.done():
                await work
            return not active.cancelled.is_set()
        finally:
            work.cancel()
            cancelled.cancel()

    async def wait_gap_and_faults(self, active: ActiveRequest, position: int) -> None:
        """Wait for the token gap, then inject the faults due before this position."""
        await asyncio.sleep(self.options.token_gap_s)
        await self.inject_faults(active, position)


def encode_event(position: int, tokens: list, texts: list, finish: str) -> bytes:
    """Return one SSE event of the engine's stream."""
    event = {
        "first_position": position,
        "token_ids": tokens,
        "texts": texts,
        "finish": finish,
    }
    return b"data: " + json.dumps(event).encode() + b"\n\n"


class CompletionResource:
    """`POST /v1/completions` and `/v1/chat/completions`."""

    def __init__(self, engine: Engine, route: str) -> None:
        self.engine = engine
        self.route = route

    async def on_post(self, request, response) -> None:
        """Start a stream, or refuse a version that is not loaded."""
        body = await request.get_media()
        body.setdefault("version", self.engine.versions[0])
        if body["version"] not in self.engine.versions:
            response.status = 409
            response.media = {"code": "version_not_loaded"}
            return
        selected_faults = self.engine.faults.select_faults(self.route, body["version"])
        active = ActiveRequest(request, body, self.route, selected_faults)
        resumed = len(body.get("resume_token_ids") or ())
        self.engine.recent_requests.append(
            {"request_id": body.get("request_id", ""), "resumed": resumed}
        )
        try:
            await self.engine.inject_faults(active, None)
        except RequestFailedError:
            response.status = 500
            response.media = {"code": "engine_fault"}
            return
        response.content_type = "text/event-stream"
        response.stream = self.engine.generate(active)


class CancelResource:
    """`POST /cancel`."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    async def on_post(self, request, response) -> None:
        """Cancel a request; an unknown request is not an error."""
        body = await request.get_media()
        active = self.engine.active_requests.get(body["request_id"])
        if active is not None:
            active.cancelled.set()
        response.media = {"cancelled": active is not None}


class OrdersResource:
    """`POST /orders`."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    async def on_post(self, request, response) -> None:
        """Execute an order, unless its fencing number is outdated."""
        body = await request.get_media()
        fence = int(body.get("fence") or 0)
        if self.engine.options.checks_fencing and fence < self.engine.fence:
            response.status = 409
            response.media = {"code": "fenced"}
            return
        self.engine.fence = max(fence, self.engine.fence)
        versions, version = self.engine.versions, body.get("version", "")
        if body["kind"] == "load" and version not in versions:
            versions.append(version)
        if body["kind"] == "unload" and version in versions:
            versions.remove(version)
        response.media = {"code": "ok"}


class ReportResource:
    """The engine's GET calls: load, cache events, versions and requests."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine

    async def on_get_load(self, request, response) -> None:
        """Return the load."""
        response.media = self.engine.report_load(asyncio.get_running_loop().time())

    async def on_get_cache(self, request, response) -> None:
        """Return the cache events after a sequence number."""
        after = request.get_param_as_int("after", default=0)
        now = asyncio.get_running_loop().time()
        response.media = {"events": self.engine.cache.events_after(after, now)}

    async def on_get_versions(self, request, response) -> None:
        """Return the loaded versions."""
        response.media = {"versions": self.engine.versions}

    async def on_get_requests(self, request, response) -> None:
        """Return the recent requests and the ids of the active ones."""
        response.media = {
            "seen": list(self.engine.recent_requests),
            "held": sorted(self.engine.active_requests),
        }


def make_app(engine: Engine) -> falcon.asgi.App:
    """Return the ASGI application of an engine."""
    app = falcon.asgi.App()
    report = ReportResource(engine)
    app.add_route("/v1/completions", CompletionResource(engine, "completions"))
    app.add_route("/v1/chat/completions", CompletionResource(engine, "chat"))
    app.add_route("/cancel", CancelResource(engine))
    app.add_route("/orders", OrdersResource(engine))
    app.add_route("/load", report, suffix="load")
    app.add_route("/cache_events", report, suffix="cache")
    app.add_route("/versions", report, suffix="versions")
    app.add_route("/requests", report, suffix="requests")
    app.add_route("/faults", FaultsResource(engine.faults))
    return app


def parse_options() -> tuple[int, EngineOptions]:
    """Return the port and the options from the command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--versions", default="v1", help="comma-separated")
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--token-gap-s", type=float, default=0.02)
    parser.add_argument("--checks-fencing", action="store_true")
    parser.add_argument("--load-lag-s", type=float, default=0.2)
    parser.add_argument("--cache-blocks", type=int, default=1024)
    parser.add_argument("--cache-lag-s", type=float, default=0.5)
    parser.add_argument("--cache-gap-every", type=int, default=0)
    values = vars(parser.parse_args())
    values["versions"] = values["versions"].split(",")
    port = values.pop("port")
    return port, EngineOptions(**values)


if __name__ == "__main__":
    PORT, OPTIONS = parse_options()
    serve(make_app(Engine(OPTIONS)), PORT)
