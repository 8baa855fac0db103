"""HTTP client of a model engine, in the format of docs/platform.md."""

import asyncio
import json
import math
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
from returns.result import Failure, Result, Success

from monsoontack.agent.backend import (
    BackendFailure,
    EngineLoad,
    EngineTokens,
    NoObserver,
    OrderOutcome,
    OrderRequest,
    ResponseObserver,
)
from monsoontack.agent.load import CacheEvent
from monsoontack.agent.records import StartRequest
from monsoontack.core.rawjson import load_document
from monsoontack.generation.continuation import media_type

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 1.0
# An order may load model weights, which takes as long as the weight store needs.
ORDER_TIMEOUT_S = 1800.0
MAX_EVENT_BYTES = 1_000_000
EVENT_STREAM = "text/event-stream"
MAX_MESSAGE_CHARACTERS = 300
TOKEN_ID_LIMIT = 2**32
# Other numbers of an engine have 64 bits.
NUMBER_LIMIT = 2**64

REQUEST_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    ValueError,
    KeyError,
    TypeError,
    OverflowError,
    RecursionError,
)


class HttpEngine:
    """Implements `monsoontack.agent.backend.Engine` over an aiohttp session."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")
        self.observer: ResponseObserver = NoObserver()

    async def generate(
        self, request_id: str, start: StartRequest
    ) -> AsyncIterator[EngineTokens | BackendFailure]:
        """Run a request; yield its tokens and, if it fails, a final failure."""
        try:
            path, body = build_engine_request(request_id, start)
        except (ValueError, RecursionError) as error:
            yield BackendFailure("refused", f"malformed request: {error}", False)
            return
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        try:
            async with self.session.post(
                self.url + path,
                json=body,
                timeout=timeout,
                read_bufsize=MAX_EVENT_BYTES,
                allow_redirects=False,
            ) as response:
                self.observer.note_response(response.status, response.headers)
                if response.status != 200:
                    yield await failure_from_response(response)
                    return
                content_type = media_type(response.headers.get("Content-Type", ""))
                if content_type not in ("", EVENT_STREAM):
                    message = f"answer of type {content_type!r}"
                    yield BackendFailure("backend_failed", message, True)
                    return
                async for item in read_token_events(response):
                    yield item
        except aiohttp.ClientConnectorError as error:
            self._note_error(error)
            yield BackendFailure("backend_failed", str(error), False)
        except REQUEST_ERRORS as error:
            yield BackendFailure("backend_failed", describe_error(error), True)

    async def cancel(self, request_id: str) -> None:
        """Ask the engine to cancel a request; failures are ignored."""
        await self._request("POST", "/cancel", {"request_id": request_id})

    async def read_load(self) -> Result[EngineLoad, BackendFailure]:
        """Read the current load of the engine."""
        result = await self._request("GET", "/load")
        return result.bind(lambda document: parse_document(parse_load, document))

    async def read_cache_events(
        self, after: int
    ) -> Result[list[CacheEvent], BackendFailure]:
        """Read the cache events with a sequence number above `after`."""
        result = await self._request("GET", f"/cache_events?after={after}")
        return result.bind(
            lambda document: parse_document(parse_cache_events, document)
        )

    async def read_versions(self) -> Result[tuple[str, ...], BackendFailure]:
        """Read the versions that the engine has loaded."""
        result = await self._request("GET", "/versions")
        return result.bind(lambda document: parse_document(parse_versions, document))

    async def order(self, order: OrderRequest) -> OrderOutcome:
        """Execute an order, which may take as long as loading model weights."""
        body = {
            "order_id": order.order_id,
            "kind": order.kind,
            "version": order.version,
            "adapter": order.adapter,
            "role": order.role,
            "fence": order.fence,
        }
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
        try:
            async with self.session.post(
                f"{self.url}/orders",
                json=body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                self.observer.note_response(response.status, response.headers)
                text = await response.text()
        except REQUEST_ERRORS as error:
            self._note_error(error)
            return OrderOutcome(order.order_id, "failed", describe_error(error))
        if response.status == 200:
            return OrderOutcome(order.order_id, "ok")
        code = "fenced" if response.status == 409 and "fenced" in text else "failed"
        message = f"status {response.status}: {text[:MAX_MESSAGE_CHARACTERS]}"
        return OrderOutcome(order.order_id, code, message)

    def _note_error(self, error: BaseException) -> None:
        if is_refused_connection(error):
            self.observer.note_refused_connection()

    async def _request(
        self, method: str, path: str, body: dict | None = None
    ) -> Result[Any, BackendFailure]:
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        try:
            async with self.session.request(
                method,
                self.url + path,
                json=body,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                self.observer.note_response(response.status, response.headers)
                if response.status != 200:
                    return Failure(await failure_from_response(response))
                return Success(load_document(await response.read()))
        except REQUEST_ERRORS as error:
            self._note_error(error)
            return Failure(
                BackendFailure("backend_failed", describe_error(error), True)
            )


def is_refused_connection(error: BaseException) -> bool:
    """Whether nothing listens at the address of a request."""
    return isinstance(error, aiohttp.ClientConnectorError) and isinstance(
        error.os_error, ConnectionRefusedError
    )


def build_engine_request(request_id: str, start: StartRequest) -> tuple[str, dict]:
    """Return the path and body of the engine's HTTP request.

    Raises ValueError if the request of the entry is malformed.
    """
    body = json.loads(start.request)
    if not isinstance(body, dict):
        raise ValueError("the request is not a JSON object")
    chat = "messages" in body
    body |= {
        "stream": True,
        "request_id": request_id,
        "version": start.version,
        "priority": start.priority,
        "resume_token_ids": list(start.prefix),
    }
    if start.max_tokens:
        body["max_tokens"] = start.max_tokens
    return ("/v1/chat/completions" if chat else "/v1/completions"), body


async def read_token_events(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[EngineTokens | BackendFailure]:
    """Yield the tokens of a response, or a failure if it ends before `finish`."""
    async for line in response.content:
        if not line.startswith(b"data: ") or line.startswith(b"data: [DONE]"):
            continue
        tokens = parse_event(load_document(line[6:]))
        yield tokens
        if tokens.finish:
            await read_to_end(response)
            return
    yield BackendFailure("backend_failed", "stream ended before the answer", True)


async def read_to_end(response: aiohttp.ClientResponse) -> None:
    """Read the rest of the response, so that its connection can be reused."""
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            await response.content.read()
    except (TimeoutError, aiohttp.ClientError):
        response.close()


def parse_event(event: dict) -> EngineTokens:
    """Return the tokens of one event; raise ValueError if it is malformed."""
    tokens = tuple(int(token) for token in event["token_ids"])
    texts = tuple(str(text) for text in event["texts"])
    if len(tokens) != len(texts):
        raise ValueError(f"{len(tokens)} tokens with {len(texts)} texts")
    if any(not 0 <= token < TOKEN_ID_LIMIT for token in tokens):
        raise ValueError("a token id is outside 32 bits")
    finish = str(event.get("finish") or "")
    position = _parse_number(event["first_position"], TOKEN_ID_LIMIT)
    return EngineTokens(position, tokens, texts, finish)


def parse_load(document: dict) -> EngineLoad:
    """Parse the response to `GET /load`."""
    return EngineLoad(
        _parse_number(document["running"], TOKEN_ID_LIMIT),
        _parse_number(document["queued"], TOKEN_ID_LIMIT),
        _parse_number(document["slots"], TOKEN_ID_LIMIT),
        _parse_age_s(document["age_s"]),
    )


def _parse_age_s(value: Any) -> float:
    if not math.isfinite(age_s := float(value)):
        raise ValueError("infinite age")
    return age_s


def _parse_number(value: Any, limit: int) -> int:
    """Return a number in the range that frames can carry; raise ValueError if not."""
    number = int(value)
    if not 0 <= number < limit:
        raise ValueError(f"number out of range: {number!r:.40}")
    return number


def parse_cache_events(document: dict) -> list[CacheEvent]:
    """Parse the response to `GET /cache_events`; sort it by sequence number."""
    events = [
        CacheEvent(
            _parse_number(event["sequence"], NUMBER_LIMIT),
            str(event["kind"]),
            tuple(_parse_number(b, NUMBER_LIMIT) for b in event["blocks"]),
        )
        for event in document["events"]
    ]
    return sorted(events, key=lambda event: event.sequence)


def parse_versions(document: dict) -> tuple[str, ...]:
    """Parse the response to `GET /versions`."""
    return tuple(str(version) for version in document["versions"])


def parse_document(parse, document: Any) -> Result[Any, BackendFailure]:
    """Apply a parser; return a failure if the document is malformed."""
    try:
        return Success(parse(document))
    except (ValueError, KeyError, TypeError, OverflowError) as error:
        message = f"malformed answer: {error!r}"
        return Failure(BackendFailure("backend_failed", message, True))


async def failure_from_response(response: aiohttp.ClientResponse) -> BackendFailure:
    """Return the failure for a response with a status other than 200.

    A status 4xx or 503 means that the engine did not accept the request. After 400
    and 422 no other engine of the same version would accept it either.
    """
    text = (await response.text())[:MAX_MESSAGE_CHARACTERS]
    message = f"status {response.status}: {text}"
    if response.status in (400, 422):
        return BackendFailure("invalid", message, False)
    if 400 <= response.status < 500 or response.status == 503:
        return BackendFailure("refused", message, False)
    return BackendFailure("backend_failed", message, True)


def describe_error(error: BaseException) -> str:
    """Return the text of an error, or the name of its type if the text is empty."""
    if isinstance(error, asyncio.TimeoutError):
        return "timeout"
    return str(error) or type(error).__name__
