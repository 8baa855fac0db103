"""TCP proxy that pauses at any byte of a server's answers, the last ones too.

Only events, their heads and ends, and the answers of calls are delayed: while a proxy
holds a response without end, it would take bytes that the caller never sees.
"""

import asyncio
import random
from dataclasses import dataclass, field

from standins.tcpgate import Connection, FaultProxy

LAST_CHUNK = b"0\r\n\r\n"
EVENT_MARKS = (b"text/event-stream", b"data: t")
CALL_MARK = b"done by"


@dataclass(slots=True)
class PausingProxy(FaultProxy):
    """Proxy that pauses inside answers with the probabilities of the `shares`.

    They are those of a pause in a read with an event, in the answer of a call and in
    the last chunk of a stream, and of the end of the connection after a pause. A pause
    takes from `min_pause_s` to `max_pause_s` seconds. `pauses` counts them, and
    `end_pauses` those in a last chunk.
    """

    rng: random.Random = field(default_factory=random.Random)
    event_share: float = 0.0
    call_share: float = 0.0
    end_share: float = 0.0
    break_share: float = 0.0
    min_pause_s: float = 0.3
    max_pause_s: float = 3.0
    pauses: int = 0
    end_pauses: int = 0

    def _pause_share(self, data: bytes) -> float:
        if data.endswith(LAST_CHUNK):
            return self.end_share
        if CALL_MARK in data:
            return self.call_share
        return self.event_share if any(mark in data for mark in EVENT_MARKS) else 0.0

    async def write(
        self, connection: Connection, writer, data: bytes, direction: str
    ) -> None:
        """Write bytes; pause in the middle of some of an answer."""
        share = self._pause_share(data) if direction == "to_caller" else 0.0
        if share and self.rng.random() < share:
            is_end = data.endswith(LAST_CHUNK)
            first = max(len(data) - len(LAST_CHUNK), 0) if is_end else 0
            cut = self.rng.randrange(first, len(data))
            self.pauses += 1
            self.end_pauses += is_end
            writer.write(data[:cut])
            data = data[cut:]
            await asyncio.sleep(self.rng.uniform(self.min_pause_s, self.max_pause_s))
            if self.rng.random() < self.break_share:
                connection.close()
                return
        # The connection may have gone silent or been closed meanwhile.
        if direction not in connection.silent and not writer.is_closing():
            await FaultProxy.write(self, connection, writer, data, direction)
