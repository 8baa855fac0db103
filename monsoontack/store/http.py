"""HTTP client of the platform's object API (docs/platform.md).

A failed write is classified by whether it can still take effect. It surely
has none when no connection was made or the platform refused it (429, 503 and
all other 4xx); every other failure of a write is `Ambiguous`. A failed read
is always `Unavailable`.
"""

import asyncio
import base64
import binascii
import json
from collections.abc import Mapping
from dataclasses import dataclass
from urllib.parse import quote

import aiohttp
from returns.result import Failure, Result, Success
from yarl import URL

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

CONNECT_TIMEOUT_S = 1.0
CALL_TIMEOUT_S = 2.0
LIST_TIMEOUT_S = 10.0
WATCH_SLACK_S = 2.0
# Below the idle timeout of common servers (5 s), so that a request rarely goes
# out on a connection that the server is closing, which would be ambiguous.
KEEPALIVE_S = 4.0
MAX_CONNECTIONS = 64
MAX_LIST_BYTES = 16_000_000

READ_FAILURES = (aiohttp.ClientError, TimeoutError, OSError)


@dataclass(frozen=True, slots=True)
class _Answer:
    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpStore:
    """`ObjectStore` over one pool of connections to `base_url`.

    It must be made inside a running event loop and closed after use::

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
        """Return a client of the store that a process's settings name."""
        return cls(settings.store_url)

    async def __aenter__(self) -> "HttpStore":
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def get(self, key: str) -> Result[StoredObject, StoreError]:
        """Read one object; NotFound or Unavailable on failure."""
        result = await self._read(key, self._object_url(key), self.call_timeout_s)
        return result.bind(lambda answer: _read_object(key, answer))

    async def list(self, prefix: str) -> Result[list[StoredObject], StoreError]:
        """Read all objects whose key starts with `prefix`, ordered by key."""
        url = self._url(f"/objects?prefix={quote(prefix, safe='/')}")
        result = await self._read(prefix, url, LIST_TIMEOUT_S, MAX_LIST_BYTES)
        return result.bind(lambda answer: _read_list(prefix, answer))

    async def watch(
        self, key: str, after_version: int, timeout_s: float
    ) -> Result[StoredObject | None, StoreError]:
        """Wait until the object's version is above `after_version`."""
        path = f"?after={after_version}&timeout_s={timeout_s}"
        url = self._object_url(key, path)
        result = await self._read(key, url, timeout_s + WATCH_SLACK_S)
        return result.bind(lambda answer: _read_watch(key, answer))

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
        return result.bind(lambda answer: _deleted(key, answer))

    async def _put(self, key: str, value: bytes, headers: dict):
        if len(value) > MAX_VALUE_BYTES:
            return Failure(Unavailable(key, "value above 1 MB"))
        result = await self._write("PUT", key, value, headers)
        return result.bind(lambda answer: _written(key, value, answer))

    def _url(self, path: str) -> URL:
        return URL(self.base_url + path, encoded=True)

    def _object_url(self, key: str, query: str = "") -> URL:
        return self._url(f"/objects/{quote(key, safe='/')}{query}")

    async def _read(
        self, key: str, url: URL, timeout_s: float, limit: int = MAX_VALUE_BYTES
    ):
        try:
            answer = await self._request("GET", url, None, {}, timeout_s, limit)
            return Success(answer)
        except AnswerTooLarge:
            return Failure(Unavailable(key, LIST_TOO_LARGE))
        except READ_FAILURES as error:
            return Failure(Unavailable(key, _describe(error)))

    async def _write(self, method: str, key: str, value: bytes | None, headers: dict):
        url = self._object_url(key)
        try:
            answer = await self._request(
                method, url, value, headers, self.call_timeout_s
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Failure(Unavailable(key, _describe(error)))
        except READ_FAILURES as error:
            return Failure(Ambiguous(key, _describe(error)))
        return Success(answer)

    async def _request(
        self,
        method: str,
        url: URL,
        data: bytes | None,
        headers: dict,
        timeout_s: float,
        limit: int = MAX_VALUE_BYTES,
    ) -> _Answer:
        """Send one request and read its whole answer of at most `limit` bytes."""
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
            body = await _read_body(response, limit)
            return _Answer(response.status, response.headers, body)


class AnswerTooLarge(aiohttp.ClientError):
    """The answer is longer than the caller can take in."""


async def _read_body(response: aiohttp.ClientResponse, limit: int) -> bytes:
    parts, size = [], 0
    async for part in response.content.iter_any():
        size += len(part)
        if size > limit:
            raise AnswerTooLarge(f"more than {limit} bytes")
        parts.append(part)
    return b"".join(parts)


def _describe(error: BaseException) -> str:
    if isinstance(error, asyncio.TimeoutError):
        return "timeout"
    return f"{type(error).__name__}: {error}"


def _version(answer: _Answer) -> int | None:
    tag = answer.headers.get("ETag", "").strip('"')
    return int(tag) if tag.isascii() and tag.isdigit() else None


def _stored(key: str, answer: _Answer) -> StoredObject | None:
    version = _version(answer)
    return None if version is None else StoredObject(key, answer.body, version)


def _refusal(key: str, answer: _Answer) -> Unavailable:
    try:
        retry_after_s = float(answer.headers.get("Retry-After", ""))
    except ValueError:
        retry_after_s = None
    return Unavailable(key, f"status {answer.status}", retry_after_s)


def _read_object(key: str, answer: _Answer) -> Result[StoredObject, StoreError]:
    if answer.status == 404:
        return Failure(NotFound(key))
    stored = _stored(key, answer) if answer.status == 200 else None
    return Failure(_refusal(key, answer)) if stored is None else Success(stored)


def _read_watch(key: str, answer: _Answer) -> Result[StoredObject | None, StoreError]:
    return Success(None) if answer.status == 204 else _read_object(key, answer)


def _read_list(prefix: str, answer: _Answer) -> Result[list[StoredObject], StoreError]:
    if answer.status != 200:
        return Failure(_refusal(prefix, answer))
    try:
        rows = json.loads(answer.body)["objects"]
        return Success([_listed(row) for row in rows])
    except (ValueError, KeyError, TypeError, binascii.Error) as error:
        return Failure(Unavailable(prefix, f"malformed list: {error}"))


def _listed(row: dict) -> StoredObject:
    value = base64.b64decode(row["value_base64"], validate=True)
    return StoredObject(row["key"], value, int(row["version"]))


def _write_failure(key: str, answer: _Answer) -> StoreError:
    if answer.status == 412:
        return Conflict(key, _stored(key, answer))
    if answer.status == 503 or 300 <= answer.status < 500:
        return _refusal(key, answer)
    return Ambiguous(key, f"status {answer.status}")


def _written(key: str, value: bytes, answer: _Answer):
    if answer.status != 200:
        return Failure(_write_failure(key, answer))
    version = _version(answer)
    if version is None:
        return Failure(Ambiguous(key, "answer without a version"))
    return Success(StoredObject(key, value, version))


def _deleted(key: str, answer: _Answer) -> Result[None, StoreError]:
    if answer.status in (200, 204):
        return Success(None)
    return Failure(_write_failure(key, answer))
