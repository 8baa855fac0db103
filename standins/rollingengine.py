"""Stand-in engine whose streams have lengths that their requests do not state."""

import asyncio
import random
from dataclasses import dataclass, field

from monsoontack.gateway.records import RawRequest
from monsoontack.inbound.responder import Responder
from standins.directengine import REQUEST_ID_HEADER, USAGE_HEADER, DirectEngine


@dataclass(slots=True)
class RollingEngine(DirectEngine):
    """A server that reports until when it worked on a request.

    `lengths` has the number of events of each stream, by the request's id. A first
    event comes up to `first_event_max_s` late, by the request's id. `ended_at` has the
    time of the event loop at which the server stopped working on a request.
    """

    lengths: dict[str, int] = field(default_factory=dict)
    first_event_max_s: float = 0.0
    ended_at: dict[str, float] = field(default_factory=dict)

    async def handle(self, raw: RawRequest, responder: Responder) -> None:
        """Serve one request, and record when this ended."""
        try:
            await DirectEngine.handle(self, raw, responder)
        finally:
            request_id = dict(raw.headers).get(REQUEST_ID_HEADER, b"").decode()
            self.ended_at[request_id] = asyncio.get_running_loop().time()

    async def _stream(
        self, headers: dict, responder: Responder, response_headers
    ) -> None:
        request_id = headers[REQUEST_ID_HEADER].decode()
        first_event_s = random.Random(request_id).uniform(0.0, self.first_event_max_s)
        await asyncio.sleep(first_event_s)
        usage = b"0,%d" % self.lengths[request_id]
        known = headers | {USAGE_HEADER: usage}
        await DirectEngine._stream(self, known, responder, response_headers)
