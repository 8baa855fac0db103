"""Resources of the generation API: `/v1/completions` and `/v1/chat/completions`."""

import json
import time
from dataclasses import dataclass

import falcon
import falcon.asgi
from returns.result import Failure

from monsoontack.config.view import AccountConfig
from monsoontack.core.records import RouteRequest
from monsoontack.entry.context import EntryContext
from monsoontack.entry.formats import (
    DONE,
    PING,
    ResponseFormat,
    error_event,
    reconnect_event,
)
from monsoontack.entry.requests import (
    ChatBody,
    CompletionBody,
    GenerationBody,
    RequestRefusedError,
    authenticate,
    find_service,
    parse_body,
    parse_last_event_id,
    parse_priority,
    read_body,
    refuse,
)
from monsoontack.entry.routedpicker import prefix_blocks
from monsoontack.entry.session import GenerationRequest, GenerationSession
from monsoontack.generation.attempts import AttemptLog
from monsoontack.generation.eventid import EventId, new_generation

# A caller treats its connection as dead after a few intervals without an event.
PING_INTERVAL_S = 0.5
# Estimated size of a token on a link: its id and its text.
RESPONSE_BYTES_PER_TOKEN = 10


@dataclass(frozen=True, slots=True)
class CheckedRequest:
    """A validated request, with the event id to resume from if there is one."""

    account: AccountConfig
    kind: str
    body: GenerationBody
    document: dict
    event_id: EventId | None
    priority: int


class GenerationResource:
    """Resource of both generation paths; `kind` is `completions` or `chat`."""

    def __init__(self, context: EntryContext, kind: str):
        self.context = context
        self.kind = kind
        self.model = ChatBody if kind == "chat" else CompletionBody

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Run or resume one generation."""
        context = self.context
        context.counters.add("requests")
        context.check_accepts_requests()
        checked = await self._check_request(req)
        # The drain may have begun while the body was read.
        context.check_accepts_requests()
        session = self._open_session(checked)
        if session.error is not None:
            self._close_session(checked, session)
            raise RequestRefusedError(session.error)
        response_format = ResponseFormat(
            self.kind, session.generation, checked.body.model, int(time.time())
        )
        if checked.body.stream:
            resp.set_header("Cache-Control", "no-store")
            resp.sse = self._event_stream(
                checked, session, response_format, req.context.request_id
            )
        else:
            resp.text = await self._whole_response(checked, session, response_format)
            resp.content_type = falcon.MEDIA_JSON

    async def _check_request(self, req: falcon.asgi.Request) -> CheckedRequest:
        context = self.context
        account = authenticate(req.get_header("Authorization"), context.view())
        priority = parse_priority(req.get_header("X-Priority"), account.priority)
        event_id = parse_last_event_id(req.get_header("Last-Event-ID"))
        raw = await read_body(req, context.settings.max_body_bytes)
        document, body = parse_body(raw, req.content_type, self.model)
        find_service(context.view(), body.model, account, "engine")
        received = body.monsoontack.received
        if received is not None and event_id and len(received) != event_id.position:
            message = (
                f"monsoontack.received has {len(received)} tokens, but"
                f" Last-Event-ID stands at position {event_id.position}"
            )
            refuse(400, "invalid_request", message)
        if event_id and event_id.position and not body.stream:
            # The response would hold only the remaining tokens, but look complete.
            message = "an answer is continued with Last-Event-ID only if stream is true"
            refuse(400, "invalid_request", message)
        return CheckedRequest(account, self.kind, body, document, event_id, priority)

    def _open_session(self, checked: CheckedRequest) -> GenerationSession:
        if checked.event_id is not None:
            return self._resume(checked, checked.event_id)
        context = self.context
        now = context.now()
        service = checked.body.model
        servers = context.pool.servers(service)
        admitted = context.admission.request(
            checked.account.name, service, servers, now, context.rng, checked.priority
        )
        if isinstance(admitted, Failure):
            raise RequestRefusedError(admitted.failure())
        # From this choice on, the rollout guard counts the request as sent.
        version = context.picker.pick_version(context.view(), service, now, context.rng)
        if version is None:
            context.admission.release(admitted.unwrap(), now)
            message = f"no version of {service!r} takes traffic"
            refuse(503, "version_unavailable", message, retry_after_s=1.0)
        generation = new_generation(version, context.rng)
        session = self._new_session(checked, AttemptLog(generation, version))
        session.ticket = admitted.unwrap()
        context.generations.begin(session)
        return session

    def _resume(self, checked: CheckedRequest, event_id: EventId) -> GenerationSession:
        received = checked.body.monsoontack.received
        generation, version = event_id.generation, event_id.version
        if received is not None:
            log = AttemptLog.from_received(generation, version, received)
        elif event_id.position == 0:
            log = AttemptLog(generation, version)
        else:
            log = AttemptLog.from_position(generation, version, event_id.position)
        session = self._new_session(checked, log, "resume")
        session.ticket = self.context.admission.resume(
            checked.account.name, checked.body.model, self.context.now()
        )
        self.context.counters.add("reconnects")
        self.context.generations.reconnect(session, event_id)
        return session

    def _new_session(
        self, checked: CheckedRequest, log: AttemptLog, cause: str = "request"
    ) -> GenerationSession:
        document = {k: v for k, v in checked.document.items() if k != "monsoontack"}
        body = json.dumps(document).encode()
        route = RouteRequest(
            service=checked.body.model,
            version=log.version,
            account=checked.account.name,
            priority=checked.priority,
            prefix_blocks=prefix_blocks(checked.document),
            request_bytes=len(body)
            + RESPONSE_BYTES_PER_TOKEN * checked.body.token_limit,
            cause=cause,
        )
        request = GenerationRequest(
            route=route,
            kind=self.kind,
            body=body,
            max_tokens=checked.body.token_limit,
            revision=self.context.view().revision,
            streamed=checked.body.stream,
        )
        return GenerationSession(request, log, self.context.now())

    def _close_session(
        self, checked: CheckedRequest, session: GenerationSession
    ) -> None:
        context = self.context
        context.generations.remove(session)
        context.generations.report_outcome(session)
        if session.ticket is not None:
            context.admission.release(session.ticket, context.now())

    async def _event_stream(
        self,
        checked: CheckedRequest,
        session,
        response_format: ResponseFormat,
        request_id: str,
    ):
        with self.context.in_progress():
            try:
                async for event in _stream(session, response_format, request_id):
                    yield event
            finally:
                self._close_session(checked, session)

    async def _whole_response(
        self,
        checked: CheckedRequest,
        session: GenerationSession,
        response_format: ResponseFormat,
    ) -> str:
        with self.context.in_progress():
            try:
                await session.wait_for_end()
            finally:
                self._close_session(checked, session)
        if session.error is not None:
            raise RequestRefusedError(session.error)
        return json.dumps(response_format.full_response(session.take_chunk()))


async def _stream(
    session: GenerationSession, response_format: ResponseFormat, request_id: str
):
    # The event id lets the caller resume if the entry fails before the first token.
    yield falcon.asgi.SSEvent(event_id=str(session.event_id))
    while True:
        if not await session.wait(PING_INTERVAL_S):
            yield PING
            continue
        if session.has_tokens:
            chunk = session.take_chunk()
            yield response_format.chunk_event(chunk, str(session.event_id))
            if chunk.finish:
                yield DONE
                return
        if session.error is not None:
            yield error_event(session.error, request_id)
            return
        if session.handover:
            yield reconnect_event(str(session.event_id))
            return
