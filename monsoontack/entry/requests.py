"""Validation of caller requests: headers, bodies, and errors for invalid ones."""

import hashlib
import json
from typing import Annotated, Any

import falcon.asgi
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from monsoontack.config.view import AccountConfig, ConfigView
from monsoontack.core.errors import RequestError
from monsoontack.generation.eventid import EventId, parse_event_id

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS = 131_072
MAX_ABSOLUTE_PRIORITY = 10
MAX_IDEMPOTENCY_KEY_CHARACTERS = 200

TokenId = Annotated[int, Field(ge=0, lt=2**32, strict=True)]


class RequestRefusedError(Exception):
    """Carries a typed error from a resource to the error handlers."""

    def __init__(self, error: RequestError):
        super().__init__(error.code)
        self.error = error


def refuse(status: int, code: str, message: str, **fields: Any):
    """Raise `RequestRefusedError` with the given error."""
    raise RequestRefusedError(RequestError(status, code, message, **fields))


class ResumeFields(BaseModel):
    """Extension of the OpenAI body: output tokens that the caller already has."""

    model_config = ConfigDict(extra="forbid")

    received: list[TokenId] | None = None


class GenerationBody(BaseModel):
    """Fields of a completion request that the entry reads.

    All other fields are forwarded to the engine unchanged.
    """

    model_config = ConfigDict(extra="allow")

    model: str = Field(min_length=1, max_length=200)
    stream: bool = Field(default=False, strict=True)
    max_tokens: int | None = Field(default=None, ge=1, le=MAX_TOKENS, strict=True)
    max_completion_tokens: int | None = Field(
        default=None, ge=1, le=MAX_TOKENS, strict=True
    )
    n: int | None = Field(default=None, ge=1, le=1, strict=True)
    monsoontack: ResumeFields = ResumeFields()

    @property
    def token_limit(self) -> int:
        """Maximum length of the complete answer in tokens."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS


class CompletionBody(GenerationBody):
    """Body of `POST /v1/completions`."""

    prompt: str | list[TokenId]


class ChatMessage(BaseModel):
    """One message of a chat."""

    model_config = ConfigDict(extra="allow")

    role: str = Field(min_length=1)
    content: str | list[dict] | None = None


class ChatBody(GenerationBody):
    """Body of `POST /v1/chat/completions`."""

    messages: list[ChatMessage] = Field(min_length=1)

    @model_validator(mode="after")
    def check_content(self):
        """Reject a chat whose messages all lack content."""
        if all(message.content is None for message in self.messages):
            raise ValueError("no message has content")
        return self


async def read_body(req: falcon.asgi.Request, max_bytes: int) -> bytes:
    """Return the request's body; refuse a body of more than `max_bytes`."""
    message = f"the body has more than {max_bytes} bytes"
    if (req.content_length or 0) > max_bytes:
        refuse(413, "body_too_large", message)
    chunks, size = [], 0
    async for chunk in req.stream:
        size += len(chunk)
        if size > max_bytes:
            refuse(413, "body_too_large", message)
        chunks.append(chunk)
    return b"".join(chunks)


def parse_body(raw: bytes, content_type: str | None, model: type[GenerationBody]):
    """Return the decoded document and its validated model."""
    media_type = (content_type or "").partition(";")[0].strip().lower()
    if media_type != "application/json":
        message = f"Content-Type must be application/json, not {content_type!r}"
        refuse(415, "unsupported_media_type", message)
    try:
        document = json.loads(raw)
    except (UnicodeDecodeError, json.JSONDecodeError, RecursionError) as error:
        refuse(400, "malformed_json", f"the body is not JSON: {error}")
    if not isinstance(document, dict):
        kind = type(document).__name__
        refuse(400, "invalid_request", f"the body must be a JSON object, not {kind}")
    try:
        return document, model.model_validate(document)
    except ValidationError as error:
        descriptions = "; ".join(_describe_error(detail) for detail in error.errors())
        refuse(400, "invalid_request", descriptions)


def _describe_error(detail: dict) -> str:
    path = ".".join(str(part) for part in detail["loc"]) or "body"
    return f"{path}: {detail['msg'].removeprefix('Value error, ')}"


def authenticate(authorization: str | None, view: ConfigView) -> AccountConfig:
    """Return the account that owns the key in the `Authorization` header."""
    if not authorization:
        refuse(401, "missing_key", "the Authorization header with a key is missing")
    scheme, _, key = authorization.partition(" ")
    key = key.strip()
    if scheme.lower() != "bearer" or not key:
        refuse(401, "missing_key", "Authorization must have the form 'Bearer KEY'")
    account = view.find_account(key_digest(key))
    if account is None:
        refuse(401, "invalid_key", "the key belongs to no client account")
    return account


def key_digest(key: str) -> str:
    """Return the SHA-256 digest of a key in hexadecimal."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def parse_priority(header: str | None, default: int) -> int:
    """Return the value of `X-Priority`, or the account's default."""
    if header is None:
        return default
    try:
        priority = int(header)
    except ValueError:
        priority = MAX_ABSOLUTE_PRIORITY + 1
    if abs(priority) > MAX_ABSOLUTE_PRIORITY:
        limit = MAX_ABSOLUTE_PRIORITY
        message = f"X-Priority must be an integer from -{limit} to {limit}"
        refuse(400, "header_out_of_range", f"{message}, not {header!r}")
    return priority


def parse_last_event_id(header: str | None) -> EventId | None:
    """Return the parsed `Last-Event-ID`, None if the header is absent."""
    if not header:
        return None
    event_id = parse_event_id(header)
    if event_id is None:
        message = "Last-Event-ID is not the id of an event of this system"
        refuse(400, "header_out_of_range", message)
    return event_id


def check_idempotency_key(header: str | None) -> str:
    """Return the value of `Idempotency-Key`, empty if the header is absent."""
    key = header or ""
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        message = (
            f"Idempotency-Key has more than {MAX_IDEMPOTENCY_KEY_CHARACTERS} characters"
        )
        refuse(400, "header_out_of_range", message)
    return key


def find_service(view: ConfigView, name: str, account: AccountConfig, kind: str):
    """Return a service of the given kind that the account may use."""
    service = view.services.get(name)
    allowed = not account.services or name in account.services
    if service is None or service.kind != kind or not allowed:
        code = "unknown_model" if kind == "engine" else "unknown_service"
        refuse(404, code, f"{name!r} does not exist or is not open to this account")
    return service


def error_document(error: RequestError, request_id: str) -> dict:
    """Return the error object of the caller API."""
    error_type = "invalid_request_error" if error.status < 500 else "server_error"
    if error.status == 429:
        error_type = "rate_limit_error"
    if error.status == 401:
        error_type = "authentication_error"
    return {
        "error": {
            "type": error_type,
            "code": error.code,
            "message": error.message,
            "run_state": str(error.run_state),
            "retry_after_s": error.retry_after_s,
            "request_id": request_id,
        }
    }
