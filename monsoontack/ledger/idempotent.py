"""Idempotent calls, retried and hedged across backend servers."""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from monsoontack.admission.hedge import Hedging
from monsoontack.admission.retrybudget import RetryBudget
from monsoontack.core.clock import Clock
from monsoontack.core.errors import RequestError, RunState
from monsoontack.ledger.answers import refuse_found
from monsoontack.ledger.ports import Dispatcher
from monsoontack.ledger.records import DispatchResult, ServiceAnswer, ServiceCall

MAX_ATTEMPTS = 3
# No attempt starts with less than this time left.
MIN_ATTEMPT_S = 0.05
RETRY_AFTER_S = 1.0
# Statuses after which another backend server may succeed.
RETRYABLE_STATUSES = frozenset((502, 503, 504))


@dataclass(slots=True, repr=False)
class IdempotentCalls:
    """Runs idempotent calls; one instance per process."""

    dispatcher: Dispatcher
    clock: Clock
    counts: Counter
    retry_budget: RetryBudget = field(default_factory=RetryBudget)
    hedging: Hedging = field(default_factory=Hedging)

    async def run(self, call: ServiceCall) -> ServiceAnswer | RequestError:
        """Run one idempotent call, with retries while the retry budget permits.

        Each attempt goes to an untried backend server while there is one, and
        gets the remainder of the call's timeout. The first attempt is hedged. An
        attempt whose server falls silent goes on beside the next one.
        """
        deadline = self.clock.now() + call.timeout_s
        self.retry_budget.note_request()
        attempts = CallAttempts()
        tried_addresses: set[str] = set()
        try:
            await self._run_hedged(call, attempts, tried_addresses)
            for _ in range(MAX_ATTEMPTS - 1):
                if attempts.final_result() or not self._may_retry(deadline):
                    break
                limited = replace(call, timeout_s=deadline - self.clock.now())
                attempts.start(self._attempt, limited, tried_addresses)
                await attempts.wait_while_heard()
            await attempts.wait()
            result = attempts.result()
            return result.answer or dispatch_error(result, attempts.may_have_run())
        finally:
            attempts.cancel()

    def _may_retry(self, deadline: float) -> bool:
        now = self.clock.now()
        return deadline - now >= MIN_ATTEMPT_S and self.retry_budget.take(now)

    async def _dispatch(
        self, call: ServiceCall, tried_addresses: set[str]
    ) -> DispatchResult:
        return await self.dispatcher.dispatch(call, 0, 0.0, tried_addresses)

    async def _attempt(
        self, call: ServiceCall, tried_addresses: set[str]
    ) -> DispatchResult:
        self.counts["lookup.attempts"] += 1
        result = await self._dispatch(call, tried_addresses)
        if result.code == "no_server" and tried_addresses:
            tried_addresses.clear()
            result = await self._dispatch(call, tried_addresses)
        return result

    async def _run_hedged(
        self, call: ServiceCall, attempts: "CallAttempts", tried_addresses: set[str]
    ) -> None:
        """Run the first attempt, and a hedge request if it takes too long."""
        started_at = self.clock.now()
        delay_s = self.hedging.delay_s(call.service, call.idempotent)
        attempts.start(self._attempt, call, tried_addresses)
        is_late = not await attempts.wait_while_heard(delay_s)
        if is_late and self.hedging.take():
            self.counts["lookup.hedges"] += 1
            waited_s = self.clock.now() - started_at
            limited = replace(call, timeout_s=call.timeout_s - waited_s)
            attempts.start(self._dispatch, limited, tried_addresses)
        await attempts.wait_while_heard()
        self.hedging.record(call.service, self.clock.now() - started_at)


@dataclass(slots=True, repr=False)
class CallAttempts:
    """Attempts of one call in the order of their start.

    `silent` holds the attempts whose servers have fallen silent. `changed` is set when
    an attempt ends or falls silent.
    """

    tasks: list[asyncio.Task] = field(default_factory=list)
    silent: set[asyncio.Task] = field(default_factory=set)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def start(
        self, run: Callable[..., Awaitable], call: ServiceCall, tried: set[str]
    ) -> None:
        """Start an attempt with `run`, which gets the call and the tried addresses."""

        def note_silence() -> None:
            self.silent.add(task)
            self.changed.set()

        watched = replace(call, on_silence=note_silence)
        task = asyncio.ensure_future(run(watched, tried))
        task.add_done_callback(lambda ended: self.changed.set())
        self.tasks.append(task)

    async def wait_while_heard(self, timeout_s: float | None = None) -> bool:
        """Wait while an attempt runs whose server is not silent.

        Returns early once there is a final result, and False after `timeout_s`
        seconds.
        """
        return await self._wait(lambda task: task not in self.silent, timeout_s)

    async def wait(self) -> None:
        """Wait until all attempts have ended or there is a final result."""
        await self._wait(lambda task: True, None)

    async def _wait(
        self, is_awaited: Callable[[asyncio.Task], bool], timeout_s: float | None
    ) -> bool:
        try:
            async with asyncio.timeout(timeout_s):
                while self.final_result() is None and any(
                    not task.done() and is_awaited(task) for task in self.tasks
                ):
                    self.changed.clear()
                    await self.changed.wait()
        except TimeoutError:
            return False
        return True

    def final_result(self) -> DispatchResult | None:
        """Return the first result that a further attempt cannot improve."""
        return next((result for result in self._results() if is_final(result)), None)

    def result(self) -> DispatchResult:
        """Return the final result.

        If none is final, return the last one of an attempt that may have run, if any.
        """
        results = self._results()
        may_have_run = [r for r in results if r.run_state is not RunState.NOT_RUN]
        return self.final_result() or (may_have_run or results)[-1]

    def may_have_run(self) -> bool:
        """Return whether an attempt may have run the call."""
        not_run = RunState.NOT_RUN
        return any(
            not task.done() or task.result().run_state is not not_run
            for task in self.tasks
        )

    def cancel(self) -> None:
        """Give up the attempts that still run."""
        for task in self.tasks:
            task.cancel()

    def _results(self) -> list[DispatchResult]:
        return [task.result() for task in self.tasks if task.done()]


def is_final(result: DispatchResult) -> bool:
    """Return whether a further attempt cannot improve the result."""
    if result.answer is None:
        return result.run_state is RunState.RUN
    return result.answer.status not in RETRYABLE_STATUSES


def dispatch_error(result: DispatchResult, may_have_run: bool) -> RequestError:
    """Return the error of a call that no backend server answered."""
    if result.run_state is RunState.RUN:
        return refuse_found("answer_not_recorded")
    code = result.code or "answer_lost"
    run_state = RunState.UNKNOWN if may_have_run else RunState.NOT_RUN
    message = f"no backend server answered the call: {code}"
    return RequestError(503, code, message, run_state, RETRY_AFTER_S)
