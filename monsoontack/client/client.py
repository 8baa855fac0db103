"""Client of the generation API that follows an answer across failures.

`Client.stream` yields every token of an answer exactly once. When a
connection breaks, goes silent or is handed over, it connects again with the id
of the last event and the tokens received, so that any entry can continue.

Example::

    async with Client(["http://10.0.0.5:8000"], key) as client:
        body = {"model": "plan-writer", "prompt": "North face", "max_tokens": 200}
        async for part in client.stream("completions", body):
            print(part.text, end="")
"""

import asyncio
import json
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field

import aiohttp

from monsoontack.core.errors import RequestError, RunState

# An entry sends something at least every 0.5 s.
SILENCE_S = 1.5
CONNECT_S = 1.0
# Waits between connections that brought nothing new, in seconds.
FIRST_WAIT_S = 0.05
LAST_WAIT_S = 1.0
# Time without a new token after which the answer is given up.
GIVE_UP_S = 30.0
READ_BYTES = 65_536
PATHS = {"completions": "/v1/completions", "chat": "/v1/chat/completions"}
# Typed ends after which another entry or another attempt may still succeed.
PASSING_CODES = frozenset(
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
    """The answer ended with a typed error."""

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


@dataclass(slots=True)
class AnswerProgress:
    """What has been received of one answer."""

    tokens: list[int] = field(default_factory=list)
    event_id: str = ""
    finished: bool = False
    connections: int = 0
    wait_s: float = FIRST_WAIT_S


class _ReconnectNow(Exception):
    """The entry asked to continue elsewhere."""


class Client:
    """Connection to the entries behind `base_urls`, used in turn."""

    def __init__(self, base_urls: Sequence[str], key: str):
        self.base_urls = [url.rstrip("/") for url in base_urls]
        self.key = key
        self.next_url = 0
        self.http: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Client":
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_S, sock_read=SILENCE_S
        )
        # aiohttp's default lets the 101st answer at once wait for another's end.
        connector = aiohttp.TCPConnector(limit=0)
        self.http = aiohttp.ClientSession(timeout=timeout, connector=connector)
        return self

    async def __aexit__(self, *exception) -> None:
        await self.http.close()

    async def stream(
        self, kind: str, body: dict, progress: AnswerProgress | None = None
    ) -> AsyncIterator[AnswerPart]:
        """Yield the parts of an answer; raise AnswerError on a typed end.

        `kind` is `completions` or `chat`. `progress`, if given, shows how many
        connections were made.
        """
        progress = progress or AnswerProgress()
        loop = asyncio.get_running_loop()
        newest_at = loop.time()
        while not progress.finished:
            try:
                async for part in self._one_connection(kind, body, progress):
                    newest_at = loop.time()
                    progress.wait_s = FIRST_WAIT_S
                    yield part
                continue
            except _ReconnectNow:
                continue
            except AnswerError as error:
                waited = loop.time() - newest_at
                if error.error.code not in PASSING_CODES or waited > GIVE_UP_S:
                    raise
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                if loop.time() - newest_at > GIVE_UP_S:
                    raise AnswerError(_unreachable(error, progress)) from error
            await asyncio.sleep(progress.wait_s)
            progress.wait_s = min(progress.wait_s * 2, LAST_WAIT_S)

    async def _one_connection(self, kind: str, body: dict, progress: AnswerProgress):
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
                raise AnswerError(_typed(await response.json(), response.status))
            async for event in _events(response):
                part = _take(event, progress)
                if part is not None:
                    yield part
                if progress.finished:
                    return
        raise aiohttp.ClientPayloadError("the stream ended before the answer")


async def _events(response: aiohttp.ClientResponse) -> AsyncIterator[dict[str, str]]:
    """Yield the server-sent events of a response as field dictionaries."""
    rest = b""
    async for data in response.content.iter_any():
        *blocks, rest = (rest + data).split(b"\n\n")
        for block in blocks:
            yield _fields(block.decode())


def _fields(block: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    for line in block.split("\n"):
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        fields[name] = f"{fields[name]}\n{value}" if name in fields else value
    return fields


def _take(event: dict[str, str], progress: AnswerProgress) -> AnswerPart | None:
    kind = event.get("event", "")
    if kind == "error":
        raise AnswerError(_typed(json.loads(event["data"]), 200))
    if kind == "reconnect":
        raise _ReconnectNow
    data = event.get("data")
    if data is None or data == "[DONE]":
        progress.event_id = event.get("id") or progress.event_id
        return None
    part = _part(json.loads(data))
    if part.first_position != len(progress.tokens):
        raise aiohttp.ClientPayloadError(
            f"event at position {part.first_position}, expected {len(progress.tokens)}"
        )
    progress.tokens.extend(part.tokens)
    progress.event_id = event.get("id") or progress.event_id
    progress.finished = bool(part.finish)
    return part


def _part(document: dict) -> AnswerPart:
    choice = document["choices"][0]
    text = choice["text"] if "text" in choice else choice["delta"].get("content", "")
    return AnswerPart(
        document["first_position"],
        tuple(document["token_ids"]),
        text,
        choice["finish_reason"] or "",
    )


def _typed(document: dict, status: int) -> RequestError:
    error = document["error"]
    return RequestError(
        status,
        error["code"],
        error["message"],
        RunState(error["run_state"]),
        error["retry_after_s"],
    )


def _unreachable(error: Exception, progress: AnswerProgress) -> RequestError:
    state = RunState.RUN if progress.tokens else RunState.UNKNOWN
    return RequestError(0, "unreachable", f"no entry answers: {error!r}", state)
