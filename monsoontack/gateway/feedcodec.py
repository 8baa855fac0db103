"""Encoding of store objects that entries send each other.

A response holds the objects of one kind, or their changes since a revision. The
objects are rows of a JSON array. Their revision and the time at which they were last
known to be current are headers. Several entries request the same changes, so a body
is encoded once per revision. Long bodies are compressed, since a configuration with
many routes would otherwise occupy the link of a small VM for seconds.
"""

import math
import zlib
from dataclasses import dataclass, field
from typing import Annotated, Any
from urllib.parse import unquote

import msgspec

from monsoontack.core.rawjson import MAX_NESTING, decode_encodable
from monsoontack.gateway.peers import (
    MAX_RESPONSE_BYTES,
    PeerResponse,
    encode_name,
)
from monsoontack.gateway.records import Headers
from monsoontack.store.api import KindChange, KindChanges, KindList, KindObject
from monsoontack.store.cache import KindCache

REVISION_HEADER = b"feed-revision"
AGE_HEADER = b"feed-confirmed-after-s"
# Names of the entries between the store and the responding one, quoted and separated by
# commas. Entries of former versions state none.
PATH_HEADER = b"feed-path"
ENCODING_HEADER = b"feed-encoding"
DEFLATE = b"deflate"
# Shorter bodies fit into a few packets and are sent uncompressed.
MIN_COMPRESSED_BYTES = 4096
COMPRESSION_LEVEL = 1
# Revisions have 63 bits, see `monsoontack.store.eras`.
MAX_REVISION = 2**63 - 1
# Levels of arrays around an object's content, which has been checked where it was read.
ENVELOPE_LEVELS = 3
# Bytes of encoded bodies that are kept beside the newest one. Most peers lack the same
# changes; a body is encoded again for a peer that lacks more.
MAX_KEPT_BODY_BYTES = 2_097_152
# Upper bound of a peer's decompressed body.
MAX_DECODED_BYTES = 4 * MAX_RESPONSE_BYTES


class CodecError(ValueError):
    """A peer's response is malformed."""


Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]


class _Row(msgspec.Struct, array_like=True):
    name: str
    revision: Revision
    spec: Any
    status: Any


class _Change(msgspec.Struct, array_like=True):
    removed: bool
    row: _Row


@dataclass(slots=True, repr=False)
class FeedEncoder:
    """Encodes the content of caches and keeps each body until its cache changes.

    `revisions` maps the id of a cache to the revision at which its bodies were encoded.
    `bodies` maps the id of a cache and the revision of the first change that the peer
    lacks, None for a list, to headers and body; the oldest are dropped above
    `MAX_KEPT_BODY_BYTES`.
    """

    revisions: dict[int, int] = field(default_factory=dict)
    bodies: dict[tuple[int, int | None], tuple[Headers, bytes]] = field(
        default_factory=dict
    )

    def encode(
        self, cache: KindCache, after: int | None, confirmed_after_s: float
    ) -> tuple[Headers, bytes]:
        """Return headers and body for a peer that has the revision `after`.

        All objects are encoded if `after` is None. `confirmed_after_s` is the time from
        the peer's request to the last confirmation of the cache, negative if the
        confirmation came first, as in `KindList`.
        """
        headers, body = self._encoded_body(cache, after)
        state_headers = (
            (REVISION_HEADER, b"%d" % cache.revision),
            (AGE_HEADER, b"%.4f" % confirmed_after_s),
            (PATH_HEADER, b",".join(map(encode_name, cache.path))),
        )
        return state_headers + headers, body

    def _encoded_body(
        self, cache: KindCache, after: int | None
    ) -> tuple[Headers, bytes]:
        if after is not None and after >= cache.revision:
            return (), b"[]"
        if self.revisions.get(id(cache)) != cache.revision:
            self.revisions[id(cache)] = cache.revision
            stale_keys = [key for key in self.bodies if key[0] == id(cache)]
            for key in stale_keys:
                del self.bodies[key]
        changes = None if after is None else cache.changes_since(after) or ()
        if changes == ():
            return (), b"[]"
        key = (id(cache), None if changes is None else changes[0].object.revision)
        found = self.bodies.get(key)
        if found is None:
            found = self.bodies[key] = _compress(_encode_rows(cache, changes))
            while self.kept_bytes() > MAX_KEPT_BODY_BYTES and len(self.bodies) > 1:
                del self.bodies[next(iter(self.bodies))]
        return found

    def kept_bytes(self) -> int:
        """Return the size of all bodies that are kept."""
        return sum(len(body) for _, body in self.bodies.values())


def _encode_rows(cache: KindCache, changes: tuple[KindChange, ...] | None) -> bytes:
    if changes is None:
        return msgspec.json.encode([_to_row(item) for item in cache.objects.values()])
    return msgspec.json.encode([(c.removed, _to_row(c.object)) for c in changes])


def _to_row(item: KindObject) -> _Row:
    return _Row(item.name, item.revision, item.spec, item.status)


def _compress(body: bytes) -> tuple[Headers, bytes]:
    if len(body) < MIN_COMPRESSED_BYTES:
        return (), body
    return ((ENCODING_HEADER, DEFLATE),), zlib.compress(body, COMPRESSION_LEVEL)


def decode_list(response: PeerResponse) -> KindList:
    """Decode a list of all objects of a kind; raises `CodecError`."""
    revision, confirmed_after_s = _decode_headers(response)
    rows = _decode_body(response, list[_Row])
    return KindList(tuple(map(_to_object, rows)), revision, confirmed_after_s)


def decode_changes(response: PeerResponse) -> KindChanges:
    """Decode changes of a kind; raises `CodecError`."""
    revision, confirmed_after_s = _decode_headers(response)
    rows = _decode_body(response, list[_Change])
    changes = tuple(KindChange(_to_object(item.row), item.removed) for item in rows)
    return KindChanges(changes, revision, confirmed_after_s)


def decode_path(response: PeerResponse) -> tuple[str, ...]:
    """Return the entries between the store and the peer; raises `CodecError`."""
    stated = dict(response.headers).get(PATH_HEADER, b"")
    if not stated.isascii():
        raise CodecError("path is not ASCII")
    return tuple(unquote(name) for name in stated.decode().split(",") if name)


def _to_object(row: _Row) -> KindObject:
    return KindObject(row.name, row.revision, row.spec, row.status)


def _decode_headers(response: PeerResponse) -> tuple[int, float]:
    headers = dict(response.headers)
    try:
        revision = int(headers[REVISION_HEADER])
        confirmed_after_s = float(headers[AGE_HEADER])
    except (KeyError, ValueError) as error:
        raise CodecError(f"missing or malformed header: {error}") from error
    if not 0 <= revision <= MAX_REVISION or not math.isfinite(confirmed_after_s):
        raise CodecError(
            f"revision {revision} or confirmation time {confirmed_after_s} out of range"
        )
    return revision, confirmed_after_s


def _decode_body(response: PeerResponse, model: Any) -> Any:
    body = response.body
    try:
        if dict(response.headers).get(ENCODING_HEADER) == DEFLATE:
            decompressor = zlib.decompressobj()
            body = decompressor.decompress(body, MAX_DECODED_BYTES)
            if decompressor.unconsumed_tail:
                raise ValueError(f"decompressed body exceeds {MAX_DECODED_BYTES} bytes")
        return decode_encodable(body, model, MAX_NESTING + ENVELOPE_LEVELS)
    except (zlib.error, ValueError) as error:
        raise CodecError(f"malformed body: {error}") from error
