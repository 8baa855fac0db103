"""HTTP applications of an entry: the caller API and the operator API."""

import json
import math
import uuid
from dataclasses import replace
from http import HTTPStatus

import falcon
import falcon.asgi
import structlog

from monsoontack.core.errors import RequestError, RunState
from monsoontack.entry.calls import CallRecordResource, ServiceResource
from monsoontack.entry.completions import GenerationResource
from monsoontack.entry.context import EntryContext
from monsoontack.entry.dump import state_dump
from monsoontack.entry.requests import (
    RequestRefusedError,
    authenticate,
    error_document,
)

log = structlog.get_logger("entry.app")


class RequestIdMiddleware:
    """Assigns each request an id, which its error responses contain."""

    async def process_request(self, req, resp) -> None:
        """Assign the id and set the `X-Request-Id` header."""
        req.context.request_id = uuid.uuid4().hex
        resp.set_header("X-Request-Id", req.context.request_id)


class ErrorHandlers:
    """Converts exceptions to error objects of the caller API."""

    def __init__(self, context: EntryContext):
        self.context = context

    async def on_refusal(self, req, resp, exception, params) -> None:
        """Respond with the typed error of a refused request."""
        self.respond(req, resp, exception.error)

    async def on_http_error(self, req, resp, exception, params) -> None:
        """Respond to an error raised by the framework, such as an unknown path."""
        status = exception.status_code
        phrase = HTTPStatus(status).phrase
        code = phrase.lower().replace(" ", "_")
        message = exception.description or f"{req.method} {req.path}: {phrase}"
        self.respond(req, resp, RequestError(status, code, message))

    async def on_unexpected_error(self, req, resp, exception, params) -> None:
        """Log an unexpected exception and respond with an internal error."""
        log.error("request failed", path=req.path, exc_info=exception)
        error = RequestError(
            500, "internal_error", "the entry failed", RunState.UNKNOWN, 1.0
        )
        self.respond(req, resp, error)

    def respond(self, req, resp, error: RequestError) -> None:
        """Set the response to a typed error."""
        self.context.counters.add(f"errors.{error.code}")
        # A refused reconnect does not show whether the original request ran.
        if error.run_state is RunState.NOT_RUN and req.get_header("Last-Event-ID"):
            error = replace(error, run_state=RunState.UNKNOWN)
        resp.status = error.status
        resp.sse = None
        if self.context.draining:
            # Another request on the connection would be refused as well.
            resp.set_header("Connection", "close")
        if error.retry_after_s is not None:
            resp.set_header("Retry-After", str(math.ceil(error.retry_after_s)))
        resp.text = json.dumps(error_document(error, req.context.request_id))
        resp.content_type = falcon.MEDIA_JSON


class ModelsResource:
    """Lists the generation services that the caller's account may use."""

    def __init__(self, context: EntryContext):
        self.context = context

    async def on_get(self, req, resp) -> None:
        """Respond with the list in OpenAI's format."""
        self.context.check_configured()
        view = self.context.view()
        account = authenticate(req.get_header("Authorization"), view)
        names = sorted(
            service.name
            for service in view.services.values()
            if service.kind == "engine"
            and (not account.services or service.name in account.services)
        )
        data = [{"id": n, "object": "model", "owned_by": "monsoontack"} for n in names]
        resp.media = {"object": "list", "data": data}


class HealthResource:
    """Liveness check of the process."""

    async def on_get(self, req, resp) -> None:
        """Respond with 200."""
        resp.media = {"status": "ok"}


class ReadyResource:
    """Tells the load balancer whether to send new requests."""

    def __init__(self, context: EntryContext):
        self.context = context

    async def on_get(self, req, resp) -> None:
        """Respond with 200, or with 503 and the reason."""
        context = self.context
        if context.is_ready():
            resp.media = {"status": "ready", "revision": context.view().revision}
            return
        reason = "shutting_down" if context.draining else "not_ready"
        resp.status = 503
        resp.media = {"status": reason}


class StateResource:
    """Serves the state dump for operators."""

    def __init__(self, context: EntryContext):
        self.context = context

    async def on_get(self, req, resp) -> None:
        """Respond with the dump as JSON."""
        resp.text = json.dumps(state_dump(self.context))
        resp.content_type = falcon.MEDIA_JSON


def _new_app(context: EntryContext) -> falcon.asgi.App:
    app = falcon.asgi.App(middleware=[RequestIdMiddleware()])
    errors = ErrorHandlers(context)
    app.add_error_handler(Exception, errors.on_unexpected_error)
    app.add_error_handler(falcon.HTTPError, errors.on_http_error)
    app.add_error_handler(RequestRefusedError, errors.on_refusal)
    app.add_route("/healthz", HealthResource())
    app.add_route("/readyz", ReadyResource(context))
    return app


def caller_app(context: EntryContext) -> falcon.asgi.App:
    """Return the application of the caller API."""
    app = _new_app(context)
    app.add_route("/v1/completions", GenerationResource(context, "completions"))
    app.add_route("/v1/chat/completions", GenerationResource(context, "chat"))
    app.add_route("/v1/models", ModelsResource(context))
    app.add_route("/v1/calls/{key}", CallRecordResource(context))
    app.add_route("/v1/services/{service}/{path:path}", ServiceResource(context))
    return app


def operator_app(context: EntryContext) -> falcon.asgi.App:
    """Return the application of the operator API."""
    app = _new_app(context)
    app.add_route("/state", StateResource(context))
    return app
