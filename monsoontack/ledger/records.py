"""Records of the at-most-once ledger and their encoding in the object store."""

import base64
import binascii
import hashlib
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from monsoontack.core.errors import RunState
from monsoontack.core.rawjson import load_document

RECORD_PREFIX = "calls/"
# What reading a document of another shape raises.
RECORD_ERRORS = (KeyError, TypeError, AttributeError, OverflowError, binascii.Error)
Headers = tuple[tuple[str, str], ...]


def ignore_silence() -> None:
    """Do nothing, for calls that only wait for their result."""


@dataclass(frozen=True, slots=True, repr=False)
class ServiceCall:
    """One call to a plain service; `key` is empty if the caller sent none.

    A dispatcher calls `on_silence` if nothing is heard from the server that has the
    call. The call's result may still arrive.
    """

    account: str
    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    idempotent: bool
    key: str
    timeout_s: float
    on_silence: Callable[[], None] = field(default=ignore_silence, compare=False)


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Answer of a plain service, forwarded to the caller."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True, slots=True)
class DispatchResult:
    """Result of one dispatch.

    `run_state` is `run` if the call ran, `not_run` only if the backend server is
    known not to have started the call, else `unknown`. `code` is the cause if
    there is no answer. `address` is the agent's address (empty if the call was
    not sent).
    """

    run_state: RunState
    answer: ServiceAnswer | None = None
    code: str = ""
    address: str = ""


class RecordState(StrEnum):
    """State of a call record."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CallRecord:
    """Content of a call record.

    `writer` is the random token of the claim, `digest` the digest of the request.
    `timeout_s` is the call timeout, which determines when a claim is overdue.
    `body_omitted` marks an outcome whose body did not fit into the record.
    """

    state: RecordState
    writer: str
    digest: str
    service: str
    claimed_unix_s: float
    timeout_s: float
    answer: ServiceAnswer | None = None
    body_omitted: bool = False

    def encode(self) -> bytes:
        """Return the record as JSON."""
        document = {
            "state": self.state.value,
            "writer": self.writer,
            "digest": self.digest,
            "service": self.service,
            "claimed_unix_s": self.claimed_unix_s,
            "timeout_s": self.timeout_s,
        }
        if self.answer is not None:
            document["answer"] = _encode_answer(self.answer)
            document["body_omitted"] = self.body_omitted
        return json.dumps(document).encode()

    @classmethod
    def decode(cls, value: bytes) -> "CallRecord":
        """Decode a record; raise ValueError if it is malformed."""
        try:
            document = load_document(value)
            answer = document.get("answer")
            return cls(
                RecordState(document["state"]),
                str(document["writer"]),
                str(document["digest"]),
                str(document["service"]),
                float(document["claimed_unix_s"]),
                float(document["timeout_s"]),
                None if answer is None else _decode_answer(answer),
                bool(document.get("body_omitted", False)),
            )
        except RECORD_ERRORS as error:
            raise ValueError(f"malformed call record: {error!r}") from error


def _encode_answer(answer: ServiceAnswer) -> dict:
    return {
        "status": answer.status,
        "headers": [list(pair) for pair in answer.headers],
        "body_base64": base64.b64encode(answer.body).decode(),
    }


def _decode_answer(document: dict) -> ServiceAnswer:
    headers = tuple((str(name), str(text)) for name, text in document["headers"])
    body = base64.b64decode(document["body_base64"], validate=True)
    return ServiceAnswer(int(document["status"]), headers, body)


def record_key(account: str, key: str) -> str:
    """Return the store key of the record of an account's idempotency key."""
    digest = hashlib.sha256(key.encode("utf-8", "surrogatepass")).hexdigest()
    return f"{RECORD_PREFIX}{account}/{digest}"


def request_digest(call: ServiceCall) -> str:
    """Return the digest of a request; reuse of its key requires an equal digest."""
    digest = hashlib.sha256()
    for part in (call.service, call.method, call.path):
        encoded = part.encode("utf-8", "surrogatepass")
        digest.update(len(encoded).to_bytes(8, "big") + encoded)
    digest.update(call.body)
    return digest.hexdigest()
