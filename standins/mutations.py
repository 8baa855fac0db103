"""Mutated messages for tests of borders: bytes, and values of JSON documents.

The strategies are hypothesis's; tests fix its seed. `MUTATIONS` in the environment
sets how many inputs each test tries, for long runs by hand.
"""

import copy
import os

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st

DEFAULT_INPUTS = 300
# Whole runs are repeatable; a mutated message may take its time beside other work.
DETERMINISTIC_SETTINGS = settings(
    max_examples=int(os.environ.get("MUTATIONS", DEFAULT_INPUTS)),
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.text(max_size=8),
)
JSON_VALUES = st.recursive(
    LEAVES,
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
    """Return `base` with edits at places that wrap round its length."""
    data = bytearray(base)
    for how, place, part in edits:
        at = place % (len(data) + 1)
        if how == "replace":
            data[at : at + len(part)] = part
        elif how == "insert":
            data[at:at] = part
        elif how == "delete":
            del data[at : at + 1 + len(part)]
        else:
            data[at:at] = data[at : at + 40]
    return bytes(data)


def mutated_bytes(*bases: bytes) -> st.SearchStrategy[bytes]:
    """Return messages that differ from one of `bases` by a few edits."""
    return st.builds(mutate, st.sampled_from(bases), EDITS)


def _places(value, path=()) -> list[tuple]:
    found = [path]
    items = []
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        found += _places(inner, (*path, key))
    return found


def _replaced(base, path: tuple, new):
    if not path:
        return new
    found = copy.deepcopy(base)
    inner = found
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = new
    return found


def mutated_json(base) -> st.SearchStrategy:
    """Return documents in which one value of `base` is another."""
    places = st.sampled_from(_places(base))
    return st.builds(lambda path, new: _replaced(base, path, new), places, JSON_VALUES)
