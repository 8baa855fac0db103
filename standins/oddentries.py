"""Values that another writer may leave among the records of engines, as raw JSON.

Each value is the text of one entry's `spec`. Most of them are no valid record of a
server, some can't be decoded at all, and a few are valid JSON that a decoder with
narrower bounds than the writer's rejects. `odd_names` are texts for `metadata.name`,
`odd_revisions` those for `metadata.revision`.
"""

import json
import random

# Nesting beyond what any decoder with recursion supports, and one that some support.
DEEP = 100_000
MODERATELY_DEEP = 700
# Python refuses to convert longer numbers of this many digits.
LONG_DIGITS = 5000

SERVER = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "seqno": 4,
    "born": 1_700_000_000_000,
}
LONE_SURROGATE = b'"\\ud800"'

# Values that can stand anywhere in an entry.
ODD_VALUES: dict[str, bytes] = {
    "float out of range": b"1e400",
    "negative float out of range": b"-1e400",
    "huge exponent": b"1e99999999999",
    "integer of 31 digits": b"1" + b"0" * 30,
    "negative integer of 31 digits": b"-1" + b"0" * 30,
    "integer beyond 64 bits": b"18446744073709551616",
    "integer of thousands of digits": b"9" * LONG_DIGITS,
    "float of thousands of digits": b"0." + b"1" * LONG_DIGITS,
    "not a number": b"NaN",
    "infinity": b"-Infinity",
    "lone high surrogate": LONE_SURROGATE,
    "lone low surrogate": b'"a\\udc00b"',
    "lone surrogate as a key": b'{"\\ud800": 1}',
    "deep arrays": b"[" * DEEP + b"]" * DEEP,
    "deep objects": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    "moderately deep arrays": b"[" * MODERATELY_DEEP + b"]" * MODERATELY_DEEP,
    "moderately deep objects": b'{"a":' * MODERATELY_DEEP
    + b"1"
    + b"}" * MODERATELY_DEEP,
    "bytes that are not UTF-8": b'"\xff\xfe"',
    "surrogate in UTF-8": b'"\xed\xa0\x80"',
    "control character": b'"\x01"',
    "unknown escape": b'"\\x41"',
    "leading zero": b"007",
    "long text": b'"' + b"x" * 100_000 + b'"',
    "brackets in a text": b'"}]},{[[\\"],"',
    "nothing": b"null",
    "truth": b"true",
    "negative number": b"-1",
    "fraction": b"0.5",
    "empty text": b'""',
    "line break in a text": b'"a\\r\\nx: y"',
    "zero byte in a text": b'"\\u0000"',
}
# Values of single fields that only an entry of a server has.
ODD_FIELDS: tuple[tuple[str, bytes], ...] = (
    ("address", b'"10.0.0.9:99999"'),
    ("address", b'"10.0.0.9:0"'),
    ("address", b'"10.0.0.9:-1"'),
    ("address", b'"10.0.0.9:' + b"9" * LONG_DIGITS + b'"'),
    ("address", '"10.0.0.9:٣٣"'.encode()),
    ("address", '"10.0.0.9:²"'.encode()),
    ("address", b'"10.0.0.9 :80"'),
    ("address", b'"10.0.0.9\\r\\nx:80"'),
    ("address", b'"10.0.0.\\ud800:80"'),
    ("address", b'":80"'),
    ("address", b"80"),
    ("slots", b"-1"),
    ("slots", b"4.5"),
    ("slots", b'"4"'),
    ("born", b"-1"),
    ("born", b"1.5"),
    ("born", b"9" * 30),
    ("cold_left_ms", b"1e300"),
    ("state", b'"sleeping"'),
    ("zone", b'"elsewhere"'),
    ("version", b"1"),
    ("service", b"null"),
)
ODD_NAMES: tuple[bytes, ...] = (
    LONE_SURROGATE,
    b'"a\\udc00b"',
    b'""',
    b'"a b\\r\\n"',
    '"é"'.encode(),
    b'"\\u0000"',
    b'"' + b"n" * 70_000 + b'"',
    b"1",
    b"null",
    b"[]",
)
ODD_REVISIONS: tuple[bytes, ...] = (
    b"-1",
    b"0",
    b"1.5",
    b"true",
    b'"7"',
    b"null",
    b"9223372036854775807",
    b"1" + b"0" * 30,
    b"9" * LONG_DIGITS,
    b"1e400",
)
# Fields and values after which a record names no engine to use for certain: a valid
# text may be a service's name, and an engine may be slow for any time.
VALID_TEXTS = (
    "long text",
    "brackets in a text",
    "empty text",
    "line break in a text",
    "zero byte in a text",
)
UNUSABLE_FIELDS = tuple(row for row in ODD_FIELDS if row[0] != "cold_left_ms")
UNUSABLE_VALUES = tuple(r for name, r in ODD_VALUES.items() if name not in VALID_TEXTS)


def server_with(field: str, raw_value: bytes) -> bytes:
    """Return a record of a server with one field replaced by raw JSON."""
    members = {key: json.dumps(value).encode() for key, value in SERVER.items()}
    members[field] = raw_value
    return object_of(members)


def object_of(members: dict[str, bytes]) -> bytes:
    """Return the text of an object whose members' values are raw JSON."""
    rows = (json.dumps(key).encode() + b":" + raw for key, raw in members.items())
    return b"{" + b",".join(rows) + b"}"


def odd_entries(rng: random.Random) -> bytes:
    """Return the raw JSON of one odd entry's value.

    No entry drawn here names an engine to use.
    """
    kind = rng.choice(("whole", "field", "field", "key"))
    if kind == "whole":
        return ODD_VALUES[rng.choice(sorted(ODD_VALUES))]
    if kind == "field" and rng.random() < 0.5:
        return server_with(*rng.choice(UNUSABLE_FIELDS))
    if kind == "key":
        raw = server_with("state", b'"sleeping"')
        return raw[:-1] + b',"\\udfff":' + rng.choice(list(ODD_VALUES.values())) + b"}"
    field = rng.choice(("service", "address", "zone", "version", "state", "slots"))
    return server_with(field, rng.choice(UNUSABLE_VALUES))
