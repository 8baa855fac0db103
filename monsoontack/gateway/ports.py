"""Protocols that an adapter for a platform implements for the gateway."""

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
    """Maps HTTP heads with the platform's headers to the gateway's records and back."""

    def parse_request(self, raw: RawRequest) -> CallerRequest | RequestError:
        """Parse a caller's request, or return the error that refuses it."""
        ...

    def encode_request_head(self, request: CallerRequest, attempt: Attempt) -> bytes:
        """Return the encoded head of the request to a backend server."""
        ...

    def response_request_id(self, headers: Headers) -> str | None:
        """Return the request id in the headers of a response, if there is one."""
        ...

    def stated_limit(self, headers: Headers) -> str | None:
        """Return the text of the request rate that a server states, None without one.

        The rate is in requests a second, for all entries together.
        """
        ...

    def stated_leaving(self, headers: Headers) -> str | None:
        """Return the text with which a server says that it is leaving, or None."""
        ...

    def stated_wait(self, headers: Headers) -> str | None:
        """Return the text of the time for which a server wants no requests, or None."""
        ...

    def parse_response_head(self, status: int, headers: Headers) -> ResponseHead:
        """Parse the head of a backend server's response."""
        ...
