"""Tests of configuration in a whole fleet of entries, on the paused event loop.

Each node runs the gossip and the controller of an entry over an in-memory network and a
store with injected faults (`standins.localfleet`).
"""

import asyncio
import json
import os
import random
import unittest

import structlog

from monsoontack.config.check_test import VALID_OBJECTS, account, rollout
from monsoontack.config.operator import wait_for_outcome
from monsoontack.config.proposal import proposal_key
from monsoontack.core.records import StopMark
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.store.faulty import FaultRates
from standins.localfleet import Fleet
from standins.publishersimulation import delete, proposal, put

SEED_COUNT = int(os.environ.get("FLEET_SEEDS", "200"))


def on_paused_loop(scenario):
    """Return a test method that runs an async scenario on the paused loop."""

    def test(self):
        run_in_virtual_time(scenario(self))

    test.__doc__ = scenario.__doc__
    return test


class FleetTest(unittest.TestCase):
    @on_paused_loop
    async def test_status_names_unconfirmed_entries(self):
        """Guards against status `InForce` while a live entry lacks the revision."""
        fleet = Fleet(9)
        await fleet.start(VALID_OBJECTS)
        isolated = next(n for n in fleet.live_nodes() if n is not fleet.lease_holder())
        fleet.partitions[isolated.record.vm] = "cut"
        isolated.store.partitioned = True
        await fleet.submit(proposal("1", put(account("c", "3"))))
        outcome = await wait_for_outcome(fleet.memory, "1", fleet.clock, 12.0)
        self.assertFalse(outcome.in_force)
        self.assertEqual((isolated.record.vm,), outcome.unconfirmed)
        self.assertFalse(isolated.is_ready())
        fleet.partitions.clear()
        isolated.store.partitioned = False
        outcome = await wait_for_outcome(fleet.memory, "1", fleet.clock, 12.0)
        self.assertTrue(outcome.in_force)
        self.assertEqual(2, isolated.gossip.view().revision)
        self.assertTrue(isolated.is_ready())

    @on_paused_loop
    async def test_store_outage_stops_rollouts_but_not_serving(self):
        """Guards against entries that stop serving during a store outage, that still
        count as fresh and so send new traffic to unproven versions, or that do not
        catch up when the store is available again."""
        fleet = Fleet(9)
        await fleet.start(VALID_OBJECTS)
        await asyncio.sleep(20)
        self.assertTrue(
            all(node.is_store_contact_recent() for node in fleet.live_nodes())
        )
        fleet.outage(True)
        await fleet.submit(proposal("1", put(account("c", "3"))))
        await asyncio.sleep(60)
        self.assertTrue(all(node.is_ready() for node in fleet.live_nodes()))
        self.assertFalse(
            any(node.is_store_contact_recent() for node in fleet.live_nodes())
        )
        fleet.outage(False)
        await asyncio.sleep(10)
        self.assertEqual(2, fleet.head().revision)
        self.assertEqual([], fleet.lagging_nodes())
        self.assertTrue(
            all(node.is_store_contact_recent() for node in fleet.live_nodes())
        )

    @on_paused_loop
    async def test_start_in_an_outage_needs_two_peers(self):
        """Guards against a start without configuration or from one stale peer."""
        fleet = Fleet(4)
        await fleet.start(VALID_OBJECTS)
        fleet.outage(True)
        fleet.nodes["n1"].kill()
        fleet.nodes["n2"].kill()
        fleet.restart("n3")
        fleet.nodes["n3"].store.outage = True
        await asyncio.sleep(30)
        self.assertEqual(1, fleet.nodes["n3"].gossip.view().revision)
        self.assertFalse(fleet.nodes["n3"].is_ready())
        fleet.restart("n2")
        fleet.nodes["n2"].store.outage = True
        await asyncio.sleep(30)
        self.assertTrue(fleet.nodes["n3"].is_ready())
        self.assertTrue(fleet.nodes["n2"].is_ready())

    @on_paused_loop
    async def test_all_restart_in_an_outage(self):
        """Guards against entries that become ready from each other's empty state."""
        fleet = Fleet(4)
        await fleet.start(VALID_OBJECTS)
        for name in fleet.places:
            fleet.restart(name)
            fleet.nodes[name].store.outage = True
        await asyncio.sleep(60)
        self.assertFalse(any(node.is_ready() for node in fleet.live_nodes()))
        fleet.outage(False)
        await asyncio.sleep(5)
        self.assertTrue(all(node.is_ready() for node in fleet.live_nodes()))

    @on_paused_loop
    async def test_cut_off_process_stops_after_nine_seconds(self):
        """Guards against new work under a configuration that is no longer confirmed and
        against an entry that stops serving although a peer still responds."""
        fleet = Fleet(6)
        await fleet.start(VALID_OBJECTS)
        for name in ("n0", "n1", "n2"):
            fleet.partitions[name] = name if name == "n0" else "pair"
            fleet.nodes[name].store.partitioned = True
        await asyncio.sleep(8)
        self.assertTrue(fleet.nodes["n0"].is_ready())
        await asyncio.sleep(3)
        self.assertFalse(fleet.nodes["n0"].is_ready())
        self.assertTrue(fleet.nodes["n1"].is_ready())

    @on_paused_loop
    async def test_region_without_store_keeps_its_revision(self):
        """Guards against a partitioned region that returns to an old revision, stops
        serving, takes part in a rollout or does not catch up afterwards."""
        fleet = Fleet(9)
        await fleet.start(VALID_OBJECTS)
        await fleet.submit(proposal("1", put(account("c", "3"))))
        await asyncio.sleep(8)
        remote_nodes = [n for n in fleet.live_nodes() if n.record.place.region == "r0"]
        for node in remote_nodes:
            fleet.partitions[node.record.vm] = "far"
            node.store.partitioned = True
        await asyncio.sleep(12)
        await fleet.submit(proposal("2", put(account("d", "4"))))
        await asyncio.sleep(20)
        self.assertEqual({2}, {n.gossip.view().revision for n in remote_nodes})
        self.assertEqual(
            {3}, {n.gossip.view().revision for n in fleet.live_nodes()} - {2}
        )
        self.assertTrue(
            all(n.is_ready() and not n.is_store_contact_recent() for n in remote_nodes)
        )
        fleet.partitions.clear()
        for node in remote_nodes:
            node.store.partitioned = False
        self.assertLess(await fleet.wait_until_spread(9.0), 9.0)

    @on_paused_loop
    async def test_small_partition_without_store_stays_ready(self):
        """Guards against processes that count as disconnected because they pull only
        from peers on the other side of a partition."""
        for seed in range(5):
            fleet = Fleet(40, seed)
            await fleet.start(VALID_OBJECTS)
            small_group = [fleet.nodes[name] for name in ("n0", "n3", "n6")]
            for node in small_group:
                fleet.partitions[node.record.vm] = "few"
                node.store.partitioned = True
            for _ in range(120):
                await asyncio.sleep(0.5)
                self.assertTrue(
                    all(node.is_ready() for node in small_group), f"seed {seed}"
                )

    @on_paused_loop
    async def test_spread_with_dead_peers_and_dead_controller(self):
        """Guards against a change that does not reach all live peers because a third
        of the peers are dead, among them watchers and the controller."""
        for seed in range(10):
            fleet = Fleet(30, seed)
            await fleet.start(VALID_OBJECTS)
            await asyncio.sleep(5)
            fleet.lease_holder().kill()
            for node in fleet.rng.sample(fleet.live_nodes(), 10):
                node.kill()
            await fleet.submit(proposal("1", put(account("c", "3"))))
            while fleet.head().revision < 2:
                await asyncio.sleep(0.05)
            self.assertLess(await fleet.wait_until_spread(9.0), 9.0)

    @on_paused_loop
    async def test_spread_with_all_watchers_dead(self):
        """Guards against a fleet without any watcher of the store, while the VM list
        still contains the dead watchers."""
        fleet = Fleet(24)
        await fleet.start(VALID_OBJECTS)
        await asyncio.sleep(5)
        watchers = [n for n in fleet.live_nodes() if n.gossip.state.store_read_pending]
        for node in watchers:
            node.kill()
        self.assertGreaterEqual(len(watchers), 6)
        await asyncio.sleep(30)
        self.assertTrue(
            all(node.is_store_contact_recent() for node in fleet.live_nodes())
        )
        await fleet.submit(proposal("1", put(account("c", "3"))))
        await asyncio.sleep(20)
        self.assertEqual(2, fleet.head().revision)
        self.assertEqual([], fleet.lagging_nodes())

    @on_paused_loop
    async def test_stop_mark_spreads_without_store_and_is_pruned(self):
        """Guards against a stop mark that is lost, that spreads only through the store,
        or that remains or reappears after its rollout has been removed."""
        fleet = Fleet(20)
        await fleet.start(VALID_OBJECTS)
        fleet.outage(True)
        fleet.lease_holder().kill()
        mark = StopMark("up.1", "desk", "v2", "failures", "n1")
        fleet.nodes["n1"].gossip.set_stop_mark(mark)
        await asyncio.sleep(3)
        self.assertTrue(all(n.gossip.stop_marks() for n in fleet.live_nodes()))
        fleet.outage(False)
        isolated = next(n for n in fleet.live_nodes() if n is not fleet.lease_holder())
        fleet.partitions[isolated.record.vm] = "cut"
        isolated.store.partitioned = True
        await fleet.submit(proposal("1", delete("Rollout", "up", 1)))
        await fleet.submit(proposal("2", put(rollout("next"))))
        await asyncio.sleep(30)
        fleet.partitions.clear()
        isolated.store.partitioned = False
        await asyncio.sleep(10)
        self.assertEqual([], fleet.lagging_nodes())
        self.assertFalse(any(n.gossip.stop_marks() for n in fleet.live_nodes()))

    @on_paused_loop
    async def test_stop_mark_of_a_later_revision_is_kept(self):
        """Guards against a stop mark that is dropped because this entry does not have
        the revision with its rollout yet."""
        fleet = Fleet(2)
        await fleet.start(VALID_OBJECTS)
        gossip = fleet.nodes["n0"].gossip
        gossip.set_stop_mark(StopMark("next.2", "desk", "v2", "failures", "n1"))
        gossip.set_stop_mark(StopMark("gone.1", "desk", "v2", "failures", "n1"))
        self.assertEqual({"next.2"}, set(gossip.stop_marks()))

    @on_paused_loop
    async def test_store_calls_do_not_grow_with_the_fleet(self):
        """Guards against store watches or reads by every process."""
        totals = []
        for count in (12, 60):
            fleet = Fleet(count)
            await fleet.start(VALID_OBJECTS)
            await asyncio.sleep(10)
            before = fleet.memory.calls.copy()
            await asyncio.sleep(60)
            calls = fleet.memory.calls - before
            self.assertLessEqual(calls["watch"], 6 * 60 / 4 * 1.2)
            totals.append(sum(calls.values()))
        self.assertLess(totals[1], totals[0] * 1.3)

    @on_paused_loop
    async def test_idle_entries_report_seldom(self):
        """Guards against load on the lease holder from reports without changes."""
        fleet = Fleet(12)
        await fleet.start(VALID_OBJECTS)
        await asyncio.sleep(20)
        reports = []
        fleet.lease_holder().controller.report_listeners.append(reports.append)
        await asyncio.sleep(120)
        self.assertLessEqual(len(reports), 11 * 120 / 30 * 1.2)
        self.assertGreaterEqual(len({report.address for report in reports}), 11)


class FleetChaosTest(unittest.TestCase):
    async def scenario(self, seed):
        fleet = Fleet(7, seed)
        fleet.fetch_limit = 1 + seed % 3
        rng = random.Random(seed)
        await fleet.start(VALID_OBJECTS)
        submitted = []
        for number in range(12):
            await asyncio.sleep(rng.uniform(0.5, 6.0))
            self.inject_fault(fleet, rng)
            if rng.random() < 0.6:
                uid = f"{number:02}"
                name, digest = f"new{number}", f"{number + 3:x}"
                await fleet.submit(proposal(uid, put(account(name, digest))))
                submitted.append(uid)
        await asyncio.sleep(rng.uniform(0.0, 12.0))
        self.clear_faults(fleet)
        await asyncio.sleep(30)
        self.check_convergence(fleet, submitted, f"seed {seed}")
        return fleet.head().revision

    def inject_fault(self, fleet, rng):
        name = rng.choice(list(fleet.nodes))
        node = fleet.nodes[name]
        match rng.randrange(8):
            case 0:
                node.kill()
            case 1:
                fleet.restart(name)
            case 2:
                fleet.partitions[name] = rng.choice(["x", "y"])
            case 3:
                fleet.partitions.pop(name, None)
            case 4:
                node.store.partitioned = not node.store.partitioned
            case 5:
                fleet.outage(rng.random() < 0.5)
            case 6:
                node.store.rates = FaultRates(0.1, 0.1, 0.1, 0.1, 8.0, 2.0)
            case 7:
                if holder := fleet.lease_holder():
                    fleet.partitions[holder.record.vm] = "x"
                    holder.store.partitioned = True

    def clear_faults(self, fleet):
        fleet.partitions.clear()
        for name, node in list(fleet.nodes.items()):
            node.store.partitioned, node.store.outage = False, False
            node.store.rates = FaultRates()
            if not node.tasks:
                fleet.restart(name)

    def check_convergence(self, fleet, submitted, message):
        self.assertEqual([], [n.record.vm for n in fleet.lagging_nodes()], message)
        self.assertTrue(
            all(
                n.is_ready() and n.is_store_contact_recent() for n in fleet.live_nodes()
            ),
            message,
        )
        for node in [*fleet.ended_nodes, *fleet.nodes.values()]:
            self.assertEqual(node.revisions, sorted(set(node.revisions)), message)
        for uid in submitted:
            status = json.loads(fleet.memory.objects[proposal_key(uid)].value)["status"]
            self.assertEqual("Published", status["phase"], message)
        self.assertEqual(len(submitted) + 1, fleet.head().revision, message)
        status = json.loads(fleet.memory.objects["status/config"].value)
        self.assertEqual("InForce", status["phase"], message)
        self.assertEqual(fleet.head().revision, status["in_force"], message)

    def test_random_faults(self):
        """Guards against a process that returns to an old revision or does not catch
        up, a lost change and a wrong status, under combinations of random faults."""
        revisions = [
            run_in_virtual_time(self.scenario(seed)) for seed in range(SEED_COUNT)
        ]
        self.assertGreater(sum(revisions), 3 * SEED_COUNT)


structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))

if __name__ == "__main__":
    unittest.main()
