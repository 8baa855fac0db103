"""Client of the generation API that resumes an answer after failures.

`Client.stream` yields every token of an answer exactly once. When a connection breaks,
times out or is handed over, the client reconnects with the id of the last event and the
tokens received so far, so that any entry can continue the answer.

Example::

    async with Client(["http://10.0.0.5:8000"], key) as client:
        body = {"model": "plan-writer", "prompt": "North face", "max_tokens": 200}
        async for part in client.stream("completions", body):
            print(part.text, end="")
"""

import asyncio
import json
from collections.abc import AsyncIterator, Callable, Sequence
from dataclasses import dataclass, field
from typing import TypeVar

import aiohttp

from monsoontack.core.errors import RequestError, RunState
from monsoontack.generation.continuation import media_type

Parsed = TypeVar("Parsed")

# An entry sends data at least every 0.5 s.
READ_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 1.0
# The delay doubles after each connection that delivered no new token.
INITIAL_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 1.0
# Time without a new token after which the client stops reconnecting.
NO_PROGRESS_TIMEOUT_S = 30.0
READ_BYTES = 65_536
EVENT_STREAM = "text/event-stream"
PATHS = {"completions": "/v1/completions", "chat": "/v1/chat/completions"}
# Error codes after which another entry or another attempt may still succeed.
RETRYABLE_CODES = frozenset(
    (
        "not_ready",
        "overloaded",
        "recovery_failed",
        "shutting_down",
        "superseded",
        "version_unavailable",
    )
)


class AnswerError(Exception):
    """The answer ended with an error response; `error` describes it."""

    def __init__(self, error: RequestError):
        super().__init__(f"{error.code}: {error.message}")
        self.error = error


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """New tokens of an answer; `finish` is set on the last part."""

    first_position: int
    tokens: tuple[int, ...]
    text: str
    finish: str


@dataclass(slots=True, repr=False)
class AnswerProgress:
    """State of one answer: what has been received, and the reconnects."""

    tokens: list[int] = field(default_factory=list)
    event_id: str = ""
    finished: bool = False
    connections: int = 0
    reconnect_delay_s: float = INITIAL_RECONNECT_DELAY_S


class _ReconnectRequested(Exception):
    """The entry asked the client to continue the answer at another entry."""


class Client:
    """Connection to the entries behind `base_urls`, used in turn."""

    def __init__(self, base_urls: Sequence[str], key: str):
        self.base_urls = [url.rstrip("/") for url in base_urls]
        self.key = key
        self.next_url = 0
        self.http: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Client":
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_S, sock_read=READ_TIMEOUT_S
        )
        # The default limit of 100 connections would make the 101st concurrent answer
        # wait until another one ends.
        connector = aiohttp.TCPConnector(limit=0)
        self.http = aiohttp.ClientSession(timeout=timeout, connector=connector)
        return self

    async def __aexit__(self, *exception) -> None:
        await self.http.close()

    async def stream(
        self, kind: str, body: dict, progress: AnswerProgress | None = None
    ) -> AsyncIterator[AnswerPart]:
        """Yield the parts of an answer; raise AnswerError if it ends with an error.

        `kind` is `completions` or `chat`. `progress`, if given, is updated with the
        tokens received and the number of connections made.
        """
        progress = progress or AnswerProgress()
        loop = asyncio.get_running_loop()
        last_part_at = loop.time()
        while not progress.finished:
            try:
                async for part in self._stream_connection(kind, body, progress):
                    last_part_at = loop.time()
                    progress.reconnect_delay_s = INITIAL_RECONNECT_DELAY_S
                    yield part
                continue
            except _ReconnectRequested:
                continue
            except AnswerError as error:
                silent_s = loop.time() - last_part_at
                if (
                    error.error.code not in RETRYABLE_CODES
                    or silent_s > NO_PROGRESS_TIMEOUT_S
                ):
                    raise
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                if loop.time() - last_part_at > NO_PROGRESS_TIMEOUT_S:
                    raise AnswerError(_unreachable_error(error, progress)) from error
            await asyncio.sleep(progress.reconnect_delay_s)
            progress.reconnect_delay_s = min(
                progress.reconnect_delay_s * 2, MAX_RECONNECT_DELAY_S
            )

    async def _stream_connection(self, kind: str, body: dict, progress: AnswerProgress):
        url = self.base_urls[self.next_url % len(self.base_urls)] + PATHS[kind]
        self.next_url += 1
        progress.connections += 1
        headers = {"Authorization": f"Bearer {self.key}"}
        document = {**body, "stream": True}
        if progress.event_id:
            headers["Last-Event-ID"] = progress.event_id
            document["monsoontack"] = {"received": progress.tokens}
        async with self.http.post(url, json=document, headers=headers) as response:
            if response.status != 200:
                body = await response.read()
                raise AnswerError(_parsed(_parse_error, body, response.status))
            if media_type(response.headers.get("Content-Type", "")) != EVENT_STREAM:
                raise aiohttp.ClientPayloadError("the answer is not an event stream")
            async for event in _read_events(response):
                part = _parsed(_handle_event, event, progress)
                if part is not None:
                    yield part
                if progress.finished:
                    return
        raise aiohttp.ClientPayloadError(
            "the stream ended before the last part of the answer"
        )


async def _read_events(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[dict[str, str]]:
    """Yield the server-sent events of a response as field dictionaries."""
    rest = b""
    async for data in response.content.iter_any():
        *blocks, rest = (rest + data).split(b"\n\n")
        for block in blocks:
            yield _parsed(_parse_event_fields, block)


def _parsed(parse: Callable[..., Parsed], *arguments) -> Parsed:
    """Call a parser; raise ClientPayloadError if its input is not from an entry."""
    try:
        return parse(*arguments)
    except (ValueError, TypeError, LookupError, AttributeError) as error:
        message = f"not the answer of an entry: {error!r}"
        raise aiohttp.ClientPayloadError(message) from error


def _parse_event_fields(block: bytes) -> dict[str, str]:
    fields: dict[str, str] = {}
    for line in block.decode().split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        fields[name] = f"{fields[name]}\n{value}" if name in fields else value
    return fields


def _handle_event(event: dict[str, str], progress: AnswerProgress) -> AnswerPart | None:
    kind = event.get("event", "")
    if kind == "error":
        raise AnswerError(_parse_error(event["data"], 200))
    if kind == "reconnect":
        raise _ReconnectRequested
    data = event.get("data")
    if data is None or data == "[DONE]":
        progress.event_id = event.get("id") or progress.event_id
        return None
    part = _parse_part(json.loads(data))
    if part.first_position != len(progress.tokens):
        raise aiohttp.ClientPayloadError(
            f"event at position {part.first_position}, expected {len(progress.tokens)}"
        )
    progress.tokens.extend(part.tokens)
    progress.event_id = event.get("id") or progress.event_id
    progress.finished = bool(part.finish)
    return part


def _parse_part(document: dict) -> AnswerPart:
    choice = document["choices"][0]
    text = choice["text"] if "text" in choice else choice["delta"].get("content", "")
    return AnswerPart(
        document["first_position"],
        tuple(document["token_ids"]),
        text,
        choice["finish_reason"] or "",
    )


def _parse_error(document: bytes | str, status: int) -> RequestError:
    error = json.loads(document)["error"]
    return RequestError(
        status,
        error["code"],
        error["message"],
        RunState(error["run_state"]),
        error["retry_after_s"],
    )


def _unreachable_error(error: Exception, progress: AnswerProgress) -> RequestError:
    state = RunState.RUN if progress.tokens else RunState.UNKNOWN
    return RequestError(0, "unreachable", f"no entry responds: {error!r}", state)
