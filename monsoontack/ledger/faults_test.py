"""Fault injection tests of the ledger: each fault of the design and all pairs.

To run more seeds: `LEDGER_SEEDS=200 make test TESTS=ledger.faults`.
"""

import itertools
import os
import unittest
from dataclasses import fields, replace
from unittest import mock

from monsoontack.core.errors import RunState
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.ledger import machine
from monsoontack.ledger.records import RecordState
from monsoontack.store.faulty import FaultRates
from standins.ledgersimulation import LedgerFaults, LedgerSimulation

SEEDS = int(os.environ.get("LEDGER_SEEDS", "4"))

FAULTS = {
    "service dies": LedgerFaults(down=0.4),
    "service pauses": LedgerFaults(slow=0.3),
    "agent dies": LedgerFaults(answer_lost=0.2, request_lost=0.1, restarts=3),
    "connection silent": LedgerFaults(request_late=0.4),
    "service answer lost": LedgerFaults(answer_lost=0.4),
    "entry dies": LedgerFaults(kills=6),
    "entry pauses": LedgerFaults(store=FaultRates(stalled=0.3)),
    "dispatcher paused": LedgerFaults(held=0.4),
    "store down": LedgerFaults(outages=3),
    "store refuses": LedgerFaults(store=FaultRates(refused=0.3)),
    "store answer lost": LedgerFaults(store=FaultRates(answer_lost=0.4)),
    "store request lost": LedgerFaults(store=FaultRates(request_lost=0.4)),
    "store request delayed": LedgerFaults(store=FaultRates(delayed=0.4)),
    "VM replaced": LedgerFaults(refused=0.3, kills=2, restarts=1),
}


def merge(first, second):
    """Return the faults of both arguments; the larger value wins for each fault."""
    values = {}
    for item in fields(first):
        value, other = getattr(first, item.name), getattr(second, item.name)
        is_nested = isinstance(value, FaultRates)
        values[item.name] = merge(value, other) if is_nested else max(value, other)
    return type(first)(**values)


class LedgerFaultsTest(unittest.TestCase):
    def run_worlds(self, scenarios):
        total = 0
        for number, (name, faults) in enumerate(scenarios):
            for seed in range(SEEDS):
                world = LedgerSimulation(number * 100_000 + seed, replace(faults))
                found = run_in_virtual_time(world.run())
                self.assertEqual([], found, f"{name}, seed {world.seed}")
                self.assertGreater(world.counts["dispatches"], 0, name)
                total += 1
        return total

    def test_each_fault(self):
        """Guards against a call that runs twice and a false not_run."""
        self.run_worlds(FAULTS.items())

    def test_pairs_of_faults(self):
        """Guards against faults that break the protocol only in combination."""
        pairs = itertools.combinations(FAULTS.items(), 2)
        self.run_worlds([(f"{a} + {b}", merge(x, y)) for (a, x), (b, y) in pairs])

    def test_all_faults_at_once(self):
        """Guards against event orders that no pair of faults produces."""
        everything = LedgerFaults()
        for faults in FAULTS.values():
            everything = merge(everything, faults)
        self.run_worlds([("all", everything)] * 5)

    def find_violations(self, faults, name, broken):
        """Run worlds with one function of the state machine replaced by a broken one.

        Returns the kinds of violations found.
        """
        found = set()
        with mock.patch.object(machine, name, broken):
            for seed in range(40):
                violations = run_in_virtual_time(
                    LedgerSimulation(seed, replace(faults)).run()
                )
                found |= {violation.kind for violation in violations}
        return found

    def test_lost_answer_taken_as_not_run_is_found(self):
        """Guards against checks that miss a call that ran twice."""
        original = machine._dispatched

        def broken(state, result, now):
            if result.run_state is RunState.UNKNOWN:
                result = replace(result, run_state=RunState.NOT_RUN)
            return original(state, result, now)

        found = self.find_violations(
            FAULTS["service answer lost"], "_dispatched", broken
        )
        self.assertTrue("run_twice" in found, found)
        self.assertTrue("false_not_run" in found, found)

    def test_overdue_claim_taken_as_not_run_is_found(self):
        """Guards against checks that miss a running call recorded as not run."""
        original = machine.replace

        def broken(record, /, **changes):
            if changes.get("state") is RecordState.UNKNOWN:
                changes["state"] = RecordState.NOT_RUN
            return original(record, **changes)

        faults = merge(FAULTS["entry dies"], FAULTS["service pauses"])
        found = self.find_violations(faults, "replace", broken)
        self.assertTrue("wrong_record" in found, found)


if __name__ == "__main__":
    unittest.main()
