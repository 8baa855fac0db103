"""Tests of the JSON form of load messages."""

import unittest

import msgspec

from monsoontack.loadview.messages import (
    EngineUsage,
    LoadMessage,
    decode_message,
    encode_message,
)

FULL = LoadMessage(
    peer="a",
    is_first=True,
    is_full=True,
    usage={"e1@0": EngineUsage(1, 8000, 9000)},
    prompts={"part-1": "e1@0"},
    failed=("e2@0",),
    stale=("e3@0",),
    alive=("e4@0",),
    waiting={"chat": {0: (2, 16_000)}},
)


class FormerMessage(msgspec.Struct):
    """A load message as the version before `stale`, `alive` and `waiting` reads it."""

    name: str
    full: bool
    engines: dict[str, tuple[int, int, int]]
    first: bool = False
    prompts: dict[str, str] = {}
    failed: list[str] = []


class MessagesTest(unittest.TestCase):
    def test_message_survives_encoding(self):
        """Guards against a field that peers never see."""
        self.assertEqual(FULL, decode_message(encode_message(FULL)))

    def test_former_version_reads_a_message(self):
        """Guards against entries that drop all reports during a rolling update."""
        found = msgspec.json.decode(encode_message(FULL), type=FormerMessage)
        self.assertEqual(
            ("a", True, {"e1@0": (1, 8000, 9000)}, True, {"part-1": "e1@0"}, ["e2@0"]),
            msgspec.structs.astuple(found),
        )

    def test_message_of_a_former_version_is_read(self):
        """Guards against entries that drop all reports during a rolling update."""
        former = FormerMessage("a", False, {"e1@0": (1, 2, 3)}, failed=["e2@0"])
        found = decode_message(msgspec.json.encode(former))
        self.assertEqual({"e1@0": EngineUsage(1, 2, 3)}, found.usage)
        self.assertEqual(((), (), None), (found.stale, found.alive, found.waiting))

    def test_large_queues_are_reported_within_the_bounds(self):
        """Guards against a configuration whose many priorities make the peers reject
        every message."""
        waiting = {f"s{n}": {p: (1, 1) for p in range(50)} for n in range(100)}
        message = LoadMessage("a", False, False, {}, {}, (), waiting=waiting)
        found = decode_message(encode_message(message)).waiting
        self.assertEqual((64, list(range(16))), (len(found), list(found["s0"])))


if __name__ == "__main__":
    unittest.main()
