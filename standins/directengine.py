"""Backend server that gateways speak to directly: plain calls and event streams.

`behavior` says how each request is served: `ok`, `reset`, `hang`, `shed`, `die` (a
first run of a stream breaks off after `die_after` events), `endless_head`,
`endless_trailers` (bytes that are no answer, until the caller closes), `twice` (the
whole answer comes again a little later) or `comments` (a first run of a stream goes on
with comments only). Streams continue after the `last-event-id`. `runs` lists the
requests that ran: id, headers, body; `endless` what was sent in vain.
"""

import asyncio
from dataclasses import dataclass, field

from monsoontack.gateway.inbound import BodyBudget, InboundServer
from monsoontack.gateway.records import CallerLimits, RawRequest
from monsoontack.gateway.responder import CallerDisconnectedError, Responder

ID = b"x-monsoontack-request-id"
STAMP = b"x-monsoontack-origin-stamp"
EXPECTED = b"x-monsoontack-expect-instance"
NOT_RUN = ((b"x-monsoontack-not-executed", b"1"),)
EVENT_GAP_S = 0.02
# Bytes without end: parts of this size as fast as the caller reads, up to a bound that
# only a caller without one reaches.
ENDLESS_PART = b"x-filler: " + b"y" * 64_000 + b"\r\n"
ENDLESS_PAUSE_S = 0.001
MAX_ENDLESS_BYTES = 50_000_000
COMMENT = b": still here\n\n"
# A second copy comes while the connection may be idle or in use again.
COPY_AFTER_S = 0.03


def make_event(number: int) -> bytes:
    """Return one event of every stream."""
    return b"id: %d\ndata: t%d\n\n" % (number, number)


@dataclass(frozen=True, slots=True)
class SentInVain:
    """Bytes of one answer without end, sent from `began_at` to `ended_at`."""

    sent: int
    began_at: float
    ended_at: float


@dataclass(slots=True)
class DirectEngine:
    """One incarnation of a server; `name` is its id."""

    name: str
    behavior: str = "ok"
    events: int = 50
    die_after: int = 10
    work_s: float = 0.01
    runs: list[tuple[str, dict, bytes]] = field(default_factory=list)
    disconnected_requests: list[str] = field(default_factory=list)
    endless: list[SentInVain] = field(default_factory=list)
    address: str = ""
    listener: asyncio.Server | None = None
    server: InboundServer | None = None

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        limits = CallerLimits(body_bytes=10**7)
        self.server = InboundServer(self.handle, lambda: limits, BodyBudget(10**8))
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            self.server.make_connection, "127.0.0.1", 0
        )
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        self.listener.close()
        self.server.abort_all()

    def entry(self, service: str, zone: str) -> dict:
        """Return the server's entry in the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seqno": 1,
        }

    async def handle(self, raw: RawRequest, responder: Responder) -> None:
        """Serve one request by plan."""
        headers = dict(raw.headers)
        request_id = headers.get(ID, b"")
        answer = ((ID, request_id), (STAMP, self.name.encode()))
        if headers.get(EXPECTED, b"").decode() not in ("", self.name):
            responder.send(421, answer)
            return
        if self.behavior == "shed":
            responder.send(503, answer + NOT_RUN)
            return
        self.runs.append((request_id.decode(), headers, raw.body))
        if self.behavior == "reset":
            responder.abort()
        elif self.behavior == "hang":
            await responder.disconnected
            self.disconnected_requests.append(request_id.decode())
        elif self.behavior.startswith("endless"):
            await self._send_without_end(responder, answer)
        elif b"/stream/" in raw.target:
            await self._stream(headers, responder, answer)
        else:
            await asyncio.sleep(self.work_s)
            text = b"done by " + self.name.encode() + b" for " + request_id
            responder.send(200, answer, text)
            if self.behavior == "twice":
                self._repeat(responder, answer, text)

    def _repeat(self, responder: Responder, answer, text: bytes) -> None:
        """Send the answer once more, whatever the connection carries by then."""
        lines = [b"HTTP/1.1 200 OK", b"content-length: %d" % len(text)]
        lines += [name + b": " + value for name, value in answer]
        copy = b"\r\n".join(lines) + b"\r\n\r\n" + text
        loop = asyncio.get_running_loop()
        loop.call_later(COPY_AFTER_S, responder.connection.write, copy)

    async def _send_without_end(self, responder: Responder, answer) -> None:
        """Send header lines as a head or as trailers until the caller closes."""
        now = asyncio.get_running_loop().time
        connection, sent, began_at = responder.connection, 0, now()
        if self.behavior == "endless_trailers":
            responder.begin(200, answer)
            connection.write(b"2\r\nok\r\n0\r\n")
        else:
            connection.write(b"HTTP/1.1 200 OK\r\n")
        while not responder.is_disconnected and sent < MAX_ENDLESS_BYTES:
            if not connection.is_congested:
                connection.write(ENDLESS_PART)
                sent += len(ENDLESS_PART)
            await asyncio.sleep(ENDLESS_PAUSE_S)
        self.endless.append(SentInVain(sent, began_at, now()))
        responder.abort()

    async def _stream(self, headers: dict, responder: Responder, answer) -> None:
        start = int(headers.get(b"last-event-id", b"0")) + 1
        responder.begin(200, (*answer, (b"content-type", b"text/event-stream")))
        try:
            for number in range(start, self.events + 1):
                if self.behavior == "die" and start == 1 and number > self.die_after:
                    responder.abort()
                    return
                while self.behavior == "comments" and start == 1 and number > 5:
                    await responder.write(COMMENT)
                    await asyncio.sleep(EVENT_GAP_S)
                await responder.write(make_event(number))
                await asyncio.sleep(EVENT_GAP_S)
        except CallerDisconnectedError:
            self.disconnected_requests.append(headers[ID].decode())
            return
        responder.finish()
