"""Tests of publishing: faults of the store, racing publishers and operators."""

import asyncio
import unittest
from unittest import mock

from monsoontack.config import sweep
from monsoontack.config.check_test import VALID_OBJECTS, account, service
from monsoontack.config.proposal import PROPOSAL_PREFIX
from monsoontack.config.revision import (
    CHUNK_PREFIX,
    HEAD_KEY,
    Head,
    chunk_key,
    chunk_name,
    decode_head,
    encode_head,
)
from monsoontack.core.virtualtime import run_in_virtual_time
from standins.publisherworld import delete, proposal, put, started
from standins.recordingstore import GatedStore


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

        run_in_virtual_time(scenario())

    def test_conflict_names_who_removed_the_object(self):
        """Guards against a conflict that does not say who was first."""

        async def scenario():
            at = await started()
            await at.submit(proposal("1", delete("ClientAccount", "a", 1)))
            await at.submit(proposal("2", put(account("a", "7"), 1), author="ana"))
            await asyncio.sleep(3)
            (conflict,) = at.status("2")["conflicts"]
            self.assertEqual("operator (removed)", conflict["changed_by"])
            self.assertEqual(2, conflict["current_version"])

        run_in_virtual_time(scenario())

    def test_rollout_gets_a_new_uid_for_each_attempt(self):
        """Guards against a stop mark that ends a later attempt, and against an
        operator who writes the status that only the system may write."""

        async def scenario():
            at = await started()
            document = {
                **VALID_OBJECTS[3],
                "status": {"uid": "mine", "phase": "complete"},
            }
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

        run_in_virtual_time(scenario())

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

        run_in_virtual_time(scenario())

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

        run_in_virtual_time(scenario())

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

        run_in_virtual_time(scenario())

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

        run_in_virtual_time(scenario())

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
            run_in_virtual_time(scenario())

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

        run_in_virtual_time(scenario())

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

        run_in_virtual_time(scenario())


if __name__ == "__main__":
    unittest.main()
