"""HTTP/1.1 server side of the connections of callers.

The requests of one connection are served in order. A request is passed to the
handler once its body is complete. Reading pauses while the process is short of memory,
while a request waits for the one before it, and when the input of other connections
has occupied the event loop for long.
"""

import asyncio
from collections import deque
from time import perf_counter
from typing import TYPE_CHECKING

from monsoontack.gateway.records import RawRequest
from monsoontack.inbound.account import Holding
from monsoontack.inbound.costs import CONNECTION_BYTES, HEADER_LINE_BYTES, SERVED_BYTES
from monsoontack.inbound.progress import RequestProgress
from monsoontack.inbound.requestreader import InputRefusal, RequestReader
from monsoontack.inbound.responder import (
    Responder,
    refusal_response,
    set_reset_on_close,
)

if TYPE_CHECKING:
    from monsoontack.inbound.server import InboundServer

# After a refusal, the remaining bytes of the caller are read and discarded for this
# time before the connection is closed; a reset could destroy the refusal in transit.
LINGERING_CLOSE_S = 0.5
# Unsent bytes above which writes to a slow caller wait.
WRITE_BUFFER_HIGH_BYTES = 65_536
# A caller that has not read this much, and reads nothing, is closed in a shortage of
# memory. Below it closing frees little.
MIN_UNSENT_BYTES = 32_768
# Reasons for which reading is paused; they are combined in a bit mask.
PIPELINED, MEMORY, TURN = 1, 2, 4
NO_MEMORY = InputRefusal(503, "memory", "not enough memory")
UNREAD_ANSWER = InputRefusal(0, "unread_answer", "caller does not read its answer")


class InboundConnection(asyncio.BufferedProtocol):
    """Server side of the connection of one caller."""

    def __init__(self, server: "InboundServer") -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.address = ""
        self.reader = RequestReader(server.limits, server.inbound, self.now)
        self.is_http10 = False
        self.queue: deque[tuple[RawRequest, int]] = deque()
        self.queued_bytes = 0
        self.unparsed = b""
        self.unparsed_cost = 0
        self.current: Responder | None = None
        self.current_bytes = 0
        self.unsent_bytes = 0
        self.holding = Holding(self._resume_after_shortage, self.shed)
        self.progress: RequestProgress | None = None
        self.is_refused = False
        self.was_used = False
        self.pauses = 0
        self.is_congested = False
        self.drain_future: asyncio.Future | None = None
        self.timeout_timer: asyncio.TimerHandle | None = None
        self.idle_since = 0.0

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being received, queued or served."""
        return self.current is None and not self.queue and self.progress is None

    def idle_s(self) -> float:
        """Return for how long the connection has had no request; -1 if it has one."""
        return self.now() - self.idle_since if self.is_idle else -1.0

    def should_close(self) -> bool:
        """Whether to close after the response; false while requests are queued."""
        return self.server.closing() and not self.queue

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle timeout, or refuse the connection if there are too many."""
        self.transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_BYTES)
        peer = transport.get_extra_info("peername")
        self.address = peer[0] if peer else ""
        self.idle_since = self.holding.progress_at = self.now()
        refusal = self.server.admit(self)
        if refusal is not None:
            self.is_refused = True
            self.server.refuse_connection(self, refusal)
            return
        self.holding.held_bytes = CONNECTION_BYTES
        self.server.memory.account.open(self.holding)
        self._schedule_timeout_check()

    def connection_lost(self, error: Exception | None) -> None:
        """Release resources and notify the current request of the disconnect."""
        self.server.forget(self)
        self.server.memory.account.close(self.holding)
        self.queue.clear()
        if self.timeout_timer is not None:
            self.timeout_timer.cancel()
        if self.current is not None and not self.current.disconnected.done():
            self.current.disconnected.set_result(None)
        self._resume_drain()

    def eof_received(self) -> bool:
        """Close; a caller that closed its sending side is treated as disconnected."""
        return False

    def pause_writing(self) -> None:
        """Mark the write buffer as full: the caller reads too slowly."""
        self.is_congested = True
        self.update_holding()

    def resume_writing(self) -> None:
        """Resume writers that wait in `drain`."""
        self.is_congested = False
        self.update_holding()
        self._resume_drain()

    async def drain(self, disconnected: asyncio.Future) -> None:
        """Wait until the write buffer has drained or the caller has disconnected."""
        if not self.is_congested or disconnected.done():
            return
        self.drain_future = asyncio.get_running_loop().create_future()
        await self.drain_future

    def _resume_drain(self) -> None:
        if self.drain_future is not None and not self.drain_future.done():
            self.drain_future.set_result(None)

    def write(self, data: bytes) -> None:
        """Send bytes to the caller."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def get_buffer(self, size_hint: int) -> memoryview:
        """Return the buffer for the next read, which all connections share.

        The event loop calls `buffer_updated` before another connection reads.
        """
        return self.server.buffer

    def buffer_updated(self, size: int) -> None:
        """Handle bytes that were read into the buffer."""
        if not self.is_refused:
            self._receive(bytes(self.server.buffer[:size]))

    def data_received(self, data: bytes) -> None:
        """Handle bytes in parts of the size of the buffer."""
        step = len(self.server.buffer)
        for start in range(0, len(data), step):
            if not self.is_refused:
                self._receive(data[start : start + step])

    def _receive(self, data: bytes) -> None:
        """Parse bytes, or keep them as they are until there is memory for more.

        A head can cost more than 20 times its bytes once it is parsed.
        """
        if self.reader.is_reading_head:
            cost_bytes = data.count(b"\n") * HEADER_LINE_BYTES
            self.unparsed_cost += cost_bytes
            self.holding.coming_bytes += cost_bytes
        if self.unparsed or not self.server.memory.account.may_read(self.holding):
            self.unparsed += data
            if self.progress is None:
                self.progress = RequestProgress(self.now(), self.now())
            self.update_holding()
        else:
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        started_at = perf_counter()
        self.unparsed_cost = 0
        reader = self.reader
        reader.feed(data)
        self.was_used = True
        self._note_progress(bool(reader.complete))
        while reader.complete:
            item = reader.complete.popleft()
            self.is_http10 = reader.is_http10
            self.queue.append(item)
            self.queued_bytes += item[1]
        if self.current is None and self.queue:
            self._serve_next()
        if reader.refusal is not None:
            self.refuse(reader.refusal)
        elif reader.awaits_continue and self.current is None:
            reader.awaits_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self.queue and not self.is_refused:
            self._pause(PIPELINED)
        self.update_holding()
        turns = self.server.turns
        if not turns.note(perf_counter() - started_at) and not self.pauses:
            self._pause(TURN)
            turns.wait(self._resume_turn)

    def _note_progress(self, is_next: bool) -> None:
        """Record that bytes have arrived; `is_next` if a request was completed."""
        now = self.holding.progress_at = self.now()
        if not self.reader.is_reading_request:
            self.progress = None
        elif self.progress is None or is_next:
            self.progress = RequestProgress(now, now)
        else:
            self.progress.received_at = now

    def update_holding(self) -> None:
        """Count what the connection holds, and pause it if memory is short."""
        guard, holding = self.server.memory, self.holding
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes < self.unsent_bytes:
            holding.progress_at = self.now()
        self.unsent_bytes = unsent_bytes
        holding.coming_bytes = self.reader.missing_bytes + self.unparsed_cost
        input_bytes = self.reader.held_bytes + self.queued_bytes + len(self.unparsed)
        guard.account.set(
            holding, CONNECTION_BYTES + input_bytes + self.current_bytes + unsent_bytes
        )
        holding.sheddable = unsent_bytes >= MIN_UNSENT_BYTES or (
            not self.is_refused and (self.current is None or input_bytes > 0)
        )
        if guard.account.used_bytes <= guard.account.soft_limit_bytes:
            return
        guard.watch()
        if self.progress is None or self.is_refused or self.pauses & MEMORY:
            return
        if not guard.account.may_read(holding):
            self._pause(MEMORY)
            guard.account.pause(holding, self.now())

    def _serve_next(self) -> None:
        raw, cost_bytes = self.queue.popleft()
        self.queued_bytes -= cost_bytes
        self.current_bytes = cost_bytes + SERVED_BYTES
        self.server.memory.account.end_reading(self.holding)
        self.current = Responder(self, raw)
        task = asyncio.ensure_future(self._serve(raw, self.current))
        self.server.tasks.add(task)
        task.add_done_callback(self.server.tasks.discard)

    async def _serve(self, raw: RawRequest, responder: Responder) -> None:
        try:
            await self.server.handler(raw, responder)
        finally:
            self._finish_request(responder)

    def _finish_request(self, responder: Responder) -> None:
        self.current = None
        self.current_bytes = 0
        if self.transport.is_closing():
            self.update_holding()
            return
        if not responder.finished:
            self.transport.abort()
            return
        if not responder.keep_alive or self.is_refused:
            self._close()
            return
        self.idle_since = self.now()
        if self.queue:
            self._serve_next()
        else:
            self._unpause(PIPELINED)
        self.update_holding()

    def refuse(self, refusal: InputRefusal) -> None:
        """Refuse the request that is being received and close the connection.

        While another request is being served, the connection is closed after its
        response instead.
        """
        if self.is_refused:
            return
        self.is_refused = True
        self.server.on_refusal(refusal)
        self.reader.refuse(refusal.status, refusal.reason, refusal.detail)
        self.queue.clear()
        self.queued_bytes, self.progress = 0, None
        self.unparsed, self.unparsed_cost = b"", 0
        self._read_on()
        self.update_holding()
        if self.current is None:
            self.write(refusal_response(refusal.status))
            self._close_later()

    def shed(self) -> None:
        """Free what the connection holds, because memory is short."""
        before_bytes = self.holding.held_bytes
        self.update_holding()
        if self.transport.is_closing() and not self.unsent_bytes:
            return
        if self.holding.held_bytes < before_bytes:
            # The caller has read on since the last count.
            return
        if self.unsent_bytes >= MIN_UNSENT_BYTES or self.transport.is_closing():
            self.server.on_refusal(UNREAD_ANSWER)
            self._abort_unsent()
        elif self.is_idle:
            self.transport.close()
        else:
            self.refuse(NO_MEMORY)

    def _abort_unsent(self) -> None:
        set_reset_on_close(self.transport, True)
        self.transport.abort()

    def _close(self) -> None:
        """Close after a response; unread bytes of the caller must not cause a reset."""
        if not self.pauses:
            self.transport.close()
            return
        self.is_refused, self.progress = True, None
        self.unparsed, self.unparsed_cost = b"", 0
        self.idle_since = self.now()
        self._read_on()
        self.update_holding()
        self._close_later()

    def _close_later(self) -> None:
        asyncio.get_running_loop().call_later(LINGERING_CLOSE_S, self.transport.close)

    def _pause(self, reason: int) -> None:
        if not self.pauses and not self.transport.is_closing():
            self.transport.pause_reading()
        self.pauses |= reason

    def _unpause(self, reason: int) -> None:
        if not self.pauses & reason:
            return
        self.pauses &= ~reason
        if not self.pauses and not self.transport.is_closing():
            self.transport.resume_reading()

    def _read_on(self) -> None:
        """End all pauses, since what arrives is discarded."""
        self.server.memory.account.end_reading(self.holding)
        self._unpause(PIPELINED | MEMORY | TURN)

    def _resume_turn(self) -> None:
        self._unpause(TURN)

    def _resume_after_shortage(self, paused_s: float) -> None:
        if self.progress is not None:
            self.progress.paused_s += paused_s
            self.progress.received_at += paused_s
        self._unpause(MEMORY)
        data, self.unparsed = self.unparsed, b""
        if data:
            self._parse(data)

    def _schedule_timeout_check(self) -> None:
        limits = self.server.limits()
        delay_s = min(limits.header_timeout_s, limits.idle_timeout_s) / 4
        loop = asyncio.get_running_loop()
        self.timeout_timer = loop.call_later(max(delay_s, 0.05), self._check_timeouts)

    def _check_timeouts(self) -> None:
        self.update_holding()
        limits, now = self.server.limits(), self.now()
        if self.transport.is_closing():
            if now - self.holding.progress_at > limits.idle_timeout_s:
                self._abort_unsent()
                return
        elif self.current is None and not self.is_refused:
            if self.progress is None:
                if now - self.idle_since > limits.idle_timeout_s:
                    self.transport.close()
            elif not self.pauses & MEMORY:
                self._check_progress(now)
        self._schedule_timeout_check()

    def _check_progress(self, now: float) -> None:
        refusal = self.progress.refusal(
            now,
            self.reader.is_reading_head,
            self.reader.received_body_bytes,
            self.server.limits(),
            self.server.inbound.min_body_bytes_s,
        )
        if refusal is not None:
            self.refuse(refusal)
