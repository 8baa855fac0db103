"""Reads the response head of a stream's attempt."""

from typing import TYPE_CHECKING

from monsoontack.gateway.errorbody import read_error_body
from monsoontack.gateway.outbound import FailureKind
from monsoontack.gateway.streamattempt import StreamLoss
from monsoontack.generation.continuation import AnswerHead

if TYPE_CHECKING:
    from monsoontack.gateway.streamrelay import StreamRelay


async def read_head(relay: "StreamRelay") -> StreamLoss | None:
    """Check the response head; return a loss unless it starts an event stream."""
    exchange, job, run = relay.exchange, relay.job, relay.run
    wire = run.forwarder.sender.wire
    response_head = wire.parse_response_head(exchange.status, exchange.headers)
    if response_head.not_run:
        await read_error_body(relay, is_used=False)
        return StreamLoss(
            f"not_run {response_head.status}",
            not_run=True,
            response_head=response_head,
        )
    job.may_have_run = True
    if response_head.is_unstated_refusal:
        exchange.abort()
        said = run.forwarder.sender.statement(exchange)
        return StreamLoss(
            f"status {response_head.status}, but the request may have run",
            asks_for_time=said.wait_s > 0,
        )
    if response_head.status >= 300:
        is_final = run.is_final_status(response_head.status)
        body = await read_error_body(relay, is_used=True, is_final=is_final)
        if isinstance(body, StreamLoss):
            return body
        return StreamLoss(
            str(response_head.status), response_head=response_head, body=body
        )
    if response_head.encoded or not response_head.signed:
        exchange.abort()
        return StreamLoss(str(FailureKind.MALFORMED))
    has_request_id = response_head.request_id is not None
    relay.answer.begin(
        AnswerHead(response_head.status, response_head.media_type, has_request_id)
    )
    relay.response_head = response_head
    return None
