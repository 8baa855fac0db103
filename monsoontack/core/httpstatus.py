"""Statuses that an HTTP response can have (RFC 9110, section 15)."""

FIRST_STATUS = 100
LAST_STATUS = 599
# Statuses from this one on are errors, which a server may send without the request.
FIRST_ERROR_STATUS = 400


def is_http_status(status: int) -> bool:
    """Whether a response may have this status; others come from a broken server."""
    return FIRST_STATUS <= status <= LAST_STATUS
