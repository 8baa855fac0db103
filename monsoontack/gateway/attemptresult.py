"""Result of one attempt of a call to a plain service."""

from dataclasses import dataclass

from monsoontack.admission.serverstatement import MISDIRECTED_STATUS
from monsoontack.gateway.fleet import Member
from monsoontack.gateway.job import AttemptRecord
from monsoontack.gateway.outbound import ExchangeFailure, HttpExchange
from monsoontack.gateway.records import ResponseHead


@dataclass(slots=True, repr=False)
class AttemptResult:
    """Result of one attempt of a call.

    `response_head` and `body` hold a complete response. For a response that is too
    long to buffer, `streaming_exchange` is its unfinished exchange and `body` the part
    that has arrived. `asks_for_time` is set if the server refused the call and asked
    for time, even if the call may have run.
    """

    member: Member
    record: AttemptRecord
    response_head: ResponseHead | None = None
    body: bytes = b""
    failure: ExchangeFailure | None = None
    streaming_exchange: HttpExchange | None = None
    asks_for_time: bool = False

    @property
    def is_not_run(self) -> bool:
        """Whether the server certainly did not run the call."""
        if self.failure is not None:
            return not self.failure.maybe_sent
        return self.response_head is not None and self.response_head.not_run

    @property
    def is_misdirected(self) -> bool:
        """Whether another server has the address, so that this one got no call."""
        head = self.response_head
        return head is not None and head.not_run and head.status == MISDIRECTED_STATUS

    @property
    def is_failure(self) -> bool:
        """Whether the attempt counts as a failure of the server's version."""
        return not (self.is_success or self.is_not_run or self.asks_for_time)

    @property
    def is_success(self) -> bool:
        """Whether the response goes to the caller without another attempt."""
        if self.streaming_exchange is not None:
            return True
        response_head = self.response_head
        return (
            response_head is not None
            and not response_head.not_run
            and response_head.status < 500
        )


def result_label(result: AttemptResult) -> str:
    """Return the result of an attempt as a short label for logs and metrics."""
    if result.failure is not None:
        return str(result.failure.kind)
    if result.streaming_exchange is not None:
        return "long"
    if result.response_head.not_run:
        return f"not_run {result.response_head.status}"
    return str(result.response_head.status)
