"""Tests that the soak's checks find what they are meant to find."""

import unittest
from types import SimpleNamespace

from soak.callers import Seen
from soak.environment import Revocation
from soak.invariants import WHOLE_STREAM, check
from standins.directengine import SentInVain


def world(runs=(), revocations=(), own_ends=(), endless=(), memory=(), deaf=()):
    engine = SimpleNamespace(
        name="e1", runs=[(r, {}, b"") for r in runs], endless=list(endless)
    )
    return SimpleNamespace(
        engines=[engine],
        revocations=list(revocations),
        own_ends=list(own_ends),
        memory_mb=lambda: list(memory),
        deaf=list(deaf),
    )


def in_vain(sent=50_000_000):
    return SentInVain(sent, 10.0, 11.0)


def seen(kind="once", status=200, whole=True, body=None, sent_at=10.0, key="key-1"):
    request = f"{kind}-1"
    if body is None:
        body = WHOLE_STREAM if kind == "stream" else f"done for {request}".encode()
    return Seen(request, kind, key, sent_at, status, whole, body)


class PromisesTest(unittest.TestCase):
    def test_what_keeps_the_promises(self):
        """Guards against false alarms."""
        self.assertEqual([], check(world(["once-1"]), [seen()]))
        self.assertEqual([], check(world(["look-1"] * 2), [seen("look")]))
        cut = seen("stream", whole=False, body=WHOLE_STREAM[:70])
        self.assertEqual([], check(world(["stream-1"]), [cut]))
        self.assertEqual([], check(world(), [seen(status=503)]))
        cut_off = world(endless=[in_vain()], deaf=[(10.5, 12.0)])
        self.assertEqual([], check(cut_off, [seen(status=503)]))

    def test_what_breaks_them(self):
        """Guards against a soak that cannot fail."""
        revoked = [Revocation("key-1", 4.0)]
        cases = {
            "bytes without end": (world(endless=[in_vain()]), seen(status=503)),
            "memory": (world(memory=[("gateway-0", 341)]), seen(status=503)),
            "run twice": (world(["once-1"] * 2), seen()),
            "false refusal": (world(["once-1"]), seen(status=503)),
            "answer of another": (world(["once-1"]), seen(body=b"done for once-2")),
            "short stream": (
                world(["stream-1"]),
                seen("stream", body=WHOLE_STREAM[:9]),
            ),
            "gap": (
                world(["stream-1"]),
                seen("stream", whole=False, body=WHOLE_STREAM[20:]),
            ),
            "unasked": (world(["once-1", "once-7"]), seen()),
            "revoked key": (world(["once-1"], revoked), seen()),
            "own end": (world(["once-1"], own_ends=["gateway ended"]), seen()),
        }
        for name, (found, item) in cases.items():
            with self.subTest(name):
                self.assertEqual(1, len(check(found, [item])))

    def test_key_that_came_back_is_no_longer_revoked(self):
        """Guards against alarms about keys that were given back."""
        back = [Revocation("key-1", 1.0, until=9.0)]
        self.assertEqual([], check(world(["once-1"], back), [seen()]))


if __name__ == "__main__":
    unittest.main()
