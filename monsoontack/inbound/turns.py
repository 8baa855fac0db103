"""Divides the event loop's time between connections with much input.

Written for some hundred clients that send bodies in one-byte chunks: parsing what all
of them have sent takes seconds, in which a gateway would miss the confirmations of its
configuration and refuse all requests. Connections pause reading once the input of one
iteration of the loop has taken long, and read on a few at a time.
"""

from collections import deque
from collections.abc import Callable

from monsoontack.core.callbacks import call_guarded

# Time that input may take in one iteration of the loop; the shortest objective is
# 0.19 s, and other work of an iteration takes some ms.
INPUT_BUDGET_S = 0.01
# Reads that take less are not counted; usual requests take 0.05 ms.
MIN_COUNTED_S = 0.0002
# Connections that read on in one iteration. Each reads up to 16 KiB at a time, which
# takes up to 3 ms in one-byte chunks.
RESUMED_CONNECTIONS = 8


class InputTurns:
    """Measures the time that input takes, and lets connections wait for each other.

    `call_soon` calls a function in the next iteration of the loop. `longest_s` is the
    longest time for which the input of one read occupied the loop.
    """

    def __init__(self, call_soon: Callable[[Callable[[], None]], object]) -> None:
        self.call_soon = call_soon
        self.spent_s = 0.0
        self.longest_s = 0.0
        self.waiting: deque[Callable[[], None]] = deque()
        self.is_scheduled = False

    def note(self, took_s: float) -> bool:
        """Count the time that one read took; return whether to go on reading.

        A connection that gets False pauses, and calls `wait`.
        """
        if took_s < MIN_COUNTED_S:
            return True
        self.spent_s += took_s
        self.longest_s = max(self.longest_s, took_s)
        self._schedule()
        return self.spent_s <= INPUT_BUDGET_S

    def wait(self, resume: Callable[[], None]) -> None:
        """Call `resume` when it is the connection's turn to read on."""
        self.waiting.append(resume)
        self._schedule()

    def _schedule(self) -> None:
        if not self.is_scheduled:
            self.is_scheduled = True
            self.call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self.is_scheduled = False
        self.spent_s = 0.0
        for _ in range(min(RESUMED_CONNECTIONS, len(self.waiting))):
            call_guarded(self.waiting.popleft())
        if self.waiting:
            self._schedule()
