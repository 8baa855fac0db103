"""Tests of publishing: store faults, concurrent publishers and operators."""

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
from standins.publishersimulation import delete, proposal, put, start_publishers
from standins.recordingstore import BlockingStore


def find_account_in_same_shard():
    """Return the chunk name of account `a` and another account name of that chunk.

    Adding and then removing the other account restores the value of the chunk.
    """
    shard = chunk_name("ClientAccount", "a")
    names = (f"n{number}" for number in range(10_000))
    return shard, next(n for n in names if chunk_name("ClientAccount", n) == shard)


class PublisherTest(unittest.TestCase):
    def test_outcomes(self):
        """Guards against a lost change and a refusal that lacks some of its reasons."""

        async def scenario():
            world = await start_publishers()
            await world.submit(proposal("1", put(account("c", "3"))))
            await asyncio.sleep(2)
            self.assertEqual({"phase": "Published", "revision": 2}, world.status("1"))
            bad = [
                put(service(shares={"v9": 100}), base=1),
                put(account("d", "3")),
                put(account("e", "5", weight=0)),
                put(account("a", "6")),
                delete("Version", "desk.v1", 1),
                delete("ClientAccount", "x", 4),
            ]
            await world.submit(proposal("2", *bad, author="ana"))
            await world.submit(proposal("3") | {"changes": "all"})
            await asyncio.sleep(2)
            status = world.status("2")
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
            self.assertEqual("Refused", world.status("3")["phase"])
            self.assertEqual(2, world.head().revision)

        run_in_virtual_time(scenario())

    def test_conflict_names_who_removed_the_object(self):
        """Guards against a conflict that does not name the author of the removal."""

        async def scenario():
            world = await start_publishers()
            await world.submit(proposal("1", delete("ClientAccount", "a", 1)))
            await world.submit(proposal("2", put(account("a", "7"), 1), author="ana"))
            await asyncio.sleep(3)
            (conflict,) = world.status("2")["conflicts"]
            self.assertEqual("operator (removed)", conflict["changed_by"])
            self.assertEqual(2, conflict["current_version"])

        run_in_virtual_time(scenario())

    def test_rollout_gets_a_new_uid_for_each_attempt(self):
        """Guards against a stop mark that stops a later attempt, and against a status
        written by an operator, which only the system may write."""

        async def scenario():
            world = await start_publishers()
            document = {
                **VALID_OBJECTS[3],
                "status": {"uid": "mine", "phase": "complete"},
            }
            document["spec"] = {**document["spec"], "deadline_unix_s": 2e9}
            await world.submit(proposal("1", put(document, 1)))
            await asyncio.sleep(2)
            status = world.memory.documents[2]["Rollout", "up"]["status"]
            self.assertEqual({"uid": "up.2", "phase": "pending"}, status)
            ended = {**document, "status": {"uid": "up.2", "phase": "complete"}}
            await world.submit(proposal("2", put(ended, 2), system=True))
            await asyncio.sleep(2)
            self.assertEqual(
                ended["status"], world.memory.documents[3]["Rollout", "up"]["status"]
            )

        run_in_virtual_time(scenario())

    def test_lost_answer_of_the_publication_is_read_back(self):
        """Guards against a change that is published twice or reported as lost because
        the store's response to a write was lost."""

        async def scenario():
            for lost in range(1, 6):
                world = await start_publishers()
                await world.submit(proposal("1", put(account("c", "3"))))
                world.memory.faults.lose_answers = lost
                await asyncio.sleep(10)
                self.assertEqual(
                    {"phase": "Published", "revision": 2}, world.status("1")
                )
                self.assertEqual(2, world.head().revision)

        run_in_virtual_time(scenario())

    def test_seal_stops_a_publisher_whose_lease_lapsed(self):
        """Guards against a revision that is published under an expired lease, by a
        publisher whose store requests take 20 s."""

        async def scenario():
            world = await start_publishers(count=2)
            world.stores[0].rates.latency_s = 20.0
            await world.submit(proposal("1", put(account("c", "3"))))
            await asyncio.sleep(15)
            world.acquire(1)
            await asyncio.sleep(100)
            epochs = [head.lease_epoch for head in world.memory.heads]
            self.assertEqual([0, 1, 2, 2], epochs)
            self.assertEqual({"phase": "Published", "revision": 2}, world.status("1"))

        run_in_virtual_time(scenario())

    def test_successor_finishes_the_status(self):
        """Guards against a published change whose status stays pending because the
        publisher lost its lease before it wrote the status."""

        async def scenario():
            world = await start_publishers(count=2)
            await world.submit(proposal("1", put(account("c", "3"))))
            stored = world.memory.objects[HEAD_KEY]
            head = decode_head(stored.value)
            done = Head(2, head.lease_epoch, head.chunks, "1")
            world.runners[0].stop()
            await world.memory.update(HEAD_KEY, encode_head(done), stored.version)
            world.acquire(1)
            await asyncio.sleep(2)
            self.assertEqual({"phase": "Published", "revision": 2}, world.status("1"))
            self.assertEqual(2, world.head().revision)

        run_in_virtual_time(scenario())

    def test_finished_proposals_and_old_chunks_are_removed(self):
        """Guards against unbounded growth of the store and the removal of chunks in
        use."""

        async def scenario():
            world = await start_publishers()
            for number in range(20):
                await world.submit(proposal(f"{number:02}", put(account("c", "3"))))
                change = delete("ClientAccount", "c", 2 * number + 2)
                await world.submit(proposal(f"{number:02}-x", change))
                await asyncio.sleep(5)
            self.assertEqual(41, world.head().revision)
            await asyncio.sleep(3 * 3600)
            keys = set(world.memory.objects)
            self.assertFalse([k for k in keys if k.startswith(PROPOSAL_PREFIX)])
            chunks = {chunk_key(d) for d in world.head().chunks.values()}
            self.assertEqual(chunks, {k for k in keys if k.startswith(CHUNK_PREFIX)})

        run_in_virtual_time(scenario())

    def test_sweep_stops_once_a_successor_has_sealed(self):
        """Guards against the removal of a chunk that a succeeding publisher has written
        but not published yet."""

        async def scenario():
            world = await start_publishers(count=2)
            shard, other = find_account_in_same_shard()
            original_digest = world.head().chunks[shard]
            await world.submit(proposal("1", put(account(other, "3"))))
            await asyncio.sleep(3)
            list_gate = world.runners[0].store = BlockingStore(
                world.memory, "list", CHUNK_PREFIX
            )
            await list_gate.blocked.wait()
            head_gate = world.runners[1].store = BlockingStore(
                world.memory, "update", HEAD_KEY
            )
            head_gate.released.set()
            world.acquire(1)
            await asyncio.sleep(2)
            head_gate.released.clear()
            head_gate.blocked.clear()
            await world.submit(proposal("2", delete("ClientAccount", other, 2)))
            await head_gate.blocked.wait()
            list_gate.released.set()
            await asyncio.sleep(3)
            head_gate.released.set()
            await asyncio.sleep(3)
            self.assertEqual(original_digest, world.head().chunks[shard])
            self.assertIn(chunk_key(original_digest), world.memory.objects)

        with (
            mock.patch.object(sweep, "INTERVAL_S", 1.0),
            mock.patch.object(sweep, "GRACE_S", 0.0),
            mock.patch.object(sweep, "PREFIXES", ("",)),
        ):
            run_in_virtual_time(scenario())

    def test_refusal_by_an_old_revision_is_not_written(self):
        """Guards against a refusal by a publisher whose lease expired after it had read
        the head."""

        async def scenario():
            world = await start_publishers(count=2)
            gate = BlockingStore(world.memory, "list", PROPOSAL_PREFIX)
            world.runners[0].store = gate
            await gate.blocked.wait()
            world.acquire(1)
            await world.submit(proposal("1", put(account("c", "3"))))
            await asyncio.sleep(3)
            world.runners[1].stop()
            await world.submit(proposal("2", put(account("c", "4"), 2)))
            gate.released.set()
            await asyncio.sleep(3)
            self.assertEqual({}, world.status("2"))
            world.acquire(1)
            await asyncio.sleep(3)
            self.assertEqual({"phase": "Published", "revision": 3}, world.status("2"))

        run_in_virtual_time(scenario())

    def test_sweep_spares_a_chunk_that_a_successor_uses_again(self):
        """Guards against a head that refers to a chunk which a delayed delete of an
        earlier lease holder removes."""

        async def scenario():
            world = await start_publishers(count=2)
            shard, other = find_account_in_same_shard()
            original_digest = world.head().chunks[shard]
            gate = BlockingStore(world.memory, "delete", CHUNK_PREFIX)
            world.runners[0].store = gate
            await world.submit(proposal("1", put(account(other, "3"))))
            await gate.blocked.wait()  # delete of `original_digest` as unreferenced
            world.acquire(1)
            await world.submit(proposal("2", delete("ClientAccount", other, 2)))
            await asyncio.sleep(3)
            gate.released.set()
            await asyncio.sleep(3)
            self.assertEqual(original_digest, world.head().chunks[shard])
            self.assertIn(chunk_key(original_digest), world.memory.objects)

        run_in_virtual_time(scenario())


if __name__ == "__main__":
    unittest.main()
