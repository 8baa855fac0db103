"""Error responses that the gateway generates itself."""

import json

from monsoontack.core.errors import RequestError
from monsoontack.gateway.records import Headers


def error_response(error: RequestError, request_id: str) -> tuple[int, Headers, bytes]:
    """Return status, headers and JSON body of an error response."""
    document = {
        "error": {
            "code": error.code,
            "message": error.message,
            "run_state": str(error.run_state),
            "retry_after_s": error.retry_after_s,
            "request_id": request_id,
        }
    }
    headers = [(b"content-type", b"application/json")]
    if error.retry_after_s is not None:
        headers.append((b"retry-after", f"{error.retry_after_s:.2f}".encode()))
    return error.status, tuple(headers), json.dumps(document).encode()
