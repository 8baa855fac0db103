"""Proposals: sets of changes that an operator submits together, and their outcome.

A proposal is stored as `proposals/<uid>`. It lists objects to put or delete, each
with the version that the edit is based on. `decide` applies the proposal to the
published revision and returns either the chunks of the next revision or all errors
and conflicts.

Example::

    {"uid": "0001764819300123-5b1f", "author": "operator", "changes": [
       {"op": "put", "base_version": 4, "object": {"kind": "Service", ...}},
       {"op": "delete", "base_version": 2, "kind": "Version", "name": "desk.v1"}]}
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Annotated, Any, Literal

from pydantic import Field
from returns.result import Failure, Result, Success

from monsoontack.config.check import ENDED_PHASES, check_view
from monsoontack.config.objects import parse_object, to_document
from monsoontack.config.revision import (
    DELETED_CHUNK,
    MAX_DELETIONS,
    Chunk,
    Document,
    Head,
    build_view,
    chunk_digest,
    chunk_name,
    decode_chunk,
    encode_chunk,
    load_chunk,
    stamp,
)
from monsoontack.core.errors import FieldError, FieldErrors
from monsoontack.core.rawjson import load_document
from monsoontack.settings.load import validate
from monsoontack.settings.models import Model
from monsoontack.store.api import MAX_VALUE_BYTES

PROPOSAL_PREFIX = "proposals/"
FINAL_PHASES = frozenset({"Published", "Refused"})
MAX_CHANGES = 2000  # keeps a proposal and its status below 1 MB


class Put(Model):
    """Change that creates or replaces an object."""

    op: Literal["put"]
    base_version: int = Field(ge=0)
    object: dict[str, Any]


class Delete(Model):
    """Change that removes an object."""

    op: Literal["delete"]
    base_version: int = Field(ge=1)
    kind: Literal["Service", "Version", "Rollout", "ClientAccount"]
    name: str


Change = Annotated[Put | Delete, Field(discriminator="op")]


class Proposal(Model):
    """A set of changes that is applied as a whole or not at all.

    `system` marks proposals of the controller, which may set the status of objects;
    proposals of operators may not.
    """

    uid: str = Field(pattern=r"^[0-9a-z-]{1,64}$")
    author: str = Field(min_length=1, max_length=128)
    system: bool = False
    changes: tuple[Change, ...] = Field(min_length=1, max_length=MAX_CHANGES)
    status: dict[str, Any] = Field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class EditConflict:
    """An object that was changed after the version that the edit is based on."""

    kind: str
    name: str
    base_version: int
    current_version: int
    changed_by: str

    def describe(self) -> str:
        """Return the message about the conflict that operators see."""
        edited = f"{self.kind}/{self.name} was edited from version {self.base_version}"
        if not self.current_version:
            return f"{edited}, but it does not exist"
        return (
            f"{edited}, but {self.changed_by} changed it first,"
            f" to version {self.current_version}"
        )


@dataclass(frozen=True, slots=True)
class Accepted:
    """The next revision: its head and the chunks that the current revision lacks.

    `changed` is False if the proposal leaves the published objects as they are.
    """

    head: Head
    chunks: Mapping[str, Chunk]
    changed: bool


@dataclass(frozen=True, slots=True)
class Refused:
    """All errors and conflicts of a proposal."""

    errors: tuple[FieldError, ...] = ()
    conflicts: tuple[EditConflict, ...] = ()


Decision = Accepted | Refused


def proposal_key(uid: str) -> str:
    """Return the object API key of a proposal."""
    return PROPOSAL_PREFIX + uid


def parse_proposal(key: str, value: bytes) -> Result[Proposal, FieldErrors]:
    """Return the proposal stored under `key`, or all validation errors."""
    try:
        document = load_document(value)
    except ValueError as error:
        fault = FieldError(key, "", f"malformed JSON: {error}")
        return Failure(FieldErrors((fault,)))
    result = validate(key, document, Proposal)
    if isinstance(result, Success) and proposal_key(result.unwrap().uid) != key:
        fault = FieldError(key, "uid", "must be the last part of the object's key")
        return Failure(FieldErrors((fault,)))
    return result


def is_final(value: bytes) -> bool:
    """Return whether the status of a stored proposal holds an outcome."""
    try:
        document = load_document(value)
        return document["status"]["phase"] in FINAL_PHASES
    except (ValueError, KeyError, TypeError):
        return False


def decide(
    proposal: Proposal, head: Head, chunks: Mapping[str, Chunk], lease_epoch: int
) -> Decision:
    """Apply a proposal to the revision of `head`; `chunks` maps its digests to chunks.

    Returns the next revision, or all errors and conflicts of the proposal.
    """
    edit = _Edit(proposal, head, chunks)
    for index, change in enumerate(proposal.changes):
        edit.apply(index, change)
    return edit.finish(lease_epoch)


@dataclass(slots=True, repr=False)
class _Edit:
    """Application of a proposal to a revision.

    `touched` holds the objects of the changed chunks by chunk name; `seen` and
    `invalid` hold (kind, name) of changed objects and of invalid ones.
    """

    proposal: Proposal
    head: Head
    chunks: Mapping[str, Chunk]
    touched: dict[str, dict[tuple[str, str], Document]] = field(default_factory=dict)
    errors: list[FieldError] = field(default_factory=list)
    conflicts: list[EditConflict] = field(default_factory=list)
    seen: set[tuple[str, str]] = field(default_factory=set)
    invalid: set[tuple[str, str]] = field(default_factory=set)

    def apply(self, index: int, change: Put | Delete) -> None:
        """Apply one change, even if it conflicts, so that all errors are found."""
        if isinstance(change, Delete):
            self._check_base(index, change.kind, change.name, change.base_version)
            self._delete(change.kind, change.name)
            return
        result = parse_object(f"changes[{index}]", change.object)
        if isinstance(result, Failure):
            self.errors.extend(result.failure().errors)
            names = (change.object.get("kind"), change.object.get("name"))
            self.invalid.add(tuple(map(str, names)))
            return
        document = to_document(result.unwrap())
        kind, name = document["kind"], document["name"]
        self._check_base(index, kind, name, change.base_version)
        self._put(document)

    def _documents(self, chunk: str) -> dict[tuple[str, str], Document]:
        if chunk not in self.touched:
            digest = self.head.chunks.get(chunk)
            documents = decode_chunk(self.chunks[digest].value) if digest else []
            self.touched[chunk] = {(d["kind"], d["name"]): d for d in documents}
        return self.touched[chunk]

    def _check_base(self, index: int, kind: str, name: str, base: int) -> None:
        key = (kind, name)
        if key in self.seen:
            message = f"{kind}/{name} is changed twice in one proposal"
            self.errors.append(FieldError(f"changes[{index}]", "", message))
            return
        self.seen.add(key)
        current = self._documents(chunk_name(kind, name)).get(key)
        if (current["version"] if current else 0) == base:
            return
        found = current or self._documents(DELETED_CHUNK).get(key)
        version, author = (found["version"], found["changed_by"]) if found else (0, "")
        self.conflicts.append(EditConflict(kind, name, base, version, author))

    def _delete(self, kind: str, name: str) -> None:
        self._documents(chunk_name(kind, name)).pop((kind, name), None)
        deleted = self._documents(DELETED_CHUNK)
        deleted[kind, name] = {
            "kind": kind,
            "name": name,
            "version": self.head.revision + 1,
            "changed_by": f"{self.proposal.author} (removed)",
        }
        while len(deleted) > MAX_DELETIONS:
            del deleted[min(deleted, key=lambda key: deleted[key]["version"])]

    def _put(self, document: Document) -> None:
        key = (document["kind"], document["name"])
        documents = self._documents(chunk_name(*key))
        current = documents.get(key)
        if self._is_same(current, document):
            return
        self._documents(DELETED_CHUNK).pop(key, None)
        documents[key] = self._stamp(document, current)

    def _is_same(self, current: Document | None, document: Document) -> bool:
        if current is None or current["spec"] != document["spec"]:
            return False
        status = current.get("status", {})
        if self.proposal.system:
            return status == document.get("status", {})
        return status.get("phase") not in ENDED_PHASES

    def _stamp(self, document: Document, current: Document | None) -> Document:
        revision = self.head.revision + 1
        author = self.proposal.author
        if self.proposal.system:
            return {**document, "version": revision, "changed_by": author}
        status = (current or {}).get("status", {})
        plain = {k: v for k, v in document.items() if k != "status"}
        if status:
            plain["status"] = status
        return stamp(plain, revision, author)

    def finish(self, lease_epoch: int) -> Decision:
        names = dict(self.head.chunks)
        chunks = {}
        for name, documents in self.touched.items():
            if not documents:
                names.pop(name, None)
                continue
            value = encode_chunk(documents.values())
            names[name] = chunk_digest(value)
            if names[name] not in self.head.chunks.values():
                chunks[names[name]] = load_chunk(name, value)
        changed = names != dict(self.head.chunks)
        revision = self.head.revision + changed
        head = Head(revision, lease_epoch, names, self.proposal.uid)
        known = {**self.chunks, **chunks}
        previous = build_view(self.head, self.chunks)
        view = build_view(head, known)
        errors = (
            *self.errors,
            *self._too_large(chunks),
            *check_view(view, previous, invalid=frozenset(self.invalid)),
        )
        if errors or self.conflicts:
            return Refused(errors, tuple(self.conflicts))
        return Accepted(head, chunks, changed)

    def _too_large(self, chunks: Mapping[str, Chunk]) -> tuple[FieldError, ...]:
        return tuple(
            FieldError(
                f"proposals/{self.proposal.uid}",
                "",
                f"chunk {digest[:12]} would hold {len(chunk.value)} bytes,"
                f" above the object API's limit of {MAX_VALUE_BYTES}",
            )
            for digest, chunk in chunks.items()
            if len(chunk.value) > MAX_VALUE_BYTES
        )
