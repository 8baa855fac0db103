"""Idempotent calls: tried on several backend servers within one timeout."""

from collections import Counter
from dataclasses import replace

from monsoontack.core.clock import Clock
from monsoontack.core.errors import RequestError, RunState
from monsoontack.ledger.answers import refuse_found
from monsoontack.ledger.ports import Dispatcher, RetryBudget
from monsoontack.ledger.records import DispatchResult, ServiceAnswer, ServiceCall

MAX_ATTEMPTS = 3
# An attempt that cannot be answered in this time is not begun.
MIN_ATTEMPT_S = 0.05
RETRY_AFTER_S = 1.0
# Answers by which a service says that another server may do better.
RETRIED_STATUS = frozenset((502, 503, 504))


async def run_idempotent(
    call: ServiceCall,
    dispatcher: Dispatcher,
    retry_budget: RetryBudget,
    clock: Clock,
    counts: Counter,
) -> ServiceAnswer | RequestError:
    """Run one idempotent call, repeated while the retry budget permits.

    Each attempt goes to a backend server that was not asked before, as long as
    there is one, and has the rest of the call's timeout.
    """
    deadline = clock.now() + call.timeout_s
    retry_budget.record_request(clock.now())
    excluded: frozenset[str] = frozenset()
    may_have_run = False
    for attempt in range(1, MAX_ATTEMPTS + 1):
        counts["lookup.attempts"] += 1
        limited = replace(call, timeout_s=deadline - clock.now())
        result = await dispatcher.dispatch(limited, 0, 0.0, excluded)
        if result.code == "no_server" and excluded:
            excluded = frozenset()
            result = await dispatcher.dispatch(limited, 0, 0.0, excluded)
        if _is_final(result):
            return result.answer
        if result.run_state is RunState.RUN and result.answer is None:
            return refuse_found("answer_not_recorded")
        may_have_run = may_have_run or result.run_state is not RunState.NOT_RUN
        excluded |= {result.address} - {""}
        late = deadline - clock.now() < MIN_ATTEMPT_S
        if attempt == MAX_ATTEMPTS or late or not retry_budget.take_retry(clock.now()):
            break
    return result.answer or _refusal(result, may_have_run)


def _is_final(result: DispatchResult) -> bool:
    return result.answer is not None and result.answer.status not in RETRIED_STATUS


def _refusal(result: DispatchResult, may_have_run: bool) -> RequestError:
    code = result.code or "answer_lost"
    run_state = RunState.UNKNOWN if may_have_run else RunState.NOT_RUN
    message = f"no backend server answered the call: {code}"
    return RequestError(503, code, message, run_state, RETRY_AFTER_S)
