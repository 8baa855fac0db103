"""What the backend server of an agent says of itself in its responses.

The decisions are those of `monsoontack.admission`. The server has no name of its own
here: it has started anew once a connection to it was refused and a response came after
that. What it said before does not hold for the new start.
"""

import random
from collections.abc import Callable, Mapping

import structlog

from monsoontack.admission.serverstatement import REFUSED_STATUS, read_statement
from monsoontack.admission.statedwaits import StatedWaits

log = structlog.get_logger("agent")

LEAVING_HEADER = "Server-Leaving"
RETRY_AFTER_HEADER = "Retry-After"
# Key of the only server.
KEY = "backend"


class BackendStatements:
    """Whether the backend server is leaving, or asked for time.

    `on_leaving` is called once it says that it is leaving, `on_new_start` at the first
    response of a server that has started anew after that.
    """

    def __init__(self, service: str, now: Callable[[], float]) -> None:
        self.service = service
        self.now = now
        self.waits = StatedWaits(random.Random())
        self.is_leaving = False
        self.has_ended = False
        self.on_leaving: Callable[[], None] = lambda: None
        self.on_new_start: Callable[[], None] = lambda: None

    def note_response(self, status: int, headers: Mapping[str, str]) -> None:
        """Record what the head of a response says."""
        said = read_statement(
            status, True, headers.get(LEAVING_HEADER), headers.get(RETRY_AFTER_HEADER)
        )
        if self.has_ended:
            self._begin_new_start(said.is_leaving)
        if said.wait_s > 0:
            self.waits.observe(KEY, self.service, said.wait_s, self.now())
        elif status != REFUSED_STATUS:
            self.waits.note_accepted(KEY, self.now())
        if said.is_leaving and not self.is_leaving:
            self.is_leaving = True
            log.info("backend server says that it is leaving", service=self.service)
            self.on_leaving()

    def note_refused_connection(self) -> None:
        """Record that nothing listens at the server's address."""
        self.has_ended = True

    def is_waiting(self) -> bool:
        """Whether the server wants no request now."""
        self.waits.end_waits(self.now())
        return self.waits.is_waiting(KEY, self.now())

    def take(self) -> bool:
        """Count a request that is to be sent; return False if it must not be."""
        self.waits.end_waits(self.now())
        return self.waits.take(KEY, self.now())

    def order_refusal(self) -> str:
        """Return why the server gets no order now, empty if it may get one."""
        if self.is_leaving:
            return "the engine is leaving"
        return "the engine asked for time" if self.is_waiting() else ""

    def _begin_new_start(self, says_leaving: bool) -> None:
        """Forget what the former start said.

        A process that still says so after a refused connection may be the former one.
        """
        self.has_ended = False
        if self.is_leaving and says_leaving:
            return
        self.waits.waits.clear()
        if self.is_leaving:
            self.is_leaving = False
            log.info("backend server has started anew", service=self.service)
            self.on_new_start()
