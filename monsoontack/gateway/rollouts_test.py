"""Tests of evidence about a new version, as entries write it to the store."""

import unittest
from dataclasses import asdict

from monsoontack.gateway.rollouts import decode_evidence
from monsoontack.rollout.evidence import BUCKETS, Counts, EvidenceKey
from monsoontack.rollout.order import Phase
from monsoontack.store.api import KindObject

GOOD = {
    "uid": "u",
    "phase": "canary",
    "old_open": 2,
    "new_open": 1,
    "counts": [["s", "v2", "r", asdict(Counts(3, 1))]],
}


def item(name, spec):
    return KindObject(name, 1, spec, None)


class EvidenceTest(unittest.TestCase):
    def test_evidence_of_the_order_is_read(self):
        """Guards against a judge without counts."""
        other = GOOD | {"uid": "another order"}
        found = decode_evidence((item("a", GOOD), item("b", other)), "u")
        self.assertEqual(["a"], list(found))
        self.assertEqual(Phase.CANARY, found["a"].phase)
        self.assertEqual(3, found["a"].counts[EvidenceKey("s", "v2", "r")].requests)

    def test_evidence_that_cannot_be_read_is_left_out(self):
        """Guards against one odd report that ends the judgement of all orders."""
        counts = asdict(Counts(3, 1))
        odd = [
            None,
            [],
            "text",
            {"uid": "u"},
            GOOD | {"phase": "unknown"},
            GOOD | {"old_open": None},
            GOOD | {"counts": 5},
            GOOD | {"counts": [["s", "v2", "r"]]},
            GOOD | {"counts": [["s", "v2", "r", {"requests": "3"}]]},
            GOOD | {"counts": [["s", "v2", "r", counts | {"requests": -1}]]},
            GOOD | {"counts": [["s", "v2", "r", counts | {"failures": 9}]]},
            GOOD | {"counts": [["s", "v2", "r", counts | {"first_token": [1]}]]},
            GOOD | {"counts": [["s", None, "r", counts]]},
        ]
        objects = [item(f"odd-{n}", spec) for n, spec in enumerate(odd)]
        found = decode_evidence((*objects, item("good", GOOD)), "u")
        self.assertEqual(["good"], list(found))
        self.assertEqual(BUCKETS, len(counts["first_token"]))


if __name__ == "__main__":
    unittest.main()
