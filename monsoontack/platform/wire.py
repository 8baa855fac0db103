"""Headers of callers' requests and of backend servers' responses.

All header names of the platform are defined here. Headers that a caller may not set are
dropped before a request is forwarded to a backend server.
"""

from monsoontack.core.boundedid import bounded_id
from monsoontack.core.errors import RequestError
from monsoontack.gateway.records import (
    Attempt,
    CallerRequest,
    Headers,
    PromptSegment,
    RawRequest,
    ResponseHead,
)

REQUEST_ID = b"x-monsoontack-request-id"
DEADLINE_MS = b"x-monsoontack-deadline-ms"
# Number of prompt tokens and maximum number of output tokens, separated by a comma.
TOKEN_USAGE = b"x-monsoontack-token-usage"
LENGTH_HINT = b"x-monsoontack-length-hint"
# Leading segments of the prompt as ID:TOKENS, separated by commas.
PROMPT_SEGMENTS = b"x-monsoontack-prefix-hash"
MODEL = b"x-monsoontack-model"
LAST_EVENT_ID = b"last-event-id"
AUTHORIZATION = b"authorization"
KEY_SCHEME = "token "
# Signature of the server that produced a response.
SIGNATURE = b"x-monsoontack-origin-stamp"
CLIENT_ACCOUNT = b"x-monsoontack-tenant"
EXPECT_INSTANCE = b"x-monsoontack-expect-instance"
EXPECT_VERSION = b"x-monsoontack-expect-version"
# Response header of a server that has not run the request and will not run it.
NOT_RUN = b"x-monsoontack-not-executed"
PRIORITY = b"x-monsoontack-request-priority"
# Requests a second that a server in need takes from all entries together.
SERVER_LIMIT = b"server-limit"
# Seconds for which a server that refuses with 503 wants no requests.
RETRY_AFTER = b"retry-after"
# "1" in the responses of a server that is leaving.
SERVER_LEAVING = b"server-leaving"
# Address of the engine that receives a continuous copy of a request's KV cache.
KV_BACKUP = b"x-monsoontack-kv-backup"
# ADDRESS/HANDLE of the KV cache copy from which a request resumes.
KV_FROM = b"kv-from"
# KV cache headers of the platform that the gateway only removes from requests.
KV_FETCH = b"kv-fetch"
RETAIN = b"x-monsoontack-retain"
PIN_MS = b"x-monsoontack-pin-ms"

# Headers that apply to one connection only.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
# Headers that only the gateway sets.
SYSTEM_HEADERS = frozenset(
    (
        CLIENT_ACCOUNT,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        NOT_RUN,
        PRIORITY,
        KV_BACKUP,
        KV_FROM,
        KV_FETCH,
        RETAIN,
        PIN_MS,
        DEADLINE_MS,
        LAST_EVENT_ID,
        AUTHORIZATION,
    )
)
# Headers that are forwarded even if the caller's `Connection` header lists them.
PROTECTED_HEADERS = frozenset(
    (b"host", REQUEST_ID, MODEL, TOKEN_USAGE, PROMPT_SEGMENTS)
)
# Headers that may occur at most once in a request.
SINGLE_VALUE_HEADERS = (
    REQUEST_ID,
    DEADLINE_MS,
    TOKEN_USAGE,
    LENGTH_HINT,
    PROMPT_SEGMENTS,
    MODEL,
    LAST_EVENT_ID,
    AUTHORIZATION,
)
# Status of a server that has not run the request. With any other status, the header
# `NOT_RUN` states the same.
MISDIRECTED_STATUS = 421
RESPONSE_HOP_BY_HOP_HEADERS = HOP_BY_HOP_HEADERS - {b"expect"}
MAX_DEADLINE_MS = 86_400_000
# Upper bound of the tokens of a request, far above the memory of an engine.
MAX_TOKENS = 1_000_000_000


class PlatformWireFormat:
    """The platform's `WireFormat`."""

    def parse_request(self, raw: RawRequest) -> CallerRequest | RequestError:
        """Return the decoded request of a caller, or the error for a malformed one."""
        found, repeated = _read_single_value_headers(raw.headers)
        if repeated:
            return _bad_request(f"repeated header {repeated}")
        if not raw.target.startswith(b"/"):
            return _bad_request("the target has to be a path")
        request_id = found.get(REQUEST_ID, "")
        if not request_id:
            return _bad_request("request without an id")
        try:
            deadline_s = _parse_deadline_s(found.get(DEADLINE_MS))
            prompt, output = _parse_token_usage(found.get(TOKEN_USAGE))
            segments = _parse_prompt_segments(found.get(PROMPT_SEGMENTS))
            hint = min(max(int(found.get(LENGTH_HINT) or 0), 0), MAX_TOKENS)
        except ValueError as error:
            return _bad_request(f"malformed header: {error}")
        target = raw.target.decode("latin-1")
        return CallerRequest(
            raw=raw,
            request_id=request_id,
            host=_parse_host(raw.headers),
            path=target.split("?", 1)[0],
            forwarded=_forwarded_headers(raw.headers),
            deadline_s=deadline_s,
            key=_parse_key(found.get(AUTHORIZATION)),
            prompt_tokens=prompt,
            max_output_tokens=output,
            expected_output_tokens=hint,
            prompt_segments=segments,
            last_event_id=found.get(LAST_EVENT_ID),
        )

    def encode_request_head(self, request: CallerRequest, attempt: Attempt) -> bytes:
        """Return the request line and headers for a backend server."""
        raw = request.raw
        lines = [raw.method + b" " + raw.target + b" HTTP/1.1"]
        lines += [name + b": " + value for name, value in request.forwarded]
        left_ms = max(int(attempt.left_s * 1000), 1)
        lines.append(DEADLINE_MS + b": %d" % left_ms)
        if attempt.server.incarnation:
            lines.append(EXPECT_INSTANCE + b": " + attempt.server.incarnation.encode())
        lines += _optional_header_lines(attempt)
        if raw.body or raw.method not in (b"GET", b"HEAD"):
            lines.append(b"content-length: %d" % len(raw.body))
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def response_request_id(self, headers: Headers) -> str | None:
        """Return the id of the request that a response belongs to."""
        return _find_header(headers, REQUEST_ID)

    def parse_response_head(self, status: int, headers: Headers) -> ResponseHead:
        """Decode the status and headers of a response."""
        not_run = (
            status == MISDIRECTED_STATUS or _find_header(headers, NOT_RUN) is not None
        )
        encoding = _find_header(headers, b"content-encoding")
        return ResponseHead(
            status=status,
            request_id=_find_header(headers, REQUEST_ID),
            not_run=not_run,
            signed=_find_header(headers, SIGNATURE) is not None,
            encoded=encoding is not None and encoding.lower() != "identity",
            forwarded=tuple(
                (name, value)
                for name, value in headers
                if name not in RESPONSE_HOP_BY_HOP_HEADERS and name != NOT_RUN
            ),
            keep_alive_s=keep_alive_s(headers),
        )

    def stated_limit(self, headers: Headers) -> str | None:
        """Return the limit that a server states in a response, as it is written."""
        return _find_header(headers, SERVER_LIMIT)

    def stated_leaving(self, headers: Headers) -> str | None:
        """Return the text with which a server says that it is leaving."""
        return _find_header(headers, SERVER_LEAVING)

    def stated_wait(self, headers: Headers) -> str | None:
        """Return the text of the time for which a server wants no requests."""
        return _find_header(headers, RETRY_AFTER)


def keep_alive_s(headers: Headers) -> float | None:
    """Return the server's idle timeout from `Keep-Alive`, None if it gives none."""
    value = _find_header(headers, b"keep-alive")
    for item in (value or "").split(","):
        name, _, number = item.strip().partition("=")
        if name.strip().lower() == "timeout":
            try:
                return float(number)
            except ValueError:
                return None
    return None


def _optional_header_lines(attempt: Attempt) -> list[bytes]:
    """Return the header lines that are present only in some attempts."""
    lines = []
    if attempt.account is not None:
        lines.append(CLIENT_ACCOUNT + b": " + attempt.account.encode())
    if attempt.priority is not None:
        lines.append(PRIORITY + b": %d" % max(0, min(attempt.priority, 9)))
    if attempt.backup is not None:
        lines.append(KV_BACKUP + b": " + attempt.backup.encode())
    if attempt.copy is not None:
        source = f"{attempt.copy.address}/{attempt.copy.handle}"
        lines.append(KV_FROM + b": " + source.encode())
    if attempt.last_event_id is not None:
        lines.append(LAST_EVENT_ID + b": " + attempt.last_event_id.encode("latin-1"))
    return lines


def _bad_request(message: str) -> RequestError:
    return RequestError(400, "invalid_request", message)


def _read_single_value_headers(headers: Headers) -> tuple[dict[bytes, str], str]:
    """Return the single-value headers, and the name of a repeated one or ""."""
    found: dict[bytes, str] = {}
    for name, value in headers:
        if name not in SINGLE_VALUE_HEADERS:
            continue
        if name in found:
            return found, name.decode("latin-1")
        found[name] = value.decode("latin-1")
    return found, ""


def _find_header(headers: Headers, name: bytes) -> str | None:
    for found, value in headers:
        if found == name:
            return value.decode("latin-1")
    return None


def _parse_host(headers: Headers) -> str:
    host = (_find_header(headers, b"host") or "").strip().lower()
    return host.rsplit(":", 1)[0] if host.rpartition(":")[2].isdigit() else host


def _parse_deadline_s(value: str | None) -> float | None:
    if value is None:
        return None
    number = float(value)
    if not 0 <= number <= MAX_DEADLINE_MS:
        raise ValueError(f"deadline {value!r}")
    return number / 1000


def _parse_token_usage(value: str | None) -> tuple[int, int]:
    if value is None:
        return 0, 0
    prompt, _, output = value.partition(",")
    return _parse_tokens(prompt), _parse_tokens(output or "0")


def _parse_tokens(value: str) -> int:
    number = int(value)
    if not 0 <= number <= MAX_TOKENS:
        raise ValueError(f"number of tokens {value!r:.40}")
    return number


def _parse_prompt_segments(value: str | None) -> tuple[PromptSegment, ...]:
    segments = []
    for item in (value or "").split(","):
        if item.strip():
            segment_id, _, tokens = item.strip().partition(":")
            segment = PromptSegment(bounded_id(segment_id), _parse_tokens(tokens))
            segments.append(segment)
    return tuple(segments)


def _parse_key(value: str | None) -> str | None:
    if value is None or not value.lower().startswith(KEY_SCHEME):
        return None
    return value[len(KEY_SCHEME) :].strip()


def _forwarded_headers(headers: Headers) -> Headers:
    """Return the caller's headers that are forwarded to a backend server."""
    connection_options = set()
    for name, value in headers:
        if name == b"connection":
            connection_options |= {item.strip().lower() for item in value.split(b",")}
    dropped = (
        HOP_BY_HOP_HEADERS | SYSTEM_HEADERS | (connection_options - PROTECTED_HEADERS)
    )
    return tuple((name, value) for name, value in headers if name not in dropped)
