"""Objects of a kind between entries: revision and age as headers, rows as JSON.

Several entries ask for the same changes, so rows are encoded once for a revision;
long ones are compressed, since a configuration of many routes would fill the link of
a small VM for seconds.
"""

import math
import zlib
from dataclasses import dataclass, field
from typing import Any

import msgspec

from monsoontack.gateway.peers import MAX_ANSWER_BYTES, PeerResponse
from monsoontack.gateway.records import Headers
from monsoontack.store.api import KindChange, KindChanges, KindList, KindObject
from monsoontack.store.cache import KindCache

REVISION_HEADER = b"feed-revision"
AGE_HEADER = b"feed-confirmed-after-s"
ENCODING_HEADER = b"feed-encoding"
DEFLATE = b"deflate"
# Shorter bodies fit a few packets.
COMPRESSED_BYTES = 4096
COMPRESSION_LEVEL = 1
# What a peer's body may hold once it is decompressed.
MAX_BODY_BYTES = 4 * MAX_ANSWER_BYTES


class CodecError(ValueError):
    """A peer's answer cannot be read."""


class _Row(msgspec.Struct, array_like=True):
    name: str
    revision: int
    spec: Any
    status: Any


class _Change(msgspec.Struct, array_like=True):
    removed: bool
    row: _Row


@dataclass(slots=True)
class FeedEncoder:
    """Encodes what caches hold; keeps bodies until the cache changes.

    `bodies` maps kind and asked revision to the encoded rows of `revisions`.
    """

    revisions: dict[int, int] = field(default_factory=dict)
    bodies: dict[tuple[int, int | None], tuple[Headers, bytes]] = field(
        default_factory=dict
    )

    def encode(
        self, cache: KindCache, after: int | None, confirmed_after_s: float
    ) -> tuple[Headers, bytes]:
        """Return headers and body for a peer that knows the revision `after`."""
        headers, body = self._body(cache, after)
        own = (
            (REVISION_HEADER, b"%d" % cache.revision),
            (AGE_HEADER, b"%.4f" % confirmed_after_s),
        )
        return own + headers, body

    def _body(self, cache: KindCache, after: int | None) -> tuple[Headers, bytes]:
        if after is not None and after >= cache.revision:
            return (), b"[]"
        if self.revisions.get(id(cache)) != cache.revision:
            self.revisions[id(cache)] = cache.revision
            stale = [key for key in self.bodies if key[0] == id(cache)]
            for key in stale:
                del self.bodies[key]
        key = (id(cache), after)
        if key not in self.bodies:
            self.bodies[key] = _compressed(_rows(cache, after))
        return self.bodies[key]


def _rows(cache: KindCache, after: int | None) -> bytes:
    if after is None:
        return msgspec.json.encode([_row(item) for item in cache.objects.values()])
    changes = cache.since(after) or ()
    return msgspec.json.encode([(c.removed, _row(c.object)) for c in changes])


def _row(item: KindObject) -> _Row:
    return _Row(item.name, item.revision, item.spec, item.status)


def _compressed(body: bytes) -> tuple[Headers, bytes]:
    if len(body) < COMPRESSED_BYTES:
        return (), body
    return ((ENCODING_HEADER, DEFLATE),), zlib.compress(body, COMPRESSION_LEVEL)


def decode_list(answer: PeerResponse) -> KindList:
    """Return all objects of a kind; raises `CodecError`."""
    revision, confirmed_after_s = _state(answer)
    rows = _decode(answer, list[_Row])
    return KindList(tuple(map(_object, rows)), revision, confirmed_after_s)


def decode_changes(answer: PeerResponse) -> KindChanges:
    """Return the changes of a kind; raises `CodecError`."""
    revision, confirmed_after_s = _state(answer)
    rows = _decode(answer, list[_Change])
    changes = tuple(KindChange(_object(item.row), item.removed) for item in rows)
    return KindChanges(changes, revision, confirmed_after_s)


def _object(row: _Row) -> KindObject:
    return KindObject(row.name, row.revision, row.spec, row.status)


def _state(answer: PeerResponse) -> tuple[int, float]:
    found = dict(answer.headers)
    try:
        revision = int(found[REVISION_HEADER])
        confirmed_after_s = float(found[AGE_HEADER])
    except (KeyError, ValueError) as error:
        raise CodecError(f"malformed header: {error}") from error
    if revision < 0 or not math.isfinite(confirmed_after_s):
        raise CodecError(f"malformed state {revision} {confirmed_after_s}")
    return revision, confirmed_after_s


def _decode(answer: PeerResponse, model: Any) -> Any:
    body = answer.body
    try:
        if dict(answer.headers).get(ENCODING_HEADER) == DEFLATE:
            unpacker = zlib.decompressobj()
            body = unpacker.decompress(body, MAX_BODY_BYTES)
            if unpacker.unconsumed_tail:
                raise CodecError(f"body above {MAX_BODY_BYTES} bytes")
        return msgspec.json.decode(body, type=model)
    except (zlib.error, msgspec.DecodeError) as error:
        raise CodecError(f"malformed body: {error}") from error
