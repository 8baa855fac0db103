"""Load messages between entries, and their JSON form.

A message holds the usage of the engines whose figures changed, or of all of them. It
also names starts of engines that just failed (`failed`), that answered a wrong start or
refused (`stale`) or that answered again (`alive`), the engines that received a prompt,
and the requests that wait at the sender. Versions before `stale`, `alive` and `waiting`
ignore these fields and do not send them. Engines are named by `Member.limit_key`, since
nothing of this holds for another start of an engine.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Annotated

import msgspec

from monsoontack.core.rawjson import decode_encodable

# Bound of the runs and tokens in a message, whose sums can still be divided.
MAX_AMOUNT = 2**53
# Starts that a message names as stale or as alive; twice the engines of the largest
# deployment. A sender keeps further ones for its next message.
MAX_STARTS = 256
# Services and priorities with waiting requests in a message. Configurations have less
# than ten services and six priorities.
MAX_WAITING_SERVICES = 64
MAX_WAITING_ROWS = 16

Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Priority = Annotated[int, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
Starts = Annotated[list[str], msgspec.Meta(max_length=MAX_STARTS)]
WaitingRows = Annotated[
    list[tuple[Priority, Amount, Amount]], msgspec.Meta(max_length=MAX_WAITING_ROWS)
]
Waiting = Annotated[
    dict[str, WaitingRows], msgspec.Meta(max_length=MAX_WAITING_SERVICES)
]
# Waiting requests by service and priority: their number and their prompt tokens.
WaitingByService = dict[str, dict[int, tuple[int, int]]]


@dataclass(frozen=True, slots=True)
class EngineUsage:
    """Usage of one engine: runs, and tokens of waiting prompts and in KV memory."""

    runs: int = 0
    waiting_tokens: int = 0
    held_tokens: int = 0

    def plus(self, other: "EngineUsage") -> "EngineUsage":
        """Return the sum of two usages."""
        return EngineUsage(
            self.runs + other.runs,
            self.waiting_tokens + other.waiting_tokens,
            self.held_tokens + other.held_tokens,
        )


NO_USAGE = EngineUsage()


@dataclass(frozen=True, slots=True)
class LoadMessage:
    """A message of a peer.

    `is_first` marks the first message of a process, `is_full` a message with the
    sender's usage of all engines. `usage` maps the start of an engine to its
    usage, `prompts` the id of a prompt's prefix to the engine that received it;
    `failed` lists the engines that failed, `stale` starts that answered 421 or refused,
    `alive` starts that answered again. `waiting` has all requests that wait at the
    sender; None means that they are as before.
    """

    peer: str
    is_first: bool
    is_full: bool
    usage: dict[str, EngineUsage]
    prompts: dict[str, str]
    failed: tuple[str, ...]
    stale: tuple[str, ...] = ()
    alive: tuple[str, ...] = ()
    waiting: WaitingByService | None = None


class _Message(msgspec.Struct):
    name: str
    full: bool
    engines: dict[str, tuple[Amount, Amount, Amount]]
    first: bool = False
    prompts: dict[str, str] = {}
    failed: list[str] = []
    stale: Starts = []
    alive: Starts = []
    waiting: Waiting | None = None


def encode_message(message: LoadMessage) -> bytes:
    """Return the JSON form of a message; fields without content are left out.

    Amounts are brought into the bounds, so that no request's stated size makes peers
    reject the message. The caller keeps `stale` and `alive` within `MAX_STARTS`.
    """
    document = {
        "name": message.peer,
        "full": message.is_full,
        "engines": {
            engine: _bounded((usage.runs, usage.waiting_tokens, usage.held_tokens))
            for engine, usage in message.usage.items()
        },
    }
    if message.is_first:
        document["first"] = True
    if message.prompts:
        document["prompts"] = message.prompts
    for name in ("failed", "stale", "alive"):
        starts = getattr(message, name)
        if starts:
            document[name] = starts
    if message.waiting is not None:
        document["waiting"] = _waiting_document(message.waiting)
    return json.dumps(document, separators=(",", ":")).encode()


def decode_message(body: bytes) -> LoadMessage:
    """Return a peer's message; raise ValueError if it is malformed."""
    message = decode_encodable(body, _Message)
    waiting = None
    if message.waiting is not None:
        waiting = {
            service: {priority: (count, tokens) for priority, count, tokens in rows}
            for service, rows in message.waiting.items()
        }
    return LoadMessage(
        peer=message.name,
        is_first=message.first,
        is_full=message.full,
        usage={k: EngineUsage(*row) for k, row in message.engines.items()},
        prompts=message.prompts,
        failed=tuple(message.failed),
        stale=tuple(message.stale),
        alive=tuple(message.alive),
        waiting=waiting,
    )


def _waiting_document(waiting: WaitingByService) -> dict[str, list[list[int]]]:
    """Return the rows of waiting requests by service, the most urgent ones first."""
    document = {}
    for service, by_priority in _first(waiting, MAX_WAITING_SERVICES):
        rows = _first(dict(sorted(by_priority.items())), MAX_WAITING_ROWS)
        if rows:
            document[service] = [
                [priority, *_bounded(amounts)] for priority, amounts in rows
            ]
    return document


def _first(mapping: Mapping, count: int) -> list[tuple]:
    return list(mapping.items())[:count]


def _bounded(amounts: Iterable[int]) -> list[int]:
    return [min(max(amount, 0), MAX_AMOUNT) for amount in amounts]
