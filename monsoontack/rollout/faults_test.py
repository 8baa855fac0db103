"""Tests of rollouts under each fault and pair of faults, with simulated time.

`ROLLOUT_SEEDS=20 make test TESTS=rollout.faults` runs more seeds of each pair.
"""

import itertools
import os
import unittest

from standins.rolloutsimulation import UID, BadVersion, RolloutSimulation

SEEDS = int(os.environ.get("ROLLOUT_SEEDS", "3"))
DEADLINE_S = 400
BAD_VERSIONS = {
    "bad_at_once": BadVersion("fails"),
    "bad_later": BadVersion("fails", after_s=150.0),
    "bad_above_load": BadVersion("fails", above_share=30.0),
    "bad_on_one_route": BadVersion("slow", route="plan"),
    "bad_slow": BadVersion("slow"),
    "bad_hangs": BadVersion("hangs"),
}


def set_cut_off(world, entry, on):
    entry.partitioned = on


def set_store_outage(world, entry, on):
    world.store.up = not on


def set_lost_answers(world, entry, on):
    world.store.lose_answers = 2 if on else 0


def set_engine_lost(world, entry, on):
    if on:
        world.fail_engine_requests()


def set_paused(world, entry, on):
    if on:
        world.pause(entry)
    entry.paused = on


def set_killed(world, entry, on):
    entry.alive = not on
    if not on:
        world.restart(entry)


def lease_holder(world):
    found = [e for e in world.entries if e.name == world.store.holder]
    return found[0] if found else world.entries[0]


FAULTS = {
    "engine_lost": (set_engine_lost, False),
    "entry_cut_off": (set_cut_off, False),
    "entry_paused": (set_paused, False),
    "entry_killed": (set_killed, False),
    "holder_cut_off": (set_cut_off, True),
    "holder_paused": (set_paused, True),
    "holder_killed": (set_killed, True),
    "outage": (set_store_outage, False),
    "answers_lost": (set_lost_answers, False),
}


class FaultSchedule:
    """Starts and ends the faults of one scenario at seeded times."""

    def __init__(self, world, names):
        self.world, self.events = world, []
        for name in names:
            if name in BAD_VERSIONS:
                world.bad_version = BAD_VERSIONS[name]
                continue
            fault, affects_holder = FAULTS[name]
            start_s = world.rng.randint(10, DEADLINE_S // 2)
            self.events.append(
                (start_s, fault, affects_holder, world.rng.randint(3, 25))
            )

    def run(self):
        active = []
        while self.world.now < DEADLINE_S + 30:
            for start_s, fault, affects_holder, duration_s in self.events:
                if start_s == self.world.now:
                    entry = (
                        lease_holder(self.world)
                        if affects_holder
                        else self.world.entries[1]
                    )
                    fault(self.world, entry, True)
                    active.append((start_s + duration_s, fault, entry))
            for item in [a for a in active if a[0] <= self.world.now]:
                active.remove(item)
                item[1](self.world, item[2], False)
            self.world.step_second()


def run(names, seed):
    world = RolloutSimulation(seed, deadline_s=DEADLINE_S)
    FaultSchedule(world, names).run()
    return world


class RolloutFaultsTest(unittest.TestCase):
    def check(self, names, seed):
        world = run(names, seed)
        where = f"{names} seed {seed}: {world.log[-1]}"
        self.assertEqual([], world.violations, where)
        bad = any(name in BAD_VERSIONS for name in names)
        self.assertEqual("rolled_back" if bad else "complete", world.phase, where)
        self.assertEqual(0.0 if bad else 100.0, world.store.share, where)
        for entry in world.entries:
            self.assertEqual(world.store.revision, entry.revision, where)

    def test_every_fault_and_pair(self):
        """Guards against failures of a rollout under any two faults.

        A good version must not be stopped or late, and a bad version must not
        complete or get requests after its stop.
        """
        names = [*BAD_VERSIONS, *FAULTS]
        pairs = [
            p
            for p in itertools.combinations(names, 2)
            if not set(p) <= set(BAD_VERSIONS)
        ]
        for chosen in [(), *((name,) for name in names), *pairs]:
            for seed in range(SEEDS):
                with self.subTest(faults=chosen, seed=seed):
                    self.check(chosen, seed)

    def test_stop_without_controller_and_store(self):
        """Guards against a stop that depends on the controller or the store."""
        for seed in range(10):
            world = RolloutSimulation(seed, deadline_s=1e6)
            world.engines = {}
            world.run(10)
            world.pause(lease_holder(world))
            world.store.up = False
            world.store.phase = "stepping"
            for entry in world.entries:
                entry.share = 25.0
            world.bad_version = BadVersion("fails")
            for _ in range(120):
                world.step_second()
                for entry in world.entries:
                    entry.store_contact_at = world.now
            running = [entry for entry in world.entries if entry.is_running]
            self.assertEqual(2, len(running))
            for entry in running:
                self.assertIn(UID, entry.guard.marks, seed)
            self.assertEqual([], world.violations)


if __name__ == "__main__":
    unittest.main()
