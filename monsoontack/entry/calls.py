"""Calls to plain services: `/v1/services/{service}/{path}`, `/v1/calls/{key}`."""

import asyncio

import falcon.asgi

from monsoontack.core.errors import RequestError, RunState
from monsoontack.entry.context import EntryContext
from monsoontack.entry.requests import (
    RequestRefusedError,
    authenticate,
    check_idempotency_key,
    find_service,
    read_body,
    refuse,
)
from monsoontack.ledger.records import ServiceCall

# Hop-by-hop headers, and headers that the entry itself sets or checks.
UNFORWARDED_HEADERS = frozenset(
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
    """Forwards calls to a plain service."""

    def __init__(self, context: EntryContext):
        self.context = context

    async def on_get(self, req, resp, service: str, path: str) -> None:
        """Run a GET call."""
        await self._run(req, resp, service, path)

    async def on_post(self, req, resp, service: str, path: str) -> None:
        """Run a POST call."""
        await self._run(req, resp, service, path)

    # The service's configuration says which of these methods are idempotent.
    on_put = on_patch = on_delete = on_post

    async def _run(self, req: falcon.asgi.Request, resp, service: str, path: str):
        context = self.context
        context.counters.add("calls")
        context.check_accepts_requests()
        view = context.view()
        account = authenticate(req.get_header("Authorization"), view)
        key = check_idempotency_key(req.get_header("Idempotency-Key"))
        service_config = find_service(view, service, account, "service")
        idempotent = req.method in service_config.idempotent_methods
        if not idempotent and not key:
            message = f"{req.method} to {service!r} needs an Idempotency-Key header"
            refuse(400, "missing_idempotency_key", message)
        query = f"?{req.query_string}" if req.query_string else ""
        call = ServiceCall(
            account=account.name,
            service=service,
            method=req.method,
            path=f"/{path}{query}",
            headers=_forwarded_headers(req.headers),
            body=await read_body(req, context.settings.max_body_bytes),
            idempotent=idempotent,
            key=key,
            timeout_s=service_config.call_timeout_s,
        )
        # The drain may have begun while the body was read.
        context.check_accepts_requests()
        with context.in_progress():
            result = await self._run_until_drained(call)
        if isinstance(result, RequestError):
            raise RequestRefusedError(result)
        resp.status = result.status
        for name, value in _forwarded_headers(dict(result.headers)):
            resp.set_header(name, value)
        resp.data = result.body

    async def _run_until_drained(self, call: ServiceCall):
        """Run a call, but return an error if it still runs at the drain deadline.

        The call itself continues until the process exits, so that a late outcome
        still settles its record.
        """
        context = self.context
        call_task = asyncio.ensure_future(context.calls.run(call))
        drain_wait = asyncio.ensure_future(context.drain_finished.wait())
        try:
            await asyncio.wait(
                (call_task, drain_wait), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            drain_wait.cancel()
        if call_task.done():
            return call_task.result()
        message = "this entry left before the call ended"
        return RequestError(502, "shutting_down", message, RunState.UNKNOWN, 0.0)


def _forwarded_headers(headers: dict[str, str]) -> tuple[tuple[str, str], ...]:
    pairs = ((name.lower(), value) for name, value in headers.items())
    return tuple(pair for pair in pairs if pair[0] not in UNFORWARDED_HEADERS)


class CallRecordResource:
    """Serves the recorded outcome of a non-idempotent call of an account."""

    def __init__(self, context: EntryContext):
        self.context = context

    async def on_get(self, req, resp, key: str) -> None:
        """Respond with the recorded outcome."""
        self.context.check_configured()
        view = self.context.view()
        account = authenticate(req.get_header("Authorization"), view)
        record = await self.context.calls.find_outcome(account.name, key)
        if isinstance(record, RequestError):
            raise RequestRefusedError(record)
        resp.media = record
