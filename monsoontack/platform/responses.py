"""Decoding of the store's responses: objects, pages of lists, and events of watches.

Any writer may leave a record that can't be read, so each one counts by itself if a
response can't be decoded as a whole. An object whose content can't be read is returned
without content, since its name still says which object it replaces. One whose name
can't be read denotes nothing and is left out. Content that is returned can be encoded
again, whatever the caller's stack.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec
import structlog

from monsoontack.core.rawjson import (
    decode_encodable,
    decode_text,
    split_array,
    split_object,
)
from monsoontack.store.eras import ERA_FACTOR

log = structlog.get_logger("platform.responses")

# Objects whose unreadable state was logged; beyond this number, some are logged again.
MAX_REPORTED = 1000
MAX_DETAIL_CHARACTERS = 200
# Characters of a name in the target of a request, which servers limit to some KB.
MAX_SENT_CHARACTERS = 500
LAST_CHARACTER = "\U0010ffff"
# The first character after the surrogates.
AFTER_SURROGATES = "\ue000"


class ResponseError(ValueError):
    """A response of the store is malformed as a whole."""


Revision = Annotated[int, msgspec.Meta(gt=0, lt=ERA_FACTOR)]
StoreRevision = Annotated[int, msgspec.Meta(ge=0, lt=ERA_FACTOR)]


class Metadata(msgspec.Struct):
    """Name of an object and the store's number of its last change.

    The number is 0 if it can't be read.
    """

    name: str
    revision: Revision


class Object(msgspec.Struct):
    """An object of the store."""

    metadata: Metadata
    spec: Any = None
    status: Any = None


class Page(msgspec.Struct):
    """A page of a list; `more_pages` is set if names after the last one exist.

    The next page begins after `last_name`, which is empty if no name can be read.
    """

    entries: list[Object]
    store_revision: StoreRevision
    more_pages: bool = False
    last_name: str = ""


class Event(msgspec.Struct):
    """A change of an object, or its removal."""

    object: Object
    removed: bool = False


class Events(msgspec.Struct):
    """Changes up to `store_revision`."""

    events: list[Event]
    store_revision: StoreRevision


@dataclass(slots=True, repr=False)
class UnreadableRecords:
    """Logs each unreadable state of an object once.

    `reported` holds the kind, name and revision of those that were logged.
    """

    reported: set[tuple[str, str, int]] = field(default_factory=set)

    def report(self, kind: str, name: str | None, revision: int, reason: str) -> None:
        """Log that an object can't be read, unless this state of it was logged."""
        shown = ascii(name)[:MAX_DETAIL_CHARACTERS]
        state = (kind, shown, revision)
        if state in self.reported:
            return
        if len(self.reported) >= MAX_REPORTED:
            self.reported.clear()
        self.reported.add(state)
        log.warning(
            "record in the store cannot be read; not used",
            kind=kind,
            name=shown,
            revision=revision,
            reason=reason[:MAX_DETAIL_CHARACTERS],
        )


def decode_object(kind: str, body: bytes, unreadable: UnreadableRecords) -> Object:
    """Decode a response that is one object; raise ResponseError without a name."""
    found = _decode_object(kind, body, unreadable)
    if found is None or not found.metadata.revision:
        raise ResponseError("no object with a name and a revision")
    return found


def decode_page(kind: str, body: bytes, unreadable: UnreadableRecords) -> Page:
    """Decode a page of a list; raise ResponseError if it is no page."""
    page = _decode_or_none(body, Page)
    if page is not None:
        names = (entry.metadata.name for entry in reversed(page.entries))
        page.last_name = _next_start(names)
        return page
    members, texts = _split_list(body, "entries")
    entries = [_decode_object(kind, text, unreadable) for text in texts]
    return Page(
        [entry for entry in entries if entry is not None],
        _decode_member(members, "store_revision", StoreRevision),
        _decode_member(members, "more_pages", bool, default=False),
        _next_start(_read_metadata(text)[0] for text in reversed(texts)),
    )


def decode_events(kind: str, body: bytes, unreadable: UnreadableRecords) -> Events:
    """Decode the events of a watch; raise ResponseError if they are none.

    Each event has a revision up to `store_revision`: a higher one would hide the
    events that follow from those who read from its revision on.
    """
    events = _decode_or_none(body, Events)
    if events is None:
        members, texts = _split_list(body, "events")
        found = [_decode_event(kind, text, unreadable) for text in texts]
        events = Events(
            [event for event in found if event is not None],
            _decode_member(members, "store_revision", StoreRevision),
        )
    for event in events.events:
        metadata = event.object.metadata
        if not 0 < metadata.revision <= events.store_revision:
            metadata.revision = events.store_revision
    return events


def _decode_or_none(text: bytes, model: type) -> Any:
    """Return the decoded text, None if a part of it can't be decoded or passed on."""
    try:
        return decode_encodable(text, model)
    except ValueError:
        return None


def _split_list(body: bytes, name: str) -> tuple[dict[str, bytes], list[bytes]]:
    """Return the texts of a response's members, and those of the elements of one."""
    try:
        members = split_object(body)
        return members, split_array(members.get(name, b""))
    except ValueError as error:
        raise ResponseError(f"{name}: {error}") from error


def _decode_member(members: dict[str, bytes], name: str, model: type, default=None):
    text = members.get(name)
    if text is None and default is not None:
        return default
    try:
        return msgspec.json.decode(text or b"", type=model)
    except msgspec.DecodeError as error:
        raise ResponseError(f"{name}: {error}") from error


def _decode_object(
    kind: str, text: bytes, unreadable: UnreadableRecords
) -> Object | None:
    """Return an object, without content if that can't be read, None without a name."""
    try:
        return decode_encodable(text, Object)
    except ValueError as error:
        name, revision = _read_metadata(text)
        unreadable.report(kind, name, revision, str(error))
    if name is None or not _is_encodable(name):
        return None
    return Object(Metadata(name, revision))


def _decode_event(
    kind: str, text: bytes, unreadable: UnreadableRecords
) -> Event | None:
    """Return an event, None if it can't be told which object it concerns.

    An event that doesn't clearly say that its object was removed is a change.
    """
    event = _decode_or_none(text, Event)
    if event is not None:
        return event
    try:
        members = split_object(text)
    except ValueError as error:
        unreadable.report(kind, None, 0, str(error))
        return None
    found = _decode_object(kind, members.get("object", b""), unreadable)
    if found is None:
        return None
    if members.get("removed", b"false") not in (b"true", b"false"):
        unreadable.report(kind, found.metadata.name, 0, "no valid `removed`")
        return Event(Object(found.metadata))
    return Event(found, members.get("removed") == b"true")


def _read_metadata(text: bytes) -> tuple[str | None, int]:
    """Return an object's name and revision, None and 0 for what can't be read."""
    try:
        members = split_object(split_object(text).get("metadata", b""))
    except ValueError:
        return None, 0
    name = decode_text(members.get("name", b""))
    try:
        revision = msgspec.json.decode(members.get("revision", b""), type=Revision)
    except msgspec.DecodeError:
        revision = 0
    return name, revision


def _next_start(names: Iterable[str | None]) -> str:
    """Return where the next page begins, given the names of a page from the last on.

    It is the last name, or the next text that can be sent in the target of a request.
    """
    name = next((name for name in names if name), "")
    if len(name) > MAX_SENT_CHARACTERS:
        name = name[:MAX_SENT_CHARACTERS] + LAST_CHARACTER
    if _is_encodable(name):
        return name
    end = next(i for i, c in enumerate(name) if "\ud800" <= c <= "\udfff")
    return name[:end] + AFTER_SURROGATES


def _is_encodable(name: str) -> bool:
    try:
        name.encode()
    except UnicodeEncodeError:
        return False
    return True
