"""HTTP client of a plain service, in the format of docs/platform.md."""

import aiohttp
from yarl import URL

from monsoontack.agent.backend import (
    CallOutcome,
    CallRequest,
    NoObserver,
    ResponseObserver,
)
from monsoontack.agent.enginehttp import is_refused_connection
from monsoontack.core.httpstatus import is_http_status
from monsoontack.core.sendonce import send_once

CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 1_000_000

# Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the agent sets.
DROPPED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "authorization",
        "idempotency-key",
        "x-client-account",
        "x-fence",
    }
)


class HttpService:
    """Implements `monsoontack.agent.backend.PlainService` over an aiohttp session."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")
        self.observer: ResponseObserver = NoObserver()

    async def call(self, call: CallRequest) -> CallOutcome:
        """Send one call to the service and return its result.

        The run state is `not_run` only if the request cannot have been sent: no
        connection was made, or the request is malformed. It is `unknown` if the
        response was lost or the call timed out.
        """
        timeout = aiohttp.ClientTimeout(
            total=call.timeout_s or None, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self.session.request(
                call.method,
                URL(f"{self.url}/{call.path.lstrip('/')}", encoded=True),
                headers=request_headers(call),
                data=call.body or None,
                timeout=timeout,
                allow_redirects=False,
                middlewares=() if call.idempotent else (send_once,),
            ) as response:
                if not is_http_status(response.status):
                    return CallOutcome(call.call_id, "unknown", code="answer_lost")
                self.observer.note_response(response.status, response.headers)
                return await read_outcome(call, response)
        except aiohttp.ClientConnectorError as error:
            if is_refused_connection(error):
                self.observer.note_refused_connection()
            return CallOutcome(call.call_id, "not_run", code="backend_unreachable")
        except aiohttp.ConnectionTimeoutError:
            return CallOutcome(call.call_id, "not_run", code="backend_unreachable")
        except TimeoutError:
            return CallOutcome(call.call_id, "unknown", code="timeout")
        except (aiohttp.ClientError, OSError):
            return CallOutcome(call.call_id, "unknown", code="answer_lost")
        except ValueError:
            return CallOutcome(call.call_id, "not_run", code="malformed_request")


def request_headers(call: CallRequest) -> list[tuple[str, str]]:
    """Return the headers of the request to the service."""
    headers = [
        (name, value)
        for name, value in call.headers
        if name.lower() not in DROPPED_HEADERS
    ]
    headers.append(("X-Client-Account", call.account))
    if not call.idempotent:
        headers.append(("Idempotency-Key", call.key))
        headers.append(("X-Fence", str(call.fence)))
    return headers


async def read_outcome(
    call: CallRequest, response: aiohttp.ClientResponse
) -> CallOutcome:
    """Read the body of a response and return the result of the call."""
    body = await response.content.read(MAX_RESPONSE_BYTES + 1)
    while len(body) <= MAX_RESPONSE_BYTES and not response.content.at_eof():
        more = await response.content.read(MAX_RESPONSE_BYTES + 1 - len(body))
        if not more:
            break
        body += more
    if len(body) > MAX_RESPONSE_BYTES:
        return CallOutcome(call.call_id, "run", 502, code="answer_too_large")
    if response.status == 409 and b'"fenced"' in body and not call.idempotent:
        # An earlier dispatch with this or a higher fencing number may have run.
        return CallOutcome(call.call_id, "unknown", 409, code="fenced")
    headers = tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in DROPPED_HEADERS and name.lower() != "content-encoding"
    )
    return CallOutcome(call.call_id, "run", response.status, headers, body)
