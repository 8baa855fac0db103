"""Tests of writing, reading and removing rollout evidence."""

import asyncio
import json
import unittest
from dataclasses import asdict, replace
from types import SimpleNamespace

from returns.result import Failure, Success

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.rollouts import (
    MAX_REMOVALS_PER_EVALUATION,
    RolloutManager,
    StoredOrder,
    decode_evidence,
)
from monsoontack.rollout.evidence import BUCKET_COUNT, Counts, EvidenceKey
from monsoontack.rollout.order import Phase, RolloutOrder
from monsoontack.store.api import KindList, KindObject, NotFound, StoredObject
from standins.gatewayfakes import HOME, SERVICE, make_fleet, make_server
from standins.oddentries import ODD_VALUES

READABLE_VALUES = [
    raw
    for name, raw in ODD_VALUES.items()
    if name
    in ("integer of 31 digits", "negative number", "fraction", "nothing", "truth")
] + [b"[]", b"{}", b'[{"a":1}]', b'"text"']

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
        """Guards against an evaluation without the counts of the order."""
        other = GOOD | {"uid": "another order"}
        found = decode_evidence((item("a", GOOD), item("b", other)), "u")
        self.assertEqual(["a"], list(found))
        self.assertEqual(Phase.CANARY, found["a"].phase)
        self.assertEqual(3, found["a"].counts[EvidenceKey("s", "v2", "r")].requests)

    def test_malformed_evidence_is_skipped(self):
        """Guards against a malformed report that stops the evaluation of all orders."""
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
        self.assertEqual(BUCKET_COUNT, len(counts["first_token"]))

    def test_odd_evidence_does_not_stop_the_evaluation(self):
        """Guards against one object of another writer that keeps all rollouts from
        being decided.
        """
        odd = [json.loads(raw) for raw in READABLE_VALUES]
        odd += [GOOD | {"uid": value} for value in odd]

        async def scenario():
            rollouts = make_manager()
            running = rollouts.running_rollouts()
            uid = running[0].order.uid
            good = item("good", GOOD | {"uid": uid})
            same = [GOOD | {"uid": uid, "old_open": value} for value in odd[:40]]
            objects = [item(f"odd-{n}", spec) for n, spec in enumerate(odd + same)]
            store = EvidenceStore([good, *objects])
            await rollouts._evaluate(store, store, running)
            return running[0].evaluation.evidence

        self.assertIn("good", run_in_virtual_time(scenario()))


class EvidenceStore:
    """Store of evidence objects by key that gives each write a new version."""

    def __init__(self, objects=()):
        self.objects = {f"evidence/{o.name}": o for o in objects}
        self.version = 10
        self.deleted = []

    async def create(self, key, value):
        return self._put(key, value)

    async def update(self, key, value, version):
        return self._put(key, value)

    def _put(self, key, value):
        self.version += 1
        name = key.partition("/")[2]
        self.objects[key] = KindObject(name, self.version, json.loads(value), None)
        return Success(StoredObject(key, value, self.version))

    async def delete(self, key, version):
        self.deleted.append(key)
        if self.objects.pop(key).revision != version:
            raise AssertionError("deleted under another revision")
        return Success(None)

    async def list_kind(self, kind):
        return Success(KindList(tuple(self.objects.values()), self.version))


def order(phase):
    found = RolloutOrder(SERVICE, "v2", 5.0, phase)
    return StoredOrder(f"rollouts/{SERVICE}", 1, found)


def make_manager(phase=Phase.CANARY):
    rollouts = RolloutManager(
        "e1", "life", 0.1, 50, lambda item: order(item.spec), None
    )
    rollouts.changed(KindObject(SERVICE, 1, phase, None))
    return rollouts


class RolloutManagerTest(unittest.TestCase):
    def eligible(self, phase, can_take, is_failing=False):
        """Return the names of the servers that may get a request; `new` has `v2`."""

        async def scenario():
            fleet = make_fleet({"old": HOME})
            fleet.put(replace(make_server("new"), versions=("v2",)), False)
            rollouts = make_manager(phase)
            gate = SimpleNamespace(may_expose=lambda: True, is_failing=is_failing)
            rollouts.by_service[SERVICE].gate = gate
            found = rollouts.eligible_servers(
                SERVICE,
                fleet.of_service(SERVICE),
                lambda member: member.server.incarnation in can_take,
            )
            return [member.server.incarnation for member in found]

        return run_in_virtual_time(scenario())

    def test_old_version_serves_while_the_new_one_asks_for_time(self):
        """Guards against requests that are refused since the version on trial takes
        none, and against a version on trial that gets what the old one may not."""
        both, old = ("old", "new"), ("old",)
        self.assertEqual(["new"], self.eligible(Phase.CANARY, both))
        self.assertEqual(["old"], self.eligible(Phase.CANARY, old))
        self.assertEqual(["old"], self.eligible(Phase.MOVING, old))
        self.assertEqual(["new"], self.eligible(Phase.MOVING, ("new",)))
        self.assertEqual(["old"], self.eligible(Phase.MOVING, ("new",), True))

    def test_requests_from_before_the_order_count_as_open(self):
        """Guards against old engines that are stopped while they still run streams that
        began before the entry saw the order."""

        async def scenario():
            fleet = make_fleet({"s1": HOME})
            fleet.members["s1"].in_flight = 2
            rollouts, store = make_manager(), EvidenceStore()
            rollouts.members = fleet.of_service
            await rollouts._write_evidence(store, rollouts.by_service[SERVICE])
            return next(iter(store.objects.values())).spec

        self.assertEqual(2, run_in_virtual_time(scenario())["old_open"])

    def test_evidence_that_a_restored_store_lost_is_written_again(self):
        """Guards against a bad version that nobody judges after a restoration."""

        class LossyStore(EvidenceStore):
            async def update(self, key, value, version):
                if key not in self.objects:
                    return Failure(NotFound(key))
                return self._put(key, value)

        async def scenario():
            rollouts, store = make_manager(), LossyStore()
            rollout = rollouts.by_service[SERVICE]
            await rollouts._write_evidence(store, rollout)
            store.objects.clear()
            rollout.reported_text = ""
            await rollouts._write_evidence(store, rollout)
            await rollouts._write_evidence(store, rollout)
            return len(store.objects)

        self.assertEqual(1, run_in_virtual_time(scenario()))

    def test_evidence_is_removed_once_the_order_has_ended(self):
        """Guards against objects that accumulate with each rollout until listing the
        evidence takes longer than a fault may last."""

        async def scenario():
            rollouts, store = make_manager(), EvidenceStore()
            task = asyncio.ensure_future(rollouts.report_evidence(store))
            await asyncio.sleep(2.0)
            kept = len(store.objects)
            ended = replace(rollouts.by_service[SERVICE].order, phase=Phase.COMPLETE)
            rollout = rollouts.by_service[SERVICE]
            rollout.stored = replace(rollout.stored, order=ended)
            await asyncio.sleep(2.0)
            task.cancel()
            return kept, store

        kept, store = run_in_virtual_time(scenario())
        self.assertEqual(1, kept)
        self.assertEqual({}, store.objects)
        self.assertEqual(1, len(store.deleted))

    def test_former_evidence_is_removed_a_few_objects_at_a_time(self):
        """Guards against evidence of dead entries that is never removed, and against
        removing all of it in one evaluation, which needs a store call per object."""

        async def scenario():
            old = [item(f"old-{n}", GOOD) for n in range(10)]
            rollouts = make_manager()
            rollouts.entries = frozenset(("e1",))
            running = rollouts.running_rollouts()
            current = item("now", GOOD | {"uid": running[0].order.uid})
            store = EvidenceStore([*old, current])
            await rollouts._evaluate(store, store, running)
            first = len(store.deleted)
            for _ in range(5):
                await rollouts._evaluate(store, store, running)
            return first, store

        first, store = run_in_virtual_time(scenario())
        self.assertEqual(MAX_REMOVALS_PER_EVALUATION, first)
        self.assertEqual(["evidence/now"], list(store.objects))


if __name__ == "__main__":
    unittest.main()
