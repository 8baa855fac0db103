"""Decides when a head or body that arrives slowly is refused.

Written for clients that keep requests open by sending a byte now and then. The
published limits are the time of a head and the idle time; a body may take longer than
the idle time if it makes progress. Time in which the gateway did not read counts for
the client.
"""

from dataclasses import dataclass

from monsoontack.gateway.records import CallerLimits
from monsoontack.inbound.requestreader import InputRefusal

SLOW_HEAD = InputRefusal(408, "slow_head", "request head took too long to arrive")
SLOW_BODY = InputRefusal(408, "slow_body", "request body took too long to arrive")


@dataclass(slots=True, repr=False)
class RequestProgress:
    """When a request began to arrive and last went on, in seconds of one clock.

    `paused_s` is the time in which the gateway did not read.
    """

    started_at: float
    received_at: float
    paused_s: float = 0.0

    def refusal(
        self,
        now: float,
        is_head: bool,
        body_bytes: int,
        published: CallerLimits,
        min_bytes_s: int,
    ) -> InputRefusal | None:
        """Return why the request is refused, None if it may go on.

        `body_bytes` were received of the body, which needs `min_bytes_s` on average
        once it has taken longer than the idle timeout.
        """
        elapsed_s = now - self.started_at - self.paused_s
        if is_head:
            return SLOW_HEAD if elapsed_s > published.header_timeout_s else None
        if elapsed_s <= published.idle_timeout_s:
            return None
        is_silent = now - self.received_at > published.idle_timeout_s
        is_slow = body_bytes < min_bytes_s * elapsed_s
        return SLOW_BODY if is_silent or is_slow else None
