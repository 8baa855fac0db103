"""Tests of configuration in a whole fleet, on the paused loop.

Each node is an entry's gossip and controller over an in-memory network and a
store with faults (`standins.localfleet`).
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
from standins.publisherworld import delete, proposal, put

SEEDS = int(os.environ.get("FLEET_SEEDS", "200"))


def running(scenario):
    """Make a test of a scenario that gets a fleet."""

    def test(self):
        run_in_virtual_time(scenario(self))

    test.__doc__ = scenario.__doc__
    return test


class FleetTest(unittest.TestCase):
    @running
    async def test_in_force_names_the_unconfirmed(self):
        """Guards against `InForce` before every live entry has the revision."""
        fleet = Fleet(9)
        await fleet.start(VALID_OBJECTS)
        cut = next(n for n in fleet.live() if n is not fleet.holder())
        fleet.islands[cut.record.vm] = "cut"
        cut.store.partitioned = True
        await fleet.submit(proposal("1", put(account("c", "3"))))
        outcome = await wait_for_outcome(fleet.memory, "1", fleet.clock, 12.0)
        self.assertFalse(outcome.in_force)
        self.assertEqual((cut.record.vm,), outcome.unconfirmed)
        self.assertFalse(cut.ready())
        fleet.islands.clear()
        cut.store.partitioned = False
        outcome = await wait_for_outcome(fleet.memory, "1", fleet.clock, 12.0)
        self.assertTrue(outcome.in_force)
        self.assertEqual(2, cut.gossip.view().revision)
        self.assertTrue(cut.ready())

    @running
    async def test_outage_freezes_rollouts_but_not_work(self):
        """Guards against entries that stop in an outage, that give unproved
        versions new traffic, or that do not follow when the store returns."""
        fleet = Fleet(9)
        await fleet.start(VALID_OBJECTS)
        await asyncio.sleep(20)
        self.assertTrue(all(node.fresh() for node in fleet.live()))
        fleet.outage(True)
        await fleet.submit(proposal("1", put(account("c", "3"))))
        await asyncio.sleep(60)
        self.assertTrue(all(node.ready() for node in fleet.live()))
        self.assertFalse(any(node.fresh() for node in fleet.live()))
        fleet.outage(False)
        await asyncio.sleep(10)
        self.assertEqual(2, fleet.head().revision)
        self.assertEqual([], fleet.behind())
        self.assertTrue(all(node.fresh() for node in fleet.live()))

    @running
    async def test_start_in_an_outage_needs_two_peers(self):
        """Guards against a start from nothing or from a single, old peer."""
        fleet = Fleet(4)
        await fleet.start(VALID_OBJECTS)
        fleet.outage(True)
        fleet.nodes["n1"].kill()
        fleet.nodes["n2"].kill()
        fleet.restart("n3")
        fleet.nodes["n3"].store.outage = True
        await asyncio.sleep(30)
        self.assertEqual(1, fleet.nodes["n3"].gossip.view().revision)
        self.assertFalse(fleet.nodes["n3"].ready())
        fleet.restart("n2")
        fleet.nodes["n2"].store.outage = True
        await asyncio.sleep(30)
        self.assertTrue(fleet.nodes["n3"].ready())
        self.assertTrue(fleet.nodes["n2"].ready())

    @running
    async def test_all_restart_in_an_outage(self):
        """Guards against entries that start from each other's empty state."""
        fleet = Fleet(4)
        await fleet.start(VALID_OBJECTS)
        for name in fleet.places:
            fleet.restart(name)
            fleet.nodes[name].store.outage = True
        await asyncio.sleep(60)
        self.assertFalse(any(node.ready() for node in fleet.live()))
        fleet.outage(False)
        await asyncio.sleep(5)
        self.assertTrue(all(node.ready() for node in fleet.live()))

    @running
    async def test_cut_off_process_stops_after_nine_seconds(self):
        """Guards against new work under a configuration that nobody renews, and
        against an entry that stops although a peer still answers."""
        fleet = Fleet(6)
        await fleet.start(VALID_OBJECTS)
        for name in ("n0", "n1", "n2"):
            fleet.islands[name] = name if name == "n0" else "pair"
            fleet.nodes[name].store.partitioned = True
        await asyncio.sleep(8)
        self.assertTrue(fleet.nodes["n0"].ready())
        await asyncio.sleep(3)
        self.assertFalse(fleet.nodes["n0"].ready())
        self.assertTrue(fleet.nodes["n1"].ready())

    @running
    async def test_region_without_store_keeps_its_revision(self):
        """Guards against a partitioned region that goes back, stops or takes part
        in a rollout, and against one that does not catch up."""
        fleet = Fleet(9)
        await fleet.start(VALID_OBJECTS)
        await fleet.submit(proposal("1", put(account("c", "3"))))
        await asyncio.sleep(8)
        far = [n for n in fleet.live() if n.record.place.region == "r0"]
        for node in far:
            fleet.islands[node.record.vm] = "far"
            node.store.partitioned = True
        await asyncio.sleep(12)
        await fleet.submit(proposal("2", put(account("d", "4"))))
        await asyncio.sleep(20)
        self.assertEqual({2}, {n.gossip.view().revision for n in far})
        self.assertEqual({3}, {n.gossip.view().revision for n in fleet.live()} - {2})
        self.assertTrue(all(n.ready() and not n.fresh() for n in far))
        fleet.islands.clear()
        for node in far:
            node.store.partitioned = False
        self.assertLess(await fleet.until_spread(9.0), 9.0)

    @running
    async def test_few_processes_without_the_rest_stay_ready(self):
        """Guards against processes that count as cut off because they only pull
        from peers on the other side of a partition."""
        for seed in range(5):
            fleet = Fleet(40, seed)
            await fleet.start(VALID_OBJECTS)
            few = [fleet.nodes[name] for name in ("n0", "n3", "n6")]
            for node in few:
                fleet.islands[node.record.vm] = "few"
                node.store.partitioned = True
            for _ in range(120):
                await asyncio.sleep(0.5)
                self.assertTrue(all(node.ready() for node in few), f"seed {seed}")

    @running
    async def test_spread_with_dead_peers_and_dead_controller(self):
        """Guards against a change that a third of dead peers, the watchers or the
        controller among them, keeps from the others."""
        for seed in range(10):
            fleet = Fleet(30, seed)
            await fleet.start(VALID_OBJECTS)
            await asyncio.sleep(5)
            fleet.holder().kill()
            for node in fleet.rng.sample(fleet.live(), 10):
                node.kill()
            await fleet.submit(proposal("1", put(account("c", "3"))))
            while fleet.head().revision < 2:
                await asyncio.sleep(0.05)
            self.assertLess(await fleet.until_spread(9.0), 9.0)

    @running
    async def test_spread_with_all_watchers_dead(self):
        """Guards against a fleet that nobody watches the store for, while the VM
        list still shows the dead watchers."""
        fleet = Fleet(24)
        await fleet.start(VALID_OBJECTS)
        await asyncio.sleep(5)
        watchers = [n for n in fleet.live() if n.gossip.state.store_read_pending]
        for node in watchers:
            node.kill()
        self.assertGreaterEqual(len(watchers), 6)
        await asyncio.sleep(30)
        self.assertTrue(all(node.fresh() for node in fleet.live()))
        await fleet.submit(proposal("1", put(account("c", "3"))))
        await asyncio.sleep(20)
        self.assertEqual(2, fleet.head().revision)
        self.assertEqual([], fleet.behind())

    @running
    async def test_stop_mark_spreads_without_store_and_is_pruned(self):
        """Guards against a stop mark that is lost, that needs the store, or that
        outlives or returns after its rollout."""
        fleet = Fleet(20)
        await fleet.start(VALID_OBJECTS)
        fleet.outage(True)
        fleet.holder().kill()
        mark = StopMark("up.1", "desk", "v2", "failures", "n1")
        fleet.nodes["n1"].gossip.set_stop_mark(mark)
        await asyncio.sleep(3)
        self.assertTrue(all(n.gossip.stop_marks() for n in fleet.live()))
        fleet.outage(False)
        cut = next(n for n in fleet.live() if n is not fleet.holder())
        fleet.islands[cut.record.vm] = "cut"
        cut.store.partitioned = True
        await fleet.submit(proposal("1", delete("Rollout", "up", 1)))
        await fleet.submit(proposal("2", put(rollout("next"))))
        await asyncio.sleep(30)
        fleet.islands.clear()
        cut.store.partitioned = False
        await asyncio.sleep(10)
        self.assertEqual([], fleet.behind())
        self.assertFalse(any(n.gossip.stop_marks() for n in fleet.live()))

    @running
    async def test_stop_mark_of_a_later_revision_is_kept(self):
        """Guards against a mark that is dropped because its rollout has not been
        published here yet."""
        fleet = Fleet(2)
        await fleet.start(VALID_OBJECTS)
        gossip = fleet.nodes["n0"].gossip
        gossip.set_stop_mark(StopMark("next.2", "desk", "v2", "failures", "n1"))
        gossip.set_stop_mark(StopMark("gone.1", "desk", "v2", "failures", "n1"))
        self.assertEqual({"next.2"}, set(gossip.stop_marks()))

    @running
    async def test_store_calls_do_not_grow_with_the_fleet(self):
        """Guards against a watch or read of the store by every process."""
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

    @running
    async def test_idle_entries_report_seldom(self):
        """Guards against a lease holder that is busy with reports of no news."""
        fleet = Fleet(12)
        await fleet.start(VALID_OBJECTS)
        await asyncio.sleep(20)
        reports = []
        fleet.holder().controller.on_report.append(reports.append)
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
            self.disturb(fleet, rng)
            if rng.random() < 0.6:
                uid = f"{number:02}"
                name, digest = f"new{number}", f"{number + 3:x}"
                await fleet.submit(proposal(uid, put(account(name, digest))))
                submitted.append(uid)
        await asyncio.sleep(rng.uniform(0.0, 12.0))
        self.heal(fleet)
        await asyncio.sleep(30)
        self.check(fleet, submitted, f"seed {seed}")
        return fleet.head().revision

    def disturb(self, fleet, rng):
        name = rng.choice(list(fleet.nodes))
        node = fleet.nodes[name]
        match rng.randrange(8):
            case 0:
                node.kill()
            case 1:
                fleet.restart(name)
            case 2:
                fleet.islands[name] = rng.choice(["x", "y"])
            case 3:
                fleet.islands.pop(name, None)
            case 4:
                node.store.partitioned = not node.store.partitioned
            case 5:
                fleet.outage(rng.random() < 0.5)
            case 6:
                node.store.rates = FaultRates(0.1, 0.1, 0.1, 0.1, 8.0, 2.0)
            case 7:
                if holder := fleet.holder():
                    fleet.islands[holder.record.vm] = "x"
                    holder.store.partitioned = True

    def heal(self, fleet):
        fleet.islands.clear()
        for name, node in list(fleet.nodes.items()):
            node.store.partitioned, node.store.outage = False, False
            node.store.rates = FaultRates()
            if not node.tasks:
                fleet.restart(name)

    def check(self, fleet, submitted, note):
        self.assertEqual([], [n.record.vm for n in fleet.behind()], note)
        self.assertTrue(all(n.ready() and n.fresh() for n in fleet.live()), note)
        for node in [*fleet.ended, *fleet.nodes.values()]:
            self.assertEqual(node.revisions, sorted(set(node.revisions)), note)
        for uid in submitted:
            status = json.loads(fleet.memory.objects[proposal_key(uid)].value)["status"]
            self.assertEqual("Published", status["phase"], note)
        self.assertEqual(len(submitted) + 1, fleet.head().revision, note)
        status = json.loads(fleet.memory.objects["status/config"].value)
        self.assertEqual("InForce", status["phase"], note)
        self.assertEqual(fleet.head().revision, status["in_force"], note)

    def test_random_faults(self):
        """Guards against a process that goes back or stays behind, a lost change
        and a wrong confirmation, under random faults that come together."""
        revisions = [run_in_virtual_time(self.scenario(seed)) for seed in range(SEEDS)]
        self.assertGreater(sum(revisions), 3 * SEEDS)


structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))

if __name__ == "__main__":
    unittest.main()
