"""OpenAI-compatible documents of streamed and whole answers."""

import json
from typing import Any

from falcon.asgi import SSEvent

from monsoontack.core.errors import RequestError
from monsoontack.core.records import TokenChunk
from monsoontack.entry.requests import error_document

_ENCODER = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False)
DONE = SSEvent(data=b"[DONE]")
PING = SSEvent(comment="ping")


class AnswerFormat:
    """Form of one generation's answer: `completions` or `chat`."""

    def __init__(self, kind: str, generation: str, model: str, created: int):
        self.kind = kind
        self.is_chat = kind == "chat"
        prefix = "chatcmpl" if self.is_chat else "cmpl"
        name = "chat.completion" if self.is_chat else "text_completion"
        self.head = {
            "id": f"{prefix}-{generation}",
            "object": f"{name}.chunk" if self.is_chat else name,
            "created": created,
            "model": model,
        }
        self.whole_object = name

    def event(self, chunk: TokenChunk, event_id: str) -> SSEvent:
        """Return the event that delivers a chunk."""
        text = "".join(chunk.texts)
        part: dict[str, Any] = {"index": 0}
        if self.is_chat:
            part["delta"] = {"content": text}
            if chunk.first_position == 0:
                part["delta"]["role"] = "assistant"
        else:
            part["text"] = text
        part["finish_reason"] = chunk.finish or None
        document = {
            **self.head,
            "choices": [part],
            "first_position": chunk.first_position,
            "token_ids": chunk.tokens,
        }
        return SSEvent(text=_ENCODER.encode(document), event_id=event_id)

    def whole(self, chunk: TokenChunk) -> dict:
        """Return the document of an answer that is not streamed."""
        text = "".join(chunk.texts)
        part: dict[str, Any] = {"index": 0, "finish_reason": chunk.finish}
        if self.is_chat:
            part["message"] = {"role": "assistant", "content": text}
        else:
            part["text"] = text
        return {
            **self.head,
            "object": self.whole_object,
            "choices": [part],
            "token_ids": chunk.tokens,
            "usage": {"completion_tokens": chunk.end_position},
        }


def error_event(error: RequestError, request_id: str) -> SSEvent:
    """Return the last event of an answer that ends with a typed error."""
    document = error_document(error, request_id)
    return SSEvent(text=_ENCODER.encode(document), event="error")


def reconnect_event(event_id: str) -> SSEvent:
    """Return the event that hands a stream over to another entry."""
    return SSEvent(
        text='{"reason":"shutting_down"}', event="reconnect", event_id=event_id, retry=0
    )
