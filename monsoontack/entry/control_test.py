"""Test of configuration changes with entry processes and a stand-in platform."""

import asyncio
import unittest

from monsoontack.config.check_test import VALID_OBJECTS, account
from monsoontack.config.operator import submit, wait_for_outcome
from monsoontack.config.revision import seed_store
from monsoontack.core.clock import LoopClock
from monsoontack.store.http import HttpStore
from standins.cluster import Cluster
from standins.publishersimulation import proposal, put

# A rollout would publish additional revisions.
OBJECTS_WITHOUT_ROLLOUT = [item for item in VALID_OBJECTS if item["kind"] != "Rollout"]


async def seed(url):
    async with HttpStore(url) as store:
        (await seed_store(store, OBJECTS_WITHOUT_ROLLOUT)).unwrap()


class ControlTest(unittest.IsolatedAsyncioTestCase):
    async def control_dumps(self, cluster, entries):
        states = [await cluster.state_of(entry) for entry in entries]
        return [state["control"] for state in states]

    async def test_change_survives_the_controller(self):
        """Guards against entries that do not find each other through the VM list.

        Also guards against changes that stay unpublished after the lease holder
        was killed.
        """
        async with Cluster.create() as cluster:
            await cluster.start_platform(seed)
            entries = [await cluster.start_entry() for _ in range(3)]
            async with asyncio.timeout(60), HttpStore(cluster.store.url) as store:
                while True:
                    control_dumps = await self.control_dumps(cluster, entries)
                    if {c["members"] for c in control_dumps} == {2}:
                        break
                    await asyncio.sleep(0.2)
                holders = [i for i, c in enumerate(control_dumps) if c["lease_epoch"]]
                self.assertEqual(1, len(holders))
                await submit(
                    store, proposal("1", put(account("c", "3"))), LoopClock(), 20
                )
                outcome = await wait_for_outcome(store, "1", LoopClock(), 20)
                self.assertTrue(outcome.in_force)
                holder = entries.pop(holders[0])
                holder.kill()
                await cluster.remove_vm(holder)
                await submit(
                    store, proposal("2", put(account("d", "4"))), LoopClock(), 20
                )
                outcome = await wait_for_outcome(store, "2", LoopClock(), 30)
                self.assertTrue(outcome.in_force)
                control_dumps = await self.control_dumps(cluster, entries)
                for control in control_dumps:
                    self.assertGreaterEqual(
                        control["revision"], outcome.status["revision"]
                    )


if __name__ == "__main__":
    unittest.main()
