"""Ids of the requests that were sent on one connection.

A late or repeated response is told from the right one by its id, so a request must not
be sent again on a connection that may still bring a response to an earlier send.
"""

from collections import deque
from dataclasses import dataclass, field

from monsoontack.core.boundedid import bounded_id

# Requests that are remembered. A retry at the same server follows within moments, after
# few other requests on the connection.
MAX_RECENT = 16
# Requests that were answered with an error and are remembered. A connection with so
# many is not reused, since it could not recognize a copy of another error.
MAX_FAILED = 256


@dataclass(slots=True, repr=False)
class SentIds:
    """The `recent` ids of a connection, and those of `failed` requests."""

    recent: deque[str] = field(default_factory=lambda: deque(maxlen=MAX_RECENT))
    failed: set[str] = field(default_factory=set)

    def note_sent(self, request_id: str | None) -> None:
        """Remember a request that is sent."""
        if request_id is not None:
            self.recent.append(bounded_id(request_id))

    def note_failed(self, request_id: str) -> bool:
        """Remember a request that failed; return whether more can be remembered."""
        self.failed.add(bounded_id(request_id))
        return len(self.failed) < MAX_FAILED

    def __contains__(self, request_id: str) -> bool:
        """Whether a late response to an earlier send would match this id."""
        kept_id = bounded_id(request_id)
        return kept_id in self.recent or kept_id in self.failed
