"""Client of the platform's store: objects by kind and name, lists and watches.

It implements the protocols `KindStore` and `ObjectStore`. The key `leases/controller`
denotes the object `controller` of the kind `leases`. The store's revisions go back when
it is restored from a copy; here they are joined with the era that each response states.
A conditional write takes effect only in the era of its condition, as far as this client
can know: one that the store accepted in a later era counts as ambiguous. A read on a
reused connection that breaks without a response is retried once. A write is never
retried here, because it may have been applied.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any
from urllib.parse import quote

import structlog
from returns.result import Failure, Result, Success

from monsoontack.gateway.outbound import ExchangeFailure, FailureKind, HttpExchange
from monsoontack.gateway.pool import ConnectionPool
from monsoontack.gateway.records import Headers
from monsoontack.gateway.responsebody import read_response_body
from monsoontack.platform.responses import (
    Events,
    Object,
    ResponseError,
    UnreadableRecords,
    decode_events,
    decode_object,
    decode_page,
)
from monsoontack.platform.wire import keep_alive_s
from monsoontack.store.api import (
    Ambiguous,
    Conflict,
    EraSeen,
    HistoryGone,
    KindChange,
    KindChanges,
    KindList,
    KindObject,
    NotFound,
    StoredObject,
    StoreError,
    Unavailable,
)
from monsoontack.store.eras import MAX_ERA, era_of, join_revision, number_of

log = structlog.get_logger("platform.store")

# The era of the store's data, in each of its responses.
ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 5
OK = 200
OBJECTS_PATH = "/api/objects"
# A response takes 4 ms, and up to 60 times as long when the store is slow.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.6
# A watch that exceeds its wait by more than this margin has lost its connection.
WATCH_TIMEOUT_MARGIN_S = 0.7
# The store holds back an empty watch response for the whole wait, so the response was
# valid at the end of the wait, however long its delivery took. The margin covers
# rounding and clock differences.
CONFIRMATION_MARGIN_S = 0.05
MAX_LIST_PAGES = 1000
# A page holds about 1 MB, or one object of at most 1 MiB.
MAX_RESPONSE_BYTES = 4_194_304
# Limit for all pages of a list together; a list of 850 servers takes 300 KB.
MAX_LIST_BYTES = 33_554_432


@dataclass(frozen=True, slots=True)
class _Response:
    """A response, with the era in which the store sent it."""

    status: int
    body: bytes
    retry_after_s: float | None
    era: int = 0


@dataclass(slots=True, repr=False)
class StoreLineage:
    """Which copy of its data the store serves.

    `era` is the highest one that the store has stated; it rises when the store comes
    back from a copy and has lost its latest writes. `on_restored` is called then.
    `seen_at` is the loop time at which this process first saw the era.
    """

    era: int | None = None
    seen_at: float = 0.0
    on_restored: Callable[[int], None] = lambda era: None

    def note(self, headers: Headers) -> int:
        """Return the era of a response; record a higher one.

        A response without a readable era counts as one of the highest era.
        """
        era = _parse_era(headers)
        if era is None or era == self.era:
            return self.era or 0
        if self.era is None or era > self.era:
            before, self.era = self.era, era
            self.seen_at = asyncio.get_running_loop().time()
            if before is not None:
                log.warning("store was restored from a copy", era=era, before=before)
                self.on_restored(era)
        return era


@dataclass(slots=True, repr=False)
class PlatformStore:
    """Calls to the store at `address` (`ip:port`).

    With `allow_stale_reads`, reads may return data that is some seconds old; the store
    charges a tenth of the price for them. `calls` counts all calls.
    """

    address: str
    pool: ConnectionPool = field(
        default_factory=lambda: ConnectionPool(lambda headers: None, keep_alive_s)
    )
    allow_stale_reads: bool = False
    calls: int = 0
    lineage: StoreLineage = field(default_factory=StoreLineage)
    unreadable: UnreadableRecords = field(default_factory=UnreadableRecords)

    def era_seen(self) -> EraSeen | None:
        """Return the store's era, None before its first response."""
        lineage = self.lineage
        return None if lineage.era is None else EraSeen(lineage.era, lineage.seen_at)

    async def list_kind(self, kind: str) -> Result[KindList, StoreError]:
        """Read all objects of a kind, page by page.

        The result has the revision of the first page, so that a watch from there
        includes changes made while the other pages were read.
        """
        objects: list[KindObject] = []
        revision, after, size = None, None, 0
        starts = {""}
        first_era = None
        for _ in range(MAX_LIST_PAGES):
            query = "" if after is None else f"?after={quote(after, safe='')}"
            result = await self._read(
                f"{OBJECTS_PATH}/{kind}{query}", kind, CALL_TIMEOUT_S
            )
            page = result.bind(
                lambda response: self._decode(kind, response, decode_page)
            )
            if not isinstance(page, Success):
                return page
            era = result.unwrap().era
            if first_era not in (None, era):
                return Failure(Unavailable(kind, "the store was restored meanwhile"))
            first_era = era
            size += len(result.unwrap().body)
            if size > MAX_LIST_BYTES:
                return Failure(
                    Unavailable(kind, f"list exceeds {MAX_LIST_BYTES} bytes")
                )
            content = page.unwrap()
            objects += [_kind_object(entry, era) for entry in content.entries]
            if revision is None:
                revision = join_revision(era, content.store_revision)
            if not content.more_pages:
                break
            if content.last_name in starts:
                return Failure(Unavailable(kind, "a page does not lead to the next"))
            starts.add(content.last_name)
            after = content.last_name
        return Success(KindList(tuple(objects), revision))

    async def watch_kind(
        self, kind: str, revision: int, wait_s: float
    ) -> Result[KindChanges, StoreError]:
        """Wait for changes of a kind after a revision.

        History of a former era is gone, whatever the store has under its numbers now.
        """
        if era_of(revision) < (self.lineage.era or 0):
            return Failure(HistoryGone(kind))
        number = number_of(revision)
        path = f"{OBJECTS_PATH}/{kind}?watch={number}&wait_ms={int(wait_s * 1000)}"
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        result = await self._read(path, kind, wait_s + WATCH_TIMEOUT_MARGIN_S)
        waited_s = min(loop.time() - sent_at, wait_s) - CONFIRMATION_MARGIN_S
        if isinstance(result, Success) and result.unwrap().era != era_of(revision):
            return Failure(HistoryGone(kind))
        events = result.bind(
            lambda response: self._decode(kind, response, decode_events)
        )
        era = era_of(revision)
        return events.map(lambda found: _kind_changes(found, max(waited_s, 0.0), era))

    async def get(self, key: str) -> Result[StoredObject, StoreError]:
        """Read one object."""
        result = await self._read(_object_path(key), key, CALL_TIMEOUT_S)
        return result.bind(lambda response: self._decode_object(key, response))

    async def create(self, key: str, value: bytes) -> Result[StoredObject, StoreError]:
        """Write an object that must not exist yet."""
        kind, _, name = key.partition("/")
        body = _encode_object(name, value, None)
        return await self._write(
            "POST", f"{OBJECTS_PATH}/{quote(kind, safe='')}", key, body
        )

    async def update(
        self, key: str, value: bytes, version: int
    ) -> Result[StoredObject, StoreError]:
        """Replace an object whose version must still be `version`."""
        body = _encode_object(key.partition("/")[2], value, number_of(version))
        return await self._write("PUT", _object_path(key), key, body, version)

    async def delete(self, key: str, version: int) -> Result[None, StoreError]:
        """Remove an object whose version must still be `version`."""
        path = f"{_object_path(key)}?revision={number_of(version)}"
        result = await self._write("DELETE", path, key, b"", version)
        return result.map(lambda stored: None)

    async def put_status(
        self, key: str, status: Any, version: int
    ) -> Result[StoredObject, StoreError]:
        """Replace the status of an object whose version must be `version`."""
        name = key.partition("/")[2]
        metadata = {"name": name, "revision": number_of(version)}
        body = json.dumps({"metadata": metadata, "status": status}).encode()
        path = f"{_object_path(key)}/status"
        return await self._write("PUT", path, key, body, version)

    async def _read(
        self, path: str, key: str, timeout_s: float
    ) -> Result[_Response, StoreError]:
        if self.allow_stale_reads:
            path += f"{'&' if '?' in path else '?'}{STALE_READ_QUERY}"
        response = await self._call("GET", path, b"", timeout_s)
        if (
            isinstance(response, ExchangeFailure)
            and response.detail == STALE_CONNECTION_DETAIL
        ):
            response = await self._call("GET", path, b"", timeout_s)
        if isinstance(response, ExchangeFailure):
            return Failure(Unavailable(key, f"{response.kind}: {response.detail}"))
        return Success(response)

    async def _write(
        self, method: str, path: str, key: str, body: bytes, version: int | None = None
    ) -> Result[StoredObject, StoreError]:
        """Make one write, conditional on `version` if that is given."""
        if version is not None and era_of(version) < (self.lineage.era or 0):
            return await self._former_condition(key)
        response = await self._call(method, path, body, CALL_TIMEOUT_S)
        if isinstance(response, ExchangeFailure):
            detail = f"{response.kind}: {response.detail}"
            error = Ambiguous if response.maybe_sent else Unavailable
            return Failure(error(key, detail))
        if response.status == 409:
            return Failure(self._conflict(key, response))
        if response.status >= 500 and response.status != 503:
            return Failure(Ambiguous(key, f"status {response.status}"))
        is_other_era = version is not None and response.era != era_of(version)
        if is_other_era and response.status < 300:
            # The revision of the condition was given out again, for another state.
            return Failure(Ambiguous(key, "the store was restored meanwhile"))
        if method == "DELETE" and response.status < 300:
            return Success(StoredObject(key, b"", 0))
        return self._decode_object(key, response)

    def _decode(self, key: str, response: _Response, decode: Callable):
        """Return the decoded body of a successful response, else the error."""
        if response.status == 404:
            return Failure(NotFound(key, response.era))
        if response.status == 410:
            return Failure(HistoryGone(key))
        if not 200 <= response.status < 300:
            reason = f"status {response.status}"
            return Failure(Unavailable(key, reason, response.retry_after_s))
        kind = key.partition("/")[0]
        try:
            return Success(decode(kind, response.body, self.unreadable))
        except ResponseError as error:
            return Failure(Unavailable(key, f"malformed response: {error}"))

    def _decode_object(
        self, key: str, response: _Response
    ) -> Result[StoredObject, StoreError]:
        """Return the object in a successful response, else the error."""
        decoded = self._decode(key, response, decode_object)
        return decoded.map(lambda item: _stored_object(key, item, response.era))

    def _conflict(self, key: str, response: _Response) -> Conflict:
        """Return a conflict, also if the response lacks the current object."""
        decoded = self._decode_object(key, replace(response, status=OK))
        return Conflict(key, decoded.value_or(None))

    async def _former_condition(self, key: str) -> Result[StoredObject, StoreError]:
        """Return the conflict of a write whose condition is of a former era."""
        found = await self.get(key)
        if isinstance(found, Success):
            return Failure(Conflict(key, found.unwrap()))
        return found

    async def _call(
        self, method: str, path: str, body: bytes, timeout_s: float
    ) -> _Response | ExchangeFailure:
        """Make one call; a failure says whether the request may have been sent."""
        self.calls += 1
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        connection = self.pool.take_idle(self.address, "")
        reused = connection is not None
        if connection is None:
            connect_s = min(CONNECT_TIMEOUT_S, timeout_s)
            connection = await self.pool.connect(self.address, "", connect_s)
        if isinstance(connection, ExchangeFailure):
            return connection
        exchange = HttpExchange(None)
        head = (
            f"{method} {path} HTTP/1.1\r\nhost: {self.address}\r\n"
            f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        connection.start(exchange, head.encode() + body)
        try:
            response = await _read_response(exchange, deadline, reused)
        finally:
            exchange.abort()
        if isinstance(response, ExchangeFailure):
            return response
        era = self.lineage.note(exchange.headers)
        if era < (self.lineage.era or 0):
            detail = f"response of the former era {era}"
            return ExchangeFailure(FailureKind.FOREIGN, True, detail)
        return replace(response, era=era)


STALE_CONNECTION_DETAIL = "stale connection"
STALE_READ_QUERY = "serializable=1"


async def _read_response(
    exchange: HttpExchange, deadline: float, reused: bool
) -> _Response | ExchangeFailure:
    body = await read_response_body(exchange, deadline, MAX_RESPONSE_BYTES)
    if isinstance(body, ExchangeFailure):
        is_stale = (
            reused and exchange.failure is not None and not exchange.received_bytes
        )
        if is_stale and asyncio.get_running_loop().time() < deadline:
            return ExchangeFailure(body.kind, True, STALE_CONNECTION_DETAIL)
        return body
    retry_after = dict(exchange.headers).get(b"retry-after")
    return _Response(exchange.status, body, _parse_retry_after_s(retry_after))


def _parse_era(headers: Headers) -> int | None:
    """Return the era in the headers of a response, None if there is none."""
    value = dict(headers).get(ERA_HEADER)
    if value is None or not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        return None
    return min(int(value), MAX_ERA)


def _parse_retry_after_s(value: bytes | None) -> float | None:
    try:
        return None if value is None else float(value)
    except ValueError:
        return None


def _object_path(key: str) -> str:
    kind, _, name = key.partition("/")
    return f"{OBJECTS_PATH}/{quote(kind, safe='')}/{quote(name, safe='')}"


def _encode_object(name: str, value: bytes, revision: int | None) -> bytes:
    metadata: dict[str, Any] = {"name": name, "finalizers": []}
    if revision is not None:
        metadata["revision"] = revision
    return json.dumps({"metadata": metadata, "spec": json.loads(value)}).encode()


def _stored_object(key: str, item: Object, era: int) -> StoredObject:
    version = join_revision(era, item.metadata.revision)
    return StoredObject(key, json.dumps(item.spec).encode(), version)


def _kind_object(item: Object, era: int) -> KindObject:
    revision = join_revision(era, item.metadata.revision)
    return KindObject(item.metadata.name, revision, item.spec, item.status)


def _kind_changes(events: Events, waited_s: float, era: int) -> KindChanges:
    changes = tuple(
        KindChange(_kind_object(event.object, era), event.removed)
        for event in events.events
    )
    confirmed_after_s = 0.0 if changes else waited_s
    revision = join_revision(era, events.store_revision)
    return KindChanges(changes, revision, confirmed_after_s)
