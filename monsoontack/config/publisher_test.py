"""Tests of publishing: faults of the store, racing publishers and operators."""

import asyncio
import json
import os
import random
import unittest
from unittest import mock

from returns.result import Success

from monsoontack.config import revision, sweep
from monsoontack.config.check_test import GOOD, account, service, version
from monsoontack.config.operator import submit
from monsoontack.config.proposal import PROPOSAL_PREFIX, proposal_key
from monsoontack.config.publisher_state import Acquired
from monsoontack.config.revision import (
    CHUNK_PREFIX,
    HEAD_KEY,
    Head,
    chunk_key,
    chunk_name,
    decode_head,
    encode_head,
    seed_store,
)
from monsoontack.controller.publish import PublisherRunner
from monsoontack.core.clock import LoopClock
from monsoontack.core.pausedloop import run_paused
from monsoontack.store.api import Unavailable
from monsoontack.store.faulty import FaultRates, FaultyStore
from standins.recordingstore import GatedStore, RecordingStore

SEEDS = int(os.environ.get("PUBLISH_SEEDS", "300"))
CHAOS = FaultRates(0.05, 0.08, 0.05, 0.08, delay_s=6.0, latency_s=0.4)


def put(document, base=0):
    return {"op": "put", "base_version": base, "object": document}


def delete(kind, name, base):
    return {"op": "delete", "base_version": base, "kind": kind, "name": name}


def proposal(uid, *changes, author="bat", **fields):
    return {"uid": uid, "author": author, "changes": list(changes), **fields}


class Publishing:
    """A store and publishers that never learn by themselves of a lost lease."""

    def __init__(self, seed=1, rates=None, count=1):
        self.rng = random.Random(seed)
        self.memory = RecordingStore()
        self.clock = LoopClock()
        self.epoch = 0
        self.stores = [
            FaultyStore(self.memory, self.rng, rates or FaultRates())
            for _ in range(count)
        ]
        self.runners = [self._runner(store) for store in self.stores]

    def _runner(self, store):
        runner = PublisherRunner(
            store,
            self.clock,
            self.rng,
            lambda: runner.state.epoch,
            lambda head, chunks: None,
        )
        return runner

    def acquire(self, index=0):
        self.epoch += 1
        self.runners[index].apply(Acquired(self.epoch))

    async def submit(self, document):
        await submit(self.memory, document, self.clock, 1.0)

    def status(self, uid):
        value = self.memory.objects[proposal_key(uid)].value
        return json.loads(value).get("status", {})

    def head(self):
        return decode_head(self.memory.objects[HEAD_KEY].value)


async def started(**options):
    publishing = Publishing(**options)
    await seed_store(publishing.memory, GOOD)
    publishing.acquire()
    await asyncio.sleep(2)
    return publishing


def shard_of_two():
    """Return a chunk with account `a` and the name of another one for it.

    Adding and removing the other one leads back to the same chunk.
    """
    shard = chunk_name("ClientAccount", "a")
    names = (f"n{number}" for number in range(10_000))
    return shard, next(n for n in names if chunk_name("ClientAccount", n) == shard)


class PublisherTest(unittest.TestCase):
    def test_outcomes(self):
        """Guards against a lost change and against a refusal without reasons."""

        async def scenario():
            at = await started()
            await at.submit(proposal("1", put(account("c", "3"))))
            await asyncio.sleep(2)
            self.assertEqual({"phase": "Published", "revision": 2}, at.status("1"))
            bad = [
                put(service(shares={"v9": 100}), base=1),
                put(account("d", "3")),
                put(account("e", "5", weight=0)),
                put(account("a", "6")),
                delete("Version", "desk.v1", 1),
                delete("ClientAccount", "x", 4),
            ]
            await at.submit(proposal("2", *bad, author="ana"))
            await at.submit(proposal("3") | {"changes": "all"})
            await asyncio.sleep(2)
            status = at.status("2")
            self.assertEqual("Refused", status["phase"])
            self.assertEqual(
                {
                    ("changes[2]", "spec.weight"),
                    ("Service/desk", "spec.shares.v9"),
                    ("Rollout/up", "spec.from_version"),
                    ("ClientAccount/d", "spec.key_digests.0"),
                },
                {(e["source"], e["path"]) for e in status["errors"]},
            )
            conflicts = [item["message"] for item in status["conflicts"]]
            self.assertEqual(
                [
                    "ClientAccount/a was edited from version 0, but seed changed it"
                    " first, to version 1",
                    "ClientAccount/x was edited from version 4, but it does not exist",
                ],
                conflicts,
            )
            self.assertEqual("Refused", at.status("3")["phase"])
            self.assertEqual(2, at.head().revision)

        run_paused(scenario())

    def test_conflict_names_who_removed_the_object(self):
        """Guards against a conflict that does not say who was first."""

        async def scenario():
            at = await started()
            await at.submit(proposal("1", delete("ClientAccount", "a", 1)))
            await at.submit(proposal("2", put(account("a", "7"), 1), author="ana"))
            await asyncio.sleep(3)
            (conflict,) = at.status("2")["conflicts"]
            self.assertEqual("bat (removed)", conflict["changed_by"])
            self.assertEqual(2, conflict["current_version"])

        run_paused(scenario())

    def test_rollout_gets_a_new_uid_for_each_attempt(self):
        """Guards against a stop mark that ends a later attempt, and against an
        operator who writes the status that only the system may write."""

        async def scenario():
            at = await started()
            document = {**GOOD[3], "status": {"uid": "mine", "phase": "complete"}}
            document["spec"] = {**document["spec"], "deadline_unix_s": 2e9}
            await at.submit(proposal("1", put(document, 1)))
            await asyncio.sleep(2)
            status = at.memory.documents[2]["Rollout", "up"]["status"]
            self.assertEqual({"uid": "up.2", "phase": "pending"}, status)
            ended = {**document, "status": {"uid": "up.2", "phase": "complete"}}
            await at.submit(proposal("2", put(ended, 2), system=True))
            await asyncio.sleep(2)
            self.assertEqual(
                ended["status"], at.memory.documents[3]["Rollout", "up"]["status"]
            )

        run_paused(scenario())

    def test_lost_answer_of_the_publication_is_read_back(self):
        """Guards against a change that is published twice or reported lost."""

        async def scenario():
            for lost in range(1, 6):
                at = await started()
                await at.submit(proposal("1", put(account("c", "3"))))
                at.memory.faults.lose_answers = lost
                await asyncio.sleep(10)
                self.assertEqual({"phase": "Published", "revision": 2}, at.status("1"))
                self.assertEqual(2, at.head().revision)

        run_paused(scenario())

    def test_seal_stops_a_publisher_whose_lease_lapsed(self):
        """Guards against a revision published under an old lease epoch."""

        async def scenario():
            at = await started(count=2)
            at.stores[0].rates.latency_s = 20.0
            await at.submit(proposal("1", put(account("c", "3"))))
            await asyncio.sleep(15)
            at.acquire(1)
            await asyncio.sleep(100)
            epochs = [head.lease_epoch for head in at.memory.heads]
            self.assertEqual([0, 1, 2, 2], epochs)
            self.assertEqual({"phase": "Published", "revision": 2}, at.status("1"))

        run_paused(scenario())

    def test_successor_finishes_the_status(self):
        """Guards against a published change that its operator sees as pending."""

        async def scenario():
            at = await started(count=2)
            await at.submit(proposal("1", put(account("c", "3"))))
            stored = at.memory.objects[HEAD_KEY]
            head = decode_head(stored.value)
            done = Head(2, head.lease_epoch, head.chunks, "1")
            at.runners[0].lose()
            await at.memory.update(HEAD_KEY, encode_head(done), stored.version)
            at.acquire(1)
            await asyncio.sleep(2)
            self.assertEqual({"phase": "Published", "revision": 2}, at.status("1"))
            self.assertEqual(2, at.head().revision)

        run_paused(scenario())

    def test_finished_proposals_and_old_chunks_are_removed(self):
        """Guards against a store that fills up, and a sweep of chunks in use."""

        async def scenario():
            at = await started()
            for number in range(20):
                await at.submit(proposal(f"{number:02}", put(account("c", "3"))))
                change = delete("ClientAccount", "c", 2 * number + 2)
                await at.submit(proposal(f"{number:02}-x", change))
                await asyncio.sleep(5)
            self.assertEqual(41, at.head().revision)
            await asyncio.sleep(3 * 3600)
            keys = set(at.memory.objects)
            self.assertFalse([k for k in keys if k.startswith(PROPOSAL_PREFIX)])
            chunks = {chunk_key(d) for d in at.head().chunks.values()}
            self.assertEqual(chunks, {k for k in keys if k.startswith(CHUNK_PREFIX)})

        run_paused(scenario())

    def test_sweep_stops_once_a_successor_has_sealed(self):
        """Guards against the removal of a chunk that a successor has written but
        not published yet."""

        async def scenario():
            at = await started(count=2)
            shard, other = shard_of_two()
            first = at.head().chunks[shard]
            await at.submit(proposal("1", put(account(other, "3"))))
            await asyncio.sleep(3)
            lists = at.runners[0].store = GatedStore(at.memory, "list", CHUNK_PREFIX)
            await lists.reached.wait()
            heads = at.runners[1].store = GatedStore(at.memory, "update", HEAD_KEY)
            heads.open.set()
            at.acquire(1)
            await asyncio.sleep(2)
            heads.open.clear()
            heads.reached.clear()
            await at.submit(proposal("2", delete("ClientAccount", other, 2)))
            await heads.reached.wait()
            lists.open.set()
            await asyncio.sleep(3)
            heads.open.set()
            await asyncio.sleep(3)
            self.assertEqual(first, at.head().chunks[shard])
            self.assertIn(chunk_key(first), at.memory.objects)

        with (
            mock.patch.object(sweep, "INTERVAL_S", 1.0),
            mock.patch.object(sweep, "GRACE_S", 0.0),
            mock.patch.object(sweep, "PREFIXES", ("",)),
        ):
            run_paused(scenario())

    def test_refusal_by_an_old_revision_is_not_written(self):
        """Guards against a refusal by a publisher whose lease lapsed after it had
        read the head."""

        async def scenario():
            at = await started(count=2)
            gate = GatedStore(at.memory, "list", PROPOSAL_PREFIX)
            at.runners[0].store = gate
            await gate.reached.wait()
            at.acquire(1)
            await at.submit(proposal("1", put(account("c", "3"))))
            await asyncio.sleep(3)
            at.runners[1].lose()
            await at.submit(proposal("2", put(account("c", "4"), 2)))
            gate.open.set()
            await asyncio.sleep(3)
            self.assertEqual({}, at.status("2"))
            at.acquire(1)
            await asyncio.sleep(3)
            self.assertEqual({"phase": "Published", "revision": 3}, at.status("2"))

        run_paused(scenario())

    def test_sweep_spares_a_chunk_that_a_successor_uses_again(self):
        """Guards against a head that names a chunk which a delayed removal of an
        earlier lease holder takes away."""

        async def scenario():
            at = await started(count=2)
            shard, other = shard_of_two()
            first = at.head().chunks[shard]
            gate = GatedStore(at.memory, "delete", CHUNK_PREFIX)
            at.runners[0].store = gate
            await at.submit(proposal("1", put(account(other, "3"))))
            await gate.reached.wait()  # unused for long, `first` is removed
            at.acquire(1)
            await at.submit(proposal("2", delete("ClientAccount", other, 2)))
            await asyncio.sleep(3)
            gate.open.set()
            await asyncio.sleep(3)
            self.assertEqual(first, at.head().chunks[shard])
            self.assertIn(chunk_key(first), at.memory.objects)

        run_paused(scenario())


class Operator:
    """Submits edits of a few contended objects from versions it has read."""

    def __init__(self, at, name, rng):
        self.at, self.name, self.rng = at, name, rng
        self.submitted, self.refused = {}, []

    async def run(self, count):
        for number in range(count):
            await asyncio.sleep(self.rng.uniform(0.0, 6.0))
            published = self.at.memory.documents[self.at.head().revision]
            uid = f"{int(self.at.clock.now() * 1000):08}-{self.name}-{number}"
            document = proposal(uid, *self._changes(published), author=self.name)
            result = await submit(self.at.stores[0], document, self.at.clock, 60.0)
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
    def check(self, at, submitted, seed):
        note = f"seed {seed}"
        heads = at.memory.heads
        for old, new in zip(heads, heads[1:], strict=False):
            self.assertIn(new.revision - old.revision, (0, 1), note)
            self.assertGreaterEqual(new.lease_epoch, old.lease_epoch, note)
            if new.revision == old.revision:
                self.assertEqual(old.chunks, new.chunks, note)
        for digest in at.head().chunks.values():
            self.assertIn(chunk_key(digest), at.memory.objects, note)
        revisions = {head.proposal: head.revision for head in heads if head.proposal}
        self.assertEqual(
            len(revisions), len({(h.revision, h.proposal) for h in heads if h.proposal})
        )
        for uid, document in submitted.items():
            status = at.status(uid)
            if status["phase"] == "Refused":
                self.assertNotIn(uid, revisions, note)
                self.check_refusal(at, document, status, note)
            elif uid in revisions:
                self.assertEqual(revisions[uid], status["revision"], note)
                self.check_bases(at, document, status["revision"] - 1, note)
        return len(revisions)

    def check_bases(self, at, document, revision, note):
        """Every change was made from the version that it replaced."""
        for change in document["changes"]:
            item = change.get("object", change)
            found = at.memory.documents[revision].get((item["kind"], item["name"]))
            self.assertEqual(
                change["base_version"], found["version"] if found else 0, note
            )

    def check_refusal(self, at, document, status, note):
        self.assertTrue(status["errors"] or status["conflicts"], note)
        for conflict in status["conflicts"]:
            key = (conflict["kind"], conflict["name"])
            found = at.memory.documents[status["revision"]].get(key)
            version = found["version"] if found else 0
            self.assertNotEqual(conflict["base_version"], version, note)

    async def scenario(self, seed):
        at = Publishing(seed, CHAOS, count=3)
        await seed_store(at.memory, GOOD)
        rng = random.Random(seed)
        operators = [Operator(at, f"o{i}", rng) for i in range(3)]
        tasks = [asyncio.ensure_future(o.run(6)) for o in operators]
        at.acquire(0)
        while not all(task.done() for task in tasks):
            await asyncio.sleep(rng.uniform(1.0, 8.0))
            at.acquire(rng.randrange(3))
            store = rng.choice(at.stores)
            store.outage = rng.random() < 0.2
            store.rates = FaultRates(0.05, 0.08, 0.05, 0.08, 6.0, rng.choice([0.2, 3]))
        for store in at.stores:
            store.outage, store.rates = False, FaultRates()
        await asyncio.sleep(10)
        at.acquire(2)
        await asyncio.sleep(30)
        for uid in (uid for operator in operators for uid in operator.refused):
            self.assertNotIn(proposal_key(uid), at.memory.objects, f"seed {seed}")
        submitted = {k: v for o in operators for k, v in o.submitted.items()}
        return self.check(at, submitted, seed)

    def test_racing_publishers_and_operators(self):
        """Guards against a lost, repeated or reverted change, a change made from
        a version that was replaced, and a head with a removed chunk."""
        with (
            mock.patch.object(sweep, "INTERVAL_S", 0.5),
            mock.patch.object(sweep, "GRACE_S", 1.0),
            mock.patch.object(sweep, "PREFIXES", ("",)),
            # A chunk of all accounts often returns to an earlier value.
            mock.patch.object(revision, "ACCOUNT_CHUNKS", 1),
        ):
            published = [run_paused(self.scenario(seed)) for seed in range(SEEDS)]
        self.assertGreater(sum(published), 5 * SEEDS)


if __name__ == "__main__":
    unittest.main()
