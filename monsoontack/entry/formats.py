"""OpenAI-compatible documents of streamed and complete responses."""

import json
from typing import Any

from falcon.asgi import SSEvent

from monsoontack.core.errors import RequestError
from monsoontack.core.records import TokenChunk
from monsoontack.entry.requests import error_document

_ENCODER = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False)
DONE = SSEvent(data=b"[DONE]")
PING = SSEvent(comment="ping")


class ResponseFormat:
    """Formats one generation's response; `kind` is `completions` or `chat`."""

    def __init__(self, kind: str, generation: str, model: str, created: int):
        self.kind = kind
        self.is_chat = kind == "chat"
        prefix = "chatcmpl" if self.is_chat else "cmpl"
        object_type = "chat.completion" if self.is_chat else "text_completion"
        self.common_fields = {
            "id": f"{prefix}-{generation}",
            "object": f"{object_type}.chunk" if self.is_chat else object_type,
            "created": created,
            "model": model,
        }
        self.full_object_type = object_type

    def chunk_event(self, chunk: TokenChunk, event_id: str) -> SSEvent:
        """Return the event that delivers a chunk."""
        text = "".join(chunk.texts)
        choice: dict[str, Any] = {"index": 0}
        if self.is_chat:
            choice["delta"] = {"content": text}
            if chunk.first_position == 0:
                choice["delta"]["role"] = "assistant"
        else:
            choice["text"] = text
        choice["finish_reason"] = chunk.finish or None
        document = {
            **self.common_fields,
            "choices": [choice],
            "first_position": chunk.first_position,
            "token_ids": chunk.tokens,
        }
        return SSEvent(text=_ENCODER.encode(document), event_id=event_id)

    def full_response(self, chunk: TokenChunk) -> dict:
        """Return the document of a response that is not streamed."""
        text = "".join(chunk.texts)
        choice: dict[str, Any] = {"index": 0, "finish_reason": chunk.finish}
        if self.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            **self.common_fields,
            "object": self.full_object_type,
            "choices": [choice],
            "token_ids": chunk.tokens,
            "usage": {"completion_tokens": chunk.end_position},
        }


def error_event(error: RequestError, request_id: str) -> SSEvent:
    """Return the last event of a stream that ends with a typed error."""
    document = error_document(error, request_id)
    return SSEvent(text=_ENCODER.encode(document), event="error")


def reconnect_event(event_id: str) -> SSEvent:
    """Return the event that tells the caller to reconnect to another entry."""
    return SSEvent(
        text='{"reason":"shutting_down"}', event="reconnect", event_id=event_id, retry=0
    )
