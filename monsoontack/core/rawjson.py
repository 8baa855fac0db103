"""Splits JSON text into its parts without decoding them.

A decoder rejects a whole document for one value: a number out of range, an escape of
half a character, or nesting deeper than its stack. Splitting needs only the brackets
and the texts to be complete, and no recursion.
"""

import json
import re
from collections.abc import Iterator
from typing import Any

import msgspec

# Nesting of documents that are passed on. Encoders and decoders in C share the
# interpreter's recursion limit with the calls that are in progress, so the nesting that
# they support depends on the caller.
MAX_NESTING = 64
_BRACKETS = bytes.maketrans(b"{}", b"[]")
_OTHER_BYTES = bytes(b for b in range(256) if b not in b"[]{}")
# Levels of brackets that one match of the regular expression takes: those of an object
# of the platform's store with a record of a server.
_LEVELS_PER_MATCH = 4


def _container_pattern(levels: int) -> bytes:
    """Return a pattern for arrays and objects of at most this many levels."""
    inner = b"|" + _container_pattern(levels - 1) if levels > 1 else b""
    return rb'[\[{](?:[^"\[\]{}]++|' + _STRING.pattern + inner + rb")*+[\]}]"


_STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"', re.DOTALL)
# A text whose strings hold neither brackets nor escapes.
_PLAIN_STRINGS = re.compile(rb'[^"]*+(?:"[^"\\\[\]{}]*+"[^"]*+)*+')


def _token_pattern(excluded: bytes, tokens: bytes) -> re.Pattern:
    """Return a pattern for strings, containers and other bytes up to a bracket."""
    container = _container_pattern(_LEVELS_PER_MATCH)
    skipped = rb'(?:[^"\[\]{}' + excluded + rb"]++|" + _STRING.pattern + rb"|"
    openings = rb'(?:[\[{](?:[^"\[\]{}]++|' + _STRING.pattern + rb")*+)++"
    groups = rb")*+(?:(" + openings + rb")|([\]}]++)" + tokens + rb")"
    return re.compile(skipped + container + groups, re.DOTALL)


# The groups are opening brackets with what follows them, closing brackets, and, at the
# outermost level, a separator.
_OUTER_TOKEN = _token_pattern(b",:", rb"|([,:])")
_INNER_TOKEN = _token_pattern(b"", b"")
_SPACE = b" \t\r\n"


def is_nested_deeply(text: bytes, levels: int = MAX_NESTING) -> bool:
    """Whether a valid JSON text is nested more than `levels` deep."""
    return _may_nest_deeply(text, levels) and _may_nest_deeply(
        _without_brackets_in_strings(text), levels
    )


def _may_nest_deeply(text: bytes, levels: int) -> bool:
    """Whether the brackets in a text, those in its strings too, nest too deeply."""
    brackets = text.translate(_BRACKETS, _OTHER_BYTES)
    too_deep = b"[" * (levels + 1)
    for _ in range(levels):
        if not brackets or too_deep in brackets:
            break
        brackets = brackets.replace(b"[]", b"")
    return bool(brackets)


def _without_brackets_in_strings(text: bytes) -> bytes:
    """Return the text, without its strings if one of them may contain a bracket."""
    if _PLAIN_STRINGS.fullmatch(text):
        return text
    return _STRING.sub(b"", text)


def decode_encodable(text: bytes, model: Any, levels: int = MAX_NESTING) -> Any:
    """Decode a document that can be encoded again; raise ValueError if it can't be.

    It is nested at most `levels` deep, so that it can also be compared, copied or
    printed, whatever the caller's stack.
    """
    if is_nested_deeply(text, levels):
        raise ValueError(f"nested more than {levels} levels deep")
    try:
        found = msgspec.json.decode(text, type=model)
        # Decoding accepts integers of more than 64 bits, which encoding rejects.
        msgspec.json.encode(found)
    except (msgspec.MsgspecError, OverflowError, RecursionError) as error:
        raise ValueError(str(error)) from error
    return found


def load_document(text: bytes) -> Any:
    """Return a document of any content; raise ValueError if it is none.

    Unlike `decode_encodable` it accepts all that `json.dumps` writes, for example
    strings with lone surrogates, which stand for bytes of a caller.
    """
    if is_nested_deeply(text):
        raise ValueError(f"nested more than {MAX_NESTING} levels deep")
    return json.loads(text)


def load_rows(body: bytes, name: str) -> tuple[list[Any], list[str]]:
    """Return the elements of the array `name` in a document, and the faults in it.

    An element that can't be read is left out. Raises ValueError without an array.
    """
    try:
        rows = load_document(body)[name]
        if isinstance(rows, list):
            return rows, []
    except (ValueError, KeyError, TypeError):
        # One element may make the whole document unreadable.
        pass
    rows, faults = [], []
    for number, text in enumerate(split_array(split_object(body).get(name, b""))):
        try:
            rows.append(load_document(text))
        except ValueError as error:
            faults.append(f"element {number}: {error}")
    return rows, faults


def split_array(text: bytes) -> list[bytes]:
    """Return the texts of an array's elements; raise ValueError if it has no end."""
    return [part for _, part in _split(text, b"[", b",")]


def split_object(text: bytes) -> dict[str, bytes]:
    """Return the texts of an object's values by key; raise ValueError if it has no end.

    A member whose key can't be decoded is left out.
    """
    members: dict[str, bytes] = {}
    key = None
    for separator, part in _split(text, b"{", b",:"):
        if separator == b":":
            key = decode_text(part)
        elif key is not None:
            members[key] = part
            key = None
    return members


def decode_text(text: bytes) -> str | None:
    """Return a decoded string, None if the text is none.

    The string may contain lone surrogates, which can't be encoded again as UTF-8.
    """
    try:
        return msgspec.json.decode(text, type=str)
    except msgspec.DecodeError:
        pass
    try:
        found = json.loads(text)
    except (ValueError, RecursionError):
        return None
    return found if isinstance(found, str) else None


def _split(
    text: bytes, opening: bytes, separators: bytes
) -> Iterator[tuple[bytes, bytes]]:
    """Yield each part of an array or object, with the separator or bracket after it."""
    text = text.strip(_SPACE)
    if text[:1] != opening:
        raise ValueError(f"no {opening.decode()} at the start")
    depth, start, position = 1, 1, 1
    while True:
        match = (_OUTER_TOKEN if depth == 1 else _INNER_TOKEN).match(text, position)
        if match is None:
            raise ValueError("a string or bracket has no end")
        position = match.end()
        openings, closings = match.group(1, 2)
        if openings is not None:
            brackets = _without_brackets_in_strings(openings)
            depth += len(brackets.translate(None, _OTHER_BYTES))
        elif closings is None:
            if match.group(3) in separators:
                yield match.group(3), text[start : match.start(3)].strip(_SPACE)
                start = position
        elif len(closings) < depth:
            depth -= len(closings)
        else:
            part = text[start : match.start(2) + depth - 1].strip(_SPACE)
            if part:
                yield closings[:1], part
            return
