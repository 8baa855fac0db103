"""How one send of a call ended, and what that means for the call."""

from dataclasses import dataclass

from monsoontack.gateway.fleet import Member
from monsoontack.gateway.job import Try
from monsoontack.gateway.outbound import ExchangeFailure, HttpExchange
from monsoontack.gateway.records import ResponseHead


@dataclass(slots=True)
class CallResult:
    """How one send of a call ended.

    `answer` is the head of a whole answer with its `body`. `large` is the
    exchange of an answer that is too long to be held.
    """

    member: Member
    record: Try
    answer: ResponseHead | None = None
    body: bytes = b""
    failure: ExchangeFailure | None = None
    large: HttpExchange | None = None

    @property
    def is_not_run(self) -> bool:
        """Whether the call surely did not run."""
        if self.failure is not None:
            return not self.failure.maybe_sent
        return self.answer is not None and self.answer.not_run

    @property
    def is_fault(self) -> bool:
        """Whether the send speaks against the version of its server."""
        return not self.is_good and not self.is_not_run

    @property
    def is_good(self) -> bool:
        """Whether the answer should go to the caller without a further try."""
        if self.large is not None:
            return True
        answer = self.answer
        return answer is not None and not answer.not_run and answer.status < 500


def describe(result: CallResult) -> str:
    """Return the result of a send in a word, for logs."""
    if result.failure is not None:
        return str(result.failure.kind)
    if result.large is not None:
        return "long"
    if result.answer.not_run:
        return f"not_run {result.answer.status}"
    return str(result.answer.status)
