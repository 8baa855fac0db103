"""Randomized tests of concurrent publishers and operators on a failing store."""

import asyncio
import os
import random
import unittest
from unittest import mock

from returns.result import Success

from monsoontack.config import revision, sweep
from monsoontack.config.check_test import VALID_OBJECTS, account, version
from monsoontack.config.operator import submit
from monsoontack.config.proposal import proposal_key
from monsoontack.config.revision import (
    chunk_key,
    seed_store,
)
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.store.api import Unavailable
from monsoontack.store.faulty import FaultRates
from standins.publishersimulation import PublisherSimulation, delete, proposal, put

SEEDS = int(os.environ.get("PUBLISH_SEEDS", "300"))
FAULT_RATES = FaultRates(0.05, 0.08, 0.05, 0.08, delay_s=6.0, latency_s=0.4)


class Operator:
    """Submits edits of a few contended objects, based on versions that it has read."""

    def __init__(self, world, name, rng):
        self.world, self.name, self.rng = world, name, rng
        self.submitted, self.refused = {}, []

    async def run(self, count):
        for number in range(count):
            await asyncio.sleep(self.rng.uniform(0.0, 6.0))
            published = self.world.memory.documents[self.world.head().revision]
            uid = f"{int(self.world.clock.now() * 1000):08}-{self.name}-{number}"
            document = proposal(uid, *self._changes(published), author=self.name)
            result = await submit(
                self.world.stores[0], document, self.world.clock, 60.0
            )
            if isinstance(result, Success):
                self.submitted[uid] = document
            elif isinstance(result.failure(), Unavailable):
                self.refused.append(uid)

    def _changes(self, published):
        name = self.rng.choice(["a", "b", "c"])
        current = published.get(("ClientAccount", name))
        base = current["version"] if current else 0
        if current and self.rng.random() < 0.3:
            return [delete("ClientAccount", name, base)]
        changes = [put(account(name, self.rng.choice("0123456789abcdef")), base)]
        if self.rng.random() < 0.3:
            number = self.rng.randrange(3, 6)
            base = published.get(("Version", f"desk.v{number}"), {"version": 0})
            changes.append(put(version(f"v{number}"), base["version"]))
        return changes


class PublisherChaosTest(unittest.TestCase):
    def check(self, world, submitted, seed):
        note = f"seed {seed}"
        heads = world.memory.heads
        for old, new in zip(heads, heads[1:], strict=False):
            self.assertIn(new.revision - old.revision, (0, 1), note)
            self.assertGreaterEqual(new.lease_epoch, old.lease_epoch, note)
            if new.revision == old.revision:
                self.assertEqual(old.chunks, new.chunks, note)
        for digest in world.head().chunks.values():
            self.assertIn(chunk_key(digest), world.memory.objects, note)
        revisions = {head.proposal: head.revision for head in heads if head.proposal}
        self.assertEqual(
            len(revisions), len({(h.revision, h.proposal) for h in heads if h.proposal})
        )
        for uid, document in submitted.items():
            status = world.status(uid)
            if status["phase"] == "Refused":
                self.assertNotIn(uid, revisions, note)
                self.check_refusal(world, document, status, note)
            elif uid in revisions:
                self.assertEqual(revisions[uid], status["revision"], note)
                self.check_bases(world, document, status["revision"] - 1, note)
        return len(revisions)

    def check_bases(self, world, document, revision, note):
        """Check that every change was based on the version that it replaced."""
        for change in document["changes"]:
            item = change.get("object", change)
            found = world.memory.documents[revision].get((item["kind"], item["name"]))
            self.assertEqual(
                change["base_version"], found["version"] if found else 0, note
            )

    def check_refusal(self, world, document, status, note):
        self.assertTrue(status["errors"] or status["conflicts"], note)
        for conflict in status["conflicts"]:
            key = (conflict["kind"], conflict["name"])
            found = world.memory.documents[status["revision"]].get(key)
            version = found["version"] if found else 0
            self.assertNotEqual(conflict["base_version"], version, note)

    async def scenario(self, seed):
        world = PublisherSimulation(seed, FAULT_RATES, count=3)
        await seed_store(world.memory, VALID_OBJECTS)
        rng = random.Random(seed)
        operators = [Operator(world, f"o{i}", rng) for i in range(3)]
        tasks = [asyncio.ensure_future(o.run(6)) for o in operators]
        world.acquire(0)
        while not all(task.done() for task in tasks):
            await asyncio.sleep(rng.uniform(1.0, 8.0))
            world.acquire(rng.randrange(3))
            store = rng.choice(world.stores)
            store.outage = rng.random() < 0.2
            store.rates = FaultRates(0.05, 0.08, 0.05, 0.08, 6.0, rng.choice([0.2, 3]))
        for store in world.stores:
            store.outage, store.rates = False, FaultRates()
        await asyncio.sleep(10)
        world.acquire(2)
        await asyncio.sleep(30)
        for uid in (uid for operator in operators for uid in operator.refused):
            self.assertNotIn(proposal_key(uid), world.memory.objects, f"seed {seed}")
        submitted = {k: v for o in operators for k, v in o.submitted.items()}
        return self.check(world, submitted, seed)

    def test_racing_publishers_and_operators(self):
        """Guards against a lost, repeated or reverted change, a change based on an
        outdated version, and a head that refers to a removed chunk."""
        with (
            mock.patch.object(sweep, "INTERVAL_S", 0.5),
            mock.patch.object(sweep, "GRACE_S", 1.0),
            mock.patch.object(sweep, "PREFIXES", ("",)),
            # A single chunk with all accounts often returns to an earlier value.
            mock.patch.object(revision, "ACCOUNT_CHUNKS", 1),
        ):
            published = [
                run_in_virtual_time(self.scenario(seed)) for seed in range(SEEDS)
            ]
        self.assertGreater(sum(published), 5 * SEEDS)


if __name__ == "__main__":
    unittest.main()
