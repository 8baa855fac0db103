"""Checks the production ledger state machine over generated orders of events."""

import unittest
from dataclasses import replace
from unittest import mock

from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from monsoontack.core.errors import RunState
from monsoontack.ledger import machine
from monsoontack.ledger.protocol import Dispatch, Phase
from specs.ledgerdriver import LedgerMachine

SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=400,
    stateful_step_count=60,
)


class LedgerMachineTest(unittest.TestCase):
    def test_properties_hold(self):
        """Guards against a violation in an event order that the fault tests miss."""
        run_state_machine_as_test(LedgerMachine, settings=SETTINGS)

    def test_dispatch_after_a_refusal_is_found(self):
        """Guards against rules that cannot reveal a dispatch after a refusal."""
        original = machine._abandon

        def broken(state, code, now, retry_after_s=None):
            state, actions = original(state, code, now, retry_after_s)
            if code == "dispatch_window_passed":
                dispatch = Dispatch(state.version, 0.0)
                return replace(state, phase=Phase.DISPATCHING), [actions[0], dispatch]
            return state, actions

        self.check_broken("_abandon", broken, "dispatch_window_passed")

    def test_lost_answer_taken_as_not_run_is_found(self):
        """Guards against rules that never lose the answer to a dispatch."""
        original = machine._dispatched

        def broken(state, result, now):
            if result.run_state is RunState.UNKNOWN:
                result = replace(result, run_state=RunState.NOT_RUN)
            return original(state, result, now)

        self.check_broken("_dispatched", broken, "answer_lost")

    def check_broken(self, name, broken, message):
        quiet_settings = settings(
            SETTINGS, print_blob=False, report_multiple_bugs=False
        )
        with mock.patch.object(machine, name, broken):
            with self.assertRaisesRegex(AssertionError, message):
                run_state_machine_as_test(LedgerMachine, settings=quiet_settings)


if __name__ == "__main__":
    unittest.main()
