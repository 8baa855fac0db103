"""A published revision: the head and its content-addressed chunks.

The head (`published/head`) holds the digest of every chunk; a chunk
(`published/chunks/<digest>`) holds JSON objects. Client accounts are partitioned
by hash into 256 chunks, so that a change to one account rewrites about 16 KB at
16,000 accounts.
"""

import hashlib
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from returns.result import Failure, Result

from monsoontack.config.check import check_view
from monsoontack.config.objects import (
    ConfigRecord,
    parse_objects,
    to_document,
    to_record,
)
from monsoontack.config.view import (
    AccountConfig,
    ConfigView,
    RolloutConfig,
    ServiceConfig,
    VersionConfig,
)
from monsoontack.core.rawjson import load_document
from monsoontack.store.api import ObjectStore, StoredObject, StoreError

HEAD_KEY = "published/head"
CHUNK_PREFIX = "published/chunks/"
DELETED_CHUNK = "deleted"
ACCOUNT_CHUNKS = 256
MAX_DELETIONS = 100  # kept so that a conflict can name the author of a removal

Document = dict[str, Any]
_CHUNK_OF_KIND = {"Service": "services", "Version": "versions", "Rollout": "rollouts"}


@dataclass(frozen=True, slots=True)
class Head:
    """The head of a revision: number, lease epoch of its publisher, chunk digests.

    `chunks` maps chunk names to digests. `proposal` is the uid of the proposal that
    this revision applies, so that a succeeding publisher can write its status.
    """

    revision: int = 0
    lease_epoch: int = 0
    chunks: Mapping[str, str] = field(default_factory=dict)
    proposal: str = ""


@dataclass(frozen=True, slots=True)
class HeadDelta:
    """Difference between a head and that of `base_revision` (0: an empty head)."""

    revision: int
    lease_epoch: int
    base_revision: int
    changed: Mapping[str, str]
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ChunkRecords:
    """Records of one chunk, grouped by kind as in a `ConfigView`."""

    services: Mapping[str, ServiceConfig] = field(default_factory=dict)
    versions: Mapping[tuple[str, str], VersionConfig] = field(default_factory=dict)
    rollouts: Mapping[str, RolloutConfig] = field(default_factory=dict)
    accounts: Mapping[str, AccountConfig] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Chunk:
    """The published value of a chunk and the records decoded from it."""

    value: bytes
    records: ChunkRecords


def encode_json(document: object) -> bytes:
    """Return canonical JSON, so that equal documents have equal digests."""
    return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()


def chunk_digest(value: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of a chunk value."""
    return hashlib.sha256(value).hexdigest()


def chunk_key(digest: str) -> str:
    """Return the object API key of a chunk."""
    return CHUNK_PREFIX + digest


def chunk_name(kind: str, name: str) -> str:
    """Return the name of the chunk that holds an object."""
    if kind != "ClientAccount":
        return _CHUNK_OF_KIND[kind]
    shard = hashlib.sha256(name.encode()).digest()[0] % ACCOUNT_CHUNKS
    return f"accounts/{shard:02x}"


def encode_head(head: Head) -> bytes:
    """Return the value of `published/head`."""
    return encode_json(
        {
            "revision": head.revision,
            "lease_epoch": head.lease_epoch,
            "chunks": dict(head.chunks),
            "proposal": head.proposal,
        }
    )


def decode_head(value: bytes) -> Head:
    """Decode a value of `published/head`."""
    document = load_document(value)
    return Head(
        document["revision"],
        document["lease_epoch"],
        document["chunks"],
        document["proposal"],
    )


def make_delta(base: Head | None, head: Head) -> HeadDelta:
    """Return the difference from `base` to `head`; the whole head without a base."""
    old = base.chunks if base else {}
    changed = {k: d for k, d in head.chunks.items() if old.get(k) != d}
    removed = tuple(sorted(k for k in old if k not in head.chunks))
    base_revision = base.revision if base else 0
    return HeadDelta(head.revision, head.lease_epoch, base_revision, changed, removed)


def apply_delta(base: Head, delta: HeadDelta) -> Head | None:
    """Return `base` changed by `delta`, or None if `delta` has another base."""
    if delta.base_revision not in (0, base.revision):
        return None
    chunks = dict(base.chunks) if delta.base_revision else {}
    for name in delta.removed:
        chunks.pop(name, None)
    chunks.update(delta.changed)
    return Head(delta.revision, delta.lease_epoch, chunks)


def encode_chunk(documents: Iterable[Document]) -> bytes:
    """Return the value of a chunk that holds these objects."""
    ordered = sorted(documents, key=lambda item: (item["kind"], item["name"]))
    return encode_json(ordered)


def decode_chunk(value: bytes) -> list[Document]:
    """Return the JSON objects of a chunk."""
    return load_document(value)


def parse_chunk(name: str, value: bytes) -> ChunkRecords:
    """Return the records of a chunk; the chunk `deleted` has none."""
    records = ChunkRecords({}, {}, {}, {})
    if name == DELETED_CHUNK:
        return records
    for document in decode_chunk(value):
        _insert(records, to_record(document))
    return records


def _insert(records: ChunkRecords | ConfigView, record: ConfigRecord) -> None:
    match record:
        case ServiceConfig():
            records.services[record.name] = record
        case VersionConfig():
            records.versions[record.service, record.name] = record
        case RolloutConfig():
            records.rollouts[record.name] = record
        case AccountConfig():
            records.accounts[record.name] = record


def load_chunk(name: str, value: bytes) -> Chunk:
    """Decode a chunk; `name` is its name in the head."""
    return Chunk(value, parse_chunk(name, value))


def build_view(head: Head, chunks: Mapping[str, Chunk]) -> ConfigView:
    """Return the configuration of `head`; `chunks` maps digests to chunks."""
    view = ConfigView(head.revision, {}, {}, {}, {}, {})
    for digest in head.chunks.values():
        records = chunks[digest].records
        view.services.update(records.services)
        view.versions.update(records.versions)
        view.rollouts.update(records.rollouts)
        view.accounts.update(records.accounts)
    _index_keys(view)
    return view


def _index_keys(view: ConfigView) -> None:
    for account in view.accounts.values():
        for digest in account.key_digests:
            view.account_of_digest[digest] = account.name


def view_of_documents(documents: Iterable[Document], revision: int = 0) -> ConfigView:
    """Return the configuration of validated JSON objects, to check it unpublished."""
    view = ConfigView(revision, {}, {}, {}, {}, {})
    for document in documents:
        _insert(view, to_record(document))
    _index_keys(view)
    return view


def make_chunks(documents: Iterable[Document]) -> dict[str, bytes]:
    """Split objects into chunks; returns chunk values by chunk name."""
    groups: dict[str, list[Document]] = {}
    for document in documents:
        name = chunk_name(document["kind"], document["name"])
        groups.setdefault(name, []).append(document)
    return {name: encode_chunk(group) for name, group in groups.items()}


def make_revision(
    documents: list[Document], revision: int = 1, lease_epoch: int = 0
) -> tuple[Head, dict[str, bytes]]:
    """Build a head and its chunk values by digest from validated objects.

    Each object gets `revision` as its version; rollouts also get a uid.
    """
    stamped = [stamp(document, revision, "seed") for document in documents]
    values = make_chunks(stamped)
    digests = {name: chunk_digest(value) for name, value in values.items()}
    head = Head(revision, lease_epoch, digests)
    return head, {digests[name]: value for name, value in values.items()}


def stamp(document: Document, revision: int, changed_by: str) -> Document:
    """Return the object marked as changed in `revision`; a rollout gets a new uid."""
    stamped = {**document, "version": revision, "changed_by": changed_by}
    if document["kind"] == "Rollout":
        status = {"uid": rollout_uid(document["name"], revision), "phase": "pending"}
        stamped["status"] = status
    return stamped


def rollout_uid(name: str, revision: int) -> str:
    """Return the uid of the rollout attempt that begins in `revision`."""
    return f"{name}.{revision}"


def uid_revision(uid: str) -> int:
    """Return the revision in which a rollout attempt begins; 0 if the uid has none."""
    _, _, revision = uid.rpartition(".")
    return int(revision) if revision.isdigit() else 0


async def seed_store(
    store: ObjectStore, documents: list[Document]
) -> Result[StoredObject, StoreError]:
    """Publish the first revision to an empty store, for tests and stand-ins.

    `documents` are objects as operators write them. Returns the stored head; raises
    ValueError with all errors if the objects are invalid.
    """
    result = parse_objects("seed", documents)
    if isinstance(result, Failure):
        raise ValueError("; ".join(map(str, result.failure().errors)))
    checked = [to_document(item) for item in result.unwrap()]
    if errors := check_view(view_of_documents(checked)):
        raise ValueError("; ".join(map(str, errors)))
    head, chunks = make_revision(checked)
    for digest, value in chunks.items():
        await store.create(chunk_key(digest), value)
    return await store.create(HEAD_KEY, encode_head(head))
