"""Protocols at the gateway's borders."""

from typing import Protocol

from monsoontack.core.errors import RequestError
from monsoontack.gateway.records import (
    Attempt,
    CallerRequest,
    Headers,
    RawRequest,
    ResponseHead,
)


class WireFormat(Protocol):
    """Names of callers' requests and of backend servers' answers."""

    def parse_request(self, raw: RawRequest) -> CallerRequest | RequestError:
        """Decode a request, or return why it cannot be one."""
        ...

    def encode_request_head(self, request: CallerRequest, attempt: Attempt) -> bytes:
        """Return the head of the request for a backend server."""
        ...

    def response_request_id(self, headers: Headers) -> str | None:
        """Return the id of the request that an answer belongs to, if it says so."""
        ...

    def parse_response_head(self, status: int, headers: Headers) -> ResponseHead:
        """Decode the head of an answer."""
        ...
