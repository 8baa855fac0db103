"""Sends attempts to backend servers over pooled connections."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from monsoontack.admission.crashguard import CrashGuard
from monsoontack.admission.limitgate import LimitGate, unlimited_gate
from monsoontack.admission.serverstatement import (
    MISDIRECTED_STATUS,
    NO_STATEMENT,
    ServerStatement,
    read_statement,
)
from monsoontack.gateway.fleet import BackendFleet, Member
from monsoontack.gateway.outbound import (
    ExchangeFailure,
    FailureKind,
    HttpExchange,
    OutboundConnection,
)
from monsoontack.gateway.pool import CONNECT_TIMEOUT_S, ConnectionPool
from monsoontack.gateway.ports import WireFormat
from monsoontack.gateway.records import REFUSAL_STATUSES, Attempt, CallerRequest
from monsoontack.pacing.domainevidence import Trouble

NO_PERMIT = ExchangeFailure(
    FailureKind.LIMITED, False, "the server's limit is used up, or it asked for time"
)
LEAVING = ExchangeFailure(FailureKind.LEAVING, False, "the server is leaving")


@dataclass(slots=True, repr=False)
class Sender:
    """Sends requests; `on_sent` is called with the service of each one sent.

    `gate` has the request rates that servers state in their responses, and this entry's
    permits. `guard` has the requests that crash servers. `on_limited_send` is
    called with the service of each request sent to a server that has stated a limit,
    `on_limit_change` after a response that changed a limit, `on_statement` after one
    that was the first to say something else of its server.
    """

    pool: ConnectionPool
    wire: WireFormat
    fleet: BackendFleet
    gate: LimitGate = field(default_factory=unlimited_gate)
    guard: CrashGuard = field(default_factory=partial(CrashGuard, ""))
    on_sent: Callable[[str], None] = lambda service: None
    on_limited_send: Callable[[str], None] = lambda service: None
    on_limit_change: Callable[[], None] = lambda: None
    on_statement: Callable[[Member, ServerStatement], None] = lambda member, said: None

    async def send(
        self,
        member: Member,
        request: CallerRequest,
        attempt: Attempt,
        is_wanted: Callable[[], bool],
    ) -> HttpExchange | ExchangeFailure:
        """Send a request; a returned failure means that it was not sent.

        `is_wanted` is called once there is a connection, since the caller may have
        disconnected in the meantime.
        """
        permit = self.gate.take(member.limit_key, self.now())
        if permit is None:
            return NO_PERMIT
        timeout_s = min(CONNECT_TIMEOUT_S, attempt.connect_s, attempt.left_s)
        connection = await self.pool.acquire(*member.key, timeout_s, request.request_id)
        if isinstance(connection, ExchangeFailure):
            self.gate.give_back(permit)
            self._note_no_connection(member, connection)
            return connection
        if not is_wanted():
            self.gate.give_back(permit)
            self.pool.release(member.key, connection)
            return ExchangeFailure(FailureKind.UNWANTED, False, "no longer wanted")
        if self.fleet.has_left(member):
            self.gate.give_back(permit)
            self.pool.release(member.key, connection)
            return LEAVING
        if self.gate.confirm(permit, self.now()) is None:
            self.pool.release(member.key, connection)
            return NO_PERMIT
        return self._start(connection, member, request, attempt)

    def _start(
        self,
        connection: OutboundConnection,
        member: Member,
        request: CallerRequest,
        attempt: Attempt,
    ) -> HttpExchange:
        exchange = HttpExchange(request.request_id)
        exchange.on_head = partial(self._read_head, member, self.now())
        head = self.wire.encode_request_head(request, attempt)
        is_head = request.raw.method == b"HEAD"
        exchange.left_s = attempt.left_s
        connection.start(exchange, head + request.raw.body, is_head)
        self.on_sent(member.server.service)
        if self.gate.limits.rate(member.limit_key) is not None:
            self.on_limited_send(member.server.service)
        return exchange

    def _read_head(
        self, member: Member, sent_at: float, exchange: HttpExchange
    ) -> None:
        """Record what a server says of itself in the head of a response."""
        self._record_limit(member, sent_at, exchange)
        said, now = self.statement(exchange), self.now()
        is_new = said.is_leaving and self.fleet.note_leaving(member, now)
        waits, key = self.gate.waits, member.limit_key
        if said.wait_s > 0:
            service = member.server.service
            is_new |= waits.observe(key, service, said.wait_s, now)
        elif exchange.status not in REFUSAL_STATUSES:
            waits.note_accepted(key, now)
        if is_new:
            self.on_statement(member, said)

    def statement(self, exchange: HttpExchange) -> ServerStatement:
        """Return what a server says of itself in the head of a response."""
        leaving = self.wire.stated_leaving(exchange.headers)
        retry_after = self.wire.stated_wait(exchange.headers)
        if leaving is None and retry_after is None:
            return NO_STATEMENT
        head = self.wire.parse_response_head(exchange.status, exchange.headers)
        return read_statement(head.status, head.is_own, leaving, retry_after)

    def _record_limit(
        self, member: Member, sent_at: float, exchange: HttpExchange
    ) -> None:
        """Record the limit that a server states in the head of a response.

        Only a response of the server itself without a limit ends a limit.
        """
        key, limits = member.limit_key, self.gate.limits
        stated = self.wire.stated_limit(exchange.headers)
        if stated is None and limits.rate(key) is None:
            return
        head = self.wire.parse_response_head(exchange.status, exchange.headers)
        if head.status == MISDIRECTED_STATUS:
            return
        if stated is None and (head.not_run or not head.signed):
            return
        if limits.observe(key, stated, sent_at, self.now()):
            self.on_limit_change()

    async def check_connection(
        self, member: Member, timeout_s: float
    ) -> ExchangeFailure | None:
        """Open a connection to a server and pool it; return the failure, if any.

        A server that asked for time gets no connection. It answered a moment ago, so
        this counts as no failure.
        """
        if self.gate.waits.is_waiting(member.limit_key, self.now()):
            return None
        connection = await self.pool.connect(*member.key, timeout_s)
        if isinstance(connection, ExchangeFailure):
            self._note_no_connection(member, connection)
            return connection
        self.pool.release(member.key, connection)
        return None

    def _note_no_connection(self, member: Member, failure: ExchangeFailure) -> None:
        trouble = Trouble.REFUSED if failure.is_refused else Trouble.UNREACHABLE
        self.fleet.note_unreachable(member, self.now(), trouble)

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()
