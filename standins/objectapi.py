"""Simulated object API: `python -m standins.objectapi --port N`.

Implements the object API of docs/platform.md over the in-memory store.
`POST /faults` takes `{"outage", "lose_answers", "delay_s", "reads_per_s",
"writes_per_s"}`: refuse every call with 503; break the connection after each of the
next n writes has taken effect; delay each call; respond 429 above a rate (0 means no
limit). `GET /faults` also reports the number of calls by kind.
"""

import argparse
import asyncio
import base64
import math
from dataclasses import dataclass

import falcon.asgi
from returns.result import Failure, Success

from monsoontack.store.api import (
    MAX_VALUE_BYTES,
    Ambiguous,
    Conflict,
    NotFound,
    StoredObject,
    Unavailable,
)
from monsoontack.store.memory import MemoryStore
from standins.serving import abort_connection, serve


@dataclass(slots=True)
class RateLimit:
    """Token bucket with a capacity of one second of calls; a rate of 0 has no limit.

    The bucket is full when a rate is set, and its capacity is at least one call.
    """

    rate: float = 0.0
    available: float = 0.0
    filled_at: float = 0.0

    def set_rate(self, rate: float, now: float) -> None:
        """Set the rate in calls per second and fill the bucket."""
        self.rate, self.available, self.filled_at = rate, max(rate, 1.0), now

    def admit(self, now: float) -> bool:
        """Return whether a call at `now` is within the rate."""
        if not self.rate:
            return True
        self.available += (now - self.filled_at) * self.rate
        self.available = min(self.available, max(self.rate, 1.0))
        self.filled_at = now
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


class ObjectApi:
    """In-memory store with rate limits for reads and writes."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.reads = RateLimit()
        self.writes = RateLimit()

    def over_rate(self, limit: RateLimit, response) -> bool:
        """Return whether a call exceeds the rate; if so, fill in the response."""
        if limit.admit(asyncio.get_running_loop().time()):
            return False
        response.status = 429
        response.set_header("Retry-After", str(math.ceil(1 / limit.rate)))
        return True


def fill_response(request, response, result, success_status: int = 200) -> None:
    """Fill in the response for a store result."""
    match result:
        case Success(StoredObject() as stored):
            response.status = success_status
            fill_object(response, stored)
        case Success(_):
            response.status = 204
        case Failure(NotFound()):
            response.status = 404
        case Failure(Conflict(current=current)):
            response.status = 412
            if current is not None:
                fill_object(response, current)
        case Failure(Unavailable()):
            response.status = 503
        case Failure(Ambiguous()):
            abort_connection(request)


def fill_object(response, stored: StoredObject) -> None:
    """Put an object's value and version into the response."""
    response.data = stored.value
    response.content_type = "application/octet-stream"
    response.set_header("ETag", f'"{stored.version}"')


def read_version(request) -> int | None:
    """Return the version in `If-Match`, or None without that header."""
    header = request.get_header("If-Match")
    return int(header.strip('"')) if header else None


class ObjectSink:
    """Handles all calls of `/objects/{key}`; a sink, because keys contain slashes."""

    def __init__(self, api: ObjectApi) -> None:
        self.api = api

    async def __call__(self, request, response, key: str) -> None:
        """Dispatch a call by its method."""
        if request.method == "GET":
            await self.read(request, response, key)
        elif request.method in ("PUT", "DELETE"):
            await self.write(request, response, key)
        else:
            response.status = 405

    async def read(self, request, response, key: str) -> None:
        """Read or watch one object."""
        if self.api.over_rate(self.api.reads, response):
            return
        after = request.get_param_as_int("after")
        if after is None:
            fill_response(request, response, await self.api.store.get(key))
            return
        timeout_s = request.get_param_as_float("timeout_s", default=30.0)
        result = await self.api.store.watch(key, after, timeout_s)
        fill_response(request, response, result)

    async def write(self, request, response, key: str) -> None:
        """Create, update or delete one object."""
        value = await request.stream.read()
        if len(value) > MAX_VALUE_BYTES:
            response.status = 413
            return
        if self.api.over_rate(self.api.writes, response):
            return
        version = read_version(request)
        store = self.api.store
        if request.method == "DELETE" and version is not None:
            result = await store.delete(key, version)
        elif request.get_header("If-None-Match") == "*":
            result = await store.create(key, value)
        elif version is not None:
            result = await store.update(key, value, version)
        else:
            response.status = 428
            return
        fill_response(request, response, result)


class ListResource:
    """`GET /objects?prefix=`."""

    def __init__(self, api: ObjectApi) -> None:
        self.api = api

    async def on_get(self, request, response) -> None:
        """List the objects whose keys start with the prefix."""
        if self.api.over_rate(self.api.reads, response):
            return
        result = await self.api.store.list(request.get_param("prefix", default=""))
        if isinstance(result, Failure):
            fill_response(request, response, result)
            return
        response.media = {
            "objects": [
                {
                    "key": stored.key,
                    "version": stored.version,
                    "value_base64": base64.b64encode(stored.value).decode(),
                }
                for stored in result.unwrap()
            ]
        }


class ObjectFaultsResource:
    """`POST` and `GET /faults`."""

    def __init__(self, api: ObjectApi) -> None:
        self.api = api

    async def on_post(self, request, response) -> None:
        """Set the faults that the body names; keep the others."""
        body = await request.get_media()
        faults = self.api.store.faults
        faults.outage = bool(body.get("outage", faults.outage))
        faults.lose_answers = int(body.get("lose_answers", faults.lose_answers))
        faults.delay_s = float(body.get("delay_s", faults.delay_s))
        now = asyncio.get_running_loop().time()
        if "reads_per_s" in body:
            self.api.reads.set_rate(float(body["reads_per_s"]), now)
        if "writes_per_s" in body:
            self.api.writes.set_rate(float(body["writes_per_s"]), now)
        await self.on_get(request, response)

    async def on_get(self, request, response) -> None:
        """Return the faults in force and the calls counted by kind."""
        faults = self.api.store.faults
        response.media = {
            "outage": faults.outage,
            "lose_answers": faults.lose_answers,
            "delay_s": faults.delay_s,
            "reads_per_s": self.api.reads.rate,
            "writes_per_s": self.api.writes.rate,
            "calls": dict(self.api.store.calls),
        }


def make_app(api: ObjectApi) -> falcon.asgi.App:
    """Return the ASGI application of the object API."""
    app = falcon.asgi.App()
    app.add_route("/objects", ListResource(api))
    app.add_route("/faults", ObjectFaultsResource(api))
    app.add_sink(ObjectSink(api), r"/objects/(?P<key>.+)")
    return app


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--port", type=int, required=True)
    serve(make_app(ObjectApi()), parser.parse_args().port)
