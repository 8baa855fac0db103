"""HTTP client of the platform's object API (docs/platform.md).

A failed write is classified by whether it may take effect. It is `Unavailable` or
`Conflict`, without effect, if no connection was established or the platform refused
it (429, 503 and all other 4xx). Every other failure of a write is `Ambiguous`. A read
that fails for another reason than a missing object is always `Unavailable`.
"""

import asyncio
import base64
import binascii
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import quote

import aiohttp
import structlog
from returns.result import Failure, Result, Success
from yarl import URL

from monsoontack.core.rawjson import load_rows
from monsoontack.core.sendonce import send_once
from monsoontack.settings.models import ProcessSettings
from monsoontack.store.api import (
    LIST_TOO_LARGE,
    MAX_VALUE_BYTES,
    Ambiguous,
    Conflict,
    NotFound,
    StoredObject,
    StoreError,
    Unavailable,
)

log = structlog.get_logger("store.http")

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0
LIST_TIMEOUT_S = 10.0
WATCH_SLACK_S = 2.0
# Below the usual idle timeout of servers (5 s): a write sent on a connection that the
# server is closing would be ambiguous.
KEEPALIVE_S = 4.0
MAX_CONNECTIONS = 64
MAX_LIST_BYTES = 16_000_000

# Versions have 63 bits.
MAX_VERSION = 2**63 - 1
MAX_VERSION_DIGITS = 19
MAX_FAULT_CHARACTERS = 200
ROW_ERRORS = (ValueError, KeyError, TypeError, AttributeError, binascii.Error)
TRANSPORT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


@dataclass(frozen=True, slots=True)
class _Response:
    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpStore:
    """`ObjectStore` that uses one pool of HTTP connections to `base_url`.

    It must be created inside a running event loop and closed after use::

        async with HttpStore("http://127.0.0.1:7000") as store:
            result = await store.get("published/head")
    """

    def __init__(self, base_url: str, call_timeout_s: float = CALL_TIMEOUT_S) -> None:
        self.base_url = base_url.rstrip("/")
        self.call_timeout_s = call_timeout_s
        connector = aiohttp.TCPConnector(
            limit=MAX_CONNECTIONS, keepalive_timeout=KEEPALIVE_S
        )
        self.session = aiohttp.ClientSession(
            connector=connector, cookie_jar=aiohttp.DummyCookieJar()
        )

    @classmethod
    def from_settings(cls, settings: ProcessSettings) -> "HttpStore":
        """Return a client for the `store_url` of the settings."""
        return cls(settings.store_url)

    async def __aenter__(self) -> "HttpStore":
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def get(self, key: str) -> Result[StoredObject, StoreError]:
        """Read one object; fails with NotFound or Unavailable."""
        result = await self._read(key, self._object_url(key), self.call_timeout_s)
        return result.bind(lambda response: _decode_object(key, response))

    async def list(self, prefix: str) -> Result[list[StoredObject], StoreError]:
        """Read all objects whose key starts with `prefix`, ordered by key."""
        url = self._url(f"/objects?prefix={quote(prefix, safe='/')}")
        result = await self._read(prefix, url, LIST_TIMEOUT_S, MAX_LIST_BYTES)
        return result.bind(lambda response: _decode_list(prefix, response))

    async def watch(
        self, key: str, after_version: int, timeout_s: float
    ) -> Result[StoredObject | None, StoreError]:
        """Wait until the object's version is above `after_version`."""
        query = f"?after={after_version}&timeout_s={timeout_s}"
        url = self._object_url(key, query)
        result = await self._read(key, url, timeout_s + WATCH_SLACK_S)
        return result.bind(lambda response: _decode_watch(key, response))

    async def create(self, key: str, value: bytes) -> Result[StoredObject, StoreError]:
        """Write an object that must not exist yet."""
        return await self._put(key, value, {"If-None-Match": "*"})

    async def update(
        self, key: str, value: bytes, version: int
    ) -> Result[StoredObject, StoreError]:
        """Replace an object whose version must still be `version`."""
        return await self._put(key, value, {"If-Match": f'"{version}"'})

    async def delete(self, key: str, version: int) -> Result[None, StoreError]:
        """Remove an object whose version must still be `version`."""
        headers = {"If-Match": f'"{version}"'}
        result = await self._write("DELETE", key, None, headers)
        return result.bind(lambda response: _delete_result(key, response))

    async def _put(self, key: str, value: bytes, headers: dict):
        if len(value) > MAX_VALUE_BYTES:
            return Failure(Unavailable(key, "value above 1 MB"))
        result = await self._write("PUT", key, value, headers)
        return result.bind(lambda response: _write_result(key, value, response))

    def _url(self, path: str) -> URL:
        return URL(self.base_url + path, encoded=True)

    def _object_url(self, key: str, query: str = "") -> URL:
        return self._url(f"/objects/{quote(key, safe='/')}{query}")

    async def _read(
        self, key: str, url: URL, timeout_s: float, max_bytes: int = MAX_VALUE_BYTES
    ):
        try:
            response = await self._request("GET", url, None, {}, timeout_s, max_bytes)
            return Success(response)
        except AnswerTooLarge:
            return Failure(Unavailable(key, LIST_TOO_LARGE))
        except TRANSPORT_ERRORS as error:
            return Failure(Unavailable(key, _describe(error)))

    async def _write(self, method: str, key: str, value: bytes | None, headers: dict):
        url = self._object_url(key)
        try:
            response = await self._request(
                method, url, value, headers, self.call_timeout_s
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Failure(Unavailable(key, _describe(error)))
        except TRANSPORT_ERRORS as error:
            return Failure(Ambiguous(key, _describe(error)))
        return Success(response)

    async def _request(
        self,
        method: str,
        url: URL,
        data: bytes | None,
        headers: dict,
        timeout_s: float,
        max_bytes: int = MAX_VALUE_BYTES,
    ) -> _Response:
        """Send one request and read its whole response, at most `max_bytes` long."""
        timeout = aiohttp.ClientTimeout(total=timeout_s, connect=CONNECT_TIMEOUT_S)
        async with self.session.request(
            method,
            url,
            data=data,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
            middlewares=() if method == "GET" else (send_once,),
        ) as response:
            body = await _read_body(response, max_bytes)
            return _Response(response.status, response.headers, body)


class AnswerTooLarge(aiohttp.ClientError):
    """The response body is longer than the limit of the request."""


async def _read_body(response: aiohttp.ClientResponse, max_bytes: int) -> bytes:
    chunks, size = [], 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            raise AnswerTooLarge(f"more than {max_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)


def _describe(error: BaseException) -> str:
    if isinstance(error, asyncio.TimeoutError):
        return "timeout"
    return f"{type(error).__name__}: {error}"


def _etag_version(response: _Response) -> int | None:
    tag = response.headers.get("ETag", "").strip('"')
    is_number = tag.isascii() and tag.isdigit() and len(tag) <= MAX_VERSION_DIGITS
    return int(tag) if is_number else None


def _stored_object(key: str, response: _Response) -> StoredObject | None:
    version = _etag_version(response)
    return None if version is None else StoredObject(key, response.body, version)


def _unavailable(key: str, response: _Response) -> Unavailable:
    try:
        retry_after_s = float(response.headers.get("Retry-After", ""))
    except ValueError:
        retry_after_s = None
    return Unavailable(key, f"status {response.status}", retry_after_s)


def _decode_object(key: str, response: _Response) -> Result[StoredObject, StoreError]:
    if response.status == 404:
        return Failure(NotFound(key))
    stored = _stored_object(key, response) if response.status == 200 else None
    return Failure(_unavailable(key, response)) if stored is None else Success(stored)


def _decode_watch(
    key: str, response: _Response
) -> Result[StoredObject | None, StoreError]:
    return Success(None) if response.status == 204 else _decode_object(key, response)


def _decode_list(
    prefix: str, response: _Response
) -> Result[list[StoredObject], StoreError]:
    if response.status != 200:
        return Failure(_unavailable(prefix, response))
    try:
        rows, faults = load_rows(response.body, "objects")
    except ValueError as error:
        return Failure(Unavailable(prefix, f"malformed list: {error}"))
    objects = []
    for row in rows:
        try:
            objects.append(_decode_row(row))
        except ROW_ERRORS as error:
            faults.append(repr(error))
    if faults:
        log.warning(
            "objects in a list cannot be read; not used",
            prefix=prefix,
            count=len(faults),
            first=faults[0][:MAX_FAULT_CHARACTERS],
        )
    return Success(objects)


def _decode_row(row: dict) -> StoredObject:
    key, version = row["key"], row["version"]
    key.encode()
    if type(version) is not int or not 0 < version <= MAX_VERSION:
        raise ValueError(f"no version: {version!r:.40}")
    return StoredObject(
        key, base64.b64decode(row["value_base64"], validate=True), version
    )


def _write_failure(key: str, response: _Response) -> StoreError:
    if response.status == 412:
        return Conflict(key, _stored_object(key, response))
    if response.status == 503 or 300 <= response.status < 500:
        return _unavailable(key, response)
    return Ambiguous(key, f"status {response.status}")


def _write_result(key: str, value: bytes, response: _Response):
    if response.status != 200:
        return Failure(_write_failure(key, response))
    version = _etag_version(response)
    if version is None:
        return Failure(Ambiguous(key, "answer without a version"))
    return Success(StoredObject(key, value, version))


def _delete_result(key: str, response: _Response) -> Result[None, StoreError]:
    if response.status in (200, 204):
        return Success(None)
    return Failure(_write_failure(key, response))
