"""Calls to plain services: `/v1/services/{service}/{path}`, `/v1/calls/{key}`."""

import asyncio

import falcon.asgi

from monsoontack.core.errors import RequestError, RunState
from monsoontack.entry.context import EntryContext
from monsoontack.entry.requests import (
    RequestRefusedError,
    authenticate,
    find_service,
    read_body,
    read_idempotency_key,
    refuse,
)
from monsoontack.ledger.records import ServiceCall

# Headers of one hop, and those that the entry sets or checks itself.
NOT_PASSED_ON = frozenset(
    (
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-client-account",
        "x-fence",
    )
)


class ServiceResource:
    """Passes calls on to a plain service."""

    def __init__(self, context: EntryContext):
        self.context = context

    async def on_get(self, req, resp, service: str, path: str) -> None:
        """Run a GET call."""
        await self._run(req, resp, service, path)

    async def on_post(self, req, resp, service: str, path: str) -> None:
        """Run a POST call."""
        await self._run(req, resp, service, path)

    # Which of these may be repeated stands in the service's configuration.
    on_put = on_patch = on_delete = on_post

    async def _run(self, req: falcon.asgi.Request, resp, service: str, path: str):
        context = self.context
        context.counters.add("calls")
        context.check_takes_work()
        view = context.view()
        account = authenticate(req.get_header("Authorization"), view)
        key = read_idempotency_key(req.get_header("Idempotency-Key"))
        config = find_service(view, service, account, "service")
        idempotent = req.method in config.idempotent_methods
        if not idempotent and not key:
            message = f"{req.method} to {service!r} needs an Idempotency-Key header"
            refuse(400, "missing_idempotency_key", message)
        query = f"?{req.query_string}" if req.query_string else ""
        call = ServiceCall(
            account=account.name,
            service=service,
            method=req.method,
            path=f"/{path}{query}",
            headers=_passed_on(req.headers),
            body=await read_body(req, context.settings.max_body_bytes),
            idempotent=idempotent,
            key=key,
            timeout_s=config.call_timeout_s,
        )
        with context.in_progress():
            answer = await self._run_until_drained(call)
        if isinstance(answer, RequestError):
            raise RequestRefusedError(answer)
        resp.status = answer.status
        for name, value in _passed_on(dict(answer.headers)):
            resp.set_header(name, value)
        resp.data = answer.body

    async def _run_until_drained(self, call: ServiceCall):
        """Run a call, but answer at the drain deadline at the latest.

        The call itself goes on until the process ends, so that its record is
        settled if an outcome still comes.
        """
        context = self.context
        run = asyncio.ensure_future(context.calls.run(call))
        over = asyncio.ensure_future(context.drain_finished.wait())
        try:
            await asyncio.wait((run, over), return_when=asyncio.FIRST_COMPLETED)
        finally:
            over.cancel()
        if run.done():
            return run.result()
        message = "this entry left before the call ended"
        return RequestError(503, "shutting_down", message, RunState.UNKNOWN, 0.0)


def _passed_on(headers: dict[str, str]) -> tuple[tuple[str, str], ...]:
    pairs = ((name.lower(), value) for name, value in headers.items())
    return tuple(pair for pair in pairs if pair[0] not in NOT_PASSED_ON)


class CallRecordResource:
    """Outcome of a non-idempotent call of the caller's account."""

    def __init__(self, context: EntryContext):
        self.context = context

    async def on_get(self, req, resp, key: str) -> None:
        """Answer the recorded outcome."""
        self.context.check_configured()
        view = self.context.view()
        account = authenticate(req.get_header("Authorization"), view)
        record = await self.context.calls.find_outcome(account.name, key)
        if isinstance(record, RequestError):
            raise RequestRefusedError(record)
        resp.media = record
