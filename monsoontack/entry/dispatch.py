"""Sends calls to agents over the entry's links and matches their results."""

import asyncio
import random
import uuid
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoontack.config.view import ConfigView
from monsoontack.core.errors import RunState
from monsoontack.core.records import RequestOutcome, RouteRequest
from monsoontack.entry.links import Link, LinkPool
from monsoontack.entry.protocols import OutcomeSink, Picker
from monsoontack.ledger.records import DispatchResult, ServiceAnswer, ServiceCall
from monsoontack.proto import link_pb2

ROUTE = "calls"
# The agent ends a call at its timeout; its result then needs one frame.
RESULT_GRACE_S = 0.5


@dataclass(slots=True)
class _Pending:
    link: Link
    result: asyncio.Future


@dataclass(slots=True)
class LinkDispatcher:
    """`monsoontack.ledger.ports.Dispatcher` over the link pool.

    The owner of the links passes on call results and lost links. `view` gives
    the configuration in force.
    """

    pool: LinkPool
    picker: Picker
    outcomes: OutcomeSink
    view: Callable[[], ConfigView]
    rng: random.Random
    pending: dict[str, _Pending] = field(default_factory=dict)
    running: Counter = field(default_factory=Counter)

    def in_flight(self, address: str) -> int:
        """Return how many calls wait for the agent's answer."""
        return self.running[address]

    def awaited_addresses(self) -> set[str]:
        """Return the agents from which calls await their results."""
        return {address for address, count in self.running.items() if count}

    async def dispatch(
        self,
        call: ServiceCall,
        fence: int,
        latest_start_unix_s: float,
        tried_addresses: set[str],
    ) -> DispatchResult:
        """Send the call to one backend server and wait for its result."""
        started_at = asyncio.get_running_loop().time()
        version = self._pick_version(call.service, started_at)
        route = RouteRequest(
            call.service,
            version or "",
            call.account,
            request_bytes=len(call.body),
            excluded=frozenset(tried_addresses),
        )
        servers = self.pool.servers(call.service)
        server = self.picker.pick(route, servers, started_at, self.rng)
        if version is None or server is None:
            return DispatchResult(RunState.NOT_RUN, code="no_server")
        tried_addresses.add(server.address)
        link = self.pool.get_or_open(server.address)
        message = _message(call, fence, latest_start_unix_s)
        result = await self._send(link, message, call.timeout_s)
        self._report(call.service, version, result, started_at)
        return result

    def _pick_version(self, service: str, now: float) -> str | None:
        view = self.view()
        if service not in view.services:
            return None
        return self.picker.pick_version(view, service, now, self.rng)

    async def _send(
        self, link: Link, message: link_pb2.Call, timeout_s: float
    ) -> DispatchResult:
        pending = _Pending(link, asyncio.get_running_loop().create_future())
        self.pending[message.call_id] = pending
        self.running[link.address] += 1
        link.note_sent(asyncio.get_running_loop().time())
        link.send(link_pb2.EntryMessage(revision=self.view().revision, call=message))
        try:
            async with asyncio.timeout(timeout_s + RESULT_GRACE_S):
                return await pending.result
        except TimeoutError:
            return DispatchResult(RunState.UNKNOWN, None, "timeout", link.address)
        finally:
            del self.pending[message.call_id]
            link.note_ended(asyncio.get_running_loop().time())
            self.running[link.address] -= 1
            if not self.running[link.address]:
                del self.running[link.address]

    def on_result(self, result: link_pb2.CallResult, link: Link) -> None:
        """Take a call result from a frame; one that nobody waits for is dropped."""
        pending = self.pending.get(result.call_id)
        if pending is not None and not pending.result.done():
            pending.result.set_result(_decode(result, link.address))

    def on_link_lost(self, link: Link) -> None:
        """End the calls that were sent over a link that ended."""
        lost = DispatchResult(RunState.UNKNOWN, None, "link_lost", link.address)
        for pending in self.pending.values():
            if pending.link is link and not pending.result.done():
                pending.result.set_result(lost)

    def _report(
        self, service: str, version: str, result: DispatchResult, started_at: float
    ) -> None:
        now = asyncio.get_running_loop().time()
        failed = result.answer is None or result.answer.status >= 500
        self.picker.record(result.address, failed, now)
        latency_s = None if failed else now - started_at
        self.outcomes.record(RequestOutcome(service, version, ROUTE, failed, latency_s))


def _message(
    call: ServiceCall, fence: int, latest_start_unix_s: float
) -> link_pb2.Call:
    return link_pb2.Call(
        call_id=uuid.uuid4().hex,
        service=call.service,
        method=call.method,
        path=call.path,
        headers=[link_pb2.Header(name=name, value=text) for name, text in call.headers],
        body=call.body,
        idempotent=call.idempotent,
        account=call.account,
        key=call.key,
        fence=fence,
        latest_start_unix_s=latest_start_unix_s,
        timeout_s=call.timeout_s,
    )


def _decode(result: link_pb2.CallResult, address: str) -> DispatchResult:
    """Return the result of a dispatch; an unknown run state counts as unknown."""
    if result.run_state == RunState.RUN and result.code:
        return DispatchResult(RunState.RUN, None, result.code, address)
    if result.run_state == RunState.RUN:
        headers = tuple((header.name, header.value) for header in result.headers)
        answer = ServiceAnswer(result.status, headers, result.body)
        return DispatchResult(RunState.RUN, answer, "", address)
    if result.run_state == RunState.NOT_RUN:
        return DispatchResult(RunState.NOT_RUN, None, result.code, address)
    code = result.code or "answer_lost"
    return DispatchResult(RunState.UNKNOWN, None, code, address)
