"""Errors that callers get for streams that ended before their first event."""

from typing import TYPE_CHECKING

from monsoontack.core.errors import RequestError, RunState
from monsoontack.gateway.streamattempt import StreamLoss

if TYPE_CHECKING:
    from monsoontack.gateway.streamrun import StreamRun

FULL_RETRY_AFTER_S = 0.5
NO_SERVER_RETRY_AFTER_S = 0.7


def loss_error(run: "StreamRun", loss: StreamLoss) -> RequestError:
    """Return the error for a stream of which the caller has got nothing."""
    job = run.job
    if job.left_s(run.now()) <= 0:
        return job.timeout_error()
    if run.is_blocked():
        if job.may_have_run:
            return run.guard.crash_error(job.content)
        return run.guard.refusal(job.content, run.now())
    if job.may_have_run:
        message = f"every engine broke off: {loss.reason}"
        return RequestError(502, "backend_failed", message, RunState.UNKNOWN)
    limited = run.forwarder.sender.gate.refusal(job.service, run.now())
    if limited is not None:
        return limited
    if loss.unsent:
        message = f"no engine of {job.service!r} can be reached"
        empty_retry_s = run.forwarder.fleet.empty_retry_s(job.service, run.now())
        retry_after_s = empty_retry_s or NO_SERVER_RETRY_AFTER_S
        return RequestError(
            503, "no_backend_server", message, retry_after_s=retry_after_s
        )
    message = f"the engines of {job.service!r} are full"
    return RequestError(503, "full", message, retry_after_s=FULL_RETRY_AFTER_S)
