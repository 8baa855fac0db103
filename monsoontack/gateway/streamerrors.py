"""Ends of streams that fail, and the errors that callers get before the first event."""

from typing import TYPE_CHECKING

from monsoontack.core.errors import RequestError, RunState
from monsoontack.gateway.errorresponse import error_response
from monsoontack.gateway.streamattempt import StreamLoss

if TYPE_CHECKING:
    from monsoontack.gateway.streamrun import StreamRun

FULL_RETRY_AFTER_S = 0.5
NO_SERVER_RETRY_AFTER_S = 0.7


def too_late_error(run: "StreamRun") -> RequestError | None:
    """Return the refusal if the deadline passes before any engine reads the prompt.

    Only the last segment counts, since shared segments may be in an engine's KV cache,
    as may the whole of a prompt that was sent before.
    """
    job, known_engines = run.job, run.forwarder.prompt_engines
    if run.segment_id in known_engines or run.position.last_id is not None:
        return None
    parts = job.request.prompt_segments
    tokens = parts[-1].tokens if parts else job.request.prompt_tokens
    if job.left_s(run.now()) >= run.stream_timeouts.min_first_event_s(tokens):
        return None
    message = "less time is left than any engine needs to read the prompt"
    return RequestError(503, "too_late", message, retry_after_s=0.0)


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


def end_failed(run: "StreamRun", loss: StreamLoss) -> None:
    """End a stream that cannot be continued."""
    job, responder = run.job, run.job.responder
    if responder.head_sent:
        job.outcome = "stream_cut"
        responder.abort()
        return
    error = run.engine_error
    if error is not None and error.response_head is not None:
        job.outcome, job.status = "engine_error", error.response_head.status
        responder.send(
            error.response_head.status, error.response_head.forwarded, error.body
        )
        return
    send_error(run, loss_error(run, loss))


def send_error(run: "StreamRun", error: RequestError) -> None:
    """Answer a stream that has not begun with an error."""
    job = run.job
    job.outcome, job.status = error.code, error.status
    job.responder.send(*error_response(error, job.request.request_id))
