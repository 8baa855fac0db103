"""Generations for callers: `/v1/completions` and `/v1/chat/completions`."""

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
    AnswerFormat,
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
    read_body,
    read_event_id,
    read_priority,
    refuse,
)
from monsoontack.entry.routedpicker import prefix_blocks
from monsoontack.entry.session import GenerationRequest, GenerationSession
from monsoontack.generation.attempts import AttemptLog
from monsoontack.generation.eventid import EventId, new_generation

# A caller that hears nothing for a few of these takes its connection for dead.
PING_S = 0.5
# Estimate of an answer's size on a link: token id and text.
BYTES_PER_TOKEN = 10


@dataclass(frozen=True, slots=True)
class Ask:
    """A checked request: who asks for what, and from where on."""

    account: AccountConfig
    kind: str
    body: GenerationBody
    document: dict
    event_id: EventId | None
    priority: int


class GenerationResource:
    """Responder of both generation paths; `kind` is `completions` or `chat`."""

    def __init__(self, context: EntryContext, kind: str):
        self.context = context
        self.kind = kind
        self.model = ChatBody if kind == "chat" else CompletionBody

    async def on_post(self, req: falcon.asgi.Request, resp: falcon.asgi.Response):
        """Run or resume one generation."""
        context = self.context
        context.counters.add("requests")
        context.check_takes_work()
        ask = await self._read(req)
        session = self._open(ask)
        if session.error is not None:
            self._close(ask, session)
            raise RequestRefusedError(session.error)
        answer = AnswerFormat(
            self.kind, session.generation, ask.body.model, int(time.time())
        )
        if ask.body.stream:
            resp.set_header("Cache-Control", "no-store")
            resp.sse = self._events(ask, session, answer, req.context.request_id)
        else:
            resp.text = await self._whole(ask, session, answer)
            resp.content_type = falcon.MEDIA_JSON

    async def _read(self, req: falcon.asgi.Request) -> Ask:
        context = self.context
        account = authenticate(req.get_header("Authorization"), context.view())
        priority = read_priority(req.get_header("X-Priority"), account.priority)
        event_id = read_event_id(req.get_header("Last-Event-ID"))
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
            # Only the rest is sent from there, which would pass for the whole.
            message = "an answer is continued with Last-Event-ID only if stream is true"
            refuse(400, "invalid_request", message)
        return Ask(account, self.kind, body, document, event_id, priority)

    def _open(self, ask: Ask) -> GenerationSession:
        if ask.event_id is not None:
            return self._resume(ask, ask.event_id)
        context = self.context
        now = context.now()
        service = ask.body.model
        servers = context.pool.servers(service)
        admitted = context.admission.request(
            ask.account.name, service, servers, now, context.rng, ask.priority
        )
        if isinstance(admitted, Failure):
            raise RequestRefusedError(admitted.failure())
        # The rollout guard counts a request as sent from the choice of version on.
        version = context.picker.pick_version(context.view(), service, now, context.rng)
        if version is None:
            context.admission.release(admitted.unwrap(), now)
            message = f"no version of {service!r} takes traffic"
            refuse(503, "version_unavailable", message, retry_after_s=1.0)
        generation = new_generation(version, context.rng)
        session = self._session(ask, AttemptLog(generation, version))
        session.ticket = admitted.unwrap()
        context.generations.begin(session)
        return session

    def _resume(self, ask: Ask, event_id: EventId) -> GenerationSession:
        received = ask.body.monsoontack.received
        generation, version = event_id.generation, event_id.version
        if received is not None:
            log = AttemptLog.from_received(generation, version, received)
        elif event_id.position == 0:
            log = AttemptLog(generation, version)
        else:
            log = AttemptLog.from_position(generation, version, event_id.position)
        session = self._session(ask, log, "resume")
        session.ticket = self.context.admission.resume(
            ask.account.name, ask.body.model, self.context.now()
        )
        self.context.counters.add("reconnects")
        self.context.generations.reconnect(session, event_id)
        return session

    def _session(
        self, ask: Ask, log: AttemptLog, cause: str = "request"
    ) -> GenerationSession:
        document = {k: v for k, v in ask.document.items() if k != "monsoontack"}
        body = json.dumps(document).encode()
        route = RouteRequest(
            service=ask.body.model,
            version=log.version,
            account=ask.account.name,
            priority=ask.priority,
            prefix_blocks=prefix_blocks(ask.document),
            request_bytes=len(body) + BYTES_PER_TOKEN * ask.body.token_limit,
            cause=cause,
        )
        request = GenerationRequest(
            route=route,
            kind=self.kind,
            body=body,
            max_tokens=ask.body.token_limit,
            revision=self.context.view().revision,
            streamed=ask.body.stream,
        )
        return GenerationSession(request, log, self.context.now())

    def _close(self, ask: Ask, session: GenerationSession) -> None:
        context = self.context
        context.generations.remove(session)
        context.generations.report(session)
        if session.ticket is not None:
            context.admission.release(session.ticket, context.now())

    async def _events(self, ask: Ask, session, answer: AnswerFormat, request_id: str):
        with self.context.in_progress():
            try:
                async for event in _stream(session, answer, request_id):
                    yield event
            finally:
                self._close(ask, session)

    async def _whole(
        self, ask: Ask, session: GenerationSession, answer: AnswerFormat
    ) -> str:
        with self.context.in_progress():
            try:
                await session.wait_for_end()
            finally:
                self._close(ask, session)
        if session.error is not None:
            raise RequestRefusedError(session.error)
        return json.dumps(answer.whole(session.take()))


async def _stream(session: GenerationSession, answer: AnswerFormat, request_id: str):
    # The id alone lets the caller attach if the entry dies before a token.
    yield falcon.asgi.SSEvent(event_id=str(session.event_id))
    while True:
        if not await session.wait(PING_S):
            yield PING
            continue
        if session.has_tokens:
            chunk = session.take()
            yield answer.event(chunk, str(session.event_id))
            if chunk.finish:
                yield DONE
                return
        if session.error is not None:
            yield error_event(session.error, request_id)
            return
        if session.handover:
            yield reconnect_event(str(session.event_id))
            return
