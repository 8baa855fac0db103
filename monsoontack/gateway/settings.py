"""What a gateway needs to know of its VM and of the bounds that hold."""

from dataclasses import dataclass

from monsoontack.core.records import Place

# Part of the bound for news that one watch of the store may take; also how often an
# unchanged kind is confirmed. A watch that lost its connection is noticed 0.7 s after
# its end, and the news then pass two or three entries.
WATCH_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway.

    Addresses are `ip:port`. A change in the store has to be in force everywhere within
    `propagation_limit_s`. `is_first_start` tells that the whole deployment starts for
    the first time. `expected_max_entries` is a number that the entries of the
    deployment will hardly exceed.
    """

    name: str
    place: Place
    front_address: str
    ready_address: str
    operator_address: str
    peer_address: str
    store_address: str
    memory_bytes: int
    revoke_s: float
    grace_s: float
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    canary_share: float
    canary_tolerance: float
    propagation_limit_s: float = 2.5
    is_first_start: bool = False
    expected_max_entries: int = 8

    @property
    def watch_timeout_s(self) -> float:
        """Return how long one watch of the store takes."""
        return WATCH_SHARE * self.propagation_limit_s
