"""Hypothesis strategies that mutate messages: raw bytes and values of JSON documents.

Tests of the external interfaces use them with a fixed seed. The environment variable
`MUTATIONS` sets the number of inputs of each test, for long manual runs.
"""

import copy
import os

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

DEFAULT_INPUTS = 300
# Runs are deterministic. There is no deadline, because an input takes longer on a busy
# machine.
DETERMINISTIC_SETTINGS = settings(
    max_examples=int(os.environ.get("MUTATIONS", DEFAULT_INPUTS)),
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
JSON_LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.text(max_size=8),
)
JSON_VALUES = st.recursive(
    JSON_LEAVES,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=4), inner)
    ),
    max_leaves=6,
)
PARTS = st.one_of(
    st.binary(max_size=6), st.sampled_from((b"\r\n", b"\x00", b":", b"-1"))
)
EDITS = st.lists(
    st.tuples(
        st.sampled_from(("replace", "insert", "delete", "repeat")),
        st.integers(0, 2**16),
        st.one_of(
            st.binary(max_size=6), st.sampled_from((b"\r\n", b"\x00", b":", b"-1"))
        ),
    ),
    max_size=6,
)


def mutate(base: bytes, edits: list[tuple[str, int, bytes]]) -> bytes:
    """Return `base` after the edits, whose offsets wrap around at its length."""
    data = bytearray(base)
    for operation, offset, part in edits:
        at = offset % (len(data) + 1)
        if operation == "replace":
            data[at : at + len(part)] = part
        elif operation == "insert":
            data[at:at] = part
        elif operation == "delete":
            del data[at : at + 1 + len(part)]
        else:
            data[at:at] = data[at : at + 40]
    return bytes(data)


def mutated_bytes(*bases: bytes) -> st.SearchStrategy[bytes]:
    """Return a strategy for messages that differ from one of `bases` by a few edits."""
    return st.builds(mutate, st.sampled_from(bases), EDITS)


def _value_paths(value, path=()) -> list[tuple]:
    found = [path]
    items = []
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        found += _value_paths(inner, (*path, key))
    return found


def _replace_value(base, path: tuple, new):
    if not path:
        return new
    found = copy.deepcopy(base)
    inner = found
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = new
    return found


def mutated_json(base) -> st.SearchStrategy:
    """Return a strategy for copies of `base` with one value replaced."""
    paths = st.sampled_from(_value_paths(base))
    return st.builds(
        lambda path, new: _replace_value(base, path, new), paths, JSON_VALUES
    )
