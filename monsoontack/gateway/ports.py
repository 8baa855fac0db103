"""Protocols at the gateway's borders."""

from typing import Protocol

from monsoontack.core.errors import RequestError
from monsoontack.gateway.records import (
    AnswerHead,
    Attempt,
    CallerRequest,
    Headers,
    RawRequest,
)


class WireFormat(Protocol):
    """Names of callers' requests and of backend servers' answers."""

    def read_request(self, raw: RawRequest) -> CallerRequest | RequestError:
        """Decode a request, or return why it cannot be one."""
        ...

    def write_attempt(self, request: CallerRequest, attempt: Attempt) -> bytes:
        """Return the head of the request for a backend server."""
        ...

    def answer_id(self, headers: Headers) -> str | None:
        """Return the id of the request that an answer belongs to, if it says so."""
        ...

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Decode the head of an answer."""
        ...
