"""Idempotent calls: retried and hedged on several backend servers."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field, replace

from monsoontack.admission.hedge import Hedging
from monsoontack.admission.retrybudget import RetryBudget
from monsoontack.core.clock import Clock
from monsoontack.core.errors import RequestError, RunState
from monsoontack.ledger.answers import refuse_found
from monsoontack.ledger.ports import Dispatcher
from monsoontack.ledger.records import DispatchResult, ServiceAnswer, ServiceCall

MAX_ATTEMPTS = 3
# An attempt that cannot be answered in this time is not begun.
MIN_ATTEMPT_S = 0.05
RETRY_AFTER_S = 1.0
# Answers by which a service says that another server may do better.
RETRIED_STATUS = frozenset((502, 503, 504))


@dataclass(slots=True)
class IdempotentCalls:
    """Runs idempotent calls; one per process."""

    dispatcher: Dispatcher
    clock: Clock
    counts: Counter
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    hedging: Hedging = field(default_factory=Hedging)

    async def run(self, call: ServiceCall) -> ServiceAnswer | RequestError:
        """Run one idempotent call, repeated while the retry budget permits.

        Each attempt goes to a backend server that was not asked before, as
        long as there is one, and has the rest of the call's timeout. The first
        attempt is hedged.
        """
        deadline = self.clock.now() + call.timeout_s
        self.retry_budget.note_request()
        tried_addresses: set[str] = set()
        result = await self._hedged(call, tried_addresses)
        may_have_run = result.run_state is not RunState.NOT_RUN
        for _ in range(MAX_ATTEMPTS - 1):
            if is_final(result) or not self._may_retry(deadline):
                break
            limited = replace(call, timeout_s=deadline - self.clock.now())
            result = await self._attempt(limited, tried_addresses)
            may_have_run = may_have_run or result.run_state is not RunState.NOT_RUN
        return result.answer or refusal(result, may_have_run)

    def _may_retry(self, deadline: float) -> bool:
        now = self.clock.now()
        return deadline - now >= MIN_ATTEMPT_S and self.retry_budget.take(now)

    async def _attempt(
        self, call: ServiceCall, tried_addresses: set[str]
    ) -> DispatchResult:
        self.counts["lookup.attempts"] += 1
        result = await self.dispatcher.dispatch(call, 0, 0.0, tried_addresses)
        if result.code == "no_server" and tried_addresses:
            tried_addresses.clear()
            result = await self.dispatcher.dispatch(call, 0, 0.0, tried_addresses)
        return result

    async def _hedged(
        self, call: ServiceCall, tried_addresses: set[str]
    ) -> DispatchResult:
        """Run the first attempt, and a second copy if it is late."""
        started_at = self.clock.now()
        delay_s = self.hedging.delay_s(call.service, call.idempotent)
        copies = {asyncio.ensure_future(self._attempt(call, tried_addresses))}
        try:
            done, _ = await asyncio.wait(copies, timeout=delay_s)
            if not done and self.hedging.take():
                self.counts["lookup.hedges"] += 1
                waited_s = self.clock.now() - started_at
                limited = replace(call, timeout_s=call.timeout_s - waited_s)
                second = self.dispatcher.dispatch(limited, 0, 0.0, tried_addresses)
                copies.add(asyncio.ensure_future(second))
            result = await first_final(copies)
        finally:
            for copy in copies:
                copy.cancel()
        self.hedging.record(call.service, self.clock.now() - started_at)
        return result


def is_final(result: DispatchResult) -> bool:
    """Whether a further attempt is of no use."""
    if result.answer is None:
        return result.run_state is RunState.RUN
    return result.answer.status not in RETRIED_STATUS


async def first_final(copies: set[asyncio.Future]) -> DispatchResult:
    """Return the first final result, the last one if there is none."""
    waiting = set(copies)
    while True:
        done, waiting = await asyncio.wait(waiting, return_when="FIRST_COMPLETED")
        results = [task.result() for task in done]
        final = [result for result in results if is_final(result)]
        if final or not waiting:
            return (final or results)[0]


def refusal(result: DispatchResult, may_have_run: bool) -> RequestError:
    """Return the error of a call that no backend server answered."""
    if result.run_state is RunState.RUN:
        return refuse_found("answer_not_recorded")
    code = result.code or "answer_lost"
    run_state = RunState.UNKNOWN if may_have_run else RunState.NOT_RUN
    message = f"no backend server answered the call: {code}"
    return RequestError(503, code, message, run_state, RETRY_AFTER_S)
