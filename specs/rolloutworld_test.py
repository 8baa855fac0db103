"""Drives the real guards and controllers against the properties of the model."""

import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from standins.rolloutsimulation import BadVersion, RolloutSimulation

ENTRIES = st.integers(0, 2)


class RolloutMachine(RuleBasedStateMachine):
    """Faults in any order; the world's own checks are those of the model."""

    def __init__(self):
        super().__init__()
        self.world = RolloutSimulation(1, deadline_s=300.0)

    @rule(seconds=st.integers(1, 40))
    def wait(self, seconds):
        self.world.run(seconds)

    @rule(
        bad_version=st.sampled_from(
            [BadVersion("fails"), BadVersion("slow"), BadVersion()]
        )
    )
    def change_version(self, bad_version):
        self.world.bad_version = bad_version

    @rule(index=ENTRIES)
    def pause(self, index):
        if not self.world.entries[index].paused:
            self.world.pause(self.world.entries[index])

    @rule(index=ENTRIES)
    def wake(self, index):
        self.world.entries[index].paused = False

    @rule(index=ENTRIES, partitioned=st.booleans())
    def cut(self, index, partitioned):
        self.world.entries[index].partitioned = partitioned

    @rule(index=ENTRIES)
    def restart(self, index):
        self.world.restart(self.world.entries[index])

    @rule(up=st.booleans())
    def outage(self, up):
        self.world.store.up = up

    @rule()
    def lose_answers(self):
        self.world.store.lose_answers = 2

    @rule()
    def expire_lease(self):
        self.world.store.renewed_at = -100.0

    @invariant()
    def properties_hold(self):
        assert not self.world.violations, self.world.violations


RolloutMachine.TestCase.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)


class RolloutPropertiesTest(RolloutMachine.TestCase):
    """Guards against the model's violations in the product's own machines."""


if __name__ == "__main__":
    unittest.main()
