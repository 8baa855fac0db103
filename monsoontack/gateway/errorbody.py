"""Reads the body of an engine's error response, which the caller may get."""

from typing import TYPE_CHECKING

from monsoontack.gateway.outbound import FailureKind
from monsoontack.gateway.streamattempt import StreamLoss
from monsoontack.gateway.streammove import MOVE_CHECK_INTERVAL_S, why_stay
from monsoontack.inbound.responder import CallerDisconnectedError

if TYPE_CHECKING:
    from monsoontack.gateway.streamrelay import StreamRelay

# Interval of the checks for a stalled body.
BODY_POLL_S = 0.1
# Wait for the body before another engine is considered.
ERROR_BODY_TIMEOUT_S = 1.0
# Limit on the size of the body, which is buffered for the caller.
MAX_ERROR_BYTES = 65_536


async def read_error_body(
    relay: "StreamRelay", is_used: bool, is_final: bool = False
) -> bytes | StreamLoss:
    """Return the body of an error response, or the loss if it is incomplete.

    `is_used` is set if the caller may get it, `is_final` if no other engine is asked.
    """
    exchange, run, job = relay.exchange, relay.run, relay.job
    parts, size = [], 0
    timeout_s = job.left_s(run.now()) if is_final else ERROR_BODY_TIMEOUT_S
    silent_since = run.now() + timeout_s
    until = min(silent_since, job.deadline_at)
    while not exchange.is_finished or exchange.parts:
        await exchange.wait(min(until - run.now(), BODY_POLL_S))
        if job.responder.is_disconnected:
            raise CallerDisconnectedError
        parts.append(exchange.take_body())
        size += len(parts[-1])
        if size > MAX_ERROR_BYTES:
            exchange.abort()
        elif run.now() >= until and not exchange.is_finished:
            if not is_used or job.left_s(run.now()) <= 0:
                exchange.abort()
                continue
            waits_for = why_stay(run, relay.member, relay.backup, 0, silent_since)
            if waits_for is None:
                exchange.abort()
                reason = f"{FailureKind.SILENT}: inside the body of {exchange.status}"
                return StreamLoss(reason, is_silent=True)
            relay.note_wait("stalled body of an error", waits_for)
            until = min(until + MOVE_CHECK_INTERVAL_S, job.deadline_at)
    if exchange.failure is not None:
        return StreamLoss(str(exchange.failure))
    return b"".join(parts)
