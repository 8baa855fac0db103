"""Settings of a gateway: its VM, its addresses and the limits in force."""

from dataclasses import dataclass, field

from monsoontack.core.records import Place
from monsoontack.inbound.limits import InboundLimits

# Fraction of `propagation_limit_s` after which a watch of the store times out,
# which is also the interval at which an unchanged kind is confirmed. The rest covers
# a watch whose connection was lost, detected 0.7 s after the timeout, and the relay
# of the change through two or three entries.
WATCH_TIMEOUT_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway.

    Addresses are `ip:port`. A change in the store must take effect at every entry
    within `propagation_limit_s`, one of the configuration within `config_apply_s`.
    `is_first_start` is true if the whole deployment is starting for the first time.
    `expected_max_entries` is an upper estimate of the number of entries in the
    deployment. `max_fds` is the number of descriptors that the process may have open,
    None if it is not stated. `inbound` limits callers, beside the limits of the
    configuration.
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
    config_apply_s: float = 2.5
    is_first_start: bool = False
    expected_max_entries: int = 8
    max_fds: int | None = None
    inbound: InboundLimits = field(default_factory=InboundLimits)

    @property
    def watch_timeout_s(self) -> float:
        """Return the timeout of one watch request to the store."""
        return WATCH_TIMEOUT_FRACTION * self.propagation_limit_s
