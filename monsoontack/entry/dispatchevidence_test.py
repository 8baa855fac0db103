"""Tests of what the results of calls count for."""

import random
import unittest
from types import SimpleNamespace

from monsoontack.core.errors import RunState
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.entry.dispatch import LinkDispatcher
from monsoontack.ledger.records import DispatchResult, ServiceAnswer


class EvidenceTest(unittest.TestCase):
    def recorded(self, *results):
        """Return which results count as failures, None for those that do not count."""

        async def scenario():
            found = []
            picker = SimpleNamespace(record=lambda address, failed, now: None)
            outcomes = SimpleNamespace(record=lambda o: found.append(o.failed))
            dispatcher = LinkDispatcher(
                None, picker, outcomes, lambda: None, random.Random(1)
            )
            for result in results:
                before = len(found)
                dispatcher._record_outcome("s", "v1", result, 0.0)
                if len(found) == before:
                    found.append(None)
            return found

        return run_in_virtual_time(scenario())

    def test_server_that_leaves_or_asks_for_time_has_not_failed(self):
        """Guards against ejections and versions judged bad for what servers say."""
        wait = (("Retry-After", "3"),)
        self.assertEqual(
            [None, None, None],
            self.recorded(
                DispatchResult(RunState.NOT_RUN, code="leaving"),
                DispatchResult(RunState.NOT_RUN, code="waiting"),
                DispatchResult(RunState.RUN, ServiceAnswer(503, wait, b"")),
            ),
        )

    def test_other_results_count(self):
        """Guards against failures that a header or a refusal hides."""
        wait, odd = (("Retry-After", "3"),), (("Retry-After", "soon"),)
        self.assertEqual(
            [True, True, True, False],
            self.recorded(
                DispatchResult(RunState.NOT_RUN, code="backend_unreachable"),
                DispatchResult(RunState.RUN, ServiceAnswer(500, wait, b"")),
                DispatchResult(RunState.RUN, ServiceAnswer(503, odd, b"")),
                DispatchResult(RunState.RUN, ServiceAnswer(200, wait, b"")),
            ),
        )


if __name__ == "__main__":
    unittest.main()
