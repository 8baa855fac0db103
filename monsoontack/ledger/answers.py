"""Errors that callers of non-idempotent calls receive.

`not_run` speaks of the refused request only: an earlier request with the same
key may have run, and a retry with that key finds out.
"""

from monsoontack.core.errors import RequestError, RunState

ABANDONED_RETRY_S = 1.0
NOT_RUN_MESSAGES = {
    "store_unavailable": "the call record cannot be written now",
    "store_down": "the call records cannot be written now",
    "claim_not_confirmed": "the call record could not be confirmed in time",
    "dispatch_window_passed": "the entry was too slow to dispatch the call",
    "write_budget": "the entry's budget of call record writes is used up",
    "ledger_backlog": "too many call records wait to be settled",
    "no_server": "no backend server takes the call now",
}
FOUND_RECORD_ERRORS = {
    "key_reused": (
        422,
        RunState.NOT_RUN,
        "the Idempotency-Key was used for another request",
    ),
    "call_in_progress": (
        409,
        RunState.UNKNOWN,
        "an earlier request with this Idempotency-Key is in progress",
    ),
    "outcome_unknown": (
        409,
        RunState.UNKNOWN,
        "an earlier request with this Idempotency-Key may have run",
    ),
    "answer_not_recorded": (
        409,
        RunState.RUN,
        "the call has run; its answer was too large to keep",
    ),
}


def refuse_not_run(code: str, retry_after_s: float | None) -> RequestError:
    """Return the error of a request that was surely not run."""
    cause = NOT_RUN_MESSAGES.get(code, f"the backend server refused: {code}")
    message = f"this request was not run: {cause}; retry with the same key"
    return RequestError(503, code, message, RunState.NOT_RUN, retry_after_s)


def refuse_unknown(code: str) -> RequestError:
    """Return the error of a request that may have run and is not repeated."""
    message = f"the call may have run ({code}); it is not repeated"
    return RequestError(504, code, message, RunState.UNKNOWN)


def refuse_found(code: str, retry_after_s: float | None = None) -> RequestError:
    """Return the error for what an earlier request with the key left."""
    status, run_state, message = FOUND_RECORD_ERRORS[code]
    return RequestError(status, code, message, run_state, retry_after_s)
