"""Sends calls to agents over the entry's links and matches their results."""

import asyncio
import random
import uuid
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from monsoontack.admission.serverstatement import read_statement
from monsoontack.config.view import ConfigView
from monsoontack.core.errors import RunState
from monsoontack.core.records import RequestOutcome, RouteRequest
from monsoontack.entry.links import Link, LinkPool
from monsoontack.entry.protocols import OutcomeSink, Picker
from monsoontack.ledger.records import (
    DispatchResult,
    ServiceAnswer,
    ServiceCall,
    ignore_silence,
)
from monsoontack.proto import link_pb2

OUTCOME_ROUTE = "calls"
# The agent ends a call at its timeout; the result then still needs one frame.
RESULT_GRACE_S = 0.5


@dataclass(slots=True, repr=False)
class _PendingCall:
    link: Link
    result: asyncio.Future
    on_silence: Callable[[], None]


@dataclass(slots=True, repr=False)
class LinkDispatcher:
    """Implements `monsoontack.ledger.ports.Dispatcher` over the link pool.

    The owner of the links reports call results to `on_result` and lost links to
    `on_link_lost`. `view` returns the configuration in force.
    """

    pool: LinkPool
    picker: Picker
    outcomes: OutcomeSink
    view: Callable[[], ConfigView]
    rng: random.Random
    pending_calls: dict[str, _PendingCall] = field(default_factory=dict)
    in_flight_counts: Counter = field(default_factory=Counter)

    def in_flight(self, address: str) -> int:
        """Return the number of calls that await a result from the agent."""
        return self.in_flight_counts[address]

    def awaited_addresses(self) -> set[str]:
        """Return the addresses of agents from which calls await results."""
        return {
            pending.link.address
            for pending in self.pending_calls.values()
            if not pending.link.is_replaced
        }

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
        message = _call_message(call, fence, latest_start_unix_s)
        result = await self._send_and_wait(
            link, message, call.timeout_s, call.on_silence
        )
        self._record_outcome(call.service, version, result, started_at)
        return result

    def _pick_version(self, service: str, now: float) -> str | None:
        view = self.view()
        if service not in view.services:
            return None
        return self.picker.pick_version(view, service, now, self.rng)

    async def _send_and_wait(
        self,
        link: Link,
        message: link_pb2.Call,
        timeout_s: float,
        on_silence: Callable[[], None] = ignore_silence,
    ) -> DispatchResult:
        result = asyncio.get_running_loop().create_future()
        pending = _PendingCall(link, result, on_silence)
        self.pending_calls[message.call_id] = pending
        self.in_flight_counts[link.address] += 1
        link.calls_awaited += 1
        link.note_sent(asyncio.get_running_loop().time())
        link.send(link_pb2.EntryMessage(revision=self.view().revision, call=message))
        try:
            async with asyncio.timeout(timeout_s + RESULT_GRACE_S):
                return await pending.result
        except TimeoutError:
            return DispatchResult(RunState.UNKNOWN, None, "timeout", link.address)
        finally:
            del self.pending_calls[message.call_id]
            link.calls_awaited -= 1
            link.note_ended(asyncio.get_running_loop().time())
            self.in_flight_counts[link.address] -= 1
            if not self.in_flight_counts[link.address]:
                del self.in_flight_counts[link.address]

    def on_result(self, result: link_pb2.CallResult, link: Link) -> None:
        """Pass a result to the call that awaits it; drop it if there is none."""
        pending = self.pending_calls.get(result.call_id)
        if pending is not None and not pending.result.done():
            pending.result.set_result(_decode_result(result, link.address))

    def on_link_lost(self, link: Link) -> None:
        """End the calls that were sent over a lost link; they may have run.

        Calls on a silent link whose connection is still open go on.
        """
        lost = DispatchResult(RunState.UNKNOWN, None, "link_lost", link.address)
        for pending in self.pending_calls.values():
            if pending.link is not link or pending.result.done():
                continue
            if link.is_closed:
                pending.result.set_result(lost)
            else:
                pending.on_silence()

    def _record_outcome(
        self, service: str, version: str, result: DispatchResult, started_at: float
    ) -> None:
        if not _is_evidence(result):
            return
        now = asyncio.get_running_loop().time()
        failed = result.answer is None or result.answer.status >= 500
        self.picker.record(result.address, failed, now)
        latency_s = None if failed else now - started_at
        self.outcomes.record(
            RequestOutcome(service, version, OUTCOME_ROUTE, failed, latency_s)
        )


def _is_evidence(result: DispatchResult) -> bool:
    """Whether a result says how well a server runs calls.

    A server that leaves or asks for time has not failed.
    """
    if result.run_state is RunState.NOT_RUN and result.code in ("leaving", "waiting"):
        return False
    if result.answer is None:
        return True
    headers = {name.lower(): text for name, text in result.answer.headers}
    retry_after = headers.get("retry-after")
    said = read_statement(result.answer.status, True, None, retry_after)
    return said.wait_s <= 0


def _call_message(
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


def _decode_result(result: link_pb2.CallResult, address: str) -> DispatchResult:
    """Decode a call result; an unrecognized run state counts as unknown."""
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
