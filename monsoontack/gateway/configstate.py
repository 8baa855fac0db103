"""The configuration in force, and how old the knowledge of it is.

A configuration never goes back within a process. Keys that were taken away must
stop everywhere within a bound, also at an entry that no longer reaches the
store, so requests with a key are served only while the knowledge is recent.
Ages are taken from the boot clock, which goes on while the VM is suspended.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from monsoontack.core.clock import boot_time
from monsoontack.gateway.records import CallerLimits, GatewayConfig

log = structlog.get_logger("gateway.knowledge")

# Share of the revocation bound for which unconfirmed keys are still accepted. The
# rest, 1.5 s of 5 s, covers a watch that misses changes for a second. At 0.6,
# requests were refused up to a second before an outage had to be noticed.
KEY_TRUST_SHARE = 0.7
# A denial (unknown key, unknown route) needs fresher knowledge than service: an
# unchanged configuration is confirmed every 1.4 s.
DENIAL_TRUST_S = 2.4
# Other entries usually have newer knowledge, and a retry reaches another one.
ELSEWHERE_RETRY_S = 0.05
# Start and first list take about this long after a loss of all entries.
MIN_RETRY_S = 0.5
# An outage of all entries is taken to last as long again as it has lasted. A stream
# that comes back after 3 s still starts within the 4.5 s that its caller accepts.
MAX_RETRY_S = 3.0
# Peers are asked at least this often during an outage.
STALE_PEER_S = 5.0


@dataclass(slots=True)
class ConfigState:
    """Newest configuration of this process.

    `revoke_s` is the bound within which a removed key must stop working;
    `confirmed_at` when the store last showed the configuration to be current,
    `stale_peer_at` when another entry was last seen to know no more.
    """

    revoke_s: float
    boot: Callable[[], float] = boot_time
    config: GatewayConfig | None = None
    confirmed_at: float = float("-inf")
    refused_older: int = 0
    listeners: list[Callable[[GatewayConfig], None]] = field(default_factory=list)
    stale_peer_at: float = float("-inf")
    started_at: float = 0.0

    def __post_init__(self) -> None:
        """Note the start of the process."""
        self.started_at = self.boot()

    def note_stale_peer(self) -> None:
        """Note that no other entry knows more than this one."""
        self.stale_peer_at = self.boot()

    def retry_after_s(self) -> float:
        """Return when a caller that cannot be served now should come back."""
        now = self.boot()
        if now > self.stale_peer_at + STALE_PEER_S:
            return MIN_RETRY_S if self.config is None else ELSEWHERE_RETRY_S
        lasted_s = now - max(self.confirmed_at, self.started_at)
        return min(max(lasted_s, MIN_RETRY_S), MAX_RETRY_S)

    def apply(self, config: GatewayConfig) -> bool:
        """Take over a configuration unless it is older than the one in force."""
        if self.config is not None and config.version <= self.config.version:
            if config.version < self.config.version:
                self.refused_older += 1
                log.warning(
                    "older configuration ignored",
                    version=config.version,
                    in_force=self.config.version,
                )
            return False
        self.config = config
        log.info(
            "configuration in force",
            version=config.version,
            routes=len(config.routes),
            keys=None if config.accounts is None else len(config.accounts),
        )
        for listener in self.listeners:
            listener(config)
        return True

    def confirm(self, at: float) -> None:
        """Note that the configuration was current at `at` (boot clock)."""
        self.confirmed_at = max(self.confirmed_at, at)

    def age_s(self) -> float:
        """Return how long ago the configuration was known to be current."""
        return self.boot() - self.confirmed_at

    def may_accept_keys(self) -> bool:
        """Whether keys of the configuration may still be accepted."""
        return self.age_s() <= KEY_TRUST_SHARE * self.revoke_s

    def may_reject_unknown(self) -> bool:
        """Whether an unknown key or route may be told to be unknown."""
        return self.age_s() <= DENIAL_TRUST_S

    def limits(self) -> CallerLimits:
        """Return the bounds on callers, the defaults before any configuration."""
        return CallerLimits() if self.config is None else self.config.limits
