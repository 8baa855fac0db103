"""Implementation of the operator commands `check`, `apply`, `get` and `status`.

A file holds one object or a list of objects in JSON. To change an object, an
operator reads it with `get`, edits it and applies it with its `version` unchanged;
an object without `version` must be new. `"delete": true` removes an object.
"""

import json
import random
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from monsoontack.config.check import check_view
from monsoontack.config.confirmations import STATUS_KEY, ConfigStatus
from monsoontack.config.objects import parse_object, to_document
from monsoontack.config.operations import Get, execute_all, failures
from monsoontack.config.proposal import PROPOSAL_PREFIX, is_final, proposal_key
from monsoontack.config.revision import (
    DELETED_CHUNK,
    HEAD_KEY,
    Document,
    Head,
    chunk_key,
    chunk_name,
    decode_chunk,
    decode_head,
    encode_json,
    view_of_documents,
)
from monsoontack.core.clock import Clock
from monsoontack.core.errors import FieldError, FieldErrors
from monsoontack.core.rawjson import load_document
from monsoontack.store.api import (
    Ambiguous,
    Conflict,
    NotFound,
    ObjectStore,
    StoreError,
)

RETRY_DELAY_S = 0.5
WATCH_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class SourceObject:
    """An object as read from a file.

    `location` names the file and, in a list, the index of the object.
    """

    location: str
    document: Any


@dataclass(frozen=True, slots=True)
class SubmissionResult:
    """Result of a submitted proposal.

    `document` is the stored proposal, or None if it could not be read. `in_force`
    says whether all live entries confirmed its revision in time; `unconfirmed` names
    the entries that did not.
    """

    uid: str
    document: Document | None
    in_force: bool = False
    unconfirmed: tuple[str, ...] = ()

    @property
    def status(self) -> Document:
        """Status that the system wrote; empty if it has written none yet."""
        return (self.document or {}).get("status", {})


def read_files(paths: Iterable[Path]) -> tuple[list[SourceObject], list[FieldError]]:
    """Return the objects of all files and an error for each unreadable file."""
    sources, errors = [], []
    for path in paths:
        try:
            content = json.loads(path.read_text(encoding="utf-8"))
        except OSError as error:
            message = f"cannot read the file: {error.strerror}"
            errors.append(FieldError(str(path), "", message))
        except UnicodeDecodeError:
            errors.append(FieldError(str(path), "", "the file is not UTF-8 text"))
        except json.JSONDecodeError as error:
            where = f"line {error.lineno} column {error.colno}"
            message = f"malformed JSON at {where}: {error.msg}"
            errors.append(FieldError(str(path), "", message))
        else:
            sources += _source_objects(str(path), content)
    return sources, errors


def _source_objects(path: str, content: Any) -> list[SourceObject]:
    if not isinstance(content, list):
        return [SourceObject(path, content)]
    return [
        SourceObject(f"{path}[{index}]", item) for index, item in enumerate(content)
    ]


def check_files(
    paths: Iterable[Path], base: Iterable[Path] = ()
) -> tuple[FieldError, ...]:
    """Validate the objects in the files without a store; returns all errors.

    The files are validated as a whole configuration, together with the objects of
    the `base` files (from `get`) that they do not replace.
    """
    sources, errors = read_files(paths)
    base_sources, base_errors = read_files(base)
    errors += base_errors
    documents: dict[tuple[str, str], Document] = {}
    locations: dict[tuple[str, str], str] = {}
    invalid: set[tuple[str, str]] = set()
    for source in sources:
        _collect(source, documents, locations, invalid, errors)
    for source in base_sources:
        _collect_base(source, documents, locations, invalid, errors)
    kept = [item for item in documents.values() if "delete" not in item]
    view = view_of_documents(kept)
    previous = view_of_documents(_valid_documents(base_sources))
    return (*errors, *check_view(view, previous, locations, frozenset(invalid)))


def _object_key(document: Any) -> tuple[str, str]:
    fields = document if isinstance(document, dict) else {}
    return str(fields.get("kind")), str(fields.get("name"))


def _collect(source: SourceObject, documents, locations, invalid, errors) -> None:
    key = _object_key(source.document)
    if key in locations:
        message = f"{key[0]} {key[1]!r} is also defined in {locations[key]}"
        errors.append(FieldError(source.location, "name", message))
        return
    locations[key] = source.location
    if isinstance(source.document, dict) and source.document.get("delete") is True:
        documents[key] = source.document
        return
    result = parse_object(source.location, source.document)
    if isinstance(result, Failure):
        errors.extend(result.failure().errors)
        invalid.add(key)
        return
    documents[key] = to_document(result.unwrap())


def _collect_base(source: SourceObject, documents, locations, invalid, errors) -> None:
    if _object_key(source.document) not in locations:
        _collect(source, documents, locations, invalid, errors)


def _valid_documents(sources: Iterable[SourceObject]) -> list[Document]:
    results = [parse_object(source.location, source.document) for source in sources]
    return [to_document(r.unwrap()) for r in results if isinstance(r, Success)]


def make_proposal(
    sources: list[SourceObject], author: str, rng: random.Random, unix_s: float
) -> Result[Document, FieldErrors]:
    """Return a proposal with all objects in `sources`, or all their errors.

    The uid begins with the time, because proposals are processed in order of uid.
    """
    changes, errors = [], []
    for source in sources:
        document = source.document
        if isinstance(document, dict) and document.get("delete") is True:
            names = {key: document.get(key) for key in ("kind", "name")}
            base = document.get("version", 0)
            changes.append({"op": "delete", "base_version": base, **names})
            continue
        result = parse_object(source.location, document)
        if isinstance(result, Failure):
            errors.extend(result.failure().errors)
            continue
        base = result.unwrap().version
        changes.append({"op": "put", "base_version": base, "object": document})
    if errors:
        return Failure(FieldErrors(tuple(errors)))
    uid = f"{int(unix_s * 1000):014d}-{rng.getrandbits(32):08x}"
    return Success({"uid": uid, "author": author, "changes": changes, "status": {}})


async def submit(
    store: ObjectStore, proposal: Document, clock: Clock, timeout_s: float
) -> Result[None, StoreError]:
    """Write a proposal, with retries.

    The write is repeated after an error; a conflict then shows that an earlier try
    took effect. Returns `Ambiguous` if the effect is still unknown after `timeout_s`.
    """
    key = proposal_key(proposal["uid"])
    value = encode_json(proposal)
    deadline = clock.now() + timeout_s
    maybe_written = False
    while True:
        result = await store.create(key, value)
        if isinstance(result, Success):
            return Success(None)
        error = result.failure()
        if isinstance(error, Conflict):  # an earlier try succeeded
            return Success(None)
        maybe_written = maybe_written or isinstance(error, Ambiguous)
        if clock.now() >= deadline:
            return Failure(
                Ambiguous(key, "no answer from the store") if maybe_written else error
            )
        await clock.sleep(RETRY_DELAY_S)


async def wait_for_outcome(
    store: ObjectStore, uid: str, clock: Clock, timeout_s: float
) -> SubmissionResult:
    """Wait until a proposal has an outcome and, if published, is in force."""
    deadline = clock.now() + timeout_s
    key, version, submitted = proposal_key(uid), 0, SubmissionResult(uid, None)
    while clock.now() < deadline:
        result = await store.watch(
            key, version, min(WATCH_TIMEOUT_S, deadline - clock.now())
        )
        if isinstance(result, Failure):
            await clock.sleep(RETRY_DELAY_S)
            continue
        if (stored := result.unwrap()) is None:
            continue
        version = stored.version
        submitted = SubmissionResult(uid, load_document(stored.value))
        if is_final(stored.value):
            break
    if submitted.status.get("phase") != "Published":
        return submitted
    return await _wait_in_force(store, submitted, clock, deadline)


async def _wait_in_force(
    store: ObjectStore, submitted: SubmissionResult, clock: Clock, deadline: float
) -> SubmissionResult:
    revision, version = submitted.status["revision"], 0
    unconfirmed: tuple[str, ...] = ()
    while clock.now() < deadline:
        wait_s = min(WATCH_TIMEOUT_S, deadline - clock.now())
        result = await store.watch(STATUS_KEY, version, wait_s)
        if isinstance(result, Failure):
            await clock.sleep(RETRY_DELAY_S)
            continue
        if (stored := result.unwrap()) is None:
            continue
        version = stored.version
        status = ConfigStatus.decode(stored.value)
        if status.in_force >= revision:
            return SubmissionResult(submitted.uid, submitted.document, True)
        unconfirmed = status.unconfirmed
    return SubmissionResult(submitted.uid, submitted.document, False, unconfirmed)


async def read_head(store: ObjectStore) -> Result[Head, StoreError]:
    """Return the published head; an empty head if nothing is published."""
    result = await store.get(HEAD_KEY)
    if isinstance(result, Success):
        return Success(decode_head(result.unwrap().value))
    if isinstance(result.failure(), NotFound):
        return Success(Head())
    return Failure(result.failure())


async def get_objects(
    store: ObjectStore, kind: str = "", name: str = ""
) -> Result[list[Document], StoreError]:
    """Return the published objects, filtered by kind and name if these are given."""
    result = await read_head(store)
    if isinstance(result, Failure):
        return result
    chunks = result.unwrap().chunks
    selected = {n: d for n, d in chunks.items() if n != DELETED_CHUNK}
    if kind and (name or kind != "ClientAccount"):
        selected_name = chunk_name(kind, name)
        selected = {n: d for n, d in selected.items() if n == selected_name}
    elif kind:
        selected = {n: d for n, d in selected.items() if n.startswith("accounts/")}
    results = await execute_all(
        store, tuple(Get(chunk_key(d)) for d in selected.values())
    )
    if errors := failures(results):
        return Failure(errors[0])
    documents = [d for r in results for d in decode_chunk(r.unwrap().value)]
    return Success([d for d in documents if name in ("", d["name"])])


async def get_status(store: ObjectStore) -> Result[Document, StoreError]:
    """Return the status of the configuration, the rollouts and the proposals.

    A published proposal is shown as `InForce` once all live entries have confirmed
    its revision.
    """
    head = await read_head(store)
    listed = await store.list(PROPOSAL_PREFIX)
    rollouts = await get_objects(store, "Rollout")
    for result in (head, listed, rollouts):
        if isinstance(result, Failure):
            return result
    confirmed = await store.get(STATUS_KEY)
    if isinstance(confirmed, Success):
        status = load_document(confirmed.unwrap().value)
    elif isinstance(confirmed.failure(), NotFound):
        status = {"in_force": 0, "phase": "Unknown", "unconfirmed": []}
    else:
        return confirmed
    in_force = status["in_force"]
    return Success(
        {
            "revision": head.unwrap().revision,
            "configuration": status,
            "rollouts": [_rollout_summary(d) for d in rollouts.unwrap()],
            "proposals": [
                _proposal_summary(p.value, in_force) for p in listed.unwrap()
            ],
        }
    )


def _rollout_summary(document: Document) -> Document:
    return {"name": document["name"], **document.get("status", {})}


def _proposal_summary(value: bytes, in_force: int) -> Document:
    try:
        document = load_document(value)
        status = dict(document.get("status") or {"phase": "Pending"})
    except (ValueError, AttributeError, TypeError):
        return {"phase": "Pending", "errors": ["the proposal is not a JSON object"]}
    if status.get("phase") == "Published" and status.get("revision", 0) <= in_force:
        status["phase"] = "InForce"
    return {"uid": document.get("uid"), "author": document.get("author"), **status}
